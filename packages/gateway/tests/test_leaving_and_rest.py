"""Tests of servers that say in their responses that they leave, or that they want no requests."""

import asyncio
import unittest
from unittest import mock

import gateway_fakes
import hypothesis
import test_forwarder
from hypothesis import strategies

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import attempt, balancer, forwarder, http_client, messages, servers

LEAVING = gateway_fakes.NAMES.leaving + b": 1\r\n"


def rejection(retry_after=b"", status=503):
    """Returns a script entry with a rejection, with a Retry-After header if it is given."""
    headers = gateway_fakes.NAMES.not_run + b": 1\r\n"
    if retry_after:
        headers += b"Retry-After: " + retry_after + b"\r\n"
    return gateway_fakes.answer(status, b"", signed=False, headers=headers)


class RegistryTest(unittest.TestCase):
    """Guards against a leaving or resting server that is in use again without a new start."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.server = gateway_fakes.make_server("s", started_ms=5)
        self.registry = gateway_fakes.make_registry([self.server], clock=self.clock)
        self.state = self.registry.get("s")

    def ranked(self):
        return self.registry.ranking("desk").ranked("o", "north")

    def test_leaving_server_is_not_selected(self):
        self.assertTrue(self.registry.on_leaving(self.state))
        self.assertFalse(self.registry.on_leaving(self.state))
        self.assertEqual(self.ranked(), ())
        self.assertFalse(self.registry.may_send(self.state))

    def test_listing_of_the_same_start_does_not_take_the_leaving_back(self):
        self.registry.on_leaving(self.state)
        self.registry.upsert(gateway_fakes.make_server("s", started_ms=5, sequence=9))
        self.assertEqual(self.ranked(), ())

    def test_removal_and_new_listing_of_the_same_start_do_not_take_it_back(self):
        self.registry.on_leaving(self.state)
        self.registry.on_rest(self.state, 30.0)
        self.registry.remove("s")
        self.registry.upsert(gateway_fakes.make_server("s", started_ms=5, sequence=9))
        self.assertEqual(self.ranked(), ())
        self.assertFalse(self.registry.may_send(self.registry.get("s")))

    def test_new_start_under_the_same_id_is_used(self):
        self.registry.on_leaving(self.state)
        self.registry.on_rest(self.state, 30.0)
        for before in (lambda: None, lambda: self.registry.remove("s")):
            before()
            self.registry.upsert(gateway_fakes.make_server("s", started_ms=6))
            self.assertEqual(self.ranked(), ("s",))
            self.assertTrue(self.registry.may_send(self.registry.get("s")))

    def test_limits_on_a_cold_server_survive_its_removal(self):
        # A listing that lapses and returns would otherwise permit another burst.
        self.state.next_cold_send_s = self.clock.monotonic() + 1.0
        self.registry.remove("s")
        self.registry.upsert(self.server)
        self.assertEqual(self.registry.get("s").next_cold_send_s, self.clock.monotonic() + 1.0)

    def test_states_of_removed_servers_are_bounded(self):
        with mock.patch.object(servers, "MAX_DEPARTED", 10):
            for number in range(50):
                self.registry.upsert(gateway_fakes.make_server(f"x{number}"))
                self.registry.remove(f"x{number}")
        self.assertEqual(len(self.registry._departed), 10)

    def test_shorter_rest_does_not_end_a_longer_one(self):
        self.registry.on_rest(self.state, 5.0)
        self.registry.on_rest(self.state, 1.0)
        self.clock.advance(4.9)
        self.assertFalse(self.registry.may_send(self.state))
        self.clock.advance(0.2)
        self.assertTrue(self.registry.may_send(self.state))

    def test_server_that_was_removed_or_replaced_gets_no_request(self):
        self.registry.upsert(gateway_fakes.make_server("s", started_ms=6))
        self.assertFalse(self.registry.may_send(self.state))
        self.registry.remove("s")
        self.assertFalse(self.registry.may_send(self.state))


class RetryAfterTest(unittest.TestCase):
    """Guards against misreading Retry-After, and against values that raise an error."""

    def rest_s(self, value, status=503):
        response = messages.Response(status=status, headers=[(b"Retry-After", value)])
        return attempt.parse_rest_s(response)

    def test_seconds_are_read(self):
        self.assertEqual(self.rest_s(b"2"), 2.0)
        self.assertEqual(self.rest_s(b" 0.75 "), 0.75)
        self.assertEqual(self.rest_s(b"999999999"), attempt.MAX_REST_S)

    def test_other_values_and_statuses_mean_no_rest(self):
        for value in (b"", b"soon", b"-1", b"9" * 400, b"1e5", b"nan", b"\xb2", b"1.2.3",
                      b"Fri, 31 Dec 2027 23:59:59 GMT"):  # fmt: skip
            self.assertEqual(self.rest_s(value), 0.0)
        self.assertEqual(self.rest_s(b"2", status=429), 0.0)

    @hypothesis.given(strategies.binary(max_size=20))
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    def test_any_value_is_read_or_ignored(self, value):
        self.assertTrue(0.0 <= self.rest_s(value) <= attempt.MAX_REST_S)
        attempt.parse_load(value)


class BalancerTest(unittest.TestCase):
    """Guards against waiting or sending while all servers of a service want no requests."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.registry = gateway_fakes.make_registry(
            [gateway_fakes.make_server("s0"), gateway_fakes.make_server("s1")], clock=self.clock
        )
        self.balancer = gateway_fakes.make_balancer(self.registry, clock=self.clock)

    def test_other_servers_serve_while_one_rests(self):
        self.registry.on_rest(self.registry.get("s0"), 5.0)
        for number in range(20):
            choice = self.balancer.choose(gateway_fakes.make_criteria(object_key=str(number)))
            self.assertEqual(choice.state.server.server_id, "s1")

    def test_refusal_while_all_rest_says_when_the_first_returns(self):
        self.registry.on_rest(self.registry.get("s0"), 5.0)
        self.registry.on_rest(self.registry.get("s1"), 2.0)
        choice = self.balancer.choose(gateway_fakes.make_criteria())
        self.assertEqual(choice.refusal, balancer.Refusal.RESTING)
        self.assertTrue(2.0 <= choice.retry_after_s <= 2.0 + balancer.RETURN_SPREAD_S)
        self.clock.advance(2.0)
        self.assertIsNotNone(self.balancer.choose(gateway_fakes.make_criteria()).state)


class ForwarderTest(test_forwarder.ForwarderFixture):
    """Guards against requests to servers that have said that they want none."""

    async def test_server_gets_no_request_after_it_said_that_it_leaves(self):
        script = [gateway_fakes.answer(headers=LEAVING)]
        await self.start([gateway_fakes.answer()], [gateway_fakes.answer()], idempotent=False)
        self.servers_by_rank[0]._script = iter(script)
        for _ in range(5):
            self.assertEqual((await self.handle()).status, 200)
        self.assertEqual(len(self.servers_by_rank[0].requests), 1)

    async def test_rejection_of_a_leaving_server_counts_too(self):
        script = [gateway_fakes.answer(503, b"", signed=False, headers=LEAVING
                                       + gateway_fakes.NAMES.not_run + b": 1\r\n")]  # fmt: skip
        await self.start([gateway_fakes.answer()], [gateway_fakes.answer()], idempotent=False)
        self.servers_by_rank[0]._script = iter(script)
        for _ in range(3):
            self.assertEqual((await self.handle()).status, 200)
        self.assertEqual(len(self.servers_by_rank[0].requests), 1)

    async def test_word_of_another_server_at_the_address_does_not_count(self):
        headers = LEAVING + b"Retry-After: 9\r\n"
        await self.start([gateway_fakes.answer(421, b"", signed=False, headers=headers)])
        await self.handle()
        self.assertFalse(self.registry.get("s0").leaving)
        self.assertEqual(self.registry.get("s0").rest_until_s, 0.0)

    async def test_resting_server_gets_no_request_until_its_time_has_passed(self):
        script = [rejection(b"20"), *[gateway_fakes.answer()] * 9]
        await self.start(script, idempotent=False)
        self.servers[0]._script = iter(script)
        for _ in range(5):
            response = await self.handle()
            self.assertEqual(response.status, 503)
        self.assertEqual(len(self.servers[0].requests), 1)
        self.assertGreater(float(response.header(b"retry-after")), 10.0)
        elapsed_s = clock_lib.elapsed_s
        with mock.patch.object(clock_lib, "elapsed_s", lambda: elapsed_s() + 20.0):
            self.assertEqual((await self.handle()).status, 200)

    async def test_attempt_that_is_still_connecting_is_withdrawn_when_a_rest_begins(self):
        await self.start([gateway_fakes.answer()], idempotent=False)
        connect = http_client.connect

        async def connect_slowly(*args, **fields):
            connection = await connect(*args, **fields)
            self.registry.on_rest(self.registry.get("s0"), 5.0)
            return connection

        with mock.patch.object(http_client, "connect", connect_slowly):
            response = await self.handle()
        self.assertEqual((response.status, self.received_count()), (503, 0))

    async def test_request_is_not_sent_after_its_time_has_passed(self):
        # Opening the connection took longer than the caller waits, as after a pause of the process.
        await self.start([gateway_fakes.answer()], idempotent=False)
        connect = http_client.connect

        async def connect_slowly(*args, **fields):
            connection = await connect(*args, **fields)
            await asyncio.sleep(0.12)
            return connection

        with mock.patch.object(http_client, "connect", connect_slowly):
            response = await self.handle(time_left_ms=b"100")
        self.assertIn(response.status, (503, 504))
        self.assertEqual(self.received_count(), 0)

    async def test_request_is_not_sent_on_an_old_selection(self):
        # The process was suspended between the selection of the server and the sending.
        await self.start([gateway_fakes.answer()], idempotent=False)
        elapsed_s = clock_lib.elapsed_s
        pause = [0.0]
        connect = http_client.connect

        async def connect_and_pause(*args, **fields):
            connection = await connect(*args, **fields)
            pause[0] += forwarder.MAX_SELECTION_AGE_S
            return connection

        with (
            mock.patch.object(clock_lib, "elapsed_s", lambda: elapsed_s() + pause[0]),
            mock.patch.object(http_client, "connect", connect_and_pause),
        ):
            response = await self.handle(time_left_ms=b"5000")
        self.assertEqual((response.status, self.received_count()), (503, 0))

    async def test_unexpected_error_ends_as_a_logged_500(self):
        await self.start([gateway_fakes.answer()])
        with mock.patch.object(self.forwarder._chooser, "choose", side_effect=RuntimeError("odd")):
            response = await self.handle()
        self.assertEqual(response.status, 500)
        self.assertEqual(self.received_count(), 0)

    async def test_second_copy_of_a_rejection_is_not_taken_for_the_answer_to_the_retry(self):
        # The server sends its rejection twice. On the same connection, the copy would have said
        # that the retry had not run either.
        twice = gateway_fakes.rejection(load=b"0,0,3")
        script = [lambda head: twice(head), gateway_fakes.answer()]
        await self.start(script, idempotent=False)
        server = self.servers[0]
        server._script = iter(script)
        send = server._answer

        async def send_and_repeat(head, writer):
            first = len(server.requests) == 1
            result = await send(head, writer)
            if first:
                # The retry is then under way.
                copy_after_s = forwarder.SAME_SERVER_RETRY_DELAY_S + 0.01
                asyncio.get_running_loop().call_later(copy_after_s, writer.write, twice(head))
            else:
                await asyncio.sleep(0.03)
            return result

        server._answer = send_and_repeat
        self.assertEqual((await self.handle()).status, 200)
        self.assertEqual(len(server.requests), 2)

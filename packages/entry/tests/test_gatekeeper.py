"""Tests of at-most-once execution across instances, table outages and lost responses."""

import asyncio
import dataclasses
import random
import unittest
from unittest import mock

import entry_fakes as fakes

from sassafrasway_core import at_most_once, invariants, model
from sassafrasway_entry import closing, conversion, gatekeeper, messages, outcomes
from sassafrasway_platform import memory, table
from sassafrasway_rpc import client as rpc_client

EVENT_TIMEOUT_S = 4.0

_RAN = messages.Response(outcome=messages.Outcome.RAN, status=200, body=b"booked")


class _Dispatcher:
    """Counts runs; responses can be scripted, and ``gate`` delays them until it is set.

    ``started`` is set by the first run; a run under a claim starts after the claim was written.
    """

    def __init__(self, peers):
        self.runs = []
        self.started = asyncio.Event()
        self.script = []
        self.gate = None
        self._peers = peers

    async def run(self, request):
        self.runs.append(request.key)
        self.started.set()
        if self.gate is not None:
            await self.gate.wait()
        return self.script.pop(0) if self.script else _RAN

    async def forward(self, peer, request, *, stage, pool_key=None, may_queue=False):
        try:
            reply = await self._peers.call(
                peer.rpc_address, "forward", timeout_s=1, request=request
            )
        except rpc_client.CallNotSentError as error:
            return messages.not_run(503, messages.Reason.PEER_UNREACHABLE, str(error))
        return conversion.from_reply(reply)


class _WriteOnly:
    """Table whose reads fail."""

    def __init__(self, rows):
        self._rows = rows

    async def put(self, key, value, *, if_version):
        return await self._rows.put(key, value, if_version=if_version)

    async def get(self, key):
        raise table.StoreUnavailable("down", step="test", peer="memory")


class _HeldWrites:
    """Table whose writes wait for ``release``; ``reached`` is set when one waits."""

    def __init__(self, rows):
        self.reached = asyncio.Event()
        self.release = asyncio.Event()
        self._rows = rows

    async def put(self, key, value, *, if_version):
        self.reached.set()
        await self.release.wait()
        return await self._rows.put(key, value, if_version=if_version)

    async def get(self, key):
        return await self._rows.get(key)


class _Node:
    """A gatekeeper with its own registry on a shared table."""

    def __init__(self, test_case, name, incarnation):
        self.me = model.InstanceId(name=name, incarnation=incarnation)
        self.dispatcher = _Dispatcher(test_case.peers)
        self.store = outcomes.OutcomeStore(service=test_case.table)
        self.keeper = gatekeeper.Gatekeeper(
            me=self.me,
            registry=at_most_once.KeyRegistry(
                me=self.me,
                clock=test_case.clock,
                invariants=invariants.Invariants(mode=invariants.Mode.RAISE),
            ),
            dispatcher=self.dispatcher,
            directory=test_case.directory,
            store=self.store,
            claims=test_case.table,
        )


class GatekeeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = fakes.manual_clock()
        self.table = memory.MemoryTable()
        self.faults = self.table.faults
        self.directory = fakes.FakeDirectory()
        self.peers = fakes.FakePeers(self._deliver)
        self.nodes = {}
        self.down = set()
        self.a = self._add("a")
        self.b = self._add("b")

    def _add(self, name, incarnation="01"):
        node = _Node(self, name, incarnation)
        self.nodes[name] = node
        self.directory.known[name] = fakes.instance(name, incarnation)
        return node

    async def _deliver(self, address, method, arguments):
        name = address.partition(":")[0]
        if name in self.down:
            raise rpc_client.CallNotSentError("refused", step="test", peer=address)
        response = await self.nodes[name].keeper.run_forwarded(arguments["request"])
        return conversion.to_reply(response)

    def _ticket(self, node):
        return str(at_most_once.Ticket.mint(holder=node.me, clock=self.clock, rng=random.Random(1)))

    def _request(self, key, number=1, remaining_s=0.3):
        # Retries of claims sleep in real time, so the deadline uses the system clock.
        return fakes.request(
            clock_source=fakes.system_clock(), key=key, number=number, remaining_s=remaining_s
        )

    def _runs(self):
        return sum(len(node.dispatcher.runs) for node in self.nodes.values())

    async def test_ticket_through_two_instances_runs_once(self):
        """Guards against a second run when a caller retries a request at another instance."""
        key = self._ticket(self.a)
        first = await self.b.keeper.handle(self._request(key))
        second = await self.a.keeper.handle(self._request(key, 2))
        self.assertEqual((first.body, second.body, self._runs()), (b"booked", b"booked", 1))

    async def test_concurrent_duplicates_get_the_same_response(self):
        """Guards against running a duplicate that arrives while the first attempt runs."""
        key = self._ticket(self.a)
        self.a.dispatcher.gate = asyncio.Event()
        tasks = [
            asyncio.create_task(node.keeper.handle(self._request(key, number, 5)))
            for number, node in enumerate((self.a, self.b, self.a))
        ]
        await asyncio.sleep(0.01)
        self.a.dispatcher.gate.set()
        responses = await asyncio.gather(*tasks)
        self.assertEqual({response.body for response in responses}, {b"booked"})
        self.assertEqual(self._runs(), 1)

    async def test_request_with_a_ticket_runs_while_the_table_is_down(self):
        """Guards against refusing requests with tickets while the table is down."""
        self.faults.down = True
        response = await self.b.keeper.handle(self._request(self._ticket(self.a)))
        self.assertIs(response.outcome, messages.Outcome.RAN)

    async def test_ticket_of_a_crashed_holder_is_unknown(self):
        """Guards against "not run" or a second run after the holder of a ticket crashed."""
        key = self._ticket(self.a)
        await self.a.keeper.handle(self._request(key))
        self.down.add("a")
        response = await self.b.keeper.handle(self._request(key, 2))
        self.assertIs(response.outcome, messages.Outcome.UNKNOWN)
        self.assertEqual(self._runs(), 1)

    async def test_stored_outcome_outlives_its_instance(self):
        """Guards against "unknown" after a crash although the outcome is stored in the table."""
        key = self._ticket(self.a)
        await self.a.keeper.handle(self._request(key))
        self.assertTrue(await self.a.store.flush())
        self.down.add("a")
        response = await self.b.keeper.handle(self._request(key, 2))
        self.assertEqual((response.outcome, response.body), (messages.Outcome.RAN, b"booked"))

    async def test_restarted_holder_does_not_run_old_tickets(self):
        """Guards against a new incarnation running a request that the previous one may have run."""
        key = self._ticket(self.a)
        await self.a.keeper.handle(self._request(key))
        self._add("a", "02")
        response = await self.nodes["a"].keeper.handle(self._request(key, 2))
        self.assertIs(response.outcome, messages.Outcome.UNKNOWN)

    async def test_unused_ticket_of_a_closed_holder_runs_once(self):
        """Guards against "unknown" for an unused ticket whose holder was stopped as planned.

        The closed marker proves that the request did not run, so another instance runs it once.
        """
        key = self._ticket(self.a)
        self.a.keeper.close()
        await self.a.store.flush()
        await self.a.store.close(self.a.me)
        self.down.add("a")
        responses = await asyncio.gather(
            *(self.b.keeper.handle(self._request(key, number)) for number in range(3))
        )
        self.assertEqual({response.body for response in responses}, {b"booked"})
        self.assertEqual(self._runs(), 1)

    async def test_expired_ticket_of_a_closed_holder_does_not_run(self):
        """Guards against running a ticket that its holder may have refused as expired."""
        key = self._ticket(self.a)
        await self.a.store.close(self.a.me)
        self.down.add("a")
        self.clock.advance(at_most_once.TICKET_START_S + 2)
        response = await self.b.keeper.handle(self._request(key))
        self.assertEqual((response.outcome, self._runs()), (messages.Outcome.NOT_RUN, 0))

    async def test_expired_ticket_does_not_run_after_its_holder_has_closed(self):
        """Guards against running a ticket that was reported as not run before the stop."""
        key = self._ticket(self.a)
        self.clock.advance(at_most_once.TICKET_START_S + 2)
        first = await self.a.keeper.handle(self._request(key))
        self.a.keeper.close()
        await self.a.store.close(self.a.me)
        second = await self.a.keeper.handle(self._request(key, 2))
        self.assertEqual((first.outcome, second.outcome), (messages.Outcome.NOT_RUN,) * 2)
        self.assertEqual(self._runs(), 0)

    async def test_old_ticket_does_not_run_again_after_its_holder_has_closed(self):
        """Guards against a second run of a ticket whose record has been deleted."""
        key = self._ticket(self.a)
        await self.a.keeper.handle(self._request(key))
        await self.a.store.flush()
        self.clock.advance(at_most_once.RETENTION_S + 20)
        await self.a.keeper.handle(self._request(self._ticket(self.a), 2))
        runs = self._runs()
        self.a.keeper.close()
        response = await self.a.keeper.handle(self._request(key, 3))
        self.assertEqual((response.body, self._runs()), (b"booked", runs))

    async def test_dropped_outcomes_keep_their_holder_from_writing_its_closed_marker(self):
        """Guards against "not run", and a second run, of a ticket whose outcome was dropped."""
        key = self._ticket(self.a)
        with mock.patch.object(outcomes, "MAX_PENDING", 1):
            await self.a.keeper.handle(self._request(key))
            other = at_most_once.Ticket.mint(
                holder=self.a.me, clock=self.clock, rng=random.Random(2)
            )
            await self.a.keeper.handle(self._request(str(other), 2))
        self.a.keeper.close()
        await closing.write_last_outcomes(
            me=self.a.me, outcomes=self.a.store, gatekeeper=self.a.keeper
        )
        self.down.add("a")
        response = await self.b.keeper.handle(self._request(key, 3))
        self.assertEqual((response.outcome, self._runs()), (messages.Outcome.UNKNOWN, 2))

    async def test_unreadable_stored_outcome_is_unknown(self):
        """Guards against an odd row of outcomes that fails the requests that look it up."""
        key = self._ticket(self.a)
        prefix = outcomes.segment_prefix(at_most_once.Ticket.parse(key))
        await self.table.put(f"{prefix}1", b"[" * 5, if_version=table.ABSENT)
        self.down.add("a")
        response = await self.b.keeper.handle(self._request(key))
        self.assertIs(response.outcome, messages.Outcome.UNKNOWN)

    async def test_expired_ticket_is_not_reported_as_not_run_while_a_claim_of_it_runs(self):
        """Guards against "not run" for a request that another instance is running."""
        key = self._ticket(self.a)
        self.a.keeper.close()
        await self.a.store.flush()
        await self.a.store.close(self.a.me)
        self.down.add("a")
        self.b.dispatcher.gate = asyncio.Event()
        running = asyncio.create_task(self.b.keeper.handle(self._request(key, 1, 5)))
        await asyncio.wait_for(self.b.dispatcher.started.wait(), EVENT_TIMEOUT_S)
        self.clock.advance(at_most_once.TICKET_START_S + 2)
        c = self._add("c")
        late = await c.keeper.handle(self._request(key, 2))
        self.assertIs(late.outcome, messages.Outcome.UNKNOWN)
        self.b.dispatcher.gate.set()
        self.assertEqual((await running).body, b"booked")
        self.assertEqual(self._runs(), 1)

    async def test_expired_ticket_that_is_refused_before_its_claim_is_written_does_not_run(self):
        """Guards against a run after "not run", by an instance that is about to write its claim."""
        key = self._ticket(self.a)
        self.a.keeper.close()
        await self.a.store.flush()
        await self.a.store.close(self.a.me)
        self.down.add("a")
        held = self.b.keeper._claims = _HeldWrites(self.table)
        about_to_run = asyncio.create_task(self.b.keeper.handle(self._request(key, 1, 5)))
        await asyncio.wait_for(held.reached.wait(), EVENT_TIMEOUT_S)
        self.clock.advance(at_most_once.TICKET_START_S + 2)
        late = await self._add("c").keeper.handle(self._request(key, 2))
        held.release.set()
        refused = await about_to_run
        self.assertEqual((late.outcome, refused.outcome), (messages.Outcome.NOT_RUN,) * 2)
        self.assertEqual(self._runs(), 0)

    async def test_ticket_refused_as_expired_cannot_start_where_the_clock_is_behind(self):
        """Guards against a run after "not run", by an instance to which the ticket seems fresh."""
        key = self._ticket(self.a)
        await self.a.store.close(self.a.me)
        self.down.add("a")
        behind = _Node(self, "c", "01")
        behind.keeper._registry._wall_offset_s -= at_most_once.TICKET_START_S
        self.clock.advance(at_most_once.TICKET_START_S + 2)
        refused = await self.b.keeper.handle(self._request(key))
        late = await behind.keeper.handle(self._request(key, 2))
        self.assertEqual((refused.outcome, late.outcome), (messages.Outcome.NOT_RUN,) * 2)
        self.assertEqual(behind.dispatcher.runs, [])

    async def test_ticket_from_the_future_is_not_reported_as_not_run(self):
        """Guards against "not run" for a ticket that can still start a run some seconds later."""
        ticket = at_most_once.Ticket.mint(holder=self.a.me, clock=self.clock, rng=random.Random(1))
        ahead = dataclasses.replace(ticket, issued_s=ticket.issued_s + 8)
        response = await self.a.keeper.handle(self._request(str(ahead)))
        self.assertEqual((response.outcome, self._runs()), (messages.Outcome.UNKNOWN, 0))

    async def test_outcome_of_a_run_that_outlasts_its_deadline_is_stored_in_the_claim(self):
        """Guards against a claim that says "unknown" for ever although the run ended later."""
        self.a.dispatcher.gate = asyncio.Event()
        late = await self.a.keeper.handle(self._request("invoice-12", 1, 0.05))
        self.assertIs(late.outcome, messages.Outcome.UNKNOWN)
        self.a.dispatcher.gate.set()
        while self.a.keeper.pending_updates:
            await asyncio.sleep(0.01)
        again = await self.b.keeper.handle(self._request("invoice-12", 2))
        self.assertEqual((again.body, self._runs()), (b"booked", 1))

    async def test_unreadable_claim_of_another_instance_is_unknown(self):
        """Guards against "not run" when the claim of another instance cannot be read.

        That instance may have run the request.
        """
        await self.a.keeper.handle(self._request("invoice-11"))
        view = self.table.view()
        self.b.keeper._claims = _WriteOnly(view)
        response = await self.b.keeper.handle(self._request("invoice-11", 2))
        self.assertIs(response.outcome, messages.Outcome.UNKNOWN)

    async def test_flush_waits_for_a_concurrent_flush(self):
        """Guards against a closed marker written before the last outcome is stored.

        A batch that another flush is writing is no longer in the queue.
        """
        await self.a.keeper.handle(self._request(self._ticket(self.a)))
        self.faults.delay_s = 0.05
        first = asyncio.create_task(self.a.store.flush())
        await asyncio.sleep(0)
        self.assertTrue(await self.a.store.flush())
        self.assertTrue(first.done())

    async def test_claim_race_runs_once(self):
        """Guards against a second run when several instances claim the same key concurrently."""
        responses = await asyncio.gather(
            *(
                node.keeper.handle(self._request("invoice-7", number, 5))
                for number, node in enumerate((self.a, self.b, self.a, self.b))
            )
        )
        self.assertEqual({response.body for response in responses}, {b"booked"})
        self.assertEqual(self._runs(), 1)

    async def test_claim_with_table_down_is_not_run(self):
        """Guards against running a key without a claim row.

        A retry after the outage must not run it either, as the first response was "not run".
        """
        self.faults.down = True
        response = await self.a.keeper.handle(self._request("invoice-8"))
        self.assertIs(response.outcome, messages.Outcome.NOT_RUN)
        self.assertEqual(self._runs(), 0)
        self.faults.down = False
        again = await self.a.keeper.handle(self._request("invoice-8", 2))
        self.assertEqual((again.outcome, self._runs()), (messages.Outcome.NOT_RUN, 0))

    async def test_claim_whose_write_response_was_lost_runs_once(self):
        """Guards against an attempt that takes its own claim row for that of another attempt.

        The row was written, but the response to the write was lost.
        """
        self.faults.lost_answers = 1
        response = await self.a.keeper.handle(self._request("invoice-9", 1, 5))
        again = await self.b.keeper.handle(self._request("invoice-9", 2, 5))
        self.assertEqual((response.body, again.body, self._runs()), (b"booked", b"booked", 1))

    async def test_claim_of_a_crashed_holder_is_unknown(self):
        """Guards against a second run after the holder of the claim crashed during the first."""
        self.a.dispatcher.gate = asyncio.Event()
        task = asyncio.create_task(self.a.keeper.handle(self._request("invoice-10", 1, 5)))
        await asyncio.wait_for(self.a.dispatcher.started.wait(), EVENT_TIMEOUT_S)
        self.down.add("a")
        response = await self.b.keeper.handle(self._request("invoice-10", 2))
        self.assertIs(response.outcome, messages.Outcome.UNKNOWN)
        self.assertEqual(self._runs(), 1)
        self.a.dispatcher.gate.set()
        await task

    async def test_refusal_is_final_for_the_key(self):
        """Guards against running a key after a response "not run"."""
        key = self._ticket(self.a)
        self.a.dispatcher.script = [messages.not_run(429, messages.Reason.NO_SLOT)]
        first = await self.a.keeper.handle(self._request(key))
        second = await self.b.keeper.handle(self._request(key, 2))
        self.assertEqual(
            (first.outcome, second.outcome), (messages.Outcome.NOT_RUN, messages.Outcome.NOT_RUN)
        )
        self.assertEqual(self._runs(), 1)

    async def test_disconnected_caller_does_not_stop_the_run(self):
        """Guards against losing an outcome because the first caller disconnected."""
        key = self._ticket(self.a)
        self.a.dispatcher.gate = asyncio.Event()
        task = asyncio.create_task(self.a.keeper.handle(self._request(key, 1, 5)))
        await asyncio.wait_for(self.a.dispatcher.started.wait(), EVENT_TIMEOUT_S)
        task.cancel()
        self.a.dispatcher.gate.set()
        response = await self.b.keeper.handle(self._request(key, 2, 5))
        self.assertEqual((response.body, self._runs()), (b"booked", 1))


if __name__ == "__main__":
    unittest.main()

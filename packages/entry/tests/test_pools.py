"""Tests of the pool manager: admission, dispatch and retries."""

import asyncio
import unittest

import entry_fakes as fakes

from sassafrasway_core import model, region, share
from sassafrasway_entry import backend_client, messages, pools

_Result = backend_client.CallResult


class PoolManagerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = fakes.manual_clock()
        self.backend = fakes.FakeBackend()
        self.crashes = []

    def _manager(self, **options):
        manager = fakes.pool_manager(
            backend=self.backend, clock_source=self.clock, crashes=self.crashes, **options
        )
        # Windows of a new owner admit nothing at first, and its refusals are temporary.
        self.clock.advance(pools.HANDOVER_SETTLE_S)
        return manager

    def _request(self, **options):
        return fakes.request(clock_source=self.clock, **options)

    async def test_slot_is_released_after_a_response(self):
        """Guards against slots that are not released after a response."""
        manager = self._manager()
        for number in range(10):
            response = await manager.execute(
                fakes.POOL, self._request(number=number, body=b"b"), may_queue=False
            )
            self.assertEqual((response.outcome, response.body), (messages.Outcome.RAN, b"b"))

    async def test_full_pool_refuses_as_not_run(self):
        """Guards against more concurrent requests to a server than it has slots."""
        manager = self._manager()
        self.backend.gate = asyncio.Event()
        running = [
            asyncio.create_task(
                manager.execute(fakes.POOL, self._request(number=number), may_queue=False)
            )
            for number in range(3)
        ]
        await asyncio.sleep(0)
        response = await manager.execute(fakes.POOL, self._request(number=9), may_queue=False)
        self.assertEqual(response.reason, messages.Reason.NO_SLOT)
        self.assertIs(response.outcome, messages.Outcome.NOT_RUN)
        self.backend.gate.set()
        await asyncio.gather(*running)
        self.assertEqual(len(self.backend.calls), 3)

    async def test_refusal_by_a_new_owner_is_temporary(self):
        """Guards against final refusals by a new owner during the handover.

        A planned replacement of an instance would then fail requests of callers.
        """
        manager = fakes.pool_manager(
            backend=self.backend, clock_source=self.clock, share_value=share.Share.NONE
        )
        early = await manager.execute(fakes.POOL, self._request(), may_queue=False)
        self.assertEqual(early.reason, messages.Reason.NOT_READY)
        self.clock.advance(pools.HANDOVER_SETTLE_S)
        later = await manager.execute(fakes.POOL, self._request(), may_queue=False)
        self.assertEqual(later.reason, messages.Reason.NO_SLOT)

    async def test_cancelled_caller_frees_the_slot(self):
        """Guards against a slot that stays in use after its caller disconnected."""
        manager = self._manager()
        self.backend.gate = asyncio.Event()
        for number in range(9):
            task = asyncio.create_task(
                manager.execute(fakes.POOL, self._request(number=number), may_queue=False)
            )
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(manager.owned[fakes.POOL].slots.in_use(), {})

    async def test_timed_out_attempt_releases_its_slot(self):
        """Guards against slots that stay in use until a long deadline after an attempt timed out.

        In test_silent_connections with a deadline of 20 s, all slots of quote-archive-2 stayed in
        use, so it got no request on a new connection after its open connections went silent.
        """
        manager = self._manager(policy_=fakes.policy(servers=[fakes.server(slots=1)]))
        self.backend.script = [_Result.TIMEOUT]
        await manager.execute(fakes.POOL, self._request(remaining_s=20.0), may_queue=False)
        self.assertEqual(manager.owned[fakes.POOL].slots.in_use(), {})

    async def test_released_slot_is_given_to_a_waiting_request(self):
        """Guards against a waiting request that is not given a released slot."""
        servers = [fakes.server(service="katalog", slots=1)]
        key = model.PoolKey(service="katalog", region="bkk")
        manager = self._manager(policy_=fakes.policy(servers=servers))
        self.backend.gate = asyncio.Event()
        tasks = [
            asyncio.create_task(
                manager.execute(
                    key, self._request(service="katalog", number=number), may_queue=True
                )
            )
            for number in range(4)
        ]
        await asyncio.sleep(0)
        self.backend.gate.set()
        responses = await asyncio.gather(*tasks)
        self.assertEqual({response.outcome for response in responses}, {messages.Outcome.RAN})
        self.assertEqual(manager.owned[key].slots.in_use(), {})

    async def test_shed_request_is_retried_on_another_server(self):
        """Guards against failing, or reporting "unknown" for, a request that a server has shed.

        The server has not processed it, so another server can.
        """
        servers = [fakes.server("s1"), fakes.server("s2")]
        manager = self._manager(policy_=fakes.policy(servers=servers))
        self.backend.script = [_Result.SHED]
        response = await manager.execute(fakes.POOL, self._request(), may_queue=False)
        self.assertIs(response.outcome, messages.Outcome.RAN)
        self.assertEqual(len({name for name, _ in self.backend.calls}), 2)

    async def test_lost_non_idempotent_request_is_unknown_and_not_retried(self):
        """Guards against a second run of a non-idempotent request that a server may have run."""
        servers = [fakes.server("s1"), fakes.server("s2")]
        manager = self._manager(policy_=fakes.policy(servers=servers))
        for result in (_Result.LOST, _Result.TIMEOUT):
            with self.subTest(result=result):
                self.backend.calls.clear()
                self.backend.script = [result]
                response = await manager.execute(fakes.POOL, self._request(), may_queue=False)
                self.assertIs(response.outcome, messages.Outcome.UNKNOWN)
                self.assertEqual(len(self.backend.calls), 1)

    async def test_request_on_a_refused_connection_is_retried(self):
        """Guards against failing a request that no server has received."""
        servers = [fakes.server("s1"), fakes.server("s2")]
        manager = self._manager(policy_=fakes.policy(servers=servers))
        self.backend.script = [_Result.NOT_SENT]
        response = await manager.execute(fakes.POOL, self._request(), may_queue=False)
        self.assertIs(response.outcome, messages.Outcome.RAN)

    async def test_crashing_request_stops_after_two_servers(self):
        """Guards against one request that crashes every server of a pool as it is retried."""
        servers = [fakes.server(f"s{index}", service="quote-archive") for index in range(6)]
        key = model.PoolKey(service="quote-archive", region="bkk")
        manager = self._manager(policy_=fakes.policy(servers=servers))
        self.backend.script = [_Result.LOST] * 20
        outcomes = []
        for number in range(5):
            response = await manager.execute(
                key, self._request(service="quote-archive", number=number), may_queue=False
            )
            outcomes.append((response.status, response.outcome))
            self.clock.advance(1.0)
        self.assertEqual(len({name for name, _ in self.backend.calls}), 2)
        self.assertEqual(len(self.backend.calls), 2)
        self.assertEqual(len(self.crashes), 2)
        self.assertEqual(outcomes[-1], (422, messages.Outcome.NOT_RUN))

    async def test_offline_share_admits_a_third_of_the_slots(self):
        """Guards against an owner without a valid grant using more than the offline share."""
        manager = self._manager(share_value=share.Share.OFFLINE)
        self.backend.gate = asyncio.Event()
        tasks = [
            asyncio.create_task(
                manager.execute(fakes.POOL, self._request(number=number), may_queue=False)
            )
            for number in range(3)
        ]
        await asyncio.sleep(0)
        self.backend.gate.set()
        responses = await asyncio.gather(*tasks)
        ran = [response for response in responses if response.outcome is messages.Outcome.RAN]
        self.assertEqual(len(ran), 1)

    async def test_slots_of_the_previous_owner_stay_in_use(self):
        """Guards against a new owner that uses slots on which old requests still run."""
        manager = self._manager()
        manager.set_grants([])
        previous = model.InstanceId(name="bkk-a-2", incarnation="0b")
        grant = region.PoolGrant(
            pool=fakes.POOL,
            share=share.Share.FULL,
            inherited={"s1": 3},
            inherited_s=9.0,
            previous=previous,
        )
        manager.set_grants([grant])
        self.clock.advance(2.0)
        response = await manager.execute(fakes.POOL, self._request(), may_queue=False)
        self.assertEqual(response.outcome, messages.Outcome.NOT_RUN)
        manager.release_inherited(fakes.POOL, "s1", 1)
        response = await manager.execute(fakes.POOL, self._request(), may_queue=False)
        self.assertEqual(response.outcome, messages.Outcome.RAN)

    async def test_leaving_server_gets_no_new_requests(self):
        """Guards against new requests to a server that the policy marks as leaving."""
        servers = [fakes.server("s1"), fakes.server("s2")]
        manager = self._manager(policy_=fakes.policy(servers=servers))
        leaving = [fakes.server("s1", state="leaving"), fakes.server("s2")]
        manager.set_policy(fakes.policy(servers=leaving, revision=2))
        for number in range(6):
            await manager.execute(fakes.POOL, self._request(number=number), may_queue=False)
        self.assertEqual({name for name, _ in self.backend.calls}, {"s2"})

    async def test_region_cap_limits_dispatched_requests(self):
        """Guards against a region receiving more than its cap in one second."""
        manager = self._manager(
            policy_=fakes.policy(servers=[fakes.server(slots=50)], caps={"bkk": 5.0}),
            region_cap_rps=5.0,
        )
        responses = [
            await manager.execute(fakes.POOL, self._request(number=number), may_queue=False)
            for number in range(20)
        ]
        ran = [response for response in responses if response.outcome is messages.Outcome.RAN]
        self.assertEqual(len(ran), 5)
        self.assertEqual(responses[-1].reason, messages.Reason.REGION_CAP)
        self.assertEqual(manager.owned[fakes.POOL].slots.in_use(), {})

    async def test_refusal_for_a_cap_is_temporary_while_a_new_coordinator_takes_over(self):
        """Guards against final refusals for a cap while the coordinator is replaced.

        In the test that replaces every instance, seed 4000, the other instances kept their shares
        for 3 s after the coordinator changed, and 8 of 5,825 requests were refused for the cap of
        the region.
        """
        epochs = [1]
        manager = self._manager(
            policy_=fakes.policy(servers=[fakes.server(slots=50)], caps={"bkk": 1.0}),
            region_cap_rps=1.0,
            epoch=lambda: epochs[-1],
        )

        async def refuse():
            await manager.execute(fakes.POOL, self._request(number=1), may_queue=False)
            response = await manager.execute(fakes.POOL, self._request(number=2), may_queue=False)
            return response.reason

        self.assertEqual(await refuse(), messages.Reason.REGION_CAP)
        epochs.append(2)
        manager._limits.demand()
        self.clock.advance(pools.HANDOVER_SETTLE_S / 2)
        self.assertEqual(await refuse(), messages.Reason.NOT_READY)
        self.clock.advance(pools.HANDOVER_SETTLE_S)
        self.assertEqual(await refuse(), messages.Reason.REGION_CAP)

    async def test_shift_cap_limits_requests_from_the_source_region(self):
        """Guards against more requests from the source region than the cap of the shift."""
        shift = model.Shift(
            name="move", service="crew-desk", source="cnx", target="bkk", cap_rps=4.0
        )
        manager = self._manager(
            policy_=fakes.policy(servers=[fakes.server(slots=50)], shifts=[shift])
        )
        responses = []
        for number in range(20):
            request = fakes.request(clock_source=self.clock, number=number)
            request = fakes.with_home_region(request, home_region="cnx")
            responses.append(await manager.execute(fakes.POOL, request, may_queue=False))
        own = await manager.execute(fakes.POOL, self._request(number=99), may_queue=False)
        self.assertEqual(sum(response.outcome is messages.Outcome.RAN for response in responses), 4)
        self.assertIs(own.outcome, messages.Outcome.RAN)

    async def test_ejected_server_is_probed_and_returns(self):
        """Guards against a server that stays out of its pool after it has recovered."""
        servers = [fakes.server(f"s{index}", slots=1) for index in range(3)]
        manager = self._manager(policy_=fakes.policy(servers=servers))
        owned = manager.owned[fakes.POOL]
        while not owned.slots.health.ejected():
            self.backend.script = [_Result.NOT_SENT] * 3
            await manager.execute(fakes.POOL, self._request(), may_queue=False)
            self.clock.advance(1.0)
        self.clock.advance(120.0)
        await manager.probe_pools()
        self.assertEqual(owned.slots.health.ejected(), frozenset())


if __name__ == "__main__":
    unittest.main()

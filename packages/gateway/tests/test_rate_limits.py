"""Tests of the rate limits of organisations: owners, clients and changes of the owner."""

import asyncio
import dataclasses
import unittest

import quota_simulation
import structlog

from sassafrasway_gateway import fleet, peer_messages, quota_client, quota_permits

ORGANISATION = quota_simulation.make_organisation()
SMALL = quota_simulation.make_organisation("small", rate_per_s=3.0, burst=10.0)


class QuotaFixture(unittest.TestCase):
    """Builds simulated fleets without log output."""

    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        self.addCleanup(structlog.reset_defaults)
        quota_simulation.share_rings(self)

    def simulate(self, count, *organisations, seed=1, **fields):
        simulation = quota_simulation.Simulation(
            count=count, organisations=organisations or (ORGANISATION,), seed=seed, **fields
        )
        simulation.run(1.0)
        return simulation

    def owner_of(self, simulation, organisation=SMALL):
        """Returns the instance that owns the only shard of an organisation."""
        owners = [
            instance
            for instance in simulation.live()
            if instance.limiter._owner.owns(organisation.name, 0)
        ]
        self.assertEqual(len(owners), 1)
        return owners[0]

    def start(self):
        """Returns a fleet, the owner of the only shard, and another instance."""
        simulation = self.simulate(6, SMALL)
        owner = self.owner_of(simulation)
        return simulation, owner, next(one for one in simulation.live() if one is not owner)

    def request(self, instance, organisation=SMALL):
        results = []
        instance.limiter.request(organisation.name, quota_permits.Waiter(on_done=results.append))
        return results


class OwnerTest(QuotaFixture):
    """Guards against limits that hold for each instance instead of the fleet."""

    def test_owner_pays_no_message_and_others_pay_two(self):
        """Guards against messages for what an instance can decide itself."""
        simulation = self.simulate(1, SMALL)
        self.assertTrue(self.request(self.owner_of(simulation))[0].valid(simulation.now_s))
        simulation, owner, client = self.start()
        before = owner.sent_bytes
        self.assertTrue(self.request(owner)[0].valid(simulation.now_s))
        self.assertEqual(owner.sent_bytes, before)
        results = self.request(client)
        self.assertEqual(results, [])
        simulation.run(0.1)
        self.assertTrue(results[0].valid(simulation.now_s))

    def test_nothing_is_sent_without_limits(self):
        """Guards against a cost for deployments without limits."""
        unlimited = quota_simulation.make_organisation(rate_per_s=0.0)
        simulation = self.simulate(6, unlimited)
        simulation.offer(unlimited.name, 50.0, 1.0)
        simulation.run(2.0)
        self.assertEqual(sum(i.sent_bytes for i in simulation.live()), 0)

    def test_isolated_owner_stops_granting(self):
        """Guards against an owner that grants although another one has replaced it."""
        simulation, owner, _ = self.start()
        simulation.partition(lambda instance: int(instance is owner))
        simulation.run(1.6)
        emergency = owner.limiter._limits[SMALL.name].emergency
        results = [self.request(owner)[0] for _ in range(20)]
        granted = [result for result in results if isinstance(result, quota_permits.Permit)]
        self.assertLessEqual(len(granted), emergency)
        errors = [result for result in results if isinstance(result, quota_permits.QuotaError)]
        self.assertEqual({error.status for error in errors}, {503})
        self.assertTrue(all(error.retry_after_s > 0.0 for error in errors))

    def test_change_of_owner_does_not_double_the_limit(self):
        """Guards against a new owner with a full burst while the old one's is being used."""
        for seed in range(20):
            simulation = self.simulate(12, SMALL, seed=seed)
            simulation.offer(SMALL.name, 60.0, 8.0)
            for index in range(12):
                simulation.run(0.3)
                simulation.add(f"new-{index}")
            simulation.run(6.0)
            with self.subTest(seed=seed):
                self.assertLessEqual(
                    simulation.max_window(SMALL.name), quota_simulation.bound(SMALL)
                )

    def test_previous_owner_hands_its_tokens_over(self):
        """Guards against requests rejected by each change of the owner."""
        simulation, owner, _ = self.start()
        level = owner.limiter._owner._shards[SMALL.name, 0].bucket.level(simulation.now_s)
        index = 0
        while self.owner_of(simulation) is owner:
            simulation.add(f"new-{index}")
            simulation.run(1.0)
            index += 1
        shard = self.owner_of(simulation).limiter._owner._shards[SMALL.name, 0]
        self.assertGreaterEqual(shard.bucket.level(simulation.now_s), level)

    def test_owner_forgets_its_tokens_after_a_pause(self):
        """Guards against an owner that was frozen, replaced, and goes on with its bucket."""
        simulation, owner, _ = self.start()
        simulation.freeze(owner, 5.0)
        simulation.run(4.0)
        self.assertFalse(owner.limiter._owner.owns(SMALL.name, 0))

    def test_instance_without_list_of_members_serves_the_others_only(self):
        """Guards against several owners while instances start or the store is away, or none."""
        simulation, owner, client = self.start()
        owner.view.own = dataclasses.replace(owner.member, phase=fleet.Phase.STARTING)
        simulation.run(1.0)
        self.assertFalse(owner.limiter._owner.owns(SMALL.name, 0))
        owner.view.own = owner.member
        owner.view.has_list = False
        owner.limiter = owner.make_limiter()
        owner.limiter.set_organisations({SMALL.name: SMALL})
        results = []
        for _ in range(40):
            results.append(self.request(client))
            simulation.run(0.05)
        granted = [result for result in results if isinstance(result[0], quota_permits.Permit)]
        self.assertGreaterEqual(len(granted), 6)
        self.assertFalse(owner.limiter._owner.owns(SMALL.name, 0))

    def test_late_or_repeated_return_is_ignored(self):
        """Guards against tokens that are returned twice, or after the window."""
        simulation, owner, client = self.start()
        request = peer_messages.TokenRequest(SMALL.name, 0, 5, 0, 7)
        bucket = owner.limiter._owner._shards[SMALL.name, 0].bucket
        owner.limiter.on_message(request, client.name)
        level = bucket.level(simulation.now_s)
        message = peer_messages.TokenReturn(SMALL.name, 0, 5, 7)
        for _ in range(3):
            owner.limiter.on_message(message, client.name)
        self.assertAlmostEqual(bucket.level(simulation.now_s), level + 5)


class ClientTest(QuotaFixture):
    """Guards against tokens used when they are not valid, and against lost ones."""

    def test_frozen_client_does_not_use_its_tokens(self):
        """Guards against requests sent after a pause with tokens of another window."""
        simulation, _, client = self.start()
        permit = self.request(client)
        simulation.run(0.1)
        simulation.freeze(client, 3.0)
        simulation.run(3.1)
        self.assertFalse(permit[0].valid(simulation.now_s))

    def test_unused_token_is_returned(self):
        """Guards against rejected requests that use up the limit."""
        simulation, _, client = self.start()
        for _ in range(60):
            results = self.request(client)
            simulation.run(0.1)
            results[0].give_back()
            self.assertFalse(results[0].valid(simulation.now_s))
        self.assertEqual(sum(isinstance(r, quota_permits.QuotaError) for r in results), 0)

    def test_token_for_a_caller_that_left_is_used_by_another_request(self):
        """Guards against tokens that leak when callers disconnect."""
        simulation, _, client = self.start()
        left = quota_permits.Waiter(on_done=self.fail)
        client.limiter.request(SMALL.name, left)
        left.cancel()
        simulation.run(0.1)
        self.assertEqual(len(self.request(client)), 1)

    def test_rejection_states_when_tokens_accrue(self):
        """Guards against callers that retry at once, or much too late."""
        simulation, _, client = self.start()
        errors = []
        while not errors:
            results = self.request(client)
            simulation.run(0.25)
            errors = [r for r in results if isinstance(r, quota_permits.QuotaError)]
        self.assertEqual(errors[0].status, 429)
        self.assertTrue(0.05 < errors[0].retry_after_s < 2.0)

    def test_unanswered_owner_leads_to_the_emergency_quota_and_503(self):
        """Guards against requests that wait for a dead owner, or pass without limit."""
        simulation, owner, _ = self.start()
        owner.alive = False
        results = [
            result
            for instance in simulation.live()
            for result in [self.request(instance) for _ in range(10)]
        ]
        simulation.run(quota_client.ANSWER_TIMEOUT_S * quota_client.MAX_UNANSWERED + 0.1)
        self.assertTrue(all(results))
        passed = sum(isinstance(result[0], quota_permits.Permit) for result in results)
        self.assertTrue(0 < passed <= owner.limiter._limits[SMALL.name].emergency)
        self.assertEqual(
            {r[0].status for r in results if isinstance(r[0], quota_permits.QuotaError)}, {503}
        )

    def test_removed_limit_ends_the_wait(self):
        """Guards against requests that wait for ever for a limit that is gone."""
        simulation, _, client = self.start()
        results = self.request(client)
        client.limiter.set_organisations({})
        self.assertTrue(results[0].valid(simulation.now_s))

    def test_cancelled_wait_leaves_no_waiter(self):
        """Guards against requests that leak when the task that waits is cancelled."""
        simulation, _, client = self.start()

        async def cancel():
            task = asyncio.create_task(client.limiter.acquire(SMALL.name))
            await asyncio.sleep(0)
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task

        asyncio.run(cancel())
        simulation.run(0.1)
        account = client.limiter._client._accounts[SMALL.name]
        self.assertEqual((len(account.waiters), len(account.spare), account.asked), (0, 1, 0))

"""Tests of the slot pool."""

import collections
import unittest

import hypothesis
import pool_driver
from hypothesis import strategies as st

from sassafrasway_core import clock, model, pool

_OK = pool.ServerResult.OK


class SlotPoolTest(unittest.TestCase):
    def setUp(self):
        self.time = clock.ManualClock()

    def _make_pool(self, server_count=3, slots=3, **options):
        servers = [pool_driver.server(f"s{i}", slots=slots) for i in range(server_count)]
        return pool_driver.make_pool(servers, time=self.time, **options)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(st.integers(0, 2**32))
    def test_random_operations_agree_with_the_reference_model(self, seed):
        """Guards against exceeded slots, skipped waiting requests and use of leaving servers.

        Such faults appear only in certain orders of operations, so the orders are random.
        """
        pool_driver.RandomRun(seed=seed, steps=120).run()

    def test_the_server_with_most_free_slots_is_chosen_and_ties_are_spread(self):
        """Guards against uneven load, which raises latency before any slot limit is reached."""
        slot_pool = self._make_pool(server_count=12)
        leases_by_server = collections.Counter(
            slot_pool.try_acquire().server.name for _ in range(12)
        )
        self.assertEqual(len(leases_by_server), 12)
        pools = [self._make_pool(server_count=12, seed=seed) for seed in range(60)]
        names = {other_pool.try_acquire().server.name for other_pool in pools}
        self.assertGreater(len(names), 8)

    def test_shares_divide_the_slots(self):
        """Guards against an overlap of the offline share and the reduced share.

        Two instances can hold these shares of one pool at the same time.
        """
        for slots in range(1, 10):
            offline, reduced = (
                share.slots(slots) for share in (pool.Share.OFFLINE, pool.Share.REDUCED)
            )
            self.assertEqual((offline, offline + reduced), (slots // 3, slots))
        slot_pool = self._make_pool(server_count=2)
        leases = [slot_pool.try_acquire() for _ in range(6)]
        slot_pool.set_share(pool.Share.OFFLINE)
        self.assertEqual([slot_pool.release(lease, _OK) for lease in leases[:3]], [[], [], []])
        self.assertIsNone(slot_pool.try_acquire(exclude={leases[3].server.name}))

    def test_freed_slot_goes_to_the_longest_waiting_request_that_is_still_valid(self):
        """Guards against granting a slot to a request that has expired or was abandoned."""
        slot_pool = self._make_pool(server_count=1, slots=1, queue_limit=3)
        lease = slot_pool.try_acquire()
        for waiter_id, wait_s in (("late", 1.0), ("abandoned", 9.0), ("next", 9.0)):
            self.assertTrue(slot_pool.enqueue(waiter_id, expires_s=self.time.monotonic() + wait_s))
        self.assertFalse(slot_pool.enqueue("fourth", expires_s=self.time.monotonic() + 9))
        slot_pool.abandon("abandoned")
        self.time.advance(2)
        (waiter_lease,) = slot_pool.release(lease, _OK)
        self.assertEqual(
            (waiter_lease.waiter_id, slot_pool.expire(), slot_pool.expire()),
            ("next", ["late"], []),
        )

    def test_new_and_long_idle_servers_are_ramped_up(self):
        """Guards against sending full load to a server with cold caches."""
        slot_pool = self._make_pool(server_count=1, slots=6, ramp_s=3.0)
        self.assertEqual(slot_pool.free_slots(), 6)
        slot_pool.set_servers([pool_driver.server("new", slots=6)])
        self.assertEqual(slot_pool.free_slots(), 1)
        slot_pool.release(slot_pool.try_acquire(), _OK)
        free_slots = []
        for _ in range(4):
            free_slots.append(slot_pool.free_slots())
            self.time.advance(1.0)
        self.assertEqual(free_slots, [1, 2, 4, 6])
        self.time.advance(3600)
        self.assertEqual(slot_pool.free_slots(), 1)

    def test_inherited_slots_count_until_released_or_expired(self):
        """Guards against a new owner using slots on which requests of the old owner still run."""
        slot_pool = self._make_pool(server_count=1, slots=3)
        slot_pool.inherit({"s0": 2, "unknown": 1}, expires_s=self.time.monotonic() + 2)
        slot_pool.try_acquire()
        self.assertIsNone(slot_pool.try_acquire())
        slot_pool.release_inherited("s0", 1)
        self.assertIsNotNone(slot_pool.try_acquire())
        self.assertEqual(slot_pool.in_use(), {"s0": 3, "unknown": 1})
        self.time.advance(2)
        self.assertEqual(slot_pool.in_use(), {"s0": 2})

    def test_leaving_server_gets_no_new_work_until_the_policy_readmits_it(self):
        """Guards against an unrelated policy change readmitting a leaving server."""
        slot_pool = self._make_pool(server_count=1)
        slot_pool.release(slot_pool.try_acquire(), pool.ServerResult.LEAVING)
        slot_pool.set_servers([pool_driver.server("s0", slots=4)])
        self.assertIsNone(slot_pool.try_acquire())
        slot_pool.set_servers([pool_driver.server("s0", state=model.ServerState.LEAVING)])
        slot_pool.set_servers([pool_driver.server("s0")])
        self.assertIsNotNone(slot_pool.try_acquire())

    def test_server_that_stopped_leaving_returns_after_a_probe(self):
        """Guards against losing the slots of a server that restarts at the same address."""
        slot_pool = self._make_pool(server_count=1, ramp_s=3.0)
        slot_pool.release(slot_pool.try_acquire(), pool.ServerResult.LEAVING)
        self.assertEqual(slot_pool.servers_to_probe(), [])
        self.time.advance(5.0)
        self.assertEqual([server.name for server in slot_pool.servers_to_probe()], ["s0"])
        for succeeded, leaving, free_slots in ((True, None, 0), (True, True, 0), (True, False, 1)):
            slot_pool.record_probe("s0", succeeded=succeeded, leaving=leaving)
            self.assertEqual(slot_pool.servers_to_probe(), [])
            self.assertEqual(slot_pool.free_slots(), free_slots)

    def test_shedding_and_failing_servers_come_last(self):
        """Guards against retrying a request on the server that has just refused it."""
        for result in (pool.ServerResult.SHED, pool.ServerResult.FAILED):
            slot_pool = self._make_pool(server_count=2)
            lease = slot_pool.try_acquire()
            slot_pool.release(lease, result)
            names = [slot_pool.try_acquire().server.name for _ in range(6)]
            self.assertEqual(names[3:], [lease.server.name] * 3)

    def test_load_reports_limit_the_free_slots_only_with_rank_by_reports(self):
        """Guards against outdated load reports overriding the owner's own exact count.

        Where other instances dispatch too, a reported load counts like the pool's own leases.
        """
        chose_busy = []
        for rank_by_reports in (False, True):
            slot_pool = self._make_pool(server_count=2, rank_by_reports=rank_by_reports)
            busy = slot_pool.try_acquire().server.name
            slot_pool.report_load("s1" if busy == "s0" else "s0", 3)
            chose_busy.append(slot_pool.try_acquire().server.name == busy)
        self.assertEqual(chose_busy, [False, True])

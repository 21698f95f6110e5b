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

    def _pool(self, count=3, slots=3, **options):
        servers = [pool_driver.server(f"s{i}", slots=slots) for i in range(count)]
        return pool_driver.make_pool(servers, time=self.time, **options)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(st.integers(0, 2**32))
    def test_random_operations_agree_with_the_model(self, seed):
        """Guards against every way to exceed slots, pass over a waiter or use a leaving server."""
        pool_driver.RandomRun(seed=seed, steps=120).run()

    def test_the_server_with_most_free_slots_is_chosen_and_ties_are_spread(self):
        """Guards against uneven load, which costs latency before any slot limit is reached."""
        slots = self._pool(count=12)
        first = collections.Counter(slots.try_acquire().server.name for _ in range(12))
        self.assertEqual(len(first), 12)
        fresh = [self._pool(count=12, seed=seed) for seed in range(60)]
        names = {each.try_acquire().server.name for each in fresh}
        self.assertGreater(len(names), 8)

    def test_shares_divide_the_slots(self):
        """Guards against the offline share and the reduced share overlapping."""
        for slots in range(1, 10):
            offline, reduced = (s.slots(slots) for s in (pool.Share.OFFLINE, pool.Share.REDUCED))
            self.assertEqual((offline, offline + reduced), (slots // 3, slots))
        limited = self._pool(count=2)
        held = [limited.try_acquire() for _ in range(6)]
        limited.set_share(pool.Share.OFFLINE)
        self.assertEqual([limited.release(lease, _OK) for lease in held[:3]], [[], [], []])
        self.assertIsNone(limited.try_acquire(exclude={held[3].server.name}))

    def test_freed_slot_goes_to_the_longest_waiting_request_in_time(self):
        """Guards against handing a slot to a request whose caller has given up."""
        slots = self._pool(count=1, slots=1, queue_limit=3)
        lease = slots.try_acquire()
        for waiter, wait_s in (("late", 1.0), ("gone", 9.0), ("next", 9.0)):
            self.assertTrue(slots.enqueue(waiter, expires_s=self.time.monotonic() + wait_s))
        self.assertFalse(slots.enqueue("fourth", expires_s=self.time.monotonic() + 9))
        slots.abandon("gone")
        self.time.advance(2)
        (grant,) = slots.release(lease, _OK)
        self.assertEqual((grant.waiter_id, slots.expire(), slots.expire()), ("next", ["late"], []))

    def test_new_and_long_idle_servers_are_ramped_up(self):
        """Guards against sending full load to a server whose caches are cold."""
        slots = self._pool(count=1, slots=6, ramp_s=3.0)
        self.assertEqual(slots.free_slots(), 6)
        slots.set_servers([pool_driver.server("new", slots=6)])
        self.assertEqual(slots.free_slots(), 1)
        slots.release(slots.try_acquire(), _OK)
        free = []
        for _ in range(4):
            free.append(slots.free_slots())
            self.time.advance(1.0)
        self.assertEqual(free, [1, 2, 4, 6])
        self.time.advance(3600)
        self.assertEqual(slots.free_slots(), 1)

    def test_inherited_slots_count_until_released_or_expired(self):
        """Guards against a new owner using slots on which old requests still run."""
        slots = self._pool(count=1, slots=3)
        slots.inherit({"s0": 2, "unknown": 1}, expires_s=self.time.monotonic() + 2)
        slots.try_acquire()
        self.assertIsNone(slots.try_acquire())
        slots.release_inherited("s0", 1)
        self.assertIsNotNone(slots.try_acquire())
        self.assertEqual(slots.in_use(), {"s0": 3, "unknown": 1})
        self.time.advance(2)
        self.assertEqual(slots.in_use(), {"s0": 2})

    def test_leaving_server_gets_no_new_work_until_the_policy_readmits_it(self):
        """Guards against an unrelated policy change readmitting a server that drains."""
        slots = self._pool(count=1)
        slots.release(slots.try_acquire(), pool.ServerResult.LEAVING)
        slots.set_servers([pool_driver.server("s0", slots=4)])
        self.assertIsNone(slots.try_acquire())
        slots.set_servers([pool_driver.server("s0", state=model.ServerState.LEAVING)])
        slots.set_servers([pool_driver.server("s0")])
        self.assertIsNotNone(slots.try_acquire())

    def test_server_that_stopped_leaving_returns_after_a_probe(self):
        """Guards against losing the slots of a server that restarts on the same address."""
        slots = self._pool(count=1, ramp_s=3.0)
        slots.release(slots.try_acquire(), pool.ServerResult.LEAVING)
        self.assertEqual(slots.servers_to_probe(), [])
        self.time.advance(5.0)
        self.assertEqual([each.name for each in slots.servers_to_probe()], ["s0"])
        for succeeded, leaving, free in ((True, None, 0), (True, True, 0), (True, False, 1)):
            slots.record_probe("s0", succeeded=succeeded, leaving=leaving)
            self.assertEqual(slots.servers_to_probe(), [])
            self.assertEqual(slots.free_slots(), free)

    def test_shedding_and_failing_servers_come_last(self):
        """Guards against repeating a request on the server that has just refused it."""
        for result in (pool.ServerResult.SHED, pool.ServerResult.FAILED):
            slots = self._pool(count=2)
            lease = slots.try_acquire()
            slots.release(lease, result)
            names = [slots.try_acquire().server.name for _ in range(6)]
            self.assertEqual(names[3:], [lease.server.name] * 3)

    def test_reports_rank_by_load_only_where_others_dispatch_too(self):
        """Guards against misleading reports overruling the owner's own exact count."""
        chosen = []
        for rank_by_reports in (False, True):
            slots = self._pool(count=2, rank_by_reports=rank_by_reports)
            busy = slots.try_acquire().server.name
            slots.report_load("s1" if busy == "s0" else "s0", 3)
            chosen.append(slots.try_acquire().server.name == busy)
        self.assertEqual(chosen, [False, True])

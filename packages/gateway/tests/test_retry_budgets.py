"""Tests of dividing the retries of the fleet among its instances."""

import bisect
import random
import unittest

import test_fleet

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import fleet, retry_budgets, settings

RATIO = 0.2
EXTRA = 112.0
WINDOW_S = 10.0


class RetryBudgetsTest(unittest.TestCase):
    """Guards against instances that together retry more often than the bound allows."""

    def make_budgets(self, clock, name, known, *, has_list=True):
        """Returns the budgets of an instance that knows the given members."""
        view = fleet.FleetView(clock=clock, own=test_fleet.make_member(name), rng=random.Random(1))
        for other in known:
            view.on_message(test_fleet.make_member(other))
        if has_list:
            view.set_has_list()
        bounds = settings.Bounds(retry_ratio=RATIO, retry_extra=EXTRA, retry_window_s=WINDOW_S)
        return retry_budgets.RetryBudgets(clock=clock, view=view, bounds=bounds)

    def max_retries_per_window(self, instance_count, requests_per_s, steps=300, **fields):
        """Returns the maximum number of retries of all instances together in one window."""
        clock = clock_lib.ManualClock()
        names = [f"i{index}" for index in range(instance_count)]
        budgets = [self.make_budgets(clock, name, names, **fields) for name in names]
        retry_times_s = []
        step_s = 0.1
        for step in range(steps):
            for instance_budgets in budgets:
                # Instances whose share of the requests rounds to 0 get one per second each.
                for _ in range(round(requests_per_s * step_s / instance_count) or step % 10 == 0):
                    instance_budgets.budget_of("s").on_request()
                while instance_budgets.budget_of("s").try_retry():
                    retry_times_s.append(clock.monotonic())
            clock.advance(step_s)
        return max(
            (
                bisect.bisect_left(retry_times_s, start_s + WINDOW_S)
                - bisect.bisect_left(retry_times_s, start_s)
                for start_s in retry_times_s
            ),
            default=0,
        )

    def test_all_instances_together_stay_within_the_bound(self):
        for instance_count, requests_per_s in ((1, 50), (16, 160), (26, 520), (124, 1240)):
            with self.subTest(instance_count=instance_count):
                bound = RATIO * requests_per_s * WINDOW_S + EXTRA
                self.assertLessEqual(
                    self.max_retries_per_window(instance_count, requests_per_s), bound
                )

    def test_most_of_the_bound_can_be_used(self):
        # Budgets that allowed half of the bound refused requests that a retry would have served.
        used = self.max_retries_per_window(16, 160)
        self.assertGreater(used, 0.8 * (RATIO * 160 * WINDOW_S) + 0.5 * EXTRA)

    def test_instance_with_a_small_share_may_retry(self):
        self.assertGreater(self.max_retries_per_window(124, 0), 0)

    def test_shares_add_up_to_the_part_that_is_used(self):
        clock = clock_lib.ManualClock()
        for count in (1, 3, 67, 124, 195, 300):
            names = [f"i{index}" for index in range(count)]
            shares = [
                self.make_budgets(clock, name, names).extra_share(service)
                for name in names
                for service in ("s",)
            ]
            self.assertEqual(sum(shares), int(EXTRA * retry_budgets.USED_EXTRA))

    def test_instances_that_start_together_without_a_list_have_no_share(self):
        # 26 instances that each knew only themselves made 832 retries in 10 s; the bound was 100.
        clock = clock_lib.ManualClock()
        shares = [
            self.make_budgets(clock, f"i{index}", [], has_list=False).extra_share("s")
            for index in range(26)
        ]
        self.assertEqual(sum(shares), 0)

    def test_share_of_a_growing_fleet_follows_at_once(self):
        clock = clock_lib.ManualClock()
        budgets = self.make_budgets(clock, "i0", [])
        self.assertEqual(budgets.extra_share("s"), int(EXTRA * retry_budgets.USED_EXTRA))
        for index in range(1, 124):
            budgets._view.on_message(test_fleet.make_member(f"i{index}"))
        clock.advance(retry_budgets.SHARE_INTERVAL_S)
        self.assertLessEqual(budgets.extra_share("s"), 1)

    def test_members_that_are_unreachable_for_a_while_keep_their_shares(self):
        # Instances that are cut off from each other go on retrying, each with its own share.
        clock = clock_lib.ManualClock()
        names = [f"i{index}" for index in range(20)]
        budgets = self.make_budgets(clock, "i0", names)
        before = budgets.extra_share("s")
        for _ in range(10):
            clock.advance(1.0)
            budgets._view.tick()
        self.assertEqual(budgets.extra_share("s"), before)

    def test_listed_members_count_before_their_first_message(self):
        clock = clock_lib.ManualClock()
        budgets = self.make_budgets(clock, "i0", [])
        for index in range(1, 67):
            budgets._view.add_listed(test_fleet.make_member(f"i{index}"))
        self.assertLessEqual(budgets.extra_share("s"), 2)

    def test_new_window_resets_and_other_bounds_apply_at_once(self):
        clock = clock_lib.ManualClock()
        budgets = self.make_budgets(clock, "i0", [])
        budget = budgets.budget_of("s")
        self.assertTrue(budget.try_retry())
        budgets.set_bounds(settings.Bounds(retry_extra=0.0, retry_window_s=WINDOW_S))
        self.assertFalse(budget.try_retry())
        budgets.set_bounds(settings.Bounds(retry_extra=EXTRA, retry_window_s=5.0))
        self.assertIsNot(budgets.budget_of("s"), budget)


class SlidingCountTest(unittest.TestCase):
    """Guards against a window that forgets a retry too early, or counts a request for too long."""

    def test_retries_count_for_at_least_the_window_and_requests_for_at_most(self):
        for start in range(100):
            start_s = start * 0.037
            retries = retry_budgets.SlidingCount(window_s=WINDOW_S, rounds_up=True)
            requests = retry_budgets.SlidingCount(window_s=WINDOW_S, rounds_up=False)
            retries.add(start_s)
            requests.add(start_s)
            self.assertEqual(retries.total(start_s + WINDOW_S - 0.001), 1)
            self.assertEqual(retries.total(start_s + WINDOW_S + 0.51), 0)
            self.assertEqual(requests.total(start_s + WINDOW_S), 0)

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

    def max_retries_per_window(self, instance_count, requests_per_s):
        """Returns the maximum number of retries of all instances together in one window."""
        clock = clock_lib.ManualClock()
        bounds = settings.Bounds(retry_ratio=RATIO, retry_extra=EXTRA, retry_window_s=WINDOW_S)
        budgets = []
        for index in range(instance_count):
            view = fleet.FleetView(
                clock=clock, own=test_fleet.make_member(f"i{index}"), rng=random.Random(1)
            )
            for other in range(instance_count):
                view.on_message(test_fleet.make_member(f"i{other}"))
            budgets.append(retry_budgets.RetryBudgets(clock=clock, view=view, bounds=bounds))
        retry_times_s = []
        step_s = 0.1
        for step in range(300):
            for instance_budgets in budgets:
                # Instances whose share of the requests rounds to 0 get one per second each.
                for _ in range(round(requests_per_s * step_s / instance_count) or step % 10 == 0):
                    instance_budgets.budget_of("s").on_request()
                while instance_budgets.budget_of("s").try_retry():
                    retry_times_s.append(clock.monotonic())
            clock.advance(step_s)
        return max(
            bisect.bisect_left(retry_times_s, start_s + WINDOW_S)
            - bisect.bisect_left(retry_times_s, start_s)
            for start_s in retry_times_s
        )

    def test_all_instances_together_stay_within_the_bound(self):
        for instance_count, requests_per_s in ((1, 50), (16, 160), (26, 520), (124, 1240)):
            with self.subTest(instance_count=instance_count):
                bound = RATIO * requests_per_s * WINDOW_S + EXTRA
                self.assertLessEqual(
                    self.max_retries_per_window(instance_count, requests_per_s), bound
                )

    def test_instance_with_a_small_share_may_retry(self):
        self.assertGreater(self.max_retries_per_window(124, 0), 0)

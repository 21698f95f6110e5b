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

    def most_in_a_window(self, instances, requests_per_s):
        clock = clock_lib.ManualClock()
        bounds = settings.Bounds(retry_ratio=RATIO, retry_extra=EXTRA, retry_window_s=WINDOW_S)
        budgets = []
        for index in range(instances):
            view = fleet.FleetView(
                clock=clock, own=test_fleet.make_member(f"i{index}"), rng=random.Random(1)
            )
            for other in range(instances):
                view.on_message(test_fleet.make_member(f"i{other}"))
            budgets.append(retry_budgets.RetryBudgets(clock=clock, view=view, bounds=bounds))
        used = []
        step_s = 0.1
        for step in range(300):
            for budget in budgets:
                for _ in range(round(requests_per_s * step_s / instances) or step % 10 == 0):
                    budget.budget_of("s").on_request()
                while budget.budget_of("s").try_retry():
                    used.append(clock.monotonic())
            clock.advance(step_s)
        return max(
            bisect.bisect_left(used, start_s + WINDOW_S) - bisect.bisect_left(used, start_s)
            for start_s in used
        )

    def test_all_instances_together_stay_within_the_bound(self):
        for instances, requests_per_s in ((1, 50), (16, 160), (26, 520), (124, 1240)):
            with self.subTest(instances=instances):
                bound = RATIO * requests_per_s * WINDOW_S + EXTRA
                self.assertLessEqual(self.most_in_a_window(instances, requests_per_s), bound)

    def test_small_share_still_allows_a_retry(self):
        self.assertGreater(self.most_in_a_window(124, 0), 0)

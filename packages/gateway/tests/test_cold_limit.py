"""Tests of the limit on requests to cold servers."""

import unittest

import gateway_fakes

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import cold_limit


class FakeFleet:
    """Fleet with the given live instances."""

    def __init__(self, names):
        self.names = names

    def live_names(self):
        return self.names


class ColdLimitTest(unittest.TestCase):
    """Guards against instances that together send a cold server more than it tolerates."""

    def run_fleet(self, views, rate, slack, seconds=10):
        clock = clock_lib.ManualClock()
        listed = gateway_fakes.make_server("s")
        instances = []
        for name, view in views.items():
            registry = gateway_fakes.make_registry([listed], clock=clock)
            limit = cold_limit.ColdLimit(
                clock=clock, instance=name, fleet=FakeFleet(view), factor=1.5, slack=slack
            )
            limit.set_rates({"desk": rate})
            instances.append((limit, registry.get("s")))
        sent = []
        for _ in range(seconds * 20):
            now_s = clock.monotonic()
            for limit, state in instances:
                if limit.allows(state, now_s):
                    limit.on_sent(state, now_s)
                    sent.append(now_s)
            clock.advance(0.05)
        return max(sum(1 for at_s in sent if start <= at_s < start + 1.0) for start in sent), len(
            sent
        )

    def test_sum_of_all_instances_stays_below_the_bound(self):
        for count in (1, 16, 26, 124):
            names = [f"i{index}" for index in range(count)]
            with self.subTest(count=count):
                worst, total = self.run_fleet(dict.fromkeys(names, names), 2.7, 5)
                self.assertLessEqual(worst, 2.7 * 1.5 + 5)
                self.assertGreater(total, 0)

    def test_views_that_miss_some_instances_stay_below_the_bound(self):
        names = [f"i{index}" for index in range(16)]
        views = {
            name: [other for other in names if other == name or other not in names[:3]]
            for name in names
        }
        worst, _ = self.run_fleet(views, 2.7, 5)
        self.assertLessEqual(worst, 2.7 * 1.5 + 5)

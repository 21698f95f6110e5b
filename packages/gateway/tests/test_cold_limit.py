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

    def run_fleet(self, views, rate_per_s, slack_per_s, seconds=10):
        """Returns the maximum number of requests to the server in one second, and their total.

        ``views`` holds, for each instance, the names of the live instances as it sees them.
        """
        clock = clock_lib.ManualClock()
        server = gateway_fakes.make_server("s")
        instances = []
        for name, view in views.items():
            registry = gateway_fakes.make_registry([server], clock=clock)
            limit = cold_limit.ColdLimit(
                clock=clock, instance=name, fleet=FakeFleet(view), factor=1.5, slack=slack_per_s
            )
            limit.set_rates({"desk": rate_per_s})
            instances.append((limit, registry.get("s")))
        send_times_s = []
        for _ in range(seconds * 20):
            now_s = clock.monotonic()
            for limit, state in instances:
                if limit.allows(state, now_s):
                    limit.on_sent(state, now_s)
                    send_times_s.append(now_s)
            clock.advance(0.05)
        return max(
            sum(1 for sent_s in send_times_s if start_s <= sent_s < start_s + 1.0)
            for start_s in send_times_s
        ), len(send_times_s)

    def test_sum_of_all_instances_stays_below_the_bound(self):
        for instance_count in (1, 16, 26, 124):
            names = [f"i{index}" for index in range(instance_count)]
            with self.subTest(instance_count=instance_count):
                max_per_s, total = self.run_fleet(dict.fromkeys(names, names), 2.7, 5)
                self.assertLessEqual(max_per_s, 2.7 * 1.5 + 5)
                self.assertGreater(total, 0)

    def test_instances_with_incomplete_views_stay_below_the_bound(self):
        names = [f"i{index}" for index in range(16)]
        views = {
            name: [other for other in names if other == name or other not in names[:3]]
            for name in names
        }
        max_per_s, _ = self.run_fleet(views, 2.7, 5)
        self.assertLessEqual(max_per_s, 2.7 * 1.5 + 5)

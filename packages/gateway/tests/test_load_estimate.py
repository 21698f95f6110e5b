"""Tests of the estimates of a server's load and speed from stale reports."""

import unittest

import gateway_fakes

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import load_estimate

SLOTS = 10
SERVICE_S = 0.2


class LoadEstimateTest(unittest.TestCase):
    """Guards against selections by a load that the servers no longer have.

    Observed with 27 instances: reports of idle servers were taken as valid for seconds, and the
    busiest server got 2.54 times the mean load.
    """

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.registry = gateway_fakes.make_registry(
            [gateway_fakes.make_server(f"s{index}", slots=SLOTS) for index in range(4)],
            clock=self.clock,
        )
        self.state = self.registry.get("s0")
        self.registry.add_service_time(self.state, SERVICE_S)

    def show_level(self, total):
        """Makes the other servers report a load, just before the test's own reports."""
        for server_id in ("s1", "s2", "s3"):
            self.registry.on_load(self.registry.get(server_id), total, 0)
        self.clock.advance(load_estimate.LEVEL_INTERVAL_S)
        self.registry.on_load(self.registry.get("s1"), total, 0)
        self.clock.advance(0.1)

    def load_after(self, seconds):
        return self.state.load(self.clock.monotonic() + seconds)

    def test_idle_server_is_not_taken_as_idle_for_long(self):
        self.show_level(6)
        self.registry.on_load(self.state, 0, 0)
        self.assertEqual(self.load_after(0.0), 0.0)
        self.assertTrue(2.0 < self.load_after(SERVICE_S) < 5.0)
        self.assertAlmostEqual(self.load_after(6 * SERVICE_S), 6.0, places=1)

    def test_busy_server_is_not_taken_as_busy_for_long(self):
        self.show_level(4)
        self.registry.on_load(self.state, 10, 0)
        self.assertAlmostEqual(self.load_after(6 * SERVICE_S), 4.0, places=1)

    def test_queue_shortens_no_faster_than_the_slots_complete_requests(self):
        self.show_level(6)
        self.registry.on_load(self.state, 10, 20)
        # 50 requests complete per second and 30 arrive.
        self.assertAlmostEqual(self.load_after(SERVICE_S), 26.0, places=1)
        self.assertLess(self.load_after(2.0), 10.0)

    def test_own_requests_count_at_once(self):
        self.show_level(6)
        self.registry.on_load(self.state, 6, 0)
        self.state.outstanding += 3
        self.assertAlmostEqual(self.load_after(0.0), 9.0)

    def test_own_requests_are_not_part_of_the_level(self):
        # A single instance would otherwise count its own requests twice.
        for state in self.registry:
            state.outstanding = 6
        self.show_level(6)
        self.registry.on_load(self.state, 6, 0)
        self.assertAlmostEqual(self.load_after(1.0), 6.0)

    def test_rejection_counts_as_a_full_queue_but_not_in_the_level(self):
        self.show_level(6)
        self.registry.on_load(self.state, 6, 0)
        self.registry.on_queue_full(self.state)
        self.assertEqual(self.load_after(0.0), SLOTS * (1 + load_estimate.MAX_WAITING_PER_SLOT))
        self.clock.advance(load_estimate.LEVEL_INTERVAL_S)
        self.registry.on_load(self.registry.get("s1"), 6, 0)
        self.assertAlmostEqual(self.state.known_load.level.per_slot, 0.6)

    def test_requests_are_sent_again_after_all_servers_were_full(self):
        # Without a request there is no report, so a high level must not last.
        for server in self.registry:
            self.registry.on_load(server, 10, 25)
        self.clock.advance(load_estimate.LEVEL_INTERVAL_S)
        self.registry.on_load(self.state, 10, 25)
        full = SLOTS * (1 + load_estimate.MAX_WAITING_PER_SLOT)
        self.assertGreater(self.load_after(0.0), full)
        self.assertLess(self.load_after(1.0), full)
        self.assertLess(self.load_after(8.0), 1.0)

    def test_slowdown_loses_weight_with_its_age(self):
        self.registry.on_load(self.state, 1, 0, slowdown=2.5)
        now_s = self.clock.monotonic()
        self.assertEqual(self.state.slowdown(now_s), 2.5)
        self.assertAlmostEqual(
            self.state.slowdown(now_s + load_estimate.SLOWDOWN_TIME_S), 1.0 + 1.5 / 2.71828, 4
        )
        self.registry.on_load(self.state, 1, 0)
        self.assertEqual(self.state.slowdown(now_s), 1.0)

    def test_levels_of_regions_are_separate(self):
        far = gateway_fakes.make_server("far", domain="b-1", slots=SLOTS)
        self.registry.upsert(far)
        self.show_level(6)
        self.registry.on_load(self.registry.get("far"), 30, 0)
        self.clock.advance(load_estimate.LEVEL_INTERVAL_S)
        self.registry.on_load(self.state, 6, 0)
        self.assertAlmostEqual(self.state.known_load.level.per_slot, 0.6)
        self.assertEqual(self.registry.load_levels(), {"desk": {"north": 0.6}})

    def test_queues_of_others_count_for_an_old_report_only_as_a_risk(self):
        # They made all servers seem to be without a free slot, so that requests were refused.
        for server_id, total in (("s1", 4), ("s2", 4), ("s3", 25)):
            self.registry.on_load(self.registry.get(server_id), total, 0)
        self.clock.advance(load_estimate.LEVEL_INTERVAL_S)
        self.registry.on_load(self.registry.get("s3"), 25, 0)
        known_load, now_s = self.state.known_load, self.clock.monotonic()
        self.assertLess(known_load.load(now_s), 7.0)
        self.assertAlmostEqual(known_load.load_with_queues(now_s), 10.0)

    def test_server_without_a_report_is_taken_as_busy_as_the_others(self):
        # In a fleet of 2,000 instances most servers have not responded to a given one, and all
        # instances would send their requests to the same servers.
        self.show_level(6)
        self.assertAlmostEqual(self.load_after(0.0), 6.0)

    def test_server_that_has_restarted_starts_without_a_load(self):
        self.show_level(6)
        self.registry.on_load(self.state, 9, 9, slowdown=2.5)
        self.registry.upsert(gateway_fakes.make_server("s0", slots=SLOTS, started_ms=5, port=2))
        restarted = self.registry.get("s0")
        self.assertEqual(restarted.load(self.clock.monotonic()), 0.0)
        self.assertEqual(self.registry.slowdown(restarted), 1.0)
        self.assertEqual(restarted.known_load.report_age_s(self.clock.monotonic()), -1.0)


if __name__ == "__main__":
    unittest.main()

"""Tests of the state kept for each backend server."""

import unittest

import gateway_fakes

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import load_estimate, servers


class ServerRegistryTest(unittest.TestCase):
    """Guards against stale state: load, health or rankings of an earlier start or listing."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()

    def registry(self, *listed):
        return gateway_fakes.make_registry(listed, clock=self.clock)

    def test_restart_under_the_same_id_resets_load_and_health(self):
        registry = self.registry(gateway_fakes.make_server("s", started_ms=1, sequence=9))
        registry.on_failure(registry.get("s"), unreachable=True)
        registry.on_load(registry.get("s"), 3, 2)
        registry.upsert(gateway_fakes.make_server("s", started_ms=2, sequence=1))
        state = registry.get("s")
        self.assertEqual((state.failures, state.load(self.clock.monotonic())), (0, 0.0))

    def test_new_listing_without_restart_keeps_the_state(self):
        registry = self.registry(gateway_fakes.make_server("s", started_ms=1, sequence=1))
        registry.on_load(registry.get("s"), 3, 0)
        registry.upsert(gateway_fakes.make_server("s", started_ms=1, sequence=2))
        self.assertEqual(registry.get("s").others_outstanding, 3)

    def test_server_is_cold_after_the_evacuation_of_its_failure_domain(self):
        registry = self.registry(gateway_fakes.make_server("s"))
        registry.set_evacuated({"a-1"})
        self.assertFalse(registry.usable(registry.get("s")))
        registry.set_evacuated(set())
        self.assertGreater(registry.get("s").cold_until_s, self.clock.monotonic())

    def test_only_relevant_changes_of_a_listing_recompute_the_ranking(self):
        # Benchmark runs of the large sites, those with -grown in their names: every update of any
        # listing caused all rankings to be recomputed.
        registry = self.registry(gateway_fakes.make_server("s"))
        ranking = registry.ranking("desk")
        registry.upsert(gateway_fakes.make_server("s", sequence=2, cold_left_s=1.0))
        self.assertIs(registry.ranking("desk"), ranking)
        registry.upsert(gateway_fakes.make_server("s", sequence=3, slots=9))
        self.assertIsNot(registry.ranking("desk"), ranking)

    def test_restart_for_another_service_changes_both_rankings(self):
        registry = self.registry(gateway_fakes.make_server("s", started_ms=1))
        self.assertEqual(registry.ranking("desk").ranked("o", "north"), ("s",))
        registry.upsert(gateway_fakes.make_server("s", service="other", started_ms=2))
        self.assertEqual(registry.ranking("desk").ranked("o", "north"), ())
        self.assertEqual(registry.ranking("other").ranked("o", "north"), ("s",))

    def test_draining_server_leaves_the_ranking(self):
        registry = self.registry(gateway_fakes.make_server("s"), gateway_fakes.make_server("t"))
        self.assertEqual(set(registry.ranking("desk").ranked("o", "north")), {"s", "t"})
        registry.upsert(gateway_fakes.make_server("s", draining=True))
        self.assertEqual(registry.ranking("desk").ranked("o", "north"), ("t",))

    def test_unreachable_server_is_ejected_with_exponential_backoff(self):
        registry = self.registry(gateway_fakes.make_server("s"))
        state = registry.get("s")
        ejections_s = []
        for _ in range(6):
            registry.on_failure(state, unreachable=True)
            ejections_s.append(state.ejected_until_s - self.clock.monotonic())
        self.assertEqual(ejections_s[:3], [0.5, 1.0, 2.0])
        self.assertEqual(ejections_s[-1], servers.MAX_EJECTION_S)

    def test_server_that_was_unreachable_is_cold_when_it_responds(self):
        registry = self.registry(gateway_fakes.make_server("s"))
        state = registry.get("s")
        registry.on_failure(state, unreachable=True)
        registry.on_response(state)
        self.assertFalse(state.on_trial)
        self.assertGreater(state.cold_until_s, self.clock.monotonic())

    def test_reported_load_of_other_instances_decays(self):
        registry = self.registry(gateway_fakes.make_server("s"))
        state = registry.get("s")
        registry.on_load(state, 3, 1)
        self.clock.advance(load_estimate.LOAD_HALF_LIFE_S)
        self.assertAlmostEqual(state.load(self.clock.monotonic()), 2.0)

"""Tests of moving objects out of an overloaded region.

The daily peak of one region exceeds the capacity of its servers while other regions are idle.
Requests then wait at these servers, or the instances of the region refuse them, although the fleet
has free slots. A growing share of the region's objects must run in other regions, slowly enough not
to overload these and their caches.
"""

import unittest
from unittest import mock

import gateway_fakes
import load_simulation

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import overflow

PEAK_FROM_S = 8.0
END_S = 36.0


class OverflowControlTest(unittest.TestCase):
    """Guards against shares that change too fast, without any benefit, or not at all."""

    def setUp(self):
        self.clock = clock_lib.ManualClock(start_s=100.0)
        self.registry = gateway_fakes.make_registry(
            [
                gateway_fakes.make_server("n", domain="a-1"),
                gateway_fakes.make_server("s", domain="b-1"),
            ],
            clock=self.clock,
        )
        self.control = overflow.OverflowControl(
            clock=self.clock, registry=self.registry, region="north"
        )

    def advance(self, seconds, *, north, south):
        """Advances the clock while the server of each region reports this many requests.

        Returns:
            The share of the objects that stays in the region ``north``.
        """
        for _ in range(round(seconds / 0.5)):
            self.clock.advance(0.5)
            self.registry.on_load(self.registry.get("n"), north, 0)
            self.registry.on_load(self.registry.get("s"), south, 0)
            self.control.update()
        return self.control.kept_share("desk")

    def test_objects_move_out_of_an_overloaded_region_slowly(self):
        self.assertAlmostEqual(self.advance(2.5, north=6, south=0), 0.9)
        self.assertAlmostEqual(self.advance(2.0, north=6, south=0), 0.8)

    def test_objects_stay_when_the_other_regions_are_equally_loaded(self):
        self.assertEqual(self.advance(5.0, north=6, south=6), 1.0)

    def test_objects_move_back_slowly_when_the_load_falls(self):
        self.advance(4.5, north=6, south=0)
        self.assertAlmostEqual(self.advance(2.0, north=1, south=3), 0.9)
        self.assertAlmostEqual(self.advance(9.0, north=1, south=3), 1.0)

    def test_objects_move_back_when_no_load_is_reported(self):
        self.advance(4.5, north=6, south=0)
        for _ in range(40):
            self.clock.advance(0.5)
            self.control.update()
        self.assertEqual(self.control.kept_share("desk"), 1.0)

    def test_share_of_objects_that_stay_has_a_minimum(self):
        self.assertEqual(self.advance(60.0, north=9, south=0), overflow.MIN_KEPT_SHARE)

    def test_pause_of_the_process_does_not_cause_a_large_step(self):
        self.advance(0.5, north=6, south=0)
        self.clock.advance(30.0)
        self.assertGreater(self.advance(0.5, north=6, south=0), 0.9)


class RegionalPeakTest(unittest.TestCase):
    """Guards against a region whose instances refuse requests while other regions are idle.

    Seen in the benchmark run sila-quotes scale-2.
    """

    def simulated_share_within_target(self):
        listed = [
            gateway_fakes.make_server(f"{region}{index}", domain=domain, slots=3)
            for region, domain in (("n", "a-1"), ("s", "b-1"))
            for index in range(6)
        ]

        def rate_per_s(region, now_s):
            if region == "north" and now_s >= PEAK_FROM_S:
                return 250.0
            return 40.0

        simulation = load_simulation.LoadSimulation(
            listed=listed,
            regions=["north", "south"] * 4,
            rate_per_s=rate_per_s,
            objects_per_region=24,
            seed=3,
        )
        simulation.run(END_S)
        return simulation.share_within_target(24.0, END_S)

    def test_peak_of_one_region_is_served_by_all_regions(self):
        self.assertGreater(self.simulated_share_within_target(), 0.85)
        # Without the move of objects, the instances of the region refuse requests.
        with mock.patch.object(overflow, "OVERLOAD_THRESHOLD", 1e9):
            self.assertLess(self.simulated_share_within_target(), 0.8)


if __name__ == "__main__":
    unittest.main()

"""Tests of shifts between regions."""

import itertools
import random
import unittest

from sassafrasway_core import clock, model, shift


def _policy(*shifts):
    names = ("regions", "links", "services", "servers", "blocks")
    return model.Policy(
        revision=1,
        shifts={new_shift.name: new_shift for new_shift in shifts},
        **{name: {} for name in names},
    )


def _shift(name="move", target="hkt", **options):
    return model.Shift(
        name=name, service="crew-desk", source="bkk", target=target, cap_rps=5, **options
    )


class ShiftControllerTest(unittest.TestCase):
    def setUp(self):
        self.time = clock.ManualClock()
        self.shifts = shift.ShiftController(clock=self.time, rng=random.Random(1))

    def _is_moved(self, position):
        return self.shifts.decide("crew-desk", "bkk", position).region == "hkt"

    def test_moved_fraction_grows_at_its_pace_and_moved_callers_stay_moved(self):
        """Guards against moving all requests to cold caches together, and callers moving back."""
        self.shifts.set_shifts(_policy(_shift(fraction=0.5, pace_per_s=0.1)))
        moved = []
        for _ in range(8):
            moved.append([self._is_moved(number / 20 + 0.01) for number in range(20)])
            self.time.advance(1)
        self.assertEqual([sum(moved_flags) for moved_flags in moved], [0, 2, 4, 6, 8, 10, 10, 10])
        for earlier, later in itertools.pairwise(moved):
            self.assertTrue(
                all(
                    is_moved or not was_moved
                    for was_moved, is_moved in zip(earlier, later, strict=True)
                )
            )

    def test_other_policy_changes_keep_the_moved_fraction_and_removal_ends_the_shift(self):
        """Guards against restarting a shift at every revision, or continuing a removed one."""
        self.shifts.set_shifts(_policy(_shift()))
        self.time.advance(5)
        self.shifts.set_shifts(_policy(_shift(pace_per_s=0.2), _shift("z", "cnx", pace_per_s=0)))
        self.assertAlmostEqual(self.shifts.fractions()["move"], 0.5)
        self.time.advance(1)
        self.assertAlmostEqual(self.shifts.fractions()["move"], 0.7)
        self.shifts.set_shifts(_policy(_shift(fraction=0.1)))
        self.assertAlmostEqual(self.shifts.fractions()["move"], 0.1)
        self.shifts.set_shifts(_policy(_shift(target="cnx")))
        self.assertEqual(self.shifts.fractions(), {"move": 0.0})
        self.shifts.set_shifts(_policy())
        self.assertFalse(self._is_moved(0.0))

    def test_only_requests_of_the_source_move_and_several_shifts_add_up(self):
        """Guards against moving requests of other regions, and against ignoring a second shift."""
        self.shifts.set_shifts(_policy(_shift(fraction=0.25), _shift("z", "cnx", fraction=0.25)))
        self.time.advance(60)
        decisions = [self.shifts.decide("crew-desk", "bkk", quarter / 4) for quarter in range(4)]
        self.assertEqual([decision.region for decision in decisions], ["hkt", "cnx", "bkk", "bkk"])
        self.assertEqual([decision.shift_name for decision in decisions], ["move", "z", None, None])
        self.assertEqual(self.shifts.decide("crew-desk", "cnx", 0.0).region, "cnx")
        self.assertEqual(self.shifts.decide("order-desk", "bkk", 0.0).region, "bkk")
        drawn = [self.shifts.decide("crew-desk", "bkk").region for _ in range(1000)]
        self.assertTrue(200 < drawn.count("hkt") < 300)

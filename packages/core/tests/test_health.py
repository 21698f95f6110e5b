"""Tests of the ejection of failing servers."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from sassafrasway_core import clock, health, pool_types

_Result = pool_types.ServerResult
_NAMES = [f"s{number}" for number in range(6)]


class ServerHealthTest(unittest.TestCase):
    def setUp(self):
        self.time = clock.ManualClock()
        self.health = health.ServerHealth(clock=self.time, rng=random.Random(1))
        self.health.set_servers(_NAMES)

    def _fail(self, *names):
        for name in names:
            for _ in range(health.FAILURES_TO_EJECT):
                self.health.record(name, _Result.FAILED)

    # A step is (server name, request result or probe success), a new number of servers, or the
    # seconds to advance.
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(
            st.one_of(
                st.tuples(st.sampled_from(_NAMES), st.sampled_from([*_Result, True, False])),
                st.integers(0, 6),
                st.floats(0, 5),
            ),
            max_size=200,
        )
    )
    def test_at_most_a_third_is_ejected_and_due_probes_name_ejected_servers(self, steps):
        """Guards against ejecting a whole pool when the instance's own network fails."""
        names = _NAMES
        for step in steps:
            if isinstance(step, float):
                self.time.advance(step)
            elif isinstance(step, int):
                names = _NAMES[:step]
                self.health.set_servers(names)
            elif isinstance(step[1], bool):
                self.health.record_probe(step[0], succeeded=step[1])
            else:
                self.health.record(*step)
            ejected = self.health.ejected()
            self.assertLessEqual(len(ejected), len(names) // 3)
            self.assertLessEqual(ejected, set(names))
            self.assertLessEqual(set(self.health.probes_due()), ejected)

    def test_only_consecutive_failures_eject(self):
        """Guards against ejecting a server for shedding, cancelled calls or occasional failures."""
        for result in (_Result.OK, _Result.SHED, _Result.CANCELLED, _Result.LEAVING):
            for _ in range(4):
                self.health.record("s0", _Result.TIMEOUT)
                self.health.record("s0", _Result.CRASHED)
                self.health.record("s0", result)
                self.health.record("s0", _Result.OK)
        self.assertFalse(self.health.ejected())
        self._fail("s0")
        self.assertTrue(self.health.is_ejected("s0"))

    def test_failed_probes_double_the_ejection_and_success_ends_it(self):
        """Guards against probing a failed server at full rate or keeping a repaired one ejected."""
        self._fail("s0")
        self.assertEqual(self.health.probes_due(), [])
        waits_s = []
        for _ in range(10):
            waited_s = 0.0
            while not self.health.probes_due():
                self.time.advance(0.25)
                waited_s += 0.25
            waits_s.append(waited_s)
            self.health.record_probe("s0", succeeded=False)
        self.assertEqual(waits_s[:7], sorted(waits_s[:7]))
        self.assertLess(waits_s[0], 1.5)
        self.assertTrue(60 <= waits_s[-1] < 67)
        self.health.record("s0", _Result.OK)
        self.assertTrue(self.health.is_ejected("s0"))
        self.health.record_probe("s0", succeeded=True)
        self.assertFalse(self.health.is_ejected("s0"))

"""Tests of the one-second windows."""

import math
import unittest

import hypothesis
from hypothesis import strategies as st

from sassafrasway_core import clock, window

# Steps of whole sub-windows and of whole seconds hit the borders of sub-windows and windows.
_STEPS_S = st.one_of(
    st.sampled_from([0.0, 0.001, 0.05, 0.1, 0.95, 1.0]), st.floats(min_value=0, max_value=1.2)
)


_SPAN_S = 1.0 + window.DELIVERY_SPREAD_S


class SlidingWindowTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(
        st.lists(st.tuples(_STEPS_S, st.integers(0, 6), st.integers(4, 10)), max_size=60)
    )
    def test_no_window_exceeds_the_limit(self, steps):
        """Guards against a burst across a sub-window border, and against needless refusals.

        The sum holds for one second at the receiver, whose messages may be delayed by up to
        DELIVERY_SPREAD_S more than others: a demo run counted 21 starts against a cap of 20.
        """
        time = clock.ManualClock()
        limiter = window.SlidingWindow(limit=10, clock=time)
        taken = []
        for step_s, amount, limit in steps:
            time.advance(step_s)
            now_s = time.monotonic()
            limiter.set_limit(limit)
            recent = sum(a for at, a in taken if now_s - at <= _SPAN_S)
            self.assertGreaterEqual(limiter.used(), recent)
            if limiter.try_take(amount):
                taken.append((now_s, amount))
                self.assertLessEqual(recent + amount, limit)
            else:
                conservative = sum(a for at, a in taken if now_s - at <= _SPAN_S + 0.051)
                self.assertGreater(conservative + amount, limit)

    def test_retry_after_is_the_time_at_which_the_amount_fits(self):
        """Guards against telling callers to come back too early, or much too late."""
        time = clock.ManualClock()
        limiter = window.SlidingWindow(limit=10, clock=time)
        limiter.try_take(4)
        time.advance(0.5)
        limiter.try_take(6)
        self.assertAlmostEqual(limiter.retry_after_s(4), 0.6)
        self.assertAlmostEqual(limiter.retry_after_s(5), 1.1)
        self.assertEqual(limiter.retry_after_s(0), 0.0)
        self.assertEqual(limiter.retry_after_s(11), math.inf)

    def test_full_start_admits_nothing_for_one_second(self):
        """Guards against a new owner adding to what its predecessor has just admitted."""
        time = clock.ManualClock()
        limiter = window.SlidingWindow(limit=1, clock=time, start_full=True)
        limiter.set_limit(100)
        time.advance(0.85)
        self.assertFalse(limiter.try_take(1))
        self.assertAlmostEqual(limiter.retry_after_s(1), 0.25)
        time.advance(0.26)
        self.assertTrue(limiter.try_take(100))

    def test_infinite_limit_admits_everything_and_bad_numbers_are_refused(self):
        """Guards against a region without a cap refusing requests, and against negative takes."""
        limiter = window.SlidingWindow(limit=math.inf, clock=clock.ManualClock(), start_full=True)
        self.assertTrue(limiter.try_take(10**9))
        for bad in (-1, math.nan):
            with self.assertRaises(ValueError):
                limiter.try_take(bad)
            with self.assertRaises(ValueError):
                limiter.set_limit(bad)

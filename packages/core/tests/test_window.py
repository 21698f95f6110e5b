"""Tests of the limits for one-second windows."""

import math
import unittest

import hypothesis
from hypothesis import strategies as st

from sassafrasway_core import clock, window

# Steps near whole sub-windows and whole seconds exercise the boundaries of both.
_STEPS_S = st.one_of(
    st.sampled_from([0.0, 0.001, 0.05, 0.1, 0.95, 1.0]), st.floats(min_value=0, max_value=1.2)
)

# An amount counts for this long.
_SPAN_S = 1.0 + window.DELIVERY_SPREAD_S


class SlidingWindowTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(
        st.lists(st.tuples(_STEPS_S, st.integers(0, 6), st.integers(4, 10)), max_size=60)
    )
    def test_no_window_exceeds_the_limit(self, steps):
        """Guards against a burst across a sub-window boundary, and against unnecessary refusals.

        The limit applies to one second at the receiver, where message delays may differ by up to
        DELIVERY_SPREAD_S: a demo run counted 21 starts with a cap of 20.
        """
        time = clock.ManualClock()
        limiter = window.SlidingWindow(limit=10, clock=time)
        taken = []
        for step_s, amount, limit in steps:
            time.advance(step_s)
            now_s = time.monotonic()
            limiter.set_limit(limit)
            recent = sum(taken_amount for at_s, taken_amount in taken if now_s - at_s <= _SPAN_S)
            self.assertGreaterEqual(limiter.used(), recent)
            if limiter.try_take(amount):
                taken.append((now_s, amount))
                self.assertLessEqual(recent + amount, limit)
            else:
                # An amount may count for longer, by less than the length of its sub-window. That
                # is 0.055 s, so the bound of 0.051 s is stricter than the limiter guarantees.
                conservative = sum(
                    taken_amount for at_s, taken_amount in taken if now_s - at_s <= _SPAN_S + 0.051
                )
                self.assertGreater(conservative + amount, limit)

    def test_retry_after_is_the_time_at_which_the_amount_fits(self):
        """Guards against a retry time that is too early or much too late."""
        time = clock.ManualClock()
        limiter = window.SlidingWindow(limit=10, clock=time)
        limiter.try_take(4)
        time.advance(0.5)
        limiter.try_take(6)
        self.assertAlmostEqual(limiter.retry_after_s(4), 0.6)
        self.assertAlmostEqual(limiter.retry_after_s(5), 1.1)
        self.assertEqual(limiter.retry_after_s(0), 0.0)
        self.assertEqual(limiter.retry_after_s(11), math.inf)

    def test_full_start_admits_nothing_for_one_window(self):
        """Guards against a new owner exceeding the limit.

        The previous owner may have used up the limit less than a second ago.
        """
        time = clock.ManualClock()
        limiter = window.SlidingWindow(limit=1, clock=time, start_full=True)
        limiter.set_limit(100)
        time.advance(0.85)
        self.assertFalse(limiter.try_take(1))
        self.assertAlmostEqual(limiter.retry_after_s(1), 0.25)
        time.advance(0.26)
        self.assertTrue(limiter.try_take(100))

    def test_infinite_limit_admits_everything_and_invalid_numbers_are_rejected(self):
        """Guards against refusals in a region without a cap, and against negative amounts."""
        limiter = window.SlidingWindow(limit=math.inf, clock=clock.ManualClock(), start_full=True)
        self.assertTrue(limiter.try_take(10**9))
        for invalid in (-1, math.nan):
            with self.assertRaises(ValueError):
                limiter.try_take(invalid)
            with self.assertRaises(ValueError):
                limiter.set_limit(invalid)


class CompletionWindowTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(
        st.lists(
            st.tuples(st.sampled_from([0.0, 0.01, 0.3, 1.0]), st.floats(0, 1), st.floats(0, 1)),
            max_size=60,
        )
    )
    def test_starts_stay_within_the_limit_for_any_delays(self, arrivals):
        """Guards against exceeding a cap at the servers because of unequal network delays."""
        limit = 5
        time = clock.ManualClock()
        limiter = window.CompletionWindow(limit=limit, clock=time)
        starts_s, ends_s = [], []
        for gap_s, delay_s, run_s in arrivals:
            until_s = time.monotonic() + gap_s
            for end_s in sorted(each for each in ends_s if each <= until_s):
                time.advance(max(0.0, end_s - time.monotonic()))
                limiter.end()
                ends_s.remove(end_s)
            time.advance(max(0.0, until_s - time.monotonic()))
            if limiter.try_start():
                starts_s.append(time.monotonic() + delay_s)
                ends_s.append(time.monotonic() + delay_s + run_s)
        for first_s in starts_s:
            self.assertLessEqual(sum(first_s <= each <= first_s + 1.0 for each in starts_s), limit)

    def test_capacity_returns_one_second_after_the_response(self):
        """Guards against a window that never admits again or ignores ``start_full``."""
        time = clock.ManualClock()
        limiter = window.CompletionWindow(limit=1, clock=time, start_full=True)
        self.assertFalse(limiter.try_start())
        time.advance(1.2)
        self.assertTrue(limiter.try_start())
        limiter.end()
        self.assertFalse(limiter.try_start())
        time.advance(1.01)
        self.assertTrue(limiter.try_start())

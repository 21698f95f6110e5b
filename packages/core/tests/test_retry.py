"""Tests of retry budgets and deadlines."""

import unittest

import hypothesis
from hypothesis import strategies as st

from sassafrasway_core import clock, retry


class RetryTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.lists(st.sampled_from([None, 0.01, 0.5, 30.0]), max_size=300))
    def test_retries_of_any_period_stay_within_the_budget(self, steps):
        """Guards against retry storms, which multiply the load, even after a quiet period."""
        time = clock.ManualClock()
        budget = retry.RetryBudget(clock=time, ratio=0.1, minimum_per_s=1.0)
        spent_at = []
        for requests, step_s in enumerate(steps, start=1):
            time.advance(step_s or 0.0)
            budget.on_request()
            while budget.try_retry():
                spent_at.append((time.monotonic(), requests))
        for first, (from_s, before) in enumerate(spent_at):
            for last, (to_s, after) in enumerate(spent_at[first:], start=first):
                earned = 0.1 * (after - before + 1) + (to_s - from_s)
                self.assertLessEqual(last - first + 1, earned + retry.MAX_TOKENS + 1e-6)

    def test_failing_requests_are_retried_at_the_ratio(self):
        """Guards against refusing retries that the ratio or the minimum rate should allow."""
        time = clock.ManualClock()
        budget = retry.RetryBudget(clock=time)
        self.assertTrue(budget.try_retry())
        self.assertFalse(budget.try_retry())
        retried = 0
        for _ in range(1000):
            budget.on_request()
            retried += budget.try_retry()
        self.assertIn(retried, (99, 100))
        time.advance(2)
        self.assertTrue(budget.try_retry())

    def test_deadline_counts_down_to_zero(self):
        """Guards against sending a negative deadline to a backend server."""
        time = clock.ManualClock()
        deadline = retry.Deadline(clock=time, remaining_s=2.0)
        time.advance(1.5)
        self.assertEqual((deadline.remaining_s, deadline.expired), (0.5, False))
        time.advance(1.0)
        self.assertEqual((deadline.remaining_s, deadline.expired), (0.0, True))

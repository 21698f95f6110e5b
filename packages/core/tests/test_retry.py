"""Tests of retry budgets and deadlines."""

import unittest

import hypothesis
from hypothesis import strategies as st

from sassafrasway_core import clock, retry


class RetryTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.lists(st.sampled_from([None, 0.01, 0.5, 30.0]), max_size=300))
    def test_retries_of_any_period_stay_within_the_budget(self, steps_s):
        """Guards against retry storms, which multiply the load, even after a quiet period."""
        time = clock.ManualClock()
        budget = retry.RetryBudget(clock=time, ratio=0.1, minimum_per_s=1.0)
        # Monotonic time of each retry and number of requests until then.
        retries = []
        for request_count, step_s in enumerate(steps_s, start=1):
            time.advance(step_s or 0.0)
            budget.on_request()
            while budget.try_retry():
                retries.append((time.monotonic(), request_count))
        for first, (first_s, first_count) in enumerate(retries):
            for last, (last_s, last_count) in enumerate(retries[first:], start=first):
                added_tokens = 0.1 * (last_count - first_count + 1) + (last_s - first_s)
                self.assertLessEqual(last - first + 1, added_tokens + retry.MAX_TOKENS + 1e-6)

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

"""Tests of the demand that an instance reports for its shares of caps."""

import unittest

import entry_fakes as fakes

from sassafrasway_core import clock as clock_lib
from sassafrasway_entry import cap_limits

LIMIT_RPS = 2.0


class CapLimitsTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.limits = cap_limits.CapLimits(
            region="bkk", clock=self.clock, amount=lambda name: LIMIT_RPS, epoch=lambda: 1
        )
        self.limits.set_policy(fakes.policy(caps={"bkk": LIMIT_RPS}))

    def _demand_after(self, request_ids):
        self.limits.demand()
        for request_id in request_ids:
            self.limits.take_region(request_id)
        self.clock.advance(1.0)
        return self.limits.demand()["region/bkk"]

    def test_refused_requests_count_as_demand(self):
        """Guards against a demand that never exceeds the share.

        If refused requests did not count, the instance could not get a larger share.
        """
        self.assertEqual(self._demand_after("abcdef"), 6.0)

    def test_retried_request_counts_once(self):
        """Guards against counting each retry of a refused request as demand.

        Instances whose requests are retried often would get shares at the expense of the others.
        """
        self.assertEqual(self._demand_after("abc" + 20 * "c"), 3.0)

    def test_refused_requests_are_dropped_without_heartbeats(self):
        """Guards against memory that grows without bound while there is no coordinator.

        Refused requests are kept until the demand is measured, which heartbeats usually trigger.
        """
        for number in range(600):
            self.limits.take_region(str(number))
            self.clock.advance(0.1)
        self.assertLessEqual(len(self.limits._caps["region/bkk"].refused), 30)
        self.assertAlmostEqual(self.limits.demand()["region/bkk"], 10.0, delta=1.0)

    def test_request_taken_after_a_refusal_counts_once(self):
        """Guards against counting a request twice that is refused and then succeeds."""
        self.limits.demand()
        for request_id in "abc":
            self.limits.take_region(request_id)
        self.clock.advance(1.5)
        self.limits.take_region("c")
        self.assertEqual(self.limits.demand()["region/bkk"], 2.0)

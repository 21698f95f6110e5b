"""Tests of the token bucket and of the division of limits."""

import unittest

from sassafrasway_gateway import model, quota_limits, settings, token_bucket


class TokenBucketTest(unittest.TestCase):
    """Guards against tokens that were never due, and against tokens that get lost."""

    def make_bucket(self, **fields):
        return token_bucket.TokenBucket(
            **{"rate_per_s": 10.0, "capacity": 5.0, "level": 0.0, "now_s": 0.0, **fields}
        )

    def test_long_idle_time_yields_the_capacity_only(self):
        """Guards against a burst above the capacity after an idle time."""
        bucket = self.make_bucket()
        self.assertEqual(bucket.take(100, max_delay_s=0.0, now_s=1000.0), (5, 0.0))

    def test_promised_tokens_are_due_when_they_have_accrued(self):
        """Guards against promised tokens that are granted a second time, or used early."""
        bucket = self.make_bucket()
        taken, delay_s = bucket.take(9, max_delay_s=0.2, now_s=0.0)
        self.assertEqual(taken, 2)
        self.assertAlmostEqual(delay_s, 0.2)
        self.assertEqual(bucket.take(1, max_delay_s=0.0, now_s=0.25), (0, 0.0))
        self.assertEqual(bucket.take(1, max_delay_s=0.0, now_s=0.3)[0], 1)

    def test_lower_limit_applies_at_once(self):
        """Guards against tokens of a limit that is no longer in force."""
        bucket = self.make_bucket(level=5.0)
        bucket.set_limits(rate_per_s=1.0, capacity=2.0, now_s=0.0)
        self.assertEqual(bucket.take(9, max_delay_s=0.0, now_s=0.0)[0], 2)
        self.assertAlmostEqual(bucket.wait_s(max_delay_s=0.0, now_s=0.0), 1.0)

    def test_returned_tokens_do_not_exceed_the_capacity(self):
        """Guards against a burst made of returned tokens."""
        bucket = self.make_bucket(level=5.0)
        bucket.give_back(50, 0.0)
        self.assertEqual(bucket.level(0.0), 5.0)


class LimitTest(unittest.TestCase):
    """Guards against parts of a limit that add up to more than the bound of a window."""

    def test_parts_leave_a_margin_below_the_bound(self):
        """Guards against a division that uses up the bound before any fault."""
        for factor, slack in ((1.1, 20.0), (1.0, 20.0), (1.3, 0.0), (1.1, 0.0)):
            bounds = settings.Bounds(quota_factor=factor, quota_slack=slack)
            for rate in (3.0, 30.0, 512.0):
                for burst in (10.0, 500.0):
                    with self.subTest(factor=factor, slack=slack, rate=rate, burst=burst):
                        organisation = model.Organisation(name="a", rate_per_s=rate, burst=burst)
                        limit = quota_limits.limit_of(organisation, bounds)
                        shards = len(limit.keys)
                        window_s = bounds.quota_window_s
                        refill_s = window_s + quota_limits.TOKEN_LIFETIME_S
                        used = shards * (limit.capacity + limit.rate_per_s * refill_s)
                        bound = (rate * window_s + burst) * factor + slack
                        self.assertLessEqual(used + limit.emergency, bound + 1e-6)

    def test_organisation_without_rate_has_no_limit(self):
        """Guards against requests rejected because a limit is missing."""
        organisation = model.Organisation(name="a", burst=5.0)
        self.assertIsNone(quota_limits.limit_of(organisation, settings.Bounds()))

    def test_shares_add_up_to_the_whole(self):
        """Guards against an emergency quota that grows with the fleet."""
        for count in (1, 6, 143):
            names = [str(index) for index in range(count)]
            shares = [quota_limits.whole_share(14, names, name, "a") for name in names]
            self.assertEqual(sum(shares), 14)

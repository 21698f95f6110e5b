"""Tests of the division of caps."""

import unittest

import cap_driver
import hypothesis
from hypothesis import strategies as st

from sassafrasway_core import cap_reserve, caps, clock, invariants


class CapDividerTest(unittest.TestCase):
    def setUp(self):
        self.time = clock.ManualClock()
        self.held = {}
        self.divider = self._divider()

    def _divider(self, **options):
        checks = invariants.Invariants(mode=invariants.Mode.RAISE)
        return caps.CapDivider(cap=100.0, clock=self.time, invariants=checks, **options)

    def _renew(self, **demands):
        """Exchanges one heartbeat with each holder and returns their shares."""
        for name, demand in demands.items():
            held = self.held.setdefault(name, caps.HeldShare(clock=self.time))
            share = self.divider.renew(name, demand=demand, confirmed=held.sequence)
            held.apply(share, sent_s=self.time.monotonic())
        return {name: round(self.held[name].amount(), 1) for name in demands}

    def _settle(self, **demands):
        """Exchanges heartbeats for 20 s, until the shares no longer change, and returns them."""
        for _ in range(40):
            shares = self._renew(**demands)
            self.time.advance(0.5)
        return shares

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(st.integers(0, 2**32))
    def test_no_second_exceeds_the_cap_and_the_cap_is_used_again_later(self, seed):
        """Guards against overloading a region when messages are lost or holders vanish."""
        cap_driver.RandomRun(seed=seed, steps=250).run()

    def test_small_demands_are_met_and_large_ones_share_the_rest(self):
        """Guards against a large demand that reduces the shares of holders with small demands."""
        self.assertEqual(self._settle(a=10, b=200, c=90), {"a": 11.7, "b": 44.2, "c": 44.2})
        self.assertEqual(self._settle(a=10, b=20, c=30), {"a": 23.3, "b": 33.3, "c": 43.3})
        self.assertEqual(self._settle(a=0, b=0, c=0), {"a": 33.3, "b": 33.3, "c": 33.3})

    def test_freed_part_waits_for_confirmation_and_for_one_window(self):
        """Guards against two holders that use the same part of a cap within one second.

        This happens when a freed part is granted before its earlier holder confirmed the smaller
        share, or while requests admitted under the larger one are still in the window.
        """
        self.assertEqual(self._renew(a=200), {"a": 100.0})
        self.assertEqual(self._renew(b=200), {"b": 0.0})
        self._renew(a=200)
        self.time.advance(0.5)
        self.assertEqual(self._renew(a=200, b=200), {"a": 50.0, "b": 0.0})
        self.time.advance(1.1)
        self.assertEqual(self._renew(a=200, b=200), {"a": 50.0, "b": 0.0})
        self.time.advance(0.01)
        self.assertEqual(self._renew(b=200), {"b": 50.0})

    def test_lost_replies_free_nothing_before_the_share_expires(self):
        """Guards against freeing a part when a smaller share is sent, not when it is confirmed."""
        self._renew(a=200)
        self.divider.renew("b", demand=200, confirmed=0)
        for _ in range(3):
            lost = self.divider.renew("a", demand=200, confirmed=self.held["a"].sequence)
            self.assertEqual(lost.amount, 50.0)
            self.time.advance(0.6)
        self.assertEqual((self.held["a"].amount(), self._renew(b=200)), (100.0, {"b": 0.0}))

    def test_late_report_does_not_revive_a_share_of_an_earlier_coordinator(self):
        """Guards against reserving an expired share again when its report arrives late.

        All of that share but its offline part may have been granted to others in the meantime.
        """
        self.divider.take_over(["a"])
        self.assertEqual(self._settle(b=200), {"b": 66.7})
        share = caps.CapShare(sequence=0, amount=100.0, offline=100 / 3, valid_s=2.0)
        self.divider.adopt_share("a", share=share, remaining_s=1.5)
        self.assertAlmostEqual(self.divider.reserved_by("a"), 100 / 3)
        self.assertLessEqual(self._renew(a=200)["a"], 33.4)

    def test_silent_holder_keeps_the_offline_part_until_it_is_removed(self):
        """Guards against granting to others what a partitioned holder may still admit."""
        self._renew(a=200)
        self.time.advance(caps.SHARE_S)
        self.assertEqual(round(self.held["a"].amount(), 1), 33.3)
        self.assertEqual(self._settle(b=200), {"b": 66.7})
        self.assertAlmostEqual(self.divider.reserved_by("a"), 100 / 3)
        self.assertEqual(self.held["b"].share.offline, 0.0)
        self.divider.remove("a")
        self.assertEqual(self._settle(b=200), {"b": 100.0})

    def test_holder_reduced_to_nothing_frees_its_share(self):
        """Guards against a share of 0 whose confirmation does not free the larger one before it."""
        self._settle(a=200)
        self.divider.set_cap(0)
        self._settle(a=200)
        self.divider.set_cap(100)
        self.assertEqual(self.divider.reserved_by("a"), 0)

    def test_lower_cap_is_in_force_after_confirmations(self):
        """Guards against an emergency cap that holders with earlier shares exceed permanently."""
        self._settle(a=200, b=200)
        self.divider.set_cap(10)
        self._settle(a=200, b=200)
        self.assertAlmostEqual(self.divider.reserved(), 10)

    def test_new_coordinator_changes_nothing_for_holders_that_answer(self):
        """Guards against lost shares, or twice the cap, when the coordinator changes."""
        self._settle(a=200, b=200)
        self.divider = self._divider(first_sequence=1000)
        self.divider.take_over(["a", "b"])
        held = self.held["a"]
        self.divider.adopt_share("a", share=held.share, remaining_s=held.remaining_s())
        self.assertEqual(self._renew(a=200, c=200), {"a": 50.0, "c": 0.0})
        self.assertEqual(self._settle(a=200, c=200), {"a": 33.3, "c": 33.3})
        self.divider.remove("b")
        self.assertEqual(self._settle(a=200, c=200), {"a": 50.0, "c": 50.0})

    def test_late_reply_never_replaces_a_newer_share(self):
        """Guards against a delayed reply that restores a larger share after it was reduced."""
        held = caps.HeldShare(clock=self.time)
        first, second = (self.divider.renew("a", demand=1, confirmed=0) for _ in range(2))
        self.assertTrue(held.apply(second, sent_s=self.time.monotonic()))
        self.assertFalse(held.apply(first, sent_s=self.time.monotonic()))
        with self.assertRaises(ValueError):
            self.divider.renew("a", demand=1, confirmed=0, sequence=second.sequence)


class ReservationsTest(unittest.TestCase):
    def _after_expiry(self, *shares):
        """Returns reservations of one holder whose shares, (amount, offline), have expired."""
        reservations = cap_reserve.Reservations()
        for sequence, (amount, offline) in enumerate(shares, start=1):
            reservations.add(
                "a", sequence=sequence, amount=amount, offline=offline, expires_s=2.0, now_s=0.0
            )
        reservations.expire(5.0)
        return reservations

    def test_larger_share_does_not_hide_a_larger_offline_part(self):
        """Guards against freeing an offline part when the reply with the next share is lost."""
        self.assertEqual(self._after_expiry((10.0, 5.0), (20.0, 1.0)).total, 5.0)

    def test_confirmation_keeps_the_offline_part_of_the_confirmed_share(self):
        """Guards against dropping a confirmed share that was merged with an older one."""
        reservations = self._after_expiry((9.0, 3.0), (8.0, 2.0))
        reservations.confirm("a", 2, now_s=5.0)
        reservations.expire(7.0)
        self.assertGreaterEqual(reservations.total, 2.0)

"""Tests of the detection of requests that crash servers."""

import unittest

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import crashes, messages


class CrashRegisterTest(unittest.TestCase):
    """Guards against a request that crashes one server after another."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.register = crashes.CrashRegister(clock=self.clock)

    def test_third_separate_crash_refuses_the_request(self):
        for index in range(crashes.CRASHES_TO_REFUSE):
            self.assertFalse(self.register.should_refuse("f"))
            self.register.add("f", f"s{index}")
            self.clock.advance(1.0)
        self.assertTrue(self.register.should_refuse("f"))
        self.assertFalse(self.register.should_refuse("other"))

    def test_loss_of_a_failure_domain_counts_as_one_crash(self):
        for index in range(8):
            self.register.add("f", f"s{index}")
            self.clock.advance(0.02)
        self.assertEqual(self.register.crash_event_count("f"), 1)

    def test_second_report_of_a_crash_is_not_new(self):
        self.assertTrue(self.register.add("f", "s"))
        self.clock.advance(1.0)
        self.assertFalse(self.register.add("f", "s"))

    def test_number_of_fingerprints_is_bounded(self):
        for index in range(3 * crashes.MAX_FINGERPRINTS):
            self.register.add(f"f{index}", "s")
        self.assertLessEqual(len(self.register._crashes), crashes.MAX_FINGERPRINTS)

    def test_fingerprint_ignores_headers_that_change_between_retries(self):
        def request(request_id, body=b"x"):
            return messages.Request(
                method=b"POST", target=b"/p/1", headers=[(b"id", request_id)], body=body
            )

        fingerprint = crashes.fingerprint(request(b"1"), "o")
        self.assertEqual(fingerprint, crashes.fingerprint(request(b"2"), "o"))
        self.assertNotEqual(fingerprint, crashes.fingerprint(request(b"1", b"y"), "o"))
        self.assertNotEqual(fingerprint, crashes.fingerprint(request(b"1"), "p"))

    def test_full_register_keeps_the_request_whose_crash_is_recorded(self):
        # The third crash of a request dropped its first two, so that it was never refused.
        for index in range(crashes.MAX_FINGERPRINTS):
            self.register.add(f"f{index}", "s0/1")
        for server in ("s1/1", "s2/1"):
            self.clock.advance(1.0)
            self.register.add("f0", server)
        self.assertTrue(self.register.should_refuse("f0"))

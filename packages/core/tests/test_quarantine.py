"""Tests of the quarantine of requests that crash servers."""

import random
import unittest

from sassafrasway_core import clock, quarantine


def _fingerprint(**changes):
    request = {"service": "katalog", "method": "GET", "path": "/a", "body": b"x", **changes}
    return quarantine.fingerprint(**request)


class QuarantineTest(unittest.TestCase):
    def test_fingerprint_depends_on_each_part_and_on_the_part_boundaries(self):
        """Guards against quarantining a request because a different request crashed servers.

        Without the length of each part in the hash, moving bytes from the body to the path would
        give the same fingerprint.
        """
        changes = [
            {},
            {"service": "other"},
            {"method": "PUT"},
            {"path": "/b"},
            {"body": b"y"},
            {"path": "/ax", "body": b""},
        ]
        self.assertEqual(len({_fingerprint(**change) for change in changes}), len(changes))
        self.assertEqual(_fingerprint(method="get"), _fingerprint())

    def test_crashes_of_two_distinct_servers_quarantine_until_the_entry_expires(self):
        """Guards against crashing a third server, and against refusing a request forever."""
        time = clock.ManualClock()
        tracker = quarantine.Quarantine(clock=time, ttl_s=600)
        self.assertEqual([tracker.record_crash("f", server) for server in "aab"], [1, 1, 2])
        self.assertEqual(tracker.crashed_servers("f"), {"a", "b"})
        time.advance(599)
        self.assertTrue(tracker.is_quarantined("f"))
        self.assertEqual([entry.remaining_s for entry in tracker.entries()], [1.0])
        time.advance(1)
        self.assertFalse(tracker.is_quarantined("f"))
        self.assertEqual((tracker.record_crash("f", "c"), len(tracker.entries())), (1, 1))

    def test_memory_is_bounded_and_jitter_only_shortens(self):
        """Guards against unlimited memory use when a network fault looks like many crashes."""
        time = clock.ManualClock()
        tracker = quarantine.Quarantine(clock=time, rng=random.Random(1), ttl_s=10)
        for number in range(quarantine.MAX_ENTRIES + 5):
            tracker.record_crash(str(number), "a")
        entries = tracker.entries()
        self.assertEqual((len(entries), entries[0].fingerprint), (quarantine.MAX_ENTRIES, "5"))
        self.assertTrue(all(9 <= entry.remaining_s <= 10 for entry in entries))

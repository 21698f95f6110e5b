"""Tests of the announcements of table versions."""

import random
import types
import unittest
from unittest import mock

import test_fleet

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import announcer, fleet, relay_role


def make_follower(version):
    """Returns a stub follower of a table that this instance reads from the store."""
    return types.SimpleNamespace(
        version=version,
        reading=True,
        interrupted=False,
        unanswered=False,
        last_answered_call_s=99.5,
    )


class VersionAnnouncerTest(unittest.TestCase):
    """Guards against tables that are announced although no instance reads them any more."""

    def setUp(self):
        view = fleet.FleetView(
            clock=clock_lib.ManualClock(),
            own=test_fleet.make_member("i0"),
            rng=random.Random(1),
        )
        view.on_message(test_fleet.make_member("i1"))
        self.role = relay_role.RelayRole(view=view, rng=random.Random(1))
        self.followers = {"op": make_follower(5), "servers": make_follower(7)}
        self.sent = []
        patched = mock.patch.object(announcer.clock_lib, "elapsed_s", return_value=100.0)
        self.now = patched.start()
        self.addCleanup(patched.stop)
        self.announcer = announcer.VersionAnnouncer(
            followers=self.followers,
            role=self.role,
            send=lambda recipients, announcement: self.sent.append(announcement.versions),
        )
        self.announcer.update()

    def test_reader_announces_at_regular_intervals(self):
        self.announcer.update()
        self.assertEqual(self.sent, [{"op": 5, "servers": 7}])
        self.now.return_value += relay_role.BEACON_INTERVAL_S
        self.announcer.update()
        self.assertEqual(len(self.sent), 2)

    def test_announcement_without_a_lost_table_is_sent_immediately(self):
        # Benchmark run of a site with one region, trouble-1 --seed 427345455261: both readers kept
        # announcing a table whose changes no longer reached them.
        self.followers["op"].reading = False
        self.followers["op"].interrupted = True
        self.announcer.update()
        self.assertEqual(self.sent[1:], [{"servers": 7}])

    def test_retried_poll_does_not_count_as_a_loss(self):
        # The follower is not reading between the cancellation of a stalled poll and the next one.
        self.followers["op"].reading = False
        self.announcer.update()
        self.assertEqual(len(self.sent), 1)

    def test_instance_that_is_no_reader_announces_a_newer_version_than_the_readers(self):
        for entry in self.followers.values():
            entry.reading = False
        self.announcer.update()
        self.role.on_beacon("i1", "host1", "north", {"op": 5, "servers": 7})
        self.followers["op"].version = 6
        self.announcer.update()
        self.assertEqual(self.sent[1:], [{"op": 6, "servers": 7}])

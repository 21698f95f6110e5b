"""Tests of the fleet membership and the failure detector."""

import random
import unittest
from unittest import mock

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import fleet


def make_member(name, *, incarnation=1, phase=fleet.Phase.READY, region="north"):
    """Returns the record of an instance."""
    return fleet.Member(
        name=name,
        incarnation=incarnation,
        phase=phase,
        front=f"{name}:80",
        peer_host=name,
        failure_domain=f"{region}-1",
        region=region,
    )


class FleetViewTest(unittest.TestCase):
    """Guards against lookups with unreachable instances, and against live ones declared dead."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.view = fleet.FleetView(clock=self.clock, own=make_member("me"), rng=random.Random(1))

    def tick(self, times=1):
        dead = []
        for _ in range(times):
            self.clock.advance(fleet.PING_INTERVAL_S)
            dead.extend(member.name for member in self.view.tick()[1])
        return dead

    def test_member_that_does_not_answer_is_declared_dead(self):
        self.view.on_message(make_member("other"))
        self.assertEqual(self.tick(6), ["other"])
        self.assertEqual(self.view.live_names(), ["me"])

    def test_member_that_answers_stays_live(self):
        for _ in range(20):
            self.view.on_message(make_member("other"))
            self.assertEqual(self.tick(), [])

    def test_listed_member_is_live_only_after_its_first_message(self):
        self.view.add_listed(make_member("other"))
        self.assertEqual(self.view.live_names(), ["me"])
        self.assertTrue(self.view.on_message(make_member("other")))
        self.assertIn("other", self.view.live_names())

    def test_pause_of_this_process_does_not_make_others_dead(self):
        self.view.on_message(make_member("other"))
        self.tick()
        self.clock.advance(10.0)
        self.assertEqual(self.view.tick()[1], [])

    def live_others(self, *answering):
        """Makes a few members live that answer at each step from now on."""
        for name in answering:
            self.view.on_message(make_member(name))

    def report(self, *reporters, incarnation=1):
        for reporter in reporters:
            self.view.on_report(reporter, "other", incarnation)

    def test_reported_member_that_answers_stays_live(self):
        self.view.on_message(make_member("other"))
        self.clock.advance(fleet.HEARD_S)
        self.report("a", "b")
        self.view.on_message(make_member("other"))
        self.assertEqual(self.tick(2), [])
        self.assertIn("other", self.view.live_names())

    def test_member_with_two_reports_is_dead_without_a_ping(self):
        # With a ping of each instance to each reported member, the pings after a loss of half of
        # the fleet grow with the square of its size.
        # "n" is the successor of this instance and "b" its predecessor, which it may ping.
        self.live_others("a", "b", "n", "other")
        pinged = set()
        for step in range(4):
            self.clock.advance(fleet.PING_INTERVAL_S)
            self.live_others("a", "b", "n")
            if step == 2:
                self.report("a", "b")
            with mock.patch.object(self.view._rng, "choice", return_value="a"):
                pinged |= {member.name for member in self.view.tick()[0]}
        self.assertIn("other", self.view.live_names())
        self.clock.advance(fleet.PING_INTERVAL_S)
        self.live_others("a", "b", "n")
        self.view.tick()
        self.assertEqual([member.name for member in self.view.dead_by_report], ["other"])
        self.assertNotIn("other", self.view.live_names())
        self.assertNotIn("other", pinged)

    def test_member_with_one_report_is_verified(self):
        # A reporter may itself be cut off.
        self.view.on_message(make_member("other"))
        self.clock.advance(fleet.HEARD_S)
        self.report("a", "a", "a")
        self.clock.advance(fleet.SUSPECT_TIMEOUT_S)
        targets, dead = self.view.tick()
        self.assertEqual([member.name for member in targets], ["other"])
        self.assertEqual(dead, [])
        self.view.on_message(make_member("other"))
        self.assertEqual(self.tick(1), [])

    def test_report_of_an_earlier_incarnation_or_of_one_just_heard_is_ignored(self):
        self.view.on_message(make_member("other", incarnation=2))
        self.report("a", "b", incarnation=2)
        self.clock.advance(fleet.HEARD_S)
        self.report("a", "b", incarnation=1)
        self.assertIsNone(self.view._entries["other"].reported_s)

    def test_message_of_an_earlier_incarnation_is_ignored(self):
        self.view.on_message(make_member("other", incarnation=2, phase=fleet.Phase.STARTING))
        self.view.on_message(make_member("other", incarnation=1, phase=fleet.Phase.LEAVING))
        self.assertEqual(self.view.members()[0].incarnation, 2)

    def test_restarted_member_is_live_after_its_clock_was_set_back(self):
        # The incarnation is the start time. After the clock was set back it was lower than before,
        # and the other instances treated the restarted instance as dead until it exited.
        self.view.on_message(make_member("other", incarnation=5000, phase=fleet.Phase.LEAVING))
        restarted = make_member("other", incarnation=2000)
        self.view.on_message(restarted)
        self.assertNotIn("other", self.view.live_names())
        self.clock.advance(fleet.MAX_DATAGRAM_DELAY_S)
        self.view.on_message(restarted)
        self.assertIn("other", self.view.live_names())
        self.assertIn(restarted, self.view.ready_members())

    def test_leaving_member_is_not_ready(self):
        self.view.on_message(make_member("other", phase=fleet.Phase.LEAVING))
        self.assertEqual([member.name for member in self.view.ready_members()], ["me"])

    def test_number_of_pings_does_not_grow_with_the_fleet(self):
        for index in range(300):
            self.view.on_message(make_member(f"i{index}"))
        self.clock.advance(fleet.PING_INTERVAL_S)
        targets, _ = self.view.tick()
        self.assertLessEqual(len(targets), 3)

"""Tests of the fleet membership and the failure detector."""

import random
import unittest

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

    def test_suspected_member_that_answers_stays_live(self):
        self.view.on_message(make_member("other"))
        self.assertEqual(self.view.suspect("other", 1).name, "other")
        self.view.on_message(make_member("other"))
        self.assertEqual(self.tick(2), [])

    def test_suspicion_of_an_earlier_incarnation_is_ignored(self):
        self.view.on_message(make_member("other", incarnation=2))
        self.assertIsNone(self.view.suspect("other", 1))

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

"""Tests of the exchange of load reports between instances."""

import random
import unittest

import gateway_fakes

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import fleet, load_sharing, peer_messages


class LoadSharingTest(unittest.TestCase):
    """Guards against reports that get lost, are mixed up, or replace newer ones."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.clock.advance(100.0)
        self.sender = self.make(count=60)
        self.receiver = self.make(count=60)

    def make(self, *, count, started_ms=0, enabled=True):
        listed = [
            gateway_fakes.make_server(f"s{index}", started_ms=started_ms) for index in range(count)
        ]
        registry = gateway_fakes.make_registry(listed, clock=self.clock)
        sharing = load_sharing.LoadSharing(
            clock=self.clock, registry=registry, rng=random.Random(3)
        )
        registry.set_estimation_required(enabled)
        sharing.refresh()
        self.registries = {**getattr(self, "registries", {}), id(sharing): registry}
        return sharing

    def state(self, sharing, server_id):
        return self.registries[id(sharing)].get(server_id)

    def report(self, sharing, server_id, running, **fields):
        registry = self.registries[id(sharing)]
        registry.on_load(registry.get(server_id), running, 0, **fields)

    def test_report_arrives_with_its_age(self):
        self.report(self.sender, "s1", 5, slowdown=2.5)
        self.clock.advance(0.5)
        self.receiver.apply(self.sender.encode())
        known = self.state(self.receiver, "s1").known_load
        self.assertEqual((known.others_outstanding, known.reported_slowdown), (5.0, 2.5))
        self.assertAlmostEqual(known.report_age_s(self.clock.monotonic()), 0.5, delta=0.03)

    def test_older_report_does_not_replace_a_newer_one(self):
        self.report(self.sender, "s1", 9)
        self.clock.advance(0.5)
        self.report(self.receiver, "s1", 2)
        self.receiver.apply(self.sender.encode())
        self.assertEqual(self.state(self.receiver, "s1").known_load.others_outstanding, 2.0)

    def test_report_that_is_sent_back_changes_nothing(self):
        self.report(self.sender, "s1", 8)
        self.clock.advance(0.013)
        self.receiver.apply(self.sender.encode())
        state = self.state(self.sender, "s1")
        state.outstanding = 3
        observed_at_s = state.known_load.observed_at_s
        self.clock.advance(0.013)
        self.sender.apply(self.receiver.encode())
        self.assertEqual(state.known_load.observed_at_s, observed_at_s)

    def test_report_of_another_start_is_ignored(self):
        other = self.make(count=60, started_ms=7)
        self.report(other, "s1", 9)
        self.receiver.apply(other.encode())
        self.assertEqual(self.state(self.receiver, "s1").known_load.observed_at_s, 0.0)

    def test_old_reports_are_not_passed_on(self):
        self.report(self.sender, "s1", 9)
        self.clock.advance(load_sharing.MAX_AGE_S + 0.1)
        self.assertEqual(self.sender.encode(), b"")

    def test_newest_reports_go_first_and_a_message_is_bounded(self):
        for index in range(60):
            self.report(self.sender, f"s{index}", 1)
            self.clock.advance(0.01)
        data = self.sender.encode()
        self.assertLessEqual(len(data), load_sharing.MAX_BYTES)
        self.receiver.apply(data)
        for index in range(59, 59 - load_sharing.MAX_REPORTS // 2, -1):
            self.assertGreater(self.state(self.receiver, f"s{index}").known_load.observed_at_s, 0.0)

    def test_nothing_is_sent_unless_loads_are_estimated(self):
        sender = self.make(count=3, enabled=False)
        self.report(sender, "s1", 9)
        self.assertEqual(sender.encode(), b"")
        self.report(sender, "s1", 9, slowdown=1.5)
        self.assertNotEqual(sender.encode(), b"")

    def test_odd_bytes_are_ignored(self):
        for data in (b"x", b"y" * load_sharing.MAX_BYTES, b"\xff" * 13):
            self.receiver.apply(data)
        self.assertEqual(self.state(self.receiver, "s1").known_load.observed_at_s, 0.0)

    def test_reports_travel_in_a_ping(self):
        self.report(self.sender, "s1", 5)
        member = fleet.Member(
            name="a",
            incarnation=1,
            phase=fleet.Phase.READY,
            front="127.0.0.1:1",
            peer_host="127.0.0.1",
            failure_domain="a-1",
            region="north",
        )
        hello = peer_messages.hello(
            member, reply=True, versions={"t": 1}, loads=self.sender.encode()
        )
        self.receiver.apply(peer_messages.decode(peer_messages.encode(hello)).loads)
        self.assertEqual(self.state(self.receiver, "s1").known_load.others_outstanding, 5.0)

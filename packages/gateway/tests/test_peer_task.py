"""Tests of the reports of unreachable instances and of their refutation."""

import dataclasses
import random
import unittest
from unittest import mock

import test_fleet

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import fleet, peer_messages, peer_task

HOSTS = {"me": "10.0.0.1", "a": "10.0.0.2", "b": "10.0.0.3", "c": "10.0.0.4"}


def make_member(name):
    """Returns the record of an instance with an address for datagrams."""
    return dataclasses.replace(test_fleet.make_member(name), peer_host=HOSTS[name])


class PeerFixture(unittest.IsolatedAsyncioTestCase):
    """Builds the peer task of an instance that knows three others, and records what it sends."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.view = fleet.FleetView(clock=self.clock, own=make_member("me"), rng=random.Random(1))
        self.peers = peer_task.PeerTask(
            view=self.view,
            port=1,
            versions=dict,
            on_versions=lambda *args: None,
            on_crash=lambda *args: None,
            on_beacon=lambda *args, **fields: None,
            on_answer_told=lambda *args: None,
        )
        self.sent = []
        self.peers._transport = mock.Mock()
        self.peers._transport.is_closing.return_value = False
        self.peers._transport.sendto.side_effect = lambda data, address: self.sent.append(
            (peer_messages.decode(data), address[0])
        )
        for name in ("a", "b", "c"):
            self.view.on_message(make_member(name))

    def receive(self, message):
        self.peers.datagram_received(peer_messages.encode(message), ("127.0.0.1", 1))


class ReportTest(PeerFixture):
    """Guards against instances that stay given up although they were silent for a moment only."""

    def test_reported_instance_tells_all_members_that_it_is_live(self):
        # After a pause, the others learned of it only by random pings, which takes a minute in a
        # fleet of 195.
        report = peer_messages.Unreachable("a", (("me", 1), ("c", 1)))
        for _ in range(5):
            self.receive(report)
        self.assertEqual(sorted(host for _, host in self.sent), sorted(HOSTS.values())[1:])
        self.assertTrue(all(isinstance(message, peer_messages.Hello) for message, _ in self.sent))

    def test_report_of_a_run_before_a_restart_is_not_answered(self):
        self.receive(peer_messages.Unreachable("a", (("me", 0),)))
        self.assertEqual(self.sent, [])

    def test_reports_fit_into_datagrams_and_reach_the_reported_members(self):
        lost = [test_fleet.make_member(f"lost-{'x' * 30}-{index}") for index in range(50)]
        self.peers._report(lost)
        hosts = {host for _, host in self.sent}
        expected = {*HOSTS.values(), *(member.peer_host for member in lost)} - {HOSTS["me"]}
        self.assertEqual(hosts, expected)
        sizes = [len(peer_messages.encode(message)) for message, _ in self.sent]
        self.assertLessEqual(max(sizes), peer_task.MAX_DATAGRAM_BYTES)

    def test_two_reporters_make_a_member_dead(self):
        self.clock.advance(fleet.HEARD_S)
        self.view.tick()
        for reporter in ("a", "b"):
            self.receive(peer_messages.Unreachable(reporter, (("c", 1),)))
        self.assertIn("c", self.view.live_names())
        for _ in range(2):
            self.clock.advance(fleet.SUSPECT_TIMEOUT_S / 2)
            self.view.tick()
        self.assertNotIn("c", self.view.live_names())


class QuotaMessageTest(PeerFixture):
    """Guards against messages about rate limits that are lost, or accepted with invalid fields."""

    def setUp(self):
        super().setUp()
        self.received = []
        self.heard = 0
        self.peers._on_quota = lambda message, host: self.received.append((message, host))
        self.peers._on_heard = self.count_heard

    def count_heard(self):
        self.heard += 1

    def test_messages_arrive_with_the_address_of_the_sender(self):
        """Guards against grants sent to the wrong instance."""
        quota_messages = [
            peer_messages.TokenRequest("org", 1, 2, 3, 4, "10.0.0.3"),
            peer_messages.TokenGrant(4, peer_messages.GrantState.GRANTED, 2, 15, 0),
            peer_messages.TokenReturn("org", 1, 2, 4),
            peer_messages.ShardRequest("org", 1),
            peer_messages.ShardHandover("org", 1, -0.5),
            peer_messages.ShardHandover("org", 1, None),
        ]
        for message in quota_messages:
            self.receive(message)
        self.assertEqual(self.received, [(message, "127.0.0.1") for message in quota_messages])
        self.assertEqual(self.heard, len(quota_messages))

    def test_fields_beyond_their_limits_are_rejected(self):
        """Guards against datagrams that anyone can send to grant or take any number of tokens."""
        quota_messages = [
            peer_messages.TokenRequest("org", 1, peer_messages.MAX_TOKENS + 1, 0, 4),
            peer_messages.TokenRequest("org", 1, 0, 0, 4),
            peer_messages.TokenRequest("org", 1, 1, 0, 4, "not an address"),
            peer_messages.TokenRequest("", 1, 1, 0, 4),
            peer_messages.TokenGrant(4, 0, 1, peer_messages.MAX_TOKEN_WAIT_MS + 1),
            peer_messages.TokenGrant(4, 7),
            peer_messages.TokenReturn("org", peer_messages.MAX_SHARD + 1, 1, 4),
            peer_messages.ShardHandover("org", 1, float("inf")),
            peer_messages.ShardHandover("org", 1, float("nan")),
        ]
        for message in quota_messages:
            self.receive(message)
        self.assertEqual((self.received, self.heard), ([], 0))

    def test_own_messages_do_not_count_as_those_of_others(self):
        """Guards against an isolated instance that grants because it hears itself."""
        message = peer_messages.encode(peer_messages.ShardRequest("org", 1))
        self.peers.datagram_received(message, (HOSTS["me"], 1))
        self.assertEqual(self.heard, 0)

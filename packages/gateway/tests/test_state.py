"""Tests of applying rows of the platform's store."""

import unittest

import gateway_fakes
import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors
from sassafrasway_gateway import model, outage, servers, state
from sassafrasway_platform import feed


class Decoder(state.RowDecoder):
    """Decoder of simple rows.

    A policy row is the version, a server row is ``ready`` or ``draining``; ``bad`` is invalid.
    """

    def policy(self, value):
        if value == b"bad":
            raise errors.ValidationError("bad", step="test")
        return model.Policy(
            version=int(value),
            routes=(gateway_fakes.make_route(),),
            services={},
            limits=model.Limits(),
        )

    def backend_server(self, key, value):
        if value == b"bad":
            raise errors.ValidationError("bad", step="test")
        return gateway_fakes.make_server(key, draining=value == b"draining")

    def is_policy(self, key):
        return key == "policy"

    def evacuated_domain(self, key):
        return key.removeprefix("evacuate/") if key.startswith("evacuate/") else None


def change(key, value, version=1):
    """Returns the change of a row."""
    return feed.Change(key=key, value=value, version=version)


class PolicyStateTest(unittest.TestCase):
    """Guards against an older policy or an invalid row that replaces the policy in force."""

    def setUp(self):
        self.applied = []
        self.registry = gateway_fakes.make_registry([gateway_fakes.make_server("s")])
        self.clock = clock_lib.ManualClock()
        self.state = state.PolicyState(
            clock=self.clock,
            decoder=Decoder(),
            registry=self.registry,
            on_policy=self.applied.append,
        )

    def test_older_version_is_ignored(self):
        for value in (b"5", b"4", b"5"):
            self.state.on_change(change("policy", value))
        self.assertEqual([policy.version for policy in self.applied], [5])

    def test_policy_stays_in_force_after_an_invalid_or_removed_row(self):
        self.state.on_change(change("policy", b"5"))
        self.state.on_change(change("policy", b"bad"))
        self.state.on_change(change("policy", None))
        self.assertEqual(self.state.policy.version, 5)

    def test_evacuation_starts_and_ends_with_its_row(self):
        self.state.on_change(change("evacuate/a-1", b"{}"))
        self.assertEqual(self.registry.evacuated, {"a-1"})
        self.state.on_rows(feed.Changes(rows=[change("policy", b"6")], version=9))
        self.assertEqual(self.registry.evacuated, set())


class ServerTableListenerTest(unittest.TestCase):
    """Guards against keeping servers that have stopped and removing servers that still run."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.registry = servers.ServerRegistry(clock=self.clock, region_of=gateway_fakes.REGION_OF)
        self.listener = state.ServerTableListener(
            clock=self.clock, decoder=Decoder(), registry=self.registry
        )
        self.listener.on_change(change("s", b"ready"))

    def test_server_is_removed_with_its_listing(self):
        self.listener.on_change(change("s", None))
        self.assertIsNone(self.registry.get("s"))

    def test_server_that_is_listed_again_within_the_grace_period_stays(self):
        self.listener.on_store_returned(outage.RELIST_GRACE_S)
        self.listener.on_change(change("s", None))
        self.listener.sweep()
        self.assertIsNotNone(self.registry.get("s"))
        self.listener.on_change(change("s", b"ready"))
        self.clock.advance(outage.RELIST_GRACE_S)
        self.listener.sweep()
        self.assertIsNotNone(self.registry.get("s"))

    def test_server_is_removed_after_the_grace_period(self):
        self.listener.on_store_returned(outage.RELIST_GRACE_S)
        self.listener.on_rows(feed.Changes(rows=[], version=7))
        self.clock.advance(outage.RELIST_GRACE_S)
        self.listener.sweep()
        self.assertIsNone(self.registry.get("s"))

    def test_draining_server_has_no_grace_period(self):
        self.listener.on_change(change("s", b"draining"))
        self.listener.on_store_returned(outage.RELIST_GRACE_S)
        self.listener.on_change(change("s", None))
        self.assertIsNone(self.registry.get("s"))

    def test_server_with_an_invalid_listing_is_removed(self):
        self.listener.on_change(change("s", b"bad"))
        self.assertIsNone(self.registry.get("s"))

    def test_first_read_logs_one_line(self):
        # A line per server made a burst of 582 lines, which exceeded the rate limit of the log and
        # suppressed the lines that followed.
        registry = gateway_fakes.make_registry([], clock=self.clock)
        listener = state.ServerTableListener(clock=self.clock, decoder=Decoder(), registry=registry)
        rows = [change(f"s{index}", b"ready") for index in range(50)]
        with structlog.testing.capture_logs() as lines:
            listener.on_rows(feed.Changes(rows=rows, version=9))
            listener.on_rows(feed.Changes(rows=rows, version=10))
            listener.on_change(change("s1", b"draining"))
        self.assertEqual([line["event"] for line in lines], ["server list read", "server listed"])

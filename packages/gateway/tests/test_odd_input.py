"""Tests of input that no well-behaved peer sends: it must not end or stall an instance."""

import asyncio
import contextlib
import random
import unittest
import zlib
from unittest import mock

import gateway_fakes
import hypothesis
import msgspec
import structlog
import test_fleet
import test_follower
import test_state
from hypothesis import strategies

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors
from sassafrasway_gateway import (
    fleet,
    peer_messages,
    peer_task,
    registration,
    relay,
    state,
)
from sassafrasway_platform import feed

HELLO = ["h", "i1", 5, 1, "127.0.0.1:80", "127.0.0.1", "a-1", "north", True, {"op": 1}]


def hello_with(**fields):
    """Returns an encoded hello with some of its fields, given by position, replaced."""
    values = list(HELLO)
    for position, value in fields.items():
        values[int(position[1:])] = value
    return msgspec.msgpack.encode(values)


def beacon_with(**fields):
    """Returns an encoded announcement with some of its fields, given by position, replaced."""
    values = ["b", "i1", "127.0.0.1", "north", {}, True, [], -1]
    for position, value in fields.items():
        values[int(position[1:])] = value
    return msgspec.msgpack.encode(values)


# Fields are named by their position: f3 is the phase, f5 the address for datagrams.
ODD_MESSAGES = (
    None,
    b"",
    b"\xc1",
    b"\x91" * 20_000,
    hello_with(f0="unknown"),
    hello_with(f1=""),
    hello_with(f1="n" * 5000),
    hello_with(f2=-1),
    hello_with(f2=2**63),
    hello_with(f2=float("nan")),
    hello_with(f3=7),
    hello_with(f3="1"),
    hello_with(f5="host.example"),
    hello_with(f5="127.0.0.1\0"),
    hello_with(f5="x" * 300),
    hello_with(f9={"op": 2**60}),
    hello_with(f9={str(number): 1 for number in range(100)}),
    beacon_with(f5=2),
    beacon_with(f6=[""]),
    beacon_with(f6=["op"] * 100),
    beacon_with(f7=-5),
    beacon_with(f7=2**60),
    msgspec.msgpack.encode(["b", "i1", "nowhere", "north", {}]),
    msgspec.msgpack.encode(["s", "", 0]),
    msgspec.msgpack.encode(["c", "f" * 10_000, "s"]),
)


class PeerMessageTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a datagram or a row of the table of members that ends a task or a socket."""

    def test_odd_messages_are_rejected(self):
        for data in ODD_MESSAGES:
            with self.subTest(data=data and data[:60]), self.assertRaises(errors.ValidationError):
                peer_messages.decode(data)

    @hypothesis.given(strategies.binary(max_size=200))
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    def test_any_bytes_are_decoded_or_rejected(self, data):
        with contextlib.suppress(errors.ValidationError):
            peer_messages.decode(data)

    @hypothesis.given(position=strategies.integers(0, len(HELLO) - 1), value=strategies.recursive(
        strategies.none() | strategies.booleans() | strategies.integers(-(2**63), 2**64 - 1)
        | strategies.floats() | strategies.text(max_size=20),
        lambda inner: strategies.lists(inner, max_size=3),
    ))  # fmt: skip
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    def test_hello_with_one_odd_field_is_decoded_or_rejected(self, position, value):
        try:
            message = peer_messages.decode(hello_with(**{f"f{position}": value}))
        except errors.ValidationError:
            return
        if isinstance(message, peer_messages.Hello):
            peer_messages.member_of(message)

    async def test_odd_rows_do_not_keep_the_listed_members_from_being_added(self):
        view = fleet.FleetView(
            clock=clock_lib.ManualClock(),
            own=test_fleet.make_member("me"),
            rng=random.Random(1),
        )
        listed = [
            feed.Change(key=f"odd-{index}", value=data, version=1)
            for index, data in enumerate(ODD_MESSAGES)
        ]
        listed.append(feed.Change(key="i1", value=hello_with(), version=1))
        store = mock.AsyncMock()
        store.read.return_value = feed.Changes(rows=listed, version=1)
        await registration.Registration(
            store=store, table_name="members", view=view, rng=random.Random(1)
        ).register()
        self.assertEqual([member.name for member in view.members()], ["i1"])

    async def test_socket_is_opened_again_after_an_error_closed_it(self):
        view = fleet.FleetView(
            clock=clock_lib.ManualClock(),
            own=test_fleet.make_member("me"),
            rng=random.Random(1),
        )
        task = peer_task.PeerTask(
            view=view,
            port=0,
            versions=dict,
            on_versions=lambda *args: None,
            on_crash=lambda *args: None,
            on_beacon=lambda *args, **fields: None,
            on_answer_told=lambda name, age_s: None,
        )
        await task.start("127.0.0.1")
        first = task._transport
        with mock.patch.object(fleet, "PING_INTERVAL_S", 0.01):
            running = asyncio.create_task(task.run())
            self.addCleanup(running.cancel)
            first.abort()
            async with asyncio.timeout(5):
                while task._transport is first:
                    await asyncio.sleep(0.01)
        self.assertFalse(task._transport.is_closing())
        task._transport.close()

    def test_invalid_datagrams_log_one_line_a_second(self):
        task = peer_task.PeerTask(
            view=None,
            port=0,
            versions=dict,
            on_versions=None,
            on_crash=None,
            on_beacon=None,
            on_answer_told=None,
        )
        with structlog.testing.capture_logs() as lines:
            for _ in range(50):
                task.datagram_received(b"\xc1", ("127.0.0.1", 1))
            task.datagram_received(b"\x00" * 5000, ("127.0.0.1", 1))
        self.assertEqual(len(lines), 1)


class RelayedTableTest(unittest.TestCase):
    """Guards against an answer of another instance that exhausts the memory or ends the task."""

    def test_table_that_unpacks_to_too_much_is_rejected(self):
        packed = zlib.compress(b"\0" * (relay.MAX_TABLE_BYTES * 4), 9)
        with self.assertRaises(errors.ValidationError):
            relay._decode(packed)

    @hypothesis.given(strategies.binary(max_size=100), strategies.booleans())
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    def test_any_bytes_are_decoded_or_rejected(self, data, packed):
        with contextlib.suppress(errors.ValidationError):
            relay._decode(zlib.compress(data) if packed else data)


class TableFollowerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against one change that keeps the others from being applied, or ends the follower."""

    def make_follower(self, store, listener, role=None, relay_client=None):
        case = test_follower.TableFollowerTest()
        table_follower = case.make_follower(store, role, relay_client)
        table_follower._listener = listener
        return table_follower

    async def test_change_that_raises_an_error_does_not_stop_the_others(self):
        applied = []

        class Listener(test_follower.Recorder):
            def on_change(self, change):
                if change.key == "odd":
                    raise RuntimeError("odd")
                applied.append(change.key)

        store = test_follower.FakeStore(
            test_follower.changes(3), test_follower.changes(4, "odd", "a"), test_follower.changes(5)
        )
        table_follower = self.make_follower(store, Listener())
        running = asyncio.create_task(table_follower.run())
        self.addCleanup(running.cancel)
        async with asyncio.timeout(5):
            while table_follower.version < 5:
                await asyncio.sleep(0.01)
        self.assertEqual(applied, ["a"])

    async def test_follower_continues_after_an_unexpected_error(self):
        store = test_follower.FakeStore(RuntimeError("odd"), test_follower.changes(4))
        recorder = test_follower.Recorder()
        table_follower = self.make_follower(store, recorder)
        running = asyncio.create_task(table_follower.run())
        self.addCleanup(running.cancel)
        async with asyncio.timeout(5):
            while table_follower.version < 4:
                await asyncio.sleep(0.01)
        self.assertIn(("rows", 4), recorder.events)

    async def test_source_that_cannot_serve_what_it_announced_is_not_asked_again_at_once(self):
        client = mock.AsyncMock()
        client.fetch.return_value = relay.RelayedTable([], -1, False)
        role = test_follower.FakeRole(reads_store=False, source="peer")
        table_follower = self.make_follower(
            test_follower.FakeStore(), test_follower.Recorder(), role, client
        )
        running = asyncio.create_task(table_follower.run())
        await asyncio.sleep(0.1)
        running.cancel()
        self.assertLessEqual(client.fetch.await_count, 2)


class RejectedRowTest(unittest.TestCase):
    """Guards against an odd row that is logged at each read, or hides the rows around it."""

    def setUp(self):
        self.registry = gateway_fakes.make_registry([])
        self.listener = state.ServerTableListener(
            clock=clock_lib.ManualClock(),
            decoder=test_state.Decoder(),
            registry=self.registry,
        )

    def test_each_odd_content_is_logged_once(self):
        rows = [
            test_state.change("s1", b"ready"),
            test_state.change("odd", b"bad"),
            test_state.change("s2", b"ready"),
        ]
        with structlog.testing.capture_logs() as lines:
            for version in range(5):
                self.listener.on_rows(feed.Changes(rows=rows, version=version))
            self.listener.on_change(test_state.change("odd", b"bad"))
        self.assertEqual(
            [line["server"] for line in lines if line["event"] == "invalid server listing"], ["odd"]
        )
        self.assertEqual(len(self.registry), 2)

    def test_row_that_is_odd_again_after_it_was_valid_is_logged_again(self):
        with structlog.testing.capture_logs() as lines:
            for value in (b"bad", b"ready", b"bad"):
                self.listener.on_change(test_state.change("s1", value))
        self.assertEqual(sum(line["event"] == "invalid server listing" for line in lines), 2)
        self.assertIsNone(self.registry.get("s1"))

    def test_removed_rows_in_a_whole_table_name_nothing(self):
        policies = state.PolicyState(
            clock=clock_lib.ManualClock(),
            decoder=test_state.Decoder(),
            registry=self.registry,
            on_policy=lambda policy: None,
        )
        policies.on_rows(feed.Changes(rows=[test_state.change("evacuate/a-1", None)], version=1))
        self.assertEqual(self.registry.evacuated, frozenset())
        self.listener.on_rows(feed.Changes(rows=[test_state.change("s1", None)], version=1))
        self.assertEqual(len(self.registry), 0)

"""Tests of the table follower, mainly of its recovery from outages."""

import asyncio
import contextlib
import random
import unittest
from unittest import mock

import gateway_fakes

from sassafrasway_gateway import follower, outage, relay, relay_role, table_cache
from sassafrasway_platform import feed, table


class FakeStore(feed.FollowedStore):
    """Store that returns or raises the given results in order and then blocks."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []

    async def _next(self, call):
        self.calls.append(call)
        if not self.results:
            await asyncio.sleep(3600)
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    async def read(self, table_name):
        return await self._next(("read", table_name))

    async def changes(self, table_name, *, after, wait_s, timeout_s):
        return await self._next(("changes", after))

    async def write(self, table_name, key, value):
        raise AssertionError("not used")


class Recorder(follower.Listener):
    """Listener that records its calls."""

    def __init__(self):
        self.events = []

    def on_rows(self, changes):
        self.events.append(("rows", changes.version))

    def on_change(self, change):
        self.events.append(("change", change.key))

    def on_store_returned(self, grace_s):
        self.events.append(("returned", grace_s))

    def on_new_era(self, grace_s):
        self.events.append(("era", grace_s))


class FakeRole:
    """Role with a fixed choice of reading the store or fetching from another instance."""

    def __init__(self, reads_store=True, source=None):
        self.reads_store = reads_store
        self.source_host = source
        self.held = False
        self.announced = False
        self.announcement_received = asyncio.Event()

    def has_recent_announcement(self, table_name):
        return self.announced

    def poll_times(self):
        return relay_role.PollTimes(wait_s=1.0, margin_s=0.5)

    def is_reader(self, table_name, *, reading=False):
        return self.reads_store

    def takeover_wait_s(self, table_name):
        return 0.0

    def is_held(self, table_name):
        return self.held

    def on_fetch_failed(self, host, table_name):
        self.source_host = None

    def choose_source(self, table_name, version):
        return self.source_host if version < 9 else None


def unavailable():
    """Returns the error raised while the store does not respond."""
    return table.StoreUnavailable("down", step="test")


def changes(version, *keys):
    """Returns changes of the rows with the given keys."""
    rows = [feed.Change(key=key, value=b"", version=version) for key in keys]
    return feed.Changes(rows=rows, version=version)


@mock.patch.object(follower, "BATCH_INTERVAL_S", 0.0)
@mock.patch.object(follower, "INITIAL_BACKOFF_S", 0.001)
class TableFollowerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against tables that stay out of date after an outage."""

    def make_follower(self, store, role=None, relay_client=None):
        self.recorder = Recorder()
        return follower.TableFollower(
            store=store,
            table_name="op",
            listener=self.recorder,
            cache=table_cache.TableCache(),
            role=role or FakeRole(),
            relay_client=relay_client,
            rng=random.Random(1),
        )

    async def run_until(self, table_follower, condition):
        running = asyncio.create_task(table_follower.run())
        await gateway_fakes.until(condition)
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running

    async def test_reads_then_polls_from_the_version_it_read(self):
        store = FakeStore(changes(3), changes(5, "a"))
        table_follower = self.make_follower(store)
        await self.run_until(table_follower, lambda: len(store.calls) >= 3)
        self.assertEqual(store.calls, [("read", "op"), ("changes", 3), ("changes", 5)])
        self.assertEqual(self.recorder.events, [("rows", 3), ("change", "a")])

    async def test_whole_table_is_read_again_after_the_change_history_was_lost(self):
        lost = feed.HistoryLost("gone", step="test")
        store = FakeStore(changes(3), lost, changes(8))
        await self.run_until(self.make_follower(store), lambda: len(self.recorder.events) >= 2)
        self.assertEqual(self.recorder.events, [("rows", 3), ("rows", 8)])

    async def test_lost_change_history_is_recovered_after_further_store_failures(self):
        lost = feed.HistoryLost("gone", step="test")
        store = FakeStore(changes(3), lost, unavailable(), lost, changes(8))
        await self.run_until(self.make_follower(store), lambda: ("rows", 8) in self.recorder.events)

    @mock.patch.object(outage, "MIN_OUTAGE_S", 0.0)
    async def test_listener_is_called_when_an_outage_ends(self):
        store = FakeStore(changes(3), unavailable(), unavailable(), changes(4, "a"))
        table_follower = self.make_follower(store)
        running = asyncio.create_task(table_follower.run())
        await gateway_fakes.until(lambda: table_follower.version >= 4)
        running.cancel()
        returned = ("returned", outage.RELIST_GRACE_S)
        self.assertEqual(self.recorder.events, [("rows", 3), returned, ("change", "a")])
        self.assertFalse(table_follower.interrupted)

    async def test_newer_version_of_another_instance_cancels_a_stalled_poll(self):
        store = FakeStore(changes(3))
        table_follower = self.make_follower(store)
        running = asyncio.create_task(table_follower.run())
        await gateway_fakes.until(lambda: ("changes", 3) in store.calls)
        with (
            mock.patch.object(follower, "MIN_STALE_POLL_AGE_S", 0.0),
            mock.patch.object(follower, "LAG_TOLERANCE_S", 0.0),
        ):
            table_follower.on_reported_version(4)
            await asyncio.sleep(0.01)
            table_follower.on_reported_version(4)
        await gateway_fakes.until(lambda: store.calls.count(("changes", 3)) >= 2)
        running.cancel()
        self.assertEqual(store.calls.count(("changes", 3)), 2)

    async def test_reader_whose_poll_stalls_stops_announcing_and_fetches_from_another_instance(
        self,
    ):
        # Incident inc-37d1: a reader that was cut off from the store kept announcing its old
        # version for 5.5 s.
        client = mock.AsyncMock()
        client.fetch.return_value = relay.RelayedTable([relay.RelayedRow("a", b"", 9)], 9, False)
        role = FakeRole()
        store = FakeStore(changes(3))
        table_follower = self.make_follower(store, role, client)
        running = asyncio.create_task(table_follower.run())
        await gateway_fakes.until(lambda: ("changes", 3) in store.calls)
        self.assertTrue(table_follower.reading)
        role.source_host = "peer"
        with (
            mock.patch.object(follower, "MIN_STALE_POLL_AGE_S", 0.0),
            mock.patch.object(follower, "LAG_TOLERANCE_S", 0.0),
        ):
            table_follower.on_reported_version(9)
            await asyncio.sleep(0.01)
            # A report of a version that is not newer must not restart the tolerance period.
            table_follower.on_reported_version(3)
            table_follower.on_reported_version(9)
        await gateway_fakes.until(lambda: table_follower.version == 9)
        running.cancel()
        self.assertFalse(table_follower.reading)

    async def test_newer_version_does_not_cancel_a_poll_that_has_just_started(self):
        # After a network partition, reports of newer versions cancelled every poll while it was
        # still reconnecting.
        store = FakeStore(changes(3))
        table_follower = self.make_follower(store)
        running = asyncio.create_task(table_follower.run())
        await gateway_fakes.until(lambda: ("changes", 3) in store.calls)
        for _ in range(20):
            table_follower.on_reported_version(4)
        await asyncio.sleep(0.02)
        running.cancel()
        self.assertEqual(store.calls.count(("changes", 3)), 1)

    async def test_rows_missing_after_a_loss_of_readers_are_removed_at_once(self):
        # Review case 4: an instance took the silence after the loss of the readers for an outage of
        # the store, and kept a server that had left in use for up to 3.4 s.
        role = FakeRole(reads_store=False)
        store = FakeStore(changes(4, "a"))
        table_follower = self.make_follower(store, role)
        table_follower._cache.replace(changes(3, "a"))
        table_follower._needs_full_read = False
        table_follower._in_contact = True
        running = asyncio.create_task(table_follower.run())
        await gateway_fakes.until(lambda: table_follower.interrupted)
        table_follower._interrupted_s -= 5.0
        role.reads_store = True
        role.announcement_received.set()
        await gateway_fakes.until(lambda: self.recorder.events)
        running.cancel()
        self.assertEqual(self.recorder.events, [("change", "a")])
        self.assertIs(table_follower.judgement.cause, outage.Cause.READERS_LOST)

    async def test_fetching_instance_learns_of_the_outage_before_it_applies_the_rows(self):
        # Issue 26: after an outage of 5 s, seven of nine instances removed all servers, as they
        # applied the rows that they fetched before the grace began.
        for announced_before in (False, True):
            with self.subTest(announced_before=announced_before):
                await self.check_grace_of_fetched_rows(announced_before)

    async def check_grace_of_fetched_rows(self, announced_before):
        client = mock.AsyncMock()
        relayed = relay.RelayedTable([relay.RelayedRow("a", None, 9)], 9, False, 1500)
        client.fetch.return_value = relayed
        role = FakeRole(reads_store=False)
        table_follower = self.make_follower(FakeStore(), role, client)
        table_follower._cache.replace(changes(3, "a"))
        table_follower._in_contact = True
        running = asyncio.create_task(table_follower.run())
        await gateway_fakes.until(lambda: table_follower.interrupted)
        # An announcement of the version of before may come first.
        role.announced = announced_before
        role.announcement_received.set()
        if announced_before:
            await gateway_fakes.until(lambda: not table_follower.interrupted)
        # Without that announcement, the follower stays interrupted.
        await asyncio.sleep(0.02)
        self.assertEqual(table_follower.interrupted, not announced_before)
        role.source_host = "peer"
        role.announcement_received.set()
        await gateway_fakes.until(lambda: len(self.recorder.events) >= 2)
        running.cancel()
        self.assertEqual(self.recorder.events, [("returned", 1.5), ("change", "a")])

    async def test_grace_of_another_instance_does_not_count_without_an_interruption(self):
        # The instance of which rows are fetched may itself have been cut off from the store.
        client = mock.AsyncMock()
        relayed = relay.RelayedTable([relay.RelayedRow("a", None, 9)], 9, False, 1500)
        client.fetch.return_value = relayed
        role = FakeRole(reads_store=False)
        role.announced = True
        table_follower = self.make_follower(FakeStore(), role, client)
        table_follower._cache.replace(changes(3, "a"))
        running = asyncio.create_task(table_follower.run())
        await asyncio.sleep(0.02)
        role.source_host = "peer"
        role.announcement_received.set()
        await gateway_fakes.until(lambda: self.recorder.events)
        running.cancel()
        self.assertEqual(self.recorder.events, [("change", "a")])

    async def test_instance_that_is_held_knows_of_the_outage(self):
        # Only eight instances of a region try to read the store while it is away.
        role = FakeRole(reads_store=False)
        role.held = True
        table_follower = self.make_follower(FakeStore(changes(4, "a")), role)
        table_follower._cache.replace(changes(3, "a"))
        table_follower._in_contact = True
        table_follower._needs_full_read = False
        running = asyncio.create_task(table_follower.run())
        await gateway_fakes.until(lambda: table_follower._evidence._held_since_s is not None)
        table_follower._evidence._held_since_s -= outage.MIN_OUTAGE_S
        role.reads_store = True
        role.announcement_received.set()
        await gateway_fakes.until(lambda: self.recorder.events)
        running.cancel()
        self.assertEqual(self.recorder.events[0], ("returned", outage.RELIST_GRACE_S))

    async def test_instance_that_is_no_reader_fetches_from_the_announcing_instance(self):
        client = mock.AsyncMock()
        client.fetch.return_value = relay.RelayedTable([relay.RelayedRow("a", b"", 9)], 9, True)
        store = FakeStore()
        table_follower = self.make_follower(
            store, FakeRole(reads_store=False, source="peer"), client
        )
        await self.run_until(table_follower, lambda: table_follower.version == 9)
        self.assertEqual(store.calls, [])
        self.assertEqual(self.recorder.events, [("rows", 9)])
        self.assertEqual(table_follower.version, 9)

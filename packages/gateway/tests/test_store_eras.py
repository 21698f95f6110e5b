"""Tests of a store that is replaced by an older copy of itself: a new era begins."""

import asyncio
import contextlib
import dataclasses
import random
import unittest
from unittest import mock

import gateway_fakes
import test_fleet
import test_follower
import test_state

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import (
    fleet,
    follower,
    outage,
    peer_messages,
    registration,
    relay,
    relay_role,
    servers,
    state,
    table_cache,
)
from sassafrasway_platform import feed, table

# Versions of the fake stores: the era in thousands.
ERA = 1000


def change(key, value, version):
    """Returns the change of a row."""
    return feed.Change(key=key, value=value, version=version)


def rows(version, **values):
    """Returns a table with the given rows."""
    listed = [change(key, value, version) for key, value in values.items()]
    return feed.Changes(rows=listed, version=version)


def make_view():
    """Returns the view of an instance that knows no other."""
    clock = clock_lib.ManualClock()
    own = test_fleet.make_member("me")
    return fleet.FleetView(clock=clock, own=own, rng=random.Random(1))


class EraStore(test_follower.FakeStore):
    """Fake store whose versions contain the era."""

    def era(self, version):
        return version // ERA


def lost():
    """Returns the error with which a poll finds a new era."""
    return feed.HistoryLost("store replaced", step="test")


@mock.patch.object(follower, "BATCH_INTERVAL_S", 0.0)
@mock.patch.object(follower, "INITIAL_BACKOFF_S", 0.001)
class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against followers that keep, or go back to, what a lost era held."""

    def make_follower(self, store, role=None, client=None):
        self.recorder = test_follower.Recorder()
        self.eras = []
        return follower.TableFollower(
            store=store,
            table_name="op",
            listener=self.recorder,
            cache=table_cache.TableCache(),
            role=role or test_follower.FakeRole(),
            relay_client=client,
            rng=random.Random(1),
            on_era=self.eras.append,
        )

    async def run_until(self, table_follower, done):
        running = asyncio.create_task(table_follower.run())
        async with asyncio.timeout(5):
            while not done():
                await asyncio.sleep(0.001)
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running

    async def test_table_is_read_again_after_the_listener_knows_of_the_era(self):
        """Guards against rows that are removed before the grace period begins."""
        store = EraStore(rows(7, a=b""), lost(), rows(ERA + 5))
        table_follower = self.make_follower(store)
        await self.run_until(table_follower, lambda: table_follower.version == ERA + 5)
        era = ("era", outage.RELIST_GRACE_S)
        self.assertEqual(self.recorder.events, [("rows", 7), era, ("rows", ERA + 5)])
        self.assertEqual(self.eras, [0, 1])

    async def test_rows_of_an_era_that_has_ended_are_not_used(self):
        """Guards against an old replica that takes a table back to the era before."""
        store = EraStore(rows(ERA + 5), lost(), rows(9), rows(ERA + 6))
        table_follower = self.make_follower(store)
        await self.run_until(table_follower, lambda: table_follower.version == ERA + 6)
        self.assertEqual(self.recorder.events[:2], [("rows", ERA + 5), ("rows", ERA + 6)])

    async def test_changes_of_both_eras_are_applied_in_order_around_the_new_one(self):
        """Guards against a removal of the old era that the grace period of the new one undoes.

        The instance lagged behind the one that it fetches from, and was away during the change.
        """
        client = mock.AsyncMock()
        relayed = [("x", None, 8), ("y", b"", ERA + 5)]
        client.fetch.return_value = relay.RelayedTable(
            [relay.RelayedRow(*row) for row in relayed], ERA + 5, False
        )
        role = test_follower.FakeRole(reads_store=False, source="peer")
        table_follower = self.make_follower(EraStore(), role, client)
        table_follower._replace_all(rows(7, x=b""))
        role.choose_source = lambda name, version: "peer" if version < ERA else None
        await self.run_until(table_follower, lambda: table_follower.version == ERA + 5)
        era = ("era", outage.RELIST_GRACE_S)
        expected = [("rows", 7), ("change", "x"), era, ("change", "y")]
        self.assertEqual(self.recorder.events, expected)

    async def test_poll_held_open_in_the_old_era_is_ended_by_the_news(self):
        """Guards against a table that stays in the old era until its poll times out."""
        store = EraStore(rows(7))
        table_follower = self.make_follower(store)
        await self.run_until(table_follower, lambda: len(store.calls) == 2)
        running = asyncio.create_task(table_follower.run())
        async with asyncio.timeout(5):
            while table_follower._poll is None:
                await asyncio.sleep(0.001)
            table_follower.on_era_told(0)
            await asyncio.sleep(0.01)
            self.assertEqual(len(store.calls), 3)
            store.results += [lost(), rows(ERA + 5)]
            table_follower.on_era_told(1)
            while table_follower.version != ERA + 5:
                await asyncio.sleep(0.001)
        running.cancel()

    async def test_store_without_eras_is_never_in_a_new_one(self):
        """Guards against a grace period in deployments whose store has no eras."""
        store = test_follower.FakeStore(rows(7), lost(), rows(3))
        table_follower = self.make_follower(store)
        await self.run_until(table_follower, lambda: table_follower.version == 3)
        self.assertEqual(self.recorder.events, [("rows", 7), ("rows", 3)])


class TableCacheTest(unittest.TestCase):
    """Guards against instances that are given only part of what a new era changed."""

    def test_what_others_received_in_the_lost_time_is_not_bridged_by_changes(self):
        """Guards against a lost row that one instance had received and another had not.

        The source never saw the row written at 8, so its changes cannot remove it from an instance
        that did, whether the source read the new era itself or fetched it.
        """
        for replaces in (True, False):
            with self.subTest(replaces=replaces):
                cache = table_cache.TableCache()
                cache.replace(rows(7, a=b"1", b=b"2"))
                if replaces:
                    cache.replace(rows(ERA + 5, a=b"0"), new_era=True)
                else:
                    removed = [change("a", b"0", ERA + 5), change("b", None, ERA + 5)]
                    cache.apply(feed.Changes(rows=removed, version=ERA + 5), new_era=True)
                values = {row.key: row.value for row in cache.since(7).rows}
                self.assertEqual(values, {"a": b"0", "b": None})
                self.assertIsNone(cache.since(8))
                self.assertIsNone(cache.since(ERA + 4))
                self.assertEqual(list(cache.since(ERA + 5).rows), [])
                cache.replace(rows(2 * ERA + 1, a=b"0"), new_era=True)
                self.assertIsNone(cache.since(7))
                self.assertIsNotNone(cache.since(ERA + 5))


class SourceTest(unittest.TestCase):
    """Guards against rows fetched from an instance that still serves the old era."""

    def test_instance_of_the_new_era_is_the_source_although_its_own_version_is_lower(self):
        """Guards against announcements and hints that are compared without their eras."""
        role = relay_role.RelayRole(view=make_view(), rng=random.Random(1))
        role.on_beacon("i1", "host1", "north", {"op": 900})
        role.on_beacon("i2", "host2", "north", {"op": ERA + 5})
        self.assertEqual(role.choose_source("op", 899), "host2")
        self.assertIsNone(role.choose_source("op", ERA + 5))


class PolicyTest(unittest.TestCase):
    """Guards against a policy or an evacuation that an older copy of the store takes back."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.registry = gateway_fakes.make_registry([], clock=self.clock)
        self.applied = []
        self.state = state.PolicyState(
            clock=self.clock,
            decoder=test_state.Decoder(),
            registry=self.registry,
            on_policy=lambda policy: self.applied.append(policy.version),
        )
        both = {"policy": b"5", "evacuate/a-1": b"", "evacuate/b-1": b""}
        self.state.on_rows(rows(7, **both))

    def test_older_policy_of_the_copy_is_not_used(self):
        """Guards against an instance whose policy goes back in one run."""
        self.state.on_new_era(outage.RELIST_GRACE_S)
        self.state.on_rows(rows(ERA + 5, policy=b"4"))
        self.state.on_rows(rows(ERA + 6, policy=b"6"))
        self.assertEqual(self.applied, [5, 6])

    def test_missing_evacuation_stays_for_the_grace_period(self):
        """Guards against requests to an evacuated domain until the operator writes again."""
        self.state.on_new_era(outage.RELIST_GRACE_S)
        self.state.on_rows(rows(ERA + 5, policy=b"5"))
        self.state.sweep()
        self.assertEqual(self.registry.evacuated, {"a-1", "b-1"})
        self.state.on_change(change("evacuate/a-1", b"", ERA + 6))
        self.clock.advance(outage.RELIST_GRACE_S)
        self.state.sweep()
        self.assertEqual(self.registry.evacuated, {"a-1"})
        self.state.on_change(change("evacuate/a-1", None, ERA + 7))
        self.assertEqual(self.registry.evacuated, set())

    def test_evacuation_ends_at_once_without_a_new_era(self):
        """Guards against a delay in deployments whose store has no eras."""
        self.state.on_rows(rows(8, policy=b"5"))
        self.assertEqual(self.registry.evacuated, set())


class ListingDecoder(test_state.Decoder):
    """Decoder of server rows ``start sequence state``."""

    def backend_server(self, key, value):
        started, sequence, text = value.decode().split()
        return gateway_fakes.make_server(
            key, started_ms=int(started), sequence=int(sequence), draining=text == "draining"
        )


class ServerTest(unittest.TestCase):
    """Guards against old listings that reinstate servers."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.registry = servers.ServerRegistry(clock=self.clock, region_of=gateway_fakes.REGION_OF)
        self.listener = state.ServerTableListener(
            clock=self.clock, decoder=ListingDecoder(), registry=self.registry
        )

    def list(self, key, text):
        self.listener.on_change(change(key, None if text is None else text.encode(), 1))

    def begin_era(self, **listed):
        self.listener.on_new_era(outage.RELIST_GRACE_S)
        values = {key: text.encode() for key, text in listed.items()}
        self.listener.on_rows(rows(ERA + 5, **values))

    def end_grace(self):
        self.clock.advance(outage.RELIST_GRACE_S)
        self.listener.sweep()

    def usable(self, key):
        known = self.registry.get(key)
        return known is not None and self.registry.usable(known)

    def test_servers_that_the_copy_lacks_stay_for_the_grace_period(self):
        """Guards against a fleet without servers, and against servers that stay for good."""
        self.list("s", "1 4 ready")
        self.list("t", "1 4 ready")
        self.begin_era()
        self.assertTrue(self.usable("s") and self.usable("t"))
        self.list("s", "1 5 ready")
        self.end_grace()
        self.assertTrue(self.usable("s"))
        self.assertFalse(self.usable("t"))
        self.list("t", "1 4 ready")
        self.assertTrue(self.usable("t"), "written again late")

    def test_older_listing_does_not_reinstate_a_draining_server(self):
        """Guards against requests to a server that drains; a newer listing counts again."""
        self.list("s", "1 4 ready")
        self.list("s", "1 5 draining")
        self.begin_era(s="1 4 ready")
        self.end_grace()
        self.assertFalse(self.usable("s"))
        self.list("s", "1 6 ready")
        self.assertTrue(self.usable("s"))

    def test_older_listing_does_not_reinstate_a_removed_server(self):
        """Guards against requests to a server that is gone; one that is live rises and counts."""
        for last, copy in (("1 5 ready", "1 4 ready"), ("1 5 ready", "1 5 ready")):
            with self.subTest(copy=copy):
                self.setUp()
                self.list("s", last)
                self.list("s", None)
                self.begin_era(s=copy)
                self.assertIsNone(self.registry.get("s"))
                self.list("s", "1 6 ready")
                self.assertTrue(self.usable("s"))

    def test_older_listing_does_not_take_back_that_a_server_leaves(self):
        """Guards against a listing of the same or an earlier start; a new start counts."""
        self.list("s", "1 9 ready")
        self.list("s", "2 5 ready")
        self.registry.on_leaving(self.registry.get("s"))
        self.begin_era(s="2 4 ready")
        self.list("s", "1 9 ready")
        self.list("s", "2 6 ready")
        self.assertFalse(self.usable("s"))
        self.list("s", "3 1 ready")
        self.assertTrue(self.usable("s"))

    def test_earlier_start_that_is_not_known_is_not_taken_for_a_new_one(self):
        """Guards against a copy that hides a live start, whose later listings then count as old.

        Soak seed 1561748: an instance that had started after the server knew only its second start.
        It took the first one from the copy, and ignored all later listings of the second one.
        """
        self.list("s", "2 5 draining")
        self.begin_era(s="1 9 ready")
        self.assertFalse(self.usable("s"))
        self.list("s", "2 6 ready")
        self.assertEqual(self.registry.get("s").server.sequence, 6)
        self.end_grace()
        self.list("s", "1 1 ready")
        self.assertEqual(self.registry.get("s").server.started_ms, 1, "clock set back")
        self.list("s", "2 6 ready")
        self.assertEqual(self.registry.get("s").server.started_ms, 1, "ended start")
        self.list("s", "2 7 ready")
        self.assertEqual(self.registry.get("s").server.started_ms, 2, "start that goes on")

    def test_listing_of_a_live_server_keeps_what_is_known(self):
        """Guards against a lower sequence number that resets load, or hides later listings."""
        self.list("s", "1 9 ready")
        known = self.registry.get("s")
        self.begin_era(s="1 4 ready")
        self.assertIs(self.registry.get("s"), known)
        self.assertEqual(known.server.sequence, 9)
        self.end_grace()
        self.assertTrue(self.usable("s"))

    def test_lower_sequence_number_counts_without_a_new_era(self):
        """Guards against a change in deployments whose store has no eras."""
        self.list("s", "1 5 draining")
        self.list("s", "1 4 ready")
        self.assertTrue(self.usable("s"))


class MemberStore(feed.FollowedStore):
    """Store with a table of members; versions contain the era. Records its writes."""

    def __init__(self, *results):
        self.current_era = 0
        self.results = list(results)
        self.writes = []
        self.rows = {}

    def era(self, version):
        return version // ERA

    async def read(self, table_name):
        return rows(self.current_era * ERA + 1, **self.rows)

    async def changes(self, table_name, *, after, wait_s, timeout_s):
        raise AssertionError("not used")

    async def write(self, table_name, key, value):
        if self.results:
            raise self.results.pop(0)
        self.writes.append((self.current_era, value))
        self.rows[key] = value


@mock.patch.object(registration, "BACKOFF_S", 0.0)
@mock.patch.object(registration, "RENEWAL_WINDOW_S", 0.0)
class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against instances that are missing in the table of members after a new era."""

    async def start(self, store):
        self.registration = registration.Registration(
            store=store,
            table_name="members",
            view=make_view(),
            rng=random.Random(1),
        )
        await self.registration.register()
        running = asyncio.create_task(self.registration.renew())
        self.addCleanup(running.cancel)

    async def settle(self):
        for _ in range(20):
            await asyncio.sleep(0)

    async def test_row_is_written_once_in_each_new_era(self):
        """Guards against no write, and against one for each table and each failure."""
        store = MemberStore()
        await self.start(store)
        self.registration.on_era(0)
        await self.settle()
        self.assertEqual(len(store.writes), 1)
        store.current_era = 1
        store.results = [table.StoreUnavailable("down", step="test")]
        for _ in range(3):
            self.registration.on_era(1)
            await self.settle()
        self.assertEqual([era for era, _ in store.writes], [0, 1])
        self.assertEqual(store.writes[0][1], store.writes[1][1])

    async def test_row_written_just_before_a_new_era_is_written_again(self):
        """Guards against an instance that learns of the store only in the new era."""
        store = MemberStore()
        store.current_era = 1
        # The copy that is read lacks the row.
        store.read = mock.AsyncMock(return_value=rows(ERA + 1))
        await self.start(store)
        self.registration.on_era(1)
        await self.settle()
        self.assertEqual(len(store.writes), 2)

    @mock.patch.object(registration, "RELIST_DELAY_S", 0.0)
    async def test_instance_started_after_a_new_era_finds_the_members_that_were_missing(self):
        """Guards against two instances that never learn of each other."""
        store = MemberStore()
        await self.start(store)
        self.assertFalse(await self.registration.complete_list())
        store.current_era = 1
        await self.registration.register()
        other = dataclasses.replace(test_fleet.make_member("late"), peer_host="127.0.0.1")
        hello = peer_messages.hello(other, reply=True, versions={})
        store.rows["late"] = peer_messages.encode(hello)
        self.assertTrue(await self.registration.complete_list())
        names = [member.name for member in self.registration._view.members()]
        self.assertEqual(names, ["late"])

    async def test_instance_that_stops_does_not_write_its_row_again(self):
        """Guards against a row of an instance that has left."""
        store = MemberStore()
        await self.start(store)
        await self.registration.deregister()
        self.registration.on_era(1)
        await self.settle()
        self.assertIsNone(store.writes[-1][1])

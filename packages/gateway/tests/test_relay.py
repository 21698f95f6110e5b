"""Tests of the selection of the instances that read the store, and of the relayed rows.

Comments cite runs of the users' benchmark by site, simulated day and seed, with the rules that they
broke: CONFIG (a new policy is in force in time), DRAIN (no request to a server that has left),
DENIED (a valid request gets no client error) and HOME (a request stays in its home regions).
"""

import asyncio
import random
import unittest
from unittest import mock

import gateway_fakes
import test_fleet

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import (
    fleet,
    follower,
    http_client,
    http_server,
    messages,
    relay,
    table_cache,
)
from sassafrasway_platform import feed, table


def make_roles(count):
    """Returns the roles of the instances of a region that all see each other as live."""
    names = [f"i{index}" for index in range(count)]
    roles = []
    for name in names:
        view = fleet.FleetView(
            clock=clock_lib.ManualClock(),
            own=test_fleet.make_member(name),
            rng=random.Random(1),
        )
        for other in names:
            view.on_message(test_fleet.make_member(other))
        roles.append(relay.RelayRole(view=view, rng=random.Random(1)))
    return roles


class RelayRoleTest(unittest.TestCase):
    """Guards against a region in which every instance reads the store, or none does."""

    def test_only_a_few_instances_of_a_region_read_the_store(self):
        for count in (1, 2, 16, 124):
            with self.subTest(count=count):
                reading = sum(role.is_reader("op") for role in make_roles(count))
                self.assertEqual(reading, min(count, relay.READERS_PER_REGION))

    def test_next_instances_take_over_one_by_one_when_announcements_stop(self):
        roles = make_roles(40)
        with mock.patch.object(relay.clock_lib, "elapsed_s") as now:
            now.return_value = 100.0
            for role in roles:
                role.on_beacon("i0", "i0", "north", {"op": 1})
            counts = []
            for silent_s in (0.5, 0.9, 1.2, 30.0):
                now.return_value = 100.0 + silent_s
                counts.append(sum(role.is_reader("op") for role in roles))
        self.assertEqual(counts[0], relay.READERS_PER_REGION)
        self.assertEqual(counts[1], relay.READERS_PER_REGION + 1)
        self.assertEqual(counts[2], relay.READERS_PER_REGION + 2)
        self.assertEqual(counts[3], relay.READERS_PER_REGION + relay.MAX_TAKEOVERS)

    def test_another_instance_takes_over_a_table_that_its_readers_lost(self):
        # Benchmark run of a site with one region, trouble-1 --seed 427345455261, broke CONFIG: both
        # readers were cut off from the store. Their polls of one table had timed out, but they kept
        # announcing both tables until the polls of the other table timed out too, so no instance
        # took over.
        roles = make_roles(6)
        with mock.patch.object(relay.clock_lib, "elapsed_s") as now:
            now.return_value = 100.0
            for role in roles:
                for name in ("i0", "i1"):
                    role.on_beacon(name, name, "north", {"op": 1, "servers": 1})
            now.return_value = 100.1
            for role in roles:
                role.on_beacon("i0", "i0", "north", {"servers": 1})
            self.assertTrue(all(role.has_recent_announcement("op") for role in roles))
            for role in roles:
                role.on_beacon("i1", "i1", "north", {"servers": 1})
            self.assertTrue(all(role.has_recent_announcement("servers") for role in roles))
            now.return_value = 100.2
            # Benchmark run trakia-arhiv hunt-edd6-15 broke DRAIN: the outage was counted from the
            # moment of the loss, so a change of readers lasted long enough for removed servers to
            # be kept.
            self.assertTrue(all(role.has_recent_announcement("op") for role in roles))
            reading = {
                name: sum(role.is_reader(name) for role in roles) for name in ("op", "servers")
            }
            now.return_value = 100.0 + relay.BEACON_LIFETIME_S
            self.assertFalse(any(role.has_recent_announcement("op") for role in roles))
        expected = {"op": relay.READERS_PER_REGION + 1, "servers": relay.READERS_PER_REGION}
        self.assertEqual(reading, expected)

    def test_polls_are_short_in_a_fleet_with_a_single_region(self):
        # Benchmark run of a site with one region, trouble-1 --seed 427345455261, broke CONFIG: the
        # readers noticed after 1.7 s that they were cut off from the store, and could have taken up
        # to 5.5 s, but a policy must be in force 2.5 s after its acknowledgement.
        role = make_roles(3)[0]
        single_region_times = role.poll_times()
        longest_s = (
            single_region_times.wait_s
            + single_region_times.margin_s
            + relay.TAKEOVER_INTERVAL_S
            + follower.BATCH_INTERVAL_S
        )
        self.assertLess(longest_s, 2.5)
        role._view.on_message(test_fleet.make_member("far", region="south"))
        self.assertGreater(role.poll_times().wait_s, single_region_times.wait_s)

    def test_source_is_the_instance_with_the_newest_version(self):
        role = make_roles(3)[0]
        role.on_beacon("i1", "host1", "north", {"op": 5})
        role.on_beacon("i2", "host2", "north", {"op": 7})
        self.assertEqual(role.choose_source("op", 4), "host2")
        self.assertIsNone(role.choose_source("op", 7))

    def test_sources_with_the_same_version_share_the_fetches(self):
        # Benchmark run trakia-arhiv-grown scale-1 --seed 130896731222: all instances of a region
        # fetched from the same small instance.
        role = make_roles(3)[0]
        role.on_beacon("i1", "host1", "north", {"op": 7})
        role.on_beacon("i2", "host2", "north", {"op": 7})
        self.assertEqual({role.choose_source("op", 4) for _ in range(50)}, {"host1", "host2"})

    def test_hint_of_another_region_is_used_when_the_readers_of_this_region_lag(self):
        # Incident inc-37d1 broke CONFIG: the connections of both readers of a region to the store
        # had stalled. They kept announcing an old version, and the region served an outdated
        # policy.
        role = make_roles(3)[0]
        with mock.patch.object(relay.clock_lib, "elapsed_s") as now:
            now.return_value = 100.0
            role.on_beacon("i1", "host1", "north", {"op": 5})
            role.on_beacon("far", "host2", "south", {"op": 7})
            self.assertIsNone(role.choose_source("op", 5))
            now.return_value = 100.0 + relay.HINT_DELAY_S
            role.on_beacon("i1", "host1", "north", {"op": 5})
            self.assertEqual(role.choose_source("op", 5), "host2")

    def test_instance_with_a_newer_version_than_announced_is_ahead_of_the_readers(self):
        role = make_roles(3)[0]
        role.on_beacon("i1", "host1", "north", {"op": 5})
        self.assertTrue(role.is_ahead_of_readers({"op": 7}))
        self.assertFalse(role.is_ahead_of_readers({"op": 5}))

    def test_new_versions_are_announced_to_a_few_instances_of_each_other_region(self):
        role = make_roles(3)[0]
        for index in range(10):
            role._view.on_message(test_fleet.make_member(f"s{index}", region="south"))
        self.assertEqual(len(role.recipients(changed=True)), 2 + relay.RECIPIENTS_PER_REMOTE_REGION)
        self.assertEqual(len(role.recipients(changed=False)), 2)


class RelayTransferTest(unittest.IsolatedAsyncioTestCase):
    """Guards against rows that are altered or lost when relayed between instances."""

    async def asyncSetUp(self):
        self.cache = table_cache.TableCache()
        handler = relay.RelayHandler(caches={"op": self.cache})
        self.server = http_server.HttpServer(host="127.0.0.1", port=0, handler=handler)
        await self.server.start()
        self.client = relay.RelayClient(port=self.server.port)

    async def asyncTearDown(self):
        self.server.stop_listening()

    async def test_first_fetch_returns_all_rows_and_the_next_one_only_changes(self):
        self.cache.replace(
            feed.Changes(rows=[feed.Change(key="a", value=b"\x00x", version=1)], version=3)
        )
        relayed = await self.client.fetch("127.0.0.1", "op", after=-1)
        self.assertTrue(relayed.full)
        self.assertEqual(relay.to_changes(relayed).rows[0].value, b"\x00x")
        self.cache.apply(
            feed.Changes(rows=[feed.Change(key="a", value=None, version=4)], version=4)
        )
        relayed = await self.client.fetch("127.0.0.1", "op", after=3)
        self.assertFalse(relayed.full)
        self.assertIsNone(relay.to_changes(relayed).rows[0].value)

    async def test_response_with_the_same_rows_is_encoded_once(self):
        self.cache.replace(
            feed.Changes(rows=[feed.Change(key="a", value=b"1", version=1)], version=3)
        )
        with mock.patch.object(
            relay.msgspec.msgpack, "encode", wraps=relay.msgspec.msgpack.encode
        ) as encode:
            for _ in range(3):
                await self.client.fetch("127.0.0.1", "op", after=-1)
        self.assertEqual(encode.call_count, 1)

    async def test_large_policy_is_compressed(self):
        # Benchmark run sila-quotes-grown mix --seed 120251547929 broke DENIED, CONFIG and HOME:
        # sending a large policy to 40 instances saturated the link of the one that served it, and
        # aborted transfers added to that load.
        policy = b'{"Name": "route", "Host": "h.example", "Service": "desk"}' * 1000
        self.cache.replace(
            feed.Changes(rows=[feed.Change(key="a", value=policy, version=1)], version=3)
        )
        connection = await http_client.connect("127.0.0.1", self.server.port)
        request = messages.Request(method=b"GET", target=b"/tables/op?after=-1", headers=[])
        request.headers.append((b"Host", b"h"))
        response = await connection.exchange(request)
        self.assertLess(len(response.body), len(policy) / 10)
        relayed = await self.client.fetch("127.0.0.1", "op", after=-1)
        self.assertEqual(relayed.rows[0].value, policy)

    async def test_timeout_doubles_after_each_fetch_that_timed_out(self):
        silent = await gateway_fakes.ScriptedServer(["silent"]).start()
        self.addAsyncCleanup(silent.stop)
        client = relay.RelayClient(port=silent.port)
        timeouts_s = []
        with mock.patch.object(relay.asyncio, "timeout", self._record_timeout(timeouts_s)):
            for _ in range(4):
                with self.assertRaises(table.StoreUnavailable):
                    await client.fetch("127.0.0.1", "op", after=-1)
        max_timeout_s = relay.MAX_FETCH_TIMEOUT_S
        initial_timeout_s = relay.INITIAL_FETCH_TIMEOUT_S
        self.assertEqual(
            timeouts_s, [initial_timeout_s, 2 * initial_timeout_s, max_timeout_s, max_timeout_s]
        )

    def _record_timeout(self, timeouts_s):
        timeout = asyncio.timeout

        def record(delay_s):
            # Opening a connection has a separate timeout.
            if delay_s != http_client.CONNECT_TIMEOUT_S:
                timeouts_s.append(delay_s)
            return timeout(0.05)

        return record

    async def test_instance_that_has_not_read_the_table_is_unavailable(self):
        with self.assertRaises(table.StoreUnavailable):
            await self.client.fetch("127.0.0.1", "op", after=-1)

    async def test_unknown_table_is_unavailable(self):
        with self.assertRaises(table.StoreUnavailable):
            await self.client.fetch("127.0.0.1", "none", after=-1)

"""Tests of the relayed rows.

Comments cite runs of the users' benchmark by site, simulated day and seed, with the rules that they
broke: CONFIG (a new policy is in force in time), DENIED (a valid request gets no client error) and
HOME (a request stays in its home regions).
"""

import asyncio
import unittest
from unittest import mock

import gateway_fakes

from sassafrasway_gateway import http_client, http_server, messages, relay, table_cache
from sassafrasway_platform import feed, table


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

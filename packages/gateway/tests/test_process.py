"""Tests of the whole gateway process on loopback: start, requests, reload and shutdown."""

import asyncio
import dataclasses
import json
import signal
import socket
import unittest
from unittest import mock

import gateway_fakes
import test_state

from sassafrasway_core import errors
from sassafrasway_gateway import (
    dialect,
    http_client,
    lookup,
    messages,
    metrics,
    process,
    settings,
)
from sassafrasway_platform import feed

HOST = "127.0.0.1"


class MemoryStore(feed.FollowedStore):
    """In-memory store whose tables never change."""

    def __init__(self, tables):
        self.tables = tables
        self.written = []

    async def read(self, table_name):
        rows = [
            feed.Change(key=key, value=value, version=1)
            for key, value in self.tables.get(table_name, {}).items()
        ]
        return feed.Changes(rows=rows, version=1)

    async def changes(self, table_name, *, after, wait_s, timeout_s):
        await asyncio.sleep(wait_s)
        return feed.Changes(rows=[], version=after)

    async def write(self, table_name, key, value):
        self.written.append((table_name, key, value is not None))


class Decoder(test_state.Decoder):
    """Row decoder for tests; the value of a server row is its port."""

    def backend_server(self, key, value):
        return gateway_fakes.make_server(key, port=int(value))


def free_port():
    """Returns a port that is currently free."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def make_settings(**changes):
    """Returns settings with free ports."""
    fields = {
        name: settings.Address(host=HOST, port=free_port())
        for name in ("front", "readiness", "lookup", "peer", "relay", "metrics")
    }
    defaults = {
        "instance": "me",
        "region": "north",
        "failure_domain": "a-1",
        "region_of": gateway_fakes.REGION_OF,
        "bounds": settings.Bounds(stop_grace_s=3.0),
    }
    return settings.GatewaySettings(**{**fields, **defaults, **changes})


def make_gateway(config, store, decoder, load_settings):
    """Returns a gateway that follows the given store."""
    return process.GatewayProcess(
        config=config,
        dialect=dialect.Dialect(
            headers=gateway_fakes.NAMES,
            lookups=lookup.LookupFormat(),
            readiness_path="/ready",
            policy_table="policy",
            server_table="servers",
            member_table="members",
            decoder=decoder,
        ),
        store=store,
        gateway_metrics=metrics.GatewayMetrics(),
        load_settings=load_settings,
    )


class GatewayProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are lost on a graceful shutdown or a reload."""

    async def start(self, *script):
        self.backend = await gateway_fakes.ScriptedServer(script).start()
        self.addAsyncCleanup(self.backend.stop)
        self.store = MemoryStore(
            {"policy": {"policy": b"1"}, "servers": {"s": str(self.backend.port).encode()}}
        )
        self.config = make_settings()
        self.reloaded_config = self.config
        self.gateway = make_gateway(self.config, self.store, Decoder(), self.load_settings)
        self.run_task = asyncio.create_task(self.gateway.run())
        async with asyncio.timeout(5):
            while not self.gateway.ready:
                await asyncio.sleep(0.01)

    def load_settings(self):
        if self.reloaded_config is None:
            raise errors.ValidationError("broken", step="test")
        return self.reloaded_config

    async def send_request(self, address, target, method=b"GET"):
        connection = await http_client.connect(
            address.host, address.port, timeout_s=gateway_fakes.CONNECT_TIMEOUT_S
        )
        headers = [(b"Host", b"h.example"), (gateway_fakes.NAMES.request_id, b"1")]
        request = messages.Request(method=method, target=target, headers=headers)
        return await connection.exchange(request)

    async def stop(self):
        self.gateway.stop()
        async with asyncio.timeout(5):
            await self.run_task

    async def test_instance_serves_requests_and_is_listed_in_its_lookups(self):
        await self.start(gateway_fakes.answer(body=b"yes"))
        self.assertEqual((await self.send_request(self.config.front, b"/p/1")).body, b"yes")
        self.assertEqual((await self.send_request(self.config.readiness, b"/ready")).status, 200)
        lookup_response = await self.send_request(self.config.lookup, b"/v1/instances?region=north")
        self.assertEqual(json.loads(lookup_response.body)["addresses"], [str(self.config.front)])
        text = (await self.send_request(self.config.metrics, b"/metrics")).body
        self.assertIn(b'sassafrasway_requests_total{route="r",outcome="200"} 1', text)
        dump = json.loads((await self.send_request(self.config.metrics, b"/state")).body)
        self.assertEqual((dump["phase"], dump["policy_version"]), ("READY", 1))
        self.assertEqual(dump["shedding"], {})
        self.assertEqual(dump["response_memory"]["promised"], 0)
        self.assertEqual(dump["load_levels"], {})
        server = dump["servers"][0]
        self.assertEqual((server["load"], server["load_age_s"], server["slowdown"]), (0, -1, 1))
        await self.stop()

    async def test_graceful_shutdown_completes_running_requests(self):
        await self.start(gateway_fakes.answer(body=b"late"))
        gate = asyncio.Event()
        send_answer = self.backend._answer

        async def wait_and_answer(head, writer):
            await gate.wait()
            return await send_answer(head, writer)

        self.backend._answer = wait_and_answer
        pending_response = asyncio.create_task(
            self.send_request(self.config.front, b"/p/1", b"POST")
        )
        await gateway_fakes.until(lambda: self.backend.requests)
        with mock.patch.object(process, "STOP_LISTENING_AFTER_S", 0.1):
            self.gateway.stop()
            await asyncio.sleep(0.2)
            self.assertEqual(
                (await self.send_request(self.config.readiness, b"/ready")).status, 503
            )
            gate.set()
            self.assertEqual((await pending_response).body, b"late")
            async with asyncio.timeout(5):
                await self.run_task
        self.assertIn(("members", "me", False), self.store.written)

    async def test_reload_applies_new_bounds_and_ignores_invalid_settings(self):
        await self.start(gateway_fakes.answer())
        bounds = settings.Bounds(stop_grace_s=1.0)
        self.reloaded_config = dataclasses.replace(self.config, bounds=bounds)
        self.gateway._on_reload()
        self.assertEqual(self.gateway._config.bounds, bounds)
        self.reloaded_config = None
        self.gateway._on_reload()
        self.assertEqual(self.gateway._config.bounds, bounds)
        await self.stop()

    async def test_shutdown_blocks_sighup(self):
        # Seed 304 of platform/tests/soak_gateways.py: SIGHUP arrived after the event loop had
        # closed and killed the process, so that its exit code was -1.
        self.addCleanup(signal.pthread_sigmask, signal.SIG_UNBLOCK, {signal.SIGHUP})
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        await self.start(gateway_fakes.answer())
        self.assertNotIn(signal.SIGHUP, signal.pthread_sigmask(signal.SIG_BLOCK, []))
        await self.stop()
        self.assertIn(signal.SIGHUP, signal.pthread_sigmask(signal.SIG_BLOCK, []))

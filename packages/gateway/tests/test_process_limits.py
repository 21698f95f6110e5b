"""Tests of the rate limits with several gateway processes' components on loopback addresses."""

import asyncio
import contextlib
import dataclasses
import json
import unittest

import gateway_fakes
import test_process

from sassafrasway_gateway import (
    http_client,
    messages,
    model,
    settings,
)

ORGANISATION = model.Organisation(name="org", keys=frozenset({"k"}), rate_per_s=2.0)
BOUND = 2.0 * 5.0 * 1.1 + 20.0


class Decoder(test_process.Decoder):
    """Decoder of a policy with one limited organisation."""

    def policy(self, value):
        policy = super().policy(value)
        return dataclasses.replace(policy, organisations={ORGANISATION.name: ORGANISATION})


class SharedStore(test_process.MemoryStore):
    """Store whose rows of members can be read by all instances."""

    async def write(self, table_name, key, value):
        await super().write(table_name, key, value)
        rows = self.tables.setdefault(table_name, {})
        rows.pop(key, None)
        if value is not None:
            rows[key] = value


class ProcessLimitsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against limits that each instance applies by itself, or not at all."""

    async def start(self, hosts):
        self.backend = await gateway_fakes.ScriptedServer([gateway_fakes.answer()]).start()
        self.addAsyncCleanup(self.backend.stop)
        store = SharedStore(
            {"policy": {"policy": b"1"}, "servers": {"s": str(self.backend.port).encode()}}
        )
        names = ("front", "readiness", "lookup", "peer", "relay", "metrics")
        ports = {name: test_process.free_port() for name in names}
        self.gateways = []
        for host in hosts:
            addresses = {name: settings.Address(host=host, port=ports[name]) for name in names}
            config = test_process.make_settings(instance=host, **addresses)
            gateway = test_process.make_gateway(config, store, Decoder(), lambda: None)
            task = asyncio.create_task(gateway.run())
            self.addAsyncCleanup(self.end, task)
            self.gateways.append((gateway, config))
        async with asyncio.timeout(10):
            while not all(self.is_settled(gateway) for gateway, _ in self.gateways):
                await asyncio.sleep(0.02)

    def is_settled(self, gateway):
        """Whether the instance is ready and the fleet agrees on the owners of shards."""
        directory = gateway._rate_limiter._directory
        everyone = sorted(config.instance for _, config in self.gateways)
        return (
            gateway.ready
            and directory.version >= 0
            and directory.knows_fleet
            and sorted(directory.recent_names) == everyone
            and directory.live_fraction == 1.0
        )

    async def end(self, task):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def send(self, config, number, target=b"/p/1"):
        address = config.front if target == b"/p/1" else config.metrics
        connection = await http_client.connect(
            address.host, address.port, timeout_s=gateway_fakes.CONNECT_TIMEOUT_S
        )
        headers = [
            (b"Host", b"h.example"),
            (gateway_fakes.NAMES.request_id, b"%d" % number),
            (gateway_fakes.NAMES.key, b"k"),
        ]
        request = messages.Request(method=b"GET", target=target, headers=headers)
        response = await connection.exchange(request)
        connection.abort()
        return response

    async def test_explanation_comes_from_the_state_of_the_instance(self):
        """Guards against explanations that the process does not connect with its own state."""
        await self.start(["127.0.0.2"])
        _, config = self.gateways[0]
        target = b"/explain?host=h.example&target=/p/1&organisation=org"
        value = json.loads((await self.send(config, 1, target)).body)
        self.assertEqual((value["instance"], value["decision"]["server"]), ("127.0.0.2", "s"))
        while (await self.send(config, 2)).status == 200:
            pass
        value = json.loads((await self.send(config, 3, target)).body)
        self.assertEqual(value["decision"]["status"], 429)
        self.assertEqual((await self.send(config, 4, b"/explain?host=h.example")).status, 400)

    async def test_all_instances_together_obey_one_limit(self):
        """Guards against datagrams about limits that do not reach the right instance."""
        await self.start(["127.0.0.2", "127.0.0.3", "127.0.0.4"])
        responses = await asyncio.gather(
            *(
                self.send(config, 100 * index + number)
                for index, (_, config) in enumerate(self.gateways)
                for number in range(30)
            )
        )
        statuses = [response.status for response in responses]
        self.assertEqual(set(statuses), {200, 429})
        # A new limit starts with a part of its burst.
        self.assertTrue(4 <= statuses.count(200) <= BOUND)
        self.assertEqual(len(self.backend.requests), statuses.count(200))
        for response in responses:
            if response.status == 429:
                self.assertGreater(float(response.header(b"retry-after")), 0.0)
        dumps = [
            json.loads((await self.send(config, 1, b"/state")).body)["rate_limits"]
            for _, config in self.gateways
        ]
        self.assertEqual(sum(dump["owned_shards"] for dump in dumps), 1)
        text = (await self.send(self.gateways[0][1], 1, b"/metrics")).body
        self.assertIn(b'sassafrasway_quota_results_total{result="limited"}', text)

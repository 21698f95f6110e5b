"""Tests of the stand-in for backend servers."""

import asyncio
import hashlib
import io
import json
import socket
import unittest

import aiohttp

from sassafrasway_standins import backend, backend_process


def free_port():
    """Returns a free TCP port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class BackendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stream = io.StringIO()
        self.port = free_port()
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def start(self, **settings):
        entry = {
            "name": "b1",
            "service": "s",
            "address": f"127.0.0.1:{self.port}",
            "slots": 2,
            "mean_ms": 0.0,
            "connection_ms": 0.0,
            "restart_s": 0.01,
        }
        recorder = backend.Recorder(stream=self.stream)
        servers = backend_process.build_servers({"servers": [entry | settings]}, recorder=recorder)
        self.server = servers["b1"]
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def post(self, body=b"", path="/x", **headers):
        names = {"request_id": "Sassafras-Request-Id", "deadline": "Sassafras-Deadline-Ms"}
        headers = {names[name]: value for name, value in headers.items()}
        url = f"http://127.0.0.1:{self.port}{path}"
        async with self.session.post(url, data=body, headers=headers) as response:
            return response.status, dict(response.headers), await response.read()

    async def wait_for(self, **stats):
        while not stats.items() <= self.server.stats.items():
            await asyncio.sleep(0.001)

    def records(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    async def test_response_matches_request(self):
        """Guards against responses that a caller cannot match to its request by digest and ID."""
        await self.start()
        status, headers, body = await self.post(b"hello", path="/x?size=500", request_id="r")
        answer = json.loads(body)
        self.assertEqual((status, len(body), headers["Sassafras-Load"]), (200, 500, "0"))
        digest = hashlib.sha256(b"hello").hexdigest()
        self.assertEqual((answer["digest"], answer["request_id"]), (digest, "r"))
        (record,) = self.records()
        self.assertEqual((record["outcome"], record["digest"]), ("ok", digest))

    async def test_sheds_above_slots(self):
        """Guards against a server that queues requests, or runs more of them than it has slots."""
        await self.start(mean_ms=1e6, distribution="fixed")
        running = [asyncio.create_task(self.post()) for _ in range(2)]
        await self.wait_for(in_use=2)
        status, headers, _ = await self.post()
        self.assertEqual((status, headers["Sassafras-Shed"]), (503, "1"))
        for task in running:
            task.cancel()
        await self.wait_for(in_use=0)
        outcomes = sorted((record["outcome"], record["ran"]) for record in self.records())
        self.assertEqual(outcomes, [("cancelled", True), ("cancelled", True), ("shed", False)])

    async def test_deadline_frees_slot(self):
        """Guards against a request that occupies its slot after its deadline has passed."""
        await self.start(mean_ms=1e6, distribution="fixed")
        status, _, _ = await self.post(deadline="5")
        self.assertEqual((status, self.server.stats["in_use"]), (504, 0))
        self.assertEqual([record["outcome"] for record in self.records()], ["deadline"])

    async def test_crash_aborts_all_running_requests(self):
        """Guards against a crash that aborts only the request that caused it."""
        await self.start(mean_ms=1e6, distribution="fixed")
        other = asyncio.create_task(self.post())
        await self.wait_for(in_use=1)
        with self.assertRaises(aiohttp.ClientError):
            await self.post(b"now crash-server please")
        with self.assertRaises(aiohttp.ClientError):
            await other
        await self.wait_for(in_use=0)
        self.assertEqual([record["outcome"] for record in self.records()], ["crashed", "crashed"])
        while True:
            try:
                await self.post(deadline="1")
                break
            except aiohttp.ClientError:
                await asyncio.sleep(0.001)
        self.assertEqual(self.server.stats["crashes"], 1)

    async def test_silent_connections_run_nothing(self):
        """Guards against silent connections that run requests and new ones that are silent."""
        await self.start()
        await self.post()
        self.server.change({"silent": True})
        on_old = asyncio.create_task(self.post(b"old"))
        await asyncio.sleep(0)
        async with aiohttp.ClientSession() as fresh:
            url = f"http://127.0.0.1:{self.port}/x"
            async with fresh.post(url, data=b"new") as response:
                self.assertEqual(response.status, 200)
        self.assertFalse(on_old.done())
        on_old.cancel()
        digests = [record["digest"] for record in self.records()]
        self.assertNotIn(hashlib.sha256(b"old").hexdigest(), digests)

    async def test_connection_above_limit_is_aborted(self):
        """Guards against a server that accepts connections above its limit."""
        await self.start(connections=1)
        await self.post()
        async with aiohttp.ClientSession() as second:
            with self.assertRaises(aiohttp.ClientError):
                await second.post(f"http://127.0.0.1:{self.port}/x")
        self.assertGreaterEqual(self.server.stats["refused_connections"], 1)

    async def test_leaving_and_false_load_are_reported(self):
        """Guards against responses without the state and load set through the control endpoint."""
        await self.start()
        self.server.change({"leaving": True, "load_report": 7})
        _, headers, _ = await self.post()
        reported = (headers["Sassafras-State"], headers["Sassafras-Load"])
        self.assertEqual(reported, ("leaving", "7"))
        self.assertIsNotNone(self.records()[0]["leaving_since_s"])


if __name__ == "__main__":
    unittest.main()

"""Tests of the stand-in for table service, object store and instance list."""

import asyncio
import base64
import unittest

import aiohttp
from aiohttp import test_utils

from sassafrasway_standins import store


def _write(key, value, **condition):
    return {"key": key, "value_base64": base64.b64encode(value).decode(), **condition}


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        server = test_utils.TestServer(store.Store().application())
        self.client = test_utils.TestClient(server)
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def put(self, key, value, **headers):
        names = {"if_match": "If-Match", "if_none_match": "If-None-Match"}
        headers = {names[name]: value for name, value in headers.items()}
        response = await self.client.put(f"/table/{key}", data=value, headers=headers)
        return response.status, response.headers.get("ETag")

    async def get(self, key):
        response = await self.client.get(f"/table/{key}")
        return await response.read() if response.status == 200 else None

    async def control(self, **faults):
        response = await self.client.post("/control", json=faults)
        self.assertEqual(response.status, 200)

    async def test_write_fails_if_its_condition_does_not_hold(self):
        """Guards against conditional writes that let two concurrent writers both succeed."""
        status, first = await self.put("a/b", b"1", if_none_match="*")
        self.assertEqual(status, 204)
        self.assertEqual((await self.put("a/b", b"2", if_none_match="*"))[0], 412)
        status, second = await self.put("a/b", b"2", if_match=first)
        self.assertEqual(status, 204)
        self.assertEqual((await self.put("a/b", b"3", if_match=first))[0], 412)
        self.assertEqual((await self.put("absent", b"3", if_match=second))[0], 412)
        self.assertEqual(await self.get("a/b"), b"2")

    async def test_transaction_is_all_or_none(self):
        """Guards against a rejected transaction that still writes some of its rows."""
        _, version = await self.put("x", b"old")
        writes = [
            _write("y", b"new", if_version=None),
            _write("x", b"new", if_version="no such version"),
        ]
        refused = await self.client.post("/table-transactions", json={"writes": writes})
        self.assertEqual((refused.status, await self.get("y")), (412, None))
        writes[1]["if_version"] = version.strip('"')
        accepted = await self.client.post("/table-transactions", json={"writes": writes})
        rows = (await accepted.json())["rows"]
        self.assertEqual([row["key"] for row in rows], ["y", "x"])
        scan = await (await self.client.get("/table", params={"prefix": "x"})).json()
        self.assertEqual(scan["rows"], rows[1:])

    async def test_answer_lost_after_write(self):
        """Guards against a fault that drops the write together with its response."""
        await self.control(lose_answers=1)
        with self.assertRaises(aiohttp.ClientError):
            await self.put("k", b"v")
        self.assertEqual(await self.get("k"), b"v")
        self.assertEqual((await self.put("k", b"w"))[0], 204)

    async def test_outage_refuses_writes_of_given_sources_only(self):
        """Guards against an outage that lets writes through or affects other source addresses."""
        await self.control(down="refuse", down_sources=["127."])
        self.assertEqual((await self.put("k", b"v"))[0], 503)
        await self.control(down_sources=["127.2."])
        self.assertIsNone(await self.get("k"))

    async def test_hanging_request_has_no_effect(self):
        """Guards against a write that hangs in an outage and is applied when the outage ends."""
        await self.control(down="hang")
        pending = asyncio.create_task(self.put("k", b"v"))
        stats = {"held": 0}
        while not stats["held"]:
            stats = await (await self.client.get("/control/stats")).json()
        self.assertEqual((stats["writes"], pending.done()), (0, False))
        await self.control(down="")
        with self.assertRaises(aiohttp.ClientError):
            await pending
        self.assertIsNone(await self.get("k"))

    async def test_instance_list_lags(self):
        """Guards against an instance list that shows a change before its lag is over."""
        entry = {"name": "i", "address": "127.1.1.1:7000", "failure_domain": "d", "state": "live"}
        await self.client.put("/control/instances", json={"instances": [entry]})
        self.assertEqual(await (await self.client.get("/instances")).json(), [entry])
        await self.client.put("/control/instances", json={"instances": [], "lag_s": 3600})
        self.assertEqual(await (await self.client.get("/instances")).json(), [entry])


if __name__ == "__main__":
    unittest.main()

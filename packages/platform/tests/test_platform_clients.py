"""Tests of the platform clients: HTTP adapters and in-memory fakes."""

import base64
import json
import unittest

import aiohttp
from aiohttp import test_utils, web

from sassafrasway_core import errors
from sassafrasway_platform import http, instances, memory, objects, table


class _Server:
    """Server that returns prepared responses in order and records the requests.

    A response is a status, headers and a body; None closes the connection without a response.
    ``body`` is the body of the last request.
    """

    def __init__(self):
        self.requests = []
        self.responses = []

    async def handle(self, request):
        self.requests.append((request.method, request.path_qs, dict(request.headers)))
        self.body = await request.read()
        response = self.responses.pop(0)
        if response is None:
            request.transport.close()
            return web.Response()
        status, headers, body = response
        return web.Response(status=status, headers=headers, body=body)


class HttpTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the HTTP adapters against a local server."""

    async def asyncSetUp(self):
        self.fake = _Server()
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self.fake.handle)
        self.server = test_utils.TestServer(application, host="127.0.0.1")
        await self.server.start_server()
        self.session = aiohttp.ClientSession()
        client = http.HttpClient(
            base_url=f"http://127.0.0.1:{self.server.port}", session=self.session
        )
        self.table = http.HttpTableService(client=client)
        self.objects = http.HttpObjectStore(client=client)
        self.instances = http.HttpInstanceList(client=client)

    async def asyncTearDown(self):
        await self.session.close()
        await self.server.close()

    async def test_conditions_are_rfc_9110_headers(self):
        """Guards against unconditional writes that overwrite another writer's row."""
        self.fake.responses = [(201, {"ETag": '"7"'}, b""), (204, {"ETag": '"8"'}, b"")]
        row = await self.table.put("claims/crew desk/k", b"1", if_version=table.ABSENT)
        row = await self.table.put("claims/crew desk/k", b"2", if_version=row.version)
        (_, path, create), (_, _, update) = self.fake.requests
        self.assertEqual(path, "/table/claims/crew%20desk/k")
        self.assertEqual((create["If-None-Match"], update["If-Match"]), ("*", '"7"'))
        self.assertEqual(row, table.Row(key="claims/crew desk/k", value=b"2", version="8"))

    async def test_definite_and_ambiguous_failures_of_a_write(self):
        """Guards against taking a write of unknown effect for a refused one, or the reverse.

        A status from an overloaded or failing server, a success without a version and a closed
        connection leave the effect of a write unknown.
        """
        cases = [
            ((412, {}, b""), table.PreconditionFailed),
            ((400, {}, b"bad"), errors.ValidationError),
            ((500, {}, b""), table.StoreUnavailable),
            ((429, {}, b""), table.StoreUnavailable),
            ((200, {}, b""), table.StoreUnavailable),
            (None, table.StoreUnavailable),
        ]
        for response, expected in cases:
            with self.subTest(response=response):
                self.fake.responses = [response]
                with self.assertRaises(expected) as caught:
                    await self.table.put("a/b", b"", if_version="1")
                self.assertEqual(caught.exception.step, "table.put")
                self.assertEqual(caught.exception.peer, f"127.0.0.1:{self.server.port}")

    async def test_get_distinguishes_absent_and_unchanged(self):
        """Guards against taking an absent row for an outage, and transferring an unchanged row."""
        known = table.Row(key="a", value=b"v", version="3")
        self.fake.responses = [(404, {}, b""), (304, {"ETag": '"3"'}, b"")]
        self.assertIsNone(await self.table.get("a"))
        self.assertIs(await self.table.get("a", known=known), known)
        self.assertEqual(self.fake.requests[1][2]["If-None-Match"], '"3"')

    async def test_json_bodies_of_transaction_and_scan(self):
        """Guards against JSON bodies that differ from the documented format of the service."""
        rows = [{"key": "a", "value_base64": base64.b64encode(b"1").decode(), "version": "4"}]
        body = json.dumps({"rows": rows}).encode()
        self.fake.responses = [(200, {}, body), (200, {}, body), (200, {}, b"{}")]
        writes = [table.Write(key="a", value=b"1", if_version=table.ABSENT)]
        expected = [table.Row(key="a", value=b"1", version="4")]
        self.assertEqual(await self.table.transact(writes), expected)
        sent = {"writes": [{"key": "a", "value_base64": "MQ==", "if_version": None}]}
        self.assertEqual(json.loads(self.fake.body), sent)
        self.assertEqual(await self.table.scan("a/b"), expected)
        self.assertEqual(self.fake.requests[1][1], "/table?prefix=a%2Fb")
        with self.assertRaises(table.StoreUnavailable):
            await self.table.scan("a")

    async def test_absent_object_and_malformed_instance_list(self):
        """Guards against a malformed instance list that stops its poller.

        The poller handles the errors that sassafrasway defines, but no other exceptions.
        """
        listed = {"name": "e1", "address": "127.0.0.1:1", "failure_domain": "bkk-a"}
        self.fake.responses = [
            (404, {}, b""),
            (200, {}, json.dumps([{**listed, "state": "leaving"}]).encode()),
            (200, {}, json.dumps([{**listed, "state": "gone"}]).encode()),
        ]
        self.assertIsNone(await self.objects.get(objects.content_name(b"x")))
        leaving = instances.ListedInstance(**listed, state=instances.ListedState.LEAVING)
        self.assertEqual(await self.instances.fetch(), [leaving])
        with self.assertRaises(table.StoreUnavailable):
            await self.instances.fetch()

    async def test_keys_with_empty_or_dot_segments_or_control_characters_are_rejected(self):
        """Guards against a key that addresses another row once a server normalises the URL path."""
        for key in ("claims/s/../x", "a//b", "", "a/\n"):
            with self.subTest(key=key), self.assertRaises(errors.ValidationError):
                await self.table.get(key)


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the in-memory fakes, on which the tests of other packages rely."""

    async def test_transaction_is_all_or_none(self):
        """Guards against a fake that writes part of a transaction whose condition fails."""
        fake = memory.MemoryTable()
        await fake.put("b", b"0", if_version=table.ABSENT)
        writes = [table.Write(key=key, value=b"1", if_version=table.ABSENT) for key in "ab"]
        with self.assertRaises(table.PreconditionFailed):
            await fake.transact(writes)
        self.assertEqual([row.key for row in await fake.scan("")], ["b"])

    async def test_lost_answer_takes_effect_and_down_does_not(self):
        """Guards against fault injection that fails all writes without an effect, or none."""
        fake = memory.MemoryTable()
        fake.faults.lost_answers = 1
        with self.assertRaises(table.StoreUnavailable):
            await fake.put("a", b"1", if_version=table.ABSENT)
        fake.faults.down = True
        with self.assertRaises(table.StoreUnavailable):
            await fake.put("b", b"1", if_version=table.ABSENT)
        self.assertEqual([row.key for row in await fake.view().scan("")], ["a"])

    async def test_stale_instance_list_keeps_its_content(self):
        """Guards against a fake instance list that ignores ``faults.stale``."""
        old = instances.ListedInstance(name="e", address="127.0.0.1:1", failure_domain="d")
        fake = memory.MemoryInstances([old])
        fake.faults.stale = True
        fake.set_listed([])
        self.assertEqual(await fake.fetch(), [old])


if __name__ == "__main__":
    unittest.main()

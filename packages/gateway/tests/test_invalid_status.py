"""Tests of responses whose status is not three digits from 100 to 599."""

import asyncio
import itertools
import unittest

import gateway_fakes
import test_forwarder

from sassafrasway_gateway import http_client, messages

INVALID_STATUSES = (
    *(b"000", b"001", b"099", b"600", b"999"),
    *(b"abc", b"2x0", b"+200", b"-200", b"20", b"2000"),
)
NAMES = gateway_fakes.NAMES


def raw_answer(status):
    """Returns a script entry: a complete response of a backend server with any status text."""

    def build(head):
        lines = b"HTTP/1.1 " + status + b" X\r\nContent-Length: 2\r\n"
        lines += NAMES.request_id + b": " + gateway_fakes.header_of(head, NAMES.request_id)
        return lines + b"\r\n" + NAMES.signature + b": s\r\n\r\nok"

    return build


class InvalidStatusTest(test_forwarder.ForwarderFixture):
    """Guards against an invalid status that reaches a caller, or a connection used after it."""

    async def test_non_idempotent_request_may_have_run_and_the_connection_is_not_reused(self):
        """Guards against a 600 passed on as the answer of a server."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                await self.start([raw_answer(status), gateway_fakes.answer()], idempotent=False)
                # Slow steps on a busy machine are warnings; an exception in a callback is an error.
                with self.assertNoLogs("asyncio", level="ERROR"):
                    failed = await self.handle()
                self.assertEqual(failed.status, 502)
                self.assertNotIn(b"ytearray", failed.body)
                self.assertEqual((await self.handle()).status, 200)
                self.assertEqual(self.servers[0].connections, 2)
                self.assertEqual(self.received_count(), 2)

    async def test_idempotent_request_is_retried(self):
        """Guards against an invalid status that ends a request which may run again."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                await self.start([gateway_fakes.answer()], [gateway_fakes.answer()])
                self.servers_by_rank[0]._script = itertools.cycle([raw_answer(status)])
                self.assertEqual((await self.handle()).status, 200)
                self.assertEqual([len(server.requests) for server in self.servers], [1, 1])

    async def test_every_valid_status_still_arrives(self):
        """Guards against a check that rejects the limits of the valid range."""
        for status in (200, 204, 304, 404, 599):
            with self.subTest(status=status):
                await self.start([gateway_fakes.answer(status, b"")], idempotent=False)
                self.assertEqual((await self.handle()).status, status)


class FailureTextTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a parser's internal text in logs and responses."""

    async def reason(self, entry):
        server = await gateway_fakes.ScriptedServer([entry]).start()
        self.addAsyncCleanup(server.stop)
        connection = await http_client.connect("127.0.0.1", server.port)
        request = messages.Request(method=b"GET", target=b"/", headers=[(b"Host", b"h")])
        with self.assertRaises(http_client.ExchangeError) as caught:
            async with asyncio.timeout(2):
                await connection.exchange(request)
        self.assertTrue(connection.closed)
        return caught.exception.closed, caught.exception.message

    async def test_reasons_name_what_was_wrong_with_the_response(self):
        """Guards against "can't handle event type ConnectionClosed" for a closed connection."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for entry, expected in (
            (None, (True, "connection closed before a response")),
            (lambda _: b"HTTP/1.1 600 X\r\n\r\n", (False, "response with invalid status 600")),
            (lambda _: b"HTTP/1.1 6 X\r\n\r\n", (False, "malformed response head")),
            (lambda _: head + b"zz\r\n", (False, "malformed response body")),
        ):
            with self.subTest(expected=expected):
                self.assertEqual(await self.reason(entry), expected)

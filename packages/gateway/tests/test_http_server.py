"""Tests of server connections, mainly with clients that misbehave."""

import asyncio
import unittest

import gateway_fakes

from sassafrasway_gateway import http_server, messages, model, request_handler

LIMITS = model.Limits(header_bytes=2048, body_bytes=1000, header_timeout_s=0.2, idle_timeout_s=0.4)


class Echo(request_handler.Handler):
    """Returns the body of the request; waits while the gate is closed."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.gate.set()
        self.cancelled = 0
        self.requests = []

    @property
    def limits(self):
        return LIMITS

    async def handle(self, request):
        self.requests.append(request)
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return messages.Response(status=200, headers=[(b"X", b"y")], body=request.body or b"-")


class ServerConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost, mixed up and smuggled requests."""

    async def asyncSetUp(self):
        self.handler = Echo()
        self.server = http_server.HttpServer(host="127.0.0.1", port=0, handler=self.handler)
        await self.server.start()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.server.port)

    async def asyncTearDown(self):
        self.writer.close()
        self.server.stop_listening()

    async def send(self, data):
        self.writer.write(data)
        async with asyncio.timeout(2):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            return head, await self.reader.readexactly(length)

    async def test_connection_carries_many_requests(self):
        for _ in range(3):
            head, body = await self.send(
                b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
            )
            self.assertTrue(head.startswith(b"HTTP/1.1 200"))
            self.assertEqual(body, b"ab")

    async def test_pipelined_requests_are_answered_in_order(self):
        request = b"PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
        _, first = await self.send(request + request.replace(b"\r\n\r\n1", b"\r\n\r\n2"))
        _, second = await self.send(b"")
        self.assertEqual((first, second), (b"1", b"2"))

    async def test_chunked_body_is_reassembled(self):
        data = b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        _, body = await self.send(data + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        self.assertEqual(body, b"abc")

    async def test_conflicting_content_lengths_are_rejected(self):
        data = b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"
        head, _ = await self.send(data)
        self.assertTrue(head.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.handler.requests, [])

    async def test_header_beyond_the_limit_is_rejected(self):
        head, _ = await self.send(b"GET / HTTP/1.1\r\nX: " + b"a" * 4096)
        self.assertTrue(head.startswith(b"HTTP/1.1 431"))

    async def test_body_beyond_the_limit_is_rejected(self):
        head, _ = await self.send(b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 413"))

    async def test_chunked_body_beyond_the_limit_is_rejected(self):
        data = b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
        head, _ = await self.send(data + b"a" * 2000 + b"\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 413"))

    async def test_incomplete_header_times_out(self):
        head, _ = await self.send(b"GET / HTTP/1.1\r\nHost:")
        self.assertTrue(head.startswith(b"HTTP/1.1 408"))

    async def test_incomplete_chunked_body_times_out(self):
        data = b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"
        head, _ = await self.send(data)
        self.assertTrue(head.startswith(b"HTTP/1.1 408"))
        self.assertEqual(self.handler.requests, [])

    async def test_handler_is_cancelled_when_the_client_disconnects(self):
        self.handler.gate.clear()
        self.writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await gateway_fakes.until(lambda: self.handler.requests)
        self.writer.close()
        await gateway_fakes.until(lambda: self.handler.cancelled)
        self.assertEqual(self.handler.cancelled, 1)

    async def test_draining_server_completes_the_request_and_asks_to_close(self):
        self.handler.gate.clear()
        self.writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await gateway_fakes.until(lambda: self.handler.requests)
        self.server.drain()
        self.server.stop_listening()
        self.handler.gate.set()
        head, body = await self.send(b"")
        self.assertIn(b"connection: close", head.lower())
        self.assertEqual(body, b"-")

    async def test_idle_connection_is_closed_when_listening_stops(self):
        await self.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.server.stop_listening()
        async with asyncio.timeout(2):
            self.assertEqual(await self.reader.read(), b"")

    async def test_continue_is_sent_before_the_body(self):
        self.writer.write(
            b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n"
        )
        head = await self.reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 100"))
        _, body = await self.send(b"a")
        self.assertEqual(body, b"a")

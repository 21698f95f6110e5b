"""Tests of client connections against servers that misbehave."""

import asyncio
import socket
import struct
import unittest

import gateway_fakes

from sassafrasway_gateway import http_client, messages

REQUEST_ID_HEADER = gateway_fakes.NAMES.request_id


def make_request(request_id=b"1", body=b""):
    """Returns a request with an id."""
    return messages.Request(
        method=b"POST",
        target=b"/p/1",
        headers=[(b"Host", b"h"), (REQUEST_ID_HEADER, request_id)],
        body=body,
    )


def raw(data):
    """Returns a script entry that responds with the given bytes."""
    return lambda head: data


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against responses that belong to another request or are incomplete."""

    async def start(self, *script):
        self.server = await gateway_fakes.ScriptedServer(script).start()
        self.addAsyncCleanup(self.server.stop)
        self.pool = http_client.ConnectionPool()
        self.addCleanup(self.pool.close)

    async def exchange(self, request_id=b"1", body=b""):
        connection = await self.pool.acquire("127.0.0.1", self.server.port)
        echo = http_client.EchoedId(name=REQUEST_ID_HEADER, value=request_id)
        try:
            async with asyncio.timeout(2):
                return await connection.exchange(make_request(request_id, body), echo=echo)
        finally:
            self.pool.release("127.0.0.1", self.server.port, connection)

    async def assert_fails(self, *, closed):
        with self.assertRaises(http_client.ExchangeError) as caught:
            await self.exchange()
        self.assertEqual(caught.exception.closed, closed)

    async def test_connection_is_reused_after_a_complete_response(self):
        await self.start(gateway_fakes.answer())
        first = await self.exchange(b"1", b"body")
        second = await self.exchange(b"2")
        self.assertEqual((first.body, second.body), (b"ok", b"ok"))
        self.assertTrue(self.server.requests[0].endswith(b"\r\n\r\nbody"))

    async def test_late_response_to_an_earlier_request_is_skipped(self):
        late = gateway_fakes.answer(body=b"old", request_id=b"9")
        current = gateway_fakes.answer(body=b"new")
        await self.start(lambda head: late(head) + current(head))
        self.assertEqual((await self.exchange(b"1", b"body")).body, b"new")

    async def test_extra_bytes_make_the_connection_unusable(self):
        await self.start(gateway_fakes.answer(extra=b"HTTP/1.1 200 OK\r\n\r\n"))
        self.assertFalse((await self.exchange()).reusable)

    async def test_reset_within_a_body_without_length_fails_the_exchange(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
            await writer.drain()
            await asyncio.sleep(0.05)
            # With a linger time of zero, closing the socket sends RST instead of FIN.
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        connection = await http_client.connect("127.0.0.1", port)
        with self.assertRaises(http_client.ExchangeError):
            await connection.exchange(make_request())

    async def test_end_of_connection_completes_a_body_without_length(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        connection = await http_client.connect("127.0.0.1", port)
        response = await connection.exchange(make_request())
        self.assertEqual((response.body, response.reusable), (b"whole", False))

    async def test_truncated_body_fails_the_exchange(self):
        await self.start(raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"), None)
        task = asyncio.create_task(self.assert_fails(closed=True))
        await gateway_fakes.until(lambda: self.server.requests)
        for writer in self.server._writers:
            writer.close()
        await task

    async def test_invalid_response_fails_the_exchange(self):
        await self.start(raw(b"\x00\x01nonsense\r\n\r\n"))
        await self.assert_fails(closed=False)

    async def test_connection_closed_without_a_response_fails_the_exchange(self):
        await self.start(None)
        await self.assert_fails(closed=True)

    async def test_cancelled_exchange_closes_the_connection(self):
        await self.start("silent")
        connection = await self.pool.acquire("127.0.0.1", self.server.port)
        task = asyncio.create_task(connection.exchange(make_request()))
        await gateway_fakes.until(lambda: self.server.requests)
        task.cancel()
        await asyncio.wait({task})
        self.assertTrue(connection.closed)

    async def test_refused_connection_raises_connect_error(self):
        await self.start(None)
        port = self.server.port
        await self.server.stop()
        with self.assertRaises(http_client.ConnectError):
            await http_client.connect("127.0.0.1", port)

    async def test_keep_alive_time_of_the_server_is_respected(self):
        await self.start(gateway_fakes.answer(headers=b"Keep-Alive: timeout=1\r\n"))
        await self.exchange()
        await self.exchange(b"2")
        self.assertEqual(self.server.connections, 2)

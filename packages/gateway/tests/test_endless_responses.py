"""Tests of servers that send bytes without end, and of responses out of step with the requests."""

import asyncio
import contextlib
import gc
import resource
import unittest

import gateway_fakes
import hypothesis
import test_http_client
from hypothesis import strategies

from sassafrasway_gateway import http_client, memory_budget

CAPACITY_BYTES = 19_000_000
# Most memory that four endless responses at once may add, bytes.
MAX_ADDED_BYTES = 24 * 1024 * 1024
REQUEST_ID_HEADER = gateway_fakes.NAMES.request_id

# First bytes of a response, and the bytes that follow without end.
ENDLESS_RESPONSES = {
    "chunked body": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * 65536 + b"\r\n",
    ),
    "chunks of one byte": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 10_000,
    ),
    "body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
    "body of a stated size beyond all memory": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
        b"x" * 65536,
    ),
    "header line": (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 65536),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 10_000),
    "status line": (b"HTTP/1.1 200 ", b"x" * 65536),
    "no answer at all": (b"", b"\0" * 65536),
    "empty lines": (b"", b"\r\n" * 30_000),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" * 1000),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        b"x=y;" * 16_000,
    ),
    "trailer lines": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X: y\r\n" * 10_000,
    ),
}


def make_endless(first, rest):
    """Returns a server function that sends ``first`` and then ``rest`` until it is disconnected."""

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            while True:
                writer.write(rest)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return serve


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against servers that exhaust the memory of an instance: four added 178 MB in 3 s."""

    async def exchange(self, port, budget):
        connection = await http_client.connect("127.0.0.1", port, budget=budget)
        try:
            async with asyncio.timeout(20):
                return await connection.exchange(test_http_client.make_request())
        finally:
            connection.abort()

    async def start(self, serve):
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return server.sockets[0].getsockname()[1]

    async def test_four_endless_responses_of_each_kind_end_within_the_memory(self):
        for name, (first, rest) in ENDLESS_RESPONSES.items():
            with self.subTest(name):
                budget = memory_budget.MemoryBudget(capacity_bytes=CAPACITY_BYTES)
                port = await self.start(make_endless(first, rest))
                before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                results = await asyncio.gather(
                    *[self.exchange(port, budget) for _ in range(4)], return_exceptions=True
                )
                added = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) * 1024
                self.assertTrue(
                    all(isinstance(result, http_client.ExchangeError) for result in results),
                    results,
                )
                self.assertLess(added, MAX_ADDED_BYTES)
                self.assertEqual(budget.used, 0)

    async def test_large_response_passes_beside_an_endless_one(self):
        budget = memory_budget.MemoryBudget(capacity_bytes=CAPACITY_BYTES)
        body = b"y" * 12_000_000

        async def serve_large(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            for start in range(0, len(body), 500_000):
                writer.write(body[start : start + 500_000])
                await writer.drain()
                await asyncio.sleep(0.005)

        endless_port = await self.start(make_endless(*ENDLESS_RESPONSES["body without a length"]))
        large_port = await self.start(serve_large)
        endless = asyncio.create_task(self.exchange(endless_port, budget))
        large = await self.exchange(large_port, budget)
        with self.assertRaises(http_client.ExchangeError):
            await endless
        self.assertEqual(large.body, body)
        self.assertEqual(budget.used, len(body))
        del large
        # The event loop holds the result of the exchange until the next step.
        await asyncio.sleep(0)
        gc.collect()
        self.assertEqual(budget.used, 0)

    async def test_slow_response_ends_with_the_time_of_its_request(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
            while not writer.is_closing():
                writer.write(b"x")
                await asyncio.sleep(0.05)

        port = await self.start(serve)
        connection = await http_client.connect("127.0.0.1", port)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await connection.exchange(test_http_client.make_request())
        self.assertTrue(connection.closed)

    async def test_a_few_interim_responses_are_skipped(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 5)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        port = await self.start(serve)
        self.assertEqual((await self.exchange(port, None)).body, b"ok")


class OutOfStepTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a late second copy of a response that is taken for another one."""

    async def start(self, *script):
        self.server = await gateway_fakes.ScriptedServer(script).start()
        self.addAsyncCleanup(self.server.stop)
        self.pool = http_client.ConnectionPool()
        self.addCleanup(self.pool.close)

    async def exchange(self, request_id):
        connection = await self.pool.acquire("127.0.0.1", self.server.port, request_id=request_id)
        echo = http_client.EchoedId(name=REQUEST_ID_HEADER, value=request_id)
        try:
            async with asyncio.timeout(2):
                return await connection.exchange(
                    test_http_client.make_request(request_id), echo=echo
                )
        finally:
            self.pool.release("127.0.0.1", self.server.port, connection)

    async def test_copy_on_a_connection_in_use_again_is_skipped(self):
        copy = gateway_fakes.answer(body=b"old", request_id=b"1")
        new = gateway_fakes.answer(body=b"new")
        await self.start(gateway_fakes.answer(body=b"old"), lambda head: copy(head) + new(head))
        self.assertEqual((await self.exchange(b"1")).body, b"old")
        self.assertEqual((await self.exchange(b"2")).body, b"new")
        self.assertEqual(self.server.connections, 1)

    async def test_copy_behind_an_interim_response_is_skipped(self):
        copy = gateway_fakes.answer(body=b"old", request_id=b"1")
        new = gateway_fakes.answer(body=b"new")
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        await self.start(
            gateway_fakes.answer(body=b"old"),
            lambda head: interim + copy(head) + interim + new(head),
        )
        await self.exchange(b"1")
        self.assertEqual((await self.exchange(b"2")).body, b"new")

    async def test_copy_while_the_connection_rests_ends_the_connection(self):
        copy = gateway_fakes.answer(body=b"old", request_id=b"1")
        await self.start(gateway_fakes.answer(body=b"old"), gateway_fakes.answer(body=b"new"))
        await self.exchange(b"1")
        (connection,) = self.pool._idle["127.0.0.1", self.server.port]
        self.server._writers[0].write(copy(b""))
        await gateway_fakes.until(lambda: connection.closed)
        self.assertEqual((await self.exchange(b"2")).body, b"new")
        self.assertEqual(self.server.connections, 2)

    async def test_copy_split_over_two_packets_is_skipped(self):
        copy = gateway_fakes.answer(body=b"old", request_id=b"1")(b"")
        for position in (1, 20, len(copy) - 1):
            with self.subTest(position=position):
                await self.start(gateway_fakes.answer(body=b"old"), "silent")
                await self.exchange(b"1")
                task = asyncio.create_task(self.exchange(b"2"))
                while len(self.server.requests) < 2:
                    await asyncio.sleep(0.001)
                writer = self.server._writers[0]
                writer.write(copy[:position])
                await asyncio.sleep(0.02)
                writer.write(copy[position:])
                await asyncio.sleep(0.02)
                writer.write(gateway_fakes.answer(body=b"new", request_id=b"2")(b""))
                self.assertEqual((await task).body, b"new")

    async def test_copy_without_an_id_is_not_taken_for_a_signed_response(self):
        # The attempt that receives it is classified as invalid, see `attempt._classify`.
        plain = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
        await self.start(
            gateway_fakes.answer(body=b"old"),
            lambda head: plain + gateway_fakes.answer(body=b"new")(head),
        )
        await self.exchange(b"1")
        response = await self.exchange(b"2")
        self.assertIsNone(response.header(REQUEST_ID_HEADER))
        self.assertFalse(response.reusable)

    async def test_request_that_is_sent_again_uses_another_connection(self):
        # A second copy of a rejection would state that the request did not run, while it runs.
        await self.start(gateway_fakes.answer())
        for _ in range(3):
            await self.exchange(b"1")
        self.assertEqual(self.server.connections, 3)

    @hypothesis.given(strategies.lists(strategies.binary(max_size=60), max_size=6))
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    def test_any_bytes_complete_or_fail_the_exchange(self, parts):
        asyncio.run(self.feed(parts))

    async def feed(self, parts):
        connection = http_client.Connection(peer="p")
        connection.connection_made(NullTransport())
        task = asyncio.create_task(connection.exchange(test_http_client.make_request()))
        await asyncio.sleep(0)
        for part in parts:
            if part and not connection.closed:
                connection.data_received(part)
        connection.connection_lost(None)
        with contextlib.suppress(http_client.ExchangeError):
            await task


class NullTransport(asyncio.Transport):
    """Transport that discards what is written."""

    def get_extra_info(self, name, default=None):
        return self

    def setsockopt(self, *args):
        pass

    def write(self, data):
        pass

    def abort(self):
        pass

    def get_write_buffer_size(self):
        return 0

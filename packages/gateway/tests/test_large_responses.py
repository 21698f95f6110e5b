"""Tests of large responses to slow callers, with real sockets on loopback."""

import asyncio
import dataclasses
import socket
import time
import unittest
from unittest import mock

import gateway_fakes
import test_forwarder

from sassafrasway_gateway import (
    http_server,
    memory_budget,
    model,
    response_gate,
    routing,
    server_connection,
    unsent_responses,
)

NAMES = gateway_fakes.NAMES
LARGE_BYTES = 540_000
CAPACITY_BYTES = 19_000_000
# Send buffer of the system for a connection: most of a large response waits in the process.
SEND_BUFFER_BYTES = 16 * 1024
RECEIVE_BUFFER_BYTES = 8 * 1024
# Longest time in which the gateway reads a large response. At the pace of the callers, which read
# nothing, it would never end.
MAX_SENDING_S = 5.0
# Longest time of one step of the event loop, in processor time, s. It holds all callbacks that are
# due, of the callers and the server of the test too.
MAX_STEP_S = 0.1


def limit_send_buffers(server):
    """Limits the send buffers of the connections that a server accepts from now on."""
    (listening,) = server.sockets
    listening._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


class Backend:
    """Server that answers ``/p/<size>`` or ``/s/<size>`` with a body of that size.

    ``/p/<size>/<cut>`` breaks the body off at half its size; ``cut`` says how.

    Attributes:
        sending_s: Time from the first to the last byte that each response took to leave, s.
    """

    def __init__(self):
        self.requests = []
        self.sending_s = []
        self._server = None

    @property
    def port(self):
        return self._server.sockets[0].getsockname()[1]

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        limit_send_buffers(self._server)
        return self

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        # Each piece counts as sent when the gateway's system has accepted all of it.
        writer.transport.set_write_buffer_limits(high=0)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                _, _, size, *cut = head.split(b" ", 2)[1].split(b"/")
                began_s = time.monotonic()
                await self._answer(writer, head, int(size), *cut)
                self.sending_s.append(time.monotonic() - began_s)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, head, size, cut=b""):
        chunked = cut.startswith(b"chunked")
        framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % size
        request_id = gateway_fakes.header_of(head, NAMES.request_id)
        writer.write(
            b"HTTP/1.1 200 OK\r\n%b\r\n%b: s\r\n%b: %b\r\n\r\n"
            % (framing, NAMES.signature, NAMES.request_id, request_id)
        )
        body = b"x" * (size // 2 if cut else size)
        writer.write(b"%x\r\n%b\r\n" % (len(body), body) if chunked else body)
        await writer.drain()
        if cut.endswith(b"reset"):
            writer.transport.abort()
        elif cut:
            writer.close()


class Caller:
    """Caller with a small receive buffer, which reads only when it is told to."""

    def __init__(self, reader, writer):
        self._reader = reader
        self.writer = writer
        self._length = 0

    @classmethod
    async def connect(cls, port):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        return cls(*await asyncio.open_connection(sock=sock, limit=4096))

    def send(self, path, request_id=b"7", prefix=b"p"):
        self.writer.write(
            b"GET /%b/%b HTTP/1.1\r\nHost: h.example\r\n%b: %b\r\n%b: 20000\r\n\r\n"
            % (prefix, path, NAMES.request_id, request_id, NAMES.time_left_ms)
        )

    async def read_head(self):
        head = await self._reader.readuntil(b"\r\n\r\n")
        self._length = int(gateway_fakes.header_of(head, b"content-length"))
        return int(head.split(b" ")[1]), head

    async def read_body(self):
        return await self._reader.readexactly(self._length)

    async def get(self, path, prefix=b"p"):
        self.send(path, prefix=prefix)
        status, _ = await self.read_head()
        await self.read_body()
        return status


class LargeResponseTest(test_forwarder.ForwarderFixture):
    """Guards against large responses that harm their callers, other callers or the instance."""

    async def asyncSetUp(self):
        self.memory = memory_budget.MemoryBudget(capacity_bytes=CAPACITY_BYTES)
        self.gate = response_gate.ResponseGate(budget=self.memory)
        self.backend = await Backend().start()
        self.addCleanup(self.backend.stop)
        routes = [
            gateway_fakes.make_route(name=name, prefix=prefix, timeout_s=20.0, sticky=False)
            for name, prefix in (("large", "/p/"), ("small", "/s/"))
        ]
        listed = [gateway_fakes.make_server("s0", port=self.backend.port, slots=500)]
        self.policy_state = test_forwarder.FakePolicyState(routes[0])
        self.policy_state.routes = routing.RouteTable(routes=routes)
        self.build(self.policy_state, listed)
        self.server = http_server.HttpServer(
            host="127.0.0.1", port=0, handler=self.forwarder, budget=self.memory
        )
        await self.server.start()
        self.addCleanup(self.server.stop_listening)

    async def callers(self, count):
        callers = [await Caller.connect(self.server.port) for _ in range(count)]
        for caller in callers:
            self.addCleanup(caller.writer.transport.abort)
        return callers

    def unsent_bytes(self):
        return sum(connection._unsent_bytes for connection in self.server._connections)

    async def test_many_slow_callers_stay_within_the_memory(self):
        # 60 responses need 32 MB. Without the gate, the largest were ended after they had run.
        limit_send_buffers(self.server._server)
        first, *callers = await self.callers(61)
        self.assertEqual(await first.get(b"%d" % LARGE_BYTES), 200)
        for number, caller in enumerate(callers):
            caller.send(b"%d" % LARGE_BYTES, b"%d" % number)
        # The heads arrive although no caller reads a body.
        async with asyncio.timeout(20):
            heads = [await caller.read_head() for caller in callers]
        admitted = [
            caller for caller, (status, _) in zip(callers, heads, strict=True) if status == 200
        ]
        refused = [head for status, head in heads if status == 503]
        self.assertEqual(len(admitted) + len(refused), 60)
        counted = self.forwarder._metrics.memory_refusals.render()[-1]
        self.assertEqual(counted.split()[-1], str(len(refused)))
        self.assertGreaterEqual(len(admitted), 13)
        self.assertGreater(len(refused), 0)
        self.assertTrue(all(gateway_fakes.header_of(head, b"retry-after") for head in refused))
        self.assertEqual(len(self.backend.requests), 1 + len(admitted))
        self.assertLessEqual(self.memory.used, CAPACITY_BYTES)
        self.assertLessEqual(self.unsent_bytes(), self.memory.used)
        # The server was read at full speed, although the callers read nothing.
        self.assertLess(max(self.backend.sending_s), MAX_SENDING_S)
        async with asyncio.timeout(20):
            bodies = await asyncio.gather(*[caller.read_body() for caller in admitted])
        self.assertEqual({len(body) for body in bodies}, {LARGE_BYTES})
        await gateway_fakes.until(lambda: self.memory.used == 0)
        self.assertEqual(self.gate.promised_bytes, 0)

    async def test_memory_is_given_back_when_a_short_rest_was_read(self):
        # A rest below the high-water mark of the transport stayed reserved until the next response;
        # some hundred idle connections used up the budget.
        limit_send_buffers(self.server._server)
        (caller,) = await self.callers(1)
        caller.send(b"%d" % 60_000)
        await gateway_fakes.until(self.unsent_bytes)
        self.assertGreater(self.memory.used, 0)
        await caller.read_head()
        await caller.read_body()
        await gateway_fakes.until(lambda: self.memory.used == 0)

    async def test_response_that_breaks_off_never_looks_complete(self):
        (caller,) = await self.callers(1)
        for cut in (b"close", b"reset", b"chunked-close", b"chunked-reset"):
            with self.subTest(cut=cut):
                self.registry.get("s0").ejected_until_s = 0.0
                self.registry.get("s0").failures = 0
                async with asyncio.timeout(10):
                    status = await caller.get(b"%d/%b" % (LARGE_BYTES, cut))
                self.assertEqual(status, 502)

    async def test_caller_that_pauses_gets_the_whole_response(self):
        # The kernel reset connections whose receive buffer was full for 3 s: a caller that read
        # 20 KB/s got 73 KB of 540 KB.
        (caller,) = await self.callers(1)
        caller.send(b"%d" % LARGE_BYTES)
        await caller.read_head()
        await asyncio.sleep(4.5)
        async with asyncio.timeout(10):
            self.assertEqual(len(await caller.read_body()), LARGE_BYTES)

    @mock.patch.object(server_connection, "LINGER_S", 0.05)
    async def test_connection_of_a_slow_caller_is_not_idle(self):
        # The idle timeout ended the connection of a caller that was still reading.
        limits = model.Limits(idle_timeout_s=0.1)
        self.policy_state.policy = dataclasses.replace(self.policy_state.policy, limits=limits)
        limit_send_buffers(self.server._server)
        (caller,) = await self.callers(1)
        caller.send(b"%d" % LARGE_BYTES)
        await caller.read_head()
        await asyncio.sleep(1.0)
        async with asyncio.timeout(10):
            self.assertEqual(len(await caller.read_body()), LARGE_BYTES)

    @mock.patch.object(unsent_responses, "CHECK_INTERVAL_S", 0.05)
    @mock.patch.object(unsent_responses, "READ_TIMEOUT_S", 0.5)
    async def test_caller_that_never_reads_is_ended_without_harm_to_others(self):
        limit_send_buffers(self.server._server)
        silent, other = await self.callers(2)
        silent.send(b"%d" % LARGE_BYTES)
        await gateway_fakes.until(lambda: self.backend.sending_s)
        while len(self.server._connections) > 1:
            self.assertEqual(await other.get(b"10", b"s"), 200)
        self.assertEqual(await other.get(b"%d" % LARGE_BYTES), 200)
        await silent.read_head()
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await silent.read_body()

    @mock.patch.object(unsent_responses, "CHECK_INTERVAL_S", 0.05)
    @mock.patch.object(unsent_responses, "STALLED_AFTER_S", 0.2)
    async def test_callers_that_never_read_do_not_keep_others_from_the_memory(self):
        limit_send_buffers(self.server._server)
        first, *silent = await self.callers(41)
        await first.get(b"%d" % LARGE_BYTES)
        for number, caller in enumerate(silent):
            caller.send(b"%d" % LARGE_BYTES, b"%d" % number)
        await gateway_fakes.until(lambda: self.gate.refused and not self.forwarder.running)
        await gateway_fakes.until(
            lambda: all(holder.stalled for holder in self.memory._holders if holder.size)
        )
        for _ in range(5):
            self.assertEqual(await first.get(b"%d" % LARGE_BYTES), 200)

    async def test_small_responses_do_not_wait_behind_large_ones(self):
        small, *callers = await self.callers(21)
        self.assertEqual(await callers[0].get(b"%d" % LARGE_BYTES), 200)
        longest_step_s = 0.0
        running = True

        async def watch_steps():
            nonlocal longest_step_s
            while running:
                before_s = time.thread_time()
                await asyncio.sleep(0)
                longest_step_s = max(longest_step_s, time.thread_time() - before_s)

        async def load(caller):
            for _ in range(5):
                self.assertIn(await caller.get(b"%d" % LARGE_BYTES), (200, 503))

        watch = asyncio.create_task(watch_steps())
        loads = [asyncio.create_task(load(caller)) for caller in callers]
        answered = 0
        while not all(task.done() for task in loads):
            self.assertEqual(await small.get(b"10", b"s"), 200)
            answered += 1
        running = False
        await asyncio.gather(watch, *loads)
        self.assertGreater(answered, 20)
        self.assertLess(longest_step_s, MAX_STEP_S)


if __name__ == "__main__":
    unittest.main()

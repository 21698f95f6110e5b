"""Fakes for tests of server connections, which need no network."""

import asyncio
import os
import unittest

from sassafrasway_gateway import messages, model, request_handler, server_connection

LIMITS = model.Limits(header_bytes=2048, body_bytes=1000, header_timeout_s=0.1, idle_timeout_s=0.2)


class FakeTransport(asyncio.Transport):
    """Transport that records the bytes written to it."""

    def __init__(self):
        super().__init__()
        self._input, self._output = os.pipe()
        self.written = b""
        self.reading = True
        self.aborted = False
        self.ended = False
        self.unsent = 0

    def dispose(self):
        os.close(self._input)
        os.close(self._output)

    def add_unread_byte(self):
        os.write(self._output, b"x")

    def get_extra_info(self, name, default=None):
        return self if name == "socket" else default

    def setsockopt(self, *args):
        pass

    def fileno(self):
        return self._input

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.ended = True

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return self.unsent

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def is_closing(self):
        return self.aborted

    def close(self):
        self.aborted = True

    def abort(self):
        self.aborted = True


class FakeServer:
    """Server of one connection."""

    def __init__(self, budget=None):
        self.draining = False
        self.refuses_new = False
        self.budget = budget

    def on_open(self, connection):
        pass

    def on_close(self, connection):
        pass


class GatedHandler(request_handler.Handler):
    """Answers each request with its path once the gate of that path is open.

    Paths that begin with ``/once`` must not be repeated.
    """

    def __init__(self):
        self.gates = {}
        self.started = []
        self.cancelled = []
        self.statuses = {}

    @property
    def limits(self):
        return LIMITS

    def may_overlap(self, request):
        return not request.target.startswith(b"/once")

    def gate(self, path):
        return self.gates.setdefault(path, asyncio.Event())

    async def handle(self, request):
        path = request.target.decode()
        self.started.append(path)
        try:
            await self.gate(path).wait()
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        status = self.statuses.get(path, 200)
        if status == "error":
            raise RuntimeError("unexpected")
        return messages.Response(status=status, headers=[], body=path.encode())


def get(path, headers=b""):
    """Returns the bytes of a request without a body."""
    return b"GET " + path.encode() + b" HTTP/1.1\r\nHost: h\r\n" + headers + b"\r\n"


def put(path, body):
    """Returns the bytes of a request with a body."""
    length = b"Content-Length: %d\r\n" % len(body)
    return b"PUT " + path.encode() + b" HTTP/1.1\r\nHost: h\r\n" + length + b"\r\n" + body


class ConnectionFixture(unittest.IsolatedAsyncioTestCase):
    """Connection of a server with a handler that answers when a test lets it."""

    async def asyncSetUp(self):
        self.handler = GatedHandler()
        self.server = FakeServer()
        self.connect()

    def connect(self):
        self.transport = FakeTransport()
        self.addCleanup(self.transport.dispose)
        self.connection = server_connection.ServerConnection(
            handler=self.handler, server=self.server
        )
        self.connection.connection_made(self.transport)

    async def asyncTearDown(self):
        self.connection.connection_lost(None)
        await asyncio.sleep(0)

    async def receive(self, *parts):
        for part in parts:
            self.connection.data_received(part)
        await self.settle()

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def open(self, *paths):
        for path in paths:
            self.handler.gate(path).set()
            await self.settle()

    def statuses(self):
        return [
            int(part[:3]) for part in self.transport.written.split(b"HTTP/1.1 ")[1:] if part[:3]
        ]

    def answered(self):
        """Returns the paths in the bodies of the responses, in order."""
        found = []
        for part in self.transport.written.split(b"HTTP/1.1 ")[1:]:
            found.append(part.partition(b"\r\n\r\n")[2].decode())
        return found

"""HTTP/1.1 server that reads complete requests and writes complete responses.

Its clients are callers, the platform's probes, other instances and the collector of the metrics.
"""

import abc
import asyncio
import time

import h11

from sassafrasway_gateway import http_client, messages, model

# Reading pauses when more bytes than this arrive while a request is being handled.
MAX_PIPELINED_BYTES = 256 * 1024
# Time after which a closing connection is aborted if the client does not read its last bytes.
LINGER_S = 2.0


class Handler(abc.ABC):
    """Base class of request handlers."""

    @abc.abstractmethod
    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the response.

        The call is cancelled when the client closes the connection or its sending side.
        """

    @property
    def limits(self) -> model.Limits:
        """Size and time limits for requests."""
        return model.Limits()


def text_response(
    status: int, text: str = "", *, retry_after_s: float | None = None
) -> messages.Response:
    """Builds a plain text response, with a Retry-After header if ``retry_after_s`` is given.

    The header has fractions of a second, unlike the whole seconds of RFC 9110.
    """
    headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return messages.Response(status=status, headers=headers, body=text.encode())


class ServerConnection(asyncio.Protocol):
    """One connection from a client."""

    def __init__(self, *, handler: Handler, server: "HttpServer"):
        self._handler = handler
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=handler.limits.header_bytes
        )
        self._head: h11.Request | None = None
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        # Monotonic time of the first byte of the request that is being read, or of the end of the
        # previous response if the byte arrived before that; 0 if no request is being read.
        self._started_s = 0.0
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._peer = ""
        self._responding = False

    @property
    def busy(self) -> bool:
        """Whether a request is being read or handled."""
        return self._responding or self._started_s > 0.0

    def close_when_idle(self) -> None:
        """Closes the connection unless a request is being read or handled."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        self._transport = transport
        http_client.configure_socket(transport.get_extra_info("socket"))
        peer = transport.get_extra_info("peername")
        self._peer = f"{peer[0]}:{peer[1]}" if peer else ""
        self._server.on_open(self)
        self._start_timer(self._handler.limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """See base class."""
        if self._started_s == 0.0 and not self._responding:
            self._started_s = time.monotonic()
            self._start_timer(self._handler.limits.header_timeout_s)
        self._parser.receive_data(data)
        if self._responding:
            if len(self._parser.trailing_data[0]) > MAX_PIPELINED_BYTES:
                self._transport.pause_reading()
            return
        self._read_events()

    def eof_received(self) -> bool:
        """See base class."""
        self._cancel_handler()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        self._cancel_timer()
        self._cancel_handler()
        self._server.on_close(self)

    def _cancel_handler(self) -> None:
        if self._task is not None and not self._task.done():
            self._task.cancel()

    def _read_events(self) -> None:
        try:
            while not self._responding:
                event = self._parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    if self._parser.they_are_waiting_for_100_continue:
                        self._send_continue()
                    return
                if isinstance(event, h11.Request):
                    if not self._on_head(event):
                        return
                elif isinstance(event, h11.Data):
                    if not self._on_data(bytes(event.data)):
                        return
                elif isinstance(event, h11.EndOfMessage):
                    self._on_request()
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _send_continue(self) -> None:
        response = h11.InformationalResponse(status_code=100, headers=[])
        self._transport.write(self._parser.send(response))

    def _on_head(self, head: h11.Request) -> bool:
        """Starts a request; returns False if its body is too large and it was rejected."""
        if self._started_s == 0.0:
            self._started_s = time.monotonic()
        self._head = head
        self._chunks = []
        self._body_bytes = 0
        self._start_timer(self._handler.limits.idle_timeout_s)
        length = messages.find_header(list(head.headers), b"content-length")
        if length is not None and int(length) > self._handler.limits.body_bytes:
            self._reject(413, "body too large")
            return False
        return True

    def _on_data(self, data: bytes) -> bool:
        """Adds a part of the body; returns False if the body is too large and was rejected."""
        self._start_timer(self._handler.limits.idle_timeout_s)
        self._body_bytes += len(data)
        if self._body_bytes > self._handler.limits.body_bytes:
            self._reject(413, "body too large")
            return False
        self._chunks.append(data)
        return True

    def _on_request(self) -> None:
        self._cancel_timer()
        request = messages.Request(
            method=self._head.method,
            target=self._head.target,
            headers=list(self._head.headers.raw_items()),
            body=b"".join(self._chunks),
            received_s=self._started_s,
            peer=self._peer,
        )
        self._chunks = []
        self._responding = True
        self._started_s = 0.0
        self._task = asyncio.get_running_loop().create_task(self._run_handler(request))

    async def _run_handler(self, request: messages.Request) -> None:
        try:
            response = await self._handler.handle(request)
        except asyncio.CancelledError:
            self._transport.abort()
            raise
        self._write(request.method, response)

    def _write(self, method: bytes, response: messages.Response) -> None:
        if self._transport.is_closing():
            return
        headers = messages.end_to_end(response.headers)
        if method == b"HEAD":
            length = response.header(b"content-length") or b"0"
        else:
            length = str(len(response.body)).encode()
        if response.status not in (204, 304):
            headers.append((b"Content-Length", length))
        if self._server.draining:
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._parser.send(head)
        if response.body and method != b"HEAD":
            data += self._parser.send(h11.Data(data=response.body))
        data += self._parser.send(h11.EndOfMessage())
        self._transport.write(data)
        self._responding = False
        self._finish_exchange()

    def _finish_exchange(self) -> None:
        reusable = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        if not reusable:
            self._close()
            return
        self._parser.start_next_cycle()
        self._start_timer(self._handler.limits.idle_timeout_s)
        self._transport.resume_reading()
        if self._parser.trailing_data[0]:
            self._started_s = time.monotonic()
        self._read_events()

    def _close(self) -> None:
        self._transport.close()
        self._start_timer(LINGER_S)

    def _reject(self, status: int, reason: str) -> None:
        self._cancel_timer()
        response = text_response(status, reason)
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [*response.headers, (b"Connection", b"close")]
            headers.append((b"Content-Length", str(len(response.body)).encode()))
            data = self._parser.send(h11.Response(status_code=status, headers=headers))
            data += self._parser.send(h11.Data(data=response.body))
            data += self._parser.send(h11.EndOfMessage())
            self._transport.write(data)
        self._started_s = 0.0
        self._close()

    def _start_timer(self, timeout_s: float) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._responding:
            return
        if self._started_s > 0.0 and not self._transport.is_closing():
            self._reject(408, "request not complete in time")
        else:
            self._transport.abort()


class HttpServer:
    """Listens on one address and passes all requests to one handler."""

    def __init__(self, *, host: str, port: int, handler: Handler):
        self._host = host
        self._port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()
        self._draining = False

    @property
    def draining(self) -> bool:
        """Whether responses ask clients to close their connections."""
        return self._draining

    @property
    def port(self) -> int:
        """Port in use, also if it was chosen by the system."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def busy(self) -> int:
        """Number of connections with a request that is being read or handled."""
        return sum(1 for connection in self._connections if connection.busy)

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(handler=self._handler, server=self),
            self._host,
            self._port,
            backlog=1024,
            reuse_address=True,
        )

    def drain(self) -> None:
        """Asks clients in all further responses to close their connections."""
        self._draining = True

    def stop_listening(self) -> None:
        """Stops accepting connections and closes the idle ones."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close_when_idle()

    def on_open(self, connection: ServerConnection) -> None:
        """Registers a connection."""
        self._connections.add(connection)

    def on_close(self, connection: ServerConnection) -> None:
        """Removes a connection."""
        self._connections.discard(connection)

"""One connection from a client: reads requests, runs them and writes their responses in order.

A client may send further requests before it has received a response (pipelining). Requests that
may run side by side do so, up to a limit; the responses wait for their turn. A request that must
not be repeated starts only after the response to each request before it has been written, and the
requests behind it wait for it. A response that closes the connection therefore never cuts off a
request that must not be repeated: the requests behind it have not been run, or may run again.
"""

import asyncio
import collections
import select
import typing

import h11
import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import (
    exchanges,
    http_client,
    memory_budget,
    messages,
    request_handler,
    unsent_responses,
)

# Requests of one connection that are waiting, running, or waiting to be answered.
MAX_PIPELINED_REQUESTS = 8
# Bytes of their bodies and responses above which no further request is read.
MAX_PIPELINED_BYTES = 256 * 1024
# A larger body is written separately from its head, so that it is not copied.
MAX_JOINED_BYTES = 64 * 1024
# Longest time without an acknowledgement by a client. It is long because the kernel also counts the
# time in which the receive buffer of a slow reader has less room than one segment.
CLIENT_USER_TIMEOUT_MS = 120_000
# Time after which a closing connection is aborted if the client neither closes it nor reads on.
LINGER_S = 2.0
# Time that a client has to send its first request on a connection that is accepted just before the
# server stops.
FIRST_REQUEST_S = 0.3
# Retry-After of a request whose body found no memory.
MEMORY_RETRY_AFTER_S = 0.5
# Retry-After of a request that comes too late in a planned stop.
STOP_RETRY_AFTER_S = 0.1
# Reasons for which the parser rejects a request, by the status of the response.
_REJECTION_REASONS = {431: "request head too large", 501: "transfer coding not supported"}


class Server(typing.Protocol):
    """What a connection needs to know of its server.

    Attributes:
        draining: Whether responses ask clients to close their connections.
        refuses_new: Whether requests that have not been started are refused.
    """

    draining: bool
    refuses_new: bool
    budget: memory_budget.MemoryBudget | None

    def on_open(self, connection: "ServerConnection") -> None:
        """Registers a connection."""

    def on_close(self, connection: "ServerConnection") -> None:
        """Removes a connection."""


def has_unread_input(sock) -> bool:
    """Whether the system holds input of a socket: bytes, or connections that can be accepted."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


class ServerConnection(asyncio.Protocol):
    """One connection from a client."""

    def __init__(self, *, handler: request_handler.Handler, server: Server):
        self._handler = handler
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = exchanges.RequestReader(parser=self._make_parser())
        self._exchanges: collections.deque[exchanges.Exchange] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        self._peer = ""
        # No further request is read: the connection closes after the responses that are due.
        self._ending = False
        # The last response has been written; what the client still sends is discarded.
        self._closing = False
        self._awaits_first_request = False
        self._had_request = False
        # Bytes that the client had not read yet when the connection began to close, or when it was
        # last checked.
        self._closing_unread = 0
        self._unsent: unsent_responses.UnsentResponses | None = None
        self._log = structlog.get_logger("http")

    @property
    def busy(self) -> bool:
        """Whether a request is read or handled, may still arrive, or a response is not sent."""
        reading = self._reader.started_s > 0.0 and not self._closing
        return bool(self._exchanges or reading or self._awaits_first_request or self._unsent_bytes)

    @property
    def _unsent_bytes(self) -> int:
        """Bytes of responses that the system has not accepted yet."""
        return 0 if self._unsent is None else self._unsent.size

    def close_when_idle(self) -> None:
        """Closes the connection unless a request is being read or handled, or has arrived.

        A client that has just connected gets ``FIRST_REQUEST_S`` to send its request.
        """
        if self.busy or self._closing or self._transport is None or self._transport.is_closing():
            return
        if not self._had_request:
            self._awaits_first_request = True
            self._start_timer(FIRST_REQUEST_S)
        elif not self._has_unread_bytes():
            self._close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        self._transport = transport
        self._unsent = unsent_responses.UnsentResponses(
            transport=transport, budget=self._server.budget
        )
        http_client.configure_socket(
            transport.get_extra_info("socket"), user_timeout_ms=CLIENT_USER_TIMEOUT_MS
        )
        peer = transport.get_extra_info("peername")
        self._peer = f"{peer[0]}:{peer[1]}" if peer else ""
        self._server.on_open(self)
        self._start_timer(self._handler.limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """See base class."""
        if self._ending or self._closing:
            return
        self._awaits_first_request = False
        self._had_request = True
        self._reader.parser.receive_data(data)
        self._begin_request()
        self._read()

    def eof_received(self) -> bool:
        """See base class."""
        self._cancel_exchanges()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        self._closing = True
        self._awaits_first_request = False
        self._cancel_timer()
        self._cancel_exchanges()
        self._unsent.close()
        self._reader.reservation = None
        self._server.on_close(self)

    def resume_writing(self) -> None:
        """See base class."""
        self._unsent.on_drained()

    def _make_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._handler.limits.header_bytes
        )

    def _cancel_exchanges(self) -> None:
        self._ending = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def _begin_request(self) -> None:
        """Starts the time limit of a request whose first byte has arrived."""
        if self._reader.started_s == 0.0:
            self._reader.started_s = clock_lib.elapsed_s()
            self._start_timer(self._handler.limits.header_timeout_s)

    def _read(self) -> None:
        """Reads requests until more bytes are needed or the limits of the connection are met."""
        try:
            while not self._ending:
                if self._is_full():
                    self._cancel_timer()
                    self._transport.pause_reading()
                    return
                event = self._reader.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._send_continue()
                    return
                if isinstance(event, h11.Request):
                    self._on_head(event)
                elif isinstance(event, h11.Data):
                    self._on_data(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._on_request()
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            self._reject(status, _REJECTION_REASONS.get(status, "malformed request"))

    def _is_full(self) -> bool:
        if len(self._exchanges) >= MAX_PIPELINED_REQUESTS:
            return True
        held = sum(exchange.held_bytes for exchange in self._exchanges)
        return bool(self._exchanges) and held > MAX_PIPELINED_BYTES

    def _send_continue(self) -> None:
        """Asks for the body of a request that waits for that, once its response is the next one."""
        reader = self._reader
        if not self._exchanges and reader.parser.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(reader.parser.send(response))

    def _on_head(self, head: h11.Request) -> None:
        reader = self._reader
        reader.head = head
        self._start_timer(self._handler.limits.idle_timeout_s)
        length = messages.find_header(list(head.headers), b"content-length")
        if length is not None and int(length) > self._handler.limits.body_bytes:
            self._reject(413, "body too large")
            return
        if self._server.budget is not None:
            reader.reservation = self._server.budget.reserve(self._on_memory_exceeded)
            reader.reservation.open_ended = length is None

    def _on_data(self, data: bytes) -> None:
        reader = self._reader
        self._start_timer(self._handler.limits.idle_timeout_s)
        if len(reader.body) + len(data) > self._handler.limits.body_bytes:
            self._reject(413, "body too large")
            return
        reader.body += data
        if not reader.chunk_limit.add(len(reader.body)):
            self._reject(400, "too many small chunks")
            return
        if reader.reservation is not None:
            reader.reservation.resize(len(reader.body))

    def _on_memory_exceeded(self) -> None:
        self._reader.body = bytearray()
        self._reject(503, "no memory for the body", retry_after_s=MEMORY_RETRY_AFTER_S)

    def _on_request(self) -> None:
        """Queues the request that was read and prepares for the next one."""
        self._cancel_timer()
        reader = self._reader
        if reader.reservation is not None:
            # The request may run from now on, so it is no longer ended for its memory.
            reader.reservation.on_exceeded = None
        request = messages.Request(
            method=reader.head.method,
            target=reader.head.target,
            headers=list(reader.head.headers.raw_items()),
            body=reader.body,
            received_s=reader.started_s,
            peer=self._peer,
            reservation=reader.reservation,
        )
        exchange = exchanges.Exchange(
            parser=reader.parser,
            request=request,
            may_overlap=self._handler.may_overlap(request),
            closes=reader.parser.their_state is not h11.DONE,
        )
        self._exchanges.append(exchange)
        if exchange.closes:
            self._ending = True
        trailing_bytes, _ = reader.parser.trailing_data
        self._reader = exchanges.RequestReader(parser=self._make_parser())
        if trailing_bytes and not self._ending:
            self._reader.parser.receive_data(trailing_bytes)
            self._begin_request()
        if self._server.refuses_new:
            self._write_responses()
        else:
            self._dispatch()

    def _refuse_waiting(self) -> None:
        """Refuses the requests that have not been started; the instance would end before them."""
        for exchange in self._exchanges:
            if exchange.task is None and exchange.response is None:
                self._log.info(
                    "request refused, the instance stops",
                    peer=self._peer,
                    target=exchange.request.target.decode("latin-1"),
                )
                exchange.response = request_handler.text_response(
                    503, "instance stops", retry_after_s=STOP_RETRY_AFTER_S
                )

    def _dispatch(self) -> None:
        """Starts the requests that may run now."""
        for position, exchange in enumerate(self._exchanges):
            if position and not exchange.may_overlap:
                return
            if exchange.task is None and exchange.response is None:
                exchange.task = self._loop.create_task(self._run(exchange))
            if not exchange.may_overlap:
                return

    async def _run(self, exchange: exchanges.Exchange) -> None:
        try:
            response = await self._handler.handle(exchange.request)
        except asyncio.CancelledError:
            # A response that closes the connection may still be on its way to the client.
            if not self._closing:
                self._transport.abort()
            raise
        except Exception as error:
            self._log.exception(
                "request handler failed",
                peer=self._peer,
                target=exchange.request.target.decode("latin-1"),
                error=repr(error),
            )
            response = request_handler.text_response(500, "internal error")
        exchange.response = response
        self._write_responses()

    def _write_responses(self) -> None:
        """Writes the responses whose turn has come, and continues with what waited for them."""
        if self._server.refuses_new:
            self._refuse_waiting()
        while self._exchanges and self._exchanges[0].response is not None:
            if self._transport.is_closing():
                return
            exchange = self._exchanges.popleft()
            try:
                reusable = self._write(exchange)
            except h11.LocalProtocolError:
                self._log.error(
                    "response cannot be written: status or header fields are not valid HTTP",
                    peer=self._peer,
                    status=exchange.response.status,
                )
                self._transport.abort()
                return
            if not reusable:
                self._cancel_exchanges()
                self._close()
                return
        if self._closing:
            return
        # Requests that were read before the last one of the connection may still wait.
        self._dispatch()
        if self._ending:
            return
        if not self._exchanges and self._reader.started_s == 0.0:
            self._start_timer(self._handler.limits.idle_timeout_s)
        if not self._is_full():
            self._transport.resume_reading()
            if self._reader.started_s > 0.0 and self._timer is None:
                self._start_timer(self._handler.limits.header_timeout_s)
            self._read()

    def _write(self, exchange: exchanges.Exchange) -> bool:
        """Writes one response and returns whether the connection can carry another request."""
        response = exchange.response
        method = b"" if exchange.request is None else exchange.request.method
        headers = messages.end_to_end(response.headers)
        has_body = method != b"HEAD" and response.status not in (204, 304)
        if has_body:
            headers.append((b"Content-Length", str(len(response.body)).encode()))
        elif response.status not in (204, 304):
            length = response.header(b"content-length") or b"0"
            headers.append((b"Content-Length", length))
        is_last = not self._exchanges and self._reader.started_s == 0.0
        if exchange.closes or (self._server.draining and is_last):
            headers.append((b"Connection", b"close"))
        parser = exchange.parser
        data = parser.send(h11.Response(status_code=response.status, headers=headers))
        body = response.body if has_body else b""
        if body:
            parser.send_with_data_passthrough(h11.Data(data=body))
        parser.send(h11.EndOfMessage())
        if len(body) <= MAX_JOINED_BYTES:
            self._transport.write(data + body)
        else:
            self._transport.write(data)
            self._transport.write(body)
        exchange.release()
        self._unsent.on_written(len(body))
        return parser.our_state is h11.DONE and parser.their_state is h11.DONE

    def _close(self) -> None:
        """Ends the connection, after the client has had time to read the last response.

        Closing a socket that holds unread bytes resets the connection, and the client may lose the
        response. Therefore only the sending side is closed until the client closes, too.
        """
        self._ending = True
        self._closing = True
        self._awaits_first_request = False
        self._reader = exchanges.RequestReader(parser=self._reader.parser)
        if self._transport.is_closing():
            return
        self._transport.resume_reading()
        self._transport.write_eof()
        self._closing_unread = self._unsent.unread_bytes
        self._start_timer(LINGER_S)

    def _reject(self, status: int, reason: str, *, retry_after_s: float | None = None) -> None:
        """Answers the request that is being read with an error and ends the connection."""
        self._cancel_timer()
        self._ending = True
        parser = self._reader.parser
        self._reader = exchanges.RequestReader(parser=self._make_parser())
        if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = request_handler.text_response(status, reason, retry_after_s=retry_after_s)
            self._exchanges.append(
                exchanges.Exchange(parser=parser, response=response, closes=True)
            )
            self._write_responses()
        elif not self._exchanges:
            self._close()

    def _has_unread_bytes(self) -> bool:
        return has_unread_input(self._transport.get_extra_info("socket"))

    def _start_timer(self, timeout_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(timeout_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        unread_bytes = self._unsent.unread_bytes if self._closing else 0
        if self._closing and unread_bytes < self._closing_unread:
            # The client still reads its response.
            self._closing_unread = unread_bytes
            self._start_timer(LINGER_S)
        elif self._closing:
            self._transport.abort()
        elif self._has_unread_bytes():
            # The event loop was late: the bytes that the client owed have arrived.
            self._start_timer(FIRST_REQUEST_S)
        elif self._reader.started_s > 0.0:
            self._reject(408, "request not complete in time")
        elif not self._exchanges and self._unsent.unread_bytes:
            # The client has not read its last response yet. If it stops reading, `UnsentResponses`
            # or the kernel ends the connection.
            self._start_timer(self._handler.limits.idle_timeout_s)
        elif not self._exchanges:
            self._close()

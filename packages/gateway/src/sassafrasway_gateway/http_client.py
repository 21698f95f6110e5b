"""HTTP/1.1 client connections: one exchange at a time, no implicit retries.

aiohttp retries some requests by itself, and it treats a response without a length as complete when
its connection is reset. Both would break the guarantees for non-idempotent requests, so the gateway
uses the sans-I/O parser h11 on asyncio transports.
"""

import asyncio
import collections
import dataclasses
import re
import socket

import h11

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors
from sassafrasway_gateway import memory_budget, messages

CONNECT_TIMEOUT_S = 0.25
# Idle connections are no longer reused this long before the server would close them.
IDLE_MARGIN_S = 1.0
# Longest idle time of a connection whose server has not sent a Keep-Alive header.
DEFAULT_IDLE_LIMIT_S = 5.0
# The kernel detects an unresponsive peer by keepalive probes while the connection is idle, and by
# the user timeout when sent data is not acknowledged.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Largest valid status of a response; the parser also accepts larger numbers of three digits.
MAX_STATUS = 599
# More interim responses (1xx) than this before the final one are an error of the server.
MAX_INTERIM_RESPONSES = 16
# Number of requests whose ids a connection remembers. A second copy of a response that arrives
# after so many further exchanges would have been found by one of them.
MAX_CARRIED_IDS = 16
_TIMEOUT_PARAMETER = re.compile(rb"\s*timeout=([0-9]{1,6})\s*", re.IGNORECASE)


class ConnectError(errors.UnavailableError):
    """No connection could be opened; nothing was sent."""


class ExchangeError(errors.OutcomeUnknownError):
    """The request was sent, but no valid response arrived.

    Attributes:
        closed: Whether the connection ended before a complete response, as opposed to carrying an
            invalid one, one that is too large or one to another request.
    """

    def __init__(self, message: str, *, step: str, peer: str, closed: bool):
        super().__init__(message, step=step, peer=peer)
        self.closed = closed


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EchoedId:
    """Header by which a response is matched with its request."""

    name: bytes
    value: bytes


def configure_socket(sock: socket.socket, *, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Disables Nagle's algorithm and makes the kernel detect unresponsive peers.

    A peer that acknowledges nothing for ``user_timeout_ms``, or reads nothing while its receive
    buffer is full, loses the connection.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


class Connection(asyncio.Protocol):
    """One connection to a server; used by a single exchange at a time.

    Args:
        peer: Address of the server as ``host:port``, for error messages.
        budget: Memory for the bodies of responses; None if only ``MAX_RESPONSE_BYTES`` limits them.
    """

    def __init__(self, *, peer: str, budget: memory_budget.MemoryBudget | None = None):
        self._peer = peer
        self._budget = budget
        self._reservation: memory_budget.Reservation | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(h11.CLIENT)
        self._waiter: asyncio.Future | None = None
        self._echo: EchoedId | None = None
        self._request: messages.Request | None = None
        self._response: h11.Response | None = None
        self._body = bytearray()
        self._chunk_limit = messages.ChunkLimit()
        self._interim_responses = 0
        self._carried_ids: collections.deque[bytes] = collections.deque(maxlen=MAX_CARRIED_IDS)
        self._closed = False
        self._exchanges = 0
        self._idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._idle_since_s = clock_lib.elapsed_s()

    @property
    def exchanges(self) -> int:
        """Number of exchanges started on the connection."""
        return self._exchanges

    def has_carried(self, request_id: bytes) -> bool:
        """Whether the connection has recently carried a request with this id.

        A second copy of the response to that request would be taken for the response to another
        one with the same id.
        """
        return request_id in self._carried_ids

    def reusable(self, max_idle_s: float | None = None) -> bool:
        """Whether the connection is open, idle, and not about to be closed by the server.

        ``max_idle_s`` is the longest time for which the connection may have been idle; with None,
        only the server's limit applies.
        """
        if self._closed or self._waiter is not None:
            return False
        limit_s = self._idle_limit_s
        if max_idle_s is not None:
            limit_s = min(limit_s, max_idle_s)
        return clock_lib.elapsed_s() - self._idle_since_s < limit_s

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer be used."""
        return self._closed

    def abort(self) -> None:
        """Closes the connection immediately, so that the server drops the request."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self, request: messages.Request, *, echo: EchoedId | None = None
    ) -> messages.Response:
        """Sends a request and returns the complete response.

        The method adds the framing headers, so the request must not contain any. Responses with
        another value of the ``echo`` header are skipped; one without the header is accepted.
        Cancelling the call aborts the connection.

        Raises:
            ExchangeError: The request was sent, but no valid response arrived.
        """
        data = self._encode(request)
        self._waiter = asyncio.get_running_loop().create_future()
        self._echo = echo
        if echo is not None:
            self._carried_ids.append(echo.value)
        self._exchanges += 1
        self._interim_responses = 0
        self._start_response()
        self._request = request
        self._transport.write(data)
        try:
            return await self._waiter
        except BaseException:
            self.abort()
            raise
        finally:
            self._waiter = None
            self._reservation = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        self._transport = transport
        configure_socket(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """See base class."""
        if self._waiter is None or self._waiter.done():
            # Unsolicited bytes: a later response on this connection could not be trusted.
            self.abort()
            return
        try:
            self._parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            part = "head" if self._response is None else "body"
            self._fail(f"malformed response {part}", closed=False)

    def eof_received(self) -> bool:
        """See base class."""
        self._closed = True
        if self._waiter is not None and not self._waiter.done():
            try:
                self._parser.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError:
                # Also raised if no byte of a response has arrived.
                unread_bytes, _ = self._parser.trailing_data
                begun = self._response is not None or unread_bytes
                when = "within" if begun else "before"
                self._fail(f"connection closed {when} a response", closed=True)
            else:
                self._fail("connection closed without a response", closed=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        self._closed = True
        self._fail(f"connection lost: {exc or 'closed'}", closed=True)

    def _encode(self, request: messages.Request) -> bytes:
        headers = list(request.headers)
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data = self._parser.send(head)
        if request.body:
            data += self._parser.send(h11.Data(data=request.body))
        return data + self._parser.send(h11.EndOfMessage())

    def _read_events(self) -> None:
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.InformationalResponse):
                self._interim_responses += 1
                if self._interim_responses > MAX_INTERIM_RESPONSES:
                    self._fail("too many interim responses", closed=False)
                    return
            elif isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    self._fail(f"response with invalid status {event.status_code}", closed=False)
                    return
                self._response = event
            elif isinstance(event, h11.Data):
                if not self._add_to_body(event.data):
                    return
            elif isinstance(event, h11.EndOfMessage):
                if not self._on_message():
                    return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _start_response(self) -> None:
        self._response = None
        self._body = bytearray()
        self._chunk_limit = messages.ChunkLimit()
        self._reservation = None
        if self._budget is not None:
            self._reservation = self._budget.reserve(self._on_memory_exceeded)

    def _add_to_body(self, data: bytes) -> bool:
        """Adds a part of the body; returns False if it is too large and the exchange has failed."""
        if len(self._body) + len(data) > MAX_RESPONSE_BYTES:
            self._fail("response too large", closed=False)
            return False
        self._body += data
        if not self._chunk_limit.add(len(self._body)):
            self._fail("too many small chunks", closed=False)
            return False
        if self._reservation is not None:
            length = messages.find_header(list(self._response.headers), b"content-length")
            self._reservation.open_ended = length is None
            self._reservation.resize(len(self._body))
        return not self._closed

    def _on_memory_exceeded(self) -> None:
        self._body = bytearray()
        self._fail("no memory left for the response", closed=False)

    def _on_message(self) -> bool:
        """Handles a complete response and returns whether another one must be read."""
        headers = list(self._response.headers.raw_items())
        if self._is_for_other_request(headers):
            return self._skip_response()
        trailing_bytes, _ = self._parser.trailing_data
        # A server may respond before the whole request is sent; the write buffer is not empty then.
        reusable = (
            not self._closed
            and not trailing_bytes
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and self._transport.get_write_buffer_size() == 0
        )
        self._update_idle_limit(headers)
        response = messages.Response(
            status=self._response.status_code,
            headers=headers,
            body=self._body,
            reusable=reusable,
            reservation=self._reservation,
        )
        if self._reservation is not None:
            self._reservation.on_exceeded = None
        if reusable:
            self._parser.start_next_cycle()
            self._idle_since_s = clock_lib.elapsed_s()
        else:
            self._closed = True
            self._transport.abort()
        if not self._waiter.done():
            self._waiter.set_result(response)
        return False

    def _is_for_other_request(self, headers: messages.Headers) -> bool:
        if self._echo is None:
            return False
        value = messages.find_header(headers, self._echo.name)
        return value is not None and value != self._echo.value

    def _skip_response(self) -> bool:
        """Discards a late response to an earlier request.

        Returns:
            Whether the response to the current request can still be read.
        """
        trailing_bytes, _ = self._parser.trailing_data
        if self._parser.their_state is not h11.DONE:
            self._fail("a response to another request ends the connection", closed=False)
            return False
        # h11 reads one response per request, so a new parser is brought into the state after the
        # request; the bytes that it produces for this are discarded.
        self._parser = h11.Connection(h11.CLIENT)
        self._encode(self._request)
        self._start_response()
        if trailing_bytes:
            self._parser.receive_data(trailing_bytes)
        return True

    def _update_idle_limit(self, headers: messages.Headers) -> None:
        value = messages.find_header(headers, b"keep-alive")
        if value is None:
            return
        for parameter in value.split(b","):
            match = _TIMEOUT_PARAMETER.fullmatch(parameter)
            if match is not None:
                self._idle_limit_s = max(0.0, int(match.group(1)) - IDLE_MARGIN_S)

    def _fail(self, reason: str, *, closed: bool) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                ExchangeError(reason, step="http.exchange", peer=self._peer, closed=closed)
            )
        self._closed = True
        if self._transport is not None:
            self._transport.abort()


async def connect(
    host: str,
    port: int,
    *,
    timeout_s: float = CONNECT_TIMEOUT_S,
    local_host: str = "",
    budget: memory_budget.MemoryBudget | None = None,
) -> Connection:
    """Opens a connection from ``local_host``; if this is empty, the system chooses the address.

    ``budget`` is as in `Connection`.

    Raises:
        ConnectError: The connection failed or was not open in time.
    """
    loop = asyncio.get_running_loop()
    peer = f"{host}:{port}"
    local = (local_host, 0) if local_host else None
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: Connection(peer=peer, budget=budget), host, port, local_addr=local
            )
    except TimeoutError as error:
        raise ConnectError("no connection in time", step="http.connect", peer=peer) from error
    except (OSError, OverflowError, ValueError) as error:
        # The last two mean that host or port is no address.
        raise ConnectError(str(error), step="http.connect", peer=peer) from error
    return connection


class ConnectionPool:
    """Pool of idle connections by address; see `connect` for the arguments."""

    def __init__(self, *, local_host: str = "", budget: memory_budget.MemoryBudget | None = None):
        self._budget = budget
        self._idle: dict[tuple[str, int], collections.deque[Connection]] = {}
        self._local_host = local_host

    async def acquire(
        self,
        host: str,
        port: int,
        *,
        max_idle_s: float | None = None,
        timeout_s: float = CONNECT_TIMEOUT_S,
        request_id: bytes | None = None,
    ) -> Connection:
        """Returns an idle connection, or opens one within ``timeout_s``.

        ``max_idle_s`` is as in `Connection.reusable`. A connection that has carried a request with
        the same ``request_id`` is not returned.

        Raises:
            ConnectError: No connection could be opened.
        """
        address = (host, port)
        idle = self._idle.get(address)
        for connection in reversed(idle or ()):
            carried = request_id is not None and connection.has_carried(request_id)
            if connection.reusable(max_idle_s) and not carried:
                idle.remove(connection)
                return connection
        return await connect(
            host, port, timeout_s=timeout_s, local_host=self._local_host, budget=self._budget
        )

    def release(self, host: str, port: int, connection: Connection) -> None:
        """Returns a connection to the pool after an exchange, or closes it if not reusable.

        Connections that expire in the pool are closed by `close_expired`.
        """
        address = (host, port)
        if connection.reusable():
            self._idle.setdefault(address, collections.deque()).append(connection)
        else:
            connection.abort()

    def drop(self, host: str, port: int) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop((host, port), ()):
            connection.abort()

    def close_expired(self) -> None:
        """Closes the connections that can no longer be reused."""
        for address in list(self._idle):
            kept = collections.deque()
            for connection in self._idle[address]:
                if connection.reusable():
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.drop(*address)

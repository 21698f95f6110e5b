"""Runs one attempt at a backend server and classifies its outcome."""

import dataclasses
import enum
import re
from collections.abc import Callable

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import http_client, messages, servers

# Longest idle time of a reused connection for a non-idempotent request. After a longer time the
# server may have dropped the connection without notice, and the request would fail with an unknown
# outcome.
MAX_IDLE_NON_IDEMPOTENT_S = 2.0
# Status of a response from a server that is not the one named in the request, because the address
# was reassigned.
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
# Longest time for which a server can keep requests away.
MAX_REST_S = 3600.0
_REST = re.compile(rb"\s*([0-9]{1,9}(?:\.[0-9]{1,9})?)\s*")
# What follows the first three figures must not make them unreadable: the fourth is used if it is a
# whole number, all others are unknown.
_LOAD = re.compile(
    rb"\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*"
    rb"(?:,(?:\s*([0-9]{1,6})\s*(?:,.*)?|.*))?"
)
MAX_SLOWDOWN = 100.0


class Outcome(enum.Enum):
    """Outcome of an attempt."""

    # The server itself responded, with any status.
    ANSWERED = "answered"
    # The server stated that it did not run the request, or that it is not the expected server.
    REJECTED = "rejected"
    # No connection could be opened, so nothing was sent.
    UNREACHABLE = "unreachable"
    # The permission to use the server ended before the request was sent, so nothing was sent.
    WITHDRAWN = "withdrawn"
    # The connection closed before a complete response; the request may have run.
    BROKEN = "broken"
    # The response was invalid or does not belong to the request; the request may have run.
    INVALID = "invalid"

    @property
    def not_run(self) -> bool:
        """Whether the request certainly did not run in this attempt."""
        return self in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.WITHDRAWN)


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptResult:
    """Result of an attempt.

    Attributes:
        response: Response of the server, if one could be parsed.
        reason: Cause of an outcome other than ``ANSWERED``.
    """

    outcome: Outcome
    response: messages.Response | None = None
    elapsed_s: float = 0.0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load that a server reports in a response header.

    Attributes:
        running: Number of requests that the server is running.
        waiting: Number of requests in its queue.
        slots: Number of requests that it runs at a time.
        slowdown: How long work takes on its machine now, as a multiple of the usual time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


def parse_load(value: bytes | None) -> LoadReport | None:
    """Parses a load header; returns None if it is missing or invalid.

    The header is ``running,waiting,slots``. A fourth figure states how long work takes now, in per
    cent of the usual time.
    """
    if value is None:
        return None
    match = _LOAD.fullmatch(value)
    if match is None:
        return None
    running, waiting, slots = (int(part) for part in match.groups()[:3])
    percent = int(match.group(4) or 0)
    slowdown = min(MAX_SLOWDOWN, percent / 100.0) if percent else 1.0
    return LoadReport(running=running, waiting=waiting, slots=slots, slowdown=slowdown)


def parse_rest_s(response: messages.Response) -> float:
    """Returns for how long the server of a response wants no request; 0 if it does not say so.

    A server that turns requests away (503) states it in Retry-After. A date, which the header may
    also hold, is ignored.
    """
    value = response.header(b"retry-after")
    if response.status != STATUS_UNAVAILABLE or value is None:
        return 0.0
    match = _REST.fullmatch(value)
    return 0.0 if match is None else min(MAX_REST_S, float(match.group(1)))


class AttemptRunner:
    """Sends requests to backend servers."""

    def __init__(self, *, pool: http_client.ConnectionPool, names: messages.HeaderNames):
        self._pool = pool
        self._names = names

    async def run(
        self,
        request: messages.Request,
        state: servers.ServerState,
        *,
        deadline_s: float,
        idempotent: bool,
        may_send: Callable[[], bool],
    ) -> AttemptResult:
        """Sends the request to the server and classifies the outcome.

        Args:
            request: Request of the caller.
            state: Server to use.
            deadline_s: Monotonic time by which the server has to finish; it is sent as the time
                left.
            idempotent: Whether the request may run more than once.
            may_send: Returns whether the request may still be sent; called when the connection is
                open. Opening it takes time, and the process may be paused meanwhile.
        """
        started_s = clock_lib.elapsed_s()
        server = state.server
        max_idle_s = None if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        echo = self._echo(request)
        if echo is None:
            # A late response to an earlier request could not be told from the one to this request.
            max_idle_s = 0.0
        try:
            connection = await self._pool.acquire(
                server.host,
                server.port,
                max_idle_s=max_idle_s,
                request_id=None if echo is None else echo.value,
            )
        except http_client.ConnectError as error:
            return AttemptResult(
                outcome=Outcome.UNREACHABLE,
                elapsed_s=clock_lib.elapsed_s() - started_s,
                reason=error.message,
            )
        if clock_lib.elapsed_s() >= deadline_s or not may_send():
            self._pool.release(server.host, server.port, connection)
            return AttemptResult(
                outcome=Outcome.WITHDRAWN,
                elapsed_s=clock_lib.elapsed_s() - started_s,
                reason="not permitted any more",
            )
        first_exchange = connection.exchanges == 0
        try:
            outgoing = self._outgoing(request, server.server_id, deadline_s)
            response = await connection.exchange(outgoing, echo=echo)
        except http_client.ExchangeError as error:
            outcome = Outcome.BROKEN if error.closed else Outcome.INVALID
            return AttemptResult(
                outcome=outcome, elapsed_s=clock_lib.elapsed_s() - started_s, reason=error.message
            )
        finally:
            if echo is None:
                connection.abort()
            self._pool.release(server.host, server.port, connection)
        return self._classify(request, response, clock_lib.elapsed_s() - started_s, first_exchange)

    async def probe(self, state: servers.ServerState) -> bool:
        """Returns whether the server accepts a new connection; closes the idle ones to it."""
        server = state.server
        self.close_idle_connections(state)
        try:
            connection = await self._pool.acquire(server.host, server.port)
        except http_client.ConnectError:
            return False
        self._pool.release(server.host, server.port, connection)
        return True

    def close_idle_connections(self, state: servers.ServerState) -> None:
        """Closes the idle connections to a server after a timeout; they may have stalled too."""
        self._pool.drop(state.server.host, state.server.port)

    def _echo(self, request: messages.Request) -> http_client.EchoedId | None:
        value = request.header(self._names.request_id)
        if value is None:
            return None
        return http_client.EchoedId(name=self._names.request_id, value=value)

    def _outgoing(
        self, request: messages.Request, server_id: str, deadline_s: float
    ) -> messages.Request:
        """Returns the request with the headers that the gateway sets for the server."""
        replaced = (self._names.time_left_ms, self._names.expected_server)
        headers = [
            (name, value)
            for name, value in messages.end_to_end(request.headers)
            if name.lower() not in replaced
        ]
        remaining_ms = max(1, int((deadline_s - clock_lib.elapsed_s()) * 1000.0))
        headers.append((self._names.time_left_ms, str(remaining_ms).encode()))
        headers.append((self._names.expected_server, server_id.encode()))
        return messages.Request(
            method=request.method, target=request.target, headers=headers, body=request.body
        )

    def _classify(
        self,
        request: messages.Request,
        response: messages.Response,
        elapsed_s: float,
        first_exchange: bool,
    ) -> AttemptResult:
        """Classifies a response.

        A response counts as that of the server itself only if it has a signature header, repeats
        the id of the request and has no content encoding.
        """
        sent_id = request.header(self._names.request_id)
        echoed_id = response.header(self._names.request_id)
        # On a reused connection, a response without an id may belong to an earlier request.
        id_matches = echoed_id == sent_id or (echoed_id is None and first_exchange)
        marked_not_run = response.header(self._names.not_run) is not None
        if (marked_not_run or response.status == STATUS_MISDIRECTED) and id_matches:
            return AttemptResult(
                outcome=Outcome.REJECTED,
                response=response,
                elapsed_s=elapsed_s,
                reason=f"status {response.status}",
            )
        signed = response.header(self._names.signature) is not None
        encoded = response.header(b"content-encoding") is not None
        if not signed or encoded or echoed_id != sent_id:
            return AttemptResult(
                outcome=Outcome.INVALID,
                response=response,
                elapsed_s=elapsed_s,
                reason=(
                    f"status {response.status}, signed {signed}, encoded {encoded},"
                    f" id matches {echoed_id == sent_id}"
                ),
            )
        return AttemptResult(outcome=Outcome.ANSWERED, response=response, elapsed_s=elapsed_s)

"""HTTP client for backend servers, with connection pools, deadlines and health probes."""

import asyncio
import dataclasses
import enum
import time

import aiohttp
import structlog

from sassafrasway_core import model
from sassafrasway_entry import messages

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Limits of the time for one attempt at an idempotent request, in seconds and as a fraction of the
# remaining time; the lower one applies. After it, the connection counts as silent: open, but
# without any data from the server. Time is left for another attempt. Other requests cannot be
# retried after a timeout and are limited by their deadline only.
RESPONSE_TIMEOUT_S = 2.0
RESPONSE_FRACTION = 0.6

DEADLINE_HEADER = "Sassafras-Deadline-Ms"
REQUEST_ID_HEADER = "Sassafras-Request-Id"
SHED_HEADER = "Sassafras-Shed"
LOAD_HEADER = "Sassafras-Load"
STATE_HEADER = "Sassafras-State"

# Headers of requests and responses that are not passed on: hop-by-hop headers, headers that the
# HTTP library sets for each message, and the encoding of the body.
_DROPPED_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "content-encoding",
        "date",
        "server",
    )
)


class CallResult(enum.Enum):
    """How a call to a backend server ended."""

    OK = "ok"
    SHED = "shed"  # the server refused the request because of its load
    NOT_SENT = "not_sent"  # the request was not sent, so the server has not received it
    LOST = "lost"  # the response is incomplete: the connection broke, or the body was too large
    TIMEOUT = "timeout"  # the request was sent, but the response was not complete in time


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendResponse:
    """Result of a call.

    Attributes:
        status: Status code; set when the result is ``OK`` or ``SHED``.
        headers: Headers of the response that are passed on to the caller.
        load: Number of slots in use that the server reported, or None.
        leaving: Whether the server reported that it is leaving.
        detail: Description of a failure; empty when the result is ``OK`` or ``SHED``.
    """

    result: CallResult
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    load: int | None = None
    leaving: bool = False
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """Result of a health check.

    ``healthy`` means that the server responded in time with status 200, and ``leaving`` that it
    reported that it is leaving.
    """

    healthy: bool
    leaving: bool = False


class BackendClient:
    """Calls backend servers, with connection pools for each server.

    Idempotent requests reuse connections. Every non-idempotent request opens a new connection,
    because a reused one may have been closed or gone silent, which makes the outcome unknown.
    Connections are opened from the IP address ``local_host``.
    """

    def __init__(self, *, local_host: str):
        self._local_host = local_host
        self._keep_alive: dict[str, aiohttp.ClientSession] = {}
        self._single_use: dict[str, aiohttp.ClientSession] = {}
        self._close_tasks: set[asyncio.Task] = set()
        self._log = structlog.get_logger("backend_client")

    async def close(self) -> None:
        """Closes all connections."""
        sessions = [*self._keep_alive.values(), *self._single_use.values()]
        self._keep_alive.clear()
        self._single_use.clear()
        for session in sessions:
            await session.close()

    async def call(
        self,
        server: model.BackendServer,
        request: messages.Request,
        *,
        idempotent: bool,
        timeout_s: float,
    ) -> BackendResponse:
        """Sends a request and returns the complete response.

        A failed call raises no exception; ``result`` of the returned response tells how it ended.
        ``timeout_s`` is the time until the deadline of the request. An attempt at an idempotent
        request gets less of it, see ``RESPONSE_TIMEOUT_S``. The server receives the timeout of the
        attempt as its deadline, so that it stops work on a request that was given up and may be
        retried on another server.
        """
        session = self._session(server, reuse=idempotent)
        started_s = time.monotonic()
        headers_sent = asyncio.Event()
        limit_s = timeout_s
        if idempotent:
            limit_s = min(timeout_s * RESPONSE_FRACTION, RESPONSE_TIMEOUT_S)
        try:
            async with asyncio.timeout(limit_s):
                return await self._exchange(session, server, request, limit_s, headers_sent)
        except TimeoutError:
            self._replace_session(server, waited_s=time.monotonic() - started_s)
            result = CallResult.TIMEOUT if headers_sent.is_set() else CallResult.NOT_SENT
            return BackendResponse(result=result, detail=f"no response within {limit_s:.3f} s")
        except aiohttp.ClientConnectorError as error:
            return BackendResponse(result=CallResult.NOT_SENT, detail=str(error))
        except aiohttp.ClientError as error:
            return BackendResponse(result=CallResult.LOST, detail=repr(error))
        except OSError as error:
            result = CallResult.LOST if headers_sent.is_set() else CallResult.NOT_SENT
            return BackendResponse(result=result, detail=repr(error))

    async def probe(self, server: model.BackendServer, *, timeout_s: float) -> Probe:
        """Checks the health of a server on a new connection."""
        session = self._session(server, reuse=False)
        try:
            timeout = aiohttp.ClientTimeout(total=timeout_s)
            async with session.get(f"{server.url}/healthz", timeout=timeout) as response:
                leaving = response.headers.get(STATE_HEADER) == "leaving"
                return Probe(healthy=response.status == 200, leaving=leaving)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return Probe(healthy=False)

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        server: model.BackendServer,
        request: messages.Request,
        timeout_s: float,
        headers_sent: asyncio.Event,
    ) -> BackendResponse:
        headers = [pair for pair in request.headers if pair[0].lower() not in _DROPPED_HEADERS]
        headers.append((DEADLINE_HEADER, str(max(1, int(timeout_s * 1000)))))
        headers.append((REQUEST_ID_HEADER, request.request_id))
        async with session.request(
            request.method,
            server.url + request.path,
            data=request.body or None,
            headers=headers,
            allow_redirects=False,
            trace_request_ctx=headers_sent,
        ) as response:
            body = await response.content.read(MAX_RESPONSE_BYTES + 1)
            while not response.content.at_eof():
                body += await response.content.read(MAX_RESPONSE_BYTES + 1 - len(body))
                if len(body) > MAX_RESPONSE_BYTES:
                    response.close()
                    return BackendResponse(
                        result=CallResult.LOST,
                        detail=f"response is larger than {MAX_RESPONSE_BYTES} bytes",
                    )
            return self._read_response(response, body)

    def _read_response(self, response: aiohttp.ClientResponse, body: bytes) -> BackendResponse:
        load = response.headers.get(LOAD_HEADER, "")
        shed = response.status == 503 and response.headers.get(SHED_HEADER) == "1"
        return BackendResponse(
            result=CallResult.SHED if shed else CallResult.OK,
            status=response.status,
            headers=tuple(
                pair for pair in response.headers.items() if pair[0].lower() not in _DROPPED_HEADERS
            ),
            body=body,
            load=int(load) if load.isdecimal() else None,
            leaving=response.headers.get(STATE_HEADER) == "leaving",
        )

    def _session(self, server: model.BackendServer, *, reuse: bool) -> aiohttp.ClientSession:
        sessions = self._keep_alive if reuse else self._single_use
        session = sessions.get(server.url)
        if session is None:
            session = self._new_session(server, reuse=reuse)
            sessions[server.url] = session
        return session

    def _new_session(self, server: model.BackendServer, *, reuse: bool) -> aiohttp.ClientSession:
        connection_options = (
            {"force_close": True} if not reuse else {"keepalive_timeout": IDLE_TIMEOUT_S}
        )
        connector = aiohttp.TCPConnector(
            limit=server.connections,
            local_addr=(self._local_host, 0),
            **connection_options,
        )
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_mark_headers_sent)
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            trace_configs=[trace],
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )
        # aiohttp retries an idempotent method such as GET, PUT or DELETE once when a reused
        # connection breaks. That would send the request twice outside the retry budget and hide a
        # crash of the server.
        session._retry_connection = False
        return session

    def _replace_session(self, server: model.BackendServer, *, waited_s: float) -> None:
        """Stops reusing the open connections to a server after a request got no response."""
        session = self._keep_alive.pop(server.url, None)
        if session is None:
            return
        self._log.info(
            "connections to the server replaced after a timeout",
            server=server.name,
            waited_s=round(waited_s, 3),
        )
        task = asyncio.create_task(_close_after_delay(session))
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)


async def _close_after_delay(session: aiohttp.ClientSession) -> None:
    # Requests on the other connections of the session may still get their responses.
    await asyncio.sleep(RESPONSE_TIMEOUT_S)
    await session.close()


async def _mark_headers_sent(session, context, params) -> None:
    event = context.trace_request_ctx
    if event is not None:
        event.set()

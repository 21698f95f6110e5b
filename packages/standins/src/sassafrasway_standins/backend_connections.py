"""HTTP connections of a simulated backend server: aborts, tracks and silences them."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

MAX_BODY_BYTES = 16 * 1024 * 1024
KEEPALIVE_S = 600.0  # entry instances close idle connections earlier, after 5 s


class RefusingProtocol(asyncio.Protocol):
    """Aborts a connection that exceeds the connection limit."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        transport.abort()


class HttpServer(web.Server):
    """aiohttp server that tracks new and silent connections.

    A silent connection stays open, but its requests are never answered. Methods take a connection
    as its aiohttp protocol object, ``request.protocol``.
    """

    def __init__(self, handler: Callable[[web.BaseRequest], Any]):
        super().__init__(
            handler,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )
        self._used_connections: set[Any] = set()
        self._silent_connections: set[Any] = set()

    def connection_lost(self, handler: Any, exc: BaseException | None = None) -> None:
        """See base class."""
        super().connection_lost(handler, exc)
        self._used_connections.discard(handler)
        self._silent_connections.discard(handler)

    def silence(self) -> None:
        """Makes all open connections silent permanently."""
        self._silent_connections.update(self.connections)

    def is_silent(self, connection: Any) -> bool:
        """Whether a connection is silent."""
        return connection in self._silent_connections

    def is_new(self, connection: Any) -> bool:
        """Whether a connection has not carried a request yet."""
        return connection not in self._used_connections

    def mark_used(self, connection: Any) -> None:
        """Records that a connection has carried a request."""
        self._used_connections.add(connection)

    def abort_connections(self) -> None:
        """Aborts all open connections."""
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.abort()

    def _make_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=MAX_BODY_BYTES
        )

"""HTTP/1.1 server that reads complete requests and writes complete responses.

Its clients are callers, the platform's probes, other instances and the collector of the metrics.
"""

import asyncio

from sassafrasway_gateway import memory_budget, request_handler, server_connection

BACKLOG = 1024
# Number of times that the event loop accepts waiting connections before the server stops listening.
MAX_ACCEPT_PASSES = 20


class HttpServer:
    """Listens on one address and passes all requests to one handler.

    ``budget`` limits the memory of requests and responses; None if only their sizes are limited.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: request_handler.Handler,
        budget: memory_budget.MemoryBudget | None = None,
    ):
        self.budget = budget
        self._host = host
        self._port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[server_connection.ServerConnection] = set()
        self._draining = False
        self._refuses_new = False

    @property
    def draining(self) -> bool:
        """Whether responses ask clients to close their connections."""
        return self._draining

    @property
    def refuses_new(self) -> bool:
        """Whether requests that have not been started are refused."""
        return self._refuses_new

    @property
    def port(self) -> int:
        """Port in use, also if it was chosen by the system."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def busy(self) -> int:
        """Number of connections with a request or a response that is not complete."""
        return sum(1 for connection in self._connections if connection.busy)

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: server_connection.ServerConnection(handler=self._handler, server=self),
            self._host,
            self._port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def drain(self) -> None:
        """Asks clients in all further responses to close their connections."""
        self._draining = True

    async def accept_waiting(self) -> None:
        """Accepts the connections that the system has already opened for their clients.

        Closing the listening socket would reset them together with the requests in them.
        """
        for _ in range(MAX_ACCEPT_PASSES):
            if self._server is None or not self._server.sockets:
                return
            if not server_connection.has_unread_input(self._server.sockets[0]):
                return
            await asyncio.sleep(0)

    def stop_listening(self) -> None:
        """Stops accepting connections and closes the idle ones."""
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def refuse_new(self) -> None:
        """Refuses all requests from now on that have not been started."""
        self._refuses_new = True

    def close_idle(self) -> None:
        """Closes the connections without a request; others may have become idle since."""
        for connection in list(self._connections):
            connection.close_when_idle()

    def on_open(self, connection: server_connection.ServerConnection) -> None:
        """Registers a connection."""
        self._connections.add(connection)

    def on_close(self, connection: server_connection.ServerConnection) -> None:
        """Removes a connection."""
        self._connections.discard(connection)

"""RPC clients of other entry instances, one connection per instance."""

import types
from collections.abc import Callable, Mapping
from typing import Any

from sassafrasway_rpc import client, schema

# Maximum number of open connections. Above it, the least recently used one is closed, because that
# peer is rarely called.
MAX_CLIENTS = 4096


def _merge(*services: Any) -> types.SimpleNamespace:
    """Combines the methods of several Thrift services in one object, for a shared client."""
    merged: dict[str, Any] = {}
    for service in services:
        for method in service.thrift_services:
            if f"{method}_args" in merged:
                raise ValueError(f"method {method} is defined by two services")
            for suffix in ("args", "result"):
                merged[f"{method}_{suffix}"] = getattr(service, f"{method}_{suffix}")
    return types.SimpleNamespace(**merged)


PEER_METHODS = _merge(schema.control.Control, schema.forward.Forward, schema.config.Config)


class Peers:
    """Calls other instances by their advertised RPC address.

    Args:
        address_map: Addresses to connect to by advertised address, for networks with NAT. An
            address that is not in it is used as it is.
    """

    def __init__(self, *, address_map: Mapping[str, str] | None = None):
        self._address_map = dict(address_map or {})
        self._clients: dict[str, client.RpcClient] = {}
        self._on_refused: Callable[[str], None] | None = None

    def listen_for_refusals(self, listener: Callable[[str], None]) -> None:
        """Sets the function that is called with the address when a peer refuses a connection."""
        self._on_refused = listener

    async def call(
        self, address: str, method: str, *, timeout_s: float = 2.0, **arguments: Any
    ) -> Any:
        """Calls a method of the Control, Forward or Config service of a peer.

        ``address`` is the RPC address that the peer advertises, ``host:port``.

        Raises:
            client.ConnectionRefusedByPeerError: No process listens at the address.
            client.CallNotSentError: The peer was not reached; it has not received the call.
            errors.UnavailableError: The peer did not answer, or reported that it cannot serve the
                call; it may have received the call.
            errors.SassafraswayError: The peer reported an error.
        """
        # Inserting the client again at the end keeps the clients in order of their last use.
        peer = self._clients.pop(address, None)
        if peer is None:
            target = self._address_map.get(address, address)
            peer = client.RpcClient(address=target, service=PEER_METHODS)
        self._clients[address] = peer
        if len(self._clients) > MAX_CLIENTS:
            await self.disconnect(next(iter(self._clients)))
        try:
            return await peer.call(method, timeout_s=timeout_s, **arguments)
        except client.ConnectionRefusedByPeerError:
            if self._on_refused is not None:
                self._on_refused(address)
            raise

    async def disconnect(self, address: str) -> None:
        """Closes the connection to a peer; the next call opens a new one."""
        peer = self._clients.pop(address, None)
        if peer is not None:
            await peer.close()

    async def close(self) -> None:
        """Closes all connections."""
        for address in list(self._clients):
            await self.disconnect(address)

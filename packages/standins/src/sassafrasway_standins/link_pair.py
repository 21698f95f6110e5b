"""Relayed connections between two instances, which can be delayed, cut or silenced.

Each direction of a connection is a queue of chunks. A chunk is due one network delay after it
arrived, so that the delay does not reduce the throughput of pipelined data. While a direction is
cut its chunks stay queued, because TCP would retransmit them after the cut.
"""

import asyncio
import collections
import dataclasses
import random
import time
from collections.abc import Mapping
from typing import Any

from sassafrasway_standins import network

MAX_QUEUED_BYTES = 32 * 1024 * 1024  # per direction of a connection; about 4,000 Mbit/s for 60 ms
BUCKET_S = 0.1
TIMER_TOLERANCE_S = 0.0005  # uvloop timers have 1 ms resolution; avoids waiting one tick too long
MATCH_ALL = "*"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceLocation:
    """Name, region and failure domain of an instance."""

    name: str
    region: str
    failure_domain: str

    def matches(self, selector: str) -> bool:
        """Whether a selector (instance, failure domain, region or ``*``) matches the instance."""
        return selector in (MATCH_ALL, self.name, self.region, self.failure_domain)


class ByteCounter:
    """Counts the bytes on each link by 100 ms interval of monotonic time.

    A link leads from one region to another or, for two instances of one region, to the same region.
    """

    def __init__(self):
        self._buckets: dict[str, collections.Counter[int]] = {}

    def add(self, source: InstanceLocation, target: InstanceLocation, count: int) -> None:
        """Counts bytes that are sent from the source to the target now."""
        link = f"{source.region}>{target.region}"
        buckets = self._buckets.setdefault(link, collections.Counter())
        buckets[int(time.monotonic() / BUCKET_S)] += count

    def as_json(self) -> dict[str, list[tuple[float, int]]]:
        """Returns (interval start in monotonic seconds, bytes) pairs by link, ``source>target``."""
        return {
            link: [(index * BUCKET_S, count) for index, count in sorted(buckets.items())]
            for link, buckets in self._buckets.items()
        }


class _Direction:
    """Queue of delayed chunks for one direction of a connection."""

    def __init__(self, *, delay_ms: float, rng: random.Random):
        self.is_cut = False
        self._delay_ms = delay_ms
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        # Data cannot be sent before the TCP handshake, which takes one round trip.
        self._handshake_end_s = self._loop.time() + 2 * delay_ms / 1000
        self._chunks: collections.deque[tuple[float, bytes | None]] = collections.deque()
        self._queued_bytes = 0
        self._source: asyncio.Transport | None = None
        self._sink: asyncio.Transport | None = None
        self._sink_is_full = False
        self._timer: asyncio.TimerHandle | None = None

    def set_source(self, source: asyncio.Transport) -> None:
        """Sets the transport that is read; reading pauses while too much data is queued."""
        self._source = source

    def set_sink(self, sink: asyncio.Transport) -> None:
        self._sink = sink
        self.flush()

    def set_sink_full(self, is_full: bool) -> None:
        self._sink_is_full = is_full
        self.flush()

    def push(self, chunk: bytes | None) -> None:
        """Queues a chunk; None closes the sink once the chunks before it are delivered."""
        delay_ms = network.randomly_rounded_ms(self._delay_ms, self._rng)
        due_s = max(self._loop.time(), self._handshake_end_s) + delay_ms / 1000
        if self._chunks:
            due_s = max(due_s, self._chunks[-1][0])
        self._chunks.append((due_s, chunk))
        self._queued_bytes += len(chunk or b"")
        if self._queued_bytes > MAX_QUEUED_BYTES and self._source is not None:
            self._source.pause_reading()
        self.flush()

    def flush(self) -> None:
        """Delivers the chunks that are due and sets a timer for the next one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.is_cut or self._sink is None:
            return
        while self._chunks and not self._sink_is_full:
            due_s, chunk = self._chunks[0]
            if due_s > self._loop.time() + TIMER_TOLERANCE_S:
                self._timer = self._loop.call_at(due_s, self.flush)
                return
            self._chunks.popleft()
            self._deliver(chunk)

    def stop(self) -> None:
        """Discards all chunks and stops delivery permanently."""
        self.is_cut = True
        self._chunks.clear()
        self.flush()

    def _deliver(self, chunk: bytes | None) -> None:
        if chunk is None:
            self._sink.close()
            return
        if not self._sink.is_closing():
            self._sink.write(chunk)
        was_full = self._queued_bytes > MAX_QUEUED_BYTES
        self._queued_bytes -= len(chunk)
        if was_full and self._queued_bytes <= MAX_QUEUED_BYTES and not self._source.is_closing():
            self._source.resume_reading()


class _RelayProtocol(asyncio.Protocol):
    """Protocol of one socket, which is the source of ``outgoing`` and the sink of ``incoming``."""

    def __init__(self, *, connection: "_Connection", outgoing: _Direction, incoming: _Direction):
        self._connection = connection
        self._outgoing = outgoing
        self._incoming = incoming

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._outgoing.set_source(transport)
        self._incoming.set_sink(transport)
        self._connection.socket_opened(transport)

    def data_received(self, data: bytes) -> None:
        self._connection.received(self._outgoing, data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection.received(self._outgoing, None)
        self._connection.socket_closed()

    def pause_writing(self) -> None:
        self._incoming.set_sink_full(True)

    def resume_writing(self) -> None:
        self._incoming.set_sink_full(False)


class _Connection:
    """A relayed connection: the accepted socket and the socket to the target."""

    def __init__(self, *, pair: "Pair", delay_ms: float, rng: random.Random):
        self._pair = pair
        self._forward = _Direction(delay_ms=delay_ms, rng=rng)
        self._backward = _Direction(delay_ms=delay_ms, rng=rng)
        self._transports: list[asyncio.Transport] = []
        self._open_sockets = 0
        self._is_silent = False
        self._healed = asyncio.Event()
        self._connecting: asyncio.Task[None] | None = None
        self._delay_s = delay_ms / 1000
        self.apply_cuts()

    def accept(self) -> asyncio.Protocol:
        return _RelayProtocol(connection=self, outgoing=self._forward, incoming=self._backward)

    def socket_opened(self, transport: asyncio.Transport) -> None:
        """Handles a new socket; after the accepted one it starts connecting to the target."""
        self._transports.append(transport)
        self._open_sockets += 1
        if len(self._transports) == 1:
            self._connecting = asyncio.create_task(self._connect())

    def received(self, direction: _Direction, chunk: bytes | None) -> None:
        """Handles data from one socket, or its end if ``chunk`` is None."""
        if self._is_silent:
            return
        if chunk is not None:
            self._pair.count_bytes(chunk, forward=direction is self._forward)
        direction.push(chunk)

    def socket_closed(self) -> None:
        self._open_sockets -= 1
        self._discard_if_closed()

    def silence(self) -> None:
        """Stops relaying permanently while both sockets stay open."""
        self._is_silent = True
        self._forward.stop()
        self._backward.stop()

    def abort(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
        for transport in self._transports:
            transport.abort()

    def apply_cuts(self) -> None:
        if self._is_silent:
            return
        self._forward.is_cut = self._pair.forward_cut
        self._backward.is_cut = self._pair.backward_cut
        if not self._pair.is_cut:
            self._healed.set()
        else:
            self._healed.clear()
        self._forward.flush()
        self._backward.flush()

    async def _connect(self) -> None:
        """Connects once the delay and all cuts are over; a failure resets the accepted socket."""
        await asyncio.sleep(self._delay_s)
        await self._healed.wait()
        try:
            await self._pair.connect(
                _RelayProtocol(connection=self, outgoing=self._backward, incoming=self._forward)
            )
        except OSError:
            for transport in self._transports:
                transport.abort()
        finally:
            self._connecting = None
            self._discard_if_closed()

    def _discard_if_closed(self) -> None:
        # A source may send data and close before the connection to the target exists.
        if self._open_sockets == 0 and self._connecting is None:
            self._pair.discard(self)


class Pair:
    """Relays connections from one source instance to one target instance.

    Args:
        data: Entry of the settings file: ``source`` and ``target`` (name, region, failure_domain),
            ``listen`` and ``connect`` (``host:port``).

    Attributes:
        target_refuses: Set when the target refuses a connection; pairs with the same target may
            share the event.
    """

    def __init__(
        self,
        *,
        data: Mapping[str, Any],
        delays: network.Delays,
        counter: ByteCounter,
        rng: random.Random,
    ):
        self.source = InstanceLocation(**data["source"])
        self.target = InstanceLocation(**data["target"])
        self.target_address: str = data["connect"]
        self.forward_cut = False
        self.backward_cut = False
        self.target_refuses = asyncio.Event()
        self._listen = network.split_address(data["listen"])
        self._connect = network.split_address(data["connect"])
        self._delay_ms = delays.one_way_ms(self._listen[0], self._connect[0])
        self._counter = counter
        self._rng = rng
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    @property
    def is_cut(self) -> bool:
        """Whether a direction is cut, so that no connection to the target can be established."""
        return self.forward_cut or self.backward_cut

    @property
    def connection_count(self) -> int:
        """Number of relayed connections."""
        return len(self._connections)

    async def listen(self, is_listening: bool) -> None:
        """Opens or closes the listening socket.

        Raises:
            OSError: The address is invalid or in use.
        """
        if is_listening and self._server is None:
            loop = asyncio.get_running_loop()
            host, port = self._listen
            self._server = await loop.create_server(self._accept, host, port, backlog=512)
        elif not is_listening and self._server is not None:
            self._server.close()
            self._server = None

    async def connect(self, protocol: asyncio.Protocol) -> None:
        """Connects to the target from the address of the source.

        Raises:
            OSError: The target cannot be reached.
        """
        loop = asyncio.get_running_loop()
        host, port = self._connect
        local = (self._listen[0], 0)
        try:
            await loop.create_connection(lambda: protocol, host, port, local_addr=local)
        except ConnectionRefusedError:
            self.target_refuses.set()
            raise

    def set_cuts(self, *, forward: bool, backward: bool) -> None:
        """Cuts or heals each direction."""
        self.forward_cut, self.backward_cut = forward, backward
        for connection in list(self._connections):
            connection.apply_cuts()

    def silence(self) -> None:
        """Makes all open connections silent permanently."""
        for connection in self._connections:
            connection.silence()

    def count_bytes(self, chunk: bytes, *, forward: bool) -> None:
        """Counts the bytes of a chunk that is relayed in one direction."""
        ends = (self.source, self.target) if forward else (self.target, self.source)
        self._counter.add(*ends, len(chunk))

    def discard(self, connection: _Connection) -> None:
        """Removes a connection whose sockets are both closed."""
        self._connections.discard(connection)

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        await self.listen(False)
        for connection in list(self._connections):
            connection.abort()

    def _accept(self) -> asyncio.Protocol:
        connection = _Connection(pair=self, delay_ms=self._delay_ms, rng=self._rng)
        self._connections.add(connection)
        return connection.accept()

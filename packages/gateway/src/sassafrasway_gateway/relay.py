"""Transfers rows of followed tables between instances, over HTTP."""

import asyncio
import math
import urllib.parse
import zlib
from collections.abc import Callable
from typing import Annotated

import msgspec

from sassafrasway_core import errors
from sassafrasway_gateway import (
    http_client,
    memory_budget,
    messages,
    request_handler,
    settings,
    table_cache,
)
from sassafrasway_platform import feed, table

# An aborted transfer wastes the bandwidth of a slow link, so each timeout doubles the next one.
INITIAL_FETCH_TIMEOUT_S = 0.8
MAX_FETCH_TIMEOUT_S = 2.0
# A larger table is not unpacked, whatever the size of its compressed form.
MAX_TABLE_BYTES = 8 * 1024 * 1024
# Number of encoded responses kept for other instances that ask for the same changes.
MAX_ENCODED_RESPONSES = 8
# The grace in a response is rounded up to this step, so that responses can be shared.
GRACE_STEP_MS = 250


class RelayedRow(msgspec.Struct, array_like=True, frozen=True):
    """Wire format of one row; the value of a deleted row is None."""

    key: str
    value: bytes | None
    version: int


class RelayedTable(msgspec.Struct, array_like=True, frozen=True):
    """Wire format of the rows of a table: all rows if ``full``, otherwise only changes.

    Attributes:
        grace_ms: Time for which rows that are missing may still come back, as the store was away,
            ms.
    """

    rows: list[RelayedRow]
    version: int
    full: bool
    grace_ms: Annotated[int, msgspec.Meta(ge=0)] = 0


_DECODER = msgspec.msgpack.Decoder(RelayedTable)


def _decode(compressed: bytes) -> RelayedTable:
    """Unpacks a table that another instance sent.

    Raises:
        errors.ValidationError: The data is not a table, or exceeds ``MAX_TABLE_BYTES``.
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(compressed, MAX_TABLE_BYTES)
        if not unpacker.eof:
            raise errors.ValidationError("table incomplete or too large", step="relay.decode")
        return _DECODER.decode(data)
    except (zlib.error, msgspec.DecodeError, ValueError, RecursionError) as error:
        raise errors.ValidationError(str(error), step="relay.decode") from error


class RelayHandler(request_handler.Handler):
    """Serves the cached tables, given by name, to other instances.

    ``grace_left_s`` returns the time for which missing rows of a table may still come back.
    """

    def __init__(
        self,
        *,
        caches: dict[str, table_cache.TableCache],
        grace_left_s: Callable[[str], float] = lambda table_name: 0.0,
    ):
        self._caches = caches
        self._grace_left_s = grace_left_s
        # Encoded response bodies by path, version to start from, version of the table and grace.
        # All instances of a region usually request the same changes at about the same time.
        self._encoded: dict[tuple[str, int, int, int], bytes] = {}

    async def handle(self, request: messages.Request) -> messages.Response:
        """See base class."""
        path, _, query = request.target.decode("latin-1").partition("?")
        table_name = path.removeprefix("/tables/")
        cache = self._caches.get(table_name)
        values = dict(urllib.parse.parse_qsl(query))
        try:
            after = int(values.get("after", "-1"))
        except ValueError:
            return request_handler.text_response(400, "after must be a number")
        if cache is None:
            return request_handler.text_response(404, "unknown table")
        if cache.version < 0:
            return request_handler.text_response(503, "not read yet")
        headers = [
            (b"Content-Type", b"application/msgpack"),
            (b"Content-Encoding", b"deflate"),
        ]
        grace_steps = math.ceil(self._grace_left_s(table_name) * 1000.0 / GRACE_STEP_MS)
        body = self._encode(path, cache, after, grace_steps * GRACE_STEP_MS)
        return messages.Response(status=200, headers=headers, body=body)

    def _encode(self, path: str, cache: table_cache.TableCache, after: int, grace_ms: int) -> bytes:
        key = (path, after, cache.version, grace_ms)
        body = self._encoded.get(key)
        if body is not None:
            return body
        changes = cache.since(after) if after >= 0 else None
        full = changes is None
        if full:
            changes = cache.snapshot()
        rows = [RelayedRow(row.key, row.value, row.version) for row in changes.rows]
        # Uncompressed, a large policy for a whole region would saturate a small instance's link.
        relayed = RelayedTable(rows, changes.version, full, grace_ms)
        body = zlib.compress(msgspec.msgpack.encode(relayed))
        while len(self._encoded) >= MAX_ENCODED_RESPONSES:
            self._encoded.pop(next(iter(self._encoded)))
        self._encoded[key] = body
        return body


class RelayClient:
    """Fetches tables from other instances, which all serve them on the same port."""

    def __init__(self, *, port: int, budget: memory_budget.MemoryBudget | None = None):
        self._port = port
        self._pool = http_client.ConnectionPool(budget=budget)
        self._timeout_s = INITIAL_FETCH_TIMEOUT_S

    async def fetch(self, host: str, table_name: str, *, after: int) -> RelayedTable:
        """Returns the changes after a version, or the whole table if they are unavailable.

        With -1 for ``after``, the result is the whole table.

        Raises:
            table.StoreUnavailable: The instance returned no valid response.
        """
        request = messages.Request(
            method=b"GET",
            target=f"/tables/{table_name}?after={after}".encode(),
            headers=[(b"Host", host.encode())],
        )
        address = settings.Address(host=host, port=self._port)
        try:
            async with asyncio.timeout(self._timeout_s):
                connection = await self._pool.acquire(host, self._port)
                try:
                    response = await connection.exchange(request)
                finally:
                    self._pool.release(host, self._port, connection)
            if response.status == 200:
                self._timeout_s = INITIAL_FETCH_TIMEOUT_S
                return _decode(response.body)
            reason = f"unexpected HTTP status {response.status}"
        except TimeoutError as error:
            # The other idle connections to this instance may have stalled too.
            self._pool.drop(host, self._port)
            self._timeout_s = min(MAX_FETCH_TIMEOUT_S, self._timeout_s * 2.0)
            reason = repr(error)
        except (
            errors.ValidationError,
            http_client.ConnectError,
            http_client.ExchangeError,
        ) as error:
            reason = repr(error)
        raise table.StoreUnavailable(reason, step="relay.fetch", peer=str(address))


def to_changes(relayed: RelayedTable) -> feed.Changes:
    """Converts relayed rows to changes of the table."""
    rows = [feed.Change(key=row.key, value=row.value, version=row.version) for row in relayed.rows]
    return feed.Changes(rows=rows, version=relayed.version)

"""Stand-in for the platform: table service, object store and instance list in one HTTP process.

All data is kept in memory. Injected faults and the contents of the instance list are set through
the control endpoint, which is not affected by the faults.
"""

import asyncio
import base64
import binascii
import collections
import dataclasses
import itertools
import random
from collections.abc import Mapping, Sequence
from typing import Any

import click
import uvloop
from aiohttp import web

from sassafrasway_standins import network

MAX_BODY_BYTES = 64 * 1024 * 1024
ALL_WRITES = -1  # value of ``Faults.lose_answers``


class PreconditionFailedError(Exception):
    """A row does not have the state or version that a conditional write requires."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """A row of the table service."""

    key: str
    value: bytes
    version: str

    def as_json(self) -> dict[str, str]:
        """Returns the JSON form used in the responses to scans and transactions."""
        value = base64.b64encode(self.value).decode()
        return {"key": self.key, "value_base64": value, "version": self.version}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """A write with an optional condition.

    Attributes:
        if_version: Version that the row must have; None for no condition on the version.
        if_absent: Whether the row must not exist yet.
    """

    key: str
    value: bytes
    if_version: str | None = None
    if_absent: bool = False


class Table:
    """Versioned rows with conditional writes and multi-row transactions."""

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._versions = itertools.count(1)

    def get(self, key: str) -> Row | None:
        """Returns a row or None."""
        return self._rows.get(key)

    def scan(self, prefix: str) -> list[Row]:
        """Returns the rows whose key starts with ``prefix``, ordered by key."""
        return [self._rows[key] for key in sorted(self._rows) if key.startswith(prefix)]

    def write(self, writes: Sequence[Write]) -> list[Row]:
        """Applies all writes atomically and returns the written rows in the order of the writes.

        Raises:
            PreconditionFailedError: A condition does not hold; nothing was written.
            ValueError: Two writes have the same key.
        """
        if len({write.key for write in writes}) != len(writes):
            raise ValueError("a transaction must not write the same key twice")
        for write in writes:
            self._check_condition(write)
        rows = []
        for write in writes:
            row = Row(key=write.key, value=write.value, version=str(next(self._versions)))
            self._rows[write.key] = row
            rows.append(row)
        return rows

    def _check_condition(self, write: Write) -> None:
        row = self._rows.get(write.key)
        if write.if_absent and row is not None:
            raise PreconditionFailedError(f"{write.key} already exists")
        if write.if_version is not None and (row is None or row.version != write.if_version):
            raise PreconditionFailedError(f"{write.key} does not have the required version")


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Injected faults, set by ``POST /control``.

    All but ``instances_down`` apply to the table service and the object store.

    Attributes:
        down: ``""`` (up), ``"refuse"`` (status 503) or ``"hang"`` (requests wait until the outage
            ends, then their connection is aborted).
        down_sources: Prefixes of the source addresses that ``down`` affects; empty for all.
        slow_ms: Latency added to each request, in milliseconds.
        lose_answers: Number of further writes that are applied but not answered: their connection
            is aborted instead; -1 for all writes.
        instances_down: Whether the instance list answers with status 503.
    """

    down: str = ""
    down_sources: tuple[str, ...] = ()
    slow_ms: float = 0.0
    lose_answers: int = 0
    instances_down: bool = False

    def change(self, data: Mapping[str, Any]) -> None:
        """Sets the faults given in ``data``; other faults keep their values.

        ``down`` may also be true (``"refuse"``), false or null (both ``""``), and ``lose_answers``
        may be true (all writes) or false (none).

        Raises:
            ValueError: The name of a fault or the value of ``down`` is unknown. The faults before
                it in ``data`` have been set.
        """
        for name, value in data.items():
            if name not in self.__slots__:
                raise ValueError(f"unknown fault {name!r}")
            if name == "down":
                value = {True: "refuse", False: "", None: ""}.get(value, value)
                if value not in ("", "refuse", "hang"):
                    raise ValueError('fault "down" must be "refuse", "hang", "", a boolean or null')
            if name == "down_sources":
                value = tuple(value)
            if name == "lose_answers" and isinstance(value, bool):
                value = ALL_WRITES if value else 0
            setattr(self, name, value)

    def is_down_for(self, source: str) -> bool:
        """Whether requests from a source address are affected by ``down``."""
        if not self.down:
            return False
        return not self.down_sources or source.startswith(self.down_sources)


class InstanceList:
    """Instance list whose changes become visible to readers after a lag."""

    def __init__(self):
        self._visible: list[dict[str, str]] = []
        self._pending: collections.deque[tuple[float, list[dict[str, str]]]] = collections.deque()

    def set(self, entries: list[dict[str, str]], *, visible_at_s: float) -> None:
        """Sets the contents that readers see from ``visible_at_s`` (event loop time) on.

        Changes become visible in the order in which they were set: an earlier change with a later
        time delays this one.
        """
        self._pending.append((visible_at_s, entries))

    def visible(self, now_s: float) -> list[dict[str, str]]:
        """Returns the contents that a reader sees at ``now_s`` (event loop time)."""
        while self._pending and self._pending[0][0] <= now_s:
            self._visible = self._pending.popleft()[1]
        return self._visible


class Store:
    """HTTP server of the stand-in.

    Args:
        address: IP address of the server, used to determine the delay of each source address.
        delays: Network delays added to requests and responses.
    """

    def __init__(self, *, address: str = "127.0.0.1", delays: network.Delays | None = None):
        self._address = address
        self._delays = delays or network.Delays()
        self._rng = random.Random(0)
        self._table = Table()
        self._objects: dict[str, bytes] = {}
        self._instances = InstanceList()
        self._faults = Faults()
        self._counts: collections.Counter[str] = collections.Counter()
        self._faults_changed = asyncio.Event()

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._add_network_faults]
        )
        app.add_routes(
            [
                web.get("/table", self._scan),
                web.get("/table/{key:.+}", self._get_row),
                web.put("/table/{key:.+}", self._put_row),
                web.post("/table-transactions", self._transact),
                web.get("/objects/{name:.+}", self._get_object),
                web.put("/objects/{name:.+}", self._put_object),
                web.get("/instances", self._list_instances),
                web.get("/healthz", self._health),
                web.post("/control", self._control),
                web.put("/control/instances", self._set_instances),
                web.get("/control/stats", self._stats),
            ]
        )
        return app

    @web.middleware
    async def _add_network_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Adds network delays and faults to all requests except control and health requests."""
        if request.path.startswith(("/control", "/healthz")):
            return await handler(request)
        source = request.remote or ""
        delay_ms = self._delays.one_way_ms(source, self._address)
        await network.pause(delay_ms, self._rng)
        if request.path == "/instances":
            refused = self._faults.instances_down
        else:
            await network.pause(self._faults.slow_ms, self._rng)
            if self._faults.is_down_for(source) and self._faults.down == "hang":
                await self._wait_for_outage_end(source)
                return self._abort_connection(request)
            refused = self._faults.is_down_for(source)
        if refused:
            self._counts["refused"] += 1
            response = web.Response(status=503, text="down")
        else:
            response = await self._handle_with_faults(request, handler)
        await network.pause(delay_ms, self._rng)
        return response

    async def _wait_for_outage_end(self, source: str) -> None:
        self._counts["held"] += 1
        while self._faults.is_down_for(source):
            await self._faults_changed.wait()

    async def _handle_with_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Runs a handler; converts its errors to responses and applies ``lose_answers``."""
        try:
            response = await handler(request)
        except PreconditionFailedError as error:
            return web.Response(status=412, text=str(error))
        except (ValueError, KeyError, TypeError, binascii.Error) as error:
            return web.Response(status=400, text=f"invalid request: {error}")
        is_write = request.method in ("PUT", "POST")
        if is_write and response.status < 300 and self._faults.lose_answers:
            if self._faults.lose_answers != ALL_WRITES:
                self._faults.lose_answers -= 1
            self._counts["answers_lost"] += 1
            return self._abort_connection(request)
        return response

    def _abort_connection(self, request: web.Request) -> web.Response:
        """Aborts the connection of a request; returns a response for aiohttp that is not sent."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def _get_row(self, request: web.Request) -> web.Response:
        self._counts["reads"] += 1
        row = self._table.get(request.match_info["key"])
        if row is None:
            return web.Response(status=404)
        headers = {"ETag": f'"{row.version}"'}
        if request.headers.get("If-None-Match") == headers["ETag"]:
            return web.Response(status=304, headers=headers)
        return web.Response(body=row.value, headers=headers)

    async def _scan(self, request: web.Request) -> web.Response:
        self._counts["reads"] += 1
        rows = self._table.scan(request.query["prefix"])
        return web.json_response({"rows": [row.as_json() for row in rows]})

    async def _put_row(self, request: web.Request) -> web.Response:
        value = await request.read()
        self._counts["writes"] += 1
        if_match = request.headers.get("If-Match")
        write = Write(
            key=request.match_info["key"],
            value=value,
            if_version=None if if_match is None else if_match.strip('"'),
            if_absent=request.headers.get("If-None-Match") == "*",
        )
        (row,) = self._table.write([write])
        return web.Response(status=204, headers={"ETag": f'"{row.version}"'})

    async def _transact(self, request: web.Request) -> web.Response:
        data = await request.json()
        self._counts["writes"] += 1
        rows = self._table.write([_parse_write(write) for write in data["writes"]])
        return web.json_response({"rows": [row.as_json() for row in rows]})

    async def _get_object(self, request: web.Request) -> web.Response:
        self._counts["reads"] += 1
        data = self._objects.get(request.match_info["name"])
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def _put_object(self, request: web.Request) -> web.Response:
        data = await request.read()
        self._counts["writes"] += 1
        self._objects[request.match_info["name"]] = data
        return web.Response(status=204)

    async def _list_instances(self, request: web.Request) -> web.Response:
        self._counts["instance_lists"] += 1
        return web.json_response(self._instances.visible(asyncio.get_running_loop().time()))

    async def _control(self, request: web.Request) -> web.Response:
        try:
            self._faults.change(await request.json())
        except (ValueError, AttributeError) as error:
            return web.Response(status=400, text=str(error))
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()
        return web.json_response(dataclasses.asdict(self._faults))

    async def _set_instances(self, request: web.Request) -> web.Response:
        """Sets the instance list from ``{"instances": [...], "lag_s": seconds}``."""
        data = await request.json()
        visible_at_s = asyncio.get_running_loop().time() + float(data.get("lag_s", 0.0))
        self._instances.set(data["instances"], visible_at_s=visible_at_s)
        return web.Response(status=204)

    async def _stats(self, request: web.Request) -> web.Response:
        names = ("reads", "writes", "refused", "held", "answers_lost", "instance_lists")
        counts = {name: self._counts[name] for name in names}
        return web.json_response(counts | {"faults": dataclasses.asdict(self._faults)})


def _parse_write(data: Mapping[str, Any]) -> Write:
    """Parses a write of a transaction.

    If ``if_version`` is null, the row must not exist yet. If it is missing, the write is
    unconditional.
    """
    version = data.get("if_version")
    return Write(
        key=data["key"],
        value=base64.b64decode(data["value_base64"], validate=True),
        if_version=None if version is None else str(version),
        if_absent="if_version" in data and version is None,
    )


async def _serve(address: str, delays: network.Delays) -> None:
    host, port = network.split_address(address)
    runner = web.AppRunner(Store(address=host, delays=delays).application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await asyncio.Event().wait()


@click.command()
@click.option("--listen", default="127.1.0.1:8500", show_default=True, help="IP:PORT to listen on.")
@click.option("--domain-ms", default=0.0, help="One-way delay between failure domains, ms.")
@click.option("--region-ms", default=0.0, help="One-way delay between regions, ms.")
def command(listen: str, domain_ms: float, region_ms: float) -> None:
    """Runs table service, object store and instance list."""
    delays = network.Delays(domain_ms=domain_ms, region_ms=region_ms)
    uvloop.run(_serve(listen, delays))

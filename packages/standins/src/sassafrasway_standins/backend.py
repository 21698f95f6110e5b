"""Stand-in for backend servers: one process runs many servers, each on its own address.

A file (TOML or JSON) lists the servers. ``POST /control`` on the control address changes their
behaviour; ``GET /control/stats`` returns their counters (see ``backend_process``). Each request
that a server runs or rejects, except health probes, is written to the record file as one JSON line.
"""

import asyncio
import dataclasses
import hashlib
import json
import random
import time
from collections.abc import Mapping
from typing import Any, TextIO

from aiohttp import web

from sassafrasway_standins import backend_connections, network

CRASH_MARKER = b"crash-server"  # a request whose body contains this crashes the server


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerSettings:
    """Settings of one backend server.

    Attributes:
        address: ``host:port`` to listen on.
        slots: Number of requests that the server runs at a time; it sheds further ones.
        connections: Maximum number of open connections; the server aborts further ones.
        mean_ms: Mean service time of a warm server.
        distribution: Distribution of the service time, ``exponential`` or ``fixed``.
        cold_factor: Factor on the service time of a cold server; falls linearly to 1 in ``cold_s``.
        cold_s: Time from the first request until the server is warm, s.
        idle_cold_s: Time without requests after which the server is cold again, s.
        connection_ms: Busy time that the first request of each connection adds. While the server is
            busy, probes and the start of requests are delayed.
        probe_ms: Busy time that each health probe adds.
        restart_s: Downtime after a crash, s.
    """

    name: str
    service: str
    address: str
    slots: int
    connections: int = 660
    mean_ms: float = 200.0
    distribution: str = "exponential"
    cold_factor: float = 1.0
    cold_s: float = 2.0
    idle_cold_s: float = 60.0
    connection_ms: float = 1.0
    probe_ms: float = 0.0
    restart_s: float = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Behaviour:
    """Behaviour of a server that can be changed through the control endpoint.

    Attributes:
        leaving: Whether responses carry ``Sassafras-State: leaving``.
        slow: Factor on the service time.
        load_report: Load to report instead of the actual one; None reports the actual load.
        blocked_sources: Prefixes of source addresses whose requests are never answered.
    """

    leaving: bool = False
    slow: float = 1.0
    load_report: int | None = None
    blocked_sources: tuple[str, ...] = ()


class Recorder:
    """Writes records as JSON lines; discards them if there is no stream.

    The stream must flush after each line, so that no record is lost when the process is killed.
    """

    def __init__(self, *, stream: TextIO | None):
        self._stream = stream

    def write(self, **fields: Any) -> None:
        """Writes one record."""
        if self._stream is not None:
            self._stream.write(json.dumps(fields, separators=(",", ":")) + "\n")


class BackendServer:
    """One backend server with its slots, connections and faults."""

    def __init__(
        self,
        *,
        settings: ServerSettings,
        recorder: Recorder,
        delays: network.Delays,
        rng: random.Random,
    ):
        self._settings = settings
        self._recorder = recorder
        self._delays = delays
        self._rng = rng
        self._behaviour = Behaviour()
        self._leaving_since_s: float | None = None
        self._crashes = 0
        self._in_use = 0
        self._busy_until_s = 0.0
        self._warm_up_start_s: float | None = None
        self._last_request_s = 0.0
        self._stats = dict.fromkeys(
            ("runs", "sheds", "probes", "accepted", "refused_connections", "max_in_use"), 0
        )
        self._http_server = backend_connections.HttpServer(self._handle)
        self._listener: asyncio.Server | None = None
        self._restarting: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Name of the server."""
        return self._settings.name

    @property
    def stats(self) -> dict[str, Any]:
        """Counters and the current state."""
        connections = len(self._http_server.connections)
        current = {"in_use": self._in_use, "connections": connections, "crashes": self._crashes}
        return self._stats | current | {"leaving": self._behaviour.leaving}

    async def start(self) -> None:
        """Starts listening.

        Raises:
            ValueError: The port of the address is missing or not a number.
            OSError: The address is invalid or in use.
        """
        host, port = network.split_address(self._settings.address)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._accept, host, port, backlog=1024, reuse_address=True
        )

    async def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self._restarting is not None:
            self._restarting.cancel()
        if self._listener is not None:
            self._listener.close()
        self._http_server.abort_connections()
        await self._http_server.shutdown(0)

    def change(self, data: Mapping[str, Any]) -> None:
        """Applies one control request: values of attributes of ``Behaviour`` by name.

        With any value, ``crash`` crashes the server and ``silent`` makes its open connections
        silent.

        Raises:
            ValueError: A name is unknown. The names before it have been applied.
        """
        for name, value in data.items():
            if name == "crash":
                self.crash()
            elif name == "silent":
                self._http_server.silence()
            elif name == "blocked_sources":
                self._behaviour.blocked_sources = tuple(value)
            elif name in Behaviour.__slots__:
                setattr(self._behaviour, name, value)
            else:
                raise ValueError(f"unknown behaviour {name!r}")
        if not self._behaviour.leaving:
            self._leaving_since_s = None
        elif self._leaving_since_s is None:
            self._leaving_since_s = time.monotonic()

    def crash(self) -> None:
        """Aborts all connections and stops listening for ``restart_s``, unless it is restarting."""
        if self._restarting is not None:
            return
        self._crashes += 1
        self._listener.close()
        self._http_server.abort_connections()
        self._restarting = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        await asyncio.sleep(self._settings.restart_s)
        self._warm_up_start_s = None
        self._restarting = None
        await self.start()

    def _accept(self) -> asyncio.Protocol:
        if len(self._http_server.connections) >= self._settings.connections:
            self._stats["refused_connections"] += 1
            return backend_connections.RefusingProtocol()
        self._stats["accepted"] += 1
        return self._http_server()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request, adding the network delay of its source address."""
        source = request.remote or ""
        host, _ = network.split_address(self._settings.address)
        delay_ms = self._delays.one_way_ms(source, host)
        await network.pause(delay_ms, self._rng)
        await self._wait_if_silent(request)
        if self._http_server.is_new(request.protocol):
            self._http_server.mark_used(request.protocol)
            self._add_busy_time(self._settings.connection_ms)
        if request.path == "/healthz":
            response = await self._serve_probe()
        else:
            response = await self._serve_request(request)
        await network.pause(delay_ms, self._rng)
        await self._wait_if_silent(request)
        return response

    async def _wait_if_silent(self, request: web.BaseRequest) -> None:
        """Blocks forever if the connection is silent or its source address is blocked."""
        blocked = self._behaviour.blocked_sources
        is_blocked = bool(blocked) and (request.remote or "").startswith(blocked)
        if self._http_server.is_silent(request.protocol) or is_blocked:
            await asyncio.Event().wait()

    def _add_busy_time(self, cost_ms: float) -> None:
        """Adds busy time of the server, which delays probes and the start of requests."""
        now_s = time.monotonic()
        self._busy_until_s = max(now_s, self._busy_until_s) + cost_ms / 1000

    async def _wait_until_not_busy(self) -> None:
        wait_s = self._busy_until_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    async def _serve_probe(self) -> web.Response:
        self._stats["probes"] += 1
        self._add_busy_time(self._settings.probe_ms)
        await self._wait_until_not_busy()
        return web.Response(text="ok", headers=self._headers())

    async def _serve_request(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        run = _Run(server=self, request=request, body=body, in_use=self._in_use)
        if self._in_use >= self._settings.slots:
            self._stats["sheds"] += 1
            run.record("shed")
            return web.Response(status=503, headers=self._headers() | {"Sassafras-Shed": "1"})
        time_left_s = _time_left_s(request)
        if time_left_s is not None and time_left_s <= 0:
            run.record("expired")
            return web.Response(status=504, headers=self._headers())
        self._in_use += 1
        self._stats["runs"] += 1
        self._stats["max_in_use"] = max(self._stats["max_in_use"], self._in_use)
        try:
            is_complete = await self._run(run, time_left_s)
        except asyncio.CancelledError:
            run.record("crashed" if run.crashes_at_start != self._crashes else "cancelled")
            raise
        finally:
            self._in_use -= 1
        headers = self._headers()
        return run.response(headers) if is_complete else web.Response(status=504, headers=headers)

    async def _run(self, run: "_Run", time_left_s: float | None) -> bool:
        """Runs a request; returns False if its deadline passes first.

        A request with the crash marker crashes the server, which cancels this coroutine.
        """
        if CRASH_MARKER in run.body:
            run.record("crashed")
            self.crash()
            await asyncio.Event().wait()
        service_s = self._service_time_s(run.requested_s)
        await self._wait_until_not_busy()
        if time_left_s is not None and service_s > time_left_s:
            await asyncio.sleep(time_left_s)
            run.record("deadline")
            return False
        await asyncio.sleep(service_s)
        run.record("ok")
        return True

    def _service_time_s(self, requested_s: float | None) -> float:
        """Returns the service time of a request.

        ``requested_s`` is the service time that the request asks for on a warm server; None draws
        it from the server's distribution.
        """
        now_s = time.monotonic()
        if (
            self._warm_up_start_s is None
            or now_s - self._last_request_s > self._settings.idle_cold_s
        ):
            self._warm_up_start_s = now_s
        self._last_request_s = now_s
        service_s = self._settings.mean_ms / 1000 if requested_s is None else requested_s
        if requested_s is None and self._settings.distribution == "exponential" and service_s > 0:
            service_s = self._rng.expovariate(1 / service_s)
        warm_fraction = min(1.0, (now_s - self._warm_up_start_s) / max(self._settings.cold_s, 1e-9))
        cold_factor = 1 + (self._settings.cold_factor - 1) * (1 - warm_fraction)
        return service_s * cold_factor * self._behaviour.slow

    def _headers(self) -> dict[str, str]:
        load = self._behaviour.load_report
        headers = {"Sassafras-Load": str(self._in_use if load is None else load)}
        if self._behaviour.leaving:
            headers["Sassafras-State"] = "leaving"
        return headers


class _Run:
    """One request at a server, from the receipt of its body until its record is written.

    ``in_use`` is the number of slots in use when the body had been received.
    """

    def __init__(
        self, *, server: BackendServer, request: web.BaseRequest, body: bytes, in_use: int
    ):
        self.body = body
        self.crashes_at_start = server._crashes
        self._server = server
        self._request = request
        self._in_use = in_use
        self._start_s = time.monotonic()
        self._digest = hashlib.sha256(body).hexdigest()
        self._is_recorded = False

    @property
    def requested_s(self) -> float | None:
        """Service time in seconds that the query asks for as ``service_ms``; None without it."""
        value = self._request.query.get("service_ms")
        return None if value is None else float(value) / 1000

    def record(self, outcome: str) -> None:
        """Writes the record of the request; only the first call has an effect.

        Args:
            outcome: ``ok``, ``deadline`` (the deadline passed while the request ran), ``cancelled``
                (its connection was closed), ``crashed``, or without having run ``shed`` (no slot
                was free) or ``expired`` (the deadline had passed on arrival).
        """
        if self._is_recorded:
            return
        self._is_recorded = True
        settings = self._server._settings
        leaving_since_s = self._server._leaving_since_s
        self._server._recorder.write(
            server=settings.name,
            service=settings.service,
            request_id=self._request.headers.get("Sassafras-Request-Id", ""),
            key=self._request.headers.get("Idempotency-Key", ""),
            method=self._request.method,
            path=self._request.path_qs,
            start_s=self._start_s,
            end_s=time.monotonic(),
            outcome=outcome,
            ran=outcome not in ("shed", "expired"),
            digest=self._digest,
            source=self._request.remote or "",
            in_use=self._in_use,
            slots=settings.slots,
            leaving_since_s=leaving_since_s,
        )

    def response(self, headers: dict[str, str]) -> web.Response:
        """Returns the response, padded to the ``size`` in bytes that the query asks for."""
        content = {
            "digest": self._digest,
            "request_id": self._request.headers.get("Sassafras-Request-Id", ""),
            "key": self._request.headers.get("Idempotency-Key", ""),
            "path": self._request.path_qs,
            "server": self._server.name,
            "padding": "",
        }
        size = int(self._request.query.get("size", "0"))
        padding_size = size - len(json.dumps(content))
        content["padding"] = "x" * max(0, min(padding_size, backend_connections.MAX_BODY_BYTES))
        return web.json_response(content, headers=headers)


def _time_left_s(request: web.BaseRequest) -> float | None:
    """Returns the time until the deadline of a request in seconds; None without a deadline."""
    value = request.headers.get("Sassafras-Deadline-Ms")
    return None if value is None else float(value) / 1000

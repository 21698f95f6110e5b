"""Fakes and builders shared by the gateway's tests."""

import asyncio
import itertools

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import balancer, messages, model, overflow, servers

REGION_OF = {"a-1": "north", "a-2": "north", "b-1": "south"}
NAMES = messages.HeaderNames()
EVENT_TIMEOUT_S = 10.0
# Time for a client of a test to connect; the event loop may stand still while the machine is busy.
CONNECT_TIMEOUT_S = 10.0


class FixedColdLimit:
    """Cold limit with a fixed decision, by default that a request may be sent."""

    def __init__(self, allowed=True):
        self.allowed = allowed

    def allows(self, state, now_s):
        return self.allowed

    def on_sent(self, state, now_s):
        pass


def make_balancer(
    registry, *, clock, service_times=None, cold_limit=None, region="north", rng=None
):
    """Returns a balancer of an instance in the given region."""
    return balancer.Balancer(
        clock=clock,
        registry=registry,
        service_times=service_times or balancer.ServiceTimeEstimate(),
        cold_limit=cold_limit or FixedColdLimit(),
        overflow=overflow.OverflowControl(clock=clock, registry=registry, region=region),
        rng=rng,
    )


def make_server(server_id, *, service="desk", domain="a-1", port=1, host="127.0.0.1", **fields):
    """Returns the listing of a backend server."""
    return model.BackendServer(
        server_id=server_id,
        service=service,
        host=host,
        port=port,
        failure_domain=domain,
        slots=fields.pop("slots", 3),
        **fields,
    )


def make_route(**fields):
    """Returns a route to the service ``desk``."""
    defaults = {
        "name": "r",
        "host": "h.example",
        "prefix": "/p/",
        "idempotent": True,
        "services": (model.WeightedService(service="desk", weight=1.0),),
        "timeout_s": 2.0,
        "max_attempts": 2,
        "sticky": True,
    }
    return model.Route(**{**defaults, **fields})


def make_registry(listed, clock=None, warmup_s=3.0):
    """Returns a registry with the given servers."""
    registry = servers.ServerRegistry(clock=clock or clock_lib.ManualClock(), region_of=REGION_OF)
    service = model.Service(
        name="desk", health_path="/health", max_connections=100, warmup_s=warmup_s
    )
    registry.set_warmup([service])
    for server in listed:
        registry.upsert(server)
    return registry


def make_criteria(route=None, **fields):
    """Returns selection criteria for the object ``o`` and the region ``north``."""
    defaults = {"object_key": "o", "region": "north", "remaining_s": 2.0, "service": "desk"}
    route = route or make_route()
    defaults["allowed_regions"] = route.home_regions or None
    return balancer.SelectionCriteria(route=route, **{**defaults, **fields})


async def until(condition):
    """Waits until a condition holds; a fixed time would be too short while the machine is busy."""
    async with asyncio.timeout(EVENT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


class ScriptedServer:
    """TCP server that answers each request with the next entry of a script, repeated cyclically.

    An entry is a function from the request head to the bytes of the response; ``None`` closes the
    connection without a response, ``"reset"`` resets it and ``"silent"`` sends no response.
    """

    def __init__(self, script):
        self._script = itertools.cycle(script)
        self._server = None
        self.requests = []
        self.connections = 0
        self._writers = []

    @property
    def port(self):
        return self._server.sockets[0].getsockname()[1]

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = await reader.readexactly(length)
                self.requests.append(head + body)
                if not await self._answer(head, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, writer):
        entry = next(self._script)
        if entry is None:
            return False
        if entry == "reset":
            writer.transport.abort()
            return False
        if entry == "silent":
            await asyncio.sleep(30)
            return False
        writer.write(entry(head))
        await writer.drain()
        return True


def header_of(head, name):
    """Returns the value of a header in the bytes of a request."""
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.strip().lower() == name.lower():
            return value.strip()
    return b""


def answer(status=200, body=b"ok", *, signed=True, request_id=None, extra=b"", headers=b""):
    """Returns a script entry with a response like that of a backend server.

    Args:
        status: Status of the response.
        body: Body of the response.
        signed: Whether the response has the signature header.
        request_id: Id that the response repeats; None for the id of the request.
        extra: Bytes sent after the response.
        headers: Further header lines, each with its line end.
    """

    def build(head):
        value = request_id or header_of(head, NAMES.request_id)
        lines = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
        lines += NAMES.request_id + b": " + value + b"\r\n"
        if signed:
            lines += NAMES.signature + b": s\r\n"
        return lines + headers + b"\r\n" + body + extra

    return build


def rejection(status=503, *, load=None):
    """Returns a script entry with a response whose header states that the request did not run.

    ``load`` is the load report; None for a rejection without one.
    """
    headers = NAMES.not_run + b": 1\r\n"
    if load is not None:
        headers += NAMES.server_load + b": " + load + b"\r\n"
    return answer(status, b"", signed=False, headers=headers)

"""Process of the backend stand-in: settings file, servers and control endpoint."""

import functools
import itertools
import json
import pathlib
import random
import tomllib
from collections.abc import Callable, Mapping
from typing import Any

import click
import uvloop
from aiohttp import web

from sassafrasway_standins import backend, network, stalls


class Control:
    """Control endpoint for all servers of the process."""

    def __init__(
        self, *, servers: Mapping[str, backend.BackendServer], stall_meter: stalls.StallMeter
    ):
        self._servers = servers
        self._stall_meter = stall_meter

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/healthz", self._health),
                web.post("/control", self._change),
                web.get("/control/stats", self._stats),
                web.get("/control/stalls", self._stalls),
            ]
        )
        return app

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def _change(self, request: web.Request) -> web.Response:
        """Changes servers, given ``{"servers": [names] or "all", <behaviour>: value, ...}``."""
        data = await request.json()
        names = data.pop("servers")
        try:
            for name in self._servers if names == "all" else names:
                self._servers[name].change(data)
        except (ValueError, KeyError) as error:
            return web.Response(status=400, text=str(error))
        return web.Response(status=204)

    async def _stats(self, request: web.Request) -> web.Response:
        return web.json_response({name: server.stats for name, server in self._servers.items()})

    async def _stalls(self, request: web.Request) -> web.Response:
        return web.json_response(self._stall_meter.as_json())


def load_file(path: pathlib.Path) -> dict[str, Any]:
    """Reads a file as TOML if its name ends in ``.toml``, otherwise as JSON.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file is not valid TOML or JSON.
    """
    text = path.read_text(encoding="utf-8")
    return tomllib.loads(text) if path.suffix == ".toml" else json.loads(text)


def build_servers(
    data: Mapping[str, Any], *, recorder: backend.Recorder
) -> dict[str, backend.BackendServer]:
    """Returns the servers of a settings file by name; none is listening yet.

    ``data`` holds ``servers`` (tables with the fields of ``backend.ServerSettings``), and
    optionally ``delays`` and ``seed``.

    Raises:
        KeyError: The list of servers is missing.
        TypeError: A required field of a server is missing, a field is unknown, or a delay or the
            seed is neither a number nor a string.
        ValueError: A delay or the seed is a string that is not a number.
    """
    delays = network.Delays.parse(data.get("delays", {}))
    seeds = itertools.count(int(data.get("seed", 0)))
    servers = {}
    for entry in data["servers"]:
        server = backend.BackendServer(
            settings=backend.ServerSettings(**entry),
            recorder=recorder,
            delays=delays,
            rng=random.Random(f"{next(seeds)}/{entry['name']}"),
        )
        servers[server.name] = server
    return servers


async def _serve(data: Mapping[str, Any], recorder: backend.Recorder) -> None:
    servers = build_servers(data, recorder=recorder)
    for server in servers.values():
        await server.start()
    stall_meter = stalls.StallMeter()
    control = Control(servers=servers, stall_meter=stall_meter)
    runner = web.AppRunner(control.application(), access_log=None)
    await runner.setup()
    host, port = network.split_address(data["control"])
    await web.TCPSite(runner, host, port).start()
    await stall_meter.run()


@click.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="TOML or JSON file with control, records, delays, seed and servers.",
)
def command(config: pathlib.Path) -> None:
    """Runs the backend servers that a settings file lists."""
    data = load_file(config)
    open_records: Callable[[], Any] = functools.partial(
        open, data.get("records") or "/dev/null", "a", buffering=1, encoding="utf-8"
    )
    with open_records() as stream:
        uvloop.run(_serve(data, backend.Recorder(stream=stream)))

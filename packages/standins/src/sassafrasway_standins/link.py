"""Stand-in for the network between entry instances: a TCP relay with delays and cuts.

A settings file lists one listening address for each pair of a source and a target instance.

The port of a process that has ended refuses connections. The relay has to accept a connection
before it can connect to the target. After a refusal by the target it therefore closes its listening
sockets for that target until the target accepts connections again, so that sources are refused as
well. A pair that is cut keeps its listening socket, because a cut network does not refuse
connections.
"""

import asyncio
import json
import pathlib
import random
from collections.abc import Iterable, Mapping
from typing import Any

import click
import uvloop
from aiohttp import web

from sassafrasway_standins import link_pair, network

CONNECT_RETRY_INTERVAL_S = 0.02


class Relay:
    """All pairs of a settings file and the cuts between instances.

    Args:
        data: Contents of the file: ``pairs`` (see ``link_pair.Pair``) and optionally ``delays``.
    """

    def __init__(self, *, data: Mapping[str, Any]):
        delays = network.Delays.parse(data.get("delays", {}))
        rng = random.Random(0)
        self._counter = link_pair.ByteCounter()
        self._pairs = [
            link_pair.Pair(data=entry, delays=delays, counter=self._counter, rng=rng)
            for entry in data["pairs"]
        ]
        self._cuts: set[tuple[str, str]] = set()
        self._by_target: dict[str, list[link_pair.Pair]] = {}
        for pair in self._pairs:
            self._by_target.setdefault(pair.target_address, []).append(pair)
        self._watchers: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts listening for all pairs.

        Raises:
            OSError: The address of a pair is invalid or in use.
        """
        for pair in self._pairs:
            await pair.listen(True)
        for address, pairs in self._by_target.items():
            self._watchers.append(asyncio.create_task(_watch_target(address, pairs)))

    async def stop(self) -> None:
        """Closes all listening sockets and connections."""
        for watcher in self._watchers:
            watcher.cancel()
        for pair in self._pairs:
            await pair.close()

    def application(self) -> web.Application:
        """Returns the aiohttp application of the control endpoint."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/healthz", self._health),
                web.post("/control", self._control),
                web.get("/control/bytes", self._bytes),
                web.get("/control/stats", self._stats),
            ]
        )
        return app

    def change(self, *, action: str, source: str, target: str) -> None:
        """Applies an action to the connections between two groups of instances.

        Args:
            action: ``cut`` (both directions), ``cut_one_way`` (source to target), ``heal`` (ends
                cuts with the same two selectors) or ``silent`` (makes the open connections silent
                permanently).
            source: Selector of instances, see ``link_pair.InstanceLocation.matches``.
            target: Selector of instances.

        Raises:
            ValueError: The action is unknown.
        """
        directions = {(source, target), (target, source)}
        if action == "cut":
            self._cuts |= directions
        elif action == "cut_one_way":
            self._cuts.add((source, target))
        elif action == "heal":
            self._cuts -= directions
        elif action == "silent":
            for pair in self._pairs:
                if _matches_any(pair.source, pair.target, directions):
                    pair.silence()
        else:
            raise ValueError(f"unknown action {action!r}")
        for pair in self._pairs:
            pair.set_cuts(
                forward=_matches_any(pair.source, pair.target, self._cuts),
                backward=_matches_any(pair.target, pair.source, self._cuts),
            )

    def counted_bytes(self) -> dict[str, list[tuple[float, int]]]:
        """Returns the bytes that were sent on each link, see ``ByteCounter.as_json``."""
        return self._counter.as_json()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def _control(self, request: web.Request) -> web.Response:
        """Applies ``{"action", "from", "to"}``; ``from`` and ``to`` are selectors."""
        data = await request.json()
        try:
            self.change(action=data["action"], source=data["from"], target=data["to"])
        except (ValueError, KeyError) as error:
            return web.Response(status=400, text=str(error))
        return web.Response(status=204)

    async def _bytes(self, request: web.Request) -> web.Response:
        return web.json_response(self.counted_bytes())

    async def _stats(self, request: web.Request) -> web.Response:
        connections = sum(pair.connection_count for pair in self._pairs)
        return web.json_response({"connections": connections, "cuts": sorted(self._cuts)})


def _matches_any(
    source: link_pair.InstanceLocation,
    target: link_pair.InstanceLocation,
    directions: Iterable[tuple[str, str]],
) -> bool:
    """Whether one of the pairs of selectors matches source and target, in this order."""
    return any(source.matches(start) and target.matches(end) for start, end in directions)


async def _watch_target(address: str, pairs: list[link_pair.Pair]) -> None:
    """Closes the listening sockets of a target while it refuses connections.

    All ``pairs`` have this target and share one ``target_refuses`` event.
    """
    refused = asyncio.Event()
    for pair in pairs:
        pair.target_refuses = refused
    host, port = network.split_address(address)
    while True:
        await refused.wait()
        for pair in pairs:
            await pair.listen(pair.is_cut)
        try:
            _, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(CONNECT_RETRY_INTERVAL_S)
            continue
        writer.close()
        refused.clear()
        for pair in pairs:
            await pair.listen(True)


async def _serve(data: Mapping[str, Any]) -> None:
    relay = Relay(data=data)
    await relay.start()
    runner = web.AppRunner(relay.application(), access_log=None)
    await runner.setup()
    host, port = network.split_address(data["control"])
    await web.TCPSite(runner, host, port).start()
    await asyncio.Event().wait()


@click.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="JSON file with control, delays and pairs.",
)
def command(config: pathlib.Path) -> None:
    """Relays TCP connections between entry instances with delays and cuts."""
    uvloop.run(_serve(json.loads(config.read_text(encoding="utf-8"))))

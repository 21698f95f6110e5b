"""HTTP interface for operators: health, metrics and state dump."""

import json
from collections.abc import Callable
from typing import Any

from aiohttp import web

from sassafrasway_entry import telemetry


class AdminApi:
    """Serves ``/healthz``, ``/metrics`` and ``/dump``.

    Args:
        dump: Returns the state of the process as JSON-serializable data.
        health: Returns the lifecycle state and whether the instance is ready.
    """

    def __init__(
        self,
        *,
        metrics: telemetry.Metrics,
        dump: Callable[[], dict[str, Any]],
        health: Callable[[], tuple[str, bool]],
    ):
        self._metrics = metrics
        self._dump = dump
        self._health = health
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        """Starts listening on ``host:port``.

        Raises:
            OSError: The address is in use or does not belong to this machine.
        """
        app = web.Application()
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/dump", self._get_dump)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Stops listening and closes open connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get_health(self, request: web.Request) -> web.Response:
        state, ready = self._health()
        return web.json_response({"state": state, "ready": ready}, status=200 if ready else 503)

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.scrape(),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )

    async def _get_dump(self, request: web.Request) -> web.Response:
        return web.json_response(self._dump(), dumps=lambda data: json.dumps(data, indent=2))

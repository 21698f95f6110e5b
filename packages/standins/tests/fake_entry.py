"""In-process fake entry instance for tests of the callers; it returns scripted responses."""

import hashlib
import json

from aiohttp import test_utils, web

from sassafrasway_standins import exchanges


class FakeEntry:
    """HTTP server that takes the place of an entry instance.

    The names of called services must end in ``-desk``. Lookups of ``crew-desk`` return a ticket.

    Attributes:
        script: Responses to the next requests, in order: ``ran``, ``unavailable`` (status 503,
            not run), ``refused`` (status 429, not run), ``unknown`` (status 502, unknown outcome),
            ``break`` (the connection is aborted), ``foreign`` (the response has the path of another
            request) or ``short`` (the response is too small). Once the script is used up, requests
            are answered with ``ran``.
        instances: Instances that lookups return.
        keys: Idempotency keys of the requests received.
        lookups: Number of lookups received.
    """

    def __init__(self, name, *, script=()):
        self.name = name
        self.script = list(script)
        self.instances = [self]
        self.keys = []
        self.lookups = 0
        self.url = ""
        self._server = test_utils.TestServer(self._application())

    @property
    def entry_point(self):
        return exchanges.EntryPoint(name=self.name, url=self.url, region="bkk")

    async def start(self):
        await self._server.start_server()
        self.url = str(self._server.make_url("")).rstrip("/")

    async def stop(self):
        await self._server.close()

    def _application(self):
        app = web.Application()
        app.router.add_get("/v1/lookup", self._lookup)
        app.router.add_post("/v1/services/{service}/{path:.*}", self._request)
        return app

    async def _lookup(self, request):
        self.lookups += 1
        content = {
            "service": request.query["service"],
            "region": "bkk",
            "instances": [{"name": entry.name, "url": entry.url} for entry in self.instances],
            "ttl_s": 5,
        }
        if request.query["service"] == "crew-desk":
            content["ticket"] = f"t1.{self.name}.i1.0.{self.lookups}"
        return web.json_response(content)

    async def _request(self, request):
        self.keys.append(request.headers.get("Idempotency-Key", ""))
        body = await request.read()
        scripted_response = self.script.pop(0) if self.script else "ran"
        if scripted_response == "break":
            request.transport.abort()
            return web.Response()
        if scripted_response == "unavailable":
            return web.Response(status=503, headers={"Sassafras-Outcome": "not-run"})
        if scripted_response == "refused":
            return web.Response(status=429, headers={"Sassafras-Outcome": "not-run"})
        if scripted_response == "unknown":
            return web.Response(status=502, headers={"Sassafras-Outcome": "unknown"})
        path = (
            "/r/another" if scripted_response == "foreign" else request.path.partition("-desk")[2]
        )
        content = {"digest": hashlib.sha256(body).hexdigest(), "path": path, "padding": ""}
        size = int(request.query["size"]) - (10 if scripted_response == "short" else 0)
        content["padding"] = "x" * (size - len(json.dumps(content)))
        return web.json_response(content, headers={"Sassafras-Outcome": "ran"})

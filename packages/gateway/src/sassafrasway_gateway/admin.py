"""HTTP handlers for readiness probes, metrics and the state of the instance."""

from collections.abc import Callable

import msgspec

from sassafrasway_gateway import messages, request_handler
from sassafrasway_gateway import metrics as metrics_lib


class ReadinessHandler(request_handler.Handler):
    """Answers the platform's readiness probes."""

    def __init__(self, *, path: str, ready: Callable[[], bool]):
        self._path = path
        self._ready = ready

    async def handle(self, request: messages.Request) -> messages.Response:
        """See base class."""
        if request.target.decode("latin-1").partition("?")[0] != self._path:
            return request_handler.text_response(404, "unknown path")
        if self._ready():
            return request_handler.text_response(200, "ready")
        return request_handler.text_response(503, "not ready")


class AdminHandler(request_handler.Handler):
    """Serves the metrics at ``/metrics`` and the state of the process, as JSON, at ``/state``."""

    def __init__(self, *, metrics: metrics_lib.GatewayMetrics, dump: Callable[[], dict]):
        self._metrics = metrics
        self._dump = dump

    async def handle(self, request: messages.Request) -> messages.Response:
        """See base class."""
        path = request.target.decode("latin-1").partition("?")[0]
        if path == "/metrics":
            return request_handler.text_response(200, self._metrics.render())
        if path == "/state":
            headers = [(b"Content-Type", b"application/json")]
            body = msgspec.json.encode(self._dump())
            return messages.Response(status=200, headers=headers, body=body)
        return request_handler.text_response(404, "unknown path")

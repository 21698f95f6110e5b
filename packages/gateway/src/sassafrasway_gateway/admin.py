"""HTTP handlers for readiness probes, metrics, the state dump and routing explanations."""

from collections.abc import Callable

import msgspec

from sassafrasway_core import errors
from sassafrasway_gateway import explain, messages, request_handler
from sassafrasway_gateway import metrics as metrics_lib

# HTTP statuses of the errors that an explanation may raise.
_ERROR_STATUSES = (
    (errors.ValidationError, 400),
    (errors.NotFoundError, 404),
    (errors.UnavailableError, 503),
)


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
    """Serves the metrics, the state dump and routing explanations.

    The paths are ``/metrics``, ``/state`` and ``/explain``; the last two return JSON. ``/explain``
    takes the request to explain as parameters; see ``explain.parse_query``.
    """

    def __init__(
        self,
        *,
        metrics: metrics_lib.GatewayMetrics,
        dump: Callable[[], dict],
        explainer: explain.Explainer,
    ):
        self._metrics = metrics
        self._dump = dump
        self._explainer = explainer

    async def handle(self, request: messages.Request) -> messages.Response:
        """See base class."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path == "/metrics":
            return request_handler.text_response(200, self._metrics.render())
        if path == "/state":
            return _json_response(self._dump())
        if path == "/explain":
            if request.method != b"GET":
                return request_handler.text_response(405, "explanations use GET")
            return self._explain(query)
        return request_handler.text_response(404, "unknown path")

    def _explain(self, query: str) -> messages.Response:
        try:
            return _json_response(self._explainer.explain(explain.parse_query(query)))
        except errors.SassafraswayError as error:
            status = next(
                (status for kind, status in _ERROR_STATUSES if isinstance(error, kind)), 500
            )
            return request_handler.text_response(status, error.message)


def _json_response(value: dict) -> messages.Response:
    headers = [(b"Content-Type", b"application/json")]
    return messages.Response(status=200, headers=headers, body=msgspec.json.encode(value))

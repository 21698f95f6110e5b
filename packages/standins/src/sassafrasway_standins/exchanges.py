"""State of a simulated caller's request across its attempts, and related data types."""

import dataclasses
import hashlib
import json
import time

import aiohttp

from sassafrasway_standins import arrivals, history

MAX_ATTEMPTS = 8
MAX_UNKNOWN_RETRIES = 3
RETRY_BACKOFF_MS = 20.0
REQUEST_BYTES = 256
RESPONSE_BYTES = 1024
HTTP_OK = 200
HTTP_QUARANTINED = 422  # the request has crashed several backend servers
HTTP_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryPoint:
    """An entry instance in the configuration of callers."""

    name: str
    url: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CalledService:
    """Properties of a service that callers and the load depend on.

    Attributes:
        idempotent: Whether a request may run more than once.
        deadline_ms: Deadline of a request, counted from its intended time, ms.
        slots: Slots of all servers of the service; determines the rate of the load and the size of
            the ideal pool.
        may_wait: Whether requests wait in a queue for a slot instead of being refused.
    """

    idempotent: bool
    deadline_ms: int
    slots: int = 0
    may_wait: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """Result of one attempt: the response of an entry instance, or the failure to get one.

    ``history.Attempt`` describes all attributes except the ``body`` of the response.
    """

    outcome: str
    status: int = 0
    reason: str = ""
    served_by: str = ""
    error: str = ""
    body: bytes = b""

    @property
    def is_retryable(self) -> bool:
        """Whether a further attempt may succeed; never true for a quarantined request."""
        if self.status == HTTP_QUARANTINED:
            return False
        if self.outcome == history.UNKNOWN:
            return True
        return self.outcome == "" or self.status == HTTP_UNAVAILABLE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Response to a lookup.

    Attributes:
        urls: Entry instances to send to, in order of preference.
        ticket: Idempotency key for one request; empty for idempotent services.
        fetched_s: Monotonic time at which the lookup was sent, s.
        expires_s: Monotonic time until which the response may be cached, s.
    """

    urls: tuple[str, ...]
    ticket: str
    fetched_s: float
    expires_s: float


class PendingRequest:
    """State of one request across its attempts.

    ``intended_s`` is the monotonic time at which the request was due, s.
    """

    def __init__(self, *, arrival: arrivals.Arrival, intended_s: float, service: CalledService):
        self.arrival = arrival
        self.body = _request_body(arrival.request)
        self._service = service
        self._intended_s = intended_s
        self._deadline_s = intended_s + service.deadline_ms / 1000
        self._route: Route | None = None
        self._next_index = 0
        self._results: list[AttemptResult] = []
        self._failed_lookups = 0
        self._lookup_error = ""

    @property
    def path(self) -> str:
        """Path and query to append to the instance's URL."""
        query = f"service_ms={self.arrival.service_s * 1000:.3f}&size={RESPONSE_BYTES}"
        path = history.path_of(self.arrival.request)
        return f"/v1/services/{self.arrival.service}{path}?{query}"

    @property
    def remaining_s(self) -> float:
        """Time until the deadline, s."""
        return self._deadline_s - time.monotonic()

    @property
    def should_attempt(self) -> bool:
        """Whether to make another attempt: one may succeed within the limits and the deadline."""
        if not self._results:
            return self._failed_lookups < MAX_ATTEMPTS and self.remaining_s > 0
        if not self._results[-1].is_retryable or self.remaining_s <= 0:
            return False
        unknown = sum(result.outcome == history.UNKNOWN for result in self._results)
        tries = len(self._results) + self._failed_lookups
        return tries < MAX_ATTEMPTS and unknown <= MAX_UNKNOWN_RETRIES

    @property
    def max_backoff_ms(self) -> float:
        """Upper bound of the random delay before the next attempt; doubles with each attempt."""
        tries = len(self._results) + self._failed_lookups
        return RETRY_BACKOFF_MS * 2 ** max(0, tries - 1)

    @property
    def needs_route(self) -> bool:
        """Whether the next attempt needs a lookup first.

        A non-idempotent request that may have run keeps its key. One that certainly did not run
        takes a new ticket, because the instance that holds the first one may be gone. An idempotent
        request tries all instances of a lookup before it looks up again.
        """
        if self._route is None:
            return True
        if not self._service.idempotent:
            return not self._may_have_run
        return self._next_index >= len(self._route.urls)

    @property
    def _may_have_run(self) -> bool:
        return any(result.outcome in (history.RAN, history.UNKNOWN) for result in self._results)

    def use_route(self, route: Route) -> None:
        """Sets the route of the next attempts and selects the instance to start with."""
        avoids_first = self._results[-1].outcome == "" if self._results else False
        if route.ticket:
            # The first instance holds the ticket. Another instance may not be able to tell whether
            # the holder has run the request.
            avoids_first = False
        self._route = route
        # The first instance of a cached or repeated route is likely the one that just failed.
        self._next_index = len(self._results) % len(route.urls) if avoids_first else 0

    def next_url(self) -> str:
        """Returns the URL of the instance for the next attempt and advances to the one after it."""
        assert self._route is not None
        url = self._route.urls[self._next_index % len(self._route.urls)]
        self._next_index += 1
        return url

    def headers(self) -> dict[str, str]:
        """Returns the headers of the next attempt."""
        headers = {
            "Sassafras-Deadline-Ms": str(max(1, int(self.remaining_s * 1000))),
            "Sassafras-Client": self.arrival.client,
            "Content-Type": "application/octet-stream",
        }
        if self._route and self._route.ticket:
            headers["Idempotency-Key"] = self._route.ticket
        return headers

    def add_failed_lookup(self, message: str) -> None:
        """Counts a lookup that no instance answered as an attempt."""
        self._failed_lookups += 1
        self._lookup_error = message

    def add_result(self, result: AttemptResult, *, url: str, started_s: float) -> history.Attempt:
        """Adds the result of an attempt and returns its record."""
        self._results.append(result)
        return history.Attempt(
            at_s=started_s,
            request=self.arrival.request,
            number=len(self._results),
            instance=url,
            ended_s=time.monotonic(),
            outcome=result.outcome,
            status=result.status,
            key=self._route.ticket if self._route else "",
            served_by=result.served_by,
            reason=result.reason,
            error=result.error,
        )

    def intent(self) -> history.Intent:
        """Returns the record of the intended request."""
        return history.Intent(
            at_s=self._intended_s,
            request=self.arrival.request,
            service=self.arrival.service,
            region=self.arrival.region,
            client=self.arrival.client,
            late_s=time.monotonic() - self._intended_s,
        )

    def verdict(self) -> history.Verdict:
        """Returns the record of the final outcome.

        The outcome is that of the last attempt, except that "not run" becomes "unknown" if an
        earlier attempt may have run. With an idempotency key, the "not run" of an instance holds
        for the earlier attempts too and is kept; a last attempt without a connection proves
        nothing.
        """
        if not self._results:
            last = AttemptResult(
                outcome=history.NOT_RUN, reason="no-lookup", error=self._lookup_error
            )
        else:
            last = self._results[-1]
        outcome = last.outcome or history.NOT_RUN
        is_unproven = self._service.idempotent or last.outcome == ""
        if outcome == history.NOT_RUN and is_unproven and self._may_have_run:
            outcome = history.UNKNOWN
        whole, own = True, True
        if last.outcome == history.RAN and last.status == HTTP_OK:
            whole, own = self._check_body(last.body)
        return history.Verdict(
            at_s=time.monotonic(),
            request=self.arrival.request,
            outcome=outcome,
            status=last.status,
            attempts=len(self._results),
            whole=whole,
            own=own,
            reason=last.reason or last.error,
        )

    def _check_body(self, body: bytes) -> tuple[bool, bool]:
        """Returns whether the response is complete, and whether it belongs to this request."""
        try:
            content = json.loads(body)
            digest, path = content["digest"], content["path"]
        except (ValueError, KeyError, TypeError):
            return False, False
        is_whole = len(body) == RESPONSE_BYTES
        is_own = digest == hashlib.sha256(self.body).hexdigest()
        return is_whole, is_own and history.request_of(path) == self.arrival.request


def _request_body(request: str) -> bytes:
    """Returns a body that is unique to the request."""
    return request.encode().ljust(REQUEST_BYTES, b".")


def read_response(response: aiohttp.ClientResponse, body: bytes) -> AttemptResult:
    """Returns the result of an attempt; its outcome is unknown if the response states none."""
    headers = response.headers
    return AttemptResult(
        outcome=headers.get("Sassafras-Outcome", history.UNKNOWN),
        status=response.status,
        reason=headers.get("Sassafras-Reason", ""),
        served_by=headers.get("Sassafras-Served-By", ""),
        body=body,
    )

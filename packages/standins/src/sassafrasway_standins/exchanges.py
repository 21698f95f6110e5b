"""One request of a caller between its attempts, and what callers know of services and answers."""

import dataclasses
import hashlib
import json
import time

import aiohttp

from sassafrasway_standins import arrivals, history

MAX_ATTEMPTS = 8
MAX_UNKNOWN_REPEATS = 3
RETRY_PAUSE_MS = 20.0
REQUEST_BYTES = 256
ANSWER_BYTES = 1024
HTTP_OK = 200
HTTP_QUARANTINED = 422
HTTP_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryPoint:
    """An entry instance that callers know from their configuration."""

    name: str
    url: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CalledService:
    """What callers know of a service."""

    idempotent: bool
    deadline_ms: int
    slots: int = 0
    may_wait: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Result of one exchange with an entry instance.

    Attributes:
        outcome: As in ``history.Attempt``.
    """

    outcome: str
    status: int = 0
    reason: str = ""
    served_by: str = ""
    error: str = ""
    body: bytes = b""

    @property
    def is_retryable(self) -> bool:
        """Whether another instance may give a better answer; never so for a quarantined request."""
        if self.status == HTTP_QUARANTINED:
            return False
        if self.outcome == history.UNKNOWN:
            return True
        return self.outcome == "" or self.status == HTTP_UNAVAILABLE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A lookup answer; ``ticket`` is empty for idempotent services."""

    urls: tuple[str, ...]
    ticket: str
    fetched_s: float
    expires_s: float


class Exchange:
    """State of one request between its attempts."""

    def __init__(self, *, arrival: arrivals.Arrival, intended_s: float, service: CalledService):
        self.arrival = arrival
        self.body = _body(arrival.request)
        self._service = service
        self._intended_s = intended_s
        self._deadline_s = intended_s + service.deadline_ms / 1000
        self._route: Route | None = None
        self._next_url = 0
        self._answers: list[Answer] = []
        self._failed_lookups = 0
        self._lookup_error = ""

    @property
    def path(self) -> str:
        """Path and query of the request behind the instance's URL."""
        query = f"service_ms={self.arrival.service_s * 1000:.3f}&size={ANSWER_BYTES}"
        path = history.path_of(self.arrival.request)
        return f"/v1/services/{self.arrival.service}{path}?{query}"

    @property
    def remaining_s(self) -> float:
        """Time until the deadline, s."""
        return self._deadline_s - time.monotonic()

    @property
    def wants_attempt(self) -> bool:
        """Whether another attempt is useful, allowed and in time."""
        if not self._answers:
            return self._failed_lookups < MAX_ATTEMPTS and self.remaining_s > 0
        if not self._answers[-1].is_retryable or self.remaining_s <= 0:
            return False
        unknown = sum(each.outcome == history.UNKNOWN for each in self._answers)
        tries = len(self._answers) + self._failed_lookups
        return tries < MAX_ATTEMPTS and unknown <= MAX_UNKNOWN_REPEATS

    @property
    def pause_ms(self) -> float:
        """Upper bound of the pause before the next attempt."""
        tries = len(self._answers) + self._failed_lookups
        return RETRY_PAUSE_MS * 2 ** max(0, tries - 1)

    @property
    def needs_route(self) -> bool:
        """Whether the next attempt starts with a lookup.

        A request that may have been received keeps its key. One that certainly did not run takes a
        new ticket, because the instance that issued the first one may be gone.
        """
        if self._route is None:
            return True
        if not self._service.idempotent:
            return not self._may_have_run
        return self._next_url >= len(self._route.urls)

    @property
    def _may_have_run(self) -> bool:
        return any(each.outcome in (history.RAN, history.UNKNOWN) for each in self._answers)

    def use(self, route: Route) -> None:
        """Uses a lookup answer for the next attempts."""
        failed = self._answers[-1].outcome == "" if self._answers else False
        if route.ticket:
            # Another instance could not tell whether the holder of the ticket has run it.
            failed = False
        self._route = route
        # The first instance of a cached or repeated answer is likely the one that just failed.
        self._next_url = len(self._answers) % len(route.urls) if failed else 0

    def next_url(self) -> str:
        """Returns the instance for the next attempt and moves on to the one after it."""
        assert self._route is not None
        url = self._route.urls[self._next_url % len(self._route.urls)]
        self._next_url += 1
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

    def fail_lookup(self, message: str) -> None:
        """Counts a lookup that no instance answered."""
        self._failed_lookups += 1
        self._lookup_error = message

    def add(self, answer: Answer, *, url: str, started_s: float) -> history.Attempt:
        """Takes the result of an attempt and returns its record."""
        self._answers.append(answer)
        return history.Attempt(
            at_s=started_s,
            request=self.arrival.request,
            number=len(self._answers),
            instance=url,
            ended_s=time.monotonic(),
            outcome=answer.outcome,
            status=answer.status,
            key=self._route.ticket if self._route else "",
            served_by=answer.served_by,
            reason=answer.reason,
            error=answer.error,
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
        """Returns what the caller knows in the end.

        The last answer counts, except that an earlier attempt with an unknown outcome makes the
        whole request unknown unless its key proves otherwise.
        """
        if not self._answers:
            last = Answer(outcome=history.NOT_RUN, reason="no-lookup", error=self._lookup_error)
        else:
            last = self._answers[-1]
        outcome = last.outcome or history.NOT_RUN
        doubtful = self._service.idempotent or last.outcome == ""
        if outcome == history.NOT_RUN and doubtful and self._may_have_run:
            outcome = history.UNKNOWN
        whole, own = True, True
        if last.outcome == history.RAN and last.status == HTTP_OK:
            whole, own = self._inspect(last.body)
        return history.Verdict(
            at_s=time.monotonic(),
            request=self.arrival.request,
            outcome=outcome,
            status=last.status,
            attempts=len(self._answers),
            whole=whole,
            own=own,
            reason=last.reason or last.error,
        )

    def _inspect(self, body: bytes) -> tuple[bool, bool]:
        """Returns whether the answer is complete, and whether it belongs to this request."""
        try:
            content = json.loads(body)
            digest, path = content["digest"], content["path"]
        except (ValueError, KeyError, TypeError):
            return False, False
        is_whole = len(body) == ANSWER_BYTES
        is_own = digest == hashlib.sha256(self.body).hexdigest()
        return is_whole, is_own and history.request_of(path) == self.arrival.request


def _body(request: str) -> bytes:
    """Returns a body that no other request has."""
    return request.encode().ljust(REQUEST_BYTES, b".")


def read_answer(response: aiohttp.ClientResponse, body: bytes) -> Answer:
    """Returns what an instance's response says about the attempt."""
    headers = response.headers
    return Answer(
        outcome=headers.get("Sassafras-Outcome", history.UNKNOWN),
        status=response.status,
        reason=headers.get("Sassafras-Reason", ""),
        served_by=headers.get("Sassafras-Served-By", ""),
        body=body,
    )

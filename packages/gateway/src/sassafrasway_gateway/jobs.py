"""Admission of requests: finds the route, the service and the deadlines of each request."""

import dataclasses
import math
import random
import re
from collections.abc import Callable

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors
from sassafrasway_gateway import (
    admission,
    balancer,
    crashes,
    messages,
    model,
    organisations,
    rate_limits,
    routing,
    state,
)

# Timeout of a route that does not set one.
DEFAULT_TIMEOUT_S = 30.0
# Retry-After of requests that arrive before the first policy.
NO_POLICY_RETRY_AFTER_S = 0.5
# Retry-After of requests whose keys cannot be checked against a current policy.
KEYS_EXPIRED_RETRY_AFTER_S = 0.5
# Extra time after the timeout of the route for a server to finish a request that it is running. A
# late response is more useful to the caller than a timeout, which leaves open whether a
# non-idempotent request ran.
ROUTE_TIMEOUT_GRACE_S = 0.15
_TIME_LEFT_MS = re.compile(rb"[+-]?[0-9]{1,12}")


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptLogEntry:
    """Description of one attempt in the log line of its request.

    The text contains ``known`` if the object was known to be warm on the server, otherwise ``new``.
    ``result`` is empty until the outcome is known.
    """

    choice: balancer.Choice
    result: str = ""

    def __str__(self) -> str:
        choice = self.choice
        return (
            f"{choice.state.server.server_id} rank {choice.rank}"
            f" {'known' if choice.warm else 'new'} load {choice.load:.1f}"
            f" age {choice.load_age_s:.2f}: {self.result or 'no answer'}"
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """An admitted request and the state of its attempts.

    Attributes:
        request: Request as it is forwarded, without the key of the caller.
        organisation: Organisation of the caller; None if the request needs no key.
        priority: Rank of the request among those for its service; 0 is the most urgent.
        allowed_regions: Regions whose servers may be used; None allows all.
        object_key: Object named in the cookie of a request to a sticky route; otherwise the id of
            the request.
        names_object: Whether the request names its object, so that other requests can share it.
        fingerprint: Digest that is the same when the caller sends the request again.
        deadline_s: Monotonic time after which no attempt is started.
        server_deadline_s: Monotonic time by which a server has to finish the request.
        displaced: Whether a server rejected the request because its queue was full.
        rejected_by: Id of the server that rejected the last attempt while it had free slots; empty
            if there was none.
        sent_attempts: Number of finished attempts that had a connection, new or reused.
        permit: Token of the organisation's rate limit; None before it was acquired, or without
            limit.
        permit_used: Whether an attempt was sent with the permit; retries need no other one.
    """

    request: messages.Request
    request_id: str
    route: model.Route
    service: str
    object_key: str
    fingerprint: str
    deadline_s: float
    server_deadline_s: float
    policy_version: int
    organisation: model.Organisation | None = None
    priority: int = 0
    names_object: bool = True
    allowed_regions: frozenset[str] | None = None
    excluded_servers: list[str] = dataclasses.field(default_factory=list)
    attempts: list[AttemptLogEntry] = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    displaced: bool = False
    rejected_by: str = ""
    sent_attempts: int = 0
    permit: rate_limits.Permit | None = None
    permit_used: bool = False

    @property
    def request_class(self) -> admission.RequestClass:
        """Properties of the request that admission control depends on."""
        return admission.RequestClass(
            service=self.service,
            route=self.route.name,
            priority=self.priority,
            organisation=None if self.organisation is None else self.organisation.name,
        )


class NotAdmitted(errors.NotRunError):
    """The gateway refuses the request without sending it to a server.

    ``retry_after_s`` is None if a retry is of no use; no Retry-After header is sent then.
    """

    def __init__(
        self, message: str, *, request_id: str, status: int, retry_after_s: float | None = None
    ):
        super().__init__(message, step="gateway.admit")
        self.request_id = request_id
        self.status = status
        self.retry_after_s = retry_after_s


class Admission:
    """Creates the jobs of requests according to the policy in force.

    ``keys_expired`` returns whether the policy is too old for its keys to be accepted.
    """

    def __init__(
        self,
        *,
        policy_state: state.PolicyState,
        names: messages.HeaderNames,
        keys_expired: Callable[[], bool] = lambda: False,
    ):
        self._policy_state = policy_state
        self._names = names
        self._keys_expired = keys_expired
        self._split_picker = routing.SplitPicker(rng=random.Random())

    def admit(self, request: messages.Request) -> Job:
        """Returns the job of a request: its route, service, object and deadlines.

        Raises:
            NotAdmitted: The request can't be forwarded.
        """
        request_id = (request.header(self._names.request_id) or b"").decode("latin-1")
        policy = self._policy_state.policy
        if policy is None:
            raise NotAdmitted(
                "no policy",
                request_id=request_id,
                status=503,
                retry_after_s=NO_POLICY_RETRY_AFTER_S,
            )
        route = self.route_of(request)
        if route is None:
            host = (request.header(b"host") or b"").decode("latin-1")
            target = request.target.decode("latin-1")
            raise NotAdmitted(f"no route for {host}{target}", request_id=request_id, status=404)
        organisation = self._authenticate(request, route, request_id)
        caller_remaining_s = self._caller_remaining_s(request)
        if caller_remaining_s is None:
            raise NotAdmitted(
                "invalid time limit",
                request_id=request_id,
                status=400,
            )
        timeout_s = timeout_of(route)
        deadline_s = request.received_s + min(caller_remaining_s, timeout_s)
        server_deadline_s = request.received_s + min(
            caller_remaining_s, timeout_s + ROUTE_TIMEOUT_GRACE_S
        )
        if deadline_s - clock_lib.elapsed_s() <= 0:
            raise NotAdmitted("time limit passed", request_id=request_id, status=408)
        object_key = ""
        if route.sticky:
            object_key = messages.cookie(request.headers, self._names.object_cookie) or ""
        if policy.organisations:
            request = dataclasses.replace(
                request,
                headers=organisations.forwarded_headers(request.headers, self._names, organisation),
            )
        return Job(
            request=request,
            request_id=request_id,
            route=route,
            service=self._split_picker.pick(route),
            object_key=object_key or request_id,
            names_object=bool(object_key),
            fingerprint=crashes.fingerprint(request, object_key),
            deadline_s=deadline_s,
            server_deadline_s=server_deadline_s,
            policy_version=policy.version,
            organisation=organisation,
            priority=priority_of(route, organisation),
            allowed_regions=allowed_regions(route, organisation),
        )

    def _authenticate(
        self, request: messages.Request, route: model.Route, request_id: str
    ) -> model.Organisation | None:
        """Returns the organisation of the caller; None if the request needs no key.

        Raises:
            NotAdmitted: The request lacks a valid key, or keys cannot be checked now.
        """
        if not self._policy_state.policy.organisations or route.anonymous:
            return None
        if self._keys_expired():
            raise NotAdmitted(
                "keys cannot be checked: no current policy",
                request_id=request_id,
                status=503,
                retry_after_s=KEYS_EXPIRED_RETRY_AFTER_S,
            )
        keys = self._policy_state.keys
        organisation = keys.organisation_of(request.headers, self._names.key)
        if organisation is None:
            raise NotAdmitted("no valid key", request_id=request_id, status=401)
        return organisation

    def route_of(self, request: messages.Request) -> model.Route | None:
        """Returns the route of a request; None without a policy or if no route matches."""
        routes = self._policy_state.routes
        if routes is None:
            return None
        host = (request.header(b"host") or b"").decode("latin-1")
        return routes.match(host, request.target.decode("latin-1"))

    def _caller_remaining_s(self, request: messages.Request) -> float | None:
        """Returns how long the caller waits for a response, or None if its header is invalid.

        The time counts from the arrival of the request. A caller without the header is assumed to
        wait without limit.
        """
        value = request.header(self._names.time_left_ms)
        if value is None:
            return math.inf
        if _TIME_LEFT_MS.fullmatch(value) is None:
            return None
        return int(value) / 1000.0


def timeout_of(route: model.Route) -> float:
    """Returns the time from the arrival of a request until which attempts may start, s."""
    return route.timeout_s if route.timeout_s is not None else DEFAULT_TIMEOUT_S


def priority_of(route: model.Route, organisation: model.Organisation | None) -> int:
    """Returns the priority of a request; that of the organisation takes precedence."""
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority


def allowed_regions(
    route: model.Route, organisation: model.Organisation | None
) -> frozenset[str] | None:
    """Returns the regions that the homes of the route and of the organisation have in common.

    None stands for all regions; the set is empty if no region is a home of both.
    """
    allowed = route.home_regions or None
    if organisation is None or not organisation.home_regions:
        return allowed
    return organisation.home_regions if allowed is None else allowed & organisation.home_regions

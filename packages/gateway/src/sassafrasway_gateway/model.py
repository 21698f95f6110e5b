"""Data types of the policy and of backend servers."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service of a route; it gets requests in proportion to its weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Routing rule for the requests to one host and path prefix.

    The gateway does not use the target latency.

    Attributes:
        idempotent: Whether a request may run more than once.
        timeout_s: Time from the arrival of a request until which attempts may start; None for the
            default of the gateway. A running attempt gets ``jobs.ROUTE_TIMEOUT_GRACE_S`` more.
        target_latency_s: Time after which a response is worth less to the caller.
        priority: Rank among the routes of a service; 0 is the most urgent.
        max_attempts: Largest number of attempts; those that could not connect do not count.
        sticky: Whether requests are assigned to servers by the object named in a cookie; see
            ``balancer`` for objects.
        home_regions: Regions whose servers may be used; empty allows all.
        anonymous: Whether requests need no key although the policy has organisations.
        expected_response_bytes: Usual size of the body of a response, as long as no response was
            measured; 0 if it is not known.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    services: tuple[WeightedService, ...]
    timeout_s: float | None = None
    target_latency_s: float | None = None
    priority: int = 0
    max_attempts: int = 1
    sticky: bool = False
    home_regions: frozenset[str] = frozenset()
    anonymous: bool = False
    expected_response_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer whose callers identify themselves with keys.

    Attributes:
        priority: Rank of its requests, which replaces that of the route; None to keep that.
        rate_per_s: Requests per second that all instances together may pass on; 0 for no limit.
        burst: Requests that they may pass on in addition in each window.
        home_regions: Regions whose servers may be used; empty allows all.
    """

    name: str
    keys: frozenset[str] = dataclasses.field(default=frozenset(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Settings of one service.

    The gateway uses neither the health check nor the connection limit.

    Attributes:
        health_path: URL path of the health check of a server.
        max_connections: Connections that a server accepts from all callers together.
        warmup_s: Time after its start for which a server is cold: slow, with empty caches.
        warmup_per_s: Requests per second that a cold server tolerates.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: Largest size of the head of a request.
        header_timeout_s: Time from the first byte of a request until its head must be complete.
        idle_timeout_s: Longest time without data between requests or within a body.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """One version of the operator's policy.

    Attributes:
        organisations: Organisations whose callers need keys, by name; if there are none, no request
            needs a key.
        problems: Messages about unknown parts, with how they are treated.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits
    organisations: Mapping[str, Organisation] = dataclasses.field(default_factory=dict)
    problems: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """One start of a backend server, as its listing describes it.

    The listing is the row that the server writes into the platform's store. After a restart, the
    server is listed under the same id.

    Attributes:
        slots: Number of requests that the server runs at a time.
        started_ms: Unix time of the start, which distinguishes starts under the same id; 0 if
            unknown.
        sequence: Number of the listing, counted from the start of the server.
        cold_left_s: Time for which the server remains cold, from the time of the listing.
    """

    server_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    draining: bool = False
    started_ms: int = 0
    sequence: int = 0
    cold_left_s: float = 0.0

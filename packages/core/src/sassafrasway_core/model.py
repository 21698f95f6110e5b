"""Data classes for policies, pools and instances."""

import dataclasses
import enum
import math
from collections.abc import Mapping

import xxhash


class AtMostOnceMode(enum.Enum):
    """Kind of idempotency keys that a policy states for a service (see ``at_most_once``).

    The value is only stored: requests with either kind of key are accepted in both modes.
    """

    TICKET = "ticket"
    CLAIM = "claim"


class ServerState(enum.Enum):
    """Whether a backend server may receive new requests; a leaving server may not."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class InstanceId:
    """Identifies one run of an entry instance, which is also called an incarnation.

    The name stays the same after a restart; ``incarnation`` distinguishes the runs.
    """

    name: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.name}/{self.incarnation}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class PoolKey:
    """Identifies a pool: backend servers of a service in a region that have the same owner.

    The owner is the instance that sends requests to these servers (see ``region``). ``shard`` is
    the index among the pools of the service in the region, from 0.
    """

    service: str
    region: str
    shard: int = 0

    def __str__(self) -> str:
        return f"{self.service}/{self.region}/{self.shard}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Region:
    """A region, to which backend servers and blocks of client addresses belong.

    Its servers together receive at most ``cap_rps`` requests/s; None means no cap.
    """

    name: str
    cap_rps: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Link:
    """The network link between two regions.

    The cap applies to each direction separately, and the delay is one-way.
    """

    source: str
    target: str
    cap_mbit_s: float
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service that callers can address.

    Attributes:
        idempotent: Whether a request may be run more than once.
        may_wait: Whether requests may wait for a slot.
        deadline_ms: Deadline of requests whose caller sets none, from their arrival.
        max_pool_slots: A region's pool with more slots than this is split into shards, because one
            instance owns a pool and must handle all of its requests.
    """

    name: str
    idempotent: bool
    may_wait: bool = False
    at_most_once: AtMostOnceMode = AtMostOnceMode.TICKET
    deadline_ms: int = 2000
    max_pool_slots: int = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """A server that runs requests of one service.

    Attributes:
        url: Base URL, ``http://IP:port``.
        slots: Number of requests that the server runs at a time.
        connections: Number of connections that the server accepts; also the limit of each
            connection pool that an instance has for this server.
    """

    name: str
    service: str
    region: str
    failure_domain: str
    url: str
    slots: int
    connections: int
    state: ServerState = ServerState.ACTIVE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientBlock:
    """A block of client addresses and its home region."""

    cidr: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shift:
    """Moves requests of a service from the source region to the target region.

    Attributes:
        cap_rps: Maximum rate of moved requests in any one-second window, requests/s.
        fraction: Final fraction of the source's requests to move, 0 to 1.
        pace_per_s: Growth of the moved fraction per second, 1/s.
    """

    name: str
    service: str
    source: str
    target: str
    cap_rps: float
    fraction: float = 1.0
    pace_per_s: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """One revision of the steering policy; every mapping is keyed by name.

    Links are keyed by ``"a/b"`` with the region names in alphabetical order.
    """

    revision: int
    regions: Mapping[str, Region]
    links: Mapping[str, Link]
    services: Mapping[str, Service]
    servers: Mapping[str, BackendServer]
    blocks: Mapping[str, ClientBlock]
    shifts: Mapping[str, Shift]

    def pools(self) -> dict[PoolKey, tuple[BackendServer, ...]]:
        """Returns the servers of every pool, including leaving ones, sorted by name."""
        groups: dict[tuple[str, str], list[BackendServer]] = {}
        for server in self.servers.values():
            groups.setdefault((server.service, server.region), []).append(server)
        pools: dict[PoolKey, list[BackendServer]] = {}
        for (service, region), servers in groups.items():
            shard_count = self._shard_count(service, servers)
            for server in sorted(servers, key=lambda server: server.name):
                shard = xxhash.xxh32_intdigest(server.name.encode()) % shard_count
                key = PoolKey(service=service, region=region, shard=shard)
                pools.setdefault(key, []).append(server)
        return {key: tuple(servers) for key, servers in pools.items()}

    def link(self, region_a: str, region_b: str) -> Link | None:
        """Returns the link between two regions, or None if the policy has none."""
        return self.links.get("/".join(sorted((region_a, region_b))))

    def regions_by_distance(self, origin: str) -> list[str]:
        """Returns all regions by increasing delay from ``origin``, starting with ``origin``.

        Regions without a link to ``origin`` come last.
        """

        def sort_key(region: str) -> tuple[float, str]:
            if region == origin:
                return (-1.0, region)
            link = self.link(origin, region)
            return (link.delay_ms if link else math.inf, region)

        return sorted(self.regions, key=sort_key)

    def _shard_count(self, service: str, servers: list[BackendServer]) -> int:
        slots = sum(server.slots for server in servers)
        return max(1, math.ceil(slots / self.services[service].max_pool_slots))

"""Settings of a gateway process, independent of their source."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits that the operator guarantees to callers and backend servers.

    Attributes:
        stop_grace_s: Time between the stop signal and the kill, s.
        retry_ratio: Retries permitted per request to a service.
        retry_extra: Additional retries per service, permitted for the whole fleet in each window.
        retry_window_s: Length of the window, s.
        cold_factor: Permitted multiple of the request rate that a cold server tolerates. It bounds
            the requests of all instances together to each cold server.
        cold_slack: Requests per second to each cold server permitted in addition to that.
        lookup_ttl_s: Longest time for which callers may cache a lookup, s.
        quota_window_s: Length of the window of the rate limits of organisations, s.
        quota_factor: Permitted multiple of an organisation's limit in each window.
        quota_slack: Requests of an organisation permitted in addition in each window.
        strict_keys: Whether an instance without a current policy refuses requests that need a key.
        key_lifetime_s: Time without a current policy after which it does so, s.
    """

    stop_grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_extra: float = 100.0
    retry_window_s: float = 10.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    lookup_ttl_s: float = 5.0
    quota_window_s: float = 5.0
    quota_factor: float = 1.1
    quota_slack: float = 20.0
    strict_keys: bool = False
    key_lifetime_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Identity, addresses and bounds of one gateway process.

    Attributes:
        front: Address for requests of callers.
        readiness: Address for readiness probes of the platform.
        lookup: Address for lookups of callers.
        peer: UDP address for datagrams of other instances.
        relay: Address from which other instances fetch rows of the platform's store.
        metrics: Address for the metrics and a dump of the process's state; None to serve neither.
        region_of: Region of each failure domain.
        memory_bytes: Memory above which the process is killed; None if it is not limited.
    """

    instance: str
    region: str
    failure_domain: str
    front: Address
    readiness: Address
    lookup: Address
    peer: Address
    relay: Address
    metrics: Address | None
    region_of: Mapping[str, str]
    bounds: Bounds
    memory_bytes: int | None = None

"""Data types in the interface of a slot pool."""

import dataclasses
import enum

from sassafrasway_core import model
from sassafrasway_core import share as shares


class ServerResult(enum.Enum):
    """How a dispatch to a backend server ended.

    ``FAILED`` means that the connection failed before the request was sent; ``CRASHED`` means
    that the connection was lost before the response arrived.
    """

    OK = "ok"
    SHED = "shed"
    FAILED = "failed"
    TIMEOUT = "timeout"
    CRASHED = "crashed"
    CANCELLED = "cancelled"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotLease:
    """The right to run one request on a server until the lease is released."""

    server: model.BackendServer
    lease_id: int
    started_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A lease granted to a request in the wait queue."""

    waiter_id: object
    lease: SlotLease


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerSnapshot:
    """State of one server in a pool.

    Attributes:
        limit: Slots usable now under the share and the ramp-up.
        in_use: Slots held by leases of this pool.
        inherited: Slots that a previous owner still uses.
        reported_load: Slots in use as last reported by the server; None without a recent report.
    """

    name: str
    slots: int
    limit: int
    in_use: int
    inherited: int
    leaving: bool
    ejected: bool
    reported_load: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolSnapshot:
    """State of a pool for dumps and metrics."""

    key: model.PoolKey
    share: shares.Share
    servers: tuple[ServerSnapshot, ...]
    free_slots: int
    queue_length: int

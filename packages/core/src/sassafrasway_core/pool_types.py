"""Values that a slot pool hands out and accepts."""

import dataclasses
import enum

from sassafrasway_core import model
from sassafrasway_core import share as shares


class ServerResult(enum.Enum):
    """How a dispatch to a backend server ended.

    ``FAILED`` means that the connection failed before the request was sent, ``CRASHED`` that it
    was lost before the answer.
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
    """A lease that was given to a waiting queue entry."""

    waiter_id: object
    lease: SlotLease


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerSnapshot:
    """State of one server in a pool.

    Attributes:
        limit: Slots usable now under the share and the ramp.
        in_use: Slots held by leases of this pool.
        inherited: Slots that a previous owner still uses.
        reported_load: Slots in use by the server's own last report, None without a recent one.
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

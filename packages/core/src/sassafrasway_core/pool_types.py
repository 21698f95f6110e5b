"""Data types in the interface of a slot pool."""

import dataclasses
import enum

from sassafrasway_core import model
from sassafrasway_core import share as shares


class ServerResult(enum.Enum):
    """How a dispatch to a backend server ended.

    Attributes:
        OK: The response arrived.
        SHED: The server refused the request because of its load.
        FAILED: The request was not sent, because the connection failed or was not ready in time.
        TIMEOUT: The request was sent, but the response was not complete in time.
        CRASHED: The response is incomplete: the connection was lost, or the body was too large.
        CANCELLED: This instance ended the dispatch, or released the slot without a dispatch.
        LEAVING: The server reported in its response that it is leaving.
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
    """The right to run one request on a server, from monotonic time ``started_s`` to release."""

    server: model.BackendServer
    lease_id: int
    started_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaiterLease:
    """A lease that was created for a request in the wait queue."""

    waiter_id: object
    lease: SlotLease


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerSnapshot:
    """State of one server in a pool.

    Attributes:
        slots: Slots of the server as configured in the policy.
        limit: Slots usable now under the share and the ramp-up.
        in_use: Slots held by leases of this pool, without the inherited ones.
        inherited: Slots that earlier owners still use.
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

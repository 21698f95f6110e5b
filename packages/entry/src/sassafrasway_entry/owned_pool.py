"""Record of the state of one owned pool."""

import asyncio
import dataclasses

from sassafrasway_core import pool, region, window


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnedPool:
    """State of a pool that this instance owns, or has released while its requests still run.

    Attributes:
        slots: Slots of the pool's servers, their leases and the wait queue.
        shift_windows: Windows that enforce the caps of shifts into this pool, by source region.
        waiters: Futures of the waiting requests, by waiter id. The result is a lease, or None when
            the pool is released.
        acquired_s: Monotonic time at which this instance last became the owner.
        requests: Number of requests that got a slot and were within the caps.
        busy_until_s: Monotonic time of the latest deadline of all dispatched requests.
    """

    grant: region.PoolGrant
    slots: pool.SlotPool
    shift_windows: dict[str, window.CompletionWindow]
    waiters: dict[int, asyncio.Future]
    acquired_s: float = 0.0
    requests: int = 0
    busy_until_s: float = 0.0

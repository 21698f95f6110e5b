"""Record of the state of one owned pool."""

import asyncio
import dataclasses

from sassafrasway_core import pool, region, window


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnedPool:
    """State of a pool that this instance owns.

    Attributes:
        shift_windows: Windows of the shifts into this pool, by source region.
        waiters: Futures of the waiting requests, by waiter id.
        acquired_s: When this instance last became the owner.
        requests: Number of requests that got a slot.
        busy_until_s: Latest deadline of all dispatched requests.
    """

    grant: region.PoolGrant
    slots: pool.SlotPool
    shift_windows: dict[str, window.CompletionWindow]
    waiters: dict[int, asyncio.Future]
    acquired_s: float = 0.0
    requests: int = 0
    busy_until_s: float = 0.0

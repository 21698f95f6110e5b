"""State of one pool that this instance owns."""

import asyncio
import dataclasses

from sassafrasway_core import pool, region, window


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnedPool:
    """State of a pool that this instance owns."""

    grant: region.PoolGrant
    slots: pool.SlotPool
    shift_windows: dict[str, window.CompletionWindow]
    waiters: dict[int, asyncio.Future]
    acquired_s: float = 0.0
    requests: int = 0
    busy_until_s: float = 0.0  # when the deadlines of all dispatched requests have passed

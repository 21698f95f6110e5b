"""Measures how long the event loop of a stand-in is blocked.

A stalled stand-in reads requests late and in bursts, which can look like a violation of a rate
limit. The longest stall helps to distinguish such an artefact of a busy machine from a real
violation.
"""

import asyncio
import gc
import time

INTERVAL_S = 0.01


class StallMeter:
    """Measures stalls of the event loop as the overrun of short sleeps."""

    def __init__(self):
        self._longest_s = 0.0
        self._longest_at_s = 0.0

    async def run(self) -> None:
        """Measures until cancelled."""
        # Keeps garbage collections from traversing the imported modules.
        gc.collect()
        gc.freeze()
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(INTERVAL_S)
            self._update_longest(before_s, time.monotonic())

    def as_json(self) -> dict[str, float]:
        """Returns the longest stall in ms and the monotonic time at which it ended in s."""
        return {"longest_ms": self._longest_s * 1000, "at_s": self._longest_at_s}

    def _update_longest(self, before_s: float, after_s: float) -> None:
        stall_s = after_s - before_s - INTERVAL_S
        if stall_s > self._longest_s:
            self._longest_s, self._longest_at_s = stall_s, after_s

"""Measures how long the event loop of a stand-in stands still.

A stalled stand-in sees requests later than they arrived and closer together, which can look like a
breach of a rate limit. The figure tells such an artefact of a busy machine from a real breach.
"""

import asyncio
import gc
import time

INTERVAL_S = 0.01


class StallMeter:
    """Compares the real length of short sleeps with the wanted one."""

    def __init__(self):
        self._longest_s = 0.0
        self._longest_at_s = 0.0

    async def run(self) -> None:
        """Measures until it is cancelled."""
        # Without this, collections walk the imported modules as well.
        gc.collect()
        gc.freeze()
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(INTERVAL_S)
            self._note(before_s, time.monotonic())

    def as_json(self) -> dict[str, float]:
        """Returns the longest stall in ms and the monotonic time of its end in s."""
        return {"longest_ms": self._longest_s * 1000, "at_s": self._longest_at_s}

    def _note(self, before_s: float, after_s: float) -> None:
        stall_s = after_s - before_s - INTERVAL_S
        if stall_s > self._longest_s:
            self._longest_s, self._longest_at_s = stall_s, after_s

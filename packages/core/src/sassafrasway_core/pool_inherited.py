"""Slots that earlier owners of a pool still use."""

import dataclasses
import math
from collections.abc import Mapping


@dataclasses.dataclass(slots=True)
class _Batch:
    """Slots of one server that are counted until the same deadline."""

    expires_s: float
    count: int


class InheritedSlots:
    """Counts inherited slots per server until they are released or their deadline passes.

    Slots whose deadline has passed count until ``expire`` removes them.
    """

    def __init__(self):
        self._batches: dict[str, list[_Batch]] = {}
        self._totals: dict[str, int] = {}
        self._next_expiry_s = math.inf

    def count(self, server_name: str) -> int:
        """Returns the inherited slots of a server."""
        return self._totals.get(server_name, 0)

    def counts(self) -> dict[str, int]:
        """Returns the inherited slots by server name."""
        return dict(self._totals)

    def add(self, counts: Mapping[str, int], *, expires_s: float) -> None:
        """Adds slots by server name; their requests end at ``expires_s`` at the latest."""
        for server_name, count in counts.items():
            if count > 0:
                batches = self._batches.setdefault(server_name, [])
                batches.append(_Batch(expires_s, count))
                batches.sort(key=lambda batch: batch.expires_s)
                self._totals[server_name] = self.count(server_name) + count
                self._next_expiry_s = min(self._next_expiry_s, expires_s)

    def release(self, server_name: str, count: int) -> None:
        """Removes up to ``count`` slots of a server.

        It is not known which of the requests ended. Removing the slots with the earliest deadline
        first ensures that the remaining ones are never counted for too short a time.
        """
        batches = self._batches.get(server_name, [])
        for batch in batches:
            released = min(batch.count, count)
            batch.count -= released
            count -= released
        self._set_batches(server_name, [batch for batch in batches if batch.count])

    def expire(self, now_s: float) -> None:
        """Removes the slots whose deadline has passed."""
        if now_s < self._next_expiry_s:
            return
        for server_name, batches in list(self._batches.items()):
            self._set_batches(server_name, [batch for batch in batches if batch.expires_s > now_s])
        self._next_expiry_s = min(
            (batches[0].expires_s for batches in self._batches.values()), default=math.inf
        )

    def _set_batches(self, server_name: str, batches: list[_Batch]) -> None:
        if batches:
            self._batches[server_name] = batches
            self._totals[server_name] = sum(batch.count for batch in batches)
        else:
            self._batches.pop(server_name, None)
            self._totals.pop(server_name, None)

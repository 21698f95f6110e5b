"""First-come, first-served queue of requests that wait for a slot until their deadline."""

import heapq
import itertools
from collections.abc import Hashable


class WaitQueue:
    """Queue entries in order of arrival, at most ``limit`` of them."""

    def __init__(self, *, limit: int):
        self._limit = limit
        self._entries: dict[Hashable, float] = {}
        # A heap entry is stale when its waiter has left the queue or waits with another deadline.
        self._by_deadline: list[tuple[float, int, Hashable]] = []
        self._sequence = itertools.count()
        # A dict keeps the order and lets an abandoned entry be removed.
        self._dropped: dict[Hashable, None] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def append(self, waiter_id: Hashable, *, expires_s: float, now_s: float) -> bool:
        """Adds an entry; returns False when the queue is full or the deadline has passed.

        Raises:
            ValueError: ``waiter_id`` already waits.
        """
        if waiter_id in self._entries:
            raise ValueError(f"{waiter_id!r} already waits for a slot")
        self._drop_expired(now_s)
        if len(self._entries) >= self._limit or expires_s <= now_s:
            return False
        self._entries[waiter_id] = expires_s
        heapq.heappush(self._by_deadline, (expires_s, next(self._sequence), waiter_id))
        return True

    def remove(self, waiter_id: Hashable) -> None:
        """Removes an entry, also one that has expired; does nothing when there is none."""
        self._entries.pop(waiter_id, None)
        self._dropped.pop(waiter_id, None)

    def pop(self, *, now_s: float) -> Hashable | None:
        """Removes and returns the longest-waiting entry that is in time, None without one."""
        self._drop_expired(now_s)
        if not self._entries:
            return None
        waiter_id = next(iter(self._entries))
        del self._entries[waiter_id]
        return waiter_id

    def take_expired(self, *, now_s: float) -> list[Hashable]:
        """Removes and returns every entry whose deadline passed since the last call."""
        self._drop_expired(now_s)
        dropped, self._dropped = self._dropped, {}
        return list(dropped)

    def _drop_expired(self, now_s: float) -> None:
        while self._by_deadline and self._by_deadline[0][0] <= now_s:
            expires_s, _, waiter_id = heapq.heappop(self._by_deadline)
            if self._entries.get(waiter_id) == expires_s:
                del self._entries[waiter_id]
                self._dropped[waiter_id] = None

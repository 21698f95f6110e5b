"""FIFO queue of requests that wait for a slot until their deadline."""

import heapq
import itertools
from collections.abc import Hashable


class WaitQueue:
    """Waiting requests in order of arrival, at most ``limit`` of them."""

    def __init__(self, *, limit: int):
        self._limit = limit
        # Deadlines in monotonic seconds by waiter id, in order of arrival.
        self._entries: dict[Hashable, float] = {}
        # A heap entry is stale if its request has left the queue or was queued again with another
        # deadline.
        self._deadline_heap: list[tuple[float, int, Hashable]] = []
        # Breaks ties in the heap, because waiter ids need not be comparable.
        self._sequence = itertools.count()
        # Expired requests that take_expired() has not returned yet, as an ordered set.
        self._expired: dict[Hashable, None] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def append(self, waiter_id: Hashable, *, expires_s: float, now_s: float) -> bool:
        """Adds a request; returns False if the queue is full or the deadline has passed.

        Raises:
            ValueError: ``waiter_id`` is already in the queue.
        """
        if waiter_id in self._entries:
            raise ValueError(f"{waiter_id!r} is already waiting for a slot")
        self._expire_entries(now_s)
        if len(self._entries) >= self._limit or expires_s <= now_s:
            return False
        self._entries[waiter_id] = expires_s
        heapq.heappush(self._deadline_heap, (expires_s, next(self._sequence), waiter_id))
        return True

    def remove(self, waiter_id: Hashable) -> None:
        """Removes a request, even an expired one; does nothing if it is unknown."""
        self._entries.pop(waiter_id, None)
        self._expired.pop(waiter_id, None)

    def pop(self, *, now_s: float) -> Hashable | None:
        """Removes the longest-waiting request that has not expired; returns its id, or None."""
        self._expire_entries(now_s)
        if not self._entries:
            return None
        waiter_id = next(iter(self._entries))
        del self._entries[waiter_id]
        return waiter_id

    def take_expired(self, *, now_s: float) -> list[Hashable]:
        """Removes the requests that have expired since the last call; returns their ids."""
        self._expire_entries(now_s)
        expired, self._expired = self._expired, {}
        return list(expired)

    def _expire_entries(self, now_s: float) -> None:
        while self._deadline_heap and self._deadline_heap[0][0] <= now_s:
            expires_s, _, waiter_id = heapq.heappop(self._deadline_heap)
            if self._entries.get(waiter_id) == expires_s:
                del self._entries[waiter_id]
                self._expired[waiter_id] = None

"""Bounds the memory of all buffered requests and responses of the process together.

A peer can send a message without end, and many can do so at once. A limit on each message does not
bound their sum, and a process that exceeds its memory is killed with all its requests.
"""

import weakref
from collections.abc import Callable

# Share of the process's memory that buffered messages may use. A message may be held up to twice
# for a moment, in the buffer that it was received in and in the one that it is written from.
BUFFER_SHARE = 1 / 8
MIN_CAPACITY_BYTES = 4 * 1024 * 1024
# Capacity if the memory of the process is not limited.
DEFAULT_CAPACITY_BYTES = 64 * 1024 * 1024


class Reservation:
    """Memory of one message; it is given back at the latest when the object is collected.

    Attributes:
        open_ended: Whether the sender has not stated the size of the message. Such messages are
            ended first.
        stalled: Whether the receiver of the message has read nothing for a while. Such messages are
            also ended first.
        on_exceeded: Called to end the message when the budget is exceeded; None if it must not be
            ended, for example because a request is already running.
    """

    __slots__ = ("__weakref__", "_budget", "_size", "on_exceeded", "open_ended", "stalled")

    def __init__(self, *, budget: "MemoryBudget", on_exceeded: Callable[[], None] | None):
        self._budget = budget
        self._size = 0
        self.open_ended = False
        self.stalled = False
        self.on_exceeded = on_exceeded

    def __del__(self):
        self.release()

    @property
    def size(self) -> int:
        """Reserved bytes."""
        return self._size

    def resize(self, size: int) -> None:
        """Changes the number of reserved bytes.

        If the budget is exceeded, messages are ended until it no longer is; this one may be among
        them.
        """
        added = size - self._size
        self._size = size
        self._budget.on_resized(self, added)

    def release(self) -> None:
        """Gives all reserved bytes back."""
        if self._size:
            self.resize(0)


class MemoryBudget:
    """Bytes that all reservations together may hold."""

    def __init__(self, *, capacity_bytes: int = DEFAULT_CAPACITY_BYTES):
        self._capacity = capacity_bytes
        self._used = 0
        # Reservations of at least one byte.
        self._holders: weakref.WeakSet[Reservation] = weakref.WeakSet()

    @classmethod
    def for_process(cls, memory_bytes: int | None) -> "MemoryBudget":
        """Returns the budget of a process that may use ``memory_bytes``; None if unlimited."""
        if memory_bytes is None:
            return cls()
        return cls(capacity_bytes=max(MIN_CAPACITY_BYTES, int(memory_bytes * BUFFER_SHARE)))

    @property
    def capacity(self) -> int:
        """Bytes that all reservations together may hold."""
        return self._capacity

    @property
    def used(self) -> int:
        """Bytes that all reservations hold now."""
        return self._used

    @property
    def stalled(self) -> int:
        """Bytes of the stalled messages that may be ended."""
        return sum(holder.size for holder in self._stalled_holders())

    def reserve(self, on_exceeded: Callable[[], None] | None = None) -> Reservation:
        """Returns an empty reservation; see `Reservation` for ``on_exceeded``."""
        return Reservation(budget=self, on_exceeded=on_exceeded)

    def on_resized(self, reservation: Reservation, added: int) -> None:
        """Counts a change of a reservation and ends messages if the budget is exceeded."""
        self._used += added
        if not reservation.size:
            self._holders.discard(reservation)
            return
        self._holders.add(reservation)
        while self._used > self._capacity:
            victim = self._largest_endable()
            if victim is None:
                return
            self._end(victim)

    def end_stalled(self, size: float) -> int:
        """Ends stalled messages, the largest first, until they have freed ``size`` bytes.

        Returns:
            The number of bytes that were freed.
        """
        stalled = self._stalled_holders()
        freed = 0
        for holder in sorted(stalled, key=lambda holder: holder.size, reverse=True):
            if freed >= size:
                break
            freed += holder.size
            self._end(holder)
        return freed

    def _stalled_holders(self) -> list[Reservation]:
        return [
            holder for holder in self._holders if holder.stalled and holder.on_exceeded is not None
        ]

    @staticmethod
    def _end(victim: Reservation) -> None:
        end_message, victim.on_exceeded = victim.on_exceeded, None
        end_message()
        victim.release()

    def _largest_endable(self) -> Reservation | None:
        endable = [holder for holder in self._holders if holder.on_exceeded is not None]
        return max(
            endable,
            key=lambda holder: (holder.open_ended or holder.stalled, holder.size),
            default=None,
        )

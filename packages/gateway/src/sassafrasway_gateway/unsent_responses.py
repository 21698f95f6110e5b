"""Tracks the bytes of responses that a caller has not read yet.

Their memory is reserved in the budget of the process. A caller that has read nothing for a while
counts as stalled; its connection is among the first to be ended when memory is needed.
"""

import asyncio
import fcntl
import struct
import termios

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import memory_budget

CHECK_INTERVAL_S = 0.5
# Time without reading after which a caller counts as stalled.
STALLED_AFTER_S = 3.0
# Time without reading after which a caller loses its connection. The window of a slow reader opens
# in steps of up to half its receive buffer, so some seconds pass between two steps.
READ_TIMEOUT_S = 30.0
# Smaller responses are not watched, because the socket buffer of the system holds them.
MIN_WATCHED_BYTES = 16 * 1024


class UnsentResponses:
    """Bytes of responses that were written to a transport and that the caller has not read.

    Args:
        budget: Memory of the process; None if it is not limited.
    """

    def __init__(self, *, transport: asyncio.Transport, budget: memory_budget.MemoryBudget | None):
        self._transport = transport
        self._budget = budget
        self._reservation: memory_budget.Reservation | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._unread_bytes = 0
        self._read_s = 0.0
        # The protocol is told each time that the buffer has become empty.
        transport.set_write_buffer_limits(high=0)

    @property
    def size(self) -> int:
        """Bytes that the system has not accepted yet."""
        return 0 if self._transport.is_closing() else self._transport.get_write_buffer_size()

    @property
    def unread_bytes(self) -> int:
        """Bytes that the caller's system has not acknowledged yet, including ``size``."""
        if self._transport.is_closing():
            return 0
        return self.size + _queued_by_system(self._transport.get_extra_info("socket"))

    def on_written(self, added: int) -> None:
        """Reserves memory for what the system has not accepted of ``added`` new bytes."""
        size = self.size
        if added < MIN_WATCHED_BYTES and not size:
            return
        if self._timer is None:
            self._note_reading()
            self._start_timer()
        else:
            self._unread_bytes += added
        if self._budget is None or not size:
            return
        if self._reservation is None:
            self._reservation = self._budget.reserve(self._transport.abort)
        self._reservation.resize(size)

    def on_drained(self) -> None:
        """Gives the memory back when the buffer is empty."""
        self._reservation = None

    def close(self) -> None:
        """Gives the memory back when the connection has ended."""
        self._reservation = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        """Checks whether the caller still reads, and releases the memory of what it has read."""
        self._timer = None
        unread_bytes = self.unread_bytes
        if not unread_bytes:
            self._reservation = None
            return
        if unread_bytes < self._unread_bytes:
            self._note_reading()
        unread_s = clock_lib.elapsed_s() - self._read_s
        if unread_s >= READ_TIMEOUT_S:
            self._transport.abort()
            return
        if self._reservation is not None:
            self._reservation.stalled = unread_s >= STALLED_AFTER_S
            self._reservation.resize(self.size)
        self._start_timer()

    def _note_reading(self) -> None:
        self._unread_bytes = self.unread_bytes
        self._read_s = clock_lib.elapsed_s()


def _queued_by_system(sock) -> int:
    """Returns the number of bytes of a socket that its peer has not acknowledged."""
    try:
        return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]
    except OSError:
        # The socket is closed.
        return 0

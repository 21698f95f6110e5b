"""Time sources that are passed to modules, so that tests can control the time."""

import abc
import time


class Clock(abc.ABC):
    """Source of time in seconds."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds that never decrease; only differences are meaningful."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""


def elapsed_s() -> float:
    """Returns seconds that never decrease and also count while the machine is suspended.

    ``time.monotonic`` stops during a suspension, so what was permitted for a while before it would
    still seem to be permitted after it. Only differences are meaningful.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ElapsedClock(Clock):
    """Clock of the operating system that also counts while the machine is suspended."""

    def monotonic(self) -> float:
        """See base class."""
        return elapsed_s()

    def wall(self) -> float:
        """See base class."""
        return time.time()


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """See base class."""
        return time.monotonic()

    def wall(self) -> float:
        """See base class."""
        return time.time()


class ManualClock(Clock):
    """Clock for tests that moves only by ``advance``; both times are the same."""

    def __init__(self, *, start_s: float = 1000.0):
        self._now_s = start_s

    def monotonic(self) -> float:
        """See base class."""
        return self._now_s

    def wall(self) -> float:
        """See base class."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by ``seconds``.

        Raises:
            ValueError: ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError("seconds is negative, expected at least 0")
        self._now_s += seconds

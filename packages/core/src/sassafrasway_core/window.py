"""Limits that hold in every one-second window."""

import collections
import dataclasses
import math

from sassafrasway_core import clock as clock_lib

# Caps are stated for one second at the receiving side. Two messages that leave further apart than
# this arrive at least one second apart, if their delays differ by at most DELIVERY_SPREAD_S.
DELIVERY_SPREAD_S = 0.1
WINDOW_S = 1.0 + DELIVERY_SPREAD_S


@dataclasses.dataclass(slots=True)
class _SubWindow:
    """Sum of the amounts taken between two times, seconds."""

    first_s: float
    last_s: float
    amount: float


class SlidingWindow:
    """Admits amounts so that their sum in any one-second window is at most the limit.

    Amounts are summed per sub-window. A sub-window counts in full until its last amount is more
    than ``WINDOW_S`` old, so the window errs only towards admitting less.

    Args:
        limit: Highest sum in one second; ``math.inf`` for no limit.
        clock: Time source.
        sub_windows: Number of sub-windows per second; more admit more and cost more.
        start_full: Admits nothing for the first second, because a previous holder of the limit
            may have used all of it just before.
    """

    def __init__(
        self,
        *,
        limit: float,
        clock: clock_lib.Clock,
        sub_windows: int = 20,
        start_full: bool = False,
    ):
        if sub_windows < 1:
            raise ValueError(f"sub_windows is {sub_windows}, expected at least 1")
        self._limit = _checked("limit", limit)
        self._clock = clock
        self._sub_window_s = WINDOW_S / sub_windows
        self._taken: collections.deque[_SubWindow] = collections.deque()
        self._sum = 0.0
        self._full_from_s = clock.monotonic() if start_full else -math.inf

    @property
    def limit(self) -> float:
        """Highest sum in one second."""
        return self._limit

    def used(self) -> float:
        """Returns the sum that counts against the limit now."""
        now_s = self._clock.monotonic()
        if self._starts_full(now_s):
            return self._limit
        return self._sum_of_last_second(now_s)

    def retry_after_s(self, amount: float) -> float:
        """Returns the seconds until ``amount`` fits when nothing else is taken.

        Returns ``math.inf`` when it can never fit.
        """
        if amount > self._limit:
            return math.inf
        now_s = self._clock.monotonic()
        wait_s = self._full_from_s + WINDOW_S - now_s if self._starts_full(now_s) else 0.0
        excess = self._sum_of_last_second(now_s) + amount - self._limit
        for each in self._taken:
            if excess <= 0:
                break
            if now_s - each.last_s <= WINDOW_S:
                excess -= each.amount
                wait_s = max(wait_s, each.last_s + WINDOW_S - now_s)
        return wait_s

    def set_limit(self, limit: float) -> None:
        """Changes the limit; what was taken before still counts."""
        self._limit = _checked("limit", limit)

    def try_take(self, amount: float) -> bool:
        """Takes ``amount`` and returns True, or returns False when it does not fit."""
        _checked("amount", amount)
        now_s = self._clock.monotonic()
        self._drop_expired(now_s)
        if self._starts_full(now_s) or self._sum + amount > self._limit:
            return False
        self._add(now_s, amount)
        return True

    def _sum_of_last_second(self, now_s: float) -> float:
        return sum(each.amount for each in self._taken if now_s - each.last_s <= WINDOW_S)

    def _starts_full(self, now_s: float) -> bool:
        return now_s - self._full_from_s <= WINDOW_S and not math.isinf(self._limit)

    def _add(self, now_s: float, amount: float) -> None:
        last = self._taken[-1] if self._taken else None
        if last is not None and now_s - last.first_s < self._sub_window_s:
            last.last_s = now_s
            last.amount += amount
        else:
            self._taken.append(_SubWindow(now_s, now_s, amount))
        self._sum += amount

    def _drop_expired(self, now_s: float) -> None:
        dropped = False
        while self._taken and now_s - self._taken[0].last_s > WINDOW_S:
            self._taken.popleft()
            dropped = True
        if dropped:
            # Summing anew keeps rounding errors from accumulating.
            self._sum = sum(each.amount for each in self._taken)


def _checked(name: str, value: float) -> float:
    if not value >= 0:
        raise ValueError(f"{name} is {value}, expected a number of at least 0")
    return value

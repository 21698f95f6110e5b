"""Rate limiters whose limit holds in every one-second window."""

import collections
import dataclasses
import math

from sassafrasway_core import clock as clock_lib

# Caps apply to one second at the receiver. Two messages that are sent more than WINDOW_S apart
# arrive at least one second apart if their delays differ by at most DELIVERY_SPREAD_S.
DELIVERY_SPREAD_S = 0.1
WINDOW_S = 1.0 + DELIVERY_SPREAD_S


@dataclasses.dataclass(slots=True)
class _SubWindow:
    """Sum of the amounts taken from ``first_s`` to ``last_s``, both monotonic times."""

    first_s: float
    last_s: float
    amount: float


class SlidingWindow:
    """Admits amounts so that their sum in any one-second window stays within the limit.

    Amounts are summed per sub-window. A sub-window counts in full until its last amount is more
    than ``WINDOW_S`` old, so the approximation can only admit less than the limit allows.

    Args:
        limit: Maximum sum in one second; ``math.inf`` for no limit.
        sub_window_count: Number of sub-windows per ``WINDOW_S``. More of them make the limit more
            precise but take more time and memory.
        start_full: Whether to admit nothing for the first ``WINDOW_S``, because the previous holder
            of the limit may have used all of it just before; ignored while there is no limit.

    Raises:
        ValueError: ``limit`` is negative or NaN, or ``sub_window_count`` is less than 1.
            ``set_limit`` and ``try_take`` raise it, too, if their argument is negative or NaN.
    """

    def __init__(
        self,
        *,
        limit: float,
        clock: clock_lib.Clock,
        sub_window_count: int = 20,
        start_full: bool = False,
    ):
        if sub_window_count < 1:
            raise ValueError(f"sub_window_count is {sub_window_count}, expected at least 1")
        self._limit = _require_non_negative("limit", limit)
        self._clock = clock
        self._sub_window_s = WINDOW_S / sub_window_count
        self._sub_windows: collections.deque[_SubWindow] = collections.deque()
        self._sum = 0.0
        self._blocked_since_s = clock.monotonic() if start_full else -math.inf

    @property
    def limit(self) -> float:
        """Maximum sum in one second."""
        return self._limit

    def used(self) -> float:
        """Returns the sum that counts against the limit now; the limit itself while blocked."""
        now_s = self._clock.monotonic()
        if self._is_blocked(now_s):
            return self._limit
        return self._sum_in_window(now_s)

    def retry_after_s(self, amount: float) -> float:
        """Returns the seconds until ``amount`` fits if nothing else is taken until then.

        Returns ``math.inf`` if it can never fit.
        """
        if amount > self._limit:
            return math.inf
        now_s = self._clock.monotonic()
        wait_s = self._blocked_since_s + WINDOW_S - now_s if self._is_blocked(now_s) else 0.0
        excess = self._sum_in_window(now_s) + amount - self._limit
        for sub_window in self._sub_windows:
            if excess <= 0:
                break
            if now_s - sub_window.last_s <= WINDOW_S:
                excess -= sub_window.amount
                wait_s = max(wait_s, sub_window.last_s + WINDOW_S - now_s)
        return wait_s

    def set_limit(self, limit: float) -> None:
        """Changes the limit; amounts taken before still count."""
        self._limit = _require_non_negative("limit", limit)

    def try_take(self, amount: float) -> bool:
        """Takes ``amount`` and returns True, or returns False if it does not fit."""
        _require_non_negative("amount", amount)
        now_s = self._clock.monotonic()
        self._drop_expired(now_s)
        if self._is_blocked(now_s) or self._sum + amount > self._limit:
            return False
        self._add(now_s, amount)
        return True

    def _sum_in_window(self, now_s: float) -> float:
        return sum(
            sub_window.amount
            for sub_window in self._sub_windows
            if now_s - sub_window.last_s <= WINDOW_S
        )

    def _is_blocked(self, now_s: float) -> bool:
        return now_s - self._blocked_since_s <= WINDOW_S and not math.isinf(self._limit)

    def _add(self, now_s: float, amount: float) -> None:
        last = self._sub_windows[-1] if self._sub_windows else None
        if last is not None and now_s - last.first_s < self._sub_window_s:
            last.last_s = now_s
            last.amount += amount
        else:
            self._sub_windows.append(_SubWindow(now_s, now_s, amount))
        self._sum += amount

    def _drop_expired(self, now_s: float) -> None:
        dropped = False
        while self._sub_windows and now_s - self._sub_windows[0].last_s > WINDOW_S:
            self._sub_windows.popleft()
            dropped = True
        if dropped:
            # Recomputing the sum prevents rounding errors from accumulating.
            self._sum = sum(sub_window.amount for sub_window in self._sub_windows)


class CompletionWindow:
    """Admits requests so that at most ``limit`` of them start at their servers in any second.

    A request counts from its admission until one second after its response. It starts at the
    server between admission and response, so the limit holds for any network delay. Limiting the
    admissions per second would not suffice if one request is delayed and the next is not.

    Args:
        limit: Maximum number of starts in one second.
        start_full: Whether to admit nothing for the first ``WINDOW_S``, even without a limit,
            because the previous holder of the limit may have used all of it just before.

    Raises:
        ValueError: ``limit`` is negative or NaN, here or in ``set_limit``.
    """

    def __init__(self, *, limit: float, clock: clock_lib.Clock, start_full: bool = False):
        self._limit = _require_non_negative("limit", limit)
        self._clock = clock
        self._running = 0
        # Monotonic times of end(), oldest first.
        self._ended: collections.deque[float] = collections.deque()
        self._blocked_until_s = clock.monotonic() + WINDOW_S if start_full else -math.inf

    @property
    def limit(self) -> float:
        """Maximum number of starts in one second."""
        return self._limit

    def set_limit(self, limit: float) -> None:
        """Changes the limit; requests admitted before still count."""
        self._limit = _require_non_negative("limit", limit)

    def used(self) -> int:
        """Returns the number of requests that count against the limit now."""
        now_s = self._clock.monotonic()
        return self._running + sum(ended_s + 1.0 >= now_s for ended_s in self._ended)

    def try_start(self) -> bool:
        """Admits a request and returns True, or returns False if it does not fit."""
        now_s = self._clock.monotonic()
        while self._ended and self._ended[0] + 1.0 < now_s:
            self._ended.popleft()
        if now_s < self._blocked_until_s or self._running + len(self._ended) + 1 > self._limit:
            return False
        self._running += 1
        return True

    def end(self) -> None:
        """Records that an admitted request got its response or can no longer start.

        Raises:
            ValueError: More requests ended than were admitted.
        """
        if self._running < 1:
            raise ValueError("end() was called without an admitted request")
        self._running -= 1
        self._ended.append(self._clock.monotonic())


def _require_non_negative(name: str, value: float) -> float:
    if not value >= 0:
        raise ValueError(f"{name} is {value}, expected a number of at least 0")
    return value

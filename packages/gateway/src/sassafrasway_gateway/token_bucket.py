"""Token bucket that may grant tokens a short time before they accrue."""

# Tolerance for rounding errors of the level, which is a sum of many fractions.
LEVEL_TOLERANCE = 1e-6


class TokenBucket:
    """Tokens that accrue at a rate, up to a capacity.

    The level is negative while granted tokens have not accrued yet.
    """

    def __init__(self, *, rate_per_s: float, capacity: float, level: float, now_s: float):
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._level = min(level, capacity)
        self._updated_s = now_s

    def level(self, now_s: float) -> float:
        """Returns the number of tokens."""
        self._refill(now_s)
        return self._level

    def set_limits(self, *, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Changes rate and capacity from now on; tokens above the capacity are lost."""
        self._refill(now_s)
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._level = min(self._level, capacity)

    def take(self, count: int, *, max_delay_s: float, now_s: float) -> tuple[int, float]:
        """Takes up to ``count`` tokens.

        Returns:
            The number of tokens taken, and the time until the last of them has accrued, s; it is at
            most ``max_delay_s``.
        """
        self._refill(now_s)
        available = int(self._level + self._rate_per_s * max_delay_s + LEVEL_TOLERANCE)
        taken = min(count, available)
        if taken <= 0:
            return 0, 0.0
        self._level -= taken
        if self._level >= -LEVEL_TOLERANCE:
            return taken, 0.0
        return taken, -self._level / self._rate_per_s

    def give_back(self, count: int, now_s: float) -> None:
        """Adds tokens that were not used."""
        self._refill(now_s)
        self._level = min(self._capacity, self._level + count)

    def wait_s(self, *, max_delay_s: float, now_s: float) -> float:
        """Returns the time until `take` returns a token, s; infinite if none accrue."""
        self._refill(now_s)
        missing = 1.0 - self._level
        if missing <= 0.0:
            return 0.0
        if self._rate_per_s <= 0.0:
            return float("inf")
        return max(0.0, missing / self._rate_per_s - max_delay_s)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._level = min(self._capacity, self._level + elapsed_s * self._rate_per_s)
        self._updated_s = now_s

"""Retry budgets and request deadlines."""

from sassafrasway_core import clock as clock_lib

# Allows an instance with little traffic to retry a few requests in a row, and limits the burst of a
# busy one.
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests plus a minimum rate.

    In any period, the number of retries is at most ``ratio`` times the number of requests, plus
    ``minimum_per_s`` times the length of the period, plus ``max_tokens``.

    Args:
        ratio: Tokens added by each request; a retry takes one token.
        minimum_per_s: Tokens added per second.

    Raises:
        ValueError: ``ratio`` or ``minimum_per_s`` is negative.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        ratio: float = 0.1,
        minimum_per_s: float = 1.0,
        max_tokens: float = MAX_TOKENS,
    ):
        if ratio < 0 or minimum_per_s < 0:
            raise ValueError(
                f"ratio is {ratio} and minimum_per_s is {minimum_per_s}, expected at least 0"
            )
        self._clock = clock
        self._ratio = ratio
        self._minimum_per_s = minimum_per_s
        self._max_tokens = max_tokens
        self._tokens = min(minimum_per_s, max_tokens)
        self._updated_s = clock.monotonic()

    def on_request(self) -> None:
        """Adds the tokens of a request that is not itself a retry."""
        self._add_tokens(self._ratio)

    def try_retry(self) -> bool:
        """Takes one token and returns True, or returns False if there is none."""
        now_s = self._clock.monotonic()
        self._add_tokens((now_s - self._updated_s) * self._minimum_per_s)
        self._updated_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def set_max_tokens(self, max_tokens: float) -> None:
        """Changes the maximum number of tokens, for example when instances join or leave."""
        self._max_tokens = max_tokens
        self._tokens = min(self._tokens, max_tokens)

    def _add_tokens(self, tokens: float) -> None:
        self._tokens = min(self._max_tokens, self._tokens + tokens)


class Deadline:
    """Point in time after which the response to a request is no longer useful."""

    def __init__(self, *, clock: clock_lib.Clock, remaining_s: float):
        self._clock = clock
        self._expires_s = clock.monotonic() + remaining_s

    @property
    def expires_s(self) -> float:
        """Monotonic time of the deadline."""
        return self._expires_s

    @property
    def remaining_s(self) -> float:
        """Seconds left, 0 after the deadline."""
        return max(0.0, self._expires_s - self._clock.monotonic())

    @property
    def expired(self) -> bool:
        """Whether the deadline has passed."""
        return self._clock.monotonic() >= self._expires_s

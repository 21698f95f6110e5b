"""Permits for single requests of limited organisations, and the requests that wait for them."""

import dataclasses
from collections.abc import Callable

from sassafrasway_core import errors


class QuotaError(errors.NotRunError):
    """Rejection: the limit is reached (429), or it is unknown whether it is (503).

    Attributes:
        retry_after_s: Time after which the caller may retry.
    """

    def __init__(self, message: str, *, status: int, retry_after_s: float):
        super().__init__(message, step="quota.acquire")
        self.status = status
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """Where a token came from; the request id is None if this instance owns the shard."""

    organisation: str
    shard: int
    host: str = ""
    request_id: int | None = None


class Permit:
    """A token for one request."""

    def __init__(
        self,
        *,
        source: Source | None,
        valid_until_s: float,
        on_give_back: Callable[["Permit"], None],
    ):
        self.source = source
        self.valid_until_s = valid_until_s
        self._on_give_back = on_give_back
        self._open = True

    def valid(self, now_s: float) -> bool:
        """Whether the request may be sent to a server now."""
        return self._open and now_s < self.valid_until_s

    def use(self) -> None:
        """Records that the request is sent, so that the token can't be given back."""
        self._open = False

    def give_back(self) -> None:
        """Gives the token back and makes it invalid, unless it was used or given back before."""
        if self._open:
            self._open = False
            self._on_give_back(self)


class Waiter:
    """A request that waits for a token.

    Args:
        on_done: Called once with a permit or an error, unless the waiter is cancelled before.
    """

    def __init__(self, *, on_done: Callable[[Permit | QuotaError], None]):
        self._on_done = on_done
        self.done = False

    def cancel(self) -> None:
        """Ends the wait; a permit that arrives later is not delivered."""
        self.done = True

    def deliver(self, result: Permit | QuotaError) -> None:
        """Ends the wait with a result; gives a permit back if the wait has ended before."""
        if not self.done:
            self.done = True
            self._on_done(result)
        elif isinstance(result, Permit):
            result.give_back()

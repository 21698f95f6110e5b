"""Retry budgets by service: this instance's share of the retries that the fleet may make."""

import abc
import collections
import hashlib

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import fleet, settings

# Shares of the bound that are used. The rest is a margin for requests that move between instances,
# and for instances whose lists of members differ.
USED_RATIO = 0.85
USED_EXTRA = 0.6
# Time for which a member counts after its last message. Members that are only unreachable for a
# while go on using their shares.
MEMBER_LIFETIME_S = 30.0
# Interval after which the share of the additional retries is computed again.
SHARE_INTERVAL_S = 0.5
# Number of buckets in which a window is counted.
BUCKETS = 20


class SlidingCount:
    """Counts events in a sliding window, in buckets.

    Args:
        window_s: Length of the window.
        rounds_up: Whether the oldest bucket counts although a part of it has left the window.
    """

    def __init__(self, *, window_s: float, rounds_up: bool):
        self._bucket_s = window_s / BUCKETS
        self._kept = BUCKETS + 1 if rounds_up else BUCKETS
        # Number of each bucket that has events, and the number of its events, oldest first.
        self._counts: collections.deque[list[int]] = collections.deque()
        self._total = 0

    def add(self, now_s: float) -> None:
        """Counts an event."""
        bucket = int(now_s / self._bucket_s)
        if not self._counts or self._counts[-1][0] != bucket:
            self._counts.append([bucket, 0])
        self._counts[-1][1] += 1
        self._total += 1

    def total(self, now_s: float) -> int:
        """Returns the number of events in the window that ends now."""
        oldest = int(now_s / self._bucket_s) - self._kept + 1
        while self._counts and self._counts[0][0] < oldest:
            self._total -= self._counts.popleft()[1]
        return self._total


class RetryLimit(abc.ABC):
    """Decides which requests to a service may be retried."""

    @abc.abstractmethod
    def on_request(self) -> None:
        """Counts a request that is not itself a retry."""

    @abc.abstractmethod
    def try_retry(self) -> bool:
        """Counts a retry and returns True, or returns False if none is permitted now."""


class ServiceBudget(RetryLimit):
    """Retries of this instance to one service.

    In any window, the retries are at most a ratio of the requests plus a share of the additional
    retries of the fleet. Both are looked up when a retry is wanted, so that a change of the fleet
    or of the bounds applies at once.
    """

    def __init__(self, *, clock: clock_lib.Clock, service: str, budgets: "RetryBudgets"):
        self._clock = clock
        self._service = service
        self._budgets = budgets
        window_s = budgets.bounds.retry_window_s
        self._requests = SlidingCount(window_s=window_s, rounds_up=False)
        self._retries = SlidingCount(window_s=window_s, rounds_up=True)

    def on_request(self) -> None:
        """See base class."""
        self._requests.add(self._clock.monotonic())

    def try_retry(self) -> bool:
        """See base class."""
        now_s = self._clock.monotonic()
        ratio = self._budgets.bounds.retry_ratio * USED_RATIO
        permitted = ratio * self._requests.total(now_s) + self._budgets.extra_share(self._service)
        if self._retries.total(now_s) + 1 > permitted:
            return False
        self._retries.add(now_s)
        return True


class RetryBudgets:
    """Divides the additional retries of the fleet among its instances.

    The retries permitted per request need no division: each instance counts its own requests. The
    additional ones are divided among all members that were listed or heard of in the last
    ``MEMBER_LIFETIME_S``; the hash of their names decides which ones get the remainder. An instance
    has no share before it has read the list of members, as it may be one of many that start.
    """

    def __init__(self, *, clock: clock_lib.Clock, view: fleet.FleetView, bounds: settings.Bounds):
        self._clock = clock
        self._view = view
        self._bounds = bounds
        self._budgets: dict[str, ServiceBudget] = {}
        self._names: list[str] = []
        self._names_read_s = -SHARE_INTERVAL_S
        self._shares: dict[str, int] = {}

    @property
    def bounds(self) -> settings.Bounds:
        """Bounds in force."""
        return self._bounds

    def set_bounds(self, bounds: settings.Bounds) -> None:
        """Replaces the bounds; if the window changed, all budgets are reset."""
        if bounds.retry_window_s != self._bounds.retry_window_s:
            self._budgets.clear()
        self._bounds = bounds
        self._shares.clear()

    def budget_of(self, service: str) -> ServiceBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = ServiceBudget(clock=self._clock, service=service, budgets=self)
            self._budgets[service] = budget
        return budget

    def extra_share(self, service: str) -> int:
        """Returns this instance's share of the additional retries to a service in a window."""
        if not self._view.has_list:
            return 0
        now_s = self._clock.monotonic()
        if now_s - self._names_read_s >= SHARE_INTERVAL_S:
            self._names = self._view.recent_names(MEMBER_LIFETIME_S)
            self._names_read_s = now_s
            self._shares.clear()
        if service not in self._shares:
            self._shares[service] = self._compute_share(service)
        return self._shares[service]

    def _compute_share(self, service: str) -> int:
        total = int(self._bounds.retry_extra * USED_EXTRA)
        share, remainder = divmod(total, len(self._names))
        own_score = self._score(self._view.own.name, service)
        rank = sum(self._score(name, service) < own_score for name in self._names)
        return share + (rank < remainder)

    @staticmethod
    def _score(name: str, service: str) -> bytes:
        return hashlib.blake2b(f"{service}\0{name}".encode(), digest_size=8).digest()

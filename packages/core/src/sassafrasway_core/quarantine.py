"""Requests that crash backend servers, recognised by a fingerprint."""

import collections
import dataclasses
import random

import xxhash

from sassafrasway_core import clock as clock_lib

# Bounds memory when a faulty network makes many different requests look like crashes.
MOST_ENTRIES = 10_000

# Keeps the owners of a service's pools from trying a quarantined request again together.
TTL_JITTER = 0.1


def fingerprint(*, service: str, method: str, path: str, body: bytes) -> str:
    """Returns a text that is equal for equal requests and, in practice, for no others.

    Headers are left out, because a caller that sends a request again may change its key or
    deadline. The hash is not cryptographic; it takes well under 1 ms for the largest body, during
    which the event loop does nothing else.
    """
    digest = xxhash.xxh3_128()
    for part in (service.encode(), method.upper().encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A request after which servers crashed.

    Attributes:
        servers: Names of the servers, without repetition.
        remaining_s: Seconds until the entry is forgotten.
    """

    fingerprint: str
    servers: frozenset[str]
    remaining_s: float


@dataclasses.dataclass(slots=True)
class _Crashes:
    servers: frozenset[str]
    expires_s: float


class Quarantine:
    """Remembers which servers crashed on which request and refuses repeat offenders.

    Args:
        clock: Time source.
        rng: Random source that shortens each entry's life by up to a tenth; None for no jitter.
        limit: Number of distinct servers after which a request is refused.
        ttl_s: Seconds after its last crash at which a request is forgotten.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        rng: random.Random | None = None,
        limit: int = 2,
        ttl_s: float = 600,
    ):
        self._clock = clock
        self._rng = rng
        self._limit = limit
        self._ttl_s = ttl_s
        # In order of the last crash, the oldest first.
        self._crashes: collections.OrderedDict[str, _Crashes] = collections.OrderedDict()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether the request must be refused."""
        return len(self.crashes(fingerprint)) >= self._limit

    def crashes(self, fingerprint: str) -> frozenset[str]:
        """Returns the names of the servers that crashed on the request."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None or crashes.expires_s <= self._clock.monotonic():
            return frozenset()
        return crashes.servers

    def entries(self) -> list[Entry]:
        """Returns all requests that are remembered, the one with the oldest crash first."""
        now_s = self._clock.monotonic()
        return [
            Entry(fingerprint=name, servers=each.servers, remaining_s=each.expires_s - now_s)
            for name, each in self._crashes.items()
            if each.expires_s > now_s
        ]

    def record_crash(self, fingerprint: str, server: str) -> int:
        """Counts a crash and returns the number of distinct servers that crashed."""
        servers = self.crashes(fingerprint) | {server}
        jitter = 1.0 - TTL_JITTER * self._rng.random() if self._rng is not None else 1.0
        expires_s = self._clock.monotonic() + self._ttl_s * jitter
        self._crashes[fingerprint] = _Crashes(servers, expires_s)
        self._crashes.move_to_end(fingerprint)
        self._prune()
        return len(servers)

    def _prune(self) -> None:
        now_s = self._clock.monotonic()
        while len(self._crashes) > MOST_ENTRIES or self._oldest_expired(now_s):
            self._crashes.popitem(last=False)

    def _oldest_expired(self, now_s: float) -> bool:
        oldest = next(iter(self._crashes.values()), None)
        return oldest is not None and oldest.expires_s <= now_s

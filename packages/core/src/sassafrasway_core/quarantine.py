"""Quarantine of requests that crash backend servers, identified by fingerprint."""

import collections
import dataclasses
import random

import xxhash

from sassafrasway_core import clock as clock_lib

# Limits memory use when a network fault makes many different requests look like crashes.
MAX_ENTRIES = 10_000

# Fraction by which the lifetime of an entry is shortened at most. It prevents the owners of a
# service's pools from retrying a quarantined request at the same time.
TTL_JITTER = 0.1


def fingerprint(*, service: str, method: str, path: str, body: bytes) -> str:
    """Returns a hash that identifies a request; collisions do not occur in practice.

    Headers are left out, because a caller that retries a request may change its idempotency key or
    deadline. The hash is not cryptographic, so that it blocks the event loop for well under 1 ms
    even with the largest body.
    """
    digest = xxhash.xxh3_128()
    for part in (service.encode(), method.upper().encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A request on which ``servers`` crashed; the entry expires in ``remaining_s``."""

    fingerprint: str
    servers: frozenset[str]
    remaining_s: float


@dataclasses.dataclass(slots=True)
class _CrashRecord:
    servers: frozenset[str]
    expires_s: float


class Quarantine:
    """Records which servers crashed on which request and decides which requests to refuse.

    Args:
        rng: Random source of the jitter of lifetimes; None for no jitter.
        limit: Number of distinct crashed servers at which a request is refused.
        ttl_s: Seconds from the last crash until the entry of a request expires.
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
        # Records by fingerprint, ordered by time of the last crash, oldest first.
        self._records: collections.OrderedDict[str, _CrashRecord] = collections.OrderedDict()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether the request must be refused."""
        return len(self.crashed_servers(fingerprint)) >= self._limit

    def crashed_servers(self, fingerprint: str) -> frozenset[str]:
        """Returns the names of the servers that crashed on the request."""
        record = self._records.get(fingerprint)
        if record is None or record.expires_s <= self._clock.monotonic():
            return frozenset()
        return record.servers

    def entries(self) -> list[Entry]:
        """Returns all entries that have not expired, ordered by last crash, oldest first."""
        now_s = self._clock.monotonic()
        return [
            Entry(fingerprint=key, servers=record.servers, remaining_s=record.expires_s - now_s)
            for key, record in self._records.items()
            if record.expires_s > now_s
        ]

    def record_crash(self, fingerprint: str, server_name: str) -> int:
        """Records a crash; returns the number of distinct servers that crashed on the request."""
        servers = self.crashed_servers(fingerprint) | {server_name}
        jitter = 1.0 - TTL_JITTER * self._rng.random() if self._rng is not None else 1.0
        expires_s = self._clock.monotonic() + self._ttl_s * jitter
        self._records[fingerprint] = _CrashRecord(servers, expires_s)
        self._records.move_to_end(fingerprint)
        self._prune()
        return len(servers)

    def _prune(self) -> None:
        now_s = self._clock.monotonic()
        while len(self._records) > MAX_ENTRIES or self._is_oldest_expired(now_s):
            self._records.popitem(last=False)

    def _is_oldest_expired(self, now_s: float) -> bool:
        oldest = next(iter(self._records.values()), None)
        return oldest is not None and oldest.expires_s <= now_s

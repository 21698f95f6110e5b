"""Consistent hashing of keys to the names of instances."""

import bisect
import functools
import hashlib
from collections.abc import Collection

# Number of points of each name; more points give more even shares.
POINTS = 8
# Twice the number of instances of the largest fleet.
MAX_CACHED_NAMES = 4096


def key_of(*parts: str) -> int:
    """Returns a number that depends only on the given strings."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def _points_of(name: str) -> tuple[int, ...]:
    return tuple(key_of(name, str(index)) for index in range(POINTS))


class HashRing:
    """Ring of names; the owner of a key is the name of the next point."""

    def __init__(self, names: Collection[str] = ()):
        self._members = frozenset(names)
        self._pairs = sorted((point, name) for name in names for point in _points_of(name))
        self._points = [point for point, _ in self._pairs]

    def replaced(self, names: Collection[str]) -> "HashRing":
        """Returns a ring of the given names; faster than a new ring if most names are the same."""
        ring = HashRing()
        ring._members = frozenset(names)
        added = HashRing(ring._members - self._members)
        ring._pairs = [pair for pair in self._pairs if pair[1] in ring._members]
        ring._pairs += added._pairs
        ring._pairs.sort()
        ring._points = [point for point, _ in ring._pairs]
        return ring

    def owner(self, key: int, *, without: Collection[str] = ()) -> str | None:
        """Returns the owner of a key among the names not in ``without``; None if there is none."""
        start = bisect.bisect(self._points, key)
        for offset in range(len(self._pairs)):
            _, name = self._pairs[(start + offset) % len(self._pairs)]
            if name not in without:
                return name
        return None

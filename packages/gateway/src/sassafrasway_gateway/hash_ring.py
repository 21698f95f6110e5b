"""Consistent hashing of keys to the names of instances."""

import bisect
import functools
import hashlib
from collections.abc import Collection

# Points of each name; more make the shares of the names more even.
POINTS = 16
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
        pairs = sorted((point, name) for name in names for point in _points_of(name))
        self._points = [point for point, _ in pairs]
        self._names = [name for _, name in pairs]

    def owner(self, key: int, *, without: str = "") -> str | None:
        """Returns the owner of a key if ``without`` were not in the ring; None without any."""
        start = bisect.bisect(self._points, key)
        for offset in range(len(self._names)):
            name = self._names[(start + offset) % len(self._names)]
            if name != without:
                return name
        return None

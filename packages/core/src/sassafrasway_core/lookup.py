"""Maps client IP addresses to regions by the blocks that contain them.

``caller_api`` of the entry package handles the lookups by which callers find an instance. Functions
and methods raise ``errors.ValidationError`` for a CIDR or an address that they cannot parse.
"""

import abc
import array
import bisect
import copy
import re
import socket
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from sassafrasway_core import errors, model

_MAX_REGION_NUMBER = 0xFFFF  # region numbers are stored as unsigned 16-bit integers
_KEY_BITS = 64  # bits of a key in one array element; longer keys take two

# Address family and address length in bits by IP version.
_FAMILIES = {4: (socket.AF_INET, 32), 6: (socket.AF_INET6, 128)}
# Prefix of IPv4-mapped IPv6 addresses (RFC 4291, section 2.5.5.2).
_MAPPED_PREFIX = 0xFFFF << 32


class Network(NamedTuple):
    """A CIDR block of addresses.

    Attributes:
        version: IP version, 4 or 6.
        length: Prefix length in bits.
        key: The leading ``length`` bits of the addresses as an integer.
    """

    version: int
    length: int
    key: int


def parse_network(cidr: str) -> Network:
    """Parses a CIDR block in canonical notation.

    Other notations are rejected, because the CIDR is the name of the block in the policy and has
    to be unique. The functions of the socket module are about ten times as fast as ``ipaddress``,
    which matters because a table of 250,000 blocks is built while the process serves requests.
    """
    text, _, length_text = cidr.partition("/")
    version, address = _parse_ip(text)
    family, bits = _FAMILIES[version]
    length = int(length_text) if re.fullmatch("[0-9]{1,3}", length_text) else -1
    if not 0 <= length <= bits:
        raise _invalid(f"{cidr!r} has no prefix length from 0 to {bits}")
    host_mask = (1 << (bits - length)) - 1
    if address & host_mask:
        raise _invalid(f"{cidr!r} has host bits set")
    canonical = socket.inet_ntop(family, address.to_bytes(bits // 8, "big"))
    if canonical != text or str(length) != length_text:
        raise _invalid(f"{cidr!r} is not canonical; expected {canonical}/{length}")
    if version == 6 and address >> 32 == _MAPPED_PREFIX >> 32:
        raise _invalid(f"{cidr!r} is an IPv4-mapped block; expected its IPv4 form")
    return Network(version, length, address >> (bits - length))


def parse_address(text: str) -> tuple[int, int]:
    """Returns the IP version and the integer value of an address.

    An IPv4-mapped IPv6 address becomes an IPv4 address.
    """
    version, address = _parse_ip(text)
    if version == 6 and address >> 32 == _MAPPED_PREFIX >> 32:
        return 4, address & 0xFFFFFFFF
    return version, address


def _parse_ip(text: str) -> tuple[int, int]:
    """Returns the IP version and the integer value; leaves IPv4-mapped addresses as they are."""
    version = 6 if ":" in text else 4
    try:
        packed = socket.inet_pton(_FAMILIES[version][0], text)
    except (OSError, ValueError):
        raise _invalid(f"{text!r} is not an IPv4 or IPv6 address") from None
    return version, int.from_bytes(packed, "big")


def _invalid(message: str) -> errors.ValidationError:
    return errors.ValidationError(message, step="lookup.parse")


class BlockTable:
    """Longest prefix match over client blocks.

    The blocks of each prefix length are kept in a sorted array that takes 10 bytes per block, or
    18 bytes for IPv6 prefixes longer than 64 bits. A lookup searches the arrays from the longest
    prefix length to the shortest, and a changed block copies only the array of its length.

    Args:
        blocks: Client blocks, each with a different CIDR.

    Raises:
        errors.ValidationError: A CIDR is invalid, or there are more than 65536 regions.
    """

    def __init__(self, *, blocks: Iterable[model.ClientBlock]):
        self._regions: list[str] = []
        self._region_numbers: dict[str, int] = {}
        # By IP version and prefix length, the longest prefix length first.
        self._prefixes: dict[int, dict[int, _Prefixes]] = {4: {}, 6: {}}
        # Pairs of key and region number by IP version and prefix length.
        entries: dict[tuple[int, int], list[tuple[int, int]]] = {}
        for block in blocks:
            version, length, key = parse_network(block.cidr)
            number = self._region_number(block.region)
            entries.setdefault((version, length), []).append((key, number))
        for version, length in sorted(entries, reverse=True):
            self._prefixes[version][length] = _new_prefixes(length)
            self._prefixes[version][length].fill(sorted(entries[version, length]))

    def __len__(self) -> int:
        return sum(len(prefixes) for prefixes in self._prefix_arrays())

    @property
    def size_bytes(self) -> int:
        """Memory of the arrays of keys and region numbers, in bytes."""
        return sum(prefixes.size_bytes for prefixes in self._prefix_arrays())

    def region_of(self, address: str) -> str | None:
        """Returns the region of the longest block that contains the address, or None."""
        version, value = parse_address(address)
        bits = _FAMILIES[version][1]
        for length, prefixes in self._prefixes[version].items():
            number = prefixes.find(value >> (bits - length))
            if number is not None:
                return self._regions[number]
        return None

    def updated(self, changes: Mapping[str, model.ClientBlock | None]) -> "BlockTable":
        """Returns a new table with the given changes by CIDR; None removes a block.

        Copies only the arrays of the changed prefix lengths, which is fast enough to run between
        requests.

        Raises:
            errors.ValidationError: A CIDR is invalid, or there are more than 65536 regions,
                including those of blocks that earlier updates removed.
        """
        table = BlockTable(blocks=())
        table._regions = list(self._regions)
        table._region_numbers = dict(self._region_numbers)
        table._prefixes = {
            version: dict(by_length) for version, by_length in self._prefixes.items()
        }
        copied: set[tuple[int, int]] = set()
        for cidr, block in changes.items():
            table._apply_change(cidr, block.region if block else None, copied)
        return table

    def _apply_change(self, cidr: str, region: str | None, copied: set[tuple[int, int]]) -> None:
        """Sets or removes a block; ``copied`` has the (version, length) of copied arrays."""
        version, length, key = parse_network(cidr)
        by_length = self._prefixes[version]
        if (version, length) not in copied:
            copied.add((version, length))
            original = by_length.get(length)
            by_length[length] = original.copy() if original else _new_prefixes(length)
            self._prefixes[version] = dict(sorted(by_length.items(), reverse=True))
        prefixes = self._prefixes[version][length]
        if region is None:
            prefixes.remove(key)
        else:
            prefixes.set(key, self._region_number(region))

    def _region_number(self, region: str) -> int:
        number = self._region_numbers.setdefault(region, len(self._region_numbers))
        if number > _MAX_REGION_NUMBER:
            raise errors.ValidationError(
                f"the client blocks have more than {_MAX_REGION_NUMBER + 1} regions",
                step="lookup.build",
            )
        if number == len(self._regions):
            self._regions.append(region)
        return number

    def _prefix_arrays(self) -> Iterator["_Prefixes"]:
        for by_length in self._prefixes.values():
            yield from by_length.values()


class _Prefixes(abc.ABC):
    """Prefixes of one length: sorted keys and the region number of each key."""

    def __init__(self):
        self._region_numbers = array.array("H")

    def __len__(self) -> int:
        return len(self._region_numbers)

    @property
    def size_bytes(self) -> int:
        arrays = (self._region_numbers, *self._key_arrays())
        return sum(len(values) * values.itemsize for values in arrays)

    def find(self, key: int) -> int | None:
        index, found = self._position(key)
        return self._region_numbers[index] if found else None

    def fill(self, entries: Iterable[tuple[int, int]]) -> None:
        """Adds sorted pairs of key and region number to empty arrays."""
        for index, (key, number) in enumerate(entries):
            self._insert_key(index, key)
            self._region_numbers.append(number)

    def set(self, key: int, number: int) -> None:
        index, found = self._position(key)
        if found:
            self._region_numbers[index] = number
        else:
            self._insert_key(index, key)
            self._region_numbers.insert(index, number)

    def remove(self, key: int) -> None:
        index, found = self._position(key)
        if found:
            for values in (self._region_numbers, *self._key_arrays()):
                del values[index]

    def copy(self) -> "_Prefixes":
        """Returns a copy whose changes do not affect the original."""
        other = copy.copy(self)
        for name, value in vars(self).items():
            setattr(other, name, value[:])
        return other

    @abc.abstractmethod
    def _key_arrays(self) -> tuple[array.array, ...]:
        """Returns the arrays that hold the keys."""

    @abc.abstractmethod
    def _position(self, key: int) -> tuple[int, bool]:
        """Returns the index at which a key is or belongs, and whether the key exists."""

    @abc.abstractmethod
    def _insert_key(self, index: int, key: int) -> None:
        """Inserts a key at an index."""


class _ShortPrefixes(_Prefixes):
    """Prefixes of at most 64 bits."""

    def __init__(self):
        super().__init__()
        self._keys = array.array("Q")

    def _key_arrays(self) -> tuple[array.array, ...]:
        return (self._keys,)

    def _position(self, key: int) -> tuple[int, bool]:
        index = bisect.bisect_left(self._keys, key)
        return index, index < len(self._keys) and self._keys[index] == key

    def _insert_key(self, index: int, key: int) -> None:
        self._keys.insert(index, key)


class _LongPrefixes(_Prefixes):
    """Prefixes of more than 64 bits; the low 64 bits of each key are in an array of their own."""

    def __init__(self):
        super().__init__()
        self._high = array.array("Q")
        self._low = array.array("Q")

    def _key_arrays(self) -> tuple[array.array, ...]:
        return (self._high, self._low)

    def _position(self, key: int) -> tuple[int, bool]:
        high, low = divmod(key, 2**_KEY_BITS)
        begin = bisect.bisect_left(self._high, high)
        end = bisect.bisect_right(self._high, high, begin)
        index = bisect.bisect_left(self._low, low, begin, end)
        return index, index < end and self._low[index] == low

    def _insert_key(self, index: int, key: int) -> None:
        high, low = divmod(key, 2**_KEY_BITS)
        self._high.insert(index, high)
        self._low.insert(index, low)


def _new_prefixes(length: int) -> _Prefixes:
    return _ShortPrefixes() if length <= _KEY_BITS else _LongPrefixes()

"""Maps the IP address of a client to the region of its block."""

import array
import bisect
import re
import socket
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sassafrasway_core import errors, model

_NO_REGION = 0xFFFF
_HALF_BITS = 64
_HALF_MASK = 2**_HALF_BITS - 1

_FAMILIES = {4: (socket.AF_INET, 32), 6: (socket.AF_INET6, 128)}
# Addresses that IPv6 reserves for IPv4 addresses (RFC 4291, section 2.5.5.2).
_MAPPED_PREFIX = 0xFFFF << 32


class Network(NamedTuple):
    """A block of addresses; ``first`` and ``last`` are its addresses as integers."""

    version: int
    first: int
    last: int


def parse_network(cidr: str) -> Network:
    """Returns the network of a block in its canonical spelling.

    One spelling for each block makes the block's name in the policy unique. The address functions
    of the socket module are about ten times as fast as ``ipaddress``; a table of 250,000 blocks is
    built while the process serves requests.

    Raises:
        errors.ValidationError: The text is no CIDR block or not its canonical spelling.
    """
    text, _, length_text = cidr.partition("/")
    version, address = _parse(text)
    family, bits = _FAMILIES[version]
    length = int(length_text) if re.fullmatch("[0-9]{1,3}", length_text) else -1
    if not 0 <= length <= bits:
        raise _invalid(f"{cidr!r} has no prefix length from 0 to {bits}")
    host_mask = (1 << (bits - length)) - 1
    if address & host_mask:
        raise _invalid(f"{cidr!r} has host bits set")
    canonical = socket.inet_ntop(family, address.to_bytes(bits // 8, "big"))
    if canonical != text or str(length) != length_text:
        raise _invalid(f"{cidr!r} is written {canonical}/{length}")
    if version == 6 and address >> 32 == _MAPPED_PREFIX >> 32:
        raise _invalid(f"{cidr!r} is an IPv4-mapped block; expected its IPv4 form")
    return Network(version, address, address | host_mask)


def parse_address(text: str) -> tuple[int, int]:
    """Returns the IP version and the integer value of a client's address.

    An IPv4-mapped IPv6 address becomes an IPv4 address.

    Raises:
        errors.ValidationError: The text is no IP address.
    """
    version, address = _parse(text)
    if version == 6 and address >> 32 == _MAPPED_PREFIX >> 32:
        return 4, address & 0xFFFFFFFF
    return version, address


def _parse(text: str) -> tuple[int, int]:
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

    Nested blocks are flattened to sorted ranges that do not overlap, so that a lookup is one binary
    search. A block adds at most two ranges: 12 bytes for IPv4 and 36 bytes for IPv6.

    Args:
        blocks: Client blocks; every CIDR occurs once.
    """

    def __init__(self, *, blocks: Iterable[model.ClientBlock]):
        self._regions: list[str] = []
        numbers: dict[str, int] = {}
        by_version: dict[int, list[tuple[int, int, int]]] = {4: [], 6: []}
        for block in blocks:
            network = parse_network(block.cidr)
            number = numbers.setdefault(block.region, len(numbers))
            by_version[network.version].append((network.first, -network.last, number))
        if len(numbers) >= _NO_REGION:
            raise errors.ValidationError(
                f"{len(numbers)} regions; expected fewer than {_NO_REGION}", step="lookup.build"
            )
        self._regions = list(numbers)
        self._ranges_v4 = _RangesV4(_flatten(by_version[4], end=2**32))
        self._ranges_v6 = _RangesV6(_flatten(by_version[6], end=2**128))

    def __len__(self) -> int:
        """Number of address ranges."""
        return len(self._ranges_v4) + len(self._ranges_v6)

    @property
    def size_bytes(self) -> int:
        """Memory of the arrays in bytes."""
        return self._ranges_v4.size_bytes + self._ranges_v6.size_bytes

    def region_of(self, address: str) -> str | None:
        """Returns the region of the longest block that contains the address, or None.

        Raises:
            errors.ValidationError: The text is no IP address.
        """
        version, value = parse_address(address)
        ranges = self._ranges_v4 if version == 4 else self._ranges_v6
        number = ranges.find(value)
        return None if number == _NO_REGION else self._regions[number]


class _RangesV4:
    """Ranges of 32-bit addresses: the first address and the region number of each range."""

    def __init__(self, ranges: Iterable[tuple[int, int]]):
        self._starts = array.array("I")
        self._numbers = array.array("H")
        for start, number in ranges:
            self._starts.append(start)
            self._numbers.append(number)

    def __len__(self) -> int:
        return len(self._numbers)

    @property
    def size_bytes(self) -> int:
        """Memory of the arrays in bytes."""
        return sum(len(each) * each.itemsize for each in (self._starts, self._numbers))

    def find(self, address: int) -> int:
        """Returns the region number of the range that contains the address."""
        index = bisect.bisect_right(self._starts, address) - 1
        return self._numbers[index] if index >= 0 else _NO_REGION


class _RangesV6:
    """Ranges of 128-bit addresses; each start is kept as two 64-bit halves."""

    def __init__(self, ranges: Iterable[tuple[int, int]]):
        self._high = array.array("Q")
        self._low = array.array("Q")
        self._numbers = array.array("H")
        for start, number in ranges:
            self._high.append(start >> _HALF_BITS)
            self._low.append(start & _HALF_MASK)
            self._numbers.append(number)

    def __len__(self) -> int:
        return len(self._numbers)

    @property
    def size_bytes(self) -> int:
        """Memory of the arrays in bytes."""
        return sum(len(each) * each.itemsize for each in (self._high, self._low, self._numbers))

    def find(self, address: int) -> int:
        """Returns the region number of the range that contains the address."""
        high = address >> _HALF_BITS
        begin = bisect.bisect_left(self._high, high)
        end = bisect.bisect_right(self._high, high, begin)
        index = bisect.bisect_right(self._low, address & _HALF_MASK, begin, end) - 1
        return self._numbers[index] if index >= 0 else _NO_REGION


def _flatten(blocks: list[tuple[int, int, int]], *, end: int) -> Iterator[tuple[int, int]]:
    """Yields the first address and the region number of each range, in order of address.

    Args:
        blocks: First address, negated last address and region number; sorted in place, so that an
            enclosing block comes before the blocks that it contains.
        end: First address behind the address space.
    """
    blocks.sort()
    enclosing: list[tuple[int, int]] = []
    for first, negated_last, number in blocks:
        yield from _close_blocks(enclosing, first)
        enclosing.append((-negated_last, number))
        yield first, number
    yield from _close_blocks(enclosing, end)


def _close_blocks(enclosing: list[tuple[int, int]], until: int) -> Iterator[tuple[int, int]]:
    """Removes the blocks that end before ``until`` and yields the ranges that follow them."""
    while enclosing and enclosing[-1][0] < until:
        last, _ = enclosing.pop()
        outer = enclosing[-1][1] if enclosing else _NO_REGION
        ends_with_outer = bool(enclosing) and enclosing[-1][0] == last
        if not ends_with_outer and last + 1 != until:
            yield last + 1, outer

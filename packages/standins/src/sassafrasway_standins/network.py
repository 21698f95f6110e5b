"""Network delays between loopback addresses of the form ``127.<region>.<domain>.<n>``.

The stand-ins read the region and the failure domain of a peer from its source address, so that
one process can impose the delay of every pair of places.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Mapping
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delays:
    """One-way delays between places, in milliseconds.

    Attributes:
        domain_ms: Delay between failure domains of one region.
        region_ms: Delay between regions.
    """

    domain_ms: float = 0.0
    region_ms: float = 0.0

    @classmethod
    def parse(cls, data: Mapping[str, Any]) -> "Delays":
        """Returns the delays of a JSON or TOML table with the names of the attributes."""
        return cls(
            domain_ms=float(data.get("domain_ms", 0.0)), region_ms=float(data.get("region_ms", 0.0))
        )

    def one_way_ms(self, one: str, other: str) -> float:
        """Returns the delay between two loopback addresses."""
        if one == other:
            return 0.0
        first, second = one.split("."), other.split(".")
        if first[1] != second[1]:
            return self.region_ms
        if first[2] != second[2]:
            return self.domain_ms
        return 0.0


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def dither_ms(delay_ms: float, rng: random.Random) -> int:
    """Rounds a delay up or down so that the mean is kept; uvloop timers count whole ms."""
    whole = math.floor(delay_ms)
    return whole + (rng.random() < delay_ms - whole)


async def pause(delay_ms: float, rng: random.Random) -> None:
    """Sleeps for a delay in milliseconds, right in the mean."""
    rounded_ms = dither_ms(delay_ms, rng)
    if rounded_ms > 0:
        await asyncio.sleep(rounded_ms / 1000)

"""Network delays between loopback addresses of the form ``127.<region>.<failure domain>.<n>``.

The stand-ins derive the region and the failure domain of a peer from its source address, so that
one process can apply the delay between any two failure domains.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Mapping
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delays:
    """One-way delays between failure domains of one region, and between regions."""

    domain_ms: float = 0.0
    region_ms: float = 0.0

    @classmethod
    def parse(cls, data: Mapping[str, Any]) -> "Delays":
        """Parses a JSON or TOML table whose keys are the names of the attributes.

        Raises:
            TypeError: A delay is neither a number nor a string.
            ValueError: A delay is a string that is not a number.
        """
        return cls(
            domain_ms=float(data.get("domain_ms", 0.0)), region_ms=float(data.get("region_ms", 0.0))
        )

    def one_way_ms(self, address: str, other: str) -> float:
        """Returns the one-way delay between two loopback addresses."""
        if address == other:
            return 0.0
        first, second = address.split("."), other.split(".")
        if first[1] != second[1]:
            return self.region_ms
        if first[2] != second[2]:
            return self.domain_ms
        return 0.0


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port`` into host and port.

    Raises:
        ValueError: The port is missing or not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def randomly_rounded_ms(delay_ms: float, rng: random.Random) -> int:
    """Rounds a delay up or down at random so that its mean is kept.

    uvloop timers have a resolution of 1 ms.
    """
    whole = math.floor(delay_ms)
    return whole + (rng.random() < delay_ms - whole)


async def pause(delay_ms: float, rng: random.Random) -> None:
    """Sleeps for a delay in milliseconds, rounded so that the mean is kept."""
    rounded_ms = randomly_rounded_ms(delay_ms, rng)
    if rounded_ms > 0:
        await asyncio.sleep(rounded_ms / 1000)

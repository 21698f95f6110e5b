"""Limits of one instance: its shares of the region's cap and of the links' caps."""

import asyncio
import dataclasses
from collections.abc import Callable

from sassafrasway_core import cap_grants, caps, model, window
from sassafrasway_core import clock as clock_lib

BITS_PER_MBIT = 1_000_000
MESSAGE_OVERHEAD_BYTES = 256  # Thrift framing, field heads and TCP/IP headers of a small message
DEMAND_INTERVAL_S = 0.4
# Demand is measured anew after this time also while no coordinator asks for it.
LONGEST_DEMAND_INTERVAL_S = 2.0
# A new coordinator gives nobody more until the shares of the earlier one have ended and left all
# windows; the next heartbeats then bring shares that follow the demand.
TAKEOVER_S = caps.SHARE_S + window.WINDOW_S + 1.0


@dataclasses.dataclass(slots=True)
class _Cap:
    """Use of one cap by this instance.

    Attributes:
        taken: Amount taken since ``since_s``.
        refused: Amounts refused since ``since_s`` and not taken later, by request.
        demand: Amount a second that was taken and refused before ``since_s``.
    """

    window: window.SlidingWindow
    taken: float = 0.0
    refused: dict[str, float] = dataclasses.field(default_factory=dict)
    since_s: float = 0.0
    demand: float = 0.0


def message_mbit(size_bytes: int) -> float:
    """Returns the size of a message on a link in Mbit."""
    return (size_bytes + MESSAGE_OVERHEAD_BYTES) * 8 / BITS_PER_MBIT


class CapLimits:
    """Keeps this instance within its shares of caps.

    The limit of each window is the share in force at that moment, so that a share that expires
    takes effect without a message.

    Args:
        region: Region of this instance.
        clock: Time source.
        amount: Returns the share in force of a cap by name.
        epoch: Returns the epoch of the coordinator that this instance follows.
    """

    def __init__(
        self,
        *,
        region: str,
        clock: clock_lib.Clock,
        amount: Callable[[str], float],
        epoch: Callable[[], int],
    ):
        self._region = region
        self._clock = clock
        self._amount = amount
        self._epoch = epoch
        self._known_epoch = epoch()
        self._settled_at_s = clock.monotonic()
        self._caps: dict[str, _Cap] = {}

    @property
    def settling(self) -> bool:
        """Whether shares can't follow the demand yet, because the coordinator has changed.

        A request that is refused for a cap meanwhile may be sent again soon.
        """
        return self._clock.monotonic() < self._settled_at_s

    def set_policy(self, policy: model.Policy) -> None:
        """Takes the caps of a new policy."""
        names = cap_grants.caps_of(policy, self._region)
        self._caps = {name: self._caps.get(name) or self._new() for name in names}

    def demand(self) -> dict[str, float]:
        """Returns the demand by cap name since the last call, for the next heartbeat.

        Every instance asks for a share of its region's cap, so that one that takes over a pool
        already holds its part of what nobody demands.
        """
        self._follow_epoch()
        for cap in self._caps.values():
            self._measure(cap)
        return {name: cap.demand for name, cap in self._caps.items()}

    def has_link_share(self, target: str, size_bytes: int) -> bool:
        """Returns whether a message fits into this instance's share of a link's cap at all.

        The first share of a new instance can be smaller than any message, because it is what the
        others happen to leave until they have confirmed smaller ones.
        """
        name = cap_grants.link_cap(self._region, target)
        return name not in self._caps or self._amount(name) >= message_mbit(size_bytes)

    def has_all_link_shares(self) -> bool:
        """Returns whether a small message fits into the share of every link's cap."""
        own = cap_grants.region_cap(self._region)
        smallest = message_mbit(0)
        return all(self._amount(name) >= smallest for name in self._caps if name != own)

    def take_region(self, request_id: str) -> float:
        """Takes one request from the region's cap; returns 0, or seconds to wait."""
        return self._take(cap_grants.region_cap(self._region), 1.0, request_id)

    def take_link(self, target: str, size_bytes: int, request_id: str) -> float:
        """Takes a message to another region from the link's cap; returns 0, or seconds to wait."""
        name = cap_grants.link_cap(self._region, target)
        return self._take(name, message_mbit(size_bytes), request_id)

    async def wait_link(
        self, target: str, size_bytes: int, request_id: str, *, limit_s: float
    ) -> bool:
        """Waits until a message fits under the link's cap; returns False after ``limit_s``."""
        until_s = self._clock.monotonic() + limit_s
        wait_s = self.take_link(target, size_bytes, request_id)
        while wait_s > 0:
            if self._clock.monotonic() + wait_s > until_s:
                return False
            await asyncio.sleep(wait_s)
            wait_s = self.take_link(target, size_bytes, request_id)
        return True

    def _take(self, name: str, amount: float, request_id: str) -> float:
        cap = self._caps.get(name)
        if cap is None:
            return 0.0
        if self._clock.monotonic() - cap.since_s >= LONGEST_DEMAND_INTERVAL_S:
            self._measure(cap)
        cap.window.set_limit(self._amount(name))
        if cap.window.try_take(amount):
            cap.taken += amount
            cap.refused.pop(request_id, None)
            return 0.0
        # A request that is refused several times counts once: instances whose requests try again
        # often would draw the cap away from the others.
        cap.refused[request_id] = amount
        return max(cap.window.retry_after_s(amount), 0.001)

    def _new(self) -> _Cap:
        return _Cap(
            window=window.SlidingWindow(limit=0.0, clock=self._clock),
            since_s=self._clock.monotonic(),
        )

    def _follow_epoch(self) -> None:
        epoch = self._epoch()
        if epoch != self._known_epoch:
            self._known_epoch = epoch
            self._settled_at_s = self._clock.monotonic() + TAKEOVER_S

    def _measure(self, cap: _Cap) -> None:
        now_s = self._clock.monotonic()
        elapsed_s = now_s - cap.since_s
        if elapsed_s < DEMAND_INTERVAL_S:
            return
        cap.demand = (cap.taken + sum(cap.refused.values())) / elapsed_s
        cap.taken = 0.0
        cap.refused.clear()
        cap.since_s = now_s

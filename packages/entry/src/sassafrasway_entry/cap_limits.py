"""Enforces this instance's shares of the caps of its region and of the region's links."""

import asyncio
import dataclasses
from collections.abc import Callable

from sassafrasway_core import cap_grants, caps, model, window
from sassafrasway_core import clock as clock_lib

BITS_PER_MBIT = 1_000_000
MESSAGE_OVERHEAD_BYTES = 256  # Thrift frame, field headers and TCP/IP headers of a small message
# Minimum interval between measurements of the demand.
DEMAND_INTERVAL_S = 0.4
# Without a coordinator no heartbeat asks for the demand. It is measured after this time anyway, as
# the record of refused requests would grow otherwise.
MAX_DEMAND_INTERVAL_S = 2.0
# Time after a change of the coordinator until shares follow the demand again. The new coordinator
# increases no share until the earlier ones have expired and what was taken under them has left all
# windows. The next heartbeats bring new shares up to a second later.
TAKEOVER_S = caps.SHARE_S + window.WINDOW_S + 1.0


@dataclasses.dataclass(slots=True)
class _CapUsage:
    """Use of one cap by this instance.

    Attributes:
        window: Limits what is taken in any one-second window.
        taken: Amount taken since ``since_s``, in requests or Mbit.
        refused: Amounts refused since ``since_s`` and not taken later, by request id.
        since_s: Monotonic time of the start of the current measurement.
        demand: Result of the previous measurement: amount taken and refused per second.
    """

    window: window.SlidingWindow
    taken: float = 0.0
    refused: dict[str, float] = dataclasses.field(default_factory=dict)
    since_s: float = 0.0
    demand: float = 0.0


def message_mbit(size_bytes: int) -> float:
    """Returns the size in Mbit of a message on a link, including its overhead."""
    return (size_bytes + MESSAGE_OVERHEAD_BYTES) * 8 / BITS_PER_MBIT


class CapLimits:
    """Keeps this instance within its shares of caps and measures its demand for them.

    The cap of a region limits the requests to its servers, in requests/s; the cap of a link limits
    the messages from this region to another one, in Mbit/s. Each instance of this region may use
    the share of a cap that the coordinator of the region grants it.

    Each use of a window first sets its limit to the share in force, so that the expiry of a share
    takes effect without a message.

    Args:
        amount: Returns the amount of the share in force, by name of the cap.
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
        self._last_epoch = epoch()
        self._settled_at_s = clock.monotonic()
        self._caps: dict[str, _CapUsage] = {}

    @property
    def settling(self) -> bool:
        """Whether shares do not follow the demand yet, because the coordinator has changed.

        A request that is refused because of a cap in this time may succeed after a short wait.
        """
        return self._clock.monotonic() < self._settled_at_s

    def set_policy(self, policy: model.Policy) -> None:
        """Replaces the caps by those of a policy; the use of caps that remain is kept."""
        names = cap_grants.caps_of(policy, self._region)
        self._caps = {name: self._caps.get(name) or self._new_usage() for name in names}

    def demand(self) -> dict[str, float]:
        """Returns the demand per second by cap name, for the next heartbeat.

        Every instance requests a share of each cap, even without demand. An instance that takes
        over a pool then already holds its part of the amount that no instance demands.
        """
        self._check_epoch()
        for cap in self._caps.values():
            self._measure(cap)
        return {name: cap.demand for name, cap in self._caps.items()}

    def has_link_share(self, target: str, size_bytes: int) -> bool:
        """Returns whether this instance's share of a link's cap is large enough for a message.

        The first share of a new instance can be smaller than any message. It consists of what the
        other instances left unused; more becomes free once they have confirmed smaller shares.
        """
        name = cap_grants.link_cap_name(self._region, target)
        return name not in self._caps or self._amount(name) >= message_mbit(size_bytes)

    def has_all_link_shares(self) -> bool:
        """Returns whether the share of every link's cap is large enough for an empty message."""
        region_cap_name = cap_grants.region_cap_name(self._region)
        smallest = message_mbit(0)
        return all(self._amount(name) >= smallest for name in self._caps if name != region_cap_name)

    def take_region(self, request_id: str) -> float:
        """Takes one request from the region's cap.

        Returns:
            0 if the request was taken or the region has no cap, otherwise the seconds after which
            to try again. These are infinite while the share of this instance is smaller than one
            request.
        """
        return self._take_from_cap(cap_grants.region_cap_name(self._region), 1.0, request_id)

    def take_link(self, target: str, size_bytes: int, request_id: str) -> float:
        """Takes a message to the region ``target`` from the link's cap.

        Returns:
            0 if the message was taken or the link has no cap, otherwise the seconds after which to
            try again. These are infinite while the share of this instance is smaller than the
            message.
        """
        name = cap_grants.link_cap_name(self._region, target)
        return self._take_from_cap(name, message_mbit(size_bytes), request_id)

    async def wait_link(
        self, target: str, size_bytes: int, request_id: str, *, limit_s: float
    ) -> bool:
        """Takes a message as ``take_link`` does, waiting up to ``limit_s`` if necessary.

        Returns:
            Whether the message was taken. False is returned as soon as the wait would be longer.
        """
        until_s = self._clock.monotonic() + limit_s
        wait_s = self.take_link(target, size_bytes, request_id)
        while wait_s > 0:
            if self._clock.monotonic() + wait_s > until_s:
                return False
            await asyncio.sleep(wait_s)
            wait_s = self.take_link(target, size_bytes, request_id)
        return True

    def _take_from_cap(self, name: str, amount: float, request_id: str) -> float:
        cap = self._caps.get(name)
        if cap is None:
            return 0.0
        if self._clock.monotonic() - cap.since_s >= MAX_DEMAND_INTERVAL_S:
            self._measure(cap)
        cap.window.set_limit(self._amount(name))
        if cap.window.try_take(amount):
            cap.taken += amount
            cap.refused.pop(request_id, None)
            return 0.0
        # A request that is refused several times counts once. Otherwise instances whose requests
        # are retried often would get shares at the expense of the others.
        cap.refused[request_id] = amount
        return max(cap.window.retry_after_s(amount), 0.001)

    def _new_usage(self) -> _CapUsage:
        return _CapUsage(
            window=window.SlidingWindow(limit=0.0, clock=self._clock),
            since_s=self._clock.monotonic(),
        )

    def _check_epoch(self) -> None:
        """Makes ``settling`` true for ``TAKEOVER_S`` when the coordinator has changed."""
        epoch = self._epoch()
        if epoch != self._last_epoch:
            self._last_epoch = epoch
            self._settled_at_s = self._clock.monotonic() + TAKEOVER_S

    def _measure(self, cap: _CapUsage) -> None:
        """Ends the current measurement of a cap, unless it is too short, and starts the next."""
        now_s = self._clock.monotonic()
        elapsed_s = now_s - cap.since_s
        if elapsed_s < DEMAND_INTERVAL_S:
            return
        cap.demand = (cap.taken + sum(cap.refused.values())) / elapsed_s
        cap.taken = 0.0
        cap.refused.clear()
        cap.since_s = now_s

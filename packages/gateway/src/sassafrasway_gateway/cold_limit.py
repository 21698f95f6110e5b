"""Limits the request rate of all instances together to each cold server, without coordination.

A cold server has just started, or was out of use, and is slow because its caches are empty.
"""

import hashlib
import typing

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import servers

# Share of the bound that is used; the rest is a margin for instances whose lists of live instances
# differ.
USED_SHARE = 0.6


class Fleet(typing.Protocol):
    """Source of the names of the live instances."""

    def live_names(self) -> list[str]:
        """Returns the names of the live instances that are not leaving, and of this one."""


class ColdLimit:
    """Lets a few instances use each cold server, at a bounded rate.

    For each cold server, all instances select the same few instances by rendezvous hashing. Each
    selected one sends at most one request per second. Few enough are selected that the sum stays
    below the bound even when the lists of live instances differ by a few names. At least one is
    selected, so a bound below one request per second is exceeded.

    ``factor`` and ``slack`` are ``cold_factor`` and ``cold_slack`` of ``settings.Bounds``.
    """

    def __init__(
        self, *, clock: clock_lib.Clock, instance: str, fleet: Fleet, factor: float, slack: float
    ):
        self._clock = clock
        self._instance = instance
        self._fleet = fleet
        self._factor = factor
        self._slack = slack
        self._rate_per_s: dict[str, float] = {}

    def set_bounds(self, *, factor: float, slack: float) -> None:
        """Replaces ``factor`` and ``slack``."""
        self._factor = factor
        self._slack = slack

    def set_rates(self, rate_per_s: dict[str, float]) -> None:
        """Replaces the requests per second that each cold server tolerates, by service.

        A rate counts the requests of all instances together.
        """
        self._rate_per_s = dict(rate_per_s)

    def allows(self, state: servers.ServerState, now_s: float) -> bool:
        """Whether this instance may send one request to the cold server now."""
        return state.next_cold_send_s <= now_s and self._is_selected(state)

    def on_sent(self, state: servers.ServerState, now_s: float) -> None:
        """Records that this instance sends a request to a cold server."""
        state.next_cold_send_s = now_s + 1.0

    def _is_selected(self, state: servers.ServerState) -> bool:
        """Whether this instance is one of those that may use the cold server."""
        rate_per_s = self._rate_per_s.get(state.server.service, 0.0)
        max_instances = max(1, int((rate_per_s * self._factor + self._slack) * USED_SHARE))
        names = self._fleet.live_names()
        if len(names) <= max_instances:
            return True
        ordered = sorted(names, key=lambda name: self._hash(name, state.server.server_id))
        return self._instance in ordered[:max_instances]

    @staticmethod
    def _hash(name: str, server_id: str) -> bytes:
        return hashlib.blake2b(f"{server_id}\0{name}".encode(), digest_size=8).digest()

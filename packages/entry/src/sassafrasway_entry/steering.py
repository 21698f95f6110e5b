"""Routing of requests: home regions, shifts and the order in which pools are tried."""

import dataclasses
import random

import xxhash

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import lookup, model, shift

_HASH_RANGE = 2**32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Route of a request.

    Attributes:
        pools: Pools to try, one in each region that has servers of the service: the home pool
            first, then the others by distance from the home region. If a shift moves the request,
            the home pool is that of the shift's target region.
        shift: Name of the shift that moves the request to another region, or empty.
    """

    pools: tuple[model.PoolKey, ...]
    home_region: str
    shift: str


class Steering:
    """Chooses the pools for requests by the current policy.

    ``region`` is the region of this instance and the home region of clients that are in no client
    block. Methods that take a client address raise ``errors.ValidationError`` when it is neither
    empty nor an IP address.
    """

    def __init__(self, *, region: str, clock: clock_lib.Clock, rng: random.Random):
        self._region = region
        self._policy: model.Policy | None = None
        self._blocks = lookup.BlockTable(blocks=())
        self._shifts = shift.ShiftController(clock=clock, rng=rng)
        self._pools: dict[str, dict[str, list[model.PoolKey]]] = {}
        self._nearest_regions: dict[str, list[str]] = {}

    @property
    def policy(self) -> model.Policy | None:
        """The current policy, or None before the first one."""
        return self._policy

    def set_policy(self, policy: model.Policy, blocks: lookup.BlockTable) -> None:
        """Replaces the policy; ``blocks`` is the table of its client blocks."""
        self._policy = policy
        self._blocks = blocks
        self._shifts.set_shifts(policy)
        self._pools = {}
        for key in sorted(policy.pools()):
            self._pools.setdefault(key.service, {}).setdefault(key.region, []).append(key)
        self._nearest_regions = {
            region: policy.regions_by_distance(region) for region in policy.regions
        }

    def region_of(self, client: str) -> str | None:
        """Returns the home region of a client address, or None when it is in no client block."""
        return self._blocks.region_of(client) if client else None

    def route(self, *, service: str, client: str, hash_key: str) -> Route:
        """Returns the pools to try for a request.

        The hash of client address and ``hash_key`` chooses the shard, and decides whether a shift
        that moves a fraction of the requests applies.
        """
        home = self.region_of(client) or self._region
        # At least 0 and less than 1.
        position = xxhash.xxh32_intdigest(f"{client}|{hash_key}".encode()) / _HASH_RANGE
        decision = self._shifts.decide(service, home, position)
        by_region = self._pools.get(service, {})
        order = [decision.region]
        order += [name for name in self._nearest_regions.get(home, ()) if name != decision.region]
        pools = []
        for region in order:
            shards = by_region.get(region, ())
            if shards:
                pools.append(shards[int(position * len(shards))])
        return Route(pools=tuple(pools), home_region=home, shift=decision.shift_name or "")

"""Ranks the servers of a service for an object, in the same order on every instance.

A backend server runs a request several times faster if it recently ran one for the same object; the
module ``balancer`` explains objects. All instances must therefore send the requests for an object
to the same few servers, without coordination.
"""

import dataclasses
import hashlib
import itertools
import math
import random
from collections.abc import Mapping, Sequence

from sassafrasway_gateway import model

HASH_RANGE = float(1 << 64)
MAX_CACHED_RANKINGS = 4096
# Weight of a remote server in a region without spare slots, as a share of its slots.
MIN_SPARE_SHARE = 0.01


def _unit_hash(*parts: str) -> float:
    """Returns a number in (0, 1] that depends only on the given strings."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Pool:
    """Servers to draw from, with the running sums of their weights."""

    server_ids: list[str]
    cumulative_weights: list[float]


class AffinityRanking:
    """Orders the usable servers of one service by weighted rendezvous hashing.

    The servers of the forwarding instance's region come first for as many objects as the slots of
    that region allow. If a region has fewer slots than its share of the callers requires, a fixed
    share of its objects goes to the regions with spare slots, independent of the current load. A
    region's share of the callers is taken to be its share of the failure domains.
    """

    def __init__(
        self,
        *,
        servers: Sequence[model.BackendServer],
        region_of: Mapping[str, str],
    ):
        self._servers = tuple(servers)
        self._region_of = region_of
        self._cache: dict[tuple[str, str, bool], tuple[str, ...]] = {}
        self._pools: dict[tuple[str, bool], _Pool] = {}
        domain_regions = list(region_of.values())
        regions = sorted(set(domain_regions))
        total_slots = sum(server.slots for server in servers) or 1
        slots = dict.fromkeys(regions, 0)
        for server in servers:
            region = region_of.get(server.failure_domain, "")
            slots[region] = slots.get(region, 0) + server.slots
        self._local_share: dict[str, float] = {}
        self._spare_share: dict[str, float] = {}
        for region, region_slots in slots.items():
            needed_slots = domain_regions.count(region) / max(1, len(domain_regions)) * total_slots
            self._local_share[region] = (
                min(1.0, region_slots / needed_slots) if needed_slots else 1.0
            )
            spare_slots = max(0.0, region_slots - needed_slots)
            self._spare_share[region] = spare_slots / region_slots if region_slots else 0.0

    def local_share(self, region: str) -> float:
        """Returns the share of the region's objects that its own servers run without overload."""
        return self._local_share.get(region, 0.0)

    def ranked(self, key: str, region: str, *, kept_share: float = 1.0) -> tuple[str, ...]:
        """Returns the ids of all servers, the preferred one for the object first.

        Args:
            key: Key of the object.
            region: Region of the instance that forwards the request.
            kept_share: Share of the objects that stay in the region for now, of those that its
                servers run without overload.
        """
        prefers_local = _unit_hash(key, region, "local") < self.local_share(region) * kept_share
        cache_key = (key, region, prefers_local)
        cached = self._cache.get(cache_key)
        if cached is not None:
            return cached
        if len(self._cache) >= MAX_CACHED_RANKINGS:
            self._cache.clear()
        ranking = self._compute(key, region, prefers_local=prefers_local)
        self._cache[cache_key] = ranking
        return ranking

    def drawn(
        self, region: str, *, rng: random.Random, count: int, kept_share: float = 1.0
    ) -> list[str]:
        """Returns up to ``count`` different servers, drawn at random with their ranking weights.

        They are for a request without an object. Either all of them are in the region, or none is.
        The first one is distributed like the preferred server of a random object.

        Args:
            region: Region of the instance that forwards the request.
            rng: Source of randomness.
            count: Number of draws.
            kept_share: As for ``ranked``.
        """
        prefers_local = rng.random() < self.local_share(region) * kept_share
        pool = self._pool(region, local=prefers_local) or self._pool(
            region, local=not prefers_local
        )
        if pool is None:
            return []
        drawn = rng.choices(pool.server_ids, cum_weights=pool.cumulative_weights, k=count)
        return list(dict.fromkeys(drawn))

    def _pool(self, region: str, *, local: bool) -> _Pool | None:
        """Returns the servers of the region or of all others; None if there are none."""
        pool = self._pools.get((region, local))
        if pool is None:
            members = [
                server
                for server in self._servers
                if (self._region_of.get(server.failure_domain, "") == region) == local
            ]
            pool = self._pools[region, local] = _Pool(
                server_ids=[server.server_id for server in members],
                cumulative_weights=list(
                    itertools.accumulate(self._weight(server, region) for server in members)
                ),
            )
        return pool if pool.server_ids else None

    def _weight(self, server: model.BackendServer, region: str) -> float:
        """Returns the weight of a server among the local or the remote ones."""
        weight = float(max(1, server.slots))
        server_region = self._region_of.get(server.failure_domain, "")
        if server_region != region:
            # Servers of regions without spare slots remain in the ranking, with a low weight.
            weight *= max(self._spare_share.get(server_region, 0.0), MIN_SPARE_SHARE)
        return weight

    def _compute(self, key: str, region: str, *, prefers_local: bool) -> tuple[str, ...]:
        local: list[tuple[float, str]] = []
        remote: list[tuple[float, str]] = []
        for server in self._servers:
            server_region = self._region_of.get(server.failure_domain, "")
            group = local if server_region == region else remote
            weight = self._weight(server, region)
            score = -math.log(_unit_hash(key, server.server_id)) / weight
            group.append((score, server.server_id))
        local.sort()
        remote.sort()
        ordered = local + remote if prefers_local else remote + local
        return tuple(server_id for _, server_id in ordered)

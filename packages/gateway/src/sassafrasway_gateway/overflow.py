"""Moves a share of a region's objects to other regions while its own servers are overloaded.

The objects of a region are those for which its instances receive requests; see ``balancer``.
Daily peaks and bursts of load reach one region at a time. Its servers then queue and reject
requests while those of other regions have free slots. The moved share changes slowly: a large step
would overload the other regions, and objects run slower until they are warm on their new servers.
"""

import dataclasses

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import servers

# Load of the region, in requests running or waiting per slot, above which objects move out of it.
OVERLOAD_THRESHOLD = 1.1
# Load of the region below which the objects move back.
RELIEF_THRESHOLD = 0.7
# Objects move out only while the load of some other region is lower by more than this. Without a
# report from any other region, the load there counts as 0.
MIN_LOAD_DIFFERENCE = 0.3
# Share of the objects that may move per second.
STEP_PER_S = 0.05
# Longest interval that one update accounts for; bounds the step after a pause of the process.
MAX_STEP_INTERVAL_S = 0.5
# Lower bound of the share of objects that stay, relative to the share without overload.
MIN_KEPT_SHARE = 0.3


@dataclasses.dataclass(slots=True, kw_only=True)
class _Share:
    """Share of the objects of one service that stay in the region.

    ``kept`` is a fraction of the share that the slots of the region allow.
    """

    kept: float = 1.0
    updated_s: float


class OverflowControl:
    """Controls, for each service, the share of this region's objects that its own servers run.

    Each instance decides by the load reports that it receives. The reports come from the same
    servers, so the shares of the instances of a region differ little. An object that two instances
    place differently is warm on both servers.
    """

    def __init__(self, *, clock: clock_lib.Clock, registry: servers.ServerRegistry, region: str):
        self._clock = clock
        self._registry = registry
        self._region = region
        self._shares: dict[str, _Share] = {}
        self._log = structlog.get_logger("overflow")

    def kept_share(self, service: str) -> float:
        """Returns the share of objects that stay, relative to the share without overload."""
        share = self._shares.get(service)
        return 1.0 if share is None else share.kept

    def kept_shares(self) -> dict[str, float]:
        """Returns the kept share of each service whose load was reported, for the state dump."""
        return {service: round(share.kept, 3) for service, share in self._shares.items()}

    def update(self) -> None:
        """Adjusts the shares to the reported load."""
        loads = self._registry.loads_by_region()
        for service in {*loads, *self._shares}:
            load_by_region = loads.get(service, {})
            before = self.kept_share(service)
            after = self._update_share(service, load_by_region)
            if (before < 1.0) != (after < 1.0):
                self._log.info(
                    "objects move to other regions"
                    if after < 1.0
                    else "all objects back in the region",
                    service=service,
                    kept_share=round(after, 3),
                    load={region: round(load, 2) for region, load in load_by_region.items()},
                )

    def _update_share(self, service: str, load_by_region: dict[str, float]) -> float:
        """Adjusts and returns the kept share of a service.

        Objects move back if there is no recent load report from this region.
        """
        now_s = self._clock.monotonic()
        share = self._shares.setdefault(service, _Share(updated_s=now_s))
        step = STEP_PER_S * min(MAX_STEP_INTERVAL_S, now_s - share.updated_s)
        share.updated_s = now_s
        local_load = load_by_region.get(self._region, 0.0)
        other_loads = [load for region, load in load_by_region.items() if region != self._region]
        if (
            local_load > OVERLOAD_THRESHOLD
            and min(other_loads, default=0.0) < local_load - MIN_LOAD_DIFFERENCE
        ):
            share.kept = max(MIN_KEPT_SHARE, share.kept - step)
        elif local_load < RELIEF_THRESHOLD:
            share.kept = min(1.0, share.kept + step)
        return share.kept

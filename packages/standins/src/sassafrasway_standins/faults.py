"""Faults that benchmarks and tests inject into a running cluster."""

import abc
import asyncio
import dataclasses
import time

import aiohttp

from sassafrasway_standins import history, launcher

# An instance that stops keeps serving until cached lookups and tickets have expired and no request
# is in flight.
REPLACE_TIMEOUT_S = 60.0
# Minimum duration of pauses and region cuts; longer than the lease of a coordinator (3 s) and the
# validity of grants (2 s).
MIN_LENGTH_S = 6.0
LOOKUP_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FaultContext:
    """Cluster and parameters of a fault.

    ``length_s`` is the duration of faults that do not end by themselves; pauses and region cuts
    last at least ``MIN_LENGTH_S``.
    """

    cluster: launcher.Cluster
    length_s: float

    @property
    def regions(self) -> tuple[str, ...]:
        """Regions of the layout."""
        return self.cluster.site.layout.regions

    async def pool_owner(self) -> str:
        """Returns the owner of a pool of a non-idempotent service in the first region.

        Raises:
            RuntimeError: All running instances answered the lookup with an error status.
            aiohttp.ClientError: The connection to an instance failed.
            TimeoutError: An instance did not answer within ``LOOKUP_TIMEOUT_S``.
        """
        site = self.cluster.site
        service = next(
            candidate.name for candidate in site.layout.services if not candidate.idempotent
        )
        block = next(
            cidr for cidr, region in site.client_blocks.items() if region == self.regions[0]
        )
        params = {"service": service, "client": block.partition("/")[0]}
        timeout = aiohttp.ClientTimeout(total=LOOKUP_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for name in self.cluster.entry_names:
                url = f"http://{site.instances[name].caller}/v1/lookup"
                async with session.get(url, params=params) as response:
                    if response.ok:
                        return (await response.json())["instances"][0]["name"]
        raise RuntimeError(
            "lookup of a pool owner failed: no entry instance returned a success status"
        )

    def record_phase(self, fault: str, phase: str, target: str = "") -> None:
        """Writes the record of a phase of a fault."""
        event = history.FaultEvent(at_s=time.monotonic(), fault=fault, phase=phase, target=target)
        self.cluster.write_records(event)


class Fault(abc.ABC):
    """A fault; ``name`` identifies it on the command line and in the records."""

    name = ""

    async def run(self, context: FaultContext) -> None:
        """Records the injection of the fault, runs the fault and records its end.

        A permanent fault (see the subclasses) goes on after the recorded end.

        Raises:
            RuntimeError: No pool owner was found, or an instance did not stop gracefully.
            processes.ProcessError: An instance did not start, become ready or end in time.
            aiohttp.ClientError: The connection to an instance or a stand-in failed.
            TimeoutError: An instance or a stand-in did not answer in time.
        """
        context.record_phase(self.name, history.INJECTED)
        await self._inject(context)
        context.record_phase(self.name, history.ENDED)

    @abc.abstractmethod
    async def _inject(self, context: FaultContext) -> None:
        """Injects the fault and, unless the fault is permanent, ends it."""


class NoFault(Fault):
    """No fault, for runs without one."""

    name = "none"

    async def _inject(self, context: FaultContext) -> None:
        """See base class."""


class KillEntry(Fault):
    """Kills a pool owner and starts it again after ``length_s``."""

    name = "kill-entry"

    async def _inject(self, context: FaultContext) -> None:
        owner = await context.pool_owner()
        await context.cluster.kill_entry(owner)
        await asyncio.sleep(context.length_s)
        await context.cluster.start_entry(owner)


class PauseEntry(Fault):
    """Suspends a pool owner for longer than its grants and leases are valid."""

    name = "pause-entry"

    async def _inject(self, context: FaultContext) -> None:
        owner = await context.pool_owner()
        context.cluster.pause_entry(owner)
        await asyncio.sleep(max(context.length_s, MIN_LENGTH_S))
        context.cluster.resume_entry(owner)


class StoreDown(Fault):
    """Makes table service, object store and instance list refuse requests."""

    name = "store-down"

    async def _inject(self, context: FaultContext) -> None:
        await context.cluster.set_store_faults(down="refuse", instances_down=True)
        await asyncio.sleep(context.length_s)
        await context.cluster.set_store_faults(down="", instances_down=False)


class ReplaceAll(Fault):
    """Replaces each entry instance gracefully, one of each region at a time."""

    name = "replace-all"

    async def _inject(self, context: FaultContext) -> None:
        for batch in self._batches(context.cluster):
            await asyncio.gather(*(self._replace(context, name) for name in batch))

    def _batches(self, cluster: launcher.Cluster) -> list[list[str]]:
        by_region: dict[str, list[str]] = {}
        for name in cluster.entry_names:
            by_region.setdefault(cluster.site.instances[name].region, []).append(name)
        count = max(map(len, by_region.values()), default=0)
        return [
            [names[index] for names in by_region.values() if index < len(names)]
            for index in range(count)
        ]

    async def _replace(self, context: FaultContext, name: str) -> None:
        context.record_phase(self.name, history.STOP_ORDERED, name)
        code = await context.cluster.stop_entry(name, timeout_s=REPLACE_TIMEOUT_S)
        context.record_phase(self.name, history.STOPPED, name)
        if code != 0:
            raise RuntimeError(f"{name} did not stop gracefully, exit code {code}")
        await context.cluster.start_entry(name)
        await context.cluster.wait_ready([name])


class SilentConnection(Fault):
    """Silences the connections open to backend servers and between the first two regions.

    The fault is permanent for these connections; new connections work.
    """

    name = "silent-connection"

    async def _inject(self, context: FaultContext) -> None:
        await context.cluster.set_backends(silent=True)
        await context.cluster.set_links("silent", context.regions[0], context.regions[1])


class DrainServer(Fault):
    """Makes one backend server of each service report permanently that it is leaving."""

    name = "drain-server"

    async def _inject(self, context: FaultContext) -> None:
        names = [f"{service.name}-1" for service in context.cluster.site.layout.services]
        await context.cluster.set_backends(names, leaving=True)
        await asyncio.sleep(context.length_s)


class RegionCut(Fault):
    """Cuts the last region off from the store and from the entry instances of other regions.

    The store's instance list and the backend servers of other regions stay reachable.
    """

    name = "region-cut"

    async def _inject(self, context: FaultContext) -> None:
        region = context.regions[-1]
        others = [other for other in context.regions if other != region]
        prefix = self._address_prefix(context.cluster, region)
        for other in others:
            await context.cluster.set_links("cut", region, other)
        await context.cluster.set_store_faults(down="hang", down_sources=[prefix])
        await asyncio.sleep(max(context.length_s, MIN_LENGTH_S))
        await context.cluster.set_store_faults(down="", down_sources=[])
        for other in others:
            await context.cluster.set_links("heal", region, other)

    def _address_prefix(self, cluster: launcher.Cluster, region: str) -> str:
        hosts = [
            instance.host
            for instance in cluster.site.instances.values()
            if instance.region == region
        ]
        return ".".join(hosts[0].split(".")[:2]) + "."


FAULTS: dict[str, Fault] = {
    fault.name: fault
    for fault in (
        NoFault(),
        KillEntry(),
        PauseEntry(),
        StoreDown(),
        ReplaceAll(),
        SilentConnection(),
        DrainServer(),
        RegionCut(),
    )
}

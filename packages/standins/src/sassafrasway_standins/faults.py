"""Faults that the bench injects into a running set of processes."""

import abc
import asyncio
import dataclasses
import time

import aiohttp

from sassafrasway_standins import history, launcher

# A replacement serves on until cached lookups and tickets have expired and nothing is in flight.
REPLACE_TIMEOUT_S = 60.0
# Longer than the lease of a coordinator (3 s) and the expiry of grants (2 s).
MIN_LENGTH_S = 6.0
LOOKUP_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scene:
    """What a fault acts on.

    Attributes:
        length_s: How long a fault lasts that the bench also ends, s.
    """

    cluster: launcher.Cluster
    length_s: float

    @property
    def regions(self) -> tuple[str, ...]:
        """Regions of the layout."""
        return self.cluster.site.layout.regions

    async def owner(self) -> str:
        """Returns the instance that owns a pool of a non-idempotent service in the first region.

        Raises:
            RuntimeError: No instance answers a lookup.
        """
        site = self.cluster.site
        service = next(each.name for each in site.layout.services if not each.idempotent)
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
        raise RuntimeError("no entry instance answers a lookup")

    def note(self, fault: str, phase: str, target: str = "") -> None:
        """Records a phase of a fault."""
        event = history.FaultEvent(at_s=time.monotonic(), fault=fault, phase=phase, target=target)
        self.cluster.note(event)


class Fault(abc.ABC):
    """One fault, from its injection to its end."""

    name = ""

    async def run(self, scene: Scene) -> None:
        """Injects the fault, and ends it where it does not end by itself."""
        scene.note(self.name, history.INJECTED)
        await self._act(scene)
        scene.note(self.name, history.ENDED)

    @abc.abstractmethod
    async def _act(self, scene: Scene) -> None:
        """Does what makes the fault."""


class NoFault(Fault):
    """A run without a fault."""

    name = "none"

    async def _act(self, scene: Scene) -> None:
        """See base class."""


class KillEntry(Fault):
    """A pool owner dies; its replacement starts later."""

    name = "kill-entry"

    async def _act(self, scene: Scene) -> None:
        """See base class."""
        victim = await scene.owner()
        await scene.cluster.kill_entry(victim)
        await asyncio.sleep(scene.length_s)
        await scene.cluster.start_entry(victim)


class PauseEntry(Fault):
    """A pool owner does not run for longer than its grants and leases last."""

    name = "pause-entry"

    async def _act(self, scene: Scene) -> None:
        """See base class."""
        victim = await scene.owner()
        scene.cluster.pause_entry(victim)
        await asyncio.sleep(max(scene.length_s, MIN_LENGTH_S))
        scene.cluster.resume_entry(victim)


class StoreDown(Fault):
    """Table service, object store and instance list refuse requests."""

    name = "store-down"

    async def _act(self, scene: Scene) -> None:
        """See base class."""
        await scene.cluster.set_store_faults(down="refuse", instances_down=True)
        await asyncio.sleep(scene.length_s)
        await scene.cluster.set_store_faults(down="", instances_down=False)


class ReplaceAll(Fault):
    """Every entry instance is replaced gracefully, one of each region at a time."""

    name = "replace-all"

    async def _act(self, scene: Scene) -> None:
        """See base class."""
        for batch in self._batches(scene.cluster):
            await asyncio.gather(*(self._replace(scene, name) for name in batch))

    def _batches(self, cluster: launcher.Cluster) -> list[list[str]]:
        by_region: dict[str, list[str]] = {}
        for name in cluster.entry_names:
            by_region.setdefault(cluster.site.instances[name].region, []).append(name)
        count = max(map(len, by_region.values()), default=0)
        return [
            [names[index] for names in by_region.values() if index < len(names)]
            for index in range(count)
        ]

    async def _replace(self, scene: Scene, name: str) -> None:
        scene.note(self.name, history.STOP_ORDERED, name)
        code = await scene.cluster.stop_entry(name, timeout_s=REPLACE_TIMEOUT_S)
        scene.note(self.name, history.STOPPED, name)
        if code != 0:
            raise RuntimeError(f"{name} stopped with exit code {code}")
        await scene.cluster.start_entry(name)
        await scene.cluster.wait_ready([name])


class SilentConnection(Fault):
    """All open connections to backend servers, and between two regions, stop responding."""

    name = "silent-connection"

    async def _act(self, scene: Scene) -> None:
        """See base class."""
        await scene.cluster.set_backends(silent=True)
        await scene.cluster.set_links("silent", scene.regions[0], scene.regions[1])


class DrainServer(Fault):
    """One backend server of each service reports that it is leaving."""

    name = "drain-server"

    async def _act(self, scene: Scene) -> None:
        """See base class."""
        names = [f"{each.name}-1" for each in scene.cluster.site.layout.services]
        await scene.cluster.set_backends(names, leaving=True)
        await asyncio.sleep(scene.length_s)


class RegionCut(Fault):
    """The last region loses the other regions, the store and the servers elsewhere."""

    name = "region-cut"

    async def _act(self, scene: Scene) -> None:
        """See base class."""
        region = scene.regions[-1]
        others = [each for each in scene.regions if each != region]
        prefix = self._prefix(scene.cluster, region)
        for other in others:
            await scene.cluster.set_links("cut", region, other)
        await scene.cluster.set_store_faults(down="hang", down_sources=[prefix])
        await asyncio.sleep(max(scene.length_s, MIN_LENGTH_S))
        await scene.cluster.set_store_faults(down="", down_sources=[])
        for other in others:
            await scene.cluster.set_links("heal", region, other)

    def _prefix(self, cluster: launcher.Cluster, region: str) -> str:
        """Returns the prefix of all addresses of a region."""
        hosts = [each.host for each in cluster.site.instances.values() if each.region == region]
        return ".".join(hosts[0].split(".")[:2]) + "."


FAULTS: dict[str, Fault] = {
    each.name: each
    for each in (
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

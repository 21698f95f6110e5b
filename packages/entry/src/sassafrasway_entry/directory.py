"""Instances and pool owners of all regions, as last reported by the coordinators."""

import dataclasses
from collections.abc import Iterable, Mapping

from sassafrasway_core import model, region

# Maximum number of incarnations to remember whose RPC port refused a connection.
MAX_REFUSED = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegionDirectory:
    """Instances and pool owners of one region.

    Attributes:
        epoch: Epoch of the coordinator that wrote this directory.
        version: Increases within an epoch.
        instances: Instances of the region, including those that are leaving or silent: without a
            recent message, but not proved to be gone.
        gone: Incarnations that were found to have ended; only the latest of them.
    """

    region: str
    epoch: int
    version: int
    coordinator: region.Instance
    instances: tuple[region.Instance, ...]
    owners: Mapping[model.PoolKey, model.InstanceId]
    gone: tuple[model.InstanceId, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """Epoch and version; a directory with a higher pair replaces one with a lower pair."""
        return (self.epoch, self.version)


class Directory:
    """The directories of all known regions, indexed by instance and by pool."""

    def __init__(self):
        self._regions: dict[str, RegionDirectory] = {}
        # Value of ``_mark`` after the last change of a directory, by region name.
        self._marks: dict[str, int] = {}
        self._mark = 0
        self._by_name: dict[str, region.Instance] = {}
        self._owners: dict[model.PoolKey, region.Instance] = {}
        self._gone: dict[model.InstanceId, None] = {}
        self._refused: dict[model.InstanceId, None] = {}

    @property
    def mark(self) -> int:
        """Number of changes so far, to be passed to ``changed_since`` later."""
        return self._mark

    def owner(self, pool: model.PoolKey) -> region.Instance | None:
        """Returns the owner of a pool, or None when it is unknown or refused a connection."""
        owner = self._owners.get(pool)
        return None if owner is None or owner.id in self._refused else owner

    def instance(self, name: str) -> region.Instance | None:
        """Returns the instance with a name, or None."""
        return self._by_name.get(name)

    def at_address(self, rpc_address: str) -> region.Instance | None:
        """Returns the instance that advertises an RPC address, or None."""
        matches = (
            instance for instance in self._by_name.values() if instance.rpc_address == rpc_address
        )
        return next(matches, None)

    def instances(self, region_name: str | None = None) -> list[region.Instance]:
        """Returns the instances of one region or of all regions, including silent ones."""
        if region_name is None:
            return list(self._by_name.values())
        known = self._regions.get(region_name)
        return [] if known is None else list(known.instances)

    def is_gone(self, name: str, incarnation: str) -> bool:
        """Returns whether an incarnation is known to have ended or refused a connection."""
        instance = model.InstanceId(name=name, incarnation=incarnation)
        return instance in self._gone or instance in self._refused

    def note_refused(self, instance: model.InstanceId) -> None:
        """Records that the RPC port of an incarnation refused a connection.

        From then on it is regarded as gone and not returned as owner. The coordinator reports this
        only a moment later, and until then requests would be sent to the ended process.
        """
        self._refused[instance] = None
        while len(self._refused) > MAX_REFUSED:
            del self._refused[next(iter(self._refused))]

    def region(self, name: str) -> RegionDirectory | None:
        """Returns the directory of a region, or None when it is unknown."""
        return self._regions.get(name)

    def regions(self) -> list[RegionDirectory]:
        """Returns the directories of all known regions."""
        return list(self._regions.values())

    def changed_since(self, mark: int) -> list[RegionDirectory]:
        """Returns the directories that changed after ``mark`` was read."""
        return [
            self._regions[name] for name, changed_mark in self._marks.items() if changed_mark > mark
        ]

    def newer_than(self, known: Mapping[str, tuple[int, int]]) -> list[RegionDirectory]:
        """Returns the directories that are newer than ``known``.

        Args:
            known: Epoch and version by region; other regions are left out. When it is empty, all
                directories are returned.
        """
        return [
            entry
            for entry in self._regions.values()
            if not known or (entry.region in known and entry.order > known[entry.region])
        ]

    def update(self, directories: Iterable[RegionDirectory]) -> bool:
        """Stores the directories that are newer; returns whether there was one."""
        changed = False
        for received in directories:
            known = self._regions.get(received.region)
            if known is None or received.order > known.order:
                changed = True
                self._replace(received)
        return changed

    def _replace(self, new: RegionDirectory) -> None:
        old = self._regions.get(new.region)
        if old is not None:
            self._remove(old)
        self._regions[new.region] = new
        self._mark += 1
        self._marks[new.region] = self._mark
        by_id = {instance.id: instance for instance in new.instances}
        self._by_name.update((instance.name, instance) for instance in new.instances)
        for pool, owner in new.owners.items():
            if owner in by_id:
                self._owners[pool] = by_id[owner]
        self._gone.update(dict.fromkeys(new.gone))

    def _remove(self, old: RegionDirectory) -> None:
        for instance in old.instances:
            self._by_name.pop(instance.name, None)
        for pool in old.owners:
            self._owners.pop(pool, None)
        for instance in old.gone:
            self._gone.pop(instance, None)

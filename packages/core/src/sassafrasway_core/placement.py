"""Placement strategies: which instance may use which slots of a pool's servers.

Only ``pool_owner``, the default, uses the ownership of pools that ``region`` describes. With the
other strategies, every instance uses all pools and ignores its grants.
"""

import abc
import dataclasses
from collections.abc import Iterable, Sequence

import xxhash

from sassafrasway_core import model


class Placement(abc.ABC):
    """Decides which slots an instance may use and whether it forwards requests to pool owners.

    The servers of an instance's ``SlotPool`` are those that ``usable_servers`` returns.

    Attributes:
        name: Name in the settings.
        forwards: Whether a request goes to the owner of its pool. If not, the instance that
            receives a request dispatches it itself and pools have no owner.
        ranks_by_reports: Value of ``SlotPool``'s ``rank_by_reports``.
        retries_after_shed: How many other servers a request may try after a server shed it, before
            it overflows to other regions; 0 selects ``MAX_SHED_RETRIES`` of the entry package.
    """

    name: str
    forwards: bool
    ranks_by_reports: bool = False
    retries_after_shed: int = 0

    @abc.abstractmethod
    def usable_servers(
        self, servers: Iterable[model.BackendServer], *, index: int, count: int
    ) -> list[model.BackendServer]:
        """Returns the servers that an instance may use, with ``slots`` set to what it may use.

        Servers on which the instance has no slot are left out. Leaving servers are treated like
        the others, so that a drain does not change the assignment of slots.

        Args:
            servers: All servers of one pool, as configured in the policy.
            index: Index of the instance among all live instances, sorted by name, from 0.
            count: Number of live instances.

        Raises:
            ValueError: ``index`` is not from 0 to ``count - 1``.
        """


class PoolOwner(Placement):
    """One instance owns the pool and uses all of its slots; the others forward requests to it."""

    name = "pool_owner"
    forwards = True

    def usable_servers(
        self, servers: Iterable[model.BackendServer], *, index: int, count: int
    ) -> list[model.BackendServer]:
        """See base class; returns all servers, because only the owner dispatches to them."""
        _check_index(index, count)
        return list(servers)


class EvenSplit(Placement):
    """Assigns each slot of a pool to exactly one instance.

    In each pool, the numbers of slots of two instances differ by at most one. The assignment
    changes only with the servers, their slots or the live instances.
    """

    name = "even_split"
    forwards = False

    def usable_servers(
        self, servers: Iterable[model.BackendServer], *, index: int, count: int
    ) -> list[model.BackendServer]:
        """See base class; assigns slots round-robin, in order of server name."""
        _check_index(index, count)
        sorted_servers = sorted(servers, key=lambda server: server.name)
        # The first instances of the round-robin get the remaining slots. Its start depends on the
        # service and region, so that these are not always the same instances.
        next_index = _first_index(sorted_servers, count)
        usable = []
        for server in sorted_servers:
            first_slot = (index - next_index) % count
            slots = len(range(first_slot, server.slots, count))
            next_index = (next_index + server.slots) % count
            if slots:
                usable.append(dataclasses.replace(server, slots=slots))
        return usable


class LocalCount(Placement):
    """Every instance uses all slots and ranks servers by its own leases and load reports.

    An instance does not count the leases of the others, so a server may be full when a request
    arrives. The server then sheds the request, and the instance retries it on one other server.
    """

    name = "local_count"
    forwards = False
    ranks_by_reports = True
    retries_after_shed = 1

    def usable_servers(
        self, servers: Iterable[model.BackendServer], *, index: int, count: int
    ) -> list[model.BackendServer]:
        """See base class."""
        _check_index(index, count)
        return list(servers)


# Placement strategies by their name in the settings.
PLACEMENTS: dict[str, Placement] = {
    placement.name: placement for placement in (PoolOwner(), EvenSplit(), LocalCount())
}


def _check_index(index: int, count: int) -> None:
    if not 0 <= index < count:
        raise ValueError(f"instance index is {index}, expected 0 to {count - 1}")


def _first_index(servers: Sequence[model.BackendServer], count: int) -> int:
    if not servers:
        return 0
    name = f"{servers[0].service}/{servers[0].region}"
    return xxhash.xxh32_intdigest(name.encode()) % count

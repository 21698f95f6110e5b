"""Strategies for which instance may use which slots of a pool's servers."""

import abc
import dataclasses
from collections.abc import Iterable, Sequence

import xxhash

from sassafrasway_core import model


class Placement(abc.ABC):
    """Decides which slots an instance dispatches to and whether it forwards requests instead.

    The dispatcher builds the ``SlotPool`` of a pool from ``usable_servers`` and uses the
    attributes as follows.

    Attributes:
        name: Name in the settings.
        forwards: Whether a request goes to the owner of its pool. If not, the instance that
            receives a request dispatches it itself, and pools have no owner.
        ranks_by_reports: Value of ``SlotPool``'s ``rank_by_reports``.
        retries_after_shed: How many other servers a request may try after a server shed it. This
            is part of the strategy and comes before overflow to other regions.
    """

    name: str
    forwards: bool
    ranks_by_reports: bool = False
    retries_after_shed: int = 0

    @abc.abstractmethod
    def usable_servers(
        self, servers: Iterable[model.BackendServer], *, index: int, count: int
    ) -> list[model.BackendServer]:
        """Returns the servers an instance may use, with ``slots`` set to its part of them.

        Servers of which the instance has no slot are left out. Leaving servers count like others,
        so that a drain does not change who has which slot.

        Args:
            servers: All servers of one pool, as the policy states them.
            index: Position of the instance among all live instances in order of name, from 0.
            count: Number of live instances.
        """


class PoolOwner(Placement):
    """One instance owns the pool and uses all slots; the others forward to it."""

    name = "pool_owner"
    forwards = True

    def usable_servers(
        self, servers: Iterable[model.BackendServer], *, index: int, count: int
    ) -> list[model.BackendServer]:
        """See base class; called by the owner only, for which it returns everything."""
        _check_position(index, count)
        return list(servers)


class EvenSplit(Placement):
    """Every slot belongs to one instance for good; instances differ by at most one slot."""

    name = "even_split"
    forwards = False

    def usable_servers(
        self, servers: Iterable[model.BackendServer], *, index: int, count: int
    ) -> list[model.BackendServer]:
        """See base class; deals the slots out one by one, in order of server name."""
        _check_position(index, count)
        in_order = sorted(servers, key=lambda server: server.name)
        # The first instances get the rest of the division; the offset makes them differ by pool.
        position = _offset(in_order, count)
        usable = []
        for server in in_order:
            first = (index - position) % count
            slots = len(range(first, server.slots, count))
            position = (position + server.slots) % count
            if slots:
                usable.append(dataclasses.replace(server, slots=slots))
        return usable


class LocalCount(Placement):
    """Every instance uses all slots, ranked by its own leases and the servers' reports.

    Instances do not know each other's leases, so a server may be full when a request arrives. It
    then sheds the request, which tries one other server.
    """

    name = "local_count"
    forwards = False
    ranks_by_reports = True
    retries_after_shed = 1

    def usable_servers(
        self, servers: Iterable[model.BackendServer], *, index: int, count: int
    ) -> list[model.BackendServer]:
        """See base class."""
        _check_position(index, count)
        return list(servers)


PLACEMENTS: dict[str, Placement] = {
    placement.name: placement for placement in (PoolOwner(), EvenSplit(), LocalCount())
}


def _check_position(index: int, count: int) -> None:
    if not 0 <= index < count:
        raise ValueError(f"instance index is {index}, expected 0 to {count - 1}")


def _offset(servers: Sequence[model.BackendServer], count: int) -> int:
    if not servers:
        return 0
    name = f"{servers[0].service}/{servers[0].region}"
    return xxhash.xxh32_intdigest(name.encode()) % count

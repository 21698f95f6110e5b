"""Slot accounting of one pool: admission, server selection and the wait queue.

An instance has a ``SlotPool`` for each pool that it may use. A request that is sent to a server
holds a lease of one of the server's slots until it has ended.
"""

import itertools
import random
from collections.abc import Hashable, Iterable, Mapping

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import (
    health,
    invariants,
    model,
    pool_inherited,
    pool_queue,
    pool_server,
    pool_types,
)
from sassafrasway_core import share as shares

# Types in the interface of SlotPool, so that its callers need to import only this module.
WaiterLease = pool_types.WaiterLease
PoolSnapshot = pool_types.PoolSnapshot
ServerResult = pool_types.ServerResult
ServerSnapshot = pool_types.ServerSnapshot
Share = shares.Share
SlotLease = pool_types.SlotLease

# After a server shed a request, other servers are preferred for this long. The server has fewer
# free slots than the pool counted, and its running requests need time to finish.
SHED_PAUSE_S = 0.5


class SlotPool:
    """Leases the slots of a pool's servers, never more than the share of each server allows.

    Lowering the share or a slot count only prevents new leases; existing leases stay valid. The
    pool starts with share ``FULL``. Servers passed to the constructor are assumed to be warm,
    because they have usually served a previous owner; servers added later are ramped up.

    Slots also become free as time passes (ramp-up, expiry of inherited slots) and by
    ``set_servers``, ``set_share``, ``set_leaving`` and ``record_probe``. None of these returns
    leases, so the caller has to call ``lease_to_waiting`` regularly while requests wait.

    Args:
        servers: The pool's servers, including leaving ones.
        rng: Random source for server selection and for the jitter of ejection times.
        invariants: Checks every new lease; may raise ``errors.InvariantViolation``.
        queue_limit: Maximum number of waiting requests; 0 for services whose requests may not
            wait.
        ramp_s: Seconds over which the slots of a new or long-idle server become usable.
        rank_by_reports: Whether load reports limit the estimate of a server's free slots. Set it
            only for placements in which other instances dispatch to the same servers. Otherwise,
            the pool ranks servers by its own count of free slots, and reports only break ties.
    """

    def __init__(
        self,
        *,
        key: model.PoolKey,
        servers: Iterable[model.BackendServer],
        clock: clock_lib.Clock,
        rng: random.Random,
        invariants: invariants.Invariants,
        queue_limit: int = 0,
        ramp_s: float = 0.0,
        rank_by_reports: bool = False,
    ):
        self._key = key
        self._clock = clock
        self._rng = rng
        self._invariants = invariants
        self._ramp_s = ramp_s
        self._rank_by_reports = rank_by_reports
        self._share = Share.FULL
        self._servers: dict[str, pool_server.ServerSlots] = {}
        self._active: list[pool_server.ServerSlots] = []
        self._shed_until_s: dict[str, float] = {}
        self._leases: dict[int, pool_server.ServerSlots] = {}
        self._lease_ids = itertools.count(1)
        self._queue = pool_queue.WaitQueue(limit=queue_limit)
        self._inherited = pool_inherited.InheritedSlots()
        self._health = health.ServerHealth(clock=clock, rng=rng)
        self._add_servers(servers, cold=False)

    @property
    def key(self) -> model.PoolKey:
        """Key of the pool."""
        return self._key

    @property
    def share(self) -> Share:
        """Share of each server's slots that may be used."""
        return self._share

    @property
    def health(self) -> health.ServerHealth:
        """Health of the servers, including which of them to probe."""
        return self._health

    def free_slots(self) -> int:
        """Returns the number of leases that can be acquired now."""
        now_s = self._expire_inherited()
        ejected = self._health.ejected()
        return sum(
            max(0, self._free(slots, now_s)) for slots in self._active if slots.name not in ejected
        )

    def in_use(self) -> dict[str, int]:
        """Returns the slots in use by server name, including inherited ones; omits idle servers."""
        self._expire_inherited()
        counts = self._inherited.counts()
        for name, slots in self._servers.items():
            if slots.lease_count:
                counts[name] = counts.get(name, 0) + slots.lease_count
        return counts

    def queue_length(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._queue)

    def servers_to_probe(self) -> list[model.BackendServer]:
        """Returns the servers that are due for a probe.

        These are ejected servers whose ejection time has passed, and servers that reported that
        they are leaving and may have returned.
        """
        now_s = self._clock.monotonic()
        due = [self._servers[name].server for name in self._health.probes_due()]
        due += [
            slots.server for slots in self._servers.values() if slots.is_leaving_probe_due(now_s)
        ]
        return due

    def snapshot(self) -> PoolSnapshot:
        """Returns the state of the pool for dumps and metrics."""
        now_s = self._expire_inherited()
        return PoolSnapshot(
            key=self._key,
            share=self._share,
            servers=tuple(self._server_snapshot(slots, now_s) for slots in self._servers.values()),
            free_slots=self.free_slots(),
            queue_length=len(self._queue),
        )

    def set_servers(self, servers: Iterable[model.BackendServer]) -> None:
        """Replaces the servers; a server that is no longer listed gets no new requests."""
        servers = list(servers)
        names = {server.name for server in servers}
        for name in [name for name in self._servers if name not in names]:
            self._servers[name].removed = True
            self._delete_if_unused(name)
        self._add_servers(servers, cold=True)

    def set_share(self, share: Share) -> None:
        """Changes the share of each server's slots that new leases may use."""
        self._share = share
        for slots in self._servers.values():
            slots.set_share(share)

    def set_leaving(self, server_name: str, leaving: bool) -> None:
        """Applies the leaving state that a server reported."""
        slots = self._servers.get(server_name)
        if slots is None or slots.reported_leaving == leaving:
            return
        slots.reported_leaving = leaving
        slots.probed_s = self._clock.monotonic()
        if not leaving:
            slots.restart_ramp()
        self._update_active()

    def record_probe(
        self, server_name: str, *, succeeded: bool, leaving: bool | None = None
    ) -> None:
        """Records the result of a probe; a server that returns to service is ramped up.

        ``leaving`` is what the server reported, None if unknown. Only a successful probe with False
        withdraws an earlier report.
        """
        slots = self._servers.get(server_name)
        if slots is None:
            return
        was_ejected = self._health.is_ejected(server_name)
        self._health.record_probe(server_name, succeeded=succeeded)
        if was_ejected and succeeded:
            slots.restart_ramp()
        slots.probed_s = self._clock.monotonic()
        if leaving or (succeeded and leaving is False):
            self.set_leaving(server_name, leaving)

    def report_load(self, server_name: str, slots_in_use: int) -> None:
        """Records the load that a server reported; it only affects the ranking of servers."""
        slots = self._servers.get(server_name)
        if slots is not None:
            slots.record_load(slots_in_use, self._clock.monotonic())

    def try_acquire(self, *, exclude: frozenset[str] = frozenset()) -> SlotLease | None:
        """Leases a slot; returns None if none is free.

        The slot is one of the server with the most free slots or, with ``rank_by_reports``, of a
        random server weighted by its estimated free slots. Servers that shed a request in the last
        ``SHED_PAUSE_S`` or whose last result was a failure are used only if no other server
        appears to have a free slot; those in ``exclude`` are never used.
        """
        now_s = self._expire_inherited()
        slots = self._select(exclude, now_s)
        return self._create_lease(slots, now_s) if slots is not None else None

    def release(self, lease: SlotLease, result: ServerResult) -> list[WaiterLease]:
        """Releases a slot and leases free slots to waiting requests.

        A lease that was already released is ignored.
        """
        slots = self._leases.pop(lease.lease_id, None)
        if slots is None:
            return []
        now_s = self._expire_inherited()
        slots.end_lease(now_s)
        self._apply_result(slots, result, now_s)
        self._delete_if_unused(slots.name)
        return self.lease_to_waiting()

    def enqueue(self, waiter_id: Hashable, *, expires_s: float) -> bool:
        """Adds a request to the wait queue, without leasing a slot.

        The caller tries ``try_acquire`` just before, unless other requests are already waiting.

        Returns:
            False when the queue is full or the deadline, the monotonic time ``expires_s``, has
            passed.

        Raises:
            ValueError: ``waiter_id`` is already in the queue.
        """
        return self._queue.append(waiter_id, expires_s=expires_s, now_s=self._clock.monotonic())

    def abandon(self, waiter_id: Hashable) -> None:
        """Removes a request from the queue; does nothing if it is not in the queue."""
        self._queue.remove(waiter_id)

    def expire(self) -> list[Hashable]:
        """Removes expired requests from the queue; returns the id of each of them exactly once."""
        return self._queue.take_expired(now_s=self._clock.monotonic())

    def lease_to_waiting(self) -> list[WaiterLease]:
        """Leases free slots to the longest-waiting requests whose deadline has not passed."""
        waiter_leases = []
        now_s = self._expire_inherited()
        while len(self._queue):
            slots = self._select(frozenset(), now_s)
            if slots is None:
                break
            waiter_id = self._queue.pop(now_s=now_s)
            if waiter_id is None:
                break
            waiter_leases.append(
                WaiterLease(waiter_id=waiter_id, lease=self._create_lease(slots, now_s))
            )
        return waiter_leases

    def inherit(self, counts: Mapping[str, int], *, expires_s: float) -> None:
        """Counts slots as in use on which requests of earlier owners still run.

        ``counts`` holds the slots in use by server name. All of these requests have ended by the
        monotonic time ``expires_s``.
        """
        self._inherited.add(counts, expires_s=expires_s)

    def release_inherited(self, server_name: str, count: int) -> list[WaiterLease]:
        """Releases inherited slots and leases free slots to waiting requests."""
        self._inherited.release(server_name, count)
        return self.lease_to_waiting()

    def _add_servers(self, servers: Iterable[model.BackendServer], *, cold: bool) -> None:
        now_s = self._clock.monotonic()
        for server in servers:
            slots = self._servers.get(server.name)
            if slots is not None:
                slots.update(server)
            else:
                self._servers[server.name] = pool_server.ServerSlots(
                    server, share=self._share, ramp_s=self._ramp_s, now_s=now_s, cold=cold
                )
        self._update_active()

    def _update_active(self) -> None:
        self._active = [slots for slots in self._servers.values() if not slots.leaving]
        self._health.set_servers(slots.name for slots in self._active)

    def _delete_if_unused(self, name: str) -> None:
        slots = self._servers.get(name)
        if slots is not None and slots.removed and not slots.lease_count:
            del self._servers[name]

    def _expire_inherited(self) -> float:
        """Removes inherited slots whose deadline has passed; returns the monotonic time."""
        now_s = self._clock.monotonic()
        self._inherited.expire(now_s)
        return now_s

    def _apply_result(
        self, slots: pool_server.ServerSlots, result: ServerResult, now_s: float
    ) -> None:
        if result is ServerResult.LEAVING:
            self.set_leaving(slots.name, True)
        elif result is ServerResult.SHED:
            self._shed_until_s[slots.name] = now_s + SHED_PAUSE_S
        else:
            self._health.record(slots.name, result)

    def _free(self, slots: pool_server.ServerSlots, now_s: float) -> int:
        return slots.limit(now_s) - slots.lease_count - self._inherited.count(slots.name)

    def _select(self, exclude: frozenset[str], now_s: float) -> pool_server.ServerSlots | None:
        excluded = self._health.ejected() | exclude
        last_resort = self._last_resort_servers(now_s)
        if self._rank_by_reports:
            return self._select_by_reports(excluded, last_resort, now_s)
        best: list[pool_server.ServerSlots] = []
        # A rank is (not a last resort, free slots, negated reported load).
        best_rank = (False, 0, 0)
        for slots in self._active:
            max_free = slots.share_limit - slots.lease_count
            # This cheap check rejects most servers, which keeps selection fast in large pools.
            if (
                max_free <= 0
                or (best_rank[0] and max_free < best_rank[1])
                or slots.name in excluded
            ):
                continue
            free = self._free(slots, now_s)
            if free <= 0:
                continue
            load = slots.reported_load(now_s) or 0
            rank = (slots.name not in last_resort, free, -load)
            if not best or rank > best_rank:
                best, best_rank = [slots], rank
            elif rank == best_rank:
                best.append(slots)
        return self._rng.choice(best) if best else None

    def _select_by_reports(
        self, excluded: frozenset[str], last_resort: frozenset[str], now_s: float
    ) -> pool_server.ServerSlots | None:
        """Chooses a random server, weighted by the estimated number of its free slots.

        Reports lag behind. If every instance chose the least loaded server of the same reports,
        that server would be overloaded until the next report.
        """
        candidates = [
            slots
            for slots in self._active
            if slots.name not in excluded and self._free(slots, now_s) > 0
        ]
        if not candidates:
            return None
        weights = [
            0 if slots.name in last_resort else self._estimated_free(slots, now_s)
            for slots in candidates
        ]
        # choices() requires a positive weight. Without one, all candidates are equally likely.
        return self._rng.choices(candidates, weights if any(weights) else None)[0]

    def _estimated_free(self, slots: pool_server.ServerSlots, now_s: float) -> int:
        reported_free = slots.limit(now_s) - (slots.reported_load(now_s) or 0)
        return max(0, min(self._free(slots, now_s), reported_free))

    def _last_resort_servers(self, now_s: float) -> frozenset[str]:
        """Returns the servers to use only if no other server has a free slot."""
        if self._shed_until_s:
            self._shed_until_s = {
                name: until_s for name, until_s in self._shed_until_s.items() if until_s > now_s
            }
        return self._health.failing().union(self._shed_until_s)

    def _create_lease(self, slots: pool_server.ServerSlots, now_s: float) -> SlotLease:
        server = slots.server
        slots.begin_lease(now_s)
        lease = SlotLease(server=server, lease_id=next(self._lease_ids), started_s=now_s)
        self._leases[lease.lease_id] = slots
        self._check_lease(slots)
        return lease

    def _check_lease(self, slots: pool_server.ServerSlots) -> None:
        used = slots.lease_count + self._inherited.count(slots.name)
        share_limit = self._share.slots(slots.server.slots)
        # Every request passes through here, so the detail text is built only on a violation.
        if used > share_limit:
            detail = (
                f"{slots.name} of pool {self._key} has {used} slots in use,"
                f" but at most {share_limit} are allowed"
            )
            self._invariants.check(invariants.Rule.SLOTS_NOT_EXCEEDED, False, detail)
        if slots.leaving or self._health.is_ejected(slots.name):
            detail = f"{slots.name} of pool {self._key} got a lease, but is leaving or ejected"
            self._invariants.check(invariants.Rule.NO_DISPATCH_TO_LEAVING_SERVER, False, detail)

    def _server_snapshot(
        self, slots: pool_server.ServerSlots, now_s: float
    ) -> pool_types.ServerSnapshot:
        name = slots.name
        return pool_types.ServerSnapshot(
            name=name,
            slots=slots.server.slots,
            limit=slots.limit(now_s),
            in_use=slots.lease_count,
            inherited=self._inherited.count(name),
            leaving=slots.leaving,
            ejected=self._health.is_ejected(name),
            reported_load=slots.reported_load(now_s),
        )

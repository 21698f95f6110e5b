"""Slots of one pool: admission, server selection and the wait queue."""

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

Grant = pool_types.Grant
PoolSnapshot = pool_types.PoolSnapshot
ServerResult = pool_types.ServerResult
ServerSnapshot = pool_types.ServerSnapshot
Share = shares.Share
SlotLease = pool_types.SlotLease

# A server that has just shed has fewer free slots than its pool counts; others come first until
# its running requests have had time to end.
SHED_PAUSE_S = 0.5


class SlotPool:
    """Hands out the slots of a pool's servers, never more than the share of each allows.

    A lower share or slot count only stops new leases; leases that are held stay valid. The pool
    starts with share ``FULL``. Servers given to the constructor are taken as warm, because they
    have usually served a previous owner; servers added later are ramped up.

    Slots also become free as time passes (ramp, end of inherited slots) and by ``set_servers``,
    ``set_share`` and ``set_leaving``. These return no grants, so the owner calls
    ``grant_waiting`` after them and whenever it calls ``expire``.

    Args:
        key: Name of the pool.
        servers: The pool's servers, leaving ones included.
        clock: Time source.
        rng: Random source for ties between servers.
        invariants: Checks every lease that is handed out.
        queue_limit: Most requests that may wait; 0 for services that may not wait.
        ramp_s: Seconds over which the slots of a new or long-idle server become usable.
        rank_by_reports: Ranks servers by their load reports as well as by own leases; only for
            placements where other instances dispatch to the same servers.
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
        """Name of the pool."""
        return self._key

    @property
    def share(self) -> Share:
        """Part of each server's slots that may be used."""
        return self._share

    @property
    def health(self) -> health.ServerHealth:
        """Health of the servers; names the servers to probe."""
        return self._health

    def free_slots(self) -> int:
        """Returns the number of leases that could be handed out now."""
        now_s = self._advance()
        ejected = self._health.ejected()
        return sum(
            max(0, self._free(each, now_s)) for each in self._active if each.name not in ejected
        )

    def in_use(self) -> dict[str, int]:
        """Returns the slots in use per server, inherited ones included; idle servers are absent."""
        self._advance()
        counts = self._inherited.counts()
        for name, slots in self._servers.items():
            if slots.in_use:
                counts[name] = counts.get(name, 0) + slots.in_use
        return counts

    def queue_length(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._queue)

    def servers_to_probe(self) -> list[model.BackendServer]:
        """Returns ejected servers whose time has passed and those that may have stopped leaving."""
        now_s = self._clock.monotonic()
        due = [self._servers[name].server for name in self._health.probes_due()]
        due += [each.server for each in self._servers.values() if each.may_have_returned(now_s)]
        return due

    def snapshot(self) -> PoolSnapshot:
        """Returns the state of the pool for dumps and metrics."""
        now_s = self._advance()
        return PoolSnapshot(
            key=self._key,
            share=self._share,
            servers=tuple(self._server_snapshot(each, now_s) for each in self._servers.values()),
            free_slots=self.free_slots(),
            queue_length=len(self._queue),
        )

    def set_servers(self, servers: Iterable[model.BackendServer]) -> None:
        """Replaces the servers; a server that is no longer named gets no new work."""
        servers = list(servers)
        names = {server.name for server in servers}
        for name in [name for name in self._servers if name not in names]:
            self._servers[name].removed = True
            self._forget_if_unused(name)
        self._add_servers(servers, cold=True)

    def set_share(self, share: Share) -> None:
        """Changes the part of each server's slots that new leases may use."""
        self._share = share
        for slots in self._servers.values():
            slots.set_share(share)

    def set_leaving(self, server: str, leaving: bool) -> None:
        """Applies the state that a server itself reported, for example in answer to a probe."""
        slots = self._servers.get(server)
        if slots is None or slots.reported_leaving == leaving:
            return
        slots.reported_leaving = leaving
        slots.probed_s = self._clock.monotonic()
        if not leaving:
            slots.restart_ramp()
        self._update_active()

    def record_probe(self, server: str, *, succeeded: bool, leaving: bool | None = None) -> None:
        """Counts a probe; a server that returns to service is ramped up.

        Args:
            server: Name of the probed server.
            succeeded: Whether the server answered that it is healthy.
            leaving: Whether it reported that it is leaving, None when that is not known. Only
                False ends an earlier report.
        """
        slots = self._servers.get(server)
        if slots is None:
            return
        was_ejected = self._health.is_ejected(server)
        self._health.record_probe(server, succeeded=succeeded)
        if was_ejected and succeeded:
            slots.restart_ramp()
        slots.probed_s = self._clock.monotonic()
        if leaving or (succeeded and leaving is False):
            self.set_leaving(server, leaving)

    def report_load(self, server: str, slots_in_use: int) -> None:
        """Remembers a server's load report, which only ranks servers."""
        slots = self._servers.get(server)
        if slots is not None:
            slots.record_load(slots_in_use, self._clock.monotonic())

    def try_acquire(self, *, exclude: frozenset[str] = frozenset()) -> SlotLease | None:
        """Hands out a slot of the server with the most free ones, None when there is none.

        Args:
            exclude: Names of servers not to use, for example because they shed this request.
        """
        now_s = self._advance()
        slots = self._select(exclude, now_s)
        return self._hand_out(slots, now_s) if slots is not None else None

    def release(self, lease: SlotLease, result: ServerResult) -> list[Grant]:
        """Takes a slot back and hands free slots to waiting requests.

        A lease that was released before is ignored.
        """
        slots = self._leases.pop(lease.lease_id, None)
        if slots is None:
            return []
        now_s = self._advance()
        slots.end(now_s)
        self._apply_result(slots, result, now_s)
        self._forget_if_unused(slots.name)
        return self.grant_waiting()

    def enqueue(self, waiter_id: Hashable, *, expires_s: float) -> bool:
        """Lets a request wait for a slot; the caller tries ``try_acquire`` just before.

        Args:
            waiter_id: Name of the request, unique among those waiting.
            expires_s: Monotonic time at which the request no longer wants a slot.

        Returns:
            False when the queue is full or the deadline has passed.
        """
        return self._queue.append(waiter_id, expires_s=expires_s, now_s=self._clock.monotonic())

    def abandon(self, waiter_id: Hashable) -> None:
        """Removes a request from the queue; does nothing when it no longer waits."""
        self._queue.remove(waiter_id)

    def expire(self) -> list[Hashable]:
        """Removes the requests whose deadline has passed and returns each of them once."""
        return self._queue.take_expired(now_s=self._clock.monotonic())

    def grant_waiting(self) -> list[Grant]:
        """Hands free slots to the longest-waiting requests whose deadline has not passed."""
        grants = []
        now_s = self._advance()
        while len(self._queue):
            slots = self._select(frozenset(), now_s)
            if slots is None:
                break
            waiter_id = self._queue.pop(now_s=now_s)
            if waiter_id is None:
                break
            grants.append(Grant(waiter_id=waiter_id, lease=self._hand_out(slots, now_s)))
        return grants

    def inherit(self, counts: Mapping[str, int], *, expires_s: float) -> None:
        """Counts slots that the previous owner still uses.

        Args:
            counts: Slots in use per server.
            expires_s: Monotonic time at which the last of these requests has ended.
        """
        self._inherited.add(counts, expires_s=expires_s)

    def release_inherited(self, server: str, count: int) -> list[Grant]:
        """Takes inherited slots back and hands free slots to waiting requests."""
        self._inherited.release(server, count)
        return self.grant_waiting()

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

    def _forget_if_unused(self, name: str) -> None:
        slots = self._servers.get(name)
        if slots is not None and slots.removed and not slots.in_use:
            del self._servers[name]

    def _advance(self) -> float:
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
        return slots.limit(now_s) - slots.in_use - self._inherited.count(slots.name)

    def _select(self, exclude: frozenset[str], now_s: float) -> pool_server.ServerSlots | None:
        barred = self._health.ejected() | exclude
        unsound = self._unsound(now_s)
        best: list[pool_server.ServerSlots] = []
        best_rank = (False, 0, 0)
        for slots in self._active:
            most = slots.usable - slots.in_use
            # Most servers end here, which keeps selection fast in large pools.
            if most <= 0 or (best_rank[0] and most < best_rank[1]) or slots.name in barred:
                continue
            free = self._free(slots, now_s)
            if free <= 0:
                continue
            rank = self._rank(slots, free, now_s, sound=slots.name not in unsound)
            if not best or rank > best_rank:
                best, best_rank = [slots], rank
            elif rank == best_rank:
                best.append(slots)
        return self._rng.choice(best) if best else None

    def _rank(
        self, slots: pool_server.ServerSlots, free: int, now_s: float, *, sound: bool
    ) -> tuple[bool, int, int]:
        load = slots.reported_load(now_s) or 0
        if self._rank_by_reports:
            free = min(free, slots.limit(now_s) - load)
        return (sound, free, -load)

    def _unsound(self, now_s: float) -> frozenset[str]:
        """Returns the servers that are used only when no other one has a free slot."""
        if self._shed_until_s:
            self._shed_until_s = {
                name: until_s for name, until_s in self._shed_until_s.items() if until_s > now_s
            }
        return self._health.failing().union(self._shed_until_s)

    def _hand_out(self, slots: pool_server.ServerSlots, now_s: float) -> SlotLease:
        server = slots.server
        slots.start(now_s)
        lease = SlotLease(server=server, lease_id=next(self._lease_ids), started_s=now_s)
        self._leases[lease.lease_id] = slots
        self._check_lease(slots)
        return lease

    def _check_lease(self, slots: pool_server.ServerSlots) -> None:
        used = slots.in_use + self._inherited.count(slots.name)
        usable = self._share.slots(slots.server.slots)
        # The details are only written when needed, because every request comes through here.
        if used > usable:
            detail = f"{slots.name} of pool {self._key} has {used} slots in use, {usable} usable"
            self._invariants.check(invariants.Rule.SLOTS_NOT_EXCEEDED, False, detail)
        if slots.leaving or self._health.is_ejected(slots.name):
            detail = f"{slots.name} of pool {self._key} is leaving or ejected"
            self._invariants.check(invariants.Rule.NO_DISPATCH_TO_LEAVING_SERVER, False, detail)

    def _server_snapshot(
        self, slots: pool_server.ServerSlots, now_s: float
    ) -> pool_types.ServerSnapshot:
        name = slots.name
        return pool_types.ServerSnapshot(
            name=name,
            slots=slots.server.slots,
            limit=slots.limit(now_s),
            in_use=slots.in_use,
            inherited=self._inherited.count(name),
            leaving=slots.leaving,
            ejected=self._health.is_ejected(name),
            reported_load=slots.reported_load(now_s),
        )

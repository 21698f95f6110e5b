"""The pools that this instance owns: their grants, admission, queues and caps.

Here, an instance owns a pool as long as it has a grant of the pool, even if the coordinator has
assigned the pool to another instance in the meantime.
"""

import asyncio
import itertools
import math
import random
from collections.abc import Awaitable, Callable, Iterable

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import (
    invariants,
    model,
    placement,
    pool,
    quarantine,
    region,
    share,
    window,
)
from sassafrasway_entry import (
    backend_client,
    cap_limits,
    messages,
    owned_pool,
    recorder,
    request_runner,
)

RAMP_S = 2.0  # time in which a new or idle server reaches all of its slots
PROBE_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 0.5
WAKE_INTERVAL_S = 0.02  # interval of checks for free slots while requests wait
# For this long after its acquisition, a pool may still lack slots or caps that its previous owner
# uses. A refusal in this time is "not ready", so that the dispatcher retries the request.
HANDOVER_SETTLE_S = cap_limits.TAKEOVER_S


class PoolManager:
    """Runs requests on the servers of the pools that this instance owns.

    Args:
        rng: Random source for server selection and for the jitter of ejection times.
        report_crash: Notifies the owners of the service's other pools that a request crashed a
            server; arguments are service, fingerprint and server.
        share_of: Returns the share of a pool that this instance may use now.
        placement: Strategy that decides which slots an instance may use.
        on_slot_released: Called with pool and server name when a request releases its slot after
            this instance has released the pool.
        queue_limit: Maximum number of waiting requests in a pool.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
        invariants: invariants.Invariants,
        client: backend_client.BackendClient,
        record: recorder.Recorder,
        report_crash: Callable[[str, str, str], Awaitable[None]],
        share_of: Callable[[model.PoolKey], share.Share],
        placement: placement.Placement,
        limits: cap_limits.CapLimits,
        on_slot_released: Callable[[model.PoolKey, str], None],
        queue_limit: int,
    ):
        self._clock = clock
        self._rng = rng
        self._invariants = invariants
        self._client = client
        self._share_of = share_of
        self._placement = placement
        self._limits = limits
        self._on_slot_released = on_slot_released
        self._position = (0, 1)
        self._queue_limit = queue_limit
        self._pools: dict[model.PoolKey, owned_pool.OwnedPool] = {}
        self._draining: dict[model.PoolKey, owned_pool.OwnedPool] = {}
        self._policy: model.Policy | None = None
        self._servers: dict[model.PoolKey, tuple[model.BackendServer, ...]] = {}
        self._quarantine = quarantine.Quarantine(clock=clock)
        self._runner = request_runner.RequestRunner(
            clock=clock,
            client=client,
            record=record,
            quarantine=self._quarantine,
            report_crash=report_crash,
            placement=placement,
            count_against_caps=self._count_against_caps,
            release=self._release_slot,
        )
        self._waiter_ids = itertools.count(1)
        self._has_waiting = asyncio.Event()
        self._log = structlog.get_logger("pools")

    @property
    def owned(self) -> dict[model.PoolKey, owned_pool.OwnedPool]:
        """The pools that this instance owns."""
        return self._pools

    @property
    def quarantine(self) -> quarantine.Quarantine:
        """Record of requests that crashed servers."""
        return self._quarantine

    def set_policy(self, policy: model.Policy) -> None:
        """Applies a new policy revision to all pools."""
        self._policy = policy
        self._servers = {
            key: self._usable_servers(servers) for key, servers in policy.pools().items()
        }
        if not self._placement.forwards:
            self._own_all_pools()
        for key, owned in self._pools.items():
            owned.slots.set_servers(self._servers.get(key, ()))
            self._update_shift_windows(owned)

    def set_position(self, *, index: int, count: int) -> None:
        """Sets the index of this instance among all instances, for placements without owners."""
        if self._placement.forwards or (index, count) == self._position:
            return
        self._position = (index, count)
        if self._policy is not None:
            self.set_policy(self._policy)

    def set_grants(self, grants: Iterable[region.PoolGrant]) -> None:
        """Replaces the grants with the full list of pools that this instance may use.

        Placements without owners use all pools and ignore grants.
        """
        if self._placement.forwards:
            self._apply_grants(grants)

    def _own_all_pools(self) -> None:
        """Acquires every pool with an unlimited grant, for placements without owners."""
        self._apply_grants(
            region.PoolGrant(pool=key, share=share.Share.FULL, expires_s=math.inf)
            for key, servers in self._servers.items()
            if servers
        )

    def _usable_servers(
        self, servers: Iterable[model.BackendServer]
    ) -> tuple[model.BackendServer, ...]:
        index, count = self._position
        return tuple(self._placement.usable_servers(servers, index=index, count=count))

    def _apply_grants(self, grants: Iterable[region.PoolGrant]) -> None:
        """Acquires and releases pools so that this instance owns exactly the granted ones."""
        by_key = {grant.pool: grant for grant in grants}
        for key in [key for key in self._pools if key not in by_key]:
            self._release_pool(key)
        for key, grant in by_key.items():
            owned = self._pools.get(key)
            is_new = owned is None
            if is_new:
                owned = self._draining.pop(key, None) or self._new_pool(grant)
                self._pools[key] = owned
                owned.acquired_s = self._clock.monotonic()
                self._log.info("pool acquired", pool=str(key), share=grant.share.value)
            # Every heartbeat reply repeats the inherited slots; they are counted once for each
            # previous owner.
            if grant.inherited and (is_new or owned.grant.previous != grant.previous):
                expires_s = self._clock.monotonic() + grant.inherited_s
                owned.slots.inherit(grant.inherited, expires_s=expires_s)
            owned.grant = grant
            self._apply_share(owned)
            self._update_shift_windows(owned)

    def release_inherited(self, key: model.PoolKey, server: str, count: int) -> None:
        """Releases slots that requests of the previous owner have used until now."""
        owned = self._pools.get(key)
        if owned is not None:
            self._wake_waiters(owned, owned.slots.release_inherited(server, count))

    def reports(self) -> dict[model.PoolKey, region.PoolReport]:
        """Returns the use of all owned pools, and of released pools whose requests still run."""
        return {
            key: region.PoolReport(
                share=self._share_of(key),
                in_use=owned.slots.in_use(),
                busy_s=max(0.0, owned.busy_until_s - self._clock.monotonic()),
                queue_length=owned.slots.queue_length(),
            )
            for key, owned in (self._draining | self._pools).items()
        }

    def owns(self, key: model.PoolKey) -> bool:
        """Returns whether this instance has a grant of the pool, even only of the offline share."""
        return key in self._pools

    async def execute(
        self, key: model.PoolKey, request: messages.Request, *, may_queue: bool
    ) -> messages.Response:
        """Runs a request on one of the pool's servers; ``may_queue`` lets it wait for a slot."""
        owned = self._pools.get(key)
        if owned is None or self._policy is None:
            return messages.not_run(503, messages.Reason.NOT_OWNER)
        refusal = self._admit(owned, request)
        if refusal is not None:
            return refusal
        lease = await self._acquire_slot(owned, request, may_queue=may_queue)
        if lease is None:
            if self._pools.get(key) is not owned:
                return messages.not_run(503, messages.Reason.NOT_OWNER)
            if request.deadline.expired:
                return messages.not_run(504, messages.Reason.DEADLINE)
            return self._refusal(owned, messages.Reason.NO_SLOT, retry_after_ms=100)
        cap_refusal = self._count_against_caps(owned, request)
        if cap_refusal is not None:
            self._release_slot(owned, lease, pool.ServerResult.CANCELLED)
            return cap_refusal
        return await self._runner.run(
            owned, lease, request, service=self._policy.services[request.service]
        )

    async def probe_loop(self) -> None:
        """Probes the servers that are due, at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            await self.probe_pools()

    async def probe_pools(self) -> None:
        """Probes the servers that are due, in all pools of this instance.

        These are ejected servers and servers that reported that they are leaving.
        """
        for owned in list(self._pools.values()):
            await self._probe_pool(owned)

    async def wake_loop(self) -> None:
        """Assigns slots that become free as time passes to waiting requests, until cancelled."""
        while True:
            await self._has_waiting.wait()
            self._has_waiting.clear()
            for owned in list(self._pools.values()):
                if owned.slots.queue_length():
                    self._has_waiting.set()
                    self._apply_share(owned)
                    owned.slots.expire()
                    self._wake_waiters(owned, owned.slots.lease_to_waiting())
            await asyncio.sleep(WAKE_INTERVAL_S)

    async def _probe_pool(self, owned: owned_pool.OwnedPool) -> None:
        for server in owned.slots.servers_to_probe():
            probe = await self._client.probe(server, timeout_s=PROBE_TIMEOUT_S)
            owned.slots.record_probe(server.name, succeeded=probe.healthy, leaving=probe.leaving)

    def _new_pool(self, grant: region.PoolGrant) -> owned_pool.OwnedPool:
        slots = pool.SlotPool(
            key=grant.pool,
            servers=self._servers.get(grant.pool, ()),
            clock=self._clock,
            rng=self._rng,
            invariants=self._invariants,
            queue_limit=self._queue_limit,
            ramp_s=RAMP_S,
            rank_by_reports=self._placement.ranks_by_reports,
        )
        return owned_pool.OwnedPool(grant=grant, slots=slots, shift_windows={}, waiters={})

    def _release_pool(self, key: model.PoolKey) -> None:
        owned = self._pools.pop(key)
        for waiter in owned.waiters.values():
            if not waiter.done():
                waiter.set_result(None)
        if owned.slots.in_use():
            self._draining[key] = owned
        self._log.info("pool released", pool=str(key), in_use=owned.slots.in_use())

    def _update_shift_windows(self, owned: owned_pool.OwnedPool) -> None:
        """Applies the caps of the policy's shifts into the pool; kept windows keep their counts."""
        if self._policy is None:
            return
        key = owned.grant.pool
        caps_by_source = {
            shift.source: shift.cap_rps
            for shift in self._policy.shifts.values()
            if shift.service == key.service and shift.target == key.region
        }
        owned.shift_windows = {
            source: self._shift_window(owned.shift_windows.get(source), cap_rps)
            for source, cap_rps in caps_by_source.items()
        }

    def _shift_window(
        self, current: window.CompletionWindow | None, limit: float
    ) -> window.CompletionWindow:
        if current is None:
            # The previous owner may have used the whole cap during the last second.
            return window.CompletionWindow(limit=limit, clock=self._clock, start_full=True)
        current.set_limit(limit)
        return current

    def _admit(
        self, owned: owned_pool.OwnedPool, request: messages.Request
    ) -> messages.Response | None:
        """Updates the pool's share; returns a refusal, or None if the request may use the pool."""
        if request.deadline.expired:
            return messages.not_run(504, messages.Reason.DEADLINE)
        if self._quarantine.is_quarantined(request.fingerprint):
            return messages.not_run(422, messages.Reason.QUARANTINED)
        self._apply_share(owned)
        return None

    def _apply_share(self, owned: owned_pool.OwnedPool) -> None:
        """Updates the share of the pool, because its grant may have expired since the last use."""
        if self._placement.forwards:
            owned.slots.set_share(self._share_of(owned.grant.pool))

    def _count_against_caps(
        self, owned: owned_pool.OwnedPool, request: messages.Request
    ) -> messages.Response | None:
        """Counts a request against the caps; returns None, or the refusal when one is used up.

        This happens after the request has a slot, so that waiting requests use no cap.
        """
        shift_window = owned.shift_windows.get(request.home_region)
        if shift_window is not None and not shift_window.try_start():
            return self._refusal(owned, messages.Reason.SHIFT_CAP, retry_after_ms=1000)
        wait_s = self._limits.take_region(request.request_id)
        if wait_s > 0:
            if shift_window is not None:
                shift_window.end()
            wait_ms = int(min(wait_s, 1.0) * 1000)
            return self._refusal(owned, messages.Reason.REGION_CAP, retry_after_ms=wait_ms)
        return None

    def _refusal(
        self, owned: owned_pool.OwnedPool, reason: messages.Reason, *, retry_after_ms: int
    ) -> messages.Response:
        """Returns a refusal, which is temporary while the pool or the caps are handed over."""
        acquired_recently = self._clock.monotonic() < owned.acquired_s + HANDOVER_SETTLE_S
        settling = acquired_recently or self._limits.settling
        if settling and self._placement.forwards:
            return messages.not_run(503, messages.Reason.NOT_READY, reason.value)
        return messages.not_run(429, reason, retry_after_ms=retry_after_ms)

    async def _acquire_slot(
        self, owned: owned_pool.OwnedPool, request: messages.Request, *, may_queue: bool
    ) -> pool.SlotLease | None:
        """Leases a slot; waits for one if ``may_queue``, behind the requests that wait already.

        Returns None if no slot is free, or if the deadline passes or the pool is released during
        the wait.
        """
        if not may_queue or owned.slots.queue_length() == 0:
            lease = owned.slots.try_acquire()
            if lease is not None or not may_queue:
                return lease
        waiter_id = next(self._waiter_ids)
        expires_s = self._clock.monotonic() + request.deadline.remaining_s
        if not owned.slots.enqueue(waiter_id, expires_s=expires_s):
            return None
        future = asyncio.get_running_loop().create_future()
        owned.waiters[waiter_id] = future
        self._has_waiting.set()
        try:
            return await asyncio.wait_for(future, request.deadline.remaining_s)
        except TimeoutError:
            return None
        finally:
            owned.waiters.pop(waiter_id, None)
            owned.slots.abandon(waiter_id)

    def _release_slot(
        self, owned: owned_pool.OwnedPool, lease: pool.SlotLease, result: pool.ServerResult
    ) -> None:
        """Releases a slot; if the pool has been released, its new owner is notified."""
        self._wake_waiters(owned, owned.slots.release(lease, result))
        key = owned.grant.pool
        if self._pools.get(key) is not owned:
            if not owned.slots.in_use():
                self._draining.pop(key, None)
            self._on_slot_released(key, lease.server.name)

    def _wake_waiters(
        self, owned: owned_pool.OwnedPool, waiter_leases: Iterable[pool.WaiterLease]
    ) -> None:
        """Hands leases to waiting requests; releases those whose request no longer waits."""
        for waiter_lease in waiter_leases:
            future = owned.waiters.get(waiter_lease.waiter_id)
            if future is not None and not future.done():
                future.set_result(waiter_lease.lease)
            else:
                self._release_slot(owned, waiter_lease.lease, pool.ServerResult.CANCELLED)

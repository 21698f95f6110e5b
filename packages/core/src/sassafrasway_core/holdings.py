"""Holders of the two parts of each pool of a region, as tracked by its coordinator.

``coordinator`` and ``share`` describe the parts.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import membership, model, region, share


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolHolders:
    """Owner of a pool, and the holders or possible holders of its two parts.

    Attributes:
        possible_offline_holders: Instances of which one may hold the offline third; empty when it
            is free.
        offline_seq: Number of the latest reply that granted the offline third.
        main_holder: Instance with the main part; None when it is free or the holder is unknown.
        main_until_s: When every grant of the main part has expired, by the coordinator's clock.
        main_seq: Number of the latest reply that granted the main part.
        in_use: Last reported slots in use by instance and server.
        busy_until_s: When the deadlines of all requests in the reported slots have passed.
    """

    assigned_owner: model.InstanceId | None = None
    possible_offline_holders: set[model.InstanceId] = dataclasses.field(default_factory=set)
    offline_seq: int = 0
    main_holder: model.InstanceId | None = None
    main_until_s: float = -math.inf
    main_seq: int = 0
    in_use: dict[model.InstanceId, Mapping[str, int]] = dataclasses.field(default_factory=dict)
    busy_until_s: float = -math.inf

    def involves(self, member: model.InstanceId) -> bool:
        """Returns whether the member may hold a part or has slots in use."""
        return (
            member in self.in_use
            or member in self.possible_offline_holders
            or member == self.main_holder
        )

    def inherited_by(
        self, member: model.InstanceId
    ) -> tuple[dict[str, int], model.InstanceId | None]:
        """Returns the slots that other instances use, by server, and the last of these instances.

        The last one is the instance that was the last to begin to report slots in use. It is None
        if no other instance uses slots.
        """
        inherited: dict[str, int] = {}
        previous = None
        for instance, in_use in self.in_use.items():
            if instance == member:
                continue
            previous = instance
            for server, count in in_use.items():
                inherited[server] = inherited.get(server, 0) + count
        return inherited, previous


class Holdings:
    """Holders of the parts of all pools.

    Args:
        unanswered: Recorded members that may hold parts from earlier coordinators.
        earlier_grants_until_s: End of all grants of earlier coordinators, by ``clock``.
        holders_recorded: Whether only recorded members can hold such grants.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        members: membership.MemberTable,
        unanswered: Iterable[model.InstanceId],
        earlier_grants_until_s: float,
        holders_recorded: bool,
    ):
        self._clock = clock
        self._members = members
        self._unanswered = set(unanswered)
        self._earlier_grants_until_s = earlier_grants_until_s
        self._holders_recorded = holders_recorded
        self._pools: dict[model.PoolKey, PoolHolders] = {}
        # Pools of which a member holds a part or uses slots. A heartbeat is checked against these
        # only, not against all pools of the region.
        self._pools_by_member: dict[model.InstanceId, set[model.PoolKey]] = {}
        # Pools by assigned owner; None until they are grouped again after an assignment.
        self._pools_by_owner: dict[model.InstanceId, dict[model.PoolKey, PoolHolders]] | None = None
        self._change_count = 0

    @property
    def unanswered(self) -> frozenset[model.InstanceId]:
        """Recorded members that have not reported what they hold and are not known to be gone."""
        return frozenset(self._unanswered)

    @property
    def change_count(self) -> int:
        """Number that increases whenever an event may have freed a part or assigned an owner.

        The expiry of a grant does not change it.
        """
        return self._change_count

    def keys(self) -> frozenset[model.PoolKey]:
        """Returns the keys of all pools."""
        return frozenset(self._pools)

    def owners(self) -> dict[model.PoolKey, model.InstanceId]:
        """Returns the assigned owner of every pool that has one."""
        return {
            key: pool.assigned_owner
            for key, pool in self._pools.items()
            if pool.assigned_owner is not None
        }

    def assigned_to(self, member: model.InstanceId) -> Mapping[model.PoolKey, PoolHolders]:
        """Returns the pools assigned to a member."""
        if self._pools_by_owner is None:
            self._pools_by_owner = {}
            for key, pool in self._pools.items():
                if pool.assigned_owner is not None:
                    self._pools_by_owner.setdefault(pool.assigned_owner, {})[key] = pool
        return self._pools_by_owner.get(member, {})

    def main_is_free(self, pool: PoolHolders) -> bool:
        """Returns whether no instance can use the main part of a pool."""
        if self._clock.monotonic() >= pool.main_until_s:
            return True
        if pool.main_holder is not None:
            return self._members.is_gone(pool.main_holder)
        # The holder is unknown. The part is free if only recorded members can hold earlier grants
        # and each of them has reported or is gone.
        return self._holders_recorded and not self._unanswered

    def add(self, key: model.PoolKey) -> PoolHolders:
        """Returns the holders of a pool, and adds the pool if it is new.

        Any unanswered member may hold parts of a new pool.
        """
        pool = self._pools.get(key)
        if pool is None:
            pool = PoolHolders(
                possible_offline_holders=set(self._unanswered),
                main_until_s=self._earlier_grants_until_s,
            )
            self._pools[key] = pool
        return pool

    def assign(self, key: model.PoolKey, owner: model.InstanceId) -> None:
        """Assigns a pool to an owner; adds the pool if it is new."""
        self.add(key).assigned_owner = owner
        self._pools_by_owner = None
        self._change_count += 1

    def release_gone(self) -> None:
        """Frees the offline thirds of gone instances and no longer waits for their answers."""
        gone = {instance for instance in self._unanswered if self._members.is_gone(instance)}
        self._unanswered -= gone
        for pool in self._pools.values():
            gone_holders = {
                holder for holder in pool.possible_offline_holders if self._members.is_gone(holder)
            }
            pool.possible_offline_holders -= gone_holders
        self._change_count += 1

    def record_answer(
        self, member: model.InstanceId, pools: Mapping[model.PoolKey, region.PoolReport]
    ) -> None:
        """Records the parts that a member reports as held, even if granted in an earlier epoch."""
        if member in self._unanswered:
            self._unanswered.discard(member)
            self._change_count += 1
            self._record_offline_thirds(member, pools)
        for key, report in pools.items():
            if report.share is share.Share.NONE:
                continue
            pool = self.add(key)
            holder_unknown = (
                pool.main_holder is None and self._clock.monotonic() < pool.main_until_s
            )
            if report.share.has_main and holder_unknown:
                pool.main_holder = member
            if pool.assigned_owner is None:
                self.assign(key, member)
            self._pools_by_member.setdefault(member, set()).add(key)

    def confirm_releases(self, heartbeat: region.Heartbeat) -> None:
        """Frees the parts that the sender no longer holds.

        A part is released once the sender has applied a reply that does not grant it. A heartbeat
        that was sent before the granting reply was applied does not name the part either, so it
        does not confirm a release.
        """
        sender = heartbeat.sender.id
        for key in self._pools_by_member.get(sender, ()):
            pool = self._pools[key]
            report = heartbeat.pools.get(key)
            held_share = report.share if report is not None else share.Share.NONE
            kept_main = held_share.has_main or heartbeat.applied_seq <= pool.main_seq
            if pool.main_holder == sender and not kept_main:
                pool.main_holder = None
                pool.main_until_s = -math.inf
                self._change_count += 1
            kept_offline = held_share.has_offline or heartbeat.applied_seq <= pool.offline_seq
            if sender in pool.possible_offline_holders and not kept_offline:
                pool.possible_offline_holders.discard(sender)
                self._change_count += 1

    def record_use(
        self, sender: model.InstanceId, pools: Mapping[model.PoolKey, region.PoolReport]
    ) -> None:
        """Records the slots that a member reports as in use."""
        member_pools = self._pools_by_member.setdefault(sender, set())
        member_pools.update(key for key, report in pools.items() if report.in_use)
        for key in member_pools:
            pool = self.add(key)
            report = pools.get(key)
            in_use = report.in_use if report is not None else {}
            if in_use:
                pool.in_use[sender] = in_use
                busy_until_s = self._clock.monotonic() + report.busy_s
                pool.busy_until_s = max(pool.busy_until_s, busy_until_s)
            else:
                pool.in_use.pop(sender, None)
            if report is not None and report.share.has_main and pool.assigned_owner == sender:
                # The owner's report includes the slots inherited from earlier holders, so it
                # replaces their reports.
                pool.in_use = {sender: in_use} if in_use else {}
        member_pools.intersection_update(
            [key for key in member_pools if self._pools[key].involves(sender)]
        )

    def grant(
        self, key: model.PoolKey, granted: share.Share, *, member: model.InstanceId, seq: int
    ) -> region.PoolGrant:
        """Grants a share of a pool to a member with reply ``seq`` and returns the grant."""
        pool = self._pools[key]
        if granted.has_offline:
            pool.possible_offline_holders = {member}
            pool.offline_seq = seq
        if granted.has_main:
            pool.main_holder = member
            pool.main_until_s = self._clock.monotonic() + region.GRANT_S
            pool.main_seq = seq
        self._pools_by_member.setdefault(member, set()).add(key)
        inherited_s = pool.busy_until_s - self._clock.monotonic()
        if not granted.has_main or inherited_s <= 0:
            return region.PoolGrant(pool=key, share=granted)
        inherited, previous = pool.inherited_by(member)
        return region.PoolGrant(
            pool=key,
            share=granted,
            inherited=inherited,
            inherited_s=inherited_s,
            previous=previous,
        )

    def _record_offline_thirds(
        self, member: model.InstanceId, pools: Mapping[model.PoolKey, region.PoolReport]
    ) -> None:
        """Records which offline thirds a member holds, and that it holds no others."""
        for key, report in pools.items():
            if report.share.has_offline:
                self.add(key).possible_offline_holders = {member}
        for key, pool in self._pools.items():
            if key not in pools or not pools[key].share.has_offline:
                pool.possible_offline_holders.discard(member)

"""Where the parts of a region's pools are, as far as the coordinator knows."""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from sassafrasway_core import clock as clocks
from sassafrasway_core import membership, model, region, share


@dataclasses.dataclass(slots=True, kw_only=True)
class Pool:
    """Where the two parts of a pool are, or may be.

    Attributes:
        target: Assigned owner.
        offline_suspects: Instances of which one may hold the offline third; empty when it is free.
        offline_seq: Latest reply that granted the offline third.
        main_holder: Instance with the main part; None when it is free or the holder is unknown.
        main_until_s: End of every grant of the main part so far, by the coordinator's clock.
        main_seq: Latest reply that granted the main part.
        in_use: Last reported slots in use by instance and server.
        busy_until_s: When the deadlines of all requests on reported slots have passed.
    """

    target: model.InstanceId | None = None
    offline_suspects: set[model.InstanceId] = dataclasses.field(default_factory=set)
    offline_seq: int = 0
    main_holder: model.InstanceId | None = None
    main_until_s: float = -math.inf
    main_seq: int = 0
    in_use: dict[model.InstanceId, Mapping[str, int]] = dataclasses.field(default_factory=dict)
    busy_until_s: float = -math.inf

    def involves(self, member: model.InstanceId) -> bool:
        """Returns whether the member has a part or slots in use."""
        return (
            member in self.in_use or member in self.offline_suspects or member == self.main_holder
        )

    def inherited_by(
        self, member: model.InstanceId
    ) -> tuple[dict[str, int], model.InstanceId | None]:
        """Returns the slots that other instances still use, and the last of those instances."""
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
        clock: Time source.
        members: What is known about the region's instances.
        unanswered: Recorded members that may hold parts from earlier coordinators.
        earlier_until_s: End of all grants of earlier coordinators.
        settled: Whether only recorded members can hold such grants.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        members: membership.MemberTable,
        unanswered: Iterable[model.InstanceId],
        earlier_until_s: float,
        settled: bool,
    ):
        self._clock = clock
        self._members = members
        self._unanswered = set(unanswered)
        self._earlier_until_s = earlier_until_s
        self._settled = settled
        self._pools: dict[model.PoolKey, Pool] = {}
        # Pools with a part or slots in use at each member, so that heartbeats touch no others.
        self._linked: dict[model.InstanceId, set[model.PoolKey]] = {}
        self._targets: dict[model.InstanceId, dict[model.PoolKey, Pool]] | None = None
        self._changes = 0

    @property
    def unanswered(self) -> frozenset[model.InstanceId]:
        """Recorded members that neither told what they hold nor are known to be gone."""
        return frozenset(self._unanswered)

    @property
    def changes(self) -> int:
        """Grows whenever a part becomes free or an owner is assigned."""
        return self._changes

    def keys(self) -> frozenset[model.PoolKey]:
        """Returns all pools known so far."""
        return frozenset(self._pools)

    def owners(self) -> dict[model.PoolKey, model.InstanceId]:
        """Returns the assigned owner of every pool that has one."""
        return {key: pool.target for key, pool in self._pools.items() if pool.target is not None}

    def assigned_to(self, member: model.InstanceId) -> Mapping[model.PoolKey, Pool]:
        """Returns the pools assigned to a member."""
        if self._targets is None:
            self._targets = {}
            for key, pool in self._pools.items():
                if pool.target is not None:
                    self._targets.setdefault(pool.target, {})[key] = pool
        return self._targets.get(member, {})

    def main_is_free(self, pool: Pool) -> bool:
        """Returns whether nobody can use the main part of a pool."""
        if self._clock.monotonic() >= pool.main_until_s:
            return True
        if pool.main_holder is not None:
            return self._members.is_gone(pool.main_holder)
        # All holders of earlier grants are recorded, and each has answered or is gone.
        return self._settled and not self._unanswered

    def add(self, key: model.PoolKey) -> Pool:
        """Returns the state of a pool; a new one may be held by any unanswered member."""
        pool = self._pools.get(key)
        if pool is None:
            pool = Pool(offline_suspects=set(self._unanswered), main_until_s=self._earlier_until_s)
            self._pools[key] = pool
        return pool

    def assign(self, key: model.PoolKey, owner: model.InstanceId) -> None:
        """Assigns an owner to a pool."""
        self.add(key).target = owner
        self._targets = None
        self._changes += 1

    def forget_gone(self) -> None:
        """Frees the offline thirds of instances that are gone."""
        gone = {instance for instance in self._unanswered if self._members.is_gone(instance)}
        self._unanswered -= gone
        for pool in self._pools.values():
            gone = {each for each in pool.offline_suspects if self._members.is_gone(each)}
            pool.offline_suspects -= gone
        self._changes += 1

    def answer(
        self, member: model.InstanceId, pools: Mapping[model.PoolKey, region.PoolReport]
    ) -> None:
        """Takes over what a member holds from an earlier epoch."""
        if member in self._unanswered:
            self._unanswered.discard(member)
            self._changes += 1
            self._take_over_offline(member, pools)
        for key, report in pools.items():
            if report.share is share.Share.NONE:
                continue
            pool = self.add(key)
            unknown = pool.main_holder is None and self._clock.monotonic() < pool.main_until_s
            if report.share.has_main and unknown:
                pool.main_holder = member
            if pool.target is None:
                self.assign(key, member)
            self._linked.setdefault(member, set()).add(key)

    def confirm_releases(self, heartbeat: region.Heartbeat) -> None:
        """Frees the parts that the sender no longer holds.

        A part is released once a reply without it was applied; a heartbeat that was sent before
        the reply with the grant arrived proves nothing.
        """
        sender = heartbeat.sender.id
        for key in self._linked.get(sender, ()):
            pool = self._pools[key]
            report = heartbeat.pools.get(key)
            held = report.share if report is not None else share.Share.NONE
            kept_main = held.has_main or heartbeat.applied_seq <= pool.main_seq
            if pool.main_holder == sender and not kept_main:
                pool.main_holder = None
                pool.main_until_s = -math.inf
                self._changes += 1
            kept_offline = held.has_offline or heartbeat.applied_seq <= pool.offline_seq
            if sender in pool.offline_suspects and not kept_offline:
                pool.offline_suspects.discard(sender)
                self._changes += 1

    def note_use(
        self, sender: model.InstanceId, pools: Mapping[model.PoolKey, region.PoolReport]
    ) -> None:
        """Records the slots that a member uses."""
        linked = self._linked.setdefault(sender, set())
        linked.update(key for key, report in pools.items() if report.in_use)
        for key in linked:
            pool = self.add(key)
            report = pools.get(key)
            in_use = report.in_use if report is not None else {}
            if in_use:
                pool.in_use[sender] = in_use
                busy_until_s = self._clock.monotonic() + report.busy_s
                pool.busy_until_s = max(pool.busy_until_s, busy_until_s)
            else:
                pool.in_use.pop(sender, None)
            if report is not None and report.share.has_main and pool.target == sender:
                # The owner has taken over what others reported before.
                pool.in_use = {sender: in_use} if in_use else {}
        linked.intersection_update([key for key in linked if self._pools[key].involves(sender)])

    def grant(
        self, key: model.PoolKey, part: share.Share, *, member: model.InstanceId, seq: int
    ) -> region.PoolGrant:
        """Grants a share to a member with reply ``seq``."""
        pool = self._pools[key]
        if part.has_offline:
            pool.offline_suspects = {member}
            pool.offline_seq = seq
        if part.has_main:
            pool.main_holder = member
            pool.main_until_s = self._clock.monotonic() + region.GRANT_S
            pool.main_seq = seq
        self._linked.setdefault(member, set()).add(key)
        inherited_s = pool.busy_until_s - self._clock.monotonic()
        if not part.has_main or inherited_s <= 0:
            return region.PoolGrant(pool=key, share=part)
        inherited, previous = pool.inherited_by(member)
        return region.PoolGrant(
            pool=key,
            share=part,
            inherited=inherited,
            inherited_s=inherited_s,
            previous=previous,
        )

    def _take_over_offline(
        self, member: model.InstanceId, pools: Mapping[model.PoolKey, region.PoolReport]
    ) -> None:
        for key, report in pools.items():
            if report.share.has_offline:
                self.add(key).offline_suspects = {member}
        for key, pool in self._pools.items():
            if key not in pools or not pools[key].share.has_offline:
                pool.offline_suspects.discard(member)

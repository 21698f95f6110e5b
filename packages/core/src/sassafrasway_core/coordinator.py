"""Coordinator side of pool ownership: authority, takeover, pool assignment and grants.

A pool has two parts that are granted separately. The offline third of each server's slots has one
holder without a limit of time; it becomes free when the holder confirms its release or is known to
be gone. The main part has one holder until its grant expires. A FULL share is both parts. Only a
coordinator with authority gives a part to an instance that does not hold it.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from sassafrasway_core import (
    assignment,
    authority,
    cap_grants,
    caps,
    membership,
    model,
    region,
    share,
)
from sassafrasway_core import clock as clocks
from sassafrasway_core import invariants as checks

FOLLOW_RETRY_S = 0.5
PROBE_AFTER_S = 0.6
PROBE_RETRY_S = 0.5
POKE_RETRY_S = 0.2
# Time for the first instances of a new region to join before its pools are spread.
FORMING_S = 1.0
REBALANCE_S = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Pool:
    """Where the two parts of a pool are, or may be.

    Attributes:
        offline_suspects: Instances of which one may hold the offline third; empty when it is free.
        offline_seq: Latest reply that granted the offline third.
        main_holder: Instance with the main part; None when it is free or the holder is unknown.
        main_until_s: End of every grant of the main part so far, by the coordinator's clock.
        main_seq: Latest reply that granted the main part.
        in_use: Last reported slots in use by instance and server.
    """

    target: model.InstanceId | None = None
    offline_suspects: set[model.InstanceId] = dataclasses.field(default_factory=set)
    offline_seq: int = 0
    main_holder: model.InstanceId | None = None
    main_until_s: float = -math.inf
    main_seq: int = 0
    in_use: dict[model.InstanceId, Mapping[str, int]] = dataclasses.field(default_factory=dict)


class CoordinatorState:
    """Decisions of a region's coordinator for one epoch.

    Args:
        me: This instance, which won the epoch.
        clock: Time source.
        invariants: Checks that the epoch never decreases.
        members: What is known about the region's instances.
        won: The row that made this instance coordinator, its version, and what it follows on.
    """

    def __init__(
        self,
        *,
        me: region.Instance,
        clock: clocks.Clock,
        invariants: checks.Invariants,
        members: membership.MemberTable,
        won: authority.Won,
    ):
        self._me = me
        self._clock = clock
        self._members = members
        self._started_s = clock.monotonic()
        self._won = won
        self._authority = authority.Authority(
            me=me, clock=clock, invariants=invariants, members=members, won=won
        )
        earlier = None if won.previous is None else [member.id for member in won.row.members]
        self._caps = cap_grants.CapBook(
            clock=clock,
            invariants=invariants,
            epoch=won.row.epoch,
            holders=earlier,
            complete=won.settled,
        )
        self._removed: set[model.InstanceId] = set()
        self._seq = 0
        self._pools: dict[model.PoolKey, _Pool] = {}
        self._known_pools: frozenset[model.PoolKey] | None = None
        self._heard: dict[model.InstanceId, region.Instance] = {}
        self._sent: dict[model.InstanceId, dict[model.PoolKey, share.Share]] = {}
        self._last_command_s: dict[tuple[str, model.InstanceId], float] = {}
        self._unrecorded_until_s = -math.inf
        self._moved_s = self._started_s
        self._urgent = False
        for member in won.row.members:
            members.heard(member)
        self._unanswered = {
            member.id for member in won.row.members if not members.is_gone(member.id)
        }
        for pool, owner in won.row.owners.items():
            self._pool(pool).target = owner

    @property
    def epoch(self) -> int:
        """The epoch of this coordinator."""
        return self._authority.epoch

    @property
    def deposed(self) -> bool:
        """Whether another coordinator has a higher epoch."""
        return self._authority.deposed

    @property
    def authority(self) -> authority.Authority:
        """Lease and promises; receives the results of row reads and writes."""
        return self._authority

    @property
    def has_authority(self) -> bool:
        """Whether the main parts of pools may be granted now."""
        return self._clock.monotonic() < self._authority.until_s()

    @property
    def unanswered(self) -> frozenset[model.InstanceId]:
        """Recorded members that neither follow this epoch yet nor are known to be gone."""
        return frozenset(self._unanswered)

    @property
    def urgent(self) -> bool:
        """Whether members wait for something that the next tick does."""
        return self._urgent or self.deposed

    def owners(self) -> dict[model.PoolKey, model.InstanceId]:
        """Returns the assigned owner of every pool that has one."""
        return {key: pool.target for key, pool in self._pools.items() if pool.target is not None}

    def set_pools(self, pools: Iterable[model.PoolKey]) -> None:
        """Sets the pools of the region according to the current policy."""
        self._known_pools = frozenset(pools)
        for key in self._known_pools:
            self._pool(key)

    def set_caps(self, limits: Mapping[str, float]) -> None:
        """Sets the caps that the region's instances share, by name."""
        self._caps.set_caps(limits)

    def depose(self) -> None:
        """Records that another coordinator has a higher epoch."""
        self._authority.depose()

    def on_heartbeat(self, heartbeat: region.Heartbeat) -> region.HeartbeatReply:
        """Processes a heartbeat and returns the reply with the sender's grants."""
        sender = heartbeat.sender.id
        self._refresh()
        if heartbeat.epoch > self.epoch:
            self.depose()
        self._members.heard(heartbeat.sender)
        if self.deposed or heartbeat.epoch < self.epoch or self._members.is_gone(sender):
            gone = not self.deposed and self._members.is_gone(sender)
            return dataclasses.replace(self._reply(accepted=False, grants=()), gone=gone)
        self._heard[sender] = heartbeat.sender
        self._answer(sender, heartbeat.pools)
        if heartbeat.promise and heartbeat.echo_s is not None:
            self._authority.promised(sender, heartbeat.echo_s)
        self._confirm_releases(heartbeat)
        self._note_use(sender, heartbeat.pools)
        self._reassign()
        self._caps.heard(sender, heartbeat.caps)
        return dataclasses.replace(self._grant(sender), cap_shares=self._cap_shares(heartbeat))

    def on_follow_reply(self, reply: region.FollowReply) -> None:
        """Processes the answer of a member that was told to follow this epoch."""
        self._refresh()
        if reply.epoch > self.epoch:
            self.depose()
        if reply.epoch == self.epoch and not self.deposed:
            self._members.heard(reply.sender)
            self._answer(reply.sender.id, reply.pools)
            self._note_use(reply.sender.id, reply.pools)

    def tick(self) -> list[region.Command]:
        """Lets time pass and returns what has to be done now."""
        self._refresh()
        if self.deposed:
            return []
        self._reassign()
        self._urgent = False
        return [
            *self._authority.tick(members=self._row_members(), owners=self.owners()),
            *self._follow_commands(),
            *self._probe_commands(),
            *self._poke_commands(),
        ]

    def _refresh(self) -> None:
        """Applies what the member table learned since the last event."""
        self._authority.refresh()
        gone = {instance for instance in self._unanswered if self._members.is_gone(instance)}
        self._unanswered -= gone
        for instance in self._members.gone():
            if instance not in self._removed:
                self._removed.add(instance)
                self._caps.remove(instance)
        for pool in self._pools.values():
            pool.offline_suspects = {
                instance
                for instance in pool.offline_suspects
                if not self._members.is_gone(instance)
            }

    def _pool(self, key: model.PoolKey) -> _Pool:
        """Returns the state of a pool; a new one may be held by any unanswered member."""
        pool = self._pools.get(key)
        if pool is None:
            pool = _Pool(
                offline_suspects=set(self._unanswered),
                main_until_s=self._earlier_grants_until_s(),
            )
            self._pools[key] = pool
        return pool

    def _earlier_grants_until_s(self) -> float:
        """End of all grants of earlier coordinators, as far as their holders are unknown."""
        if self._won.previous is None:
            return -math.inf
        return self._started_s + region.GRANT_S

    def _answer(
        self, member: model.InstanceId, pools: Mapping[model.PoolKey, region.PoolReport]
    ) -> None:
        """Takes over what a member holds from an earlier epoch."""
        if member in self._unanswered:
            self._unanswered.discard(member)
            self._urgent = True
            for key, report in pools.items():
                if report.share.has_offline:
                    self._pool(key).offline_suspects = {member}
            for key, pool in self._pools.items():
                if key not in pools or not pools[key].share.has_offline:
                    pool.offline_suspects.discard(member)
        for key, report in pools.items():
            pool = self._pool(key)
            unknown = pool.main_holder is None and self._clock.monotonic() < pool.main_until_s
            if report.share.has_main and unknown:
                pool.main_holder = member
            if report.share is not share.Share.NONE and pool.target is None:
                pool.target = member

    def _confirm_releases(self, heartbeat: region.Heartbeat) -> None:
        """Frees the parts that the sender no longer holds.

        A part is released once a reply without it was applied; a heartbeat that was sent before
        the reply with the grant arrived proves nothing.
        """
        sender = heartbeat.sender.id
        for key, pool in self._pools.items():
            report = heartbeat.pools.get(key)
            held = report.share if report is not None else share.Share.NONE
            kept_main = held.has_main or heartbeat.applied_seq <= pool.main_seq
            if pool.main_holder == sender and not kept_main:
                pool.main_holder = None
                pool.main_until_s = -math.inf
                self._urgent = True
            if not held.has_offline and heartbeat.applied_seq > pool.offline_seq:
                self._urgent |= sender in pool.offline_suspects
                pool.offline_suspects.discard(sender)

    def _note_use(
        self, sender: model.InstanceId, pools: Mapping[model.PoolKey, region.PoolReport]
    ) -> None:
        for key, pool in self._pools.items():
            report = pools.get(key)
            in_use = report.in_use if report is not None else {}
            if in_use:
                pool.in_use[sender] = in_use
            else:
                pool.in_use.pop(sender, None)
            if report is not None and report.share.has_main and pool.target == sender:
                # The owner has taken over what others reported before.
                pool.in_use = {sender: in_use} if in_use else {}

    def _reassign(self) -> None:
        now = self._clock.monotonic()
        if self._won.previous is None and now < self._started_s + FORMING_S:
            return
        eligible = self._eligible()
        moves = 0
        if now >= self._moved_s + REBALANCE_S and not self._unanswered and self.has_authority:
            moves = 1
        before = self.owners()
        owners = assignment.assign(
            self._pools if self._known_pools is None else self._known_pools,
            members=eligible,
            current=before,
            moves=moves,
        )
        for key, owner in owners.items():
            if before.get(key) != owner:
                self._moved_s = now
                self._urgent = True
                self._pool(key).target = owner

    def _eligible(self) -> list[model.InstanceId]:
        """Returns the instances that may own pools, the most suitable kind only.

        An instance that is not recorded in the table cannot hold an offline third, because a later
        coordinator would not know of it.
        """
        live = [each.id for each in self._members.instances(membership.State.LIVE)]
        recorded = [each for each in live if self._authority.is_recorded(each)]
        leaving = [each.id for each in self._members.instances(membership.State.LEAVING)]
        return recorded or live or leaving

    def _targeted(self) -> dict[model.InstanceId, dict[model.PoolKey, _Pool]]:
        """Returns the pools by assigned owner."""
        targeted: dict[model.InstanceId, dict[model.PoolKey, _Pool]] = {}
        for key, pool in self._pools.items():
            if pool.target is not None:
                targeted.setdefault(pool.target, {})[key] = pool
        return targeted

    def _desired(
        self, member: model.InstanceId, pools: Mapping[model.PoolKey, _Pool]
    ) -> dict[model.PoolKey, share.Share]:
        """Returns the share that the member may have now of each of the pools assigned to it."""
        now = self._clock.monotonic()
        recorded = self._authority.is_recorded(member)
        may_main = self._may_grant(now, recorded=recorded)
        desired = {}
        for key, pool in pools.items():
            # Without authority, a later coordinator may have given a free part to another member.
            offline = pool.offline_suspects == {member}
            if not pool.offline_suspects:
                offline = recorded and may_main
            main = may_main and (pool.main_holder == member or self._main_is_free(pool, now))
            part = share.Share.of(offline=offline, main=main)
            if part is not share.Share.NONE:
                desired[key] = part
        return desired

    def _main_is_free(self, pool: _Pool, now: float) -> bool:
        if now >= pool.main_until_s:
            return True
        if pool.main_holder is not None:
            return self._members.is_gone(pool.main_holder)
        # All holders of earlier grants are recorded, and each has answered or is gone.
        return self._won.settled and not self._unanswered

    def _grant(self, member: model.InstanceId) -> region.HeartbeatReply:
        now = self._clock.monotonic()
        self._seq += 1
        desired = self._desired(member, self._targeted().get(member, {}))
        grants = []
        for key, part in desired.items():
            pool = self._pools[key]
            grants.append(self._pool_grant(key, pool, part, member))
            if part.has_offline:
                pool.offline_suspects = {member}
                pool.offline_seq = self._seq
            if part.has_main:
                pool.main_holder = member
                pool.main_until_s = now + region.GRANT_S
                pool.main_seq = self._seq
                if not self._authority.is_recorded(member):
                    self._unrecorded_until_s = now + region.GRANT_S
        self._sent[member] = desired
        return self._reply(accepted=True, grants=tuple(grants))

    def _pool_grant(
        self, key: model.PoolKey, pool: _Pool, part: share.Share, member: model.InstanceId
    ) -> region.PoolGrant:
        inherited: dict[str, int] = {}
        previous = None
        if part.has_main:
            for instance, in_use in pool.in_use.items():
                if instance == member:
                    continue
                previous = instance
                for server, count in in_use.items():
                    inherited[server] = inherited.get(server, 0) + count
        return region.PoolGrant(pool=key, share=part, inherited=inherited, previous=previous)

    def _cap_shares(self, heartbeat: region.Heartbeat) -> Mapping[str, caps.CapShare]:
        """Returns the sender's shares of caps; without authority, its last ones run out."""
        sender = heartbeat.sender.id
        now = self._clock.monotonic()
        recorded = self._authority.is_recorded(sender)
        if not self._may_grant(now, recorded=recorded):
            return {}
        if not recorded:
            self._unrecorded_until_s = now + region.GRANT_S
        return self._caps.renew(sender, heartbeat.caps, keeps_offline=recorded)

    def _may_grant(self, now: float, *, recorded: bool) -> bool:
        """Returns whether a member may get anything besides offline thirds.

        While the table answers, an instance is recorded first, so that a next coordinator knows
        all holders.
        """
        return now < self._authority.until_s() and (
            recorded or now >= self._authority.table_until_s
        )

    def _reply(
        self, *, accepted: bool, grants: tuple[region.PoolGrant, ...]
    ) -> region.HeartbeatReply:
        now = self._clock.monotonic()
        return region.HeartbeatReply(
            epoch=self.epoch,
            coordinator=self._me,
            accepted=accepted,
            seq=self._seq if accepted else 0,
            stamp_s=now,
            grants=grants,
            settled_s=self._settled_s(now) if accepted else 0.0,
        )

    def _settled_s(self, now: float) -> float:
        earlier = -math.inf if self._won.settled else self._earlier_grants_until_s()
        if now < max(earlier, self._unrecorded_until_s):
            return 0.0
        return max(0.0, self._authority.table_until_s - now)

    def _row_members(self) -> dict[model.InstanceId, region.Instance]:
        members = {self._me.id: self._me, **self._heard}
        return {key: each for key, each in members.items() if not self._members.is_gone(key)}

    def _follow_commands(self) -> list[region.Command]:
        return [
            region.SendFollow(target=target, epoch=self.epoch)
            for target in self._present(self._unanswered)
            if self._due("follow", target.id, FOLLOW_RETRY_S)
        ]

    def _probe_commands(self) -> list[region.Command]:
        return [
            region.Probe(target=target)
            for target in self._members.instances()
            if target.id != self._me.id
            and self._members.unheard_s(target.id) >= PROBE_AFTER_S
            and self._due("probe", target.id, PROBE_RETRY_S)
        ]

    def _poke_commands(self) -> list[region.Command]:
        """Asks members for a heartbeat whose grants differ from what they were sent."""
        targeted = self._targeted()
        return [
            region.SendFollow(target=target, epoch=self.epoch)
            for target in self._present(self._sent)
            if self._members.state(target.id) is not membership.State.SILENT
            and self._desired(target.id, targeted.get(target.id, {})) != self._sent[target.id]
            and self._due("poke", target.id, POKE_RETRY_S)
        ]

    def _present(self, ids: Iterable[model.InstanceId]) -> list[region.Instance]:
        found = (self._members.instance(each) for each in sorted(ids))
        return [instance for instance in found if instance is not None]

    def _due(self, kind: str, target: model.InstanceId, every_s: float) -> bool:
        """Returns whether a command may be repeated now, and notes it when it may."""
        now = self._clock.monotonic()
        if now < self._last_command_s.get((kind, target), -math.inf) + every_s:
            return False
        self._last_command_s[(kind, target)] = now
        return True

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
    holdings,
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
        self._gone_count = -1
        self._assigned: tuple = ()
        self._seq = 0
        self._known_pools: frozenset[model.PoolKey] | None = None
        self._region_cap = cap_grants.region_cap(me.region)
        self._region_is_capped = False
        self._region_share_holders: set[model.InstanceId] = set()
        self._heard: dict[model.InstanceId, region.Instance] = {}
        self._sent: dict[model.InstanceId, dict[model.PoolKey, share.Share]] = {}
        self._last_command_s: dict[tuple[str, model.InstanceId], float] = {}
        self._unrecorded_until_s = -math.inf
        self._moved_s = self._started_s
        self._changes_done = 0
        for member in won.row.members:
            members.heard(member)
        self._holdings = holdings.Holdings(
            clock=clock,
            members=members,
            unanswered=[each.id for each in won.row.members if not members.is_gone(each.id)],
            earlier_until_s=self._earlier_grants_until_s(),
            settled=won.settled,
        )
        for pool, owner in won.row.owners.items():
            self._holdings.assign(pool, owner)

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
        return self._holdings.unanswered

    @property
    def urgent(self) -> bool:
        """Whether members wait for something that the next tick does."""
        return self._holdings.changes != self._changes_done or self.deposed

    def owners(self) -> dict[model.PoolKey, model.InstanceId]:
        """Returns the assigned owner of every pool that has one."""
        return self._holdings.owners()

    def set_pools(self, pools: Iterable[model.PoolKey]) -> None:
        """Sets the pools of the region according to the current policy."""
        self._known_pools = frozenset(pools)
        for key in self._known_pools:
            self._holdings.add(key)

    def set_caps(self, limits: Mapping[str, float]) -> None:
        """Sets the caps that the region's instances share, by name."""
        self._region_is_capped = self._region_cap in limits
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
        before = self._heard.get(sender)
        self._heard[sender] = heartbeat.sender
        self._holdings.answer(sender, heartbeat.pools)
        if heartbeat.promise and heartbeat.echo_s is not None:
            self._authority.promised(sender, heartbeat.echo_s)
        self._holdings.confirm_releases(heartbeat)
        self._holdings.note_use(sender, heartbeat.pools)
        self._note_region_share(sender, heartbeat.caps)
        if heartbeat.sender != before:
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
            self._holdings.answer(reply.sender.id, reply.pools)
            self._holdings.note_use(reply.sender.id, reply.pools)

    def tick(self) -> list[region.Command]:
        """Lets time pass and returns what has to be done now."""
        self._refresh()
        if self.deposed:
            return []
        self._reassign()
        self._changes_done = self._holdings.changes
        return [
            *self._authority.tick(members=self._row_members(), owners=self.owners()),
            *self._follow_commands(),
            *self._probe_commands(),
            *self._poke_commands(),
        ]

    def _refresh(self) -> None:
        """Applies what the member table learned since the last event."""
        self._authority.refresh()
        if self._members.gone_count == self._gone_count:
            return
        self._gone_count = self._members.gone_count
        for instance in self._members.gone():
            if instance not in self._removed:
                self._removed.add(instance)
                self._caps.remove(instance)
        self._holdings.forget_gone()

    def _earlier_grants_until_s(self) -> float:
        """End of all grants of earlier coordinators, as far as their holders are unknown."""
        if self._won.previous is None:
            return -math.inf
        return self._started_s + region.GRANT_S

    def _reassign(self) -> None:
        now = self._clock.monotonic()
        if self._won.previous is None and now < self._started_s + FORMING_S:
            return
        eligible = self._eligible()
        moves = 0
        if now >= self._moved_s + REBALANCE_S and not self.unanswered and self.has_authority:
            moves = 1
        pools = self._holdings.keys() if self._known_pools is None else self._known_pools
        before = self.owners()
        inputs = (pools, tuple(eligible), moves)
        if self._assigned == inputs and (not moves or assignment.is_even(before, eligible)):
            return
        self._assigned = inputs
        owners = assignment.assign(
            pools,
            members=eligible,
            current=before,
            moves=moves,
        )
        for key, owner in owners.items():
            if before.get(key) != owner:
                self._moved_s = now
                self._holdings.assign(key, owner)

    def _eligible(self) -> list[model.InstanceId]:
        """Returns the instances that may own pools, the most suitable kind only.

        An instance that is not recorded in the table cannot hold an offline third, because a later
        coordinator would not know of it.
        """
        live = [each.id for each in self._members.instances(membership.State.LIVE)]
        recorded = [each for each in live if self._authority.is_recorded(each)]
        leaving = [each.id for each in self._members.instances(membership.State.LEAVING)]
        return self._able_to_serve(recorded) or recorded or live or leaving

    def _able_to_serve(self, members: list[model.InstanceId]) -> list[model.InstanceId]:
        """Returns the members that could send requests to servers at once.

        One that just joined gets its share of the region's cap when the others have confirmed
        smaller ones and their use has left the window, which takes about two seconds. A pool that
        came earlier would refuse all requests until then.
        """
        owners = set(self.owners().values())
        if not self._region_is_capped or not owners:
            return members
        return [each for each in members if each in owners or each in self._region_share_holders]

    def _note_region_share(
        self, member: model.InstanceId, reports: Iterable[cap_grants.CapReport]
    ) -> None:
        """Notes whether a member has its part of the region's cap in force."""
        in_force = sum(
            report.amount
            for report in reports
            if report.name == self._region_cap and report.remaining_s > 0
        )
        if self._caps.is_met(self._region_cap, member, in_force):
            self._region_share_holders.add(member)
        else:
            self._region_share_holders.discard(member)

    def _desired(self, member: model.InstanceId) -> dict[model.PoolKey, share.Share]:
        """Returns the share that the member may have now of each of the pools assigned to it."""
        now = self._clock.monotonic()
        recorded = self._authority.is_recorded(member)
        may_main = self._may_grant(now, recorded=recorded)
        desired = {}
        for key, pool in self._holdings.assigned_to(member).items():
            # Without authority, a later coordinator may have given a free part to another member.
            offline = pool.offline_suspects == {member}
            if not pool.offline_suspects:
                offline = recorded and may_main
            main = may_main and (pool.main_holder == member or self._holdings.main_is_free(pool))
            part = share.Share.of(offline=offline, main=main)
            if part is not share.Share.NONE:
                desired[key] = part
        return desired

    def _grant(self, member: model.InstanceId) -> region.HeartbeatReply:
        self._seq += 1
        desired = self._desired(member)
        if any(part.has_main for part in desired.values()):
            self._note_recipient(member)
        grants = tuple(
            self._holdings.grant(key, part, member=member, seq=self._seq)
            for key, part in desired.items()
        )
        self._sent[member] = desired
        return self._reply(accepted=True, grants=grants)

    def _note_recipient(self, member: model.InstanceId) -> None:
        """Notes until when an instance that is not recorded holds something."""
        if not self._authority.is_recorded(member):
            self._unrecorded_until_s = self._clock.monotonic() + region.GRANT_S

    def _cap_shares(self, heartbeat: region.Heartbeat) -> Mapping[str, caps.CapShare]:
        """Returns the sender's shares of caps; without authority, its last ones run out."""
        sender = heartbeat.sender.id
        now = self._clock.monotonic()
        recorded = self._authority.is_recorded(sender)
        if not self._may_grant(now, recorded=recorded):
            return {}
        self._note_recipient(sender)
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
            for target in self._present(self.unanswered)
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
        return [
            region.SendFollow(target=target, epoch=self.epoch)
            for target in self._present(self._sent)
            if self._members.state(target.id) is not membership.State.SILENT
            and self._desired(target.id) != self._sent[target.id]
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

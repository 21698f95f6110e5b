"""Coordinator side of pool ownership: authority, takeover, pool assignment and grants.

A pool has two parts that are granted separately (see ``share``), each to one holder at a time. The
offline third of each server's slots becomes free when the holder confirms its release or is known
to be gone; the main part also when its grant expires. A FULL share is both parts. Without
authority (see ``authority``), a coordinator lets owners keep the offline thirds that they hold,
but grants and renews nothing else.
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
from sassafrasway_core import clock as clock_lib
from sassafrasway_core import invariants as invariants_lib

# Minimum interval between requests to the same instance to follow the epoch.
FOLLOW_RETRY_S = 0.5
# An instance that has sent no message for this long is probed.
PROBE_AFTER_S = 0.6
PROBE_RETRY_S = 0.5
# Minimum interval between requests to the same instance to send a heartbeat immediately.
HEARTBEAT_REQUEST_RETRY_S = 0.2
# Time for the first instances of a new region to join before its pools are assigned. Without it,
# the first instance would get all pools.
REGION_FORMATION_S = 1.0
# Minimum time between an assignment and a move that only evens out the numbers of pools.
REBALANCE_S = 2.0


class CoordinatorState:
    """Decisions of a region's coordinator for one epoch.

    Args:
        me: This instance, the coordinator of the epoch.
        invariants: Checks that the epoch never decreases and that shares never exceed a cap; may
            raise ``errors.InvariantViolation``.
    """

    def __init__(
        self,
        *,
        me: region.Instance,
        clock: clock_lib.Clock,
        invariants: invariants_lib.Invariants,
        members: membership.MemberTable,
        won_election: authority.WonElection,
    ):
        self._me = me
        self._clock = clock
        self._members = members
        self._started_s = clock.monotonic()
        self._won_election = won_election
        self._authority = authority.Authority(
            me=me, clock=clock, invariants=invariants, members=members, won_election=won_election
        )
        earlier_holders = (
            None
            if won_election.previous is None
            else [member.id for member in won_election.row.members]
        )
        self._caps = cap_grants.RegionCaps(
            clock=clock,
            invariants=invariants,
            epoch=won_election.row.epoch,
            holders=earlier_holders,
            holders_recorded=won_election.holders_recorded,
        )
        self._removed_from_caps: set[model.InstanceId] = set()
        # -1 makes the first refresh process the instances that are already gone.
        self._gone_count = -1
        self._assignment_inputs: tuple = ()
        self._seq = 0
        self._policy_pools: frozenset[model.PoolKey] | None = None
        self._region_cap_name = cap_grants.region_cap_name(me.region)
        self._region_is_capped = False
        self._region_share_holders: set[model.InstanceId] = set()
        self._heartbeat_senders: dict[model.InstanceId, region.Instance] = {}
        self._sent_shares: dict[model.InstanceId, dict[model.PoolKey, share.Share]] = {}
        self._last_command_s: dict[tuple[str, model.InstanceId], float] = {}
        self._unrecorded_grants_until_s = -math.inf
        self._last_assignment_s = self._started_s
        self._changes_processed = 0
        for member in won_election.row.members:
            # Adds members that this instance did not know. None of the members is silent at first.
            members.record_contact(member)
        self._holdings = holdings.Holdings(
            clock=clock,
            members=members,
            unanswered=[
                member.id for member in won_election.row.members if not members.is_gone(member.id)
            ],
            earlier_grants_until_s=self._earlier_grants_until_s(),
            holders_recorded=won_election.holders_recorded,
        )
        for pool, owner in won_election.row.owners.items():
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
        """Table lease and promises of the members; receives the results of row reads and writes."""
        return self._authority

    @property
    def has_authority(self) -> bool:
        """Whether parts of pools and shares of caps may be granted now."""
        return self._clock.monotonic() < self._authority.until_s()

    @property
    def unanswered(self) -> frozenset[model.InstanceId]:
        """Recorded members that do not follow this epoch yet and are not known to be gone."""
        return self._holdings.unanswered

    @property
    def urgent(self) -> bool:
        """Whether ``tick`` should run immediately.

        True when members wait for its results or another coordinator has a higher epoch.
        """
        return self._holdings.change_count != self._changes_processed or self.deposed

    def owners(self) -> dict[model.PoolKey, model.InstanceId]:
        """Returns the assigned owner of every pool that has one."""
        return self._holdings.owners()

    def set_pools(self, pools: Iterable[model.PoolKey]) -> None:
        """Sets the pools of the region according to the current policy.

        A pool that is no longer among them is not reassigned, and its owner keeps its grants.
        """
        self._policy_pools = frozenset(pools)
        for key in self._policy_pools:
            self._holdings.add(key)

    def set_caps(self, limits: Mapping[str, float]) -> None:
        """Sets the limits of the caps that the region's instances share, by cap name."""
        self._region_is_capped = self._region_cap_name in limits
        self._caps.set_caps(limits)

    def depose(self) -> None:
        """Records that another coordinator has a higher epoch."""
        self._authority.depose()

    def on_heartbeat(self, heartbeat: region.Heartbeat) -> region.HeartbeatReply:
        """Processes a heartbeat and returns the reply with the sender's grants.

        The reply is not accepted and grants nothing if this coordinator is deposed, the sender does
        not follow its epoch yet, or the sender is known to be gone.
        """
        sender = heartbeat.sender.id
        self._refresh()
        if heartbeat.epoch > self.epoch:
            self.depose()
        self._members.record_contact(heartbeat.sender)
        if self.deposed or heartbeat.epoch < self.epoch or self._members.is_gone(sender):
            gone = not self.deposed and self._members.is_gone(sender)
            return dataclasses.replace(self._reply(accepted=False, grants=()), gone=gone)
        previous = self._heartbeat_senders.get(sender)
        self._heartbeat_senders[sender] = heartbeat.sender
        self._holdings.record_answer(sender, heartbeat.pools)
        if heartbeat.promise and heartbeat.echo_s is not None:
            self._authority.record_promise(sender, heartbeat.echo_s)
        self._holdings.confirm_releases(heartbeat)
        self._holdings.record_use(sender, heartbeat.pools)
        self._record_region_share(sender, heartbeat.caps)
        if heartbeat.sender != previous:
            # A sender that joined or is leaving changes the assignment, and the reply must already
            # grant the shares of the new one.
            self._reassign()
        self._caps.record_reports(sender, heartbeat.caps)
        return dataclasses.replace(self._grant(sender), cap_shares=self._cap_shares(heartbeat))

    def on_follow_reply(self, reply: region.FollowReply) -> None:
        """Processes a member's reply to the request to follow this epoch."""
        self._refresh()
        if reply.epoch > self.epoch:
            self.depose()
        if reply.epoch == self.epoch and not self.deposed:
            self._members.record_contact(reply.sender)
            self._holdings.record_answer(reply.sender.id, reply.pools)
            self._holdings.record_use(reply.sender.id, reply.pools)

    def tick(self) -> list[region.Command]:
        """Updates the state to the current time and returns the commands to execute now."""
        self._refresh()
        if self.deposed:
            return []
        self._reassign()
        self._changes_processed = self._holdings.change_count
        return [
            *self._authority.tick(members=self._row_members(), owners=self.owners()),
            *self._follow_commands(),
            *self._probe_commands(),
            *self._heartbeat_request_commands(),
        ]

    def _refresh(self) -> None:
        self._authority.refresh()
        if self._members.gone_count == self._gone_count:
            return
        self._gone_count = self._members.gone_count
        for instance in self._members.gone():
            if instance not in self._removed_from_caps:
                self._removed_from_caps.add(instance)
                self._caps.remove(instance)
        self._holdings.release_gone()

    def _earlier_grants_until_s(self) -> float:
        """Returns the time by which every main part granted by an earlier coordinator has expired.

        Until then, holders that this coordinator does not know may still use such parts.
        """
        if self._won_election.previous is None:
            return -math.inf
        return self._started_s + region.GRANT_S

    def _reassign(self) -> None:
        """Assigns owners to pools without an eligible one, and moves a pool if a move is due."""
        now = self._clock.monotonic()
        if self._won_election.previous is None and now < self._started_s + REGION_FORMATION_S:
            return
        eligible = self._eligible()
        moves = 0
        if (
            now >= self._last_assignment_s + REBALANCE_S
            and not self.unanswered
            and self.has_authority
        ):
            moves = 1
        pools = self._holdings.keys() if self._policy_pools is None else self._policy_pools
        current_owners = self.owners()
        # With the inputs of the last assignment, only a move could change the owners.
        inputs = (pools, tuple(eligible), moves)
        if self._assignment_inputs == inputs and (
            not moves or assignment.is_even(current_owners, eligible)
        ):
            return
        self._assignment_inputs = inputs
        owners = assignment.assign(
            pools,
            members=eligible,
            current=current_owners,
            moves=moves,
        )
        for key, owner in owners.items():
            if current_owners.get(key) != owner:
                self._last_assignment_s = now
                self._holdings.assign(key, owner)

    def _eligible(self) -> list[model.InstanceId]:
        """Returns the instances that may own pools: the first group below that is not empty.

        The groups are recorded live instances that can serve immediately, recorded live ones,
        live ones, and leaving ones. An instance that is not recorded in the table cannot hold an
        offline third, because a later coordinator could not find out that it does.
        """
        live = [instance.id for instance in self._members.instances(membership.State.LIVE)]
        recorded = [member for member in live if self._authority.is_recorded(member)]
        leaving = [instance.id for instance in self._members.instances(membership.State.LEAVING)]
        return self._able_to_serve(recorded) or recorded or live or leaving

    def _able_to_serve(self, members: list[model.InstanceId]) -> list[model.InstanceId]:
        """Returns the members that own a pool or have their share of the region's cap in force.

        Returns all members if the region has no cap or none of its pools has an owner. A new
        instance gets its share about two seconds after it joins: the others must confirm smaller
        shares first, and their use must leave the one-second window. With a pool but no share, it
        would refuse all requests of the pool.
        """
        owners = set(self.owners().values())
        if not self._region_is_capped or not owners:
            return members
        return [
            member for member in members if member in owners or member in self._region_share_holders
        ]

    def _record_region_share(
        self, member: model.InstanceId, reports: Iterable[cap_grants.CapReport]
    ) -> None:
        in_force = sum(
            report.amount
            for report in reports
            if report.name == self._region_cap_name and report.remaining_s > 0
        )
        if self._caps.is_met(self._region_cap_name, member, in_force):
            self._region_share_holders.add(member)
        else:
            self._region_share_holders.discard(member)

    def _permitted_shares(self, member: model.InstanceId) -> dict[model.PoolKey, share.Share]:
        now = self._clock.monotonic()
        recorded = self._authority.is_recorded(member)
        may_grant = self._may_grant(now, recorded=recorded)
        permitted = {}
        for key, pool in self._holdings.assigned_to(member).items():
            # Without authority, a free part is not granted: a later coordinator may have granted it
            # to another member.
            offline = pool.possible_offline_holders == {member}
            if not pool.possible_offline_holders:
                offline = recorded and may_grant
            main = may_grant and (pool.main_holder == member or self._holdings.main_is_free(pool))
            pool_share = share.Share.of(offline=offline, main=main)
            if pool_share is not share.Share.NONE:
                permitted[key] = pool_share
        return permitted

    def _grant(self, member: model.InstanceId) -> region.HeartbeatReply:
        self._seq += 1
        permitted = self._permitted_shares(member)
        if any(pool_share.has_main for pool_share in permitted.values()):
            self._record_unrecorded_grant(member)
        grants = tuple(
            self._holdings.grant(key, pool_share, member=member, seq=self._seq)
            for key, pool_share in permitted.items()
        )
        self._sent_shares[member] = permitted
        return self._reply(accepted=True, grants=grants)

    def _record_unrecorded_grant(self, member: model.InstanceId) -> None:
        """Records until when a member may hold grants, if the table does not record the member.

        Its shares of caps expire no later, because ``caps.SHARE_S`` equals ``region.GRANT_S``.
        """
        if not self._authority.is_recorded(member):
            self._unrecorded_grants_until_s = self._clock.monotonic() + region.GRANT_S

    def _cap_shares(self, heartbeat: region.Heartbeat) -> Mapping[str, caps.CapShare]:
        """Returns the sender's new shares of caps; without any, the current ones expire."""
        sender = heartbeat.sender.id
        now = self._clock.monotonic()
        recorded = self._authority.is_recorded(sender)
        if not self._may_grant(now, recorded=recorded):
            return {}
        self._record_unrecorded_grant(sender)
        return self._caps.renew(sender, heartbeat.caps, keeps_offline=recorded)

    def _may_grant(self, now: float, *, recorded: bool) -> bool:
        """Returns whether a member may be granted main parts and shares of caps.

        A recorded member may then also be granted free offline thirds. While the table lease lasts,
        an instance must be recorded first, so that the next coordinator finds all holders in the
        row.
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
        """Returns the seconds from now for which only recorded members can hold grants."""
        earlier = (
            -math.inf if self._won_election.holders_recorded else self._earlier_grants_until_s()
        )
        if now < max(earlier, self._unrecorded_grants_until_s):
            return 0.0
        return max(0.0, self._authority.table_until_s - now)

    def _row_members(self) -> dict[model.InstanceId, region.Instance]:
        members = {self._me.id: self._me, **self._heartbeat_senders}
        return {
            member: instance
            for member, instance in members.items()
            if not self._members.is_gone(member)
        }

    def _follow_commands(self) -> list[region.Command]:
        return [
            region.SendFollow(target=target, epoch=self.epoch)
            for target in self._instances_not_gone(self.unanswered)
            if self._due("follow", target.id, FOLLOW_RETRY_S)
        ]

    def _probe_commands(self) -> list[region.Command]:
        return [
            region.Probe(target=target)
            for target in self._members.instances()
            if target.id != self._me.id
            and self._members.since_contact_s(target.id) >= PROBE_AFTER_S
            and self._due("probe", target.id, PROBE_RETRY_S)
        ]

    def _heartbeat_request_commands(self) -> list[region.Command]:
        """Requests a heartbeat from members whose permitted shares differ from their last reply."""
        return [
            region.SendFollow(target=target, epoch=self.epoch)
            for target in self._instances_not_gone(self._sent_shares)
            if self._members.state(target.id) is not membership.State.SILENT
            and self._permitted_shares(target.id) != self._sent_shares[target.id]
            and self._due("heartbeat request", target.id, HEARTBEAT_REQUEST_RETRY_S)
        ]

    def _instances_not_gone(self, ids: Iterable[model.InstanceId]) -> list[region.Instance]:
        instances = (self._members.instance(member) for member in sorted(ids))
        return [instance for instance in instances if instance is not None]

    def _due(self, kind: str, target: model.InstanceId, every_s: float) -> bool:
        """Returns whether a command may be sent again now; if so, records that it is sent."""
        now = self._clock.monotonic()
        if now < self._last_command_s.get((kind, target), -math.inf) + every_s:
            return False
        self._last_command_s[(kind, target)] = now
        return True

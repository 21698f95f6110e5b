"""Member role of an instance: heartbeats, promises and the takeover of the coordinator role."""

import dataclasses
import math
from collections.abc import Callable, Mapping

from sassafrasway_core import authority, membership, model, ownership, region
from sassafrasway_core import clock as clock_lib

# Time without an applied reply after which a member has lost contact with its coordinator.
CONTACT_LOST_S = 1.0
# Minimum interval between searches for the coordinator.
SEARCH_RETRY_S = 0.5
# Added to the leases and promises whose end a member waits for, because the clocks of two instances
# may run at different rates.
CLOCK_MARGIN_S = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class _PendingWrite:
    """A candidate write whose result is not known yet.

    A candidate write of the region row makes the instance coordinator if it takes effect. An
    ``authority.WonElection`` is then created from the fields of this class.

    Attributes:
        sent_s: Time at which it was sent first.
        unknown: Whether it has been sent without a result and may have taken effect.
    """

    command: region.WriteRow
    sent_s: float
    previous: region.Instance | None
    holders_recorded: bool
    unknown: bool = False


class MemberState:
    """Decides which coordinator an instance follows and when the instance takes over.

    An instance that has lost contact with its coordinator takes over in one of three cases: there
    is no region row; the coordinator in the row is known to be gone; or the instance is a recorded
    member, the row has not changed for the duration of a table lease, and the instance's last
    promise has ended. In the last case the old coordinator's authority has ended too, because it
    needs either the table or the promise of this instance.

    An instance that a coordinator declared gone never takes over. A leaving instance does so only
    if there is no row or if every other recorded member is leaving or gone.
    """

    def __init__(
        self,
        *,
        me: region.Instance,
        clock: clock_lib.Clock,
        members: membership.MemberTable,
        grants: ownership.GrantState,
    ):
        self._me = me
        self._clock = clock
        self._members = members
        self._grants = grants
        self._promise_until_s = -math.inf
        self._last_contact_s = -math.inf
        self._last_sent_s: dict[str, float] = {}
        self._heartbeat_requested = False
        self._row: region.RegionRow | None = None
        self._version: str | None = None
        self._version_first_read_s = -math.inf
        self._row_known = False
        self._pending: _PendingWrite | None = None
        self._won_election: authority.WonElection | None = None
        self._declared_gone = False

    @property
    def me(self) -> region.Instance:
        """This instance in its current state."""
        return self._me

    @property
    def won_election(self) -> authority.WonElection | None:
        """The latest election that this instance won, or None."""
        return self._won_election

    @property
    def declared_gone(self) -> bool:
        """Whether a coordinator declared this instance gone; only a restart ends this."""
        return self._declared_gone

    @property
    def in_contact(self) -> bool:
        """Whether the coordinator answered recently and is not known to be gone."""
        coordinator = self._grants.coordinator
        if coordinator is None or self._members.is_gone(coordinator.id):
            return False
        return self._clock.monotonic() < self._last_contact_s + CONTACT_LOST_S

    def set_me(self, me: region.Instance) -> None:
        """Replaces this instance's data, for example when it starts to leave."""
        self._me = me
        self._heartbeat_requested = True

    def request_heartbeat(self) -> None:
        """Makes the next tick send a heartbeat."""
        self._heartbeat_requested = True

    def tick(
        self,
        *,
        reports: Callable[[], Mapping[model.PoolKey, region.PoolReport]],
        cap_demand: Callable[[], Mapping[str, float]] = dict,
    ) -> list[region.Command]:
        """Updates the state to the current time and returns the commands to execute now.

        When a heartbeat is due, this calls ``reports`` for the pool reports and ``cap_demand`` for
        the demand by cap name.
        """
        commands: list[region.Command] = []
        coordinator = self._grants.coordinator
        has_coordinator = coordinator is not None and not self._members.is_gone(coordinator.id)
        if has_coordinator and (
            self._heartbeat_requested or self._due("heartbeat", region.HEARTBEAT_S)
        ):
            commands.append(self._heartbeat(coordinator, reports(), cap_demand()))
        if not self.in_contact or self._pending is not None:
            commands.extend(self._search())
        if self._may_take_over():
            commands.append(self._candidate_write())
        elif (
            self._pending is not None
            and self._pending.unknown
            and not self.in_contact
            and self._due("candidate write", SEARCH_RETRY_S)
        ):
            commands.append(self._pending.command)
        return commands

    def on_reply(self, reply: region.HeartbeatReply, *, sent_s: float) -> bool:
        """Processes a heartbeat reply; returns whether the reply was applied."""
        if reply.gone and reply.epoch >= self._grants.epoch:
            self._declared_gone = True
            self._grants.revoke()
        previous_epoch = self._grants.epoch
        previous_pools = self._grants.pools
        applied = self._grants.apply(reply, sent_s=sent_s)
        if applied:
            self._last_contact_s = self._clock.monotonic()
        if self._grants.epoch != previous_epoch or not previous_pools <= self._grants.pools:
            # The next owner of a pool waits until this instance has confirmed its release.
            self._heartbeat_requested = True
        return applied

    def on_follow(self, *, epoch: int, coordinator: region.Instance) -> region.FollowReply:
        """Follows a coordinator unless its epoch is lower; returns what this instance holds."""
        if self._grants.follow(epoch=epoch, coordinator=coordinator):
            self._heartbeat_requested = True
        return region.FollowReply(
            sender=self._me, epoch=self._grants.epoch, pools=self._grants.reports({})
        )

    def on_row_read(
        self, row: region.RegionRow | None, version: str | None, *, started_s: float
    ) -> None:
        """Processes the region row that was read; ``row`` and ``version`` are None without a row.

        A read that started (``started_s``) before the candidate write may not show its result.
        """
        pending = self._pending
        if pending is not None:
            if started_s < pending.sent_s or version == pending.command.if_version:
                # The pending write may have taken effect after this read, or may still do so.
                return
            self._pending = None
            if row is not None and row.coordinator.id == self._me.id:
                self._record_won_election(pending, version)
                return
        if not self._row_known or version != self._version:
            self._version_first_read_s = self._clock.monotonic()
        self._row_known = True
        self._row = row
        self._version = version
        if row is not None and row.coordinator.id != self._me.id:
            self._grants.follow(epoch=row.epoch, coordinator=row.coordinator)

    def on_write_ok(self, command: region.WriteRow, version: str) -> None:
        """Processes a candidate write that took effect."""
        pending = self._pending
        if pending is not None and pending.command is command:
            self._pending = None
            self._record_won_election(pending, version)

    def on_write_conflict(self, command: region.WriteRow) -> None:
        """Processes a candidate write whose version did not match."""
        pending = self._pending
        if pending is None or pending.command is not command:
            return
        # If it was sent before with an unknown result, that may be what has changed the row; then
        # the next read shows the result.
        if not pending.unknown:
            self._pending = None
            self._row_known = False

    def on_write_unknown(self, command: region.WriteRow) -> None:
        """Processes a candidate write that may take effect now or later.

        The write stays pending, and heartbeats carry no promise, until a read shows another version
        of the row. If it was lost, and there is no coordinator, no other write may ever come, so it
        is sent again: as both have the same condition, at most one takes effect.
        """
        pending = self._pending
        if pending is not None and pending.command is command and not pending.unknown:
            pending.unknown = True
            self._last_sent_s["candidate write"] = self._clock.monotonic()

    def _heartbeat(
        self,
        coordinator: region.Instance,
        reports: Mapping[model.PoolKey, region.PoolReport],
        cap_demand: Mapping[str, float],
    ) -> region.SendHeartbeat:
        now = self._clock.monotonic()
        self._heartbeat_requested = False
        self._last_sent_s["heartbeat"] = now
        # Promises to a coordinator that does not answer would extend its authority and prevent a
        # takeover.
        promise = self._pending is None and self.in_contact
        if promise:
            self._promise_until_s = now + region.PROMISE_S
        heartbeat = region.Heartbeat(
            sender=self._me,
            epoch=self._grants.epoch,
            promise=promise,
            echo_s=self._grants.echo_s,
            applied_seq=self._grants.applied_seq,
            pools=self._grants.reports(reports),
            caps=self._grants.caps.reports(cap_demand),
        )
        return region.SendHeartbeat(target=coordinator, heartbeat=heartbeat, sent_s=now)

    def _search(self) -> list[region.Command]:
        if not self._due("search", SEARCH_RETRY_S):
            return []
        commands: list[region.Command] = [region.ReadRow()]
        suspects = [self._row.coordinator if self._row else None, self._grants.coordinator]
        excluded = {self._me.id}
        for suspect in suspects:
            if suspect and suspect.id not in excluded and not self._members.is_gone(suspect.id):
                excluded.add(suspect.id)
                commands.append(region.Probe(target=suspect))
        return commands

    def _may_take_over(self) -> bool:
        if self.in_contact or self._pending is not None or not self._row_known:
            return False
        if self._declared_gone:
            return False
        row = self._row
        if row is None:
            return True
        # The row is outdated, or it already names this instance as coordinator.
        if row.epoch < self._grants.epoch or row.coordinator.id == self._me.id:
            return False
        if self._me.state == region.LEAVING and self._others_remain(row):
            return False
        if self._members.is_gone(row.coordinator.id):
            return True
        now = self._clock.monotonic()
        return (
            self._me.id in {member.id for member in row.members}
            and now >= self._version_first_read_s + region.TABLE_LEASE_S + CLOCK_MARGIN_S
            and now >= self._promise_until_s + CLOCK_MARGIN_S
        )

    def _others_remain(self, row: region.RegionRow) -> bool:
        """Returns whether a recorded member could become coordinator instead of this one."""
        return any(
            member.id != self._me.id
            and member.state == region.LIVE
            and not self._members.is_gone(member.id)
            for member in row.members
        )

    def _candidate_write(self) -> region.WriteRow:
        now = self._clock.monotonic()
        row = self._row
        recorded = () if row is None else row.members
        members = {member.id: member for member in (*recorded, self._me)}
        holders_recorded = (
            row is not None
            and row.epoch == self._grants.epoch
            and now < self._grants.holders_recorded_until_s
        )
        command = region.WriteRow(
            row=region.RegionRow(
                epoch=1 if row is None else row.epoch + 1,
                serial=1,
                coordinator=self._me,
                members=tuple(members[key] for key in sorted(members)),
                owners={} if row is None else row.owners,
            ),
            if_version=self._version,
        )
        previous = None if row is None else row.coordinator
        self._pending = _PendingWrite(
            command=command, sent_s=now, previous=previous, holders_recorded=holders_recorded
        )
        return command

    def _record_won_election(self, pending: _PendingWrite, version: str) -> None:
        row = pending.command.row
        self._won_election = authority.WonElection(
            row=row,
            version=version,
            sent_s=pending.sent_s,
            previous=pending.previous,
            holders_recorded=pending.holders_recorded,
        )
        self._row_known = False
        self._grants.follow(epoch=row.epoch, coordinator=self._me)
        self._heartbeat_requested = True

    def _due(self, kind: str, every_s: float) -> bool:
        """Returns whether a message may be sent again now; if so, records that it is sent."""
        now = self._clock.monotonic()
        if now < self._last_sent_s.get(kind, -math.inf) + every_s:
            return False
        self._last_sent_s[kind] = now
        return True

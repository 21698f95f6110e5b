"""Authority of a coordinator to grant pools: its table lease and the promises of members.

Unless the region row is deleted, no other instance can become coordinator, and grant the same
slots, while a coordinator has authority. ``region.PROMISE_S`` states what a member promises.
"""

import dataclasses
import math
from collections.abc import Mapping

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import invariants as invariants_lib
from sassafrasway_core import membership, model, region

# While the table lease lasts, new members get no grants until they are recorded, so a changed row
# is written before the next renewal is due.
CHANGED_ROW_INTERVAL_S = 0.2
# Minimum interval between reads of the row after a write had no effect or its result was lost.
READ_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WonElection:
    """A write of the region row that made this instance coordinator.

    Attributes:
        version: Version of the row, as returned by the write or by a later read.
        previous: Coordinator named by the replaced row; None when there was no row.
        holders_recorded: Whether only recorded members can hold grants of earlier coordinators.
    """

    row: region.RegionRow
    version: str
    sent_s: float
    previous: region.Instance | None
    holders_recorded: bool


class Authority:
    """Decides until when a coordinator may grant parts of pools and shares of caps.

    Either of two things gives authority: the table lease, for ``region.TABLE_LEASE_S`` after a
    successful write was sent; or the promises, while the latest promise of every required member is
    less than ``region.PROMISE_S`` old. The required members are all others that a written row may
    name.

    A required member that is known to be gone is dropped only while authority lasts. Once authority
    has lapsed, that member may have taken over before it ended, and only a successful write of the
    row proves that it has not.

    Args:
        invariants: Checks that the epoch never decreases; may raise ``errors.InvariantViolation``.
    """

    def __init__(
        self,
        *,
        me: region.Instance,
        clock: clock_lib.Clock,
        invariants: invariants_lib.Invariants,
        members: membership.MemberTable,
        won_election: WonElection,
    ):
        self._me = me
        self._clock = clock
        self._invariants = invariants
        self._members = members
        self._epoch = won_election.row.epoch
        self._version = won_election.version
        self._recorded = {member.id: member for member in won_election.row.members}
        self._required_members = set(self._recorded) - {me.id}
        # Start of each member's latest promise.
        self._promised_s: dict[model.InstanceId, float] = {}
        # End of the promises of all required members; None until it is recomputed.
        self._promised_until_s: float | None = None
        # -1 makes the first refresh process the instances that are already gone.
        self._gone_count = -1
        self._table_until_s = won_election.sent_s + region.TABLE_LEASE_S
        self._serial = won_election.row.serial
        self._write_sent_s = {won_election.row.serial: won_election.sent_s}
        self._confirmed_row = won_election.row
        self._last_write_s = won_election.sent_s
        self._last_read_s = -math.inf
        self._pending_write: region.WriteRow | None = None
        self._must_read_row = False
        self._deposed = False

    @property
    def epoch(self) -> int:
        """The epoch of the coordinator."""
        return self._epoch

    @property
    def deposed(self) -> bool:
        """Whether another coordinator has a higher epoch."""
        return self._deposed

    @property
    def table_until_s(self) -> float:
        """End of the table lease."""
        return self._table_until_s

    def until_s(self) -> float:
        """Returns the end of the authority by the coordinator's clock.

        It is infinite when no other member is required, and negative infinity after ``depose``.
        """
        if self._deposed:
            return -math.inf
        if self._promised_until_s is None:
            promises = (
                self._promised_s.get(member, -math.inf) for member in self._required_members
            )
            self._promised_until_s = min(promises, default=math.inf) + region.PROMISE_S
        return max(self._table_until_s, self._promised_until_s)

    def is_recorded(self, member: model.InstanceId) -> bool:
        """Returns whether the last row that is known to be in the table names the member.

        A later write may have taken effect already, but writes drop only members that are gone.
        """
        return member in self._recorded

    @property
    def is_transferable(self) -> bool:
        """Whether another instance could take over now, which requires a working table.

        The table is assumed to work while the table lease lasts.
        """
        return self._clock.monotonic() < self._table_until_s

    def depose(self) -> None:
        """Records that another coordinator has a higher epoch."""
        self._deposed = True

    def refresh(self) -> None:
        """Drops required members that are gone, if authority lasts.

        The coordinator calls this before it processes any other event.
        """
        if self._members.gone_count == self._gone_count:
            return
        if self._clock.monotonic() < self.until_s():
            self._gone_count = self._members.gone_count
            gone = [member for member in self._required_members if self._members.is_gone(member)]
            if gone:
                self._required_members.difference_update(gone)
                self._promised_until_s = None

    def record_promise(self, member: model.InstanceId, stamp_s: float) -> None:
        """Records a promise that starts at ``stamp_s`` by the coordinator's clock."""
        self._promised_s[member] = max(stamp_s, self._promised_s.get(member, -math.inf))
        self._promised_until_s = None

    def tick(
        self,
        *,
        members: Mapping[model.InstanceId, region.Instance],
        owners: Mapping[model.PoolKey, model.InstanceId],
    ) -> list[region.Command]:
        """Returns the read or the write of the row that is due, or an empty list.

        A write records ``members``, in addition to those that are recorded already, and ``owners``.
        """
        now = self._clock.monotonic()
        if self._deposed or self._pending_write is not None:
            return []
        if self._must_read_row:
            if now < self._last_read_s + READ_RETRY_S:
                return []
            self._last_read_s = now
            return [region.ReadRow()]
        row = self._next_row(members, owners)
        if now < self._last_write_s + self._interval_s(row):
            return []
        self._serial = row.serial
        self._last_write_s = now
        self._write_sent_s[row.serial] = now
        self._required_members |= {member.id for member in row.members} - {self._me.id}
        self._promised_until_s = None
        self._pending_write = region.WriteRow(row=row, if_version=self._version)
        return [self._pending_write]

    def on_write_ok(self, version: str) -> None:
        """Processes a write that took effect."""
        row = self._pending_write.row
        self._pending_write = None
        self._confirm_row(row, version)

    def on_write_conflict(self) -> None:
        """Processes a write whose version did not match."""
        self._pending_write = None
        self._must_read_row = True

    def on_write_unknown(self) -> None:
        """Processes a write that may or may not take effect, now or later."""
        self._pending_write = None
        self._must_read_row = True

    def on_row_read(
        self, row: region.RegionRow | None, version: str | None, *, started_s: float
    ) -> None:
        """Processes the region row that was read; a missing row is ignored.

        A read is also ignored if a write is pending or was sent after the read had started
        (``started_s``): the read may not show the result of that write.
        """
        if row is None or self._pending_write is not None or started_s < self._last_write_s:
            return
        self._invariants.check(
            invariants_lib.Rule.EPOCH_NEVER_DECREASES,
            row.epoch >= self._epoch,
            f"region row has epoch {row.epoch}, but this coordinator has epoch {self._epoch}",
        )
        if row.epoch != self._epoch or row.coordinator.id != self._me.id:
            self.depose()
            return
        self._confirm_row(row, version)

    def _confirm_row(self, row: region.RegionRow, version: str) -> None:
        """Processes the row that is in the table; the lease starts at the sending of its write."""
        self._version = version
        self._confirmed_row = row
        self._must_read_row = False
        self._recorded = {member.id: member for member in row.members}
        sent_s = self._write_sent_s.get(row.serial, -math.inf)
        self._table_until_s = max(self._table_until_s, sent_s + region.TABLE_LEASE_S)
        self._write_sent_s = {
            serial: write_sent_s
            for serial, write_sent_s in self._write_sent_s.items()
            if serial >= row.serial
        }

    def _next_row(
        self,
        members: Mapping[model.InstanceId, region.Instance],
        owners: Mapping[model.PoolKey, model.InstanceId],
    ) -> region.RegionRow:
        merged = {**self._recorded, **members}
        kept = [merged[member] for member in sorted(merged) if not self._members.is_gone(member)]
        return region.RegionRow(
            epoch=self._epoch,
            serial=self._serial + 1,
            coordinator=self._me,
            members=tuple(kept),
            owners=dict(sorted(owners.items())),
        )

    def _interval_s(self, row: region.RegionRow) -> float:
        changed = (
            row.members != self._confirmed_row.members or row.owners != self._confirmed_row.owners
        )
        return CHANGED_ROW_INTERVAL_S if changed else region.RENEW_S

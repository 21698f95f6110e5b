"""Shares of the caps of regions and links, as exchanged between members and the coordinator.

A heartbeat reports the member's demand for each cap, and the reply grants the next shares.
``RegionCaps`` is the coordinator's side, with a ``caps.CapDivider`` for every cap; ``HeldCaps`` is
the member's side.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from sassafrasway_core import caps, model
from sassafrasway_core import clock as clock_lib
from sassafrasway_core import invariants as invariants_lib

# Range of share sequences per epoch, so that shares of a higher epoch have higher sequences.
_SEQUENCES_PER_EPOCH = 2**32
# Represents holders that are not recorded in the table and so are unknown to a new coordinator.
# Their shares have no offline part.
_UNRECORDED_HOLDERS = model.InstanceId(name="", incarnation="")


def region_cap_name(region: str) -> str:
    """Returns the name of the cap on requests to a region's servers, requests/s."""
    return f"region/{region}"


def link_cap_name(source: str, target: str) -> str:
    """Returns the name of the cap on bytes from one region to another, Mbit/s."""
    return f"link/{source}/{target}"


def caps_of(policy: model.Policy, region: str) -> dict[str, float]:
    """Returns the limits of the caps that the coordinator of a region divides, by cap name.

    These are the cap of the region, if it has one, and the caps on bytes that leave the region over
    its links.
    """
    limits = {}
    region_policy = policy.regions.get(region)
    if region_policy is not None and region_policy.cap_rps is not None:
        limits[region_cap_name(region)] = region_policy.cap_rps
    for link in policy.links.values():
        if region in (link.source, link.target):
            other = link.target if link.source == region else link.source
            limits[link_cap_name(region, other)] = link.cap_mbit_s
    return limits


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CapReport:
    """A holder's demand for one cap and its current share.

    Attributes:
        demand: What the holder would use in one second if it could, refused requests included, in
            the unit of the cap.
        sequence: Sequence of the last share, or 0 when there is none.
        amount: Amount of that share, even if it has expired.
        offline: Part of that share that stays in force after it has expired.
        remaining_s: Time until that share expires; negative when it has expired.
    """

    name: str
    demand: float
    sequence: int = 0
    amount: float = 0.0
    offline: float = 0.0
    remaining_s: float = -1.0


class HeldCaps:
    """A member's shares of all caps."""

    def __init__(self, *, clock: clock_lib.Clock):
        self._clock = clock
        self._held: dict[str, caps.HeldShare] = {}

    def amount(self, name: str) -> float:
        """Returns the limit of a cap that is in force now; 0 without a share."""
        held = self._held.get(name)
        return 0.0 if held is None else held.amount()

    def reports(self, demand: Mapping[str, float]) -> tuple[CapReport, ...]:
        """Returns the cap reports of a heartbeat: all caps with demand or a share."""
        return tuple(self._report(name, demand) for name in sorted({*demand, *self._held}))

    def apply(self, shares: Mapping[str, caps.CapShare], *, sent_s: float) -> None:
        """Applies the shares in the reply to the heartbeat sent at ``sent_s``."""
        for name, share in shares.items():
            held = self._held.setdefault(name, caps.HeldShare(clock=self._clock))
            held.apply(share, sent_s=sent_s)

    def revoke(self) -> None:
        """Drops every share, because other instances may have been granted them."""
        self._held = {}

    def _report(self, name: str, demand: Mapping[str, float]) -> CapReport:
        held = self._held.get(name)
        if held is None:
            return CapReport(name=name, demand=demand.get(name, 0.0))
        return CapReport(
            name=name,
            demand=demand.get(name, 0.0),
            sequence=held.sequence,
            amount=held.share.amount,
            offline=held.share.offline,
            # The lower bound keeps the value finite when a share has never been granted.
            remaining_s=max(held.remaining_s(), -caps.SHARE_S),
        )


class RegionCaps:
    """Divides all caps of a region among its instances, for one epoch of the coordinator.

    Args:
        invariants: Checks that shares in force never add up to more than a cap; may raise
            ``errors.InvariantViolation``.
        holders: Recorded instances that may hold shares of an earlier coordinator; None when there
            was no earlier coordinator.
        holders_recorded: Whether only recorded instances can hold such shares.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        invariants: invariants_lib.Invariants,
        epoch: int,
        holders: Iterable[model.InstanceId] | None,
        holders_recorded: bool,
    ):
        self._clock = clock
        self._invariants = invariants
        self._first_sequence = epoch * _SEQUENCES_PER_EPOCH
        self._took_over = holders is not None
        self._unreported_holders = set(holders or ())
        if self._took_over and not holders_recorded:
            self._unreported_holders.add(_UNRECORDED_HOLDERS)
        self._unrecorded_shares_until_s = clock.monotonic() + caps.SHARE_S
        # When each holder's first heartbeat was received, and its reports by cap name.
        self._earlier_reports: dict[model.InstanceId, tuple[float, dict[str, CapReport]]] = {}
        self._dividers: dict[str, caps.CapDivider] = {}
        self._active_caps: frozenset[str] = frozenset()

    def set_caps(self, limits: Mapping[str, float]) -> None:
        """Sets the limits of the caps to divide, by cap name; other caps are not divided."""
        for name, limit in limits.items():
            divider = self._dividers.get(name)
            if divider is None:
                self._dividers[name] = self._new_divider(name, limit)
            else:
                divider.set_cap(limit)
        # The divider of a removed cap is kept: if the cap is set again, the divider still accounts
        # for the shares in force.
        self._active_caps = frozenset(limits)

    def record_reports(self, holder: model.InstanceId, reports: Iterable[CapReport]) -> None:
        """Records the shares of an earlier coordinator from a holder's first heartbeat."""
        if not self._took_over or holder in self._earlier_reports:
            return
        by_name = {report.name: report for report in reports}
        self._earlier_reports[holder] = (self._clock.monotonic(), by_name)
        self._unreported_holders.discard(holder)
        for name, divider in self._dividers.items():
            self._adopt_share(divider, holder, name)

    def renew(
        self, holder: model.InstanceId, reports: Iterable[CapReport], *, keeps_offline: bool
    ) -> dict[str, caps.CapShare]:
        """Returns the next share of each reported cap that is divided, by cap name.

        ``keeps_offline`` grants an offline part. It is False for an instance that is not recorded
        in the table, because a later coordinator could not account for its share.
        """
        if (
            _UNRECORDED_HOLDERS in self._unreported_holders
            and self._clock.monotonic() > self._unrecorded_shares_until_s
        ):
            self.remove(_UNRECORDED_HOLDERS)
        shares = {}
        for report in reports:
            if report.name not in self._active_caps:
                continue
            divider = self._dividers[report.name]
            share = divider.renew(holder, demand=report.demand, confirmed=report.sequence)
            if not keeps_offline:
                share = dataclasses.replace(share, offline=0.0)
            shares[report.name] = share
        return shares

    def is_met(self, name: str, holder: model.InstanceId, amount: float) -> bool:
        """Returns whether ``amount`` is close to the holder's target share of a cap."""
        divider = self._dividers.get(name)
        return divider is not None and divider.is_met(holder, amount)

    def remove(self, holder: model.InstanceId) -> None:
        """Drops a holder that is known to be gone and takes back its shares."""
        self._unreported_holders.discard(holder)
        self._earlier_reports.pop(holder, None)
        for divider in self._dividers.values():
            divider.remove(holder)

    def _new_divider(self, name: str, limit: float) -> caps.CapDivider:
        divider = caps.CapDivider(
            cap=limit,
            clock=self._clock,
            invariants=self._invariants,
            first_sequence=self._first_sequence,
        )
        if self._took_over:
            divider.take_over([*self._unreported_holders, *self._earlier_reports])
            for holder in self._earlier_reports:
                self._adopt_share(divider, holder, name)
        return divider

    def _adopt_share(self, divider: caps.CapDivider, holder: model.InstanceId, name: str) -> None:
        """Reserves the share in a holder's first heartbeat, or a share of 0 if it reported none."""
        reported_s, reports = self._earlier_reports[holder]
        report = reports.get(name) or CapReport(name=name, demand=0.0)
        elapsed_s = self._clock.monotonic() - reported_s
        share = caps.CapShare(
            sequence=report.sequence,
            amount=report.amount,
            offline=report.offline,
            valid_s=caps.SHARE_S,
        )
        divider.adopt_share(holder, share=share, remaining_s=report.remaining_s - elapsed_s)

"""Shares of region and link caps in the heartbeats between members and coordinator."""

import dataclasses
from collections.abc import Iterable, Mapping

from sassafrasway_core import caps, model
from sassafrasway_core import clock as clocks
from sassafrasway_core import invariants as checks

# A coordinator of a higher epoch gives out shares with higher sequences than all before it.
_SEQUENCES_PER_EPOCH = 2**32
# Stands for the holders that a new coordinator does not know; their shares have no offline part.
_UNRECORDED = model.InstanceId(name="", incarnation="")


def region_cap(region: str) -> str:
    """Returns the name of the cap on requests to a region's servers, requests/s."""
    return f"region/{region}"


def link_cap(source: str, target: str) -> str:
    """Returns the name of the cap on bytes from one region to another, Mbit/s."""
    return f"link/{source}/{target}"


def caps_of(policy: model.Policy, region: str) -> dict[str, float]:
    """Returns the caps that the coordinator of a region divides, by name."""
    found = {}
    own = policy.regions.get(region)
    if own is not None and own.cap_rps is not None:
        found[region_cap(region)] = own.cap_rps
    for link in policy.links.values():
        if region in (link.source, link.target):
            other = link.target if link.source == region else link.source
            found[link_cap(region, other)] = link.cap_mbit_s
    return found


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CapReport:
    """A holder's demand for one cap and the share that it has.

    Attributes:
        demand: What the holder would use, in the unit of the cap.
        sequence: Sequence of the share in force, 0 when there is none.
        amount: Amount of the last share, expired or not.
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

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._held: dict[str, caps.HeldShare] = {}

    def amount(self, name: str) -> float:
        """Returns the limit of a cap that is in force now; 0 without a share."""
        held = self._held.get(name)
        return 0.0 if held is None else held.amount()

    def reports(self, demand: Mapping[str, float]) -> tuple[CapReport, ...]:
        """Returns the reports of a heartbeat: caps with demand and caps with a share."""
        return tuple(self._report(name, demand) for name in sorted({*demand, *self._held}))

    def apply(self, shares: Mapping[str, caps.CapShare], *, sent_s: float) -> None:
        """Puts the shares of a reply in force; the heartbeat was sent at ``sent_s``."""
        for name, share in shares.items():
            held = self._held.setdefault(name, caps.HeldShare(clock=self._clock))
            held.apply(share, sent_s=sent_s)

    def revoke(self) -> None:
        """Gives up every share, because others may have been granted them."""
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
            # A share that was never given has no time of expiry.
            remaining_s=max(held.remaining_s(), -caps.SHARE_S),
        )


class CapBook:
    """A coordinator's division of all caps of its region for one epoch.

    Args:
        clock: Time source.
        invariants: Checks that shares in force never add up to more than a cap.
        epoch: Epoch of the coordinator.
        holders: Instances that may hold shares of an earlier coordinator; None when there was no
            earlier coordinator.
        complete: Whether nobody else can hold such a share.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        invariants: checks.Invariants,
        epoch: int,
        holders: Iterable[model.InstanceId] | None,
        complete: bool,
    ):
        self._clock = clock
        self._invariants = invariants
        self._first_sequence = epoch * _SEQUENCES_PER_EPOCH
        self._took_over = holders is not None
        self._unheard = set(holders or ())
        if self._took_over and not complete:
            self._unheard.add(_UNRECORDED)
        self._unrecorded_until_s = clock.monotonic() + caps.SHARE_S
        self._earlier: dict[model.InstanceId, tuple[float, dict[str, CapReport]]] = {}
        self._dividers: dict[str, caps.CapDivider] = {}
        self._divided: frozenset[str] = frozenset()

    def set_caps(self, limits: Mapping[str, float]) -> None:
        """Sets the caps to divide, by name."""
        for name, limit in limits.items():
            divider = self._dividers.get(name)
            if divider is None:
                self._dividers[name] = self._new_divider(name, limit)
            else:
                divider.set_cap(limit)
        # The divider of a removed cap stays: it knows the shares in force if the cap comes back.
        self._divided = frozenset(limits)

    def heard(self, holder: model.InstanceId, reports: Iterable[CapReport]) -> None:
        """Takes note of a holder's heartbeat; the first one tells of its earlier shares."""
        if not self._took_over or holder in self._earlier:
            return
        by_name = {report.name: report for report in reports}
        self._earlier[holder] = (self._clock.monotonic(), by_name)
        self._unheard.discard(holder)
        for name, divider in self._dividers.items():
            self._assume(divider, holder, name)

    def renew(
        self, holder: model.InstanceId, reports: Iterable[CapReport], *, keeps_offline: bool
    ) -> dict[str, caps.CapShare]:
        """Returns the next share of each reported cap.

        Args:
            holder: Sender of the heartbeat.
            reports: Its reports.
            keeps_offline: Whether the holder may use the offline part after a share has expired;
                False for one that a later coordinator would not know of.
        """
        if _UNRECORDED in self._unheard and self._clock.monotonic() > self._unrecorded_until_s:
            self.remove(_UNRECORDED)
        shares = {}
        for report in reports:
            if report.name not in self._divided:
                continue
            divider = self._dividers[report.name]
            share = divider.renew(holder, demand=report.demand, confirmed=report.sequence)
            if not keeps_offline:
                share = dataclasses.replace(share, offline=0.0)
            shares[report.name] = share
        return shares

    def is_met(self, name: str, holder: model.InstanceId, amount: float) -> bool:
        """Returns whether a share of ``amount`` is about what the holder is to have of a cap."""
        divider = self._dividers.get(name)
        return divider is not None and divider.is_met(holder, amount)

    def remove(self, holder: model.InstanceId) -> None:
        """Takes back everything from a holder that is known to be gone."""
        self._unheard.discard(holder)
        self._earlier.pop(holder, None)
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
            divider.take_over([*self._unheard, *self._earlier])
            for holder in self._earlier:
                self._assume(divider, holder, name)
        return divider

    def _assume(self, divider: caps.CapDivider, holder: model.InstanceId, name: str) -> None:
        heard_s, reports = self._earlier[holder]
        report = reports.get(name) or CapReport(name=name, demand=0.0)
        elapsed_s = self._clock.monotonic() - heard_s
        share = caps.CapShare(
            sequence=report.sequence,
            amount=report.amount,
            offline=report.offline,
            valid_s=caps.SHARE_S,
        )
        divider.assume(holder, share=share, remaining_s=report.remaining_s - elapsed_s)

"""Division of the cap of a region or a link into shares of the instances that use it.

A cap limits what all instances together use in any second, but each instance admits requests alone.
The coordinator therefore divides the cap by demand into shares, and each instance, the holder of
its share, stays within that (``window.SlidingWindow``). ``cap_reserve`` states how long a share
that was reduced or has expired stays reserved for its holder.
"""

import dataclasses
import math
from collections.abc import Hashable, Iterable

from sassafrasway_core import cap_reserve, invariants, window
from sassafrasway_core import clock as clock_lib

# Validity of a share.
SHARE_S = 2.0
# Part of a share, and of the cap, that stays in force when shares expire without a new one, so that
# an instance that cannot reach the coordinator still admits some requests.
OFFLINE_FRACTION = 1 / 3

# Part of the cap that is divided evenly, so that an idle holder can admit its first requests.
EVEN_FRACTION = 0.05

# A heartbeat lowers a recorded demand to no less than this fraction of it, unless the new demand is
# 0. Demand measured over one heartbeat interval varies, and what is taken from a share is unusable
# for about a second.
DEMAND_DECAY = 0.8

# A share of at least this fraction of its target counts as met, because the target changes with
# every demand.
MET_FRACTION = 0.8

# Interval of recomputations of ``_Level`` from all demands. It keeps the cost of a heartbeat
# constant. A new or removed holder and a changed cap do not wait for it.
LEVEL_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CapShare:
    """A holder's share of a cap, in the unit of the cap.

    Attributes:
        sequence: A share replaces those with a lower sequence.
        amount: Limit in any one-second window while the share is valid.
        offline: Limit after the share has expired, until the holder has a new one.
        valid_s: Seconds after the sending of the holder's heartbeat at which the share expires.
    """

    sequence: int
    amount: float
    offline: float
    valid_s: float


class HeldShare:
    """A holder's share of a cap and the limit that is in force by the holder's own clock.

    The holder sets the limit of its ``SlidingWindow`` to ``amount()`` before each take.
    """

    def __init__(self, *, clock: clock_lib.Clock):
        self._clock = clock
        self._share = CapShare(sequence=0, amount=0.0, offline=0.0, valid_s=0.0)
        self._expires_s = -math.inf

    @property
    def sequence(self) -> int:
        """Sequence of the last share, which the next heartbeat confirms."""
        return self._share.sequence

    @property
    def share(self) -> CapShare:
        """The last share, even if it has expired."""
        return self._share

    def remaining_s(self) -> float:
        """Returns the seconds until the share expires, negative when it has expired."""
        return self._expires_s - self._clock.monotonic()

    def amount(self) -> float:
        """Returns the limit in force now."""
        if self.remaining_s() > 0:
            return self._share.amount
        return self._share.offline

    def apply(self, share: CapShare, *, sent_s: float) -> bool:
        """Applies a share from the reply to the heartbeat sent at ``sent_s``.

        Returns False when this or a later share was applied before.
        """
        if share.sequence <= self._share.sequence:
            return False
        self._share = share
        self._expires_s = sent_s + share.valid_s
        return True


@dataclasses.dataclass(slots=True)
class _Demand:
    """Recorded demand of a holder; ``DEMAND_DECAY`` limits how fast it falls."""

    amount: float
    reported_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Level:
    """Result of the last division: how much a holder with a given demand should have.

    Attributes:
        demand_limit: Demands are met up to this amount; infinite when all are met in full.
        even_extra: Amount that each holder gets in addition, whatever its demand.
        at_s: When the level was computed.
    """

    demand_limit: float
    even_extra: float
    at_s: float

    def target(self, demand: float) -> float:
        return min(demand, self.demand_limit) + self.even_extra


class CapDivider:
    """Divides a cap by demand so that the holders together never exceed it in any second.

    The division is max-min fair: small demands are met in full, and the large ones share the rest
    evenly. What no holder demands is divided evenly among all of them.

    The offline part is a third of a share, or less where the offline parts of all holders would add
    up to more than a third of the cap: while silent holders keep their offline parts, the holders
    that replace them get none.

    Args:
        cap: Limit for the sum over all holders in one second.
        invariants: Checks that shares in force never add up to more than the cap; may raise
            ``errors.InvariantViolation``.
        offline_fraction: Part of a share, and of the cap, that stays in force after expiry.
        first_sequence: Sequence of the first share; it must be higher than all sequences of an
            earlier coordinator.
    """

    def __init__(
        self,
        *,
        cap: float,
        clock: clock_lib.Clock,
        invariants: invariants.Invariants,
        share_s: float = SHARE_S,
        offline_fraction: float = OFFLINE_FRACTION,
        first_sequence: int = 1,
    ):
        self._cap = cap
        self._clock = clock
        self._invariants = invariants
        self._share_s = share_s
        self._offline_fraction = offline_fraction
        self._first_sequence = first_sequence
        self._last_sequence = first_sequence - 1
        self._demands: dict[Hashable, _Demand] = {}
        self._reservations = cap_reserve.Reservations()
        self._unknown_holders: set[Hashable] = set()
        self._earlier_shares_end_s = -math.inf
        self._level = _Level(demand_limit=0.0, even_extra=0.0, at_s=-math.inf)

    @property
    def cap(self) -> float:
        """Limit for the sum over all holders in one second."""
        return self._cap

    def reserved(self) -> float:
        """Returns the most that all holders together may use or have used in the last window."""
        self._reservations.expire(self._clock.monotonic())
        return self._reservations.total

    def reserved_by(self, holder: Hashable) -> float:
        """Returns the most that one holder may use or has used in the last window."""
        self._reservations.expire(self._clock.monotonic())
        return self._reservations.of(holder)

    def set_cap(self, cap: float) -> None:
        """Changes the cap.

        A lower cap is in force only when every holder has confirmed a smaller share or its larger
        share has expired.
        """
        self._cap = cap
        self._level = dataclasses.replace(self._level, at_s=-math.inf)

    def renew(
        self, holder: Hashable, *, demand: float, confirmed: int, sequence: int | None = None
    ) -> CapShare:
        """Returns the next share of a holder, for the reply to its heartbeat.

        The caller must not pass removed holders, because their shares would stay reserved.

        Args:
            holder: Identifies the holder; must differ after a restart of the holder.
            demand: What the holder would use in one second if it could, refused requests included.
            confirmed: Sequence of the last share that the holder applied, even if it has expired.
            sequence: Sequence of the new share; by default the next number.

        Raises:
            ValueError: The sequence is not higher than those of all earlier shares.
        """
        now_s = self._clock.monotonic()
        self._reservations.expire(now_s)
        self._confirm(holder, confirmed, now_s)
        target = self._target_amount(holder, demand, now_s)
        reserved_before = self._reservations.of(holder)
        unreserved = self._cap - (self._reservations.total - reserved_before)
        amount = max(0.0, min(target, max(unreserved, reserved_before)))
        share = self._next_share(amount, self._offline_part(holder, amount), sequence)
        self._reserve(holder, share, now_s + self._share_s, now_s)
        self._check_cap(holder, reserved_before)
        return share

    def is_met(self, holder: Hashable, amount: float) -> bool:
        """Returns whether ``amount`` is close to the target for the holder's last demand.

        Returns False for a holder without a recent demand.
        """
        record = self._demands.get(holder)
        return record is not None and amount >= MET_FRACTION * self._level.target(record.amount)

    def remove(self, holder: Hashable) -> None:
        """Drops a holder that is known to be gone and takes back its shares."""
        now_s = self._clock.monotonic()
        self._demands.pop(holder, None)
        self._reservations.remove(holder, now_s=now_s)
        self._level = dataclasses.replace(self._level, at_s=-math.inf)
        self._discard_unknown(holder, now_s)

    def take_over(self, holders: Iterable[Hashable]) -> None:
        """Reserves the shares of an earlier coordinator, which must hand out no more shares.

        ``holders`` are all that may have such a share. They may have the whole cap in force until
        their shares expire, and the offline part of the cap until each of them was passed to
        ``adopt_share``, has confirmed a new share or was removed. Until then, holders keep what
        they have, and none gets more. Without any holders, the whole cap stays reserved for one
        window, because it is unknown what was admitted under shares that ended just before.
        """
        now_s = self._clock.monotonic()
        self._earlier_shares_end_s = now_s + self._share_s
        self._unknown_holders = set(holders)
        whole_cap = CapShare(
            sequence=self._first_sequence - 1,
            amount=self._cap,
            offline=self._cap * self._offline_fraction,
            valid_s=self._share_s,
        )
        self._reserve(_UNKNOWN_HOLDERS, whole_cap, self._earlier_shares_end_s, now_s)
        if not self._unknown_holders:
            self._reservations.remove(_UNKNOWN_HOLDERS, now_s=now_s)

    def adopt_share(self, holder: Hashable, *, share: CapShare, remaining_s: float) -> None:
        """Reserves the share of the earlier coordinator that a holder reports.

        The report was requested after ``take_over``, and the holder accepts no more shares of the
        earlier coordinator. Of a share that expired more than one window ago, only the offline part
        is reserved: the earlier coordinator may have given the rest to others. ``remaining_s`` is
        the reported time until ``share`` expires, negative after that.
        """
        now_s = self._clock.monotonic()
        # A report that was delayed on the network must not revive a share that has expired since.
        expires_s = min(now_s + remaining_s, self._earlier_shares_end_s)
        earlier = dataclasses.replace(share, sequence=self._first_sequence - 1)
        self._reserve(holder, earlier, expires_s, now_s)
        self._discard_unknown(holder, now_s)

    def _reserve(self, holder: Hashable, share: CapShare, expires_s: float, now_s: float) -> None:
        self._reservations.add(
            holder,
            sequence=share.sequence,
            amount=share.amount,
            offline=share.offline,
            expires_s=expires_s,
            now_s=now_s,
        )

    def _offline_part(self, holder: Hashable, amount: float) -> float:
        """Returns the offline part of a new share, as large as the other offline parts allow."""
        offline_before = self._reservations.offline_of(holder)
        others = self._reservations.offline - offline_before
        unreserved = self._cap * self._offline_fraction - others
        return max(0.0, min(amount * self._offline_fraction, max(unreserved, offline_before)))

    def _confirm(self, holder: Hashable, confirmed: int, now_s: float) -> None:
        self._reservations.confirm(holder, confirmed, now_s=now_s)
        if confirmed >= self._first_sequence:
            self._discard_unknown(holder, now_s)

    def _discard_unknown(self, holder: Hashable, now_s: float) -> None:
        """Marks a holder's share of the earlier coordinator as known or ended.

        When no share of that coordinator is unknown any more, the reservation for them ends.
        """
        if holder in self._unknown_holders:
            self._unknown_holders.remove(holder)
            if not self._unknown_holders:
                self._reservations.remove(_UNKNOWN_HOLDERS, now_s=now_s)

    def _next_share(self, amount: float, offline: float, sequence: int | None) -> CapShare:
        if sequence is None:
            sequence = self._last_sequence + 1
        if sequence <= self._last_sequence:
            raise ValueError(f"sequence is {sequence}, expected more than {self._last_sequence}")
        self._last_sequence = sequence
        return CapShare(
            sequence=sequence,
            amount=amount,
            offline=offline,
            valid_s=self._share_s,
        )

    def _target_amount(self, holder: Hashable, demand: float, now_s: float) -> float:
        """Records the demand and returns the amount that the holder should have."""
        record = self._demands.get(holder)
        if record is None:
            record = self._demands[holder] = _Demand(demand, now_s)
            self._update_level(now_s)
        # A demand of 0 takes effect immediately: the pools of the holder were reassigned.
        record.amount = max(demand, record.amount * DEMAND_DECAY) if demand > 0 else 0.0
        record.reported_s = now_s
        if now_s - self._level.at_s >= LEVEL_INTERVAL_S:
            self._update_level(now_s)
        return self._level.target(record.amount)

    def _update_level(self, now_s: float) -> None:
        """Drops the demands that are no longer recent and recomputes the level from the others."""
        demand_max_age_s = self._share_s + window.WINDOW_S
        for holder, record in list(self._demands.items()):
            if now_s - record.reported_s > demand_max_age_s:
                del self._demands[holder]
        self._reservations.recompute_totals()
        divisible = max(0.0, self._cap - self._kept_by_silent_holders())
        even = divisible * EVEN_FRACTION
        demands = sorted(record.amount for record in self._demands.values())
        demand_limit, left_over = _divide_fairly(demands, divisible - even)
        self._level = _Level(
            demand_limit=demand_limit, even_extra=(left_over + even) / len(demands), at_s=now_s
        )

    def _kept_by_silent_holders(self) -> float:
        """Returns what is reserved for holders that have not reported a demand recently."""
        demanding = math.fsum(self._reservations.of(holder) for holder in self._demands)
        unknown = self._reservations.of(_UNKNOWN_HOLDERS)
        # Of the unknown shares, only the offline part is counted: the rest expires soon, so no
        # holder's share is reduced for it.
        offline = min(unknown, self._cap * self._offline_fraction)
        return self._reservations.total - unknown - demanding + offline

    def _check_cap(self, holder: Hashable, reserved_before: float) -> None:
        total = self._reservations.total
        grown = self._reservations.of(holder) > reserved_before
        if grown and total > self._cap * (1 + _ROUNDING_TOLERANCE):
            detail = f"shares add up to {total}, cap is {self._cap}"
            self._invariants.check(invariants.Rule.CAP_NOT_EXCEEDED, False, detail)


# Relative error allowed for sums of shares.
_ROUNDING_TOLERANCE = 1e-9

# Represents all holders whose shares are unknown to a new coordinator.
_UNKNOWN_HOLDERS = object()


def _divide_fairly(demands: list[float], amount: float) -> tuple[float, float]:
    """Divides ``amount`` max-min fairly among the demands, which are in ascending order.

    Returns the level up to which each demand is met, and the amount that is left over.
    """
    for met_count, demand in enumerate(demands):
        even_part = amount / (len(demands) - met_count)
        if demand > even_part:
            return even_part, 0.0
        amount -= demand
    return math.inf, amount

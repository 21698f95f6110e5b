"""Division of one region or link cap into shares of the instances that use it."""

import dataclasses
import math
from collections.abc import Hashable, Iterable

from sassafrasway_core import cap_reserve, invariants, window
from sassafrasway_core import clock as clock_lib

SHARE_S = 2.0
OFFLINE_FRACTION = 1 / 3

# Part of the cap that is divided evenly, so that a quiet holder can admit its first requests.
EVEN_FRACTION = 0.05

# A demand falls by at most this factor per heartbeat, because a reduced share is of no use to
# anyone for about a second, and demand measured over one heartbeat varies.
DEMAND_DECAY = 0.8

# Fraction of its target from which on a share counts as given: targets move with every demand.
MET_FRACTION = 0.8

# Interval at which all demands are weighed anew; it keeps the cost of a heartbeat constant.
LEVEL_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CapShare:
    """A holder's share of a cap, in the unit of the cap.

    Attributes:
        sequence: Shares with a higher sequence replace those with a lower one.
        offline: Part that the holder may use after the share has expired, until it has another.
        valid_s: Seconds after the sending of the holder's heartbeat at which the share expires.
    """

    sequence: int
    amount: float
    offline: float
    valid_s: float


class HeldShare:
    """A holder's side of a cap: the limit in force by its own clock.

    The holder sets its ``SlidingWindow`` to ``amount()`` before it takes from it.
    """

    def __init__(self, *, clock: clock_lib.Clock):
        self._clock = clock
        self._share = CapShare(sequence=0, amount=0.0, offline=0.0, valid_s=0.0)
        self._expires_s = -math.inf

    @property
    def sequence(self) -> int:
        """Sequence of the share in force, which the next heartbeat confirms."""
        return self._share.sequence

    @property
    def share(self) -> CapShare:
        """The last share, expired or not."""
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
        """Puts a share in force that answers the heartbeat sent at ``sent_s``.

        Returns:
            False when a later share is already in force.
        """
        if share.sequence <= self._share.sequence:
            return False
        self._share = share
        self._expires_s = sent_s + share.valid_s
        return True


@dataclasses.dataclass(slots=True)
class _Demand:
    amount: float
    seen_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Level:
    """Result of weighing all demands: each gets up to ``most`` of its demand plus ``extra``."""

    most: float
    extra: float
    at_s: float

    def target(self, demand: float) -> float:
        return min(demand, self.most) + self.extra


class CapDivider:
    """Divides a cap by demand so that the holders together never exceed it in any second.

    Small demands are met in full; the large ones share the rest evenly, and so is what nobody
    demands. A part that is taken from a holder is given to others one second after the holder
    confirmed its smaller share, or after the larger one has expired. Of an expired share, the
    offline part stays reserved until the holder is removed. It is a third of the share, and less
    where the offline parts of all holders would add up to more than a third of the cap: while
    lost holders have theirs, their successors get none.

    Args:
        cap: Highest sum of all holders in one second.
        clock: Time source.
        invariants: Checks that shares in force never add up to more than the cap.
        share_s: Seconds for which a share is valid.
        offline_fraction: Part of a share, and of the cap, that stays in force after expiry.
        first_sequence: Sequence of the first share; it must be higher than all sequences that an
            earlier coordinator gave out.
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
        self._unknown: set[Hashable] = set()
        self._earlier_end_s = -math.inf
        self._level = _Level(most=0.0, extra=0.0, at_s=-math.inf)

    @property
    def cap(self) -> float:
        """Highest sum of all holders in one second."""
        return self._cap

    def reserved(self) -> float:
        """Returns the most that all holders together may use or have used in the last second."""
        self._reservations.expire(self._clock.monotonic())
        return self._reservations.total

    def reserved_by(self, holder: Hashable) -> float:
        """Returns the most that one holder may use or has used in the last second."""
        self._reservations.expire(self._clock.monotonic())
        return self._reservations.of(holder)

    def set_cap(self, cap: float) -> None:
        """Changes the cap; a lower one is in force when all holders have confirmed or expired."""
        self._cap = cap
        self._level = dataclasses.replace(self._level, at_s=-math.inf)

    def renew(
        self, holder: Hashable, *, demand: float, confirmed: int, sequence: int | None = None
    ) -> CapShare:
        """Answers a holder's heartbeat with its next share.

        Heartbeats of holders that were removed must not get here: a share given to one of them
        stays reserved.

        Args:
            holder: Name of the holder, another one after a restart.
            demand: What the holder would use in one second if it could, refused requests included.
            confirmed: Sequence of the share that the holder has in force.
            sequence: Sequence of the new share if the caller numbers its replies itself.
        """
        now_s = self._clock.monotonic()
        self._reservations.expire(now_s)
        self._confirm(holder, confirmed, now_s)
        wanted = self._weigh(holder, demand, now_s)
        before = self._reservations.of(holder)
        unreserved = self._cap - (self._reservations.total - before)
        amount = max(0.0, min(wanted, max(unreserved, before)))
        share = self._next_share(amount, self._offline_part(holder, amount), sequence)
        self._add(holder, share, now_s + self._share_s, now_s)
        self._check(holder, before)
        return share

    def is_met(self, holder: Hashable, amount: float) -> bool:
        """Returns whether ``amount`` is about what the holder's last demand entitles it to."""
        record = self._demands.get(holder)
        return record is not None and amount >= MET_FRACTION * self._level.target(record.amount)

    def remove(self, holder: Hashable) -> None:
        """Takes back everything from a holder that is known gone."""
        now_s = self._clock.monotonic()
        self._demands.pop(holder, None)
        self._reservations.remove(holder, now_s=now_s)
        self._level = dataclasses.replace(self._level, at_s=-math.inf)
        self._forget_unknown(holder, now_s)

    def take_over(self, holders: Iterable[Hashable]) -> None:
        """Starts after an earlier coordinator, which must give out no more shares.

        Its holders may have the whole cap in force until their shares have expired, and the
        offline part of it until each of them was passed to ``assume``, has confirmed a new share
        or was removed. Until then, holders keep what they have, and nobody gets more. Even
        without holders this is so for one second, because what was admitted under shares that
        ended just before is not known.

        Args:
            holders: All holders that may have a share of the earlier coordinator.
        """
        now_s = self._clock.monotonic()
        self._earlier_end_s = now_s + self._share_s
        self._unknown = set(holders)
        everything = CapShare(
            sequence=self._first_sequence - 1,
            amount=self._cap,
            offline=self._cap * self._offline_fraction,
            valid_s=self._share_s,
        )
        self._add(_UNKNOWN, everything, self._earlier_end_s, now_s)
        if not self._unknown:
            self._reservations.remove(_UNKNOWN, now_s=now_s)

    def assume(self, holder: Hashable, *, share: CapShare, remaining_s: float) -> None:
        """Counts the share of the earlier coordinator that a holder reports.

        The holder was asked after ``take_over`` and accepts no more shares of the earlier
        coordinator. A share that had ended more than a second before counts with its offline
        part only: the earlier coordinator may have given the rest to others.

        Args:
            holder: Name of the holder.
            share: Its last share, also when that has expired.
            remaining_s: Seconds until that share expires, as the holder stated them; negative
                when it has expired.
        """
        now_s = self._clock.monotonic()
        # A report that was under way for long must not revive a share that has ended since.
        expires_s = min(now_s + remaining_s, self._earlier_end_s)
        earlier = dataclasses.replace(share, sequence=self._first_sequence - 1)
        self._add(holder, earlier, expires_s, now_s)
        self._forget_unknown(holder, now_s)

    def _add(self, holder: Hashable, share: CapShare, expires_s: float, now_s: float) -> None:
        self._reservations.add(
            holder,
            sequence=share.sequence,
            amount=share.amount,
            offline=share.offline,
            expires_s=expires_s,
            now_s=now_s,
        )

    def _offline_part(self, holder: Hashable, amount: float) -> float:
        before = self._reservations.offline_of(holder)
        others = self._reservations.offline - before
        unreserved = self._cap * self._offline_fraction - others
        return max(0.0, min(amount * self._offline_fraction, max(unreserved, before)))

    def _confirm(self, holder: Hashable, confirmed: int, now_s: float) -> None:
        self._reservations.confirm(holder, confirmed, now_s=now_s)
        if confirmed >= self._first_sequence:
            self._forget_unknown(holder, now_s)

    def _forget_unknown(self, holder: Hashable, now_s: float) -> None:
        if holder in self._unknown:
            self._unknown.remove(holder)
            if not self._unknown:
                self._reservations.remove(_UNKNOWN, now_s=now_s)

    def _next_share(self, amount: float, offline: float, sequence: int | None) -> CapShare:
        if sequence is None:
            sequence = self._last_sequence + 1
        if sequence <= self._last_sequence:
            raise ValueError(f"sequence {sequence} is not above {self._last_sequence}")
        self._last_sequence = sequence
        return CapShare(
            sequence=sequence,
            amount=amount,
            offline=offline,
            valid_s=self._share_s,
        )

    def _weigh(self, holder: Hashable, demand: float, now_s: float) -> float:
        """Returns the amount that the holder should have."""
        record = self._demands.get(holder)
        if record is None:
            record = self._demands[holder] = _Demand(demand, now_s)
            self._update_level(now_s)
        # No demand at all means that the holder's pools have moved to another one.
        record.amount = max(demand, record.amount * DEMAND_DECAY) if demand > 0 else 0.0
        record.seen_s = now_s
        if now_s - self._level.at_s >= LEVEL_INTERVAL_S:
            self._update_level(now_s)
        return self._level.target(record.amount)

    def _update_level(self, now_s: float) -> None:
        lost_s = self._share_s + window.WINDOW_S
        for holder, record in list(self._demands.items()):
            if now_s - record.seen_s > lost_s:
                del self._demands[holder]
        self._reservations.sum_up()
        divisible = max(0.0, self._cap - self._kept_by_silent_holders())
        even = divisible * EVEN_FRACTION
        demands = sorted(record.amount for record in self._demands.values())
        most, rest = _fill(demands, divisible - even)
        self._level = _Level(most=most, extra=(rest + even) / len(demands), at_s=now_s)

    def _kept_by_silent_holders(self) -> float:
        known = math.fsum(self._reservations.of(holder) for holder in self._demands)
        unknown = self._reservations.of(_UNKNOWN)
        # All of the unknown part but the offline part ends soon, so nobody is reduced for it.
        offline = min(unknown, self._cap * self._offline_fraction)
        return self._reservations.total - unknown - known + offline

    def _check(self, holder: Hashable, before: float) -> None:
        total = self._reservations.total
        grown = self._reservations.of(holder) > before
        if grown and total > self._cap * (1 + _ROUNDING):
            detail = f"shares add up to {total}, cap is {self._cap}"
            self._invariants.check(invariants.Rule.CAP_NOT_EXCEEDED, False, detail)


# Relative error allowed for sums of shares.
_ROUNDING = 1e-9

# Stands for all holders whose shares a new coordinator does not know.
_UNKNOWN = object()


def _fill(demands: list[float], amount: float) -> tuple[float, float]:
    """Returns how much each of the sorted demands gets at most, and what is left over."""
    for met, demand in enumerate(demands):
        even = amount / (len(demands) - met)
        if demand > even:
            return even, 0.0
        amount -= demand
    return math.inf, amount

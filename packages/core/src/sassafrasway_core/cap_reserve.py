"""Upper bound of the use of one cap in the last window, from the shares granted to its holders.

``caps.CapDivider`` grants to others only what is not reserved here.
"""

import dataclasses
import heapq
import itertools
import math
from collections.abc import Hashable

from sassafrasway_core import window


@dataclasses.dataclass(slots=True)
class _GrantedShare:
    """A share that a holder may have in force.

    Attributes:
        ends_s: Until when the full amount counts: one window after it expired or was replaced.
        offline: Part of the amount that stays in force after the share has expired.
        offline_ends_s: Until when the offline part counts; infinite until a later share is
            confirmed or the holder is gone.
    """

    sequence: int
    amount: float
    ends_s: float
    offline: float
    offline_ends_s: float = math.inf

    def reserved(self, now_s: float) -> float:
        if now_s <= self.ends_s:
            return self.amount
        return self.reserved_offline(now_s)

    def reserved_offline(self, now_s: float) -> float:
        return self.offline if now_s <= self.offline_ends_s else 0.0

    def retire(self, ends_s: float) -> None:
        self.ends_s = min(self.ends_s, ends_s)
        self.offline_ends_s = min(self.offline_ends_s, ends_s)

    def next_end_s(self, now_s: float) -> float:
        return self.ends_s if now_s <= self.ends_s else self.offline_ends_s

    def covers(self, older: "_GrantedShare") -> bool:
        """Returns whether this later share counts at least as much and as long as ``older``."""
        return (
            older.sequence < self.sequence
            and older.amount <= self.amount
            and older.offline <= self.offline
            and older.ends_s <= self.ends_s
        )


class _Holder:
    """Shares of one holder. Any of them may be in force, so the largest one counts.

    Attributes:
        reserved: Amount that counts for the holder as of the last ``refresh``.
        offline: Offline part that counts for the holder as of the last ``refresh``.
        check_s: Time of the next scheduled ``refresh``; infinite when none is scheduled.
    """

    __slots__ = ("_newest_sequence", "_shares", "check_s", "offline", "reserved")

    def __init__(self):
        self._shares: list[_GrantedShare] = []
        self._newest_sequence = 0
        self.reserved = 0.0
        self.offline = 0.0
        self.check_s = math.inf

    def add(self, share: _GrantedShare) -> None:
        self._shares = [older for older in self._shares if not share.covers(older)]
        self._shares.append(share)
        self._newest_sequence = max(self._newest_sequence, share.sequence)

    def retire_before(self, sequence: int, ends_s: float) -> None:
        # The newest share is kept even if a higher sequence is confirmed.
        for share in self._shares:
            if share.sequence < min(sequence, self._newest_sequence):
                share.retire(ends_s)

    def retire_all(self, ends_s: float) -> None:
        for share in self._shares:
            share.retire(ends_s)

    def next_end_s(self, now_s: float) -> float:
        return min((share.next_end_s(now_s) for share in self._shares), default=math.inf)

    def refresh(self, now_s: float) -> None:
        self._shares = [share for share in self._shares if share.reserved(now_s) > 0]
        self._merge_expired(now_s)
        self.reserved = max((share.reserved(now_s) for share in self._shares), default=0.0)
        self.offline = max((share.reserved_offline(now_s) for share in self._shares), default=0.0)

    def _merge_expired(self, now_s: float) -> None:
        """Merges expired shares, to bound memory while a holder confirms nothing."""
        expired = [
            share
            for share in self._shares
            if now_s > share.ends_s and math.isinf(share.offline_ends_s)
        ]
        if len(expired) < 2:
            return
        merged = max(expired, key=lambda share: share.offline)
        # With the highest sequence, only the confirmation of a later share ends the merged share.
        merged.sequence = max(share.sequence for share in expired)
        self._shares = [share for share in self._shares if share is merged or share not in expired]


class Reservations:
    """Sums up what each holder may have in force or has used in the last window.

    A share counts for ``window.WINDOW_S`` after it expired or the holder confirmed a later one,
    because what was admitted under it is still in the holder's current window. The offline part of
    an expired share counts until the holder is gone or confirms a later share. ``expire`` brings
    all results up to date.
    """

    def __init__(self):
        self._holders: dict[Hashable, _Holder] = {}
        self._total = 0.0
        self._offline = 0.0
        # Heap of the times at which the reservation of a holder may decrease. An entry is obsolete
        # when its time differs from the holder's ``check_s``.
        self._check_times: list[tuple[float, int, Hashable]] = []
        # Makes entries with equal times comparable, because holders may not be.
        self._order = itertools.count()

    @property
    def total(self) -> float:
        """Sum over all holders."""
        return self._total

    @property
    def offline(self) -> float:
        """Sum of the offline parts over all holders."""
        return self._offline

    def of(self, holder: Hashable) -> float:
        """Returns the reservation of one holder."""
        record = self._holders.get(holder)
        return record.reserved if record else 0.0

    def offline_of(self, holder: Hashable) -> float:
        """Returns the offline part of one holder."""
        record = self._holders.get(holder)
        return record.offline if record else 0.0

    def expire(self, now_s: float) -> None:
        """Removes what no longer counts at ``now_s``."""
        while self._check_times and self._check_times[0][0] < now_s:
            check_s, _, holder = heapq.heappop(self._check_times)
            record = self._holders.get(holder)
            if record is not None and record.check_s == check_s:
                record.check_s = math.inf
                self._refresh(holder, record, now_s)

    def add(
        self,
        holder: Hashable,
        *,
        sequence: int,
        amount: float,
        offline: float,
        expires_s: float,
        now_s: float,
    ) -> None:
        """Adds a share that the holder may have in force until ``expires_s`` or a later share."""
        share = _GrantedShare(
            sequence=sequence,
            amount=amount,
            ends_s=expires_s + window.WINDOW_S,
            offline=offline,
        )
        record = self._holders.get(holder)
        if record is None:
            record = self._holders[holder] = _Holder()
        record.add(share)
        self._refresh(holder, record, now_s)

    def confirm(self, holder: Hashable, sequence: int, *, now_s: float) -> None:
        """Ends the shares before ``sequence``, which the holder has confirmed as applied."""
        record = self._holders.get(holder)
        if record is not None:
            record.retire_before(sequence, now_s + window.WINDOW_S)
            self._schedule(holder, record, now_s)

    def remove(self, holder: Hashable, *, now_s: float) -> None:
        """Ends all shares of a holder that is gone."""
        record = self._holders.get(holder)
        if record is not None:
            record.retire_all(now_s + window.WINDOW_S)
            self._schedule(holder, record, now_s)

    def recompute_totals(self) -> None:
        """Recomputes the sums, so that rounding errors do not accumulate."""
        self._total = math.fsum(record.reserved for record in self._holders.values())
        self._offline = math.fsum(record.offline for record in self._holders.values())

    def _schedule(self, holder: Hashable, record: _Holder, now_s: float) -> None:
        next_s = record.next_end_s(now_s)
        if next_s < record.check_s:
            record.check_s = next_s
            heapq.heappush(self._check_times, (next_s, next(self._order), holder))

    def _refresh(self, holder: Hashable, record: _Holder, now_s: float) -> None:
        reserved_before, offline_before = record.reserved, record.offline
        record.refresh(now_s)
        self._total += record.reserved - reserved_before
        self._offline += record.offline - offline_before
        if record.reserved:
            self._schedule(holder, record, now_s)
        else:
            del self._holders[holder]

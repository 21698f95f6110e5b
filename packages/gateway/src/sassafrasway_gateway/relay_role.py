"""Selects the instances of a region that read the platform's store and relay rows to the others.

Calls to the store are limited and billed for the whole fleet. All instances of a region are
ranked by a hash of their names. The first ones of the ranking, the readers, read the store. They
announce the table versions that they have, and the other instances fetch new rows from them over
HTTP. When the announcements stop, every other instance takes over within `TAKEOVER_WINDOW_S`,
whatever its rank and however many instances were lost, unless it hears of another one that reads
or of enough live ones that the store does not answer.
"""

import asyncio
import collections
import dataclasses
import functools
import hashlib
import math
import random
from collections.abc import Collection

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import fleet

READERS_PER_REGION = 2
# Interval of the announcements of table versions, which are sent as beacons.
BEACON_INTERVAL_S = 0.25
# Older announcements from this region are ignored.
BEACON_LIFETIME_S = 0.8
# Time within which all instances that hear of no reader take over, from the expiry of the last
# announcement.
TAKEOVER_WINDOW_S = 0.5
# Longest time that the store holds a poll open, and the margin after which its connection is
# considered stalled.
POLL_WAIT_S = 4.0
POLL_MARGIN_S = 1.5
# The same for a fleet with a single region. No other region can report newer versions there, so if
# the connections of all readers stall, only the timeout of their polls reveals it.
SINGLE_REGION_POLL_WAIT_S = 0.6
SINGLE_REGION_POLL_MARGIN_S = 0.8
# When the store answers none of this many live instances, it is probably unavailable, and the
# others stop trying.
MAX_UNANSWERED = READERS_PER_REGION + 6
# The store may also reject single instances. Of the instances that stopped trying, this many of a
# region, on average, try once in each interval.
EXPLORERS = 4
EXPLORATION_INTERVAL_S = 0.8
# Number of instances in each other region to which a new version is announced directly.
RECIPIENTS_PER_REMOTE_REGION = 3
# Time for which the readers of this region may lag behind a version that any other instance
# reports (a hint) before rows are fetched from that instance. Hints older than the lifetime are
# ignored.
HINT_DELAY_S = 0.4
HINT_LIFETIME_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PollTimes:
    """Timing of a long poll of the store; see ``POLL_WAIT_S`` and ``POLL_MARGIN_S``."""

    wait_s: float
    margin_s: float


_POLL_TIMES = PollTimes(wait_s=POLL_WAIT_S, margin_s=POLL_MARGIN_S)
_SINGLE_REGION_POLL_TIMES = PollTimes(
    wait_s=SINGLE_REGION_POLL_WAIT_S, margin_s=SINGLE_REGION_POLL_MARGIN_S
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """What this instance announces.

    Attributes:
        versions: Table versions that it can serve.
        reads: Whether it reads these tables from the store.
        unanswered: Tables that it tries to read without an answer of the store.
        call_age_s: Time since it began the last call that the store answered, s; None without any.
    """

    versions: dict[str, int]
    reads: bool
    unanswered: Collection[str] = ()
    call_age_s: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class _Received:
    """Latest announcement received from an instance.

    Attributes:
        reads: Whether the instance reads the tables from the store.
        unanswered: Tables that the instance tries to read without an answer of the store.
        received_s: Monotonic time of the latest announcement.
        first_announced_s: Monotonic time of the first announcement of each table's current version.
            A hint is used only after a delay, as the readers of this region may soon announce the
            same version.
    """

    host: str
    versions: dict[str, int]
    reads: bool
    unanswered: Collection[str]
    received_s: float
    first_announced_s: dict[str, float]

    def is_fresh(self, now_s: float) -> bool:
        """Whether it was received within ``BEACON_LIFETIME_S``."""
        return now_s - self.received_s < BEACON_LIFETIME_S


class RelayRole:
    """Decides whether this instance reads the store or fetches rows from another instance."""

    def __init__(self, *, view: fleet.FleetView, rng: random.Random):
        self._view = view
        self._rng = rng
        self._beacons: dict[str, _Received] = {}
        self._hints: dict[str, _Received] = {}
        self._started_s = clock_lib.elapsed_s()
        self._last_announced_s: dict[str, float] = {}
        # Monotonic time at which the last reader of a table announced that it had lost the table.
        self._readers_lost_s: dict[str, float] = {}
        # Monotonic time before which this instance does not explore a table again.
        self._next_exploration_s: dict[str, float] = {}
        self._announcement_received = asyncio.Event()
        # Rank of this instance and number of live instances of its region, and the version of the
        # live members for which they were computed.
        self._rank = 0
        self._region_size = 1
        self._ranked_version = -1

    @property
    def announcement_received(self) -> asyncio.Event:
        """Event that is set when an announcement from this region arrives."""
        return self._announcement_received

    def has_recent_announcement(self, table_name: str) -> bool:
        """Whether an instance of the region has recently announced a version of the table.

        An announcement is recent for ``BEACON_LIFETIME_S``, even if the readers have lost the table
        since. The next instance can then take over before the loss counts as an outage. Until the
        first announcement, the time counts from the start of this instance.
        """
        return clock_lib.elapsed_s() < self._announcement_expiry_s(table_name)

    def poll_times(self) -> PollTimes:
        """Returns the timing of the next poll."""
        region = self._view.own.region
        if any(member.region != region for member in self._view.live_members()):
            return _POLL_TIMES
        return _SINGLE_REGION_POLL_TIMES

    def on_beacon(
        self,
        name: str,
        host: str,
        region: str,
        versions: dict[str, int],
        *,
        reads: bool = True,
        unanswered: Collection[str] = (),
    ) -> None:
        """Records an announcement by another instance.

        An announcement from another region counts as a hint only. If a table that the instance
        read before is missing from ``versions``, the instance can no longer read it. ``host`` is
        the address on which the instance serves its tables; see ``peer_messages.Beacon`` for
        ``reads`` and ``unanswered``.
        """
        if region != self._view.own.region:
            self.on_hint(name, host, versions)
            return
        old = self._beacons.get(name)
        self._record_versions(
            self._beacons, name, host, versions, reads=reads, unanswered=unanswered
        )
        now_s = clock_lib.elapsed_s()
        if reads:
            for table_name in versions:
                self._last_announced_s[table_name] = now_s
                self._readers_lost_s.pop(table_name, None)
        if old is not None and old.reads:
            for table_name in old.versions.keys() - versions.keys():
                if not self._is_announced(table_name, now_s):
                    self._readers_lost_s[table_name] = now_s
        self._announcement_received.set()

    def on_hint(self, name: str, host: str, versions: dict[str, int]) -> None:
        """Records table versions reported by any instance.

        They are used only if the readers of this region do not announce them within
        ``HINT_DELAY_S``; the connections of those readers to the store may have stalled.
        """
        self._record_versions(self._hints, name, host, versions)

    def on_fetch_failed(self, host: str, table_name: str) -> None:
        """Forgets a version that an instance announced, as it could not be fetched.

        An instance that is still live announces it again. One that was lost would be asked again
        and again, for as long as its announcements count.
        """
        for announcement in (*self._beacons.values(), *self._hints.values()):
            if announcement.host == host:
                announcement.versions.pop(table_name, None)

    def choose_source(self, table_name: str, version: int) -> str | None:
        """Returns the host of an instance with the newest version of a table, or None.

        Only versions newer than ``version``, which this instance has, are considered. Hints are
        considered only if no announcement of this region has a newer version. The choice among
        instances with the same version is random, which spreads the load of a region over them.
        """
        now_s = clock_lib.elapsed_s()
        for announcements, max_age_s, min_age_s in (
            (self._beacons, BEACON_LIFETIME_S, 0.0),
            (self._hints, HINT_LIFETIME_S, HINT_DELAY_S),
        ):
            sources: list[str] = []
            newest_version = version
            for announcement in announcements.values():
                announced_version = announcement.versions.get(table_name, -1)
                fresh = now_s - announcement.received_s < max_age_s
                since_s = announcement.first_announced_s.get(table_name, now_s)
                if not fresh or announced_version <= version or now_s - since_s < min_age_s:
                    continue
                if announced_version > newest_version:
                    sources.clear()
                    newest_version = announced_version
                if announced_version == newest_version:
                    sources.append(announcement.host)
            if sources:
                return self._rng.choice(sources)
        return None

    def is_ahead_of_readers(self, versions: dict[str, int]) -> bool:
        """Whether any version is newer than what the region's readers have announced.

        False when no reader has announced anything recently.
        """
        now_s = clock_lib.elapsed_s()
        announced: dict[str, int] = {}
        for announcement in self._beacons.values():
            if announcement.is_fresh(now_s):
                for table_name, version in announcement.versions.items():
                    announced[table_name] = max(version, announced.get(table_name, -1))
        return bool(announced) and any(
            version > announced.get(table_name, -1) for table_name, version in versions.items()
        )

    def is_reader(self, table_name: str, *, reading: bool = False) -> bool:
        """Whether this instance should read the table from the store itself.

        The first ``READERS_PER_REGION`` instances of the ranking always do. The others take over
        once the table is no longer announced in the region. One that has taken over (``reading``)
        goes on until an instance with a better rank announces the table.
        """
        self._update_rank()
        if self._rank < READERS_PER_REGION:
            return True
        now_s = clock_lib.elapsed_s()
        if reading:
            return not self._is_announced(table_name, now_s, better_ranked=True)
        if self.takeover_wait_s(table_name) > 0:
            return False
        return not self.is_held(table_name) or self._explores(table_name, now_s)

    def takeover_wait_s(self, table_name: str) -> float:
        """Returns the time until this instance takes over a table unless it is announced, s.

        The delay grows with the logarithm of the rank, up to ``TAKEOVER_WINDOW_S`` for the last
        rank. However many of the first instances are lost, the rest of them then starts with a few
        instances at a time, and each has time to hear of those that started before.
        """
        self._update_rank()
        position = self._rank - READERS_PER_REGION + 1
        last_position = self._region_size - READERS_PER_REGION
        delay_s = 0.0
        if position > 1:
            delay_s = TAKEOVER_WINDOW_S * min(1.0, math.log(position) / math.log(last_position))
        expiry_s = self._announcement_expiry_s(table_name)
        silent_since_s = self._readers_lost_s.get(table_name, expiry_s)
        return silent_since_s + delay_s - clock_lib.elapsed_s()

    def is_held(self, table_name: str) -> bool:
        """Whether enough live instances with a better rank are without an answer of the store."""
        now_s = clock_lib.elapsed_s()
        own_score = self._score(self._view.own.name)
        unanswered = sum(
            announcement.is_fresh(now_s)
            and table_name in announcement.unanswered
            and self._score(name) < own_score
            for name, announcement in self._beacons.items()
        )
        return unanswered >= MAX_UNANSWERED

    def recipients(self, *, changed: bool) -> list[fleet.Member]:
        """Returns the instances to which an announcement is sent: all live ones of this region.

        If it contains a new version (``changed``), ``RECIPIENTS_PER_REMOTE_REGION`` instances of
        each other region are added.
        """
        region = self._view.own.region
        live = self._view.live_members()
        recipients = [member for member in live if member.region == region]
        if changed:
            counts: collections.Counter[str] = collections.Counter()
            for member in sorted(live, key=lambda candidate: self._score(candidate.name)):
                if member.region != region and counts[member.region] < RECIPIENTS_PER_REMOTE_REGION:
                    counts[member.region] += 1
                    recipients.append(member)
        return recipients

    def _announcement_expiry_s(self, table_name: str) -> float:
        return self._last_announced_s.get(table_name, self._started_s) + BEACON_LIFETIME_S

    def _is_announced(self, table_name: str, now_s: float, *, better_ranked: bool = False) -> bool:
        """Whether another instance, or only one with a better rank, reads the table."""
        own_score = self._score(self._view.own.name)
        return any(
            announcement.reads
            and table_name in announcement.versions
            and announcement.is_fresh(now_s)
            and not (better_ranked and self._score(name) > own_score)
            for name, announcement in self._beacons.items()
        )

    def _explores(self, table_name: str, now_s: float) -> bool:
        """Whether this instance tries to read the table once although it is held."""
        if now_s < self._next_exploration_s.get(table_name, 0.0):
            return False
        self._next_exploration_s[table_name] = now_s + EXPLORATION_INTERVAL_S
        return self._rng.random() < EXPLORERS / self._region_size

    def _update_rank(self) -> None:
        """Ranks the live instances of the region again if they have changed."""
        if self._ranked_version == self._view.live_version:
            return
        self._ranked_version = self._view.live_version
        own_score = self._score(self._view.own.name)
        same_region = self.recipients(changed=False)
        self._rank = sum(self._score(member.name) < own_score for member in same_region)
        self._region_size = len(same_region) + 1

    @staticmethod
    def _record_versions(
        announcements: dict[str, _Received],
        name: str,
        host: str,
        versions: dict[str, int],
        *,
        reads: bool = False,
        unanswered: Collection[str] = (),
    ) -> None:
        now_s = clock_lib.elapsed_s()
        old = announcements.get(name)
        first_announced_s = {}
        for table_name, version in versions.items():
            unchanged = old is not None and old.versions.get(table_name) == version
            first_announced_s[table_name] = (
                old.first_announced_s[table_name] if unchanged else now_s
            )
        announcements[name] = _Received(
            host=host,
            versions=dict(versions),
            reads=reads,
            unanswered=unanswered,
            received_s=now_s,
            first_announced_s=first_announced_s,
        )

    @staticmethod
    @functools.lru_cache(maxsize=4096)
    def _score(name: str) -> bytes:
        return hashlib.blake2b(name.encode(), digest_size=8).digest()

"""Fleet membership with a failure detector based on pings and on reports of other instances.

A member is dead once it has not answered several pings of this instance, or once two others report
that it has not answered theirs. So each lost member is pinged by a few instances only, however many
are lost at once.
"""

import bisect
import dataclasses
import enum
import random
from collections.abc import Iterable

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import ring_probe

PING_INTERVAL_S = 0.5
# Number of ping intervals within which a member must answer a ping.
MISSED_PINGS = 3
# Time in which a member must answer after another instance has reported it as unreachable, or after
# a pause of this process.
SUSPECT_TIMEOUT_S = 1.0
# Number of instances whose reports make a member dead without a ping of this one.
MIN_REPORTERS = 2
# Number of members with a single report that this instance pings at the same time.
MAX_VERIFIED = 16
# Reports of a member that was heard of more recently are ignored.
HEARD_S = 1.0
# A predecessor that pings this instance at each interval is silent after this time.
PREDECESSOR_TIMEOUT_S = 0.8
# A message with a lower incarnation is ignored for this long after the last accepted message of the
# member, because it may be a late datagram from before a restart.
MAX_DATAGRAM_DELAY_S = 1.0
# A longer gap between two ticks means that this process was paused, so answers missed in that time
# say nothing about the other members.
MAX_TICK_GAP_S = 1.2
# The random ping may go to another region once in this many ticks, as traffic between regions is
# expensive.
CROSS_REGION_PING_TICKS = 4


class Phase(enum.IntEnum):
    """Lifecycle phase of an instance; phases only advance."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Description of an instance as sent by the instance itself.

    Attributes:
        incarnation: Unix time of its start, ms.
        front: ``host:port`` to which callers send requests.
        peer_host: Address to which other instances send datagrams.
    """

    name: str
    incarnation: int
    phase: Phase
    front: str
    peer_host: str
    failure_domain: str
    region: str


@dataclasses.dataclass(slots=True, kw_only=True)
class _Entry:
    """A member and its liveness.

    Attributes:
        last_message_s: Monotonic time of the last message from the member itself; 0 before the
            first one.
        listed_s: Monotonic time at which the member was found in the table of members; 0 if it was
            not.
        probed_s: Monotonic time of the first ping since the last message; None without any.
        deadline_s: Monotonic time at which the member is declared dead unless a message from it
            arrives; None while no answer is expected.
        reported_s: Monotonic time of the first report since the last message; None without any.
        reporters: Names of the instances that have reported it since the last message.
    """

    member: Member
    alive: bool
    last_message_s: float
    listed_s: float = 0.0
    probed_s: float | None = None
    deadline_s: float | None = None
    reported_s: float | None = None
    reporters: set[str] = dataclasses.field(default_factory=set)


class FleetView:
    """Members and their liveness as this instance sees them."""

    def __init__(self, *, clock: clock_lib.Clock, own: Member, rng: random.Random):
        self._clock = clock
        self._own = own
        self._rng = rng
        self._entries: dict[str, _Entry] = {}
        self._has_list = False
        self._dead_by_report: list[Member] = []
        self._live_version = 0
        # Names of the other live members in the order of the ring, from the successor on, and the
        # version for which they were computed.
        self._following: list[str] = []
        self._following_version = -1
        self._ticks = 0
        self._started_s = clock.monotonic()
        self._last_tick_s = self._started_s

    @property
    def own(self) -> Member:
        """Description of this instance."""
        return self._own

    @property
    def dead_by_report(self) -> list[Member]:
        """Members that the last tick found dead by the reports of others."""
        return self._dead_by_report

    @property
    def live_version(self) -> int:
        """Number that changes whenever the live members, or their places, change."""
        return self._live_version

    @property
    def has_list(self) -> bool:
        """Whether the table of members has been read since the start."""
        return self._has_list

    def set_has_list(self) -> None:
        """Records that the table of members has been read."""
        self._has_list = True

    def recent_names(self, lifetime_s: float) -> list[str]:
        """Returns the names of this instance and of those listed or heard of recently.

        ``lifetime_s`` is the time for which a member counts after that, alive or not.
        """
        oldest_s = self._clock.monotonic() - lifetime_s
        names = [
            name
            for name, entry in self._entries.items()
            if entry.alive or max(entry.last_message_s, entry.listed_s) >= oldest_s
        ]
        names.append(self._own.name)
        return names

    def set_phase(self, phase: Phase) -> None:
        """Changes the phase of this instance."""
        self._own = dataclasses.replace(self._own, phase=phase)

    def live_names(self) -> list[str]:
        """Returns the names of the live instances that are not leaving, and of this one."""
        names = [
            name
            for name, entry in self._entries.items()
            if entry.alive and entry.member.phase != Phase.LEAVING
        ]
        names.append(self._own.name)
        return names

    def members(self) -> list[Member]:
        """Returns all other members, live or not."""
        return [entry.member for entry in self._entries.values()]

    def live_members(self) -> list[Member]:
        """Returns all other live members, including those that are leaving."""
        return [entry.member for entry in self._entries.values() if entry.alive]

    def ready_members(self) -> list[Member]:
        """Returns the live members that serve callers, this one included."""
        ready = [member for member in self.live_members() if member.phase == Phase.READY]
        if self._own.phase == Phase.READY:
            ready.append(self._own)
        return ready

    def add_listed(self, member: Member) -> None:
        """Adds a member that is registered in the table of members.

        A new member does not count as live before a message from the member itself arrives. The
        record of a known one is replaced if the listed incarnation is higher.
        """
        if member.name == self._own.name:
            return
        entry = self._entries.get(member.name)
        if entry is None:
            self._entries[member.name] = _Entry(
                member=member,
                alive=False,
                last_message_s=0.0,
                listed_s=self._clock.monotonic(),
            )
        elif member.incarnation > entry.member.incarnation:
            entry.member = member
            self._live_version += 1

    def on_message(self, member: Member) -> bool:
        """Records a message from the member itself and returns whether the member became live.

        An outdated message is ignored.
        """
        if member.name == self._own.name:
            return False
        now_s = self._clock.monotonic()
        entry = self._entries.get(member.name)
        if entry is None:
            entry = _Entry(member=member, alive=False, last_message_s=now_s)
            self._entries[member.name] = entry
        elif self._is_outdated(member, entry, now_s):
            return False
        became_live = not entry.alive
        if became_live or self._ring_key(member) != self._ring_key(entry.member):
            self._live_version += 1
        entry.member = member
        entry.alive = True
        entry.last_message_s = now_s
        entry.probed_s = None
        entry.deadline_s = None
        entry.reported_s = None
        entry.reporters.clear()
        return became_live

    def on_report(self, reporter: str, name: str, incarnation: int) -> None:
        """Records that another instance could not reach a member.

        A report of an unknown or dead member, of an earlier incarnation, or of a member that was
        heard of in the meantime, is ignored.
        """
        entry = self._entries.get(name)
        if entry is None or not entry.alive or entry.member.incarnation > incarnation:
            return
        now_s = self._clock.monotonic()
        if reporter == name or now_s - entry.last_message_s < HEARD_S:
            return
        entry.reporters.add(reporter)
        if entry.reported_s is None:
            entry.reported_s = now_s

    def tick(self) -> tuple[list[Member], list[Member]]:
        """Advances the failure detector; called every ``PING_INTERVAL_S``.

        Returns:
            The members to ping now, and those that this instance has just found dead by pings.
        """
        now_s = self._clock.monotonic()
        paused = now_s - self._last_tick_s > MAX_TICK_GAP_S
        self._last_tick_s = now_s
        self._ticks += 1
        dead = []
        self._dead_by_report = []
        for entry in self._entries.values():
            if not entry.alive:
                continue
            if paused:
                self._extend(entry, now_s)
            elif entry.deadline_s is not None and now_s >= entry.deadline_s:
                self._set_dead(entry)
                dead.append(entry.member)
            elif self._is_reported_dead(entry, now_s):
                self._set_dead(entry)
                self._dead_by_report.append(entry.member)
        targets = self._targets(now_s)
        for member in targets:
            entry = self._entries[member.name]
            if entry.alive and entry.deadline_s is None:
                entry.probed_s = now_s
                entry.deadline_s = now_s + PING_INTERVAL_S * MISSED_PINGS
        return targets, dead

    def is_silent(self, name: str) -> bool:
        """Whether a member has not answered a ping of an earlier tick."""
        probed_s = self._entries[name].probed_s
        return probed_s is not None and probed_s < self._last_tick_s

    def _set_dead(self, entry: _Entry) -> None:
        entry.alive = False
        self._live_version += 1

    @staticmethod
    def _extend(entry: _Entry, now_s: float) -> None:
        """Gives a member time to answer after a pause of this process."""
        if entry.deadline_s is not None:
            entry.deadline_s = now_s + SUSPECT_TIMEOUT_S
        if entry.reported_s is not None:
            entry.reported_s = now_s

    @staticmethod
    def _is_reported_dead(entry: _Entry, now_s: float) -> bool:
        return (
            len(entry.reporters) >= MIN_REPORTERS and now_s - entry.reported_s >= SUSPECT_TIMEOUT_S
        )

    def _targets(self, now_s: float) -> list[Member]:
        """Returns the members to ping.

        These are members next to this one in a ring ordered by region and failure domain (see
        `ring_probe`), all live members that have not answered yet, some that were reported by one
        instance only, and one random member, live or not. The random one is of this region or, in
        every ``CROSS_REGION_PING_TICKS``-th tick, of any region.
        """
        names = dict.fromkeys(self._ring_targets(now_s))
        cross_region = self._ticks % CROSS_REGION_PING_TICKS == 0
        others = [
            name
            for name, entry in self._entries.items()
            if cross_region or entry.member.region == self._own.region
        ]
        if others:
            names[self._rng.choice(others)] = None
        verified = 0
        for name, entry in self._entries.items():
            if not entry.alive:
                continue
            if entry.deadline_s is not None:
                names[name] = None
            elif (
                entry.reported_s is not None
                and now_s - entry.reported_s >= SUSPECT_TIMEOUT_S
                and verified < MAX_VERIFIED
            ):
                verified += 1
                names[name] = None
        return [self._entries[name].member for name in names]

    def _ring_targets(self, now_s: float) -> Iterable[str]:
        """Returns the members to ping because of their place in the ring."""
        following = self._ring()
        if not following:
            return []
        targets = self._probe(following, now_s)
        predecessor = self._entries[following[-1]]
        heard_s = max(predecessor.last_message_s, self._started_s)
        if now_s - heard_s > PREDECESSOR_TIMEOUT_S:
            targets += self._probe(following[::-1], now_s)
        return targets

    def _ring(self) -> list[str]:
        """Returns the names of the other live members, from the successor on."""
        if self._following_version != self._live_version:
            own_key = self._ring_key(self._own)
            keys = sorted(
                self._ring_key(entry.member) for entry in self._entries.values() if entry.alive
            )
            place = bisect.bisect(keys, own_key)
            self._following = [name for _, _, name in (*keys[place:], *keys[:place])]
            self._following_version = self._live_version
        return self._following

    def _probe(self, neighbours: list[str], now_s: float) -> list[str]:
        return ring_probe.targets(
            neighbours,
            is_silent=self.is_silent,
            is_heard=lambda name: now_s - self._entries[name].last_message_s <= PING_INTERVAL_S,
        )

    @staticmethod
    def _ring_key(member: Member) -> tuple[str, str, str]:
        return (member.region, member.failure_domain, member.name)

    @staticmethod
    def _is_outdated(new: Member, entry: _Entry, now_s: float) -> bool:
        old = entry.member
        if new.incarnation == old.incarnation:
            return new.phase < old.phase
        # An instance that restarts after its clock was set back has a lower incarnation than
        # before, so a lower one is accepted once no datagrams of the previous run can arrive.
        return (
            new.incarnation < old.incarnation
            and now_s - entry.last_message_s < MAX_DATAGRAM_DELAY_S
        )

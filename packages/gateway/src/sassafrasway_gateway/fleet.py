"""Fleet membership with a failure detector based on pings and on reports of other instances."""

import dataclasses
import enum
import random

from sassafrasway_core import clock as clock_lib

PING_INTERVAL_S = 0.5
# Number of ping intervals within which a member must answer a ping.
MISSED_PINGS = 3
# Time in which a member must answer after another instance has reported it as unreachable, or after
# a pause of this process.
SUSPECT_TIMEOUT_S = 1.0
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
        deadline_s: Monotonic time at which the member is declared dead unless a message from it
            arrives; None while no answer is expected.
    """

    member: Member
    alive: bool
    last_message_s: float
    listed_s: float = 0.0
    deadline_s: float | None = None


class FleetView:
    """Members and their liveness as this instance sees them."""

    def __init__(self, *, clock: clock_lib.Clock, own: Member, rng: random.Random):
        self._clock = clock
        self._own = own
        self._rng = rng
        self._entries: dict[str, _Entry] = {}
        self._has_list = False
        self._ticks = 0
        self._last_tick_s = clock.monotonic()

    @property
    def own(self) -> Member:
        """Description of this instance."""
        return self._own

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
        entry.member = member
        entry.alive = True
        entry.last_message_s = now_s
        entry.deadline_s = None
        return became_live

    def suspect(self, name: str, incarnation: int) -> Member | None:
        """Starts the verification of a member that another instance could not reach.

        Returns:
            The member to ping, or None if the suspicion concerns an unknown or dead member or an
            earlier incarnation.
        """
        entry = self._entries.get(name)
        if entry is None or not entry.alive or entry.member.incarnation > incarnation:
            return None
        now_s = self._clock.monotonic()
        if entry.deadline_s is None:
            entry.deadline_s = now_s + SUSPECT_TIMEOUT_S
        return entry.member

    def tick(self) -> tuple[list[Member], list[Member]]:
        """Advances the failure detector; called every ``PING_INTERVAL_S``.

        Returns:
            The members to ping now, and those that were just declared dead.
        """
        now_s = self._clock.monotonic()
        paused = now_s - self._last_tick_s > MAX_TICK_GAP_S
        self._last_tick_s = now_s
        self._ticks += 1
        dead = []
        for entry in self._entries.values():
            if entry.deadline_s is None or not entry.alive:
                continue
            if paused:
                entry.deadline_s = now_s + SUSPECT_TIMEOUT_S
            elif now_s >= entry.deadline_s:
                entry.alive = False
                entry.deadline_s = None
                dead.append(entry.member)
        targets = self._targets()
        for member in targets:
            entry = self._entries[member.name]
            if entry.alive and entry.deadline_s is None:
                entry.deadline_s = now_s + PING_INTERVAL_S * MISSED_PINGS
        return targets, dead

    def _targets(self) -> list[Member]:
        """Returns the members to ping.

        These are the next live member in a ring ordered by region and failure domain, all live
        members that have not answered yet, and one random member, live or not. The random one is of
        this region or, in every ``CROSS_REGION_PING_TICKS``-th tick, of any region.
        """
        targets = {}
        live = [entry.member for entry in self._entries.values() if entry.alive]
        if live:
            ordered = sorted([*live, self._own], key=self._ring_key)
            successor = ordered[(ordered.index(self._own) + 1) % len(ordered)]
            targets[successor.name] = successor
        cross_region = self._ticks % CROSS_REGION_PING_TICKS == 0
        others = [
            entry.member
            for entry in self._entries.values()
            if cross_region or entry.member.region == self._own.region
        ]
        if others:
            member = self._rng.choice(others)
            targets[member.name] = member
        for entry in self._entries.values():
            if entry.alive and entry.deadline_s is not None:
                targets[entry.member.name] = entry.member
        return list(targets.values())

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

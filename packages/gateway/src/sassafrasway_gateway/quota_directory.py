"""View of the fleet for the rate limits: shard owners, addresses and the live fraction."""

from collections.abc import Collection

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import fleet, hash_ring

# Interval after which the members are read again; phases and listed members change without a new
# version of the view.
REFRESH_INTERVAL_S = 0.5
# Shortest interval between two reads; the view changes often after a loss of many instances.
MIN_REFRESH_INTERVAL_S = 0.1
# Time after its last message for which a member counts as recent. Members that are unreachable only
# for a while continue to grant tokens.
MEMBER_LIFETIME_S = 30.0
# Time after the list of members was read within which the listed members answer this instance.
SETTLE_S = 0.3
# Time without a message from another instance after which this one may be cut off.
ISOLATED_AFTER_S = 1.0


class QuotaDirectory:
    """Owners of the shards, as this instance sees the fleet."""

    def __init__(self, *, clock: clock_lib.Clock, view: fleet.FleetView):
        self._clock = clock
        self._view = view
        self._ring = hash_ring.HashRing()
        self._live: frozenset[str] = frozenset()
        self._members: dict[str, fleet.Member] = {}
        self._recent: list[str] = []
        self._version = 0
        self._view_version = -1
        self._own_phase = view.own.phase
        self._listed_s: float | None = None
        self._refreshed_s = float("-inf")
        self._heard_s = clock.monotonic()

    @property
    def own_name(self) -> str:
        """Name of this instance."""
        return self._view.own.name

    @property
    def version(self) -> int:
        """Number that changes with the live or recent members; reads them again if it is time."""
        now_s = self._clock.monotonic()
        age_s = now_s - self._refreshed_s
        changed = (
            self._view.live_version != self._view_version
            or self._view.own.phase is not self._own_phase
        )
        if age_s >= REFRESH_INTERVAL_S or (changed and age_s >= MIN_REFRESH_INTERVAL_S):
            self._refresh(now_s)
        return self._version

    @property
    def recent_names(self) -> list[str]:
        """Names of the members among which the emergency quota is divided."""
        return self._recent

    @property
    def knows_fleet(self) -> bool:
        """Whether this instance knows the others, so that it can tell which shards it owns."""
        if self._listed_s is None:
            return False
        alone = self._recent == [self.own_name]
        return alone or self._clock.monotonic() - self._listed_s >= SETTLE_S

    @property
    def isolated(self) -> bool:
        """Whether this instance may be cut off from all others."""
        if len(self._recent) <= 1:
            return False
        return self._clock.monotonic() - self._heard_s >= ISOLATED_AFTER_S

    @property
    def live_fraction(self) -> float:
        """Part of the limits that the live instances may grant.

        A single instance that is missing is dead, or isolated and grants nothing.
        """
        recent = len(self._recent)
        if recent - len(self._live) <= 1:
            return 1.0
        return len(self._live) / recent

    def on_heard(self) -> bool:
        """Records a message of another instance; returns whether this one was isolated."""
        was_isolated = self.isolated
        self._heard_s = self._clock.monotonic()
        return was_isolated

    def owner(self, key: int, *, without: Collection[str] = ()) -> str | None:
        """Returns the owner of a shard; see `hash_ring.HashRing.owner`."""
        return self._ring.owner(key, without=without)

    def host(self, name: str) -> str | None:
        """Returns the address of an instance; None if it is not live."""
        member = self._members.get(name)
        return None if member is None else member.peer_host

    def name_of(self, host: str) -> str:
        """Returns the name of the instance with an address; empty if it is not live."""
        return next(
            (name for name, member in self._members.items() if member.peer_host == host), ""
        )

    def is_near(self, name: str) -> bool:
        """Whether an instance is in the region of this one."""
        member = self._members.get(name)
        return member is not None and member.region == self._view.own.region

    def _refresh(self, now_s: float) -> None:
        self._refreshed_s = now_s
        self._view_version = self._view.live_version
        self._own_phase = self._view.own.phase
        if self._listed_s is None and self._view.has_list:
            self._listed_s = now_s
        live_members = [*self._view.live_members(), self._view.own]
        self._members = {member.name: member for member in live_members}
        # Only ready instances own shards; others may not know the limits yet. A member that is not
        # live still counts as recent if it was starting when last seen: it may be ready by now.
        live = frozenset(
            member.name for member in live_members if member.phase == fleet.Phase.READY
        )
        absent = {member.name for member in live_members if member.name not in live}
        absent.update(
            member.name for member in self._view.members() if member.phase == fleet.Phase.LEAVING
        )
        recent = [name for name in self._view.recent_names(MEMBER_LIFETIME_S) if name not in absent]
        if recent != self._recent:
            self._recent = recent
            self._version += 1
        if live != self._live:
            self._live = live
            self._ring = self._ring.replaced(live)
            self._version += 1

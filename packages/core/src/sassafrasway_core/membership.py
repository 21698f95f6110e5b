"""What is known about instances: live, leaving, silent or gone."""

import dataclasses
import enum
from collections.abc import Iterable

from sassafrasway_core import clock as clocks
from sassafrasway_core import model, region

# A platform list may name a previous run of an instance for this long after a new run started.
LIST_LAG_S = 10.0
# Long enough for every ticket and recorded outcome of a gone incarnation to be asked for.
GONE_KEEP_S = 3600.0
GONE_KEEP_MAX = 4096


class State(enum.Enum):
    """What is known about an instance."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Entry:
    instance: region.Instance
    first_known_s: float
    heard_s: float
    listed: bool = False


class MemberTable:
    """Instances that are or were part of a region.

    An instance is gone only when the platform's list named this very run and no longer does, or
    when its own port refuses connections or answers with another incarnation. Silence is no proof.

    Args:
        clock: Time source.
        silent_after_s: An instance that was not heard for this long is silent.
    """

    def __init__(self, *, clock: clocks.Clock, silent_after_s: float = region.GRANT_S):
        self._clock = clock
        self._silent_after_s = silent_after_s
        self._entries: dict[model.InstanceId, _Entry] = {}
        self._gone: dict[model.InstanceId, float] = {}

    def add(self, instance: region.Instance) -> None:
        """Adds an instance that another source named; this counts as hearing it once."""
        if instance.id not in self._entries and instance.id not in self._gone:
            now = self._clock.monotonic()
            self._entries[instance.id] = _Entry(instance=instance, first_known_s=now, heard_s=now)

    def heard(self, instance: region.Instance) -> None:
        """Records a message from an instance; one that is gone stays gone."""
        self.add(instance)
        entry = self._entries.get(instance.id)
        if entry is not None:
            entry.instance = instance
            entry.heard_s = self._clock.monotonic()

    def refused(self, instance: model.InstanceId, *, started_s: float) -> None:
        """Records that the port of an instance refused a connection attempted at ``started_s``.

        An instance that was heard since then is not gone: a network may refuse connections to a
        restarted process for a moment.
        """
        entry = self._entries.get(instance)
        if entry is None or entry.heard_s <= started_s:
            self._forget(instance)

    def identified(self, expected: model.InstanceId, *, incarnation: str) -> None:
        """Records which incarnation answered at the address of ``expected``."""
        if incarnation != expected.incarnation:
            self._forget(expected)

    def fetched(self, names: Iterable[str], *, started_s: float) -> None:
        """Records the names in the platform's list; the fetch started at ``started_s``."""
        listed = set(names)
        for instance, entry in list(self._entries.items()):
            if instance.name in listed:
                # An earlier mention may mean the previous run of the same name.
                if started_s >= entry.first_known_s + LIST_LAG_S:
                    entry.listed = True
            elif entry.listed and started_s > entry.heard_s:
                self._forget(instance)

    def learn_gone(self, instances: Iterable[model.InstanceId]) -> None:
        """Records instances that another coordinator knows to be gone."""
        for instance in instances:
            self._forget(instance)

    def state(self, instance: model.InstanceId) -> State | None:
        """Returns what is known about an instance, or None when nothing is."""
        if instance in self._gone:
            return State.GONE
        entry = self._entries.get(instance)
        if entry is None:
            return None
        if self.unheard_s(instance) >= self._silent_after_s:
            return State.SILENT
        return State.LEAVING if entry.instance.state == region.LEAVING else State.LIVE

    def is_gone(self, instance: model.InstanceId) -> bool:
        """Returns whether the instance is known to be gone."""
        return instance in self._gone

    def unheard_s(self, instance: model.InstanceId) -> float:
        """Returns the time since the instance was heard in seconds."""
        return self._clock.monotonic() - self._entries[instance].heard_s

    def instance(self, instance: model.InstanceId) -> region.Instance | None:
        """Returns the data of an instance that is not gone."""
        entry = self._entries.get(instance)
        return None if entry is None else entry.instance

    def instances(self, *states: State) -> list[region.Instance]:
        """Returns the instances in one of the states, or all that are not gone, by id."""
        wanted = states or (State.LIVE, State.LEAVING, State.SILENT)
        return [
            self._entries[instance].instance
            for instance in sorted(self._entries)
            if self.state(instance) in wanted
        ]

    def gone(self) -> list[model.InstanceId]:
        """Returns the instances that are known to be gone."""
        return list(self._gone)

    def _forget(self, instance: model.InstanceId) -> None:
        now = self._clock.monotonic()
        self._entries.pop(instance, None)
        self._gone.setdefault(instance, now)
        for old, since_s in list(self._gone.items()):
            if len(self._gone) <= GONE_KEEP_MAX and now - since_s < GONE_KEEP_S:
                break
            del self._gone[old]

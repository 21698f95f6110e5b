"""Liveness of the instances of a region: live, leaving, silent or gone.

A silent instance may be paused or partitioned and still use what it was granted; a gone one
certainly does not.
"""

import dataclasses
import enum
from collections.abc import Iterable

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import model, region

# The platform's list may name the previous run of an instance for this long after a restart.
LIST_LAG_S = 10.0
# How long a gone instance is kept as gone. Long enough that callers can ask for every ticket and
# recorded outcome of a gone incarnation.
GONE_KEEP_S = 3600.0
# Maximum number of gone instances that are kept; the oldest ones are dropped first.
GONE_KEEP_MAX = 4096


class State(enum.Enum):
    """Liveness of an instance, as observed by this process.

    Attributes:
        LEAVING: It sends messages and is about to stop.
        SILENT: It has not sent a message recently but is not proved to be gone.
        GONE: This run of the instance is proved to have ended.
    """

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Entry:
    """An instance that is not gone.

    ``instance`` is from its last message or the source that named it. ``listed`` is true once the
    platform's list has named this run.
    """

    instance: region.Instance
    first_known_s: float
    last_contact_s: float
    listed: bool = False


class MemberTable:
    """Instances that are or were part of a region.

    An instance is gone only when the platform's list of running instances named this run and no
    longer does, when its port refuses connections, or when another incarnation answers at its
    address. An instance that sent no message for ``silent_after_s`` is only silent.
    """

    def __init__(self, *, clock: clock_lib.Clock, silent_after_s: float = region.GRANT_S):
        self._clock = clock
        self._silent_after_s = silent_after_s
        self._entries: dict[model.InstanceId, _Entry] = {}
        # When each gone instance was marked as gone, the oldest first.
        self._gone: dict[model.InstanceId, float] = {}
        self._gone_count = 0

    def add(self, instance: region.Instance) -> None:
        """Adds an instance that another source named; this counts as one message from it."""
        if instance.id not in self._entries and instance.id not in self._gone:
            now = self._clock.monotonic()
            self._entries[instance.id] = _Entry(
                instance=instance, first_known_s=now, last_contact_s=now
            )

    def record_contact(self, instance: region.Instance) -> None:
        """Records a message from an instance; an instance that is gone stays gone."""
        self.add(instance)
        entry = self._entries.get(instance.id)
        if entry is not None:
            entry.instance = instance
            entry.last_contact_s = self._clock.monotonic()

    def record_refusal(self, instance: model.InstanceId, *, started_s: float) -> None:
        """Records that the port of an instance refused a connection attempted at ``started_s``.

        An instance that sent a message since then is not gone: a network may refuse connections to
        a restarted process for a moment.
        """
        entry = self._entries.get(instance)
        if entry is None or entry.last_contact_s <= started_s:
            self._mark_gone(instance)

    def record_identity(self, expected: model.InstanceId, *, incarnation: str) -> None:
        """Records which incarnation answered at the address of ``expected``."""
        if incarnation != expected.incarnation:
            self._mark_gone(expected)

    def record_list(self, names: Iterable[str], *, started_s: float) -> None:
        """Records the names in the platform's list; the fetch started at ``started_s``."""
        listed = set(names)
        for instance, entry in list(self._entries.items()):
            if instance.name in listed:
                # A list fetched earlier may still name the previous run under the same name.
                if started_s >= entry.first_known_s + LIST_LAG_S:
                    entry.listed = True
            elif entry.listed and started_s > entry.last_contact_s:
                self._mark_gone(instance)

    def record_gone(self, instances: Iterable[model.InstanceId]) -> None:
        """Records instances that another coordinator found to be gone."""
        for instance in instances:
            self._mark_gone(instance)

    @property
    def gone_count(self) -> int:
        """Number of times that an instance was found to be gone."""
        return self._gone_count

    def state(self, instance: model.InstanceId) -> State | None:
        """Returns the state of an instance, or None when the instance is unknown."""
        if instance in self._gone:
            return State.GONE
        entry = self._entries.get(instance)
        if entry is None:
            return None
        if self.since_contact_s(instance) >= self._silent_after_s:
            return State.SILENT
        return State.LEAVING if entry.instance.state == region.LEAVING else State.LIVE

    def is_gone(self, instance: model.InstanceId) -> bool:
        """Returns whether the instance is known to be gone."""
        return instance in self._gone

    def since_contact_s(self, instance: model.InstanceId) -> float:
        """Returns the seconds since the last message from the instance.

        Raises:
            KeyError: The instance is unknown or gone.
        """
        return self._clock.monotonic() - self._entries[instance].last_contact_s

    def instance(self, instance: model.InstanceId) -> region.Instance | None:
        """Returns the data of an instance, or None when the instance is unknown or gone."""
        entry = self._entries.get(instance)
        return None if entry is None else entry.instance

    def instances(self, *states: State) -> list[region.Instance]:
        """Returns the instances in any of the states (default: all but gone), sorted by id."""
        wanted = states or (State.LIVE, State.LEAVING, State.SILENT)
        return [
            self._entries[instance].instance
            for instance in sorted(self._entries)
            if self.state(instance) in wanted
        ]

    def gone(self) -> list[model.InstanceId]:
        """Returns the instances that are known to be gone."""
        return list(self._gone)

    def _mark_gone(self, instance: model.InstanceId) -> None:
        now = self._clock.monotonic()
        self._entries.pop(instance, None)
        if instance not in self._gone:
            self._gone[instance] = now
            self._gone_count += 1
        for oldest, gone_since_s in list(self._gone.items()):
            if len(self._gone) <= GONE_KEEP_MAX and now - gone_since_s < GONE_KEEP_S:
                break
            del self._gone[oldest]

"""Estimates the load and the speed of backend servers from stale load reports.

Load reports come only with responses, so a report is as old as the last response of its server to
this instance. Three things have changed since:

* The instance's own requests. They are known and count at once.
* The requests of other instances. Those that the server had at the report end after about the mean
  service time, and others arrive. Their number therefore converges with the mean service time
  towards the level that the servers of the same service and region show. A queue shortens at the
  rate at which the slots complete requests faster than new ones arrive.
* The speed of the server's machine. A reported slowdown counts less the older it is.

The module ``servers`` keeps one ``ServerLoad`` for each server; ``balancer`` and ``overflow`` read
it there.
"""

import dataclasses
import math
from collections.abc import Iterable

# The queue of a server counts as full if a further request would make more requests per slot wait
# than this; the server is expected to reject that request.
MAX_WAITING_PER_SLOT = 2.0
# Half-life of the load that other instances put on a server, while the level of its service is not
# known.
LOAD_HALF_LIFE_S = 1.0
# Older load reports are left out of the mean load of a region.
REPORT_LIFETIME_S = 1.5
# Time constant of the confidence in a reported slowdown, about the time for which one lasts.
SLOWDOWN_TIME_S = 0.6
# Interval between two computations of the levels, which read the reports of all servers.
LEVEL_INTERVAL_S = 0.5
# Time constant of the weight of a report in the level of its service.
LEVEL_TIME_S = 2.0
# Number of servers with a report that a level needs; a single report says nothing about the others.
MIN_LEVEL_REPORTS = 2
# Upper bound, in requests per slot, of a report in the level towards which loads converge. A queue
# at one server says nothing about the others, and a level above the bound would stop all requests,
# so that no response could report that servers have free slots again.
MAX_LEVEL = 1.0
# Lowest rate at which a queue is assumed to shorten, as a share of the rate of completions. Other
# instances see the queue too and avoid the server.
MIN_DRAIN_SHARE = 0.4
# Mean service time that is assumed until one has been measured.
DEFAULT_SERVICE_S = 0.2
MIN_SERVICE_S = 0.001
# Weight of a new sample in the mean service time of a service.
SERVICE_WEIGHT = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadLevel:
    """Mean load of the servers of one service and region.

    Attributes:
        per_slot: Requests running or waiting per slot; 0 while ``known`` is false.
        others_per_slot: The same without the requests of this instance and without queues.
        queueing_per_slot: The same as ``others_per_slot`` with queues, at most ``MAX_LEVEL``.
        known: Whether enough servers have reported.
        newest_s: Monotonic time of the newest report that was used.
        service_s: Mean service time.
    """

    per_slot: float = 0.0
    others_per_slot: float = 0.0
    queueing_per_slot: float = 0.0
    known: bool = False
    newest_s: float = 0.0
    service_s: float = DEFAULT_SERVICE_S

    def fading(self, per_slot: float, now_s: float) -> float:
        """Returns a level of this object, reduced if the newest report is outdated.

        Without new reports it falls to 0. An instance that refuses all requests gets no reports,
        and must send requests again to learn the load.
        """
        silent_s = now_s - self.newest_s - REPORT_LIFETIME_S
        return per_slot * 0.5 ** (silent_s / LOAD_HALF_LIFE_S) if silent_s > 0 else per_slot


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerLoad:
    """What is known of the load of one server.

    Attributes:
        slots: Number of requests that the server runs at a time.
        outstanding: Requests of this instance that the server has not answered yet.
        others_outstanding: Requests of other instances at the server at ``observed_at_s``.
        observed_at_s: Monotonic time of the last report or rejection; 0 without one.
        reported_per_slot: Requests running or waiting per slot, from the last load report.
        reported_others_per_slot: The same without the requests of this instance.
        reported_at_s: Monotonic time of the last load report; 0 without one.
        reported_slowdown: How long work takes, as a multiple of the usual time, from that report.
        level: Level of the server's service and region.
    """

    slots: int
    outstanding: int = 0
    others_outstanding: float = 0.0
    observed_at_s: float = 0.0
    reported_per_slot: float = 0.0
    reported_others_per_slot: float = 0.0
    reported_at_s: float = 0.0
    reported_slowdown: float = 1.0
    level: LoadLevel = dataclasses.field(default_factory=LoadLevel)

    def on_report(self, *, running: int, waiting: int, slowdown: float, now_s: float) -> None:
        """Records a load report; it counts the requests of all instances."""
        total = running + waiting
        self.others_outstanding = max(0.0, float(total - self.outstanding))
        self.reported_per_slot = total / self.slots
        self.reported_others_per_slot = self.others_outstanding / self.slots
        self.reported_slowdown = slowdown
        self.reported_at_s = self.observed_at_s = now_s

    def on_queue_full(self, now_s: float) -> None:
        """Records that the server rejected a request because its queue is full.

        The level ignores this: it states a lower bound of the load, not the load.
        """
        full = self.slots * (1.0 + MAX_WAITING_PER_SLOT)
        self.others_outstanding = max(0.0, full - self.outstanding)
        self.observed_at_s = now_s

    def load(self, now_s: float) -> float:
        """Returns the estimated number of requests running or waiting at the server."""
        return self.outstanding + self._others(self.level.others_per_slot, now_s)

    def load_with_queues(self, now_s: float) -> float:
        """Returns the same estimate with the risk that the server has a queue.

        Among servers that are compared, one with a new report of free slots is preferred to one
        whose report is old.
        """
        return self.outstanding + self._others(self.level.queueing_per_slot, now_s)

    def report_age_s(self, now_s: float) -> float:
        """Returns the age of the last load report; -1 without one."""
        return now_s - self.reported_at_s if self.reported_at_s else -1.0

    def slowdown(self, now_s: float) -> float:
        """Returns how long work is expected to take, as a multiple of the usual time."""
        if self.reported_slowdown == 1.0:
            return 1.0
        confidence = math.exp(min(0.0, self.reported_at_s - now_s) / SLOWDOWN_TIME_S)
        return 1.0 + (self.reported_slowdown - 1.0) * confidence

    def _others(self, level_per_slot: float, now_s: float) -> float:
        """Returns the estimated number of requests of other instances at the server.

        ``level_per_slot`` is the load per slot towards which it converges.
        """
        before = self.others_outstanding
        age_s = max(0.0, now_s - self.observed_at_s)
        level = self.level
        if not level.known:
            return before * 0.5 ** (age_s / LOAD_HALF_LIFE_S)
        target = self.slots * level.fading(level_per_slot, now_s)
        if not self.observed_at_s:
            # Assumed to be as busy as the others. A new server is not, but the cold limit bounds
            # its requests anyway.
            return target
        # Above the slots and the target, requests wait and the queue shortens linearly.
        queue_end = max(float(self.slots), target)
        if before > queue_end:
            drain_per_s = max(self.slots - target, MIN_DRAIN_SHARE * self.slots) / level.service_s
            drain_s = (before - queue_end) / drain_per_s
            if age_s < drain_s:
                return before - drain_per_s * age_s
            before = queue_end
            age_s -= drain_s
        return target + (before - target) * math.exp(-age_s / level.service_s)


class LoadLevels:
    """Computes the levels of all services and regions from the last report of each server."""

    def __init__(self):
        self._levels: dict[tuple[str, str], LoadLevel] = {}
        self._service_s: dict[str, float] = {}
        self._computed_s = -LEVEL_INTERVAL_S

    def add_service_time(self, service: str, service_s: float) -> None:
        """Adds a measured service time to the mean of a service."""
        old_s = self._service_s.get(service, service_s)
        self._service_s[service] = old_s + SERVICE_WEIGHT * (service_s - old_s)

    def per_slot(self) -> dict[str, dict[str, float]]:
        """Returns the known levels by service and region, in requests per slot."""
        levels: dict[str, dict[str, float]] = {}
        for (service, region), level in self._levels.items():
            if level.known:
                levels.setdefault(service, {})[region] = round(level.per_slot, 2)
        return levels

    def is_due(self, now_s: float) -> bool:
        """Whether the levels are older than their interval."""
        return now_s - self._computed_s >= LEVEL_INTERVAL_S

    def update(self, loads: Iterable[tuple[str, str, ServerLoad]], now_s: float) -> None:
        """Computes the levels.

        Args:
            loads: Service, region and load of each server that may be used.
            now_s: Monotonic time.
        """
        self._computed_s = now_s
        groups: dict[tuple[str, str], list[ServerLoad]] = {}
        for service, region, load in loads:
            groups.setdefault((service, region), []).append(load)
        self._levels = {key: self._levels.get(key, LoadLevel()) for key in groups}
        for (service, region), group in groups.items():
            level = self._levels[service, region]
            level.service_s = max(MIN_SERVICE_S, self._service_s.get(service, DEFAULT_SERVICE_S))
            self._update_level(level, group, now_s)
            for load in group:
                load.level = level

    @staticmethod
    def _update_level(level: LoadLevel, group: list[ServerLoad], now_s: float) -> None:
        total_weight = per_slot = others_per_slot = queueing_per_slot = newest_s = 0.0
        reports = 0
        for load in group:
            if not load.reported_at_s:
                continue
            weight = math.exp((load.reported_at_s - now_s) / LEVEL_TIME_S)
            total_weight += weight
            per_slot += weight * load.reported_per_slot
            others_per_slot += weight * min(MAX_LEVEL, load.reported_others_per_slot)
            queueing_per_slot += weight * load.reported_others_per_slot
            newest_s = max(newest_s, load.reported_at_s)
            reports += 1
        # The weights of very old reports add up to 0.
        level.known = reports >= MIN_LEVEL_REPORTS and total_weight > 0.0
        if level.known:
            level.per_slot = per_slot / total_weight
            level.others_per_slot = others_per_slot / total_weight
            level.queueing_per_slot = min(MAX_LEVEL, queueing_per_slot / total_weight)
            level.newest_s = newest_s

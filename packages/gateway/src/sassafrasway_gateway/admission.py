"""Reserves room in the queues of servers for the more urgent requests when room is short.

A service is short of room for a priority while requests of a more urgent one were recently refused
or rejected for overload. Only then may its requests fill the queue of a server less than the most
urgent ones. Each instance decides by the outcomes of its own requests.
"""

import bisect
import copy
import dataclasses
import math
from collections.abc import Collection, Mapping

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import balancer, model

# Queue that the least urgent priority may fill, as a share of that of the most urgent.
LEAST_URGENT_SHARE = 0.5
# Time for which a refusal for overload shows that the service is short of room.
SHORTAGE_S = 2.0
# Refusals and rejections per request, of those that are more urgent, below which a service is not
# short of room. Single refusals come from the spread of arrivals; queues drain by themselves then.
MIN_OVERLOADED_SHARE = 0.1
# Time constant with which outcomes of requests lose their weight.
OUTCOME_LIFETIME_S = 3.0
# Weight of outcomes below which the share of a group that is served is not known well enough.
MIN_OUTCOMES = 8.0
# Served shares, relative to the mean of the service, below which a group falls behind and from
# which it has caught up. The hysteresis keeps a group from changing state with each request.
BEHIND_SHARE = 0.5
CAUGHT_UP_SHARE = 0.75


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestClass:
    """Properties of a request that admission control depends on.

    Attributes:
        route: Name of the route.
        priority: Rank among the requests for the service; 0 is the most urgent.
        organisation: Name of the organisation; None if the request needs no key.
    """

    service: str
    route: str
    priority: int
    organisation: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueBound:
    """Decision of admission control on one request.

    Attributes:
        max_waiting_per_slot: See ``AdmissionControl.max_waiting_per_slot``.
        shedding: Whether less urgent requests for the service may queue less.
        behind: Groups of the service that count as the most urgent because they have fallen behind.
    """

    max_waiting_per_slot: float = balancer.MAX_WAITING_PER_SLOT
    shedding: bool = False
    behind: tuple[str, ...] = ()


class _Outcomes:
    """Number of recent requests and of the served ones among them, both decaying with time."""

    __slots__ = ("_finished", "_overloaded", "_served", "_updated_s", "behind", "overloaded_at_s")

    def __init__(self, now_s: float):
        self._finished = 0.0
        self._served = 0.0
        self._overloaded = 0.0
        self._updated_s = now_s
        self.overloaded_at_s = -math.inf
        # Whether the group fell behind its service and has not caught up since.
        self.behind = False

    def add(self, now_s: float, *, served: bool) -> None:
        """Counts a finished request."""
        self._decay(now_s)
        self._finished += 1.0
        self._served += served

    def add_overloaded(self, now_s: float) -> None:
        """Counts a refusal or rejection for overload."""
        self._decay(now_s)
        self._overloaded += 1.0
        self.overloaded_at_s = now_s

    def counts(self, now_s: float) -> tuple[float, float]:
        """Returns the numbers of finished requests and of refusals and rejections for overload."""
        self._decay(now_s)
        return self._finished, self._overloaded

    def served_share(self, now_s: float) -> float | None:
        """Returns the share of requests that were served; None if too few are known."""
        self._decay(now_s)
        return self._served / self._finished if self._finished >= MIN_OUTCOMES else None

    def _decay(self, now_s: float) -> None:
        factor = math.exp((self._updated_s - now_s) / OUTCOME_LIFETIME_S)
        self._finished *= factor
        self._served *= factor
        self._overloaded *= factor
        self._updated_s = now_s


# Kind of a group, such as "route", and its name or priority.
_GroupKey = tuple[str, str | int]
_PRIORITY = "priority"


class _Service:
    """Outcomes of the requests for one service, and the queue that each priority may fill."""

    def __init__(self, now_s: float):
        self.shedding = False
        self._priorities: list[int] = []
        self._total = _Outcomes(now_s)
        self._groups: dict[_GroupKey, _Outcomes] = {}

    @property
    def priorities(self) -> list[int]:
        """Priorities of the requests for the service, the most urgent first."""
        return self._priorities

    @property
    def group_count(self) -> int:
        """Number of groups whose outcomes are counted."""
        return len(self._groups)

    @property
    def behind(self) -> list[str]:
        """Groups that have fallen behind, in the form ``kind name``."""
        return [f"{kind} {name}" for (kind, name), group in self._groups.items() if group.behind]

    def set_priorities(self, priorities: set[int], names: Collection[str]) -> None:
        """Replaces the priorities, and forgets the groups that the policy does not contain.

        Args:
            priorities: Priorities of the requests for the service.
            names: Names of the routes and organisations of the policy.
        """
        self._priorities = sorted(priorities)
        self._groups = {
            key: group
            for key, group in self._groups.items()
            if key[1] in priorities or key[1] in names
        }

    def on_finished(self, request: RequestClass, now_s: float, *, served: bool) -> None:
        """Counts a finished request."""
        self._total.add(now_s, served=served)
        for key in self._group_keys(request):
            self._group(key, now_s).add(now_s, served=served)

    def on_overloaded(self, priority: int, now_s: float) -> None:
        """Records that a request was refused or rejected for overload."""
        self._group((_PRIORITY, priority), now_s).add_overloaded(now_s)

    def is_short(self, now_s: float) -> bool:
        """Whether the service is short of room for its least urgent priority."""
        return self._is_short_for(len(self._priorities) - 1, now_s)

    def max_waiting_per_slot(self, request: RequestClass, now_s: float) -> float:
        """Returns up to how many waiting requests per slot a request may queue at a server."""
        rank = self._rank(request.priority)
        if not self._is_short_for(rank, now_s) or self._is_behind(request, now_s):
            return balancer.MAX_WAITING_PER_SLOT
        step = (1.0 - LEAST_URGENT_SHARE) / (len(self._priorities) - 1)
        return balancer.MAX_WAITING_PER_SLOT * (1.0 - step * rank)

    def _is_short_for(self, rank: int, now_s: float) -> bool:
        """Whether enough requests that are more urgent were recently refused for overload."""
        finished, overloaded, last_s = 0.0, 0.0, -math.inf
        for priority in self._priorities[:rank]:
            group = self._groups.get((_PRIORITY, priority))
            if group is not None:
                counts = group.counts(now_s)
                finished += counts[0]
                overloaded += counts[1]
                last_s = max(last_s, group.overloaded_at_s)
        return now_s - last_s <= SHORTAGE_S and overloaded >= MIN_OVERLOADED_SHARE * finished

    def _group(self, key: _GroupKey, now_s: float) -> _Outcomes:
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Outcomes(now_s)
        return group

    def _is_behind(self, request: RequestClass, now_s: float) -> bool:
        """Whether any group of the request has fallen behind and has not caught up since."""
        total_share = self._total.served_share(now_s)
        if total_share is None:
            return False
        behind = False
        for key in self._group_keys(request):
            group = self._groups.get(key)
            share = None if group is None else group.served_share(now_s)
            if share is not None:
                limit = CAUGHT_UP_SHARE if group.behind else BEHIND_SHARE
                group.behind = share < limit * total_share
                behind |= group.behind
        return behind

    def _rank(self, priority: int) -> int:
        """Returns the position of a priority, also for a request of an earlier policy."""
        rank = bisect.bisect_left(self._priorities, priority)
        return min(rank, len(self._priorities) - 1)

    @staticmethod
    def _group_keys(request: RequestClass) -> list[_GroupKey]:
        keys: list[_GroupKey] = [(_PRIORITY, request.priority), ("route", request.route)]
        if request.organisation is not None:
            keys.append(("organisation", request.organisation))
        return keys


class AdmissionControl:
    """Decides up to which length of a server's queue a request may join it.

    Only services whose requests differ in priority have any state. The memory is bounded by the
    numbers of their routes and organisations.
    """

    def __init__(self, *, clock: clock_lib.Clock):
        self._clock = clock
        self._services: dict[str, _Service] = {}
        self._log = structlog.get_logger("admission")

    @property
    def group_count(self) -> int:
        """Number of groups of all services whose outcomes are counted."""
        return sum(service.group_count for service in self._services.values())

    def set_policy(self, policy: model.Policy) -> None:
        """Replaces the priorities of all services with those of a policy."""
        now_s = self._clock.monotonic()
        names = {route.name for route in policy.routes} | set(policy.organisations)
        services = {}
        for name, priorities in _priorities_by_service(policy).items():
            if len(priorities) > 1:
                services[name] = self._services.get(name) or _Service(now_s)
                services[name].set_priorities(priorities, names)
        self._services = services

    def max_waiting_per_slot(self, request: RequestClass) -> float:
        """Returns up to how many waiting requests per slot a request may queue at a server."""
        service = self._services.get(request.service)
        if service is None:
            return balancer.MAX_WAITING_PER_SLOT
        return service.max_waiting_per_slot(request, self._clock.monotonic())

    def preview(self, request: RequestClass) -> QueueBound:
        """Returns the decision on a request without changing any state."""
        service = copy.deepcopy(self._services.get(request.service))
        if service is None:
            return QueueBound()
        now_s = self._clock.monotonic()
        return QueueBound(
            max_waiting_per_slot=service.max_waiting_per_slot(request, now_s),
            shedding=service.is_short(now_s),
            behind=tuple(service.behind),
        )

    def on_overloaded(self, request: RequestClass) -> None:
        """Records that a request was refused, or rejected by a server, for overload."""
        service = self._services.get(request.service)
        if service is not None:
            service.on_overloaded(request.priority, self._clock.monotonic())

    def on_finished(self, request: RequestClass, *, served: bool) -> None:
        """Counts a finished request; ``served`` is whether a server has answered it."""
        service = self._services.get(request.service)
        if service is not None:
            service.on_finished(request, self._clock.monotonic(), served=served)

    def update(self) -> None:
        """Logs which services have begun or ceased to shed requests by priority."""
        now_s = self._clock.monotonic()
        for name, service in self._services.items():
            short = service.is_short(now_s)
            if short != service.shedding:
                service.shedding = short
                self._log.info(
                    "less urgent requests may queue less" if short else "all requests queue alike",
                    service=name,
                    priorities=service.priorities,
                    behind=service.behind,
                )

    def shedding(self) -> dict[str, list[str]]:
        """Returns the services that are short of room, for the state dump.

        The value lists the groups that count as the most urgent because they have fallen behind.
        """
        now_s = self._clock.monotonic()
        return {
            name: service.behind
            for name, service in self._services.items()
            if service.is_short(now_s)
        }


def _priorities_by_service(policy: model.Policy) -> Mapping[str, set[int]]:
    """Returns the priorities of the requests that the policy sends to each service."""
    priorities: dict[str, set[int]] = {}
    for route in policy.routes:
        route_priorities = {route.priority}
        if policy.organisations and not route.anonymous:
            route_priorities = {
                organisation.priority if organisation.priority is not None else route.priority
                for organisation in policy.organisations.values()
            }
        # A split without a positive weight sends everything to its first service.
        used = [entry for entry in route.services if entry.weight > 0] or route.services[:1]
        for entry in used:
            priorities.setdefault(entry.service, set()).update(route_priorities)
    return priorities

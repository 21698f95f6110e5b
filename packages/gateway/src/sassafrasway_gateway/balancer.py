"""Selects the backend server for a request, or refuses the request with a reason.

The object of a request is the data that it works on. A request to a sticky route can name it in a
cookie; any other request has an object of its own. To run an object is to run a request for it.

A server is several times faster on an object that it ran recently, because the object is still in
its caches. Such an object is warm on the server. The first run of an object on a server is a cold
run. A cold server has just started, or was out of use, and has lost its caches.
"""

import collections
import copy
import dataclasses
import enum
import random
from collections.abc import Collection, Mapping

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import cold_limit as cold_limit_lib
from sassafrasway_gateway import load_estimate, model, servers
from sassafrasway_gateway import overflow as overflow_lib

# Number of servers that are compared: the first ones of the object's ranking that may be used now.
# The first of them has usually run the object already; on every other one the first run is a cold
# run.
MAX_COMPARED_SERVERS = 4
# Service time of a cold run divided by that of a warm object, assumed until both have been
# measured.
COLD_RUN_FACTOR = 3.0
# Cost of running an object where it is not known to be warm, by rank of the server, as a multiple
# of the service time of a warm object. A cold run occupies a slot three times as long and delays
# other requests too: moving objects away from short queues would overload the whole service. The
# cost at rank 0 is 1 because that server has often run the object for another instance.
COLD_RUN_COST = (1.0, 4.0, 8.0, 8.0)
# Time after a run for which the object counts as warm on the server.
WARM_FOR_S = 15.0
# Number of pairs of server and object whose last run is recorded; bounds the memory.
MAX_RECENT_RUNS = 4000
# See ``load_estimate``.
MAX_WAITING_PER_SLOT = load_estimate.MAX_WAITING_PER_SLOT
# Load per slot above which an object moves to a server with a free slot, as a multiple of the mean
# load or, if that is lower, of the slots. Below it, a wait costs less than the cold run elsewhere.
LOAD_BOUND = 1.5
# Number of servers that are drawn for a request without an object. A few suffice to avoid the
# busiest ones; with many, all instances would select the same least loaded one.
DRAWN_SERVERS = 4
# Servers whose load report is not older are further candidates for such a request. In a large fleet
# the reports of most servers are too old to tell a busy server from an idle one.
NEW_REPORT_S = 0.3
# Weight of a drawn server, as powers of its free share of slots and of its expected response time.
FREE_SHARE_EXPONENT = 3.0
RESPONSE_TIME_EXPONENT = 2.0
# Bounds the weight of a route whose requests take no measurable time.
MIN_RESPONSE_S = 0.001
# Lower bound of the free share in a weight. The load is an estimate, so a server that seems full
# keeps a small weight.
MIN_FREE_SHARE = 0.02
# Assumed service time of a route before the first measurement.
DEFAULT_SERVICE_S = 0.2
# A run of an object that is not known to be warm counts as a cold run if it takes longer than this
# multiple of the service time of a warm object.
COLD_RUN_MIN_RATIO = 1.5
# Weights of a new sample in the moving averages of service times, when it is above or below them.
SERVICE_WEIGHT_UP = 0.05
SERVICE_WEIGHT_DOWN = 0.1
MIN_RETRY_AFTER_S = 0.1
# Share of its remaining time for which a caller waits at most before it retries.
RETRY_WAIT_SHARE = 1.0 / 3.0
# Time over which callers return when servers accept requests again.
RETURN_SPREAD_S = 0.3
# Bounds the expected number of attempts at a server that fails most requests.
MIN_SUCCESS_RATE = 0.15
# Shortest run of a warm object, as a fraction of the usual service time.
MIN_SERVICE_SHARE = 0.3
# Service time on a cold server divided by that on a server that has warmed up.
COLD_SERVER_FACTOR = 2.0


class Refusal(enum.Enum):
    """Reason why no server was selected."""

    # No listed server may be used now.
    NO_SERVER = "no_server"
    # All servers that could be used want no request for a while.
    RESTING = "resting"
    # The queue of the best server is full, and no other compared server has a free slot.
    OVERLOADED = "overloaded"
    # Even the shortest expected response time of the best server exceeds the time left.
    TOO_LATE = "too_late"


class Exclusion(enum.Enum):
    """Reason why a server is not compared with others."""

    LEAVING = "leaving"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    # The request was sent to it before.
    ATTEMPTED = "attempted"
    OTHER_REGION = "other_region"
    RESTING = "resting"
    EJECTED = "ejected"
    # It is on trial, and its only request is under way.
    TRIAL_UNDER_WAY = "trial_under_way"
    # It is on trial, and this request or this instance may not end the trial.
    ON_TRIAL = "on_trial"
    # It is cold, and the cold limit does not allow a request now.
    COLD = "cold"
    # It has a lower rank than the compared servers, or was not drawn.
    NOT_COMPARED = "not_compared"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """Result of a server selection.

    Attributes:
        state: The selected server; None if the request was refused.
        retry_after_s: Time after which the caller may retry if the request is refused, also if the
            selected server rejects it.
        load: Estimated number of requests running or waiting at the selected server.
        load_age_s: Age of the load report that the estimate is based on; -1 without a report.
        rank: Position of the server in the object's ranking, from 0.
        warm: Whether the server has recently run the object for this instance.
        queue_factor: Expected response time as a multiple of the service time; above 1 if the
            request has to wait for others, also if it is refused for that.
        unproven: Servers that were passed over because they were unreachable, and that may be
            checked now.
    """

    state: servers.ServerState | None = None
    refusal: Refusal | None = None
    retry_after_s: float = 0.0
    load: float = 0.0
    load_age_s: float = 0.0
    rank: int = 0
    warm: bool = False
    queue_factor: float = 1.0
    unproven: Collection[servers.ServerState] = ()

    @property
    def refused_for_overload(self) -> bool:
        """Whether the request was refused because too many others wait."""
        too_late = self.refusal is Refusal.TOO_LATE and self.queue_factor > 1.0
        return too_late or self.refusal is Refusal.OVERLOADED


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SelectionCriteria:
    """Properties of a request that the selection of a server depends on.

    Attributes:
        object_key: Key of the object; see ``jobs.Job``.
        names_object: Whether the caller named the object, so that other requests can share it.
        region: Region of this instance.
        remaining_s: Time until the deadline of the request.
        excluded_servers: Ids of the servers that must not be selected.
        displaced: Whether one of them rejected the request because its queue was full.
        allowed_regions: Regions whose servers may be selected; None allows all.
        max_waiting_per_slot: Number of waiting requests per slot up to which the request may queue
            at a server.
    """

    route: model.Route
    service: str
    object_key: str
    region: str
    remaining_s: float
    excluded_servers: Collection[str] = ()
    allowed_regions: frozenset[str] | None = None
    max_waiting_per_slot: float = MAX_WAITING_PER_SLOT
    names_object: bool = True
    displaced: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ComparedServer:
    """A server that is compared with others for a request.

    Attributes:
        rank: Position of the server in the object's ranking or among the drawn servers, from 0.
        queue_per_slot: Number of requests per slot that would wait if one more arrived.
        full: Whether the request may not join its queue.
        cost_s: Expected cost; for a request without an object, the expected response time.
        weight: Weight in the draw for a request without an object; 0 if it names one.
    """

    state: servers.ServerState
    rank: int
    warm: bool
    queue_per_slot: float
    full: bool
    cost_s: float
    weight: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Preview:
    """What a selection would compare and return.

    Attributes:
        compared: The compared servers in the order of their ranks.
        excluded: Numbers of the other servers of the service, by reason.
    """

    choice: Choice
    compared: tuple[ComparedServer, ...]
    excluded: Mapping[Exclusion, int]


class ServiceTimeEstimate:
    """Moving averages of the service time of each route: warm objects, cold runs and all runs.

    An object that is not known to be warm on a server may be warm all the same, because another
    instance sent the server a request for it. Once the service time of warm objects is known, only
    the slow runs of such objects count as cold runs.
    """

    def __init__(self):
        self._warm_s: dict[str, float] = {}
        self._cold_run_s: dict[str, float] = {}
        self._mean_s: dict[str, float] = {}

    def warm_s(self, route: str) -> float:
        """Returns the usual service time of a warm object."""
        warm_s = self._warm_s.get(route)
        if warm_s is not None:
            return warm_s
        cold_run_s = self._cold_run_s.get(route)
        return DEFAULT_SERVICE_S if cold_run_s is None else cold_run_s / COLD_RUN_FACTOR

    def cold_run_s(self, route: str) -> float:
        """Returns the usual service time of a cold run."""
        cold_run_s = self._cold_run_s.get(route)
        return self.warm_s(route) * COLD_RUN_FACTOR if cold_run_s is None else cold_run_s

    def mean_s(self, route: str) -> float:
        """Returns the mean service time of all runs."""
        return self._mean_s.get(route, DEFAULT_SERVICE_S)

    def add(self, route: str, service_s: float, *, warm: bool) -> None:
        """Adds a measured service time; ``warm`` is whether the object was known to be warm."""
        self._update_average(self._mean_s, route, service_s)
        if warm:
            self._update_average(self._warm_s, route, service_s)
        elif service_s > self.warm_s(route) * COLD_RUN_MIN_RATIO or route not in self._warm_s:
            self._update_average(self._cold_run_s, route, service_s)

    @staticmethod
    def _update_average(estimates: dict[str, float], route: str, service_s: float) -> None:
        old_s = estimates.get(route, service_s)
        # Queueing that this instance does not see can only lengthen the measured time, so short
        # samples get the higher weight.
        weight = SERVICE_WEIGHT_DOWN if service_s < old_s else SERVICE_WEIGHT_UP
        estimates[route] = old_s + weight * (service_s - old_s)


class RecentRuns:
    """Records which server ran which object recently, for requests of this instance."""

    def __init__(self):
        self._last_run_s: dict[tuple[str, str], float] = {}

    def add(self, server_id: str, object_key: str, now_s: float) -> None:
        """Records a run."""
        key = (server_id, object_key)
        self._last_run_s.pop(key, None)
        self._last_run_s[key] = now_s
        if len(self._last_run_s) > MAX_RECENT_RUNS:
            self._last_run_s.pop(next(iter(self._last_run_s)))

    def is_warm(self, server_id: str, object_key: str, now_s: float) -> bool:
        """Whether the server ran the object recently."""
        last_run_s = self._last_run_s.get((server_id, object_key))
        return last_run_s is not None and now_s - last_run_s < WARM_FOR_S


class Balancer:
    """Selects servers by their expected cost.

    A request for an object gets the one with the lowest cost among the top of the object's ranking.
    The object moves away from there only when the load of that server exceeds a bound.

    A request without an object gets one of a few servers, at random with weights by free slots and
    expected response time. If all instances took the least loaded one, they would overload it
    before a report told them so. The few are servers drawn for the request and those of the region
    that reported their load last.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        registry: servers.ServerRegistry,
        service_times: ServiceTimeEstimate,
        cold_limit: cold_limit_lib.ColdLimit,
        overflow: overflow_lib.OverflowControl,
        rng: random.Random | None = None,
    ):
        self._rng = rng or random.Random()
        self._clock = clock
        self._registry = registry
        self._service_times = service_times
        self._cold_limit = cold_limit
        self._overflow = overflow
        self._recent_runs = RecentRuns()

    def on_response(self, server_id: str, object_key: str) -> None:
        """Records that a server has run an object."""
        self._recent_runs.add(server_id, object_key, self._clock.monotonic())

    def choose(self, criteria: SelectionCriteria) -> Choice:
        """Returns the server to use, or the reason why there is none."""
        now_s = self._clock.monotonic()
        unproven: list[servers.ServerState] = []
        candidates = self._candidates(criteria, now_s, unproven)
        choice = self._choose_from(candidates, criteria, now_s)
        return dataclasses.replace(choice, unproven=unproven) if unproven else choice

    def preview(self, criteria: SelectionCriteria) -> Preview:
        """Returns what ``choose`` would return now and why, without changing any state."""
        now_s = self._clock.monotonic()
        # The copy draws the numbers that the next selection would draw.
        chooser = copy.copy(self)
        chooser._rng = copy.copy(self._rng)
        candidates = chooser._candidates(criteria, now_s, [])
        choice = chooser._choose_from(candidates, criteria, now_s)
        if self._follows_ranking(criteria):
            candidates = candidates[:MAX_COMPARED_SERVERS]
        compared_ids = {state.server.server_id for _, state in candidates}
        excluded = collections.Counter(
            self._exclusion(state, criteria, now_s) or Exclusion.NOT_COMPARED
            for state in self._registry
            if state.server.service == criteria.service
            and state.server.server_id not in compared_ids
        )
        compared = tuple(self._compared(candidate, criteria, now_s) for candidate in candidates)
        return Preview(choice=choice, compared=compared, excluded=excluded)

    def _compared(
        self,
        candidate: tuple[int, servers.ServerState],
        criteria: SelectionCriteria,
        now_s: float,
    ) -> ComparedServer:
        rank, state = candidate
        full = self._is_full(state, criteria, now_s)
        if self._follows_ranking(criteria):
            cost_s, weight = self._expected_cost_s(criteria, candidate, now_s), 0.0
        else:
            run_s = self._service_times.mean_s(criteria.route.name)
            cost_s = self._expected_response_s(criteria, state, run_s, now_s)
            weight = 0.0 if full else self._weight(criteria, state, now_s)
        return ComparedServer(
            state=state,
            rank=rank,
            warm=self._follows_ranking(criteria)
            and self._recent_runs.is_warm(state.server.server_id, criteria.object_key, now_s),
            queue_per_slot=self._queue_per_slot(state, now_s),
            full=full,
            cost_s=cost_s,
            weight=weight,
        )

    def _follows_ranking(self, criteria: SelectionCriteria) -> bool:
        """Whether the server is selected by the ranking of an object."""
        return criteria.names_object or not self._registry.estimates_loads

    def _choose_from(
        self,
        candidates: list[tuple[int, servers.ServerState]],
        criteria: SelectionCriteria,
        now_s: float,
    ) -> Choice:
        if not candidates:
            return self._refuse_without_candidates(criteria, now_s)
        if self._follows_ranking(criteria):
            return self._choose_among(candidates, criteria, now_s)
        return self._choose_by_weight(candidates, criteria, now_s)

    def _choose_among(
        self,
        candidates: list[tuple[int, servers.ServerState]],
        criteria: SelectionCriteria,
        now_s: float,
    ) -> Choice:
        """Selects a server for an object."""
        compared = candidates[:MAX_COMPARED_SERVERS]
        best = min(
            compared, key=lambda candidate: self._expected_cost_s(criteria, candidate, now_s)
        )
        must_move = criteria.displaced or self._is_full(best[1], criteria, now_s)
        if must_move or self._exceeds_bound(best[1], now_s):
            # Objects move only to a server with a free slot. On a server without one, their cold
            # runs would delay the requests that wait there.
            free = [
                candidate
                for candidate in compared
                if self._queue_per_slot(candidate[1], now_s) == 0.0
            ]
            if free:
                best = min(
                    free, key=lambda candidate: self._expected_cost_s(criteria, candidate, now_s)
                )
            elif must_move:
                return self._refuse_overload(best[1], criteria, now_s)
        return self._choice(best, criteria, now_s)

    def _choose_by_weight(
        self,
        candidates: list[tuple[int, servers.ServerState]],
        criteria: SelectionCriteria,
        now_s: float,
    ) -> Choice:
        """Selects a server for a request without an object."""
        open_candidates = [
            candidate
            for candidate in candidates
            if not self._is_full(candidate[1], criteria, now_s)
        ]
        if not open_candidates:
            shortest = min(
                (state for _, state in candidates),
                key=lambda state: self._queue_per_slot(state, now_s),
            )
            return self._refuse_overload(shortest, criteria, now_s)
        weights = [self._weight(criteria, state, now_s) for _, state in open_candidates]
        return self._choice(self._draw(open_candidates, weights), criteria, now_s)

    def _draw(
        self, candidates: list[tuple[int, servers.ServerState]], weights: list[float]
    ) -> tuple[int, servers.ServerState]:
        if len(candidates) == 1:
            return candidates[0]
        return self._rng.choices(candidates, weights)[0]

    def _weight(
        self, criteria: SelectionCriteria, state: servers.ServerState, now_s: float
    ) -> float:
        known_load = state.known_load
        load_per_slot = known_load.load_with_queues(now_s) / known_load.slots
        free_share = max(MIN_FREE_SHARE, 1.0 - load_per_slot)
        run_s = self._service_times.mean_s(criteria.route.name)
        response_s = max(MIN_RESPONSE_S, self._expected_response_s(criteria, state, run_s, now_s))
        return free_share**FREE_SHARE_EXPONENT * response_s**-RESPONSE_TIME_EXPONENT

    def _choice(
        self,
        selected: tuple[int, servers.ServerState],
        criteria: SelectionCriteria,
        now_s: float,
    ) -> Choice:
        """Returns the choice of a server, or a refusal if it cannot respond in time."""
        rank, state = selected
        response_s = self._min_response_s(state, criteria, now_s)
        queue_per_slot = self._queue_per_slot(state, now_s)
        if response_s >= criteria.remaining_s:
            spread_s = self._rng.uniform(0.0, self._wait_s(state, criteria, now_s))
            return Choice(
                refusal=Refusal.TOO_LATE,
                retry_after_s=max(response_s + spread_s, MIN_RETRY_AFTER_S),
                queue_factor=1.0 + queue_per_slot,
            )
        return Choice(
            state=state,
            retry_after_s=self._retry_after_s(state, criteria, now_s),
            load=state.load(now_s),
            load_age_s=state.known_load.report_age_s(now_s),
            rank=rank,
            warm=self._recent_runs.is_warm(state.server.server_id, criteria.object_key, now_s),
            queue_factor=1.0 + queue_per_slot,
        )

    def _refuse_without_candidates(self, criteria: SelectionCriteria, now_s: float) -> Choice:
        permitted = self._permitted(criteria)
        resting = [state for state in permitted if state.rest_until_s > now_s]
        if not resting or len(resting) < len(permitted):
            return Choice(refusal=Refusal.NO_SERVER, retry_after_s=servers.INITIAL_EJECTION_S)
        rest_s = min(state.rest_until_s for state in resting) - now_s
        # The callers return spread over some time, as all at once would overload the first server
        # that accepts requests again.
        spread_s = self._rng.uniform(0.0, RETURN_SPREAD_S)
        return Choice(refusal=Refusal.RESTING, retry_after_s=rest_s + spread_s)

    def _permitted(self, criteria: SelectionCriteria) -> list[servers.ServerState]:
        """Returns the usable servers to which the policy allows the request to go."""
        return [
            state
            for state in self._registry
            if state.server.service == criteria.service
            and self._registry.usable(state)
            and self._in_allowed_region(state, criteria)
        ]

    def _in_allowed_region(self, state: servers.ServerState, criteria: SelectionCriteria) -> bool:
        allowed = criteria.allowed_regions
        return allowed is None or self._registry.region_of(state) in allowed

    def _candidates(
        self,
        criteria: SelectionCriteria,
        now_s: float,
        unproven: list[servers.ServerState],
    ) -> list[tuple[int, servers.ServerState]]:
        """Returns the servers to select from that may be used now, with their ranks.

        Those that are passed over because they are on trial are added to ``unproven``.
        """
        if self._follows_ranking(criteria):
            return self._ranked_candidates(criteria, now_s, unproven)
        drawn = self._drawn_candidates(criteria, now_s, unproven)
        if drawn:
            return drawn
        unproven.clear()
        ranked = self._ranked_candidates(criteria, now_s, unproven)
        # The regions keep their shares.
        return [
            candidate
            for candidate in ranked[:DRAWN_SERVERS]
            if self._registry.region_of(candidate[1]) == self._registry.region_of(ranked[0][1])
        ]

    def _ranked_candidates(
        self,
        criteria: SelectionCriteria,
        now_s: float,
        unproven: list[servers.ServerState],
    ) -> list[tuple[int, servers.ServerState]]:
        """Returns the usable servers of the object's ranking, best rank first."""
        ranked = self._registry.ranking(criteria.service).ranked(
            criteria.object_key,
            criteria.region,
            kept_share=self._overflow.kept_share(criteria.service),
        )
        return self._usable_now(ranked, criteria, now_s, unproven)

    def _drawn_candidates(
        self,
        criteria: SelectionCriteria,
        now_s: float,
        unproven: list[servers.ServerState],
    ) -> list[tuple[int, servers.ServerState]]:
        """Returns a few servers for a request without an object that may be used now."""
        drawn = self._registry.ranking(criteria.service).drawn(
            criteria.region,
            rng=self._rng,
            count=DRAWN_SERVERS,
            kept_share=self._overflow.kept_share(criteria.service),
        )
        if not drawn:
            return []
        # The region of the first one is drawn with the shares of the regions.
        region = self._region_of(drawn[0])
        drawn = [server_id for server_id in drawn if self._region_of(server_id) == region]
        drawn = self._with_reporters(drawn, criteria.service, region)
        return self._usable_now(drawn, criteria, now_s, unproven)

    def _region_of(self, server_id: str) -> str:
        state = self._registry.get(server_id)
        return "" if state is None else self._registry.region_of(state)

    def _with_reporters(self, drawn: list[str], service: str, region: str) -> list[str]:
        """Adds the servers of the region with the newest reports."""
        reporters = [
            state.server.server_id
            for state in self._registry.last_reporters(service, NEW_REPORT_S)
            if self._registry.region_of(state) == region
        ]
        return list(dict.fromkeys([*drawn, *reporters]))

    def _usable_now(
        self,
        server_ids: Collection[str],
        criteria: SelectionCriteria,
        now_s: float,
        unproven: list[servers.ServerState],
    ) -> list[tuple[int, servers.ServerState]]:
        """Returns those of the servers that may be used now, with their positions."""
        candidates = []
        for rank, server_id in enumerate(server_ids):
            state = self._registry.get(server_id)
            if state is None:
                continue
            exclusion = self._temporary_exclusion(state, criteria, now_s)
            if exclusion is None:
                candidates.append((rank, state))
            elif exclusion is Exclusion.ON_TRIAL:
                unproven.append(state)
        return candidates

    def _exclusion(
        self, state: servers.ServerState, criteria: SelectionCriteria, now_s: float
    ) -> Exclusion | None:
        """Returns why a server of the service may not be used now; None if it may."""
        if not self._registry.usable(state):
            if state.leaving:
                return Exclusion.LEAVING
            return Exclusion.DRAINING if state.server.draining else Exclusion.EVACUATED
        return self._temporary_exclusion(state, criteria, now_s)

    def _temporary_exclusion(
        self, state: servers.ServerState, criteria: SelectionCriteria, now_s: float
    ) -> Exclusion | None:
        """Returns why a server of the ranking may not be used now; None if it may."""
        if state.server.server_id in criteria.excluded_servers:
            return Exclusion.ATTEMPTED
        if criteria.allowed_regions is not None and not self._in_allowed_region(state, criteria):
            return Exclusion.OTHER_REGION
        if state.rest_until_s > now_s:
            return Exclusion.RESTING
        if state.ejected_until_s > now_s:
            return Exclusion.EJECTED
        if state.on_trial and state.outstanding:
            return Exclusion.TRIAL_UNDER_WAY
        if state.on_trial and not criteria.route.idempotent:
            return Exclusion.ON_TRIAL
        cold = state.cold_until_s > now_s or state.on_trial
        if cold and not self._cold_limit.allows(state, now_s):
            return Exclusion.ON_TRIAL if state.on_trial else Exclusion.COLD
        return None

    def _expected_cost_s(
        self, criteria: SelectionCriteria, candidate: tuple[int, servers.ServerState], now_s: float
    ) -> float:
        """Returns the expected response time, plus the delay that a cold run causes for others."""
        rank, state = candidate
        run_s = self._service_times.warm_s(criteria.route.name)
        if not self._recent_runs.is_warm(state.server.server_id, criteria.object_key, now_s):
            run_s *= COLD_RUN_COST[min(rank, len(COLD_RUN_COST) - 1)]
        return self._expected_response_s(criteria, state, run_s, now_s)

    def _expected_response_s(
        self,
        criteria: SelectionCriteria,
        state: servers.ServerState,
        run_s: float,
        now_s: float,
    ) -> float:
        """Returns the expected response time of a run that usually takes ``run_s``.

        Attempts that have to be repeated are included.
        """
        wait_s = self._queue_per_slot(state, now_s) * self._service_times.mean_s(
            criteria.route.name
        )
        response_s = (wait_s + run_s) * max(1.0, state.latency_ratio) * state.slowdown(now_s)
        if state.cold_until_s > now_s:
            response_s *= COLD_SERVER_FACTOR
        return response_s / max(MIN_SUCCESS_RATE, 1.0 - state.error_rate)

    @staticmethod
    def _queue_per_slot(state: servers.ServerState, now_s: float) -> float:
        """Returns the number of requests that would wait if one more arrived, per slot.

        The result is 0 only if the server has a free slot for the new request.
        """
        slots = max(1, state.server.slots)
        return max(0.0, state.load(now_s) + 1.0 - slots) / slots

    def _is_full(
        self, state: servers.ServerState, criteria: SelectionCriteria, now_s: float
    ) -> bool:
        return self._queue_per_slot(state, now_s) > criteria.max_waiting_per_slot

    def _wait_s(
        self, state: servers.ServerState, criteria: SelectionCriteria, now_s: float
    ) -> float:
        """Returns the time that the queue of a server needs to drain."""
        mean_s = self._service_times.mean_s(criteria.route.name)
        return self._queue_per_slot(state, now_s) * mean_s

    @staticmethod
    def _exceeds_bound(state: servers.ServerState, now_s: float) -> bool:
        """Whether the load of a server is above the bounded multiple of the mean."""
        level = state.known_load.level
        if not level.known:
            return False
        bound_per_slot = LOAD_BOUND * max(1.0, level.per_slot)
        return state.load(now_s) + 1.0 > bound_per_slot * max(1, state.server.slots)

    def _min_response_s(
        self, state: servers.ServerState, criteria: SelectionCriteria, now_s: float
    ) -> float:
        """Returns the shortest time after which a response can be expected."""
        warm_s = self._service_times.warm_s(criteria.route.name)
        return self._wait_s(state, criteria, now_s) + MIN_SERVICE_SHARE * warm_s

    def _retry_after_s(
        self, state: servers.ServerState, criteria: SelectionCriteria, now_s: float
    ) -> float:
        """Returns a random part of the time in which the queue of a server drains.

        Callers that are refused at the same moment then return one after the other. They wait for a
        part of their remaining time at most, so a longer time would make them return together.
        """
        longest_s = min(
            self._wait_s(state, criteria, now_s), criteria.remaining_s * RETRY_WAIT_SHARE
        )
        return self._rng.uniform(MIN_RETRY_AFTER_S, max(longest_s, MIN_RETRY_AFTER_S * 2.0))

    def _refuse_overload(
        self, state: servers.ServerState, criteria: SelectionCriteria, now_s: float
    ) -> Choice:
        """Refuses a request because the queue of a server is full."""
        return Choice(
            refusal=Refusal.OVERLOADED,
            retry_after_s=self._retry_after_s(state, criteria, now_s),
            queue_factor=1.0 + self._queue_per_slot(state, now_s),
        )

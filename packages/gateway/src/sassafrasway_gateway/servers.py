"""State of each backend server as seen by this instance: listing, load, health and warm-up.

The module ``balancer`` explains objects, warm objects, cold runs and cold servers.
"""

import dataclasses
import statistics
from collections.abc import Iterable, Iterator, Mapping

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import affinity, load_estimate, model

# Time for which a server gets no requests after a failure; doubles with each further failure.
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Weights of a new sample in the moving averages of latency ratio and error rate.
LATENCY_WEIGHT = 0.25
ERROR_WEIGHT = 0.2
# Upper bound on the ratio that one sample contributes.
MAX_LATENCY_RATIO = 20.0
# Number of the most recent reporters that are recorded for each service.
MAX_REPORTERS = 8
# Number of removed servers whose state is kept, in case the same start is listed again.
MAX_DEPARTED = 2000
# Number of earlier starts of a server that are remembered.
MAX_ENDED_STARTS = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerState:
    """State of one backend server as seen by this instance.

    Attributes:
        known_load: What is known of the server's load and speed.
        cold_until_s: Monotonic time until which the server is cold.
        next_cold_send_s: Monotonic time from which this instance may send another request to the
            server while it is cold.
        ejected_until_s: Monotonic time until which the server gets no request.
        failures: Failed attempts and reachability checks since the last valid response other than
            a rejection.
        on_trial: Whether the server was unreachable, and has neither sent such a response nor
            accepted a connection since. It then gets one request at a time, and only idempotent
            ones.
        checked: Whether a check is under way whether the server accepts connections.
        latency_ratio: Moving average of the service time divided by the expected one.
        error_rate: Moving average of the share of requests that failed or were rejected.
        leaving: Whether the server has said in a response that it leaves.
        rest_until_s: Monotonic time until which the server wants no request of this instance.
        remove_at_s: Monotonic time at which the server is removed unless it is listed again; None
            while it is listed.
        ended_starts: Last sequence number of the starts before the current one, by the Unix time of
            the start in ms.
        left_in_earlier_era: Whether the server was removed before an older copy replaced the store.
    """

    server: model.BackendServer
    known_load: load_estimate.ServerLoad = dataclasses.field(init=False)
    cold_until_s: float = 0.0
    next_cold_send_s: float = 0.0
    ejected_until_s: float = 0.0
    failures: int = 0
    on_trial: bool = False
    checked: bool = False
    latency_ratio: float = 1.0
    error_rate: float = 0.0
    leaving: bool = False
    rest_until_s: float = 0.0
    remove_at_s: float | None = None
    ended_starts: dict[int, int] = dataclasses.field(default_factory=dict)
    left_in_earlier_era: bool = False

    def __post_init__(self):
        self.known_load = load_estimate.ServerLoad(slots=max(1, self.server.slots))

    @property
    def outstanding(self) -> int:
        """Requests of this instance that the server has not answered yet."""
        return self.known_load.outstanding

    @outstanding.setter
    def outstanding(self, outstanding: int) -> None:
        self.known_load.outstanding = outstanding

    def add_outcome(self, *, failed: bool) -> None:
        """Updates the error rate with the outcome of one request."""
        self.error_rate += ERROR_WEIGHT * (float(failed) - self.error_rate)

    def add_latency(self, service_s: float, expected_s: float, *, warm: bool) -> None:
        """Updates the latency ratio with the service time of one request.

        Args:
            service_s: Time until the response, or until the attempt timed out, without the
                estimated time in the queue of the server.
            expected_s: Usual service time of a warm object, or of a cold run.
            warm: Whether the object was known to be warm on the server. If not, the sample only
                counts when it is slow even for a cold run.
        """
        if expected_s <= 0 or (not warm and service_s <= expected_s):
            return
        ratio = min(MAX_LATENCY_RATIO, service_s / expected_s)
        self.latency_ratio += LATENCY_WEIGHT * (ratio - self.latency_ratio)

    def load(self, now_s: float) -> float:
        """Returns the estimated number of requests running or waiting at the server."""
        return self.known_load.load(now_s)

    @property
    def others_outstanding(self) -> float:
        """Requests of other instances at the server at its last report or rejection."""
        return self.known_load.others_outstanding

    def slowdown(self, now_s: float) -> float:
        """Returns how long work is expected to take there, as a multiple of the usual time."""
        return self.known_load.slowdown(now_s)


class ServerRegistry:
    """Backend servers with their state, and the affinity ranking of each service.

    A server whose listing expired during an outage of the store stays until its grace period ends.
    The state of a removed server is kept: what it has said of itself, and the limits on the
    requests to it, apply to the same start of the server for as long as it runs.
    """

    def __init__(self, *, clock: clock_lib.Clock, region_of: Mapping[str, str]):
        self._clock = clock
        self._region_of = region_of
        self._states: dict[str, ServerState] = {}
        self._departed: dict[str, ServerState] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._rankings: dict[str, affinity.AffinityRanking] = {}
        self._warmup_s: dict[str, float] = {}
        self._levels = load_estimate.LoadLevels()
        # Ids of the servers of each service that reported last, the newest report at the end.
        self._reporters: dict[str, dict[str, None]] = {}
        self._speeds_vary = False
        self._estimation_required = True
        # Whether the store was replaced by an older copy since this process started, and the time
        # by which the writes that the last copy lacks have been repeated.
        self._has_new_era = False
        self._rewrites_end_s = 0.0

    def __len__(self) -> int:
        return len(self._states)

    def __iter__(self) -> Iterator[ServerState]:
        return iter(self._states.values())

    @property
    def estimates_loads(self) -> bool:
        """Whether loads are estimated and compared as the module ``load_estimate`` describes.

        If not, the load of other instances decays after each report, and every request follows the
        ranking of its object.
        """
        return self._estimation_required or self._speeds_vary

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose servers get no request."""
        return self._evacuated

    def get(self, server_id: str) -> ServerState | None:
        """Returns the state of a server, or None if the registry does not contain it."""
        return self._states.get(server_id)

    def region_of(self, state: ServerState) -> str:
        """Returns the region of a server; empty if its failure domain is unknown."""
        return self._region_of.get(state.server.failure_domain, "")

    def ranking(self, service: str) -> affinity.AffinityRanking:
        """Returns the affinity ranking of the usable servers of a service."""
        ranking = self._rankings.get(service)
        if ranking is None:
            ranking = affinity.AffinityRanking(
                servers=[
                    state.server
                    for state in self._states.values()
                    if state.server.service == service and self.usable(state)
                ],
                region_of=self._region_of,
            )
            self._rankings[service] = ranking
        return ranking

    def usable(self, state: ServerState) -> bool:
        """Whether the server is neither leaving nor in an evacuated failure domain."""
        leaving = state.server.draining or state.leaving
        return not leaving and state.server.failure_domain not in self._evacuated

    def may_send(self, state: ServerState) -> bool:
        """Whether a server that was selected before may still get a request."""
        now_s = self._clock.monotonic()
        return (
            self._states.get(state.server.server_id) is state
            and self.usable(state)
            and state.rest_until_s <= now_s
            and state.ejected_until_s <= now_s
        )

    def loads_by_region(self) -> dict[str, dict[str, float]]:
        """Returns the mean load per slot by service and region, from recent load reports."""
        now_s = self._clock.monotonic()
        loads: dict[str, dict[str, list[float]]] = {}
        for state in self._states.values():
            known_load = state.known_load
            recent = now_s - known_load.reported_at_s <= load_estimate.REPORT_LIFETIME_S
            if not recent or not self.usable(state):
                continue
            service_loads = loads.setdefault(state.server.service, {})
            service_loads.setdefault(self.region_of(state), []).append(known_load.reported_per_slot)
        return {
            service: {region: statistics.fmean(values) for region, values in service_loads.items()}
            for service, service_loads in loads.items()
        }

    def set_estimation_required(self, required: bool) -> None:
        """Sets whether loads are estimated although no server reports that its speed varies."""
        self._estimation_required = required
        if not self.estimates_loads:
            self._levels = load_estimate.LoadLevels()
            for state in self._states.values():
                state.known_load.level = load_estimate.LoadLevel()

    def set_regions(self, region_of: Mapping[str, str]) -> None:
        """Replaces the mapping of failure domains to regions."""
        if region_of != self._region_of:
            self._region_of = region_of
            self._rankings.clear()

    def set_warmup(self, services: Iterable[model.Service]) -> None:
        """Replaces the warm-up times with those of a policy."""
        self._warmup_s = {service.name: service.warmup_s for service in services}

    def upsert(self, server: model.BackendServer) -> ServerState:
        """Adds a server or updates its listing, and returns its state.

        The state of a server that has restarted under the same id is reset.
        """
        now_s = self._clock.monotonic()
        state = self._states.get(server.server_id)
        departed = self._departed.pop(server.server_id, None)
        if state is None or self._restarted(state.server, server):
            if state is not None:
                self._rankings.pop(state.server.service, None)
            if departed is not None and not self._restarted(departed.server, server):
                state = departed
            else:
                earlier = state or departed
                state = ServerState(server=server)
                if earlier is not None:
                    last = {earlier.server.started_ms: earlier.server.sequence}
                    starts = (earlier.ended_starts | last).items()
                    state.ended_starts = dict(list(starts)[-MAX_ENDED_STARTS:])
            self._states[server.server_id] = state
            self._rankings.pop(server.service, None)
        elif not self._same_ranking(state.server, server):
            self._rankings.pop(server.service, None)
        state.server = server
        state.known_load.slots = max(1, server.slots)
        state.remove_at_s = None
        state.left_in_earlier_era = False
        if server.cold_left_s > 0:
            state.cold_until_s = max(state.cold_until_s, now_s + server.cold_left_s)
        return state

    def remove(self, server_id: str) -> None:
        """Removes a server."""
        state = self._states.pop(server_id, None)
        if state is None:
            return
        self._rankings.pop(state.server.service, None)
        self._departed[server_id] = state
        if len(self._departed) > MAX_DEPARTED:
            self._departed.pop(next(iter(self._departed)))

    def on_new_era(self, grace_s: float) -> None:
        """Records that an older copy has replaced the store, and old listings may come back.

        What the copy lacks is written again within ``grace_s``.
        """
        self._has_new_era = True
        self._rewrites_end_s = self._clock.monotonic() + grace_s
        for state in self._departed.values():
            state.left_in_earlier_era = True

    def is_outdated(self, server: model.BackendServer) -> bool:
        """Whether a listing comes from an older copy of the store and is older than what is known.

        A listing of the current start is older if its sequence number is lower than the last one,
        and also if it equals the last one and the server was removed before the copy came.
        A listing of an ended start is older unless its sequence number shows that the start goes
        on. An earlier start that is not known counts as ended until the copy is up to date; later
        it may be a new one of a server whose clock was set back. Without a start time, an older
        listing cannot be told from that of a new start.
        """
        known = self._states.get(server.server_id) or self._departed.get(server.server_id)
        if not self._has_new_era or known is None or not server.started_ms:
            return False
        if server.started_ms != known.server.started_ms:
            if server.started_ms in known.ended_starts:
                return server.sequence <= known.ended_starts[server.started_ms]
            earlier = server.started_ms < known.server.started_ms
            return earlier and self._clock.monotonic() < self._rewrites_end_s
        newest = known.server.sequence
        return server.sequence < newest + known.left_in_earlier_era

    def set_evacuated(self, failure_domains: Iterable[str]) -> None:
        """Replaces the set of evacuated failure domains.

        Servers of a failure domain that is no longer evacuated are marked as cold. They were idle
        long enough to lose their caches, but their listings need not state that they are cold.
        """
        evacuated = frozenset(failure_domains)
        now_s = self._clock.monotonic()
        for state in self._states.values():
            if state.server.failure_domain in self._evacuated - evacuated:
                self.mark_cold(state, now_s)
        self._evacuated = evacuated
        self._rankings.clear()

    def mark_cold(self, state: ServerState, now_s: float, left_s: float | None = None) -> None:
        """Marks a server as cold for ``left_s``, by default the warm-up time of its service."""
        if left_s is None:
            left_s = self._warmup_s.get(state.server.service, 0.0)
        state.cold_until_s = max(state.cold_until_s, now_s + left_s)

    def on_load(
        self, state: ServerState, running: int, waiting: int, *, slowdown: float = 1.0
    ) -> None:
        """Records a load report; it counts the requests of all instances."""
        now_s = self._clock.monotonic()
        state.known_load.on_report(running=running, waiting=waiting, slowdown=slowdown, now_s=now_s)
        self._add_reporter(state)
        self._speeds_vary |= slowdown != 1.0
        if self.estimates_loads and self._levels.is_due(now_s):
            self._update_levels(now_s)

    def load_levels(self) -> dict[str, dict[str, float]]:
        """Returns the mean load per slot by service and region, for the state dump."""
        return self._levels.per_slot()

    def last_reporters(self, service: str, max_age_s: float) -> list[ServerState]:
        """Returns the usable servers of a service that reported their load last, in that order.

        ``max_age_s`` is the largest age of their reports.
        """
        oldest_s = self._clock.monotonic() - max_age_s
        states = (self._states.get(server_id) for server_id in self._reporters.get(service, ()))
        return [
            state
            for state in states
            if state is not None
            and state.known_load.reported_at_s >= oldest_s
            and state.server.service == service
            and self.usable(state)
        ]

    def slowdown(self, state: ServerState) -> float:
        """Returns how long work is expected to take on a server now; see ``ServerState``."""
        return state.slowdown(self._clock.monotonic())

    def on_queue_full(self, state: ServerState) -> None:
        """Records that a server rejected a request and did not report its load."""
        if self.estimates_loads:
            state.known_load.on_queue_full(self._clock.monotonic())

    def add_service_time(self, state: ServerState, service_s: float) -> None:
        """Adds the measured service time of a request to the mean of its service."""
        self._levels.add_service_time(state.server.service, service_s)

    def _add_reporter(self, state: ServerState) -> None:
        reporters = self._reporters.setdefault(state.server.service, {})
        reporters.pop(state.server.server_id, None)
        reporters[state.server.server_id] = None
        if len(reporters) > MAX_REPORTERS:
            del reporters[next(iter(reporters))]

    def _update_levels(self, now_s: float) -> None:
        self._levels.update(
            (
                (state.server.service, self.region_of(state), state.known_load)
                for state in self._states.values()
                if self.usable(state)
            ),
            now_s,
        )

    def on_leaving(self, state: ServerState) -> bool:
        """Records that a server said that it leaves; returns whether this is new.

        It gets no request from now on. A listing does not take this back; only a new start does.
        """
        if state.leaving:
            return False
        state.leaving = True
        self._rankings.pop(state.server.service, None)
        return True

    def on_rest(self, state: ServerState, rest_s: float) -> None:
        """Records that a server wants no request of this instance for ``rest_s``."""
        state.rest_until_s = max(state.rest_until_s, self._clock.monotonic() + rest_s)

    def on_response(self, state: ServerState) -> None:
        """Records that a server responded."""
        self.on_reachable(state)
        state.failures = 0
        state.ejected_until_s = 0.0

    def on_reachable(self, state: ServerState) -> None:
        """Records that a server accepts connections; one that was on trial is marked as cold."""
        if state.on_trial:
            self.mark_cold(state, self._clock.monotonic())
        state.on_trial = False

    def on_rejected(self, state: ServerState, *, misdirected: bool) -> None:
        """Records that a server rejected a request without running it.

        ``misdirected`` means that another server now has the address of this one; this one is then
        ejected for ``MAX_EJECTION_S``.
        """
        state.add_outcome(failed=True)
        if misdirected:
            state.ejected_until_s = self._clock.monotonic() + MAX_EJECTION_S

    def on_failure(self, state: ServerState, *, unreachable: bool) -> None:
        """Records a failed attempt or check and ejects the server with exponential backoff.

        ``unreachable`` means that no connection could be opened; the server is then on trial. If
        it is not set, the first failure does not eject the server.
        """
        state.failures += 1
        state.add_outcome(failed=True)
        if unreachable:
            state.on_trial = True
        if unreachable or state.failures >= 2:
            ejection_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2.0 ** (state.failures - 1))
            state.ejected_until_s = self._clock.monotonic() + ejection_s

    @staticmethod
    def _same_ranking(old: model.BackendServer, new: model.BackendServer) -> bool:
        return (old.service, old.failure_domain, old.slots, old.draining) == (
            new.service,
            new.failure_domain,
            new.slots,
            new.draining,
        )

    @staticmethod
    def _restarted(old: model.BackendServer, new: model.BackendServer) -> bool:
        """Whether the new listing belongs to another start of the server.

        If a listing lacks the start time, a changed address or service or a lower sequence number
        counts as a restart.
        """
        if old.started_ms and new.started_ms:
            return old.started_ms != new.started_ms
        moved = (old.host, old.port, old.service) != (new.host, new.port, new.service)
        return moved or new.sequence < old.sequence

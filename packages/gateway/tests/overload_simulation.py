"""Simulation of overload: kinds of requests that differ in priority, and callers that retry."""

import dataclasses
import random
from collections.abc import Callable

import gateway_fakes
import load_simulation

from sassafrasway_gateway import admission, balancer, model

CALLER_TIME_S = 1.0
# Part of its remaining time for which a caller waits at most before it retries.
CALLER_WAIT_SHARE = 1.0 / 3.0
GATEWAY_ATTEMPTS = 2
# Interval at which a kind without requests looks whether it has some now.
IDLE_STEP_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests of one route and organisation that arrive in one region.

    Attributes:
        rate_per_s: Returns the requests per second at a given time.
        max_retries: Number of times that a caller sends a refused request again.
    """

    name: str
    priority: int
    rate_per_s: Callable[[float], float]
    organisation: str | None = None
    region: str = "north"
    max_retries: int = 1


@dataclasses.dataclass(kw_only=True)
class Request:
    """Request of a caller, with what happened to it so far."""

    kind: Kind
    object_key: str
    arrived_s: float
    caller_attempts: int = 0
    excluded: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """Attempt at a server."""

    request: Request
    instance: load_simulation.SimulatedInstance
    choice: balancer.Choice
    started_s: float


class OverloadSimulation(load_simulation.LoadSimulation):
    """Simulation in which kinds of requests differ in priority.

    The callers send the same requests at the same times whatever the instances do, apart from
    retries.

    Args:
        by_priority: Whether instances know the priorities; otherwise all requests queue alike.
    """

    def __init__(self, *, kinds, by_priority, seed, **fields):
        self._kinds = kinds
        self._kind_rngs = {
            kind: random.Random(f"{seed} {kind.region} {kind.name}") for kind in kinds
        }
        # Arrival, end and kind of each request of a caller, and whether it was served in time.
        self.outcomes = []
        super().__init__(rate_per_s=None, seed=seed, **fields)
        for instance in self.instances:
            instance.admission = admission.AdmissionControl(clock=self.clock)
            if by_priority:
                instance.admission.set_policy(_policy(kinds))

    def served_share(self, from_s, to_s, kind=None):
        """Returns the share of requests that were served, of those that arrived in a period.

        Args:
            from_s: Start of the period.
            to_s: End of the period.
            kind: Kind of the requests; None for all.
        """
        served = [
            was_served
            for arrived_s, _, request_kind, was_served in self.outcomes
            if from_s <= arrived_s < to_s and kind in (None, request_kind)
        ]
        return sum(served) / len(served)

    def served_count(self, from_s, to_s):
        """Returns the number of requests that were served in a period, whenever they arrived."""
        return sum(served for _, ended_s, _, served in self.outcomes if from_s <= ended_s < to_s)

    def send(self, kind):
        """Sends one request of a caller."""
        key = f"{kind.region}{self._kind_rngs[kind].randrange(self._objects_per_region)}"
        self._call(Request(kind=kind, object_key=key, arrived_s=self.clock.monotonic()))

    def _arrive(self, region):
        for kind in self._kinds:
            if kind.region == region:
                self._arrive_of_kind(kind, 0.0)

    def _arrive_of_kind(self, kind, rate_per_s):
        """Sends a request if the rate was positive, and schedules the next arrival."""
        now_s = self.clock.monotonic()
        if rate_per_s > 0.0:
            self.send(kind)
        rate_per_s = kind.rate_per_s(now_s)
        rng = self._kind_rngs[kind]
        delay_s = rng.expovariate(rate_per_s) if rate_per_s > 0.0 else IDLE_STEP_S
        self.at(now_s + delay_s, self._arrive_of_kind, kind, rate_per_s)

    def _call(self, request):
        """Lets a caller send a request, for the first time or again, to any instance."""
        request.caller_attempts += 1
        request.excluded = []
        instance = self.rng.choice(
            [instance for instance in self.instances if instance.region == request.kind.region]
        )
        self._forward(request, instance)

    def _forward(self, request, instance):
        now_s = self.clock.monotonic()
        remaining_s = request.arrived_s + CALLER_TIME_S - now_s
        request_class = _request_class(request.kind)
        choice = instance.chooser.choose(
            gateway_fakes.make_criteria(
                route=gateway_fakes.make_route(name=request.kind.name),
                object_key=request.object_key,
                remaining_s=remaining_s,
                region=request.kind.region,
                excluded_servers=request.excluded,
                max_waiting_per_slot=instance.admission.max_waiting_per_slot(request_class),
            )
        )
        if choice.state is None:
            if choice.refused_for_overload:
                instance.admission.on_overloaded(request_class)
            self._refuse(request, instance, choice.retry_after_s)
            return
        server = self.servers[choice.state.server.server_id]
        attempt = Attempt(request=request, instance=instance, choice=choice, started_s=now_s)
        if server.running < server.slots:
            choice.state.outstanding += 1
            self._start(server, attempt)
        elif len(server.queue) < server.slots * load_simulation.MAX_QUEUE_PER_SLOT:
            choice.state.outstanding += 1
            server.queue.append(attempt)
        else:
            self._reject(server, attempt)

    def _reject(self, server, attempt):
        instance, request = attempt.instance, attempt.request
        instance.registry.on_load(attempt.choice.state, server.running, len(server.queue))
        instance.registry.on_rejected(attempt.choice.state, misdirected=False)
        instance.admission.on_overloaded(_request_class(request.kind))
        request.excluded.append(attempt.choice.state.server.server_id)
        if len(request.excluded) < GATEWAY_ATTEMPTS:
            self._forward(request, instance)
        else:
            self._refuse(request, instance, attempt.choice.retry_after_s)

    def _refuse(self, request, instance, retry_after_s):
        """Refuses a request; its caller retries if it has retries and time left."""
        instance.admission.on_finished(_request_class(request.kind), served=False)
        now_s = self.clock.monotonic()
        remaining_s = request.arrived_s + CALLER_TIME_S - now_s
        if request.caller_attempts > request.kind.max_retries or remaining_s <= 0.1:
            self._record(request, served=False)
            return
        self.at(now_s + min(retry_after_s, remaining_s * CALLER_WAIT_SHARE), self._call, request)

    def _start(self, server, job):
        server.running += 1
        warm = job.request.object_key in server.warm_objects
        service_s = load_simulation.WARM_SERVICE_S if warm else load_simulation.COLD_SERVICE_S
        done_s = self.clock.monotonic() + service_s * self.rng.uniform(0.85, 1.15)
        self.at(done_s, self._finish, server, job)

    def _finish(self, server, job):
        now_s = self.clock.monotonic()
        request, instance, state = job.request, job.instance, job.choice.state
        server.running -= 1
        server.warm_objects.add(request.object_key)
        state.outstanding -= 1
        instance.registry.on_load(state, server.running, len(server.queue))
        served = now_s - request.arrived_s <= CALLER_TIME_S
        instance.learner.on_response(
            job.choice,
            route=request.kind.name,
            object_key=request.object_key,
            status=200 if served else 504,
            elapsed_s=now_s - job.started_s,
        )
        self._end(request, instance, served=served)
        while server.queue and server.running < server.slots:
            waiting = server.queue.pop(0)
            if now_s - waiting.request.arrived_s < CALLER_TIME_S:
                self._start(server, waiting)
            else:
                waiting.choice.state.outstanding -= 1
                self._end(waiting.request, waiting.instance, served=False)

    def _end(self, request, instance, *, served):
        instance.admission.on_finished(_request_class(request.kind), served=served)
        self._record(request, served=served)

    def _record(self, request, *, served):
        ended_s = self.clock.monotonic()
        self.outcomes.append((request.arrived_s, ended_s, request.kind, served))


def _request_class(kind):
    return admission.RequestClass(
        service="desk", route=kind.name, priority=kind.priority, organisation=kind.organisation
    )


def _policy(kinds):
    """Returns a policy whose routes and organisations have the priorities of the kinds."""
    routes = tuple(
        gateway_fakes.make_route(name=kind.name, priority=kind.priority) for kind in kinds
    )
    listed = {
        kind.organisation: model.Organisation(name=kind.organisation, priority=kind.priority)
        for kind in kinds
        if kind.organisation is not None
    }
    return model.Policy(
        version=1, routes=routes, services={}, limits=model.Limits(), organisations=listed
    )

"""Discrete-event simulation of gateway instances and servers under load, without a network."""

import heapq
import random

import gateway_fakes

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import balancer, learning, overflow

WARM_SERVICE_S = 0.108
COLD_SERVICE_S = 0.36
# Servers reject requests when this number of requests per slot is waiting.
MAX_QUEUE_PER_SLOT = 3
TIMEOUT_S = 1.0
TARGET_LATENCY_S = 0.25
OVERFLOW_INTERVAL_S = 0.5


class SimulatedServer:
    """Backend server with slots, a queue and a cache of objects."""

    def __init__(self, slots):
        self.slots = slots
        self.running = 0
        self.queue = []
        self.warm_objects = set()


class SimulatedInstance:
    """Gateway instance: the state that it keeps of the servers, and its balancer."""

    def __init__(self, *, clock, listed, region, seed):
        self.region = region
        self.registry = gateway_fakes.make_registry(listed, clock=clock)
        service_times = balancer.ServiceTimeEstimate()
        self.overflow = overflow.OverflowControl(clock=clock, registry=self.registry, region=region)
        self.chooser = balancer.Balancer(
            clock=clock,
            registry=self.registry,
            service_times=service_times,
            cold_limit=gateway_fakes.FixedColdLimit(),
            overflow=self.overflow,
            rng=random.Random(seed),
        )
        self.learner = learning.OutcomeLearner(
            registry=self.registry, chooser=self.chooser, service_times=service_times
        )


class LoadSimulation:
    """Sends requests for objects through instances to simulated servers.

    Args:
        regions: Region of each instance.
        rate_per_s: Returns the requests per second of a region at a given time.
    """

    def __init__(self, *, listed, regions, rate_per_s, objects_per_region, seed):
        self.clock = clock_lib.ManualClock(start_s=0.0)
        self.rng = random.Random(seed)
        self.servers = {server.server_id: SimulatedServer(server.slots) for server in listed}
        self.instances = [
            SimulatedInstance(
                clock=self.clock, listed=listed, region=region, seed=f"{seed} {index}"
            )
            for index, region in enumerate(regions)
        ]
        # End, latency and region of each request; the latency is None without a response.
        self.results = []
        self._rate_per_s = rate_per_s
        self._objects_per_region = objects_per_region
        self._events = []
        self._event_count = 0
        for region in sorted(set(regions)):
            self.at(0.0, self._arrive, region)
        self.at(0.0, self._update_overflow)

    def at(self, at_s, action, *arguments):
        """Schedules a call of ``action`` with the given arguments."""
        self._event_count += 1
        heapq.heappush(self._events, (at_s, self._event_count, action, arguments))

    def run(self, end_s):
        """Runs the simulation until the given time."""
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(at_s - self.clock.monotonic())
            action(*arguments)

    def clear_caches(self):
        """Empties the object caches of all servers."""
        for server in self.servers.values():
            server.warm_objects.clear()

    def share_within_target(self, from_s, to_s, region=None):
        """Returns the share of requests that were answered within the target latency.

        Args:
            from_s: Start of the period in which the requests ended.
            to_s: End of that period.
            region: Region of the requests; None for all regions.
        """
        latencies_s = [
            latency_s
            for ended_s, latency_s, request_region in self.results
            if from_s <= ended_s < to_s and region in (None, request_region)
        ]
        return sum(
            1
            for latency_s in latencies_s
            if latency_s is not None and latency_s <= TARGET_LATENCY_S
        ) / len(latencies_s)

    def _update_overflow(self):
        for instance in self.instances:
            instance.overflow.update()
        self.at(self.clock.monotonic() + OVERFLOW_INTERVAL_S, self._update_overflow)

    def _arrive(self, region):
        now_s = self.clock.monotonic()
        rate_per_s = self._rate_per_s(region, now_s)
        self.at(now_s + self.rng.expovariate(rate_per_s), self._arrive, region)
        region_instances = [candidate for candidate in self.instances if candidate.region == region]
        instance = self.rng.choice(region_instances)
        key = f"{region}{self.rng.randrange(self._objects_per_region)}"
        criteria = gateway_fakes.make_criteria(object_key=key, remaining_s=TIMEOUT_S, region=region)
        choice = instance.chooser.choose(criteria)
        if choice.state is None:
            self.results.append((now_s, None, region))
            return
        job = {"object": key, "choice": choice, "started_s": now_s, "instance": instance}
        server = self.servers[choice.state.server.server_id]
        if server.running < server.slots:
            choice.state.outstanding += 1
            self._start(server, job)
        elif len(server.queue) < server.slots * MAX_QUEUE_PER_SLOT:
            choice.state.outstanding += 1
            server.queue.append(job)
        else:
            instance.registry.on_rejected(choice.state, misdirected=False)
            self.results.append((now_s, None, region))

    def _start(self, server, job):
        server.running += 1
        service_s = WARM_SERVICE_S if job["object"] in server.warm_objects else COLD_SERVICE_S
        done_s = self.clock.monotonic() + service_s * self.rng.uniform(0.85, 1.15)
        self.at(done_s, self._finish, server, job)

    def _finish(self, server, job):
        now_s = self.clock.monotonic()
        server.running -= 1
        server.warm_objects.add(job["object"])
        instance, state = job["instance"], job["choice"].state
        state.outstanding -= 1
        elapsed_s = now_s - job["started_s"]
        instance.registry.on_load(state, server.running, len(server.queue))
        instance.learner.on_response(
            job["choice"], route="r", object_key=job["object"], status=200, elapsed_s=elapsed_s
        )
        self.results.append((now_s, elapsed_s, instance.region))
        while server.queue and server.running < server.slots:
            waiting = server.queue.pop(0)
            if now_s - waiting["started_s"] < TIMEOUT_S:
                self._start(server, waiting)
            else:
                waiting["choice"].state.outstanding -= 1
                self.results.append((now_s, None, waiting["instance"].region))

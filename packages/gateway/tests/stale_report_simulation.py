"""Simulation of server selection by many instances that know loads only from responses.

Run as a script, it prints one row of figures for each selection and number of instances:

    python stale_report_simulation.py 6 27 143 2000
"""

import argparse
import dataclasses
import random

import gateway_fakes
import load_simulation

from sassafrasway_gateway import affinity, balancer, load_estimate

# Work of a request for a warm object or of one without an object, at the usual speed.
MEAN_WORK_S = 0.1
LONG_WORK_SHARE = 0.03
LONG_WORK_FACTOR = 7.0
COLD_RUN_FACTOR = 3.0
SLOWDOWN = 2.5
SLOW_SHARE = 0.15
SLOW_FOR_S = 0.6
# One-way delay between instances and servers.
NETWORK_S = 0.001
MAX_ATTEMPTS = 2
WARM_UP_S = 4.0
SAMPLE_INTERVAL_S = 0.02
SERVICE = "desk"


class SpeedSchedule:
    """Alternates a server between its usual speed and a slowdown."""

    def __init__(self, rng, end_s):
        # Start and slowdown of each phase.
        self.phases = []
        slow = rng.random() < SLOW_SHARE
        at_s = 0.0
        while at_s < end_s:
            self.phases.append((at_s, SLOWDOWN if slow else 1.0))
            usual_for_s = SLOW_FOR_S * (1.0 - SLOW_SHARE) / SLOW_SHARE
            at_s += rng.expovariate(1.0 / (SLOW_FOR_S if slow else usual_for_s))
            slow = not slow
        self._index = 0

    def slowdown(self, now_s):
        """Returns the slowdown at a time that never decreases between calls."""
        while self._index + 1 < len(self.phases) and self.phases[self._index + 1][0] <= now_s:
            self._index += 1
        return self.phases[self._index][1]

    def end_of(self, work_s, now_s):
        """Returns when work that starts now ends."""
        self.slowdown(now_s)
        index, at_s = self._index, now_s
        while index + 1 < len(self.phases):
            next_s, slowdown = self.phases[index + 1][0], self.phases[index][1]
            if at_s + work_s * slowdown <= next_s:
                break
            work_s -= (next_s - at_s) / slowdown
            at_s = next_s
            index += 1
        return at_s + work_s * self.phases[index][1]


class FormerBalancer(balancer.Balancer):
    """Selection by loads that decay to 0; each request has an object of its own or a named one."""

    def _with_reporters(self, drawn, service, region):
        return drawn

    def choose(self, criteria):
        """See base class."""
        now_s = self._clock.monotonic()
        # Drawn servers are in the order of the ranking of a random object.
        candidates = self._candidates(criteria, now_s, [])
        if not candidates:
            return self._refuse_without_candidates(criteria, now_s)
        return self._choose_among(candidates, criteria, now_s)

    @staticmethod
    def former_load(state, now_s):
        """Returns the load of a server as it was estimated before ``load_estimate``."""
        known = state.known_load
        age_s = max(0.0, now_s - known.reported_at_s)
        others = known.reported_others_per_slot * known.slots
        return known.outstanding + others * 0.5 ** (age_s / load_estimate.LOAD_HALF_LIFE_S)

    def _queue_per_slot(self, state, now_s):
        return max(0.0, self.former_load(state, now_s) + 1.0 - state.server.slots) / (
            state.server.slots
        )

    @staticmethod
    def _exceeds_bound(state, now_s):
        return False


@dataclasses.dataclass(slots=True)
class Request:
    """A simulated request."""

    key: str
    named: bool
    work_s: float
    arrived_s: float
    instance: load_simulation.SimulatedInstance
    attempts: int = 0
    excluded: list = dataclasses.field(default_factory=list)
    choice: balancer.Choice | None = None
    sent_s: float = 0.0
    rejections: list = dataclasses.field(default_factory=list)


class StaleReportSimulation(load_simulation.LoadSimulation):
    """Simulates one service with one selection: ``former``, ``random``, ``ideal`` or ``new``.

    Args:
        load: Mean share of slots in use if all objects are warm.
        named_share: Share of the requests that name an object.
        objects: Number of objects; a server caches twice its share of them.
        report_delay_s: Extra time until an instance gets a load report.
        reports_speed: Whether load reports have a fourth figure.
    """

    def __init__(
        self,
        selection,
        *,
        instances,
        servers_count=128,
        slots=9,
        load=0.7,
        named_share=0.5,
        objects=1500,
        report_delay_s=0.0,
        reports_speed=True,
        end_s=10.0,
        seed=1,
    ):
        listed = [
            gateway_fakes.make_server(f"s{index}", slots=slots) for index in range(servers_count)
        ]
        mean_work_s = MEAN_WORK_S * (1.0 + LONG_WORK_SHARE * (LONG_WORK_FACTOR - 1.0))
        mean_speed = 1.0 / (1.0 - SLOW_SHARE + SLOW_SHARE / SLOWDOWN)
        rate_per_s = load * slots * servers_count / (mean_work_s * mean_speed)
        super().__init__(
            listed=listed,
            regions=["north"] * instances,
            rate_per_s=lambda region, now_s: rate_per_s,
            objects_per_region=objects,
            seed=seed,
        )
        self._selection = selection
        self._named_share = named_share
        self._report_delay_s = report_delay_s
        self._reports_speed = reports_speed and selection != "former"
        self._end_s = end_s
        # Work, objects and speeds are the same for all selections.
        self._work_rng = random.Random(f"work {seed}")
        self._objects = objects
        self._cached_objects = 2 * objects // servers_count
        for server in self.servers.values():
            server.warm_objects = {}
        self._ranking = affinity.AffinityRanking(servers=listed, region_of=gateway_fakes.REGION_OF)
        for instance in self.instances:
            instance.registry._rankings[SERVICE] = self._ranking
            if selection == "former":
                instance.chooser.__class__ = FormerBalancer
            instance.chooser._rng = self.rng
        self._speeds = {
            server_id: SpeedSchedule(random.Random(f"{seed} {server_id}"), end_s + 5.0)
            for server_id in self.servers
        }
        self._waiting = self._running = 0
        self._slots = slots * servers_count
        self._changed_s = WARM_UP_S
        self.idle_while_waiting_s = 0.0
        self.any_idle_while_waiting_s = 0.0
        self._offered = load
        # Load per slot of every server and of the busiest one, at each sample.
        self.samples = []
        self.busiest = []
        self.latencies_s = []
        self.counts = dict.fromkeys(
            ("requests", "in_time", "named", "attempts", "rejections", "again", "failed", "cold"), 0
        )
        self.at(WARM_UP_S, self._sample)

    def figures(self):
        """Runs the simulation and returns its figures."""
        self.run(self._end_s)
        measured_s = self._end_s - WARM_UP_S
        self.samples.sort()
        self.latencies_s.sort()
        counts = self.counts
        return {
            "idle_while_waiting": self.idle_while_waiting_s / measured_s / self._slots,
            "any_idle": self.any_idle_while_waiting_s / measured_s,
            "p99_queue": self.samples[int(len(self.samples) * 0.99)] / self._offered,
            "worst_queue": sum(self.busiest) / len(self.busiest) / self._offered,
            "p50_ms": 1000 * self.latencies_s[len(self.latencies_s) // 2],
            "p99_ms": 1000 * self.latencies_s[int(len(self.latencies_s) * 0.99)],
            "in_time": counts["in_time"] / max(1, counts["requests"]),
            "rejected": counts["rejections"] / max(1, counts["attempts"]),
            "again": counts["again"],
            "failed": counts["failed"] / max(1, counts["requests"]),
            "cold": counts["cold"] / max(1, counts["named"]),
        }

    @property
    def _measuring(self):
        return self.clock.monotonic() >= WARM_UP_S

    def _count(self, name):
        if self._measuring:
            self.counts[name] += 1

    def _change(self, *, running=0, waiting=0):
        """Accounts for the time since the last change, then changes the totals."""
        now_s = self.clock.monotonic()
        if now_s > self._changed_s:
            wasted = min(self._slots - self._running, self._waiting)
            self.idle_while_waiting_s += wasted * (now_s - self._changed_s)
            if wasted:
                self.any_idle_while_waiting_s += now_s - self._changed_s
            self._changed_s = now_s
        self._running += running
        self._waiting += waiting

    def _sample(self):
        loads = [
            (server.running + len(server.queue)) / server.slots for server in self.servers.values()
        ]
        self.samples.extend(loads)
        self.busiest.append(max(loads))
        self.at(self.clock.monotonic() + SAMPLE_INTERVAL_S, self._sample)

    def _update_overflow(self):
        pass

    def _arrive(self, region):
        now_s = self.clock.monotonic()
        rng = self._work_rng
        self.at(now_s + rng.expovariate(self._rate_per_s(region, now_s)), self._arrive, region)
        named = rng.random() < self._named_share
        key = f"o{rng.randrange(self._objects)}" if named else f"r{self._event_count}"
        work_s = MEAN_WORK_S * rng.uniform(0.5, 1.5)
        if rng.random() < LONG_WORK_SHARE:
            work_s *= LONG_WORK_FACTOR
        self._count("requests")
        self._attempt(
            Request(
                key=key,
                named=named,
                work_s=work_s,
                arrived_s=now_s,
                instance=rng.choice(self.instances),
            )
        )

    def _attempt(self, request):
        request.choice = self._choose(request)
        if request.choice.state is None or request.attempts >= MAX_ATTEMPTS:
            self._count("failed")
            return
        request.attempts += 1
        request.sent_s = self.clock.monotonic()
        request.choice.state.outstanding += 1
        self._count("attempts")
        self.at(request.sent_s + NETWORK_S, self._reach, request)

    def _choose(self, request):
        if self._selection in ("new", "former"):
            criteria = gateway_fakes.make_criteria(
                object_key=request.key,
                names_object=request.named,
                excluded_servers=request.excluded,
                displaced=bool(request.excluded) and self._selection == "new",
            )
            return request.instance.chooser.choose(criteria)
        if request.named:
            compared = list(self._ranking.ranked(request.key, "north")[:4])
        elif self._selection == "random":
            compared = self._ranking.drawn("north", rng=self.rng, count=5)
        else:
            compared = list(self.servers)
            self.rng.shuffle(compared)
        compared = [server_id for server_id in compared if server_id not in request.excluded]
        selected = compared[0]
        if self._selection == "ideal":
            selected = min(compared, key=lambda server_id: self._true_cost(request, server_id))
        return balancer.Choice(
            state=request.instance.registry.get(selected),
            warm=self._is_warm(request, self.servers[selected]),
        )

    def _true_cost(self, request, server_id):
        server = self.servers[server_id]
        waiting = max(0, server.running + len(server.queue) + 1 - server.slots) / server.slots
        cold = 0.0 if self._is_warm(request, server) else COLD_RUN_FACTOR - 1.0
        speed = self._speeds[server_id].slowdown(self.clock.monotonic())
        # Among servers with free slots, the least loaded one is taken.
        tie = server.running / server.slots / 1000.0
        return (1.0 + waiting + cold) * speed + tie

    @staticmethod
    def _is_warm(request, server):
        return not request.named or request.key in server.warm_objects

    def _reach(self, request):
        """Lets the request arrive at its server."""
        server = self.servers[request.choice.state.server.server_id]
        if server.running < server.slots:
            self._begin(server, request)
        elif len(server.queue) < server.slots * load_simulation.MAX_QUEUE_PER_SLOT:
            self._change(waiting=1)
            server.queue.append(request)
        else:
            self._count("rejections")
            self.at(self.clock.monotonic() + NETWORK_S, self._rejected, request)

    def _rejected(self, request):
        state, now_s = request.choice.state, self.clock.monotonic()
        state.outstanding -= 1
        if state.server.server_id in request.rejections:
            self._count("again")
        request.rejections.append(state.server.server_id)
        request.instance.registry.on_rejected(state, misdirected=False)
        if self._selection == "former":
            if FormerBalancer.former_load(state, now_s) >= state.server.slots:
                request.excluded.append(state.server.server_id)
        else:
            request.instance.registry.on_queue_full(state)
            request.excluded.append(state.server.server_id)
        self._attempt(request)

    def _begin(self, server, request):
        self._change(running=1)
        server.running += 1
        server_id = request.choice.state.server.server_id
        work_s = request.work_s
        if request.named:
            self._count("named")
            if request.key not in server.warm_objects:
                work_s *= COLD_RUN_FACTOR
                self._count("cold")
            self._keep_warm(server, request.key)
        end_s = self._speeds[server_id].end_of(work_s, self.clock.monotonic())
        self.at(end_s, self._end, server, request)

    def _keep_warm(self, server, key):
        """Marks an object as the last one that the server has run."""
        server.warm_objects.pop(key, None)
        server.warm_objects[key] = None
        if len(server.warm_objects) > self._cached_objects:
            del server.warm_objects[next(iter(server.warm_objects))]

    def _end(self, server, request):
        self._change(running=-1)
        server.running -= 1
        if server.queue:
            self._change(waiting=-1)
            self._begin(server, server.queue.pop(0))
        now_s = self.clock.monotonic()
        speed = self._speeds[request.choice.state.server.server_id].slowdown(now_s)
        report = (server.running, len(server.queue), speed)
        self.at(now_s + NETWORK_S, self._respond, request, report)

    def _respond(self, request, report):
        now_s = self.clock.monotonic()
        state = request.choice.state
        state.outstanding -= 1
        if self._measuring:
            self.latencies_s.append(now_s - request.arrived_s)
            if now_s - request.arrived_s <= load_simulation.TARGET_LATENCY_S:
                self._count("in_time")
        self.at(
            now_s + self._report_delay_s, self._report, request, report, state.outstanding, now_s
        )
        if self._selection in ("new", "former"):
            request.instance.learner.on_response(
                request.choice,
                route="r",
                object_key=request.key,
                status=200,
                elapsed_s=now_s - request.sent_s,
            )

    def _report(self, request, report, outstanding, sent_s):
        """Gives a load report to the instance, which knows its age."""
        running, waiting, speed = report
        registry, state = request.instance.registry, request.choice.state
        if not self._reports_speed:
            speed = 1.0
        now_outstanding, state.outstanding = state.outstanding, outstanding
        registry.on_load(state, running, waiting, slowdown=speed)
        state.outstanding = now_outstanding
        state.known_load.reported_at_s = state.known_load.observed_at_s = sent_s


def main():
    """Prints the figures of all selections."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("instances", type=int, nargs="+")
    parser.add_argument("--selections", default="former,random,new,ideal")
    parser.add_argument("--report-delay", type=float, default=0.0)
    parser.add_argument("--three-figures", action="store_true")
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--named-share", type=float, default=0.5)
    parser.add_argument("--servers", type=int, default=128)
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(
        "instances selection  idle while waiting  queue p99  worst   p50 ms  p99 ms"
        "  in time  rejected  again  failed    cold"
    )
    for instances in options.instances:
        for selection in options.selections.split(","):
            row = StaleReportSimulation(
                selection,
                instances=instances,
                servers_count=options.servers,
                slots=options.slots,
                load=options.load,
                named_share=options.named_share,
                report_delay_s=options.report_delay,
                reports_speed=not options.three_figures,
                end_s=WARM_UP_S + options.seconds,
                seed=options.seed,
            ).figures()
            print(
                f"{instances:9} {selection:9} {row['idle_while_waiting']:18.2%}"
                f" {row['p99_queue']:10.2f} {row['worst_queue']:6.2f} {row['p50_ms']:8.0f}"
                f" {row['p99_ms']:7.0f} {row['in_time']:8.1%} {row['rejected']:9.2%}"
                f" {row['again']:6} {row['failed']:7.2%} {row['cold']:7.2%}",
                flush=True,
            )


if __name__ == "__main__":
    main()

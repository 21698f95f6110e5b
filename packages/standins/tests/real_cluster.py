"""Runs fault scenarios under load on a cluster of real processes and checks their records."""

import asyncio
import collections
import contextlib
import json
import pathlib
import tempfile
import time

from sassafrasway_core import at_most_once
from sassafrasway_standins import (
    check,
    checked_history,
    history,
    launcher,
    layouts,
    load,
    operator_tool,
    processes,
    tally,
)

LOAD_STARTUP_S = 2.5  # load processes take about a second to start on a busy machine
SEGMENT_S = 8.0
VERDICT_TIMEOUT_S = 40.0  # covers the rest of the last segment and the deadline of its requests
# Time for requests that callers have given up to end at the backend servers, which they do by their
# deadline. Covers the default deadline of 2 s, but not ``DEADLINE_MS``.
SETTLE_S = 2.5
# Ten times the default. With a shorter deadline, stalls of several seconds on a busy machine would
# cause unknown outcomes. The outcomes of lost requests and responses are unknown with any deadline.
DEADLINE_MS = 20_000
# Short enough that the service time alone does not bring a request close to its deadline.
MEAN_MS = 100.0


class Result:
    """Records of the requests of one scenario, selected by the seeds that their IDs contain.

    Attributes:
        records: Records of all scenarios so far.
        history: Index of ``records``.
        intents: Records of the requests that were due to be sent, by request ID.
        verdicts: Records of the final outcomes for the callers, by request ID.
    """

    def __init__(self, *, records, seeds, services):
        self.records = records
        self.history = checked_history.History(records)
        self._seeds = {str(seed) for seed in seeds}
        self._services = services
        self.intents = {
            request: intent
            for request, intent in self.history.intents.items()
            if self._is_of_scenario(request)
        }
        self.verdicts = {
            request: verdict
            for request, verdict in self.history.verdicts.items()
            if self._is_of_scenario(request)
        }

    @property
    def runs(self):
        """Runs of the requests of the scenario at backend servers."""
        return [run for run in self.history.runs if self._is_of_scenario(run.request)]

    @property
    def non_idempotent_runs(self):
        """Runs of requests to non-idempotent services, which may run a request only once."""
        return [run for run in self.runs if not self.history.is_idempotent(run)]

    def with_outcome(self, outcome):
        """Returns the attempts of each request with the given outcome for its caller."""
        return {
            request: self.history.attempts.get(request, [])
            for request, verdict in self.verdicts.items()
            if verdict.outcome == outcome
        }

    def refusals(self):
        """Returns the number of requests that were not run, by reason."""
        refused = (
            verdict for verdict in self.verdicts.values() if verdict.outcome == history.NOT_RUN
        )
        return collections.Counter(verdict.reason for verdict in refused)

    def summary(self):
        """Returns the counts of the scenario as a table, for failure messages."""
        own_records = [
            record
            for record in self.records
            if self._is_of_scenario(getattr(record, "request", ""))
        ]
        policies = [record for record in self.records if isinstance(record, history.PolicyInForce)]
        tallies = tally.count([*policies, *own_records], self._services)
        return f"{tally.as_text(tallies)}\nrefusals: {dict(self.refusals())}"

    def _is_of_scenario(self, request):
        """Whether a request ID, ``<service>.<region>.<seed>.<number>``, has a seed of the load."""
        parts = request.split(".")
        return len(parts) == 4 and parts[2] in self._seeds


class RealCluster:
    """A cluster of real processes with the demo layout, shared by the scenarios of a test class.

    Attributes:
        cluster: The running cluster; None before ``start``.
        operator: Runs sassafrasctl; None before ``start``.
        document: Policy document applied last.
    """

    def __init__(self):
        self._stack = contextlib.AsyncExitStack()
        self._known_violations = set()
        self.cluster = None
        self.operator = None
        self.document = {}

    async def start(self):
        """Starts all processes and applies the policy."""
        directory = self._stack.enter_context(tempfile.TemporaryDirectory(prefix="real-"))
        running = launcher.running(
            layouts.DEMO,
            directory=pathlib.Path(directory),
            options=launcher.Options(entries=4, backend_processes=1, link_processes=1),
        )
        try:
            self.cluster = await self._stack.enter_async_context(running)
            self.operator = operator_tool.Operator(cluster=self.cluster)
            await self.apply(self.cluster.site.policy())
            await self.cluster.wait_ready()
        except BaseException:
            await self._stack.aclose()
            raise

    async def stop(self):
        """Ends all processes."""
        await self._stack.aclose()

    async def apply(self, document):
        """Applies a policy document with sassafrasctl."""
        await self.operator.apply(document)
        self.document = document

    async def scenario(self, action, *, seed, load_factor):
        """Sends load while ``action`` runs and until the current load segment has ended.

        Args:
            action: Coroutine function without parameters, called once the load is running.
            seed: Seed of the first load segment; each further segment uses the next number.
            load_factor: Offered load.

        Returns:
            A ``Result`` and the rule violations that no earlier scenario reported.
        """
        await self.cluster.wait_ready()
        done = asyncio.Event()
        sender = asyncio.create_task(self._send_segments(done, seed, load_factor))
        try:
            await asyncio.sleep(2 * LOAD_STARTUP_S)
            await action()
        finally:
            done.set()
            seeds = await sender
        await asyncio.sleep(SETTLE_S)
        await self.cluster.collect_link_bytes()
        return self._make_result(seeds, load_factor)

    async def _send_segments(self, done, seed, load_factor):
        """Sends consecutive load segments until ``done`` is set; returns their seeds."""
        segments = []
        start_s = time.monotonic() + LOAD_STARTUP_S
        try:
            while not done.is_set():
                number = seed + len(segments)
                segments.append(await self._start_segment(number, load_factor, start_s))
                start_s += SEGMENT_S
                await asyncio.sleep(start_s - LOAD_STARTUP_S - time.monotonic())
            codes = [await segment.wait(timeout_s=VERDICT_TIMEOUT_S) for segment in segments]
        finally:
            await asyncio.gather(*(segment.kill() for segment in segments))
        if any(codes):
            raise processes.ProcessError(f"load processes ended with exit codes {codes}")
        return range(seed, seed + len(segments))

    async def _start_segment(self, seed, load_factor, start_s):
        plan = self._make_plan(seed, load_factor, start_s)
        directory = self.cluster.directory
        path = directory / "settings" / f"load-{seed}.json"
        path.write_text(json.dumps(plan.dump()), encoding="utf-8")
        command = [*processes.script("sassafrasway-standins"), "load", "--plan", str(path)]
        command += ["--records", str(self.cluster.records / f"load-{seed}.jsonl")]
        log = directory / "logs" / f"load-{seed}.log"
        child = processes.ChildProcess(name=f"load-{seed}", command=command, log=log)
        await child.start()
        return child

    def _make_plan(self, seed, load_factor, start_s):
        return load.plan_for(
            self.cluster.site,
            load=load_factor,
            mean_ms=MEAN_MS,
            deadline_ms=DEADLINE_MS,
            duration_s=SEGMENT_S,
            seed=seed,
            start_s=start_s,
        )

    def _make_result(self, seeds, load_factor):
        records = list(history.read(check.history_files([self.cluster.records])))
        services = self._make_plan(seeds[0], load_factor, 0.0).services
        violations = [str(violation) for violation in check.check(records)]
        new_violations = [text for text in violations if text not in self._known_violations]
        self._known_violations.update(violations)
        return Result(records=records, seeds=seeds, services=services), new_violations


def ticket_holder(attempt):
    """Returns the instance that holds the ticket of an attempt; None if its key is no ticket."""
    ticket = at_most_once.Ticket.parse(attempt.key)
    return None if ticket is None else ticket.holder.name

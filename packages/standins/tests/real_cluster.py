"""Scenarios on real processes: one cluster, load in pieces, and what the records say afterwards."""

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

LEAD_S = 2.5  # load processes take about a second to start on a busy machine
PIECE_S = 8.0
VERDICT_TIMEOUT_S = 40.0
# Runs whose callers gave up end within the deadline of the request.
SETTLE_S = 2.5
# Ten times the default: on a machine that stalls for seconds, a shorter deadline would turn the
# speed of the machine into unknown outcomes. Lost requests and answers stay unknown all the same.
DEADLINE_MS = 20_000
# With short runs no request comes near its deadline by its service time alone.
MEAN_MS = 100.0


class Result:
    """What the records say about the requests of one scenario.

    Args:
        records: Records of the whole run so far.
        seeds: Seeds of the scenario's load; the names of its requests contain them.
        services: Services that were called, by name.
    """

    def __init__(self, *, records, seeds, services):
        self.records = records
        self.run = checked_history.History(records)
        self._seeds = {str(seed) for seed in seeds}
        self._services = services
        self.intents = {
            request: intent
            for request, intent in self.run.intents.items()
            if self._is_mine(request)
        }
        self.verdicts = {
            request: verdict
            for request, verdict in self.run.verdicts.items()
            if self._is_mine(request)
        }

    @property
    def starts(self):
        """Runs of this scenario's requests at backend servers."""
        return [each for each in self.run.runs if self._is_mine(each.request)]

    @property
    def non_idempotent_starts(self):
        """Those of services that may run a request only once."""
        return [each for each in self.starts if not self.run.is_idempotent(each)]

    def with_outcome(self, outcome):
        """Returns the requests whose callers learned this outcome, with all attempts."""
        return {
            request: self.run.attempts.get(request, [])
            for request, verdict in self.verdicts.items()
            if verdict.outcome == outcome
        }

    def refusals(self):
        """Returns how often each reason was given for a request that did not run."""
        refused = (each for each in self.verdicts.values() if each.outcome == history.NOT_RUN)
        return collections.Counter(each.reason for each in refused)

    def summary(self):
        """Returns the counts of the scenario as a table, for messages of failures."""
        mine = [each for each in self.records if self._is_mine(getattr(each, "request", ""))]
        policies = [each for each in self.records if isinstance(each, history.PolicyInForce)]
        tallies = tally.count([*policies, *mine], self._services)
        return f"{tally.as_text(tallies)}\nrefusals: {dict(self.refusals())}"

    def _is_mine(self, request):
        parts = request.split(".")
        return len(parts) == 4 and parts[2] in self._seeds


class RealCluster:
    """The demo layout in real processes, shared by the scenarios of one test class."""

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

    async def scenario(self, act, *, seed, load_factor):
        """Sends load for as long as ``act`` takes, and a piece longer.

        Args:
            act: Called without arguments once the load runs.
            seed: Seed of the first piece of load; each further piece has the next one.
            load_factor: Offered load.

        Returns:
            A ``Result`` and the violations that no earlier scenario showed.
        """
        await self.cluster.wait_ready()
        done = asyncio.Event()
        sender = asyncio.create_task(self._send(done, seed, load_factor))
        try:
            await asyncio.sleep(2 * LEAD_S)
            await act()
        finally:
            done.set()
            seeds = await sender
        await asyncio.sleep(SETTLE_S)
        await self.cluster.collect_link_bytes()
        return self._result(seeds, load_factor)

    async def _send(self, done, seed, load_factor):
        """Sends pieces of load one after the other until ``done``; returns their seeds."""
        pieces = []
        start_s = time.monotonic() + LEAD_S
        try:
            while not done.is_set():
                number = seed + len(pieces)
                pieces.append(await self._start_piece(number, load_factor, start_s))
                start_s += PIECE_S
                await asyncio.sleep(start_s - LEAD_S - time.monotonic())
            codes = [await each.wait(timeout_s=VERDICT_TIMEOUT_S) for each in pieces]
        finally:
            await asyncio.gather(*(each.kill() for each in pieces))
        if any(codes):
            raise processes.ProcessError(f"load processes ended with codes {codes}")
        return range(seed, seed + len(pieces))

    async def _start_piece(self, seed, load_factor, start_s):
        plan = self._plan(seed, load_factor, start_s)
        directory = self.cluster.directory
        path = directory / "settings" / f"load-{seed}.json"
        path.write_text(json.dumps(plan.dump()), encoding="utf-8")
        command = [*processes.script("sassafrasway-standins"), "load", "--plan", str(path)]
        command += ["--records", str(self.cluster.records / f"load-{seed}.jsonl")]
        log = directory / "logs" / f"load-{seed}.log"
        child = processes.ChildProcess(name=f"load-{seed}", command=command, log=log)
        await child.start()
        return child

    def _plan(self, seed, load_factor, start_s):
        return load.plan_for(
            self.cluster.site,
            load=load_factor,
            mean_ms=MEAN_MS,
            deadline_ms=DEADLINE_MS,
            duration_s=PIECE_S,
            seed=seed,
            start_s=start_s,
        )

    def _result(self, seeds, load_factor):
        records = list(history.read(check.history_files([self.cluster.records])))
        services = self._plan(seeds[0], load_factor, 0.0).services
        found = [str(each) for each in check.check(records)]
        new = [each for each in found if each not in self._known_violations]
        self._known_violations.update(found)
        return Result(records=records, seeds=seeds, services=services), new


def holder(attempt):
    """Returns the name of the instance that issued the ticket of an attempt; None without one."""
    ticket = at_most_once.Ticket.parse(attempt.key)
    return None if ticket is None else ticket.holder.name

"""Benchmark that runs a whole deployment under load, with or without a fault, and reports on it."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import resource
import shutil
import sys
import time
from collections.abc import Mapping
from typing import Any

import aiohttp
import click

from sassafrasway_core import errors
from sassafrasway_rpc import client as rpc_client
from sassafrasway_rpc import schema
from sassafrasway_standins import (
    check,
    faults,
    history,
    launcher,
    layouts,
    load,
    processes,
    report,
)

RESULTS = pathlib.Path("results")
MIN_ENTRIES, MAX_ENTRIES = 16, 26
MIN_LOAD_PROCESSES, MAX_LOAD_PROCESSES = 1, 6
BACKEND_PROCESSES = 3
POLICY_TIMEOUT_S = 30.0
OWNERS_TIMEOUT_S = 30.0
POLL_S = 0.2
LOAD_START_S = 5.0  # time for the load processes to start and to generate the trace
# Start and length of the fault as fractions of the measured part of the trace.
FAULT_START_FRACTION = 0.3
FAULT_LENGTH_FRACTION = 0.3
# Longest time from the end of the trace until every request has a verdict and the load processes
# have ended.
VERDICT_TIMEOUT_S = 30.0
# Time from the last verdict, or the end of a fault that lasts longer, to the end of the processes.
# Requests that callers have given up may run at the backend servers until their deadline, which is
# 2 s unless --deadline-ms sets another.
SETTLE_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options of one run, as on the command line.

    Attributes:
        layout: Name of the layout in ``layouts.LAYOUTS``.
        load: Offered load; at 1.0, arrival rate times mean service time equals the slots.
        fault: Name of the fault in ``faults.FAULTS``.
        seed: Seed of arrivals and service times.
        duration_s: Length of the measured part of the trace, s.
        warm_up_s: Length of the part before it, which is left out of the results, s: in the first
            seconds, the slots of servers that were idle are still being ramped up.
        placement: How instances share the slots of a pool, see ``layouts.Site.entry_settings``.
        instances: Number of entry instances.
        mean_ms: Mean service time, ms.
        deadline_ms: Deadline of requests, ms; 0 uses the deadline of each service.
    """

    layout: str
    load: float
    fault: str
    seed: int
    duration_s: float
    warm_up_s: float
    placement: str
    instances: int
    mean_ms: float
    deadline_ms: int
    load_processes: int

    @property
    def name(self) -> str:
        """Name of the result files, without extension."""
        return (
            f"{self.layout}-{self.load:g}-{self.fault}-{self.placement}"
            f"-{self.instances}-{self.mean_ms:g}ms-{self.duration_s:g}s-{self.seed}"
        )


class Bench:
    """One benchmark run, from the start of the processes to the report.

    ``directory`` receives settings, logs and records; it is deleted first if it exists.
    """

    def __init__(self, *, options: Options, directory: pathlib.Path):
        self._options = options
        self._directory = directory
        self._layout = layouts.LAYOUTS[options.layout]
        self._plan: load.Plan | None = None

    async def run(self) -> report.RunReport:
        """Runs the deployment under load and returns the report.

        Raises:
            processes.ProcessError: A process failed or the deployment did not become ready.
            errors.SassafraswayError: The policy could not be applied.
            RuntimeError: No pool owner was found for the fault, or an instance that the fault
                replaces did not stop gracefully.
            aiohttp.ClientError: A request of the fault or the launcher to a process failed.
            TimeoutError: Such a request was not answered in time.
            history.HistoryError: A complete line of a record file is invalid.
        """
        shutil.rmtree(self._directory, ignore_errors=True)
        self._directory.mkdir(parents=True)
        started_s, cpu_before_s = time.monotonic(), _children_cpu_s()
        load_average = os.getloadavg()[0]
        running = launcher.running(
            self._layout,
            directory=self._directory,
            options=launcher.Options(
                entries=self._options.instances,
                seed=self._options.seed,
                placement=self._options.placement,
                backend_processes=BACKEND_PROCESSES,
            ),
        )
        async with running as cluster:
            await apply_policy(cluster)
            await cluster.wait_ready()
            await wait_for_owners(cluster)
            await self._run_load(cluster)
        cores = (_children_cpu_s() - cpu_before_s) / (time.monotonic() - started_s)
        machine_stats = {
            "cores_used": round(cores, 2),
            "load_average_before": round(load_average, 1),
        }
        return self._build_report(machine_stats)

    async def _run_load(self, cluster: launcher.Cluster) -> None:
        """Runs the load processes and injects the fault; returns when all requests have ended."""
        self._plan = load.plan_for(
            cluster.site,
            load=self._options.load,
            mean_ms=self._options.mean_ms,
            deadline_ms=self._options.deadline_ms,
            duration_s=self._options.warm_up_s + self._options.duration_s,
            seed=self._options.seed,
            start_s=time.monotonic() + LOAD_START_S,
        )
        plan_path = self._directory / "plan.json"
        plan_path.write_text(json.dumps(self._plan.dump()), encoding="utf-8")
        count = self._options.load_processes
        children = [self._load_process(plan_path, part, count) for part in range(count)]
        timeout_s = LOAD_START_S + self._plan.duration_s + VERDICT_TIMEOUT_S
        fault = asyncio.create_task(self._inject_fault(cluster))
        try:
            await asyncio.gather(*(child.start() for child in children))
            codes = await asyncio.gather(*(child.wait(timeout_s=timeout_s) for child in children))
            if any(codes):
                raise processes.ProcessError(f"load processes ended with exit codes {codes}")
            await fault
            await asyncio.sleep(SETTLE_S)
        finally:
            fault.cancel()
            await asyncio.gather(*(child.kill() for child in children))

    def _load_process(self, plan: pathlib.Path, part: int, parts: int) -> processes.ChildProcess:
        records = self._directory / "records" / f"load-{part}.jsonl"
        command = [*processes.script("sassafrasway-standins"), "load", "--plan", str(plan)]
        command += ["--records", str(records), "--part", str(part), "--parts", str(parts)]
        log = self._directory / "logs" / f"load-{part}.log"
        return processes.ChildProcess(name=f"load-{part}", command=command, log=log)

    async def _inject_fault(self, cluster: launcher.Cluster) -> None:
        """Waits for the start of the fault in the measured part of the trace and injects it."""
        duration_s = self._options.duration_s
        fault_s = self._plan.start_s + self._options.warm_up_s + FAULT_START_FRACTION * duration_s
        await asyncio.sleep(fault_s - time.monotonic())
        context = faults.FaultContext(cluster=cluster, length_s=FAULT_LENGTH_FRACTION * duration_s)
        await faults.FAULTS[self._options.fault].run(context)

    def _build_report(self, machine_stats: Mapping[str, float]) -> report.RunReport:
        settings = dataclasses.asdict(self._options) | machine_stats
        return report.build(
            settings=settings,
            trace=self._plan.arrivals(),
            services=self._plan.services,
            client_ms=self._plan.client_ms,
            warm_up_s=self._options.warm_up_s,
            records=read_records(self._directory),
        )


async def apply_policy(cluster: launcher.Cluster) -> None:
    """Applies the layout's policy as the first revision, through the first entry instance.

    Raises:
        errors.SassafraswayError: The instance rejected the policy, or was still unavailable after
            ``POLICY_TIMEOUT_S``.
    """
    document = cluster.site.policy()
    change = json.dumps(
        {"base_revision": 0, "change_id": "bench-1", "author": "bench", "sections": document}
    )
    address = cluster.site.instances[cluster.entry_names[0]].rpc
    client = rpc_client.RpcClient(address=address, service=schema.config.Operator, timeout_s=5.0)
    deadline_s = time.monotonic() + POLICY_TIMEOUT_S
    try:
        while True:
            try:
                await client.call("apply_change", change_json=change)
                cluster.record_policy(document)
                return
            except errors.UnavailableError:
                if time.monotonic() > deadline_s:
                    raise
                await asyncio.sleep(POLL_S)
    finally:
        await client.close()


async def wait_for_owners(cluster: launcher.Cluster) -> None:
    """Waits until the pools of all services have owners in their regions.

    Lookups name the owner of a pool first; at all instances, it must be in the client's region.

    Raises:
        processes.ProcessError: Some owners are missing after ``OWNERS_TIMEOUT_S``.
    """
    site = cluster.site
    pending = {
        (service.name, cidr): region
        for service in site.layout.services
        for cidr, region in site.client_blocks.items()
    }
    deadline_s = time.monotonic() + OWNERS_TIMEOUT_S
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0)) as session:
        while pending:
            if time.monotonic() > deadline_s:
                raise processes.ProcessError(
                    f"no pool owner in the home region for {sorted(pending)[:5]}"
                )
            for (service, cidr), region in list(pending.items()):
                if await _has_owner(session, site, service, cidr, region):
                    del pending[service, cidr]
            await asyncio.sleep(POLL_S if pending else 0)


async def _has_owner(
    session: aiohttp.ClientSession, site: layouts.Site, service: str, cidr: str, region: str
) -> bool:
    """Returns whether lookups at all instances name an instance of the region first."""
    params = {"service": service, "client": cidr.partition("/")[0]}
    for instance in site.instances.values():
        url = f"http://{instance.caller}/v1/lookup"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(url, params=params) as response:
                if not response.ok:
                    return False
                first = (await response.json())["instances"][0]["name"]
            if site.instances[first].region == region:
                continue
        return False
    return True


def read_records(directory: pathlib.Path) -> list[history.Record]:
    """Returns all records of the run in ``directory``, including those of entry instances.

    Raises:
        history.HistoryError: A complete line of a record file is invalid.
    """
    return list(history.read(check.history_files([directory / "records"])))


def _children_cpu_s() -> float:
    """Returns the CPU time of the child processes that have ended, s."""
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def write_report(run_report: report.RunReport, *, name: str, results: pathlib.Path) -> str:
    """Writes a report as JSON and as text, and returns the text."""
    results.mkdir(parents=True, exist_ok=True)
    text = report.as_text(run_report)
    data: Mapping[str, Any] = run_report.dump()
    (results / f"{name}.json").write_text(json.dumps(data, indent=2) + "\n", encoding="utf-8")
    (results / f"{name}.txt").write_text(text, encoding="utf-8")
    return text


@click.command("bench")
@click.option("--layout", type=click.Choice(sorted(layouts.LAYOUTS)), default="sila")
@click.option("--load", default=0.75, show_default=True, help="Offered load, 1.0 = all slots.")
@click.option("--fault", type=click.Choice(list(faults.FAULTS)), default="none", show_default=True)
@click.option("--seed", default=1, show_default=True, help="Seed of arrivals and service times.")
@click.option("--duration", default=20.0, show_default=True, help="Length of the measured part, s.")
@click.option(
    "--warm-up",
    "warm_up_s",
    default=4.0,
    show_default=True,
    help="Length of the load before the measured part, s.",
)
@click.option(
    "--placement",
    type=click.Choice(["pool_owner", "even_split", "local_count"]),
    default="pool_owner",
    show_default=True,
)
@click.option(
    "--instances",
    type=click.IntRange(MIN_ENTRIES, MAX_ENTRIES),
    default=MIN_ENTRIES,
    show_default=True,
    help="Number of entry instances.",
)
@click.option("--mean-ms", default=200.0, show_default=True, help="Mean service time, ms.")
@click.option(
    "--deadline-ms",
    type=click.IntRange(min=0),
    default=0,
    help="Deadline of requests, ms; 0 uses the deadline of each service.",
)
@click.option(
    "--load-processes",
    type=click.IntRange(MIN_LOAD_PROCESSES, MAX_LOAD_PROCESSES),
    default=3,
    show_default=True,
)
@click.option(
    "--results",
    type=click.Path(path_type=pathlib.Path),
    default=RESULTS,
    show_default=True,
    help="Directory for reports and records.",
)
def command(results: pathlib.Path, duration: float, **run_options: Any) -> None:
    """Runs a deployment under load and reports latency, refusals and violations.

    Exits with 1 if a rule is violated.
    """
    options = Options(duration_s=duration, **run_options)
    bench = Bench(options=options, directory=results / options.name)
    run_report = asyncio.run(bench.run())
    click.echo(write_report(run_report, name=options.name, results=results), nl=False)
    sys.exit(1 if run_report.violations else 0)

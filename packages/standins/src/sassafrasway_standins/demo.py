"""Demonstration of the whole system on one machine: policy, load, faults, replacement, shift."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import sys
import tempfile
import time
from collections.abc import Iterator
from typing import Any

import aiohttp
import click

from sassafrasway_standins import (
    check,
    exchanges,
    history,
    launcher,
    layouts,
    load,
    operator_tool,
    processes,
    tally,
)

LOAD_PARTS = 2  # number of load processes
LOAD_STARTUP_S = 1.5  # load processes take about a second to start
SHIFT_CAP_RPS = 20.0
SHIFT_PACE_PER_S = 0.1  # growth of the shifted fraction of requests per second
LOAD_END_TIMEOUT_S = 30.0  # added to the duration of the load
SERVICE = "crew-desk"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Schedule:
    """Times of the steps, in seconds after the start of the load."""

    kill_s: float = 6.0
    restart_s: float = 9.0
    replace_s: float = 14.0
    shift_s: float = 32.0
    end_s: float = 48.0


class Demo:
    """The steps of the demonstration on a running cluster.

    ``load_factor`` is the offered load; 1.0 occupies all slots.
    """

    def __init__(self, *, cluster: launcher.Cluster, load_factor: float, seed: int):
        self._cluster = cluster
        self._layout = cluster.site.layout
        self._load_factor = load_factor
        self._seed = seed
        self._schedule = Schedule()
        self._operator = operator_tool.Operator(cluster=cluster)
        self._started_s = time.monotonic()
        self._load_start_s = 0.0

    async def run(self) -> bool:
        """Runs all steps.

        Returns:
            Whether requests were sent, none ran twice or was lost, and no rule of the history
            checker was violated.

        Raises:
            processes.ProcessError: An instance, load process or command failed.
            aiohttp.ClientError: A lookup or control request failed.
            TimeoutError: A lookup or control request was not answered in time.
            history.HistoryError: A complete line of a record file is invalid.
        """
        await self._apply_policy()
        plan = self._make_plan()
        async with self._run_load(plan):
            await self._kill_owner()
            await self._replace_owner()
            await self._shift_traffic()
        await self._cluster.collect_link_bytes()
        stall_ms = await self._cluster.longest_backend_stall_ms()
        self._print_step(f"longest stall of a backend stand-in on this machine: {stall_ms:.0f} ms")
        return self._print_report(plan)

    async def _apply_policy(self) -> None:
        document = self._cluster.site.policy()
        counts = ", ".join(f"{len(objects)} {name}" for name, objects in document.items())
        self._print_step(f"applying the policy with sassafrasctl: {counts}")
        await self._operator.apply(document)
        await self._cluster.wait_ready()
        self._print_step("all entry instances are ready")

    def _make_plan(self) -> load.Plan:
        self._load_start_s = time.monotonic() + LOAD_STARTUP_S
        site, layout = self._cluster.site, self._layout
        return load.Plan(
            entries=[
                exchanges.EntryPoint(
                    name=instance.name, url=f"http://{instance.caller}", region=instance.region
                )
                for instance in site.instances.values()
            ],
            services={
                service.name: exchanges.CalledService(
                    idempotent=service.idempotent,
                    deadline_ms=service.deadline_ms,
                    slots=service.servers * service.slots,
                    may_wait=service.may_wait,
                )
                for service in layout.services
            },
            # IPv4 blocks only; of several blocks of a region, the last one is used.
            blocks={region: cidr for cidr, region in site.client_blocks.items() if "." in cidr},
            client_ms=layout.client_ms,
            region_ms=layout.region_ms,
            load=self._load_factor,
            mean_service_s=layout.mean_ms / 1000,
            duration_s=self._schedule.end_s,
            seed=self._seed,
            start_s=self._load_start_s,
        )

    @contextlib.asynccontextmanager
    async def _run_load(self, plan: load.Plan) -> Any:
        """Context manager that sends the load from separate processes while its body runs."""
        path = self._cluster.directory / "settings" / "plan.json"
        path.write_text(json.dumps(plan.dump()), encoding="utf-8")
        children = [self._load_process(path, part) for part in range(LOAD_PARTS)]
        for child in children:
            await child.start()
        self._print_step(f"callers send {len(plan.arrivals())} requests in {plan.duration_s:.0f} s")
        try:
            yield
            for child in children:
                code = await child.wait(timeout_s=self._schedule.end_s + LOAD_END_TIMEOUT_S)
                if code != 0:
                    raise processes.ProcessError(f"{child.name} failed:\n{child.tail()}")
        finally:
            for child in children:
                await child.kill()

    def _load_process(self, plan: pathlib.Path, part: int) -> processes.ChildProcess:
        records = self._cluster.records / f"load-{part}.jsonl"
        arguments = ["load", "--plan", str(plan), "--records", str(records)]
        arguments += ["--part", str(part), "--parts", str(LOAD_PARTS)]
        return processes.ChildProcess(
            name=f"load-{part}",
            command=[*processes.script("sassafrasway-standins"), *arguments],
            log=self._cluster.directory / "logs" / f"load-{part}.log",
        )

    async def _kill_owner(self) -> None:
        await self._wait_until(self._schedule.kill_s)
        region = self._layout.regions[0]
        name = await self._pool_owner(region)
        self._print_step(f"kill -9 of {name}, which owns the pool of {SERVICE} in {region}")
        await self._cluster.kill_entry(name)
        await self._wait_until(self._schedule.restart_s)
        self._print_step(f"the platform starts {name} again")
        await self._cluster.start_entry(name)

    async def _replace_owner(self) -> None:
        await self._wait_until(self._schedule.replace_s)
        region = self._layout.regions[1]
        name = await self._pool_owner(region)
        self._print_step(
            f"graceful replacement of {name}, which owns the pool of {SERVICE} in {region}"
        )
        start_s = time.monotonic()
        code = await self._cluster.stop_entry(name)
        duration_s = time.monotonic() - start_s
        self._print_step(f"{name} ended with exit code {code} after {duration_s:.1f} s")
        if code != 0:
            child = self._cluster.process(name)
            raise processes.ProcessError(f"{name} did not stop gracefully:\n{child.tail()}")
        await self._cluster.start_entry(name)

    async def _shift_traffic(self) -> None:
        await self._wait_until(self._schedule.shift_s)
        source, target = self._layout.regions[:2]
        self._print_step(
            f"shift of {SERVICE} from {source} to {target}, cap {SHIFT_CAP_RPS:g} requests/s"
        )
        await self._operator.start_shift(
            "demo",
            service=SERVICE,
            source=source,
            target=target,
            cap_rps=SHIFT_CAP_RPS,
            pace_per_s=SHIFT_PACE_PER_S,
        )
        await self._wait_until(self._schedule.end_s - 3)
        self._print_step("the shift ends")
        await self._operator.stop_shift("demo")

    async def _pool_owner(self, region: str) -> str:
        """Returns the owner of the pool of ``SERVICE`` in a region.

        Lookups by clients of the region name the owner first.
        """
        blocks = self._cluster.site.client_blocks
        client = next(cidr for cidr, home in blocks.items() if home == region).partition("/")[0]
        instances = [
            self._cluster.site.instances[name]
            for name in self._cluster.entry_names
            if self._cluster.site.instances[name].region == region
        ]
        params = {"service": SERVICE, "client": client}
        url = f"http://{instances[0].caller}/v1/lookup"
        async with (
            aiohttp.ClientSession(raise_for_status=True) as session,
            session.get(url, params=params) as response,
        ):
            return (await response.json())["instances"][0]["name"]

    def _print_report(self, plan: load.Plan) -> bool:
        """Prints request counts and rule violations; returns the result of ``run``."""
        records = list(history.read(check.history_files([self._cluster.records])))
        tallies = tally.count(records, plan.services)
        violations = check.check(records)
        click.echo("\n" + tally.as_text(tallies))
        for violation in violations[:20]:
            click.echo(f"violation: {violation}")
        click.echo(f"{len(violations)} violations of {len(check.RULES)} rules")
        total = tallies[-1]
        return not (total.ran_twice or total.lost or violations) and total.sent > 0

    async def _wait_until(self, at_s: float) -> None:
        """Sleeps until ``at_s`` seconds after the start of the load."""
        await asyncio.sleep(max(0.0, self._load_start_s + at_s - time.monotonic()))

    def _print_step(self, text: str) -> None:
        click.echo(f"{time.monotonic() - self._started_s:6.1f} s  {text}")


async def _run(directory: pathlib.Path, load_factor: float, seed: int) -> bool:
    click.echo("starting the platform, backend servers, links and entry instances")
    options = launcher.Options(seed=seed, invariants="raise")
    async with launcher.running(layouts.DEMO, directory=directory, options=options) as cluster:
        return await Demo(cluster=cluster, load_factor=load_factor, seed=seed).run()


@contextlib.contextmanager
def _run_directory(keep: pathlib.Path | None) -> Iterator[pathlib.Path]:
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        yield keep
        return
    with tempfile.TemporaryDirectory(prefix="sassafrasway-demo-") as name:
        yield pathlib.Path(name)


@click.command("demo")
@click.option(
    "--load", "load_factor", default=0.5, show_default=True, help="Offered load, 1.0 = all slots."
)
@click.option("--seed", default=1, show_default=True, help="Seed of the arrivals.")
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory in which to keep logs and records; by default they are deleted.",
)
def command(load_factor: float, seed: int, keep: pathlib.Path | None) -> None:
    """Shows the system under load and checks its records.

    Exits with 1 if no request was sent, a request ran twice or was lost, a rule was violated or a
    step failed.
    """
    with _run_directory(keep) as directory:
        try:
            succeeded = asyncio.run(_run(directory, load_factor, seed))
        except (processes.ProcessError, aiohttp.ClientError) as error:
            raise click.ClickException(str(error)) from error
    sys.exit(0 if succeeded else 1)

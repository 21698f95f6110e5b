"""Measures the cost of running entry instances: idle fleets of several sizes, and lookups."""

import asyncio
import dataclasses
import json
import os
import pathlib
import statistics
import tempfile

import aiohttp
import click
import numpy

from sassafrasway_rpc import client, schema
from sassafrasway_standins import launcher, layouts

FLEET_SIZES = (6, 12, 18, 24)
LOOKUP_COUNTS = (500, 1000, 2000, 4000)
SETTLE_S = 4.0  # from readiness to the measurement
IDLE_S = 8.0  # length of the measurement of an idle fleet
CONCURRENT_LOOKUPS = 8
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
US_PER_S = 1_000_000
REPORT_NAME = "capacity-fleet.json"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetCost:
    """Cost of an idle fleet.

    Attributes:
        members_of_region: Mean number of instances for each coordinator, that is, for each region.
        member_cpu: Median CPU use of instances that are not coordinators, cores.
        coordinator_cpu: Median CPU use of coordinators, cores.
        memory_mb: Median resident memory of an instance, MiB.
        reads_per_s: Reads of the table, the object store and the instance list by the whole fleet,
            per second.
        writes_per_s: Writes to the table and the object store by the whole fleet, per second.
    """

    instances: int
    members_of_region: float
    member_cpu: float
    coordinator_cpu: float
    memory_mb: float
    reads_per_s: float
    writes_per_s: float


def _cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used so far, user and system, s."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, MiB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


async def _apply_policy(cluster: launcher.Cluster) -> None:
    """Applies the layout's policy and waits until ``SETTLE_S`` after all instances are ready."""
    operator = client.RpcClient(
        address=cluster.site.instances[cluster.entry_names[0]].rpc,
        service=schema.config.Operator,
        timeout_s=20,
    )
    change = {
        "base_revision": 0,
        "change_id": "capacity",
        "author": "capacity",
        "sections": cluster.site.policy(),
    }
    await operator.call("apply_change", change_json=json.dumps(change))
    await operator.close()
    await cluster.wait_ready()
    await asyncio.sleep(SETTLE_S)


async def _idle_cost(cluster: launcher.Cluster) -> FleetCost:
    names = cluster.entry_names
    pids = {name: cluster.process(name).pid for name in names}
    dumps = {name: await cluster.dump(name) for name in names}
    before = {name: _cpu_s(pid) for name, pid in pids.items()}
    stats_before = await cluster.store_stats()
    await asyncio.sleep(IDLE_S)
    stats = await cluster.store_stats()
    cpu = {name: (_cpu_s(pid) - before[name]) / IDLE_S for name, pid in pids.items()}
    coordinators = {name for name in names if dumps[name]["member"]["is_coordinator"]}
    reads = sum(stats[key] - stats_before[key] for key in ("reads", "instance_lists"))
    return FleetCost(
        instances=len(names),
        members_of_region=len(names) / len(coordinators),
        member_cpu=statistics.median(cpu[name] for name in names if name not in coordinators),
        coordinator_cpu=statistics.median(cpu[name] for name in coordinators),
        memory_mb=statistics.median(_memory_mb(pid) for pid in pids.values()),
        reads_per_s=reads / IDLE_S,
        writes_per_s=(stats["writes"] - stats_before["writes"]) / IDLE_S,
    )


async def _lookup_cost_us(cluster: launcher.Cluster) -> list[tuple[int, float]]:
    """Returns pairs of a number of lookups and the CPU time that the instance used, us."""
    name = cluster.entry_names[0]
    instance = cluster.site.instances[name]
    address = next(cidr for cidr in cluster.site.client_blocks if "." in cidr).partition("/")[0]
    params = {"service": "quote-archive", "client": address}
    costs = []
    async with aiohttp.ClientSession() as session:

        async def look_up(count: int) -> None:
            for _ in range(count):
                async with session.get(
                    f"http://{instance.caller}/v1/lookup", params=params
                ) as response:
                    await response.read()

        for count in LOOKUP_COUNTS:
            before_s = _cpu_s(cluster.process(name).pid)
            count_per_task = count // CONCURRENT_LOOKUPS
            await asyncio.gather(*(look_up(count_per_task) for _ in range(CONCURRENT_LOOKUPS)))
            costs.append((count, (_cpu_s(cluster.process(name).pid) - before_s) * US_PER_S))
    return costs


async def measure() -> dict:
    """Runs a fleet of each size, one after the other, and returns measured and fitted costs.

    Lookups are measured on the smallest fleet.

    Returns:
        The report as data for JSON. ``coordinator_cpu_per_member`` and ``coordinator_cpu_at_0`` are
        slope and intercept of the CPU use of coordinators, cores, over the members of a region;
        ``cpu_us_per_lookup`` and ``cpu_us_at_0`` are those of the CPU time, us, over the lookups.
    """
    fleets = []
    lookups: list[tuple[int, float]] = []
    for size in FLEET_SIZES:
        with tempfile.TemporaryDirectory(prefix="sassafrasway-capacity-") as directory:
            options = launcher.Options(entries=size)
            async with launcher.running(
                layouts.SILA, directory=pathlib.Path(directory), options=options
            ) as cluster:
                await _apply_policy(cluster)
                fleets.append(await _idle_cost(cluster))
                if size == FLEET_SIZES[0]:
                    lookups = await _lookup_cost_us(cluster)
    members = [fleet.members_of_region for fleet in fleets]
    slope, intercept = numpy.polyfit(members, [fleet.coordinator_cpu for fleet in fleets], 1)
    lookup_slope, lookup_intercept = numpy.polyfit(*zip(*lookups, strict=True), 1)
    return {
        "fleets": [dataclasses.asdict(fleet) for fleet in fleets],
        "coordinator_cpu_per_member": float(slope),
        "coordinator_cpu_at_0": float(intercept),
        "lookups": [{"count": count, "cpu_us": cost} for count, cost in lookups],
        "cpu_us_per_lookup": float(lookup_slope),
        "cpu_us_at_0": float(lookup_intercept),
        "load_average": os.getloadavg()[0],
    }


@click.command("capacity-fleet")
@click.option("--results", type=click.Path(path_type=pathlib.Path), default=pathlib.Path("results"))
def command(results: pathlib.Path) -> None:
    """Measures the control cost of idle fleets and the cost of lookups."""
    report = asyncio.run(measure())
    results.mkdir(parents=True, exist_ok=True)
    text = json.dumps(report, indent=2)
    (results / REPORT_NAME).write_text(text + "\n", encoding="utf-8")
    click.echo(text)

"""Open-loop load tool: sends a seeded trace of arrivals on time, without waiting for responses.

Latency is measured from the intended arrival, so a stall of the tool or of the system shows in
every request that it delays (no coordinated omission).
"""

import asyncio
import contextlib
import dataclasses
import gc
import json
import pathlib
import random
import time
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import click
import uvloop

from sassafrasway_standins import arrivals, caller, exchanges, history, latency, layouts

CALLERS_PER_REGION = 4  # in each load process
KEEPALIVE_S = 30.0
START_DELAY_S = 2.0  # time for generating the trace


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Settings of the load; load processes that share a trace read the same plan from a JSON file.

    Attributes:
        entries: Entry instances in the configuration of callers.
        blocks: A client block (CIDR) for each region.
        client_ms: One-way delay between a client and its region, ms.
        region_ms: One-way delay between regions, ms.
        load: Offered load; at 1.0, arrival rate times mean service time equals the slots.
        duration_s: Length of the trace, s.
        start_s: Monotonic time of the start of the trace, s.
    """

    entries: Sequence[exchanges.EntryPoint]
    services: Mapping[str, exchanges.CalledService]
    blocks: Mapping[str, str]
    client_ms: float
    region_ms: float
    load: float
    mean_service_s: float
    duration_s: float
    seed: int
    start_s: float

    def arrivals(self) -> list[arrivals.Arrival]:
        """Returns the trace, which depends on nothing but the plan."""
        streams = arrivals.streams_for_load(
            slots={name: service.slots for name, service in self.services.items()},
            blocks=dict(self.blocks),
            load=self.load,
            mean_service_s=self.mean_service_s,
        )
        return arrivals.generate(streams, duration_s=self.duration_s, seed=self.seed)

    def dump(self) -> dict[str, Any]:
        """Returns the plan as data for JSON."""
        return dataclasses.asdict(self)

    @classmethod
    def parse(cls, data: Mapping[str, Any]) -> "Plan":
        """Returns the plan from data that ``dump`` returned.

        Raises:
            KeyError: ``entries`` or ``services`` is missing.
            TypeError: Another field is missing, or a field is unknown.
        """
        fields = dict(data)
        fields["entries"] = [exchanges.EntryPoint(**entry) for entry in data["entries"]]
        fields["services"] = {
            name: exchanges.CalledService(**service) for name, service in data["services"].items()
        }
        return cls(**fields)


class LoadTool:
    """Sends the arrivals of load process ``part``, whose random choices depend on its number."""

    def __init__(self, *, plan: Plan, writer: history.Writer, part: int):
        self._plan = plan
        self._writer = writer
        self._rng = random.Random(f"{plan.seed}/load/{part}")
        self._callers: dict[str, list[caller.Caller]] = {}
        self._latencies = latency.Latencies()
        self._in_flight: set[asyncio.Task[None]] = set()

    @property
    def latencies(self) -> latency.Latencies:
        """Latency of requests that ran, from the intended arrival to the verdict, by service."""
        return self._latencies

    async def run(self, trace: Sequence[arrivals.Arrival]) -> None:
        """Sends the trace and waits until every request has a verdict."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
        cookies = aiohttp.DummyCookieJar()
        async with aiohttp.ClientSession(connector=connector, cookie_jar=cookies) as session:
            self._callers = {
                region: self._make_callers(session, region) for region in self._regions
            }
            for arrival in trace:
                await self._wait_until(arrival.at_s)
                task = asyncio.create_task(self._send(arrival))
                self._in_flight.add(task)
                task.add_done_callback(self._in_flight.discard)
            await asyncio.gather(*self._in_flight)
            for region_callers in self._callers.values():
                for region_caller in region_callers:
                    await region_caller.close()

    @property
    def _regions(self) -> list[str]:
        return sorted(self._plan.blocks)

    def _make_callers(self, session: aiohttp.ClientSession, region: str) -> list[caller.Caller]:
        return [
            caller.Caller(
                session=session,
                region=region,
                entries=self._plan.entries,
                services=self._plan.services,
                client_ms=self._plan.client_ms,
                region_ms=self._plan.region_ms,
                rng=random.Random(self._rng.random()),
                record=self._writer.write,
            )
            for _ in range(CALLERS_PER_REGION)
        ]

    async def _wait_until(self, at_s: float) -> None:
        """Sleeps until a time given in seconds after the start of the trace."""
        pause_s = self._plan.start_s + at_s - time.monotonic()
        if pause_s > 0:
            await asyncio.sleep(pause_s)

    async def _send(self, arrival: arrivals.Arrival) -> None:
        """Sends an arrival from a random caller of its region and records the latency if it ran."""
        chosen = self._rng.choice(self._callers[arrival.region])
        intended_s = self._plan.start_s + arrival.at_s
        verdict = await chosen.send(arrival, intended_s=intended_s)
        if verdict.outcome == history.RAN:
            self._latencies.record(arrival.service, verdict.at_s - intended_s)


def run_part(plan: Plan, *, records: pathlib.Path, part: int, parts: int) -> latency.Latencies:
    """Sends one part of the plan's trace in this process and returns the latencies.

    Args:
        plan: Settings of the load.
        records: File that the records are appended to.
        part: Number of this process, from 0 to ``parts`` - 1.
        parts: Number of load processes among which the trace is partitioned.
    """
    trace = arrivals.partition(plan.arrivals(), parts=parts)[part]
    # Keeps garbage collections during the run from traversing the trace and the imported modules.
    gc.collect()
    gc.freeze()
    with contextlib.ExitStack() as stack:
        writer = stack.enter_context(history.Writer(path=records))
        tool = LoadTool(plan=plan, writer=writer, part=part)
        uvloop.run(tool.run(trace))
    return tool.latencies


def plan_for(
    site: layouts.Site,
    *,
    load: float,
    mean_ms: float,
    deadline_ms: int,
    duration_s: float,
    seed: int,
    start_s: float,
) -> Plan:
    """Returns the plan that loads all services of a site.

    Args:
        site: Layout with the addresses of the entry instances.
        load: Offered load; at 1.0, arrival rate times mean service time equals the slots.
        mean_ms: Mean service time, ms.
        deadline_ms: Deadline of requests, ms; 0 uses the deadline of each service.
        duration_s: Length of the trace, s.
        seed: Seed of the trace.
        start_s: Monotonic time of the start of the trace, s.
    """
    layout = site.layout
    blocks: dict[str, str] = {}
    for cidr, region in site.client_blocks.items():
        blocks.setdefault(region, cidr)
    return Plan(
        entries=[
            exchanges.EntryPoint(
                name=instance.name, url=f"http://{instance.caller}", region=instance.region
            )
            for instance in site.instances.values()
        ],
        services={
            service.name: exchanges.CalledService(
                idempotent=service.idempotent,
                deadline_ms=deadline_ms or service.deadline_ms,
                slots=service.servers * service.slots,
                may_wait=service.may_wait,
            )
            for service in layout.services
        },
        blocks=blocks,
        client_ms=layout.client_ms,
        region_ms=layout.region_ms,
        load=load,
        mean_service_s=mean_ms / 1000,
        duration_s=duration_s,
        seed=seed,
        start_s=start_s,
    )


def as_text(latencies: latency.Latencies) -> str:
    """Returns one line of text with the latency percentiles for each service."""
    return "".join(
        f"{service}: {percentiles.count} ran, p50 {percentiles.p50_ms:.1f} ms, "
        f"p99 {percentiles.p99_ms:.1f} ms, p99.9 {percentiles.p999_ms:.1f} ms\n"
        for service, percentiles in latencies.percentiles().items()
    )


@click.command("load")
@click.option(
    "--records",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="File that receives the records as JSON lines.",
)
@click.option(
    "--plan",
    "plan_path",
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="JSON file with the plan, as written by bench; replaces the trace options.",
)
@click.option("--part", default=0, show_default=True, help="Index of this load process, from 0.")
@click.option("--parts", default=1, show_default=True, help="Number of load processes.")
@click.option("--layout", type=click.Choice(sorted(layouts.LAYOUTS)), default="demo")
@click.option("--block", default=0, show_default=True, help="Address block of the running cluster.")
@click.option("--load", default=0.5, show_default=True, help="Offered load, 1.0 = all slots.")
@click.option("--mean-ms", default=200.0, show_default=True, help="Mean service time, ms.")
@click.option("--duration", default=20.0, show_default=True, help="Length of the load, s.")
@click.option("--seed", default=1, show_default=True, help="Seed of arrivals and service times.")
def command(
    records: pathlib.Path,
    plan_path: pathlib.Path | None,
    part: int,
    parts: int,
    layout: str,
    block: int,
    duration: float,
    **trace_options: Any,
) -> None:
    """Sends requests to running entry instances and records the results that callers get."""
    if plan_path is not None:
        plan = Plan.parse(json.loads(plan_path.read_text(encoding="utf-8")))
    else:
        plan = plan_for(
            layouts.Site(layout=layouts.LAYOUTS[layout], block=block),
            deadline_ms=0,
            duration_s=duration,
            start_s=time.monotonic() + START_DELAY_S,
            **trace_options,
        )
    click.echo(as_text(run_part(plan, records=records, part=part, parts=parts)), nl=False)

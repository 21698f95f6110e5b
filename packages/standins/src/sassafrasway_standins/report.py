"""Figures of one run and of the pooled ideal on the same arrivals, as data and as text."""

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from sassafrasway_standins import (
    arrivals,
    check,
    checked_history,
    exchanges,
    history,
    ideal,
    latency,
)

MS_PER_S = 1000
# A load tool that starts requests later than this lacks processor time, and so do the instances.
STARVED_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceReport:
    """Figures of one service.

    Attributes:
        refused_attempts: Attempts answered "not run"; a caller may have retried after them.
        latency: From the intended arrival to the answer, requests that ran.
        wait: Latency less service time and network delay to the client, requests that ran.
        ideal_latency: Latency in the pooled ideal with the same network delay to the client.
        ideal_wait: Waiting time in the pooled ideal.
        refusal_ratio: Refusal rate by that of the ideal; None when the ideal refuses nothing.
        p99_ratio: p99 latency by that of the ideal.
    """

    arrivals: int
    ran: int
    refused: int
    unknown: int
    lost: int
    retries: int
    refused_attempts: int
    refusal_rate: float
    ideal_refusal_rate: float
    refusal_ratio: float | None
    latency: latency.Percentiles | None
    ideal_latency: latency.Percentiles | None
    wait: latency.Percentiles | None
    ideal_wait: latency.Percentiles | None
    p99_ratio: float | None
    reasons: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunReport:
    """Figures of one run.

    Attributes:
        ran_twice: Breaches of the at-most-once rule.
        fault_s: When the fault began and ended, s after the first arrival; the load covers the
            whole fault only if the end is within the load's duration.
        drain_s: Time from the order to leave until nothing was in flight, by target, s.
        server_s: Requests' mean time at the servers less their wanted service time, s; shows how
            much the loaded machine distorts the run.
        tool_late_s: 99th percentile of the delay with which the load tool itself started, s.
        late_start_s: 99th percentile of the delay of first attempts after the intended time, with
            the look-up that some of them need, s.
    """

    settings: Mapping[str, Any]
    services: Mapping[str, ServiceReport]
    sheds: int
    ran_twice: int
    lost: int
    fault_s: Sequence[float]
    drain_s: Mapping[str, float]
    server_s: float
    tool_late_s: float
    late_start_s: float
    violations: Mapping[str, int]
    first_violations: Sequence[str]

    @property
    def is_starved(self) -> bool:
        """Whether the machine was too busy for the figures to tell about the system."""
        return self.tool_late_s > STARVED_S

    def dump(self) -> dict[str, Any]:
        """Returns the JSON form."""
        return dataclasses.asdict(self) | {"is_starved": self.is_starved}


def build(
    *,
    settings: Mapping[str, Any],
    trace: Sequence[arrivals.Arrival],
    services: Mapping[str, exchanges.CalledService],
    client_ms: float,
    warm_up_s: float,
    records: Sequence[history.Record],
) -> RunReport:
    """Returns the figures of a run.

    The figures of the services leave out arrivals before ``warm_up_s``; violations, sheds and
    everything else are those of the whole run.

    Args:
        settings: Options of the run, copied into the report.
        trace: Arrivals that the load tool sent.
        services: Services by name.
        client_ms: One-way delay to clients, ms.
        warm_up_s: Length of the part of the trace that counts for no figure, s.
        records: Records of callers, servers, links and instances.
    """
    run = checked_history.History(records)
    violations = check.check(records)
    by_rule = collections.Counter(each.rule for each in violations)
    by_service: dict[str, list[arrivals.Arrival]] = {name: [] for name in sorted(services)}
    for arrival in trace:
        by_service[arrival.service].append(arrival)
    reports = {
        name: _service_report(run, jobs, services[name], client_ms, warm_up_s)
        for name, jobs in by_service.items()
    }
    return RunReport(
        settings=settings,
        services=reports,
        sheds=sum(each.outcome == "shed" for each in records if isinstance(each, history.Run)),
        ran_twice=by_rule[check.AtMostOnce.name],
        lost=sum(each.lost for each in reports.values()),
        fault_s=_fault_s(run, records),
        drain_s=_drain_s(run, records),
        server_s=_server_overhead_s(run, trace),
        tool_late_s=_p99(each.late_s for each in run.intents.values()),
        late_start_s=_late_start_s(run),
        violations=dict(by_rule),
        first_violations=[str(each) for each in violations[:20]],
    )


def _service_report(
    run: checked_history.History,
    everything: Sequence[arrivals.Arrival],
    service: exchanges.CalledService,
    client_ms: float,
    warm_up_s: float,
) -> ServiceReport:
    first = sum(each.at_s < warm_up_s for each in everything)
    jobs = everything[first:]
    waits = _ideal_waits(everything, service)[first:]
    verdicts = [run.verdicts[job.request] for job in jobs if job.request in run.verdicts]
    attempts = [each for job in jobs for each in run.attempts.get(job.request, ())]
    outcomes = collections.Counter(each.outcome for each in verdicts)
    network_s = 2 * client_ms / MS_PER_S
    measured, waited = _measured(run, jobs, network_s)
    ideal_latency = _percentiles(
        wait + job.service_s + network_s
        for wait, job in zip(waits, jobs, strict=True)
        if wait is not None
    )
    latency_ = _percentiles(measured)
    refusal_rate = _ratio(outcomes[history.NOT_RUN], len(jobs)) or 0.0
    ideal_rate = _ratio(sum(wait is None for wait in waits), len(jobs)) or 0.0
    return ServiceReport(
        arrivals=len(jobs),
        ran=outcomes[history.RAN],
        refused=outcomes[history.NOT_RUN],
        unknown=outcomes[history.UNKNOWN],
        lost=len(jobs) - len(verdicts),
        retries=sum(max(0, each.attempts - 1) for each in verdicts),
        refused_attempts=sum(each.outcome == history.NOT_RUN for each in attempts),
        refusal_rate=refusal_rate,
        ideal_refusal_rate=ideal_rate,
        refusal_ratio=_ratio(refusal_rate, ideal_rate),
        latency=latency_,
        ideal_latency=ideal_latency,
        wait=_percentiles(waited),
        ideal_wait=_percentiles(wait for wait in waits if wait is not None),
        p99_ratio=_ratio(latency_.p99_ms, ideal_latency.p99_ms)
        if latency_ and ideal_latency
        else None,
        reasons=_reasons(verdicts),
    )


def _measured(
    run: checked_history.History, jobs: Iterable[arrivals.Arrival], network_s: float
) -> tuple[list[float], list[float]]:
    """Returns latency and waiting time, s, of the requests that ran."""
    measured, waited = [], []
    for job in jobs:
        verdict, intent = run.verdicts.get(job.request), run.intents.get(job.request)
        if verdict and intent and verdict.outcome == history.RAN:
            latency_s = verdict.at_s - intent.at_s
            measured.append(latency_s)
            waited.append(max(0.0, latency_s - job.service_s - network_s))
    return measured, waited


def _ideal_waits(
    jobs: Sequence[arrivals.Arrival], service: exchanges.CalledService
) -> list[float | None]:
    return ideal.pooled_waits(
        [(job.at_s, job.service_s) for job in jobs],
        slots=service.slots,
        max_wait_s=math.inf if service.may_wait else 0.0,
    )


def _percentiles(seconds: Iterable[float]) -> latency.Percentiles | None:
    latencies = latency.Latencies()
    for each in seconds:
        latencies.record("", each)
    return latencies.percentiles().get("")


def _ratio(one: float, other: float) -> float | None:
    return one / other if other else None


def _reasons(verdicts: Iterable[history.Verdict]) -> dict[str, int]:
    """Counts verdicts other than success by outcome, status and reason."""
    return dict(
        collections.Counter(
            f"{each.outcome} {each.status} {each.reason[:80]}".strip()
            for each in verdicts
            if each.outcome != history.RAN or each.status != exchanges.HTTP_OK
        ).most_common(8)
    )


def _fault_s(run: checked_history.History, records: Iterable[history.Record]) -> list[float]:
    started_s = min((each.at_s for each in run.intents.values()), default=0.0)
    phases = (history.INJECTED, history.ENDED)
    events = [each for each in records if isinstance(each, history.FaultEvent)]
    return sorted(each.at_s - started_s for each in events if each.phase in phases)


def _drain_s(run: checked_history.History, records: Iterable[history.Record]) -> dict[str, float]:
    """Returns drain times of servers (until the last run ends) and of stopped instances."""
    drains: dict[str, float] = {}
    for server, left_s in run.leaving_since_s.items():
        ends = [each.ended_s for each in run.runs if each.server == server]
        drains[server] = max(0.0, max(ends, default=left_s) - left_s)
    started: dict[str, float] = {}
    for each in records:
        if isinstance(each, history.FaultEvent) and each.phase == history.STOP_ORDERED:
            started[each.target] = each.at_s
        elif isinstance(each, history.FaultEvent) and each.phase == history.STOPPED:
            drains[each.target] = each.at_s - started[each.target]
    return drains


def _server_overhead_s(run: checked_history.History, trace: Iterable[arrivals.Arrival]) -> float:
    wanted = {each.request: each.service_s for each in trace}
    excess = [
        each.ended_s - each.at_s - wanted[each.request]
        for each in run.runs
        if each.outcome == "ok" and each.request in wanted
    ]
    return sum(excess) / len(excess) if excess else 0.0


def _late_start_s(run: checked_history.History) -> float:
    return _p99(
        attempts[0].at_s - run.intents[request].at_s
        for request, attempts in run.attempts.items()
        if request in run.intents
    )


def _p99(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * 0.99)] if ordered else 0.0


def as_text(report: RunReport) -> str:
    """Returns the report as a text table."""
    lines = [" ".join(f"{name}={value}" for name, value in report.settings.items()), ""]
    header = (
        f"{'service':<15}{'arrivals':>9}{'p50 ms':>9}{'p99 ms':>9}{'p99.9 ms':>10}{'p99/ideal':>10}"
        f"{'refused':>9}{'ideal':>8}{'ratio':>7}{'wait p99':>10}{'ideal':>8}"
        f"{'retries':>9}{'refusals':>9}{'unknown':>9}{'lost':>6}"
    )
    lines.append(header)
    lines += [_service_line(name, each) for name, each in report.services.items()]
    lines.append("")
    for name, each in report.services.items():
        lines += [f"{name}: {count} x {reason}" for reason, count in each.reasons.items()]
    lines.append(
        f"sheds {report.sheds}, ran twice {report.ran_twice}, lost {report.lost}, "
        f"server time above wanted {report.server_s * MS_PER_S:.2f} ms, "
        f"load tool late by {report.tool_late_s * MS_PER_S:.1f} ms and first attempts by "
        f"{report.late_start_s * MS_PER_S:.1f} ms (p99)"
    )
    if report.is_starved:
        lines.append("NOT VALID: the machine was too busy, the load tool did not keep its times")
    lines.append("fault from and to: " + ", ".join(f"{each:.1f} s" for each in report.fault_s))
    lines += [f"drain {target}: {each_s:.2f} s" for target, each_s in report.drain_s.items()]
    lines.append(f"violations: {dict(report.violations) or 'none'}")
    lines += report.first_violations
    return "\n".join(lines) + "\n"


def _service_line(name: str, each: ServiceReport) -> str:
    own, wait, ideal_wait = each.latency, each.wait, each.ideal_wait
    return (
        f"{name:<15}{each.arrivals:>9}"
        f"{_number(own and own.p50_ms, 9)}{_number(own and own.p99_ms, 9)}"
        f"{_number(own and own.p999_ms, 10)}{_number(each.p99_ratio, 10, 2)}"
        f"{each.refusal_rate:>9.2%}{each.ideal_refusal_rate:>8.2%}"
        f"{_number(each.refusal_ratio, 7, 2)}"
        f"{_number(wait and wait.p99_ms, 10)}{_number(ideal_wait and ideal_wait.p99_ms, 8)}"
        f"{each.retries:>9}{each.refused_attempts:>9}{each.unknown:>9}{each.lost:>6}"
    )


def _number(value: float | None, width: int, digits: int = 1) -> str:
    return f"{'-':>{width}}" if value is None else f"{value:>{width}.{digits}f}"

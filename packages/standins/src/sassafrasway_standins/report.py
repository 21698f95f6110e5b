"""Results of one run, compared with an ideal pool on the same arrivals, as data and as text."""

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
# A load tool that starts requests later than this lacks CPU time, and so do the instances.
MAX_TOOL_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceReport:
    """Results of one service, without the warm-up.

    Attributes:
        arrivals: Requests of the trace.
        ran: Requests with the final outcome "ran"; ``refused`` and ``unknown`` count the requests
            with the final outcomes "not run" and "unknown".
        lost: Requests without a verdict.
        retries: Attempts after the first one of each request.
        refused_attempts: Attempts answered "not run"; the caller may have retried afterwards.
        refusal_rate: Refused requests divided by arrivals.
        ideal_refusal_rate: Refusal rate of the ideal pool on the same arrivals.
        refusal_ratio: Refusal rate divided by the ideal one; None if the ideal pool refuses none.
        latency: Time from the intended arrival to the verdict, of requests that ran.
        ideal_latency: Latency of the ideal pool with the same network delay to the client.
        wait: Latency minus service time and network delay to the client, of requests that ran.
        ideal_wait: Waiting time in the ideal pool.
        p99_ratio: p99 latency divided by that of the ideal pool.
        reasons: Counts of the most frequent results other than success.
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
    """Results of one run.

    Attributes:
        settings: Options of the run.
        services: Results by service.
        sheds: Requests that servers rejected because of load.
        ran_twice: Violations of the at-most-once rule.
        lost: Requests without a verdict, summed over the services.
        fault_s: When the fault began and ended, s after the first arrival; the load covers the
            whole fault only if the end is within the load's duration.
        drain_s: Time from the start of a drain until the last run of the server ended, or from the
            stop order of an instance until it stopped, by server or instance, s.
        server_s: Mean time of requests at the servers beyond their requested service time, s; shows
            how much the loaded machine distorts the run.
        tool_late_s: 99th percentile of the delay with which the load tool started requests, s.
        late_start_s: 99th percentile of the delay of first attempts after the intended time, s; it
            includes the lookup that some of them need.
        violations: Number of violations by rule.
        first_violations: Texts of the first violations.
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
        """Whether the machine was too busy for the results to represent the system."""
        return self.tool_late_s > MAX_TOOL_DELAY_S

    def dump(self) -> dict[str, Any]:
        """Returns the report as data for JSON."""
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
    """Returns the report of a run.

    The results of the services, and so the sum of lost requests, leave out arrivals before
    ``warm_up_s``; the other results are those of the whole run.

    Args:
        settings: Options of the run, copied into the report.
        trace: Arrivals that the load tool sent.
        services: Services by name.
        client_ms: One-way delay to clients, ms.
        warm_up_s: Length of the first part of the trace, which is left out, s.
        records: Records of callers, servers, links and instances.
    """
    run_history = checked_history.History(records)
    violations = check.check(records)
    by_rule = collections.Counter(each.rule for each in violations)
    by_service: dict[str, list[arrivals.Arrival]] = {name: [] for name in sorted(services)}
    for arrival in trace:
        by_service[arrival.service].append(arrival)
    reports = {
        name: _service_report(run_history, jobs, services[name], client_ms, warm_up_s)
        for name, jobs in by_service.items()
    }
    return RunReport(
        settings=settings,
        services=reports,
        sheds=sum(each.outcome == "shed" for each in records if isinstance(each, history.Run)),
        ran_twice=by_rule[check.AtMostOnce.name],
        lost=sum(each.lost for each in reports.values()),
        fault_s=_fault_s(run_history, records),
        drain_s=_drain_s(run_history, records),
        server_s=_server_overhead_s(run_history, trace),
        tool_late_s=_p99(each.late_s for each in run_history.intents.values()),
        late_start_s=_late_start_s(run_history),
        violations=dict(by_rule),
        first_violations=[str(each) for each in violations[:20]],
    )


def _service_report(
    run_history: checked_history.History,
    all_jobs: Sequence[arrivals.Arrival],
    service: exchanges.CalledService,
    client_ms: float,
    warm_up_s: float,
) -> ServiceReport:
    first = sum(each.at_s < warm_up_s for each in all_jobs)
    jobs = all_jobs[first:]
    ideal_waits = _ideal_waits(all_jobs, service)[first:]
    verdicts = [
        run_history.verdicts[job.request] for job in jobs if job.request in run_history.verdicts
    ]
    attempts = [each for job in jobs for each in run_history.attempts.get(job.request, ())]
    outcomes = collections.Counter(each.outcome for each in verdicts)
    network_s = 2 * client_ms / MS_PER_S
    latencies_s, waits_s = _latencies_and_waits_s(run_history, jobs, network_s)
    ideal_latency = _percentiles(
        wait + job.service_s + network_s
        for wait, job in zip(ideal_waits, jobs, strict=True)
        if wait is not None
    )
    measured_latency = _percentiles(latencies_s)
    refusal_rate = _ratio(outcomes[history.NOT_RUN], len(jobs)) or 0.0
    ideal_rate = _ratio(sum(wait is None for wait in ideal_waits), len(jobs)) or 0.0
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
        latency=measured_latency,
        ideal_latency=ideal_latency,
        wait=_percentiles(waits_s),
        ideal_wait=_percentiles(wait for wait in ideal_waits if wait is not None),
        p99_ratio=_ratio(measured_latency.p99_ms, ideal_latency.p99_ms)
        if measured_latency and ideal_latency
        else None,
        reasons=_reasons(verdicts),
    )


def _latencies_and_waits_s(
    run_history: checked_history.History, jobs: Iterable[arrivals.Arrival], network_s: float
) -> tuple[list[float], list[float]]:
    """Returns latencies and waiting times, s, of the requests that ran."""
    latencies_s, waits_s = [], []
    for job in jobs:
        verdict, intent = (
            run_history.verdicts.get(job.request),
            run_history.intents.get(job.request),
        )
        if verdict and intent and verdict.outcome == history.RAN:
            latency_s = verdict.at_s - intent.at_s
            latencies_s.append(latency_s)
            waits_s.append(max(0.0, latency_s - job.service_s - network_s))
    return latencies_s, waits_s


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


def _ratio(numerator: float, denominator: float) -> float | None:
    return numerator / denominator if denominator else None


def _reasons(verdicts: Iterable[history.Verdict]) -> dict[str, int]:
    """Returns how often the most frequent results other than success occurred.

    The keys consist of outcome, status and reason.
    """
    return dict(
        collections.Counter(
            f"{each.outcome} {each.status} {each.reason[:80]}".strip()
            for each in verdicts
            if each.outcome != history.RAN or each.status != exchanges.HTTP_OK
        ).most_common(8)
    )


def _fault_s(
    run_history: checked_history.History, records: Iterable[history.Record]
) -> list[float]:
    started_s = min((each.at_s for each in run_history.intents.values()), default=0.0)
    phases = (history.INJECTED, history.ENDED)
    events = [each for each in records if isinstance(each, history.FaultEvent)]
    return sorted(each.at_s - started_s for each in events if each.phase in phases)


def _drain_s(
    run_history: checked_history.History, records: Iterable[history.Record]
) -> dict[str, float]:
    """Returns the drain times, s, of servers (until the last run ends) and stopped instances."""
    drains: dict[str, float] = {}
    for server, leaving_since_s in run_history.leaving_since_s.items():
        ends = [each.ended_s for each in run_history.runs if each.server == server]
        drains[server] = max(0.0, max(ends, default=leaving_since_s) - leaving_since_s)
    ordered_s: dict[str, float] = {}
    for each in records:
        if isinstance(each, history.FaultEvent) and each.phase == history.STOP_ORDERED:
            ordered_s[each.target] = each.at_s
        elif isinstance(each, history.FaultEvent) and each.phase == history.STOPPED:
            drains[each.target] = each.at_s - ordered_s[each.target]
    return drains


def _server_overhead_s(
    run_history: checked_history.History, trace: Iterable[arrivals.Arrival]
) -> float:
    requested_s = {each.request: each.service_s for each in trace}
    excess_s = [
        each.ended_s - each.at_s - requested_s[each.request]
        for each in run_history.runs
        if each.outcome == "ok" and each.request in requested_s
    ]
    return sum(excess_s) / len(excess_s) if excess_s else 0.0


def _late_start_s(run_history: checked_history.History) -> float:
    return _p99(
        attempts[0].at_s - run_history.intents[request].at_s
        for request, attempts in run_history.attempts.items()
        if request in run_history.intents
    )


def _p99(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * 0.99)] if ordered else 0.0


def as_text(report: RunReport) -> str:
    """Returns the report as text."""
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
        lines.append("NOT VALID: the machine was too busy and the load tool sent requests late")
    lines.append("fault from and to: " + ", ".join(f"{each:.1f} s" for each in report.fault_s))
    lines += [f"drain {target}: {each_s:.2f} s" for target, each_s in report.drain_s.items()]
    lines.append(f"violations: {dict(report.violations) or 'none'}")
    lines += report.first_violations
    return "\n".join(lines) + "\n"


def _service_line(name: str, each: ServiceReport) -> str:
    measured, wait, ideal_wait = each.latency, each.wait, each.ideal_wait
    return (
        f"{name:<15}{each.arrivals:>9}"
        f"{_number(measured and measured.p50_ms, 9)}{_number(measured and measured.p99_ms, 9)}"
        f"{_number(measured and measured.p999_ms, 10)}{_number(each.p99_ratio, 10, 2)}"
        f"{each.refusal_rate:>9.2%}{each.ideal_refusal_rate:>8.2%}"
        f"{_number(each.refusal_ratio, 7, 2)}"
        f"{_number(wait and wait.p99_ms, 10)}{_number(ideal_wait and ideal_wait.p99_ms, 8)}"
        f"{each.retries:>9}{each.refused_attempts:>9}{each.unknown:>9}{each.lost:>6}"
    )


def _number(value: float | None, width: int, digits: int = 1) -> str:
    return f"{'-':>{width}}" if value is None else f"{value:>{width}.{digits}f}"

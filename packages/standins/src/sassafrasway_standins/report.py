"""Results of a benchmark, compared with an ideal pool on the same arrivals, as data and text."""

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
# A load tool that starts 1% of its requests later than this lacks CPU time; so do the instances.
MAX_TOOL_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceReport:
    """Results of one service, without the warm-up.

    Fields that begin with ``ideal_`` are results of the ideal pool on the same arrivals.

    Attributes:
        arrivals: Requests of the trace.
        ran: Requests with the final outcome "ran"; ``refused`` and ``unknown`` count the requests
            with the final outcomes "not run" and "unknown".
        lost: Requests without a verdict.
        retries: Attempts after the first one of each request.
        refused_attempts: Attempts answered "not run"; the caller may have retried afterwards.
        refusal_rate: Refused requests divided by arrivals.
        refusal_ratio: Refusal rate divided by the ideal one; None if the ideal pool refuses none.
        latency: Time from the intended arrival to the verdict, of requests that ran.
        ideal_latency: Latency of the ideal pool with the same network delay to the client.
        wait: Latency minus service time and network delay to the client, of requests that ran.
        p99_ratio: p99 latency divided by that of the ideal pool; None if either is missing.
        reasons: Counts of the most frequent results other than success, by outcome, status and
            reason.
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
    """Results of one benchmark. Below, a run is the execution of one request on a server.

    Attributes:
        settings: Options of the benchmark, the mean CPU use of its child processes, cores, and the
            load average of the machine before it.
        sheds: Times that servers rejected a request because all their slots were in use.
        ran_twice: Violations of the at-most-once rule.
        lost: Requests without a verdict, summed over the services.
        fault_s: When the fault began and ended, s after the first arrival; the load covers the
            whole fault only if the end is within the load's duration.
        drain_s: Time from the start of a drain until the last run of the server ended, or from the
            stop order of an instance until it stopped, by server or instance, s.
        server_s: Mean time of completed requests at the servers beyond the service time that they
            requested, s; shows how much the load of the machine distorts the results.
        tool_late_s: 99th percentile of the delay with which the load tool started requests, s.
        late_start_s: 99th percentile of the delay of first attempts after the intended time, s; it
            includes the lookup that some of them need.
        violations: Number of violations by rule.
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
    """Returns the report of a benchmark.

    The results of the services, and so the sum of lost requests, leave out arrivals before
    ``warm_up_s``; the other results are those of the whole benchmark.

    Args:
        settings: Copied into the report, see ``RunReport``.
        trace: Arrivals that the load tool sent.
        services: Services by name.
        client_ms: One-way delay to clients, ms.
        warm_up_s: Length of the first part of the trace, which is left out, s.
        records: Records of callers, servers, links and instances.
    """
    run_history = checked_history.History(records)
    violations = check.check(records)
    by_rule = collections.Counter(violation.rule for violation in violations)
    by_service: dict[str, list[arrivals.Arrival]] = {name: [] for name in sorted(services)}
    for arrival in trace:
        by_service[arrival.service].append(arrival)
    reports = {
        name: _service_report(run_history, service_arrivals, services[name], client_ms, warm_up_s)
        for name, service_arrivals in by_service.items()
    }
    return RunReport(
        settings=settings,
        services=reports,
        sheds=sum(
            record.outcome == "shed" for record in records if isinstance(record, history.Run)
        ),
        ran_twice=by_rule[check.AtMostOnce.name],
        lost=sum(service.lost for service in reports.values()),
        fault_s=_fault_s(run_history, records),
        drain_s=_drain_s(run_history, records),
        server_s=_server_overhead_s(run_history, trace),
        tool_late_s=_p99(intent.late_s for intent in run_history.intents.values()),
        late_start_s=_late_start_s(run_history),
        violations=dict(by_rule),
        first_violations=[str(violation) for violation in violations[:20]],
    )


def _service_report(
    run_history: checked_history.History,
    all_arrivals: Sequence[arrivals.Arrival],
    service: exchanges.CalledService,
    client_ms: float,
    warm_up_s: float,
) -> ServiceReport:
    """Returns the report of one service.

    The ideal pool also serves the arrivals of the warm-up, as they may occupy slots beyond its end.
    """
    warm_up_count = sum(arrival.at_s < warm_up_s for arrival in all_arrivals)
    measured_arrivals = all_arrivals[warm_up_count:]
    ideal_waits = _ideal_waits(all_arrivals, service)[warm_up_count:]
    verdicts = [
        run_history.verdicts[arrival.request]
        for arrival in measured_arrivals
        if arrival.request in run_history.verdicts
    ]
    attempts = [
        attempt
        for arrival in measured_arrivals
        for attempt in run_history.attempts.get(arrival.request, ())
    ]
    outcomes = collections.Counter(verdict.outcome for verdict in verdicts)
    network_s = 2 * client_ms / MS_PER_S
    latencies_s, waits_s = _latencies_and_waits_s(run_history, measured_arrivals, network_s)
    ideal_latency = _percentiles(
        wait + arrival.service_s + network_s
        for wait, arrival in zip(ideal_waits, measured_arrivals, strict=True)
        if wait is not None
    )
    measured_latency = _percentiles(latencies_s)
    refusal_rate = _ratio(outcomes[history.NOT_RUN], len(measured_arrivals)) or 0.0
    ideal_rate = _ratio(sum(wait is None for wait in ideal_waits), len(measured_arrivals)) or 0.0
    return ServiceReport(
        arrivals=len(measured_arrivals),
        ran=outcomes[history.RAN],
        refused=outcomes[history.NOT_RUN],
        unknown=outcomes[history.UNKNOWN],
        lost=len(measured_arrivals) - len(verdicts),
        retries=sum(max(0, verdict.attempts - 1) for verdict in verdicts),
        refused_attempts=sum(attempt.outcome == history.NOT_RUN for attempt in attempts),
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
    run_history: checked_history.History,
    measured_arrivals: Iterable[arrivals.Arrival],
    network_s: float,
) -> tuple[list[float], list[float]]:
    """Returns latencies and waiting times, s, of the requests that ran."""
    latencies_s, waits_s = [], []
    for arrival in measured_arrivals:
        verdict, intent = (
            run_history.verdicts.get(arrival.request),
            run_history.intents.get(arrival.request),
        )
        if verdict and intent and verdict.outcome == history.RAN:
            latency_s = verdict.at_s - intent.at_s
            latencies_s.append(latency_s)
            waits_s.append(max(0.0, latency_s - arrival.service_s - network_s))
    return latencies_s, waits_s


def _ideal_waits(
    service_arrivals: Sequence[arrivals.Arrival], service: exchanges.CalledService
) -> list[float | None]:
    return ideal.pooled_waits(
        [(arrival.at_s, arrival.service_s) for arrival in service_arrivals],
        slots=service.slots,
        max_wait_s=math.inf if service.may_wait else 0.0,
    )


def _percentiles(seconds: Iterable[float]) -> latency.Percentiles | None:
    latencies = latency.Latencies()
    for value in seconds:
        latencies.record("", value)
    return latencies.percentiles().get("")


def _ratio(numerator: float, denominator: float) -> float | None:
    return numerator / denominator if denominator else None


def _reasons(verdicts: Iterable[history.Verdict]) -> dict[str, int]:
    """Counts the most frequent results other than success by outcome, status and reason."""
    return dict(
        collections.Counter(
            f"{verdict.outcome} {verdict.status} {verdict.reason[:80]}".strip()
            for verdict in verdicts
            if verdict.outcome != history.RAN or verdict.status != exchanges.HTTP_OK
        ).most_common(8)
    )


def _fault_s(
    run_history: checked_history.History, records: Iterable[history.Record]
) -> list[float]:
    started_s = min((intent.at_s for intent in run_history.intents.values()), default=0.0)
    phases = (history.INJECTED, history.ENDED)
    events = [event for event in records if isinstance(event, history.FaultEvent)]
    return sorted(event.at_s - started_s for event in events if event.phase in phases)


def _drain_s(
    run_history: checked_history.History, records: Iterable[history.Record]
) -> dict[str, float]:
    durations_s: dict[str, float] = {}
    for server, leaving_since_s in run_history.leaving_since_s.items():
        ends = [run.ended_s for run in run_history.runs if run.server == server]
        durations_s[server] = max(0.0, max(ends, default=leaving_since_s) - leaving_since_s)
    ordered_s: dict[str, float] = {}
    for record in records:
        if isinstance(record, history.FaultEvent) and record.phase == history.STOP_ORDERED:
            ordered_s[record.target] = record.at_s
        elif isinstance(record, history.FaultEvent) and record.phase == history.STOPPED:
            durations_s[record.target] = record.at_s - ordered_s[record.target]
    return durations_s


def _server_overhead_s(
    run_history: checked_history.History, trace: Iterable[arrivals.Arrival]
) -> float:
    requested_s = {arrival.request: arrival.service_s for arrival in trace}
    excess_s = [
        run.ended_s - run.at_s - requested_s[run.request]
        for run in run_history.runs
        if run.outcome == "ok" and run.request in requested_s
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
    lines += [_service_line(name, service) for name, service in report.services.items()]
    lines.append("")
    for name, service in report.services.items():
        lines += [f"{name}: {count} x {reason}" for reason, count in service.reasons.items()]
    lines.append(
        f"sheds {report.sheds}, ran twice {report.ran_twice}, lost {report.lost}, "
        f"server time above requested {report.server_s * MS_PER_S:.2f} ms, "
        f"load tool late by {report.tool_late_s * MS_PER_S:.1f} ms and first attempts by "
        f"{report.late_start_s * MS_PER_S:.1f} ms (p99)"
    )
    if report.is_starved:
        lines.append("NOT VALID: the machine was too busy and the load tool sent requests late")
    lines.append("fault from and to: " + ", ".join(f"{at_s:.1f} s" for at_s in report.fault_s))
    lines += [f"drain {target}: {drain_s:.2f} s" for target, drain_s in report.drain_s.items()]
    lines.append(f"violations: {dict(report.violations) or 'none'}")
    lines += report.first_violations
    return "\n".join(lines) + "\n"


def _service_line(name: str, service: ServiceReport) -> str:
    measured, wait, ideal_wait = service.latency, service.wait, service.ideal_wait
    return (
        f"{name:<15}{service.arrivals:>9}"
        f"{_number(measured and measured.p50_ms, 9)}{_number(measured and measured.p99_ms, 9)}"
        f"{_number(measured and measured.p999_ms, 10)}{_number(service.p99_ratio, 10, 2)}"
        f"{service.refusal_rate:>9.2%}{service.ideal_refusal_rate:>8.2%}"
        f"{_number(service.refusal_ratio, 7, 2)}"
        f"{_number(wait and wait.p99_ms, 10)}{_number(ideal_wait and ideal_wait.p99_ms, 8)}"
        f"{service.retries:>9}{service.refused_attempts:>9}{service.unknown:>9}{service.lost:>6}"
    )


def _number(value: float | None, width: int, digits: int = 1) -> str:
    return f"{'-':>{width}}" if value is None else f"{value:>{width}.{digits}f}"

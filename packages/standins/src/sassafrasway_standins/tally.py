"""Counts the outcomes of the requests in a recorded history, by service."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from sassafrasway_standins import checked_history, exchanges, history, latency

TOTAL = "total"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tally:
    """Outcomes of the requests of one service.

    Attributes:
        service: Name of the service, or ``TOTAL``.
        sent: Requests that callers were due to send.
        ran_once: Requests that ran exactly once on the backend servers.
        ran_twice: Requests of a non-idempotent service that ran more than once.
        repeated: Requests of an idempotent service that ran more than once, which is allowed.
        lost: Requests without a verdict, or with the outcome "ran" although no server ran them.
        late: Requests that ran but were answered after the deadline.
        latency: Latency of the requests that ran; None if there are none.
    """

    service: str
    sent: int
    ran_once: int
    ran_twice: int
    repeated: int
    lost: int
    late: int
    not_run: int
    unknown: int
    latency: latency.Percentiles | None


def count(
    records: Iterable[history.Record], services: Mapping[str, exchanges.CalledService]
) -> list[Tally]:
    """Returns the tally of each service, and that of all services together as the last.

    Raises:
        KeyError: A request is for a service that ``services`` does not contain.
    """
    run_history = checked_history.History(records)
    requests_by_service: dict[str, list[str]] = {name: [] for name in sorted(services)}
    for request, intent in run_history.intents.items():
        requests_by_service[intent.service].append(request)
    tallies = [
        _tally(run_history, name, requests, services)
        for name, requests in requests_by_service.items()
    ]
    all_requests = [request for requests in requests_by_service.values() for request in requests]
    return [*tallies, _tally(run_history, TOTAL, all_requests, services)]


def _tally(
    run_history: checked_history.History,
    name: str,
    requests: Sequence[str],
    services: Mapping[str, exchanges.CalledService],
) -> Tally:
    latencies = latency.Latencies()
    counts = dict.fromkeys(
        ("ran_once", "ran_twice", "repeated", "lost", "late", "not_run", "unknown"), 0
    )
    for request in requests:
        intent, verdict = run_history.intents[request], run_history.verdicts.get(request)
        service = services[intent.service]
        runs = len(run_history.runs_by_request.get(request, ()))
        counts["ran_once"] += runs == 1
        counts["repeated" if service.idempotent else "ran_twice"] += runs > 1
        if verdict is None:
            counts["lost"] += 1
            continue
        counts["not_run"] += verdict.outcome == history.NOT_RUN
        counts["unknown"] += verdict.outcome == history.UNKNOWN
        if verdict.outcome == history.RAN:
            latency_s = verdict.at_s - intent.at_s
            counts["lost"] += runs == 0
            counts["late"] += latency_s > service.deadline_ms / 1000
            latencies.record(name, latency_s)
    percentiles = latencies.percentiles().get(name)
    return Tally(service=name, sent=len(requests), latency=percentiles, **counts)


def as_text(tallies: Iterable[Tally]) -> str:
    """Returns a text table with one line for each tally."""
    # Each title, with spaces replaced by underscores, is the name of an attribute of Tally.
    titles = ("sent", "ran once", "ran twice", "repeated", "lost", "late", "not run", "unknown")
    header = f"{'service':<15}" + "".join(f"{title:>10}" for title in titles)
    lines = [header + f"{'p50 ms':>10}{'p99 ms':>10}"]
    for tally in tallies:
        line = f"{tally.service:<15}"
        for title in titles:
            line += f"{getattr(tally, title.replace(' ', '_')):>10}"
        if tally.latency is not None:
            line += f"{tally.latency.p50_ms:>10.1f}{tally.latency.p99_ms:>10.1f}"
        lines.append(line)
    return "\n".join(lines)

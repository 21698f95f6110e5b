"""Checks the recorded history of a benchmark, test or demo against the guarantees P1 to P8.

The docstrings of the rules state the guarantees.

The rules use the records of callers, servers, links, instances and the operator, among them the
policies that were in force. They do not use the routing decisions of the entry instances.
"""

import collections
import math
import pathlib
import sys
from collections.abc import Iterable, Iterator, Mapping

import click

from sassafrasway_standins import cap_rules, checked_history, history

LEAVING_GRACE_S = 3.0  # time in which a leaving server may still start work (guarantee P6)


class AtMostOnce(checked_history.Rule):
    """Servers of a non-idempotent service run each request and each key at most once (P5)."""

    name = "at-most-once"

    def violations(
        self, run_history: checked_history.History
    ) -> Iterator[checked_history.Violation]:
        """See base class."""
        runs = [run for run in run_history.runs if not run_history.is_idempotent(run)]
        yield from self._repeated(checked_history.grouped(runs, lambda run: run.request))
        # Several runs of one request are reported above; here, only keys of several requests count.
        by_key = checked_history.grouped((run for run in runs if run.key), lambda run: run.key)
        yield from self._repeated({k: v for k, v in by_key.items() if len(_request_ids(v)) > 1})

    def _repeated(
        self, groups: Mapping[str, list[history.Run]]
    ) -> Iterator[checked_history.Violation]:
        """Yields a violation for each group with several runs, at the start of its second run."""
        for subject, runs in groups.items():
            if len(runs) > 1:
                servers = ", ".join(run.server for run in runs)
                yield self._violation(subject, runs[1].at_s, f"started on {servers}")


def _request_ids(runs: Iterable[history.Run]) -> set[str]:
    return {run.request for run in runs}


class NotRunIsTrue(checked_history.Rule):
    """A request whose attempt ended as "not run" neither ran before nor runs later (P4).

    A run that starts before the next attempt violates the rule. The exception is a run of an
    idempotent service that an earlier attempt, with outcome "ran" or "unknown", may have caused.
    Runs that start after the next attempt may be due to that attempt and are not counted.
    """

    name = "not-run-is-true"

    def violations(
        self, run_history: checked_history.History
    ) -> Iterator[checked_history.Violation]:
        """See base class."""
        for request, runs in run_history.runs_by_request.items():
            attempts = run_history.attempts.get(request, [])
            for index, attempt in enumerate(attempts):
                if attempt.outcome == history.NOT_RUN:
                    yield from self._check_attempt(run_history, attempts, index, runs)

    def _check_attempt(
        self,
        run_history: checked_history.History,
        attempts: list[history.Attempt],
        index: int,
        runs: list[history.Run],
    ) -> Iterator[checked_history.Violation]:
        attempt = attempts[index]
        retried_s = attempts[index + 1].at_s if index + 1 < len(attempts) else math.inf
        earlier_may_have_run = any(_may_have_run(earlier) for earlier in attempts[:index])
        for run in runs:
            if run.at_s >= retried_s or (earlier_may_have_run and run_history.is_idempotent(run)):
                continue
            when = "before" if run.at_s < attempt.ended_s else "after"
            detail = f"started on {run.server} {when} the response to attempt {attempt.number}"
            yield self._violation(attempt.request, run.at_s, detail)


def _may_have_run(attempt: history.Attempt) -> bool:
    return attempt.outcome in (history.RAN, history.UNKNOWN)


class WholeAndOwn(checked_history.Rule):
    """A response is complete, belongs to the request, and comes from a run (P3)."""

    name = "whole-and-own"

    def violations(
        self, run_history: checked_history.History
    ) -> Iterator[checked_history.Violation]:
        """See base class."""
        for request, verdict in run_history.verdicts.items():
            if verdict.outcome != history.RAN:
                continue
            if not verdict.whole:
                yield self._violation(request, verdict.at_s, "the response is incomplete")
            if not verdict.own:
                yield self._violation(
                    request, verdict.at_s, "the response belongs to another request"
                )
            if request not in run_history.runs_by_request:
                yield self._violation(
                    request, verdict.at_s, 'the outcome is "ran", but no server started the request'
                )


class NoneLost(checked_history.Rule):
    """Every request that a caller was due to send has a verdict, its final outcome (P7)."""

    name = "none-lost"

    def violations(
        self, run_history: checked_history.History
    ) -> Iterator[checked_history.Violation]:
        """See base class."""
        for request, intent in run_history.intents.items():
            if request not in run_history.verdicts:
                yield self._violation(request, intent.at_s, "the caller recorded no verdict")


class SlotLimit(checked_history.Rule):
    """A server never runs more requests at the same time than it has slots (P2)."""

    name = "slots"

    def violations(
        self, run_history: checked_history.History
    ) -> Iterator[checked_history.Violation]:
        """See base class."""
        events: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
        for run in run_history.runs:
            events[run.server] += [(run.at_s, 1), (run.ended_s, -1)]
        for server, changes in events.items():
            slots = run_history.server(server).get("slots", math.inf)
            yield from self._check_server(server, sorted(changes), slots)

    def _check_server(
        self, server: str, changes: list[tuple[float, int]], slots: float
    ) -> Iterator[checked_history.Violation]:
        """Yields the first time at which more requests run than the server has slots.

        Args:
            server: Name of the server.
            changes: Pairs of a time, s, and +1 for a start or -1 for an end, sorted; at equal
                times, ends thus count before starts.
            slots: Number of slots; infinity if no policy names the server.
        """
        in_use = 0
        for at_s, change in changes:
            in_use += change
            if in_use > slots:
                yield self._violation(server, at_s, f"{in_use} requests running in {slots} slots")
                return


class NoWorkAfterLeaving(checked_history.Rule):
    """A server starts no requests later than ``LEAVING_GRACE_S`` after it began to leave (P6)."""

    name = "no-work-after-leaving"

    def violations(
        self, run_history: checked_history.History
    ) -> Iterator[checked_history.Violation]:
        """See base class."""
        for run in run_history.runs:
            after_s = run.at_s - run_history.leaving_since_s.get(run.server, math.inf)
            if after_s > LEAVING_GRACE_S:
                detail = (
                    f"request {run.request} started {after_s:.3f} s after the server began to leave"
                )
                yield self._violation(run.server, run.at_s, detail)


class RevisionsInOrder(checked_history.Rule):
    """The policy revision of an entry process never decreases (P8)."""

    name = "revisions-in-order"

    def violations(
        self, run_history: checked_history.History
    ) -> Iterator[checked_history.Violation]:
        """See base class."""
        for instance, records in run_history.revisions.items():
            highest = 0
            for record in records:
                if record.revision < highest:
                    detail = f"policy revision {record.revision} after {highest}"
                    yield self._violation(instance, record.at_s, detail)
                highest = max(highest, record.revision)


class InvariantsHold(checked_history.Rule):
    """No entry instance reports a violation of one of its own invariants."""

    name = "invariants"

    def violations(
        self, run_history: checked_history.History
    ) -> Iterator[checked_history.Violation]:
        """See base class."""
        for record in run_history.invariants:
            yield self._violation(record.instance, record.at_s, f"{record.rule}: {record.detail}")


RULES: dict[str, checked_history.Rule] = {
    rule.name: rule
    for rule in (
        AtMostOnce(),
        NotRunIsTrue(),
        WholeAndOwn(),
        NoneLost(),
        cap_rules.RegionCap(),
        cap_rules.ShiftCap(),
        cap_rules.LinkCap(),
        SlotLimit(),
        NoWorkAfterLeaving(),
        RevisionsInOrder(),
        InvariantsHold(),
    )
}


def check(records: Iterable[history.Record]) -> list[checked_history.Violation]:
    """Returns the violations of all rules by the records of one history, in order of ``RULES``."""
    run_history = checked_history.History(records)
    return [violation for rule in RULES.values() for violation in rule.violations(run_history)]


def history_files(paths: Iterable[pathlib.Path]) -> list[pathlib.Path]:
    """Returns the paths, with each directory replaced by the ``.jsonl`` files below it."""
    files: list[pathlib.Path] = []
    for path in paths:
        files.extend(sorted(path.rglob("*.jsonl")) if path.is_dir() else [path])
    return files


@click.command("check")
@click.argument(
    "paths", nargs=-1, required=True, type=click.Path(exists=True, path_type=pathlib.Path)
)
def command(paths: tuple[pathlib.Path, ...]) -> None:
    """Checks the history files or directories PATHS; exits with 1 if a rule is violated."""
    violations = check(history.read(history_files(paths)))
    for violation in violations:
        click.echo(str(violation))
    click.echo(f"{len(violations)} violations of {len(RULES)} rules")
    sys.exit(1 if violations else 0)

"""Index of the recorded history that the checker reads, and the base class of its rules."""

import abc
import collections
import dataclasses
import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from sassafrasway_standins import history

WINDOW_S = 1.0  # length of the windows in which the rules add up amounts
# A lowered limit takes effect everywhere within 5 s (guarantee P8); until then the previous one
# applies.
POLICY_SETTLE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """One violation of a rule at monotonic time ``at_s``.

    ``subject`` is the request, key, server, link, region, shift or instance that violates it.
    """

    rule: str
    subject: str
    at_s: float
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.subject} at {self.at_s:.6f} s: {self.detail}"


class History:
    """Records of one benchmark, test or demo, grouped and sorted by time for the rules.

    ``intents``, ``attempts`` and ``verdicts`` are keyed by request ID.

    Attributes:
        runs: Runs, without the requests that a server rejected without starting them.
        runs_by_request: ``runs`` by request ID.
        leaving_since_s: Monotonic time at which a leaving server began to leave, s, by server.
        link_bytes: Records of link traffic by ``source>target``, the regions of the link.
        revisions: Policy revisions reported by entry instances, by ``instance/incarnation``.
        invariants: Violations of their own invariants that entry instances reported.
        policies: Accepted policies.
    """

    def __init__(self, records: Iterable[history.Record]):
        by_kind: dict[str, list[Any]] = collections.defaultdict(list)
        for record in records:
            by_kind[record.kind].append(record)
        for group in by_kind.values():
            group.sort(key=lambda record: record.at_s)
        self.intents = {intent.request: intent for intent in by_kind[history.Intent.kind]}
        self.attempts = grouped(by_kind[history.Attempt.kind], lambda attempt: attempt.request)
        self.verdicts = {verdict.request: verdict for verdict in by_kind[history.Verdict.kind]}
        self.runs: list[history.Run] = [run for run in by_kind[history.Run.kind] if run.ran]
        self.runs_by_request = grouped(self.runs, lambda run: run.request)
        self.leaving_since_s = self._leaving_since_s(by_kind[history.Leaving.kind])
        self.link_bytes = grouped(
            by_kind[history.LinkBytes.kind], lambda record: f"{record.source}>{record.target}"
        )
        self.revisions = grouped(
            by_kind[history.RevisionSeen.kind],
            lambda record: f"{record.instance}/{record.incarnation}",
        )
        self.invariants: list[history.InvariantBroken] = by_kind[history.InvariantBroken.kind]
        self.policies: list[history.PolicyInForce] = by_kind[history.PolicyInForce.kind]
        self._servers: dict[str, Mapping[str, Any]] = {}
        self._services: dict[str, Mapping[str, Any]] = {}
        for policy in self.policies:
            self._servers.update(policy.document.get("servers", {}))
            self._services.update(policy.document.get("services", {}))

    def server(self, name: str) -> Mapping[str, Any]:
        """Returns the newest policy entry of a server; empty if no policy names it."""
        return self._servers.get(name, {})

    def is_idempotent(self, run: history.Run) -> bool:
        """Returns whether the service of the run is idempotent, so that requests may run again."""
        service = self.server(run.server).get("service", "")
        return bool(self._services.get(service, {}).get("idempotent", False))

    def highest_limit(
        self, limit_of: Callable[[Mapping[str, Any]], float | None], end_s: float
    ) -> float:
        """Returns the highest limit among the policies that may apply to a window.

        These are the policies in force during the window and during the ``POLICY_SETTLE_S`` before
        it. A policy without a limit counts as infinity.

        Args:
            limit_of: Extracts the limit from a policy document; None if there is no limit.
            end_s: End of the window of ``WINDOW_S``, s.
        """
        documents = self._documents(end_s - WINDOW_S - POLICY_SETTLE_S, end_s)
        limits = [limit_of(document) for document in documents]
        return max((math.inf if limit is None else limit for limit in limits), default=math.inf)

    def _leaving_since_s(self, drains: Iterable[history.Leaving]) -> dict[str, float]:
        """Returns when each leaving server began to leave.

        This is the earlier of the start of its last drain by an operator and the earliest time that
        the server reported in a run. ``drains`` are in order of time.
        """
        since_s: dict[str, float] = {drain.server: drain.at_s for drain in drains}
        for run in self.runs:
            if run.leaving_since_s is not None:
                known_s = since_s.get(run.server, math.inf)
                since_s[run.server] = min(known_s, run.leaving_since_s)
        return since_s

    def _documents(self, from_s: float, to_s: float) -> list[Mapping[str, Any]]:
        """Returns the documents in force at ``from_s`` or accepted after it, until ``to_s``."""
        before = [policy for policy in self.policies if policy.at_s <= from_s][-1:]
        within = [policy for policy in self.policies if from_s < policy.at_s <= to_s]
        return [policy.document for policy in (*before, *within)]


def grouped(records: Iterable[Any], key: Callable[[Any], str]) -> dict[str, list[Any]]:
    """Returns the records grouped by key; each group keeps the order of the records."""
    groups: dict[str, list[Any]] = collections.defaultdict(list)
    for record in records:
        groups[key(record)].append(record)
    return dict(groups)


class Rule(abc.ABC):
    """A rule that the history of a correct system satisfies.

    Attributes:
        name: Name of the rule in violations and reports.
    """

    name = ""

    @abc.abstractmethod
    def violations(self, run_history: History) -> Iterator[Violation]:
        """Yields the violations of the rule."""

    def _violation(self, subject: str, at_s: float, detail: str) -> Violation:
        return Violation(rule=self.name, subject=subject, at_s=at_s, detail=detail)

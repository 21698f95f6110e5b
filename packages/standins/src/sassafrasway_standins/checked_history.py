"""Records of one run, indexed for the rules of the checker, and what a rule is."""

import abc
import collections
import dataclasses
import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from sassafrasway_standins import history

WINDOW_S = 1.0
# A lower limit is in force everywhere within 5 s (guarantee P8); until then the old one counts.
POLICY_SETTLE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """One breach of a rule.

    Attributes:
        subject: The request, server, link, region, shift or instance concerned.
        at_s: Monotonic time of the breach, s.
    """

    rule: str
    subject: str
    at_s: float
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.subject} at {self.at_s:.6f} s: {self.detail}"


class History:
    """Records of one run, indexed for the rules."""

    def __init__(self, records: Iterable[history.Record]):
        by_kind: dict[str, list[Any]] = collections.defaultdict(list)
        for record in records:
            by_kind[record.kind].append(record)
        for group in by_kind.values():
            group.sort(key=lambda record: record.at_s)
        self.intents = {each.request: each for each in by_kind[history.Intent.kind]}
        self.attempts = grouped(by_kind[history.Attempt.kind], lambda each: each.request)
        self.verdicts = {each.request: each for each in by_kind[history.Verdict.kind]}
        self.runs: list[history.Run] = [each for each in by_kind[history.Run.kind] if each.ran]
        self.runs_by_request = grouped(self.runs, lambda each: each.request)
        self.left_s = self._left_s(by_kind[history.Leaving.kind])
        self.link_bytes = grouped(
            by_kind[history.LinkBytes.kind], lambda each: f"{each.source}>{each.target}"
        )
        self.revisions = grouped(
            by_kind[history.RevisionSeen.kind],
            lambda each: f"{each.instance}/{each.incarnation}",
        )
        self.invariants: list[history.InvariantBroken] = by_kind[history.InvariantBroken.kind]
        self.policies: list[history.PolicyInForce] = by_kind[history.PolicyInForce.kind]
        self._servers: dict[str, Mapping[str, Any]] = {}
        self._services: dict[str, Mapping[str, Any]] = {}
        for policy in self.policies:
            self._servers.update(policy.document.get("servers", {}))
            self._services.update(policy.document.get("services", {}))

    def server(self, name: str) -> Mapping[str, Any]:
        """Returns the policy's entry of a server; empty when no policy names it."""
        return self._servers.get(name, {})

    def is_idempotent(self, start: history.Run) -> bool:
        """Returns whether the run's service may run a request more than once."""
        service = self.server(start.server).get("service", "")
        return bool(self._services.get(service, {}).get("idempotent", False))

    def highest(self, limit_of: Callable[[Mapping[str, Any]], float | None], end_s: float) -> float:
        """Returns the highest limit that any policy in force allows for a window.

        Args:
            limit_of: Extracts the limit from a policy document; None when there is no limit.
            end_s: End of the window, s.
        """
        documents = self._documents(end_s - WINDOW_S - POLICY_SETTLE_S, end_s)
        limits = [limit_of(document) for document in documents]
        return max((math.inf if each is None else each for each in limits), default=math.inf)

    def _left_s(self, drains: Iterable[history.Leaving]) -> dict[str, float]:
        left_s: dict[str, float] = {each.server: each.at_s for each in drains}
        for run in self.runs:
            if run.leaving_since_s is not None:
                known_s = left_s.get(run.server, math.inf)
                left_s[run.server] = min(known_s, run.leaving_since_s)
        return left_s

    def _documents(self, from_s: float, to_s: float) -> list[Mapping[str, Any]]:
        before = [each for each in self.policies if each.at_s <= from_s][-1:]
        within = [each for each in self.policies if from_s < each.at_s <= to_s]
        return [each.document for each in (*before, *within)]


def grouped(records: Iterable[Any], key: Callable[[Any], str]) -> dict[str, list[Any]]:
    """Returns the records by key, in their order."""
    groups: dict[str, list[Any]] = collections.defaultdict(list)
    for record in records:
        groups[key(record)].append(record)
    return dict(groups)


class Rule(abc.ABC):
    """One rule that every history keeps."""

    name = ""

    @abc.abstractmethod
    def violations(self, run: History) -> Iterator[Violation]:
        """Yields the breaches of the rule."""

    def _violation(self, subject: str, at_s: float, detail: str) -> Violation:
        return Violation(rule=self.name, subject=subject, at_s=at_s, detail=detail)

"""Rules of the checker for limits that apply to every one-second window."""

import abc
import collections
from collections.abc import Iterator, Mapping
from typing import Any

from sassafrasway_standins import checked_history, history

# Tolerance for rounding errors: in sums, as a fraction of the limit; in the distance of times that
# are one second apart, in seconds.
TOLERANCE = 1e-6
BITS_PER_MEGABIT = 1e6


class WindowRule(checked_history.Rule):
    """A sum stays at or below a limit in every one-second window (P1, P2).

    ``unit`` is the unit of the sum in the texts of violations.
    """

    unit = ""

    @abc.abstractmethod
    def series(
        self, run_history: checked_history.History
    ) -> Mapping[str, list[tuple[float, float]]]:
        """Returns, for each subject, pairs of time, s, and amount in order of time."""

    @abc.abstractmethod
    def limit(self, document: Mapping[str, Any], subject: str) -> float | None:
        """Returns the limit of a subject in a policy document; None if there is none."""

    def violations(
        self, run_history: checked_history.History
    ) -> Iterator[checked_history.Violation]:
        """Yields, for each subject that exceeds its limit, the violation in its worst window."""
        for subject, amounts in self.series(run_history).items():
            worst = self._worst_violation(run_history, subject, amounts)
            if worst:
                yield worst

    def _worst_violation(
        self, run_history: checked_history.History, subject: str, amounts: list[tuple[float, float]]
    ) -> checked_history.Violation | None:
        """Returns the violation in the window that exceeds its limit by most; None if none does."""
        worst, excess = None, 0.0
        for end_s, total in window_sums(amounts):
            limit = run_history.highest_limit(lambda document: self.limit(document, subject), end_s)
            if total - limit > max(excess, limit * TOLERANCE):
                excess = total - limit
                detail = f"{total:g} {self.unit} in 1 s, limit {limit:g}"
                worst = self._violation(subject, end_s, detail)
        return worst


def window_sums(amounts: list[tuple[float, float]]) -> Iterator[tuple[float, float]]:
    """Yields, for each event, its time and the sum over the one-second window that ends there.

    A window leaves out events that are exactly one second earlier than its end. ``amounts`` are
    pairs of the time of an event, s, and its amount, in order of time.
    """
    window: collections.deque[tuple[float, float]] = collections.deque()
    total = 0.0
    for at_s, amount in amounts:
        window.append((at_s, amount))
        total += amount
        while window[0][0] <= at_s - checked_history.WINDOW_S + TOLERANCE:
            total -= window.popleft()[1]
        yield at_s, total


class RegionCap(WindowRule):
    """The rate of requests that start on a region's servers stays within the region's cap."""

    name = "region-cap"
    unit = "requests"

    def series(
        self, run_history: checked_history.History
    ) -> Mapping[str, list[tuple[float, float]]]:
        """See base class."""
        by_region = checked_history.grouped(
            run_history.runs, lambda run: run_history.server(run.server).get("region", "")
        )
        return {region: [(run.at_s, 1.0) for run in runs] for region, runs in by_region.items()}

    def limit(self, document: Mapping[str, Any], subject: str) -> float | None:
        """See base class."""
        return document.get("regions", {}).get(subject, {}).get("cap_rps")


class ShiftCap(WindowRule):
    """The rate of requests that a shift moves from its source region stays within the shift's cap.

    Such requests are those to the shift's service, from callers in its source region, that start on
    servers in its target region.
    """

    name = "shift-cap"
    unit = "requests"

    def series(
        self, run_history: checked_history.History
    ) -> Mapping[str, list[tuple[float, float]]]:
        """See base class."""
        shifts: dict[str, Mapping[str, Any]] = {}
        for policy in run_history.policies:
            shifts.update(policy.document.get("shifts", {}))
        return {
            name: [
                (run.at_s, 1.0)
                for run in run_history.runs
                if self._is_shifted(run_history, run, shift)
            ]
            for name, shift in shifts.items()
        }

    def limit(self, document: Mapping[str, Any], subject: str) -> float | None:
        """See base class."""
        return document.get("shifts", {}).get(subject, {}).get("cap_rps")

    def _is_shifted(
        self, run_history: checked_history.History, run: history.Run, shift: Mapping[str, Any]
    ) -> bool:
        server = run_history.server(run.server)
        intent = run_history.intents.get(run.request)
        return (
            intent is not None
            and intent.region == shift["source"]
            and server.get("region") == shift["target"]
            and server.get("service") == shift["service"]
        )


class LinkCap(WindowRule):
    """The bytes sent from one region to another stay within the link's cap, in each direction."""

    name = "link-cap"
    unit = "Mbit"

    def series(
        self, run_history: checked_history.History
    ) -> Mapping[str, list[tuple[float, float]]]:
        """See base class."""
        return {
            link: [(record.at_s, record.bytes * 8 / BITS_PER_MEGABIT) for record in records]
            for link, records in run_history.link_bytes.items()
        }

    def limit(self, document: Mapping[str, Any], subject: str) -> float | None:
        """See base class."""
        # The policy names a link by both regions in alphabetical order, for both directions.
        name = "/".join(sorted(subject.split(">")))
        return document.get("links", {}).get(name, {}).get("cap_mbit_s")

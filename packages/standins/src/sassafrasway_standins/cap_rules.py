"""Rules of the checker for limits that hold in every one-second window."""

import abc
import collections
from collections.abc import Iterator, Mapping
from typing import Any

from sassafrasway_standins import checked_history, history

# Sums of binary fractions may be off by rounding, and so may times that are a second apart.
ROUNDING = 1e-6
BITS_PER_MEGABIT = 1e6


class WindowRule(checked_history.Rule):
    """A sum stays at or below a limit in every one-second window (P1, P2)."""

    unit = ""

    @abc.abstractmethod
    def series(self, run: checked_history.History) -> Mapping[str, list[tuple[float, float]]]:
        """Returns pairs of time, s, and amount for each subject, in order of time."""

    @abc.abstractmethod
    def limit(self, document: Mapping[str, Any], subject: str) -> float | None:
        """Returns the limit of a subject in a policy document; None when there is none."""

    def violations(self, run: checked_history.History) -> Iterator[checked_history.Violation]:
        """Yields the worst window of each subject that exceeds its limit."""
        for subject, amounts in self.series(run).items():
            worst = self._worst(run, subject, amounts)
            if worst:
                yield worst

    def _worst(
        self, run: checked_history.History, subject: str, amounts: list[tuple[float, float]]
    ) -> checked_history.Violation | None:
        worst, excess = None, 0.0
        for end_s, total in window_sums(amounts):
            limit = run.highest(lambda document: self.limit(document, subject), end_s)
            if total - limit > max(excess, limit * ROUNDING):
                excess = total - limit
                detail = f"{total:g} {self.unit} in 1 s, limit {limit:g}"
                worst = self._violation(subject, end_s, detail)
        return worst


def window_sums(amounts: list[tuple[float, float]]) -> Iterator[tuple[float, float]]:
    """Yields, for each event, its time and the sum in the one-second window that it ends."""
    window: collections.deque[tuple[float, float]] = collections.deque()
    total = 0.0
    for at_s, amount in amounts:
        window.append((at_s, amount))
        total += amount
        while window[0][0] <= at_s - checked_history.WINDOW_S + ROUNDING:
            total -= window.popleft()[1]
        yield at_s, total


class RegionCap(WindowRule):
    """Requests that start on a region's servers stay under the region's cap."""

    name = "region-cap"
    unit = "requests"

    def series(self, run: checked_history.History) -> Mapping[str, list[tuple[float, float]]]:
        """See base class."""
        by_region = checked_history.grouped(
            run.runs, lambda each: run.server(each.server).get("region", "")
        )
        return {
            region: [(each.at_s, 1.0) for each in starts] for region, starts in by_region.items()
        }

    def limit(self, document: Mapping[str, Any], subject: str) -> float | None:
        """See base class."""
        return document.get("regions", {}).get(subject, {}).get("cap_rps")


class ShiftCap(WindowRule):
    """Requests with home region ``source`` that start in ``target`` stay under the shift's cap."""

    name = "shift-cap"
    unit = "requests"

    def series(self, run: checked_history.History) -> Mapping[str, list[tuple[float, float]]]:
        """See base class."""
        shifts: dict[str, Mapping[str, Any]] = {}
        for policy in run.policies:
            shifts.update(policy.document.get("shifts", {}))
        return {
            name: [(start.at_s, 1.0) for start in run.runs if self._moved(run, start, shift)]
            for name, shift in shifts.items()
        }

    def limit(self, document: Mapping[str, Any], subject: str) -> float | None:
        """See base class."""
        return document.get("shifts", {}).get(subject, {}).get("cap_rps")

    def _moved(
        self, run: checked_history.History, start: history.Run, shift: Mapping[str, Any]
    ) -> bool:
        server = run.server(start.server)
        intent = run.intents.get(start.request)
        return (
            intent is not None
            and intent.region == shift["source"]
            and server.get("region") == shift["target"]
            and server.get("service") == shift["service"]
        )


class LinkCap(WindowRule):
    """Bytes from one region to another stay under the link's cap, each way."""

    name = "link-cap"
    unit = "Mbit"

    def series(self, run: checked_history.History) -> Mapping[str, list[tuple[float, float]]]:
        """See base class."""
        return {
            link: [(each.at_s, each.bytes * 8 / BITS_PER_MEGABIT) for each in records]
            for link, records in run.link_bytes.items()
        }

    def limit(self, document: Mapping[str, Any], subject: str) -> float | None:
        """See base class."""
        name = "/".join(sorted(subject.split(">")))
        return document.get("links", {}).get(name, {}).get("cap_mbit_s")

"""Counters and latency histograms in the Prometheus text format.

The format is written here because the OpenTelemetry SDK would double the memory use of an instance,
and memory is expensive.
"""

import bisect
from collections.abc import Sequence

# Upper bounds of the histogram buckets.
LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)


class Counter:
    """Counter with labels."""

    def __init__(self, *, name: str, help_text: str, labels: Sequence[str] = ()):
        self._name = name
        self._help_text = help_text
        self._label_names = tuple(labels)
        self._values: dict[tuple[str, ...], float] = {}

    def add(self, *label_values: str, by: float = 1.0) -> None:
        """Increments the counter for the given label values."""
        self._values[label_values] = self._values.get(label_values, 0.0) + by

    def render(self) -> list[str]:
        """Returns the lines of the exposition format."""
        lines = [f"# HELP {self._name} {self._help_text}", f"# TYPE {self._name} counter"]
        for label_values, value in sorted(self._values.items()):
            lines.append(f"{self._name}{_format_labels(self._label_names, label_values)} {value:g}")
        return lines


class Histogram:
    """Histogram of durations in seconds, with labels."""

    def __init__(self, *, name: str, help_text: str, labels: Sequence[str] = ()):
        self._name = name
        self._help_text = help_text
        self._label_names = tuple(labels)
        self._counts: dict[tuple[str, ...], list[int]] = {}
        self._sums: dict[tuple[str, ...], float] = {}

    def observe(self, seconds: float, *label_values: str) -> None:
        """Records a duration for the given label values."""
        counts = self._counts.get(label_values)
        if counts is None:
            counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
            self._counts[label_values] = counts
        counts[bisect.bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self._sums[label_values] = self._sums.get(label_values, 0.0) + seconds

    def render(self) -> list[str]:
        """Returns the lines of the exposition format."""
        lines = [f"# HELP {self._name} {self._help_text}", f"# TYPE {self._name} histogram"]
        bucket_label_names = (*self._label_names, "le")
        for label_values, counts in sorted(self._counts.items()):
            total = 0
            for bound, count in zip((*LATENCY_BOUNDS_S, "+Inf"), counts, strict=True):
                total += count
                label_text = _format_labels(bucket_label_names, (*label_values, str(bound)))
                lines.append(f"{self._name}_bucket{label_text} {total}")
            label_text = _format_labels(self._label_names, label_values)
            lines.append(f"{self._name}_sum{label_text} {self._sums[label_values]:g}")
            lines.append(f"{self._name}_count{label_text} {total}")
        return lines


class GatewayMetrics:
    """All metrics of a gateway."""

    def __init__(self):
        self.requests = Counter(
            name="sassafrasway_requests_total",
            help_text="Requests of callers by route and outcome.",
            labels=("route", "outcome"),
        )
        self.attempts = Counter(
            name="sassafrasway_attempts_total",
            help_text="Attempts at backend servers by service and outcome.",
            labels=("service", "outcome"),
        )
        self.refusals = Counter(
            name="sassafrasway_refusals_total",
            help_text="Requests that were refused and not run, by service, reason and priority.",
            labels=("service", "reason", "priority"),
        )
        self.selections = Counter(
            name="sassafrasway_selections_total",
            help_text="Selections of a server by service and result.",
            labels=("service", "result"),
        )
        self.latency = Histogram(
            name="sassafrasway_request_seconds",
            help_text="Time from the first byte of a request to its answer.",
            labels=("route",),
        )
        self.quota_results = Counter(
            name="sassafrasway_quota_results_total",
            help_text="Requests of limited organisations by what the rate limit decided.",
            labels=("result",),
        )
        self.quota_messages = Counter(
            name="sassafrasway_quota_messages_total",
            help_text="Messages about rate limits by kind and direction.",
            labels=("kind", "direction"),
        )
        self.memory_refusals = Counter(
            name="sassafrasway_memory_refusals_total",
            help_text="Requests refused as there was no memory for their responses, by route.",
            labels=("route",),
        )
        self.log_lines_dropped = Counter(
            name="sassafrasway_log_lines_dropped_total",
            help_text="Log lines left out because of their rate or a reader that is too slow.",
        )

        self.store_eras = Counter(
            name="sassafrasway_store_eras_total",
            help_text="Times that the store was found replaced by an older copy of itself.",
        )

    def render(self) -> str:
        """Returns all metrics in the exposition format."""
        lines = []
        metrics = (
            self.requests,
            self.attempts,
            self.selections,
            self.refusals,
            self.latency,
            self.quota_results,
            self.quota_messages,
            self.memory_refusals,
            self.log_lines_dropped,
            self.store_eras,
        )
        for metric in metrics:
            lines.extend(metric.render())
        return "\n".join(lines) + "\n"


def _format_labels(names: Sequence[str], values: Sequence[str]) -> str:
    if not names:
        return ""
    pairs = ",".join(f'{name}="{value}"' for name, value in zip(names, values, strict=True))
    return "{" + pairs + "}"

"""Latency histograms by name, for example one for each service."""

import dataclasses
from collections.abc import Mapping

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Percentiles:
    """Number of values, percentiles and maximum of a histogram; ``p999_ms`` is the 99.9th."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Latencies:
    """HDR histograms by name, in microseconds with three significant digits."""

    def __init__(self) -> None:
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Adds one value to a histogram; values are clamped to the range from 1 us to 120 s."""
        if name not in self._histograms:
            self._histograms[name] = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
        value = min(HIGHEST_US, max(LOWEST_US, round(seconds * US_PER_S)))
        self._histograms[name].record_value(value)

    def percentiles(self) -> Mapping[str, Percentiles]:
        """Returns the percentiles of each histogram by name."""
        return {name: _percentiles(recorded) for name, recorded in sorted(self._histograms.items())}


def _percentiles(recorded: histogram.HdrHistogram) -> Percentiles:
    return Percentiles(
        count=recorded.get_total_count(),
        p50_ms=recorded.get_value_at_percentile(50) / US_PER_MS,
        p99_ms=recorded.get_value_at_percentile(99) / US_PER_MS,
        p999_ms=recorded.get_value_at_percentile(99.9) / US_PER_MS,
        max_ms=recorded.get_max_value() / US_PER_MS,
    )

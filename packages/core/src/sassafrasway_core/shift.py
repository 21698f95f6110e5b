"""Shifts of a service's requests from one region to another."""

import dataclasses
import random

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShiftDecision:
    """Home region of a request and the shift that moved it there, if one did."""

    region: str
    shift_name: str | None = None


@dataclasses.dataclass(slots=True)
class _Growth:
    """Growth of a shift's moved fraction since a point in time."""

    shift: model.Shift
    start_fraction: float
    start_s: float

    def fraction(self, now_s: float) -> float:
        grown = self.start_fraction + (now_s - self.start_s) * self.shift.pace_per_s
        return min(self.shift.fraction, grown)


class ShiftController:
    """Decides which requests a shift moves.

    The moved fraction of a shift grows from 0 at its pace, from the moment at which this process
    first sees the shift. The caps of shifts are enforced by the owner of the target pool, not
    here.

    Args:
        clock: Time source.
        rng: Random source for requests without a weight.
    """

    def __init__(self, *, clock: clock_lib.Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._by_source: dict[tuple[str, str], list[_Growth]] = {}
        self._by_name: dict[str, _Growth] = {}

    def fractions(self) -> dict[str, float]:
        """Returns the fraction of the source's requests that each shift moves now, by name."""
        now_s = self._clock.monotonic()
        return {name: growth.fraction(now_s) for name, growth in self._by_name.items()}

    def home_pool(self, service: str, region: str, weight: float | None = None) -> ShiftDecision:
        """Returns the home region of a request after shifts.

        Args:
            service: Name of the service.
            region: Region of the request's client block.
            weight: Position of the caller in [0, 1), for example a hash of its client block. A
                caller with the same weight stays moved while the fraction grows, so that its
                lookups and its requests agree. None draws a random position.
        """
        growths = self._by_source.get((service, region))
        if not growths:
            return ShiftDecision(region=region)
        position = self._rng.random() if weight is None else weight
        now_s = self._clock.monotonic()
        moved = 0.0
        for growth in growths:
            moved += growth.fraction(now_s)
            if position < moved:
                return ShiftDecision(region=growth.shift.target, shift_name=growth.shift.name)
        return ShiftDecision(region=region)

    def set_shifts(self, policy: model.Policy) -> None:
        """Applies the policy's shifts; an unchanged or re-paced shift keeps what it has moved."""
        now_s = self._clock.monotonic()
        self._by_name = {
            name: self._continue(shift, now_s) for name, shift in sorted(policy.shifts.items())
        }
        self._by_source = {}
        for growth in self._by_name.values():
            source = (growth.shift.service, growth.shift.source)
            self._by_source.setdefault(source, []).append(growth)

    def _continue(self, shift: model.Shift, now_s: float) -> _Growth:
        old = self._by_name.get(shift.name)
        if old is None or _route(old.shift) != _route(shift):
            return _Growth(shift, 0.0, now_s)
        return _Growth(shift, old.fraction(now_s), now_s)


def _route(shift: model.Shift) -> tuple[str, str, str]:
    return (shift.service, shift.source, shift.target)

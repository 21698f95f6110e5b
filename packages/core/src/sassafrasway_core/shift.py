"""Gradual shifts of a service's requests from one region to another."""

import dataclasses
import random

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShiftDecision:
    """First region to try for a request, and the name of the shift that moved it there, if any."""

    region: str
    shift_name: str | None = None


@dataclasses.dataclass(slots=True)
class _ShiftProgress:
    """Moved fraction of a shift, which grows linearly from ``start_fraction`` at ``start_s``."""

    shift: model.Shift
    start_fraction: float
    start_s: float

    def fraction(self, now_s: float) -> float:
        fraction = self.start_fraction + (now_s - self.start_s) * self.shift.pace_per_s
        return min(self.shift.fraction, fraction)


class ShiftController:
    """Decides which requests a shift moves.

    The moved fraction of a shift grows from 0 at the shift's pace, starting when this process first
    applies the shift. The caps of shifts are enforced by the owner of the target pool, not here.
    """

    def __init__(self, *, clock: clock_lib.Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._by_source: dict[tuple[str, str], list[_ShiftProgress]] = {}
        self._by_name: dict[str, _ShiftProgress] = {}

    def fractions(self) -> dict[str, float]:
        """Returns the fraction of the source region's requests moved now, by name of the shift."""
        now_s = self._clock.monotonic()
        return {name: progress.fraction(now_s) for name, progress in self._by_name.items()}

    def decide(
        self, service: str, region: str, request_position: float | None = None
    ) -> ShiftDecision:
        """Returns the first region to try for a request after applying the shifts.

        ``region`` is the home region of the request, which shifts do not change.
        ``request_position`` is in [0, 1), for example a hash of the client address; None draws a
        random one. Positions below the moved fraction are moved. While the fractions grow, a moved
        position stays moved, but with several shifts its target can change. The lookups and the
        requests of a client go to the same region only if both are passed with the same position.
        """
        source_shifts = self._by_source.get((service, region))
        if not source_shifts:
            return ShiftDecision(region=region)
        position = self._rng.random() if request_position is None else request_position
        now_s = self._clock.monotonic()
        moved_fraction = 0.0
        for progress in source_shifts:
            moved_fraction += progress.fraction(now_s)
            if position < moved_fraction:
                return ShiftDecision(region=progress.shift.target, shift_name=progress.shift.name)
        return ShiftDecision(region=region)

    def set_shifts(self, policy: model.Policy) -> None:
        """Applies the shifts of a policy.

        A shift whose name, service, source and target are unchanged keeps its moved fraction, or
        gets its new final fraction if that is smaller.
        """
        now_s = self._clock.monotonic()
        self._by_name = {
            name: self._continue_shift(shift, now_s)
            for name, shift in sorted(policy.shifts.items())
        }
        self._by_source = {}
        for progress in self._by_name.values():
            source = (progress.shift.service, progress.shift.source)
            self._by_source.setdefault(source, []).append(progress)

    def _continue_shift(self, shift: model.Shift, now_s: float) -> _ShiftProgress:
        old = self._by_name.get(shift.name)
        if old is None or _endpoints(old.shift) != _endpoints(shift):
            return _ShiftProgress(shift, 0.0, now_s)
        return _ShiftProgress(shift, old.fraction(now_s), now_s)


def _endpoints(shift: model.Shift) -> tuple[str, str, str]:
    return (shift.service, shift.source, shift.target)

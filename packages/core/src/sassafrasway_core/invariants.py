"""Runtime checks of rules that must always hold.

Most tests use the mode ``raise``. In production, violations are only counted, because stopping an
instance would fail more requests than the violation itself. With the mode ``raise``, any method of
an object that was given an ``Invariants`` can raise ``errors.InvariantViolation``.
"""

import collections
import enum
from collections.abc import Callable

from sassafrasway_core import errors


class Mode(enum.Enum):
    """Whether a violation raises an error or is only counted."""

    RAISE = "raise"
    COUNT = "count"


class Rule(enum.Enum):
    """Names of the checked rules.

    ``NO_DISPATCH_TO_LEAVING_SERVER`` applies to ejected servers, too.
    """

    SLOTS_NOT_EXCEEDED = "slots_not_exceeded"
    CAP_NOT_EXCEEDED = "cap_not_exceeded"
    REVISION_NEVER_DECREASES = "revision_never_decreases"
    ONE_DISPATCH_PER_KEY = "one_dispatch_per_key"
    NOT_RUN_NEVER_AFTER_DISPATCH = "not_run_never_after_dispatch"
    NO_DISPATCH_TO_LEAVING_SERVER = "no_dispatch_to_leaving_server"
    EPOCH_NEVER_DECREASES = "epoch_never_decreases"


class Invariants:
    """Checks rules and either raises or counts violations.

    ``on_violation`` is called with the rule and a detail text on every violation, in both modes.
    """

    def __init__(
        self,
        *,
        mode: Mode = Mode.COUNT,
        on_violation: Callable[[Rule, str], None] | None = None,
    ):
        self._mode = mode
        self._on_violation = on_violation
        self._violations: collections.Counter[Rule] = collections.Counter()

    @property
    def violations(self) -> dict[Rule, int]:
        """Number of violations of each rule so far."""
        return dict(self._violations)

    def check(self, rule: Rule, holds: bool, detail: str) -> None:
        """Records a violation when ``holds`` is false."""
        if holds:
            return
        self._violations[rule] += 1
        if self._on_violation is not None:
            self._on_violation(rule, detail)
        if self._mode is Mode.RAISE:
            raise errors.InvariantViolation(f"{rule.value}: {detail}", step="invariant")

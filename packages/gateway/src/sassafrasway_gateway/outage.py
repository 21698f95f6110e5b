"""Judges whether the store was away or only the instances that read it were.

Listings of backend servers may expire while the store is away; their servers still run and are
listed again soon after its return. After a loss of readers only, a listing that is missing belongs
to a server that has left. Silence is the same in both cases, so only calls that the store did not
answer count, those of this instance or of others that told of them.
"""

import dataclasses
import enum

# Time for which listings that expired while the store was away may still be missing.
RELIST_GRACE_S = 2.0
# No listing expires during a shorter outage.
MIN_OUTAGE_S = 0.8
# A call of another instance counts as begun after the first failure only if it was begun this much
# later, as the message that tells of it was on its way for a while.
MESSAGE_DELAY_S = 0.1
# Instances that the store does not answer go on telling so for at most this long after its return.
STALE_REPORT_S = 2.5


class Cause(enum.Enum):
    """Why a table was not received for a while."""

    STORE_AWAY = "store away"
    SHORT = "store away for a moment"
    CUT_OFF = "only this instance cut off"
    READERS_LOST = "readers lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Judgement:
    """Conclusion about an interruption, and its evidence.

    Attributes:
        grace_s: Time for which missing listings may still come back, s.
        silent_s: Time since the interruption was noticed, s.
        failed_calls: Number of own calls that the store did not answer.
        failing_s: Time since the first of them, s; 0 without any.
        held_s: Time since enough other instances told that the store did not answer them, s.
        told_grace_s: Grace of the instance from which rows were fetched, s.
        answered: Name of an instance that the store answered meanwhile; empty without any.
        judged_s: Monotonic time of the conclusion.
    """

    cause: Cause
    grace_s: float
    silent_s: float
    failed_calls: int
    failing_s: float
    held_s: float
    told_grace_s: float
    answered: str
    judged_s: float

    def fields(self) -> dict:
        """Returns the conclusion and its evidence for the log and the state dump."""
        return {
            "cause": self.cause.value,
            "grace_s": round(self.grace_s, 2),
            "silent_s": round(self.silent_s, 2),
            "failed_calls": self.failed_calls,
            "failing_s": round(self.failing_s, 2),
            "held_s": round(self.held_s, 2),
            "told_grace_s": round(self.told_grace_s, 2),
            "answered": self.answered,
        }


class Evidence:
    """Evidence collected in the current interruption of one table."""

    def __init__(self):
        self._failed_calls = 0
        self._first_failed_s = 0.0
        self._last_failed_start_s = 0.0
        self._held_since_s: float | None = None
        self._last_held_s = 0.0
        self._answered = ""
        self._answered_s = 0.0

    @property
    def exists(self) -> bool:
        """Whether anything shows that the store did not answer."""
        return self._failed_calls > 0 or self._held_since_s is not None

    def on_failed_call(self, *, started_s: float, failed_s: float) -> None:
        """Records that the store did not answer a call of this instance.

        ``failed_s`` is the first moment at which this was known, as the store may keep a poll
        waiting for longer than an outage.
        """
        if not self._failed_calls:
            self._first_failed_s = failed_s
        self._failed_calls += 1
        self._last_failed_start_s = started_s

    def on_held(self, now_s: float) -> None:
        """Records that enough other instances tell that the store does not answer them."""
        if self._held_since_s is None:
            self._held_since_s = now_s
        self._last_held_s = now_s

    def on_answer_told(self, name: str, *, called_s: float, told_s: float) -> None:
        """Records that another instance tells when it began the last call that was answered.

        A store that is away may still answer polls that it has held open since before. So the first
        call that was begun during the outage is kept.
        """
        if self._answered or not self.exists:
            return
        if called_s > self._since_s() + MESSAGE_DELAY_S:
            self._answered = name
            self._answered_s = told_s

    def judge(self, now_s: float, *, silent_s: float, told_grace_s: float = 0.0) -> Judgement:
        """Returns the conclusion, now that the table is received again.

        Args:
            now_s: Monotonic time.
            silent_s: Time since the interruption was noticed, s.
            told_grace_s: Grace of the instance from which rows were fetched, s.
        """
        if self.exists and self._was_cut_off():
            cause, grace_s = Cause.CUT_OFF, 0.0
        elif self.exists and now_s - self._since_s() >= MIN_OUTAGE_S:
            cause, grace_s = Cause.STORE_AWAY, RELIST_GRACE_S
        elif told_grace_s > 0:
            cause, grace_s = Cause.STORE_AWAY, min(told_grace_s, RELIST_GRACE_S)
        elif self.exists:
            cause, grace_s = Cause.SHORT, 0.0
        else:
            cause, grace_s = Cause.READERS_LOST, 0.0
        return Judgement(
            cause=cause,
            grace_s=grace_s,
            silent_s=silent_s,
            failed_calls=self._failed_calls,
            failing_s=now_s - self._first_failed_s if self._failed_calls else 0.0,
            held_s=0.0 if self._held_since_s is None else now_s - self._held_since_s,
            told_grace_s=told_grace_s,
            answered=self._answered,
            judged_s=now_s,
        )

    def _since_s(self) -> float:
        """Returns the time since which the store is known not to answer."""
        held_since_s = float("inf") if self._held_since_s is None else self._held_since_s
        return min(held_since_s, self._first_failed_s if self._failed_calls else held_since_s)

    def _was_cut_off(self) -> bool:
        """Whether the store answered another instance between two signs that it did not answer.

        An answer after the last sign shows only that the store has returned.
        """
        if not self._answered:
            return False
        last_sign_s = self._last_failed_start_s if self._failed_calls else 0.0
        if self._held_since_s is not None:
            last_sign_s = max(last_sign_s, self._last_held_s - STALE_REPORT_S)
        return self._answered_s < last_sign_s

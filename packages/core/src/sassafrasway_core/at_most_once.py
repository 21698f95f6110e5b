"""At-most-once execution: tickets, and the registry of keys that an incarnation has started.

A ticket is an idempotency key that names its holder, the incarnation that may run the request.
The registry of that incarnation decides whether a key may start, using only its own memory and
clock. The holder of a key chosen by the caller is the incarnation that has created the claim of the
key, a row in the platform's table. If the holder of a ticket stops as planned without having run
the request, another incarnation may run it under a claim. ``gatekeeper`` of the entry package
handles both kinds of keys.
"""

import dataclasses
import enum
import random
import re
from typing import Any

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors, invariants, model

TICKET_START_S = 5.0  # how long after its issue a ticket may start a run
TICKET_SKEW_S = 5.0  # tolerated clock difference between the issuer and the ticket's holder
RETENTION_S = 120.0  # minimum time for which the outcome of a finished key is kept for duplicates
NONCE_BITS = 64  # written as 16 hexadecimal digits

_TICKET_PATTERN = re.compile(
    r"t1\.(?P<instance>[A-Za-z0-9_-]{1,64})\.(?P<incarnation>[A-Za-z0-9]{1,32})"
    r"\.(?P<issued>\d{1,12})\.(?P<nonce>[0-9a-f]{16})"
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Idempotency key that binds a request to one incarnation.

    Attributes:
        issued_s: Time of issue in whole seconds since the Unix epoch.
        nonce: Random hexadecimal digits that distinguish tickets issued in the same second.
    """

    holder: model.InstanceId
    issued_s: int
    nonce: str

    def __str__(self) -> str:
        return f"t1.{self.holder.name}.{self.holder.incarnation}.{self.issued_s}.{self.nonce}"

    @classmethod
    def mint(
        cls, *, holder: model.InstanceId, clock: clock_lib.Clock, rng: random.Random
    ) -> "Ticket":
        """Returns a new ticket for ``holder``."""
        nonce = f"{rng.getrandbits(NONCE_BITS):016x}"
        return cls(holder=holder, issued_s=int(clock.wall()), nonce=nonce)

    @classmethod
    def parse(cls, key: str) -> "Ticket | None":
        """Returns the ticket encoded in ``key``, or None if it is another kind of key."""
        match = _TICKET_PATTERN.fullmatch(key)
        if match is None:
            return None
        holder = model.InstanceId(name=match["instance"], incarnation=match["incarnation"])
        return cls(holder=holder, issued_s=int(match["issued"]), nonce=match["nonce"])


class BeginResult(enum.Enum):
    """Result of ``KeyRegistry.begin``."""

    START = "start"  # the key is new; the caller of begin() may run the request now
    RUNNING = "running"  # another attempt with this key is running
    DONE = "done"  # the outcome is recorded
    EXPIRED = "expired"  # the request has not run and the ticket is too old to start it
    FUTURE = "future"  # the ticket's time of issue lies ahead, so it may start later
    FORGOTTEN = "forgotten"  # the ticket is so old that a record of its run may have been deleted


class KeyState(enum.Enum):
    """Progress of a key.

    Attributes:
        STARTED: The key may be dispatched; its last dispatch, if any, was discarded.
        DISPATCHED: The request was sent to a backend server or pool owner, or is about to be.
    """

    STARTED = "started"
    DISPATCHED = "dispatched"
    FINISHED = "finished"


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyRecord:
    """State of a key.

    Attributes:
        outcome: Result passed to ``finish``; None while the key is running.
        updated_s: Monotonic time of the last start, dispatch or finish.
        dispatches: Number of dispatches that were not discarded; above 0, the request may have run.
    """

    key: str
    state: KeyState
    updated_s: float
    outcome: Any = None
    dispatches: int = 0


class KeyRegistry:
    """Keys that this incarnation is running or has run.

    A key stands for the request that it identifies: it starts, runs and is finished. A method that
    changes a started key raises ``errors.NotFoundError`` if there is no record of the key.

    Args:
        clock: The wall clock is read only at construction, so that setting it back cannot make an
            expired ticket valid again.
        invariants: Checks that a key is dispatched at most once, and that a dispatched key is not
            reported as not run; may raise ``errors.InvariantViolation``. A discarded dispatch does
            not count.
        retention_s: Minimum time for which finished keys are kept.
    """

    def __init__(
        self,
        *,
        me: model.InstanceId,
        clock: clock_lib.Clock,
        invariants: invariants.Invariants,
        retention_s: float = RETENTION_S,
    ):
        self._me = me
        self._clock = clock
        self._invariants = invariants
        self._retention_s = retention_s
        self._wall_offset_s = clock.wall() - clock.monotonic()  # wall time at monotonic time 0
        self._started_wall_s = clock.wall()
        self._records: dict[str, KeyRecord] = {}
        # Monotonic times of finish() by key, oldest first.
        self._finished: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Number of keys without an outcome."""
        return len(self._records) - len(self._finished)

    def __len__(self) -> int:
        return len(self._records)

    def record(self, key: str) -> KeyRecord | None:
        """Returns the record of a key, or None if the key is unknown."""
        return self._records.get(key)

    def may_start(self, ticket: Ticket) -> bool:
        """Returns whether a ticket may start a run: it is neither too old nor from the future."""
        age_s = self._now_wall_s() - ticket.issued_s
        # The time of issue is rounded down to whole seconds, so a ticket may seem up to one second
        # older than it is.
        return -TICKET_SKEW_S <= age_s <= TICKET_START_S + 1.0

    def begin(self, key: str) -> BeginResult:
        """Decides whether a key may start and, if so, marks it as started.

        Raises:
            errors.ValidationError: The key is a ticket of another incarnation.
        """
        self._delete_old_records()
        record = self._records.get(key)
        if record is not None:
            return BeginResult.DONE if record.state is KeyState.FINISHED else BeginResult.RUNNING
        ticket = Ticket.parse(key)
        if ticket is not None:
            result = self._check_ticket(ticket)
            if result is not None:
                return result
        self._add(key)
        return BeginResult.START

    def begin_claimed(self, key: str) -> bool:
        """Marks a key as started without checking a ticket.

        Before the key may run, this incarnation must have written a claim for it to the platform's
        table. A key whose claim was given up is marked only to record it as not run.

        Returns:
            False if the key is already known and must not start again.
        """
        self._delete_old_records()
        if key in self._records:
            return False
        self._add(key)
        return True

    def mark_dispatched(self, key: str) -> None:
        """Records that the request is about to be sent to a backend server or pool owner."""
        record = self._get_record(key)
        self._invariants.check(
            invariants.Rule.ONE_DISPATCH_PER_KEY,
            record.dispatches == 0 and record.state is KeyState.STARTED,
            f"{key} is dispatched again: {record.dispatches} dispatches,"
            f" state {record.state.value}",
        )
        record.dispatches += 1
        record.state = KeyState.DISPATCHED
        record.updated_s = self._clock.monotonic()

    def discard_dispatch(self, key: str) -> None:
        """Discards the dispatch of a key, because it was not sent or was definitely refused."""
        record = self._get_record(key)
        record.dispatches = 0
        record.state = KeyState.STARTED

    def finish(self, key: str, outcome: Any, *, not_run: bool) -> None:
        """Records the outcome of a key, which is returned to later attempts with the key.

        ``not_run`` states whether the outcome says that the request was not run.
        """
        record = self._get_record(key)
        self._invariants.check(
            invariants.Rule.NOT_RUN_NEVER_AFTER_DISPATCH,
            not (not_run and record.dispatches),
            f"{key} is reported as not run after a dispatch",
        )
        record.state = KeyState.FINISHED
        record.outcome = outcome
        record.updated_s = self._clock.monotonic()
        self._finished[key] = record.updated_s

    def abandon(self, key: str) -> None:
        """Removes a key that was not dispatched, so that it can start again later."""
        record = self._get_record(key)
        self._invariants.check(
            invariants.Rule.NOT_RUN_NEVER_AFTER_DISPATCH,
            record.dispatches == 0,
            f"{key} is abandoned after a dispatch",
        )
        del self._records[key]

    def startable_until_s(self, *, issued_before_s: float) -> float:
        """Returns the monotonic time after which no ticket issued before a wall time can start.

        ``issued_before_s`` is that wall time in seconds since the Unix epoch.
        """
        limit_wall_s = issued_before_s + TICKET_START_S + TICKET_SKEW_S
        return limit_wall_s - self._wall_offset_s

    def _add(self, key: str) -> None:
        self._records[key] = KeyRecord(
            key=key, state=KeyState.STARTED, updated_s=self._clock.monotonic()
        )

    def _check_ticket(self, ticket: Ticket) -> BeginResult | None:
        """Returns why a ticket without a record may not start, or None if it may."""
        if ticket.holder != self._me:
            raise errors.ValidationError(
                f"the ticket may only be used on its holder {ticket.holder}",
                step="at_most_once.begin",
                peer=str(self._me),
            )
        if self._now_wall_s() - ticket.issued_s > self._retention_s:
            return BeginResult.FORGOTTEN
        if self.may_start(ticket):
            return None
        future = ticket.issued_s > self._now_wall_s()
        return BeginResult.FUTURE if future else BeginResult.EXPIRED

    def _now_wall_s(self) -> float:
        return self._clock.monotonic() + self._wall_offset_s

    def _get_record(self, key: str) -> KeyRecord:
        record = self._records.get(key)
        if record is None:
            raise errors.NotFoundError(
                f"no record of idempotency key {key}", step="at_most_once", peer=""
            )
        return record

    def _delete_old_records(self) -> None:
        # A finished key is kept for longer than its ticket can start a run. If it were deleted
        # earlier, a late duplicate could start a second run. The last second allows for the
        # rounding of the time of issue.
        cutoff_s = (
            self._clock.monotonic() - self._retention_s - TICKET_START_S - TICKET_SKEW_S - 1.0
        )
        while self._finished:
            key, finished_s = next(iter(self._finished.items()))
            if finished_s > cutoff_s:
                return
            del self._finished[key]
            self._records.pop(key, None)

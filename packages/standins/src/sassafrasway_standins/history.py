"""Records of a benchmark, test or demo, written as JSON lines by its processes.

The writers are callers, backend servers, entry instances, and the launcher, which writes the
records of links, faults and the operator. In ``Run`` and ``RAN``, a run is the execution of
one request on a server.

All times are seconds of the machine's monotonic clock, which all processes of one machine share.
Each record is one line, ``{"kind": ..., ...}``, so that a file whose writer was killed stays
readable up to its last complete line.
"""

import dataclasses
import json
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any, ClassVar, TextIO

RAN = "ran"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

# Values of FaultEvent.phase. The launcher also writes ``begin`` for a kill, and ``begin`` and
# ``end`` for a pause.
INJECTED = "injected"
ENDED = "ended"
STOP_ORDERED = "stop-ordered"
STOPPED = "stopped"


_ENCODER = json.JSONEncoder(separators=(",", ":"))


class HistoryError(Exception):
    """A line of a history file is not a valid record."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """Base of all records; ``at_s`` is the monotonic time of the event."""

    kind: ClassVar[str] = ""
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Intent(Record):
    """A caller is due to send a request; ``at_s`` is the intended time.

    Attributes:
        request: ID of the request, unique within the history.
        region: Region of the caller.
        client: Client address of the request.
        late_s: Time from the intended time until the load tool started the request, s.
    """

    kind: ClassVar[str] = "intent"
    request: str
    service: str
    region: str
    client: str = ""
    late_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt(Record):
    """One attempt to send a request to an entry instance; ``at_s`` is when the caller started it.

    Attributes:
        number: Position among the attempts of the request, starting at 1.
        instance: URL of the entry instance.
        ended_s: Monotonic time of the response or the failure, s.
        outcome: ``ran``, ``not-run`` or ``unknown``; empty if no connection was made, in which case
            the instance cannot have received the request.
        status: HTTP status; 0 if no response arrived.
        key: Idempotency key of the attempt; empty for idempotent services.
        served_by: Entry instance that the response names as its sender.
        reason: Reason code of the response.
        error: Exception that ended the attempt; empty if a response arrived.
    """

    kind: ClassVar[str] = "attempt"
    request: str
    number: int
    instance: str
    ended_s: float
    outcome: str
    status: int = 0
    key: str = ""
    served_by: str = ""
    reason: str = ""
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict(Record):
    """Final outcome of a request for its caller, after all attempts.

    Only the body of a response with outcome ``ran`` and status 200 is checked; otherwise ``whole``
    and ``own`` are true.

    Attributes:
        outcome: ``ran``, ``not-run`` or ``unknown``.
        status: HTTP status of the last attempt; 0 if it got no response.
        attempts: Number of attempts, without failed lookups.
        whole: Whether the response body is complete.
        own: Whether the response echoes the request's ID and the digest of the request body.
        reason: Reason code of the last response, or the exception that ended the last attempt;
            ``no-lookup`` if there was no attempt, because no lookup succeeded before the deadline
            or ``exchanges.MAX_ATTEMPTS`` lookups failed.
    """

    kind: ClassVar[str] = "verdict"
    request: str
    outcome: str
    status: int
    attempts: int
    whole: bool = True
    own: bool = True
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run(Record):
    """A backend server received a request and ran it in one of its slots, or rejected it.

    ``at_s`` is when the server received the request.

    Attributes:
        request: ID that the caller gave the request.
        ended_s: Monotonic time of the end or the rejection, s.
        key: Idempotency key of the request; empty if it has none.
        outcome: ``ok``, ``deadline``, ``cancelled``, ``crashed``, ``shed`` or ``expired``.
        ran: False if the server rejected the request without starting it.
        leaving_since_s: When the server began to report that it is leaving; None if it does not.
    """

    kind: ClassVar[str] = "run"
    request: str
    server: str
    ended_s: float
    key: str = ""
    outcome: str = "ok"
    ran: bool = True
    leaving_since_s: float | None = None

    @classmethod
    def from_backend(cls, fields: dict[str, Any]) -> "Run":
        """Returns the record of one line that the backend stand-in wrote."""
        return cls(
            at_s=fields["start_s"],
            ended_s=fields["end_s"],
            request=request_of(fields["path"]),
            server=fields["server"],
            key=fields["key"],
            outcome=fields["outcome"],
            ran=fields["ran"],
            leaving_since_s=fields["leaving_since_s"],
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leaving(Record):
    """An operator began to drain a backend server, which does not report this itself."""

    kind: ClassVar[str] = "leaving"
    server: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkBytes(Record):
    """The relays of a link forwarded bytes; ``at_s`` is the start of an interval of 0.1 s.

    Attributes:
        source: Region that sent the bytes.
        target: Region that received them.
        bytes: Number of bytes in the interval.
    """

    kind: ClassVar[str] = "link_bytes"
    source: str
    target: str
    bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RevisionSeen(Record):
    """An entry instance reported its policy revision; each restart has a new ``incarnation``."""

    kind: ClassVar[str] = "revision"
    instance: str
    incarnation: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InvariantBroken(Record):
    """An entry instance found one of its own invariants violated.

    ``instance`` is ``name/incarnation``, ``rule`` the name of the invariant.
    """

    kind: ClassVar[str] = "invariant"
    instance: str
    rule: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PolicyInForce(Record):
    """The store accepted a policy; ``document`` is the policy document."""

    kind: ClassVar[str] = "policy"
    document: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FaultEvent(Record):
    """A fault began or ended, or an instance was stopped; ``phase`` says which of them.

    Attributes:
        fault: Name of the fault in ``faults.FAULTS``, or ``kill``, ``pause`` or ``stop``.
        phase: One of the phases listed at the top of this module.
        target: Entry instance that is stopped, killed or paused; empty for other events.
    """

    kind: ClassVar[str] = "fault"
    fault: str
    phase: str
    target: str = ""


RECORD_TYPES: dict[str, type[Record]] = {
    record_type.kind: record_type
    for record_type in (
        Intent,
        Attempt,
        Verdict,
        Run,
        Leaving,
        LinkBytes,
        RevisionSeen,
        InvariantBroken,
        PolicyInForce,
        FaultEvent,
    )
}


def path_of(request: str) -> str:
    """Returns the part of the URL path after the service name, which carries the request ID."""
    return f"/r/{request}"


def request_of(path_and_query: str) -> str:
    """Returns the request ID from the path that a backend server received."""
    return path_and_query.partition("?")[0].rpartition("/")[2]


def encode(record: Record) -> str:
    """Returns the record as one JSON line without the newline."""
    fields = {"kind": record.kind}
    for field in dataclasses.fields(record):
        fields[field.name] = getattr(record, field.name)
    return _ENCODER.encode(fields)


def decode(line: str) -> Record | None:
    """Decodes one JSON line that this package or an entry instance wrote.

    Returns:
        The record; None for an event of an entry instance that no rule uses.

    Raises:
        HistoryError: The line is not JSON, its kind is unknown or its fields are wrong.
    """
    try:
        fields = json.loads(line)
        # Only lines of the backend stand-in lack "kind"; only those of entry instances have "t".
        if "kind" not in fields:
            return Run.from_backend(fields)
        if "t" in fields:
            return _from_entry(fields)
        return RECORD_TYPES[fields.pop("kind")](**fields)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise HistoryError(f"invalid record {line[:200]!r}: {error!r}") from error


def _from_entry(fields: dict[str, Any]) -> Record | None:
    """Returns the record of an event in the format of ``sassafrasway_entry.recorder``."""
    at_s, instance = fields["t"], fields["instance"]
    if fields["kind"] == "revision":
        name, _, incarnation = instance.partition("/")
        return RevisionSeen(
            at_s=at_s, instance=name, incarnation=incarnation, revision=fields["revision"]
        )
    if fields["kind"] == "violation":
        return InvariantBroken(
            at_s=at_s, instance=instance, rule=fields["rule"], detail=fields["detail"]
        )
    return None


class Writer:
    """Appends records to a file; use as a context manager."""

    def __init__(self, *, path: pathlib.Path):
        self._path = path
        self._file: TextIO | None = None

    def __enter__(self) -> "Writer":
        self._path.parent.mkdir(parents=True, exist_ok=True)
        self._file = self._path.open("a", encoding="utf-8")
        return self

    def __exit__(self, *_: object) -> None:
        if self._file:
            self._file.close()
            self._file = None

    def write(self, record: Record) -> None:
        """Appends one record; the record may remain in a buffer until the writer is closed.

        Raises:
            HistoryError: The writer is not open.
        """
        if self._file is None:
            raise HistoryError(f"{self._path}: the record file is not open")
        self._file.write(encode(record) + "\n")


def read(paths: Iterable[pathlib.Path]) -> Iterator[Record]:
    """Yields the records of several files, file by file.

    A last line without a newline is skipped: its writer was killed before it was complete.

    Raises:
        OSError: A file cannot be opened.
        HistoryError: A complete line is invalid.
    """
    for path in paths:
        with path.open(encoding="utf-8") as lines:
            for number, line in enumerate(lines, start=1):
                if not line.endswith("\n"):
                    break
                try:
                    record = decode(line)
                except HistoryError as error:
                    raise HistoryError(f"{path}:{number}: {error}") from error
                if record is not None:
                    yield record

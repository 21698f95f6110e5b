"""Abstract client of the transactional table service."""

import abc
import dataclasses
import enum
from collections.abc import Sequence

from sassafrasway_core import errors

MAX_KEY_BYTES = 512


class Absent(enum.Enum):
    """Type of the sentinel ``ABSENT``."""

    ABSENT = "absent"


# Condition of a write: the row must not exist yet.
ABSENT = Absent.ABSENT


class PreconditionFailed(errors.ConflictError):
    """The condition of a write did not hold; nothing was written."""


class StoreUnavailable(errors.UnavailableError):
    """The store gave no usable answer; a write may or may not have taken effect.

    An answer with an unexpected status or a malformed body is not usable either.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of the table.

    Attributes:
        version: Opaque text that is new after every write, to be compared only for equality.
    """

    key: str
    value: bytes
    version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """One write of a transaction.

    Attributes:
        if_version: Version that the row must have, or ``ABSENT``.
    """

    key: str
    value: bytes
    if_version: str | Absent


class TableService(abc.ABC):
    """Table of rows that hold bytes, with conditional writes and transactions."""

    @abc.abstractmethod
    async def get(self, key: str, *, known: Row | None = None) -> Row | None:
        """Returns a row, or None when it does not exist.

        Args:
            key: Key of the row.
            known: The row as last read; returned when its version is unchanged, so that polling
                a large row does not transfer it again.

        Raises:
            errors.ValidationError: The key is invalid, or the service rejected the read.
            StoreUnavailable: The store gave no usable answer.
        """

    @abc.abstractmethod
    async def put(self, key: str, value: bytes, *, if_version: str | Absent) -> Row:
        """Writes a row if it has the given version, or does not exist with ``ABSENT``.

        Raises:
            errors.ValidationError: The key or the write is invalid; nothing was written.
            PreconditionFailed: The row has another version; nothing was written.
            StoreUnavailable: The store gave no usable answer; the effect is unknown.
        """

    @abc.abstractmethod
    async def transact(self, writes: Sequence[Write]) -> list[Row]:
        """Applies all writes or none and returns the new rows in order of the writes.

        Raises:
            errors.ValidationError: A key or a write is invalid; nothing was written.
            PreconditionFailed: A row has another version; nothing was written.
            StoreUnavailable: The store gave no usable answer; the effect is unknown.
        """

    @abc.abstractmethod
    async def scan(self, prefix: str) -> list[Row]:
        """Returns all rows whose key starts with ``prefix``, sorted by key.

        Raises:
            errors.ValidationError: The service rejected the scan.
            StoreUnavailable: The store gave no usable answer.
        """


def check_key(key: str) -> None:
    """Checks that a key is short, printable and keeps its meaning in a URL path.

    Raises:
        errors.ValidationError: The key is empty, too long, has an empty or dot segment, or has
            unprintable characters.
    """
    segments = key.split("/")
    if any(segment in ("", ".", "..") for segment in segments):
        problem = "has an empty or dot segment"
    elif len(key.encode()) > MAX_KEY_BYTES:
        problem = f"is longer than {MAX_KEY_BYTES} bytes"
    elif not key.isprintable():
        problem = "has unprintable characters"
    else:
        return
    raise errors.ValidationError(f"table key {key!r} {problem}", step="table.check_key")

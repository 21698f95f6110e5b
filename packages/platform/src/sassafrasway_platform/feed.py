"""Abstract client of a store that offers snapshots of its tables and a feed of later changes."""

import abc
import dataclasses
from collections.abc import Sequence

from sassafrasway_core import errors


class HistoryLost(errors.SassafraswayError):
    """The store has discarded changes since the requested version; the table must be read again."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One change of a row, or a row of a snapshot.

    Attributes:
        value: Value of the row; None when it was removed.
        version: Version of the store at which the row was written or removed.
    """

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """A snapshot of a table, or the changes since an earlier version in order.

    Attributes:
        version: Version of the store up to which the rows are complete; a row may be newer.
    """

    rows: Sequence[Change]
    version: int


class FollowedStore(abc.ABC):
    """Store whose tables every instance follows, and in which it writes its own rows.

    If the store is replaced by an older copy of itself, it loses acknowledged writes and a new era
    begins. Versions of a later era are always greater.
    """

    def era(self, version: int) -> int:
        """Returns the era to which a version belongs; 0 for a store that has no eras."""
        return 0

    @abc.abstractmethod
    async def read(self, table_name: str) -> Changes:
        """Returns all rows of a table.

        Changes made during the read may be included or not. ``changes`` after the returned version
        delivers all of them.

        Raises:
            HistoryLost: A new era began during the read.
            table.StoreUnavailable: The store gave no usable answer.
        """

    @abc.abstractmethod
    async def changes(
        self, table_name: str, *, after: int, wait_s: float, timeout_s: float
    ) -> Changes:
        """Returns the changes after a version; waits when there are none yet.

        The result has no rows when there was no change within ``wait_s``.

        Args:
            table_name: Table to read.
            after: Newest version that the caller has.
            wait_s: Longest time that the store waits for a first change, s.
            timeout_s: Time after which the store counts as unavailable, s.

        Raises:
            HistoryLost: The store has discarded changes since ``after``, or is in a newer era.
            table.StoreUnavailable: The store gave no usable answer.
        """

    @abc.abstractmethod
    async def write(self, table_name: str, key: str, value: bytes | None) -> None:
        """Writes a row, or removes it when the value is None.

        Raises:
            table.StoreUnavailable: The store gave no usable answer; the effect is unknown.
        """

"""Abstract client of a store whose tables can be read at one version and then followed."""

import abc
import dataclasses
from collections.abc import Sequence

from sassafrasway_core import errors


class HistoryLost(errors.SassafraswayError):
    """The changes since the asked version are no longer known; the table must be read again."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A row that was written or removed.

    Attributes:
        value: New value; None when the row was removed.
    """

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Rows that changed up to a version, in order."""

    rows: Sequence[Change]
    version: int


class FollowedStore(abc.ABC):
    """Tables that every instance follows, and rows that an instance writes about itself."""

    @abc.abstractmethod
    async def read(self, table_name: str) -> Changes:
        """Returns all rows of a table as of one version.

        Raises:
            table.StoreUnavailable: The store did not answer.
        """

    @abc.abstractmethod
    async def changes(
        self, table_name: str, *, after: int, wait_s: float, timeout_s: float
    ) -> Changes:
        """Returns what changed after a version, waiting for the first change.

        Args:
            table_name: Table to read.
            after: Newest version that is known.
            wait_s: Longest time that the store waits for a change, s.
            timeout_s: Time after which the store counts as unavailable, s.

        Raises:
            HistoryLost: The history since ``after`` was discarded.
            table.StoreUnavailable: The store did not answer.
        """

    @abc.abstractmethod
    async def write(self, table_name: str, key: str, value: bytes | None) -> None:
        """Writes a row, or removes it with None.

        Raises:
            table.StoreUnavailable: The store did not answer; the effect is unknown.
        """

"""Rows of a followed table, with the latest changes, for instances that read from this one."""

import collections

from sassafrasway_platform import feed

MAX_RECENT_CHANGES = 2000


class TableCache:
    """Current rows of a table and its recent history."""

    def __init__(self):
        self._rows: dict[str, feed.Change] = {}
        self._recent: collections.deque[feed.Change] = collections.deque()
        self._version = -1
        # Oldest version after which all changes are remembered.
        self._complete_after = -1

    @property
    def version(self) -> int:
        """Newest version seen, -1 before the first read."""
        return self._version

    def replace(self, changes: feed.Changes) -> None:
        """Takes over the whole table.

        What differs from the known rows is remembered like changes: after the store has lost its
        history, the other instances then fetch a few rows instead of the whole table, all at once.
        """
        rows = {row.key: row for row in changes.rows}
        if self._version < 0 or changes.version < self._version:
            self._recent.clear()
            self._complete_after = changes.version
        else:
            self._append_recent(self._differences(rows, changes.version))
        self._rows = rows
        self._version = changes.version

    def apply(self, changes: feed.Changes) -> None:
        """Takes over changes that follow the known version."""
        for row in changes.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        self._append_recent(changes.rows)
        self._version = max(self._version, changes.version)

    def snapshot(self) -> feed.Changes:
        """Returns all rows."""
        return feed.Changes(rows=list(self._rows.values()), version=self._version)

    def since(self, version: int) -> feed.Changes | None:
        """Returns the changes after a version, or None if they are no longer known."""
        if version < self._complete_after:
            return None
        rows = [row for row in self._recent if row.version > version]
        return feed.Changes(rows=rows, version=self._version)

    def _differences(self, rows: dict[str, feed.Change], version: int) -> list[feed.Change]:
        """Returns the changes that turn the known rows into others."""
        found = [
            feed.Change(key=key, value=None, version=version)
            for key in self._rows
            if key not in rows
        ]
        for key, row in rows.items():
            known = self._rows.get(key)
            if known is None or known.value != row.value:
                # The row's own version may be older than what a reader of this cache has seen.
                found.append(feed.Change(key=key, value=row.value, version=version))
        return found

    def _append_recent(self, changes: list[feed.Change]) -> None:
        self._recent.extend(changes)
        while len(self._recent) > MAX_RECENT_CHANGES:
            self._complete_after = self._recent.popleft().version

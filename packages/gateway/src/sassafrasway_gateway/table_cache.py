"""Cache of a followed table and its recent changes, from which other instances fetch."""

import collections

from sassafrasway_platform import feed

MAX_RECENT_CHANGES = 2000


class TableCache:
    """Current rows and recent changes of a table."""

    def __init__(self):
        self._rows: dict[str, feed.Change] = {}
        self._recent: collections.deque[feed.Change] = collections.deque()
        self._version = -1
        # Oldest version after which all changes are available.
        self._complete_after = -1
        # Versions before and after the store was last replaced by an older copy. Changes that other
        # instances received between them may have been lost and are not recorded.
        self._lost_between = (-1, -1)

    @property
    def version(self) -> int:
        """Version of the cached rows; -1 before the first read."""
        return self._version

    def replace(self, changes: feed.Changes, *, new_era: bool = False) -> None:
        """Replaces the whole table.

        Differences from the previous rows are recorded as changes. After the store has lost its
        change history, the other instances can then fetch a few rows each; otherwise all of them
        would fetch the whole table at the same time. If the version went back, the recent changes
        are discarded. ``new_era`` is as in `apply`.
        """
        if new_era:
            self._on_new_era(changes.version)
        rows = {row.key: row for row in changes.rows}
        if self._version < 0 or changes.version < self._version:
            self._recent.clear()
            self._complete_after = changes.version
        else:
            self._append_recent(self._differences(rows, changes.version))
        self._rows = rows
        self._version = changes.version

    def apply(self, changes: feed.Changes, *, new_era: bool = False) -> None:
        """Applies changes made after the current version.

        ``new_era`` states that the store was replaced by an older copy in between.
        """
        if new_era:
            self._on_new_era(changes.version)
        for row in changes.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        self._append_recent(changes.rows)
        self._version = max(self._version, changes.version)

    def snapshot(self) -> feed.Changes:
        """Returns all rows as of the current version."""
        return feed.Changes(rows=list(self._rows.values()), version=self._version)

    def since(self, version: int) -> feed.Changes | None:
        """Returns the changes after a version, or None if not all of them are available."""
        lost_after, lost_until = self._lost_between
        if version < self._complete_after or lost_after < version < lost_until:
            return None
        rows = [row for row in self._recent if row.version > version]
        return feed.Changes(rows=rows, version=self._version)

    def _on_new_era(self, version: int) -> None:
        # Only the last replacement is recorded, so instances with a version from before an earlier
        # one have to read the whole table.
        self._complete_after = max(self._complete_after, self._lost_between[1])
        self._lost_between = (self._version, version)

    def _differences(self, rows: dict[str, feed.Change], version: int) -> list[feed.Change]:
        """Returns the changes that turn the current rows into the given ones."""
        differences = [
            feed.Change(key=key, value=None, version=version)
            for key in self._rows
            if key not in rows
        ]
        for key, row in rows.items():
            current = self._rows.get(key)
            if current is None or current.value != row.value:
                # The row's own version may be older than the version that a client of this cache
                # has seen, so the change gets the version of the table.
                differences.append(feed.Change(key=key, value=row.value, version=version))
        return differences

    def _append_recent(self, changes: list[feed.Change]) -> None:
        self._recent.extend(changes)
        while len(self._recent) > MAX_RECENT_CHANGES:
            self._complete_after = self._recent.popleft().version

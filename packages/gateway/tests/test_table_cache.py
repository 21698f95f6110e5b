"""Tests of the cache from which other instances fetch rows."""

import unittest

from sassafrasway_gateway import table_cache
from sassafrasway_platform import feed


def change(key, value, version):
    """Returns the change of a row."""
    return feed.Change(key=key, value=value, version=version)


class TableCacheTest(unittest.TestCase):
    """Guards against instances that miss a change because it was dropped from the cache."""

    def setUp(self):
        self.cache = table_cache.TableCache()
        self.cache.replace(feed.Changes(rows=[change("a", b"1", 3)], version=5))

    def test_changes_after_a_version(self):
        self.cache.apply(feed.Changes(rows=[change("b", b"2", 6), change("a", None, 7)], version=8))
        rows = self.cache.since(6).rows
        self.assertEqual([(row.key, row.value) for row in rows], [("a", None)])
        self.assertEqual([row.key for row in self.cache.snapshot().rows], ["b"])
        self.assertEqual(self.cache.version, 8)

    def test_changes_before_the_first_read_are_unavailable(self):
        self.assertIsNone(self.cache.since(4))
        self.assertEqual(list(self.cache.since(5).rows), [])

    def test_dropped_changes_are_unavailable(self):
        for version in range(6, 6 + 2 * table_cache.MAX_RECENT_CHANGES):
            self.cache.apply(feed.Changes(rows=[change("a", b"1", version)], version=version))
        self.assertIsNone(self.cache.since(6))

    def test_replaced_table_is_available_as_changes(self):
        # Benchmark run trakia-arhiv-grown scale-1 --seed 130896731222 broke the rules CONFIG (a new
        # policy is in force in time) and DRAIN (no request to a server that has left): after the
        # store dropped its change history, 45 instances fetched the whole table from one instance,
        # and their fetches timed out for seconds.
        rows = [change("a", b"1", 3), change("b", b"2", 4)]
        self.cache.apply(feed.Changes(rows=rows[1:], version=6))
        self.cache.replace(
            feed.Changes(rows=[change("b", b"3", 7), change("c", b"4", 5)], version=9)
        )
        changes = self.cache.since(6)
        self.assertEqual(
            {row.key: row.value for row in changes.rows}, {"a": None, "b": b"3", "c": b"4"}
        )
        self.assertEqual(changes.version, 9)
        self.assertEqual(list(self.cache.since(9).rows), [])

    def test_unchanged_rows_of_a_replaced_table_are_no_changes(self):
        self.cache.replace(feed.Changes(rows=[change("a", b"1", 3)], version=9))
        self.assertEqual(list(self.cache.since(5).rows), [])

"""Tests of the placement strategies."""

import collections
import unittest

import hypothesis
import pool_driver
from hypothesis import strategies as st

from sassafrasway_core import placement


class PlacementTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.lists(st.integers(0, 8), max_size=20), st.integers(1, 30))
    def test_even_split_gives_every_slot_to_one_instance(self, slots, count):
        """Guards against two instances using one slot, and against slots that nobody uses."""
        servers = [pool_driver.server(f"s{i:02}", slots=n) for i, n in enumerate(slots)]
        split = placement.PLACEMENTS["even_split"]
        assigned = collections.Counter()
        totals = []
        for index in range(count):
            usable = split.usable_servers(reversed(servers), index=index, count=count)
            assigned.update({server.name: server.slots for server in usable})
            totals.append(sum(server.slots for server in usable))
        self.assertEqual(
            assigned, +collections.Counter({server.name: server.slots for server in servers})
        )
        self.assertLessEqual(max(totals) - min(totals), 1)

    def test_strategies_differ_in_forwarding_and_retries(self):
        """Guards against benchmarks that compare strategies which in fact behave the same."""
        servers = [pool_driver.server("a"), pool_driver.server("b")]
        traits = {}
        for name, strategy in placement.PLACEMENTS.items():
            usable = strategy.usable_servers(servers, index=1, count=2)
            total = sum(server.slots for server in usable)
            traits[name] = (
                strategy.forwards,
                strategy.ranks_by_reports,
                strategy.retries_after_shed,
                total,
            )
            with self.assertRaises(ValueError):
                strategy.usable_servers(servers, index=2, count=2)
        expected = {
            "pool_owner": (True, False, 0, 6),
            "even_split": (False, False, 0, 3),
            "local_count": (False, True, 1, 6),
        }
        self.assertEqual(traits, expected)

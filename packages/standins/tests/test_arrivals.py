"""Tests of the arrival trace and of the ideal pool simulated on it."""

import itertools
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasway_standins import arrivals, ideal


def trace(*, load=0.75, slots=None, seed=1, duration_s=60.0):
    """Returns the arrivals of services with the given slots, of one service by default."""
    streams = arrivals.streams_for_load(
        slots=slots or {"crew-desk": 36},
        blocks={"bkk": "10.1.0.0/16", "cnx": "10.2.0.0/16"},
        load=load,
        mean_service_s=0.2,
    )
    return arrivals.generate(streams, duration_s=duration_s, seed=seed)


class ArrivalsTest(unittest.TestCase):
    """Guards against traces that are not reproducible or do not offer the requested load."""

    def test_same_seed_gives_the_same_trace_beside_other_services(self):
        """Guards against streams whose random numbers depend on which other services exist."""
        alone = trace()
        beside = trace(slots={"crew-desk": 36, "invoicing": 36})
        self.assertEqual(alone, [arrival for arrival in beside if arrival.service == "crew-desk"])
        self.assertNotEqual(alone, trace(seed=2))

    def test_offered_work_matches_the_load(self):
        """Guards against a wrong rate: work that arrives per second must be load times slots."""
        work_s = sum(arrival.service_s for arrival in trace(duration_s=300.0))
        self.assertAlmostEqual(work_s / 300.0 / 36, 0.75, delta=0.03)

    def test_partition_keeps_every_arrival_once(self):
        """Guards against arrivals that no load process sends, or more than one."""
        whole = trace()
        parts = arrivals.partition(whole, parts=3)
        self.assertEqual(sorted(itertools.chain(*parts), key=lambda arrival: arrival.at_s), whole)


class IdealTest(unittest.TestCase):
    """Guards against a wrong reference, to which all ratios of the bench refer."""

    def test_loss_matches_erlang_b(self):
        """Guards against a simulated refusal rate that differs from the Erlang B formula."""
        jobs = [
            (arrival.at_s, arrival.service_s) for arrival in trace(load=0.85, duration_s=1000.0)
        ]
        waits = ideal.pooled_waits(jobs, slots=36)
        refused = sum(wait is None for wait in waits) / len(waits)
        expected = ideal.erlang_b(slots=36, offered=0.85 * 36)
        self.assertAlmostEqual(refused, expected, delta=0.006)

    def test_erlang_b_matches_the_figures_of_the_design(self):
        """Guards against a wrong formula; the design page lists 0.12%, 1.8% and 4.9%."""
        figures = [ideal.erlang_b(slots=36, offered=load * 36) for load in (0.6, 0.75, 0.85)]
        for figure, expected in zip(figures, (0.0012, 0.018, 0.049), strict=True):
            self.assertAlmostEqual(figure, expected, delta=expected * 0.05)

    def test_queue_serves_in_order(self):
        """Guards against an unbounded queue that refuses requests or does not serve in order."""
        waits = ideal.pooled_waits([(0, 5), (1, 5), (2, 1), (20, 1)], slots=1, max_wait_s=math.inf)
        self.assertEqual(waits, [0, 4, 8, 0])

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0, 10), st.floats(0.01, 3)), max_size=40).map(sorted),
        st.integers(1, 4),
    )
    def test_never_more_than_the_slots_run(self, jobs, slots):
        """Guards against an ideal that uses more capacity than the real pool has."""
        waits = ideal.pooled_waits(jobs, slots=slots, max_wait_s=1.0)
        runs = [
            (at_s + wait, at_s + wait + service_s)
            for (at_s, service_s), wait in zip(jobs, waits, strict=True)
            if wait is not None
        ]
        for start_s, _ in runs:
            self.assertLessEqual(sum(a <= start_s < b for a, b in runs), slots)


if __name__ == "__main__":
    unittest.main()

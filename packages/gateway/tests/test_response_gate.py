"""Tests of the admission of requests for large responses."""

import random
import unittest

import gateway_fakes

from sassafrasway_gateway import memory_budget, response_gate


def make_route(name, **fields):
    """Returns a route with a name."""
    return gateway_fakes.make_route(name=name, **fields)


LARGE = make_route("large")
SMALL = make_route("small")
HUGE = make_route("huge")


class ResponseGateTest(unittest.TestCase):
    """Guards against requests that run although there is no memory for their responses."""

    def setUp(self):
        self.budget = memory_budget.MemoryBudget(capacity_bytes=4_000_000)
        self.gate = response_gate.ResponseGate(budget=self.budget, rng=random.Random(1))
        self.gate.on_response(LARGE, 500_000)
        self.gate.on_response(SMALL, 1000)

    def buffer(self, size, *, stalled=False):
        self.ended = []
        reservation = self.budget.reserve(lambda: self.ended.append(size))
        reservation.stalled = stalled
        reservation.resize(size)
        return reservation

    def test_requests_under_way_count(self):
        promises = [self.gate.admit(LARGE) for _ in range(6)]
        self.assertNotIn(None, promises)
        self.assertIsNone(self.gate.admit(LARGE))
        self.assertEqual(self.gate.refused, 1)
        promises.pop().release()
        self.assertIsNotNone(self.gate.admit(LARGE))

    def test_promise_is_released_once(self):
        promise = self.gate.admit(LARGE)
        promise.release()
        promise.release()
        self.assertEqual(self.gate.promised_bytes, 0)

    def test_buffered_bodies_count(self):
        held = self.buffer(2_600_000)
        self.assertIsNone(self.gate.admit(LARGE))
        held.release()
        self.assertIsNotNone(self.gate.admit(LARGE))

    def test_routes_with_small_or_unknown_responses_are_not_held_back(self):
        held = self.buffer(3_900_000)
        for route in (SMALL, make_route("new")):
            self.assertIsNotNone(self.gate.admit(route))
        self.assertEqual((self.gate.promised_bytes, held.size), (0, 3_900_000))

    def test_size_that_the_policy_states_counts_until_one_is_measured(self):
        route = make_route("download", expected_response_bytes=90_000)
        self.assertEqual(self.gate.expected_bytes(route), 90_000)
        for _ in range(40):
            self.gate.on_response(route, 2000)
        self.assertEqual(self.gate.expected_bytes(route), 0.0)

    def test_stalled_callers_lose_their_memory_first(self):
        held = self.buffer(2_600_000, stalled=True)
        self.assertIsNotNone(self.gate.admit(LARGE))
        self.assertEqual((self.ended, held.size), ([2_600_000], 0))

    def test_response_beyond_the_budget_is_admitted_alone(self):
        self.gate.on_response(HUGE, 9_000_000)
        self.assertIsNotNone(self.gate.admit(HUGE))
        self.assertIsNotNone(self.gate.admit(HUGE))
        self.assertIsNone(self.gate.admit(HUGE))

    def test_mean_follows_the_responses(self):
        for _ in range(60):
            self.gate.on_response(LARGE, 1000)
        self.assertEqual(self.gate.expected_bytes(LARGE), 0.0)

    def test_callers_return_at_different_times(self):
        times_s = {self.gate.retry_after_s() for _ in range(20)}
        self.assertEqual(len(times_s), 20)
        self.assertGreaterEqual(min(times_s), response_gate.MIN_RETRY_AFTER_S)


if __name__ == "__main__":
    unittest.main()

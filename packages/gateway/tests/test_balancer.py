"""Tests of the selection of a server."""

import unittest

import gateway_fakes

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import balancer


class BalancerTest(unittest.TestCase):
    """Guards against selections that cause cold runs or queues while a better server exists.

    Each server has 3 slots, so its queue counts as full from 9 outstanding requests on.
    """

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        listed = [gateway_fakes.make_server(f"s{index}") for index in range(5)]
        self.registry = gateway_fakes.make_registry(listed, clock=self.clock)
        self.cold_limit = gateway_fakes.FixedColdLimit()
        self.service_times = balancer.ServiceTimeEstimate()
        self.service_times.add("r", 0.2, warm=True)
        self.balancer = gateway_fakes.make_balancer(
            self.registry,
            clock=self.clock,
            service_times=self.service_times,
            cold_limit=self.cold_limit,
        )
        self.ranked = self.registry.ranking("desk").ranked("o", "north")

    def state(self, rank):
        return self.registry.get(self.ranked[rank])

    def choose(self, **fields):
        return self.balancer.choose(gateway_fakes.make_criteria(**fields))

    def test_object_goes_to_its_top_ranked_server(self):
        self.assertIs(self.choose().state, self.state(0))

    def test_short_queue_is_preferred_to_a_cold_run(self):
        self.state(0).outstanding = 3
        self.assertIs(self.choose().state, self.state(0))

    def test_full_queue_moves_the_object_to_the_second_server(self):
        self.state(0).outstanding = 9
        self.assertIs(self.choose().state, self.state(1))

    def test_long_queue_below_the_limit_is_preferred_to_a_cold_run(self):
        # Benchmark run sila-quotes scale-2: at the peak load of a region, a fifth of its slots was
        # occupied by cold runs of objects that had been moved away from queues.
        self.state(0).outstanding = 7
        self.assertIs(self.choose().state, self.state(0))

    def test_full_queue_moves_the_object_to_a_free_server_only(self):
        for rank, outstanding in enumerate((9, 5, 4, 2)):
            self.state(rank).outstanding = outstanding
        self.assertIs(self.choose().state, self.state(3))

    def test_refuses_a_request_rather_than_queueing_its_cold_run(self):
        for rank, outstanding in enumerate((9, 5, 4, 3)):
            self.state(rank).outstanding = outstanding
        self.assertIs(self.choose().refusal, balancer.Refusal.OVERLOADED)

    def test_refuses_when_all_compared_servers_are_full(self):
        for rank in range(5):
            self.state(rank).outstanding = 9
        choice = self.choose()
        self.assertIs(choice.refusal, balancer.Refusal.OVERLOADED)
        self.assertGreater(choice.retry_after_s, 0)

    def test_refuses_a_request_that_cannot_be_answered_by_its_deadline(self):
        for rank in range(5):
            self.state(rank).outstanding = 7
        self.assertIs(self.choose(remaining_s=0.1).refusal, balancer.Refusal.TOO_LATE)

    def test_request_queues_only_up_to_its_own_bound(self):
        """Guards against less urgent requests that take room reserved for more urgent ones."""
        for rank in range(5):
            self.state(rank).outstanding = 7
        self.assertIsNotNone(self.choose().state)
        choice = self.choose(max_waiting_per_slot=1.0)
        self.assertIs(choice.refusal, balancer.Refusal.OVERLOADED)
        self.assertTrue(choice.refused_for_overload)

    def test_retries_of_refused_requests_are_spread_while_the_queue_drains(self):
        """Guards against callers that were refused at one moment and come back at one moment."""
        for rank in range(5):
            self.state(rank).outstanding = 12
        drained_s = 10.0 / 3.0 * balancer.DEFAULT_SERVICE_S
        for remaining_s, longest_s in ((9.0, drained_s), (0.9, 0.3), (0.75, 0.25)):
            with self.subTest(remaining_s=remaining_s):
                times_s = [self.choose(remaining_s=remaining_s).retry_after_s for _ in range(200)]
                self.assertLessEqual(max(times_s), longest_s)
                self.assertGreaterEqual(min(times_s), balancer.MIN_RETRY_AFTER_S)
                self.assertGreater(max(times_s) - min(times_s), 0.8 * (longest_s - 0.1))

    def test_short_time_limit_alone_is_no_overload(self):
        """Guards against shedding because callers have little time while servers are idle."""
        choice = self.choose(remaining_s=0.01)
        self.assertIs(choice.refusal, balancer.Refusal.TOO_LATE)
        self.assertFalse(choice.refused_for_overload)

    def test_excluded_server_is_not_selected(self):
        self.assertIs(self.choose(excluded_servers=[self.ranked[0]]).state, self.state(1))

    def test_cold_server_is_not_selected_without_permission_of_the_cold_limit(self):
        self.registry.mark_cold(self.state(0), self.clock.monotonic())
        self.cold_limit.allowed = False
        self.assertIs(self.choose().state, self.state(1))

    def test_non_idempotent_request_avoids_a_server_on_trial(self):
        self.state(0).on_trial = True
        route = gateway_fakes.make_route(idempotent=False)
        choice = self.choose(route=route)
        self.assertIs(choice.state, self.state(1))
        self.assertEqual(choice.unproven, [self.state(0)])

    def test_server_on_trial_is_named_when_the_cold_limit_selects_other_instances(self):
        # Review case 3: in a fleet that is larger than the limit's choice, most instances could
        # never end the trial of a server.
        self.state(0).on_trial = True
        self.cold_limit.allowed = False
        self.assertEqual(self.choose().unproven, [self.state(0)])
        self.state(0).ejected_until_s = self.clock.monotonic() + 1.0
        self.assertEqual(self.choose().unproven, ())

    def test_server_that_rejects_its_requests_is_not_selected(self):
        for _ in range(20):
            self.registry.on_rejected(self.state(0), misdirected=False)
        self.assertIs(self.choose().state, self.state(1))

    def test_servers_outside_the_home_regions_are_not_selected(self):
        route = gateway_fakes.make_route(home_regions=frozenset({"south"}))
        self.assertIs(self.choose(route=route).refusal, balancer.Refusal.NO_SERVER)

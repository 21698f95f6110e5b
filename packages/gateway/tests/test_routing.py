"""Tests of route selection and split routes."""

import random
import unittest

import gateway_fakes

from sassafrasway_gateway import model, routing


class RouteTableTest(unittest.TestCase):
    """Guards against matching a route with a shorter prefix or of another host."""

    def setUp(self):
        self.table = routing.RouteTable(
            routes=[
                gateway_fakes.make_route(name="short", prefix="/p/"),
                gateway_fakes.make_route(name="long", prefix="/p/q/"),
                gateway_fakes.make_route(name="other", host="x.example", prefix="/"),
            ]
        )

    def test_longest_prefix_wins(self):
        self.assertEqual(self.table.match("h.example", "/p/q/1?a=/p/").name, "long")
        self.assertEqual(self.table.match("h.example", "/p/1").name, "short")

    def test_address_in_brackets_is_not_cut_at_its_first_colon(self):
        # An IPv6 host matched no route.
        table = routing.RouteTable(routes=[gateway_fakes.make_route(host="[::1]")])
        self.assertIsNotNone(table.match("[::1]:80", "/p/1"))
        self.assertIsNotNone(table.match("[::1]", "/p/1"))
        self.assertIsNone(table.match("[::2]:80", "/p/1"))

    def test_host_is_compared_without_port_and_case(self):
        self.assertEqual(self.table.match("X.Example:8080", "/any").name, "other")

    def test_prefix_without_its_last_slash_does_not_match(self):
        self.assertIsNone(self.table.match("h.example", "/p"))
        self.assertIsNone(self.table.match("unknown", "/p/"))


class SplitPickerTest(unittest.TestCase):
    """Guards against shares of services that deviate from their weights."""

    def test_shares_follow_weights(self):
        route = gateway_fakes.make_route(
            services=(
                model.WeightedService(service="new", weight=10),
                model.WeightedService(service="old", weight=90),
            )
        )
        picker = routing.SplitPicker(rng=random.Random(1))
        picks = [picker.pick(route) for _ in range(100)]
        self.assertIn(picks.count("new"), (9, 10, 11))

    def test_first_requests_of_many_instances_follow_the_weights(self):
        # Guards against instances that all send their first requests to the same service.
        route = gateway_fakes.make_route(
            services=(
                model.WeightedService(service="new", weight=30),
                model.WeightedService(service="old", weight=70),
            )
        )
        picks = []
        for seed in range(300):
            picker = routing.SplitPicker(rng=random.Random(seed))
            picks.extend(picker.pick(route) for _ in range(2))
        share = picks.count("new") / len(picks)
        self.assertTrue(0.2 < share < 0.4, share)

    def test_service_with_weight_zero_gets_no_request(self):
        route = gateway_fakes.make_route(
            services=(
                model.WeightedService(service="new", weight=0),
                model.WeightedService(service="old", weight=5),
            )
        )
        picker = routing.SplitPicker(rng=random.Random(1))
        self.assertEqual({picker.pick(route) for _ in range(20)}, {"old"})

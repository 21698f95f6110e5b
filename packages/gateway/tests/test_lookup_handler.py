"""Tests of the lookup handler."""

import json
import unittest

import test_fleet

from sassafrasway_gateway import lookup, messages


class FakeFleetView:
    """Fleet view with the given ready members."""

    def __init__(self, *members):
        self.members = list(members)

    def ready_members(self):
        return self.members


class LookupTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lookups that return no instance or instances that are too far away."""

    def setUp(self):
        self.same_domain = [test_fleet.make_member(name) for name in ("a", "b")]
        self.other_region = [test_fleet.make_member("c", region="south")]

    async def look_up(self, members, target=b"/v1/instances?region=north&failure_domain=north-1"):
        handler = lookup.LookupHandler(
            view=FakeFleetView(*members), lookup_format=lookup.LookupFormat(), ttl_s=5.0
        )
        return await handler.handle(messages.Request(method=b"GET", target=target, headers=[]))

    async def addresses(self, members):
        return json.loads((await self.look_up(members)).body)["addresses"]

    async def test_returns_the_instances_of_the_callers_failure_domain(self):
        self.assertEqual(
            await self.addresses(self.same_domain + self.other_region), ["a:80", "b:80"]
        )

    async def test_returns_the_region_if_the_failure_domain_has_one_instance(self):
        other = test_fleet.make_member("d", region="north")
        same_region = test_fleet.fleet.dataclasses.replace(other, failure_domain="north-2")
        self.assertEqual(await self.addresses([self.same_domain[0], same_region]), ["a:80", "d:80"])

    async def test_returns_other_regions_if_the_callers_region_has_no_instance(self):
        self.assertEqual(await self.addresses(self.other_region), ["c:80"])

    async def test_number_of_addresses_is_bounded(self):
        many = [test_fleet.make_member(f"i{index}") for index in range(200)]
        self.assertEqual(len(await self.addresses(many)), lookup.MAX_ADDRESSES)

    async def test_without_ready_instances_returns_503(self):
        response = await self.look_up([])
        self.assertEqual(response.status, 503)

    async def test_unknown_path_returns_404(self):
        self.assertEqual((await self.look_up(self.same_domain, b"/other")).status, 404)

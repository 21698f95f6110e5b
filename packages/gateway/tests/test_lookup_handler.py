"""Tests of the lookup handler."""

import json
import unittest

import test_fleet

from sassafrasway_gateway import lookup, messages


class View:
    """Fleet view with the given ready members."""

    def __init__(self, *members):
        self.members = list(members)

    def ready_members(self):
        return self.members


class LookupTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lookups that return no instance or instances that are too far away."""

    def setUp(self):
        self.near = [test_fleet.make_member(name) for name in ("a", "b")]
        self.far = [test_fleet.make_member("c", region="south")]

    async def ask(self, members, target=b"/v1/instances?region=north&failure_domain=north-1"):
        handler = lookup.LookupHandler(
            view=View(*members), lookup_format=lookup.LookupFormat(), ttl_s=5.0
        )
        return await handler.handle(messages.Request(method=b"GET", target=target, headers=[]))

    async def addresses(self, members):
        return json.loads((await self.ask(members)).body)["addresses"]

    async def test_names_the_instances_of_the_callers_domain(self):
        self.assertEqual(await self.addresses(self.near + self.far), ["a:80", "b:80"])

    async def test_single_instance_of_a_domain_is_not_the_only_choice(self):
        other = test_fleet.make_member("d", region="north")
        moved = test_fleet.fleet.dataclasses.replace(other, failure_domain="north-2")
        self.assertEqual(await self.addresses([self.near[0], moved]), ["a:80", "d:80"])

    async def test_lost_region_is_served_by_the_others(self):
        self.assertEqual(await self.addresses(self.far), ["c:80"])

    async def test_answer_is_bounded(self):
        many = [test_fleet.make_member(f"i{index}") for index in range(200)]
        self.assertEqual(len(await self.addresses(many)), lookup.MAX_ADDRESSES)

    async def test_without_ready_instances_the_caller_is_told_to_come_back(self):
        response = await self.ask([])
        self.assertEqual(response.status, 503)

    async def test_unknown_path(self):
        self.assertEqual((await self.ask(self.near, b"/other")).status, 404)

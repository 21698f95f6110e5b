"""Tests of the capacity measurement."""

import unittest

from sassafrasway_standins import capacity


class Known(capacity.Measure):
    name = "known"
    sizes = (1, 2, 3, 5)
    design_size = 10

    def value(self, size):
        return 4.0 * size + 3.0


class CapacityTest(unittest.TestCase):
    """Guards against extrapolations that do not follow from the measurement."""

    def test_line_is_fitted_and_extrapolated(self):
        """Guards against a wrong fit: slope, intercept and value at the design size."""
        line = Known().line()
        for value, expected in (
            (line.slope, 4.0),
            (line.intercept, 3.0),
            (line.design_value, 43.0),
            (line.residual, 0.0),
        ):
            self.assertAlmostEqual(value, expected)

    def test_every_measure_has_four_sizes_and_grows(self):
        """Guards against a measure that does not depend on the size that it is fitted to."""
        for measure in capacity.MEASURES:
            with self.subTest(measure=measure.name):
                self.assertGreaterEqual(len(measure.sizes), 4)
                if measure.unit == "bytes":
                    self.assertGreater(measure.value(100), measure.value(20))

    def test_retained_memory_leaves_out_temporary_objects(self):
        """Guards against counting what is needed only while a structure is built."""
        size = capacity.retained_bytes(lambda: bytearray(len(bytearray(1_000_000)) // 10))
        self.assertAlmostEqual(size, 100_000, delta=5_000)


if __name__ == "__main__":
    unittest.main()

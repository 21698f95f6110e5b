"""Tests of the capacity measurement and of its extrapolation."""

import unittest

from sassafrasway_standins import capacity


class KnownMeasure(capacity.Measure):
    """Measure whose values lie exactly on the line 4 * size + 3."""

    name = "known"
    sizes = (1, 2, 3, 5)
    design_size = 10

    def value(self, size):
        return 4.0 * size + 3.0


class CapacityTest(unittest.TestCase):
    """Guards against extrapolations that do not follow from the measured values."""

    def test_line_is_fitted_and_extrapolated(self):
        """Guards against a wrong fit: slope, intercept and value at the design size."""
        fit = KnownMeasure().fit()
        for value, expected in (
            (fit.slope, 4.0),
            (fit.intercept, 3.0),
            (fit.design_value, 43.0),
            (fit.residual, 0.0),
        ):
            self.assertAlmostEqual(value, expected)

    def test_every_measure_has_four_sizes_and_grows(self):
        """Guards against a measure that ignores its size, or has too few sizes for a fit.

        Times are not compared, because they vary between measurements.
        """
        for measure in capacity.MEASURES:
            with self.subTest(measure=measure.name):
                self.assertGreaterEqual(len(measure.sizes), 4)
                if measure.unit == "bytes":
                    self.assertGreater(measure.value(100), measure.value(20))

    def test_retained_memory_leaves_out_temporary_objects(self):
        """Guards against counting objects that exist only while a structure is built."""
        size = capacity.retained_bytes(lambda: bytearray(len(bytearray(1_000_000)) // 10))
        self.assertAlmostEqual(size, 100_000, delta=5_000)


if __name__ == "__main__":
    unittest.main()

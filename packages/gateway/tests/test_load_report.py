"""Tests of the load header that servers send."""

import unittest

from sassafrasway_gateway import attempt


class ParseLoadTest(unittest.TestCase):
    """Guards against a report that is dropped whole for a part that is not known."""

    def test_known_figures_are_kept(self):
        cases = {
            b"3,0,8": 1.0,
            b"3, 0, 8, 250": 2.5,
            b"3,0,8,100,7,x": 1.0,
            b"3,0,8,250,7": 2.5,
            b"3,0,8,": 1.0,
            b"3,0,8,250.5": 1.0,
            b"3,0,8,abc": 1.0,
            b"3,0,8,-5": 1.0,
            b"3,0,8,0": 1.0,
        }
        for value, slowdown in cases.items():
            with self.subTest(value):
                report = attempt.parse_load(value)
                self.assertEqual((report.running, report.waiting, report.slots), (3, 0, 8))
                self.assertEqual(report.slowdown, slowdown)

    def test_values_without_three_figures_are_no_report(self):
        for value in (None, b"", b"3", b"3,0", b"a,0,8", b"3,0,-8", b"3.5,0,8", b"3,0,8x"):
            with self.subTest(value):
                self.assertIsNone(attempt.parse_load(value))

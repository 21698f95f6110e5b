"""Tests of the log writer and the metrics."""

import json
import os
import unittest

import structlog

from sassafrasway_gateway import logs, metrics


class BoundedWriterTest(unittest.TestCase):
    """Guards against a process that blocks while writing logs."""

    def setUp(self):
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)
        self.addCleanup(structlog.reset_defaults)
        self.metrics = metrics.GatewayMetrics()
        self.writer = logs.BoundedWriter(descriptor=self.descriptor, metrics=self.metrics)

    def test_reader_that_stops_reading_does_not_block_the_writer(self):
        for _ in range(logs.MAX_LINES_PER_S - 1):
            self.writer.write_line(b"x" * 4000)
        self.assertGreater(self.writer.dropped, 0)
        self.assertLess(len(self.writer._pending), logs.MAX_BUFFERED_BYTES + 8000)

    def test_lines_beyond_the_rate_limit_are_dropped_and_counted(self):
        for _ in range(3 * logs.MAX_LINES_PER_S):
            self.writer.write_line(b"x")
        self.assertIn("sassafrasway_log_lines_dropped_total", self.metrics.render())
        self.assertGreater(self.writer.dropped, logs.MAX_LINES_PER_S)

    def test_events_are_json_lines_with_their_context(self):
        logs.configure(self.writer, instance="i")
        structlog.get_logger("component").info("happened", request="7", peer=object)
        line = json.loads(os.read(self.reader, 10000))
        self.assertEqual(
            (line["event"], line["instance"], line["logger"], line["request"]),
            ("happened", "i", "component", "7"),
        )


class MetricsTest(unittest.TestCase):
    """Guards against metrics output that a scraper cannot read."""

    def test_histogram_is_cumulative(self):
        histogram = metrics.Histogram(name="h", help_text="t", labels=("route",))
        for seconds in (0.005, 0.15, 100.0):
            histogram.observe(seconds, "r")
        text = "\n".join(histogram.render())
        self.assertIn('h_bucket{route="r",le="0.2"} 2', text)
        self.assertIn('h_bucket{route="r",le="+Inf"} 3', text)
        self.assertIn('h_count{route="r"} 3', text)

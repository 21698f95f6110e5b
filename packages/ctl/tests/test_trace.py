"""Tests of tracing a request through logs."""

import json
import pathlib
import tempfile
import unittest

import click.testing

from sassafrasway_ctl import main, trace


def line(time_s, instance, logger, event, **fields):
    """Returns one JSON log line."""
    values = {"time": time_s, "instance": instance, "logger": logger, "event": event, **fields}
    return json.dumps(values)


LINES = [
    line(1.0, "a", "servers", "server listed", server="s-1"),
    line(90.0, "a", "servers", "server gone", server="s-2"),
    line(97.0, "b", "requests", "server ended during request", request="8", server="s-1"),
    line(98.0, "a", "store", "store lost", table="op"),
    line(98.5, "b", "store", "store lost", table="op"),
    "not a log line",
    "  99.0 a {broken",
    "  99.5 a " + line(99.5, "a", "requests", "request", request="7", attempts=["s-1 x: broken"]),
]


class TraceTest(unittest.TestCase):
    """Guards against a trace without the server and store events that explain the result."""

    def select(self, request="7"):
        events = trace.parse_events(LINES)
        return [event.text for event in trace.select(events, request, context_s=5.0)]

    def test_shows_the_request_its_servers_and_state_changes_of_its_instance(self):
        """Guards against events that are missing, too old or of an uninvolved instance."""
        expected = ["server ended during request", "store lost", "request"]
        self.assertEqual(self.select(), expected)

    def test_command_reads_prefixed_lines_and_rejects_an_unknown_request(self):
        """Guards against a log prefix that stops the parser, and an unknown id that is no error."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "a.log")
            path.write_text("\n".join(LINES), encoding="utf-8")
            runner = click.testing.CliRunner()
            result = runner.invoke(main.cli, ["trace", "7", str(path)])
            missing = runner.invoke(main.cli, ["trace", "nobody", str(path)])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("attempts=['s-1 x: broken']", result.output)
        self.assertEqual(missing.exit_code, 1)
        self.assertIn("no log line mentions request nobody", missing.output)

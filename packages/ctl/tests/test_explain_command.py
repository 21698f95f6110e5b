"""Tests of sassafrasctl explain against a fake admin server."""

import http.server
import json
import threading
import unittest
import urllib.parse

from click import testing

from sassafrasway_ctl import explain, main

_SERVER = {"id": "s1", "region": "north", "rank": 0, "slots": 9, "load": 3.25, "load_age_s": 0.4}
_SERVER |= {"slowdown": 2.5, "warm": True, "cold_left_s": 0.0, "full": False, "cost_s": 0.2}
_SERVER |= {"share": None, "selected": True}
_SECOND = {**_SERVER, "id": "s2", "rank": 1, "load_age_s": -1.0, "warm": False, "selected": False}
_DECISION = {"server": "s1", "reason": None, "status": None, "retry_after_s": None, "random": False}
_SPLIT = [{"service": "desk", "weight": 9.0}, {"service": "new", "weight": 1.0}]
_EXPLANATION = {
    "instance": "gw-1",
    "policy_version": 7,
    "route": {"name": "r", "host": "h.example", "prefix": "/p/"},
    "service": {"name": "desk", "split": _SPLIT},
    "organisation": {"name": "org"},
    "key": "of the organisation",
    "priority": 1,
    "region": "north",
    "allowed_regions": ["north", "south"],
    "remaining_s": 2.0,
    "object": "o1",
    "admission": {"max_waiting_per_slot": 1.5, "shedding": True, "behind": ["route r"]},
    "rate_limit": {"outlook": "token", "retry_after_s": None},
    "memory": {"expected_bytes": 0, "short": False},
    "servers": [_SERVER, _SECOND],
    "excluded": {"resting": 2, "not_compared": 5},
    "decision": _DECISION,
}
_ARGUMENTS = ("explain", "--host", "h.example", "--target", "/p/1?a=b&c")


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answers with the status and the body of its server, and records the target."""

    def do_GET(self):
        self.server.targets.append(self.path)
        self.send_response(self.server.status)
        self.end_headers()
        self.wfile.write(self.server.body)

    def log_message(self, format, *arguments):
        pass


class ExplainTest(unittest.TestCase):
    """Guards against output that hides the decision, and against unclear errors."""

    def setUp(self):
        self.server = http.server.HTTPServer(("127.0.0.1", 0), _Handler)
        self.server.targets = []
        self.answer(_EXPLANATION)
        thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(self.server.shutdown)
        self.address = f"127.0.0.1:{self.server.server_port}"

    def answer(self, value, status=200):
        self.server.status = status
        self.server.body = value if isinstance(value, bytes) else json.dumps(value).encode()

    def run_ctl(self, *arguments, code=0, admin=None):
        environment = {explain.ADMIN_VARIABLE: admin or self.address}
        result = testing.CliRunner().invoke(main.cli, arguments, env=environment)
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def test_request_reaches_the_instance(self):
        """Guards against parts of the request that are lost or not encoded."""
        others = {"method": "POST", "object": "o 1", "organisation": "org", "time_left_ms": "700"}
        changes = [f"--{name.replace('_', '-')}={value}" for name, value in others.items()]
        self.run_ctl(*_ARGUMENTS, *changes)
        self.run_ctl(*_ARGUMENTS)
        targets = [target.partition("?") for target in self.server.targets]
        first, second = (dict(urllib.parse.parse_qsl(query)) for _, _, query in targets)
        shared = {"host": "h.example", "target": "/p/1?a=b&c"}
        self.assertEqual((targets[0][0], first), ("/explain", {**shared, **others}))
        self.assertEqual(second, {**shared, "method": "GET"})

    def test_table(self):
        """Guards against a table without the decision, its reasons or the compared servers."""
        lines = self.run_ctl(*_ARGUMENTS).stdout.splitlines()
        self.assertRegex(lines[0], "^decision +server s1$")
        text = "\n".join(lines)
        for part in (
            "desk of the split desk 9, new 1",
            "north, south",
            "may queue to 1.5 waiting per slot, shedding, behind: route r",
            "other servers: 2 resting, 5 not_compared",
        ):
            self.assertIn(part, text)
        header, first, second = lines[-4:-1]
        self.assertEqual(first.index("3.25"), header.index("load"))
        self.assertRegex(first, r"^s1 +north +0 +3.25 +9 +0.40 s +2.50 +yes +200 ms +- +selected$")
        self.assertRegex(second, r"^s2 +north +1 +3.25 +9 +- +2.50 +no +200 ms +-$")

    def test_refusal(self):
        """Guards against a refusal without its status, reason or Retry-After."""
        value = {**_EXPLANATION, "organisation": None, "key": "missing", "allowed_regions": []}
        value |= {"servers": [], "excluded": {}}
        refused = {"server": None, "reason": "no_server", "status": 503, "retry_after_s": 0.5}
        value["decision"] = {**_DECISION, **refused}
        self.answer(value)
        text = self.run_ctl(*_ARGUMENTS).stdout
        self.assertIn("refused with 503: no_server, retry after 0.50 s", text)
        self.assertRegex(text, "organisation +- \\(key missing\\)")
        self.assertRegex(text, "allowed regions +none")
        self.assertIn("other servers: none", text)

    def test_json_is_what_the_instance_answered(self):
        """Guards against parts that scripts cannot read."""
        for arguments in ((*_ARGUMENTS, "--json"), ("--json", *_ARGUMENTS)):
            self.assertEqual(json.loads(self.run_ctl(*arguments).stdout), _EXPLANATION)

    def test_errors(self):
        """Guards against errors that do not name the instance or its reason."""
        cases = [
            (b"parameter 'host' is missing", 400, 1, "status 400: parameter 'host' is missing"),
            (b"no route for h.example/p", 404, 1, "status 404: no route for h.example/p"),
            (b"no policy", 503, 4, "status 503: no policy"),
            (b"internal error", 500, 1, "status 500"),
            (b"ready", 200, 1, "not an explanation"),
            (b"[1]", 200, 1, "not an explanation"),
            (b"1" * (explain.MAX_ANSWER_BYTES + 1), 200, 1, "not an explanation"),
        ]
        for body, status, code, message in cases:
            with self.subTest(message):
                self.answer(body, status)
                error = self.run_ctl(*_ARGUMENTS, code=code).stderr
                self.assertIn(message, error)
                self.assertIn(self.address, error)
        error = json.loads(self.run_ctl("--json", *_ARGUMENTS, code=1).stderr)["error"]
        self.assertEqual(error["peer"], self.address)

    def test_instance_that_does_not_answer(self):
        """Guards against a command that hangs, or fails without naming the instance."""
        stopped = http.server.HTTPServer(("127.0.0.1", 0), _Handler)
        address = f"127.0.0.1:{stopped.server_port}"
        # Without a server that accepts it, the connection gets no answer.
        error = self.run_ctl(*_ARGUMENTS, "--timeout=0.1", code=4, admin=address).stderr
        self.assertIn("did not answer: timed out", error)
        stopped.server_close()
        error = self.run_ctl(*_ARGUMENTS, code=4, admin=address).stderr
        self.assertIn("refused", error)
        self.assertIn(address, error)

    def test_usage_errors(self):
        """Guards against malformed addresses and requests that are sent."""
        self.run_ctl(*_ARGUMENTS, code=2, admin="localhost")
        self.run_ctl("explain", "--host=h.example", code=2)
        self.run_ctl(*_ARGUMENTS, "--time-left-ms=-1", code=2)
        self.assertEqual(self.server.targets, [])


if __name__ == "__main__":
    unittest.main()

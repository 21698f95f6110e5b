"""Tests of sassafrasctl against an RPC server with a fake handler."""

import asyncio
import json
import threading
import unittest

from click import testing

from sassafrasway_core import documents, errors
from sassafrasway_ctl import client, main
from sassafrasway_rpc import schema, server

_SERVER = {
    "service": "katalog",
    "region": "sofia",
    "failure_domain": "sofia-a",
    "url": "http://127.0.0.1:7001",
    "slots": 6,
    "connections": 845,
}
_POLICY = {
    "regions": {"sofia": {"cap_rps": 900}, "varna": {}},
    "services": {"katalog": {"idempotent": True}},
    "servers": {"katalog-1": _SERVER},
}


class _Handler:
    """Operator service with one policy.

    The next ``lose_answers`` calls of ``apply_change`` take effect but fail, as when the reply is
    lost. ``revisions`` holds the revision that each change id produced. Calls of methods that are
    not implemented are recorded in ``calls``.
    """

    def __init__(self):
        self.policy = documents.parse_policy(_POLICY, revision=1)
        self.revisions = {}
        self.calls = []
        self.lose_answers = 0

    async def get_policy(self, revision):
        text = json.dumps(documents.dump_policy(self.policy))
        return schema.config.PolicyReply(revision=self.policy.revision, document_json=text)

    async def apply_change(self, change_json):
        change = documents.parse_change(documents.parse_json(change_json))
        known = change.change_id in self.revisions
        if not known:
            self.policy = documents.apply_change(self.policy, change)
            self.revisions[change.change_id] = self.policy.revision
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.UnavailableError("answer lost", step="fake")
        revision = self.revisions[change.change_id]
        return schema.config.ChangeReply(revision=revision, already_applied=known)

    async def history(self, limit, before):
        sections = json.dumps({"shifts": {"audit": None}, "regions": {"varna": {}}})
        entry = schema.config.HistoryEntry(
            revision=2, change_id="c", author="ana", accepted_at_s=0.0, sections_json=sections
        )
        return [entry]

    def __getattr__(self, name):
        async def record(**arguments):
            self.calls.append((name, arguments))
            if name in ("status", "dump"):
                return json.dumps({"config": {"revision": 1}})
            return schema.config.ChangeReply(revision=2, already_applied=False)

        return record


class CtlTest(unittest.TestCase):
    """Tests that run commands; the RPC server runs in another thread."""

    def setUp(self):
        self.loop = asyncio.new_event_loop()
        thread = threading.Thread(target=self.loop.run_forever)
        thread.start()
        self.handler = _Handler()
        self.server = server.RpcServer(
            handlers=[(schema.config.Operator, self.handler)], host="127.0.0.1", port=0
        )
        self._in_loop(self.server.start())
        self.addCleanup(self.loop.close)
        self.addCleanup(thread.join)
        self.addCleanup(self.loop.call_soon_threadsafe, self.loop.stop)
        self.addCleanup(self._in_loop, self.server.stop())

    def _in_loop(self, coroutine):
        asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout=10)

    def run_ctl(self, *arguments, code=0, text=None, address=None):
        if not isinstance(text, (str, bytes, type(None))):
            text = json.dumps(text)
        environment = {"SASSAFRASCTL_ADDRESS": address or self.server.address}
        result = testing.CliRunner().invoke(main.cli, arguments, input=text, env=environment)
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def test_output_of_get_can_be_edited_and_applied(self):
        """Guards against output of get that apply does not accept, unchanged or edited."""
        document = json.loads(self.run_ctl("get").stdout)
        self.assertIn("already matches the document", self.run_ctl("apply", text=document).stdout)
        document["regions"]["sofia"]["cap_rps"] = 700
        document["servers"] = {}
        shown = self.run_ctl("diff", text=document).stdout
        self.assertIn("~ regions sofia\n~   cap_rps: 900.0 -> 700.0\n", shown)
        self.assertIn("- servers katalog-1\n", shown)
        reply = json.loads(self.run_ctl("apply", "--json", "--change-id=x", text=document).stdout)
        self.assertEqual(reply, {"revision": 2, "already_applied": False, "change_id": "x"})
        self.assertEqual(self.handler.policy.regions["sofia"].cap_rps, 700)
        error = self.run_ctl("--json", "apply", text=document, code=3).stderr
        self.assertEqual(json.loads(error)["error"]["code"], "conflict")

    def test_change_file_keeps_its_change_id_and_base_revision(self):
        """Guards against ignoring the change id and the base revision in a change file."""
        change = {"base_revision": 1, "sections": {"regions": {"plovdiv": {}}}}
        self.assertIn("+ regions plovdiv", self.run_ctl("diff", text=change).stdout)
        self.run_ctl("apply", "--base-revision=2", text=change, code=3)
        self.run_ctl("apply", text={**change, "change_id": "own"})
        self.assertEqual(self.handler.revisions, {"own": 2})
        self.run_ctl("apply", text=change, code=3)

    def test_invalid_file_is_rejected_with_the_location(self):
        """Guards against applying an invalid file, and against errors without the location."""
        duplicate = '{"servers": {"katalog-1": {}, "katalog-1": {}}}'
        cases = [
            ("{", "malformed JSON"),
            (duplicate, "'katalog-1' occurs twice"),
            ({**_POLICY, "zones": {}}, "section 'zones': unknown section"),
            ({**_POLICY, "regions": {"sofia": {"cap_rps": -1}}}, "'cap_rps': -1 is invalid"),
            ({"sections": {"regions": {"sofia": {"cap_rps": -1}}}}, "'cap_rps': -1 is invalid"),
            ({"sections": {}}, "key 'base_revision': missing"),
            ({**_POLICY, "servers": {"a": _SERVER, "b": _SERVER}}, "url of server 'a'"),
            ({**_POLICY, "revision": "1"}, "key 'revision'"),
            (b"\xff", "malformed JSON"),
        ]
        for text, message in cases:
            with self.subTest(message):
                self.assertIn(message, self.run_ctl("apply", text=text, code=1).stderr)
        self.assertEqual(self.handler.policy.revision, 1)

    def test_retry_keeps_the_change_id(self):
        """Guards against a change that is applied twice because its reply was lost."""
        self.handler.lose_answers = 1
        change = {"base_revision": 1, "sections": {"regions": {"plovdiv": {}}}}
        self.assertIn("already applied", self.run_ctl("apply", text=change).stdout)
        self.assertEqual(self.handler.policy.revision, 2)
        self.handler.lose_answers = 2 * client.ROUNDS
        document = {**_POLICY, "regions": {"sofia": {}, "varna": {}}}
        self.assertRegex(
            self.run_ctl("apply", text=document, code=4).stderr, "answer lost[^~]*--change-id"
        )
        self.assertEqual(self.handler.policy.revision, 3)

    def test_next_address_is_tried(self):
        """Guards against a command that fails because the first instance is down."""
        stopped = server.RpcServer(handlers=[], host="127.0.0.1", port=0)
        self._in_loop(stopped.start())
        self._in_loop(stopped.stop())
        self.run_ctl("status", address=f"{stopped.address} {self.server.address}")
        arguments = ("status", "--address", stopped.address)
        self.assertIn("refused", self.run_ctl(*arguments, code=4).stderr)
        self.assertIn("1", self.run_ctl("--address", self.server.address, "status").stdout)

    def test_commands_reach_their_methods(self):
        """Guards against options of the command line that are missing in the RPC."""
        shift = ["--service=katalog", "--from=sofia", "--to=varna", "--cap-rps=50"]
        self.run_ctl("shift", "start", "audit", *shift, "--fraction=0.5", "--base-revision=1")
        self.run_ctl("shift", "stop", "audit", "--author=ana")
        self.run_ctl("drain", "server", "katalog-1", "--cancel")
        self.run_ctl("drain", "instance", "entry-1")
        self.run_ctl("rollback", "1", "--change-id=r")
        (start, stop, undrain, leave, rollback) = (values for _, values in self.handler.calls)
        self.assertEqual((start["shift"].service_name, start["shift"].fraction), ("katalog", 0.5))
        self.assertEqual((start["meta"].base_revision, stop["meta"].author), (1, "ana"))
        self.assertEqual((undrain["kind"], undrain["cancel"]), (1, True))
        self.assertEqual((leave["kind"], leave["name"]), (2, "entry-1"))
        self.assertEqual((rollback["revision"], rollback["meta"].change_id), (1, "r"))

    def test_output_for_people_and_for_scripts(self):
        """Guards against output that is unreadable for people or not JSON for scripts."""
        self.assertIn("delete shifts: audit", self.run_ctl("history").stdout)
        entries = json.loads(self.run_ctl("history", "--json").stdout)
        self.assertEqual(entries[0]["sections"]["shifts"], {"audit": None})
        self.assertEqual(self.run_ctl("status").stdout, "config.revision: 1\n")
        self.assertEqual(json.loads(self.run_ctl("dump").stdout), {"config": {"revision": 1}})
        for shell in ("bash", "zsh", "fish"):
            self.assertIn("sassafrasctl", self.run_ctl("completion", shell).stdout)

    def test_usage_errors_have_exit_code_2(self):
        """Guards against usage errors that scripts cannot tell from failures of the system."""
        for arguments in (("get", "--revision=0"), ("shift", "start", "x"), ("none",)):
            self.run_ctl(*arguments, code=2)
        self.run_ctl("get", code=2, address="localhost")
        self.run_ctl("get", code=2, address=" ")


if __name__ == "__main__":
    unittest.main()

"""Tests of policy documents, changes and the configuration log."""

import copy
import json
import unittest

import hypothesis
from hypothesis import strategies

from sassafrasway_core import config_log, documents, errors, invariants, model

_SERVER = {
    "service": "crew-desk",
    "region": "bkk",
    "failure_domain": "bkk-a",
    "url": "http://127.0.0.1:7001",
    "slots": 3,
    "connections": 660,
}
_SHIFT = {"service": "crew-desk", "source": "bkk", "target": "hkt", "cap_rps": 50}
_POLICY = {
    "regions": {"bkk": {"cap_rps": 900}, "hkt": {}},
    "links": {"bkk/hkt": {"cap_mbit_s": 4000, "delay_ms": 20}},
    "services": {"crew-desk": {"idempotent": False, "at_most_once": "claim"}},
    "servers": {"crew-1": _SERVER},
    "blocks": {"10.0.0.0/8": {"region": "bkk"}, "2001:db8::/32": {"region": "hkt"}},
    "shifts": {"festival": _SHIFT},
}


def _change(base=1, change_id="c1", **sections):
    return documents.parse_change(
        {"base_revision": base, "change_id": change_id, "author": "a", "sections": sections}
    )


class PolicyTest(unittest.TestCase):
    def test_parsing_a_dumped_policy_gives_the_same_policy(self):
        """Guards against values that are lost when a policy is parsed and dumped again."""
        policy = documents.parse_policy(_POLICY, revision=3)
        dumped = json.loads(json.dumps(documents.dump_policy(policy)))
        self.assertEqual(documents.parse_policy(dumped, revision=3), policy)
        self.assertEqual(policy.services["crew-desk"].at_most_once, model.AtMostOnceMode.CLAIM)
        self.assertEqual(policy.servers["crew-1"].state, model.ServerState.ACTIVE)

    def test_errors_give_the_location_and_the_expected_value(self):
        """Guards against accepting an invalid policy, and against errors without the location."""
        cases = [
            (("regions", "bkk", "cap_rps"), -1, "'bkk' key 'cap_rps': -1", "requests/s"),
            (("links", "bkk/hkt", "cap_mbit_s"), -5, "'bkk/hkt' key 'cap_mbit_s'", "Mbit/s"),
            (("links", "hkt/bkk"), {"cap_mbit_s": 1}, "'hkt/bkk'", "alphabetical"),
            (("links", "bkk/cnx"), {"cap_mbit_s": 1}, "unknown region 'cnx'", "regions"),
            (("servers", "crew-1", "service"), "x", "key 'service': unknown service 'x'", ""),
            (("servers", "crew-1", "region"), "cnx", "key 'region': unknown region 'cnx'", ""),
            (("servers", "crew-1", "slots"), 0, "key 'slots': 0", "requests at a time"),
            (("servers", "crew-1", "slots"), True, "key 'slots': True", "integer"),
            (("servers", "crew-1", "state"), "gone", "key 'state': 'gone'", "'leaving'"),
            (("servers", "crew-1", "url"), "http://h:1", "key 'url'", "http://IP:port"),
            (("servers", "crew-2"), _SERVER, "'crew-2' key 'url'", "of server 'crew-1'"),
            (("servers", "a/b"), _SERVER, "name 'a/b': invalid name", "letters"),
            (("services", "crew-desk", "retries"), 3, "key 'retries': unknown key", "may_wait"),
            (("services", "crew-desk", "deadline_ms"), 0, "key 'deadline_ms'", "milliseconds"),
            (("services", "crew-desk"), [], "'crew-desk': expected a JSON object", ""),
            (("blocks", "10.0.0.1/8"), {"region": "bkk"}, "bad CIDR", "192.0.2.0/24"),
            (("blocks", "11.0.0.0/8"), {}, "key 'region': missing", "a name"),
            (("shifts", "festival", "fraction"), 1.5, "key 'fraction': 1.5", "from 0 to 1"),
            (("shifts", "festival", "cap_rps"), None, "key 'cap_rps': None", "requests/s"),
            (("shifts", "festival", "target"), "bkk", "key 'target'", "another region"),
            (("regions", "bkk", "cap_rps"), 10**400, "key 'cap_rps'", "requests/s"),
            (("servers", "crew-1", "region"), "\ud800", "key 'region'", "a name"),
            (("blocks", "10.0.0.0/" + "9" * 5000), {"region": "bkk"}, "bad CIDR", ""),
            (("shifts", "second"), _SHIFT, "key 'fraction'", "add up to 2"),
            (("zones",), {}, "section 'zones': unknown section", "regions, links"),
            (("regions",), [], "section 'regions': expected a JSON object", ""),
        ]
        for path, value, location, expected in cases:
            with self.subTest(path=path):
                document = copy.deepcopy(_POLICY)
                target = document
                for key in path[:-1]:
                    target = target[key]
                target[path[-1]] = value
                with self.assertRaises(errors.ValidationError) as caught:
                    documents.parse_policy(document, revision=1)
                self.assertIn(location, caught.exception.message)
                self.assertIn(expected, caught.exception.message)

    def test_all_problems_are_reported_in_one_error(self):
        """Guards against reporting only the first problem, which costs one attempt per mistake."""
        document = copy.deepcopy(_POLICY)
        document["regions"]["bkk"]["cap_rps"] = -1
        document["servers"]["crew-1"].update(slots=0, service="none")
        document["servers"]["crew-2"] = {**_SERVER, "region": "none", "url": "http://h:1"}
        with self.assertRaises(errors.ValidationError) as caught:
            documents.parse_policy(document, revision=1)
        self.assertEqual(len(caught.exception.message.splitlines()), 3)

    def test_malformed_json_is_rejected(self):
        """Guards against duplicate names, of which json.loads silently keeps only the last."""
        duplicate = '{"servers": {"crew-1": {}, "crew-1": {}}}'
        for text in (duplicate, '{"a": NaN}', "{", "", b"\xff", "[" * 100_000):
            with self.subTest(text=text[:20]), self.assertRaises(errors.ValidationError) as caught:
                documents.parse_json(text)
            self.assertIn("malformed JSON", caught.exception.message)
        with self.assertRaisesRegex(errors.ValidationError, "'crew-1' occurs twice"):
            documents.parse_json(duplicate)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.recursive(
            strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(),
            lambda inner: (
                strategies.lists(inner, max_size=2)
                | strategies.dictionaries(
                    strategies.sampled_from([*_POLICY, "bkk", "service", "sections", "change_id"]),
                    inner,
                    max_size=3,
                )
            ),
        )
    )
    def test_any_json_gives_a_result_or_a_validation_error(self, data):
        """Guards against other exceptions on invalid input, which the handler does not catch."""
        for parse in (
            lambda document: documents.parse_policy(document, revision=1),
            documents.parse_change,
        ):
            try:
                parse(data)
            except errors.ValidationError as error:
                self.assertTrue(error.message)


class ChangeTest(unittest.TestCase):
    def setUp(self):
        self.policy = documents.parse_policy(_POLICY, revision=1)

    def test_difference_undoes_a_change(self):
        """Guards against a rollback that does not restore the old content.

        A rollback applies the difference from the current policy to the old one.
        """
        change = _change(
            servers={"crew-1": {**_SERVER, "state": "leaving"}}, shifts={"festival": None}
        )
        result = documents.apply_change(self.policy, change)
        self.assertEqual((result.revision, result.shifts), (2, {}))
        self.assertIs(result.blocks, self.policy.blocks)
        undo = documents.parse_sections(
            documents.dump_sections(documents.difference(result, self.policy))
        )
        self.assertEqual(documents.patch(result, undo, revision=1), self.policy)
        self.assertEqual(documents.difference(self.policy, result), change.sections)

    def test_invalid_results_are_rejected(self):
        """Guards against accepting a well-formed change whose result is inconsistent."""
        cases = [
            (_change(regions={"bkk": None}), "unknown region 'bkk'"),
            (_change(services={"crew-desk": None}), "unknown service 'crew-desk'"),
            (_change(servers={"crew-9": None}), "does not exist"),
            (_change(servers={"crew-2": _SERVER}), "of server 'crew-1'"),
            (_change(blocks={"11.0.0.0/8": {"region": "cnx"}}), "unknown region 'cnx'"),
        ]
        for change, message in cases:
            with self.subTest(message), self.assertRaisesRegex(errors.ValidationError, message):
                documents.apply_change(self.policy, change)
        with self.assertRaises(errors.ConflictError):
            documents.apply_change(self.policy, _change(base=2))

    def test_malformed_changes_are_rejected(self):
        """Guards against accepting an invalid change.

        Its base revision, id or author may be invalid, a cap below zero or a key unknown.
        """
        valid = documents.dump_change(_change(regions={"bkk": {"cap_rps": 1}}))
        self.assertEqual(documents.dump_change(documents.parse_change(valid)), valid)
        cases = {
            "base_revision": -1,
            "change_id": "a b",
            "author": "",
            "sections": {"regions": {"bkk": {"cap_rps": -1}}},
            "comment": "x",
        }
        for key, value in cases.items():
            with self.subTest(key=key), self.assertRaises(errors.ValidationError) as caught:
                documents.parse_change({**valid, key: value})
            self.assertIn(key if key != "sections" else "cap_rps", caught.exception.message)


class ConfigLogTest(unittest.TestCase):
    def setUp(self):
        checks = invariants.Invariants(mode=invariants.Mode.COUNT)
        self.checks = checks
        self.log = config_log.ConfigLog(invariants=checks, keep=2)

    def _append(self, base):
        region = {f"r{base}": {}}
        return self.log.append(_change(base=base, change_id=f"c{base}", regions=region))

    def test_only_changes_of_the_current_revision_are_applied(self):
        """Guards against a peer that misses a change or applies one twice."""
        self.assertEqual([self._append(base) for base in (0, 0, 2, 1, 2)], [1, 0, 0, 1, 1])
        self.assertEqual(self.log.revision, 3)
        self.assertEqual([change.revision for change in self.log.since(1)], [2, 3])
        self.assertEqual((self.log.since(0), self.log.since(3)), (None, []))
        self.assertEqual([self.log.find(f"c{base}") for base in range(3)], [None, 2, 3])

    def test_revision_never_decreases(self):
        """Guards against an older policy that replaces a newer one."""
        newer = documents.parse_policy(_POLICY, revision=7)
        self.assertTrue(self.log.install(newer, change_ids={"c6": 7}))
        self.assertFalse(self.log.install(documents.parse_policy({}, revision=6)))
        self.assertIs(self.log.policy, newer)
        self.assertEqual((self.log.find("c6"), self.log.since(5)), (7, None))
        self.assertEqual(self.checks.violations, {invariants.Rule.REVISION_NEVER_DECREASES: 1})


if __name__ == "__main__":
    unittest.main()

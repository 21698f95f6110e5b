"""Tests of the history checker: each rule finds its seeded violation, and valid histories pass."""

import contextlib
import dataclasses
import pathlib
import tempfile
import unittest

from click import testing as click_testing
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasway_standins import cap_rules, check, history

POLICY = {
    "services": {"crew-desk": {"idempotent": False}, "quote-archive": {"idempotent": True}},
    "servers": {
        "crew-1": {"service": "crew-desk", "region": "bkk", "slots": 1},
        "crew-2": {"service": "crew-desk", "region": "hkt", "slots": 2},
        "quote-1": {"service": "quote-archive", "region": "bkk", "slots": 3},
    },
    "regions": {"bkk": {"cap_rps": 4}, "hkt": {"cap_rps": None}},
    "links": {"bkk/hkt": {"cap_mbit_s": 8.0}},
    "shifts": {
        "move": {"service": "crew-desk", "source": "bkk", "target": "hkt", "cap_rps": 2},
    },
}


def exchange(
    request,
    *,
    at_s,
    server="crew-1",
    region="bkk",
    outcome=history.RAN,
    starts=1,
    length_s=0.1,
):
    """Returns the records of one request that its caller sent once.

    Args:
        request: ID of the request.
        at_s: Time of the attempt, s.
        server: Server that runs the request.
        region: Region of the caller.
        outcome: Outcome of the attempt and of the verdict.
        starts: Number of times that the server runs the request.
        length_s: Time from the attempt to the verdict, s.
    """
    records = [
        history.Intent(at_s=at_s, request=request, service="any", region=region),
        history.Attempt(
            at_s=at_s,
            request=request,
            number=1,
            instance="e1",
            ended_s=at_s + length_s,
            outcome=outcome,
        ),
        history.Verdict(
            at_s=at_s + length_s, request=request, outcome=outcome, status=200, attempts=1
        ),
    ]
    for number in range(starts):
        begin_s = at_s + (0.1 + 0.4 * number) * length_s
        records.append(
            history.Run(
                at_s=begin_s,
                ended_s=begin_s + 0.3 * length_s,
                request=request,
                server=server,
                key=f"k.{request}",
            )
        )
    return records


def changed(records, record_type, **changes):
    """Returns the records with the given fields of all records of one type replaced."""
    return [
        dataclasses.replace(record, **changes) if isinstance(record, record_type) else record
        for record in records
    ]


def without(records, record_type):
    """Returns the records without those of one type."""
    return [record for record in records if not isinstance(record, record_type)]


def revision(number, *, at_s):
    """Returns the record of a policy revision that instance e1 reports."""
    return history.RevisionSeen(at_s=at_s, instance="e1", incarnation="i1", revision=number)


CLEAN = [
    history.PolicyInForce(at_s=0.0, document=POLICY),
    *exchange("a", at_s=10.0),
    *exchange("b", at_s=10.2, server="quote-1", starts=2),
    *exchange("c", at_s=10.4, outcome=history.NOT_RUN, starts=0),
    history.LinkBytes(at_s=10.0, source="bkk", target="hkt", bytes=1_000_000),
    revision(1, at_s=9.0),
    revision(2, at_s=10.0),
    history.Leaving(at_s=8.0, server="crew-1"),
]

# Records that, added to CLEAN, violate exactly the rule that they are listed under.
SEEDED = {
    "at-most-once": exchange("x", at_s=10.6, server="crew-2", starts=2),
    "not-run-is-true": exchange("x", at_s=10.6, server="crew-2", outcome=history.NOT_RUN),
    "whole-and-own": changed(
        exchange("x", at_s=10.6, server="crew-2"), history.Verdict, whole=False
    ),
    "none-lost": without(exchange("x", at_s=10.6, server="crew-2"), history.Verdict),
    "region-cap": [
        record
        for number in range(3)
        for record in exchange(f"x{number}", at_s=10.6, server="quote-1")
    ],
    "shift-cap": [
        record
        for number in range(3)
        for record in exchange(f"x{number}", at_s=10.6 + 0.2 * number, server="crew-2")
    ],
    "link-cap": [history.LinkBytes(at_s=10.9, source="bkk", target="hkt", bytes=1_000)],
    "slots": [
        record
        for number in range(3)
        for record in exchange(f"x{number}", at_s=10.6, server="crew-2", region="hkt")
    ],
    "no-work-after-leaving": exchange("x", at_s=11.2),
    "revisions-in-order": [revision(1, at_s=10.1)],
    "invariants": [history.InvariantBroken(at_s=1.0, instance="e1/i1", rule="slots", detail="")],
}


class SeededViolationTest(unittest.TestCase):
    """Guards against a rule that no longer detects the violation that it is for."""

    def test_clean_history_passes(self):
        """Guards against false alarms, for example when an idempotent request runs twice."""
        self.assertEqual(check.check(CLEAN), [])

    def test_every_rule_has_a_seeded_violation(self):
        """Guards against a new rule without a history that shows that it detects a violation."""
        self.assertEqual(set(SEEDED), set(check.RULES))

    def test_each_rule_finds_exactly_its_violation(self):
        """Guards against rules that miss their violation or report that of another rule."""
        for name, records in SEEDED.items():
            with self.subTest(rule=name):
                found = check.check([*CLEAN, *records])
                self.assertEqual({violation.rule for violation in found}, {name})

    def test_response_of_another_request_is_found(self):
        """Guards against missing a response that is complete but belongs to another request."""
        records = changed(exchange("x", at_s=20.0, server="crew-2"), history.Verdict, own=False)
        self.assertEqual(
            [violation.rule for violation in check.check([*CLEAN, *records])], ["whole-and-own"]
        )

    def test_late_run_after_not_run_is_found(self):
        """Guards against missing a run that starts after its caller received "not run"."""
        records = exchange("x", at_s=20.0, server="crew-2", outcome=history.NOT_RUN)
        found = check.check([*CLEAN, *changed(records, history.Run, at_s=25.0, ended_s=25.1)])
        self.assertEqual([violation.rule for violation in found], ["not-run-is-true"])

    def test_key_shared_by_two_requests_is_found(self):
        """Guards against missing a ticket that is used as the key of two requests."""
        records = [
            *exchange("x", at_s=20.0, server="crew-2"),
            *exchange("y", at_s=21.0, server="crew-2"),
        ]
        found = check.check([*CLEAN, *changed(records, history.Run, key="same")])
        self.assertIn("at-most-once", {violation.rule for violation in found})

    def test_lowered_cap_counts_only_after_it_settled(self):
        """Guards against false alarms in windows where the previous, higher cap still applies."""
        lower = POLICY | {"regions": {"bkk": {"cap_rps": 0}, "hkt": {"cap_rps": 0}}}
        policy = history.PolicyInForce(at_s=20.0, document=lower)
        early = exchange("x", at_s=22.0, server="quote-1")
        late = exchange("y", at_s=27.0, server="quote-1")
        self.assertEqual(check.check([*CLEAN, policy, *early]), [])
        found = check.check([*CLEAN, policy, *early, *late])
        self.assertEqual([violation.rule for violation in found], ["region-cap"])

    def test_window_leaves_out_an_event_one_second_earlier(self):
        """Guards against rounding errors that put eleven events, 0.1 s apart, into one window."""
        amounts = [(1000 + tenth / 10, 1.0) for tenth in range(1, 200)]
        self.assertEqual(max(total for _, total in cap_rules.window_sums(amounts)), 10.0)


class CommandTest(unittest.TestCase):
    """Guards against a command that reports success in spite of violations or misreads files."""

    def run_command(self, records):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            with contextlib.ExitStack() as stack:
                for index in range(2):
                    file = path / "records" / f"{index}.jsonl"
                    writer = stack.enter_context(history.Writer(path=file))
                    for record in records[index::2]:
                        writer.write(record)
            return click_testing.CliRunner().invoke(check.command, [directory])

    def test_exit_code_follows_the_violations(self):
        """Guards against exit code 0 for a history with violations, and 1 for one without."""
        self.assertEqual(self.run_command(CLEAN).exit_code, 0)
        result = self.run_command([*CLEAN, *SEEDED["slots"]])
        self.assertEqual(result.exit_code, 1)
        self.assertIn("slots: crew-2", result.output)

    def test_lines_of_other_programs_are_read(self):
        """Guards against ignoring or misreading records of servers and entry instances."""
        backend = (
            '{"server":"crew-1","service":"crew-desk","request_id":"e1/i1/7","key":"k","method":'
            '"POST","path":"/r/a?size=9","start_s":2.0,"end_s":2.5,"outcome":"ok","ran":true,'
            '"digest":"","source":"","in_use":0,"slots":1,"leaving_since_s":null}'
        )
        run = history.Run(at_s=2.0, ended_s=2.5, request="a", server="crew-1", key="k")
        self.assertEqual(history.decode(backend), run)
        entry = '{"t":1.0,"kind":"%s","instance":"e1/i1","revision":2}'
        self.assertEqual(history.decode(entry % "revision"), revision(2, at_s=1.0))
        self.assertIsNone(history.decode(entry % "answer"))

    def test_incomplete_last_line_is_skipped_and_damaged_line_is_rejected(self):
        """Guards against rejecting the file of a killed writer, and against accepting damage."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "a.jsonl"
            line = history.encode(revision(1, at_s=1.0))
            path.write_text(f"{line}\n{line[:20]}", encoding="utf-8")
            self.assertEqual(list(history.read([path])), [revision(1, at_s=1.0)])
            path.write_text(f"{line[:20]}\n{line}\n", encoding="utf-8")
            with self.assertRaises(history.HistoryError):
                list(history.read([path]))


@st.composite
def valid_histories(draw):
    """Draws histories of a correct system, in random order of records.

    One server with one slot runs the requests one after the other.
    """
    records = [history.PolicyInForce(at_s=0.0, document=POLICY)]
    at_s = 10.0
    for number in range(draw(st.integers(0, 20))):
        # At most four starts per second keep the region cap of 4. A run lasts 0.03 s, so it ends
        # before the next one starts in the only slot.
        at_s += draw(st.floats(0.26, 3.0))
        outcome = draw(st.sampled_from([history.RAN, history.NOT_RUN, history.UNKNOWN]))
        starts = {history.RAN: 1, history.NOT_RUN: 0, history.UNKNOWN: draw(st.integers(0, 1))}
        records += exchange(f"r{number}", at_s=at_s, outcome=outcome, starts=starts[outcome])
        records.append(revision(number // 3, at_s=at_s))
    return draw(st.permutations(records))


class ValidHistoryTest(unittest.TestCase):
    """Guards against rules that depend on the order of records in the files."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(valid_histories())
    def test_random_valid_histories_pass(self, records):
        """Guards against false alarms on histories that a correct system can produce."""
        self.assertEqual(check.check(records), [])

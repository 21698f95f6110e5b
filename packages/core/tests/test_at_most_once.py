"""Tests of tickets and of the registry of keys."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from sassafrasway_core import at_most_once, clock, errors, invariants, model

_ME = model.InstanceId(name="bkk-a-1", incarnation="0a1b")
_OTHER = model.InstanceId(name="bkk-a-1", incarnation="ffff")


class _Fixture:
    def __init__(self):
        self.clock = clock.ManualClock()
        self.invariants = invariants.Invariants(mode=invariants.Mode.RAISE)
        self.registry = at_most_once.KeyRegistry(
            me=_ME, clock=self.clock, invariants=self.invariants
        )
        self.rng = random.Random(1)

    def mint_key(self, holder=_ME):
        return str(at_most_once.Ticket.mint(holder=holder, clock=self.clock, rng=self.rng))


class TicketTest(unittest.TestCase):
    def test_parsing_a_formatted_ticket_gives_the_same_ticket(self):
        """Guards against a ticket that names another holder after formatting and parsing."""
        text = _Fixture().mint_key()
        ticket = at_most_once.Ticket.parse(text)
        self.assertEqual((str(ticket), ticket.holder), (text, _ME))

    def test_keys_chosen_by_callers_are_not_tickets(self):
        """Guards against parsing an idempotency key chosen by a caller as a ticket."""
        for key in ("", "order-17", "t1.a.b", "t1.a.b.1.xyz", "t2.a.b.1.0123456789abcdef"):
            self.assertIsNone(at_most_once.Ticket.parse(key))


class KeyRegistryTest(unittest.TestCase):
    def setUp(self):
        self.fixture = _Fixture()
        self.registry = self.fixture.registry

    def test_second_attempt_does_not_start_and_gets_the_recorded_outcome(self):
        """Guards against a second run when a caller sends the same key again."""
        key = self.fixture.mint_key()
        self.assertIs(self.registry.begin(key), at_most_once.BeginResult.START)
        self.assertIs(self.registry.begin(key), at_most_once.BeginResult.RUNNING)
        self.registry.mark_dispatched(key)
        self.registry.finish(key, "answer", not_run=False)
        self.assertIs(self.registry.begin(key), at_most_once.BeginResult.DONE)
        self.assertEqual(self.registry.record(key).outcome, "answer")

    def test_ticket_of_another_incarnation_is_refused(self):
        """Guards against a restarted instance running tickets of its previous incarnation.

        The new incarnation has no record of what the previous one has run.
        """
        with self.assertRaises(errors.ValidationError):
            self.registry.begin(self.fixture.mint_key(_OTHER))

    def test_expired_ticket_never_starts(self):
        """Guards against a late duplicate starting after the request was reported as not run."""
        key = self.fixture.mint_key()
        self.fixture.clock.advance(at_most_once.TICKET_START_S + 1.1)
        self.assertIs(self.registry.begin(key), at_most_once.BeginResult.EXPIRED)

    def test_very_old_ticket_is_not_reported_as_not_run(self):
        """Guards against reporting "not run" for a key whose record may have been deleted."""
        key = self.fixture.mint_key()
        self.fixture.clock.advance(at_most_once.RETENTION_S + 1)
        self.assertIs(self.registry.begin(key), at_most_once.BeginResult.FORGOTTEN)

    def test_not_run_after_a_dispatch_violates_an_invariant(self):
        """Guards against reporting "not run" while a dispatched request may still run."""
        key = self.fixture.mint_key()
        self.registry.begin(key)
        self.registry.mark_dispatched(key)
        with self.assertRaises(errors.InvariantViolation):
            self.registry.finish(key, "answer", not_run=True)

    def test_second_dispatch_violates_an_invariant(self):
        """Guards against a second dispatch while the outcome of the first is unknown."""
        key = self.fixture.mint_key()
        self.registry.begin(key)
        self.registry.mark_dispatched(key)
        with self.assertRaises(errors.InvariantViolation):
            self.registry.mark_dispatched(key)

    def test_refused_dispatch_may_be_reported_as_not_run(self):
        """Guards against an unknown outcome for a request that the server shed.

        Shedding is a definite refusal, so the outcome can be reported as not run.
        """
        key = self.fixture.mint_key()
        self.registry.begin(key)
        self.registry.mark_dispatched(key)
        self.registry.discard_dispatch(key)
        self.registry.finish(key, "shed", not_run=True)
        self.assertIs(self.registry.begin(key), at_most_once.BeginResult.DONE)


# Pairs of an operation and the index of its key or, for "advance", the seconds.
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), st.integers(0, 5)),
        st.tuples(st.just("finish"), st.integers(0, 5)),
        st.tuples(st.just("advance"), st.floats(0, 200)),
    ),
    max_size=40,
)


class DuplicateRequestsTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(steps=_STEPS)
    def test_every_key_starts_at_most_once(self, steps):
        """Guards against a second start with duplicate requests, delays and deleted records."""
        fixture = _Fixture()
        keys = [fixture.mint_key() for _ in range(6)]
        starts = dict.fromkeys(keys, 0)
        not_run = set()
        for step, argument in steps:
            if step == "advance":
                fixture.clock.advance(argument)
            elif step == "send":
                key = keys[argument]
                result = fixture.registry.begin(key)
                if result is at_most_once.BeginResult.START:
                    starts[key] += 1
                    fixture.registry.mark_dispatched(key)
                    self.assertNotIn(key, not_run)
                elif result is at_most_once.BeginResult.EXPIRED:
                    self.assertEqual(starts[key], 0)
                    not_run.add(key)
            else:
                record = fixture.registry.record(keys[argument])
                if record is not None and record.state is at_most_once.KeyState.DISPATCHED:
                    fixture.registry.finish(keys[argument], "done", not_run=False)
        self.assertLessEqual(max(starts.values()), 1)


if __name__ == "__main__":
    unittest.main()

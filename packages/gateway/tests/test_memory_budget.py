"""Tests of the bound on the memory of buffered messages."""

import unittest

import hypothesis
from hypothesis import strategies

from sassafrasway_gateway import memory_budget


class MemoryBudgetTest(unittest.TestCase):
    """Guards against a process that is killed for its memory, and against ending the wrong one."""

    def setUp(self):
        self.budget = memory_budget.MemoryBudget(capacity_bytes=100)
        self.ended = []

    def reserve(self, name, size, *, open_ended=False, endable=True):
        reservation = self.budget.reserve((lambda: self.ended.append(name)) if endable else None)
        reservation.open_ended = open_ended
        reservation.resize(size)
        return reservation

    def test_largest_message_is_ended_first(self):
        held = [self.reserve("small", 10), self.reserve("large", 60), self.reserve("new", 40)]
        self.assertEqual(self.ended, ["large"])
        self.assertEqual([reservation.size for reservation in held], [10, 0, 40])

    def test_message_of_unstated_size_is_ended_before_a_larger_one(self):
        held = [self.reserve("real", 70), self.reserve("endless", 40, open_ended=True)]
        self.assertEqual(self.ended, ["endless"])
        self.assertEqual(held[0].size, 70)

    def test_stalled_message_is_ended_before_a_larger_one(self):
        held = [self.reserve("stalled", 30), self.reserve("large", 60)]
        held[0].stalled = True
        held.append(self.reserve("new", 20))
        self.assertEqual(self.ended, ["stalled"])

    def test_memory_is_taken_from_stalled_messages_only(self):
        held = [self.reserve(name, 30) for name in ("a", "b", "reading")]
        held[0].stalled = held[1].stalled = True
        self.assertEqual(self.budget.end_stalled(20), 30)
        self.assertEqual(self.budget.end_stalled(90), 30)
        self.assertEqual((sorted(self.ended), self.budget.used), (["a", "b"], 30))

    def test_running_request_is_not_ended(self):
        held = [self.reserve("running", 90, endable=False), self.reserve("new", 20)]
        self.assertEqual(self.ended, ["new"])
        self.assertEqual(held[0].size, 90)

    def test_collected_message_gives_its_memory_back(self):
        reservation = self.reserve("a", 80)
        del reservation
        self.assertEqual(self.budget.used, 0)
        self.reserve("b", 80)
        self.assertEqual(self.ended, [])

    def test_message_is_ended_once(self):
        held = self.reserve("a", 200)
        held.resize(300)
        self.assertEqual(self.ended, ["a"])

    def test_capacity_follows_the_memory_of_the_process(self):
        capacity = memory_budget.MemoryBudget.for_process(152_000_000).capacity
        self.assertEqual(capacity, 19_000_000)
        self.assertEqual(
            memory_budget.MemoryBudget.for_process(1).capacity, memory_budget.MIN_CAPACITY_BYTES
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5), strategies.integers(0, 150), strategies.booleans()
            ),
            max_size=40,
        )
    )
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    def test_endable_messages_never_hold_more_than_the_capacity(self, steps):
        budget = memory_budget.MemoryBudget(capacity_bytes=100)
        held = {}
        for number, size, open_ended in steps:
            reservation = held.get(number)
            if reservation is None or reservation.on_exceeded is None:
                reservation = held[number] = budget.reserve(lambda: None)
            reservation.open_ended = open_ended
            reservation.resize(size)
            self.assertLessEqual(budget.used, 100)
            self.assertEqual(budget.used, sum(entry.size for entry in held.values()))

"""Property test of configuration tasks under random faults and concurrent changes."""

import asyncio
import unittest

import config_fakes as fakes
import hypothesis
import structlog
from hypothesis import strategies

from sassafrasway_core import errors
from sassafrasway_platform import memory

_INSTANCES = 3
_ACTIONS = ("apply", "apply_at_once", "retry", "lose", "crash_store", "down", "cut", "refresh")


class _Run:
    """Executes actions and records which results the operators got for their changes."""

    def __init__(self):
        self.rows = memory.MemoryTable()
        network = {}
        self.instances = [
            fakes.Instance(network, self.rows, f"e{index}") for index in range(_INSTANCES)
        ]
        self.accepted = {}
        self.refused = set()
        self.unknown = []
        self._change_count = 0

    async def act(self, action, index):
        """Executes an action at an instance and waits until its pushes have ended.

        "apply_at_once" sends changes to two instances concurrently; "retry" repeats a change with
        an unknown result. "lose" drops the response of the next write; "crash_store" does so and
        then makes the table unavailable. "down" and "cut" start or end an outage of the table and
        a partition from the peers.
        """
        instance = self.instances[index]
        faults = instance.table.faults
        if action == "apply":
            await self._apply(instance, self._change(instance))
        elif action == "apply_at_once":
            other = self.instances[(index + 1) % _INSTANCES]
            changes = [self._change(instance), self._change(other)]
            await asyncio.gather(self._apply(instance, changes[0]), self._apply(other, changes[1]))
        elif action == "retry" and self.unknown:
            await self._apply(instance, self.unknown.pop())
        elif action == "lose":
            faults.lost_answers += 1
        elif action == "crash_store":
            faults.down_after_write = True
        elif action == "down":
            faults.down = not faults.down
        elif action == "cut":
            instance.cut = not instance.cut
        elif action == "refresh":
            await instance.config.refresh()
        await asyncio.gather(*(other.config.wait_for_pushes() for other in self.instances))

    async def heal(self):
        """Ends all faults and lets every instance read the table."""
        for instance in self.instances:
            instance.table.faults = memory.Faults()
            instance.cut = False
        for instance in self.instances:
            await instance.config.refresh()

    def _change(self, instance):
        self._change_count += 1
        region = {f"r{self._change_count}": {}}
        return fakes.change(instance.config.revision, f"c{self._change_count}", regions=region)

    async def _apply(self, instance, change):
        try:
            applied = await instance.config.apply(change)
        except errors.ConflictError:
            self.refused.add(change.change_id)
        except errors.UnavailableError:
            self.unknown.append(change)
        else:
            self.accepted[change.change_id] = applied.revision


class ConfigFaultsTest(unittest.TestCase):
    """Applies changes during lost responses, table outages and partitions between instances.

    Changes reported as accepted must be in the history, refused ones must not be, and in the end
    all instances must have the same policy.
    """

    def setUp(self):
        # Level 50 (critical) suppresses the log lines about injected faults.
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        self.addCleanup(structlog.reset_defaults)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_ACTIONS), strategies.integers(0, _INSTANCES - 1)
            ),
            max_size=25,
        )
    )
    def test_what_operators_are_told_is_true(self, actions):
        """Guards against changes that are lost, applied twice, or reverted under faults."""
        asyncio.run(self._check(actions))

    async def _check(self, actions):
        run = _Run()
        for action, index in actions:
            await run.act(action, index)
        await run.heal()
        reference = run.instances[0].config
        records = await reference.records(limit=1000) if reference.revision else []
        recorded = {record.change.change_id: record.change.revision for record in records}
        self.assertEqual(len(recorded), len(records))
        self.assertLessEqual(run.accepted.items(), recorded.items())
        self.assertFalse(run.refused & recorded.keys())
        for instance in run.instances:
            self.assertEqual(instance.config.policy, reference.policy)
            self.assertEqual(instance.revisions, sorted(set(instance.revisions)))
        self.assertEqual(len(reference.policy.regions), len(records))


if __name__ == "__main__":
    unittest.main()

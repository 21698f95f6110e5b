"""Long random runs of pool ownership under random combinations of faults."""

import random
import unittest

import ownership_sim
import random_runs

NAMES = ("p", "q", "r")
TABLE_MODES = ("ok", "down", "lost", "delayed")
STEPS = (1, 3, 8, 15, 25, 35, 50)


class _RandomRun:
    """One random run; ``World.check`` raises when two instances may use the same slots."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._world = ownership_sim.World(NAMES)

    def run(self):
        """Runs faults and the recovery; returns the number of pools.

        Fails if a pool has no full owner again after all faults have ended.
        """
        self._world.step(self._rng.choice((5, 40)))
        faults = (self._impair_links, self._kill, self._pause, self._fail_table, self._leave)
        for _ in range(self._rng.randint(3, 14)):
            self._rng.choices(faults, (50, 15, 15, 5, 5))[0]()
            self._recover_some()
            self._world.step(self._rng.choice(STEPS))
        self._recover_all()
        owners = self._world.full_owners()
        if len(owners) < len(ownership_sim.POOLS):
            raise AssertionError(f"only these pools have a full owner after recovery: {owners}")
        return len(owners)

    def _impair_links(self):
        pairs = ((source, to) for source in NAMES for to in NAMES if source != to)
        modes = ("ok", "cut", "hold")
        self._world.links = {pair: self._rng.choices(modes, (5, 3, 2))[0] for pair in pairs}
        for process in self._world.live.values():
            process.table_mode = self._rng.choices(TABLE_MODES, (5, 3, 1, 1))[0]

    def _kill(self):
        name = self._rng.choice(NAMES)
        if name in self._world.live:
            self._world.kill(name)

    def _pause(self):
        for process in self._world.live.values():
            process.paused = self._rng.random() < 0.35

    def _fail_table(self):
        mode = self._rng.choice(TABLE_MODES)
        for process in self._world.live.values():
            process.table_mode = mode

    def _leave(self):
        name = self._rng.choice(NAMES)
        if name in self._world.live:
            ownership_sim.leave(self._world.live[name])

    def _recover_some(self):
        for name in NAMES:
            if name not in self._world.live and self._rng.random() < 0.7:
                self._world.start(name)
        if self._rng.random() < 0.3:
            self._world.release_held()
        if self._rng.random() < 0.3:
            self._world.table.release()
        self._world.list_lag_steps = self._rng.choice((0, 0, 50))

    def _recover_all(self):
        self._world.links = {}
        for name in NAMES:
            if name not in self._world.live:
                self._world.start(name)
        for process in self._world.live.values():
            process.paused = False
            process.table_mode = "ok"
        self._world.table.release()
        self._world.release_held()
        self._world.step(120)


class OwnershipSoakTest(unittest.TestCase):
    def test_slots_are_never_used_twice_and_are_all_used_again_later(self):
        """Guards against slots used twice or left unusable after a long sequence of faults."""
        total = random_runs.repeat(lambda seed: _RandomRun(seed).run())
        self.assertGreater(total, 0)


if __name__ == "__main__":
    unittest.main()

"""Simulates how instances take over the reading of the store after most of a region is lost."""

import dataclasses
import random
import statistics
import unittest
from unittest import mock

import test_fleet

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import fleet, relay_role

TABLE = "op"
STEP_S = 0.02
# Time from the begin of a call until the others hear of its success: a new connection to the store
# of another region, the interval of the announcer, and the announcement.
CALL_S = 0.1
ANNOUNCE_S = 0.07
# Least time in which a new policy must be in force at any of the users' deployments.
POLICY_BOUND_S = 2.0
# Time left of it for fetching the rows.
FETCH_S = 0.3


@dataclasses.dataclass
class Survivor:
    """An instance that was not lost.

    Attributes:
        informed_s: Time at which it read the store or heard of an instance that did, s.
    """

    role: relay_role.RelayRole
    call_ends_s: float | None = None
    reading: bool = False
    announced_s: float = float("-inf")
    informed_s: float | None = None
    calls: int = 0

    @property
    def name(self):
        return self.role._view.own.name


class Region:
    """Instances of a region, of which most are lost at the same time or in waves."""

    def __init__(self, size, rng):
        self.rng = rng
        self.names = [f"i{index}" for index in range(size)]
        self.now_s = 100.0
        self.survivors = []
        self.most_calls = 0

    def ranked(self):
        """Returns the names in the order of their ranks."""
        return sorted(self.names, key=relay_role.RelayRole._score)

    def lose_all_but(self, survivors, now):
        """Loses the other instances; the last announcement of a reader was just before."""
        now.return_value = self.now_s
        if not self.survivors:
            members = [test_fleet.make_member(name) for name in self.names]
            for name in survivors:
                view = fleet.FleetView(
                    clock=clock_lib.ManualClock(),
                    own=test_fleet.make_member(name),
                    rng=random.Random(name),
                )
                for member in members:
                    view.on_message(member)
                role = relay_role.RelayRole(view=view, rng=random.Random(name))
                role.on_beacon("reader", "reader", "north", {TABLE: 1})
                self.survivors.append(Survivor(role=role))
        self.survivors = [one for one in self.survivors if one.name in survivors]
        for one in self.survivors:
            one.informed_s = self.now_s if one.reading else None

    def run(self, seconds, now):
        """Advances the simulation; ``now`` is the patched clock."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            now.return_value = self.now_s
            for one in self.survivors:
                self._step(one)
            calling = sum(one.call_ends_s is not None for one in self.survivors)
            self.most_calls = max(self.most_calls, calling)
            self.now_s += STEP_S

    def _step(self, one):
        if one.call_ends_s is not None and self.now_s >= one.call_ends_s:
            one.call_ends_s = None
            one.reading = True
            one.informed_s = one.informed_s or self.now_s
            # The announcer sends it with a delay.
            one.announced_s = self.now_s + ANNOUNCE_S - relay_role.BEACON_INTERVAL_S
        if one.call_ends_s is None:
            reads = one.role.is_reader(TABLE, reading=one.reading)
            one.reading = one.reading and reads
            if reads and not one.reading:
                one.call_ends_s = self.now_s + CALL_S
                one.calls += 1
        if one.reading and self.now_s >= one.announced_s + relay_role.BEACON_INTERVAL_S:
            one.announced_s = self.now_s
            for other in self.survivors:
                if other is not one:
                    other.role.on_beacon(one.name, one.name, "north", {TABLE: 2})
                    other.informed_s = other.informed_s or self.now_s


class TakeoverTest(unittest.TestCase):
    """Guards against instances that follow nothing until the lost ones are found dead.

    Review case 5: an instance below rank 8 routed by an old policy for 4.8 to 5.6 s after the loss
    of 18 of 20 instances, as the ranking counted lost instances that were not detected yet.
    """

    def setUp(self):
        patched = mock.patch.object(relay_role.clock_lib, "elapsed_s", return_value=100.0)
        self.now = patched.start()
        self.addCleanup(patched.stop)

    def check(self, region, lost_s, label):
        region.run(POLICY_BOUND_S - FETCH_S, self.now)
        for one in region.survivors:
            self.assertIsNotNone(one.informed_s, f"{label}: {one.name} follows nothing")
            self.assertLessEqual(one.informed_s - lost_s, POLICY_BOUND_S - FETCH_S, label)

    def test_survivors_follow_the_store_in_time_whichever_they_are(self):
        # The regions of fleets of 9, 20, 195 and 2,000 instances.
        rng = random.Random(26)
        for members, regions in ((9, 1), (20, 1), (195, 3), (2000, 30)):
            size = -(-members // regions)
            most_calls = []
            for seed in range(12):
                region = Region(size, rng)
                count = rng.choice([1, 2, 3, size // 4, size // 2, size - 2])
                survivors = set(rng.sample(region.names, max(1, count)))
                with self.subTest(members=members, seed=seed, survivors=len(survivors)):
                    region.lose_all_but(survivors, self.now)
                    self.check(region, region.now_s, f"{len(survivors)} of {size}")
                most_calls.append(region.most_calls)
            # The store must bear the calls of all regions at once.
            self.assertLessEqual(statistics.mean(most_calls), 8, f"{members} members")

    def test_survivors_of_the_last_ranks_follow_the_store_in_time(self):
        for size, count in ((9, 2), (20, 1), (20, 2), (65, 2), (65, 32), (67, 10)):
            with self.subTest(size=size, count=count):
                region = Region(size, random.Random(1))
                region.lose_all_but(set(region.ranked()[-count:]), self.now)
                self.check(region, region.now_s, f"last {count} of {size}")
                # At worst, the whole region reads the store once.
                self.assertLessEqual(max(one.calls for one in region.survivors), 2)

    def test_losses_in_waves_delay_only_until_the_last_one(self):
        # 30 instances, half of them lost, and 1.5 s later all but two of the rest.
        rng = random.Random(30)
        for seed in range(25):
            with self.subTest(seed=seed):
                region = Region(30, rng)
                region.lose_all_but(set(rng.sample(region.names, 15)), self.now)
                region.run(1.5, self.now)
                names = [one.name for one in region.survivors]
                region.lose_all_but(set(rng.sample(names, 2)), self.now)
                self.check(region, region.now_s, "after the second wave")

    def test_only_few_instances_keep_reading_after_a_takeover(self):
        region = Region(65, random.Random(1))
        region.lose_all_but(set(region.ranked()[2:]), self.now)
        region.run(6.0, self.now)
        self.assertEqual(sum(one.reading for one in region.survivors), 1)
        self.assertLessEqual(sum(one.calls for one in region.survivors), 6)

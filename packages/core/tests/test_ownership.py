"""Tests of pool ownership under random combinations of faults and under single faults."""

import collections
import contextlib
import unittest
from unittest import mock

import hypothesis
import ownership_sim
from hypothesis import stateful
from hypothesis import strategies as st

from sassafrasway_core import holdings, invariants, membership, ownership, region, share

NAMES = ("p", "q", "r")
names = st.sampled_from(NAMES)


# Hypothesis derives the seed of the runs from the source of this class, docstrings included.
class RegionMachine(stateful.RuleBasedStateMachine):
    """Random combinations of faults; ``World.check`` runs after each run of a process."""

    world_type = ownership_sim.World

    def __init__(self):
        super().__init__()
        self.world = self.world_type(NAMES)
        self.world.step(40)

    @stateful.rule(count=st.integers(min_value=1, max_value=40))
    def step(self, count):
        self.world.step(count)

    @stateful.rule(name=names)
    def kill_or_start(self, name):
        if name in self.world.live:
            self.world.kill(name)
        else:
            self.world.start(name)

    @stateful.rule(name=names)
    def restart(self, name):
        if name in self.world.live:
            self.world.kill(name)
        self.world.start(name)

    @stateful.rule(name=names, paused=st.booleans())
    def pause_or_wake(self, name, paused):
        if name in self.world.live:
            self.world.live[name].paused = paused

    @stateful.rule(source=names, to=names, mode=st.sampled_from(("cut", "hold")))
    def impair_link(self, source, to, mode):
        if source != to:
            self.world.links[source, to] = mode

    @stateful.rule(name=names)
    def isolate(self, name):
        for other in NAMES:
            if other != name:
                self.world.links[name, other] = self.world.links[other, name] = "cut"

    @stateful.rule()
    def heal_links(self):
        self.world.links = {}
        self.world.release_held()

    @stateful.rule(name=names, mode=st.sampled_from(("ok", "down", "lost", "delayed")))
    def change_table(self, name, mode):
        if name in self.world.live:
            self.world.live[name].table_mode = mode

    @stateful.rule(mode=st.sampled_from(("ok", "down", "lost", "delayed")))
    def change_table_for_all(self, mode):
        for process in self.world.live.values():
            process.table_mode = mode

    @stateful.rule()
    def release_delayed_writes(self):
        self.world.table.release()

    @stateful.rule(steps=st.integers(min_value=0, max_value=50))
    def delay_list(self, steps):
        self.world.list_lag_steps = steps

    @stateful.rule(name=names)
    def leave(self, name):
        if name in self.world.live:
            ownership_sim.leave(self.world.live[name])


RegionMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None, database=None
)
# Generates examples until one fails, without shrinking it.
UNTIL_FOUND = hypothesis.settings(
    RegionMachine.TestCase.settings,
    max_examples=300,
    phases=(hypothesis.Phase.generate,),
    report_multiple_bugs=False,
)


class RegionSafetyTest(RegionMachine.TestCase):
    """Guards against two instances that may use the same slots under combined faults."""


class _SilentIsGone(membership.MemberTable):
    """Faulty rule: regards a silent instance as gone."""

    def state(self, instance):
        state = super().state(instance)
        if state is membership.State.SILENT:
            self._mark_gone(instance)
        return state


class _OfflineThirdDropped(holdings.Holdings):
    """Faulty rule: frees the offline third of a holder when its grant of the main part expires."""

    def assigned_to(self, member):
        pools = super().assigned_to(member)
        for pool in pools.values():
            if self._clock.monotonic() >= pool.main_until_s:
                pool.possible_offline_holders.clear()
        return pools


class CheckerTest(unittest.TestCase):
    """Shows that ``World.check`` finds the violations that faulty rules cause."""

    def _assert_found(self, **world_attributes):
        """Asserts that random runs of a world with these attributes replaced find a violation."""
        world_type = type("WrongWorld", (ownership_sim.World,), world_attributes)
        # Hypothesis derives the seed of the runs from the name of this class.
        machine = type("WrongMachine", (RegionMachine,), {"world_type": world_type})
        with self.assertRaises(AssertionError):
            stateful.run_state_machine_as_test(machine, settings=UNTIL_FOUND)

    def test_silent_regarded_as_gone_is_found(self):
        """Guards against a checker that misses the reassignment of a paused holder's pool."""
        self._assert_found(member_table=_SilentIsGone)

    def test_dropped_offline_third_is_found(self):
        """Guards against a checker that misses the offline third of the previous holder."""
        with mock.patch.object(holdings, "Holdings", _OfflineThirdDropped):
            self._assert_found()


class RegionTest(unittest.TestCase):
    def setUp(self):
        self.world = ownership_sim.World(NAMES)
        self.world.step(60)
        self.owners = self.world.full_owners()

    def _coordinator_name(self):
        return next(
            name
            for name, process in self.world.live.items()
            if process.coordinator is not None and not process.coordinator.deposed
        )

    def _member_name(self):
        return next(name for name in NAMES if name != self._coordinator_name())

    def _table_down(self):
        for process in self.world.live.values():
            process.table_mode = "down"

    def test_region_recovers_after_lost_candidate_writes(self):
        """Guards against a region that stays without a coordinator for good.

        Soak seeds 77887077, 546306236 and 792752127: the candidate writes of all instances were
        lost with an unknown result, and each waited for the row to change.
        """
        self.world.kill(self._coordinator_name())
        with contextlib.ExitStack() as lost:
            for process in self.world.live.values():
                lost.enter_context(mock.patch.object(process, "_write", lambda command: "unknown"))
            self.world.step(100)
            pending = [process.member._pending for process in self.world.live.values()]
            self.assertNotIn(None, pending)
        self.world.step(120)
        self.assertEqual(len(self.world.full_owners()), len(ownership_sim.POOLS))

    def test_lost_result_of_a_candidate_write_is_found_by_reading(self):
        """Guards against a coordinator that takes its own first write for that of another one."""
        for process in self.world.live.values():
            process.table_mode = "lost"
        self.world.kill(self._coordinator_name())
        self.world.step(100)
        for process in self.world.live.values():
            process.table_mode = "ok"
        self.world.step(120)
        self.assertEqual(len(self.world.full_owners()), len(ownership_sim.POOLS))

    def test_pools_are_spread_evenly(self):
        """Guards against the instance that starts first keeping all pools."""
        counts = collections.Counter(self.owners.values())
        self.assertEqual(len(self.owners), len(ownership_sim.POOLS))
        self.assertEqual(sorted(counts[name] for name in NAMES), [1, 1, 2])

    def test_table_down_keeps_full_shares(self):
        """Guards against unusable slots while the table is down and all members answer."""
        self._table_down()
        for _ in range(600):
            self.world.step()
            self.assertEqual(self.world.full_owners(), self.owners)

    def test_pools_of_killed_member_move_while_table_is_down(self):
        """Guards against unusable slots after an instance crashed while the table is down."""
        self._table_down()
        self.world.step(50)
        self.world.kill(self._member_name())
        self.world.step(30)
        for _ in range(100):
            self.world.step()
            self.assertEqual(len(self.world.full_owners()), len(ownership_sim.POOLS))

    def test_resumed_member_restores_authority_while_table_is_down(self):
        """Guards against authority that stays lost after a paused member's promise has expired.

        While the table is down, the promises of all members are needed; when the paused member
        continues, its promises must give the coordinator authority again.
        """
        self._table_down()
        self.world.step(50)
        self.world.live[self._member_name()].paused = True
        self.world.step(100)
        self.assertEqual(self.world.full_owners(), {})
        self.world.live[self._member_name()].paused = False
        self.world.step(50)
        self.assertEqual(len(self.world.full_owners()), len(ownership_sim.POOLS))

    def test_instance_joins_while_table_is_down(self):
        """Guards against an instance that cannot join until the table answers again."""
        self._table_down()
        self.world.start("s")
        joining = self.world.live["s"]
        joining.table_mode = "down"
        followed = self.world.live[self._coordinator_name()]
        joining.member.on_follow(epoch=followed.grants.epoch, coordinator=followed.me)
        self.world.step(50)
        self.assertTrue(joining.member.in_contact)
        for process in self.world.live.values():
            process.table_mode = "ok"
        self.world.step(50)
        counts = collections.Counter(self.world.full_owners().values())
        self.assertEqual(sorted(counts.values()), [1, 1, 1, 1])

    def test_only_main_part_of_paused_holder_moves(self):
        """Guards against a paused holder's main part staying unused or its offline third reused."""
        name = self._member_name()
        pools = [pool for pool, owner in self.owners.items() if owner == name]
        self.world.live[name].paused = True
        self.world.step(25)
        for pool in pools:
            self.assertIn(share.Share.REDUCED, self.world.shares(pool).values())
        self.world.live[name].paused = False
        self.world.step(30)
        self.assertEqual(len(self.world.full_owners()), len(ownership_sim.POOLS))

    def test_paused_coordinator_is_replaced_and_keeps_offline_thirds(self):
        """Guards against promises that keep an unresponsive coordinator's authority in force."""
        coordinator_name = self._coordinator_name()
        self.world.live[coordinator_name].paused = True
        self.world.step(80)
        for pool, owner in self.owners.items():
            expected = [share.Share.FULL]
            if owner == coordinator_name:
                expected = [share.Share.OFFLINE, share.Share.REDUCED]
            shares = {*self.world.shares(pool).values()} - {share.Share.NONE}
            self.assertCountEqual(shares, expected)
        self.world.live[coordinator_name].paused = False
        self.world.step(30)
        self.assertEqual(len(self.world.full_owners()), len(ownership_sim.POOLS))

    def test_pools_of_killed_holder_move_before_its_grants_expire(self):
        """Guards against waiting for the expiry of grants of an instance that is known to be gone.

        The port of the killed instance refuses connections, which proves that it is gone.
        """
        self.world.kill(self._member_name())
        self.world.step(15)
        self.assertEqual(len(self.world.full_owners()), len(ownership_sim.POOLS))

    def test_killed_coordinator_moves_nothing_else(self):
        """Guards against pools that move or become unusable because the coordinator changed."""
        coordinator_name = self._coordinator_name()
        kept = {pool: name for pool, name in self.owners.items() if name != coordinator_name}
        self.world.kill(coordinator_name)
        for _ in range(100):
            self.world.step()
            self.assertLessEqual(kept.items(), self.world.full_owners().items())
        self.assertEqual(len(self.world.full_owners()), len(ownership_sim.POOLS))

    def test_pools_of_killed_coordinator_move_before_its_grants_expire(self):
        """Guards against a new coordinator that waits for earlier grants to expire without need.

        It need not wait when only recorded members can hold grants and all of them have reported.
        """
        self.world.kill(self._coordinator_name())
        self.world.step(15)
        self.assertEqual(len(self.world.full_owners()), len(ownership_sim.POOLS))

    def test_leaving_hands_over_within_a_step(self):
        """Guards against a pool without a full owner while an instance stops gracefully."""
        name = self._member_name()
        ownership_sim.leave(self.world.live[name])
        missing_owners = 0
        for _ in range(30):
            self.world.step()
            missing_owners += len(ownership_sim.POOLS) - len(self.world.full_owners())
        self.assertEqual(missing_owners, 0)
        self.assertNotIn(name, self.world.full_owners().values())

    def test_pools_wait_for_the_share_of_the_cap(self):
        """Guards against pools assigned to a new instance before it has a share of the cap.

        Without a share of the region's cap, it would refuse all requests of the pool.
        """
        name = self._member_name()
        self.world.kill(name)
        self.world.step(30)
        self.world.start(name)
        steps_without_share = 0
        for _ in range(100):
            self.world.step()
            amount = self.world.live[name].grants.caps.amount(ownership_sim.CAP)
            if name in self.world.full_owners().values() and amount == 0.0:
                steps_without_share += 1
        self.assertEqual(steps_without_share, 0)
        self.assertIn(name, self.world.full_owners().values())

    def test_whole_cap_is_shared_again_after_coordinator_is_killed(self):
        """Guards against shares that add up to less than the cap although all of it is demanded."""
        self.world.kill(self._coordinator_name())
        self.world.step(80)
        amounts = [
            process.grants.caps.amount(ownership_sim.CAP) for process in self.world.live.values()
        ]
        self.assertAlmostEqual(sum(amounts), ownership_sim.CAP_LIMIT, delta=0.1)


class GrantStateTest(unittest.TestCase):
    def test_lower_epoch_is_ignored(self):
        """Guards against grants of a coordinator that was replaced."""
        grants = ownership.GrantState(
            clock=ownership_sim.clock_lib.ManualClock(),
            invariants=invariants.Invariants(mode=invariants.Mode.RAISE),
        )
        old, new = (
            region.Instance(name=name, incarnation="1", rpc_address=name) for name in ("o", "n")
        )
        pool = ownership_sim.POOLS[0]
        grants.follow(epoch=2, coordinator=new)
        reply = region.HeartbeatReply(
            epoch=1,
            coordinator=old,
            accepted=True,
            seq=9,
            stamp_s=0.0,
            grants=(region.PoolGrant(pool=pool, share=share.Share.FULL),),
        )
        self.assertFalse(grants.apply(reply, sent_s=1000.0))
        self.assertEqual((grants.epoch, grants.share(pool)), (2, share.Share.NONE))

    def test_grant_ends_before_the_coordinator_gives_it_to_another_member(self):
        """Guards against slots used twice because two clocks round or run differently.

        Soak seed 127073849: a member used the main part of a pool in the very moment in which the
        coordinator had granted it to another one.
        """
        clock = ownership_sim.clock_lib.ManualClock()
        grants = ownership.GrantState(
            clock=clock, invariants=invariants.Invariants(mode=invariants.Mode.RAISE)
        )
        pool = ownership_sim.POOLS[0]
        reply = region.HeartbeatReply(
            epoch=1,
            coordinator=region.Instance(name="o", incarnation="1", rpc_address="o"),
            accepted=True,
            seq=1,
            stamp_s=0.0,
            grants=(region.PoolGrant(pool=pool, share=share.Share.FULL),),
        )
        self.assertTrue(grants.apply(reply, sent_s=clock.monotonic()))
        clock.advance(region.GRANT_S - 2 * region.GRANT_MARGIN_S)
        self.assertIs(grants.share(pool), share.Share.FULL)
        clock.advance(region.GRANT_MARGIN_S * 1.5)
        self.assertIs(grants.share(pool), share.Share.OFFLINE)


if __name__ == "__main__":
    unittest.main()

"""Scenarios in which the slot limit of a server depends on one or more rules of pool ownership.

Each scenario must pass with the real rules. With one of its rules replaced by a faulty one, two
instances may use the same slots, and the checker of the simulation must find this violation.
"""

import dataclasses
import math
import unittest
from unittest import mock

import ownership_sim

from sassafrasway_core import authority, coordinator, member, membership, region, share

NAMES = ("p", "q", "r")


class _Simulation:
    """The simulated region of three instances that a scenario starts from.

    ``coordinator`` is the name of the first coordinator; ``a`` and ``b`` name the other members.
    """

    def __init__(self):
        self.world = ownership_sim.World(NAMES)
        self.world.step(60)
        self.live = self.world.live
        self.coordinator = next(name for name in NAMES if self.live[name].coordinator is not None)
        self.a, self.b = (name for name in NAMES if name != self.coordinator)

    def set_table_mode(self, mode, *names):
        """Sets the table mode of the named processes, or of all if no name is given."""
        for name in names or tuple(self.live):
            self.live[name].table_mode = mode

    def cut(self, *pairs):
        """Cuts the links between the names of each pair in both directions."""
        for first, second in pairs:
            self.world.links[first, second] = self.world.links[second, first] = "cut"

    def step_until(self, condition):
        for _ in range(100):
            self.world.step()
            if condition():
                return
        raise TimeoutError("the condition was not met within 100 steps")

    def is_coordinator(self, name):
        return self.live[name].coordinator is not None


def late_heartbeats():
    """Heartbeats that a member sent before it took over reach the old coordinator afterwards."""
    sim = _Simulation()
    sim.set_table_mode("down", sim.coordinator)
    sim.cut((sim.coordinator, sim.a), (sim.a, sim.b))
    sim.world.links[sim.a, sim.coordinator] = "hold"
    sim.step_until(lambda: sim.is_coordinator(sim.a))
    sim.world.held_messages = [
        message for message in sim.world.held_messages if message[2] == "heartbeat"
    ]
    sim.world.release_held()
    sim.world.step(60)


def late_candidate_write():
    """A candidate write takes effect after its sender follows the old coordinator again."""
    sim = _Simulation()
    sim.set_table_mode("down", sim.coordinator, sim.b)
    sim.cut((sim.coordinator, sim.a))
    candidate = sim.live[sim.a]
    with mock.patch.object(candidate, "_write", lambda command: _delay(sim, command)):
        sim.step_until(lambda: sim.world.table.delayed)
        sim.world.links = {}
        sim.world.step(30)
        sim.cut((sim.coordinator, sim.a), (sim.a, sim.b))
        sim.world.table.release()
    sim.world.step(80)


def _delay(sim, command):
    sim.world.table.delayed.append(command)
    return "unknown"


def successor_crashes():
    """A new coordinator crashes before the old one, cut off from the table, is deposed."""
    sim = _Simulation()
    sim.set_table_mode("down", sim.coordinator, sim.b)
    sim.cut((sim.coordinator, sim.a), (sim.a, sim.b))
    sim.step_until(lambda: sim.is_coordinator(sim.a))
    sim.world.kill(sim.a)
    sim.world.links = {}
    sim.world.step(10)
    sim.world.start("z")
    sim.cut(("z", sim.coordinator), ("z", sim.b))
    sim.world.step(80)


def new_instance_without_contact():
    """A new instance that is not recorded can reach the table, but not the other instances."""
    sim = _Simulation()
    sim.set_table_mode("down")
    sim.world.start("z")
    sim.cut(*(("z", name) for name in NAMES))
    sim.world.step(100)


def contact_lost_twice():
    """A member that read the row during an earlier loss of contact loses contact again."""
    sim = _Simulation()
    sim.set_table_mode("down", sim.coordinator, sim.b)
    sim.cut((sim.coordinator, sim.a), (sim.a, sim.b))
    sim.world.step(20)
    sim.world.links = {}
    sim.world.step(30)
    sim.cut((sim.coordinator, sim.a), (sim.a, sim.b))
    sim.world.step(80)


def unrecorded_holder():
    """A coordinator crashes after it granted pools to an instance that the row does not name."""
    sim = _Simulation()
    sim.set_table_mode("down")
    sim.world.step(40)
    sim.world.start("z")
    sim.set_table_mode("down", "z")
    followed = sim.live[sim.coordinator]
    sim.live["z"].member.on_follow(epoch=followed.grants.epoch, coordinator=followed.me)
    for name in NAMES:
        ownership_sim.leave(sim.live[name])
    sim.world.step(60)
    sim.cut(("z", sim.a), ("z", sim.b))
    sim.world.kill(sim.coordinator)
    candidate = sim.live[sim.a]
    candidate.me = dataclasses.replace(candidate.me, state=region.LIVE)
    candidate.member.set_me(candidate.me)
    sim.set_table_mode("ok", sim.a)
    sim.world.step(60)


def holder_crashes_after_takeover():
    """A follower of the new coordinator crashes.

    The old coordinator is not deposed yet, still counts the follower as its own member and finds it
    gone.
    """
    sim = _Simulation()
    sim.set_table_mode("down", sim.coordinator)
    sim.cut((sim.coordinator, sim.a), (sim.coordinator, sim.b))
    sim.step_until(lambda: sim.is_coordinator(sim.a) or sim.is_coordinator(sim.b))
    sim.world.step(30)
    for name in (sim.a, sim.b):
        if not sim.is_coordinator(name):
            sim.world.kill(name)
    sim.world.links[sim.coordinator, sim.a] = sim.world.links[sim.coordinator, sim.b] = "ok"
    sim.world.links[sim.a, sim.coordinator] = sim.world.links[sim.b, sim.coordinator] = "hold"
    sim.world.step(40)


# The real methods that faulty replacements call.
_record_promise = authority.Authority.record_promise


def _promise_from_receipt(self, instance, stamp_s):
    """Faulty rule: a promise starts when the coordinator receives it, not at ``stamp_s``."""
    del stamp_s
    _record_promise(self, instance, self._clock.monotonic())


_heartbeat = member.MemberState._heartbeat
_may_take_over = member.MemberState._may_take_over
_record_won_election = member.MemberState._record_won_election
_state = membership.MemberTable.state


def _promise_while_write_pending(self, *arguments):
    """Faulty rule: a member makes promises while its candidate write is pending."""
    pending, self._pending = self._pending, None
    try:
        return _heartbeat(self, *arguments)
    finally:
        self._pending = pending


def _promise_ignored(self, *arguments):
    """Faulty rule: a member may take over before its promise has ended."""
    command = _heartbeat(self, *arguments)
    self._promise_until_s = -math.inf
    return command


def _drop_gone_without_authority(self):
    """Faulty rule: required members that are gone are dropped even without authority."""
    self._required_members = {
        member_id for member_id in self._required_members if not self._members.is_gone(member_id)
    }
    self._promised_until_s = None


def _unrecorded_takes_over(self):
    """Faulty rule: an instance that the row does not name may take over."""
    row = self._row
    if row is not None:
        self._row = dataclasses.replace(row, members=(*row.members, self._me))
    try:
        return _may_take_over(self)
    finally:
        self._row = row


def _holders_always_recorded(self, pending, version):
    """Faulty rule: a new coordinator assumes that only recorded members hold grants."""
    _record_won_election(self, dataclasses.replace(pending, holders_recorded=True), version)


def _all_are_recorded(self, instance):
    """Faulty rule: instances are treated as recorded although the row does not name them."""
    del self, instance
    return True


def _no_earlier_grants(self):
    """Faulty rule: a new coordinator does not wait until earlier grants have expired."""
    del self
    return -math.inf


_permitted_shares = coordinator.CoordinatorState._permitted_shares


def _grant_free_without_authority(self, member_id):
    """Faulty rule: a free offline third is granted without authority."""
    permitted = _permitted_shares(self, member_id)
    for key, pool in self._holdings.assigned_to(member_id).items():
        if not pool.possible_offline_holders and key not in permitted:
            permitted[key] = share.Share.OFFLINE
    return permitted


def _silent_is_gone(self, instance):
    """Faulty rule: a silent instance is regarded as gone."""
    state = _state(self, instance)
    if state is membership.State.SILENT:
        self._mark_gone(instance)
    return state


# Scenario, class and method that implement the rule, and the faulty replacement of the method.
RULES = (
    (late_heartbeats, authority.Authority, "record_promise", _promise_from_receipt),
    (late_candidate_write, member.MemberState, "_heartbeat", _promise_while_write_pending),
    (contact_lost_twice, member.MemberState, "_heartbeat", _promise_ignored),
    (successor_crashes, authority.Authority, "refresh", _drop_gone_without_authority),
    (new_instance_without_contact, member.MemberState, "_may_take_over", _unrecorded_takes_over),
    (unrecorded_holder, member.MemberState, "_record_won_election", _holders_always_recorded),
    (unrecorded_holder, authority.Authority, "is_recorded", _all_are_recorded),
    (
        unrecorded_holder,
        coordinator.CoordinatorState,
        "_earlier_grants_until_s",
        _no_earlier_grants,
    ),
    (
        holder_crashes_after_takeover,
        coordinator.CoordinatorState,
        "_permitted_shares",
        _grant_free_without_authority,
    ),
    (late_heartbeats, membership.MemberTable, "state", _silent_is_gone),
)


class RulesTest(unittest.TestCase):
    def test_scenarios_pass_with_the_rules(self):
        """Guards against two instances that may use the same slots in one of the scenarios."""
        for scenario in dict.fromkeys(rule[0] for rule in RULES):
            with self.subTest(scenario=scenario.__name__):
                scenario()

    def test_faulty_rules_are_found(self):
        """Guards against a checker or a scenario that does not detect a missing rule."""
        for scenario, rule_class, method_name, faulty in RULES:
            with (
                self.subTest(faulty=faulty.__name__),
                mock.patch.object(rule_class, method_name, faulty),
            ):
                self.assertRaises(AssertionError, scenario)


if __name__ == "__main__":
    unittest.main()

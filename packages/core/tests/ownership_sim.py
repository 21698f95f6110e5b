"""Simulated region for ownership tests: processes, links, a table and the platform's list.

The clock of every process has a different offset, so that code which compares the times of two
processes fails. Simulated time advances in steps of ``STEP_S``; messages are processed within a
step.
"""

import collections
import dataclasses

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import (
    coordinator,
    invariants,
    member,
    membership,
    model,
    ownership,
    region,
    share,
)

STEP_S = 0.1
# Slots of each server.
SLOTS = 7
CAP = "region/bkk"
# Less than the total demand, which is one request/s per granted pool.
CAP_LIMIT = 3.0
# Maximum number of times that a process runs in one step, to process the messages of the others.
ROUNDS = 10
# Interval at which a coordinator fetches the platform's list, in steps.
LIST_FETCH_STEPS = 10
POOLS = tuple(model.PoolKey(service=name, region="bkk") for name in ("a", "b", "c", "d"))


class OffsetClock(clock_lib.Clock):
    """Clock that differs from a common clock by an offset."""

    def __init__(self, base, offset_s):
        self._base = base
        self._offset_s = offset_s

    def monotonic(self):
        return self._base.monotonic() + self._offset_s

    def wall(self):
        return self._base.wall()


class Table:
    """A table with one versioned row; writes in ``delayed`` take effect on ``release``."""

    def __init__(self):
        self.value = None
        self.version = None
        self.writes = 0
        self.delayed = []

    def write(self, command):
        if command.if_version != self.version:
            return False
        self.writes += 1
        self.value = command.row.encode()
        self.version = str(self.writes)
        return True

    def read(self):
        return (None if self.value is None else region.RegionRow.decode(self.value)), self.version

    def release(self):
        for command in self.delayed:
            self.write(command)
        self.delayed = []


class Process:
    """One run of an instance; executes the commands of its decision modules.

    Attributes:
        paused: Whether the process neither runs nor reads its messages.
        table_mode: What its table calls do: ``"ok"``; ``"down"``, they have no effect; ``"lost"``,
            writes take effect but their results are lost; ``"delayed"``, writes take effect when
            the table releases them. Reads work in mode ``"ok"`` only.
    """

    def __init__(self, world, name, incarnation):
        self.world = world
        self.name = name
        self.paused = False
        self.table_mode = "ok"
        self.inbox = collections.deque()
        self.me = region.Instance(
            name=name, incarnation=incarnation, rpc_address=name, region="bkk"
        )
        self.clock = OffsetClock(world.clock, world.processes_started * 1000.0)
        self.members = world.member_table(clock=self.clock)
        self.checks = invariants.Invariants(mode=invariants.Mode.RAISE)
        self.grants = ownership.GrantState(clock=self.clock, invariants=self.checks)
        self.member = member.MemberState(
            me=self.me, clock=self.clock, members=self.members, grants=self.grants
        )
        self.coordinator = None
        self.steps = 0

    def run(self):
        while self.inbox:
            self._handle(*self.inbox.popleft())
        demand = {CAP: float(len(self.grants.pools))}
        for command in self.member.tick(reports=dict, cap_demand=lambda: demand):
            self._execute(command, self.member)
        won_election = self.member.won_election
        if won_election is not None and (
            self.coordinator is None or self.coordinator.epoch < won_election.row.epoch
        ):
            self.coordinator = self.world.coordinator_state(
                me=self.me,
                clock=self.clock,
                invariants=self.checks,
                members=self.members,
                won_election=won_election,
            )
            self.coordinator.set_pools(POOLS)
            self.coordinator.set_caps({CAP: CAP_LIMIT})
        if self.coordinator is not None:
            for command in self.coordinator.tick():
                self._execute(command, self.coordinator.authority)

    def fetch_list_if_due(self):
        """Counts a step; a coordinator fetches the platform's list when that is due."""
        self.steps += 1
        if self.coordinator is not None and self.steps % LIST_FETCH_STEPS == 0:
            self.members.record_list(self.world.listed(), started_s=self.clock.monotonic())

    def _execute(self, command, issuer):
        """Executes a command; ``issuer`` receives the result of a row read or write."""
        now = self.clock.monotonic()
        if isinstance(command, region.SendHeartbeat):
            self.world.send(self, command.target, "heartbeat", command.heartbeat, command.sent_s)
        elif isinstance(command, region.SendFollow):
            self.world.send(self, command.target, "follow", command.epoch, self.me)
        elif isinstance(command, region.Probe):
            self.world.send(self, command.target, "identify", command.target)
        elif isinstance(command, region.ReadRow):
            if self.table_mode == "ok":
                self.inbox.append((self, "row", issuer, *self.world.table.read(), now))
        else:
            self.inbox.append((self, "written", issuer, command, self._write(command)))

    def _write(self, command):
        """Returns the new version of the row, ``"conflict"`` or ``"unknown"``."""
        if self.table_mode == "delayed":
            self.world.table.delayed.append(command)
        if self.table_mode in ("ok", "lost"):
            ok = self.world.table.write(command)
            if self.table_mode == "ok":
                return self.world.table.version if ok else "conflict"
        return "unknown"

    def _handle(self, source, kind, *content):
        getattr(self, f"_on_{kind}")(source, *content)

    def _on_row(self, _, issuer, row, version, started_s):
        issuer.on_row_read(row, version, started_s=started_s)

    def _on_written(self, _, issuer, command, result):
        arguments = (command,) if issuer is self.member else ()
        if result == "unknown":
            issuer.on_write_unknown(*arguments)
        elif result == "conflict":
            issuer.on_write_conflict(*arguments)
        else:
            issuer.on_write_ok(*arguments, result)

    def _on_heartbeat(self, source, heartbeat, sent_s):
        followed = self.grants.coordinator
        if self.coordinator is not None:
            reply = self.coordinator.on_heartbeat(heartbeat)
        elif followed is not None:
            reply = region.HeartbeatReply(
                epoch=self.grants.epoch, coordinator=followed, accepted=False, seq=0, stamp_s=0.0
            )
        else:
            return
        self.world.send(self, source.me, "reply", reply, sent_s)

    def _on_reply(self, _, reply, sent_s):
        self.member.on_reply(reply, sent_s=sent_s)

    def _on_follow(self, source, epoch, new_coordinator):
        reply = self.member.on_follow(epoch=epoch, coordinator=new_coordinator)
        if self.coordinator is not None and reply.epoch > self.coordinator.epoch:
            self.coordinator.depose()
        self.world.send(self, source.me, "followed", reply)

    def _on_followed(self, _, reply):
        if self.coordinator is not None:
            self.coordinator.on_follow_reply(reply)

    def _on_identify(self, source, target):
        self.world.send(self, source.me, "identified", target, self.me.incarnation)

    def _on_identified(self, _, target, incarnation):
        self.members.record_identity(target.id, incarnation=incarnation)

    def _on_refused(self, _, target):
        self.members.record_refusal(target.id, started_s=self.clock.monotonic())


class World:
    """All processes of a region and the systems around them.

    Attributes:
        live: Running process by name, paused ones included.
        links: Mode of each direction between two names: ``"cut"`` drops messages, ``"hold"`` keeps
            them in ``held_messages`` until ``release_held``; a missing entry means ``"ok"``.
        list_lag_steps: By how many steps the platform's list lags behind.
        member_table: Class of each process's ``members``; a test replaces it with a faulty one.
        coordinator_state: Class of each process's ``coordinator``.
    """

    member_table = membership.MemberTable
    coordinator_state = coordinator.CoordinatorState

    def __init__(self, names=("p", "q", "r")):
        self.clock = clock_lib.ManualClock()
        self.table = Table()
        self.processes_started = 0
        self.live = {}
        self.killed = []
        self.links = {}
        self.held_messages = []
        self.list_lag_steps = 0
        self._snapshots = [()]
        self._list_index = 0
        for name in names:
            self.start(name)

    def start(self, name):
        self.processes_started += 1
        self.live[name] = Process(self, name, str(self.processes_started))

    def kill(self, name):
        self.killed.append(self.live.pop(name))

    def listed(self):
        """Returns the names in the platform's list, which lags but never goes back."""
        newest = len(self._snapshots) - 1
        self._list_index = max(self._list_index, newest - self.list_lag_steps)
        return self._snapshots[self._list_index]

    def send(self, source, target, kind, *content):
        mode = self.links.get((source.name, target.name), "ok")
        if mode == "hold":
            self.held_messages.append((source, target, kind, content))
        elif mode == "ok":
            self._deliver(source, target, kind, content)

    def release_held(self):
        messages, self.held_messages = self.held_messages, []
        for source, target, kind, content in messages:
            self._deliver(source, target, kind, content)

    def _deliver(self, source, target, kind, content):
        process = self.live.get(target.name)
        if process is not None:
            is_reply = kind in ("reply", "followed", "identified", "refused")
            if not is_reply or process.me.id == target.id:
                process.inbox.append((source, kind, *content))
        elif kind in ("heartbeat", "follow", "identify") and self._is_open(target, source):
            source.inbox.append((source, "refused", target))

    def _is_open(self, source, target):
        return self.links.get((source.name, target.name), "ok") == "ok"

    def step(self, count=1):
        for _ in range(count):
            self.clock.advance(STEP_S)
            self._snapshots.append(tuple(self.live))
            for process in list(self.live.values()):
                if not process.paused:
                    process.fetch_list_if_due()
            running = [process for process in self.live.values() if not process.paused]
            for round_number in range(ROUNDS):
                for process in running:
                    if round_number == 0 or process.inbox:
                        process.run()
                        self.check()

    def shares(self, pool):
        return {name: process.grants.share(pool) for name, process in self.live.items()}

    def check(self):
        """Raises ``AssertionError`` if the shares exceed the slots of a server or the cap."""
        for pool in POOLS:
            shares = self.shares(pool)
            usable = sum(pool_share.slots(SLOTS) for pool_share in shares.values())
            if usable > SLOTS:
                raise AssertionError(f"{usable} of {SLOTS} slots of {pool} usable: {shares}")
        amounts = {name: process.grants.caps.amount(CAP) for name, process in self.live.items()}
        if sum(amounts.values()) > CAP_LIMIT * (1 + 1e-9):
            raise AssertionError(f"shares of a cap of {CAP_LIMIT} add up to more: {amounts}")

    def full_owners(self):
        """Returns the name of the process with the full share of each pool that has one."""
        return {
            pool: name
            for pool in POOLS
            for name, pool_share in self.shares(pool).items()
            if pool_share is share.Share.FULL
        }


def leave(process):
    """Starts a graceful stop of a process."""
    process.me = dataclasses.replace(process.me, state=region.LEAVING)
    process.member.set_me(process.me)

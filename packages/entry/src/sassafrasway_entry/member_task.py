"""Member role of an instance: heartbeats to its coordinator, grants received, directories."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog

from sassafrasway_core import clock as clock_module
from sassafrasway_core import (
    errors,
    invariants,
    member,
    membership,
    model,
    ownership,
    region,
    share,
)
from sassafrasway_entry import (
    background,
    control_conversion,
    coordinator_task,
    directory,
    joining,
    region_table,
    suspicions,
)
from sassafrasway_platform import instances as instances_module
from sassafrasway_platform import table as table_module
from sassafrasway_rpc import client as rpc_client

TICK_S = 0.1
HEARTBEAT_TIMEOUT_S = 0.5
JOIN_RETRY_S = 0.5
QUICK_FAILURE_S = 0.2


def _ignore_revision(revision: int, address: str) -> None:
    del revision, address


def _ignore_gone() -> None:
    """Default for instances that are restarted by hand."""


class MemberTask:
    """Takes part in the region: follows a coordinator or becomes it.

    Args:
        me: This instance.
        clock: Time source.
        invariants: Checks that the epoch never decreases.
        table: Table service.
        instance_list: The platform's list of instances.
        peers: Calls to other instances.
        policy_source: Returns the policy in force, or None.
        grants_sink: Called with all grants of this instance whenever one of them changes.
        pool_reports: Returns slots in use, rate and queue length of each pool that this instance
            uses, pools that it no longer may use but whose requests still run included.
        revision_source: Returns the revision of the policy in force.
        cap_demand: Returns the demand by cap name (see ``cap_grants``) in the unit of the cap,
            refused demand included; caps that it does not name get no share.
        seeds: RPC addresses of instances to join through.
        on_revision: Called with a newer revision and the RPC address of its holder.
        on_declared_gone: Called when a coordinator took this instance for gone and gave its pools
            away; only a restart with a new incarnation can take part again.
        rng: Random source for the choice of peers.
    """

    def __init__(
        self,
        *,
        me: region.Instance,
        clock: clock_module.Clock,
        invariants: invariants.Invariants,
        table: table_module.TableService,
        instance_list: instances_module.InstanceList,
        peers: Any,
        policy_source: Callable[[], model.Policy | None],
        grants_sink: Callable[[list[region.PoolGrant]], None],
        pool_reports: Callable[[], Mapping[model.PoolKey, region.PoolReport]],
        revision_source: Callable[[], int],
        cap_demand: Callable[[], Mapping[str, float]] = dict,
        seeds: Sequence[str] = (),
        on_revision: Callable[[int, str], None] = _ignore_revision,
        on_declared_gone: Callable[[], None] = _ignore_gone,
        rng: random.Random | None = None,
    ):
        self._clock = clock
        self._row = region_table.RegionTable(table=table, region_name=me.region)
        self._peers = peers
        self._grants_sink = grants_sink
        self._pool_reports = pool_reports
        self._cap_demand = cap_demand
        self._revision_source = revision_source
        self._on_revision = on_revision
        self._on_declared_gone = on_declared_gone
        self._rng = rng or random.Random()
        self._members = membership.MemberTable(clock=clock)
        self._grants = ownership.GrantState(clock=clock, invariants=invariants)
        self._state = member.MemberState(
            me=me, clock=clock, members=self._members, grants=self._grants
        )
        self._directory = directory.Directory()
        self._directory_mark = (0, 0)
        self._coordinator = coordinator_task.CoordinatorTask(
            me=me,
            clock=clock,
            invariants=invariants,
            table=table,
            instance_list=instance_list,
            peers=peers,
            members=self._members,
            directory=self._directory,
            policy_source=policy_source,
            revision_source=revision_source,
            seeds=seeds,
            on_revision=on_revision,
            follow_self=self._follow_self,
            wake=lambda: self._wake.set(),
            rng=self._rng,
        )
        self._joiner = joining.Joiner(
            me=me,
            peers=peers,
            directory=self._directory,
            instance_list=instance_list,
            seeds=seeds,
            rng=self._rng,
        )
        self._won_epoch = 0
        self._sunk: list[region.PoolGrant] = []
        self._table_failed = False
        self._told_gone = False
        self._joined_s = float("-inf")
        self._wake = asyncio.Event()
        self._background = background.Background(name="member")
        self._suspicions = suspicions.SuspicionReporter(
            me=me,
            clock=clock,
            directory=self._directory,
            peers=peers,
            background=self._background,
            suspect_here=self._coordinator.suspect,
        )
        peers.listen_for_refusals(self._on_refused)
        self._log = structlog.get_logger("member").bind(instance=str(me.id))

    @property
    def me(self) -> region.Instance:
        """This instance in its current state."""
        return self._state.me

    @property
    def directory(self) -> directory.Directory:
        """Instances and pool owners of all regions."""
        return self._directory

    @property
    def members(self) -> membership.MemberTable:
        """What is known about the region's instances."""
        return self._members

    @property
    def is_coordinator(self) -> bool:
        """Whether this instance coordinates its region."""
        return self._coordinator.state is not None

    @property
    def must_stay(self) -> bool:
        """Whether the region would be without a coordinator if this instance stopped now.

        While the table is down, nobody can take over from a coordinator that stops.
        """
        state = self._coordinator.state
        if state is None or state.authority.is_transferable:
            return False
        return len(self._members.instances()) > 1

    @property
    def in_contact(self) -> bool:
        """Whether the coordinator answered recently."""
        return self._state.in_contact

    def share(self, pool: model.PoolKey) -> share.Share:
        """Returns the share of a pool that this instance may use now."""
        return self._grants.share(pool)

    def cap_amount(self, name: str) -> float:
        """Returns this instance's limit of a cap that is in force now; 0 without a share."""
        return self._grants.caps.amount(name)

    def coordinator_addresses(self) -> list[str]:
        """Returns the RPC addresses of the coordinators of all regions."""
        return [each.coordinator.rpc_address for each in self._directory.regions()]

    def relay_addresses(self) -> list[str]:
        """Returns the members' RPC addresses on a coordinator, and nothing elsewhere."""
        if not self.is_coordinator:
            return []
        return [each.rpc_address for each in self._members.instances() if each.id != self.me.id]

    def dump(self) -> dict[str, Any]:
        """Returns the state for status and dump as a JSON-able dict."""
        leader = self._grants.coordinator
        state = self._coordinator.state
        return {
            "epoch": self._grants.epoch,
            "coordinator": None if leader is None else str(leader.id),
            "in_contact": self.in_contact,
            "is_coordinator": self.is_coordinator,
            "has_authority": state is not None and state.has_authority,
            "unanswered": [] if state is None else sorted(map(str, state.unanswered)),
            "grants": {str(each.pool): each.share.value for each in self._grants.grants()},
            "members": {
                str(each.id): self._members.state(each.id).value
                for each in self._members.instances()
            },
            "regions": {each.region: list(each.order) for each in self._directory.regions()},
        }

    async def run(self) -> None:
        """Takes part in the region until cancelled."""
        try:
            while True:
                self.tick()
                self._wake.clear()
                try:
                    await asyncio.wait_for(self._wake.wait(), TICK_S)
                except TimeoutError:
                    continue
        finally:
            await self._background.close()
            await self._coordinator.close()

    def tick(self) -> None:
        """Lets time pass; starts the calls that are due."""
        for command in self._state.tick(reports=self._pool_reports, cap_demand=self._cap_demand):
            self._background.start(self._execute(command))
        won = self._state.won_election
        if won is not None and won.row.epoch > self._won_epoch:
            self._won_epoch = won.row.epoch
            self._coordinator.start(won)
        self._coordinator.tick()
        self._sink()
        if self._table_failed and not self.in_contact:
            self._join_if_due()

    def leave(self) -> None:
        """Announces that this instance stops; its pools move to others."""
        self._state.set_me(dataclasses.replace(self._state.me, state=region.LEAVING))
        self._wake.set()

    def on_heartbeat(self, message: Any) -> Any:
        """Answers a member's heartbeat; both messages are Thrift messages.

        Raises:
            errors.UnavailableError: This instance is not coordinator and knows none.
        """
        if self._coordinator.state is not None:
            reply = self._coordinator.heartbeat(message)
            if self._coordinator.state.urgent:
                self._wake.set()
            self._coordinator.depose(0)
            return reply
        known = self._grants.coordinator
        if known is None:
            raise errors.UnavailableError("no coordinator is known", step="control.heartbeat")
        hint = region.HeartbeatReply(
            epoch=self._grants.epoch, coordinator=known, accepted=False, seq=0, stamp_s=0.0
        )
        return control_conversion.to_heartbeat_reply(
            hint, directories=(), directory_mark=0, revision=self._revision_source()
        )

    def on_follow(self, *, epoch: int, coordinator: region.Instance) -> region.FollowReply:
        """Follows a coordinator unless its epoch is lower."""
        reply = self._state.on_follow(epoch=epoch, coordinator=coordinator)
        self._coordinator.depose(reply.epoch)
        self._wake.set()
        reports = self._grants.reports(self._pool_reports())
        return dataclasses.replace(reply, pools=reports)

    def on_suspect(self, instance: model.InstanceId) -> None:
        """Makes this coordinator probe an instance that somebody could not reach."""
        self._coordinator.suspect(instance)

    def identity(self) -> tuple[region.Instance, int, region.Instance | None]:
        """Returns this instance, the epoch that it follows, and the coordinator."""
        return self.me, self._grants.epoch, self._grants.coordinator

    def _on_refused(self, address: str) -> None:
        """Has an instance probed at once whose port refused a connection."""
        leader = self._grants.coordinator
        if leader is not None and leader.rpc_address == address:
            if not self._members.is_gone(leader.id):
                self._state.request_heartbeat()
                self._wake.set()
            return
        self._suspicions.report(address)

    def _follow_self(self, epoch: int) -> region.FollowReply:
        return self.on_follow(epoch=epoch, coordinator=self.me)

    def _sink(self) -> None:
        grants = self._grants.grants()
        if grants != self._sunk:
            self._sunk = grants
            self._grants_sink(list(grants))

    async def _execute(self, command: region.Command) -> None:
        if isinstance(command, region.SendHeartbeat):
            await self._heartbeat(command)
        elif isinstance(command, region.ReadRow):
            await self._read_row()
        elif isinstance(command, region.WriteRow):
            await self._write_row(command)
        elif isinstance(command, region.Probe):
            await self._probe(command.target)
        self._wake.set()

    async def _heartbeat(self, command: region.SendHeartbeat) -> None:
        target = command.target
        epoch, mark = self._directory_mark
        message = control_conversion.to_heartbeat(
            command.heartbeat,
            directory_mark=mark if epoch == command.heartbeat.epoch else 0,
            revision=self._revision_source(),
        )
        try:
            reply = await self._call_heartbeat(target, message)
        except rpc_client.ConnectionRefusedByPeerError:
            self._members.record_refusal(target.id, started_s=command.sent_s)
        except errors.SassafraswayError as error:
            self._log.info("no answer to heartbeat", peer=error.peer, reason=error.message)
            if self._clock.monotonic() < command.sent_s + QUICK_FAILURE_S:
                # The connection was lost: the coordinator may have died.
                await self._probe(target)
        else:
            self._on_reply(reply, sent_s=command.sent_s)

    async def _call_heartbeat(self, target: region.Instance, message: Any) -> Any:
        if target.id == self.me.id:
            return self.on_heartbeat(message)
        return await self._peers.call(
            target.rpc_address, "heartbeat", timeout_s=HEARTBEAT_TIMEOUT_S, request=message
        )

    def _on_reply(self, message: Any, *, sent_s: float) -> None:
        reply = control_conversion.from_heartbeat_reply(message)
        if self._state.on_reply(reply, sent_s=sent_s):
            self._directory_mark = (reply.epoch, message.directory_mark or 0)
            self._directory.update(
                control_conversion.from_directory(each) for each in message.directories or ()
            )
        self._coordinator.depose(self._grants.epoch)
        self._sink()
        if reply.gone and not self._told_gone:
            self._told_gone = True
            self._log.error("taken for gone; restart this instance", by=str(reply.coordinator.id))
            self._on_declared_gone()
        if (message.revision or 0) > self._revision_source():
            self._on_revision(message.revision, reply.coordinator.rpc_address)

    async def _read_row(self) -> None:
        started_s = self._clock.monotonic()
        try:
            row, version = await self._row.read()
        except errors.SassafraswayError as error:
            if not self._table_failed:
                self._log.warning("table does not answer", reason=error.message)
            self._table_failed = True
            return
        self._table_failed = False
        self._state.on_row_read(row, version, started_s=started_s)
        self._coordinator.depose(self._grants.epoch)

    async def _write_row(self, command: region.WriteRow) -> None:
        try:
            version = await self._row.write(command)
        except table_module.PreconditionFailed:
            self._state.on_write_refused(command)
        except errors.SassafraswayError as error:
            self._log.warning("candidate write without answer", reason=error.message)
            self._state.on_write_unknown(command)
        else:
            self._state.on_write_ok(command, version)

    async def _probe(self, target: region.Instance) -> None:
        identity = await coordinator_task.probe(
            self._peers, self._members, target, clock=self._clock
        )
        if identity is None or identity.coordinator is None:
            return
        if identity.instance.region == self.me.region:
            self._hint(identity.epoch, control_conversion.from_instance(identity.coordinator))

    def _hint(self, epoch: int, coordinator: region.Instance) -> None:
        """Follows a coordinator that a peer named, if it is news."""
        if epoch > self._grants.epoch:
            self.on_follow(epoch=epoch, coordinator=coordinator)

    def _join_if_due(self) -> None:
        now = self._clock.monotonic()
        if now >= self._joined_s + JOIN_RETRY_S:
            self._joined_s = now
            self._background.start(self._join())

    async def _join(self) -> None:
        """Asks peers who coordinates the region while the table does not answer."""
        own = await self._joiner.find_region()
        if own is not None:
            self._hint(own.epoch, own.coordinator)

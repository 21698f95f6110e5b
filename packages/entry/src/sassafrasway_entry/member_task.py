"""Member role of an instance: heartbeats to the coordinator, grants and directories."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog

from sassafrasway_core import clock as clock_lib
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
from sassafrasway_platform import instances as instances_lib
from sassafrasway_platform import table as table_lib
from sassafrasway_rpc import client as rpc_client

# Interval of updates of the member's state when no event requires one immediately.
TICK_S = 0.1
HEARTBEAT_TIMEOUT_S = 0.5
JOIN_RETRY_S = 0.5
# A heartbeat that fails within this time failed because the connection was lost, not by a timeout.
QUICK_FAILURE_S = 0.2


def _ignore_revision(revision: int, address: str) -> None:
    del revision, address


def _ignore_gone() -> None:
    """Default of ``on_declared_gone``: the instance keeps running until it is restarted."""


class MemberTask:
    """Runs the member role in a region: follows the coordinator or becomes coordinator itself.

    Args:
        peers: ``peers.Peers``, or a fake, which calls other instances.
        on_grants: Called with all grants of this instance whenever one of them changes.
        pool_reports: Returns the reports of the pools that this instance uses, including those
            that it may no longer use but whose requests are still running.
        revision_source: Returns the revision of the policy in force.
        cap_demand: Returns the demand, including refused demand, by cap name (see ``cap_grants``)
            and in the unit of the cap. A cap that is not included gets no first share.
        seeds: RPC addresses of instances to join through.
        on_revision: Called with a newer revision and the RPC address of an instance that has it.
        on_declared_gone: Called when a coordinator declared this instance gone and may have granted
            its pools to others. It must restart with a new incarnation to get grants again.
    """

    def __init__(
        self,
        *,
        me: region.Instance,
        clock: clock_lib.Clock,
        invariants: invariants.Invariants,
        table: table_lib.TableService,
        instance_list: instances_lib.InstanceList,
        peers: Any,
        policy_source: Callable[[], model.Policy | None],
        on_grants: Callable[[list[region.PoolGrant]], None],
        pool_reports: Callable[[], Mapping[model.PoolKey, region.PoolReport]],
        revision_source: Callable[[], int],
        cap_demand: Callable[[], Mapping[str, float]] = dict,
        seeds: Sequence[str] = (),
        on_revision: Callable[[int, str], None] = _ignore_revision,
        on_declared_gone: Callable[[], None] = _ignore_gone,
        rng: random.Random | None = None,
    ):
        self._clock = clock
        self._region_row = region_table.RegionTable(table=table, region_name=me.region)
        self._peers = peers
        self._on_grants = on_grants
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
        # Epoch and directory mark of the latest reply that was applied.
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
        # Epoch of the last election after which the coordinator role was started.
        self._won_epoch = 0
        self._published_grants: list[region.PoolGrant] = []
        self._table_failed = False
        self._declared_gone = False
        self._join_started_s = float("-inf")
        self._wake = asyncio.Event()
        self._background = background.BackgroundTasks(name="member")
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
        """Liveness of the region's instances."""
        return self._members

    @property
    def is_coordinator(self) -> bool:
        """Whether this instance coordinates its region."""
        return self._coordinator.state is not None

    @property
    def must_stay(self) -> bool:
        """Whether the region would be left without a coordinator if this instance stopped now.

        While the table service is unavailable, no other instance can take over from a coordinator.
        """
        state = self._coordinator.state
        if state is None or state.authority.is_transferable:
            return False
        return len(self._members.instances()) > 1

    @property
    def in_contact(self) -> bool:
        """Whether the coordinator answered a heartbeat recently and is not known to be gone."""
        return self._state.in_contact

    def share(self, pool: model.PoolKey) -> share.Share:
        """Returns the share of a pool that this instance may use now."""
        return self._grants.share(pool)

    def cap_amount(self, name: str) -> float:
        """Returns the current limit of this instance for a cap, in the unit of the cap.

        It is 0 without a share, and the offline limit of a share that has expired.
        """
        return self._grants.caps.amount(name)

    def coordinator_addresses(self) -> list[str]:
        """Returns the RPC addresses of the coordinators of all known regions."""
        return [known.coordinator.rpc_address for known in self._directory.regions()]

    def relay_addresses(self) -> list[str]:
        """Returns the other members' RPC addresses on a coordinator; on other instances none."""
        if not self.is_coordinator:
            return []
        return [
            instance.rpc_address
            for instance in self._members.instances()
            if instance.id != self.me.id
        ]

    def dump(self) -> dict[str, Any]:
        """Returns the state for the state dump as a JSON-serializable dict."""
        coordinator = self._grants.coordinator
        state = self._coordinator.state
        return {
            "epoch": self._grants.epoch,
            "coordinator": None if coordinator is None else str(coordinator.id),
            "in_contact": self.in_contact,
            "is_coordinator": self.is_coordinator,
            "has_authority": state is not None and state.has_authority,
            "unanswered": [] if state is None else sorted(map(str, state.unanswered)),
            "grants": {str(grant.pool): grant.share.value for grant in self._grants.grants()},
            "members": {
                str(instance.id): self._members.state(instance.id).value
                for instance in self._members.instances()
            },
            "regions": {known.region: list(known.order) for known in self._directory.regions()},
        }

    async def run(self) -> None:
        """Runs the member and coordinator roles until cancelled."""
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
        """Updates the state to the current time and starts the calls that are due."""
        for command in self._state.tick(reports=self._pool_reports, cap_demand=self._cap_demand):
            self._background.start(self._execute(command))
        won_election = self._state.won_election
        if won_election is not None and won_election.row.epoch > self._won_epoch:
            self._won_epoch = won_election.row.epoch
            self._coordinator.start(won_election)
        self._coordinator.tick()
        self._publish_grants()
        if self._table_failed and not self.in_contact:
            self._join_if_due()

    def leave(self) -> None:
        """Announces that this instance is about to stop, so that its pools move to others."""
        self._state.set_me(dataclasses.replace(self._state.me, state=region.LEAVING))
        self._wake.set()

    def on_heartbeat(self, message: Any) -> Any:
        """Returns the reply to a member's heartbeat; both are Thrift messages.

        An instance that is not the coordinator replies with the coordinator that it follows.

        Raises:
            errors.UnavailableError: This instance is not the coordinator and follows none.
            ValueError: The share in a pool report is unknown.
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
        redirect = region.HeartbeatReply(
            epoch=self._grants.epoch, coordinator=known, accepted=False, seq=0, stamp_s=0.0
        )
        return control_conversion.to_heartbeat_reply(
            redirect, directories=(), directory_mark=0, revision=self._revision_source()
        )

    def on_follow(self, *, epoch: int, coordinator: region.Instance) -> region.FollowReply:
        """Follows a coordinator unless its epoch is lower; returns what this instance holds."""
        reply = self._state.on_follow(epoch=epoch, coordinator=coordinator)
        self._coordinator.depose(reply.epoch)
        self._wake.set()
        reports = self._grants.reports(self._pool_reports())
        return dataclasses.replace(reply, pools=reports)

    def on_suspect(self, instance: model.InstanceId) -> None:
        """Probes an instance that was reported as unreachable, if this one is the coordinator."""
        self._coordinator.suspect(instance)

    def identity(self) -> tuple[region.Instance, int, region.Instance | None]:
        """Returns this instance, the epoch that it follows, and the coordinator."""
        return self.me, self._grants.epoch, self._grants.coordinator

    def _on_refused(self, address: str) -> None:
        """Starts a check whether an instance whose port refused a connection is gone.

        An immediate heartbeat checks the coordinator that this instance follows. Other instances
        are reported to the coordinator of their region.
        """
        coordinator = self._grants.coordinator
        if coordinator is not None and coordinator.rpc_address == address:
            if not self._members.is_gone(coordinator.id):
                self._state.request_heartbeat()
                self._wake.set()
            return
        self._suspicions.report(address)

    def _follow_self(self, epoch: int) -> region.FollowReply:
        return self.on_follow(epoch=epoch, coordinator=self.me)

    def _publish_grants(self) -> None:
        grants = self._grants.grants()
        if grants != self._published_grants:
            self._published_grants = grants
            self._on_grants(list(grants))

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
            self._log.info("heartbeat failed", peer=error.peer, reason=error.message)
            if self._clock.monotonic() < command.sent_s + QUICK_FAILURE_S:
                # The connection was lost; the coordinator process may have ended.
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
                control_conversion.from_directory(received)
                for received in message.directories or ()
            )
        self._coordinator.depose(self._grants.epoch)
        self._publish_grants()
        if reply.gone and not self._declared_gone:
            self._declared_gone = True
            self._log.error(
                "declared gone by the coordinator; this instance must restart",
                by=str(reply.coordinator.id),
            )
            self._on_declared_gone()
        if (message.revision or 0) > self._revision_source():
            self._on_revision(message.revision, reply.coordinator.rpc_address)

    async def _read_row(self) -> None:
        started_s = self._clock.monotonic()
        try:
            row, version = await self._region_row.read()
        except errors.SassafraswayError as error:
            if not self._table_failed:
                self._log.warning("table service is unavailable", reason=error.message)
            self._table_failed = True
            return
        self._table_failed = False
        self._state.on_row_read(row, version, started_s=started_s)
        self._coordinator.depose(self._grants.epoch)

    async def _write_row(self, command: region.WriteRow) -> None:
        try:
            version = await self._region_row.write(command)
        except table_lib.PreconditionFailed:
            self._state.on_write_conflict(command)
        except errors.SassafraswayError as error:
            self._log.warning("outcome of the election write is unknown", reason=error.message)
            self._state.on_write_unknown(command)
        else:
            self._state.on_write_ok(command, version)

    async def _probe(self, target: region.Instance) -> None:
        """Probes a coordinator and follows the one that it names if that has a higher epoch."""
        identity = await coordinator_task.probe(
            self._peers, self._members, target, clock=self._clock
        )
        if identity is None or identity.coordinator is None:
            return
        if identity.instance.region == self.me.region:
            self._follow_if_newer(
                identity.epoch, control_conversion.from_instance(identity.coordinator)
            )

    def _follow_if_newer(self, epoch: int, coordinator: region.Instance) -> None:
        """Follows a coordinator that a peer named, if its epoch is higher than the current one."""
        if epoch > self._grants.epoch:
            self.on_follow(epoch=epoch, coordinator=coordinator)

    def _join_if_due(self) -> None:
        now = self._clock.monotonic()
        if now >= self._join_started_s + JOIN_RETRY_S:
            self._join_started_s = now
            self._background.start(self._join())

    async def _join(self) -> None:
        """Asks peers for the coordinator of the region while the table service is unavailable."""
        own_region = await self._joiner.find_region()
        if own_region is not None:
            self._follow_if_newer(own_region.epoch, own_region.coordinator)

"""Coordinator role of an instance: heartbeat replies, the region row and the directories."""

import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Any

import structlog

from sassafrasway_core import (
    authority,
    cap_grants,
    coordinator,
    errors,
    invariants,
    membership,
    model,
    region,
)
from sassafrasway_core import clock as clock_lib
from sassafrasway_entry import background, control_conversion, directory, region_table
from sassafrasway_platform import instances as instances_lib
from sassafrasway_platform import table as table_lib
from sassafrasway_rpc import client as rpc_client

# Interval of updates of the coordinator's state when no event requires one immediately.
TICK_S = 0.2
CALL_TIMEOUT_S = 0.5
# Interval of fetches of the platform's instance list.
LIST_INTERVAL_S = 2.0
# Interval of directory exchanges with a region that has the current directory of this region.
EXCHANGE_INTERVAL_S = 5.0
# Minimum interval between two probes of an instance that others report as unreachable.
SUSPECT_RETRY_S = 0.2
# Interval of directory exchanges with a region that lacks the current directory.
EXCHANGE_RETRY_S = 0.5
# State in directories of an instance that has not sent a message recently.
SILENT = "silent"
# Enough for the instances that a region replaces in several hours.
MAX_GONE_IN_DIRECTORY = 256


class CoordinatorTask:
    """Executes the commands of ``CoordinatorState`` while this instance is the coordinator.

    Args:
        peers: ``peers.Peers``, or a fake, which calls other instances.
        members: Liveness of the region's instances.
        directory: Directories of all regions; this task writes the one of its own region.
        revision_source: Returns the revision of the policy in force.
        seeds: RPC addresses to ask about regions whose instances are unknown.
        on_revision: Called with a newer revision and the RPC address of an instance that has it.
        follow_self: Delivers a follow request of this coordinator to its own member role.
        wake: Makes the member task call ``tick`` immediately.
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
        members: membership.MemberTable,
        directory: directory.Directory,
        policy_source: Callable[[], model.Policy | None],
        revision_source: Callable[[], int],
        seeds: Sequence[str],
        on_revision: Callable[[int, str], None],
        follow_self: Callable[[int], region.FollowReply],
        wake: Callable[[], None],
        rng: random.Random,
    ):
        self._me = me
        self._clock = clock
        self._invariants = invariants
        self._table = table
        self._region_row = region_table.RegionTable(table=table, region_name=me.region)
        self._instance_list = instance_list
        self._peers = peers
        self._members = members
        self._directory = directory
        self._policy_source = policy_source
        self._revision_source = revision_source
        self._seeds = tuple(seeds)
        self._on_revision = on_revision
        self._follow_self = follow_self
        self._wake = wake
        self._rng = rng
        self._state: coordinator.CoordinatorState | None = None
        self._policy: model.Policy | None = None
        self._directory_version = 0
        self._tick_requested = False
        self._table_failed = False
        # Time of the last action by kind: "tick", "list", "suspect <instance>" or, for the exchange
        # of directories, the name of the other region.
        self._last_action_s: dict[str, float] = {}
        # Epoch and version of the own directory that another region's coordinator has, by region.
        self._delivered_versions: dict[str, tuple[int, int]] = {}
        self._background = background.BackgroundTasks(name="coordinator")
        self._log = structlog.get_logger("coordinator").bind(instance=str(me.id))

    @property
    def state(self) -> coordinator.CoordinatorState | None:
        """State of the current epoch, or None when this instance is not the coordinator."""
        return self._state

    def start(self, won_election: authority.WonElection) -> None:
        """Starts the role for the epoch in which this instance was elected."""
        known = self._directory.region(self._me.region)
        if known is not None:
            self._members.record_gone(known.gone)
        self._state = coordinator.CoordinatorState(
            me=self._me,
            clock=self._clock,
            invariants=self._invariants,
            members=self._members,
            won_election=won_election,
        )
        self._policy = None
        self._directory_version = 0
        self._delivered_versions = {}
        self._tick_requested = True
        self._log.info(
            "became coordinator",
            epoch=won_election.row.epoch,
            members=len(won_election.row.members),
        )

    def depose(self, epoch: int) -> None:
        """Ends the role when another coordinator has a higher epoch.

        An ``epoch`` of 0 checks only whether the state is deposed.
        """
        if self._state is not None and (self._state.deposed or epoch > self._state.epoch):
            self._state.depose()
            self._log.info("no longer coordinator", epoch=self._state.epoch)
            self._state = None

    def heartbeat(self, message: Any) -> Any:
        """Returns the reply to a heartbeat; both are Thrift messages.

        May be called only while ``state`` is not None.

        Raises:
            ValueError: The share in a pool report is unknown.
        """
        heartbeat = control_conversion.from_heartbeat(message)
        reply = self._state.on_heartbeat(heartbeat)
        if (message.revision or 0) > self._revision_source():
            self._on_revision(message.revision, heartbeat.sender.rpc_address)
        # A mark is valid only at the coordinator that returned it.
        is_same_epoch = heartbeat.epoch == self._state.epoch
        mark = (message.directory_mark or 0) if is_same_epoch else 0
        changed = self._directory.changed_since(mark) if reply.accepted else ()
        return control_conversion.to_heartbeat_reply(
            reply,
            directories=changed,
            directory_mark=self._directory.mark,
            revision=self._revision_source(),
        )

    def suspect(self, instance: model.InstanceId) -> None:
        """Probes an instance of the region that was reported as unreachable."""
        target = self._members.instance(instance)
        if self._state is None or target is None:
            return
        if self._due(f"suspect {instance}", SUSPECT_RETRY_S):
            self._background.start(self._probe(target))

    def tick(self) -> None:
        """Updates the state to the current time and starts the calls that are due."""
        if self._state is None:
            return
        if not (self._state.urgent or self._tick_requested or self._due("tick", TICK_S)):
            return
        self._tick_requested = False
        self._apply_policy()
        for command in self._state.tick():
            self._background.start(self._execute(command))
        self.depose(0)
        if self._state is None:
            return
        self._publish_directory()
        if self._due("list", LIST_INTERVAL_S):
            self._background.start(self._fetch_list())
        for region_name in self._other_regions():
            self._exchange_if_due(region_name)

    async def close(self) -> None:
        """Cancels the calls that are still running."""
        await self._background.close()

    def _apply_policy(self) -> None:
        policy = self._policy_source()
        if policy is not None and policy is not self._policy:
            self._policy = policy
            self._state.set_pools(key for key in policy.pools() if key.region == self._me.region)
            self._state.set_caps(cap_grants.caps_of(policy, self._me.region))

    async def _execute(self, command: region.Command) -> None:
        state = self._state
        if state is None:
            return
        if isinstance(command, region.SendFollow):
            await self._send_follow(state, command)
        elif isinstance(command, region.Probe):
            await self._probe(command.target)
        elif isinstance(command, region.ReadRow):
            await self._read_row(state)
        elif isinstance(command, region.WriteRow):
            await self._write_row(state, command)

    async def _probe(self, target: region.Instance) -> None:
        await probe(self._peers, self._members, target, clock=self._clock)
        if self._members.is_gone(target.id):
            self._log.warning("instance is gone", gone=str(target.id))
            self._tick_requested = True
            self._wake()

    async def _send_follow(
        self, state: coordinator.CoordinatorState, command: region.SendFollow
    ) -> None:
        if command.target.id == self._me.id:
            state.on_follow_reply(self._follow_self(command.epoch))
            return
        try:
            reply = await self._peers.call(
                command.target.rpc_address,
                "follow",
                timeout_s=CALL_TIMEOUT_S,
                epoch=command.epoch,
                coordinator=control_conversion.to_instance(self._me),
            )
        except errors.SassafraswayError as error:
            self._log.debug("follow request failed", peer=error.peer, reason=error.message)
        else:
            state.on_follow_reply(control_conversion.from_follow_reply(reply))

    async def _read_row(self, state: coordinator.CoordinatorState) -> None:
        started_s = self._clock.monotonic()
        try:
            row, version = await self._region_row.read()
        except errors.SassafraswayError as error:
            self._set_table_error(error)
            return
        self._set_table_error(None)
        state.authority.on_row_read(row, version, started_s=started_s)

    async def _write_row(
        self, state: coordinator.CoordinatorState, command: region.WriteRow
    ) -> None:
        try:
            version = await self._region_row.write(command)
        except table_lib.PreconditionFailed:
            state.authority.on_write_conflict()
        except errors.SassafraswayError as error:
            self._set_table_error(error)
            state.authority.on_write_unknown()
        else:
            self._set_table_error(None)
            state.authority.on_write_ok(version)

    def _set_table_error(self, error: errors.SassafraswayError | None) -> None:
        """Records whether the table service is available and logs only when that changes."""
        failed = error is not None
        if failed and not self._table_failed:
            self._log.warning("table service is unavailable", reason=error.message)
        if self._table_failed and not failed:
            self._log.info("table service is available again")
        self._table_failed = failed

    async def _fetch_list(self) -> None:
        started_s = self._clock.monotonic()
        try:
            listed = await self._instance_list.fetch()
        except errors.SassafraswayError as error:
            self._log.info("could not fetch the instance list", reason=error.message)
            return
        self._members.record_list((instance.name for instance in listed), started_s=started_s)

    def _publish_directory(self) -> None:
        """Replaces the directory of this region when its content has changed."""
        new = directory.RegionDirectory(
            region=self._me.region,
            epoch=self._state.epoch,
            version=self._directory_version,
            coordinator=self._me,
            instances=tuple(
                self._with_liveness(instance) for instance in self._members.instances()
            ),
            owners=self._state.owners(),
            gone=tuple(self._members.gone()[-MAX_GONE_IN_DIRECTORY:]),
        )
        if self._directory_version == 0 or new != self._directory.region(self._me.region):
            self._directory_version += 1
            self._directory.update([dataclasses.replace(new, version=self._directory_version)])

    def _with_liveness(self, instance: region.Instance) -> region.Instance:
        if self._members.state(instance.id) is membership.State.SILENT:
            return dataclasses.replace(instance, state=SILENT)
        return instance

    def _other_regions(self) -> set[str]:
        names = {known.region for known in self._directory.regions()}
        if self._policy is not None:
            names |= set(self._policy.regions)
        return names - {self._me.region}

    def _exchange_if_due(self, region_name: str) -> None:
        own_directory = self._directory.region(self._me.region)
        interval_s = (
            EXCHANGE_INTERVAL_S
            if self._delivered_versions.get(region_name) == own_directory.order
            else EXCHANGE_RETRY_S
        )
        if self._due(region_name, interval_s):
            self._background.start(self._exchange(region_name, own_directory))

    async def _exchange(self, region_name: str, own_directory: directory.RegionDirectory) -> None:
        """Exchanges directories with another region.

        The peer is the coordinator of that region or, while its address is uncertain, any instance
        that may have the region's directory.
        """
        address = await self._exchange_address(region_name)
        if address is None:
            return
        known = self._directory.region(region_name)
        versions = {} if known is None else {region_name: known.order}
        sent = (
            ()
            if self._delivered_versions.get(region_name) == own_directory.order
            else (own_directory,)
        )
        try:
            received = await exchange_directories(self._peers, address, sent=sent, known=versions)
        except errors.SassafraswayError as error:
            self._delivered_versions.pop(region_name, None)
            self._log.info(
                "directory exchange failed", region=region_name, peer=address, reason=error.message
            )
            return
        self._directory.update(received)
        known = self._directory.region(region_name)
        if known is not None and known.coordinator.rpc_address == address:
            self._delivered_versions[region_name] = own_directory.order

    async def _exchange_address(self, region_name: str) -> str | None:
        """Returns the RPC address to ask about a region, or None when none is known.

        After a successful exchange this is the known coordinator of the region. Otherwise the
        coordinator may have changed, so only half of the attempts use the known one. The others use
        the coordinator in the region's row in the table, or a random instance of the region when
        the row cannot be read or names no later coordinator. When no directory of the region is
        known, every attempt uses the row, or a random seed when the row is missing or cannot be
        read.
        """
        known = self._directory.region(region_name)
        if known is not None and (
            region_name in self._delivered_versions or self._rng.random() < 0.5
        ):
            return known.coordinator.rpc_address
        try:
            row, _ = await region_table.RegionTable(
                table=self._table, region_name=region_name
            ).read()
        except errors.SassafraswayError:
            row = None
        if row is not None and (known is None or row.epoch > known.epoch):
            return row.coordinator.rpc_address
        addresses = [instance.rpc_address for instance in known.instances] if known else []
        addresses = addresses or [seed for seed in self._seeds if seed != self._me.rpc_address]
        return self._rng.choice(addresses) if addresses else None

    def _due(self, kind: str, interval_s: float) -> bool:
        """Returns whether an action is due; if so, records that it takes place now."""
        now = self._clock.monotonic()
        if now < self._last_action_s.get(kind, 0.0) + interval_s:
            return False
        self._last_action_s[kind] = now
        return True


async def probe(
    peers: Any,
    members: membership.MemberTable,
    target: region.Instance,
    *,
    clock: clock_lib.Clock,
) -> Any:
    """Asks an instance for its identity and records in ``members`` whether it is gone.

    Returns:
        The Thrift message ``Identity``, or None when the instance did not answer.
    """
    for _ in range(2):
        started_s = clock.monotonic()
        try:
            identity = await peers.call(target.rpc_address, "identify", timeout_s=CALL_TIMEOUT_S)
        except rpc_client.ConnectionRefusedByPeerError:
            members.record_refusal(target.id, started_s=started_s)
            return None
        except errors.SassafraswayError:
            # A lost connection does not show that the instance is gone; the next attempt opens a
            # new one.
            continue
        members.record_identity(target.id, incarnation=identity.instance.incarnation)
        return identity
    return None


async def exchange_directories(
    peers: Any,
    address: str,
    *,
    sent: Sequence[directory.RegionDirectory] = (),
    known: dict[str, tuple[int, int]],
) -> list[directory.RegionDirectory]:
    """Sends directories to a peer and returns those that are newer there.

    Args:
        peers: ``peers.Peers``, or a fake, which calls other instances.
        address: RPC address of the peer.
        sent: Directories to send.
        known: Epoch and version that are known here, by region; empty to ask for all regions.

    Raises:
        errors.SassafraswayError: The peer did not answer or reported an error.
    """
    messages = await peers.call(
        address,
        "directory",
        timeout_s=CALL_TIMEOUT_S,
        directories=[control_conversion.to_directory(entry) for entry in sent],
        known=control_conversion.to_versions(known),
    )
    return [control_conversion.from_directory(message) for message in messages]

"""Messages, commands and table row with which a region's instances agree on pool ownership.

One instance of a region is its coordinator. It assigns each pool of the region to an instance, the
owner of the pool, to which the other instances forward their requests. The owner may use the slots
only after the coordinator has granted it parts of the pool in the replies to its heartbeats. An
instance with such a part is a holder: while a pool moves, the previous owner may still hold parts.
Only the placement ``pool_owner`` uses this (see ``placement``).

An instance becomes coordinator by writing the region row, a row in the platform's table service,
with a higher epoch. The instances that the row names are called recorded members. Every instance of
the region is a member; the coordinator sends heartbeats to itself, too.

The decision modules ``member``, ``coordinator`` and ``authority`` do no I/O: they return commands
that ``member_task`` and ``coordinator_task`` of the entry package execute.
"""

import dataclasses
import json
from collections.abc import Mapping

from sassafrasway_core import cap_grants, caps, errors, model, share

# Interval of a member's heartbeats.
HEARTBEAT_S = 0.5
# Validity of a grant of a pool's main part.
GRANT_S = 2.0
# Time by which a member stops using a grant before it expires. The clocks of two instances may run
# at different rates, and the times of both are rounded.
GRANT_MARGIN_S = 0.01
# Time for which a member promises not to become coordinator, unless the current one is known to be
# gone or there is no region row.
PROMISE_S = 3.0
# Time for which a successful write of the region row gives the coordinator authority.
TABLE_LEASE_S = 3.0
# Interval at which the coordinator writes an unchanged row to renew its table lease.
RENEW_S = 1.0

LIVE = "live"
LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One run of an entry instance and how to reach it.

    The order of the fields is part of the format of the stored region row.

    Attributes:
        incarnation: Distinguishes the runs of one instance name.
        rpc_address: ``host:port`` of the RPC server.
        caller_url: Base URL that callers use.
        state: ``"live"``, ``"leaving"`` or, in directories only, ``"silent"``.
    """

    name: str
    incarnation: str
    rpc_address: str
    caller_url: str = ""
    region: str = ""
    failure_domain: str = ""
    state: str = LIVE

    @property
    def id(self) -> model.InstanceId:
        """Name and incarnation."""
        return model.InstanceId(name=self.name, incarnation=self.incarnation)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegionRow:
    """Value of the row ``region/<region>``.

    Attributes:
        epoch: Grows with every change of coordinator.
        serial: Number of the write within the epoch; it makes every written value unique.
        members: Recorded members, including the coordinator.
        owners: Pool owners at the time of the write, from which the next coordinator starts.
    """

    epoch: int
    serial: int
    coordinator: Instance
    members: tuple[Instance, ...]
    owners: Mapping[model.PoolKey, model.InstanceId] = dataclasses.field(default_factory=dict)

    def encode(self) -> bytes:
        """Returns the value as JSON."""
        document = {
            "epoch": self.epoch,
            "serial": self.serial,
            "coordinator": _pack(self.coordinator),
            "members": [_pack(member) for member in self.members],
            "owners": [
                [key.service, key.region, key.shard, owner.name, owner.incarnation]
                for key, owner in self.owners.items()
            ],
        }
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> "RegionRow":
        """Returns the row that a table value encodes.

        Raises:
            errors.ValidationError: The value is not a region row.
        """
        try:
            document = json.loads(value)
            return cls(
                epoch=int(document["epoch"]),
                serial=int(document["serial"]),
                coordinator=_unpack(document["coordinator"]),
                members=tuple(_unpack(member) for member in document["members"]),
                owners={
                    model.PoolKey(service=service, region=region, shard=shard): model.InstanceId(
                        name=name, incarnation=incarnation
                    )
                    for service, region, shard, name, incarnation in document["owners"]
                },
            )
        except (ValueError, TypeError, KeyError) as error:
            raise errors.ValidationError(
                f"malformed region row: {error}", step="region.decode"
            ) from error


def _pack(instance: Instance) -> list[str]:
    return list(dataclasses.astuple(instance))


def _unpack(fields: list[str]) -> Instance:
    names = [field.name for field in dataclasses.fields(Instance)]
    return Instance(**dict(zip(names, fields, strict=True)))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolReport:
    """An instance's report about one pool that it may use or whose slots its requests still use.

    Attributes:
        share: Share in force when the report was made.
        in_use: Slots in use by server name, including inherited ones.
        busy_s: Time until the deadlines of the requests in these slots have passed.
        rate_per_s: Requests received for the pool, 1/s; entry instances do not measure it and send
            0.
        queue_length: Number of requests that wait for a slot.
    """

    share: share.Share
    in_use: Mapping[str, int] = dataclasses.field(default_factory=dict)
    busy_s: float = 0.0
    rate_per_s: float = 0.0
    queue_length: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolGrant:
    """Right to use a pool.

    Attributes:
        share: Share of each server's slots that may be used.
        inherited: Slots by server name that other instances last reported as in use. The owner
            counts them as used until they are released or the request deadlines pass.
        inherited_s: Time until the deadlines of the requests in those slots have passed.
        previous: Of the instances that use those slots, the last to begin to report them, or None.
        expires_s: When the grant of the main part expires, by the receiver's monotonic clock; in
            the past when it is not granted. It is not sent: the receiver sets it.
    """

    pool: model.PoolKey
    share: share.Share
    inherited: Mapping[str, int] = dataclasses.field(default_factory=dict)
    inherited_s: float = 0.0
    previous: model.InstanceId | None = None
    expires_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """A member's report to its coordinator.

    Attributes:
        epoch: Highest epoch that the member follows.
        promise: Whether the member promises not to become coordinator for ``PROMISE_S``.
        echo_s: ``stamp_s`` of the latest reply of this epoch, or None. The promise starts at this
            time by the coordinator's clock, so that a heartbeat processed late cannot extend it.
        applied_seq: ``seq`` of the latest reply of this epoch that the member applied.
        caps: Demand for each cap and the last share of it, even if that has expired.
    """

    sender: Instance
    epoch: int
    promise: bool
    echo_s: float | None
    applied_seq: int
    pools: Mapping[model.PoolKey, PoolReport]
    caps: tuple[cap_grants.CapReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatReply:
    """The coordinator's reply to a heartbeat.

    Attributes:
        accepted: False when nothing is granted: the member must first follow ``epoch`` and send a
            new heartbeat, the replier is not the coordinator, or ``gone`` is true. Unless ``gone``
            is true, the member keeps its grants.
        gone: Whether the sender is regarded as gone, so that others may use all that it held.
        seq: Number of the reply within the epoch.
        stamp_s: Time of the reply by the coordinator's clock.
        grants: All pools that the member may use; the member drops every other pool.
        settled_s: Time after the sending of the heartbeat for which only recorded members hold
            grants.
        cap_shares: Shares by cap name.
    """

    epoch: int
    coordinator: Instance
    accepted: bool
    seq: int
    stamp_s: float
    grants: tuple[PoolGrant, ...] = ()
    settled_s: float = 0.0
    cap_shares: Mapping[str, caps.CapShare] = dataclasses.field(default_factory=dict)
    gone: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowReply:
    """A member's reply to ``SendFollow``; ``epoch`` is the epoch that the member follows."""

    sender: Instance
    epoch: int
    pools: Mapping[model.PoolKey, PoolReport]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """An action that a decision module asks its I/O task to execute."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadRow(Command):
    """Read the region row and report the result."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteRow(Command):
    """Write the region row if it has version ``if_version``; None means that there is no row."""

    row: RegionRow
    if_version: str | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendHeartbeat(Command):
    """Send a heartbeat to the coordinator; ``sent_s`` is the time of sending."""

    target: Instance
    heartbeat: Heartbeat
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendFollow(Command):
    """Ask a member to follow the sender; it replies and sends a heartbeat immediately."""

    target: Instance
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe(Command):
    """Ask an instance for its identity, to find out whether it is gone."""

    target: Instance

"""Conversion between the control messages of ``sassafrasway_core`` and Thrift messages.

Reading a Thrift message raises ``ValueError`` when it contains an unknown share.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from sassafrasway_core import cap_grants, caps, model, region, share
from sassafrasway_entry import directory
from sassafrasway_rpc import schema

_INSTANCE_FIELDS = (
    "name",
    "incarnation",
    "rpc_address",
    "caller_url",
    "region",
    "failure_domain",
    "state",
)


def to_instance(instance: region.Instance):
    """Returns the Thrift message of an instance."""
    fields = {name: getattr(instance, name) for name in _INSTANCE_FIELDS}
    return schema.common.Instance(**fields)


def from_instance(message) -> region.Instance:
    """Returns the instance of a Thrift message."""
    fields = {name: getattr(message, name) or "" for name in _INSTANCE_FIELDS}
    return region.Instance(**fields)


def to_pool(pool: model.PoolKey):
    """Returns the Thrift message of a pool key."""
    return schema.control.PoolId(service_name=pool.service, region=pool.region, shard=pool.shard)


def from_pool(message) -> model.PoolKey:
    """Returns the pool key of a Thrift message."""
    return model.PoolKey(
        service=message.service_name, region=message.region, shard=message.shard or 0
    )


def to_report(pool: model.PoolKey, report: region.PoolReport):
    """Returns the Thrift message of a pool report."""
    return schema.control.PoolReport(
        pool=to_pool(pool),
        share=report.share.value,
        in_use=dict(report.in_use),
        busy_s=report.busy_s,
        rate_per_s=report.rate_per_s,
        queue_length=report.queue_length,
    )


def from_report(message) -> region.PoolReport:
    """Returns the pool report of a Thrift message."""
    return region.PoolReport(
        share=share.Share(message.share),
        in_use=dict(message.in_use or {}),
        busy_s=message.busy_s or 0.0,
        rate_per_s=message.rate_per_s or 0.0,
        queue_length=message.queue_length or 0,
    )


def _to_reports(reports: Mapping[model.PoolKey, region.PoolReport]) -> list:
    return [to_report(pool, report) for pool, report in reports.items()]


def _from_reports(messages: Iterable | None) -> dict[model.PoolKey, region.PoolReport]:
    return {from_pool(message.pool): from_report(message) for message in messages or ()}


def to_heartbeat(heartbeat: region.Heartbeat, *, directory_mark: int, revision: int):
    """Returns the Thrift message of a heartbeat.

    ``directory_mark`` is the directory mark of the latest reply of the same epoch, or 0 before the
    first. ``revision`` is the revision of the policy in force at the sender.
    """
    return schema.control.HeartbeatRequest(
        sender=to_instance(heartbeat.sender),
        epoch=heartbeat.epoch,
        promise=heartbeat.promise,
        echo_s=heartbeat.echo_s,
        applied_seq=heartbeat.applied_seq,
        pools=_to_reports(heartbeat.pools),
        caps=[_to_cap_report(report) for report in heartbeat.caps],
        directory_mark=directory_mark,
        revision=revision,
    )


def from_heartbeat(message) -> region.Heartbeat:
    """Returns the heartbeat of a Thrift message."""
    return region.Heartbeat(
        sender=from_instance(message.sender),
        epoch=message.epoch or 0,
        promise=bool(message.promise),
        echo_s=message.echo_s,
        applied_seq=message.applied_seq or 0,
        pools=_from_reports(message.pools),
        caps=tuple(_from_cap_report(report) for report in message.caps or ()),
    )


def to_heartbeat_reply(
    reply: region.HeartbeatReply,
    *,
    directories: Iterable[directory.RegionDirectory],
    directory_mark: int,
    revision: int,
):
    """Returns the Thrift message of a heartbeat reply.

    Args:
        reply: The reply.
        directories: Directories that changed since the mark in the heartbeat.
        directory_mark: Current mark of the coordinator's directories.
        revision: Revision of the policy in force at the replying instance.
    """
    return schema.control.HeartbeatReply(
        epoch=reply.epoch,
        coordinator=to_instance(reply.coordinator),
        accepted=reply.accepted,
        seq=reply.seq,
        stamp_s=reply.stamp_s,
        grants=[_to_grant(grant) for grant in reply.grants],
        settled_s=reply.settled_s,
        cap_shares=[_to_cap_share(name, cap_share) for name, cap_share in reply.cap_shares.items()],
        gone=reply.gone,
        directories=[to_directory(source) for source in directories],
        directory_mark=directory_mark,
        revision=revision,
    )


def from_heartbeat_reply(message) -> region.HeartbeatReply:
    """Returns the heartbeat reply of a Thrift message."""
    return region.HeartbeatReply(
        epoch=message.epoch,
        coordinator=from_instance(message.coordinator),
        accepted=bool(message.accepted),
        seq=message.seq or 0,
        stamp_s=message.stamp_s or 0.0,
        grants=tuple(_from_grant(grant) for grant in message.grants or ()),
        settled_s=message.settled_s or 0.0,
        cap_shares={
            cap_share.name: _from_cap_share(cap_share) for cap_share in message.cap_shares or ()
        },
        gone=bool(message.gone),
    )


def _to_cap_report(report: cap_grants.CapReport):
    return schema.control.CapReport(**dataclasses.asdict(report))


def _from_cap_report(message) -> cap_grants.CapReport:
    return cap_grants.CapReport(
        name=message.name,
        demand=message.demand or 0.0,
        sequence=message.sequence or 0,
        amount=message.amount or 0.0,
        offline=message.offline or 0.0,
        # Negative: the share has expired.
        remaining_s=message.remaining_s if message.remaining_s is not None else -1.0,
    )


def _to_cap_share(name: str, cap_share: caps.CapShare):
    return schema.control.CapShare(name=name, **dataclasses.asdict(cap_share))


def _from_cap_share(message) -> caps.CapShare:
    return caps.CapShare(
        sequence=message.sequence,
        amount=message.amount or 0.0,
        offline=message.offline or 0.0,
        valid_s=message.valid_s or 0.0,
    )


def _to_grant(grant: region.PoolGrant):
    return schema.control.PoolGrant(
        pool=to_pool(grant.pool),
        share=grant.share.value,
        inherited=dict(grant.inherited),
        inherited_s=grant.inherited_s,
        previous_name=grant.previous.name if grant.previous else "",
        previous_incarnation=grant.previous.incarnation if grant.previous else "",
    )


def _from_grant(message) -> region.PoolGrant:
    previous = None
    if message.previous_name:
        previous = model.InstanceId(
            name=message.previous_name, incarnation=message.previous_incarnation
        )
    return region.PoolGrant(
        pool=from_pool(message.pool),
        share=share.Share(message.share),
        inherited=dict(message.inherited or {}),
        inherited_s=message.inherited_s or 0.0,
        previous=previous,
    )


def to_follow_reply(reply: region.FollowReply):
    """Returns the Thrift message of a follow reply."""
    return schema.control.FollowReply(
        sender=to_instance(reply.sender), epoch=reply.epoch, pools=_to_reports(reply.pools)
    )


def from_follow_reply(message) -> region.FollowReply:
    """Returns the follow reply of a Thrift message."""
    return region.FollowReply(
        sender=from_instance(message.sender),
        epoch=message.epoch or 0,
        pools=_from_reports(message.pools),
    )


def to_directory(source: directory.RegionDirectory):
    """Returns the Thrift message of a region directory."""
    return schema.control.RegionDirectory(
        region=source.region,
        epoch=source.epoch,
        version=source.version,
        coordinator=to_instance(source.coordinator),
        instances=[to_instance(instance) for instance in source.instances],
        owners=[
            schema.control.PoolOwner(
                pool=to_pool(pool), name=owner.name, incarnation=owner.incarnation
            )
            for pool, owner in source.owners.items()
        ],
        gone=[
            schema.common.Instance(name=gone.name, incarnation=gone.incarnation)
            for gone in source.gone
        ],
    )


def from_directory(message) -> directory.RegionDirectory:
    """Returns the region directory of a Thrift message."""
    return directory.RegionDirectory(
        region=message.region,
        epoch=message.epoch or 0,
        version=message.version or 0,
        coordinator=from_instance(message.coordinator),
        instances=tuple(from_instance(instance) for instance in message.instances or ()),
        owners={
            from_pool(owner.pool): model.InstanceId(name=owner.name, incarnation=owner.incarnation)
            for owner in message.owners or ()
        },
        gone=tuple(
            model.InstanceId(name=gone.name, incarnation=gone.incarnation)
            for gone in message.gone or ()
        ),
    )


def to_versions(known: Mapping[str, tuple[int, int]]) -> list:
    """Returns the Thrift messages of the epochs and versions of directories, given by region."""
    return [
        schema.control.DirectoryVersion(region=name, epoch=epoch, version=version)
        for name, (epoch, version) in known.items()
    ]


def from_versions(messages: Iterable | None) -> dict[str, tuple[int, int]]:
    """Returns the epochs and versions of directories in Thrift messages, by region."""
    return {
        message.region: (message.epoch or 0, message.version or 0) for message in messages or ()
    }

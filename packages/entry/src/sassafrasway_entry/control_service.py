"""RPC handler of the Thrift service Control."""

from collections.abc import Callable
from typing import Any

from sassafrasway_core import errors, model, region
from sassafrasway_entry import control_conversion, member_task
from sassafrasway_rpc import schema


def _ignore(*_: Any) -> None:
    """Default for callbacks that are not needed."""


class ControlService:
    """Handles the Control calls of members, coordinators and pool owners.

    The calls are described in ``control.thrift``; arguments and results of type ``Any`` are Thrift
    messages. A method raises ``errors.ValidationError`` when a required argument is not set, and
    ``ValueError`` when a share in a pool report is unknown. The RPC server returns errors to the
    caller unless the call is oneway.

    Args:
        on_handover: Called with the previous owner of a pool, the pool, and its report about the
            slots that are still in use.
        on_release: Called with a pool, a server name and the number of its slots that requests of
            the previous owner have released.
    """

    def __init__(
        self,
        *,
        member: member_task.MemberTask,
        on_handover: Callable[[region.Instance, model.PoolKey, region.PoolReport], None] = _ignore,
        on_release: Callable[[model.PoolKey, str, int], None] = _ignore,
    ):
        self._member = member
        self._on_handover = on_handover
        self._on_release = on_release

    async def heartbeat(self, request: Any) -> Any:
        """Returns the reply to a member's heartbeat.

        Raises:
            errors.UnavailableError: This instance is not the coordinator and follows none.
        """
        _require_arguments(request is not None and request.sender is not None, "heartbeat")
        return self._member.on_heartbeat(request)

    async def follow(self, epoch: int | None, coordinator: Any) -> Any:
        """Follows a coordinator unless its epoch is lower; returns what this instance holds."""
        _require_arguments(epoch is not None and coordinator is not None, "follow")
        reply = self._member.on_follow(
            epoch=epoch, coordinator=control_conversion.from_instance(coordinator)
        )
        return control_conversion.to_follow_reply(reply)

    async def handover(self, sender: Any, report: Any) -> None:
        """Receives the previous owner's report about the slots of a pool that are still in use."""
        _require_arguments(sender is not None and report is not None, "handover")
        self._on_handover(
            control_conversion.from_instance(sender),
            control_conversion.from_pool(report.pool),
            control_conversion.from_report(report),
        )

    async def release_slots(self, pool: Any, server: str | None, slots: int | None) -> None:
        """Frees slots that requests of the previous owner have released."""
        _require_arguments(pool is not None and server is not None, "release_slots")
        self._on_release(control_conversion.from_pool(pool), server, slots or 0)

    async def directory(self, directories: list | None, known: list | None) -> list:
        """Stores newer directories and returns those that are newer than the sender's.

        ``known`` lists the versions that the sender has. The reply leaves out other regions, unless
        ``known`` is empty, which requests all directories.
        """
        own_directory = self._member.directory
        own_directory.update(
            control_conversion.from_directory(received) for received in directories or ()
        )
        newer = own_directory.newer_than(control_conversion.from_versions(known))
        return [control_conversion.to_directory(entry) for entry in newer]

    async def suspect(self, instance: Any) -> None:
        """Checks whether an instance is gone, if this one is the coordinator of its region."""
        _require_arguments(instance is not None, "suspect")
        self._member.on_suspect(control_conversion.from_instance(instance).id)

    async def identify(self) -> Any:
        """Returns the identity of this instance and the coordinator that it follows."""
        me, epoch, coordinator = self._member.identity()
        return schema.control.Identity(
            instance=control_conversion.to_instance(me),
            epoch=epoch,
            coordinator=coordinator and control_conversion.to_instance(coordinator),
        )


def _require_arguments(present: bool, method: str) -> None:
    if not present:
        raise errors.ValidationError("a required argument is missing", step=f"control.{method}")

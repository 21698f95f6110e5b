"""RPC handler of the Thrift service Config: replication of changes between instances."""

import json
from collections.abc import Callable
from typing import Any

import structlog

from sassafrasway_core import documents, errors, model
from sassafrasway_entry import config_task
from sassafrasway_rpc import schema


class ConfigService:
    """Handles the Config calls of peers, which are described in ``config.thrift``.

    Results of type ``Any`` are Thrift messages. The RPC server returns the errors that the methods
    raise to the peer. ``leave`` starts the graceful stop of this instance.
    """

    def __init__(
        self,
        *,
        me: model.InstanceId,
        config: config_task.ConfigTask,
        leave: Callable[[], None],
    ):
        self._me = me
        self._config = config
        self._leave = leave
        self._log = structlog.get_logger("config.peers").bind(instance=str(me))

    async def push_change(self, change_json: str | None, sender_address: str | None) -> int:
        """Processes a pushed change and returns the revision in force afterwards.

        Raises:
            errors.ValidationError: The change, or the policy after it, is invalid.
        """
        change = documents.parse_change(documents.parse_json(change_json or ""))
        return await self._config.receive(change, sender=sender_address or "")

    async def changes_since(self, revision: int | None) -> Any:
        """Returns the changes after a revision, or the full policy when the log lacks any of them.

        Raises:
            errors.UnavailableError: No policy is known yet.
        """
        changes = self._config.changes_since(revision or 0)
        if changes is not None:
            return schema.config.ChangesReply(
                revision=self._config.revision,
                changes_json=[json.dumps(documents.dump_change(change)) for change in changes],
            )
        revision, document_json, change_ids = await self._config.full_policy()
        return schema.config.ChangesReply(
            revision=revision, policy_json=document_json, change_ids=change_ids
        )

    async def drain_instance(self, instance_name: str | None, author: str | None) -> None:
        """Starts the graceful stop of this instance.

        Raises:
            errors.NotFoundError: This instance has another name.
        """
        if instance_name != self._me.name:
            raise errors.NotFoundError(
                f"this instance is {self._me.name!r}, not {instance_name!r}",
                step="config.drain_instance",
            )
        self._log.info("drain requested", author=author)
        self._leave()

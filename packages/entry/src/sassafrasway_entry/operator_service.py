"""RPC handler of the Thrift service Operator."""

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Any

import structlog

from sassafrasway_core import documents, errors, model
from sassafrasway_entry import config_store, config_task
from sassafrasway_rpc import schema

# Number of changes that ``history`` returns when the operator sets no limit, and the maximum.
DEFAULT_HISTORY = 20
MAX_HISTORY = 1000
# Maximum number of attempts for a change without a base revision. When another change is accepted
# in the meantime, the change is rebuilt on the new policy.
CONFLICT_ATTEMPTS = 5

# Returns the sections of a change to the given policy.
_SectionsBuilder = Callable[[model.Policy], Mapping[str, Mapping[str, Any]]]
# Names of the fields that are the same in ``ShiftSpec`` and in the section ``shifts`` of a policy.
_SHIFT_KEYS = ("source", "target", "cap_rps", "fraction", "pace_per_s")


class OperatorService:
    """Handles the calls of operators, which are described in ``config.thrift``.

    Arguments and results of type ``Any`` are Thrift messages; ``meta`` is a ``ChangeMeta``. The RPC
    server returns errors to the operator, among them:

    - ``errors.ValidationError``: An argument, the change or the policy after it is invalid.
    - ``errors.NotFoundError``: There is no such revision, shift, server or instance.
    - ``errors.ConflictError``: The change is not based on the current revision.
    - ``errors.UnavailableError``: The table service is unavailable, or no policy is known yet.

    Args:
        call_peer: ``await call_peer(address, method, **arguments)`` calls a peer.
        find_instance: Returns the RPC address of an instance by name, or None.
        leave: Starts the graceful stop of this instance.
        status_source: Returns a summary of the state of this instance as a JSON-serializable dict.
        dump_source: Returns the full state of this instance as a JSON-serializable dict.
    """

    def __init__(
        self,
        *,
        me: model.InstanceId,
        config: config_task.ConfigTask,
        call_peer: config_task.CallPeer,
        find_instance: Callable[[str], str | None],
        leave: Callable[[], None],
        status_source: Callable[[], Mapping[str, Any]],
        dump_source: Callable[[], Mapping[str, Any]],
    ):
        self._me = me
        self._config = config
        self._call_peer = call_peer
        self._find_instance = find_instance
        self._leave = leave
        self._status_source = status_source
        self._dump_source = dump_source
        self._log = structlog.get_logger("operator").bind(instance=str(me))

    async def get_policy(self, revision: int | None) -> Any:
        """Returns a revision of the policy; the one in force when ``revision`` is None or 0."""
        if not revision:
            revision, document_json, _ = await self._config.full_policy()
            return schema.config.PolicyReply(revision=revision, document_json=document_json)
        policy = await self._config.policy_at(revision)
        document_json = await asyncio.to_thread(config_store.dump_policy_json, policy)
        return schema.config.PolicyReply(revision=revision, document_json=document_json)

    async def apply_change(self, change_json: str | None) -> Any:
        """Applies a change that is given as JSON text."""
        change = documents.parse_change(documents.parse_json(change_json or ""))
        return _change_reply(await self._config.apply(change))

    async def history(self, limit: int | None, before: int | None) -> list[Any]:
        """Returns accepted changes, newest first.

        Args:
            limit: Maximum number of changes, 1 to ``MAX_HISTORY``; ``DEFAULT_HISTORY`` when None.
            before: Only changes with a lower revision are returned; None or 0 for no bound.
        """
        limit = DEFAULT_HISTORY if limit is None else limit
        if not 1 <= limit <= MAX_HISTORY:
            raise errors.ValidationError(
                f"limit is {limit}; expected 1 to {MAX_HISTORY} changes", step="operator.history"
            )
        records = await self._config.records(limit=limit, before=max(0, before or 0))
        return [_history_entry(record) for record in records]

    async def rollback(self, revision: int | None, meta: Any) -> Any:
        """Creates a new revision with the content of an older one."""
        if revision is None:
            raise errors.ValidationError("revision is missing", step="operator.rollback")
        old = await self._config.policy_at(revision)
        return await self._submit(
            meta, lambda policy: documents.dump_sections(documents.difference(policy, old))
        )

    async def start_shift(self, name: str | None, shift: Any, meta: Any) -> Any:
        """Creates or replaces a shift."""
        values = {key: getattr(shift, key, None) for key in _SHIFT_KEYS}
        document = {"service": getattr(shift, "service_name", None), **values}
        return await self._submit(meta, lambda policy: {"shifts": {name or "": document}})

    async def stop_shift(self, name: str | None, meta: Any) -> Any:
        """Deletes a shift."""

        def make_sections(policy: model.Policy) -> Mapping[str, Mapping[str, Any]]:
            _find_object(policy.shifts, name, "shift")
            return {"shifts": {name: None}}

        return await self._submit(meta, make_sections)

    async def drain(self, kind: int | None, name: str | None, meta: Any, cancel: bool) -> Any:
        """Drains a backend server or an entry instance, or cancels the drain of a server.

        The drain of an instance cannot be cancelled.
        """
        if kind == schema.config.DrainKind.SERVER:
            return await self._drain_server(name, meta, bool(cancel))
        if kind != schema.config.DrainKind.INSTANCE:
            raise errors.ValidationError(
                f"kind is {kind}; expected 1 (server) or 2 (instance)", step="operator.drain"
            )
        if cancel:
            raise errors.ValidationError(
                "the drain of an instance cannot be cancelled", step="operator.drain"
            )
        await self._drain_instance(name or "", getattr(meta, "author", None) or "")
        return schema.config.ChangeReply(revision=self._config.revision, already_applied=False)

    async def status(self) -> str:
        """Returns a summary of the state of this instance as JSON text."""
        return json.dumps(self._status_source(), default=str)

    async def dump(self) -> str:
        """Returns the full state of this instance as JSON text."""
        return json.dumps(self._dump_source(), default=str)

    async def _drain_server(self, name: str | None, meta: Any, cancel: bool) -> Any:
        state = model.ServerState.ACTIVE if cancel else model.ServerState.LEAVING

        def make_sections(policy: model.Policy) -> Mapping[str, Mapping[str, Any]]:
            server = _find_object(policy.servers, name, "backend server")
            document = documents.dump_sections({"servers": {server.name: server}})
            document["servers"][server.name]["state"] = state.value
            return document

        return await self._submit(meta, make_sections)

    async def _drain_instance(self, name: str, author: str) -> None:
        self._log.info("drain of instance requested", target=name, author=author)
        if name == self._me.name:
            self._leave()
            return
        address = self._find_instance(name)
        if address is None:
            raise errors.NotFoundError(f"there is no instance {name!r}", step="operator.drain")
        await self._call_peer(address, "drain_instance", instance_name=name, author=author)

    async def _submit(self, meta: Any, make_sections: _SectionsBuilder) -> Any:
        """Builds a change to the current policy and applies it.

        The change id is looked up first, because a repeated change may be invalid for the policy
        that the first call produced.
        """
        base_revision = getattr(meta, "base_revision", None)
        change_id = getattr(meta, "change_id", None)
        recorded = await self._config.find_change(change_id or "")
        if recorded is not None:
            return _change_reply(config_task.Applied(revision=recorded, already_applied=True))
        for attempt in range(1, CONFLICT_ATTEMPTS + 1):
            policy = await self._config.policy_at(self._config.revision)
            document = {
                "base_revision": policy.revision if base_revision is None else base_revision,
                "change_id": change_id,
                "author": getattr(meta, "author", None),
                "sections": make_sections(policy),
            }
            try:
                return _change_reply(await self._config.apply(documents.parse_change(document)))
            except errors.ConflictError:
                if base_revision is not None or attempt == CONFLICT_ATTEMPTS:
                    raise
                await self._config.refresh()
        raise AssertionError("unreachable")


def _change_reply(applied: config_task.Applied) -> Any:
    return schema.config.ChangeReply(
        revision=applied.revision, already_applied=applied.already_applied
    )


def _history_entry(record: config_store.Record) -> Any:
    change = record.change
    return schema.config.HistoryEntry(
        revision=change.revision,
        change_id=change.change_id,
        author=change.author,
        accepted_at_s=record.accepted_at_s,
        accepted_by=record.accepted_by,
        sections_json=json.dumps(documents.dump_sections(change.sections)),
    )


def _find_object(objects: Mapping[str, Any], name: str | None, kind: str) -> Any:
    if name not in objects:
        raise errors.NotFoundError(f"there is no {kind} {name!r}", step="operator.change")
    return objects[name]

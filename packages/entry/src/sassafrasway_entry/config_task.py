"""Replication of the policy: accepts changes, pushes them to peers and fetches missed ones."""

import asyncio
import dataclasses
import json
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import config_log, documents, errors, invariants, lookup, model
from sassafrasway_entry import config_store
from sassafrasway_platform import table as table_lib

POLL_INTERVAL_S = 2.0
# Maximum deviation of a poll interval from the mean, as a fraction of the mean.
POLL_JITTER_FRACTION = 0.25
WRITE_ATTEMPTS = 3
# Maximum number of peers to ask for the policy per refresh while the table service is unavailable.
PULL_ATTEMPTS = 3
PULL_TIMEOUT_S = 2.0
# A peer needs seconds to serialize a policy of the design size for the first time.
FULL_PULL_TIMEOUT_S = 10.0
# Maximum number of missing changes to read one by one. When more are missing, the full document is
# read instead, although it takes seconds to validate at the design size (see ``config_store``).
CATCH_UP_LIMIT = 256

CallPeer = Callable[..., Awaitable[Any]]
# Returns the RPC addresses of some instances.
AddressSource = Callable[[], Sequence[str]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """Result of a change.

    Attributes:
        revision: Revision that the change produced.
        already_applied: Whether an earlier call recorded the change id; this one changed nothing.
    """

    revision: int
    already_applied: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _NewerRevision:
    """Message to the task: the peer at ``source`` has a newer revision."""

    revision: int
    source: str


def _no_addresses() -> Sequence[str]:
    return ()


class ConfigTask:
    """Maintains the policy in force on one entry instance.

    Changes come from operators (``apply``), from peers (``receive``, ``pull``) and from the table
    service (``refresh``). Whatever the source, a policy is never replaced by an older one.

    ``refresh``, ``apply``, ``find_change``, ``records`` and ``policy_at`` read the table service.
    They raise ``errors.SassafraswayError`` when a row is malformed or missing and, apart from
    ``refresh``, ``errors.UnavailableError`` while the table service is unavailable. While no policy
    is known, ``policy_at``, ``changes_since`` and ``full_policy`` raise
    ``errors.UnavailableError``.

    Args:
        push_targets: Returns the RPC addresses to push an accepted change to: the coordinators of
            all regions.
        call_peer: ``await call_peer(address, method, timeout_s=..., **arguments)`` calls a peer.
        on_policy: Called with each new policy.
        relay_targets: Returns the RPC addresses to forward a received change to: on a coordinator
            the members of its region, on other instances none.
        pull_sources: Returns the RPC addresses to ask for the policy while the table service is
            unavailable; the push targets by default.
        own_address: Returns the RPC address of this instance. Pushes carry it, so that a peer that
            lacks earlier changes can request them from this instance.
        poll_interval_s: Mean time between polls of the table service.
    """

    def __init__(
        self,
        *,
        me: model.InstanceId,
        clock: clock_lib.Clock,
        invariants: invariants.Invariants,
        table: table_lib.TableService,
        push_targets: AddressSource,
        call_peer: CallPeer,
        on_policy: Callable[[model.Policy], None],
        relay_targets: AddressSource = _no_addresses,
        pull_sources: AddressSource | None = None,
        own_address: Callable[[], str] = lambda: "",
        rng: random.Random | None = None,
        poll_interval_s: float = POLL_INTERVAL_S,
    ):
        self._me = me
        self._clock = clock
        self._store = config_store.ConfigStore(table=table)
        self._push_targets = push_targets
        self._relay_targets = relay_targets
        self._pull_sources = pull_sources or push_targets
        self._own_address = own_address
        self._call_peer = call_peer
        self._on_policy = on_policy
        self._rng = rng or random.Random()
        self._poll_interval_s = poll_interval_s
        self._config_log = config_log.ConfigLog(invariants=invariants)
        self._blocks = lookup.BlockTable(blocks=())
        self._head: config_store.Head | None = None
        self._store_read_at_s: float | None = None
        # Revision and JSON text of the policy that was serialized last.
        self._document_cache: tuple[int, str] = (-1, "")
        self._apply_lock = asyncio.Lock()
        self._inbox: asyncio.Queue[_NewerRevision] = asyncio.Queue()
        self._pushes: set[asyncio.Task] = set()
        self._log = structlog.get_logger("config").bind(instance=str(me))

    @property
    def policy(self) -> model.Policy | None:
        """The policy in force, or None before the first one is known."""
        return self._config_log.policy

    @property
    def revision(self) -> int:
        """Revision of the policy in force; 0 before the first one is known."""
        return self._config_log.revision

    @property
    def blocks(self) -> lookup.BlockTable:
        """Client blocks of the policy in force."""
        return self._blocks

    def state(self) -> dict[str, Any]:
        """Returns the state for the state dump as a JSON-serializable dict."""
        read_at_s = self._store_read_at_s
        return {
            "revision": self.revision,
            "has_policy": self.policy is not None,
            "head_revision": self._head.revision if self._head else None,
            "store_read_age_s": None if read_at_s is None else self._clock.monotonic() - read_at_s,
            "pushes_in_flight": len(self._pushes),
        }

    async def run(self) -> None:
        """Polls the table service and fetches newer revisions from peers until cancelled."""
        while True:
            await self._log_errors(self.refresh())
            jitter = self._rng.uniform(1 - POLL_JITTER_FRACTION, 1 + POLL_JITTER_FRACTION)
            next_poll_s = asyncio.get_running_loop().time() + self._poll_interval_s * jitter
            while (newer := await self._next_message(next_poll_s)) is not None:
                await self._catch_up(newer)

    async def wait_for_pushes(self) -> None:
        """Waits until all pushes in flight have ended; called before the process stops."""
        while self._pushes:
            await asyncio.gather(*self._pushes, return_exceptions=True)

    def observe_revision(self, revision: int, *, source: str) -> None:
        """Schedules a fetch when a peer has a newer revision.

        ``source`` is the RPC address of the peer; when it is empty, only ``refresh`` is scheduled.
        """
        if revision > self.revision:
            self._inbox.put_nowait(_NewerRevision(revision=revision, source=source))

    async def refresh(self) -> None:
        """Reads the newest revision from the table service and puts it in force.

        While the table service is unavailable, asks peers instead and logs their failures.
        """
        try:
            await self._sync()
        except table_lib.StoreUnavailable as error:
            self._log.info("table service is unavailable; asking peers", reason=str(error))
            await self._pull_any()

    async def apply(self, change: documents.Change) -> Applied:
        """Records a change in the table service and puts it in force.

        Raises:
            errors.ConflictError: The change is not based on the current revision.
            errors.ValidationError: The result would be invalid.
            errors.UnavailableError: The table service is unavailable; the change may or may not
                have been accepted, and it is safe to send it again.
        """
        async with self._apply_lock:
            head = await self._sync()
            recorded = head.change_ids.get(change.change_id)
            if recorded is not None:
                return Applied(revision=recorded, already_applied=True)
            policy = documents.apply_change(self._require_policy(), change)
            record = config_store.Record(
                change=change, accepted_at_s=self._clock.wall(), accepted_by=str(self._me)
            )
            self._head = await self._write_change(head, record, policy)
        self._adopt(change)
        self._log.info(
            "change accepted",
            revision=change.revision,
            change_id=change.change_id,
            author=change.author,
        )
        self._push_change(change, [*self._push_targets(), *self._relay_targets()])
        return Applied(revision=change.revision)

    async def find_change(self, change_id: str) -> int | None:
        """Returns the revision that a recent change produced, or None.

        The table service is read only if the change is not in the log of this instance.
        """
        known = self._config_log.find(change_id)
        return known if known is not None else (await self._sync()).change_ids.get(change_id)

    async def records(self, *, limit: int, before: int = 0) -> list[config_store.Record]:
        """Returns up to ``limit`` accepted changes, newest first.

        Only changes with a revision lower than ``before`` are returned; 0 sets no bound.
        """
        newest = (await self._sync()).revision
        last = min(newest, before - 1) if before else newest
        first = max(1, last - limit + 1)
        return (await self._store.read_records(first=first, last=last))[::-1]

    async def policy_at(self, revision: int) -> model.Policy:
        """Returns the policy of a revision.

        The table service is read only if the revision is not the one in force.

        Raises:
            errors.NotFoundError: There is no such revision.
        """
        current = self._require_policy()
        if revision == current.revision:
            return current
        if not 0 <= revision <= current.revision:
            raise errors.NotFoundError(
                f"there is no revision {revision}; the newest is {current.revision}",
                step="config.policy_at",
            )
        return await self._store.load_policy(revision)

    async def receive(self, change: documents.Change, *, sender: str) -> int:
        """Processes a change that a peer pushed and returns the revision in force afterwards.

        ``sender`` is the RPC address of the peer, from which earlier changes are fetched if they
        are missing; it is empty when the address is unknown.

        Raises:
            errors.ValidationError: The policy would be invalid after the change.
        """
        if self._adopt(change):
            self._push_change(change, self._relay_targets())
        else:
            self.observe_revision(change.revision, source=sender)
        return self.revision

    async def pull(self, address: str) -> None:
        """Fetches the missing changes, or the full policy, from a peer.

        Raises:
            errors.SassafraswayError: The peer did not answer, reported an error or sent an invalid
                response.
        """
        timeout_s = FULL_PULL_TIMEOUT_S if self.policy is None else PULL_TIMEOUT_S
        reply = await self._call_peer(
            address, "changes_since", timeout_s=timeout_s, revision=self.revision
        )
        if reply.revision <= self.revision:
            return
        if reply.policy_json:
            data = await asyncio.to_thread(documents.parse_json, reply.policy_json)
            await self._install_document(data, reply.revision, dict(reply.change_ids or {}))
            return
        for text in reply.changes_json or ():
            self._adopt(documents.parse_change(documents.parse_json(text)))

    def changes_since(self, revision: int) -> list[documents.Change] | None:
        """Returns the changes after a revision, or None when the log does not reach back to it."""
        self._require_policy()
        return self._config_log.since(revision)

    async def full_policy(self) -> tuple[int, str, dict[str, int]]:
        """Returns revision, JSON document and recent change ids of the policy in force."""
        policy = self._require_policy()
        change_ids = self._config_log.change_ids
        if self._document_cache[0] != policy.revision:
            text = await asyncio.to_thread(config_store.dump_policy_json, policy)
            self._document_cache = (policy.revision, text)
            return policy.revision, text, change_ids
        return (*self._document_cache, change_ids)

    async def _sync(self) -> config_store.Head:
        """Reads the head and puts a newer revision in force.

        Raises:
            table.StoreUnavailable: The table service is unavailable, or returned an older revision
                than the one in force.
        """
        head = await self._store.read_head(known=self._head)
        self._store_read_at_s = self._clock.monotonic()
        if head.revision < self.revision:
            raise table_lib.StoreUnavailable(
                f"the table service returned revision {head.revision}, which is older than revision"
                f" {self.revision} in force",
                step="config.read_head",
            )
        self._head = head
        if head.revision > self.revision or self.policy is None:
            await self._load_revision(head)
        return head

    async def _load_revision(self, head: config_store.Head) -> None:
        missing = head.revision - self.revision
        if self.policy is not None and missing <= CATCH_UP_LIMIT:
            records = await self._store.read_records(first=self.revision + 1, last=head.revision)
            for record in records:
                self._adopt(record.change)
            return
        policy = await self._store.load_policy(head.revision)
        await self._install_policy(policy, dict(head.change_ids))

    async def _write_change(
        self, head: config_store.Head, record: config_store.Record, policy: model.Policy
    ) -> config_store.Head:
        """Writes a change; when the outcome is unknown, looks for its change id in the head.

        The write is conditional on the version of the head row. While that version is unchanged,
        the write has had no effect and can be repeated; once it has changed, the write can no
        longer take effect.
        """
        failure: errors.SassafraswayError | None = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                return await self._store.accept(head=head, record=record, policy=policy)
            except (table_lib.PreconditionFailed, table_lib.StoreUnavailable) as error:
                failure = error
            current = await self._store.read_head()
            if record.change.change_id in current.change_ids:
                return current
            if current.row != head.row:
                raise errors.ConflictError(
                    f"revision {current.revision} was accepted in the meantime", step="config.apply"
                )
        raise table_lib.StoreUnavailable(
            f"the table service did not confirm the change: {failure}", step="config.apply"
        )

    async def _pull_any(self) -> None:
        """Fetches the policy from the first of a few random peers that answers."""
        sources = [address for address in self._pull_sources() if address != self._own_address()]
        for address in self._rng.sample(sources, min(PULL_ATTEMPTS, len(sources))):
            try:
                await self.pull(address)
            except errors.SassafraswayError as error:
                self._log.info(
                    "could not fetch the policy from peer", peer=address, reason=str(error)
                )
                continue
            return

    async def _next_message(self, until_s: float) -> _NewerRevision | None:
        """Returns the next message, or None when the event loop's time reaches ``until_s``."""
        try:
            async with asyncio.timeout_at(until_s):
                return await self._inbox.get()
        except TimeoutError:
            return None

    async def _catch_up(self, newer: _NewerRevision) -> None:
        if newer.revision <= self.revision:
            return
        if newer.source:
            await self._log_errors(self.pull(newer.source))
        if newer.revision > self.revision:
            await self._log_errors(self.refresh())

    async def _log_errors(self, work: Awaitable[None]) -> None:
        try:
            await work
        except errors.SassafraswayError as error:
            self._log.warning("could not update the policy", reason=str(error))

    def _adopt(self, change: documents.Change) -> bool:
        """Puts a change in force; returns False when it does not follow the current revision."""
        if not self._config_log.append(change):
            return False
        if "blocks" in change.sections:
            self._blocks = self._blocks.updated(change.sections["blocks"])
        self._on_policy(self._require_policy())
        return True

    async def _install_document(self, data: Any, revision: int, change_ids: dict[str, int]) -> None:
        policy = await asyncio.to_thread(documents.parse_policy, data, revision=revision)
        await self._install_policy(policy, change_ids)

    async def _install_policy(self, policy: model.Policy, change_ids: dict[str, int]) -> None:
        """Indexes the blocks of a full policy and puts it in force.

        A policy of the same or a later revision that came into force in the meantime stays.
        """
        blocks = await asyncio.to_thread(lookup.BlockTable, blocks=policy.blocks.values())
        if self.policy is not None and policy.revision <= self.revision:
            return
        if self._config_log.install(policy, change_ids=change_ids):
            self._blocks = blocks
            self._on_policy(policy)

    def _push_change(self, change: documents.Change, addresses: Sequence[str]) -> None:
        text = json.dumps(documents.dump_change(change))
        for address in dict.fromkeys(addresses):
            if address != self._own_address():
                task = asyncio.create_task(self._push_to(address, text))
                self._pushes.add(task)
                task.add_done_callback(self._pushes.discard)

    async def _push_to(self, address: str, text: str) -> None:
        try:
            await self._call_peer(
                address, "push_change", change_json=text, sender_address=self._own_address()
            )
        except errors.SassafraswayError as error:
            # The peer finds out about the revision from a heartbeat or its own poll.
            self._log.info("could not push change to peer", peer=address, reason=str(error))

    def _require_policy(self) -> model.Policy:
        if self.policy is None:
            raise errors.UnavailableError("no policy is known yet", step="config.policy")
        return self.policy

"""Applies rows of the platform's store to the policy and the server registry of the gateway."""

import abc
import collections
import dataclasses
import hashlib
from collections.abc import Callable, Collection

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors
from sassafrasway_gateway import follower, model, organisations, routing, servers
from sassafrasway_platform import feed


class RowDecoder(abc.ABC):
    """Decodes rows of the platform into the types of the gateway.

    ``policy`` and ``backend_server`` raise ``errors.ValidationError``, and no other error, for an
    invalid row; any writer may have left it. The value is None if the row has none.
    """

    @abc.abstractmethod
    def policy(self, value: bytes | None) -> model.Policy:
        """Decodes a policy."""

    @abc.abstractmethod
    def backend_server(self, key: str, value: bytes | None) -> model.BackendServer:
        """Decodes the listing of a backend server."""

    @abc.abstractmethod
    def is_policy(self, key: str) -> bool:
        """Whether the key is that of the policy row."""

    @abc.abstractmethod
    def evacuated_domain(self, key: str) -> str | None:
        """Returns the failure domain that a row with this key evacuates, or None."""


class RejectedRows:
    """Remembers the rows that were rejected, so that each content is logged once."""

    def __init__(self):
        self._digests: dict[str, bytes] = {}

    def add(self, key: str, value: bytes | None) -> bool:
        """Records a rejected row and returns whether its content was not rejected before."""
        digest = hashlib.blake2b(value or b"", digest_size=8).digest()
        if self._digests.get(key) == digest:
            return False
        self._digests[key] = digest
        return True

    def discard(self, key: str) -> None:
        """Forgets a row, as it became valid or was removed."""
        self._digests.pop(key, None)

    def retain(self, keys: Collection[str]) -> None:
        """Forgets the rows with other keys."""
        self._digests = {key: value for key, value in self._digests.items() if key in keys}


class PolicyState(follower.Listener):
    """The policy in force and the evacuated failure domains, whose servers get no request.

    A policy stays in force when its row is removed. ``on_policy`` is called after a new policy is
    in force. If an older copy replaces the store, evacuations that are missing from it stay for a
    grace period.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        decoder: RowDecoder,
        registry: servers.ServerRegistry,
        on_policy: Callable[[model.Policy], None],
    ):
        self._clock = clock
        self._decoder = decoder
        self._registry = registry
        self._on_policy = on_policy
        # Failure domains that the store lists as evacuated. Within the grace period, those that are
        # no longer listed stay evacuated.
        self._listed_evacuated: set[str] = set()
        self._grace_until_s = 0.0
        self._policy: model.Policy | None = None
        self._routes: routing.RouteTable | None = None
        self._keys = organisations.OrganisationKeys(())
        self._evacuated: set[str] = set()
        self._rejected = RejectedRows()
        self._log = structlog.get_logger("policy")

    @property
    def policy(self) -> model.Policy | None:
        """The policy in force; None before the first one."""
        return self._policy

    @property
    def routes(self) -> routing.RouteTable | None:
        """Routes of the policy in force; None before the first one."""
        return self._routes

    @property
    def keys(self) -> organisations.OrganisationKeys:
        """Keys of the organisations of the policy in force."""
        return self._keys

    def on_rows(self, changes: feed.Changes) -> None:
        """See base class."""
        evacuated = set()
        for change in changes.rows:
            if change.value is None:
                continue
            domain = self._decoder.evacuated_domain(change.key)
            if domain is not None:
                evacuated.add(domain)
            elif self._decoder.is_policy(change.key):
                self._apply(change)
        self._set_evacuated(evacuated)

    def on_change(self, change: feed.Change) -> None:
        """See base class."""
        domain = self._decoder.evacuated_domain(change.key)
        if domain is not None:
            others = self._listed_evacuated - {domain}
            self._set_evacuated(others if change.value is None else others | {domain})
        elif self._decoder.is_policy(change.key) and change.value is not None:
            self._apply(change)

    def on_store_returned(self, grace_s: float) -> None:
        """Does nothing: policies do not expire."""

    def on_new_era(self, grace_s: float) -> None:
        """Starts the grace period for evacuations that an older copy of the store lacks."""
        self._grace_until_s = self._clock.monotonic() + grace_s

    def sweep(self) -> None:
        """Ends the evacuations that were not listed again within the grace period."""
        self._set_evacuated(self._listed_evacuated)

    def _apply(self, change: feed.Change) -> None:
        """Applies a policy row unless it is invalid or not newer than the policy in force."""
        try:
            policy = self._decoder.policy(change.value)
        except errors.ValidationError as error:
            if self._rejected.add(change.key, change.value):
                self._log.error(
                    "invalid policy rejected", row_version=change.version, error=str(error)
                )
            return
        if self._policy is not None and policy.version <= self._policy.version:
            self._log.info(
                "policy ignored, version is not newer",
                version=policy.version,
                newest=self._policy.version,
            )
            return
        self._policy = policy
        self._routes = routing.RouteTable(routes=policy.routes)
        self._keys = organisations.OrganisationKeys(policy.organisations.values())
        self._registry.set_warmup(policy.services.values())
        for problem in policy.problems:
            self._log.warning("part of the policy not understood", problem=problem)
        self._log.info(
            "policy in force",
            version=policy.version,
            row_version=change.version,
            organisations=len(policy.organisations),
        )
        self._on_policy(policy)

    def _set_evacuated(self, listed: set[str]) -> None:
        self._listed_evacuated = listed
        in_grace = self._clock.monotonic() < self._grace_until_s
        evacuated = listed | self._evacuated if in_grace else listed
        if evacuated == self._evacuated:
            return
        self._log.info(
            "evacuated failure domains changed",
            domains=sorted(evacuated),
            before=sorted(self._evacuated),
        )
        self._evacuated = set(evacuated)
        self._registry.set_evacuated(evacuated)


class ServerTableListener(follower.Listener):
    """Updates the registry from the listings in the table of backend servers."""

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        decoder: RowDecoder,
        registry: servers.ServerRegistry,
    ):
        self._clock = clock
        self._decoder = decoder
        self._registry = registry
        self._grace_until_s = 0.0
        self._rejected = RejectedRows()
        self._log = structlog.get_logger("servers")

    def on_rows(self, changes: feed.Changes) -> None:
        """See base class."""
        registry_was_empty = not len(self._registry)
        listed = set()
        for change in changes.rows:
            if change.value is not None and self._upsert(change, log=not registry_was_empty):
                listed.add(change.key)
        if registry_was_empty:
            counts = collections.Counter(state.server.service for state in self._registry)
            self._log.info("server list read", row_version=changes.version, counts=dict(counts))
        for state in list(self._registry):
            if state.server.server_id not in listed:
                self._remove(state.server.server_id)
        self._rejected.retain({change.key for change in changes.rows})

    def on_change(self, change: feed.Change) -> None:
        """See base class."""
        if change.value is None:
            self._rejected.discard(change.key)
            self._remove(change.key)
        elif not self._upsert(change):
            self._remove(change.key)

    def on_store_returned(self, grace_s: float) -> None:
        """Starts the grace period for listings that expired while the store was away."""
        self._grace_until_s = max(self._grace_until_s, self._clock.monotonic() + grace_s)

    def on_new_era(self, grace_s: float) -> None:
        """Starts the grace period for listings that an older copy of the store lacks."""
        self.on_store_returned(grace_s)
        self._registry.on_new_era(grace_s)

    def sweep(self) -> None:
        """Removes the servers that were not listed again within the grace period."""
        now_s = self._clock.monotonic()
        for state in list(self._registry):
            if state.remove_at_s is not None and now_s >= state.remove_at_s:
                self._log.info("server removed", server=state.server.server_id, after="grace")
                self._registry.remove(state.server.server_id)

    def _upsert(self, change: feed.Change, *, log: bool = True) -> bool:
        """Adds or updates the server of a row; returns False if the row is invalid."""
        try:
            server = self._decoder.backend_server(change.key, change.value)
        except errors.ValidationError as error:
            if self._rejected.add(change.key, change.value):
                self._log.warning("invalid server listing", server=change.key, error=str(error))
            return False
        self._rejected.discard(change.key)
        state = self._registry.get(change.key)
        if self._registry.is_outdated(server):
            self._ignore_outdated(server, state, change.version)
            return True
        if state is not None and state.remove_at_s is None:
            # Repeated listings that differ only in the sequence number would flood the log.
            log = (
                log and dataclasses.replace(server, sequence=state.server.sequence) != state.server
            )
        self._registry.upsert(server)
        if log:
            self._log.info(
                "server listed",
                server=server.server_id,
                service=server.service,
                draining=server.draining,
                cold_left_s=server.cold_left_s,
                row_version=change.version,
            )
        return True

    def _ignore_outdated(
        self, server: model.BackendServer, state: servers.ServerState | None, row_version: int
    ) -> None:
        """Ignores a listing that is older than the known state; a removed server stays removed."""
        if state is not None:
            state.remove_at_s = None
            # Most listings of an older copy differ only in the sequence number.
            if dataclasses.replace(server, sequence=state.server.sequence) == state.server:
                return
        self._log.info(
            "outdated server listing ignored",
            server=server.server_id,
            draining=server.draining,
            sequence=server.sequence,
            removed=state is None,
            row_version=row_version,
        )

    def _remove(self, server_id: str) -> None:
        """Removes a server, or marks it for removal if the grace period covers it."""
        state = self._registry.get(server_id)
        if state is None:
            return
        if self._clock.monotonic() < self._grace_until_s and not state.server.draining:
            if state.remove_at_s is None:
                state.remove_at_s = self._grace_until_s
            return
        self._log.info("server removed", server=server_id, after="removal")
        self._registry.remove(server_id)

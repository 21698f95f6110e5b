"""Registers an instance in the fleet's table of members and removes it again."""

import asyncio
import contextlib
import random

import structlog

from sassafrasway_core import errors
from sassafrasway_gateway import fleet, peer_messages
from sassafrasway_platform import feed, table

BACKOFF_S = 0.5


class Registration:
    """Maintains the row of this instance in the table of members."""

    def __init__(
        self,
        *,
        store: feed.FollowedStore,
        table_name: str,
        view: fleet.FleetView,
        rng: random.Random,
    ):
        self._store = store
        self._table = table_name
        self._view = view
        self._rng = rng
        self._log = structlog.get_logger("process")

    async def register(self) -> None:
        """Writes the row of this instance, then adds the listed members to the fleet view.

        Writing before reading ensures that two instances that start at the same time find each
        other. Retries until the store responds.
        """
        own = self._view.own
        row = peer_messages.encode(peer_messages.hello(own, reply=True, versions={}))
        while True:
            try:
                await self._store.write(self._table, own.name, row)
                listed = await self._store.read(self._table)
            except table.StoreUnavailable as error:
                self._log.warning("registration failed; retrying", error=str(error))
                await asyncio.sleep(BACKOFF_S * self._rng.uniform(0.5, 1.5))
                continue
            break
        for change in listed.rows:
            self._add_listed(change)
        self._view.set_has_list()

    async def deregister(self) -> None:
        """Removes the row of this instance.

        An unavailable store is ignored, as the other instances detect the exit by themselves.
        """
        with contextlib.suppress(table.StoreUnavailable):
            await self._store.write(self._table, self._view.own.name, None)

    def _add_listed(self, change: feed.Change) -> None:
        try:
            message = peer_messages.decode(change.value)
        except errors.ValidationError as error:
            self._log.warning(
                "invalid row in the table of members", key=change.key, error=str(error)
            )
            return
        if isinstance(message, peer_messages.Hello):
            self._view.add_listed(peer_messages.member_of(message))

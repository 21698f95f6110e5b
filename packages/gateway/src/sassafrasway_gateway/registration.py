"""Registers an instance in the fleet's table of members and removes it again."""

import asyncio
import contextlib
import random

import structlog

from sassafrasway_core import errors
from sassafrasway_gateway import fleet, peer_messages, relay_role
from sassafrasway_platform import feed, table

BACKOFF_S = 0.5
# Time over which the instances of a fleet spread the writes of their rows in a new era.
RENEWAL_WINDOW_S = 3.0
# Time within which all instances write their rows again in a new era. They learn of it when a poll
# ends at the latest.
RELIST_DELAY_S = relay_role.POLL_WAIT_S + relay_role.POLL_MARGIN_S + RENEWAL_WINDOW_S


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
        # Newest era in which the store had the row of this instance, newest known era, and era at
        # registration.
        self._row_era = 0
        self._era = 0
        self._registered_era = 0
        self._era_changed = asyncio.Event()
        self._leaving = False
        self._writing = asyncio.Lock()
        self._log = structlog.get_logger("process")

    async def register(self) -> None:
        """Writes the row of this instance, then adds the listed members to the fleet view.

        Writing before reading ensures that two instances that start at the same time find each
        other. Retries until the store responds.
        """
        own = self._view.own
        while True:
            try:
                await self._write_row()
                listed = await self._store.read(self._table)
            except (table.StoreUnavailable, feed.HistoryLost) as error:
                self._log.warning("registration failed; retrying", error=str(error))
                await asyncio.sleep(BACKOFF_S * self._rng.uniform(0.5, 1.5))
                continue
            break
        if any(change.key == own.name for change in listed.rows):
            self._row_era = self._store.era(listed.version)
        self._registered_era = self._store.era(listed.version)
        self._add_all(listed)
        self._view.set_has_list()

    async def complete_list(self) -> bool:
        """Reads the listed members a second time unless the store is in its first era.

        An older copy of the store may have lacked rows of members when this instance registered.

        Returns:
            Whether they were read.
        """
        if not self._registered_era:
            return False
        await asyncio.sleep(RELIST_DELAY_S)
        try:
            self._add_all(await self._store.read(self._table))
        except (table.StoreUnavailable, feed.HistoryLost) as error:
            self._log.warning("list of members not read a second time", error=str(error))
            return False
        return True

    async def deregister(self) -> None:
        """Removes the row of this instance.

        An unavailable store is ignored, as the other instances detect the exit by themselves.
        """
        self._leaving = True
        with contextlib.suppress(table.StoreUnavailable, feed.HistoryLost):
            async with self._writing:
                await self._store.write(self._table, self._view.own.name, None)

    def on_era(self, era: int) -> None:
        """Records the era of the store; `renew` writes the row again if it is a new one."""
        if era > self._era:
            self._era = era
            self._era_changed.set()

    async def renew(self) -> None:
        """Writes the row of this instance again once in each new era, until cancelled.

        An older copy of the store may lack the row. Each instance waits for a random part of
        ``RENEWAL_WINDOW_S`` first.
        """
        while True:
            self._era_changed.clear()
            if self._era <= self._row_era:
                await self._era_changed.wait()
                continue
            await asyncio.sleep(RENEWAL_WINDOW_S * self._rng.random())
            if self._leaving:
                return
            era = self._era
            try:
                await self._write_row()
            except (table.StoreUnavailable, feed.HistoryLost) as error:
                self._log.warning("row not written again; retrying", era=era, error=str(error))
                await asyncio.sleep(BACKOFF_S * self._rng.uniform(0.5, 1.5))
                continue
            self._row_era = era
            self._log.info("row written again in a new era of the store", era=era)

    async def _write_row(self) -> None:
        async with self._writing:
            if self._leaving:
                return
            own = self._view.own
            row = peer_messages.encode(peer_messages.hello(own, reply=True, versions={}))
            await self._store.write(self._table, own.name, row)

    def _add_all(self, listed: feed.Changes) -> None:
        for change in listed.rows:
            self._add_listed(change)

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

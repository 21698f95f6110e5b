"""Follows one table of the platform's store and keeps following it through outages."""

import abc
import asyncio
import random
import time

import structlog

from sassafrasway_gateway import relay, table_cache
from sassafrasway_platform import feed, table

# Collects changes that come in quick succession into one call; store calls are limited and dear.
BATCH_S = 0.5
FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 0.8
# Time that a poll may lag behind a version that another instance has seen.
LAG_TOLERANCE_S = 0.4
LOST_LOG_INTERVAL_S = 1.0
# A younger poll is left alone: it may still be opening its connection.
YOUNGEST_STALE_POLL_S = 1.0


class Listener(abc.ABC):
    """Receives the rows of a followed table."""

    @abc.abstractmethod
    def on_rows(self, changes: feed.Changes) -> None:
        """Takes over the whole table."""

    @abc.abstractmethod
    def on_change(self, change: feed.Change) -> None:
        """Takes over one change."""

    @abc.abstractmethod
    def on_regained(self, outage_s: float) -> None:
        """The store answers again.

        Args:
            outage_s: Length of the outage as seen by this instance, s.
        """


class TableFollower:
    """Task that reads a table and then waits for its changes.

    Args:
        store: Client of the store.
        table_name: Table to follow.
        listener: Receives rows.
        cache: Keeps the rows for other instances.
        role: Decides whether to read the store or to ask another instance.
        relay_client: Fetches rows from other instances.
        rng: Random source for the spread of retries.
    """

    def __init__(
        self,
        *,
        store: feed.FollowedStore,
        table_name: str,
        listener: Listener,
        cache: table_cache.TableCache,
        role: relay.RelayRole,
        relay_client: relay.RelayClient,
        rng: random.Random,
    ):
        self._store = store
        self._table = table_name
        self._listener = listener
        self._cache = cache
        self._role = role
        self._relay_client = relay_client
        self._rng = rng
        self._backoff_s = FIRST_BACKOFF_S
        self._poll: asyncio.Task | None = None
        self._lost_since_s: float | None = None
        self._lost_logged_s = 0.0
        self._informed_since_s: float | None = None
        self._polling_since_s = 0.0
        self._nudged_s = 0.0
        self._reading = False
        self._must_read = True
        self._store_answers = False
        self._log = structlog.get_logger("store")

    @property
    def version(self) -> int:
        """Newest version seen, -1 before the first read."""
        return self._cache.version

    @property
    def lost(self) -> bool:
        """Whether changes of the table no longer arrive."""
        return self._lost_since_s is not None

    @property
    def reading(self) -> bool:
        """Whether this instance reads the store itself and the store answers."""
        return self._reading and self._store_answers and self.version >= 0

    @property
    def contact_s(self) -> float:
        """How long changes have arrived without a break; 0 while they do not."""
        if self._informed_since_s is None:
            return 0.0
        return time.monotonic() - self._informed_since_s

    def nudge(self, version: int) -> None:
        """Repeats the poll when another instance has seen a newer version.

        A connection can go silent without a reset; the poll on it would wait in vain.
        """
        if version <= self.version or self._poll is None or self.version < 0:
            return
        now_s = time.monotonic()
        if now_s - self._polling_since_s < YOUNGEST_STALE_POLL_S:
            return
        if self._nudged_s == 0.0:
            self._nudged_s = now_s
        elif now_s - self._nudged_s > LAG_TOLERANCE_S:
            self._nudged_s = 0.0
            self._log.warning("poll lags behind", table=self._table, seen=self.version, at=version)
            self._poll.cancel()

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            try:
                await self._step()
            except feed.HistoryLost:
                self._log.warning("history lost", table=self._table, version=self.version)
                self._must_read = True
            except table.StoreUnavailable as error:
                self._store_answers = False
                self._on_lost(error)
                await asyncio.sleep(self._backoff_s * self._rng.uniform(0.5, 1.0))
                self._backoff_s = min(LONGEST_BACKOFF_S, self._backoff_s * 2.0)

    async def _step(self) -> None:
        source = self._role.source(self._table, self.version)
        if source is not None:
            await self._fetch(source)
        elif self._role.reads(self._table):
            self._set_reading(True)
            await self._read_or_poll()
        else:
            self._set_reading(False)
            await self._wait_for_news()

    async def _wait_for_news(self) -> None:
        if self._role.informed(self._table):
            self._on_informed()
        elif self._informed_since_s is not None:
            self._on_lost("no announcements")
        self._role.news.clear()
        try:
            async with asyncio.timeout(relay.BEACON_INTERVAL_S):
                await self._role.news.wait()
        except TimeoutError:
            pass

    async def _fetch(self, source: str) -> None:
        relayed = await self._relay_client.fetch(source, self._table, after=self.version)
        changes = relay.to_changes(relayed)
        if changes.version < self.version:
            return
        if relayed.full:
            self._take_all(changes)
        else:
            self._take_changes(changes)
        self._on_informed()

    async def _read_or_poll(self) -> None:
        if self._must_read:
            await self._read_store()
        else:
            await self._poll_store()

    async def _read_store(self) -> None:
        changes = await self._store.read(self._table)
        self._store_answers = True
        self._on_informed()
        self._take_all(changes)
        # Gives the other instances time to answer before the roles are decided.
        await asyncio.sleep(BATCH_S)

    async def _poll_store(self) -> None:
        times = self._role.poll_times()
        wait_s = times.wait_s * self._rng.uniform(0.8, 1.0) if self._store_answers else 0.0
        call = self._store.changes(
            self._table, after=self.version, wait_s=wait_s, timeout_s=wait_s + times.slack_s
        )
        self._polling_since_s = time.monotonic()
        self._nudged_s = 0.0
        self._poll = asyncio.get_running_loop().create_task(call)
        try:
            changes = await self._poll
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            self._store_answers = False
            return
        finally:
            self._poll.cancel()
            self._poll = None
        self._store_answers = True
        self._on_informed()
        self._take_changes(changes)
        if changes.rows:
            await asyncio.sleep(BATCH_S)

    def _take_all(self, changes: feed.Changes) -> None:
        self._must_read = False
        self._cache.replace(changes)
        self._listener.on_rows(changes)

    def _take_changes(self, changes: feed.Changes) -> None:
        for change in changes.rows:
            self._listener.on_change(change)
        self._cache.apply(changes)

    def _set_reading(self, reading: bool) -> None:
        if reading != self._reading:
            self._reading = reading
            self._log.info("reads the store", table=self._table, reads=reading)

    def _on_lost(self, error: object) -> None:
        now_s = time.monotonic()
        if self._lost_since_s is None:
            self._lost_since_s = now_s
            self._informed_since_s = None
            self._lost_logged_s = now_s
            self._log.warning("store lost", table=self._table, error=str(error))
        elif now_s - self._lost_logged_s >= LOST_LOG_INTERVAL_S:
            self._lost_logged_s = now_s
            self._log.warning(
                "store still lost",
                table=self._table,
                error=str(error),
                version=self.version,
                outage_s=round(now_s - self._lost_since_s, 2),
            )

    def _on_informed(self) -> None:
        self._backoff_s = FIRST_BACKOFF_S
        if self._informed_since_s is None:
            self._informed_since_s = time.monotonic()
        if self._lost_since_s is None:
            return
        outage_s = time.monotonic() - self._lost_since_s
        self._lost_since_s = None
        self._log.info("store regained", table=self._table, outage_s=round(outage_s, 2))
        self._listener.on_regained(outage_s)

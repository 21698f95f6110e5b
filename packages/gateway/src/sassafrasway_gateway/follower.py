"""Follows one table of the platform's store and recovers from outages."""

import abc
import asyncio
import random
from collections.abc import Callable

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import outage, relay, relay_role, table_cache
from sassafrasway_platform import feed, table

# Delay after each call that returned rows, so that the next call returns all changes made in quick
# succession. Calls to the store are limited and billed.
BATCH_INTERVAL_S = 0.5
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 0.8
# Time for which a poll may lag behind a version that another instance reports.
LAG_TOLERANCE_S = 0.4
INTERRUPTION_LOG_INTERVAL_S = 1.0
# A younger poll is not cancelled: it may still be opening its connection.
MIN_STALE_POLL_AGE_S = 1.0


class Listener(abc.ABC):
    """Receives the rows of a followed table."""

    @abc.abstractmethod
    def on_rows(self, changes: feed.Changes) -> None:
        """Replaces all rows of the table."""

    @abc.abstractmethod
    def on_change(self, change: feed.Change) -> None:
        """Applies one change."""

    @abc.abstractmethod
    def on_store_returned(self, grace_s: float) -> None:
        """Called when the store answers again after it was away, before any rows.

        Rows that are missing may be back within ``grace_s``.
        """

    @abc.abstractmethod
    def on_new_era(self, grace_s: float) -> None:
        """Called when an older copy has replaced the store, before any rows of the new era.

        Rows may be missing or older than known; they are written again within ``grace_s``.
        """


class TableFollower:
    """Reads a table, then receives its changes from polls of the store or from other instances.

    ``on_era`` is called with the era of the store when the first rows are received, and when an
    older copy has replaced the store.
    """

    def __init__(
        self,
        *,
        store: feed.FollowedStore,
        table_name: str,
        listener: Listener,
        cache: table_cache.TableCache,
        role: relay_role.RelayRole,
        relay_client: relay.RelayClient,
        rng: random.Random,
        on_era: Callable[[int], None] = lambda era: None,
    ):
        self._store = store
        self._table = table_name
        self._listener = listener
        self._cache = cache
        self._role = role
        self._relay_client = relay_client
        self._rng = rng
        self._on_era = on_era
        # Era of the rows received so far; None before the first ones.
        self._era: int | None = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._poll: asyncio.Task | None = None
        # Whether changes of the table arrive; None before the first ones.
        self._in_contact: bool | None = None
        self._interrupted_s = 0.0
        self._interruption_logged_s = 0.0
        self._evidence = outage.Evidence()
        self._judgement: outage.Judgement | None = None
        self._last_answered_call_s: float | None = None
        self._polling_since_s = 0.0
        self._lagging_since_s = 0.0
        self._is_reader = False
        # Whether the store has not responded yet since this instance became a reader.
        self._awaits_first_response = False
        self._needs_full_read = True
        self._store_responds = False
        self._log = structlog.get_logger("store")

    @property
    def version(self) -> int:
        """Version of the rows received so far; -1 before the first read."""
        return self._cache.version

    @property
    def interrupted(self) -> bool:
        """Whether changes of the table have stopped arriving."""
        return self._in_contact is False

    @property
    def interrupted_for_s(self) -> float:
        """Time since changes of the table have stopped arriving, s; 0 while they arrive."""
        return clock_lib.elapsed_s() - self._interrupted_s if self.interrupted else 0.0

    @property
    def judgement(self) -> outage.Judgement | None:
        """Conclusion about the last interruption; None before the first one."""
        return self._judgement

    @property
    def grace_left_s(self) -> float:
        """Time for which rows that are missing may still come back, s."""
        if self._judgement is None:
            return 0.0
        end_s = self._judgement.judged_s + self._judgement.grace_s
        return max(0.0, end_s - clock_lib.elapsed_s())

    @property
    def last_answered_call_s(self) -> float | None:
        """Monotonic time at which the last call that the store answered began, or None."""
        return self._last_answered_call_s

    @property
    def reading(self) -> bool:
        """Whether this instance reads the table from the store and the store responds."""
        return self._is_reader and self._store_responds and self.version >= 0

    @property
    def unanswered(self) -> bool:
        """Whether this instance tries to read the table and the store does not respond."""
        tries = self._is_reader and not self._store_responds and self.version >= 0
        return tries and (self.interrupted or self._awaits_first_response)

    def on_answer_told(self, name: str, called_s: float) -> None:
        """Records when another instance began the last call that the store answered."""
        self._evidence.on_answer_told(name, called_s=called_s, told_s=clock_lib.elapsed_s())

    def on_reported_version(self, version: int) -> None:
        """Cancels a stalled poll if another instance has a newer version than this one.

        A connection can stall without being reset; the poll would then wait for its timeout. Once
        it has lagged for more than ``LAG_TOLERANCE_S``, it is cancelled, and `run` polls again or
        fetches from another instance.
        """
        if version <= self.version or self._poll is None or self.version < 0:
            return
        now_s = clock_lib.elapsed_s()
        if now_s - self._polling_since_s < MIN_STALE_POLL_AGE_S:
            return
        if self._lagging_since_s == 0.0:
            self._lagging_since_s = now_s
        elif now_s - self._lagging_since_s > LAG_TOLERANCE_S:
            self._lagging_since_s = 0.0
            self._log.warning(
                "poll cancelled: another instance has a newer version",
                table=self._table,
                seen=self.version,
                at=version,
            )
            self._poll.cancel()

    def on_era_told(self, era: int) -> None:
        """Cancels a poll that waits for changes of an earlier era."""
        if self._poll is not None and self._era is not None and self._era < era:
            self._poll.cancel()

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            try:
                await self._step()
            except feed.HistoryLost as error:
                self._log.warning(
                    "change history no longer available; reading the whole table",
                    table=self._table,
                    version=self.version,
                    reason=error.message,
                )
                self._needs_full_read = True
            except table.StoreUnavailable as error:
                self._on_interrupted(error)
                await self._back_off()
            except Exception as error:
                # Part of the changes may have been applied, so the whole table is needed again.
                self._needs_full_read = True
                self._store_responds = False
                self._log.exception("table not followed", table=self._table, error=repr(error))
                self._on_interrupted(error)
                await self._back_off()

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_s * self._rng.uniform(0.5, 1.0))
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2.0)

    async def _step(self) -> None:
        source = self._role.choose_source(self._table, self.version)
        if source is not None:
            await self._fetch(source)
        elif self._role.is_reader(self._table, reading=self.reading):
            self._set_reader(True)
            await self._read_or_poll()
        else:
            self._set_reader(False)
            await self._wait_for_announcement()

    async def _wait_for_announcement(self) -> None:
        if self._role.has_recent_announcement(self._table):
            self._on_contact()
        elif self._in_contact is not None:
            self._on_interrupted("no announcements from the readers of this region")
            if self._role.is_held(self._table):
                self._evidence.on_held(clock_lib.elapsed_s())
        self._role.announcement_received.clear()
        wait_s = relay_role.BEACON_INTERVAL_S
        takeover_wait_s = self._role.takeover_wait_s(self._table)
        if takeover_wait_s > 0:
            wait_s = min(wait_s, takeover_wait_s)
        try:
            async with asyncio.timeout(wait_s):
                await self._role.announcement_received.wait()
        except TimeoutError:
            pass

    async def _fetch(self, source: str) -> None:
        try:
            relayed = await self._relay_client.fetch(source, self._table, after=self.version)
        except table.StoreUnavailable:
            self._role.on_fetch_failed(source, self._table)
            raise
        changes = relay.to_changes(relayed)
        if changes.version <= self.version:
            # The source announced a version that it cannot serve; asking again at once would keep
            # both instances busy.
            await asyncio.sleep(relay_role.BEACON_INTERVAL_S)
            return
        # Before the rows: the grace must cover those that are missing from them.
        self._on_contact(told_grace_s=relayed.grace_ms / 1000.0)
        if relayed.full:
            self._replace_all(changes)
        else:
            self._apply_changes(changes)

    async def _read_or_poll(self) -> None:
        if self._needs_full_read:
            await self._read_store()
        else:
            await self._poll_store()

    async def _read_store(self) -> None:
        started_s = clock_lib.elapsed_s()
        try:
            changes = await self._store.read(self._table)
            if self._era is not None and self._store.era(changes.version) < self._era:
                raise table.StoreUnavailable("rows of an era that has ended", step="follower.read")
        except table.StoreUnavailable:
            self._on_failed_call(started_s=started_s, failed_s=started_s)
            raise
        self._on_response(called_s=started_s)
        self._on_contact()
        self._replace_all(changes)
        # Gives the other instances time to answer the first message of this one. Until then, they
        # are missing from its ranking of the region, and it counts as a reader.
        await asyncio.sleep(BATCH_INTERVAL_S)

    async def _poll_store(self) -> None:
        times = self._role.poll_times()
        # A poll waits for changes only if the store responded to the previous call. Otherwise it
        # shows immediately whether the store responds.
        wait_s = times.wait_s * self._rng.uniform(0.8, 1.0) if self._store_responds else 0.0
        call = self._store.changes(
            self._table, after=self.version, wait_s=wait_s, timeout_s=wait_s + times.margin_s
        )
        self._polling_since_s = clock_lib.elapsed_s()
        self._lagging_since_s = 0.0
        self._poll = asyncio.get_running_loop().create_task(call)
        try:
            changes = await self._poll
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            # Only the poll was cancelled, by `on_reported_version`.
            self._store_responds = False
            return
        except table.StoreUnavailable:
            # While a poll waits for changes, its silence shows nothing.
            failed_s = clock_lib.elapsed_s() if wait_s else self._polling_since_s
            self._on_failed_call(started_s=self._polling_since_s, failed_s=failed_s)
            raise
        finally:
            self._poll.cancel()
            self._poll = None
        self._on_response(called_s=self._polling_since_s)
        self._on_contact()
        self._apply_changes(changes)
        if changes.rows:
            await asyncio.sleep(BATCH_INTERVAL_S)

    def _on_response(self, *, called_s: float) -> None:
        self._store_responds = True
        self._awaits_first_response = False
        self._last_answered_call_s = called_s

    def _on_failed_call(self, *, started_s: float, failed_s: float) -> None:
        self._store_responds = False
        self._evidence.on_failed_call(started_s=started_s, failed_s=failed_s)

    def _replace_all(self, changes: feed.Changes) -> None:
        self._needs_full_read = False
        new_era = self._note_era(changes.version)
        self._cache.replace(changes, new_era=new_era)
        self._listener.on_rows(changes)

    def _apply_changes(self, changes: feed.Changes) -> None:
        new_era = False
        for change in changes.rows:
            # Changes from another instance may span two eras.
            new_era |= self._note_era(change.version)
            try:
                self._listener.on_change(change)
            except Exception as error:
                # One row must not keep the others from being applied.
                self._log.exception(
                    "change not applied", table=self._table, key=change.key, error=repr(error)
                )
        new_era |= self._note_era(changes.version)
        self._cache.apply(changes, new_era=new_era)

    def _note_era(self, version: int) -> bool:
        """Records the era of a version, and reports it if it is new.

        Returns:
            Whether an older copy has replaced the store.
        """
        era, before = self._store.era(version), self._era
        if before is not None and era <= before:
            return False
        self._era = era
        if before is not None:
            self._log.warning(
                "store replaced by an older copy",
                table=self._table,
                era=era,
                before=before,
                version=self.version,
                grace_s=outage.RELIST_GRACE_S,
            )
            self._listener.on_new_era(outage.RELIST_GRACE_S)
        self._on_era(era)
        return before is not None

    def _set_reader(self, is_reader: bool) -> None:
        if is_reader != self._is_reader:
            self._is_reader = is_reader
            # A response to an earlier term as a reader says nothing about the store now.
            self._store_responds = False
            self._awaits_first_response = is_reader
            self._log.info("store reader role changed", table=self._table, reads=is_reader)

    def _on_interrupted(self, reason: object) -> None:
        now_s = clock_lib.elapsed_s()
        if not self.interrupted:
            self._in_contact = False
            self._interrupted_s = now_s
            self._interruption_logged_s = now_s
            self._log.warning("table updates interrupted", table=self._table, error=str(reason))
        elif now_s - self._interruption_logged_s >= INTERRUPTION_LOG_INTERVAL_S:
            self._interruption_logged_s = now_s
            self._log.warning(
                "table updates still interrupted",
                table=self._table,
                error=str(reason),
                version=self.version,
                outage_s=round(now_s - self._interrupted_s, 2),
            )

    def _on_contact(self, *, told_grace_s: float = 0.0) -> None:
        """Ends an interruption, if there is one, and judges what it was.

        Rows may be fetched a moment after the announcement that has ended the interruption, so the
        grace of their source counts then too.
        """
        self._backoff_s = INITIAL_BACKOFF_S
        now_s = clock_lib.elapsed_s()
        if self.interrupted:
            judgement = self._evidence.judge(
                now_s, silent_s=now_s - self._interrupted_s, told_grace_s=told_grace_s
            )
        elif told_grace_s > self.grace_left_s and self._just_resumed(now_s):
            judgement = self._evidence.judge(now_s, silent_s=0.0, told_grace_s=told_grace_s)
        else:
            self._in_contact = True
            return
        self._in_contact = True
        self._evidence = outage.Evidence()
        self._judgement = judgement
        self._log.info("table updates resumed", table=self._table, **judgement.fields())
        if judgement.cause is outage.Cause.STORE_AWAY:
            self._listener.on_store_returned(judgement.grace_s)

    def _just_resumed(self, now_s: float) -> bool:
        """Whether an interruption has just ended that this instance could not explain itself."""
        unexplained = (outage.Cause.READERS_LOST, outage.Cause.SHORT)
        return (
            self._judgement is not None
            and self._judgement.cause in unexplained
            and now_s - self._judgement.judged_s < outage.RELIST_GRACE_S
        )

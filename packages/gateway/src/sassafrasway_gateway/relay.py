"""Lets a few instances of a region read the platform's store and pass the rows on.

Calls to the store are limited and priced for the whole fleet. In each region the first instances of
a common order read it; they announce their versions to the others, which fetch what is new from
them. When the announcements stop, the next instances of the order begin to read, one after the
other, without any agreement.
"""

import asyncio
import collections
import dataclasses
import hashlib
import random
import time
import urllib.parse
import zlib

import msgspec

from sassafrasway_gateway import fleet, http_client, http_server, messages, settings, table_cache
from sassafrasway_platform import feed, table

READERS_PER_REGION = 2
BEACON_INTERVAL_S = 0.25
# Announcements older than this no longer count.
BEACON_LIFETIME_S = 0.8
# Pause between the instances that begin to read one after the other.
TAKEOVER_STEP_S = 0.25
# Longest wait of a poll, and what it may take longer before the connection counts as silent.
POLL_WAIT_S = 4.0
POLL_SLACK_S = 1.5
# The same where no other region can tell of newer versions: if all readers of the only region sit
# on silent connections, the others find out only when the polls time out.
LONE_POLL_WAIT_S = 0.6
LONE_POLL_SLACK_S = 0.8
# Instances beyond these do not begin to read: when so many cannot, the store itself is away.
MOST_TAKEOVERS = 6
# A transfer that is broken off is lost work for a slow link, so each timeout doubles the next one.
FIRST_FETCH_TIMEOUT_S = 0.8
LONGEST_FETCH_TIMEOUT_S = 2.0
# Encoded answers that are kept for the next instance that asks for the same.
MOST_ENCODED = 8
# Instances of each other region that learn of a new version at once.
FAR_AUDIENCE = 3
# Time that the region's own announcements have before another instance is asked.
HINT_PATIENCE_S = 0.4
HINT_LIFETIME_S = 3.0


class RelayedRow(msgspec.Struct, array_like=True, frozen=True):
    """One row on its way between instances."""

    key: str
    value: bytes | None
    version: int


class RelayedTable(msgspec.Struct, array_like=True, frozen=True):
    """Rows of a table.

    Attributes:
        full: Whether these are all rows, not only changes.
    """

    rows: list[RelayedRow]
    version: int
    full: bool


_DECODER = msgspec.msgpack.Decoder(RelayedTable)


class RelayHandler(http_server.Handler):
    """Serves the cached tables to other instances.

    Args:
        caches: Cache of each followed table.
    """

    def __init__(self, *, caches: dict[str, table_cache.TableCache]):
        self._caches = caches
        # All instances of a region usually ask for the same changes at about the same time.
        self._encoded: dict[tuple[str, int, int], bytes] = {}

    async def handle(self, request: messages.Request) -> messages.Response:
        """See base class."""
        path, _, query = request.target.decode("latin-1").partition("?")
        cache = self._caches.get(path.removeprefix("/tables/"))
        values = dict(urllib.parse.parse_qsl(query))
        try:
            after = int(values.get("after", "-1"))
        except ValueError:
            return http_server.text_response(400, "after must be a number")
        if cache is None:
            return http_server.text_response(404, "unknown table")
        if cache.version < 0:
            return http_server.text_response(503, "not read yet")
        headers = [
            (b"Content-Type", b"application/msgpack"),
            (b"Content-Encoding", b"deflate"),
        ]
        body = self._encode(path, cache, after)
        return messages.Response(status=200, headers=headers, body=body)

    def _encode(self, path: str, cache: table_cache.TableCache, after: int) -> bytes:
        key = (path, after, cache.version)
        body = self._encoded.get(key)
        if body is not None:
            return body
        changes = cache.since(after) if after >= 0 else None
        full = changes is None
        if full:
            changes = cache.snapshot()
        rows = [RelayedRow(row.key, row.value, row.version) for row in changes.rows]
        # The links of small instances carry a large policy to a whole region only if it is packed.
        body = zlib.compress(msgspec.msgpack.encode(RelayedTable(rows, changes.version, full)))
        while len(self._encoded) >= MOST_ENCODED:
            self._encoded.pop(next(iter(self._encoded)))
        self._encoded[key] = body
        return body


class RelayClient:
    """Fetches tables from other instances.

    Args:
        port: Port at which all instances serve their tables.
    """

    def __init__(self, *, port: int):
        self._port = port
        self._pool = http_client.ConnectionPool()
        self._timeout_s = FIRST_FETCH_TIMEOUT_S

    async def fetch(self, host: str, table_name: str, *, after: int) -> RelayedTable:
        """Returns what changed after a version, or the whole table.

        Raises:
            table.StoreUnavailable: The instance did not answer.
        """
        request = messages.Request(
            method=b"GET",
            target=f"/tables/{table_name}?after={after}".encode(),
            headers=[(b"Host", host.encode())],
        )
        address = settings.Address(host=host, port=self._port)
        try:
            async with asyncio.timeout(self._timeout_s):
                connection = await self._pool.acquire(host, self._port)
                try:
                    response = await connection.exchange(request)
                finally:
                    self._pool.release(host, self._port, connection)
            if response.status == 200:
                self._timeout_s = FIRST_FETCH_TIMEOUT_S
                return _DECODER.decode(zlib.decompress(response.body))
            reason = f"status {response.status}"
        except TimeoutError as error:
            # The other idle connections may have gone silent too.
            self._pool.drop(host, self._port)
            self._timeout_s = min(LONGEST_FETCH_TIMEOUT_S, self._timeout_s * 2.0)
            reason = repr(error)
        except (
            msgspec.DecodeError,
            zlib.error,
            http_client.ConnectError,
            http_client.ExchangeError,
        ) as error:
            reason = repr(error)
        raise table.StoreUnavailable(reason, step="relay.fetch", peer=str(address))


def to_changes(relayed: RelayedTable) -> feed.Changes:
    """Returns the rows as changes of the table."""
    rows = [feed.Change(key=row.key, value=row.value, version=row.version) for row in relayed.rows]
    return feed.Changes(rows=rows, version=relayed.version)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PollTimes:
    """Times of a poll of the store.

    Attributes:
        wait_s: Longest time that the store waits for a change, s.
        slack_s: Time after that in which the answer arrives, s.
    """

    wait_s: float
    slack_s: float


_POLL_TIMES = PollTimes(wait_s=POLL_WAIT_S, slack_s=POLL_SLACK_S)
_LONE_POLL_TIMES = PollTimes(wait_s=LONE_POLL_WAIT_S, slack_s=LONE_POLL_SLACK_S)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Announcement:
    """What an instance said it has read.

    Attributes:
        newer_since_s: When it first said so; its versions may be on their way here otherwise.
    """

    host: str
    versions: dict[str, int]
    heard_s: float
    newer_since_s: dict[str, float]


class RelayRole:
    """Decides whether this instance reads the store, and whom it asks otherwise.

    Args:
        view: Fleet as seen by this instance.
        rng: Random source for the choice of an instance to ask.
    """

    def __init__(self, *, view: fleet.FleetView, rng: random.Random):
        self._view = view
        self._rng = rng
        self._beacons: dict[str, _Announcement] = {}
        self._hints: dict[str, _Announcement] = {}
        self._started_s = time.monotonic()
        self._announced_s: dict[str, float] = {}
        self._lost_s: dict[str, float] = {}
        self._news = asyncio.Event()

    @property
    def news(self) -> asyncio.Event:
        """Set when an announcement arrives."""
        return self._news

    def informed(self, table_name: str) -> bool:
        """Whether another instance of the region has announced a version of the table lately.

        This holds for a while after the readers lost the table: the next reader then follows before
        anything counts as an outage.
        """
        return time.monotonic() < self._silent_from_s(table_name)

    def poll_times(self) -> PollTimes:
        """Returns the times of the next poll."""
        region = self._view.own.region
        if any(member.region != region for member in self._view.live_members()):
            return _POLL_TIMES
        return _LONE_POLL_TIMES

    def on_beacon(self, name: str, host: str, region: str, versions: dict[str, int]) -> None:
        """Records an announcement of an instance that reads the store.

        Args:
            name: Name of the instance.
            host: Address at which it serves its tables.
            region: Its region.
            versions: Versions of the tables that it reads; one that is left out after it was
                announced has been lost.
        """
        if region != self._view.own.region:
            self.on_hint(name, host, versions)
            return
        old = self._beacons.get(name)
        self._record(self._beacons, name, host, versions)
        now_s = time.monotonic()
        for table_name in versions:
            self._announced_s[table_name] = now_s
            self._lost_s.pop(table_name, None)
        for table_name in () if old is None else old.versions.keys() - versions.keys():
            if not self._is_announced(table_name, now_s):
                self._lost_s[table_name] = now_s
        self._news.set()

    def on_hint(self, name: str, host: str, versions: dict[str, int]) -> None:
        """Records the versions of any instance.

        They are used only when the announcements of the region do not follow soon: its readers may
        wait on connections to the store that went silent.
        """
        self._record(self._hints, name, host, versions)

    def source(self, table_name: str, version: int) -> str | None:
        """Returns the host of an instance that has the newest version of a table.

        Among equals it is chosen at random, so that a region does not ask one instance only.
        """
        now_s = time.monotonic()
        for announcements, lifetime_s, patience_s in (
            (self._beacons, BEACON_LIFETIME_S, 0.0),
            (self._hints, HINT_LIFETIME_S, HINT_PATIENCE_S),
        ):
            sources: list[str] = []
            newest = version
            for entry in announcements.values():
                announced = entry.versions.get(table_name, -1)
                fresh = now_s - entry.heard_s < lifetime_s
                since_s = entry.newer_since_s.get(table_name, now_s)
                if not fresh or announced <= version or now_s - since_s < patience_s:
                    continue
                if announced > newest:
                    sources.clear()
                    newest = announced
                if announced == newest:
                    sources.append(entry.host)
            if sources:
                return self._rng.choice(sources)
        return None

    def ahead(self, versions: dict[str, int]) -> bool:
        """Whether the versions are newer than all that the region's readers announced."""
        now_s = time.monotonic()
        known: dict[str, int] = {}
        for entry in self._beacons.values():
            if now_s - entry.heard_s < BEACON_LIFETIME_S:
                for table_name, version in entry.versions.items():
                    known[table_name] = max(version, known.get(table_name, -1))
        return bool(known) and any(
            version > known.get(table_name, -1) for table_name, version in versions.items()
        )

    def reads(self, table_name: str) -> bool:
        """Whether this instance reads the table from the store itself."""
        rank = self._rank()
        if rank < READERS_PER_REGION:
            return True
        if rank >= READERS_PER_REGION + MOST_TAKEOVERS:
            return False
        step_s = TAKEOVER_STEP_S * (rank - READERS_PER_REGION)
        silent_from_s = self._silent_from_s(table_name)
        return time.monotonic() > self._lost_s.get(table_name, silent_from_s) + step_s

    def audience(self, *, changed: bool) -> list[fleet.Member]:
        """Returns the instances to which announcements go.

        Args:
            changed: Whether a version is new; then some instances of other regions learn it too.
        """
        region = self._view.own.region
        live = self._view.live_members()
        audience = [member for member in live if member.region == region]
        if changed:
            counts: collections.Counter[str] = collections.Counter()
            for member in sorted(live, key=lambda each: self._score(each.name)):
                if member.region != region and counts[member.region] < FAR_AUDIENCE:
                    counts[member.region] += 1
                    audience.append(member)
        return audience

    def _silent_from_s(self, table_name: str) -> float:
        return self._announced_s.get(table_name, self._started_s) + BEACON_LIFETIME_S

    def _is_announced(self, table_name: str, now_s: float) -> bool:
        return any(
            table_name in entry.versions and now_s - entry.heard_s < BEACON_LIFETIME_S
            for entry in self._beacons.values()
        )

    def _rank(self) -> int:
        own = self._view.own
        own_score = self._score(own.name)
        near = self.audience(changed=False)
        return sum(1 for member in near if self._score(member.name) < own_score)

    @staticmethod
    def _record(
        announcements: dict[str, _Announcement], name: str, host: str, versions: dict[str, int]
    ) -> None:
        now_s = time.monotonic()
        old = announcements.get(name)
        newer_since_s = {}
        for table_name, version in versions.items():
            known = old is not None and old.versions.get(table_name) == version
            newer_since_s[table_name] = old.newer_since_s[table_name] if known else now_s
        announcements[name] = _Announcement(
            host=host, versions=versions, heard_s=now_s, newer_since_s=newer_since_s
        )

    @staticmethod
    def _score(name: str) -> bytes:
        return hashlib.blake2b(name.encode(), digest_size=8).digest()

"""In-memory fakes of the platform services with fault injection, for tests."""

import asyncio
import dataclasses
import itertools
from collections.abc import Sequence

from sassafrasway_platform import instances, objects, table


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that are injected into the calls of one client of a fake.

    Attributes:
        down: Every call fails without an effect.
        delay_s: Delay of every call before its effect, in seconds.
        lost_answers: Number of subsequent writes that take effect, but whose response is lost.
        down_after_write: The next write takes effect, but its response is lost and ``down`` is set.
        stale: The instance list keeps returning its last result from before this was set, or its
            initial content when it was not fetched before.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    down_after_write: bool = False
    stale: bool = False

    async def before(self, step: str) -> None:
        """Delays or fails a call before its effect.

        Raises:
            table.StoreUnavailable: The fake is down.
        """
        # Other tasks run here even when the delay is 0, as they do during a real call.
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise table.StoreUnavailable("injected fault: down", step=step, peer="memory")

    def after_write(self, step: str) -> None:
        """Fails a write that took effect, if the loss of its response is injected.

        Raises:
            table.StoreUnavailable: The response to this write is lost.
        """
        if self.down_after_write:
            self.down_after_write = False
            self.down = True
            raise table.StoreUnavailable("injected fault: response lost", step=step, peer="memory")
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise table.StoreUnavailable("injected fault: response lost", step=step, peer="memory")


@dataclasses.dataclass(slots=True)
class _Rows:
    """Rows shared by all clients of one fake table."""

    by_key: dict[str, table.Row] = dataclasses.field(default_factory=dict)
    versions: itertools.count = dataclasses.field(default_factory=lambda: itertools.count(1))


class MemoryTable(table.TableService):
    """Fake table service.

    Attributes:
        faults: Faults of this client; other views of the same rows have their own.
        calls: Number of calls by method name.
    """

    def __init__(self):
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self._rows = _Rows()

    def view(self) -> "MemoryTable":
        """Returns another client of the same rows with its own faults."""
        other = MemoryTable()
        other._rows = self._rows
        return other

    async def get(self, key: str, *, known: table.Row | None = None) -> table.Row | None:
        """See base class."""
        await self._before("get")
        row = self._rows.by_key.get(key)
        unchanged = row is not None and known is not None and row.version == known.version
        return known if unchanged else row

    async def put(self, key: str, value: bytes, *, if_version: str | table.Absent) -> table.Row:
        """See base class."""
        await self._before("put")
        write = table.Write(key=key, value=value, if_version=if_version)
        (row,) = self._apply([write], "table.put")
        return row

    async def transact(self, writes: Sequence[table.Write]) -> list[table.Row]:
        """See base class."""
        await self._before("transact")
        return self._apply(writes, "table.transact")

    async def scan(self, prefix: str) -> list[table.Row]:
        """See base class."""
        await self._before("scan")
        keys = sorted(key for key in self._rows.by_key if key.startswith(prefix))
        return [self._rows.by_key[key] for key in keys]

    async def _before(self, method: str) -> None:
        self.calls[method] = self.calls.get(method, 0) + 1
        await self.faults.before(f"table.{method}")

    def _apply(self, writes: Sequence[table.Write], step: str) -> list[table.Row]:
        for write in writes:
            table.check_key(write.key)
            row = self._rows.by_key.get(write.key)
            version = table.ABSENT if row is None else row.version
            if version != write.if_version:
                raise table.PreconditionFailed(
                    f"row {write.key} has version {version}", step=step, peer="memory"
                )
        rows = [
            table.Row(key=write.key, value=write.value, version=str(next(self._rows.versions)))
            for write in writes
        ]
        self._rows.by_key.update((row.key, row) for row in rows)
        self.faults.after_write(step)
        return rows


class MemoryObjects(objects.ObjectStore):
    """Fake object store."""

    def __init__(self):
        self.faults = Faults()
        self._objects: dict[str, bytes] = {}

    async def get(self, name: str) -> bytes | None:
        """See base class."""
        await self.faults.before("objects.get")
        return self._objects.get(name)

    async def put(self, name: str, data: bytes) -> None:
        """See base class."""
        await self.faults.before("objects.put")
        self._objects[name] = data
        self.faults.after_write("objects.put")


class MemoryInstances(instances.InstanceList):
    """Fake instance list."""

    def __init__(self, listed: Sequence[instances.ListedInstance] = ()):
        self.faults = Faults()
        self._listed = list(listed)
        self._returned = list(listed)

    def set_listed(self, listed: Sequence[instances.ListedInstance]) -> None:
        """Replaces the list; ``fetch`` returns the new one unless ``faults.stale`` is set."""
        self._listed = list(listed)

    async def fetch(self) -> list[instances.ListedInstance]:
        """See base class."""
        await self.faults.before("instances.fetch")
        if not self.faults.stale:
            self._returned = list(self._listed)
        return list(self._returned)

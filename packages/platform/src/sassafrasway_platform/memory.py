"""In-memory fakes of the platform services with fault injection, for tests."""

import asyncio
import dataclasses
import itertools
from collections.abc import Sequence

from sassafrasway_platform import instances, objects, table


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults of one client's access to a fake.

    Attributes:
        down: Every call fails without an effect.
        delay_s: Every call takes this long before its effect, in seconds.
        lost_answers: Number of coming writes that take effect but whose answer is lost.
        down_after_write: The next write takes effect, but its answer is lost and ``down`` is set.
        stale: The instance list keeps the content that it had when this was set.
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
        # Also without a delay other tasks run here, as they do while a real call waits.
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise table.StoreUnavailable("down", step=step, peer="memory")

    def after_write(self, step: str) -> None:
        """Loses the answer of a write that took effect.

        Raises:
            table.StoreUnavailable: The answer is lost.
        """
        if self.down_after_write:
            self.down_after_write = False
            self.down = True
            raise table.StoreUnavailable("answer lost", step=step, peer="memory")
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise table.StoreUnavailable("answer lost", step=step, peer="memory")


@dataclasses.dataclass(slots=True)
class _Rows:
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
            table.Row(key=each.key, value=each.value, version=str(next(self._rows.versions)))
            for each in writes
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
        self._shown = list(listed)

    def set_listed(self, listed: Sequence[instances.ListedInstance]) -> None:
        """Changes the list; it shows once ``faults.stale`` is not set."""
        self._listed = list(listed)

    async def fetch(self) -> list[instances.ListedInstance]:
        """See base class."""
        await self.faults.before("instances.fetch")
        if not self.faults.stale:
            self._shown = list(self._listed)
        return list(self._shown)

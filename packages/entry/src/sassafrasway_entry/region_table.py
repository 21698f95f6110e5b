"""Access to the row of one region in the table service."""

import asyncio

from sassafrasway_core import region
from sassafrasway_platform import table as table_lib

CALL_TIMEOUT_S = 1.0


class RegionTable:
    """Reads and conditionally writes the row ``region/<region>``."""

    def __init__(self, *, table: table_lib.TableService, region_name: str):
        self._table = table
        self._key = f"region/{region_name}"
        self._cached_row: table_lib.Row | None = None

    async def read(self) -> tuple[region.RegionRow | None, str | None]:
        """Returns the row and its version, or None for both when there is no row.

        Raises:
            table.StoreUnavailable: The table service is unavailable.
            errors.ValidationError: The value is not a region row, or the table service rejected the
                read.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                row = await self._table.get(self._key, known=self._cached_row)
        except TimeoutError:
            raise table_lib.StoreUnavailable(
                "the table service did not answer in time", step="region.read"
            ) from None
        self._cached_row = row
        if row is None:
            return None, None
        return region.RegionRow.decode(row.value), row.version

    async def write(self, command: region.WriteRow) -> str:
        """Writes the row if its version is still ``if_version`` and returns the new version.

        Raises:
            errors.ValidationError: The table service rejected the write; nothing was written.
            table.PreconditionFailed: The row has another version; nothing was written.
            table.StoreUnavailable: The table service is unavailable; the row may or may not have
                been written.
        """
        if_version = table_lib.ABSENT if command.if_version is None else command.if_version
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                row = await self._table.put(self._key, command.row.encode(), if_version=if_version)
        except TimeoutError:
            raise table_lib.StoreUnavailable(
                "the table service did not answer in time", step="region.write"
            ) from None
        return row.version

"""Storage of policy revisions in the table service.

The row ``config/head`` holds the current revision and the ids of recent changes. The row
``config/history/<revision>`` holds the change that produced a revision. For every multiple of
``DOCUMENT_INTERVAL``, the row ``config/document/<revision>`` holds the full policy document. The
head does not contain the document, because every instance reads the head again after each change
and the document is 10 MB long at the design size of 250,000 client blocks.
"""

import asyncio
import dataclasses
import json
from collections.abc import Mapping
from typing import Any, TypeVar

import pydantic

from sassafrasway_core import documents, errors, model
from sassafrasway_platform import table

HEAD_KEY = "config/head"
HISTORY_PREFIX = "config/history/"
DOCUMENT_PREFIX = "config/document/"
# Number of revisions from one document to the next. A reader without a policy reads at most one
# document and fewer changes than this.
DOCUMENT_INTERVAL = 32
# Number of change ids in the head. A repeated change is recognized only while its id is among them.
KEPT_CHANGE_IDS = 256
# Maximum number of history rows that one call reads at the same time.
CONCURRENT_READS = 8

_AnyDocument = TypeVar("_AnyDocument", bound=pydantic.BaseModel)


class MalformedRowError(errors.SassafraswayError):
    """The value of a configuration row is not in the expected format."""


class _HeadDocument(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)
    revision: int = pydantic.Field(ge=1)
    change_ids: dict[str, int]


class _RecordDocument(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)
    change: dict[str, Any]
    accepted_at_s: float
    accepted_by: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The newest accepted revision.

    Attributes:
        row: The row that was read; None before the first change.
        revision: 0 before the first change.
        change_ids: Revisions of recent changes by change id.
    """

    row: table.Row | None = None
    revision: int = 0
    change_ids: Mapping[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """An accepted change.

    Attributes:
        accepted_at_s: Seconds since the Unix epoch, by the clock of the accepting instance.
        accepted_by: The accepting instance, as ``name/incarnation``.
    """

    change: documents.Change
    accepted_at_s: float
    accepted_by: str


class ConfigStore:
    """Reads and writes the configuration rows.

    All methods raise ``table.StoreUnavailable`` when the table service is unavailable. Methods that
    read raise ``MalformedRowError`` when the row of the head or of a change is malformed.
    """

    def __init__(self, *, table: table.TableService):
        self._table = table

    async def read_head(self, *, known: Head | None = None) -> Head:
        """Returns the current head.

        ``known`` is the head as last read; it is returned itself when it has not changed.
        """
        known_row = known.row if known else None
        row = await self._table.get(HEAD_KEY, known=known_row)
        if row is None:
            return Head()
        if known is not None and row is known_row:
            return known
        document = _parse_row(row, _HeadDocument)
        return Head(row=row, revision=document.revision, change_ids=document.change_ids)

    async def read_records(self, *, first: int, last: int) -> list[Record]:
        """Returns the changes that produced the revisions ``first`` to ``last``, both inclusive.

        Raises:
            errors.NotFoundError: One of the changes is not in the table.
        """
        semaphore = asyncio.Semaphore(CONCURRENT_READS)

        async def read(revision: int) -> Record:
            async with semaphore:
                return _parse_record(await self._get_row(f"{HISTORY_PREFIX}{revision}"))

        return list(await asyncio.gather(*map(read, range(first, last + 1))))

    async def load_policy(self, revision: int) -> model.Policy:
        """Returns the policy of any accepted revision; that of revision 0 is empty.

        Raises:
            errors.NotFoundError: The revision is not in the table.
            errors.ValidationError: The policy in the document row, or after a change, is invalid.
        """
        document_revision = revision - revision % DOCUMENT_INTERVAL
        policy = documents.EMPTY_POLICY
        if document_revision:
            row = await self._get_row(f"{DOCUMENT_PREFIX}{document_revision}")
            policy = await asyncio.to_thread(_parse_policy, row.value, document_revision)
        for record in await self.read_records(first=document_revision + 1, last=revision):
            policy = documents.apply_change(policy, record.change)
        return policy

    async def accept(self, *, head: Head, record: Record, policy: model.Policy) -> Head:
        """Writes a change as the newest revision and returns the new head.

        The write is conditional on ``head`` being still current; ``policy`` is the policy after the
        change.

        Raises:
            table.PreconditionFailed: Another change was accepted; nothing was written.
            table.StoreUnavailable: The change may or may not have been accepted.
        """
        revision = record.change.revision
        change_ids = {**head.change_ids, record.change.change_id: revision}
        for change_id in list(change_ids)[:-KEPT_CHANGE_IDS]:
            del change_ids[change_id]
        head_value = {"revision": revision, "change_ids": change_ids}
        writes = [
            table.Write(
                key=HEAD_KEY,
                value=_encode(head_value),
                if_version=head.row.version if head.row else table.ABSENT,
            ),
            _create_row_write(f"{HISTORY_PREFIX}{revision}", _encode(_dump_record(record))),
        ]
        if revision % DOCUMENT_INTERVAL == 0:
            document = await asyncio.to_thread(dump_policy_json, policy)
            writes.append(_create_row_write(f"{DOCUMENT_PREFIX}{revision}", document.encode()))
        rows = await self._table.transact(writes)
        return Head(row=rows[0], revision=revision, change_ids=change_ids)

    async def _get_row(self, key: str) -> table.Row:
        row = await self._table.get(key)
        if row is None:
            raise errors.NotFoundError(f"the table has no row {key}", step="config.read")
        return row


def dump_policy_json(policy: model.Policy) -> str:
    """Returns the JSON text of a policy document."""
    return json.dumps(documents.dump_policy(policy))


def _parse_policy(text: bytes, revision: int) -> model.Policy:
    return documents.parse_policy(documents.parse_json(text), revision=revision)


def _dump_record(record: Record) -> dict[str, Any]:
    return {
        "change": documents.dump_change(record.change),
        "accepted_at_s": record.accepted_at_s,
        "accepted_by": record.accepted_by,
    }


def _parse_record(row: table.Row) -> Record:
    document = _parse_row(row, _RecordDocument)
    try:
        change = documents.parse_change(document.change)
    except errors.ValidationError as error:
        raise _malformed(row, error.message) from error
    return Record(
        change=change,
        accepted_at_s=document.accepted_at_s,
        accepted_by=document.accepted_by,
    )


def _parse_row(row: table.Row, document: type[_AnyDocument]) -> _AnyDocument:
    try:
        return document.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        raise _malformed(row, str(error)) from error


def _malformed(row: table.Row, reason: str) -> MalformedRowError:
    return MalformedRowError(f"row {row.key} is malformed: {reason}", step="config.read")


def _encode(value: Any) -> bytes:
    return json.dumps(value).encode()


def _create_row_write(key: str, value: bytes) -> table.Write:
    return table.Write(key=key, value=value, if_version=table.ABSENT)

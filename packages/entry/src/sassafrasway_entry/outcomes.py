"""Stores the outcomes of non-idempotent requests in the platform's table service.

A stored outcome survives its instance, so that a caller who did not get the response can retry with
the same key. The outcomes of tickets are written asynchronously in batches. A batch is one row
``outcomes/<name>.<incarnation>/<segment>/<batch>`` with the name of the ticket's holder, whose
segment is computed from the time of issue of the tickets. The closed marker of an incarnation is
the row ``outcomes-closed/<name>.<incarnation>``. It is written when the incarnation stops as
planned and all of its outcomes are in the table.
"""

import asyncio
import base64
import dataclasses
import json

import structlog

from sassafrasway_core import at_most_once, errors
from sassafrasway_entry import messages
from sassafrasway_platform import table

SEGMENT_S = 5  # tickets issued within the same 5 s share a segment
FLUSH_INTERVAL_S = 0.2
MAX_BODY_BYTES = 64 * 1024  # larger bodies are dropped from the stored outcome
# Maximum number of queued outcomes. When the table is down and more are added, earlier ones are
# dropped.
MAX_PENDING = 20_000


def to_document(response: messages.Response) -> dict:
    """Returns the document that is stored for a response."""
    body = response.body if len(response.body) <= MAX_BODY_BYTES else b""
    return {
        "outcome": response.outcome.value,
        "status": response.status,
        "headers": [list(pair) for pair in response.headers],
        "body": base64.b64encode(body).decode("ascii"),
        "reason": response.reason.value,
        "server": response.server,
    }


def from_document(document: dict) -> messages.Response:
    """Returns the response from a stored document.

    Raises:
        KeyError: A field is missing.
        ValueError: The outcome or the reason is not a value of its enum, or the body is not base64.
    """
    return messages.Response(
        outcome=messages.Outcome(document["outcome"]),
        status=document["status"],
        headers=tuple((name, value) for name, value in document["headers"]),
        body=base64.b64decode(document["body"]),
        reason=messages.Reason(document["reason"]),
        server=document["server"],
    )


def segment_prefix(ticket: at_most_once.Ticket) -> str:
    """Returns the common prefix of the rows that can hold the outcome of a ticket."""
    segment = ticket.issued_s // SEGMENT_S
    return f"outcomes/{ticket.holder.name}.{ticket.holder.incarnation}/{segment}/"


def closed_row_key(holder) -> str:
    """Returns the row key of the closed marker of an incarnation."""
    return f"outcomes-closed/{holder.name}.{holder.incarnation}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredOutcome:
    """Contents of the table for a ticket.

    Attributes:
        closed: Whether the ticket's holder has ended after writing all of its outcomes, so that a
            missing outcome proves that the holder did not run the request.
    """

    response: messages.Response | None
    closed: bool


class OutcomeStore:
    """Reads outcomes, and queues new ones to write them in batches."""

    def __init__(self, *, service: table.TableService):
        self._table = service
        # Documents of the queued outcomes by segment prefix and ticket.
        self._pending: dict[str, dict[str, dict]] = {}
        self._pending_count = 0
        self._dropped = 0
        self._batch_number = 0
        self._has_new = asyncio.Event()
        self._flush_lock = asyncio.Lock()
        self._log = structlog.get_logger("outcomes")

    @property
    def pending(self) -> int:
        """Number of queued outcomes that are not in the table yet."""
        return self._pending_count

    @property
    def dropped(self) -> int:
        """Number of outcomes dropped because the queue was full while the table was down."""
        return self._dropped

    def add(self, ticket: at_most_once.Ticket, response: messages.Response) -> None:
        """Queues the outcome of a ticket for the next batch."""
        while self._pending_count >= MAX_PENDING:
            self._drop_first()
        self._pending.setdefault(segment_prefix(ticket), {})[str(ticket)] = to_document(response)
        self._pending_count += 1
        self._has_new.set()

    async def run(self) -> None:
        """Writes batches until cancelled."""
        while True:
            await self._has_new.wait()
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self._has_new.clear()
            if not await self.flush():
                self._has_new.set()

    async def flush(self) -> bool:
        """Writes all queued outcomes and returns whether the queue is empty.

        Concurrent flushes run one after the other: a batch that is being written is not in the
        queue, so an empty queue does not prove that all outcomes are in the table.
        """
        async with self._flush_lock:
            return await self._flush_queue()

    async def _flush_queue(self) -> bool:
        for prefix in list(self._pending):
            batch = self._pending.pop(prefix)
            self._pending_count -= len(batch)
            if not await self._write_batch(prefix, batch):
                merged = {**batch, **self._pending.get(prefix, {})}
                self._pending_count += len(merged) - len(self._pending.get(prefix, {}))
                self._pending[prefix] = merged
                return False
        return not self._pending

    async def close(self, holder) -> None:
        """Writes the closed marker of an incarnation, all of whose outcomes must be in the table.

        Raises:
            errors.UnavailableError: The table service is unavailable.
        """
        try:
            await self._table.put(closed_row_key(holder), b"{}", if_version=table.ABSENT)
        except table.PreconditionFailed:
            return

    async def find(self, ticket: at_most_once.Ticket) -> StoredOutcome:
        """Returns the stored outcome of a ticket.

        Raises:
            errors.UnavailableError: The table service is unavailable.
            KeyError: A field of the stored outcome is missing.
            ValueError: A row of the segment is not JSON, or the stored outcome is invalid.
        """
        # The closed marker is read first, because the holder writes no batch after it.
        closed = await self._table.get(closed_row_key(ticket.holder)) is not None
        for row in await self._table.scan(segment_prefix(ticket)):
            document = json.loads(row.value).get(str(ticket))
            if document is not None:
                return StoredOutcome(response=from_document(document), closed=closed)
        return StoredOutcome(response=None, closed=closed)

    async def _write_batch(self, prefix: str, batch: dict[str, dict]) -> bool:
        self._batch_number += 1
        value = json.dumps(batch, separators=(",", ":")).encode()
        try:
            await self._table.put(f"{prefix}{self._batch_number}", value, if_version=table.ABSENT)
        except table.PreconditionFailed:
            # The row exists: this write succeeded but its response was lost and aiohttp sent it
            # again, or another instance has used the number for tickets of the same holder. The
            # next flush writes the batch under a new number.
            return False
        except errors.UnavailableError as error:
            self._log.debug("outcomes not written", error=str(error))
            return False
        return True

    def _drop_first(self) -> None:
        """Drops the first outcome of the first segment in the queue."""
        prefix = next(iter(self._pending))
        batch = self._pending[prefix]
        del batch[next(iter(batch))]
        if not batch:
            del self._pending[prefix]
        self._pending_count -= 1
        self._dropped += 1

"""Outcomes of non-idempotent requests in the platform's table service.

An outcome outlives the instance that saw it, so that a caller who lost its confirmation can ask
again under the same key. Ticket outcomes are written behind, in batches; a batch is one row
``outcomes/<incarnation>/<segment>/<batch>``, where the segment follows from the ticket.
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
MAX_PENDING = 20_000  # outcomes kept while the table is down; older ones are dropped first


def to_document(response: messages.Response) -> dict:
    """Returns the stored form of an answer."""
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
    """Returns the answer of a stored form."""
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


def closed_key(holder) -> str:
    """Returns the row that says that an incarnation stopped after writing all outcomes."""
    return f"outcomes-closed/{holder.name}.{holder.incarnation}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lookup:
    """What the table knows about a ticket.

    Attributes:
        answer: The recorded outcome, or None.
        closed: Whether the incarnation has written all of its outcomes and ended, so that a
            missing outcome proves that the request did not run.
    """

    response: messages.Response | None
    closed: bool


class OutcomeStore:
    """Reads and writes outcomes; owns the batches that are not written yet.

    Args:
        service: The platform's table service.
    """

    def __init__(self, *, service: table.TableService):
        self._table = service
        self._pending: dict[str, dict[str, dict]] = {}
        self._pending_count = 0
        self._dropped = 0
        self._batch = 0
        self._added = asyncio.Event()
        self._flushing = asyncio.Lock()
        self._log = structlog.get_logger("outcomes")

    @property
    def pending(self) -> int:
        """Number of outcomes that are not in the table yet."""
        return self._pending_count

    @property
    def dropped(self) -> int:
        """Number of outcomes given up because the table was down for too long."""
        return self._dropped

    def add(self, ticket: at_most_once.Ticket, response: messages.Response) -> None:
        """Queues the outcome of a ticket for the next batch."""
        while self._pending_count >= MAX_PENDING:
            self._drop_oldest()
        self._pending.setdefault(segment_prefix(ticket), {})[str(ticket)] = to_document(response)
        self._pending_count += 1
        self._added.set()

    async def run(self) -> None:
        """Writes batches until cancelled."""
        while True:
            await self._added.wait()
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self._added.clear()
            if not await self.flush():
                self._added.set()

    async def flush(self) -> bool:
        """Writes all queued outcomes and returns whether the queue is empty.

        One flush at a time: an empty queue proves nothing while another flush still writes.
        """
        async with self._flushing:
            return await self._flush_queue()

    async def _flush_queue(self) -> bool:
        for prefix in list(self._pending):
            batch = self._pending.pop(prefix)
            self._pending_count -= len(batch)
            if not await self._write(prefix, batch):
                merged = {**batch, **self._pending.get(prefix, {})}
                self._pending_count += len(merged) - len(self._pending.get(prefix, {}))
                self._pending[prefix] = merged
                return False
        return not self._pending

    async def close(self, holder) -> None:
        """Writes the mark that this incarnation has ended and all outcomes are in the table."""
        try:
            await self._table.put(closed_key(holder), b"{}", if_version=table.ABSENT)
        except table.PreconditionFailed:
            return

    async def find(self, ticket: at_most_once.Ticket) -> Lookup:
        """Returns what the table knows about a ticket.

        Raises:
            errors.UnavailableError: The table did not answer.
        """
        # The closed mark is read first: a batch that is written after it does not exist.
        closed = await self._table.get(closed_key(ticket.holder)) is not None
        for row in await self._table.scan(segment_prefix(ticket)):
            document = json.loads(row.value).get(str(ticket))
            if document is not None:
                return Lookup(response=from_document(document), closed=closed)
        return Lookup(response=None, closed=closed)

    async def _write(self, prefix: str, batch: dict[str, dict]) -> bool:
        self._batch += 1
        value = json.dumps(batch, separators=(",", ":")).encode()
        try:
            await self._table.put(f"{prefix}{self._batch}", value, if_version=table.ABSENT)
        except table.PreconditionFailed:
            # An earlier try of this very batch number took effect although its answer was lost.
            return False
        except errors.UnavailableError as error:
            self._log.debug("outcomes not written", error=str(error))
            return False
        return True

    def _drop_oldest(self) -> None:
        prefix = next(iter(self._pending))
        batch = self._pending[prefix]
        del batch[next(iter(batch))]
        if not batch:
            del self._pending[prefix]
        self._pending_count -= 1
        self._dropped += 1

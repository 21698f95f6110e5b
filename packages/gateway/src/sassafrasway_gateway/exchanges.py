"""Requests of a server connection, from their first byte until their response is written."""

import asyncio
import dataclasses

import h11

from sassafrasway_gateway import memory_budget, messages


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Exchange:
    """A request that was read, or rejected while it was read, until its response is written.

    Attributes:
        parser: Parser that has read the request and encodes the response.
        may_overlap: Whether it may run while others of the connection run.
        closes: Whether the connection ends with the response.
    """

    parser: h11.Connection
    request: messages.Request | None = None
    may_overlap: bool = False
    task: asyncio.Task | None = None
    response: messages.Response | None = None
    closes: bool = False

    def release(self) -> None:
        """Gives the memory of the request and the response back."""
        for message in (self.request, self.response):
            if message is not None and message.reservation is not None:
                message.reservation.release()

    @property
    def held_bytes(self) -> int:
        """Bytes of the bodies of the request and the response."""
        size = 0 if self.request is None else len(self.request.body)
        return size if self.response is None else size + len(self.response.body)


class RequestReader:
    """The request that is being read; ``started_s`` is 0 until its first byte has arrived."""

    def __init__(self, *, parser: h11.Connection):
        self.parser = parser
        self.started_s = 0.0
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.chunk_limit = messages.ChunkLimit()
        self.reservation: memory_budget.Reservation | None = None

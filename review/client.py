"""Stand-ins of clients: requests, and when their answers came."""

import asyncio
import dataclasses
import itertools
import time

import http1
import machines
import record as record_lib

HOST = "sila.example"
_numbers = itertools.count(1)


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """A request that a client sent; monotonic times, 0 where nothing came.

    Attributes:
        ended_s: Time at which its answer was complete, or its connection ended without one.
        status: Status of the complete answer; 0 without one.
    """

    attempt_id: str
    path: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    body_bytes: int = 0


def new_id() -> str:
    """Returns the id of a new attempt."""
    return f"{next(_numbers):016x}"


def request(
    method: str,
    path: str,
    *,
    attempt_id: str,
    budget_ms: int,
    key: str,
    body: bytes = b"",
    close: bool = False,
) -> bytes:
    """Returns the bytes of a request as the page PROTOCOL shows it."""
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt_id,
        "Cookie": f"Affinity-Key={key}",
        "Time-Budget-Ms": str(budget_ms),
    }
    if close:
        headers["Connection"] = "close"
    return http1.encode(f"{method} {path} HTTP/1.1", headers, body)


async def call(
    host: str, port: int, data: bytes, sent: Sent, *, budget_s: float, record: record_lib.Record
) -> None:
    """Sends one request on a new connection and waits for its answer."""
    writer = None
    try:
        async with asyncio.timeout(budget_s):
            reader, writer = await asyncio.open_connection(host, port)
            record.add("sent", attempt=sent.attempt_id, path=sent.path)
            writer.write(data)
            answer = await http1.read(reader)
            if answer is not None:
                sent.status = answer.status
                sent.body_bytes = len(answer.body)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        record.add("no answer", attempt=sent.attempt_id, error=repr(error))
    finally:
        sent.ended_s = time.monotonic()
        record.add("ended", attempt=sent.attempt_id, status=sent.status)
        if writer is not None:
            writer.close()


class Traffic:
    """Clients that send requests at a steady rate to some machines in turn.

    Each request goes over a new connection.

    Attributes:
        sent: All requests.
    """

    OBJECTS = 24

    def __init__(
        self, *, gateways: list[machines.Gateway], budget_ms: int, record: record_lib.Record
    ):
        self.sent: list[Sent] = []
        self._gateways = gateways
        self._budget_ms = budget_ms
        self._record = record
        self._tasks: set[asyncio.Task] = set()

    async def run(self, duration_s: float, per_s: dict[str, int]) -> None:
        """Sends requests for some time, at a rate for each path."""
        end_s = time.monotonic() + duration_s
        await asyncio.gather(*(self._send_all(path, rate, end_s) for path, rate in per_s.items()))

    async def finish(self) -> None:
        """Waits for the answers that are due."""
        await asyncio.wait(self._tasks)

    async def _send_all(self, path: str, per_s: int, end_s: float) -> None:
        while time.monotonic() < end_s:
            self._tasks.add(asyncio.create_task(self._send(path)))
            await asyncio.sleep(1.0 / per_s)

    async def _send(self, path: str) -> None:
        number = len(self.sent)
        gateway = self._gateways[number % len(self._gateways)]
        sent = Sent(attempt_id=new_id(), path=path, sent_s=time.monotonic())
        self.sent.append(sent)
        data = request(
            "GET" if path.startswith("/lookup/") else "POST",
            path,
            attempt_id=sent.attempt_id,
            budget_ms=self._budget_ms,
            key=str(number // len(self._gateways) % self.OBJECTS),
        )
        await call(
            gateway.host,
            gateway.front,
            data,
            sent,
            budget_s=self._budget_ms / 1000.0,
            record=self._record,
        )

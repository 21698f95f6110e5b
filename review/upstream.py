"""Stand-in of an upstream: slots, a queue, its entry in the store, and a record of its runs."""

import asyncio
import dataclasses
import time

import http1
import record as record_lib
import store as store_lib

HEARTBEAT_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A request that an upstream began to run; monotonic times."""

    attempt_id: str
    upstream: str
    started_s: float


class Upstream:
    """Runs requests in ``slots`` slots, one at a time on a connection.

    Attributes:
        work_s: Time that a run takes.
        answer_bytes: Size of each answer.
        runs: All runs.
        dropped: Ids of the runs that ended because their connection closed.
    """

    def __init__(
        self,
        *,
        server_id: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        store: store_lib.Store,
        record: record_lib.Record,
        work_s: float,
        slots: int = 3,
        answer_bytes: int = 200,
    ):
        self.server_id = server_id
        self.service = service
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        self.runs: list[Run] = []
        self.dropped: list[str] = []
        self._zone = zone
        self._host = host
        self._port = port
        self._store = store
        self._record = record
        self._slots = slots
        self._slot = asyncio.Semaphore(slots)
        self._running_ids: set[str] = set()
        self._waiting = 0
        self._born_ms = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beat_task: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening, writes the entry and keeps it up to date."""
        self._born_ms = int(time.time() * 1000)
        await self.listen()
        self._write_entry()
        self._beat_task = asyncio.get_running_loop().create_task(self._beat())

    async def listen(self) -> None:
        """Accepts connections."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    def refuse_connections(self) -> None:
        """Resets all connections and refuses new ones, as behind a cut that refuses."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def running_ids(self) -> list[str]:
        """Returns the ids of the requests that it is running."""
        return sorted(self._running_ids)

    def remove_entry(self) -> None:
        """Removes the entry without reporting ``draining`` first; the upstream goes on serving."""
        self._beat_task.cancel()
        self._store.put("servers", self.server_id, None)

    async def stop(self) -> None:
        """Ends the heartbeats and all connections."""
        if self._beat_task is not None:
            self._beat_task.cancel()
            self.refuse_connections()
        # Gives the tasks of the connections time to end.
        await asyncio.sleep(0)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._write_entry()

    def _write_entry(self) -> None:
        self._sequence += 1
        info = {
            "Service": self.service,
            "Version": "v1",
            "Zone": self._zone,
            "Slots": self._slots,
        }
        status = {"State": "ready", "Seq": self._sequence, "WarmupLeft": "0ms"}
        address = f"{self._host}:{self._port}"
        entry = {"Address": address, "Info": info, "Status": status, "born": self._born_ms}
        self._store.put("servers", self.server_id, entry)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        first = b""
        try:
            while (request := await http1.read(reader, first=first)) is not None:
                next_byte = asyncio.get_running_loop().create_task(reader.read(1))
                answer = asyncio.get_running_loop().create_task(self._answer(request))
                await asyncio.wait({next_byte, answer}, return_when=asyncio.FIRST_COMPLETED)
                if not answer.done():
                    # The caller has closed the connection: the request is dropped.
                    answer.cancel()
                    self._on_dropped(request)
                    break
                writer.write(answer.result())
                await writer.drain()
                first = await next_byte
                if not first:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _on_dropped(self, request: http1.Message) -> None:
        attempt_id = request.headers.get("attempt-id", "")
        self.dropped.append(attempt_id)
        self._record.add("dropped", upstream=self.server_id, attempt=attempt_id)

    async def _answer(self, request: http1.Message) -> bytes:
        attempt_id = request.headers.get("attempt-id", "")
        if request.headers.get("expected-instance", self.server_id) != self.server_id:
            return http1.encode("HTTP/1.1 421 Misdirected Request", {"Instance-Id": self.server_id})
        self._waiting += 1
        try:
            await self._slot.acquire()
        finally:
            self._waiting -= 1
        self._running_ids.add(attempt_id)
        try:
            self.runs.append(
                Run(
                    attempt_id=attempt_id,
                    upstream=self.server_id,
                    started_s=time.monotonic(),
                )
            )
            self._record.add("run", upstream=self.server_id, attempt=attempt_id)
            await asyncio.sleep(self.work_s)
        finally:
            self._running_ids.discard(attempt_id)
            self._slot.release()
        headers = {
            "Attempt-Id": attempt_id,
            "Response-Signature": f"{self.server_id}.{attempt_id}",
            "Server-Load": f"{len(self._running_ids)},{self._waiting},{self._slots}",
        }
        return http1.encode("HTTP/1.1 200 OK", headers, b"x" * self.answer_bytes)

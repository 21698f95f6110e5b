"""Stand-ins for the cases of the second review: platform store, servers, clients and proxies.

They use the standard library only. A case starts the gateways with the command of the deploy file,
each on a loopback address of its own, and records what was sent, answered and run.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
RUN_COMMAND = ("python3", "platform/main.py")
HEARTBEAT_S = 1.5
FRONT_PORT = 18641
READINESS_PORT = 18640
CONTROL_PORT = 18649
DIRECTORY_PORT = 18644
INTERNAL_PORTS = (17620, 17635)
METRICS_PORT = 9464
RULE_HELD = 0
RULE_BROKEN = 1
NOT_RUN = 2


def trouble() -> bool:
    """Whether the disruption of the case takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes the record of a case, one line an event, with the time since its start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, text):
        """Writes one line."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Message:
    """A request or a response; the names of its headers are in lower case."""

    start: str
    headers: list
    body: bytes = b""

    def header(self, name):
        """Returns the first value of a header; None without one."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def status(self):
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader, *, head_request=False):
    """Reads a message with a stated length or in chunks; None if the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    message = Message(lines[0], headers)
    if head_request:
        return message
    try:
        if (message.header("transfer-encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                message.body += await reader.readexactly(size)
                await reader.readline()
                if not size:
                    break
        else:
            message.body = await reader.readexactly(int(message.header("content-length") or 0))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return message


def encode_response(status, headers=(), body=b""):
    """Returns the bytes of a response."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode("latin-1") + b"\r\n" + body


class Listener:
    """TCP server that passes each connection to ``serve``."""

    def __init__(self):
        self._server = None
        self._writers = set()
        self.address = None

    async def listen(self, host, port=0):
        """Listens on an address; with port 0, on a free one."""
        self._server = await asyncio.start_server(self._accept, host, port, backlog=1024)
        self.address = self._server.sockets[0].getsockname()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def close(self):
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's store: versioned rows in tables, with a feed of changes."""

    def __init__(self):
        super().__init__()
        self.version = 0
        self._rows = {}
        self._history = []
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Writes a row; removes it if the value is None."""
        self.version += 1
        encoded = None if value is None else base64.b64encode(value).decode()
        if encoded is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (encoded, self.version)
        self._history.append((self.version, table, key, encoded))
        self._changed.set()
        self._changed = asyncio.Event()

    def put_json(self, table, key, value):
        """Writes a row whose value is a JSON document."""
        self.put(table, key, json.dumps(value).encode())

    async def serve(self, reader, writer):
        """Answers the calls of a connection."""
        while (request := await read_message(reader)) is not None:
            target = request.start.split(" ")[1]
            path, _, query = target.partition("?")
            values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            await asyncio.sleep(0.004)
            if path == "/api/rows-tx":
                body = json.loads(request.body)
                for row in body["Put"]:
                    self.put(row["Table"], row["Key"], base64.b64decode(row["Value"]))
                for row in body["Remove"]:
                    self.put(row["Table"], row["Key"], None)
                rows = []
            elif path == "/api/rows-get":
                rows = [
                    {"Table": table, "part": "", "Key": key, "Value": value, "Ver": version}
                    for (table, key), (value, version) in sorted(self._rows.items())
                    if table == values["Table"]
                ]
            else:
                rows = await self._feed(values)
            answer = {"Rows": rows, "HasMore": False, "Ver": self.version, "Now": time.monotonic()}
            headers = [("Content-Type", "application/json")]
            writer.write(encode_response(200, headers, json.dumps(answer).encode()))
            await writer.drain()

    async def _feed(self, values):
        after, deadline_s = int(values["after"]), time.monotonic() + int(values["WaitMs"]) / 1000
        while True:
            rows = []
            for version, table, key, value in self._history:
                if version > after and table == values["Table"]:
                    row = {"Table": table, "part": "", "Key": key, "Ver": version}
                    rows.append(row | ({"Deleted": True} if value is None else {"Value": value}))
            left_s = deadline_s - time.monotonic()
            if rows or left_s <= 0:
                return rows
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Server(Listener):
    """A sound server: registers itself, runs requests in its slots and signs its responses.

    ``answer`` may replace the way in which a request is run and answered.
    """

    def __init__(self, *, store, record, server_id, service, zone, slots=8, work_s=0.01):
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.store = store
        self.record = record
        self.runs = []
        self.body = b""
        self.running = 0
        self.born = 0
        self._sequence = 0
        self._beat = None

    async def start(self, host, port=0):
        """Begins a new start of the server: listens and registers itself."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        await self.listen(host, port)
        self._beat = asyncio.create_task(self._beats())

    async def _beats(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self, state="ready"):
        """Writes the server's row."""
        self._sequence += 1
        row = {
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Info": {
                "Service": self.service,
                "Zone": self.zone,
                "Slots": self.slots,
                "Version": "v1",
            },
            "Status": {"State": state, "Seq": self._sequence, "WarmupLeft": "0ms"},
            "born": self.born,
        }
        self.store.put_json("servers", self.server_id, row)

    def crash(self):
        """Ends like a killed process: nothing is told to the store."""
        if self._beat is not None:
            self._beat.cancel()
        self.close()

    async def serve(self, reader, writer):
        """Answers the requests of a connection, one at a time."""
        while (request := await read_message(reader)) is not None:
            await self.answer(request, writer)
            await writer.drain()

    async def answer(self, request, writer):
        """Runs a request, or turns it away, and writes the response."""
        echo = [("Attempt-Id", request.header("attempt-id") or "")]
        if request.header("expected-instance") not in (None, self.server_id):
            writer.write(encode_response(421, [*echo, ("Instance-Id", self.server_id)]))
            return
        if self.running >= self.slots:
            writer.write(encode_response(503, [*echo, ("Not-Executed", "1")]))
            return
        self.note_run(request)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        load = f"{self.running},0,{self.slots}"
        headers = [*echo, ("Response-Signature", f"s.{self.server_id}"), ("Server-Load", load)]
        writer.write(encode_response(200, headers, self.body))

    def note_run(self, request):
        """Records that the server begins to run a request."""
        self.runs.append((time.monotonic(), request))
        self.record.write(
            f"run at {self.server_id}: {request.start} id={request.header('attempt-id')}"
            f" tenant={request.header('tenant-name')}"
        )


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, *, folder, name, host, zone, region, zones, store, bounds, memory_mb=222):
        self.name = name
        self.host = host
        self.zone = zone
        self.region = region
        self.internal_ports = INTERNAL_PORTS
        self.process = None
        self._folder = pathlib.Path(folder)
        self._zones = zones
        self._store = store
        self._bounds = bounds
        self._memory_mb = memory_mb

    @property
    def pid(self):
        """Process id."""
        return self.process.pid

    def _settings(self):
        lines = [
            "[Self]",
            f'NodeName = "{self.name}"',
            'Role = "gateway"',
            'MachineClass = "front"',
            'Serves = ["front","directory"]',
            f'Ip = "{self.host}"',
            f'Zone = "{self.zone}"',
            f'Region = "{self.region}"',
            "Bootstrap = true",
            "[Self.Limits]",
            f"MemoryMb = {self._memory_mb}",
            "[Network]",
            f"InternalPorts = [{self.internal_ports[0]},{self.internal_ports[1]}]",
            "Seeds = []",
            "[Network.Listen]",
            f'Front = "{self.host}:{FRONT_PORT}"',
            f'Readiness = "{self.host}:{READINESS_PORT}"',
            f'Control = "{self.host}:{CONTROL_PORT}"',
            f'Directory = "{self.host}:{DIRECTORY_PORT}"',
            "[Network.Zones]",
            *(f'{zone} = "{region}"' for zone, region in self._zones.items()),
            "[Platform]",
            'Discovery = "platform"',
            'Entry = "directory"',
            'Heartbeat = "1500ms"',
            "[Platform.Platform]",
            f'Address = "{self._store[0]}:{self._store[1]}"',
            'form = "table"',
            "[Terms.Bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in self._bounds.items()),
        ]
        return "\n".join(lines) + "\n"

    async def start(self):
        """Writes the settings file and starts the process."""
        path = self._folder / f"{self.name}.toml"
        path.write_text(self._settings(), encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "LANG": "C.UTF-8",
            "SASSAFRASWAY_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *RUN_COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self, number=signal.SIGKILL):
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def ready(self):
        """Whether the readiness address answers 200."""
        try:
            response = await exchange(
                (self.host, READINESS_PORT), "GET", "/api/readiness", [("Host", "x")]
            )
        except OSError:
            return False
        return response is not None and response.status == 200

    async def wait_ready(self, timeout_s=15.0):
        """Waits until the readiness address answers 200."""
        deadline_s = time.monotonic() + timeout_s
        while not await self.ready():
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)


async def exchange(address, method, target, headers, body=b"", timeout_s=8.0):
    """Sends one request on a new connection; None if there is no complete response."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(encode_request(method, target, headers, body))
        async with asyncio.timeout(timeout_s):
            return await read_message(reader)
    except TimeoutError:
        return None
    finally:
        writer.close()


def encode_request(method, target, headers, body=b""):
    """Returns the bytes of a request."""
    head = f"{method} {target} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    if body or method in ("POST", "PUT"):
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


_ids = random.Random()


def new_id():
    """Returns an id for a request."""
    return f"{_ids.getrandbits(64):016x}"


def free_network():
    """Returns the first three numbers of a loopback network whose ports are free."""
    for _ in range(50):
        network = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (FRONT_PORT, READINESS_PORT, DIRECTORY_PORT, METRICS_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
        except OSError:
            continue
        return network
    raise OSError("no free loopback network")


def run_case(main, folder):
    """Runs a case in a temporary folder and exits with its result."""

    async def guarded():
        with tempfile.TemporaryDirectory() as scratch:
            record = Record(folder)
            processes = []
            try:
                async with asyncio.timeout(110):
                    return await main(record, pathlib.Path(scratch), processes)
            except Exception as error:
                record.write(f"the case could not run: {error!r}")
                return NOT_RUN
            finally:
                for gateway in processes:
                    gateway.kill(signal.SIGCONT)
                    gateway.kill()
                for gateway in processes:
                    if gateway.process is not None:
                        await gateway.process.wait()

    sys.exit(asyncio.run(guarded()))

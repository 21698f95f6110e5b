"""Starts the gateways with the command of the deploy file, and a small deployment for them."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import tempfile
import tomllib

import http1

ROOT = pathlib.Path(__file__).resolve().parents[1]
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 8.0
ZONE = "bkk-a"
REGION = "bangkok"

_SETTINGS = """
[Self]
NodeName = "{name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front", "directory"]
Ip = "{host}"
Zone = "{zone}"
Region = "{region}"
FaultCounted = false
Bootstrap = true
[Self.Limits]
CpuShare = 0.602
Cores = 1
MemoryMb = 222
MaxFds = 2870
LinkMbps = 700.0
DiskMb = 0
[Network]
InternalPorts = [{internal}, {internal_last}]
Seeds = []
[Network.Listen]
Front = "{host}:{front}"
Readiness = "{host}:{readiness}"
Directory = "{host}:{directory}"
[Network.Zones]
{zone} = "{region}"
[Platform]
Discovery = "platform"
Entry = "directory"
Heartbeat = "1500ms"
[Platform.Platform]
Address = "{store}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
History = "20s"
[Terms]
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "places", "platform"]
[Terms.FaultTolerance]
Machines = 2
Zones = 1
Regions = 1
[Terms.Bounds]
Contact = "3000ms"
Drain = "2500ms"
Grace = "6s"
LossSlack = "200ms"
ConfigApply = "2500ms"
RetryBudgetRatio = 0.2
BudgetWindow = "10s"
BudgetExtra = 112
ColdOver = 1.5
ColdSlack = 5
Evacuate = "5000ms"
Recovery = "15s"
ttl_max = "5s"
"""


def free_hosts(count: int) -> list[str]:
    """Returns loopback addresses, one a machine."""
    network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
    return [f"{network}.{number}" for number in range(10, 10 + count)]


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


class Ports:
    """Ports of a deployment, the same on all machines and free on the given addresses.

    They are different from each other and below the range from which the system takes the ports of
    outgoing connections.
    """

    LOWEST = 20_000
    HIGHEST = 29_000
    COUNT = 100

    def __init__(self, *, hosts: list[str]):
        while True:
            first = random.randrange(self.LOWEST, self.HIGHEST)
            ports = range(first, first + self.COUNT)
            if all(_is_free(host, port) for host in hosts for port in ports):
                break
        self.front = first
        self.readiness = first + 1
        self.directory = first + 2
        self.internal = first + 10
        self.store = first + 40
        self.first_upstream = first + 50


class Gateway:
    """One machine with one gateway process."""

    def __init__(self, *, name: str, host: str, ports: Ports, store_address: str):
        self.name = name
        self.host = host
        self.front = ports.front
        self._readiness = ports.readiness
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._settings = self._folder / "boot.toml"
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                host=host,
                zone=ZONE,
                region=REGION,
                internal=ports.internal,
                internal_last=ports.internal + 15,
                front=ports.front,
                readiness=ports.readiness,
                directory=ports.directory,
                store=store_address,
            ),
            encoding="utf-8",
        )
        self._log = (self._folder / "log").open("ab")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SASSAFRASWAY_BOOT": str(self._settings),
        }
        self.process = await asyncio.create_subprocess_exec(
            *deploy["roles"]["gateway"]["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    async def wait_ready(self) -> bool:
        """Waits until the readiness address answers 200; returns whether it did."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self._is_ready():
                    await asyncio.sleep(0.1)
                return True
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    async def end(self) -> None:
        """Ends the process and removes its folder."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        self._log.close()
        for path in self._folder.iterdir():
            path.unlink()
        self._folder.rmdir()

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self._readiness)
        except OSError:
            return False
        writer.write(http1.encode("GET /api/readiness HTTP/1.1", {"Host": self.host}))
        answer = await http1.read(reader)
        writer.close()
        return answer is not None and answer.status == 200


def config(
    *, version: int, routes: list[dict], services: list[str], timeout: str | None = None
) -> dict:
    """Returns a config of the operator; ``timeout`` is that of routes without one of their own."""
    complete = []
    for route in routes:
        defaults = {
            "Host": "sila.example",
            "TargetLatency": "600ms",
            "Timeout": timeout or "1200ms",
            "Priority": 0,
            "MaxAttempts": 2,
            "Sticky": True,
            "HomeRegions": [],
        }
        complete.append({**defaults, **route})
    return {
        "Version": f"{version:08x}",
        "Routes": complete,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 660,
                "Warmup": "3s",
                "WarmupPerS": 2.7,
            }
            for name in services
        ],
        "Limits": {
            "HeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }

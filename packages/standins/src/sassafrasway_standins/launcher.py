"""Starts and stops a cluster of local processes: stand-ins and entry instances.

For tests, demo and benchmarks only; in production the platform starts the instances.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import signal
import socket
import time
from collections.abc import AsyncIterator, Coroutine, Iterable, Iterator, Mapping
from typing import Any

import aiohttp

from sassafrasway_standins import history, layouts, processes

HEALTH_POLL_S = 0.05
START_TIMEOUT_S = 60.0  # starting 16 instances takes 16 s on a busy machine
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
LIST_LAG_S = 1.0
_LOCK_PORT = 8499


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options of a cluster.

    ``invariants`` and ``placement`` are described in ``layouts.Site.entry_settings``.

    Attributes:
        entries: Number of entry instances; None uses the number of the layout.
        block: Address block; None selects a free one.
        seed: Seed of the service times.
        list_lag_s: Time until the platform's instance list shows a change, s.
        entry_command: Command that runs an entry instance; ``run --config FILE`` is appended.
    """

    entries: int | None = None
    block: int | None = None
    backend_processes: int = 2
    link_processes: int = 2
    seed: int = 1
    invariants: str = "count"
    placement: str = "pool_owner"
    list_lag_s: float = LIST_LAG_S
    entry_command: tuple[str, ...] = tuple(processes.script("sassafrasway"))


class Cluster:
    """A cluster of running processes; created by ``running``.

    Methods that send requests to a process raise ``aiohttp.ClientError`` if this fails and
    ``TimeoutError`` if the process does not answer in time, unless stated otherwise. The ``set_``
    methods raise ``ValueError`` if the process rejects the change. Methods that start, stop or wait
    for processes raise ``processes.ProcessError`` if one ends unexpectedly, or does not answer
    health requests or end in time.
    """

    def __init__(
        self,
        *,
        site: layouts.Site,
        directory: pathlib.Path,
        options: Options,
        session: aiohttp.ClientSession,
    ):
        self.site = site
        self.directory = directory
        self._options = options
        self._session = session
        self._children: dict[str, processes.ChildProcess] = {}
        self._start_counts: dict[str, int] = {}
        self._listed_states: dict[str, str] = {}
        self._backend_controls: dict[str, list[str]] = {}
        self._link_controls: list[str] = []

    @property
    def records(self) -> pathlib.Path:
        """Directory of the records that the history checker reads."""
        return self.directory / "records"

    @property
    def entry_names(self) -> list[str]:
        """Names of the entry instances whose processes are running."""
        return [name for name in self.site.instances if self.is_running(name)]

    def is_running(self, name: str) -> bool:
        """Whether a process is running; a paused process counts as running."""
        return name in self._children and self._children[name].is_running

    def process(self, name: str) -> processes.ChildProcess:
        """Returns the latest process of an entry instance or stand-in.

        Raises:
            KeyError: No process with this name was started.
        """
        return self._children[name]

    async def start(self) -> None:
        """Starts all processes and waits until each answers health requests."""
        for name in ("records", "settings", "logs"):
            (self.directory / name).mkdir(exist_ok=True)
        await self._start_stand_ins()
        await _gather_or_cancel(self.start_entry(name) for name in self.site.instances)

    async def stop(self) -> None:
        """Collects the byte counts of the links, if possible, and kills all processes."""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            await self.collect_link_bytes()
        await asyncio.gather(*(child.kill() for child in self._children.values()))

    async def wait_ready(self, names: Iterable[str] | None = None) -> None:
        """Waits until entry instances are ready to serve, which requires a policy.

        Without ``names``, it waits for all that are running.
        """
        names = self.entry_names if names is None else names
        await _gather_or_cancel(
            self._wait_for_status(name, self._health_url(name), (200,)) for name in names
        )

    async def start_entry(self, name: str) -> None:
        """Starts an entry instance, waits until it answers, and lists it as ``live``."""
        number = self._start_counts[name] = self._start_counts.get(name, 0) + 1
        record_file = self.records / f"{name}.{number}.jsonl"
        settings = self.site.entry_settings(
            name,
            record_file=str(record_file),
            invariants=self._options.invariants,
            placement=self._options.placement,
        )
        path = self.directory / "settings" / f"{name}.toml"
        path.write_text(layouts.dump_toml(settings), encoding="utf-8")
        command = [*self._options.entry_command, "run", "--config", str(path)]
        await self._spawn(name, command, log_name=f"{name}.{number}")
        # Without a policy an instance answers 503, which shows that it is running.
        await self._wait_for_status(name, self._health_url(name), (200, 503))
        await self._set_listed_state(name, "live")

    async def kill_entry(self, name: str) -> None:
        """Kills an entry instance (SIGKILL); it leaves the platform's list after the lag."""
        self._record_fault("kill", "begin", name)
        await self._children[name].kill()
        await self._set_listed_state(name, None)

    def pause_entry(self, name: str) -> None:
        """Suspends an entry instance (SIGSTOP); it stays in the platform's list."""
        self._record_fault("pause", "begin", name)
        self._children[name].send_signal(signal.SIGSTOP)

    def resume_entry(self, name: str) -> None:
        """Resumes a paused entry instance (SIGCONT)."""
        self._children[name].send_signal(signal.SIGCONT)
        self._record_fault("pause", "end", name)

    async def stop_entry(self, name: str, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stops an entry instance gracefully (SIGTERM) and returns its exit code."""
        self._record_fault("stop", history.STOP_ORDERED, name)
        self._children[name].send_signal(signal.SIGTERM)
        await self._set_listed_state(name, "leaving")
        code = await self._children[name].wait(timeout_s=timeout_s)
        self._record_fault("stop", history.STOPPED, name)
        await self._set_listed_state(name, None)
        return code

    async def replace_entry(self, name: str, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stops an instance gracefully and starts a new one with the same name and addresses.

        Returns:
            The exit code of the old instance.
        """
        code = await self.stop_entry(name, timeout_s=timeout_s)
        await self.start_entry(name)
        return code

    async def set_store_faults(self, **faults: Any) -> None:
        """Sets faults of the store, see ``store.Faults``."""
        await self._post(f"http://{self.site.store}/control", faults)

    async def store_stats(self) -> dict[str, Any]:
        """Returns the counters of the store."""
        return await self._get(f"http://{self.site.store}/control/stats")

    async def set_backends(self, servers: Iterable[str] | None = None, **behaviour: Any) -> None:
        """Changes the behaviour of backend servers, see ``backend.BackendServer.change``.

        ``servers`` are the names of the servers; None changes all of them.
        """
        selected = None if servers is None else set(servers)
        for control, names in self._backend_controls.items():
            process_servers = [name for name in names if selected is None or name in selected]
            if process_servers:
                await self._post(
                    f"http://{control}/control", {"servers": process_servers} | behaviour
                )

    async def backend_stats(self) -> dict[str, dict[str, Any]]:
        """Returns counters and state by server name, see ``backend.BackendServer.stats``."""
        stats = {}
        for control in self._backend_controls:
            stats.update(await self._get(f"http://{control}/control/stats"))
        return stats

    async def longest_backend_stall_ms(self) -> float:
        """Returns the longest event loop stall of any backend process, see ``stalls``."""
        controls = self._backend_controls
        stalls = [await self._get(f"http://{control}/control/stalls") for control in controls]
        return max(stall["longest_ms"] for stall in stalls)

    async def set_links(self, action: str, source: str, target: str) -> None:
        """Applies an action to the relays between entry instances, see ``link.Relay.change``."""
        for control in self._link_controls:
            data = {"action": action, "from": source, "to": target}
            await self._post(f"http://{control}/control", data)

    async def dump(self, name: str) -> dict[str, Any]:
        """Returns the state dump of an entry instance."""
        return await self._get(f"http://{self.site.instances[name].admin}/dump")

    async def collect_link_bytes(self) -> None:
        """Writes the bytes sent between regions so far to the records, replacing earlier counts."""
        totals: dict[tuple[str, float], int] = {}
        for control in self._link_controls:
            for link, buckets in (await self._get(f"http://{control}/control/bytes")).items():
                for start_s, count in buckets:
                    key = (link, round(start_s, 1))
                    totals[key] = totals.get(key, 0) + count
        path = self.records / "links.jsonl"
        path.unlink(missing_ok=True)
        with history.Writer(path=path) as writer:
            for (link, start_s), count in sorted(totals.items()):
                source, _, target = link.partition(">")
                if source != target:
                    record = history.LinkBytes(
                        at_s=start_s, source=source, target=target, bytes=count
                    )
                    writer.write(record)

    def write_records(self, *records: history.Record) -> None:
        """Writes records of actions of the operator and of the launcher."""
        with history.Writer(path=self.records / "operator.jsonl") as writer:
            for record in records:
                writer.write(record)

    def record_policy(self, document: Mapping[str, Any]) -> None:
        """Writes the record of a policy that has just been accepted."""
        self.write_records(history.PolicyInForce(at_s=time.monotonic(), document=dict(document)))

    def _record_fault(self, fault: str, phase: str, target: str) -> None:
        event = history.FaultEvent(at_s=time.monotonic(), fault=fault, phase=phase, target=target)
        self.write_records(event)

    async def _start_stand_ins(self) -> None:
        site, delays = self.site, self.site.layout.delays
        command = ["store", "--listen", site.store]
        command += ["--domain-ms", str(delays.domain_ms), "--region-ms", str(delays.region_ms)]
        starts = [self._start_stand_in("store", command, site.store)]
        files = site.backend_files(
            processes=self._options.backend_processes,
            records=str(self.records / "backend-{}.jsonl"),
            seed=self._options.seed,
        )
        for index, data in enumerate(files):
            names = [server["name"] for server in data["servers"]]
            self._backend_controls[data["control"]] = names
            starts.append(self._start_from_file("backend", index, data))
        for index, data in enumerate(site.link_files(processes=self._options.link_processes)):
            self._link_controls.append(data["control"])
            starts.append(self._start_from_file("link", index, data))
        await _gather_or_cancel(starts)

    async def _start_from_file(self, kind: str, index: int, data: Mapping[str, Any]) -> None:
        name = f"{kind}-{index}"
        path = self.directory / "settings" / f"{name}.json"
        path.write_text(json.dumps(data), encoding="utf-8")
        await self._start_stand_in(name, [kind, "--config", str(path)], data["control"])

    async def _start_stand_in(self, name: str, arguments: list[str], address: str) -> None:
        command = [*processes.script("sassafrasway-standins"), *arguments]
        await self._spawn(name, command, log_name=name)
        await self._wait_for_status(name, f"http://{address}/healthz", (200,))

    async def _spawn(self, name: str, command: list[str], *, log_name: str) -> None:
        log = self.directory / "logs" / f"{log_name}.log"
        child = processes.ChildProcess(name=name, command=command, log=log)
        self._children[name] = child
        await child.start()

    async def _wait_for_status(self, name: str, url: str, statuses: tuple[int, ...]) -> None:
        """Waits until a process answers a health request with one of ``statuses``.

        The timeout is ``START_TIMEOUT_S`` if 503 is one of them, so that the process need not be
        ready, and otherwise ``READY_TIMEOUT_S``.
        """
        child = self._children[name]
        deadline_s = time.monotonic() + (START_TIMEOUT_S if 503 in statuses else READY_TIMEOUT_S)
        status = 0
        while time.monotonic() < deadline_s:
            if not child.is_running:
                raise processes.ProcessError(
                    f"{name} ended with exit code {child.exit_code}:\n{child.tail()}"
                )
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self._session.get(url) as response:
                    status = response.status
                if status in statuses:
                    return
            await asyncio.sleep(HEALTH_POLL_S)
        raise processes.ProcessError(
            f"{name} did not answer its health requests with an expected status in time; "
            f"last status {status} (0: no response):\n{child.tail()}"
        )

    def _health_url(self, name: str) -> str:
        return f"http://{self.site.instances[name].admin}/healthz"

    async def _set_listed_state(self, name: str, state: str | None) -> None:
        """Sets the state of an instance in the platform's list; None removes it from the list."""
        if state is None:
            self._listed_states.pop(name, None)
        else:
            self._listed_states[name] = state
        entries = [
            self.site.instances[listed_name].list_entry(listed_state)
            for listed_name, listed_state in self._listed_states.items()
        ]
        url = f"http://{self.site.store}/control/instances"
        data = {"instances": entries, "lag_s": self._options.list_lag_s}
        async with self._session.put(url, json=data) as response:
            response.raise_for_status()

    async def _post(self, url: str, data: Mapping[str, Any]) -> None:
        async with self._session.post(url, json=data) as response:
            if response.status >= 300:
                raise ValueError(f"{url} rejected the request: {await response.text()}")

    async def _get(self, url: str) -> Any:
        async with self._session.get(url) as response:
            response.raise_for_status()
            return await response.json()


async def _gather_or_cancel(coroutines: Iterable[Coroutine[Any, Any, None]]) -> None:
    """Awaits all; if one fails, cancels the others, so that none starts a process afterwards."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.contextmanager
def _address_block(requested: int | None) -> Iterator[int]:
    """Reserves an address block that no other launcher on this machine uses.

    ``requested`` is the only block to try; None tries all. A socket that stays bound while the
    block is in use serves as a lock between launchers.
    """
    blocks = range(layouts.ADDRESS_BLOCKS) if requested is None else (requested,)
    for block in blocks:
        # The lock is bound to an address of the block that no process uses.
        region_number = layouts.REGIONS_IN_BLOCK * (block + 1) - 1
        with socket.socket() as lock:
            try:
                lock.bind((f"127.{region_number}.255.254", _LOCK_PORT))
            except OSError:
                continue
            yield block
            return
    raise processes.ProcessError(
        "no address block is free: the lock sockets of all blocks tried are in use"
    )


@contextlib.asynccontextmanager
async def running(
    layout: layouts.Layout, *, directory: pathlib.Path, options: Options | None = None
) -> AsyncIterator[Cluster]:
    """Runs a cluster; all its processes are killed at the end, also after an exception.

    ``directory`` must exist; it receives settings, logs and records.

    Raises:
        processes.ProcessError: No address block is free, or a process ended or did not answer in
            time.
    """
    options = options or Options()
    timeout = aiohttp.ClientTimeout(total=5, connect=1)
    with _address_block(options.block) as block:
        site = layouts.Site(layout=layout, block=block, entries=options.entries)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            cluster = Cluster(site=site, directory=directory, options=options, session=session)
            try:
                await cluster.start()
                yield cluster
            finally:
                await cluster.stop()

"""A small deployment: the store, upstreams and gateways, and the frame of a script."""

import asyncio
import os
import pathlib
import sys
import traceback
from collections.abc import Awaitable, Callable

import machines
import record as record_lib
import store as store_lib
import upstream as upstream_lib

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
# Time after the gateways are ready until the first request, as on the users' days.
SETTLE_S = 4.0
LONGEST_RUN_S = 110.0


class Deployment:
    """Store, upstreams and gateways on loopback addresses.

    Attributes:
        trouble: Whether the disruption takes place.
    """

    def __init__(self, *, record: record_lib.Record, gateways: int):
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        hosts = machines.free_hosts(gateways + 1)
        self._platform_host = hosts[0]
        self._ports = machines.Ports(hosts=hosts)
        self.store = store_lib.Store(host=self._platform_host, port=self._ports.store)
        self.upstreams: list[upstream_lib.Upstream] = []
        self.gateways = [
            machines.Gateway(
                name=f"front-{number}",
                host=host,
                ports=self._ports,
                store_address=self.store.address,
            )
            for number, host in enumerate(hosts[1:], 1)
        ]

    def add_upstreams(self, service: str, count: int, **options) -> list[upstream_lib.Upstream]:
        """Adds upstreams of a service."""
        added = [
            upstream_lib.Upstream(
                server_id=f"i-{service}-{number}",
                service=service,
                zone=machines.ZONE,
                host=self._platform_host,
                port=self._ports.first_upstream + len(self.upstreams) + number,
                store=self.store,
                record=self.record,
                **options,
            )
            for number in range(1, count + 1)
        ]
        self.upstreams += added
        return added

    async def start(self, config: dict) -> bool:
        """Starts everything; returns whether all gateways became ready."""
        await self.store.start()
        self.store.put("op", "config", config)
        for upstream in self.upstreams:
            await upstream.start()
        for gateway in self.gateways:
            await gateway.start()
        ready = await asyncio.gather(*(gateway.wait_ready() for gateway in self.gateways))
        self.record.add("started", ready=ready, trouble=self.trouble)
        await asyncio.sleep(SETTLE_S)
        return all(ready)

    async def end(self) -> None:
        """Ends all processes."""
        for gateway in self.gateways:
            await gateway.end()
        for upstream in self.upstreams:
            await upstream.stop()
        await self.store.stop()
        await asyncio.sleep(0.1)


async def _run(
    folder: pathlib.Path,
    gateways: int,
    case: Callable[[Deployment], Awaitable[int]],
) -> int:
    deployment = Deployment(record=record_lib.Record(path=folder / "record.txt"), gateways=gateways)
    try:
        async with asyncio.timeout(LONGEST_RUN_S):
            return await case(deployment)
    except Exception:
        deployment.record.add("failed", error=repr(traceback.format_exc()))
        traceback.print_exc()
        return COULD_NOT_RUN
    finally:
        await deployment.end()


def run(
    script: str,
    *,
    gateways: int,
    case: Callable[[Deployment], Awaitable[int]],
) -> None:
    """Runs a case, with the record beside its script, and exits with its result."""
    sys.exit(asyncio.run(_run(pathlib.Path(script).parent, gateways, case)))

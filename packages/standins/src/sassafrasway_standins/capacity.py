"""Measures how costs grow with size and extrapolates them to the design size.

Each cost is measured at four or more sizes, to which a line is fitted by least squares.
"""

import abc
import dataclasses
import gc
import ipaddress
import json
import pathlib
import random
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import click
import numpy
from thriftpy2 import thrift

from sassafrasway_core import documents, lookup, model
from sassafrasway_rpc import codec, schema

DESIGN_BLOCKS = 250_000
DESIGN_REGIONS = 30
DESIGN_CHANGE_OBJECTS = 10
# 2,000 nodes in 30 regions give 67 members of a region. There are about as many pools as sites,
# 1,300, which is fewer than one for each node, so a member is taken to own one.
DESIGN_MEMBERS_OF_REGION = 67
DESIGN_POOLS_OF_MEMBER = 1
SERVERS_IN_POOL = 4
LOOKUPS = 20_000  # in each measurement of the time of a lookup
US_PER_S = 1_000_000
PREFIX_LENGTHS = (24, 22, 20)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinearFit:
    """Measured values of one cost, and the line fitted to them.

    Attributes:
        per: What the sizes count.
        sizes: Sizes at which the cost was measured.
        slope: Growth of the cost for each unit of size.
        intercept: Value of the line at size 0.
        residual: Largest distance of a value from the line, relative to the largest value.
        design_size: Size for which the system is designed.
        design_value: Value of the line at the design size.
    """

    name: str
    unit: str
    per: str
    sizes: Sequence[int]
    values: Sequence[float]
    slope: float
    intercept: float
    residual: float
    design_size: int
    design_value: float


class Measure(abc.ABC):
    """A cost that is measured at several sizes; see ``LinearFit`` for the attributes."""

    name = ""
    unit = "bytes"
    per = "client block"
    sizes: Sequence[int] = (25_000, 50_000, 100_000, 200_000)
    design_size = DESIGN_BLOCKS

    @abc.abstractmethod
    def value(self, size: int) -> float:
        """Measures and returns the cost at a size."""

    def fit(self) -> LinearFit:
        """Measures the cost at all sizes and fits a line."""
        values = [self.value(size) for size in self.sizes]
        matrix = numpy.column_stack([self.sizes, numpy.ones(len(self.sizes))])
        (slope, intercept), *_ = numpy.linalg.lstsq(matrix, numpy.array(values), rcond=None)
        distance = numpy.abs(matrix @ (slope, intercept) - values).max()
        return LinearFit(
            name=self.name,
            unit=self.unit,
            per=self.per,
            sizes=list(self.sizes),
            values=values,
            slope=float(slope),
            intercept=float(intercept),
            residual=float(distance / max(max(values), 1e-12)),
            design_size=self.design_size,
            design_value=float(slope * self.design_size + intercept),
        )


class TableMemory(Measure):
    """Memory of the table that maps client addresses to regions."""

    name = "block table memory"

    def value(self, size: int) -> float:
        """See base class."""
        return retained_bytes(lambda: lookup.BlockTable(blocks=client_blocks(size)))


class PolicyMemory(Measure):
    """Memory of a policy with the client blocks from which the block table is built."""

    name = "policy memory"

    def value(self, size: int) -> float:
        """See base class."""
        regions = {f"r{number}": {} for number in range(DESIGN_REGIONS)}
        blocks = {block.cidr: {"region": block.region} for block in client_blocks(size)}
        document = json.dumps({"regions": regions, "blocks": blocks})
        del blocks
        return retained_bytes(
            lambda: documents.parse_policy(documents.parse_json(document), revision=1)
        )


class LookupTime(Measure):
    """Mean time of a lookup in the block table; the shortest of three measurements."""

    name = "look-up time"
    unit = "us"

    def value(self, size: int) -> float:
        """See base class."""
        table = lookup.BlockTable(blocks=client_blocks(size))
        rng = random.Random(size)
        addresses = [str(ipaddress.ip_address(rng.getrandbits(32))) for _ in range(LOOKUPS)]
        return min(_lookup_seconds(table, addresses) for _ in range(3)) / LOOKUPS * US_PER_S


def _lookup_seconds(table: lookup.BlockTable, addresses: Iterable[str]) -> float:
    started_s = time.perf_counter()
    for address in addresses:
        table.region_of(address)
    return time.perf_counter() - started_s


class ChangeBytes(Measure):
    """Size of a policy change of backend servers, as instances push it to each other."""

    name = "change size"
    per = "changed object"
    sizes = (1, 5, 10, 50, 100)
    design_size = DESIGN_CHANGE_OBJECTS

    def value(self, size: int) -> float:
        """See base class."""
        servers = {f"crew-desk-{number}": _server(number) for number in range(size)}
        change = documents.parse_change(
            {
                "base_revision": 123_456,
                "change_id": "0" * 32,
                "author": "operator@example.com",
                "sections": {"servers": servers},
            }
        )
        return float(len(json.dumps(documents.dump_change(change))))


class HeartbeatPoolBytes(Measure):
    """Size of a heartbeat and its reply, by the number of pools that the member owns."""

    name = "heartbeat size"
    per = "owned pool"
    sizes = (0, 1, 2, 4, 8)
    design_size = DESIGN_POOLS_OF_MEMBER

    def value(self, size: int) -> float:
        """See base class."""
        pools = [_pool(number) for number in range(size)]
        in_use = {f"crew-desk-{number}": 3 for number in range(SERVERS_IN_POOL)}
        request = schema.control.HeartbeatRequest(
            sender=_instance(0),
            epoch=7,
            promise=True,
            echo_s=1234.5,
            applied_seq=9,
            pools=[
                schema.control.PoolReport(
                    pool=pool, share="full", in_use=in_use, rate_per_s=1.0, queue_length=0
                )
                for pool in pools
            ],
            directory_mark=1,
            revision=123_456,
        )
        grants = [schema.control.PoolGrant(pool=pool, share="full", inherited={}) for pool in pools]
        reply = _heartbeat_reply(grants=grants, directories=[])
        return float(_message_bytes(request) + _message_bytes(reply))


class DirectoryBytes(Measure):
    """Size of a heartbeat reply with the directory of a region, which is sent when it changes."""

    name = "region directory size"
    per = "member"
    sizes = (10, 20, 40, 80)
    design_size = DESIGN_MEMBERS_OF_REGION

    def value(self, size: int) -> float:
        """See base class."""
        directory = schema.control.RegionDirectory(
            region="bkk",
            epoch=7,
            version=9,
            coordinator=_instance(0),
            instances=[_instance(number) for number in range(size)],
            owners=[
                schema.control.PoolOwner(
                    pool=_pool(number), name=f"bkk-a-{number}", incarnation="0123456789ab"
                )
                for number in range(size)
            ],
            gone=[],
        )
        return float(_message_bytes(_heartbeat_reply(grants=[], directories=[directory])))


def _heartbeat_reply(*, grants: list[Any], directories: list[Any]) -> Any:
    return schema.control.HeartbeatReply(
        epoch=7,
        coordinator=_instance(0),
        accepted=True,
        seq=9,
        stamp_s=1234.5,
        grants=grants,
        settled_s=1.0,
        cap_shares=[],
        directories=directories,
        directory_mark=1,
        revision=123_456,
    )


def _instance(number: int) -> Any:
    return schema.common.Instance(
        name=f"bkk-a-{number}",
        incarnation="0123456789ab",
        rpc_address=f"10.20.30.{number}:7000",
        caller_url=f"http://10.20.30.{number}:8080",
        region="bkk",
        failure_domain="bkk-a",
        state="live",
    )


def _pool(number: int) -> Any:
    return schema.control.PoolId(service_name=f"crew-desk-{number}", region="bkk", shard=0)


def _message_bytes(message: Any) -> int:
    head = codec.MessageHead(name="heartbeat", kind=thrift.TMessageType.CALL, sequence_id=1)
    return len(codec.encode(head=head, payload=message))


def _server(number: int) -> dict[str, Any]:
    return {
        "service": "crew-desk",
        "region": "bkk",
        "failure_domain": "bkk-a",
        "url": f"http://10.20.30.{number}:8000",
        "slots": 3,
        "connections": 660,
        "state": "active",
    }


def client_blocks(size: int) -> list[model.ClientBlock]:
    """Returns ``size`` distinct blocks of several prefix lengths in ``DESIGN_REGIONS`` regions."""
    rng = random.Random(size)
    cidrs: set[str] = set()
    while len(cidrs) < size:
        length = rng.choice(PREFIX_LENGTHS)
        address = rng.getrandbits(length) << (32 - length)
        cidrs.add(f"{ipaddress.ip_address(address)}/{length}")
    return [
        model.ClientBlock(cidr=cidr, region=f"r{number % DESIGN_REGIONS}")
        for number, cidr in enumerate(sorted(cidrs))
    ]


def retained_bytes(build: Callable[[], Any]) -> float:
    """Returns the memory that the built object retains, without temporary objects, bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        built = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return float(size)


MEASURES: tuple[Measure, ...] = (
    TableMemory(),
    PolicyMemory(),
    LookupTime(),
    ChangeBytes(),
    HeartbeatPoolBytes(),
    DirectoryBytes(),
)


def as_text(fits: Iterable[LinearFit]) -> str:
    """Returns the fits as a text table."""
    rows = [f"{'cost':<26}{'slope':>34}{'at 0':>12}{'residual':>10}{'at design size':>30}"]
    for fit in fits:
        slope = f"{fit.slope:.4g} {fit.unit}/{fit.per}"
        design = f"{fit.design_value:.4g} {fit.unit} at {fit.design_size}"
        rows.append(
            f"{fit.name:<26}{slope:>34}{fit.intercept:>12.4g}{fit.residual:>10.1%}{design:>30}"
        )
    return "\n".join(rows) + "\n"


@click.command("capacity")
@click.option(
    "--results",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path("results"),
    show_default=True,
    help="Directory for capacity.json and capacity.txt.",
)
def command(results: pathlib.Path) -> None:
    """Measures how costs grow with size and extrapolates them to the design size."""
    fits = [measure.fit() for measure in MEASURES]
    text = as_text(fits)
    results.mkdir(parents=True, exist_ok=True)
    data = [dataclasses.asdict(fit) for fit in fits]
    (results / "capacity.json").write_text(json.dumps(data, indent=2) + "\n", encoding="utf-8")
    (results / "capacity.txt").write_text(text, encoding="utf-8")
    click.echo(text, nl=False)

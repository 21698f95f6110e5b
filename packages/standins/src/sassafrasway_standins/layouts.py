"""Layouts of the two deployments and of the demo, and the settings files of their processes.

All addresses have the form ``127.<region>.<failure domain>.<n>``. Each running cluster uses an
address block of eight region numbers of its own, so that several clusters can run on one machine.
"""

import dataclasses
import ipaddress
import itertools
import json
from collections.abc import Iterator, Mapping
from typing import Any

from sassafrasway_standins import network

REGIONS_IN_BLOCK = 8
ADDRESS_BLOCKS = 31  # as many as fit into the region octet
# Highest <n> in the addresses of the entry instances of a failure domain; its backend servers have
# higher ones.
MAX_INSTANCES_IN_DOMAIN = 50
CAP_FACTOR = 1.5  # headroom of region caps over the request rate that occupies all slots
CLIENT_BLOCKS_PER_REGION = 3  # one of them is an IPv6 block


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLayout:
    """A service and its backend servers.

    Attributes:
        servers: Number of backend servers, distributed over the failure domains.
        slots: Number of slots of each server.
        idempotent: Whether a request may be run more than once.
        may_wait: Whether requests may wait for a slot.
        at_most_once: ``ticket`` or ``claim``, as in the policy document.
        deadline_ms: Deadline of requests whose caller sets none, from their arrival.
    """

    name: str
    servers: int
    slots: int
    idempotent: bool = False
    may_wait: bool = False
    at_most_once: str = "ticket"
    deadline_ms: int = 2000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """A deployment; sizes and delays of ``SILA`` and ``TRAKIA`` are those of the system design.

    Attributes:
        domains: Failure domains by region.
        domain_ms: One-way delay between failure domains of one region.
        region_ms: One-way delay between regions.
        client_ms: One-way delay between a client and its region.
        store_region: Region of the table service and the object store.
        connections: Maximum number of connections of each backend server.
        link_mbit_s: Cap of the link between two regions.
        connection_ms: Busy time of a backend server for each new connection.
        probe_ms: Busy time of a backend server for each health probe.
        entries: Number of entry instances, distributed over the failure domains.
        mean_ms: Mean service time of a warm backend server. The system design specifies none; its
            model of refusal rates assumes 200 ms.
        cold_factor: Factor on the service time of a server that has just started.
    """

    name: str
    domains: Mapping[str, tuple[str, ...]]
    domain_ms: float
    region_ms: float
    client_ms: float
    store_region: str
    services: tuple[ServiceLayout, ...]
    connections: int
    link_mbit_s: float = 4000.0
    connection_ms: float = 1.0
    probe_ms: float = 0.0
    entries: int = 16
    mean_ms: float = 200.0
    cold_factor: float = 1.0

    @property
    def regions(self) -> tuple[str, ...]:
        """Names of the regions."""
        return tuple(self.domains)

    @property
    def delays(self) -> network.Delays:
        """One-way delays between failure domains and between regions."""
        return network.Delays(domain_ms=self.domain_ms, region_ms=self.region_ms)

    def locations(self) -> Iterator[tuple[str, str]]:
        """Yields (region, failure domain) pairs endlessly, alternating between the regions."""
        order = [
            (region, domains[index])
            for index in range(max(map(len, self.domains.values())))
            for region, domains in self.domains.items()
            if index < len(domains)
        ]
        return itertools.cycle(order)


SILA = Layout(
    name="sila",
    domains={"bkk": ("bkk-a", "bkk-b"), "cnx": ("cnx-a", "cnx-b"), "hkt": ("hkt-a", "hkt-b")},
    domain_ms=1.4,
    region_ms=20.0,
    client_ms=3.0,
    store_region="bkk",
    connections=660,
    services=(
        ServiceLayout(name="quote-archive", servers=16, slots=3, idempotent=True, may_wait=True),
        ServiceLayout(name="invoicing", servers=12, slots=3, may_wait=True),
        ServiceLayout(name="crew-desk", servers=12, slots=3),
        ServiceLayout(name="order-desk", servers=12, slots=3),
    ),
)

TRAKIA = Layout(
    name="trakia",
    domains={
        "sofia": ("sofia-a", "sofia-b"),
        "plovdiv": ("plovdiv-a", "plovdiv-b"),
        "varna": ("varna-a", "varna-b"),
    },
    domain_ms=0.5,
    region_ms=12.0,
    client_ms=1.0,
    store_region="sofia",
    connections=845,
    probe_ms=6.0,
    services=(
        ServiceLayout(name="katalog", servers=20, slots=6, idempotent=True, may_wait=True),
        ServiceLayout(name="izvlichane", servers=12, slots=6),
        ServiceLayout(name="zaveryavane", servers=12, slots=3),
        ServiceLayout(name="unishtozhavane", servers=12, slots=3),
    ),
)

DEMO = Layout(
    name="demo",
    domains={"bkk": ("bkk-a", "bkk-b"), "hkt": ("hkt-a", "hkt-b")},
    domain_ms=1.4,
    region_ms=20.0,
    client_ms=3.0,
    store_region="bkk",
    connections=660,
    entries=6,
    services=(
        ServiceLayout(name="quote-archive", servers=8, slots=3, idempotent=True, may_wait=True),
        ServiceLayout(name="crew-desk", servers=8, slots=3),
    ),
)

LAYOUTS = {layout.name: layout for layout in (SILA, TRAKIA, DEMO)}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """Location and addresses of an entry instance."""

    name: str
    region: str
    failure_domain: str
    host: str

    @property
    def caller(self) -> str:
        """Address of the HTTP API for callers."""
        return f"{self.host}:8080"

    @property
    def rpc(self) -> str:
        """Address of the RPC server."""
        return f"{self.host}:7000"

    @property
    def admin(self) -> str:
        """Address of the health, metrics and state dump endpoints."""
        return f"{self.host}:9000"

    def list_entry(self, state: str) -> dict[str, str]:
        """Returns the entry for the platform's instance list."""
        return {
            "name": self.name,
            "address": self.rpc,
            "failure_domain": self.failure_domain,
            "state": state,
        }


class Site:
    """A layout with the addresses of all its processes.

    Args:
        block: Address block, 0 to ``ADDRESS_BLOCKS`` - 1.
        entries: Number of entry instances; None uses the number of the layout.

    Attributes:
        instances: Entry instances by name.

    Raises:
        ValueError: The address block is out of range.
    """

    def __init__(self, *, layout: Layout, block: int = 0, entries: int | None = None):
        if not 0 <= block < ADDRESS_BLOCKS:
            raise ValueError(f"address block {block} is not between 0 and {ADDRESS_BLOCKS - 1}")
        self.layout = layout
        self._first_region = 1 + REGIONS_IN_BLOCK * block
        count = layout.entries if entries is None else entries
        self.instances = {instance.name: instance for instance in self._instances(count)}

    @property
    def store(self) -> str:
        """Address of the store, the stand-in for the platform."""
        return f"127.{self._region_octet(self.layout.store_region)}.0.1:8500"

    @property
    def client_blocks(self) -> dict[str, str]:
        """Regions by client block (CIDR); each region has two IPv4 blocks and one IPv6 block."""
        blocks = {}
        for index, region in enumerate(self.layout.regions, start=1):
            for number in range(CLIENT_BLOCKS_PER_REGION - 1):
                blocks[f"10.{100 * number + index}.0.0/16"] = region
            blocks[str(ipaddress.ip_network(f"2001:db8:{index:x}::/48"))] = region
        return blocks

    def policy(self) -> dict[str, dict[str, Any]]:
        """Returns the policy document: objects by section and name."""
        layout = self.layout
        servers = list(self._servers())
        return {
            "regions": {region: {"cap_rps": self._cap_rps(region)} for region in layout.regions},
            "links": {
                "/".join(pair): {"cap_mbit_s": layout.link_mbit_s, "delay_ms": layout.region_ms}
                for pair in itertools.combinations(sorted(layout.regions), 2)
            },
            "services": {
                service.name: {
                    "idempotent": service.idempotent,
                    "may_wait": service.may_wait,
                    "at_most_once": service.at_most_once,
                    "deadline_ms": service.deadline_ms,
                }
                for service in layout.services
            },
            "servers": {server["name"]: self._policy_server(server) for server in servers},
            "blocks": {cidr: {"region": region} for cidr, region in self.client_blocks.items()},
            "shifts": {},
        }

    def backend_files(self, *, processes: int, records: str, seed: int) -> list[dict[str, Any]]:
        """Returns the settings of the backend processes; servers are assigned round-robin.

        ``records`` is the path of the record files, with ``{}`` in place of the process number;
        ``seed`` is the seed of the service times.
        """
        layout = self.layout
        servers = [self._backend_server(server) for server in self._servers()]
        return [
            {
                "control": f"127.{self._first_region}.0.2:{8600 + index}",
                "records": records.format(index),
                "seed": seed * processes + index,
                "delays": dataclasses.asdict(layout.delays),
                "servers": servers[index::processes],
            }
            for index in range(processes)
        ]

    def link_files(self, *, processes: int) -> list[dict[str, Any]]:
        """Returns the settings of the relay processes; each relays for some of the sources."""
        instances = list(self.instances.values())
        return [
            {
                "control": f"127.{self._first_region}.0.3:{8700 + index}",
                "delays": dataclasses.asdict(self.layout.delays),
                "pairs": [
                    self._pair(source, target)
                    for source in instances[index::processes]
                    for target in instances
                    if source is not target
                ],
            }
            for index in range(processes)
        ]

    def entry_settings(
        self,
        name: str,
        *,
        record_file: str = "",
        invariants: str = "count",
        placement: str = "pool_owner",
    ) -> dict[str, Any]:
        """Returns the settings of an entry instance.

        Args:
            name: Name of the instance.
            record_file: File to which the instance writes records; empty for none.
            invariants: ``raise`` or ``count``, the reaction to a violated invariant.
            placement: How instances share the slots of a pool: ``pool_owner``, ``even_split`` or
                ``local_count``.
        """
        instance = self.instances[name]
        others = [other for other in self.instances.values() if other is not instance]
        behaviour = {"invariants": invariants, "placement": placement}
        if record_file:
            behaviour["record_file"] = record_file
        return {
            "instance": {
                "name": instance.name,
                "region": instance.region,
                "failure_domain": instance.failure_domain,
            },
            "listen": {"caller": instance.caller, "rpc": instance.rpc, "admin": instance.admin},
            "platform": {"url": f"http://{self.store}", "timeout_ms": 1000},
            "network": {
                "seeds": [other.rpc for other in others],
                "address_map": {
                    other.rpc: self._relay_address(instance, other) for other in others
                },
            },
            "logging": {"format": "json", "level": "info"},
            "behaviour": behaviour,
        }

    def _region_octet(self, region: str) -> int:
        return self._first_region + self.layout.regions.index(region)

    def _host(self, region: str, domain: str, number: int) -> str:
        domain_octet = 1 + self.layout.domains[region].index(domain)
        return f"127.{self._region_octet(region)}.{domain_octet}.{number}"

    def _instances(self, count: int) -> Iterator[Instance]:
        numbers: dict[str, int] = {}
        for region, domain in itertools.islice(self.layout.locations(), count):
            number = numbers[domain] = numbers.get(domain, 0) + 1
            host = self._host(region, domain, number)
            yield Instance(
                name=f"{domain}-{number}", region=region, failure_domain=domain, host=host
            )

    def _servers(self) -> Iterator[dict[str, Any]]:
        """Yields the location, address and slots of each backend server, service by service."""
        locations = self.layout.locations()
        numbers: dict[str, int] = {}
        for service in self.layout.services:
            for index, (region, domain) in enumerate(itertools.islice(locations, service.servers)):
                number = numbers[domain] = numbers.get(domain, 0) + 1
                host = self._host(region, domain, MAX_INSTANCES_IN_DOMAIN + number)
                yield {
                    "name": f"{service.name}-{index + 1}",
                    "service": service.name,
                    "region": region,
                    "failure_domain": domain,
                    "address": f"{host}:8000",
                    "slots": service.slots,
                }

    def _policy_server(self, server: Mapping[str, Any]) -> dict[str, Any]:
        names = ("service", "region", "failure_domain", "slots")
        return {name: server[name] for name in names} | {
            "url": f"http://{server['address']}",
            "connections": self.layout.connections,
            "state": "active",
        }

    def _backend_server(self, server: Mapping[str, Any]) -> dict[str, Any]:
        layout = self.layout
        names = ("name", "service", "address", "slots")
        return {name: server[name] for name in names} | {
            "connections": layout.connections,
            "mean_ms": layout.mean_ms,
            "cold_factor": layout.cold_factor,
            "connection_ms": layout.connection_ms,
            "probe_ms": layout.probe_ms,
        }

    def _cap_rps(self, region: str) -> float:
        slots = sum(server["slots"] for server in self._servers() if server["region"] == region)
        return round(CAP_FACTOR * slots * 1000 / self.layout.mean_ms)

    def _relay_address(self, source: Instance, target: Instance) -> str:
        """Returns the address on which the relay accepts connections from source to target."""
        number = list(self.instances).index(target.name)
        return f"{source.host}:{20000 + number}"

    def _pair(self, source: Instance, target: Instance) -> dict[str, Any]:
        return {
            "source": _location(source),
            "target": _location(target),
            "listen": self._relay_address(source, target),
            "connect": target.rpc,
        }


def _location(instance: Instance) -> dict[str, str]:
    return {
        "name": instance.name,
        "region": instance.region,
        "failure_domain": instance.failure_domain,
    }


def dump_toml(data: Mapping[str, Any]) -> str:
    """Returns a TOML document of tables of strings, numbers, lists of strings and string maps."""
    lines = []
    for section, values in data.items():
        lines.append(f"[{section}]")
        tables = {key: value for key, value in values.items() if isinstance(value, Mapping)}
        lines += [
            f"{key} = {_toml_value(value)}" for key, value in values.items() if key not in tables
        ]
        for key, table in tables.items():
            lines.append(f"[{section}.{key}]")
            lines += [
                f"{_toml_value(name)} = {_toml_value(value)}" for name, value in table.items()
            ]
    return "\n".join(lines) + "\n"


def _toml_value(value: Any) -> str:
    # JSON strings, numbers, booleans and lists of them are valid TOML values.
    return json.dumps(value)

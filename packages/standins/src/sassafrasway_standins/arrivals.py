"""Seeded Poisson arrivals for the load tool and for the simulated ideal pool.

Each stream (service and home region) has its own random number generator, so the arrivals of one
service stay the same when another service is added or the load of another service changes.
"""

import dataclasses
import heapq
import ipaddress
import random
from collections.abc import Iterable, Iterator, Sequence


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stream:
    """Requests of one service from the clients of one region.

    Attributes:
        rate_rps: Mean arrival rate, requests/s.
        mean_service_s: Mean of the exponential service time, s.
        client_block: CIDR block from which client addresses are drawn.
    """

    service: str
    region: str
    rate_rps: float
    mean_service_s: float
    client_block: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request that a caller intends to send.

    Attributes:
        request: ID of the request in all records.
        at_s: Intended time, s after the start of the trace.
        region: Home region of the client.
        service_s: Time that the backend server takes for the request, s.
        client: Client address.
    """

    request: str
    at_s: float
    service: str
    region: str
    service_s: float
    client: str


def streams_for_load(
    *,
    slots: dict[str, int],
    blocks: dict[str, str],
    load: float,
    mean_service_s: float,
) -> list[Stream]:
    """Returns one stream per service and region, with equal rates in all regions.

    Args:
        slots: Number of slots of each service, summed over all regions.
        blocks: A client block (CIDR) for each region.
        load: Offered load; at 1.0, arrival rate times mean service time equals the slots.
        mean_service_s: Mean service time, s.

    Raises:
        ValueError: ``load`` or ``mean_service_s`` is not positive.
    """
    if load <= 0 or mean_service_s <= 0:
        raise ValueError("load and mean_service_s must be positive")
    streams = []
    for service, count in sorted(slots.items()):
        rate_rps = load * count / mean_service_s / len(blocks)
        for region, block in sorted(blocks.items()):
            streams.append(
                Stream(
                    service=service,
                    region=region,
                    rate_rps=rate_rps,
                    mean_service_s=mean_service_s,
                    client_block=block,
                )
            )
    return streams


def generate(streams: Iterable[Stream], *, duration_s: float, seed: int) -> list[Arrival]:
    """Returns the arrivals of all streams within ``duration_s``, sorted by time."""
    iterators = [_stream_arrivals(stream, duration_s=duration_s, seed=seed) for stream in streams]
    return list(heapq.merge(*iterators, key=lambda arrival: arrival.at_s))


def partition(arrivals: Sequence[Arrival], *, parts: int) -> list[list[Arrival]]:
    """Distributes arrivals among load processes round-robin; each part stays sorted by time."""
    return [list(arrivals[index::parts]) for index in range(parts)]


def _stream_arrivals(stream: Stream, *, duration_s: float, seed: int) -> Iterator[Arrival]:
    rng = random.Random(f"{seed}/{stream.service}/{stream.region}")
    network = ipaddress.ip_network(stream.client_block)
    at_s = rng.expovariate(stream.rate_rps)
    number = 0
    while at_s < duration_s:
        yield Arrival(
            request=f"{stream.service}.{stream.region}.{seed}.{number}",
            at_s=at_s,
            service=stream.service,
            region=stream.region,
            service_s=rng.expovariate(1.0 / stream.mean_service_s),
            client=str(network[rng.randrange(network.num_addresses)]),
        )
        at_s += rng.expovariate(stream.rate_rps)
        number += 1

"""Exact simulation of the ideal pool, which serves every arrival of a service with all its slots.

The result is the reference for the refusal rates and waiting times of real runs: without knowing
the service times in advance, no steering system with the same slots, arrivals and service times can
refuse fewer requests.
"""

import heapq
import math
from collections.abc import Iterable


def pooled_waits(
    arrivals: Iterable[tuple[float, float]], *, slots: int, max_wait_s: float = 0.0
) -> list[float | None]:
    """Simulates one pool with a first-come, first-served queue.

    Args:
        arrivals: Pairs of arrival time, s, and service time, s, in order of arrival.
        slots: Number of requests that the pool runs concurrently.
        max_wait_s: Longest time in the queue, s; an arrival that would wait longer is refused. 0
            gives a pure loss system, ``math.inf`` a queue without refusals.

    Returns:
        The waiting time of each arrival, s; None if it is refused.

    Raises:
        ValueError: ``slots`` is less than 1.
    """
    if slots < 1:
        raise ValueError(f"slots must be at least 1, got {slots}")
    free_at_s = [-math.inf] * slots  # heap of the times at which the slots become free
    waits: list[float | None] = []
    for arrived_s, service_s in arrivals:
        start_s = max(arrived_s, free_at_s[0])
        wait_s = start_s - arrived_s
        if wait_s > max_wait_s:
            waits.append(None)
            continue
        heapq.heapreplace(free_at_s, start_s + service_s)
        waits.append(wait_s)
    return waits


def erlang_b(*, slots: int, offered: float) -> float:
    """Returns the refusal probability of a loss system with Poisson arrivals.

    ``offered`` is the traffic in erlangs, arrival rate times mean service time.
    """
    # Erlang B recursion over the number of slots, starting at 0 slots.
    refusal = 1.0
    for count in range(1, slots + 1):
        refusal = offered * refusal / (count + offered * refusal)
    return refusal

"""Exact simulation of the pooled ideal: one pool that sees every arrival of a service.

The result is the reference for refusal rates and waiting times of real runs, because no steering
system with the same slots, arrivals and service times can refuse fewer requests without knowing
the service times in advance.
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
        slots: Number of requests that the pool runs at the same time.
        max_wait_s: Longest time in the queue, s. 0 is a pure loss system; ``math.inf`` is a queue
            without refusals.

    Returns:
        The waiting time of each arrival, s; None for an arrival that is refused.
    """
    if slots < 1:
        raise ValueError(f"slots must be at least 1, not {slots}")
    free_at = [-math.inf] * slots
    waits: list[float | None] = []
    for arrived_s, service_s in arrivals:
        start_s = max(arrived_s, free_at[0])
        wait_s = start_s - arrived_s
        if wait_s > max_wait_s:
            waits.append(None)
            continue
        heapq.heapreplace(free_at, start_s + service_s)
        waits.append(wait_s)
    return waits


def erlang_b(*, slots: int, offered: float) -> float:
    """Returns the refusal probability of a loss system with Poisson arrivals.

    Args:
        slots: Number of slots.
        offered: Arrival rate times mean service time (erlangs).
    """
    refusal = 1.0
    for count in range(1, slots + 1):
        refusal = offered * refusal / (count + offered * refusal)
    return refusal

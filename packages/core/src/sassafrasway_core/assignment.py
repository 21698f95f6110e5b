"""Assignment of pools to their owners: rendezvous hashing with few moves and an even spread.

The coordinator of a region uses it when its pools or its instances have changed.
"""

import collections
from collections.abc import Iterable, Mapping

import xxhash

from sassafrasway_core import model


def weight(pool: model.PoolKey, instance: model.InstanceId) -> int:
    """Returns the rendezvous weight of an instance for a pool."""
    return xxhash.xxh3_64_intdigest(f"{pool}|{instance}".encode())


def assign(
    pools: Iterable[model.PoolKey],
    *,
    members: Iterable[model.InstanceId],
    current: Mapping[model.PoolKey, model.InstanceId],
    moves: int = 0,
) -> dict[model.PoolKey, model.InstanceId]:
    """Returns an owner for every pool, or no owners if there are no members.

    A pool stays with its current owner if that is one of the members. Any other pool goes to the
    member with the highest rendezvous weight among those that own the fewest pools. At most
    ``moves`` pools then move between members to even out their numbers.
    """
    keys = sorted(pools)
    candidates = sorted(set(members))
    if not candidates:
        return {}
    eligible = frozenset(candidates)
    owners = {key: current[key] for key in keys if current.get(key) in eligible}
    counts = collections.Counter(dict.fromkeys(candidates, 0))
    counts.update(owners.values())
    for key in keys:
        if key not in owners:
            owners[key] = _least_loaded(key, counts)
            counts[owners[key]] += 1
    for _ in range(moves):
        if not _move_pool(owners, counts):
            break
    return owners


def is_even(
    owners: Mapping[model.PoolKey, model.InstanceId], members: Iterable[model.InstanceId]
) -> bool:
    """Returns whether the numbers of pools per member differ by at most one."""
    counts = collections.Counter(dict.fromkeys(members, 0))
    counts.update(owner for owner in owners.values() if owner in counts)
    return not counts or max(counts.values()) - min(counts.values()) < 2


def _least_loaded(key: model.PoolKey, counts: Mapping[model.InstanceId, int]) -> model.InstanceId:
    min_count = min(counts.values())
    return max(
        (instance for instance, count in counts.items() if count == min_count),
        key=lambda instance: weight(key, instance),
    )


def _move_pool(owners: dict, counts: collections.Counter) -> bool:
    """Moves a pool from a member with the most pools to one with the fewest.

    Returns:
        False when the numbers are even already, so that nothing was moved.
    """
    min_count = min(counts.values())
    max_count = max(counts.values())
    # Moving a pool at a difference of one only swaps the two counts and would repeat forever.
    if max_count - min_count < 2:
        return False
    donor = max(instance for instance, count in counts.items() if count == max_count)
    receivers = [instance for instance, count in counts.items() if count == min_count]
    key, receiver = max(
        ((key, receiver) for key in owners if owners[key] == donor for receiver in receivers),
        key=lambda pair: weight(*pair),
    )
    owners[key] = receiver
    counts[donor] -= 1
    counts[receiver] += 1
    return True

"""Selects which members of a ring to ping, so that a gap of lost members is found in parallel.

Each instance pings its successor. While that one and those behind it do not answer, it pings more
at each step, until one answers. The same is done in the other direction once the predecessor, which
should ping this instance, is silent. Each lost member is thus pinged by the two live neighbours of
its gap only, and the number of steps grows with the logarithm of the size of the gap.
"""

import itertools
from collections.abc import Callable, Sequence

# Members pinged beyond a gap in one step, for each silent member of the gap.
GROWTH = 4


def targets(
    neighbours: Sequence[str],
    *,
    is_silent: Callable[[str], bool],
    is_heard: Callable[[str], bool],
) -> list[str]:
    """Returns the members to ping in one direction.

    Args:
        neighbours: The other live members, the nearest one first.
        is_silent: Whether a member has not answered a ping of an earlier step.
        is_heard: Whether a message of a member has arrived since the last step.
    """
    gap = 0
    while gap < len(neighbours) and is_silent(neighbours[gap]):
        gap += 1
    if not gap:
        return list(neighbours[:1])
    beyond = neighbours[gap : gap + GROWTH * gap]
    return [*neighbours[:gap], *itertools.takewhile(lambda name: not is_heard(name), beyond)]

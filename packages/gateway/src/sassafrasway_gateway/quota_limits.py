"""Computes how the limit of an organisation is divided among shards and safety margins.

In a window of W seconds the fleet may use (rate x W + burst) x factor + slack. Of that, the buckets
of all shards use their capacity plus the refill of W seconds and of the lifetime of a token,
because tokens granted just before the window may be used in it. The emergency quota uses a part of
the slack and of the tolerance on the burst. What remains covers owners of the same shard that grant
at the same time while the fleet's views differ.
"""

import dataclasses
import math
from collections.abc import Sequence

from sassafrasway_gateway import hash_ring, model, settings

# Time for which a token may be used, from the moment it was requested.
TOKEN_LIFETIME_S = 0.3
# Largest rate of a shard, and the largest number of shards. They limit the load of an owner, which
# answers one message for nearly each request of its shard.
SHARD_RATE_PER_S = 20.0
MAX_SHARDS = 8
# Shares of the tolerance on the rate (window x rate x (factor - 1)) that cover the lifetime of
# tokens and the capacity of the buckets.
LIFETIME_SHARE = 0.6
CAPACITY_SHARE = 0.2
# Share of the slack that the capacity uses, so that limits without burst do not reject requests
# that arrive close together.
CAPACITY_SLACK_SHARE = 0.4
# Emergency quota: shares of the tolerance on the burst and of the slack.
EMERGENCY_BURST_SHARE = 0.4
EMERGENCY_SLACK_SHARE = 0.2
# Share of the slack with which the buckets of an organisation together start if no previous owner
# hands tokens over.
START_SLACK_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """Limit of one organisation, by shard.

    Attributes:
        keys: Ring key of each shard.
        rate_per_s: Refill rate of each shard.
        capacity: Capacity of each shard.
        start: Tokens with which a shard starts if no previous owner hands tokens over.
        emergency: Requests that the fleet may pass on in a window without tokens.
        window_s: Length of the window, s.
    """

    organisation: str
    keys: tuple[int, ...]
    rate_per_s: float
    capacity: float
    start: float
    emergency: int
    window_s: float


def limit_of(organisation: model.Organisation, bounds: settings.Bounds) -> Limit | None:
    """Returns the limit of an organisation; None if it has none."""
    rate = organisation.rate_per_s
    if rate <= 0.0:
        return None
    shards = min(MAX_SHARDS, max(1, math.ceil(rate / SHARD_RATE_PER_S)))
    window_s = bounds.quota_window_s
    excess = max(0.0, bounds.quota_factor - 1.0)
    tolerance = excess * rate * window_s
    refill = (rate * window_s + LIFETIME_SHARE * tolerance) / (window_s + TOKEN_LIFETIME_S)
    capacity = (
        organisation.burst + CAPACITY_SHARE * tolerance + CAPACITY_SLACK_SHARE * bounds.quota_slack
    )
    capacity = max(1.0, capacity / shards)
    emergency = (
        EMERGENCY_BURST_SHARE * excess * organisation.burst
        + EMERGENCY_SLACK_SHARE * bounds.quota_slack
    )
    return Limit(
        organisation=organisation.name,
        keys=tuple(hash_ring.key_of(organisation.name, str(index)) for index in range(shards)),
        rate_per_s=min(rate, refill) / shards,
        capacity=capacity,
        start=min(capacity, START_SLACK_SHARE * bounds.quota_slack / shards),
        emergency=int(emergency),
        window_s=window_s,
    )


def whole_share(total: int, names: Sequence[str], own: str, key: str) -> int:
    """Returns one name's part of a total that is divided in whole numbers.

    The hash of key and names decides which ones get the remainder.
    """
    share, remainder = divmod(total, len(names))
    if not remainder:
        return share
    own_score = hash_ring.key_of(key, own)
    rank = sum(hash_ring.key_of(key, name) < own_score for name in names)
    return share + (rank < remainder)

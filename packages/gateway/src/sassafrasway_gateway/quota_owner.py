"""Grants tokens for the shards of rate limits that this instance owns."""

import collections
import copy
import dataclasses
import enum
import math
from collections.abc import Callable, Mapping

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import peer_messages, quota_directory, quota_limits, token_bucket

# Longest time that a request waits for a token that has not accrued yet. Without it, requests that
# arrive together are rejected although the limit is not reached.
MAX_GRANT_DELAY_S = 0.1
# Interval after which a shard request is repeated, and the number of attempts. There are more if
# the other instance is known to have owned the shard. After the last one, the shard starts without
# tokens, because the previous owner may still grant them.
HANDOVER_RETRY_S = 0.05
HANDOVER_TRIES = 3
KNOWN_HANDOVER_TRIES = 5
# Time for which an instance that has handed a shard over passes token requests on to the new owner,
# even while its own view does not name that one yet.
RELEASED_FOR_S = 1.0
# Additional time for which the record of a released shard is kept.
REMEMBERED_S = 10.0
# After a longer pause of the process, other instances may have taken its shards over.
MAX_PAUSE_S = 1.0
# Time after a grant for which its tokens may be returned.
RETURN_WITHIN_S = 1.0
# Part of the capacity that is reserved for waiting requests; tokens in advance come from the rest.
PLENTY_SHARE = 0.5
# Largest numbers of recorded grants and waiting token requests of a shard, to bound the memory.
MAX_GRANTS = 500
MAX_WAITING = 100
# Bounds of the times stated in a rejection: the shortest one, the longest one after which the
# instance may request tokens again, and the longest Retry-After of callers.
MIN_WAIT_S = 0.02
MAX_WAIT_S = 2.0
MAX_RETRY_S = 10.0
# Rejected instances wait for this multiple of the time in which each of them could get a token,
# because each can ask several shards, and a rejected token request costs two messages.
INSTANCES_FACTOR = 4.0
# Part of the rate that must have been rejected for that additional wait. Smaller shortages end by
# themselves.
SHORTAGE = 0.5
# Time over which rejected requests are counted.
REJECTED_WINDOW_S = 1.0

Send = Callable[[str, peer_messages.QuotaMessage], None]
CallLater = Callable[[float, Callable[[], None]], object]


class ShardPhase(enum.Enum):
    """State of a shard at an instance."""

    # The previous owner is being asked to hand the shard over.
    STARTING = "starting"
    OWNED = "owned"
    # Another instance owns the shard now.
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Result of a token request.

    Attributes:
        delay_s: Time until the tokens may be used.
        wait_s: Time until the shard may have tokens again.
        retry_s: Time after which rejected callers may retry.
    """

    state: peer_messages.GrantState
    count: int = 0
    delay_s: float = 0.0
    wait_s: float = 0.0
    retry_s: float = 0.0


UNKNOWN = Decision(state=peer_messages.GrantState.UNKNOWN)


class _RejectedTokens:
    """Tokens that were rejected in the last second, by requesting instance.

    The window consists of two halves.
    """

    def __init__(self):
        self._started_s = 0.0
        self._current: collections.Counter[str] = collections.Counter()
        self._previous: collections.Counter[str] = collections.Counter()

    def add(self, host: str, count: int, now_s: float) -> None:
        """Counts tokens; the address is empty for this instance."""
        self._advance(now_s)
        self._current[host] += count

    def tokens(self, now_s: float) -> int:
        """Returns the number of tokens."""
        self._advance(now_s)
        return self._current.total() + self._previous.total()

    def hosts(self, now_s: float) -> int:
        """Returns the number of instances."""
        self._advance(now_s)
        return len(self._current.keys() | self._previous.keys())

    def _advance(self, now_s: float) -> None:
        half_s = REJECTED_WINDOW_S / 2.0
        steps = int((now_s - self._started_s) / half_s)
        if steps <= 0:
            return
        self._previous = self._current if steps == 1 else collections.Counter()
        self._current = collections.Counter()
        self._started_s += steps * half_s


@dataclasses.dataclass(slots=True, kw_only=True)
class _Shard:
    """A shard that this instance owns, or has owned.

    Attributes:
        was_owned: Whether this instance has granted its tokens since it began to take it over.
        previous_host: Address of the instance to which this one last handed the shard over; empty
            if there was none. The shard may pass back and forth while their views differ.
        tries: Number of shard requests sent.
        waiting: Token requests that arrived before the previous owner's answer, with the address
            for the grant.
        grants: Time and number of the tokens granted to each token request, oldest first.
        successor: Address of the instance that has asked for the shard; otherwise empty.
        released_until_s: Time until which the successor counts as owner, whatever the view says.
    """

    limit: quota_limits.Limit
    index: int
    bucket: token_bucket.TokenBucket
    phase: ShardPhase = ShardPhase.STARTING
    was_owned: bool = False
    previous_host: str = ""
    tries: int = 0
    waiting: list[tuple[peer_messages.TokenRequest, str]] = dataclasses.field(default_factory=list)
    grants: collections.OrderedDict[tuple[str, int], tuple[float, int]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    rejected: _RejectedTokens = dataclasses.field(default_factory=_RejectedTokens)
    successor: str = ""
    released_until_s: float = 0.0


class QuotaOwner:
    """Token buckets of the shards that this instance owns.

    Args:
        send: Sends a message to the address of an instance.
        call_later: Calls a function after a number of seconds.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        directory: quota_directory.QuotaDirectory,
        send: Send,
        call_later: CallLater,
    ):
        self._clock = clock
        self._directory = directory
        self._send = send
        self._call_later = call_later
        self._limits: Mapping[str, quota_limits.Limit] = {}
        self._shards: dict[tuple[str, int], _Shard] = {}
        self._version = -1
        self._active_s = clock.monotonic()

    @property
    def owned(self) -> int:
        """Number of shards that this instance owns."""
        return sum(shard.phase is ShardPhase.OWNED for shard in self._shards.values())

    def set_limits(self, limits: Mapping[str, quota_limits.Limit]) -> None:
        """Replaces the limits of all organisations."""
        self._limits = limits
        self._version = -1
        self.update()

    def update(self) -> None:
        """Adapts the shards to the live instances; called regularly and before each use."""
        now_s = self._clock.monotonic()
        if now_s - self._active_s > MAX_PAUSE_S:
            self.reset()
        self._active_s = now_s
        version = self._directory.version
        if version == self._version:
            return
        self._version = version
        for key, shard in list(self._shards.items()):
            self._update_shard(key, shard, now_s)
        if not self._directory.knows_fleet:
            # Otherwise each of several instances that start together would own all shards.
            self._version = -1
            return
        for limit in self._limits.values():
            for index in range(len(limit.keys)):
                self._begin_takeover(limit, index, now_s)

    def reset(self) -> None:
        """Removes all shards, because other instances may have owned them in the meantime."""
        self._shards.clear()
        self._version = -1

    def take(self, organisation: str, index: int, count: int) -> Decision:
        """Takes tokens for a request of this instance; see `owns`."""
        if not self.owns(organisation, index) or not self._may_grant:
            return UNKNOWN
        return self._take(self._shards[organisation, index], count)

    def preview_wait_s(self, organisation: str, index: int) -> float | None:
        """Returns the time until `take` returns a token, s; changes no state.

        None if this instance does not own the shard or may not grant tokens.
        """
        shard = self._shards.get((organisation, index))
        if shard is None or shard.phase is not ShardPhase.OWNED:
            return None
        if not self._may_grant or not self._directory.knows_fleet:
            return None
        bucket = copy.copy(shard.bucket)
        return bucket.wait_s(max_delay_s=MAX_GRANT_DELAY_S, now_s=self._clock.monotonic())

    def give_back(self, organisation: str, index: int, count: int) -> None:
        """Takes back tokens that this instance has taken and not used."""
        shard = self._shards.get((organisation, index))
        if shard is not None and shard.phase is ShardPhase.OWNED:
            shard.bucket.give_back(count, self._clock.monotonic())

    def owns(self, organisation: str, index: int) -> bool:
        """Whether this instance owns a shard and may use its tokens itself."""
        self.update()
        if not self._directory.knows_fleet:
            return False
        shard = self._shards.get((organisation, index))
        return shard is not None and shard.phase is ShardPhase.OWNED

    def on_request(self, request: peer_messages.TokenRequest, host: str) -> None:
        """Answers a token request that came from the given address, or passes it on."""
        self.update()
        reply_host = request.reply_host or host
        shard = self._shards.get((request.organisation, request.shard))
        now_s = self._clock.monotonic()
        limit = self._limits.get(request.organisation)
        if shard is None and limit is not None and request.shard < len(limit.keys):
            # Other instances may know of this one before it knows all of them.
            self._begin_takeover(limit, request.shard, now_s)
            shard = self._shards.get((request.organisation, request.shard))
        if shard is None or shard.phase is ShardPhase.RELEASED:
            self._pass_on(request, shard, reply_host, now_s)
        elif shard.phase is ShardPhase.STARTING:
            if len(shard.waiting) < MAX_WAITING:
                shard.waiting.append((request, reply_host))
        elif not self._may_grant:
            self._reply(reply_host, request, UNKNOWN)
        else:
            self._grant(shard, request, reply_host, now_s)

    def on_return(self, message: peer_messages.TokenReturn, host: str) -> None:
        """Takes back tokens that the instance with the given address has not used."""
        shard = self._shards.get((message.organisation, message.shard))
        if shard is None or shard.phase is not ShardPhase.OWNED:
            return
        now_s = self._clock.monotonic()
        granted_s, count = shard.grants.pop((host, message.request_id), (float("-inf"), 0))
        if now_s - granted_s <= RETURN_WITHIN_S:
            shard.bucket.give_back(min(count, message.count), now_s)

    def on_shard_request(self, message: peer_messages.ShardRequest, host: str) -> None:
        """Hands a shard over to the instance with the given address, which owns it now.

        If several instances that do not know of each other ask for it, the last one gets it.
        """
        self.update()
        now_s = self._clock.monotonic()
        host = message.reply_host or host
        key = (message.organisation, message.shard)
        shard = self._shards.get(key)
        level = None
        if shard is not None and self._has_tokens(shard, host, now_s):
            level = shard.bucket.level(now_s)
        holder = None if level is not None else self._holder(key, shard, host)
        if shard is not None:
            self._release(shard, host, now_s)
        if holder in (None, host) or message.hops >= peer_messages.MAX_SHARD_REQUEST_HOPS:
            self._send(host, peer_messages.ShardHandover(*key, level))
        else:
            self._send(holder, peer_messages.ShardRequest(*key, host, message.hops + 1))

    def on_handover(self, message: peer_messages.ShardHandover) -> None:
        """Starts to grant the tokens of a shard that the previous owner has handed over."""
        shard = self._shards.get((message.organisation, message.shard))
        if shard is None or shard.phase is not ShardPhase.STARTING:
            return
        level = shard.limit.start if message.level is None else message.level
        self._start(shard, level)

    @staticmethod
    def _has_tokens(shard: _Shard, host: str, now_s: float) -> bool:
        """Whether only this instance and the one with the given address can have used the tokens.

        A shard that was released earlier may have had another owner since.
        """
        if shard.phase is ShardPhase.RELEASED:
            kept = shard.successor in ("", host) and now_s < shard.released_until_s
            return shard.was_owned and kept
        return shard.phase is ShardPhase.OWNED

    def _holder(self, key: tuple[str, int], shard: _Shard | None, host: str) -> str | None:
        """Returns the address of another instance that may own a shard; None if there is none.

        If the view names this instance as owner, the result is the instance that would own the
        shard without this one and without the requesting one, whose address is ``host``.
        """
        if shard is not None and shard.successor:
            return shard.successor
        limit = self._limits.get(key[0])
        if limit is None or key[1] >= len(limit.keys):
            return None
        ring_key = limit.keys[key[1]]
        owner = self._directory.owner(ring_key)
        own_name = self._directory.own_name
        if owner == own_name:
            without = (own_name, self._directory.name_of(host))
            owner = self._directory.owner(ring_key, without=without)
        return None if owner is None else self._directory.host(owner)

    @property
    def _may_grant(self) -> bool:
        return not self._directory.isolated

    def _update_shard(self, key: tuple[str, int], shard: _Shard, now_s: float) -> None:
        """Applies changed limits and the live fraction, and releases what others own."""
        organisation, index = key
        limit = self._limits.get(organisation)
        if limit is None or index >= len(limit.keys):
            del self._shards[key]
            return
        shard.limit = limit
        rate_per_s, capacity = self._scaled(limit)
        shard.bucket.set_limits(rate_per_s=rate_per_s, capacity=capacity, now_s=now_s)
        if self._directory.owner(limit.keys[index]) == self._directory.own_name:
            return
        if shard.phase is ShardPhase.RELEASED:
            if now_s >= shard.released_until_s + REMEMBERED_S:
                del self._shards[key]
        else:
            self._release(shard, "", now_s)

    def _scaled(self, limit: quota_limits.Limit) -> tuple[float, float]:
        fraction = self._directory.live_fraction
        return limit.rate_per_s * fraction, max(1.0, limit.capacity * fraction)

    def _begin_takeover(self, limit: quota_limits.Limit, index: int, now_s: float) -> None:
        """Begins to take a shard over if this instance owns it."""
        key = (limit.organisation, index)
        own_name = self._directory.own_name
        shard = self._shards.get(key)
        if shard is not None and shard.phase is not ShardPhase.RELEASED:
            return
        if self._directory.owner(limit.keys[index]) != own_name:
            return
        if shard is not None and now_s < shard.released_until_s:
            # The view may be outdated; the next update checks the shard again.
            self._version = -1
            return
        rate_per_s, capacity = self._scaled(limit)
        bucket = token_bucket.TokenBucket(
            rate_per_s=rate_per_s, capacity=capacity, level=0.0, now_s=now_s
        )
        previous_host = "" if shard is None else shard.successor
        shard = _Shard(limit=limit, index=index, bucket=bucket, previous_host=previous_host)
        self._shards[key] = shard
        self._request_handover(shard)

    def _request_handover(self, shard: _Shard) -> None:
        """Asks the previous owner for the tokens that it has left."""
        key = (shard.limit.organisation, shard.index)
        if self._shards.get(key) is not shard or shard.phase is not ShardPhase.STARTING:
            return
        host = shard.previous_host or self._previous_host(shard)
        if host is None:
            self._start(shard, shard.limit.start if self._directory.knows_fleet else 0.0)
            return
        if shard.tries >= (KNOWN_HANDOVER_TRIES if shard.previous_host else HANDOVER_TRIES):
            self._start(shard, 0.0)
            return
        shard.tries += 1
        self._send(host, peer_messages.ShardRequest(*key))
        self._call_later(HANDOVER_RETRY_S, lambda: self._request_handover(shard))

    def _previous_host(self, shard: _Shard) -> str | None:
        """Returns the address of the instance that would own a shard without this one."""
        key = shard.limit.keys[shard.index]
        previous = self._directory.owner(key, without=(self._directory.own_name,))
        return None if previous is None else self._directory.host(previous)

    def _start(self, shard: _Shard, level: float) -> None:
        now_s = self._clock.monotonic()
        rate_per_s, capacity = self._scaled(shard.limit)
        shard.bucket = token_bucket.TokenBucket(
            rate_per_s=rate_per_s, capacity=capacity, level=level, now_s=now_s
        )
        shard.phase = ShardPhase.OWNED
        shard.was_owned = True
        waiting, shard.waiting = shard.waiting, []
        for request, reply_host in waiting:
            self._grant(shard, request, reply_host, now_s)

    def _release(self, shard: _Shard, successor: str, now_s: float) -> None:
        """Stops granting; ``successor`` is empty if only the view names another owner."""
        shard.phase = ShardPhase.RELEASED
        shard.successor = successor
        shard.released_until_s = now_s + RELEASED_FOR_S
        waiting, shard.waiting = shard.waiting, []
        for request, reply_host in waiting:
            self._pass_on(request, shard, reply_host, now_s)

    def _pass_on(
        self,
        request: peer_messages.TokenRequest,
        shard: _Shard | None,
        reply_host: str,
        now_s: float,
    ) -> None:
        """Sends a token request to the owner, once, because the requesting view is outdated."""
        key = (request.organisation, request.shard)
        handed_over = shard is not None and now_s < shard.released_until_s
        host = self._holder(key, shard if handed_over else None, reply_host)
        if host is None or request.reply_host:
            self._reply(reply_host, request, UNKNOWN)
            return
        passed_on = peer_messages.TokenRequest(
            request.organisation,
            request.shard,
            request.count,
            request.spare,
            request.request_id,
            reply_host,
        )
        self._send(host, passed_on)

    def _grant(
        self, shard: _Shard, request: peer_messages.TokenRequest, reply_host: str, now_s: float
    ) -> None:
        decision = UNKNOWN
        if self._may_grant:
            decision = self._take(shard, request.count, request.spare, host=reply_host)
        if decision.count:
            shard.grants[(reply_host, request.request_id)] = (now_s, decision.count)
            while len(shard.grants) > MAX_GRANTS:
                shard.grants.popitem(last=False)
        self._reply(reply_host, request, decision)

    def _take(self, shard: _Shard, count: int, spare: int = 0, *, host: str = "") -> Decision:
        """Takes tokens for waiting requests, and some in advance if the bucket is well filled."""
        now_s = self._clock.monotonic()
        surplus = shard.bucket.level(now_s) - count - self._scaled(shard.limit)[1] * PLENTY_SHARE
        count += max(0, min(spare, int(surplus)))
        taken, delay_s = shard.bucket.take(count, max_delay_s=MAX_GRANT_DELAY_S, now_s=now_s)
        if taken:
            return Decision(state=peer_messages.GrantState.GRANTED, count=taken, delay_s=delay_s)
        shard.rejected.add(host, count, now_s)
        rate_per_s, _ = self._scaled(shard.limit)
        wait_s = shard.bucket.wait_s(max_delay_s=MAX_GRANT_DELAY_S, now_s=now_s)
        # The callers and instances that were rejected in the last second retry before this one.
        # Instances wait for each other only if the shortage is not a short one.
        callers_s = shard.rejected.tokens(now_s) / rate_per_s
        instances_s = 0.0
        if callers_s > SHORTAGE * REJECTED_WINDOW_S:
            instances_s = INSTANCES_FACTOR * (shard.rejected.hosts(now_s) - 1) / rate_per_s
        return Decision(
            state=peer_messages.GrantState.LIMITED,
            wait_s=min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s + instances_s)),
            retry_s=min(MAX_RETRY_S, max(MIN_WAIT_S, wait_s + callers_s)),
        )

    def _reply(
        self, reply_host: str, request: peer_messages.TokenRequest, decision: Decision
    ) -> None:
        wait_s = decision.delay_s if decision.count else decision.wait_s
        grant = peer_messages.TokenGrant(
            request.request_id,
            decision.state,
            decision.count,
            # Rounded up, so that no token is used before it has accrued.
            math.ceil(wait_s * 1000.0),
            math.ceil(decision.retry_s * 1000.0),
        )
        self._send(reply_host, grant)

"""Requests tokens from the owners of the shards for the requests of this instance."""

import collections
import dataclasses
import enum
import itertools
import math
import random
from collections.abc import Callable, Mapping

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import (
    peer_messages,
    quota_directory,
    quota_limits,
    quota_owner,
    quota_permits,
    retry_budgets,
)

# Time-out of a token request; after it, another shard is asked.
ANSWER_TIMEOUT_S = 0.15
# Numbers of token requests without answer, and of answers that a limit is reached, after which a
# request is rejected. More than one shard is asked because shards are used unevenly.
MAX_UNANSWERED = 5
MAX_LIMITED = 3
# Number of times that requests wait for a shard that will have tokens soon, and the longest wait.
# A limit allows larger bursts than each of its shards.
MAX_WAITS = 3
MAX_WAIT_S = 0.06
# Time for which the shards of an owner that did not answer are asked after all others.
AVOID_OWNER_S = 1.0
# Period for whose expected requests tokens are requested in advance; shorter than the lifetime of a
# token.
PREFETCH_S = 0.15
# Time constant of the estimated rate of requests.
RATE_TIME_S = 1.0
# Least time that a token must remain valid to be given to a request.
MIN_REMAINING_S = 0.02
# Time for which other shards are preferred to one that had no token available immediately.
LOW_S = 0.5
# Time after a token request that timed out in which its grant is still accepted.
LATE_GRANT_S = 2.0
# Shortest Retry-After while owners do not answer; they are replaced after about a second.
UNKNOWN_RETRY_AFTER_S = 0.5


class Outlook(enum.Enum):
    """What a request of an organisation would get now, as far as this instance knows."""

    UNLIMITED = "unlimited"
    # This instance has a token, or owns a shard that has one.
    TOKEN = "token"
    # Other instances must be asked.
    ASKS = "asks_other_instances"
    # No token, and the shards that this instance knows of have none either.
    LIMITED = "limited"
    # No messages arrive from other instances, so that only the emergency quota applies.
    EMERGENCY = "emergency_quota"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Preview:
    """Outlook of a request; ``retry_after_s`` is the shortest Retry-After if it is rejected."""

    outlook: Outlook
    retry_after_s: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class _PendingRequest:
    """Request for tokens that is sent to one shard after the other.

    Attributes:
        covered: Number of waiting requests for which it was made.
        spare: Number of tokens requested in advance.
        limited: Shards whose limit is reached.
        refusals: Number of answers that stated that a limit is reached.
        waits: Number of times that it waited for tokens.
        failed: Shards whose owner did not answer, or answered `UNKNOWN`.
        retry_s: Shortest Retry-After that a shard has stated.
    """

    account: "_Account"
    limit: quota_limits.Limit
    organisation: str
    covered: int
    spare: int
    request_id: int = -1
    shard: int = -1
    host: str = ""
    owner: str = ""
    sent_s: float = 0.0
    limited: set[int] = dataclasses.field(default_factory=set)
    refusals: int = 0
    waits: int = 0
    failed: list[int] = dataclasses.field(default_factory=list)
    retry_s: float = math.inf


@dataclasses.dataclass(slots=True, kw_only=True)
class _Account:
    """State of the quota client for one organisation.

    Attributes:
        spare: Tokens for later requests, the oldest first.
        asked: Number of waiting requests for which token requests are under way.
        promised: Number of tokens that were granted and have not accrued yet.
        limited_until_s: Time until which a shard is not asked, and its Retry-After, by shard.
        rejected_until_s: Time until which requests are rejected without a token request.
        retry_s: Shortest Retry-After of these rejections.
        low_until_s: Time until which other shards are preferred, by shard.
        share: This instance's part of the emergency quota, for the ``share_version`` of the fleet.
    """

    limit: quota_limits.Limit
    emergency: retry_budgets.SlidingCount
    spare: collections.deque[quota_permits.Permit] = dataclasses.field(
        default_factory=collections.deque
    )
    waiters: collections.deque[quota_permits.Waiter] = dataclasses.field(
        default_factory=collections.deque
    )
    asked: int = 0
    promised: int = 0
    limited_until_s: dict[int, tuple[float, float]] = dataclasses.field(default_factory=dict)
    rejected_until_s: float = 0.0
    retry_s: float = 0.0
    low_until_s: dict[int, float] = dataclasses.field(default_factory=dict)
    rate_per_s: float = 0.0
    rate_updated_s: float = 0.0
    share: int = 0
    share_version: int = -1


class QuotaClient:
    """Gives each request of a limited organisation a token, or an error.

    Args:
        on_result: Called with the organisation and ``granted``, ``emergency``, ``limited`` or
            ``unknown`` for each request.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        directory: quota_directory.QuotaDirectory,
        owner: quota_owner.QuotaOwner,
        send: quota_owner.Send,
        call_later: quota_owner.CallLater,
        rng: random.Random,
        on_result: Callable[[str, str], None],
    ):
        self._clock = clock
        self._directory = directory
        self._owner = owner
        self._send = send
        self._call_later = call_later
        self._rng = rng
        self._on_result = on_result
        self._accounts: dict[str, _Account] = {}
        self._pending: dict[int, _PendingRequest] = {}
        # Token requests that timed out: source of the tokens and time of the request, by id.
        self._late: collections.OrderedDict[int, tuple[quota_permits.Source, float]] = (
            collections.OrderedDict()
        )
        # A random start distinguishes these ids from those before a restart, for which grants may
        # still arrive.
        self._ids = itertools.count(rng.randrange(2**31))
        self._avoided_until_s: dict[str, float] = {}

    def set_limits(self, limits: Mapping[str, quota_limits.Limit]) -> None:
        """Replaces the limits; requests of an organisation without limit get no token."""
        accounts = {}
        for name, limit in limits.items():
            account = self._accounts.pop(name, None)
            if account is None or account.limit.window_s != limit.window_s:
                emergency = retry_budgets.SlidingCount(window_s=limit.window_s, rounds_up=True)
                account = account or _Account(limit=limit, emergency=emergency)
                account.emergency = emergency
            account.limit = limit
            account.share_version = -1
            account.limited_until_s.clear()
            account.rejected_until_s = 0.0
            accounts[name] = account
        removed, self._accounts = self._accounts, accounts
        for account in removed.values():
            for waiter in account.waiters:
                waiter.deliver(self._unlimited())

    def request(self, organisation: str, waiter: quota_permits.Waiter) -> None:
        """Delivers a token or an error to the waiter, at once if possible."""
        account = self._accounts.get(organisation)
        if account is None:
            waiter.deliver(self._unlimited())
            return
        now_s = self._clock.monotonic()
        self._count_request(account, now_s)
        permit = self._take_spare(account, now_s)
        if permit is not None:
            self._deliver(account, waiter, permit)
        elif not self._take_own(account, waiter, now_s):
            if account.rejected_until_s > now_s:
                self._reject_limited(account, waiter, account.retry_s)
                return
            account.waiters.append(waiter)
        self._request_missing(account)

    def preview(self, organisation: str) -> Preview:
        """Returns what a request would get now, without taking or requesting a token."""
        account = self._accounts.get(organisation)
        if account is None:
            return Preview(outlook=Outlook.UNLIMITED)
        now_s = self._clock.monotonic()
        if any(permit.valid_until_s - now_s > MIN_REMAINING_S for permit in account.spare):
            return Preview(outlook=Outlook.TOKEN)
        shards = range(len(account.limit.keys))
        waits_s = [self._owner.preview_wait_s(organisation, shard) for shard in shards]
        if 0.0 in waits_s:
            return Preview(outlook=Outlook.TOKEN)
        if account.rejected_until_s > now_s:
            return Preview(outlook=Outlook.LIMITED, retry_after_s=account.retry_s)
        if None not in waits_s:
            return Preview(outlook=Outlook.LIMITED, retry_after_s=min(waits_s))
        if self._directory.isolated:
            return Preview(outlook=Outlook.EMERGENCY)
        return Preview(outlook=Outlook.ASKS)

    def on_grant(self, grant: peer_messages.TokenGrant) -> None:
        """Uses a grant for the requests that wait for it, or returns its tokens."""
        pending = self._pending.pop(grant.request_id, None)
        now_s = self._clock.monotonic()
        if pending is None:
            source, sent_s = self._late.pop(grant.request_id, (None, 0.0))
            if source is not None and grant.count:
                self._add_tokens(source, grant.count, sent_s, grant.wait_ms / 1000.0)
            return
        source = quota_permits.Source(
            organisation=pending.organisation,
            shard=pending.shard,
            host=pending.host,
            request_id=pending.request_id,
        )
        account = self._accounts.get(pending.organisation)
        if account is not pending.account:
            if grant.count:
                self._return(source, grant.count)
            return
        if grant.count:
            covered = min(pending.covered, grant.count)
            account.asked -= covered
            pending.covered -= covered
            pending.spare = 0
            if grant.wait_ms:
                account.low_until_s[pending.shard] = now_s + LOW_S
            self._add_tokens(source, grant.count, pending.sent_s, grant.wait_ms / 1000.0)
        elif grant.state is peer_messages.GrantState.LIMITED:
            self._on_limited(
                account, pending, grant.wait_ms / 1000.0, grant.retry_ms / 1000.0, now_s
            )
        else:
            pending.failed.append(pending.shard)
        self._continue(account, pending)

    def tick(self) -> None:
        """Returns expired tokens and removes outdated records; called regularly."""
        now_s = self._clock.monotonic()
        for account in self._accounts.values():
            self._return_expired(account)
        while self._late and next(iter(self._late.values()))[1] < now_s - LATE_GRANT_S:
            self._late.popitem(last=False)
        self._avoided_until_s = {
            name: until_s for name, until_s in self._avoided_until_s.items() if until_s > now_s
        }

    def _count_request(self, account: _Account, now_s: float) -> None:
        elapsed_s = now_s - account.rate_updated_s
        decayed = account.rate_per_s * math.exp(-elapsed_s / RATE_TIME_S)
        account.rate_per_s = decayed + 1.0 / RATE_TIME_S
        account.rate_updated_s = now_s

    def _unlimited(self) -> quota_permits.Permit:
        return quota_permits.Permit(
            source=None, valid_until_s=math.inf, on_give_back=lambda permit: None
        )

    def _make_permit(
        self, source: quota_permits.Source, valid_until_s: float
    ) -> quota_permits.Permit:
        return quota_permits.Permit(
            source=source, valid_until_s=valid_until_s, on_give_back=self._on_give_back
        )

    def _deliver(
        self, account: _Account, waiter: quota_permits.Waiter, permit: quota_permits.Permit
    ) -> None:
        self._on_result(account.limit.organisation, "granted")
        waiter.deliver(permit)

    def _on_give_back(self, permit: quota_permits.Permit) -> None:
        """Keeps a token for another request, or returns it to the owner of the shard."""
        source = permit.source
        now_s = self._clock.monotonic()
        account = self._accounts.get(source.organisation)
        if source.request_id is None:
            self._owner.give_back(source.organisation, source.shard, 1)
        elif account is not None and permit.valid_until_s - now_s > MIN_REMAINING_S:
            self._add_permit(account, self._make_permit(source, permit.valid_until_s))
            self._call_later(permit.valid_until_s - now_s, lambda: self._return_expired(account))
        else:
            self._return(source, 1)

    def _return(self, source: quota_permits.Source, count: int) -> None:
        message = peer_messages.TokenReturn(
            source.organisation, source.shard, count, source.request_id
        )
        self._send(source.host, message)

    def _add_permit(self, account: _Account, permit: quota_permits.Permit) -> None:
        """Gives a token to a waiting request, or keeps it for the next one."""
        while account.waiters:
            waiter = account.waiters.popleft()
            if not waiter.done:
                self._deliver(account, waiter, permit)
                return
        account.spare.append(permit)

    def _return_expired(self, account: _Account) -> None:
        """Returns the tokens that are too old to be used."""
        now_s = self._clock.monotonic()
        expired: collections.Counter[quota_permits.Source] = collections.Counter()
        kept = collections.deque()
        for permit in account.spare:
            if permit.valid_until_s - now_s > MIN_REMAINING_S:
                kept.append(permit)
            else:
                expired[permit.source] += 1
        account.spare = kept
        for source, count in expired.items():
            self._return(source, count)

    def _take_spare(self, account: _Account, now_s: float) -> quota_permits.Permit | None:
        while account.spare:
            permit = account.spare.popleft()
            if permit.valid_until_s - now_s > MIN_REMAINING_S:
                return permit
            self._return(permit.source, 1)
        return None

    def _take_own(self, account: _Account, waiter: quota_permits.Waiter, now_s: float) -> bool:
        """Takes a token of a shard that this instance owns; returns whether there was one."""
        organisation = account.limit.organisation
        for shard in range(len(account.limit.keys)):
            if not self._owner.owns(organisation, shard):
                continue
            decision = self._owner.take(organisation, shard, 1)
            if decision.count:
                permit = self._make_permit(
                    quota_permits.Source(organisation=organisation, shard=shard),
                    now_s + decision.delay_s + quota_limits.TOKEN_LIFETIME_S,
                )
                self._deliver_later(account, waiter, permit, decision.delay_s)
                return True
            if decision.state is peer_messages.GrantState.LIMITED:
                self._set_limited(account, shard, decision.wait_s, decision.retry_s, now_s)
        return False

    def _deliver_later(
        self,
        account: _Account,
        waiter: quota_permits.Waiter,
        permit: quota_permits.Permit,
        delay_s: float,
    ) -> None:
        if delay_s > 0.0:
            self._call_later(delay_s, lambda: self._deliver(account, waiter, permit))
        else:
            self._deliver(account, waiter, permit)

    def _request_missing(self, account: _Account) -> None:
        """Sends a token request for the waiting requests for which there is none."""
        while account.waiters and account.waiters[0].done:
            account.waiters.popleft()
        missing = len(account.waiters) - account.asked - account.promised
        if missing <= 0:
            return
        pending = _PendingRequest(
            account=account,
            limit=account.limit,
            organisation=account.limit.organisation,
            covered=min(peer_messages.MAX_TOKENS // 2, missing),
            spare=min(peer_messages.MAX_TOKENS // 2, int(account.rate_per_s * PREFETCH_S)),
        )
        account.asked += pending.covered
        self._ask_next_shard(account, pending)

    def _ask_next_shard(self, account: _Account, pending: _PendingRequest) -> None:
        """Sends the request to another shard, or ends the wait of the requests that it covers."""
        now_s = self._clock.monotonic()
        if pending.limit is not account.limit:
            # The shards asked so far may no longer exist.
            pending.limit = account.limit
            pending.limited.clear()
            pending.failed.clear()
        shard = None
        if account.rejected_until_s > now_s:
            # Another token request has found that the limit is reached.
            pending.limited.update(account.limited_until_s)
            self._reject(account, pending, now_s)
            return
        may_ask = len(pending.failed) < MAX_UNANSWERED and pending.refusals < MAX_LIMITED
        if may_ask and not self._directory.isolated:
            shard = self._pick_shard(account, pending, now_s)
        if shard is None:
            if not self._wait_for_token(account, pending, now_s):
                self._reject(account, pending, now_s)
            return
        pending.shard = shard
        pending.owner = self._owner_of(account.limit.keys[shard])
        pending.host = self._directory.host(pending.owner)
        pending.sent_s = now_s
        pending.request_id = next(self._ids)
        self._pending[pending.request_id] = pending
        self._send(
            pending.host,
            peer_messages.TokenRequest(
                pending.organisation, shard, pending.covered, pending.spare, pending.request_id
            ),
        )
        request_id = pending.request_id
        self._call_later(ANSWER_TIMEOUT_S, lambda: self._on_unanswered(request_id))

    def _owner_of(self, key: int) -> str | None:
        """Returns the owner of a ring key.

        While this instance does not know the fleet, another one is asked, which passes the request
        on to the owner.
        """
        directory = self._directory
        return directory.owner(key, without=() if directory.knows_fleet else (directory.own_name,))

    def _wait_for_token(self, account: _Account, pending: _PendingRequest, now_s: float) -> bool:
        """Repeats the request later if a shard will have tokens soon; returns whether it does."""
        if (
            pending.failed
            or not pending.limited
            or pending.waits >= MAX_WAITS
            or self._directory.isolated
        ):
            return False
        until_s = min(account.limited_until_s[shard][0] for shard in pending.limited)
        wait_s = max(0.0, until_s - now_s)
        if wait_s > MAX_WAIT_S:
            return False
        pending.waits += 1
        pending.refusals = 0
        pending.limited.clear()
        self._call_later(wait_s, lambda: self._continue(account, pending))
        return True

    def _pick_shard(self, account: _Account, pending: _PendingRequest, now_s: float) -> int | None:
        """Returns the shard to ask, preferably one that has tokens and an owner in this region."""
        own_name = self._directory.own_name
        best, best_rank = None, None
        for shard, key in enumerate(account.limit.keys):
            until_s, retry_s = account.limited_until_s.get(shard, (0.0, math.inf))
            if until_s > now_s:
                pending.retry_s = min(pending.retry_s, retry_s)
                pending.limited.add(shard)
            if shard in pending.limited:
                continue
            owner = self._owner_of(key)
            if owner is None or self._directory.host(owner) is None:
                continue
            # Shards that this instance owns were tried before, unless their takeover is under way.
            if owner == own_name and self._owner.owns(pending.organisation, shard):
                continue
            rank = (
                shard in pending.failed,
                self._avoided_until_s.get(owner, 0.0) > now_s,
                account.low_until_s.get(shard, 0.0) > now_s,
                pending.refusals == 0 and not self._directory.is_near(owner),
                self._rng.random(),
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = shard, rank
        return best

    def _add_tokens(
        self, source: quota_permits.Source, count: int, sent_s: float, delay_s: float = 0.0
    ) -> None:
        """Gives tokens to waiting requests as soon as they may be used."""
        account = self._accounts.get(source.organisation)
        if account is None:
            self._return(source, count)
            return
        if delay_s > 0.0:
            account.promised += count
            self._call_later(
                delay_s, lambda: self._on_accrued(account, source, count, sent_s + delay_s)
            )
            return
        now_s = self._clock.monotonic()
        valid_until_s = sent_s + quota_limits.TOKEN_LIFETIME_S
        if valid_until_s - now_s <= MIN_REMAINING_S:
            self._return(source, count)
            return
        for _ in range(count):
            self._add_permit(account, self._make_permit(source, valid_until_s))
        if account.spare:
            self._call_later(valid_until_s - now_s, lambda: self._return_expired(account))

    def _on_accrued(
        self, account: _Account, source: quota_permits.Source, count: int, from_s: float
    ) -> None:
        """Gives promised tokens to waiting requests; their lifetime counts from ``from_s``."""
        account.promised -= count
        self._add_tokens(source, count, from_s)
        self._request_missing(account)

    def _on_limited(
        self,
        account: _Account,
        pending: _PendingRequest,
        wait_s: float,
        retry_s: float,
        now_s: float,
    ) -> None:
        pending.limited.add(pending.shard)
        pending.refusals += 1
        pending.retry_s = min(pending.retry_s, retry_s)
        self._set_limited(account, pending.shard, wait_s, retry_s, now_s)

    @staticmethod
    def _set_limited(
        account: _Account, shard: int, wait_s: float, retry_s: float, now_s: float
    ) -> None:
        account.limited_until_s[shard] = (now_s + wait_s, retry_s)
        account.low_until_s[shard] = now_s + LOW_S

    def _on_unanswered(self, request_id: int) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        source = quota_permits.Source(
            organisation=pending.organisation,
            shard=pending.shard,
            host=pending.host,
            request_id=request_id,
        )
        self._late[request_id] = (source, pending.sent_s)
        self._avoided_until_s[pending.owner] = self._clock.monotonic() + AVOID_OWNER_S
        account = self._accounts.get(pending.organisation)
        if account is not pending.account:
            return
        pending.failed.append(pending.shard)
        self._continue(account, pending)

    def _continue(self, account: _Account, pending: _PendingRequest) -> None:
        """Asks another shard for the requests that still wait."""
        waiting = sum(not waiter.done for waiter in account.waiters)
        if pending.covered and waiting:
            self._ask_next_shard(account, pending)
            return
        account.asked -= pending.covered
        pending.covered = 0
        if not waiting:
            account.waiters.clear()
        self._request_missing(account)

    def _reject(self, account: _Account, pending: _PendingRequest, now_s: float) -> None:
        """Ends the wait of the covered requests, by the emergency quota or an error."""
        limited = pending.limited and not pending.failed and not self._directory.isolated
        if limited and account.rejected_until_s <= now_s:
            until_s = min(account.limited_until_s[shard][0] for shard in pending.limited)
            account.rejected_until_s = until_s
            account.retry_s = pending.retry_s
        covered, pending.covered = pending.covered, 0
        account.asked -= covered
        while covered and account.waiters:
            waiter = account.waiters.popleft()
            covered -= 1
            if waiter.done:
                continue
            if limited:
                self._reject_limited(account, waiter, account.retry_s)
            else:
                self._use_emergency(account, waiter, now_s)

    def _reject_limited(
        self, account: _Account, waiter: quota_permits.Waiter, retry_s: float
    ) -> None:
        # The random part spreads out the retries of callers that were rejected together.
        retry_after_s = retry_s * self._rng.uniform(1.0, 1.5)
        self._on_result(account.limit.organisation, "limited")
        waiter.deliver(
            quota_permits.QuotaError(
                "limit of the organisation reached", status=429, retry_after_s=retry_after_s
            )
        )

    def _use_emergency(self, account: _Account, waiter: quota_permits.Waiter, now_s: float) -> None:
        """Lets a request pass without token if the emergency quota allows it."""
        limit = account.limit
        if account.emergency.total(now_s) < self._emergency_share(account):
            account.emergency.add(now_s)
            self._on_result(limit.organisation, "emergency")
            permit = quota_permits.Permit(
                source=None,
                valid_until_s=now_s + quota_limits.TOKEN_LIFETIME_S,
                on_give_back=lambda permit: None,
            )
            waiter.deliver(permit)
            return
        self._on_result(limit.organisation, "unknown")
        waiter.deliver(
            quota_permits.QuotaError(
                "limit of the organisation cannot be checked",
                status=503,
                retry_after_s=UNKNOWN_RETRY_AFTER_S * self._rng.uniform(1.0, 1.5),
            )
        )

    def _emergency_share(self, account: _Account) -> int:
        """Returns this instance's part of the emergency quota of an organisation."""
        directory = self._directory
        version = directory.version
        if account.share_version != version:
            account.share_version = version
            account.share = 0
            if directory.knows_fleet and directory.own_name in directory.recent_names:
                account.share = quota_limits.whole_share(
                    account.limit.emergency,
                    directory.recent_names,
                    directory.own_name,
                    account.limit.organisation,
                )
        return account.share

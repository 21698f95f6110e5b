"""Carries a request to a pool that has a free slot: own pools directly, others through peers."""

import asyncio
import dataclasses
import itertools
from typing import Any, Protocol

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors, model, placement, retry
from sassafrasway_entry import cap_limits, conversion, messages, pools, steering
from sassafrasway_rpc import client as rpc_client
from sassafrasway_rpc import schema

# An idempotent request leaves a peer that does not answer in this time, so that a connection that
# went silent does not use up the whole deadline.
PEER_SILENCE_TIMEOUT_S = 2.5
PEER_SILENCE_FRACTION = 0.8  # above that of a call to a backend server, which it contains

MAX_SENDINGS = 3  # of one attempt to one peer

MOVE_WAIT_S = 0.05
# Waits double up to this. At 72 requests/s, tries every 50 ms took all processor time of the new
# owner, so that requests missed their deadlines on the way.
LONGEST_MOVE_WAIT_S = 0.4
# 4.75 s in all, longer than a new owner may lack its share of the caps (cap_limits.TAKEOVER_S).
MAX_MOVE_WAITS = 14
# A pass over the pools that starts later may find its deadline while a peer has the request, which
# makes a request that no server got an unknown one. A pass takes a round trip to each region.
MIN_PASS_S = 0.25

_TRY_NEXT = frozenset(
    (
        messages.Reason.NO_SLOT,
        messages.Reason.NO_SERVER,
        messages.Reason.NOT_OWNER,
        messages.Reason.NOT_READY,
        messages.Reason.REGION_CAP,
        messages.Reason.SHIFT_CAP,
        messages.Reason.LINK_CAP,
        messages.Reason.PEER_UNREACHABLE,
    )
)


_MOVING = frozenset(
    (messages.Reason.NOT_OWNER, messages.Reason.NOT_READY, messages.Reason.PEER_UNREACHABLE)
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Attempt:
    """Result of one pass over the pools.

    Attributes:
        moving: Whether a pool refused only because its owner changes.
    """

    answer: messages.Answer
    moving: bool = False


class Directory(Protocol):
    """What this instance knows about the others."""

    def owner(self, key: model.PoolKey) -> Any:
        """Returns the instance that owns a pool, or None."""

    def instance(self, name: str) -> Any:
        """Returns an instance by name, or None."""

    def instances(self, region: str | None = None) -> list[Any]:
        """Returns the instances of a region, or all."""

    def is_gone(self, name: str, incarnation: str) -> bool:
        """Returns whether an incarnation is known to have ended."""

    def note_refused(self, instance: model.InstanceId) -> None:
        """Notes that an incarnation's RPC port refused a connection."""


class Peers(Protocol):
    """Calls to other entry instances."""

    async def call(self, address: str, method: str, *, timeout_s: float, **arguments: Any) -> Any:
        """Calls a method of a peer."""


class Dispatcher:
    """Finds a pool for a request and runs it there.

    Args:
        me: This incarnation.
        clock: Time source.
        region: Region of this instance.
        limits: Shares of the links' caps.
        steering: Policy questions.
        pools: Pools that this instance owns.
        directory: Owners of the other pools.
        peers: Calls to other instances.
        placement: Whether requests go to the owner of their pool.
        budget: Limits how often an idempotent request is repeated after a peer did not answer.
    """

    def __init__(
        self,
        *,
        me: model.InstanceId,
        clock: clock_lib.Clock,
        region: str,
        limits: cap_limits.CapLimits,
        steering: steering.Steering,
        pools: pools.PoolManager,
        directory: Directory,
        peers: Peers,
        placement: placement.Placement,
        budget: retry.RetryBudget,
    ):
        self._me = me
        self._clock = clock
        self._attempt_ids = itertools.count(1)
        self._region = region
        self._limits = limits
        self._steering = steering
        self._pools = pools
        self._directory = directory
        self._peers = peers
        self._placement = placement
        self._budget = budget
        self._log = structlog.get_logger("dispatcher")

    async def run(self, request: messages.Request) -> messages.Answer:
        """Tries the pools of the service, home pool first, then queues at the home pool.

        While a pool moves to another owner, the request waits for it rather than being refused.
        """
        policy = self._steering.policy
        if policy is None:
            return messages.not_run(503, messages.Reason.NOT_READY, retry_after_ms=500)
        service = policy.services[request.service]
        route = self._steering.route(
            service=request.service,
            client=request.client,
            spread=request.key or request.request_id,
        )
        if not route.pools:
            return messages.not_run(503, messages.Reason.NO_SERVER, retry_after_ms=1000)
        request = conversion.with_route(request, home_region=route.home_region, shift=route.shift)
        self._budget.on_request()
        waits = 0
        while True:
            attempt = await self._try_pools(service, route, request)
            if not attempt.moving or waits >= MAX_MOVE_WAITS:
                return attempt.answer
            wait_s = min(MOVE_WAIT_S * 2**waits, LONGEST_MOVE_WAIT_S)
            if request.deadline.remaining_s < wait_s + MIN_PASS_S:
                return attempt.answer
            waits += 1
            await asyncio.sleep(wait_s)

    async def _try_pools(
        self, service: model.Service, route: steering.Route, request: messages.Request
    ) -> _Attempt:
        answer = messages.not_run(503, messages.Reason.NO_SERVER, retry_after_ms=1000)
        unsure: messages.Answer | None = None
        moving = False
        for key in route.pools:
            answer = await self.execute(key, request, may_queue=False)
            if answer.outcome is messages.Outcome.UNKNOWN and self._may_repeat(service, answer):
                unsure = answer
                continue
            if answer.outcome is not messages.Outcome.NOT_RUN or answer.reason not in _TRY_NEXT:
                return _Attempt(answer=_settle(answer, unsure))
            moving = moving or answer.reason in _MOVING
        if service.may_wait and not request.deadline.expired:
            queued = await self._queue(route, request)
            answer, moving = queued.answer, queued.moving
        return _Attempt(answer=_settle(answer, unsure), moving=moving and unsure is None)

    async def execute(
        self, key: model.PoolKey, request: messages.Request, *, may_queue: bool
    ) -> messages.Answer:
        """Runs a request at one pool, here or at the pool's owner."""
        if request.deadline.expired:
            return messages.not_run(504, messages.Reason.DEADLINE)
        if not self._placement.forwards:
            return await self._pools.execute(key, request, may_queue=may_queue)
        owner = self._directory.owner(key)
        if owner is None or (owner.name == self._me.name and not self._pools.owns(key)):
            return messages.not_run(503, messages.Reason.NOT_READY, retry_after_ms=200)
        if owner.name == self._me.name:
            return await self._pools.execute(key, request, may_queue=may_queue)
        answer = await self.forward(
            owner, request, stage=schema.forward.Stage.EXECUTE, key=key, may_queue=may_queue
        )
        if answer.reason is messages.Reason.NOT_OWNER and answer.owner:
            current = self._directory.instance(answer.owner)
            if current is not None and current.name not in (owner.name, self._me.name):
                return await self.forward(
                    current,
                    request,
                    stage=schema.forward.Stage.EXECUTE,
                    key=key,
                    may_queue=may_queue,
                )
        return answer

    async def forward(
        self,
        peer: Any,
        request: messages.Request,
        *,
        stage: int,
        key: model.PoolKey | None = None,
        may_queue: bool = False,
    ) -> messages.Answer:
        """Sends a request to another instance and returns its answer."""
        policy = self._steering.policy
        idempotent = policy is not None and policy.services[request.service].idempotent
        if peer.region != self._region:
            wait_s = self._limits.take_link(peer.region, len(request.body), request.request_id)
            if wait_s > 0:
                wait_ms = int(min(wait_s, 1.0) * 1000)
                has_share = self._limits.has_link_share(peer.region, len(request.body))
                if not has_share or self._limits.settling:
                    # The first share of a new instance arrives with a heartbeat.
                    return messages.not_run(503, messages.Reason.NOT_READY)
                return messages.not_run(429, messages.Reason.LINK_CAP, retry_after_ms=wait_ms)
        message = conversion.to_forward(
            request,
            stage=stage,
            key=key,
            may_queue=may_queue,
            sender=str(self._me),
            attempt_id=f"{self._me}/{next(self._attempt_ids)}",
            receiver=str(peer.id),
        )
        first_limit_s = request.deadline.remaining_s
        if idempotent and not may_queue:
            first_limit_s = min(first_limit_s * PEER_SILENCE_FRACTION, PEER_SILENCE_TIMEOUT_S)
        until_s = self._clock.monotonic() + first_limit_s
        try:
            return await self._send(peer, request, message, until_s)
        except asyncio.CancelledError:
            await self._cancel(peer, request.request_id)
            raise

    async def _send(
        self, peer: Any, request: messages.Request, message: Any, until_s: float
    ) -> messages.Answer:
        """Sends an attempt, and again on a new connection when its answer got lost.

        The receiver runs an attempt only once, so a second sending finds out what became of the
        first one.
        """
        answer = messages.unknown(504, messages.Reason.PEER_UNREACHABLE)
        for _ in range(MAX_SENDINGS):
            limit_s = until_s - self._clock.monotonic()
            if limit_s <= 0:
                return answer
            message.deadline_ms = int(request.deadline.remaining_s * 1000)
            try:
                reply = await self._peers.call(
                    peer.rpc_address, "forward", timeout_s=limit_s, request=message
                )
            except rpc_client.CallNotSentError as error:
                if isinstance(error, rpc_client.ConnectionRefusedByPeerError):
                    self._directory.note_refused(peer.id)
                if message.resent:
                    return answer
                return messages.not_run(503, messages.Reason.PEER_UNREACHABLE, str(error))
            except errors.UnavailableError as error:
                answer = messages.unknown(504, messages.Reason.PEER_UNREACHABLE, str(error))
                message.resent = True
            except errors.SassafraswayError as error:
                self._log.warning("peer reported an error", peer=peer.name, error=str(error))
                return messages.unknown(502, messages.Reason.INTERNAL, str(error))
            else:
                return conversion.from_reply(reply)
        return answer

    async def _queue(self, route: steering.Route, request: messages.Request) -> _Attempt:
        """Waits at the pools; one that moves counts even if a later one refuses for good."""
        answer = messages.not_run(429, messages.Reason.NO_SLOT, retry_after_ms=100)
        moving = False
        for key in route.pools:
            answer = await self.execute(key, request, may_queue=True)
            if answer.outcome is not messages.Outcome.NOT_RUN or request.deadline.expired:
                return _Attempt(answer=answer)
            moving = moving or answer.reason in _MOVING
        return _Attempt(answer=answer, moving=moving)

    def _may_repeat(self, service: model.Service, answer: messages.Answer) -> bool:
        return (
            service.idempotent
            and answer.reason is messages.Reason.PEER_UNREACHABLE
            and self._budget.try_retry()
        )

    async def _cancel(self, peer: Any, request_id: str) -> None:
        try:
            await self._peers.call(peer.rpc_address, "cancel", timeout_s=0.5, request_id=request_id)
        except errors.SassafraswayError as error:
            self._log.debug("cancel not delivered", peer=peer.name, error=str(error))


def _settle(answer: messages.Answer, unsure: messages.Answer | None) -> messages.Answer:
    """Returns the final answer when an earlier pool may have run the request."""
    if answer.outcome is messages.Outcome.NOT_RUN and unsure is not None:
        return unsure
    return answer

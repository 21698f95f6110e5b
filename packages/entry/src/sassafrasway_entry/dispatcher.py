"""Runs requests on the pools of this instance or forwards them to the owners of other pools."""

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

# Limits of the wait for a peer's response to an idempotent request that may not queue, in seconds
# and as a fraction of the remaining time; the lower one applies. A silent connection must not use
# up the whole deadline. The limits exceed RESPONSE_TIMEOUT_S and RESPONSE_FRACTION of
# backend_client, because the peer calls a server within this time.
PEER_RESPONSE_TIMEOUT_S = 2.5
PEER_RESPONSE_FRACTION = 0.8

MAX_SENDS = 3  # maximum number of times that an attempt is sent to a peer

# A handover is a change of the owner of a pool. A request that is refused because of a handover is
# retried after this delay.
INITIAL_HANDOVER_DELAY_S = 0.05
# The delay doubles up to this maximum. At 72 requests/s with a retry every 50 ms, the retries took
# all CPU time of the new owner, and requests missed their deadlines while they were forwarded.
MAX_HANDOVER_DELAY_S = 0.4
# The delays add up to 4.75 s, longer than the time in which a new owner may still have no share of
# the caps (cap_limits.TAKEOVER_S).
MAX_HANDOVER_RETRIES = 14
# Minimum remaining time to start another pass over the pools, which takes a round trip to each
# region. If the deadline passed while a peer has the request, its outcome would be unknown although
# no server received it.
MIN_PASS_TIME_S = 0.25

# Reasons of a refusal that say nothing about the other pools of the route.
_TRY_NEXT_POOL_REASONS = frozenset(
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

# Reasons of a refusal that is usually temporary: the owner of the pool is changing or has crashed,
# or this instance or the owner does not have its shares of the caps yet.
_HANDOVER_REASONS = frozenset(
    (messages.Reason.NOT_OWNER, messages.Reason.NOT_READY, messages.Reason.PEER_UNREACHABLE)
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PassResult:
    """Result of one pass over the pools.

    ``in_handover`` is true if a pool refused the request for one of ``_HANDOVER_REASONS``, so that
    another pass may succeed. It is false if the request ran or may have run, or if a later refusal,
    such as an expired deadline, rules out another pass.
    """

    response: messages.Response
    in_handover: bool = False


class Directory(Protocol):
    """Instances of all regions and the owners of pools."""

    def owner(self, key: model.PoolKey) -> Any:
        """Returns the instance that owns a pool, or None."""

    def instance(self, name: str) -> Any:
        """Returns an instance by name, or None."""

    def instances(self, region: str | None = None) -> list[Any]:
        """Returns the instances of one region or of all regions."""

    def is_gone(self, name: str, incarnation: str) -> bool:
        """Returns whether an incarnation is known to have ended or refused a connection."""

    def note_refused(self, instance: model.InstanceId) -> None:
        """Records that the RPC port of an incarnation refused a connection."""


class Peers(Protocol):
    """Calls to other entry instances."""

    async def call(self, address: str, method: str, *, timeout_s: float, **arguments: Any) -> Any:
        """Calls a method of a peer.

        Raises:
            rpc_client.ConnectionRefusedByPeerError: No process listens at the address.
            rpc_client.CallNotSentError: The peer was not reached; it has not received the call.
            errors.UnavailableError: The peer did not answer, or reported that it cannot serve the
                call; it may have received the call.
            errors.SassafraswayError: The peer reported an error.
        """


class Dispatcher:
    """Selects a pool for each request and runs the request there.

    Args:
        placement: Strategy that decides whether requests are forwarded to the owner of their pool.
        budget: Limits the retries of idempotent requests after a peer did not respond.
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

    async def run(self, request: messages.Request) -> messages.Response:
        """Tries the pools of the route in order, then queues if the service allows it.

        While the owner of a pool changes, the request is retried rather than refused.
        """
        policy = self._steering.policy
        if policy is None:
            return messages.not_run(503, messages.Reason.NOT_READY, retry_after_ms=500)
        service = policy.services[request.service]
        route = self._steering.route(
            service=request.service,
            client=request.client,
            hash_key=request.key or request.request_id,
        )
        if not route.pools:
            return messages.not_run(503, messages.Reason.NO_SERVER, retry_after_ms=1000)
        request = conversion.with_route(request, home_region=route.home_region, shift=route.shift)
        self._budget.on_request()
        retries = 0
        while True:
            result = await self._try_pools(service, route, request)
            if not result.in_handover or retries >= MAX_HANDOVER_RETRIES:
                return result.response
            delay_s = min(INITIAL_HANDOVER_DELAY_S * 2**retries, MAX_HANDOVER_DELAY_S)
            if request.deadline.remaining_s < delay_s + MIN_PASS_TIME_S:
                return result.response
            retries += 1
            await asyncio.sleep(delay_s)

    async def _try_pools(
        self, service: model.Service, route: steering.Route, request: messages.Request
    ) -> _PassResult:
        """Makes one pass over the pools of the route, then queues if the service allows it.

        After an unknown outcome, the next pool is tried only if ``_may_retry`` allows it. The
        request is then never reported as not run, whatever the later pools respond.
        """
        response = messages.not_run(503, messages.Reason.NO_SERVER, retry_after_ms=1000)
        possibly_ran: messages.Response | None = None
        in_handover = False
        for pool_key in route.pools:
            response = await self.execute(pool_key, request, may_queue=False)
            if response.outcome is messages.Outcome.UNKNOWN and self._may_retry(service, response):
                possibly_ran = response
                continue
            if (
                response.outcome is not messages.Outcome.NOT_RUN
                or response.reason not in _TRY_NEXT_POOL_REASONS
            ):
                return _PassResult(response=_final_response(response, possibly_ran))
            in_handover = in_handover or response.reason in _HANDOVER_REASONS
        if service.may_wait and not request.deadline.expired:
            queue_result = await self._queue_at_pools(route, request)
            response, in_handover = queue_result.response, queue_result.in_handover
        return _PassResult(
            response=_final_response(response, possibly_ran),
            in_handover=in_handover and possibly_ran is None,
        )

    async def execute(
        self, pool_key: model.PoolKey, request: messages.Request, *, may_queue: bool
    ) -> messages.Response:
        """Runs a request on one pool, on this instance or on the owner of the pool.

        If the receiver is no longer the owner and names another one, the request is forwarded to
        that one; this happens only once. With ``may_queue``, the request may wait for a slot.
        """
        if request.deadline.expired:
            return messages.not_run(504, messages.Reason.DEADLINE)
        if not self._placement.forwards:
            return await self._pools.execute(pool_key, request, may_queue=may_queue)
        owner = self._directory.owner(pool_key)
        if owner is None or (owner.name == self._me.name and not self._pools.owns(pool_key)):
            return messages.not_run(503, messages.Reason.NOT_READY, retry_after_ms=200)
        if owner.name == self._me.name:
            return await self._pools.execute(pool_key, request, may_queue=may_queue)
        response = await self.forward(
            owner,
            request,
            stage=schema.forward.Stage.EXECUTE,
            pool_key=pool_key,
            may_queue=may_queue,
        )
        if response.reason is messages.Reason.NOT_OWNER and response.owner:
            current = self._directory.instance(response.owner)
            if current is not None and current.name not in (owner.name, self._me.name):
                return await self.forward(
                    current,
                    request,
                    stage=schema.forward.Stage.EXECUTE,
                    pool_key=pool_key,
                    may_queue=may_queue,
                )
        return response

    async def forward(
        self,
        peer: Any,
        request: messages.Request,
        *,
        stage: int,
        pool_key: model.PoolKey | None = None,
        may_queue: bool = False,
    ) -> messages.Response:
        """Sends a request to another instance and returns its response.

        A request to another region counts against the cap of the link, and is refused when that is
        used up. If the calling task is cancelled, the peer is told to cancel the request as well.

        Args:
            peer: Directory record of the receiving instance.
            request: The request.
            stage: Value of the Thrift enum ``Stage``: what the peer does with the request.
            pool_key: Pool to use, for ``Stage.EXECUTE``.
            may_queue: Whether the request may wait for a slot.
        """
        policy = self._steering.policy
        idempotent = policy is not None and policy.services[request.service].idempotent
        if peer.region != self._region:
            wait_s = self._limits.take_link(peer.region, len(request.body), request.request_id)
            if wait_s > 0:
                wait_ms = int(min(wait_s, 1.0) * 1000)
                has_share = self._limits.has_link_share(peer.region, len(request.body))
                if not has_share or self._limits.settling:
                    # Temporary: the first share of a new instance arrives with a heartbeat, and
                    # shares do not follow the demand just after a change of the coordinator.
                    return messages.not_run(503, messages.Reason.NOT_READY)
                return messages.not_run(429, messages.Reason.LINK_CAP, retry_after_ms=wait_ms)
        message = conversion.to_forward(
            request,
            stage=stage,
            pool_key=pool_key,
            may_queue=may_queue,
            sender=str(self._me),
            attempt_id=f"{self._me}/{next(self._attempt_ids)}",
            receiver=str(peer.id),
        )
        timeout_s = request.deadline.remaining_s
        if idempotent and not may_queue:
            timeout_s = min(timeout_s * PEER_RESPONSE_FRACTION, PEER_RESPONSE_TIMEOUT_S)
        until_s = self._clock.monotonic() + timeout_s
        try:
            return await self._send_attempt(peer, request, message, until_s)
        except asyncio.CancelledError:
            await self._cancel_at_peer(peer, request.request_id)
            raise

    async def _send_attempt(
        self, peer: Any, request: messages.Request, message: Any, until_s: float
    ) -> messages.Response:
        """Sends an attempt, and sends it again when the outcome of the call is unknown.

        The receiver runs each attempt id only once (see ``ATTEMPT_RETENTION_S`` of
        ``forward_service``), so sending it again returns the outcome of the first send.
        """
        response = messages.unknown(504, messages.Reason.PEER_UNREACHABLE)
        for _ in range(MAX_SENDS):
            limit_s = until_s - self._clock.monotonic()
            if limit_s <= 0:
                return response
            message.deadline_ms = int(request.deadline.remaining_s * 1000)
            try:
                reply = await self._peers.call(
                    peer.rpc_address, "forward", timeout_s=limit_s, request=message
                )
            except rpc_client.CallNotSentError as error:
                if isinstance(error, rpc_client.ConnectionRefusedByPeerError):
                    self._directory.note_refused(peer.id)
                if message.resent:
                    return response  # the peer may have received an earlier send
                return messages.not_run(503, messages.Reason.PEER_UNREACHABLE, str(error))
            except errors.UnavailableError as error:
                response = messages.unknown(504, messages.Reason.PEER_UNREACHABLE, str(error))
                message.resent = True
            except errors.SassafraswayError as error:
                self._log.warning("peer reported an error", peer=peer.name, error=str(error))
                return messages.unknown(502, messages.Reason.INTERNAL, str(error))
            else:
                return conversion.from_reply(reply)
        return response

    async def _queue_at_pools(
        self, route: steering.Route, request: messages.Request
    ) -> _PassResult:
        """Queues the request at each pool in turn.

        ``in_handover`` is set if any pool was in handover, even if a later pool refused the request
        for another reason.
        """
        response = messages.not_run(429, messages.Reason.NO_SLOT, retry_after_ms=100)
        in_handover = False
        for pool_key in route.pools:
            response = await self.execute(pool_key, request, may_queue=True)
            if response.outcome is not messages.Outcome.NOT_RUN or request.deadline.expired:
                return _PassResult(response=response)
            in_handover = in_handover or response.reason in _HANDOVER_REASONS
        return _PassResult(response=response, in_handover=in_handover)

    def _may_retry(self, service: model.Service, response: messages.Response) -> bool:
        """Returns whether a request that may have run may run again; uses the retry budget."""
        return (
            service.idempotent
            and response.reason is messages.Reason.PEER_UNREACHABLE
            and self._budget.try_retry()
        )

    async def _cancel_at_peer(self, peer: Any, request_id: str) -> None:
        try:
            await self._peers.call(peer.rpc_address, "cancel", timeout_s=0.5, request_id=request_id)
        except errors.SassafraswayError as error:
            self._log.debug("cancellation not delivered", peer=peer.name, error=str(error))


def _final_response(
    response: messages.Response, possibly_ran: messages.Response | None
) -> messages.Response:
    """Replaces a "not run" response if an earlier pool may have run the request."""
    if response.outcome is messages.Outcome.NOT_RUN and possibly_ran is not None:
        return possibly_ran
    return response

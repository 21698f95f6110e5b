"""Rate limits of organisations that hold for all instances together.

The limit of an organisation is divided into shards. For each shard, the instance that a consistent
hash selects (`quota_owner`) grants tokens from a bucket; the instance that has a request
(`quota_client`) needs one before it sends the request to a server. Both are combined here.
"""

import asyncio
import dataclasses
import random
from collections.abc import Mapping

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import (
    fleet,
    model,
    peer_messages,
    quota_client,
    quota_directory,
    quota_limits,
    quota_owner,
    quota_permits,
    settings,
)
from sassafrasway_gateway import metrics as metrics_lib

# Time without a rejection after which an organisation no longer counts as rejected. It limits the
# log to one pair of lines for each organisation and reason in that time.
LIMITED_LOG_S = 5.0

Permit = quota_permits.Permit
QuotaError = quota_permits.QuotaError


@dataclasses.dataclass(slots=True, kw_only=True)
class _Rejections:
    """Rejections of an organisation since it began to be limited."""

    count: int = 0
    last_s: float = 0.0


class RateLimiter:
    """Gives the requests of limited organisations the tokens that they need.

    Args:
        send: Sends a message to the address of another instance.
        call_later: Calls a function after a number of seconds.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        view: fleet.FleetView,
        bounds: settings.Bounds,
        send: quota_owner.Send,
        call_later: quota_owner.CallLater,
        rng: random.Random,
        metrics: metrics_lib.GatewayMetrics,
    ):
        self._clock = clock
        self._view = view
        self._bounds = bounds
        self._send_remote = send
        self._call_later = call_later
        self._metrics = metrics
        self._organisations: Mapping[str, model.Organisation] = {}
        self._limits: dict[str, quota_limits.Limit] = {}
        # Organisations that are being rejected, by kind of result.
        self._rejections: dict[tuple[str, str], _Rejections] = {}
        self._directory = quota_directory.QuotaDirectory(clock=clock, view=view)
        self._owner = quota_owner.QuotaOwner(
            clock=clock, directory=self._directory, send=self._send, call_later=call_later
        )
        self._client = quota_client.QuotaClient(
            clock=clock,
            directory=self._directory,
            owner=self._owner,
            send=self._send,
            call_later=call_later,
            rng=rng,
            on_result=self._on_result,
        )
        self._log = structlog.get_logger("rate_limits")

    def set_organisations(self, organisations: Mapping[str, model.Organisation]) -> None:
        """Applies the limits of a policy."""
        self._organisations = organisations
        self._apply()

    def set_bounds(self, bounds: settings.Bounds) -> None:
        """Replaces the bounds."""
        self._bounds = bounds
        self._apply()

    def is_limited(self, organisation: str) -> bool:
        """Whether requests of an organisation need a token."""
        return organisation in self._limits

    def preview(self, organisation: str) -> quota_client.Preview:
        """Returns what a request would get now, without taking or requesting a token."""
        return self._client.preview(organisation)

    def request(self, organisation: str, waiter: quota_permits.Waiter) -> None:
        """Delivers a permit or a `QuotaError` to the waiter, at once if possible."""
        self._client.request(organisation, waiter)

    async def acquire(self, organisation: str) -> Permit:
        """Returns a permit for one request.

        Raises:
            QuotaError: The limit is reached, or cannot be checked.
        """
        future = asyncio.get_running_loop().create_future()

        def on_done(result: Permit | QuotaError) -> None:
            if not future.done():
                future.set_result(result)
            elif isinstance(result, Permit):
                result.give_back()

        waiter = quota_permits.Waiter(on_done=on_done)
        self.request(organisation, waiter)
        try:
            result = await future
        except asyncio.CancelledError:
            waiter.cancel()
            if future.done() and not future.cancelled() and isinstance(future.result(), Permit):
                future.result().give_back()
            raise
        if isinstance(result, QuotaError):
            raise result
        return result

    def on_heard(self) -> None:
        """Records that a message of another instance has arrived."""
        if self._directory.on_heard():
            # The others have taken the shards of this instance over while it was cut off.
            self._owner.reset()

    def on_message(self, message: peer_messages.QuotaMessage, host: str) -> None:
        """Handles a message from the instance with the given address."""
        self._metrics.quota_messages.add(type(message).__name__, "received")
        if isinstance(message, peer_messages.TokenRequest):
            self._owner.on_request(message, host)
        elif isinstance(message, peer_messages.TokenGrant):
            self._client.on_grant(message)
        elif isinstance(message, peer_messages.TokenReturn):
            self._owner.on_return(message, host)
        elif isinstance(message, peer_messages.ShardRequest):
            self._owner.on_shard_request(message, host)
        elif isinstance(message, peer_messages.ShardHandover):
            self._owner.on_handover(message)

    def tick(self) -> None:
        """Adapts to the live instances and removes outdated records; called regularly."""
        if not self._limits:
            return
        self._owner.update()
        self._client.tick()
        now_s = self._clock.monotonic()
        for key, rejections in list(self._rejections.items()):
            if now_s - rejections.last_s >= LIMITED_LOG_S:
                del self._rejections[key]
                self._log.info(
                    "organisation no longer rejected",
                    organisation=key[0],
                    reason=key[1],
                    rejected=rejections.count,
                )

    def dump(self) -> dict:
        """Returns the state as plain data that can be encoded as JSON."""
        return {
            "limited_organisations": len(self._limits),
            "owned_shards": self._owner.owned,
            "live_fraction": round(self._directory.live_fraction, 3),
            "isolated": self._directory.isolated,
            "rejecting": sorted(f"{name}: {reason}" for name, reason in self._rejections),
        }

    def _apply(self) -> None:
        limits = {}
        for name, organisation in self._organisations.items():
            limit = quota_limits.limit_of(organisation, self._bounds)
            if limit is not None:
                limits[name] = limit
        if limits == self._limits:
            return
        self._limits = limits
        self._owner.set_limits(limits)
        self._client.set_limits(limits)

    def _send(self, host: str, message: peer_messages.QuotaMessage) -> None:
        if host == self._view.own.peer_host:
            # Delivered later, because the sender may not have updated its state yet.
            self._call_later(0.0, lambda: self.on_message(message, host))
            return
        self._metrics.quota_messages.add(type(message).__name__, "sent")
        self._send_remote(host, message)

    def _on_result(self, organisation: str, result: str) -> None:
        self._metrics.quota_results.add(result)
        if result not in ("limited", "unknown"):
            return
        key = (organisation, result)
        rejections = self._rejections.get(key)
        if rejections is None:
            rejections = self._rejections[key] = _Rejections()
            self._log.warning("organisation rejected", organisation=organisation, reason=result)
        rejections.count += 1
        rejections.last_s = self._clock.monotonic()

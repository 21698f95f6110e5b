"""Thrift service that runs the requests forwarded by other entry instances."""

import asyncio
import collections
import dataclasses

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors, model
from sassafrasway_entry import cap_limits, conversion, dispatcher, gatekeeper, messages, pools
from sassafrasway_rpc import schema

# An attempt is recorded until it has ended and its arrival is at least this long ago. Senders
# resend an attempt until the deadline of its request, so the record is kept until after that: an
# attempt that is resent after its record was deleted runs again.
ATTEMPT_RETENTION_S = 60.0
RESEND_MARGIN_S = 10.0
MAX_RETAINED_BODY_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True, kw_only=True)
class _Attempt:
    """An attempt that arrived.

    Attributes:
        keep_until_s: Monotonic time until which its response is kept.
        task: Task that runs the attempt.
        response: Response to return if the attempt is sent again; None until a call that waits for
            ``task`` has stored it.
    """

    keep_until_s: float
    task: asyncio.Task
    response: messages.Response | None = None


class ForwardService:
    """Serves the Thrift service ``Forward``.

    A sender whose directory is outdated receives the name of the pool's owner.
    """

    def __init__(
        self,
        *,
        me: model.InstanceId,
        region: str,
        clock: clock_lib.Clock,
        limits: cap_limits.CapLimits,
        pools: pools.PoolManager,
        gatekeeper: gatekeeper.Gatekeeper,
        directory: dispatcher.Directory,
    ):
        self._me = me
        self._region = region
        self._clock = clock
        self._limits = limits
        self._pools = pools
        self._gatekeeper = gatekeeper
        self._directory = directory
        self._running: dict[str, asyncio.Task] = {}
        self._attempts: collections.OrderedDict[str, _Attempt] = collections.OrderedDict()

    @property
    def running(self) -> int:
        """Number of forwarded requests in progress."""
        return len(self._running)

    async def forward(self, request):
        """Runs a ``ForwardRequest`` and returns the ``ForwardReply`` once the link's cap admits it.

        A response that the cap does not admit in time is replaced by an unknown outcome, unless the
        request did not run.

        Raises:
            errors.ValidationError: The stage of the request is not supported.
        """
        if request.receiver and request.receiver != str(self._me):
            return conversion.to_reply(_refuse_wrong_incarnation(request))
        response = await self._run_once(request)
        if not await self._wait_for_link_cap(request, response):
            response = _link_cap_response(response)
        return conversion.to_reply(response)

    async def _run_once(self, message) -> messages.Response:
        """Runs an attempt, or waits for it if it has arrived before.

        The attempt runs in a separate task, so that it continues if the connection breaks.
        """
        self._remove_expired_attempts()
        attempt = self._attempts.get(message.attempt_id)
        if attempt is None:
            task = asyncio.create_task(self._process(message))
            retention_s = max(ATTEMPT_RETENTION_S, message.deadline_ms / 1000.0 + RESEND_MARGIN_S)
            attempt = _Attempt(keep_until_s=self._clock.monotonic() + retention_s, task=task)
            self._attempts[message.attempt_id] = attempt
            self._running[message.request_id] = task
            task.add_done_callback(lambda _: self._running.pop(message.request_id, None))
        if attempt.response is None:
            response = await asyncio.shield(attempt.task)
            attempt.response = retained_response(response)
            return response
        return attempt.response

    def _remove_expired_attempts(self) -> None:
        now_s = self._clock.monotonic()
        while self._attempts:
            attempt_id, attempt = next(iter(self._attempts.items()))
            if attempt.keep_until_s > now_s or not attempt.task.done():
                return
            del self._attempts[attempt_id]

    async def cancel(self, request_id: str) -> None:
        """Cancels a forwarded request; a run that the gatekeeper has started goes on."""
        task = self._running.get(request_id)
        if task is not None:
            task.cancel()

    async def _wait_for_link_cap(self, message, response: messages.Response) -> bool:
        """Waits until the link's cap admits the reply to the sender; returns whether it does."""
        sender = self._directory.instance((message.sender or "").partition("/")[0])
        if sender is None or sender.region == self._region:
            return True
        return await self._limits.wait_link(
            sender.region,
            len(response.body),
            message.request_id,
            limit_s=message.deadline_ms / 1000,
        )

    async def report_crash(self, service_name: str, fingerprint: str, server: str) -> None:
        """Records that a request crashed a server of another pool."""
        self._pools.quarantine.record_crash(fingerprint, server)

    async def _process(self, message) -> messages.Response:
        request = conversion.from_forward(message, clock=self._clock)
        if message.stage == schema.forward.Stage.GATEKEEP:
            return await self._gatekeeper.run_forwarded(request)
        if message.stage == schema.forward.Stage.EXECUTE:
            return await self._execute(message, request)
        raise errors.ValidationError(
            f"unknown stage {message.stage}", step="forward", peer=message.sender or ""
        )

    async def _execute(self, message, request: messages.Request) -> messages.Response:
        pool_key = model.PoolKey(
            service=message.service_name, region=message.region, shard=message.shard
        )
        if self._pools.owns(pool_key):
            return await self._pools.execute(pool_key, request, may_queue=message.may_queue)
        owner = self._directory.owner(pool_key)
        return messages.not_run(
            503, messages.Reason.NOT_OWNER, owner=owner.name if owner is not None else ""
        )


def _link_cap_response(response: messages.Response) -> messages.Response:
    """Returns a small response in place of one that the link's cap does not admit in time."""
    if response.outcome is messages.Outcome.NOT_RUN:
        return response
    return messages.unknown(504, messages.Reason.LINK_CAP)


def _refuse_wrong_incarnation(message) -> messages.Response:
    """Refuses an attempt for another incarnation, which may have run it if this is a resend."""
    if message.resent:
        return messages.unknown(503, messages.Reason.PEER_UNREACHABLE)
    return messages.not_run(503, messages.Reason.NOT_OWNER)


def retained_response(response: messages.Response) -> messages.Response:
    """Returns the response to keep for a resent attempt; a large one becomes an unknown outcome."""
    if len(response.body) <= MAX_RETAINED_BODY_BYTES:
        return response
    return messages.unknown(502, messages.Reason.CONNECTION_LOST)

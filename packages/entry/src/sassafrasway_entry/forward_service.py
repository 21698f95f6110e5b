"""Handler of requests that other entry instances forward."""

import asyncio
import collections
import dataclasses

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors, model
from sassafrasway_entry import cap_limits, conversion, dispatcher, gatekeeper, messages, pools
from sassafrasway_rpc import schema

# An attempt is known for this long after its arrival. Its sender gives up, and aborts the
# connection, long before.
ATTEMPT_RETENTION_S = 60.0
MAX_KEPT_BODY_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True, kw_only=True)
class _Attempt:
    """An attempt that arrived; ``answer`` is None while it runs."""

    arrived_s: float
    task: asyncio.Task
    response: messages.Response | None = None


class ForwardService:
    """Serves the Thrift service ``Forward``.

    Args:
        me: This incarnation.
        region: Region of this instance.
        clock: Time source for deadlines.
        limits: Shares of the links' caps.
        pools: Pools that this instance owns.
        gatekeeper: Keys that this incarnation holds.
        directory: Owners of pools, for hints to senders with an old directory.
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
        """Runs a forwarded request and returns the reply."""
        if request.receiver and request.receiver != str(self._me):
            return conversion.to_reply(_wrong_incarnation(request))
        response = await self._run_once(request)
        if not await self._may_send(request, response):
            response = _without_body(response)
        return conversion.to_reply(response)

    async def _run_once(self, request) -> messages.Response:
        """Runs an attempt, or joins it when it arrived before.

        The run is a task of its own, so that it goes on when the connection breaks.
        """
        self._forget_old()
        attempt = self._attempts.get(request.attempt_id)
        if attempt is None:
            task = asyncio.create_task(self._serve(request))
            attempt = _Attempt(arrived_s=self._clock.monotonic(), task=task)
            self._attempts[request.attempt_id] = attempt
            self._running[request.request_id] = task
            task.add_done_callback(lambda _: self._running.pop(request.request_id, None))
        if attempt.response is None:
            response = await asyncio.shield(attempt.task)
            attempt.response = kept(response)
            return response
        return attempt.response

    def _forget_old(self) -> None:
        limit_s = self._clock.monotonic() - ATTEMPT_RETENTION_S
        while self._attempts:
            attempt_id, attempt = next(iter(self._attempts.items()))
            if attempt.arrived_s > limit_s or not attempt.task.done():
                return
            del self._attempts[attempt_id]

    async def cancel(self, request_id: str) -> None:
        """Stops a forwarded request; non-idempotent ones that started go on."""
        task = self._running.get(request_id)
        if task is not None:
            task.cancel()

    async def _may_send(self, request, response: messages.Response) -> bool:
        """Waits until the reply fits under the cap of the link to the sender's region."""
        sender = self._directory.instance((request.sender or "").partition("/")[0])
        if sender is None or sender.region == self._region:
            return True
        return await self._limits.wait_link(
            sender.region,
            len(response.body),
            request.request_id,
            limit_s=request.deadline_ms / 1000,
        )

    async def report_crash(self, service_name: str, fingerprint: str, server: str) -> None:
        """Notes that a request crashed a server of another pool."""
        self._pools.quarantine.record_crash(fingerprint, server)

    async def _serve(self, message) -> messages.Response:
        request = conversion.from_forward(message, clock=self._clock)
        if message.stage == schema.forward.Stage.GATEKEEP:
            return await self._gatekeeper.run_forwarded(request)
        if message.stage == schema.forward.Stage.EXECUTE:
            return await self._execute(message, request)
        raise errors.ValidationError(
            f"unknown stage {message.stage}", step="forward", peer=message.sender or ""
        )

    async def _execute(self, message, request: messages.Request) -> messages.Response:
        key = model.PoolKey(
            service=message.service_name, region=message.region, shard=message.shard
        )
        if self._pools.owns(key):
            return await self._pools.execute(key, request, may_queue=message.may_queue)
        owner = self._directory.owner(key)
        return messages.not_run(
            503, messages.Reason.NOT_OWNER, owner=owner.name if owner is not None else ""
        )


def _without_body(response: messages.Response) -> messages.Response:
    """Returns a small answer in place of one that the link's cap does not admit in time."""
    if response.outcome is messages.Outcome.NOT_RUN:
        return response
    return messages.unknown(504, messages.Reason.LINK_CAP)


def _wrong_incarnation(request) -> messages.Response:
    """Answers an attempt that was meant for an incarnation that has ended."""
    if request.resent:
        return messages.unknown(503, messages.Reason.PEER_UNREACHABLE)
    return messages.not_run(503, messages.Reason.NOT_OWNER)


def kept(response: messages.Response) -> messages.Response:
    """Returns what is kept of an answer for a second sending of its attempt."""
    if len(response.body) <= MAX_KEPT_BODY_BYTES:
        return response
    return messages.unknown(502, messages.Reason.CONNECTION_LOST)

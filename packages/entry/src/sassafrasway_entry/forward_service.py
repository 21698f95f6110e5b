"""Handler of requests that other entry instances forward."""

import asyncio

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors, model
from sassafrasway_entry import cap_limits, conversion, dispatcher, gatekeeper, messages, pools
from sassafrasway_rpc import schema


class ForwardService:
    """Serves the Thrift service ``Forward``.

    Args:
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
        region: str,
        clock: clock_lib.Clock,
        limits: cap_limits.CapLimits,
        pools: pools.PoolManager,
        gatekeeper: gatekeeper.Gatekeeper,
        directory: dispatcher.Directory,
    ):
        self._region = region
        self._clock = clock
        self._limits = limits
        self._pools = pools
        self._gatekeeper = gatekeeper
        self._directory = directory
        self._running: dict[str, asyncio.Task] = {}

    @property
    def running(self) -> int:
        """Number of forwarded requests in progress."""
        return len(self._running)

    async def forward(self, request):
        """Runs a forwarded request and returns the reply."""
        task = asyncio.create_task(self._serve(request))
        self._running[request.request_id] = task
        try:
            answer = await task
            if not await self._may_send(request, answer):
                answer = _without_body(answer)
            return conversion.to_reply(answer)
        except asyncio.CancelledError:
            task.cancel()
            raise
        finally:
            self._running.pop(request.request_id, None)

    async def cancel(self, request_id: str) -> None:
        """Stops a forwarded request; non-idempotent ones that started go on."""
        task = self._running.get(request_id)
        if task is not None:
            task.cancel()

    async def _may_send(self, request, answer: messages.Answer) -> bool:
        """Waits until the reply fits under the cap of the link to the sender's region."""
        sender = self._directory.instance((request.sender or "").partition("/")[0])
        if sender is None or sender.region == self._region:
            return True
        return await self._limits.wait_link(
            sender.region, len(answer.body), limit_s=request.deadline_ms / 1000
        )

    async def report_crash(self, service_name: str, fingerprint: str, server: str) -> None:
        """Notes that a request crashed a server of another pool."""
        self._pools.quarantine.record_crash(fingerprint, server)

    async def _serve(self, message) -> messages.Answer:
        request = conversion.from_forward(message, clock=self._clock)
        if message.stage == schema.forward.Stage.GATEKEEP:
            return await self._gatekeeper.run_forwarded(request)
        if message.stage == schema.forward.Stage.EXECUTE:
            return await self._execute(message, request)
        raise errors.ValidationError(
            f"unknown stage {message.stage}", step="forward", peer=message.sender or ""
        )

    async def _execute(self, message, request: messages.Request) -> messages.Answer:
        key = model.PoolKey(
            service=message.service_name, region=message.region, shard=message.shard
        )
        if self._pools.owns(key):
            return await self._pools.execute(key, request, may_queue=message.may_queue)
        owner = self._directory.owner(key)
        return messages.not_run(
            503, messages.Reason.NOT_OWNER, owner=owner.name if owner is not None else ""
        )


def _without_body(answer: messages.Answer) -> messages.Answer:
    """Returns a small answer in place of one that the link's cap does not admit in time."""
    if answer.outcome is messages.Outcome.NOT_RUN:
        return answer
    return messages.unknown(504, messages.Reason.LINK_CAP)

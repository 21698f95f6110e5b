"""Runs one admitted request on a pool's servers: the dispatch, its retries and its outcome."""

from collections.abc import Awaitable, Callable

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import model, placement, pool, quarantine, retry, window
from sassafrasway_entry import backend_client, messages, owned_pool, recorder

MAX_SHED_RETRIES = 2


class RequestRunner:
    """Sends a request that has a slot to its server, and to others when it may be repeated.

    Args:
        clock: Time source.
        client: Client for backend servers.
        record: Record of dispatches.
        quarantine: Requests that crashed servers.
        report_crash: Tells the owners of the service's other pools that a request crashed a
            server; arguments are service, fingerprint and server.
        placement: Strategy that decides which slots an instance may use.
        take_limits: Takes a request from the caps; returns a refusal or None.
        release: Frees the slot of a lease with the result of its use.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        client: backend_client.BackendClient,
        record: recorder.Recorder,
        quarantine: quarantine.Quarantine,
        report_crash: Callable[[str, str, str], Awaitable[None]],
        placement: placement.Placement,
        take_limits: Callable[[owned_pool.OwnedPool, messages.Request], messages.Answer | None],
        release: Callable[[owned_pool.OwnedPool, pool.SlotLease, pool.ServerResult], None],
    ):
        self._clock = clock
        self._client = client
        self._record = record
        self._quarantine = quarantine
        self._report_crash = report_crash
        self._placement = placement
        self._take_limits = take_limits
        self._release = release
        self._budgets: dict[str, retry.RetryBudget] = {}
        self._log = structlog.get_logger("pools")

    async def run(
        self,
        owned: owned_pool.OwnedPool,
        lease: pool.SlotLease,
        request: messages.Request,
        *,
        service: model.Service,
    ) -> messages.Answer:
        """Runs a request whose slot is leased; the lease ends here."""
        budget = self._budget(request.service)
        budget.on_request()
        owned.requests += 1
        tried: set[str] = set()
        dispatched = False
        while True:
            tried.add(lease.server.name)
            answer = await self._call(owned, lease, request, idempotent=service.idempotent)
            result = answer.result
            if result is backend_client.CallResult.OK:
                return self._ran(lease.server, answer)
            dispatched |= result in (
                backend_client.CallResult.LOST,
                backend_client.CallResult.TIMEOUT,
            )
            if result is backend_client.CallResult.LOST:
                await self._note_crash(request, lease.server)
                if self._quarantine.is_quarantined(request.fingerprint):
                    return messages.unknown(422, messages.Reason.QUARANTINED)
            if dispatched and not service.idempotent:
                return self._unknown(result)
            certain = result is backend_client.CallResult.SHED
            if request.deadline.expired or not self._may_retry(budget, tried, certain=certain):
                break
            next_lease = owned.slots.try_acquire(exclude=frozenset(tried))
            if next_lease is None:
                break
            if self._take_limits(owned, request) is not None:
                self._release(owned, next_lease, pool.ServerResult.CANCELLED)
                break
            lease = next_lease
        if dispatched:
            return self._unknown(result)
        if request.deadline.expired:
            return messages.not_run(504, messages.Reason.DEADLINE)
        if result is backend_client.CallResult.SHED:
            return messages.not_run(429, messages.Reason.NO_SLOT, retry_after_ms=100)
        return messages.not_run(503, messages.Reason.NO_SERVER, retry_after_ms=100)

    def _may_retry(self, budget: retry.RetryBudget, tried: set[str], *, certain: bool) -> bool:
        if certain:
            return len(tried) <= (self._placement.retries_after_shed or MAX_SHED_RETRIES)
        return budget.try_retry()

    async def _call(
        self,
        owned: owned_pool.OwnedPool,
        lease: pool.SlotLease,
        request: messages.Request,
        *,
        idempotent: bool,
    ) -> backend_client.BackendAnswer:
        remaining_s = request.deadline.remaining_s
        owned.busy_until_s = max(owned.busy_until_s, self._clock.monotonic() + remaining_s)
        self._record.record(
            "dispatch",
            request_id=request.request_id,
            key=request.key,
            service=request.service,
            server=lease.server.name,
            home_region=request.home_region,
            region=lease.server.region,
        )
        result = pool.ServerResult.CANCELLED
        shift_window = owned.shift_windows.get(request.home_region)
        try:
            answer = await self._client.call(
                lease.server, request, idempotent=idempotent, timeout_s=remaining_s
            )
            result = _SERVER_RESULTS[answer.result]
            if answer.leaving:
                result = pool.ServerResult.LEAVING
            if answer.load is not None:
                owned.slots.report_load(lease.server.name, answer.load)
            return answer
        finally:
            self._end(owned, lease, result, shift_window)

    def _end(
        self,
        owned: owned_pool.OwnedPool,
        lease: pool.SlotLease,
        result: pool.ServerResult,
        shift_window: window.CompletionWindow | None,
    ) -> None:
        """Frees what a dispatch used."""
        if shift_window is not None:
            shift_window.end()
        self._release(owned, lease, result)

    async def _note_crash(self, request: messages.Request, server: model.BackendServer) -> None:
        self._quarantine.record_crash(request.fingerprint, server.name)
        self._log.warning(
            "connection lost before the answer", server=server.name, request=request.request_id
        )
        await self._report_crash(request.service, request.fingerprint, server.name)

    def _budget(self, service: str) -> retry.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry.RetryBudget(clock=self._clock)
            self._budgets[service] = budget
        return budget

    def _ran(
        self, server: model.BackendServer, answer: backend_client.BackendAnswer
    ) -> messages.Answer:
        return messages.Answer(
            outcome=messages.Outcome.RAN,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            server=server.name,
        )

    def _unknown(self, result: backend_client.CallResult) -> messages.Answer:
        if result is backend_client.CallResult.TIMEOUT:
            return messages.unknown(504, messages.Reason.DEADLINE)
        return messages.unknown(502, messages.Reason.CONNECTION_LOST)


_SERVER_RESULTS = {
    backend_client.CallResult.OK: pool.ServerResult.OK,
    backend_client.CallResult.SHED: pool.ServerResult.SHED,
    backend_client.CallResult.NOT_SENT: pool.ServerResult.FAILED,
    backend_client.CallResult.LOST: pool.ServerResult.CRASHED,
    backend_client.CallResult.TIMEOUT: pool.ServerResult.TIMEOUT,
}

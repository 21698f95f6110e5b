"""Sends one admitted request to the servers of a pool and retries it on other servers."""

from collections.abc import Awaitable, Callable

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import model, placement, pool, quarantine, retry, window
from sassafrasway_entry import backend_client, messages, owned_pool, recorder

# Maximum number of other servers to try after a server shed a request, for placements whose
# retries_after_shed is 0.
MAX_SHED_RETRIES = 2


class RequestRunner:
    """Sends a request to the server of its slot, and to other servers when it may be retried.

    Args:
        quarantine: Record of requests that crashed servers.
        report_crash: Notifies the owners of the service's other pools that a request crashed a
            server; arguments are service, fingerprint and server.
        count_against_caps: Counts a request against the caps; returns None, or the refusal when a
            cap is used up.
        release: Releases the slot of a lease and records the result of its use.
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
        count_against_caps: Callable[
            [owned_pool.OwnedPool, messages.Request], messages.Response | None
        ],
        release: Callable[[owned_pool.OwnedPool, pool.SlotLease, pool.ServerResult], None],
    ):
        self._clock = clock
        self._client = client
        self._record = record
        self._quarantine = quarantine
        self._report_crash = report_crash
        self._placement = placement
        self._count_against_caps = count_against_caps
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
    ) -> messages.Response:
        """Runs a request on the server of its slot, or on other servers of the pool by retries.

        A request that a server may have run is retried only if the service is idempotent. ``lease``
        is the slot of the first attempt; the slot of every attempt is released. The caller must
        have counted the request against the caps.
        """
        budget = self._budget(request.service)
        budget.on_request()
        owned.requests += 1
        tried_servers: set[str] = set()
        possibly_ran = False
        while True:
            tried_servers.add(lease.server.name)
            response = await self._send_attempt(
                owned, lease, request, idempotent=service.idempotent
            )
            result = response.result
            if result is backend_client.CallResult.OK:
                return self._ran_response(lease.server, response)
            possibly_ran |= result in (
                backend_client.CallResult.LOST,
                backend_client.CallResult.TIMEOUT,
            )
            if result is backend_client.CallResult.LOST:
                await self._record_crash(request, lease.server)
                if self._quarantine.is_quarantined(request.fingerprint):
                    return messages.unknown(422, messages.Reason.QUARANTINED)
            if possibly_ran and not service.idempotent:
                return self._unknown_response(result)
            was_shed = result is backend_client.CallResult.SHED
            if request.deadline.expired or not self._may_retry(
                budget, tried_servers, was_shed=was_shed
            ):
                break
            next_lease = owned.slots.try_acquire(exclude=frozenset(tried_servers))
            if next_lease is None:
                break
            if self._count_against_caps(owned, request) is not None:
                self._release(owned, next_lease, pool.ServerResult.CANCELLED)
                break
            lease = next_lease
        if possibly_ran:
            return self._unknown_response(result)
        if request.deadline.expired:
            return messages.not_run(504, messages.Reason.DEADLINE)
        if result is backend_client.CallResult.SHED:
            return messages.not_run(429, messages.Reason.NO_SLOT, retry_after_ms=100)
        return messages.not_run(503, messages.Reason.NO_SERVER, retry_after_ms=100)

    def _may_retry(
        self, budget: retry.RetryBudget, tried_servers: set[str], *, was_shed: bool
    ) -> bool:
        """Returns whether another attempt may start; uses the retry budget if so.

        The budget is not used after a server shed the request, because it has not processed it.
        """
        if was_shed:
            return len(tried_servers) <= (self._placement.retries_after_shed or MAX_SHED_RETRIES)
        return budget.try_retry()

    async def _send_attempt(
        self,
        owned: owned_pool.OwnedPool,
        lease: pool.SlotLease,
        request: messages.Request,
        *,
        idempotent: bool,
    ) -> backend_client.BackendResponse:
        """Sends the request to the server of a lease, and releases the lease."""
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
            response = await self._client.call(
                lease.server, request, idempotent=idempotent, timeout_s=remaining_s
            )
            result = _SERVER_RESULTS[response.result]
            if response.leaving:
                result = pool.ServerResult.LEAVING
            if response.load is not None:
                owned.slots.report_load(lease.server.name, response.load)
            return response
        finally:
            self._finish_attempt(owned, lease, result, shift_window)

    def _finish_attempt(
        self,
        owned: owned_pool.OwnedPool,
        lease: pool.SlotLease,
        result: pool.ServerResult,
        shift_window: window.CompletionWindow | None,
    ) -> None:
        """Releases the slot of an attempt and marks its end in the window of the shift."""
        if shift_window is not None:
            shift_window.end()
        self._release(owned, lease, result)

    async def _record_crash(self, request: messages.Request, server: model.BackendServer) -> None:
        self._quarantine.record_crash(request.fingerprint, server.name)
        self._log.warning(
            "response incomplete; counted as a crash of the server",
            server=server.name,
            request=request.request_id,
        )
        await self._report_crash(request.service, request.fingerprint, server.name)

    def _budget(self, service: str) -> retry.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry.RetryBudget(clock=self._clock)
            self._budgets[service] = budget
        return budget

    def _ran_response(
        self, server: model.BackendServer, response: backend_client.BackendResponse
    ) -> messages.Response:
        return messages.Response(
            outcome=messages.Outcome.RAN,
            status=response.status,
            headers=response.headers,
            body=response.body,
            server=server.name,
        )

    def _unknown_response(self, result: backend_client.CallResult) -> messages.Response:
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

"""Forwards requests of callers to backend servers and retries failed attempts."""

import asyncio
from collections.abc import Callable, Coroutine

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import (
    admission,
    attempt,
    balancer,
    crashes,
    jobs,
    learning,
    messages,
    model,
    rate_limits,
    request_handler,
    response_gate,
    retry_budgets,
    servers,
    state,
)
from sassafrasway_gateway import cold_limit as cold_limit_lib
from sassafrasway_gateway import metrics as metrics_lib

# Responses with this status or a higher one do not show the size of the others of their route.
STATUS_REDIRECT = 300
# Time allowed for a response that the server sent at the deadline to arrive.
RESPONSE_SLACK_S = 0.06
# No attempt is started with less time left, because the server could not finish the request.
MIN_ATTEMPT_S = 0.03
# Retry-After of a request that is refused because it crashes servers.
CRASH_RETRY_AFTER_S = 5.0
# Delay of the check whether a server is still reachable after a broken connection or a timeout.
REACHABILITY_CHECK_DELAY_S = 0.05
# Delay before a request is sent again to the server that rejected it.
SAME_SERVER_RETRY_DELAY_S = 0.01
# Time from the selection of a server until the request must have been sent to it. What the
# selection was based on, such as the share of a cold server's requests, may have changed later.
MAX_SELECTION_AGE_S = 0.6
# Outcome of a request whose response comes from a server.
ANSWERED = "answered"
# Statuses with which a server responds when it has no room for a request or no time left.
OVERLOAD_STATUSES = (503, 504)
STATUS_RATE_LIMITED = 429
REASON_CRASHES = "request ends servers"
REASON_NO_RETRY = "retry budget used up"
REASON_NO_TIME = "no time left"
REASON_RATE_LIMIT = "rate limit"
REASON_NO_MEMORY = "no memory for the response"
# Label of all refusals whose reason is the outcome of an attempt.
REASON_ATTEMPTS = "attempts failed"
# Reasons that are labels of metrics. Those of attempts contain what servers have sent.
REFUSAL_REASONS = frozenset(
    (
        REASON_CRASHES,
        REASON_NO_RETRY,
        REASON_NO_TIME,
        REASON_NO_MEMORY,
        *(entry.value for entry in balancer.Refusal),
    )
)


class Forwarder(request_handler.Handler):
    """Finds the route of each request, selects servers for it and retries failed attempts.

    Args:
        budget_of: Returns the retry budget of a service.
        on_crash: Called for each new crash with the fingerprint of the request and the server, as
            ``id/started_ms``.
        region: Region of this instance.
        keys_expired: Returns whether the policy is too old for its keys to be accepted.
        rate_limiter: Rate limits of organisations; None for none.
        gate: Refuses requests for whose large responses there is no memory; None admits all.
    """

    def __init__(
        self,
        *,
        policy_state: state.PolicyState,
        registry: servers.ServerRegistry,
        chooser: balancer.Balancer,
        runner: attempt.AttemptRunner,
        learner: learning.OutcomeLearner,
        cold_limit: cold_limit_lib.ColdLimit,
        admission_control: admission.AdmissionControl,
        crash_register: crashes.CrashRegister,
        budget_of: Callable[[str], retry_budgets.RetryLimit],
        on_crash: Callable[[str, str], None],
        names: messages.HeaderNames,
        region: str,
        metrics: metrics_lib.GatewayMetrics,
        keys_expired: Callable[[], bool] = lambda: False,
        rate_limiter: rate_limits.RateLimiter | None = None,
        gate: response_gate.ResponseGate | None = None,
    ):
        self._policy_state = policy_state
        self._registry = registry
        self._chooser = chooser
        self._runner = runner
        self._learner = learner
        self._cold_limit = cold_limit
        self._admission_control = admission_control
        self._crashes = crash_register
        self._budget_of = budget_of
        self._on_crash = on_crash
        self._names = names
        self._gate = gate
        self._region = region
        self._metrics = metrics
        self._rate_limiter = rate_limiter
        self._admission = jobs.Admission(
            policy_state=policy_state, names=names, keys_expired=keys_expired
        )
        self._background: set[asyncio.Task] = set()
        self._log = structlog.get_logger("requests")

    @property
    def limits(self) -> model.Limits:
        """See base class."""
        policy = self._policy_state.policy
        return policy.limits if policy is not None else model.Limits()

    def may_overlap(self, request: messages.Request) -> bool:
        """See base class; the routes of the policy in force decide it."""
        route = self._admission.route_of(request)
        return route is not None and route.idempotent

    @property
    def running(self) -> int:
        """Number of attempts and reachability checks in progress."""
        return len(self._background)

    async def handle(self, request: messages.Request) -> messages.Response:
        """See base class."""
        try:
            job = self._admission.admit(request)
        except jobs.NotAdmitted as error:
            return self._respond_not_admitted(error)
        try:
            return await self._process_within_memory(job)
        except asyncio.CancelledError:
            self._finish(job, "caller left", 0)
            raise
        except Exception as error:
            self._log.exception("request failed", request=job.request_id, error=repr(error))
            self._finish(job, "failed: internal error", 500)
            return request_handler.text_response(500, "internal error")
        finally:
            if job.permit is not None and not job.permit_used:
                job.permit.give_back()

    async def _process_within_memory(self, job: jobs.Job) -> messages.Response:
        """Processes a request unless there is too little memory for the response to it."""
        if self._gate is None:
            return await self._process(job)
        promise = self._gate.admit(job.route)
        if promise is None:
            self._metrics.memory_refusals.add(job.route.name)
            return self._refuse(job, REASON_NO_MEMORY, self._gate.retry_after_s())
        try:
            return await self._process(job)
        finally:
            promise.release()

    async def _process(self, job: jobs.Job) -> messages.Response:
        """Attempts a request until a response may be returned or no further attempt is allowed."""
        budget = self._budget_of(job.service)
        budget.on_request()
        if self._crashes.should_refuse(job.fingerprint):
            return self._refuse(job, REASON_CRASHES, CRASH_RETRY_AFTER_S)
        while True:
            if job.sent_attempts and not budget.try_retry():
                return self._fail(job, REASON_NO_RETRY)
            remaining_s = job.deadline_s - clock_lib.elapsed_s()
            if remaining_s < MIN_ATTEMPT_S:
                return self._fail(job, REASON_NO_TIME)
            if self._needs_permit(job):
                try:
                    await self._acquire_permit(job, remaining_s - MIN_ATTEMPT_S)
                except rate_limits.QuotaError as error:
                    return self._refuse_for_limit(job, error)
                remaining_s = job.deadline_s - clock_lib.elapsed_s()
            choice = self._chooser.choose(
                balancer.SelectionCriteria(
                    route=job.route,
                    service=job.service,
                    object_key=job.object_key,
                    names_object=job.names_object,
                    region=self._region,
                    remaining_s=remaining_s,
                    excluded_servers=job.excluded_servers,
                    displaced=job.displaced,
                    allowed_regions=job.allowed_regions,
                    max_waiting_per_slot=self._admission_control.max_waiting_per_slot(
                        job.request_class
                    ),
                )
            )
            self._metrics.selections.add(job.service, self._selection_result(job, choice))
            for unproven in choice.unproven:
                if not unproven.checked:
                    unproven.checked = True
                    self._start_background_task(self._check_trial(job, unproven))
            if choice.state is None:
                if choice.refused_for_overload:
                    self._admission_control.on_overloaded(job.request_class)
                return self._refuse(job, choice.refusal.value, choice.retry_after_s)
            if choice.state.server.server_id == job.rejected_by:
                await asyncio.sleep(SAME_SERVER_RETRY_DELAY_S)
            result = await self._attempt(job, choice)
            if result is None:
                return self._time_out(job)
            if result.outcome is attempt.Outcome.ANSWERED and not self._is_retryable_status(
                job, result
            ):
                return self._return_response(job, result)
            if not self._may_retry(job, result):
                if result.outcome is attempt.Outcome.ANSWERED:
                    return self._return_response(job, result)
                return self._fail(job, result.reason)

    async def _attempt(
        self, job: jobs.Job, choice: balancer.Choice
    ) -> attempt.AttemptResult | None:
        """Runs one attempt; returns None if it does not finish by the server's deadline.

        If the caller disconnects, the attempt is cancelled only if the request is idempotent.
        """
        chosen = choice.state
        now_s = clock_lib.elapsed_s()
        if chosen.cold_until_s > now_s or chosen.on_trial:
            self._cold_limit.on_sent(chosen, now_s)
        chosen.outstanding += 1
        log_entry = jobs.AttemptLogEntry(choice=choice)
        job.attempts.append(log_entry)
        task = asyncio.get_running_loop().create_task(
            self._runner.run(
                job.request,
                chosen,
                deadline_s=job.server_deadline_s,
                idempotent=job.route.idempotent,
                may_send=lambda: self._may_send(job, chosen, now_s),
            )
        )
        self._background.add(task)
        task.add_done_callback(lambda done: self._on_attempt_done(job, log_entry, done))
        wait_s = job.server_deadline_s + RESPONSE_SLACK_S - now_s
        try:
            async with asyncio.timeout(wait_s):
                result = await asyncio.shield(task)
        except TimeoutError:
            job.may_have_run = True
            task.cancel()
            self._on_attempt_timeout(job, choice, clock_lib.elapsed_s() - now_s)
            return None
        except asyncio.CancelledError:
            if job.route.idempotent:
                task.cancel()
            raise
        if result.outcome not in (attempt.Outcome.UNREACHABLE, attempt.Outcome.WITHDRAWN):
            job.sent_attempts += 1
        withdrawn_without_permit = (
            result.outcome is attempt.Outcome.WITHDRAWN and self._needs_permit(job)
        )
        server_id = chosen.server.server_id
        if self._rejected_with_free_slots(chosen, result) and job.rejected_by != server_id:
            if self._registry.estimates_loads:
                job.rejected_by = server_id
        elif not withdrawn_without_permit:
            job.excluded_servers.append(server_id)
            if self._registry.estimates_loads:
                job.displaced |= self._rejected_by_full_queue(chosen, result)
        if not result.outcome.not_run:
            job.may_have_run = True
        return result

    @staticmethod
    def _selection_result(job: jobs.Job, choice: balancer.Choice) -> str:
        """Returns the label of a selection in the metrics."""
        if choice.state is None:
            return choice.refusal.value
        if not job.names_object:
            return "no_object"
        return "object_moved" if choice.rank else "object_first"

    def _needs_permit(self, job: jobs.Job) -> bool:
        """Whether the request must not be sent before a permit has been acquired."""
        organisation = job.organisation
        if self._rate_limiter is None or organisation is None or job.permit_used:
            return False
        if not self._rate_limiter.is_limited(organisation.name):
            return False
        return job.permit is None or not job.permit.valid(clock_lib.elapsed_s())

    async def _acquire_permit(self, job: jobs.Job, timeout_s: float) -> None:
        """Acquires a permit, in place of one that has expired before the request was sent.

        Raises:
            rate_limits.QuotaError: The limit is reached, or was not checked in time.
        """
        if job.permit is not None:
            job.permit.give_back()
            job.permit = None
        try:
            async with asyncio.timeout(timeout_s):
                job.permit = await self._rate_limiter.acquire(job.organisation.name)
        except TimeoutError as error:
            raise rate_limits.QuotaError(
                "limit of the organisation was not checked in time",
                status=503,
                retry_after_s=balancer.MIN_RETRY_AFTER_S,
            ) from error

    def _may_send(self, job: jobs.Job, chosen: servers.ServerState, selected_s: float) -> bool:
        """Whether a server that was selected at ``selected_s`` may still get the request.

        The permit counts as used then, because the request is sent next.
        """
        age_s = clock_lib.elapsed_s() - selected_s
        if age_s >= MAX_SELECTION_AGE_S or not self._registry.may_send(chosen):
            return False
        if self._needs_permit(job):
            return False
        if job.permit is not None and not job.permit_used:
            job.permit_used = True
            job.permit.use()
        return True

    def _rejected_with_free_slots(
        self, chosen: servers.ServerState, result: attempt.AttemptResult
    ) -> bool:
        """Whether the server rejected the request although it has free slots.

        Where loads are estimated, the rejection must report them.

        Such a rejection is assumed to be random, so the server may accept the request at the next
        attempt. It remains a candidate because on another server the request would be a cold run.
        """
        if result.outcome is not attempt.Outcome.REJECTED:
            return False
        if not self._registry.estimates_loads:
            misdirected = result.response.status == attempt.STATUS_MISDIRECTED
            return not misdirected and chosen.load(clock_lib.elapsed_s()) < chosen.server.slots
        report = self._load_report(result)
        return report is not None and report.running + report.waiting < report.slots

    def _rejected_by_full_queue(
        self, chosen: servers.ServerState, result: attempt.AttemptResult
    ) -> bool:
        """Whether the server probably rejected the request because its queue was full.

        Responses that say that the request was misdirected, or that the server rests or leaves,
        state another reason.
        """
        if result.outcome is not attempt.Outcome.REJECTED:
            return False
        response = result.response
        return not (
            response.status == attempt.STATUS_MISDIRECTED
            or attempt.parse_rest_s(response) > 0
            or response.header(self._names.leaving) == b"1"
            or self._rejected_with_free_slots(chosen, result)
        )

    def _load_report(self, result: attempt.AttemptResult) -> attempt.LoadReport | None:
        """Returns the load that the selected server reports; None without a valid report.

        A misdirected response is that of another server.
        """
        response = result.response
        if response is None or response.status == attempt.STATUS_MISDIRECTED:
            return None
        return attempt.parse_load(response.header(self._names.server_load))

    def _on_attempt_done(
        self, job: jobs.Job, log_entry: jobs.AttemptLogEntry, task: asyncio.Task
    ) -> None:
        """Updates the state of the server; also runs when the caller has disconnected."""
        self._background.discard(task)
        chosen = log_entry.choice.state
        chosen.outstanding -= 1
        if task.cancelled():
            log_entry.result = "cancelled"
            self._metrics.attempts.add(job.service, "cancelled")
            return
        if task.exception() is not None:
            log_entry.result = repr(task.exception())
            return
        result = task.result()
        log_entry.result = (
            f"{result.outcome.value} {result.reason} {result.elapsed_s * 1000:.0f} ms"
        )
        self._metrics.attempts.add(job.service, result.outcome.value)
        self._record_result(job, log_entry.choice, result)

    def _on_attempt_timeout(self, job: jobs.Job, choice: balancer.Choice, elapsed_s: float) -> None:
        """Records the timeout and checks whether the server still accepts connections."""
        chosen = choice.state
        self._learner.on_timeout(choice, route=job.route.name, elapsed_s=elapsed_s)
        self._runner.close_idle_connections(chosen)
        self._start_background_task(self._check_reachable(job, chosen))

    def _start_background_task(self, coroutine: Coroutine[None, None, object]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _record_result(
        self, job: jobs.Job, choice: balancer.Choice, result: attempt.AttemptResult
    ) -> None:
        chosen = choice.state
        if result.outcome is attempt.Outcome.WITHDRAWN:
            return
        if result.response is not None:
            self._record_leave_or_rest(job, chosen, result)
            report = self._load_report(result)
            if report is not None:
                self._registry.on_load(
                    chosen, report.running, report.waiting, slowdown=report.slowdown
                )
        if result.outcome is attempt.Outcome.ANSWERED:
            self._learner.on_response(
                choice,
                route=job.route.name,
                object_key=job.object_key,
                status=result.response.status,
                elapsed_s=result.elapsed_s,
            )
        elif result.outcome is attempt.Outcome.REJECTED:
            misdirected = result.response.status == attempt.STATUS_MISDIRECTED
            full = self._rejected_by_full_queue(chosen, result)
            if full:
                self._admission_control.on_overloaded(job.request_class)
            self._registry.on_rejected(chosen, misdirected=misdirected)
            if full and report is None:
                self._registry.on_queue_full(chosen)
        else:
            unreachable = result.outcome is attempt.Outcome.UNREACHABLE
            self._registry.on_failure(chosen, unreachable=unreachable)
            self._log.info(
                "attempt failed",
                request=job.request_id,
                server=chosen.server.server_id,
                outcome=result.outcome.value,
                reason=result.reason,
                failures=chosen.failures,
            )
        if result.outcome is attempt.Outcome.BROKEN:
            self._start_background_task(self._check_crash(job, chosen))

    def _record_leave_or_rest(
        self, job: jobs.Job, chosen: servers.ServerState, result: attempt.AttemptResult
    ) -> None:
        """Records whether the server leaves or wants no requests, as its response says."""
        response = result.response
        own_response = result.outcome in (attempt.Outcome.ANSWERED, attempt.Outcome.REJECTED)
        if not own_response or response.status == attempt.STATUS_MISDIRECTED:
            return
        server_id = chosen.server.server_id
        if response.header(self._names.leaving) == b"1" and self._registry.on_leaving(chosen):
            self._log.info("server leaves", request=job.request_id, server=server_id)
        rest_s = attempt.parse_rest_s(response)
        if rest_s > 0:
            self._registry.on_rest(chosen, rest_s)
            self._log.info(
                "server rests", request=job.request_id, server=server_id, rest_s=round(rest_s, 2)
            )

    async def _check_reachable(self, job: jobs.Job, chosen: servers.ServerState) -> bool:
        """Returns whether the server accepts connections; ejects it if not."""
        await asyncio.sleep(REACHABILITY_CHECK_DELAY_S)
        if await self._runner.probe(chosen):
            return True
        self._registry.on_failure(chosen, unreachable=True)
        self._log.warning(
            "server unreachable", request=job.request_id, server=chosen.server.server_id
        )
        return False

    async def _check_trial(self, job: jobs.Job, unproven: servers.ServerState) -> None:
        """Ends the trial of a server that accepts connections again.

        No request can end it if the policy sends only non-idempotent ones to the service, or if the
        cold limit selects other instances for the server.
        """
        try:
            if await self._check_reachable(job, unproven):
                self._registry.on_reachable(unproven)
                self._log.info(
                    "server reachable again",
                    request=job.request_id,
                    server=unproven.server.server_id,
                )
        finally:
            unproven.checked = False

    async def _check_crash(self, job: jobs.Job, chosen: servers.ServerState) -> None:
        """Records a crash if the server is unreachable after its connection broke."""
        if await self._check_reachable(job, chosen):
            return
        server = f"{chosen.server.server_id}/{chosen.server.started_ms}"
        if self._crashes.add(job.fingerprint, server):
            self._on_crash(job.fingerprint, server)
        self._log.warning(
            "server crashed during request",
            request=job.request_id,
            server=chosen.server.server_id,
            fingerprint=job.fingerprint,
            crashes=self._crashes.crash_event_count(job.fingerprint),
        )

    def _is_retryable_status(self, job: jobs.Job, result: attempt.AttemptResult) -> bool:
        """Whether the server responded with an error that a retry may avoid."""
        return job.route.idempotent and result.response.status in (500, 502, 503)

    def _may_retry(self, job: jobs.Job, result: attempt.AttemptResult) -> bool:
        """Whether the limits of the request allow another attempt."""
        if not job.route.idempotent and not result.outcome.not_run:
            return False
        # One more crash would reach the number at which the request is refused.
        if self._crashes.crash_event_count(job.fingerprint) >= crashes.CRASHES_TO_REFUSE - 1:
            return False
        return job.sent_attempts < max(1, job.route.max_attempts)

    def _return_response(self, job: jobs.Job, result: attempt.AttemptResult) -> messages.Response:
        if self._gate is not None and result.response.status < STATUS_REDIRECT:
            self._gate.on_response(job.route, len(result.response.body))
        self._finish(job, ANSWERED, result.response.status)
        return result.response

    def _refuse_for_limit(self, job: jobs.Job, error: rate_limits.QuotaError) -> messages.Response:
        """Responds that the request did not run; it cannot have, as it had no permit."""
        self._metrics.refusals.add(job.service, REASON_RATE_LIMIT, str(job.priority))
        self._finish(job, f"refused: {error.message}", error.status)
        return request_handler.text_response(
            error.status, error.message, retry_after_s=error.retry_after_s
        )

    def _refuse(self, job: jobs.Job, reason: str, retry_after_s: float) -> messages.Response:
        """Responds that the request did not run (503), unless an attempt may have run it."""
        if job.may_have_run:
            return self._fail(job, reason)
        label = reason if reason in REFUSAL_REASONS else REASON_ATTEMPTS
        self._metrics.refusals.add(job.service, label, str(job.priority))
        self._finish(job, f"refused: {reason}", 503)
        return request_handler.text_response(503, reason, retry_after_s=retry_after_s)

    def _fail(self, job: jobs.Job, reason: str) -> messages.Response:
        """Responds that the request may have run (502), or refuses it if it certainly did not."""
        if not job.may_have_run:
            retry_after_s = balancer.MIN_RETRY_AFTER_S
            if job.attempts:
                retry_after_s = job.attempts[-1].choice.retry_after_s
            return self._refuse(job, reason, retry_after_s)
        self._finish(job, f"failed: {reason}", 502)
        return request_handler.text_response(502, reason)

    def _time_out(self, job: jobs.Job) -> messages.Response:
        self._finish(job, "timed out", 504)
        return request_handler.text_response(504, "no answer in time")

    def _respond_not_admitted(self, error: jobs.NotAdmitted) -> messages.Response:
        self._log.info(
            "request not forwarded",
            request=error.request_id,
            reason=error.message,
            status=error.status,
        )
        self._metrics.requests.add("", str(error.status))
        return request_handler.text_response(
            error.status, error.message, retry_after_s=error.retry_after_s
        )

    def _finish(self, job: jobs.Job, outcome: str, status: int) -> None:
        """Updates the metrics and logs the request; the status is 0 if no response is sent."""
        elapsed_s = clock_lib.elapsed_s() - job.request.received_s
        self._metrics.requests.add(job.route.name, str(status))
        self._metrics.latency.observe(elapsed_s, job.route.name)
        # Requests above a rate limit say nothing about the capacity of the service.
        if status and status != STATUS_RATE_LIMITED:
            served = outcome == ANSWERED and status not in OVERLOAD_STATUSES
            self._admission_control.on_finished(job.request_class, served=served)
        self._log.info(
            "request",
            request=job.request_id,
            route=job.route.name,
            organisation=None if job.organisation is None else job.organisation.name,
            service=job.service,
            priority=job.priority,
            object=job.object_key,
            policy=job.policy_version,
            attempts=[str(log_entry) for log_entry in job.attempts],
            outcome=outcome,
            status=status,
            elapsed_ms=round(elapsed_s * 1000),
            left_ms=round((job.deadline_s - clock_lib.elapsed_s()) * 1000),
        )

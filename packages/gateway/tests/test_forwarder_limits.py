"""Tests of forwarding under rate limits: which requests need a token, and what becomes of it."""

import asyncio

import gateway_fakes
import test_forwarder

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import forwarder, model, rate_limits

ORGANISATION = model.Organisation(name="org", rate_per_s=1.0)


class FakeLimiter:
    """Rate limiter with prepared results: lifetimes of permits, or errors.

    Attributes:
        returned: Number of permits given back.
    """

    def __init__(self, *results):
        self.results = list(results)
        self.returned = 0
        self.permits = []

    def is_limited(self, organisation):
        return organisation == ORGANISATION.name

    async def acquire(self, organisation):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        if result is None:
            await asyncio.Event().wait()
        permit = rate_limits.Permit(
            source=None,
            valid_until_s=clock_lib.elapsed_s() + result,
            on_give_back=self._on_give_back,
        )
        self.permits.append(permit)
        return permit

    def _on_give_back(self, permit):
        self.returned += 1


class ForwarderLimitsTest(test_forwarder.ForwarderFixture):
    """Guards against requests sent without a token, and tokens that no request has used."""

    async def start_limited(self, limiter, *scripts, **fields):
        await self.start(*scripts, **fields)
        self.limiter = limiter
        self.forwarder._rate_limiter = limiter
        admit = self.forwarder._admission.admit

        def admit_organisation(request):
            job = admit(request)
            job.organisation = ORGANISATION
            return job

        self.forwarder._admission.admit = admit_organisation

    async def test_request_uses_one_token(self):
        """Guards against a token that is used and returned as well."""
        await self.start_limited(FakeLimiter(1.0), [gateway_fakes.answer()])
        self.assertEqual((await self.handle()).status, 200)
        self.assertEqual((self.limiter.returned, self.limiter.results), (0, []))

    async def test_retry_needs_no_other_token(self):
        """Guards against retries that count against the limit."""
        limiter = FakeLimiter(1.0)
        await self.start_limited(limiter, [None], [gateway_fakes.answer()])
        self.servers_by_rank[0]._script = iter([None])
        self.servers_by_rank[1]._script = iter([gateway_fakes.answer()])
        self.assertEqual((await self.handle()).status, 200)
        self.assertEqual(self.received_count(), 2)

    async def test_rejections_have_status_and_retry_after_and_are_not_sent(self):
        """Guards against requests above the limit that reach a server."""
        for status in (429, 503):
            with self.subTest(status=status):
                error = rate_limits.QuotaError("no", status=status, retry_after_s=1.25)
                await self.start_limited(FakeLimiter(error), [gateway_fakes.answer()])
                response = await self.handle()
                self.assertEqual(response.status, status)
                self.assertEqual(response.header(b"retry-after"), b"1.25")
                self.assertEqual(self.received_count(), 0)

    async def test_expired_token_is_replaced_before_the_request_is_sent(self):
        """Guards against requests sent in a later window than the one of their token."""
        await self.start_limited(FakeLimiter(-1.0, 1.0), [gateway_fakes.answer()])
        self.assertEqual((await self.handle()).status, 200)
        self.assertEqual((self.limiter.returned, self.received_count()), (1, 1))

    async def test_token_of_a_request_that_is_not_sent_is_returned(self):
        """Guards against limits that rejected requests use up."""
        await self.start_limited(FakeLimiter(1.0))
        self.assertEqual((await self.handle()).status, 503)
        self.assertEqual(self.limiter.returned, 1)

    async def test_request_that_crashes_servers_needs_no_token(self):
        """Guards against tokens for requests that are refused anyway."""
        await self.start_limited(FakeLimiter(), [gateway_fakes.answer()])
        self.forwarder._crashes.should_refuse = lambda fingerprint: True
        self.assertEqual((await self.handle()).status, 503)

    async def test_wait_for_a_token_ends_at_the_deadline(self):
        """Guards against requests that wait for a token longer than their callers do."""
        await self.start_limited(FakeLimiter(None), [gateway_fakes.answer()])
        started_s = clock_lib.elapsed_s()
        self.assertEqual((await self.handle(time_left_ms=b"150")).status, 503)
        self.assertLess(clock_lib.elapsed_s() - started_s, 0.15 + forwarder.RESPONSE_SLACK_S)

    async def test_attempt_that_outlives_its_caller_is_not_sent_with_a_returned_token(self):
        """Guards against a token used twice: by an attempt and by the request that got it next."""
        await self.start_limited(FakeLimiter(1.0), [gateway_fakes.answer()], idempotent=False)
        connecting = asyncio.Event()
        proceed = asyncio.Event()
        acquire = self.forwarder._runner._pool.acquire

        async def acquire_slowly(*args, **fields):
            connecting.set()
            await proceed.wait()
            return await acquire(*args, **fields)

        self.forwarder._runner._pool.acquire = acquire_slowly
        task = asyncio.create_task(self.handle())
        await connecting.wait()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(self.limiter.returned, 1)
        proceed.set()
        await asyncio.gather(*self.forwarder._background)
        self.assertEqual(self.received_count(), 0)

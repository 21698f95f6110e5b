"""Tests of forwarded requests, in particular of attempts that are sent again."""

import asyncio
import unittest

import entry_fakes as fakes

from sassafrasway_entry import conversion, forward_service, messages
from sassafrasway_rpc import schema


class ForwardServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = fakes.manual_clock()
        self.backend = fakes.FakeBackend()
        manager = fakes.pool_manager(backend=self.backend, clock_source=self.clock)
        self.clock.advance(5.0)  # refusals of a new owner are temporary at first
        self.service = forward_service.ForwardService(
            me=fakes.ME,
            region="bkk",
            clock=self.clock,
            limits=fakes.limits(self.clock, fakes.policy()),
            pools=manager,
            gatekeeper=None,
            directory=fakes.FakeDirectory(),
        )

    def _message(self, attempt="a1", *, resent=False, receiver=None):
        message = conversion.to_forward(
            fakes.request(clock_source=self.clock),
            stage=schema.forward.Stage.EXECUTE,
            pool_key=fakes.POOL,
            may_queue=False,
            sender="peer/01",
            attempt_id=attempt,
            receiver=receiver or str(fakes.ME),
        )
        message.resent = resent
        return message

    async def test_attempt_sent_twice_runs_once(self):
        """Guards against running an attempt twice when it is sent again after a lost reply."""
        first = await self.service.forward(self._message())
        second = await self.service.forward(self._message(resent=True))
        self.assertEqual((first.outcome, second.outcome), (second.outcome, first.outcome))
        self.assertEqual(len(self.backend.calls), 1)

    async def test_broken_connection_does_not_stop_the_run(self):
        """Guards against cancelling an attempt when the connection of its sender breaks.

        The sender sends the attempt again and must get the outcome of the same run.
        """
        self.backend.gate = asyncio.Event()
        task = asyncio.create_task(self.service.forward(self._message()))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        again = asyncio.create_task(self.service.forward(self._message(resent=True)))
        await asyncio.sleep(0)
        self.backend.gate.set()
        reply = await again
        self.assertEqual(reply.outcome, schema.forward.Outcome.RAN)
        self.assertEqual(len(self.backend.calls), 1)

    async def test_attempt_for_an_earlier_incarnation_does_not_run(self):
        """Guards against running an attempt that the previous incarnation may have run.

        It is refused as not run only if it was sent for the first time.
        """
        fresh = await self.service.forward(self._message(receiver="bkk-a-1/old"))
        resent = await self.service.forward(self._message(receiver="bkk-a-1/old", resent=True))
        self.assertEqual(fresh.outcome, schema.forward.Outcome.NOT_RUN)
        self.assertEqual(resent.outcome, schema.forward.Outcome.UNKNOWN)
        self.assertEqual(self.backend.calls, [])

    async def test_records_of_old_attempts_are_deleted(self):
        """Guards against unbounded memory use by the records of attempts."""
        for number in range(5):
            await self.service.forward(self._message(f"a{number}"))
        self.clock.advance(forward_service.ATTEMPT_RETENTION_S + 1)
        await self.service.forward(self._message("last"))
        self.assertEqual(len(self.service._attempts), 1)

    async def test_attempt_is_kept_until_its_deadline_has_passed(self):
        """Guards against a second run of an attempt that is resent long after its arrival.

        Senders resend until the deadline, which may be later than the usual retention.
        """
        message = self._message()
        message.deadline_ms = 600_000
        await self.service.forward(message)
        self.clock.advance(forward_service.ATTEMPT_RETENTION_S + 1)
        message.resent = True
        await self.service.forward(message)
        self.assertEqual(len(self.backend.calls), 1)
        self.clock.advance(600 + forward_service.RESEND_MARGIN_S)
        await self.service.forward(self._message("other"))
        self.assertNotIn("a1", self.service._attempts)

    async def test_large_response_is_not_retained(self):
        """Guards against keeping large bodies in memory for attempts that may be sent again."""
        large = messages.Response(
            outcome=messages.Outcome.RAN,
            status=200,
            body=b"x" * (forward_service.MAX_RETAINED_BODY_BYTES + 1),
        )
        self.assertEqual(forward_service.retained_response(large).outcome, messages.Outcome.UNKNOWN)


if __name__ == "__main__":
    unittest.main()

"""Tests of the simulated caller and of the load tool against scripted entry instances."""

import json
import pathlib
import random
import tempfile
import time
import unittest

import aiohttp
import fake_entry

from sassafrasway_standins import arrivals, caller, check, checked_history, exchanges, history, load

SERVICES = {
    "crew-desk": exchanges.CalledService(idempotent=False, deadline_ms=5000, slots=1),
    "quote-desk": exchanges.CalledService(idempotent=True, deadline_ms=5000, slots=1),
}


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that run work twice, give up early or accept wrong responses."""

    async def asyncSetUp(self):
        self.records = []
        self.entries = [fake_entry.FakeEntry("e1"), fake_entry.FakeEntry("e2")]
        for entry in self.entries:
            await entry.start()
            self.addAsyncCleanup(entry.stop)
        self.entries[0].instances = self.entries
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.caller = self.make_caller(self.entries[:1])

    def make_caller(self, entries):
        made = caller.Caller(
            session=self.session,
            region="bkk",
            entries=[entry.entry_point for entry in entries],
            services=SERVICES,
            client_ms=0.0,
            region_ms=0.0,
            rng=random.Random(1),
            record=self.records.append,
        )
        self.addAsyncCleanup(made.close)
        return made

    async def send(self, service="crew-desk", request="r1"):
        arrival = arrivals.Arrival(
            request=request,
            at_s=0.0,
            service=service,
            region="bkk",
            service_s=0.0,
            client="10.0.0.1",
        )
        return await self.caller.send(arrival, intended_s=time.monotonic())

    def attempts(self):
        return [record for record in self.records if isinstance(record, history.Attempt)]

    async def test_each_ticket_serves_one_request(self):
        """Guards against two requests under one key, as the second one would never run."""
        for number in range(10):
            verdict = await self.send(request=f"r{number}")
            self.assertEqual((verdict.outcome, verdict.whole, verdict.own), ("ran", True, True))
        self.assertEqual(len(set(self.entries[0].keys)), 10)

    async def test_lookups_of_idempotent_services_are_cached(self):
        """Guards against a lookup for each request, which would hide faults of cached routes."""
        for number in range(10):
            await self.send("quote-desk", f"r{number}")
        self.assertEqual(self.entries[0].lookups, 1)

    async def test_refused_connection_leads_to_the_next_instance(self):
        """Guards against giving up when the first instance refuses the connection."""
        self.entries[0].instances = [self.entries[1], self.entries[0]]
        await self.entries[1].stop()
        verdict = await self.send("quote-desk")
        self.assertEqual((verdict.outcome, verdict.attempts), ("ran", 2))
        self.assertEqual(self.attempts()[0].outcome, "")

    async def test_broken_connection_is_retried_under_the_same_key(self):
        """Guards against a second run because a retry after an unknown outcome takes a new key."""
        self.entries[0].script = ["break"]
        self.entries[1].script = ["unknown"]
        verdict = await self.send()
        self.assertEqual((verdict.outcome, verdict.attempts), ("ran", 3))
        keys = {attempt.key for attempt in self.attempts()}
        self.assertEqual(len(keys), 1)
        self.assertEqual(keys, set(self.entries[0].keys) | set(self.entries[1].keys))

    async def test_unavailable_instance_leads_to_a_new_ticket(self):
        """Guards against retrying with the ticket of an instance that is not available."""
        self.entries[0].script = ["unavailable"]
        verdict = await self.send()
        self.assertEqual((verdict.outcome, verdict.attempts), ("ran", 2))
        self.assertEqual(len({attempt.key for attempt in self.attempts()}), 2)

    async def test_refusal_is_final(self):
        """Guards against retries of refused requests, which would hide refusals behind waiting."""
        self.entries[0].script = ["refused"]
        verdict = await self.send()
        self.assertEqual((verdict.outcome, verdict.status, verdict.attempts), ("not-run", 429, 1))

    async def test_unknown_outcomes_are_repeated_a_bounded_number_of_times(self):
        """Guards against retrying without a limit."""
        for entry in self.entries:
            entry.script = ["unknown"] * 20
        verdict = await self.send()
        self.assertEqual(verdict.outcome, "unknown")
        self.assertEqual(verdict.attempts, exchanges.MAX_UNKNOWN_RETRIES + 1)

    async def test_refusal_after_a_broken_attempt_is_not_reported_as_not_run(self):
        """Guards against reporting "not run" for a request whose first attempt may have run."""
        self.entries[0].script = ["break", "refused"]
        self.entries[1].script = ["refused"]
        verdict = await self.send("quote-desk")
        self.assertEqual(verdict.outcome, "unknown")

    async def test_wrong_and_incomplete_responses_are_recorded(self):
        """Guards against verdicts that do not show wrong or incomplete responses to the checker."""
        self.entries[0].script = ["foreign", "short"]
        verdict = await self.send(request="r1")
        self.assertEqual((verdict.whole, verdict.own), (True, False))
        verdict = await self.send(request="r2")
        self.assertEqual((verdict.whole, verdict.own), (False, True))

    async def test_failed_lookup_gives_a_verdict(self):
        """Guards against requests without a verdict when no instance answers a lookup."""
        await self.entries[0].stop()
        verdict = await self.send()
        self.assertEqual((verdict.outcome, verdict.reason), ("not-run", "no-lookup"))

    async def test_load_tool_gives_every_arrival_a_verdict(self):
        """Guards against records lost when the tool stops, and plans that JSON does not keep."""
        plan = load.Plan(
            entries=[entry.entry_point for entry in self.entries],
            services=SERVICES,
            blocks={"bkk": "10.0.0.0/16"},
            client_ms=0.0,
            region_ms=0.0,
            load=1.0,
            mean_service_s=0.01,
            duration_s=0.3,
            seed=1,
            start_s=time.monotonic(),
        )
        plan = load.Plan.parse(json.loads(json.dumps(plan.dump())))
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "records.jsonl"
            with history.Writer(path=path) as writer:
                tool = load.LoadTool(plan=plan, writer=writer, part=0)
                await tool.run(plan.arrivals())
            records = list(history.read([path]))
        verdicts = [record for record in records if isinstance(record, history.Verdict)]
        self.assertEqual(len(verdicts), len(plan.arrivals()))
        self.assertEqual(sum(p.count for p in tool.latencies.percentiles().values()), len(verdicts))
        self.assertEqual(list(check.NoneLost().violations(checked_history.History(records))), [])


if __name__ == "__main__":
    unittest.main()

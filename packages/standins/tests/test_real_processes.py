"""Tests of faults under load on real processes, which check the order and counts of records."""

import asyncio
import collections
import copy
import time
import unittest

import real_cluster

from sassafrasway_standins import faults, history, processes

REGION = "bkk"
RECOVERY_S = 5.0  # time under load from a kill to the restart, or after the end of a pause
PAUSE_S = 6.0  # grants are valid for 2 s, leases for 3 s; the holder must be absent for over 4 s
STORE_DOWN_S = 15.0
SILENT_S = 6.0
# Requests sent up to this time after the silencing may have unknown outcomes. They wait until their
# deadline on a silent connection, also those that were sent just before it became silent.
SILENCE_DETECTION_S = 6.0
LOW_CAP_RPS = 40.0
NO_SLOT = "no_slot"


class RealProcessesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.real = real_cluster.RealCluster()
        cls.runner.run(cls.real.start())
        cls.addClassCleanup(lambda: cls.runner.run(cls.real.stop()))

    def setUp(self):
        self.cluster = self.real.cluster
        self.fault_context = faults.FaultContext(cluster=self.cluster, length_s=0.0)

    def send_during(self, action, *, seed, load_factor=0.3):
        """Sends load while ``action`` runs; checks that requests ran and no rule is violated."""
        result, violations = self.runner.run(
            self.real.scenario(action, seed=seed, load_factor=load_factor)
        )
        self.summary = result.summary()
        self.assertEqual(violations, [], self.summary)
        self.assertEqual(set(result.intents), set(result.verdicts), self.summary)
        self.assertGreater(len(result.non_idempotent_runs), 0, self.summary)
        return result

    def assert_unknown_outcomes_explained(self, result, explains):
        """Checks that ``explains(request, attempts)`` is true for each unknown outcome."""
        unexplained = {
            request: attempts
            for request, attempts in result.with_outcome(history.UNKNOWN).items()
            if not explains(request, attempts)
        }
        self.assertEqual(unexplained, {}, self.summary)

    def assert_cap_reached(self, result, region, cap_rps):
        """Checks that a region reached its cap and that further requests were refused or rerouted.

        Lookups direct callers to another region when the cap is used up, so refusals are not
        certain: in one CI run the cap refused none of the 1,645 requests to crew-desk.
        """
        servers = self.real.document["servers"]
        in_region = [run for run in result.runs if servers[run.server]["region"] == region]
        busiest = max(collections.Counter(int(run.at_s) for run in in_region).values())
        self.assertGreaterEqual(busiest, 0.9 * cap_rps, self.summary)
        elsewhere = [
            run
            for run in result.runs
            if result.intents[run.request].region == region
            and servers[run.server]["region"] != region
        ]
        refused_or_rerouted = result.refusals()["region_cap"] + len(elsewhere)
        self.assertGreater(refused_or_rerouted, 0, self.summary)

    def test_kill_of_a_pool_owner(self):
        """Guards against requests run twice, wrongly reported "not run", or lost after kill -9.

        An outcome may be unknown only if the killed pool owner was involved: the caller sent the
        request to it, the ticket names it as holder, or the request was in flight during the kill
        and the instance owned a pool of its service.
        """
        kill = {}

        async def action():
            owner = kill["name"] = await self.fault_context.pool_owner()
            kill["pools"] = {key.split("/")[0] for key in (await self.cluster.dump(owner))["pools"]}
            kill["from_s"] = time.monotonic()
            await self.cluster.kill_entry(owner)
            kill["to_s"] = time.monotonic()
            await asyncio.sleep(RECOVERY_S)
            await self.cluster.start_entry(owner)
            await self.cluster.wait_ready([owner])

        result = self.send_during(action, seed=1000)
        killed_owner = kill["name"]
        url = f"http://{self.cluster.site.instances[killed_owner].caller}"

        def involved_killed_owner(request, attempts):
            in_pool = result.intents[request].service in kill["pools"]
            return any(
                attempt.instance == url
                or real_cluster.ticket_holder(attempt) == killed_owner
                or (in_pool and attempt.at_s <= kill["to_s"] and attempt.ended_s >= kill["from_s"])
                for attempt in attempts
            )

        self.assert_unknown_outcomes_explained(result, involved_killed_owner)
        after = [run for run in result.non_idempotent_runs if run.at_s > kill["to_s"]]
        self.assertGreater(len(after), 0, self.summary)

    def test_pause_past_the_grant(self):
        """Guards against a pool owner that, after a pause, uses a grant that has expired.

        Another instance has received the grant in the meantime. The cap of the region is below
        the offered load, so a share of the cap that is used twice exceeds it.
        """
        original_policy = self.real.document
        low_cap_policy = copy.deepcopy(original_policy)
        low_cap_policy["regions"][REGION]["cap_rps"] = LOW_CAP_RPS
        pause = {}

        async def action():
            owner = await self.fault_context.pool_owner()
            pause["from_s"] = time.monotonic()
            self.cluster.pause_entry(owner)
            await asyncio.sleep(PAUSE_S)
            pause["to_s"] = time.monotonic()
            self.cluster.resume_entry(owner)
            await asyncio.sleep(RECOVERY_S)

        self.runner.run(self.real.apply(low_cap_policy))
        try:
            result = self.send_during(action, seed=2000)
        finally:
            self.runner.run(self.real.apply(original_policy))
        self.assert_cap_reached(result, REGION, LOW_CAP_RPS)
        ran = [run for run in result.runs if pause["from_s"] < run.at_s < pause["to_s"]]
        self.assertGreater(len(ran), 0, self.summary)

    def test_store_down(self):
        """Guards against pool owners and requests with tickets that fail while the store is down.

        A policy change during the outage is refused with the cause, and accepted afterwards.
        """
        changed = copy.deepcopy(self.real.document)
        changed["regions"][REGION]["cap_rps"] += 1
        outage = {}

        async def action():
            await self.cluster.set_store_faults(down="refuse", instances_down=True)
            outage["from_s"] = time.monotonic()
            try:
                await self.real.apply(changed)
            except processes.ProcessError as error:
                outage["error"] = str(error)
            await asyncio.sleep(outage["from_s"] + STORE_DOWN_S - time.monotonic())
            outage["to_s"] = time.monotonic()
            await self.cluster.set_store_faults(down="", instances_down=False)
            await self.real.apply(changed)

        result = self.send_during(action, seed=3000)
        self.assertRegex(outage.get("error", "accepted"), r"code 4\n(.|\n)*(store|table)")
        for region in self.fault_context.regions:
            ran = [
                run
                for run in result.non_idempotent_runs
                if outage["from_s"] < run.at_s < outage["to_s"]
                and result.intents[run.request].region == region
            ]
            self.assertGreater(len(ran), 0, f"{region}\n{self.summary}")
        self.assert_unknown_outcomes_explained(result, lambda request, attempts: False)

    def test_graceful_replacement_of_every_instance(self):
        """Guards against graceful stops that abort, lose or refuse requests.

        All instances are replaced, one of each region at a time.
        """
        old = {name: self.cluster.process(name).pid for name in self.cluster.entry_names}
        result = self.send_during(lambda: faults.ReplaceAll().run(self.fault_context), seed=4000)
        self.assertEqual(len(old), len(self.cluster.site.instances))
        for name, pid in old.items():
            self.assertNotEqual(self.cluster.process(name).pid, pid)
        self.assert_unknown_outcomes_explained(result, lambda request, attempts: False)
        aborted = [run for run in result.runs if run.outcome in ("cancelled", "crashed")]
        self.assertEqual(aborted, [], self.summary)
        self.assertEqual(set(result.refusals()) - {NO_SLOT}, set(), self.summary)

    def test_silent_connections(self):
        """Guards against continued use of connections to backend servers that no longer respond."""
        silence = {}

        async def action():
            silence["before"] = await self.cluster.backend_stats()
            await self.cluster.set_backends(silent=True)
            silence["at_s"] = time.monotonic()
            await asyncio.sleep(SILENT_S)
            silence["after"] = await self.cluster.backend_stats()

        result = self.send_during(action, seed=5000)
        for name, before in silence["before"].items():
            self.assertGreater(silence["after"][name]["accepted"], before["accepted"], name)
        ran_on = {run.server for run in result.runs if run.at_s > silence["at_s"]}
        self.assertEqual(ran_on, set(silence["before"]), self.summary)
        self.assert_unknown_outcomes_explained(
            result,
            lambda request, _: (
                result.intents[request].at_s <= silence["at_s"] + SILENCE_DETECTION_S
            ),
        )


if __name__ == "__main__":
    unittest.main()

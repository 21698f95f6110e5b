"""Tests of the layouts and of starting and stopping clusters of processes."""

import pathlib
import sys
import tempfile
import tomllib
import unittest

import aiohttp

from sassafrasway_core import documents
from sassafrasway_entry import settings
from sassafrasway_standins import launcher, layouts, processes

# Listens on the admin address of its settings and answers health requests with status 503, as an
# instance without a policy does.
FAKE_ENTRY = """
import asyncio, signal, sys, tomllib
from aiohttp import web

async def health(request):
    return web.Response(status=503)

async def main():
    with open(sys.argv[-1], "rb") as file:
        host, _, port = tomllib.load(file)["listen"]["admin"].rpartition(":")
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    app = web.Application()
    app.router.add_get("/healthz", health)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    await stopped.wait()

asyncio.run(main())
"""


class LayoutTest(unittest.TestCase):
    def test_policies_are_valid_and_match_backends(self):
        """Guards against policies that are rejected or do not match the backend servers."""
        for layout in layouts.LAYOUTS.values():
            with self.subTest(layout=layout.name):
                site = layouts.Site(layout=layout, entries=26)
                policy = documents.parse_policy(site.policy(), revision=1)
                files = site.backend_files(processes=2, records="r{}", seed=1)
                served = {server["name"]: server for file in files for server in file["servers"]}
                self.assertEqual(
                    {name: (server.url, server.slots) for name, server in policy.servers.items()},
                    {n: (f"http://{s['address']}", s["slots"]) for n, s in served.items()},
                )
                self.assertEqual(
                    len({server.url for server in policy.servers.values()}), len(served)
                )

    def test_settings_are_valid_and_match_relays(self):
        """Guards against settings that an instance rejects, and against peers without a relay."""
        site = layouts.Site(layout=layouts.SILA, block=3)
        pairs = [pair for file in site.link_files(processes=2) for pair in file["pairs"]]
        relays = {(pair["source"]["name"], pair["connect"]): pair["listen"] for pair in pairs}
        self.assertEqual(len(set(relays.values())), len(relays))
        for name in site.instances:
            text = layouts.dump_toml(site.entry_settings(name, record_file="/tmp/x"))
            loaded = settings.Settings.model_validate(tomllib.loads(text))
            for target, relay in loaded.network.address_map.items():
                self.assertEqual(relays[name, target], relay)


class LauncherTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        command = (sys.executable, "-c", FAKE_ENTRY)
        self.options = launcher.Options(
            entries=2,
            backend_processes=1,
            link_processes=1,
            list_lag_s=0.0,
            entry_command=command,
        )

    async def listed_states(self, cluster):
        url = f"http://{cluster.site.store}/instances"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return {entry["name"]: entry["state"] for entry in await response.json()}

    async def test_instance_list_follows_the_processes(self):
        """Guards against an instance list that does not reflect a replacement or a kill."""
        running = launcher.running(layouts.DEMO, directory=self.directory, options=self.options)
        async with running as cluster:
            one, other = cluster.entry_names
            old_pid = cluster.process(one).pid
            self.assertEqual(await cluster.replace_entry(one), 0)
            self.assertNotEqual(cluster.process(one).pid, old_pid)
            self.assertEqual(await self.listed_states(cluster), {one: "live", other: "live"})
            await cluster.kill_entry(other)
            self.assertEqual(await self.listed_states(cluster), {one: "live"})
            stats = await cluster.backend_stats()
            self.assertEqual(len(stats), len(cluster.site.policy()["servers"]))
            self.assertGreaterEqual(await cluster.longest_backend_stall_ms(), 0)
            await cluster.set_links("cut", "bkk", "hkt")

    async def test_exception_leaves_no_process(self):
        """Guards against processes that keep running after an exception in a test."""
        children = []
        with self.assertRaises(RuntimeError):
            running = launcher.running(layouts.DEMO, directory=self.directory, options=self.options)
            async with running as cluster:
                names = [*cluster.entry_names, "store", "backend-0", "link-0"]
                children = [cluster.process(name) for name in names]
                cluster.pause_entry(cluster.entry_names[0])
                raise RuntimeError("test")
        self.assertEqual([child.is_running for child in children], [False] * 5)

    async def test_failed_start_is_reported_with_log(self):
        """Guards against a start that keeps waiting for a process that has already ended."""
        options = launcher.Options(
            entries=1, entry_command=(sys.executable, "-c", "raise SystemExit('broken settings')")
        )
        with self.assertRaisesRegex(processes.ProcessError, "broken settings"):
            async with launcher.running(layouts.DEMO, directory=self.directory, options=options):
                pass


if __name__ == "__main__":
    unittest.main()

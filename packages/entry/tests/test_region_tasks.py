"""Tests of the member and coordinator tasks on an in-memory network and platform."""

import asyncio
import collections
import dataclasses
import random
import unittest

from sassafrasway_core import clock, errors, invariants, model, region, share
from sassafrasway_entry import control_conversion, control_service, member_task
from sassafrasway_platform import memory
from sassafrasway_rpc import client as rpc_client
from sassafrasway_rpc import codec, schema

STEP_S = 0.1
# Iterations of the event loop per step of the clock, enough for the calls of a step to finish.
LOOP_ITERATIONS = 30


def _policy(regions):
    servers = [
        model.BackendServer(
            name=f"{service}-{name}",
            service=service,
            region=name,
            failure_domain=f"{name}-a",
            url="http://s",
            slots=3,
            connections=10,
        )
        for service in ("desk", "archive", "orders")
        for name in regions
    ]
    return model.Policy(
        revision=7,
        regions={name: model.Region(name=name) for name in regions},
        links={},
        services={
            name: model.Service(name=name, idempotent=True)
            for name in ("desk", "archive", "orders")
        },
        servers={server.name: server for server in servers},
        blocks={},
        shifts={},
    )


class _Network:
    """Calls from one instance to its peers; messages pass through the Thrift codec."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def listen_for_refusals(self, listener):
        self._on_refused = listener

    async def call(self, address, method, *, timeout_s, **arguments):
        del timeout_s
        if {self._name, address} & self._fleet.cut:
            raise errors.UnavailableError("the network is partitioned", step=method, peer=address)
        service = self._fleet.services.get(address)
        if service is None:
            self._on_refused(address)
            raise rpc_client.ConnectionRefusedByPeerError("refused", step=method, peer=address)
        control = schema.control.Control
        sent = _encode_and_decode(getattr(control, f"{method}_args")(**arguments))
        result = getattr(control, f"{method}_result")()
        value = await getattr(service, method)(**vars(sent))
        if hasattr(result, "success"):
            result.success = value
            return _encode_and_decode(result).success
        return None


def _encode_and_decode(payload):
    head = codec.MessageHead(name="m", kind=1, sequence_id=1)
    frame = codec.encode(head=head, payload=payload)
    decoder = codec.Decoder(body=frame[codec.FRAME_HEADER_BYTES :], peer="test")
    decoder.read_head()
    return decoder.read_struct(type(payload))


class _Fleet:
    """The instances of one or more regions, which share a manual clock."""

    def __init__(self, regions=("bkk",)):
        self.clock = clock.ManualClock()
        self.table = memory.MemoryTable()
        self.instance_list = memory.MemoryInstances()
        self.policy = _policy(regions)
        self.tasks = {}
        self.services = {}
        self.grants = {}
        # Reports by pool of each instance that uses slots, by name of the instance.
        self.pool_reports = {}
        # Name of an instance, newer revision, and address of an instance that has the revision.
        self.newer_revisions = []
        # Names of the instances that are partitioned from all others.
        self.cut = set()
        self.networks = {}

    def start(self, name, *, region_name="bkk", seeds=(), revision=7):
        self.grants[name] = []
        self.networks[name] = _Network(self, name)
        self.tasks[name] = member_task.MemberTask(
            me=region.Instance(
                name=name, incarnation="1", rpc_address=name, region=region_name, caller_url="u"
            ),
            clock=self.clock,
            invariants=invariants.Invariants(mode=invariants.Mode.RAISE),
            table=self.table,
            instance_list=self.instance_list,
            peers=self.networks[name],
            policy_source=lambda: self.policy,
            on_grants=lambda grants: self.grants.__setitem__(name, grants),
            pool_reports=lambda: self.pool_reports.get(name, {}),
            revision_source=lambda: revision,
            seeds=seeds,
            on_revision=lambda newer, address: self.newer_revisions.append((name, newer, address)),
            rng=random.Random(1),
        )
        self.services[name] = control_service.ControlService(member=self.tasks[name])

    def kill(self, name):
        del self.tasks[name], self.services[name]

    async def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for task in list(self.tasks.values()):
                task.tick()
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)

    def owners(self):
        return {
            grant.pool: name
            for name in self.tasks
            for grant in self.grants[name]
            if grant.share is share.Share.FULL
        }

    def coordinator(self):
        return next(name for name, task in self.tasks.items() if task.is_coordinator)


class OneRegionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against pools without an owner, or with several, in a region of three instances."""

    async def asyncSetUp(self):
        self.fleet = _Fleet()
        for name in ("p", "q", "r"):
            self.fleet.start(name)
        await self.fleet.run(6)

    async def test_grants_and_directory_agree(self):
        """Guards against lookups that return an instance other than the owner.

        Grants and directories reach the instances in the same replies; both must name one owner.
        """
        owners = self.fleet.owners()
        self.assertEqual(collections.Counter(owners.values()), {"p": 1, "q": 1, "r": 1})
        for task in self.fleet.tasks.values():
            owners_in_directory = {pool: task.directory.owner(pool).name for pool in owners}
            self.assertEqual(owners_in_directory, owners)
            self.assertEqual(
                {instance.name for instance in task.directory.instances("bkk")}, {*"pqr"}
            )

    async def test_pools_have_owners_after_the_coordinator_was_killed(self):
        """Guards against pools without an owner after the coordinator has crashed.

        The crashed instance must also disappear from the directories.
        """
        coordinator = self.fleet.coordinator()
        self.fleet.kill(coordinator)
        await self.fleet.run(3)
        self.assertEqual(len(self.fleet.owners()), 3)
        for task in self.fleet.tasks.values():
            self.assertTrue(task.directory.is_gone(coordinator, "1"))
            self.assertIsNone(task.directory.instance(coordinator))

    async def test_refused_call_moves_pools_at_once(self):
        """Guards against waiting for missed heartbeats although a peer saw a refused connection."""
        coordinator = self.fleet.coordinator()
        name, caller = (member for member in self.fleet.tasks if member != coordinator)
        self.fleet.kill(name)
        with self.assertRaises(rpc_client.ConnectionRefusedByPeerError):
            await self.fleet.networks[caller].call(name, "identify", timeout_s=1)
        await self.fleet.run(3 * STEP_S)
        self.assertEqual(len(self.fleet.owners()), 3)

    async def test_join_through_peers_while_table_is_down(self):
        """Guards against an instance that cannot join during an outage of the table service.

        Only the coordinator must keep running, since no instance can take over from it.
        """
        self.fleet.table.faults.down = True
        self.fleet.start("s", seeds=("q",))
        await self.fleet.run(4)
        self.assertTrue(self.fleet.tasks["s"].in_contact)
        needed = [name for name, task in self.fleet.tasks.items() if task.must_stay]
        self.assertEqual(needed, [self.fleet.coordinator()])
        self.assertEqual(len(self.fleet.owners()), 3)

    async def test_coordinator_stays_after_a_lost_answer_of_the_table(self):
        """Guards against a coordinator that resigns after the response to a row write was lost."""
        coordinator = self.fleet.coordinator()
        self.fleet.table.faults.lost_answers = 1
        await self.fleet.run(5)
        self.assertEqual((self.fleet.coordinator(), len(self.fleet.owners())), (coordinator, 3))

    async def test_leaving_hands_over_slots_in_use(self):
        """Guards against a new owner that uses slots which requests of the previous one occupy."""
        pool, name = next(iter(self.fleet.owners().items()))
        self.fleet.pool_reports[name] = {
            pool: region.PoolReport(share=share.Share.NONE, in_use={"s": 2}, busy_s=5.0)
        }
        self.fleet.tasks[name].leave()
        observed_grants = []
        for _ in range(20):
            await self.fleet.run(STEP_S)
            observed_grants += [grant for grants in self.fleet.grants.values() for grant in grants]
        inherited_grants = [
            grant for grant in observed_grants if grant.pool == pool and grant.inherited
        ]
        self.assertEqual(
            {(grant.previous.name, grant.inherited["s"]) for grant in inherited_grants}, {(name, 2)}
        )
        self.assertNotIn(name, self.fleet.owners().values())

    async def test_isolated_holder_keeps_offline_share(self):
        """Guards against a partitioned owner that uses more than its offline share.

        Another instance gets the rest, the reduced share, and the pool has a full owner again once
        the partition has ended.
        """
        name = next(member for member in self.fleet.tasks if member != self.fleet.coordinator())
        self.fleet.cut = {name}
        await self.fleet.run(4)
        self.assertEqual([grant.share for grant in self.fleet.grants[name]], [share.Share.OFFLINE])
        shares = [
            grant.share for other in "pqr" if other != name for grant in self.fleet.grants[other]
        ]
        self.assertEqual(shares.count(share.Share.REDUCED), 1)
        self.fleet.cut = set()
        await self.fleet.run(3)
        self.assertEqual(len(self.fleet.owners()), 3)

    async def test_newer_revision_is_reported(self):
        """Guards against an instance that is not notified of a newer policy revision."""
        self.fleet.start("s", revision=6)
        await self.fleet.run(2)
        self.assertIn(("s", 7, self.fleet.coordinator()), self.fleet.newer_revisions)


class RegionsTest(unittest.IsolatedAsyncioTestCase):
    async def test_directories_reach_all_regions(self):
        """Guards against lookups that return instances of their own region only.

        Coordinators must exchange directories also during an outage of the table service.
        """
        fleet = _Fleet(("bkk", "cnx"))
        for name, region_name in (("p", "bkk"), ("q", "bkk"), ("x", "cnx"), ("y", "cnx")):
            fleet.start(name, region_name=region_name)
        await fleet.run(8)
        fleet.table.faults.down = True
        fleet.tasks["y"].leave()
        await fleet.run(8)
        for task in fleet.tasks.values():
            self.assertEqual({instance.name for instance in task.directory.instances()}, {*"pqxy"})
            self.assertEqual(task.directory.instance("y").state, region.LEAVING)
            for pool in fleet.policy.pools():
                self.assertIsNotNone(task.directory.owner(pool))
        fleet.kill("y")
        await fleet.run(8)
        self.assertTrue(fleet.tasks["p"].directory.is_gone("y", "1"))


class ConversionTest(unittest.TestCase):
    def test_heartbeat_survives_the_codec(self):
        """Guards against heartbeat fields that are lost in the conversion to Thrift and back."""
        me = region.Instance(name="p", incarnation="1", rpc_address="a:1", region="bkk")
        pool = model.PoolKey(service="desk", region="bkk", shard=2)
        report = region.PoolReport(
            share=share.Share.REDUCED, in_use={"s": 1}, busy_s=1.0, rate_per_s=2.0, queue_length=3
        )
        sent = region.Heartbeat(
            sender=me, epoch=4, promise=True, echo_s=1.5, applied_seq=9, pools={pool: report}
        )
        for heartbeat in (sent, dataclasses.replace(sent, echo_s=None, promise=False)):
            message = control_conversion.to_heartbeat(heartbeat, directory_mark=1, revision=2)
            self.assertEqual(
                control_conversion.from_heartbeat(_encode_and_decode(message)), heartbeat
            )


if __name__ == "__main__":
    unittest.main()

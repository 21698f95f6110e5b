"""Tests of the configuration task and of the handlers for operators and peers."""

import asyncio
import inspect
import json
import unittest

import config_fakes as fakes

from sassafrasway_core import documents, errors, model
from sassafrasway_entry import config_store
from sassafrasway_platform import memory, table
from sassafrasway_rpc import schema


def _meta(change_id, base_revision=None):
    return schema.config.ChangeMeta(change_id=change_id, author="a", base_revision=base_revision)


class _TestCase(unittest.IsolatedAsyncioTestCase):
    """Starts three instances that share a table and have all received the first change."""

    async def asyncSetUp(self):
        self.network = {}
        self.rows = memory.MemoryTable()
        self.one, self.two, self.three = (self.start(name) for name in ("one", "two", "three"))
        await self.one.config.apply(fakes.change(0, "first", **fakes.FIRST_SECTIONS))
        await self.settle()

    def start(self, name):
        return fakes.Instance(self.network, self.rows, name)

    async def settle(self):
        """Runs all tasks until pushes, and the fetches that they cause, have ended."""
        loops = [asyncio.create_task(instance.config.run()) for instance in self.network.values()]
        for _ in range(100):
            await asyncio.sleep(0)
            await asyncio.gather(
                *(instance.config.wait_for_pushes() for instance in self.network.values())
            )
        for loop in loops:
            loop.cancel()
        await asyncio.gather(*loops, return_exceptions=True)


class ConfigTaskTest(_TestCase):
    """Guards against changes that are lost, applied twice or reverted, and against old policies."""

    async def test_accepted_change_reaches_all_instances(self):
        """Guards against instances that keep an old policy because a push does not reach them."""
        self.assertEqual(
            [instance.config.revision for instance in self.network.values()], [1, 1, 1]
        )
        self.assertEqual(self.three.config.blocks.region_of("10.1.1.1"), "bkk")
        await self.two.config.apply(fakes.change(1, "c2", blocks={"10.0.0.0/8": {"region": "hkt"}}))
        await self.two.config.wait_for_pushes()
        self.assertEqual(self.three.config.blocks.region_of("10.1.1.1"), "hkt")
        self.assertEqual(self.three.revisions, [1, 2])

    async def test_only_one_of_two_concurrent_changes_is_accepted(self):
        """Guards against a change that silently overwrites another one.

        Two instances accept changes that are based on the same revision; only one may succeed.
        """
        results = await asyncio.gather(
            self.one.config.apply(fakes.change(1, "c-one", regions={"cnx": {}})),
            self.two.config.apply(fakes.change(1, "c-two", regions={"cnx": {"cap_rps": 5}})),
            return_exceptions=True,
        )
        kinds = sorted(type(result).__name__ for result in results)
        self.assertEqual(kinds, ["Applied", "ConflictError"])
        await self.settle()
        self.assertEqual({instance.config.revision for instance in self.network.values()}, {2})

    async def test_lost_answer_is_resolved_by_reading_back(self):
        """Guards against reporting a failure for a change that is in force.

        The table service writes the change, but its response is lost.
        """
        self.one.table.faults.lost_answers = 1
        applied = await self.one.config.apply(fakes.change(1, "c2", regions={"cnx": {}}))
        self.assertEqual((applied.revision, self.one.config.revision), (2, 2))

    async def test_retry_after_lost_answer_is_applied_once(self):
        """Guards against applying a change twice.

        The table service writes the change and then becomes unavailable, so the operator gets an
        error and sends the same change again through another instance.
        """
        change = fakes.change(1, "c2", regions={"cnx": {}})
        self.one.table.faults.down_after_write = True
        with self.assertRaises(errors.UnavailableError):
            await self.one.config.apply(change)
        applied = await self.two.config.apply(change)
        self.assertEqual((applied.revision, applied.already_applied), (2, True))
        self.assertEqual((await self.two.config.records(limit=5))[0].change, change)
        self.assertEqual(len(await self.two.config.records(limit=5)), 2)

    async def test_start_with_store_down_takes_policy_from_peer(self):
        """Guards against a new instance without a policy during an outage of the table service.

        A peer whose log is complete sends the changes; one that loaded the policy from the table
        sends the full policy.
        """
        loaded = fakes.Instance({}, self.rows, "loaded")
        await loaded.config.refresh()
        for peer, has_log in ((self.one, True), (loaded, False)):
            with self.subTest(has_log=has_log):
                self.assertEqual(peer.config.changes_since(0) is not None, has_log)
                late = fakes.Instance({"peer": peer}, self.rows, "late")
                late.table.faults.down = True
                await late.config.refresh()
                self.assertEqual(late.config.policy, self.one.config.policy)
                self.assertEqual(late.config.blocks.region_of("10.1.1.1"), "bkk")

    async def test_without_store_and_peers_there_is_no_policy(self):
        """Guards against using the empty policy of revision 0 while the actual one is unknown."""
        late = self.start("late")
        late.table.faults.down = late.cut = True
        await late.config.refresh()
        self.assertIsNone(late.config.policy)
        for call in (late.config.full_policy(), late.config.policy_at(0)):
            with self.assertRaises(errors.UnavailableError):
                await call

    async def test_partitioned_instance_never_returns_to_an_older_policy(self):
        """Guards against a return to an old policy.

        After a change, a partitioned instance is offered the earlier revision in a stale row, in a
        push and by a peer that missed the change.
        """
        stale = fakes.Instance({}, await self._copy_of_rows(), "stale")
        await stale.config.refresh()
        await self.one.config.apply(
            fakes.change(1, "c2", servers={"crew-1": {**fakes.SERVER, "state": "leaving"}})
        )
        await self.settle()
        before = self.two.config.policy
        self.one.cut = self.three.cut = True
        self.network["stale"] = stale
        self.two.table.get = stale.table.get
        await self.two.config.refresh()
        self.two.config.observe_revision(1, source="stale")
        first = json.dumps(documents.dump_change(fakes.change(0, "first", **fakes.FIRST_SECTIONS)))
        self.assertEqual(await self.two.peer_service.push_change(first, "stale"), 2)
        await self.two.config.pull("stale")
        with self.assertRaises(errors.UnavailableError):
            await self.two.config.apply(fakes.change(1, "c3", regions={"cnx": {}}))
        self.assertEqual((stale.config.revision, before.revision), (1, 2))
        self.assertIs(self.two.config.policy, before)
        self.assertEqual(self.two.revisions, [1, 2])

    async def _copy_of_rows(self):
        copy = memory.MemoryTable()
        for row in await self.rows.scan(""):
            await copy.put(row.key, row.value, if_version=table.ABSENT)
        return copy

    async def test_missed_changes_are_pulled(self):
        """Guards against an instance that stays behind because it missed pushes in a partition."""
        self.three.cut = self.three.table.faults.down = True
        for base in range(1, 4):
            await self.one.config.apply(fakes.change(base, f"c{base}", regions={f"r{base}": {}}))
        await self.settle()
        self.assertEqual(self.three.config.revision, 1)
        self.three.cut = False
        await self.one.config.apply(fakes.change(4, "c4", regions={"r4": {}}))
        await self.settle()
        self.assertEqual((self.three.config.revision, self.three.revisions), (5, [1, 2, 3, 4, 5]))

    async def test_fresh_instance_reads_document_and_changes(self):
        """Guards against a wrong policy when it is built from a document and later changes."""
        last = config_store.DOCUMENT_INTERVAL + 2
        for base in range(1, last):
            await self.one.config.apply(fakes.change(base, f"c{base}", regions={f"r{base}": {}}))
        fresh = fakes.Instance({}, self.rows, "fresh")
        await fresh.config.refresh()
        self.assertEqual(fresh.config.policy, self.one.config.policy)
        self.assertEqual(fresh.revisions, [last])
        self.assertEqual(await fresh.config.find_change(f"c{last - 1}"), last)
        self.assertEqual(set((await fresh.config.policy_at(2)).regions), {"bkk", "hkt", "r1"})

    async def test_malformed_rows_keep_the_policy(self):
        """Guards against a malformed row that replaces the policy or ends the task.

        The task continues only after a ``SassafraswayError``, so a malformed row must raise one.
        """
        for value in (b"{", b"[]", b'{"revision": "9", "change_ids": {}}'):
            row = await self.rows.get("config/head")
            await self.rows.put("config/head", value, if_version=row.version)
            with self.subTest(value=value), self.assertRaises(config_store.MalformedRowError):
                await self.one.config.refresh()
            self.assertEqual(self.one.config.revision, 1)


class OperatorServiceTest(_TestCase):
    """Guards against operator calls that have a wrong effect or fail without a usable error."""

    async def test_invalid_changes_are_rejected(self):
        """Guards against invalid changes that are written to the table."""
        cases = [
            ("{", "malformed JSON"),
            ('{"base_revision": 1, "base_revision": 2}', "occurs twice"),
            (self._json(servers={"crew-2": {**fakes.SERVER, "weight": 1}}), "unknown key"),
            (self._json(regions={"bkk": {"cap_rps": -1}}), "'cap_rps': -1 is invalid; .*requests"),
            (self._json(servers={"crew-2": fakes.SERVER}), "'crew-2' key 'url'.*crew-1"),
        ]
        for text, message in cases:
            with self.subTest(message), self.assertRaisesRegex(errors.ValidationError, message):
                await self.one.operator.apply_change(text)
        self.assertEqual(self.one.config.revision, 1)

    def _json(self, **sections):
        return json.dumps(
            {"base_revision": 1, "change_id": "x", "author": "a", "sections": sections}
        )

    async def test_rollback_restores_an_older_revision(self):
        """Guards against a rollback that rewrites history or restores the wrong content.

        Also checks that repeated calls with the same change id have no further effect.
        """
        operator = self.one.operator
        shift = schema.config.ShiftSpec(
            service_name="crew-desk", source="bkk", target="hkt", cap_rps=50.0
        )
        started = await operator.start_shift("festival", shift, _meta("s1"))
        again = await operator.start_shift("festival", shift, _meta("s1"))
        self.assertEqual((started.revision, again.revision, again.already_applied), (2, 2, True))
        self.assertEqual(self.one.config.policy.shifts["festival"].cap_rps, 50)
        await operator.stop_shift("festival", _meta("s2"))
        self.assertTrue((await operator.stop_shift("festival", _meta("s2"))).already_applied)
        with self.assertRaises(errors.NotFoundError):
            await operator.stop_shift("festival", _meta("s3"))
        with self.assertRaises(errors.ConflictError):
            await operator.rollback(2, _meta("r", base_revision=2))
        self.assertEqual((await operator.rollback(2, _meta("r"))).revision, 4)
        self.assertIn("festival", self.one.config.policy.shifts)
        with self.assertRaises(errors.NotFoundError):
            await operator.rollback(9, _meta("r2"))
        reply = await operator.get_policy(None)
        self.assertEqual(reply.document_json, (await operator.get_policy(2)).document_json)
        history = await operator.history(2, None)
        self.assertEqual([entry.change_id for entry in history], ["r", "s2"])
        self.assertEqual([entry.revision for entry in await operator.history(9, 3)], [2, 1])

    async def test_change_without_base_survives_a_concurrent_change(self):
        """Guards against a drain that fails because the policy changed at the same time.

        A change without a base revision is rebuilt on the new policy and applied again.
        """
        await asyncio.gather(
            self.one.operator.drain(schema.config.DrainKind.SERVER, "crew-1", _meta("d"), False),
            self.two.config.apply(fakes.change(1, "c", regions={"cnx": {}})),
            return_exceptions=True,
        )
        await self.settle()
        policy = self.two.config.policy
        self.assertIs(policy.servers["crew-1"].state, model.ServerState.LEAVING)
        await self.two.operator.drain(schema.config.DrainKind.SERVER, "crew-1", _meta("u"), True)
        state = self.two.config.policy.servers["crew-1"].state
        self.assertIs(state, model.ServerState.ACTIVE)

    async def test_drain_stops_only_the_named_instance(self):
        """Guards against draining an instance other than the named one."""
        kind = schema.config.DrainKind.INSTANCE
        await self.one.operator.drain(kind, "two", _meta("d"), False)
        self.assertEqual((self.one.left, self.two.left), (False, True))
        await self.one.operator.drain(kind, "one", _meta("d"), False)
        self.assertTrue(self.one.left)
        with self.assertRaises(errors.NotFoundError):
            await self.one.operator.drain(kind, "nine", _meta("d"), False)
        with self.assertRaises(errors.NotFoundError):
            await self.one.peer_service.drain_instance("two", "a")

    async def test_handlers_match_the_schema(self):
        """Guards against handler signatures that differ from the Thrift schema.

        The server passes arguments by name, so a mismatch fails only when a call arrives.
        """
        pairs = [
            (schema.config.Operator, self.one.operator),
            (schema.config.Config, self.one.peer_service),
        ]
        for service, handler in pairs:
            for method in service.thrift_services:
                parameters = inspect.signature(getattr(handler, method)).parameters
                arguments = vars(getattr(service, f"{method}_args")())
                with self.subTest(method=method):
                    self.assertEqual(list(parameters), list(arguments))

    async def test_missing_arguments_are_validation_errors(self):
        """Guards against internal errors when another Thrift client leaves arguments unset."""
        operator = self.one.operator
        calls = [
            operator.apply_change(None),
            operator.rollback(None, None),
            operator.rollback(0, None),
            operator.start_shift(None, None, None),
            operator.drain(None, None, None, None),
            operator.history(0, None),
            self.one.peer_service.push_change(None, None),
        ]
        for call in calls:
            with self.subTest(call=call.__name__), self.assertRaises(errors.ValidationError):
                await call
        self.assertEqual(json.loads(await operator.status())["revision"], 1)


if __name__ == "__main__":
    unittest.main()

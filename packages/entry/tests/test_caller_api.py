"""Tests of the HTTP API for callers: invalid input, lookups and outcomes."""

import random
import unittest

import entry_fakes as fakes
from aiohttp import test_utils

from sassafrasway_core import at_most_once, lookup, model
from sassafrasway_entry import caller_api, messages, recorder, settings, steering, telemetry

_SERVICES = ("crew-desk", "quote-archive")


class _Runner:
    """Fake of both the dispatcher and the gatekeeper; records requests."""

    def __init__(self):
        self.requests = []

    async def run(self, request):
        self.requests.append(request)
        return messages.Response(
            outcome=messages.Outcome.RAN, status=201, headers=(("X-A", "b"),), body=request.body
        )

    handle = run


class CallerApiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        clock = fakes.system_clock()
        self.runner = _Runner()
        self.is_ready = True
        self.steering = steering.Steering(region="bkk", clock=clock, rng=random.Random(1))
        servers = [
            fakes.server(f"{service}-{region}", service=service, region_name=region)
            for service in _SERVICES
            for region in ("bkk", "cnx")
        ]
        policy = fakes.policy(servers=servers)
        self.steering.set_policy(policy, lookup.BlockTable(blocks=policy.blocks.values()))
        names = [("a", "bkk"), ("b", "bkk"), ("c", "cnx"), ("d", "cnx"), ("e", "bkk")]
        known = [fakes.instance(name, region_name=region) for name, region in names]
        owners = {
            model.PoolKey(service=service, region=region): known[0 if region == "bkk" else 2]
            for service in _SERVICES
            for region in ("bkk", "cnx")
        }
        api = caller_api.CallerApi(
            me=fakes.ME,
            clock=clock,
            rng=random.Random(1),
            limits=settings.LimitsSection(max_body_bytes=1000, max_header_bytes=2000),
            steering=self.steering,
            directory=fakes.FakeDirectory(owners=owners, known=known),
            dispatcher=self.runner,
            gatekeeper=self.runner,
            metrics=telemetry.Metrics(instance="a", section=settings.TelemetrySection()),
            record=recorder.Recorder(path=None, instance="a"),
            names_owners=True,
            ready=lambda: self.is_ready,
        )
        self.client = test_utils.TestClient(test_utils.TestServer(api.build()))
        await self.client.start_server()

    async def asyncTearDown(self):
        await self.client.close()

    async def _lookup(self, **query):
        return await self.client.get("/v1/lookup", params=query)

    async def _assert_refused(self, response, status, reason):
        self.assertEqual(response.status, status)
        self.assertEqual(response.headers["Sassafras-Outcome"], "not-run")
        self.assertEqual((await response.json())["reason"], reason)
        self.assertEqual(self.runner.requests, [])

    async def test_lookup_names_the_owner_of_the_home_pool_first(self):
        """Guards against lookup responses that do not list the owner of the home pool first.

        Every request would then be forwarded once more. The ticket must name the same instance.
        """
        response = await self._lookup(service="crew-desk", client="10.1.2.3")
        body = await response.json()
        names = [instance["name"] for instance in body["instances"]]
        self.assertEqual((body["region"], names[0], len(names)), ("cnx", "c", 4))
        ticket = at_most_once.Ticket.parse(body["ticket"])
        self.assertEqual(ticket.holder.name, "c")
        self.assertEqual(len(set(names)), 4)

    async def test_lookup_of_an_idempotent_service_has_no_ticket(self):
        """Guards against a ticket for an idempotent service, which would prevent caching."""
        body = await (await self._lookup(service="quote-archive", client="10.0.0.1")).json()
        self.assertNotIn("ticket", body)
        self.assertGreater(body["ttl_s"], 0)

    async def test_invalid_lookups_are_refused_with_a_reason(self):
        """Guards against an invalid lookup that succeeds or fails with the wrong reason."""
        unknown_service = await self._lookup(service="nope", client="10.0.0.1")
        await self._assert_refused(unknown_service, 404, "unknown_service")
        bad_client = await self._lookup(service="crew-desk", client="lobby")
        await self._assert_refused(bad_client, 400, "bad_request")
        unknown_block = await self._lookup(service="crew-desk", client="192.0.2.1")
        await self._assert_refused(unknown_block, 404, "unknown_client_block")
        self.is_ready = False
        not_ready = await self._lookup(service="crew-desk", client="10.0.0.1")
        await self._assert_refused(not_ready, 503, "not_ready")

    async def test_request_passes_body_headers_and_path(self):
        """Guards against changes to a request or response that passes through the API."""
        response = await self.client.post(
            "/v1/services/quote-archive/a%20b?x=1", data=b"body", headers={"X-Own": "1"}
        )
        request = self.runner.requests[0]
        self.assertEqual((request.path, request.body), ("/a%20b?x=1", b"body"))
        self.assertIn(("X-Own", "1"), request.headers)
        self.assertEqual(response.headers["Sassafras-Outcome"], "ran")
        self.assertEqual((response.status, response.headers["X-A"]), (201, "b"))
        self.assertEqual(await response.read(), b"body")

    async def test_invalid_requests_are_refused_with_a_reason(self):
        """Guards against running an invalid request or refusing it with the wrong reason."""
        post = self.client.post
        await self._assert_refused(await post("/v1/services/nope/x"), 404, "unknown_service")
        await self._assert_refused(await post("/v1/services/crew-desk/x"), 400, "key_required")
        oversized = await post("/v1/services/quote-archive/x", data=b"x" * 1001)
        await self._assert_refused(oversized, 413, "body_too_large")
        header = await post("/v1/services/quote-archive/x", headers={"X-Big": "x" * 2001})
        await self._assert_refused(header, 431, "header_too_large")
        for name, value in (
            ("Sassafras-Deadline-Ms", "soon"),
            ("Sassafras-Deadline-Ms", "600001"),
            ("Sassafras-Client", "lobby"),
            ("Idempotency-Key", "k" * 256),
        ):
            with self.subTest(name=name, value=value):
                bad = await post("/v1/services/quote-archive/x", headers={name: value})
                await self._assert_refused(bad, 400, "bad_request")

    async def test_request_with_an_expired_deadline_is_refused(self):
        """Guards against running a request whose deadline has already passed."""
        for value in ("0", "-5"):
            response = await self.client.post(
                "/v1/services/quote-archive/x", headers={"Sassafras-Deadline-Ms": value}
            )
            await self._assert_refused(response, 504, "deadline")

    async def test_response_to_an_unknown_path_has_an_outcome(self):
        """Guards against an error response without an outcome."""
        response = await self.client.get("/elsewhere")
        await self._assert_refused(response, 404, "bad_request")


if __name__ == "__main__":
    unittest.main()

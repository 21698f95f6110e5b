"""Tests of explanations of routing decisions."""

import asyncio
import json
import random
import types
import unittest
import urllib.parse

import gateway_fakes
import quota_simulation
import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import (
    admin,
    admission,
    balancer,
    explain,
    memory_budget,
    messages,
    metrics,
    model,
    response_gate,
    routing,
)

KEY = "secret-key-of-org"
ORGANISATION = model.Organisation(
    name="org", keys=frozenset({KEY}), priority=0, rate_per_s=3.0, burst=1.0
)
OTHER = model.Organisation(name="other", keys=frozenset({"second-secret"}), priority=1)
SPLIT = (
    model.WeightedService(service="new", weight=1.0),
    model.WeightedService(service="desk", weight=9.0),
)
ROUTES = (
    gateway_fakes.make_route(),
    gateway_fakes.make_route(name="open", prefix="/open/", anonymous=True, sticky=False),
    gateway_fakes.make_route(name="split", prefix="/split/", services=SPLIT),
    gateway_fakes.make_route(
        name="south", prefix="/south/", idempotent=False, home_regions=frozenset({"south"})
    ),
)


class Instance:
    """State of one instance, drawn at random from a seed."""

    def __init__(self, seed, *, servers=12, organisations=()):
        rng = random.Random(seed)
        self.clock = clock_lib.ManualClock()
        self.clock.advance(100.0)
        by_name = {entry.name: entry for entry in organisations}
        policy = model.Policy(
            version=7, routes=ROUTES, services={}, limits=model.Limits(), organisations=by_name
        )
        domains = sorted(gateway_fakes.REGION_OF)
        self.registry = gateway_fakes.make_registry(
            [
                gateway_fakes.make_server(
                    f"s{index}", domain=rng.choice(domains), draining=rng.random() < 0.1
                )
                for index in range(servers)
            ],
            clock=self.clock,
        )
        cold_limit = gateway_fakes.FixedColdLimit(allowed=rng.random() < 0.5)
        self.chooser = gateway_fakes.make_balancer(
            self.registry, clock=self.clock, cold_limit=cold_limit, rng=random.Random(seed)
        )
        self.admission_control = admission.AdmissionControl(clock=self.clock)
        self.admission_control.set_policy(policy)
        self.budget = memory_budget.MemoryBudget(capacity_bytes=1_000_000)
        self.gate = response_gate.ResponseGate(budget=self.budget, rng=random.Random(seed))
        self.keys_expired = False
        self.policy_state = types.SimpleNamespace(
            policy=policy, routes=routing.RouteTable(routes=ROUTES)
        )
        self.explainer = self.make_explainer()
        busy = rng.choice((2, 4, 12))
        for state in self.registry:
            self.draw(state, rng, busy)
        if rng.random() < 0.2:
            self.registry.set_evacuated({"a-2"})

    def make_explainer(self, rate_limiter=None):
        return explain.Explainer(
            clock=self.clock,
            instance="i",
            region="north",
            policy_state=self.policy_state,
            registry=self.registry,
            chooser=self.chooser,
            admission_control=self.admission_control,
            keys_expired=lambda: self.keys_expired,
            rate_limiter=rate_limiter,
            gate=self.gate,
        )

    def draw(self, state, rng, busy):
        now_s = self.clock.monotonic()
        if rng.random() < 0.7:
            self.registry.on_load(
                state, rng.randrange(4), rng.randrange(busy), slowdown=rng.choice((1.0, 2.5))
            )
        state.outstanding = rng.randrange(busy)
        state.error_rate = rng.choice((0.0, 0.3))
        state.on_trial = rng.random() < 0.1
        for field in ("cold_until_s", "rest_until_s", "ejected_until_s"):
            if rng.random() < 0.15:
                setattr(state, field, now_s + rng.random())
        if rng.random() < 0.1:
            self.registry.on_leaving(state)
        if rng.random() < 0.3:
            self.chooser.on_response(state.server.server_id, "o1")

    def choose(self, query):
        """Selects a server as the forwarder would."""
        route = self.policy_state.routes.match(query.host, query.target)
        remaining_s = min(route.timeout_s, query.time_left_s or route.timeout_s)
        key = query.object_key
        fields = {"object_key": key, "names_object": bool(key), "remaining_s": remaining_s}
        return self.chooser.choose(gateway_fakes.make_criteria(route, **fields))


def draw_query(rng):
    """Returns a query for an object or for none."""
    prefix, object_key = rng.choice(
        (("/p/", "o1"), ("/p/", "o2"), ("/p/", ""), ("/open/", ""), ("/south/", "o1"))
    )
    time_left_s = rng.choice((None, 0.1, 0.5))
    target = f"{prefix}x?y=1"
    return explain.Query(
        host="h.example:80", target=target, object_key=object_key, time_left_s=time_left_s
    )


def decision_of(choice):
    """Returns the parts of a choice that a decision contains."""
    if choice.state is None:
        return None, choice.refusal.value, choice.retry_after_s
    return choice.state.server.server_id, None, None


class AgreementTest(unittest.TestCase):
    """Guards against explanations that differ from what the instance does, or change it."""

    def test_decision_is_that_of_the_next_selection(self):
        """Guards against a second logic of selection that differs from the first."""
        rng = random.Random(1)
        results = set()
        for seed in range(300):
            instance = Instance(seed, servers=rng.choice((1, 4, 40)))
            query = draw_query(rng)
            explanation = instance.explainer.explain(query)
            decision = explanation["decision"]
            expected = decision_of(instance.choose(query))
            with self.subTest(seed=seed):
                self.assertEqual(
                    (decision["server"], decision["reason"], decision["retry_after_s"]), expected
                )
                selected = [row["id"] for row in explanation["servers"] if row["selected"]]
                self.assertEqual(selected, [decision["server"]] if decision["server"] else [])
                counted = len(explanation["servers"]) + sum(explanation["excluded"].values())
                self.assertEqual(counted, len(instance.registry))
                leaving = sum(state.leaving for state in instance.registry)
                self.assertEqual(explanation["excluded"].get("leaving", 0), leaving)
            results.add(decision["reason"])
        self.assertEqual(results, {None, *(entry.value for entry in balancer.Refusal)})

    def test_explaining_changes_nothing(self):
        """Guards against an explanation that draws numbers or marks servers."""
        for seed in range(50):
            plain, explained = Instance(seed), Instance(seed)
            rng = random.Random(seed)
            for _ in range(20):
                query = draw_query(rng)
                explained.explainer.explain(query)
                choices = [decision_of(entry.choose(query)) for entry in (plain, explained)]
                self.assertEqual(*choices)
            states = [[repr(state) for state in entry.registry] for entry in (plain, explained)]
            self.assertEqual(*states)

    def test_admission_control_is_explained_and_not_changed(self):
        """Guards against a bound that differs from the one in force, and against its change."""
        entries = [Instance(1, organisations=(ORGANISATION, OTHER)) for _ in range(2)]
        requests = {
            entry.name: admission.RequestClass(
                service="desk", route="r", priority=entry.priority, organisation=entry.name
            )
            for entry in (ORGANISATION, OTHER)
        }

        def finish(name, results):
            for entry in entries:
                for served in results:
                    entry.admission_control.on_finished(requests[name], served=served)

        def preview(name):
            query = explain.Query(host="h.example", target="/p/", organisation=name)
            return entries[0].explainer.explain(query)["admission"]

        finish("org", [True] * 20)
        finish("other", [True] * 6 + [False] * 14)
        for entry in entries:
            for _ in range(10):
                entry.admission_control.on_overloaded(requests["org"])
        # A request at this moment would count as one of a group that has fallen behind, until the
        # group has caught up. The explanation says so, but does not make it so.
        self.assertIn("organisation other", preview("other")["behind"])
        self.assertEqual(preview("other")["max_waiting_per_slot"], balancer.MAX_WAITING_PER_SLOT)
        finish("other", [True] * 8)
        for name, shed in (("other", True), ("org", False)):
            shown = preview(name)
            bounds = [
                entry.admission_control.max_waiting_per_slot(requests[name]) for entry in entries
            ]
            self.assertEqual(bounds, [shown["max_waiting_per_slot"]] * 2)
            self.assertEqual(bounds[0] < balancer.MAX_WAITING_PER_SLOT, shed)
            self.assertTrue(shown["shedding"])

    def test_short_memory_is_explained_and_ends_no_response(self):
        """Guards against an explanation that ends the responses of slow readers."""
        instance = Instance(1)
        route = ROUTES[0]
        instance.gate.on_response(route, 300_000)
        ended = []
        reservation = instance.budget.reserve(lambda: ended.append(1))
        reservation.resize(700_000)
        query = explain.Query(host="h.example", target="/p/", object_key="o1")
        decision = instance.explainer.explain(query)["decision"]
        self.assertEqual(
            (decision["status"], decision["reason"]), (503, "no memory for the response")
        )
        self.assertIsNone(instance.gate.admit(route))
        reservation.stalled = True
        self.assertFalse(instance.explainer.explain(query)["memory"]["short"])
        self.assertEqual((ended, instance.gate.promised_bytes), ([], 0))
        self.assertIsNotNone(instance.gate.admit(route))

    def test_rate_limit_is_explained_without_taking_a_token(self):
        """Guards against explanations that use up an organisation's limit."""
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        self.addCleanup(structlog.reset_defaults)
        instance = Instance(1, organisations=(ORGANISATION, OTHER))
        simulation = quota_simulation.Simulation(count=1, organisations=(ORGANISATION,), seed=1)
        simulation.run(1.0)
        limiter = next(iter(simulation.live())).limiter
        explainer = instance.make_explainer(limiter)
        query = explain.Query(host="h.example", target="/p/", organisation="org", object_key="o1")
        granted = 0
        while explainer.explain(query)["rate_limit"]["outlook"] == "token":
            for _ in range(30):
                explainer.explain(query)
            results = []
            limiter.request("org", types.SimpleNamespace(done=False, deliver=results.append))
            simulation.run(0.2)
            self.assertTrue(results[0].valid_until_s)
            granted += 1
        self.assertGreater(granted, 1)
        decision = explainer.explain(query)["decision"]
        self.assertEqual((decision["server"], decision["status"]), (None, 429))
        self.assertGreater(decision["retry_after_s"], 0.0)


class ContentTest(unittest.TestCase):
    """Guards against explanations that are wrong, too large or contain keys."""

    def setUp(self):
        self.instance = Instance(4, organisations=(ORGANISATION, OTHER))
        self.handler = admin.AdminHandler(
            metrics=metrics.GatewayMetrics(), dump=dict, explainer=self.instance.explainer
        )

    def get(self, query, method=b"GET"):
        if not isinstance(query, str):
            query = urllib.parse.urlencode({"host": "h.example", "target": "/p/1", **query})
        target = f"/explain?{query}".encode()
        request = messages.Request(method=method, target=target, headers=[])
        return asyncio.run(self.handler.handle(request))

    def explain(self, **query):
        response = self.get(query)
        self.assertEqual(response.status, 200, response.body)
        return json.loads(response.body)

    def test_route_service_and_organisation(self):
        """Guards against an explanation of another route, service or organisation."""
        value = self.explain(target="/split/1", organisation="other", time_left_ms=700)
        self.assertEqual((value["policy_version"], value["route"]["name"]), (7, "split"))
        self.assertEqual(value["service"]["name"], "desk")
        weights = {part["service"]: part["weight"] for part in value["service"]["split"]}
        self.assertEqual(weights, {"new": 1.0, "desk": 9.0})
        self.assertEqual((value["organisation"]["name"], value["priority"]), ("other", 1))
        self.assertEqual((value["remaining_s"], value["allowed_regions"]), (0.7, None))
        south = self.explain(target="/south/1", organisation="org", object="o1")
        self.assertEqual(south["allowed_regions"], ["south"])
        self.assertEqual({row["region"] for row in south["servers"]}, {"south"})
        self.assertGreater(south["excluded"]["other_region"], 0)
        self.assertIsNone(self.explain(target="/open/1", organisation="org")["organisation"])

    def test_refusals_before_the_selection(self):
        """Guards against a server in the explanation of a request that would be refused."""
        for query, status in (({}, 401), ({"organisation": "org", "time_left_ms": 0}, 408)):
            decision = self.explain(**query)["decision"]
            self.assertEqual((decision["server"], decision["status"]), (None, status))
        decision = self.explain(organisation="org", time_left_ms=10)["decision"]
        self.assertEqual((decision["reason"], decision["status"]), ("no time left", 503))
        self.instance.keys_expired = True
        self.assertEqual(self.explain(organisation="org")["decision"]["status"], 503)
        self.assertIsNotNone(self.explain(target="/open/1")["servers"])

    def test_errors(self):
        """Guards against unclear errors, and explanations of mistyped requests."""
        cases = [
            ("", 400, "'host' is missing"),
            ("host=h.example", 400, "'target' is missing"),
            ("host=h.example&target=p", 400, "start with '/'"),
            ("host=h.example&target=/p/%C3%A9", 400, "must be encoded"),
            ("host=h.example&target=/p/%FF", 400, "malformed"),
            ("host=h.example&target=/p/&host=h", 400, "twice"),
            ("host=h.example&target=/p/&object=", 400, "empty"),
            ("&".join(f"host={i}" for i in range(30)), 400, "malformed"),
            ({"time_left_ms": "-1"}, 400, "time_left_ms"),
            ({"method": "GET /"}, 400, "method"),
            ({"organization": "org"}, 400, "unknown parameter"),
            ({"host": "other.example"}, 404, "no route for other.example/p/1"),
            ({"organisation": "nobody"}, 404, "unknown organisation"),
            ({"target": "/open/1", "organisation": KEY}, 404, "unknown organisation"),
        ]
        for query, status, text in cases:
            with self.subTest(query):
                response = self.get(query)
                self.assertEqual(response.status, status, response.body)
                self.assertIn(text, response.body.decode())
                self.assertNotIn(KEY, response.body.decode())
        self.assertEqual(self.get({}, method=b"POST").status, 405)
        self.instance.policy_state.policy = None
        response = self.get({})
        self.assertEqual((response.status, response.body), (503, b"no policy"))

    def test_no_key_in_any_explanation(self):
        """Guards against keys of organisations that operators can read."""
        for organisation in ("org", "other", None):
            for target in ("/p/1", "/open/1", "/split/1", "/south/1"):
                query = {"organisation": organisation} if organisation else {}
                body = self.get({"target": target, **query}).body
                self.assertNotIn(b"secret", body)

    def test_size_does_not_grow_with_the_service(self):
        """Guards against answers that list all servers of a large service."""
        self.instance = Instance(3, servers=3000, organisations=(ORGANISATION,))
        self.handler = admin.AdminHandler(
            metrics=metrics.GatewayMetrics(), dump=dict, explainer=self.instance.explainer
        )
        for query in ({"object": "o1"}, {}):
            response = self.get({"organisation": "org", **query})
            self.assertLessEqual(len(json.loads(response.body)["servers"]), explain.MAX_LISTED)
            self.assertLess(len(response.body), 16 * 1024)


if __name__ == "__main__":
    unittest.main()

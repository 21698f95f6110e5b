"""Tests of the keys of organisations: which requests are admitted, and what servers are told."""

import dataclasses
import unittest

import gateway_fakes

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import jobs, messages, model, organisations, routing

NAMES = gateway_fakes.NAMES
FIRST = model.Organisation(name="first", keys=frozenset({"k1", "k2"}), priority=0)
SECOND = model.Organisation(name="second", keys=frozenset({"k3"}), home_regions=frozenset({"b"}))


class FakePolicyState:
    """Policy state whose policy can be replaced."""

    def __init__(self, *, route, listed):
        self.apply(route, listed)

    def apply(self, route, listed):
        self.policy = model.Policy(
            version=1,
            routes=(route,),
            services={},
            limits=model.Limits(),
            organisations={organisation.name: organisation for organisation in listed},
        )
        self.routes = routing.RouteTable(routes=[route])
        self.keys = organisations.OrganisationKeys(listed)


class AdmissionTest(unittest.TestCase):
    """Guards against requests that run with the wrong key, organisation or region."""

    def setUp(self):
        self.keys_expired = False

    def admit(self, headers=(), *, listed=(FIRST, SECOND), **route_fields):
        policy_state = FakePolicyState(
            route=gateway_fakes.make_route(**route_fields), listed=listed
        )
        return self.admit_by(policy_state, headers)

    def admit_by(self, policy_state, headers):
        admission = jobs.Admission(
            policy_state=policy_state, names=NAMES, keys_expired=lambda: self.keys_expired
        )
        request = messages.Request(
            method=b"GET",
            target=b"/p/1",
            headers=[(b"Host", b"h.example"), (NAMES.request_id, b"1"), *headers],
            received_s=clock_lib.elapsed_s(),
        )
        return admission.admit(request)

    def assert_status(self, status, *arguments, **fields):
        with self.assertRaises(jobs.NotAdmitted) as caught:
            self.admit(*arguments, **fields)
        self.assertEqual(caught.exception.status, status)
        return caught.exception

    def names_sent(self, job):
        return [value for name, value in job.request.headers if name.lower() == NAMES.organisation]

    def test_known_key_names_its_organisation(self):
        """Guards against a key that reaches a server, and against a name that a caller forged."""
        headers = [(b"Sassafras-Key", b"k2"), (b"Sassafras-Organisation", b"second")]
        job = self.admit(headers)
        self.assertIs(job.organisation, FIRST)
        self.assertEqual(self.names_sent(job), [b"first"])
        self.assertIsNone(job.request.header(NAMES.key))

    def test_unknown_missing_and_repeated_keys_are_rejected(self):
        """Guards against requests that run without a key that the policy contains."""
        key = NAMES.key
        for headers in ([], [(key, b"k9")], [(key, b"")], [(key, b"k1"), (key, b"k1")]):
            with self.subTest(headers=headers):
                self.assert_status(401, headers)

    def test_error_does_not_contain_the_key(self):
        """Guards against keys in logs and responses."""
        error = self.assert_status(401, [(NAMES.key, b"secret9")])
        self.assertNotIn("secret9", repr(error) + error.message)

    def test_anonymous_route_needs_no_key_and_sends_no_name(self):
        """Guards against a forged name, or a key, that reaches a server by an anonymous route."""
        headers = [(NAMES.key, b"k1"), (NAMES.organisation, b"second")]
        job = self.admit(headers, anonymous=True)
        self.assertIsNone(job.organisation)
        self.assertEqual(self.names_sent(job), [])
        self.assertIsNone(job.request.header(NAMES.key))

    def test_headers_pass_unchanged_if_the_policy_has_no_organisations(self):
        """Guards against a change for deployments without keys."""
        job = self.admit([(NAMES.organisation, b"x"), (NAMES.key, b"y")], listed=())
        self.assertEqual(self.names_sent(job), [b"x"])
        self.assertEqual(job.request.header(NAMES.key), b"y")

    def test_withdrawn_key_is_rejected_with_the_next_policy(self):
        """Guards against a key that works on after the policy that withdraws it."""
        route = gateway_fakes.make_route()
        policy_state = FakePolicyState(route=route, listed=[FIRST])
        self.admit_by(policy_state, [(NAMES.key, b"k1")])
        policy_state.apply(route, [dataclasses.replace(FIRST, keys=frozenset({"k2"}))])
        with self.assertRaises(jobs.NotAdmitted):
            self.admit_by(policy_state, [(NAMES.key, b"k1")])

    def test_expired_keys_are_refused_as_not_run(self):
        """Guards against keys that an instance without contact accepts although it must not."""
        self.keys_expired = True
        self.assert_status(503, [(NAMES.key, b"k1")])
        self.assertIsNone(self.admit([], anonymous=True).organisation)

    def test_priority_of_the_organisation_replaces_that_of_the_route(self):
        """Guards against urgent organisations that are treated like others."""
        self.assertEqual(self.admit([(NAMES.key, b"k1")], priority=2).priority, 0)
        self.assertEqual(self.admit([(NAMES.key, b"k3")], priority=2).priority, 2)

    def test_home_regions_of_route_and_organisation_both_bind(self):
        """Guards against requests that run outside a home of their route or organisation."""
        cases = [
            ((), b"k1", None),
            ((), b"k3", {"b"}),
            (("a", "b"), b"k1", {"a", "b"}),
            (("a", "b"), b"k3", {"b"}),
            (("a",), b"k3", set()),
        ]
        for homes, key, allowed in cases:
            with self.subTest(homes=homes, key=key):
                job = self.admit([(NAMES.key, key)], home_regions=frozenset(homes))
                self.assertEqual(job.allowed_regions, allowed)


class BalancerHomeTest(unittest.TestCase):
    """Guards against a server outside the allowed regions."""

    def test_no_server_without_a_common_home(self):
        clock = clock_lib.ManualClock()
        registry = gateway_fakes.make_registry([gateway_fakes.make_server("s1")], clock=clock)
        chooser = gateway_fakes.make_balancer(registry, clock=clock)
        criteria = gateway_fakes.make_criteria(allowed_regions=frozenset())
        self.assertIsNone(chooser.choose(criteria).state)
        criteria = gateway_fakes.make_criteria(allowed_regions=frozenset({"north"}))
        self.assertIsNotNone(chooser.choose(criteria).state)

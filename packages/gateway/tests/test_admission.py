"""Tests of the queue that a request may join, by its priority and what was served recently."""

import unittest

import gateway_fakes
from structlog import testing

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import admission, balancer, model

FULL = balancer.MAX_WAITING_PER_SLOT


def make_policy(*priorities, **fields):
    """Returns a policy with a route to the service ``desk`` for each priority."""
    routes = [
        gateway_fakes.make_route(name=f"r{priority}", priority=priority) for priority in priorities
    ]
    return make_policy_of(routes, **fields)


def make_policy_of(routes, **fields):
    """Returns a policy with the given routes."""
    return model.Policy(
        version=1, routes=tuple(routes), services={}, limits=model.Limits(), **fields
    )


def request(priority, *, service="desk", **fields):
    """Returns the class of a request to the route of a priority."""
    return admission.RequestClass(
        service=service, route=f"r{priority}", priority=priority, **fields
    )


class AdmissionControlTest(unittest.TestCase):
    """Guards against requests that are shed without need, and against others that are starved."""

    def setUp(self):
        self.clock = clock_lib.ManualClock()
        self.control = admission.AdmissionControl(clock=self.clock)

    def finish(self, priority, *, served, refused, **fields):
        """Ends requests of a priority, some of them refused for overload."""
        for _ in range(served):
            self.control.on_finished(request(priority, **fields), served=True)
        for _ in range(refused):
            self.control.on_overloaded(request(priority, **fields))
            self.control.on_finished(request(priority, **fields), served=False)

    def bounds(self, *priorities, **fields):
        return [
            self.control.max_waiting_per_slot(request(priority, **fields))
            for priority in priorities
        ]

    def test_queue_shrinks_in_equal_steps_while_more_urgent_requests_are_refused(self):
        """Guards against a shortage that is not noticed, or is still assumed when it has ended."""
        self.control.set_policy(make_policy(0, 3, 9))
        self.assertEqual(self.bounds(0, 3, 9), [FULL, FULL, FULL])
        self.finish(0, served=3, refused=1)
        self.assertEqual(self.bounds(0, 3, 9), [FULL, FULL * 0.75, FULL * 0.5])
        self.clock.advance(admission.SHORTAGE_S + 0.01)
        self.assertEqual(self.bounds(0, 3, 9), [FULL, FULL, FULL])

    def test_refusals_of_less_urgent_requests_are_no_shortage(self):
        """Guards against less urgent requests that shed themselves."""
        self.control.set_policy(make_policy(0, 1, 2))
        self.finish(1, served=0, refused=20)
        self.assertEqual(self.bounds(0, 1, 2), [FULL, FULL, FULL * 0.5])
        self.clock.advance(60.0)
        self.finish(2, served=0, refused=20)
        self.assertEqual(self.bounds(0, 1, 2), [FULL, FULL, FULL])

    def test_single_refusals_are_no_shortage(self):
        """Guards against shedding in a service whose queues drain by themselves."""
        self.control.set_policy(make_policy(0, 1))
        self.finish(0, served=19, refused=1)
        self.assertEqual(self.bounds(1), [FULL])

    def test_service_with_one_priority_queues_all_requests_alike(self):
        """Guards against an effect on deployments without priorities."""
        self.control.set_policy(make_policy(4))
        self.finish(0, served=0, refused=50)
        self.finish(4, served=0, refused=50)
        self.assertEqual(self.bounds(0, 4, 9), [FULL, FULL, FULL])
        self.assertEqual(self.control.shedding(), {})

    def test_priorities_of_split_routes_and_organisations_count(self):
        """Guards against a service that is taken to have one priority though others share it."""
        parts = [("desk", 1.0), ("canary", 1.0), ("old", 0.0)]
        split = tuple(model.WeightedService(service=name, weight=weight) for name, weight in parts)
        routes = [
            gateway_fakes.make_route(name="r0", priority=0, services=split),
            gateway_fakes.make_route(name="r1", priority=1, services=split[1:]),
            gateway_fakes.make_route(name="r2", priority=2, anonymous=True),
        ]
        shed = {}
        first = model.Organisation(name="first", priority=0)
        second = model.Organisation(name="second", priority=3)
        for key, listed in (("routes", {}), ("organisations", {"first": first, "second": second})):
            self.control.set_policy(make_policy_of(routes, organisations=listed))
            for service in ("desk", "canary", "old"):
                self.finish(0, served=0, refused=10, service=service)
            shed[key] = [self.bounds(1, 3, service=name) for name, _ in parts]
        half = [FULL * 0.5, FULL * 0.5]
        self.assertEqual(shed["routes"], [half, half, [FULL, FULL]])
        self.assertEqual(shed["organisations"], [[FULL * 0.75, FULL * 0.5], half, [FULL, FULL]])

    def test_group_that_is_hardly_served_counts_as_most_urgent_until_it_has_caught_up(self):
        """Guards against starvation, and against a group that changes with each request."""
        self.control.set_policy(make_policy(0, 1))
        hungry = {"organisation": "hungry"}
        self.finish(0, served=90, refused=30)
        self.finish(1, served=10, refused=10)
        self.finish(1, served=2, refused=8, **hungry)
        self.assertEqual(self.bounds(1, **hungry), [FULL])
        self.assertEqual(self.bounds(1), [FULL * 0.5])
        self.finish(1, served=5, refused=0, **hungry)
        self.assertEqual(self.bounds(1, **hungry), [FULL])
        self.finish(1, served=10, refused=0, **hungry)
        self.assertEqual(self.bounds(1, **hungry), [FULL * 0.5])

    def test_change_of_the_policy_forgets_groups_that_it_does_not_contain(self):
        """Guards against memory that grows with each organisation that ever had a key."""
        for number in range(50):
            name = f"o{number}"
            listed = {name: model.Organisation(name=name)}
            self.control.set_policy(make_policy(0, 1, organisations=listed))
            self.finish(1, served=1, refused=1, organisation=name)
        self.control.set_policy(make_policy(0, 1))
        self.finish(0, served=0, refused=9)
        self.assertEqual(self.control.group_count, 4)

    def test_begin_and_end_of_shedding_are_logged_once(self):
        """Guards against a log line for each request under overload."""
        self.control.set_policy(make_policy(0, 1))
        with testing.capture_logs() as lines:
            for _ in range(10):
                self.finish(0, served=0, refused=5)
                self.control.update()
            self.assertEqual(self.control.shedding(), {"desk": []})
            self.clock.advance(9.0)
            self.control.update()
            self.control.update()
        self.assertEqual(
            [line["event"] for line in lines],
            ["less urgent requests may queue less", "all requests queue alike"],
        )


if __name__ == "__main__":
    unittest.main()

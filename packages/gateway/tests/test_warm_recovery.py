"""Test of the recovery after all servers lost their caches.

The servers can only handle the load with warm caches. Moving objects to servers on which they are
not warm causes more cold runs and raises the load further, so the service stays overloaded. The
balancer keeps each object on one server and refuses requests that cannot be answered in time. Each
object then has one cold run, and the service recovers.
"""

import unittest

import gateway_fakes
import load_simulation

SERVER_COUNT = 20
SLOTS_PER_SERVER = 6
OBJECT_COUNT = 291
INSTANCE_COUNT = 26
RATE_PER_S = 540
CACHES_LOST_AT_S = 10.0
END_S = 22.0


class WarmRecoveryTest(unittest.TestCase):
    """Guards against a service that stays overloaded after all its caches were lost."""

    def test_service_recovers_if_its_warm_capacity_suffices(self):
        simulation = load_simulation.LoadSimulation(
            listed=[
                gateway_fakes.make_server(f"s{index}", slots=SLOTS_PER_SERVER)
                for index in range(SERVER_COUNT)
            ],
            regions=["north"] * INSTANCE_COUNT,
            rate_per_s=lambda region, now_s: RATE_PER_S,
            objects_per_region=OBJECT_COUNT,
            seed=7,
        )
        simulation.at(CACHES_LOST_AT_S, simulation.clear_caches)
        simulation.run(END_S)
        self.assertGreater(simulation.share_within_target(8.0, 10.0), 0.9)
        self.assertLess(simulation.share_within_target(10.0, 10.5), 0.8)
        self.assertGreater(simulation.share_within_target(18.0, 22.0), 0.9)


if __name__ == "__main__":
    unittest.main()

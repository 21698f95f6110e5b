"""Seeded property tests of the rate limits: no window exceeds its bound, whatever fails.

All instances count, also those that are cut off, frozen or about to be killed. The load exceeds the
limits from about the time of the fault on, after calm or an idle time.
"""

import random

import quota_simulation
import test_rate_limits

ORGANISATIONS = (
    quota_simulation.make_organisation("large", rate_per_s=145.0, burst=0.0),
    quota_simulation.make_organisation("bursts", rate_per_s=60.0, burst=60.0),
    quota_simulation.make_organisation("medium", rate_per_s=19.0, burst=0.0),
    quota_simulation.make_organisation("small", rate_per_s=3.0, burst=5.0),
)
FLOOD_S = 8.0


class Scenario:
    """One fault in a simulated fleet under more load than the limits allow."""

    def __init__(self, *, count, seed, organisations=ORGANISATIONS, before_s=4.0):
        self.rng = random.Random(seed)
        self.organisations = organisations
        self.simulation = quota_simulation.Simulation(
            count=count, organisations=organisations, seed=seed, loss=self.rng.choice((0.0, 0.1))
        )
        for organisation in organisations:
            start_s = before_s + self.rng.uniform(-2.0, 3.0)
            if self.rng.random() < 0.5:
                calm_per_s = 0.6 * organisation.rate_per_s
                self.simulation.offer(organisation.name, calm_per_s, start_s, spread=True)
            weights = self.rng.choice((None, [1] * 3))
            self.simulation.schedule(
                start_s,
                lambda organisation=organisation, weights=weights: self.simulation.offer(
                    organisation.name, 3.0 * organisation.rate_per_s, FLOOD_S, weights, spread=True
                ),
            )
        self.simulation.run(before_s)

    def owners(self):
        """Returns the instances that own shards."""
        live = self.simulation.live()
        return [instance for instance in live if instance.limiter._owner.owned]

    def calm(self):
        self.simulation.clock.step_s = self.rng.choice((-3600.0, 3600.0))

    def freeze(self):
        for instance in self.rng.sample(self.owners(), (len(self.owners()) + 1) // 2):
            self.simulation.freeze(instance, self.rng.uniform(0.3, 4.0))

    def kill_half(self):
        live = self.simulation.live()
        self.simulation.kill(self.rng.sample(live, len(live) // 2))

    def cut_off_one(self):
        lost = self.rng.choice(self.owners())
        self.simulation.partition(lambda instance: int(instance is lost))

    def cut_off_region(self):
        self.simulation.partition(lambda instance: int(instance.member.region == "north"))

    def divide(self):
        groups = self.rng.randint(2, 5)
        group_of = {
            instance.name: self.rng.randrange(groups) for instance in self.simulation.live()
        }
        self.simulation.partition(lambda instance: group_of[instance.name])

    def divide_repeatedly(self):
        for _ in range(3):
            self.divide()
            self.simulation.run(self.rng.uniform(0.5, 2.5))
            self.simulation.partition(lambda instance: 0)
            self.simulation.run(self.rng.uniform(0.2, 1.0))

    def add(self):
        for index in range(len(self.simulation.instances)):
            self.simulation.add(f"new-{index:04}")
            if self.rng.random() < 0.1:
                self.simulation.run(self.rng.uniform(0.0, 0.3))

    def add_unnoticed(self):
        for index in range(len(self.simulation.instances)):
            self.simulation.add(f"new-{index:04}", missed=0.2)

    def replace_one_by_one(self):
        for index in range(5):
            self.simulation.add(f"new-{index:04}")
            self.simulation.run(self.rng.uniform(0.0, 0.7))
            self.simulation.kill([self.rng.choice(self.owners())])

    def finish(self, after_s=4.0):
        """Ends the fault and the load."""
        self.simulation.run(self.rng.uniform(1.5, after_s))
        self.simulation.partition(lambda instance: 0)
        self.simulation.run(after_s)


FAULTS = (
    Scenario.calm,
    Scenario.freeze,
    Scenario.kill_half,
    Scenario.cut_off_one,
    Scenario.cut_off_region,
    Scenario.divide,
    Scenario.divide_repeatedly,
    Scenario.add,
    Scenario.add_unnoticed,
    Scenario.replace_one_by_one,
)


class WindowTest(test_rate_limits.QuotaFixture):
    """Guards against limits that are exceeded while instances disagree on who grants tokens."""

    def check(self, scenario, fault, **fields):
        fault(scenario)
        scenario.finish(**fields)
        for organisation in scenario.organisations:
            self.assertLessEqual(
                scenario.simulation.max_window(organisation.name),
                quota_simulation.bound(organisation),
                organisation.name,
            )

    def test_no_window_exceeds_its_bound_with_six_instances(self):
        """Guards against too many tokens where each instance owns several shards."""
        for fault in FAULTS:
            for seed in range(4):
                with self.subTest(fault=fault.__name__, seed=seed):
                    self.check(Scenario(count=6, seed=seed), fault)

    def test_no_window_exceeds_its_bound_with_143_instances(self):
        """Guards against too many tokens in a fleet of the usual size."""
        for fault in FAULTS:
            with self.subTest(fault=fault.__name__):
                self.check(Scenario(count=143, seed=5), fault)

    def test_no_window_exceeds_its_bound_with_2000_instances(self):
        """Guards against too many tokens in the largest fleet."""
        organisations = ORGANISATIONS[1:3]
        for fault in (Scenario.kill_half, Scenario.divide):
            with self.subTest(fault=fault.__name__):
                scenario = Scenario(count=2000, seed=6, organisations=organisations, before_s=1.0)
                self.check(scenario, fault, after_s=1.6)

    def test_changed_limit_holds_after_one_window(self):
        """Guards against tokens of the old limit, and against a limit that is raised too late."""
        for before, after in ((20.0, 145.0), (145.0, 20.0), (145.0, 4.0)):
            with self.subTest(before=before, after=after):
                old = quota_simulation.make_organisation(rate_per_s=before, burst=10.0)
                new = quota_simulation.make_organisation(rate_per_s=after, burst=10.0)
                simulation = self.simulate(20, old, loss=0.05)
                simulation.offer(old.name, 300.0, 25.0)
                simulation.run(6.0)
                changed_s = simulation.now_s
                simulation.set_organisations([new])
                simulation.run(20.0)
                largest = max(quota_simulation.bound(old), quota_simulation.bound(new))
                self.assertLessEqual(simulation.max_window(old.name), largest)
                used = simulation.max_window(old.name, from_s=changed_s + 3.0)
                self.assertLessEqual(used, quota_simulation.bound(new))
                self.assertGreaterEqual(used, 0.95 * after * quota_simulation.WINDOW_S)


class CalmTest(test_rate_limits.QuotaFixture):
    """Guards against requests below the limit that are rejected."""

    def rejected(self, simulation):
        return {key: count for key, count in simulation.results.items() if key[1]}

    def test_no_request_below_the_limit_is_rejected(self):
        """Guards against limits that hold for parts of the fleet, such as one instance."""
        organisations = (
            quota_simulation.make_organisation("a", rate_per_s=512.0, burst=200.0),
            quota_simulation.make_organisation("b", rate_per_s=512.0, burst=0.0),
            quota_simulation.make_organisation("c", rate_per_s=3.0, burst=0.0),
            quota_simulation.make_organisation("d", rate_per_s=30.0, burst=10.0),
        )
        for count in (6, 143):
            distributions = {
                "even": None,
                "one": [1],
                "three": [1] * 3,
                "zipf": quota_simulation.zipf_weights(count),
            }
            for name, weights in distributions.items():
                with self.subTest(count=count, distribution=name):
                    simulation = self.simulate(count, *organisations)
                    for organisation in organisations:
                        rate_per_s = 0.9 * organisation.rate_per_s
                        simulation.offer(organisation.name, rate_per_s, 8.0, weights)
                    simulation.run(9.0)
                    self.assertEqual(self.rejected(simulation), {})

    def test_no_request_is_rejected_when_the_load_moves(self):
        """Guards against tokens that stay where they are not needed any more."""
        organisation = quota_simulation.make_organisation(rate_per_s=145.0, burst=20.0)
        simulation = self.simulate(24, organisation)
        for index in range(6):
            weights = [int(index * 4 <= place < index * 4 + 4) for place in range(24)]
            simulation.offer(organisation.name, 130.0, 2.0, weights)
            simulation.run(2.0)
        self.assertEqual(self.rejected(simulation), {})

    def test_no_request_is_rejected_by_planned_replacements(self):
        """Guards against new owners that begin without tokens although the old one has some."""
        organisation = quota_simulation.make_organisation(rate_per_s=19.0, burst=10.0)
        simulation = self.simulate(24, organisation)
        simulation.offer(organisation.name, 17.0, 24.0)
        for index in range(12):
            simulation.add(f"new-{index}")
            simulation.run(1.0)
            simulation.leave(simulation.rng.choice(simulation.live()))
            simulation.run(1.0)
        self.assertEqual(self.rejected(simulation), {})


class TrafficTest(test_rate_limits.QuotaFixture):
    """Guards against control traffic that grows with the fleet or with rejected requests."""

    def traffic(self, *, overload=1.0, duration_s=5.0):
        """Returns bytes per second, sent and received, of each instance, the lowest first."""
        weights = quota_simulation.zipf_weights(87)
        rates = [1600.0 * weight / sum(weights) for weight in weights]
        organisations = [
            quota_simulation.make_organisation(
                f"customer-{index:02}", rate_per_s=1.6 * rate, burst=1.6 * rate
            )
            for index, rate in enumerate(rates)
        ]
        simulation = self.simulate(143, *organisations)
        for instance in simulation.live():
            instance.sent_bytes = instance.received_bytes = 0
        rates[0] *= overload
        for organisation, rate in zip(organisations, rates, strict=True):
            simulation.offer(organisation.name, rate, duration_s, spread=True)
        simulation.run(duration_s)
        return sorted(
            (instance.sent_bytes + instance.received_bytes) / duration_s
            for instance in simulation.live()
        )

    def test_traffic_of_an_ordinary_day(self):
        """Guards against a mean, or an owner of busy shards, above the limits of an instance."""
        traffic = self.traffic()
        self.assertLess(sum(traffic) / len(traffic), 3000.0)
        self.assertLess(traffic[-1], 12000.0)

    def test_traffic_while_an_organisation_sends_seven_times_its_usual(self):
        """Guards against token requests for nothing, by all instances all the time."""
        traffic = self.traffic(overload=7.0)
        self.assertLess(sum(traffic) / len(traffic), 5000.0)

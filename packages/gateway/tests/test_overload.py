"""Tests of shedding by priority under the loads that the design page names, without a network.

They guard against requests that are refused although less urgent ones are served, against routes
and organisations that are hardly served at all, and against a service that serves less in total.
"""

import statistics
import unittest

import gateway_fakes
import overload_simulation

INSTANCE_COUNT = 12
SERVER_COUNT = 12
SLOTS = 6
OBJECTS_PER_REGION = 60
# Requests per second at the usual load, about 0.8 of what the servers can run.
USUAL_PER_S = 530.0
# Share of each priority in the usual load, the most urgent first.
SHARES = (0.3, 0.3, 0.4)
OVERLOAD_FROM_S = 3.0
END_S = 12.0
# The total of a single run varies by about 1 in 100 with the service times that are drawn.
SEEDS = (5, 6, 7, 8)
SHARE_TOLERANCE = 0.05
TOTAL_TOLERANCE = 0.01


def rising(rate_per_s, factor):
    """Returns a rate that rises by a factor when the overload starts."""
    return lambda now_s: rate_per_s * (factor if now_s >= OVERLOAD_FROM_S else 1.0)


def make_kind(name, *, priority, share, factor=1.0, **fields):
    """Returns a kind with a share of the usual load, which rises by a factor."""
    rate_per_s = rising(share * USUAL_PER_S, factor)
    return overload_simulation.Kind(name=name, priority=priority, rate_per_s=rate_per_s, **fields)


def make_kinds(*, factors=(1.0, 1.0, 1.0), scale=1.0, **fields):
    """Returns a kind for each priority, whose rate rises by the factor of the priority."""
    return [
        make_kind(f"p{priority}", priority=priority, share=scale * share, factor=factor, **fields)
        for priority, (share, factor) in enumerate(zip(SHARES, factors, strict=True))
    ]


class OverloadTest(unittest.TestCase):
    """Compares what is served with and without regard to priorities, for the same callers."""

    def simulate(self, kinds, *, by_priority, seed, domains=("a-1",), prepare=None):
        """Returns a finished simulation; ``prepare`` is called with it before it runs."""
        simulation = overload_simulation.OverloadSimulation(
            kinds=kinds,
            by_priority=by_priority,
            listed=[
                gateway_fakes.make_server(
                    f"s{index}", slots=SLOTS, domain=domains[index % len(domains)]
                )
                for index in range(SERVER_COUNT)
            ],
            regions=[
                gateway_fakes.REGION_OF[domains[index % len(domains)]]
                for index in range(INSTANCE_COUNT)
            ],
            objects_per_region=OBJECTS_PER_REGION,
            seed=seed,
        )
        if prepare is not None:
            prepare(simulation)
        simulation.run(END_S + overload_simulation.CALLER_TIME_S)
        return simulation

    def check(self, kinds, *, from_s=OVERLOAD_FROM_S + 1.0, to_s=END_S, **fields):
        """Checks the order by priority, the least share of a kind, and the total, over all seeds.

        Returns:
            The served share of the most urgent kind, with and without regard to priorities.
        """
        by_priority = [self.simulate(kinds, by_priority=True, seed=s, **fields) for s in SEEDS]
        alike = [self.simulate(kinds, by_priority=False, seed=s, **fields) for s in SEEDS]

        def mean_share(runs, kind=None):
            return statistics.fmean(run.served_share(from_s, to_s, kind) for run in runs)

        shares = {kind: mean_share(by_priority, kind) for kind in kinds if kind.rate_per_s(to_s)}
        for kind, share in shares.items():
            self.assertGreater(share, mean_share(by_priority) / 4.0, kind)
            for other, other_share in shares.items():
                if kind.priority < other.priority:
                    self.assertGreater(share, other_share - SHARE_TOLERANCE, (kind, other))
        self.assertGreater(
            sum(run.served_count(from_s, to_s) for run in by_priority),
            sum(run.served_count(from_s, to_s) for run in alike) * (1.0 - TOTAL_TOLERANCE),
        )
        most_urgent = min(shares, key=lambda kind: kind.priority)
        return shares[most_urgent], mean_share(alike, most_urgent)

    def test_burst_of_one_kind(self):
        """Load: one kind of request bursts to 2.6 times.

        Guards against the most urgent requests being refused for a burst of any kind.
        """
        for priority in range(3):
            with self.subTest(priority=priority):
                factors = [2.6 if index == priority else 1.0 for index in range(3)]
                share, share_alike = self.check(make_kinds(factors=factors))
                self.assertGreater(share, share_alike + 0.1)

    def test_one_organisation_sends_more(self):
        """Load: one organisation sends 5 to 7.5 times its usual.

        Guards against less urgent organisations that are not served while a more urgent one sends
        more than the service can run, and against more urgent ones paying for a less urgent one.
        """
        for priority, factor in ((0, 7.5), (2, 5.0)):
            with self.subTest(priority=priority, factor=factor):
                large = make_kind(
                    "l", organisation="l", priority=priority, share=0.2, factor=factor
                )
                others = [
                    make_kind(f"o{rank}", organisation=f"o{rank}", priority=rank, share=0.8 * share)
                    for rank, share in enumerate(SHARES)
                ]
                share, share_alike = self.check([*others, large])
                self.assertGreater(share, share_alike + 0.05)

    def test_callers_move_to_another_domain(self):
        """Load: callers of a domain move to another, in another region.

        Guards against the most urgent requests being refused while objects move between regions.
        """
        arriving = make_kinds(factors=(2.0, 2.0, 2.0), scale=0.75)
        leaving = make_kinds(factors=(0.0, 0.0, 0.0), scale=0.75, region="south")
        share, share_alike = self.check([*arriving, *leaving], domains=("a-1", "b-1"))
        self.assertGreater(share, share_alike)

    def test_three_times_the_retries(self):
        """Load: retries threefold, at half more requests than usual.

        Guards against retries of less urgent requests that take the room of the most urgent ones.
        """
        kinds = make_kinds(factors=(1.5, 1.5, 1.5), max_retries=3)
        share, share_alike = self.check(kinds)
        self.assertGreater(share, share_alike + 0.05)

    def test_everything_at_once_after_a_restart(self):
        """Load: everything at once after a restart of the whole fleet.

        Guards against instances without any counts that refuse by priority what they could serve.
        """
        kinds = make_kinds(max_retries=3)

        def send_backlog(simulation):
            for kind, share in zip(kinds, SHARES, strict=True):
                for _ in range(round(3.0 * share * USUAL_PER_S)):
                    simulation.at(0.1, simulation.send, kind)

        self.check(kinds, from_s=0.0, to_s=5.0, prepare=send_backlog)


if __name__ == "__main__":
    unittest.main()

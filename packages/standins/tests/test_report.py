"""Tests of the results that the bench reports."""

import dataclasses
import json
import unittest

from sassafrasway_standins import arrivals, exchanges, history, report

SERVICES = {"crew-desk": exchanges.CalledService(idempotent=False, deadline_ms=2000, slots=1)}
POLICY = history.PolicyInForce(
    at_s=0.0,
    document={
        "services": {"crew-desk": {"idempotent": False}},
        "servers": {"crew-1": {"service": "crew-desk", "region": "bkk", "slots": 1}},
    },
)


def make_arrival(number, *, at_s):
    """Returns an arrival that takes one second of service."""
    return arrivals.Arrival(
        request=f"r{number}",
        at_s=at_s,
        service="crew-desk",
        region="bkk",
        service_s=1.0,
        client="10.0.0.1",
    )


def records_of(arrival, *, outcome, wait_s=0.0):
    """Returns the records of callers and servers for an arrival of a trace that starts at 100 s."""
    at_s = 100.0 + arrival.at_s
    end_s = at_s + wait_s + arrival.service_s
    records = [
        history.Intent(at_s=at_s, request=arrival.request, service="crew-desk", region="bkk")
    ]
    if outcome is None:
        return records
    records.append(
        history.Verdict(
            at_s=end_s, request=arrival.request, outcome=outcome, status=200, attempts=2
        )
    )
    if outcome == history.RAN:
        records.append(
            history.Run(at_s=at_s + wait_s, ended_s=end_s, request=arrival.request, server="crew-1")
        )
    return records


def build(trace, records, *, warm_up_s=0.0):
    """Returns the report on a trace and its records."""
    return report.build(
        settings={"layout": "sila"},
        trace=trace,
        services=SERVICES,
        client_ms=0.0,
        warm_up_s=warm_up_s,
        records=[POLICY, *records],
    )


class ReportTest(unittest.TestCase):
    """Guards against results that do not follow from the records."""

    def setUp(self):
        self.trace = [
            make_arrival(0, at_s=0.0),
            make_arrival(1, at_s=0.5),
            make_arrival(2, at_s=3.0),
            make_arrival(3, at_s=6.0),
        ]
        outcomes = [history.RAN, history.NOT_RUN, history.NOT_RUN, None]
        self.records = [
            record
            for arrival, outcome in zip(self.trace, outcomes, strict=True)
            for record in records_of(arrival, outcome=outcome, wait_s=0.25)
        ]

    def test_refusals_are_compared_with_the_ideal_on_the_same_arrivals(self):
        """Guards against comparing measured and ideal rates of different arrivals."""
        service = build(self.trace, self.records).services["crew-desk"]
        self.assertEqual((service.ran, service.refused, service.lost), (1, 2, 1))
        self.assertEqual((service.refusal_rate, service.ideal_refusal_rate), (0.5, 0.25))
        self.assertEqual(service.refusal_ratio, 2.0)

    def test_warm_up_is_left_out(self):
        """Guards against refusals during the ramp-up of idle servers in the steady-state rate."""
        service = build(self.trace, self.records, warm_up_s=0.4).services["crew-desk"]
        self.assertEqual((service.arrivals, service.ran, service.refused), (3, 0, 2))
        # The first request is not counted but still occupies the only slot of the ideal pool.
        self.assertAlmostEqual(service.ideal_refusal_rate, 1 / 3)

    def test_latency_counts_from_the_intended_arrival(self):
        """Guards against coordinated omission and against service time counted as waiting."""
        service = build(self.trace, self.records).services["crew-desk"]
        self.assertAlmostEqual(service.latency.p50_ms, 1250, delta=2)
        self.assertAlmostEqual(service.wait.p50_ms, 250, delta=1)

    def test_drain_time_lasts_until_the_last_run_ends(self):
        """Guards against a drain that is reported as complete while requests are in flight."""
        leaving = history.Leaving(at_s=100.5, server="crew-1")
        stop = [
            history.FaultEvent(at_s=101.0, fault="replace-all", phase=phase, target="e1")
            for phase in (history.STOP_ORDERED, history.STOPPED)
        ]
        injected = history.FaultEvent(at_s=102.0, fault="replace-all", phase=history.INJECTED)
        built = build(self.trace, [*self.records, leaving, *stop, injected])
        self.assertEqual(built.fault_s, [2.0])
        self.assertEqual(built.drain_s, {"crew-1": 0.75, "e1": 0.0})

    def test_sheds_and_violations_are_counted(self):
        """Guards against a report that hides violations that the checker found."""
        shed = history.Run(
            at_s=1.0, ended_s=1.0, request="r1", server="crew-1", outcome="shed", ran=False
        )
        again = history.Run(at_s=120.0, ended_s=121.0, request="r0", server="crew-1")
        built = build(self.trace, [*self.records, shed, again])
        self.assertEqual((built.sheds, built.ran_twice, built.lost), (1, 1, 1))
        self.assertEqual(dict(built.violations), {"at-most-once": 1, "none-lost": 1})

    def test_starved_load_tool_makes_the_figures_invalid(self):
        """Guards against taking delays of a busy machine for those of the system."""
        late = [
            dataclasses.replace(record, late_s=0.2)
            if isinstance(record, history.Intent)
            else record
            for record in self.records
        ]
        self.assertNotIn("NOT VALID", report.as_text(build(self.trace, self.records)))
        self.assertIn("NOT VALID", report.as_text(build(self.trace, late)))

    def test_report_has_a_json_and_a_text_form(self):
        """Guards against results that cannot be written, also when some are missing."""
        for trace, records in ((self.trace, self.records), ([], [])):
            built = build(trace, records)
            self.assertIn("crew-desk", json.loads(json.dumps(built.dump()))["services"])
            self.assertIn("crew-desk", report.as_text(built))


if __name__ == "__main__":
    unittest.main()

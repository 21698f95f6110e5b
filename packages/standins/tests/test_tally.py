"""Tests of the table of outcomes that the demo prints at its end."""

import unittest

from sassafrasway_standins import exchanges, history, tally

SERVICES = {
    "read": exchanges.CalledService(idempotent=True, deadline_ms=2000),
    "write": exchanges.CalledService(idempotent=False, deadline_ms=2000),
}


def _records(request, service, *, outcome, runs=0, took_s=0.1):
    """Returns the records of one request; outcome None means that the caller has no verdict."""
    records = [history.Intent(at_s=1.0, request=request, service=service, region="r")]
    for number in range(runs):
        at_s = 1.01 + number
        records.append(history.Run(at_s=at_s, ended_s=at_s, request=request, server=f"s{number}"))
    if outcome:
        records.append(
            history.Verdict(
                at_s=1.0 + took_s, request=request, outcome=outcome, status=200, attempts=1
            )
        )
    return records


class TallyTest(unittest.TestCase):
    """Guards against a table whose counts do not follow from the records."""

    def test_every_outcome_is_counted(self):
        """Guards against wrong counts, which would let the demo hide lost or repeated requests."""
        records = [
            *_records("w1", "write", outcome=history.RAN, runs=1),
            *_records("w2", "write", outcome=history.RAN, runs=2),
            *_records("w3", "write", outcome=None),
            *_records("w4", "write", outcome=history.RAN),
            *_records("w5", "write", outcome=history.NOT_RUN),
            *_records("w6", "write", outcome=history.UNKNOWN, runs=1),
            *_records("r1", "read", outcome=history.RAN, runs=2, took_s=3.0),
        ]
        read, write, total = tally.count(records, SERVICES)
        self.assertEqual((read.repeated, read.ran_twice, read.late, read.sent), (1, 0, 1, 1))
        self.assertEqual((write.sent, write.ran_once, write.ran_twice), (6, 2, 1))
        self.assertEqual((write.lost, write.not_run, write.unknown), (2, 1, 1))
        self.assertEqual((total.sent, total.lost, total.ran_twice), (7, 2, 1))
        self.assertEqual(len(tally.as_text([read, write, total]).splitlines()), 4)


if __name__ == "__main__":
    unittest.main()

"""Health of a pool's servers, as observed by the instance that dispatches to them."""

import dataclasses
import random
from collections.abc import Iterable

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import pool_types

# At most this fraction of the servers (1 / divisor) is ejected at a time. Ejecting more could
# overload the remaining servers.
MAX_EJECTED_DIVISOR = 3
FAILURES_TO_EJECT = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0

# Fraction by which an ejection is prolonged at most. It spreads out the probes of servers that
# failed at the same time.
EJECTION_JITTER = 0.1

_FAILURES = frozenset(
    {
        pool_types.ServerResult.FAILED,
        pool_types.ServerResult.TIMEOUT,
        pool_types.ServerResult.CRASHED,
    }
)


@dataclasses.dataclass(slots=True)
class _Record:
    """Health of one server.

    Attributes:
        failures: Consecutive failed requests.
        backoff_exponent: Exponent of 2 in the next ejection time; grows with each ejection and
            failed probe.
        ejected_until_s: When the next probe of an ejected server is due; after a successful probe,
            the time of that probe.
    """

    failures: int = 0
    backoff_exponent: int = 0
    ejected: bool = False
    ejected_until_s: float = 0.0


class ServerHealth:
    """Ejects servers after ``failures_to_eject`` consecutive failures and decides when to probe.

    Only this instance's own requests and probes count. At most a third of the servers, rounded
    down, is ejected at a time, so a pool of one or two servers keeps all of them. An ejected server
    returns when a probe after its ejection time succeeds; a failed probe doubles its ejection time,
    up to ``MAX_EJECTION_S``. ``rng`` is used for the jitter of ejection times.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
        failures_to_eject: int = FAILURES_TO_EJECT,
    ):
        self._clock = clock
        self._rng = rng
        self._failures_to_eject = failures_to_eject
        self._records: dict[str, _Record] = {}
        self._ejected: frozenset[str] = frozenset()
        self._failing: set[str] = set()

    def is_ejected(self, server_name: str) -> bool:
        """Returns whether the server is ejected and gets no requests."""
        return server_name in self._ejected

    def ejected(self) -> frozenset[str]:
        """Returns the names of all ejected servers."""
        return self._ejected

    def failing(self) -> frozenset[str]:
        """Returns the names of servers whose last result was a failure; others are preferred."""
        return frozenset(self._failing)

    def probes_due(self) -> list[str]:
        """Returns the names of servers whose ejection time has passed, longest overdue first."""
        now_s = self._clock.monotonic()
        due = [
            (record.ejected_until_s, name)
            for name, record in self._records.items()
            if record.ejected and record.ejected_until_s <= now_s
        ]
        return [name for _, name in sorted(due)]

    def set_servers(self, server_names: Iterable[str]) -> None:
        """Replaces the servers of the pool; leaving servers must not be included."""
        self._records = {name: self._records.get(name) or _Record() for name in server_names}
        self._failing &= self._records.keys()
        self._update_ejected()
        # A smaller pool may have too many ejected servers. Those whose ejection ends first return.
        by_end = sorted(self.ejected(), key=lambda name: self._records[name].ejected_until_s)
        for name in by_end[: max(0, len(by_end) - self._max_ejected())]:
            self._records[name].ejected = False
        self._update_ejected()

    def record(self, server_name: str, result: pool_types.ServerResult) -> None:
        """Records the result of a request; only ``OK`` and failures have an effect."""
        record = self._records.get(server_name)
        if record is None:
            return
        if result is pool_types.ServerResult.OK:
            self._failing.discard(server_name)
            self._record_success(record)
        elif result in _FAILURES:
            self._failing.add(server_name)
            record.failures += 1
            if record.failures >= self._failures_to_eject and not record.ejected:
                self._eject(record)

    def record_probe(self, server_name: str, *, succeeded: bool) -> None:
        """Records the result of a probe; ignored if the server is not ejected."""
        record = self._records.get(server_name)
        if record is None or not record.ejected:
            return
        if succeeded:
            record.ejected = False
            record.failures = 0
            record.ejected_until_s = self._clock.monotonic()
            self._failing.discard(server_name)
            self._update_ejected()
        else:
            self._start_ejection(record)

    def _record_success(self, record: _Record) -> None:
        record.failures = 0
        # A late response to an old request does not end an ejection; only a successful probe does.
        # A server that fails again soon after its return keeps its longer ejection time.
        in_service_s = self._clock.monotonic() - record.ejected_until_s
        if not record.ejected and in_service_s > MAX_EJECTION_S:
            record.backoff_exponent = 0

    def _eject(self, record: _Record) -> None:
        if len(self.ejected()) < self._max_ejected():
            record.ejected = True
            self._start_ejection(record)
            self._update_ejected()

    def _start_ejection(self, record: _Record) -> None:
        ejection_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2.0**record.backoff_exponent)
        jitter = 1.0 + EJECTION_JITTER * self._rng.random()
        # The bound prevents an overflow of the power of 2.
        record.backoff_exponent = min(record.backoff_exponent + 1, 32)
        record.ejected_until_s = self._clock.monotonic() + ejection_s * jitter

    def _update_ejected(self) -> None:
        self._ejected = frozenset(name for name, record in self._records.items() if record.ejected)

    def _max_ejected(self) -> int:
        return len(self._records) // MAX_EJECTED_DIVISOR

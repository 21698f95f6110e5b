"""Detects requests that crash every backend server that runs them.

A server that crashes breaks off all requests that it is running, so a single crash does not show
which of them caused it. A request is refused only after several servers crashed at different times
while they were running it.
"""

import hashlib

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import messages

# Number of separate crashes after which a request is refused.
CRASHES_TO_REFUSE = 3
# Crashes within this time count as one event, for example the loss of a failure domain.
SAME_EVENT_WINDOW_S = 0.3
# Older crashes may be dropped when the register is full.
RETENTION_S = 60.0
MAX_FINGERPRINTS = 1000


def fingerprint(request: messages.Request, object_key: str) -> str:
    """Returns a digest of the parts of a request that do not change when a caller repeats it."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (request.method, request.target, object_key.encode(), request.body):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()


class CrashRegister:
    """Records which servers crashed while they were running which request."""

    def __init__(self, *, clock: clock_lib.Clock):
        self._clock = clock
        self._crashes: dict[str, dict[str, float]] = {}

    def add(self, fingerprint_: str, server: str) -> bool:
        """Records a crash during a request and returns whether it is new.

        ``server`` is the id of the server and the time of its start, as ``id/started_ms``.
        """
        now_s = self._clock.monotonic()
        if fingerprint_ not in self._crashes:
            self._make_room(now_s)
        crash_times_s = self._crashes.setdefault(fingerprint_, {})
        if server in crash_times_s:
            return False
        crash_times_s[server] = now_s
        return True

    def crash_event_count(self, fingerprint_: str) -> int:
        """Returns the number of separate crashes of servers that were running the request.

        Crashes within ``SAME_EVENT_WINDOW_S`` of the first one of an event count as one.
        """
        crash_times_s = sorted(self._crashes.get(fingerprint_, {}).values())
        count = 0
        last_s = -RETENTION_S
        for time_s in crash_times_s:
            if time_s - last_s > SAME_EVENT_WINDOW_S:
                count += 1
                last_s = time_s
        return count

    def should_refuse(self, fingerprint_: str) -> bool:
        """Whether the request must not be sent to another server."""
        return self.crash_event_count(fingerprint_) >= CRASHES_TO_REFUSE

    def _make_room(self, now_s: float) -> None:
        """Drops fingerprints if the register is full.

        Those with only old crashes are dropped first, then those that were recorded first.
        """
        if len(self._crashes) < MAX_FINGERPRINTS:
            return
        for key in list(self._crashes):
            if now_s - max(self._crashes[key].values()) > RETENTION_S:
                del self._crashes[key]
        while len(self._crashes) >= MAX_FINGERPRINTS:
            self._crashes.pop(next(iter(self._crashes)))

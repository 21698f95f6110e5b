"""Slot accounting of one backend server, kept by the pool that dispatches to it."""

import math

from sassafrasway_core import model
from sassafrasway_core import share as shares

# Idle time after which a server is ramped up again. It is well above the gaps between requests of
# a pool with little traffic, so that low traffic does not throttle the pool.
IDLE_AFTER_S = 300.0

# Interval of the probes that detect the return of a server that reported that it is leaving.
LEAVING_PROBE_S = 5.0

# Requests hold a slot for a few hundred milliseconds, so older load reports are meaningless.
LOAD_REPORT_TTL_S = 1.0


class ServerSlots:
    """Counts the leases of one server and computes how many are allowed.

    Attributes:
        lease_count: Slots held by leases; slots inherited from another owner are not included.
        share_limit: Slots allowed by the share, regardless of ramp-up.
        removed: Whether the policy no longer lists the server.
        reported_leaving: Whether the server itself reported that it is leaving.
        probed_s: Monotonic time of the last probe or change of ``reported_leaving``.

    Args:
        ramp_s: Seconds over which the slots of a cold server become usable.
        cold: Whether the server is new, so that its first request starts the ramp-up.
    """

    def __init__(
        self,
        server: model.BackendServer,
        *,
        share: shares.Share,
        ramp_s: float,
        now_s: float,
        cold: bool,
    ):
        self.server = server
        self.name = server.name
        self.removed = False
        self.reported_leaving = False
        self.probed_s = now_s
        # Plain attributes, because server selection reads them for every server.
        self.lease_count = 0
        self.share_limit = share.slots(server.slots)
        self._share = share
        self._ramp_s = ramp_s
        self._cold = cold
        self._ramp_started_s = -math.inf
        self._last_used_s = now_s
        self._reported_load = 0
        self._load_reported_s = -math.inf

    @property
    def leaving(self) -> bool:
        """Whether the server is leaving or was removed, and so gets no new requests."""
        return (
            self.removed
            or self.reported_leaving
            or self.server.state is not model.ServerState.ACTIVE
        )

    def is_leaving_probe_due(self, now_s: float) -> bool:
        """Returns whether to probe a server that reported that it is leaving."""
        return (
            self.reported_leaving
            and not self.removed
            and self.server.state is model.ServerState.ACTIVE
            and now_s - self.probed_s >= LEAVING_PROBE_S
        )

    def limit(self, now_s: float) -> int:
        """Returns the slots usable now under the share and the ramp-up."""
        if self._ramp_s <= 0:
            return self.share_limit
        return min(self.share_limit, self._ramp_limit(now_s))

    def reported_load(self, now_s: float) -> int | None:
        """Returns the slots in use by the server's last report; None if the report is too old."""
        return self._reported_load if now_s - self._load_reported_s < LOAD_REPORT_TTL_S else None

    def update(self, server: model.BackendServer) -> None:
        """Applies the server's configuration from the current policy."""
        returned = self.removed or (
            self.server.state is model.ServerState.LEAVING
            and server.state is model.ServerState.ACTIVE
        )
        # A server that the policy readmits, or that has moved to another address, is ramped up, and
        # its earlier report that it is leaving no longer applies.
        if returned or server.url != self.server.url:
            self._cold = True
            self.reported_leaving = False
        self.server = server
        self.removed = False
        self.share_limit = self._share.slots(server.slots)

    def set_share(self, share: shares.Share) -> None:
        """Changes the share of the slots that may be used."""
        self._share = share
        self.share_limit = share.slots(self.server.slots)

    def begin_lease(self, now_s: float) -> None:
        """Counts a new lease; starts the ramp-up if the server is cold or was idle for long."""
        if self._starts_cold(now_s):
            self._ramp_started_s = now_s
            self._cold = False
        self.lease_count += 1
        self._last_used_s = now_s

    def end_lease(self, now_s: float) -> None:
        """Counts the end of a lease."""
        self.lease_count -= 1
        self._last_used_s = now_s

    def restart_ramp(self) -> None:
        """Starts the ramp-up again at the server's next request."""
        self._cold = True

    def record_load(self, slots_in_use: int, now_s: float) -> None:
        """Records the number of slots in use that the server reported."""
        self._reported_load = slots_in_use
        self._load_reported_s = now_s

    def _ramp_limit(self, now_s: float) -> int:
        # One slot at first, then growing linearly.
        slots = self.server.slots
        if self._starts_cold(now_s):
            return min(1, slots)
        elapsed_s = now_s - self._ramp_started_s
        if elapsed_s >= self._ramp_s:
            return slots
        return min(slots, max(1, int(slots * elapsed_s / self._ramp_s)))

    def _starts_cold(self, now_s: float) -> bool:
        """Returns whether a lease that begins now would start the ramp-up."""
        return self._cold or (self.lease_count == 0 and now_s - self._last_used_s > IDLE_AFTER_S)

"""Exchanges load reports with other instances, in pings and their replies.

A server reports its load only in its responses. In a large fleet, an instance sends so few requests
to each server that it mostly has no recent report of the server that it selects. Each ping and
reply therefore carries some of the recent reports that its sender has received, from servers or
from other instances. No additional messages are needed.

Reports are exchanged where loads are estimated; see `servers.ServerRegistry.estimates_loads`.
"""

import collections
import hashlib
import random
import struct

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import servers

# Reports in one message; keeps the datagram below the usual MTU of a link.
MAX_REPORTS = 24
# Older reports are not passed on.
MAX_AGE_S = 2.0
# Assumed transfer time of a datagram; added to the age of the reports in it.
TRANSFER_S = 0.01
# Digest of a server, load, slowdown in tenths, and age in units of ``AGE_UNIT_S``.
_REPORT = struct.Struct(">IBBB")
MAX_BYTES = MAX_REPORTS * _REPORT.size
AGE_UNIT_S = 0.02
MAX_BYTE = 255
# A known report that another instance sends back may seem newer by this much.
ROUNDING_S = AGE_UNIT_S + TRANSFER_S


def _digest(state: servers.ServerState) -> int:
    """Returns a digest of one start of a server, the same on all instances."""
    text = f"{state.server.server_id}/{state.server.started_ms}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")


class LoadSharing:
    """Encodes the newest load reports for other instances, and applies those of others."""

    def __init__(
        self, *, clock: clock_lib.Clock, registry: servers.ServerRegistry, rng: random.Random
    ):
        self._clock = clock
        self._registry = registry
        self._rng = rng
        self._digests: dict[int, servers.ServerState] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def enabled(self) -> bool:
        """Whether reports are exchanged."""
        return self._registry.estimates_loads

    @property
    def counts(self) -> dict[str, int]:
        """Numbers of reports sent, received and newer than what was known, for the state dump."""
        return dict(self._counts)

    def encode(self) -> bytes:
        """Returns reports for a message: half of them the newest, the others drawn at random."""
        if not self.enabled:
            return b""
        now_s = self._clock.monotonic()
        recent = [
            state
            for state in self._registry
            if now_s - state.known_load.reported_at_s < MAX_AGE_S
            and state.known_load.reported_at_s > 0.0
        ]
        if len(recent) > MAX_REPORTS:
            recent.sort(key=lambda state: state.known_load.reported_at_s, reverse=True)
            newest = recent[: MAX_REPORTS // 2]
            others = self._rng.sample(recent[MAX_REPORTS // 2 :], MAX_REPORTS - len(newest))
            recent = newest + others
        self._counts["sent"] += len(recent)
        return b"".join(self._encode_report(state, now_s) for state in recent)

    def apply(self, data: bytes) -> None:
        """Records the reports of another instance that are newer than the known ones."""
        if not data or not self.enabled or len(data) % _REPORT.size:
            return
        now_s = self._clock.monotonic()
        for digest, load, slowdown_tenths, age in _REPORT.iter_unpack(data):
            state = self._state_of(digest)
            self._counts["received"] += 1
            if state is None:
                continue
            reported_at_s = now_s - age * AGE_UNIT_S - TRANSFER_S
            if reported_at_s <= state.known_load.observed_at_s + ROUNDING_S:
                continue
            self._counts["newer"] += 1
            state.known_load.on_report(
                running=load, waiting=0, slowdown=slowdown_tenths / 10.0, now_s=reported_at_s
            )

    def refresh(self) -> None:
        """Updates the digests to the servers that are listed now."""
        self._digests = {_digest(state): state for state in self._registry} if self.enabled else {}

    def _state_of(self, digest: int) -> servers.ServerState | None:
        state = self._digests.get(digest)
        if state is not None and self._registry.get(state.server.server_id) is not state:
            del self._digests[digest]
            return None
        return state

    @staticmethod
    def _encode_report(state: servers.ServerState, now_s: float) -> bytes:
        known = state.known_load
        return _REPORT.pack(
            _digest(state),
            min(MAX_BYTE, round(known.reported_per_slot * known.slots)),
            max(1, min(MAX_BYTE, round(known.reported_slowdown * 10.0))),
            min(MAX_BYTE, int((now_s - known.reported_at_s) / AGE_UNIT_S)),
        )

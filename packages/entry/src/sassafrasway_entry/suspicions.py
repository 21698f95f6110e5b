"""Reports instances that refuse connections to the coordinators of their regions."""

from collections.abc import Callable
from typing import Any

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors, model, region
from sassafrasway_entry import background, control_conversion, directory

REPORT_INTERVAL_S = 0.2
REPORT_TIMEOUT_S = 1.0


class SuspicionReporter:
    """Reports instances that may be gone, each address at most once per ``REPORT_INTERVAL_S``.

    Args:
        peers: ``peers.Peers``, or a fake, which calls other instances.
        suspect_here: Called instead of sending a report when this instance is the coordinator.
    """

    def __init__(
        self,
        *,
        me: region.Instance,
        clock: clock_lib.Clock,
        directory: directory.Directory,
        peers: Any,
        background: background.BackgroundTasks,
        suspect_here: Callable[[model.InstanceId], None],
    ):
        self._me = me
        self._clock = clock
        self._directory = directory
        self._peers = peers
        self._background = background
        self._suspect_here = suspect_here
        # Time of the last report by RPC address.
        self._reported_s: dict[str, float] = {}
        self._log = structlog.get_logger("member").bind(instance=str(me.id))

    def report(self, address: str) -> None:
        """Reports the instance at an address to the coordinator of its region, which probes it."""
        now = self._clock.monotonic()
        target = self._directory.at_address(address)
        if target is None or now < self._reported_s.get(address, 0.0) + REPORT_INTERVAL_S:
            return
        self._reported_s[address] = now
        coordinator = self._directory.region(target.region).coordinator
        if coordinator.id == self._me.id:
            self._suspect_here(target.id)
        else:
            self._background.start(self._send(coordinator, target))

    async def _send(self, coordinator: region.Instance, target: region.Instance) -> None:
        message = control_conversion.to_instance(target)
        try:
            await self._peers.call(
                coordinator.rpc_address, "suspect", timeout_s=REPORT_TIMEOUT_S, instance=message
            )
        except errors.SassafraswayError as error:
            self._log.debug(
                "could not report unreachable instance", peer=error.peer, reason=error.message
            )

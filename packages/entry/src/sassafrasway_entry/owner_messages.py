"""Messages to the owners of pools: reports of crashes and of released slots."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from sassafrasway_core import errors, model
from sassafrasway_entry import control_conversion, dispatcher

CRASH_REPORT_TIMEOUT_S = 0.3  # short, because the retry of the request waits for the reports


class OwnerMessages:
    """Sends messages to the instances that own other pools.

    ``policy_source`` returns the policy in force, or None. ``spawn`` starts a coroutine as a named
    task of the process.
    """

    def __init__(
        self,
        *,
        me: model.InstanceId,
        directory: dispatcher.Directory,
        peers: dispatcher.Peers,
        policy_source: Callable[[], model.Policy | None],
        spawn: Callable[[Coroutine[Any, Any, None], str], None],
    ):
        self._me = me
        self._directory = directory
        self._peers = peers
        self._policy_source = policy_source
        self._spawn = spawn
        self._log = structlog.get_logger("process")

    async def report_crash(self, service: str, fingerprint: str, server: str) -> None:
        """Reports a crash to the owners of the service's other pools before a retry.

        ``fingerprint`` is that of the request that crashed the server.
        """
        policy = self._policy_source()
        owners = {
            owner.rpc_address
            for key in (policy.pools() if policy else ())
            if key.service == service
            and (owner := self._directory.owner(key)) is not None
            and owner.name != self._me.name
        }
        calls = [
            self._peers.call(
                address,
                "report_crash",
                timeout_s=CRASH_REPORT_TIMEOUT_S,
                service_name=service,
                fingerprint=fingerprint,
                server=server,
            )
            for address in owners
        ]
        for result in await asyncio.gather(*calls, return_exceptions=True):
            if isinstance(result, Exception):
                self._log.warning("crash report not delivered", error=str(result))

    def on_slot_released(self, key: model.PoolKey, server_name: str) -> None:
        """Notifies the new owner of a pool that a request of this instance released its slot."""
        owner = self._directory.owner(key)
        if owner is not None and owner.name != self._me.name:
            self._spawn(self._send_release(owner.rpc_address, key, server_name), "release")

    async def _send_release(self, address: str, key: model.PoolKey, server_name: str) -> None:
        pool = control_conversion.to_pool(key)
        try:
            await self._peers.call(address, "release_slots", pool=pool, server=server_name, slots=1)
        except errors.SassafraswayError as error:
            self._log.info("slot release not delivered", peer=address, error=str(error))

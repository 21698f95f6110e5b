"""Calls of the Operator service at the first entry instance that answers."""

import asyncio
from collections.abc import Sequence
from typing import Any

from sassafrasway_core import errors
from sassafrasway_rpc import client as rpc_client
from sassafrasway_rpc import schema

DEFAULT_TIMEOUT_S = 10.0
# Number of times that all addresses are tried. When the reply to a change is lost in the first
# round, the second round repeats the change and finds it applied under its change id.
ROUNDS = 2
PAUSE_BETWEEN_ROUNDS_S = 0.3


class OperatorClient:
    """Calls methods of the Operator service, trying several entry instances in turn.

    A call is repeated at the next instance even when the first one may have accepted its change.
    This is safe because every change of the policy carries a change id, under which it is applied
    only once.

    Args:
        addresses: ``host:port`` of the instances in order of preference.
        timeout_s: Timeout of each attempt in seconds.
    """

    def __init__(self, *, addresses: Sequence[str], timeout_s: float = DEFAULT_TIMEOUT_S):
        self._addresses = addresses
        self._timeout_s = timeout_s

    def call(self, method: str, **arguments: Any) -> Any:
        """Calls a method and returns its result.

        Raises:
            errors.UnavailableError: Every instance failed to answer, or reported that it has no
                policy yet or cannot reach the table service or the instance to drain; a change may
                have been accepted.
            errors.SassafraswayError: An instance answered with another error.
        """
        return asyncio.run(self._call(method, arguments))

    async def _call(self, method: str, arguments: dict[str, Any]) -> Any:
        failures = {}
        for round_index in range(ROUNDS):
            if round_index:
                await asyncio.sleep(PAUSE_BETWEEN_ROUNDS_S)
            for address in self._addresses:
                try:
                    return await self._call_one(address, method, arguments)
                except errors.UnavailableError as error:
                    # The text includes the peer, which may be the table service.
                    failures[address] = str(error)
        reasons = "; ".join(f"{address}: {reason}" for address, reason in failures.items())
        raise errors.UnavailableError(
            f"no instance could serve the call: {reasons}", step=f"ctl.{method}"
        )

    async def _call_one(self, address: str, method: str, arguments: dict[str, Any]) -> Any:
        client = rpc_client.RpcClient(
            address=address, service=schema.config.Operator, timeout_s=self._timeout_s
        )
        try:
            return await client.call(method, **arguments)
        finally:
            await client.close()

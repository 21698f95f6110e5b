"""Finds the coordinator of a region through other instances while the table does not answer."""

import random
from collections.abc import Sequence
from typing import Any

import structlog

from sassafrasway_core import errors, region
from sassafrasway_entry import coordinator_task, directory
from sassafrasway_platform import instances

JOIN_ADDRESSES = 3


class Joiner:
    """Asks known instances for the directory of this instance's region.

    Args:
        me: This instance.
        peers: Calls to other instances.
        directory: Learns what the peers answer.
        instance_list: The platform's list of instances.
        seeds: RPC addresses of instances to join through.
        rng: Random source for the choice of peers.
    """

    def __init__(
        self,
        *,
        me: region.Instance,
        peers: Any,
        directory: directory.Directory,
        instance_list: instances.InstanceList,
        seeds: Sequence[str],
        rng: random.Random,
    ):
        self._me = me
        self._peers = peers
        self._directory = directory
        self._instance_list = instance_list
        self._seeds = tuple(seeds)
        self._rng = rng
        self._log = structlog.get_logger("member").bind(instance=str(me.id))

    async def find_region(self) -> directory.RegionDirectory | None:
        """Returns what the first peer that answers knows of the region, or None."""
        for address in await self._addresses():
            try:
                received = await coordinator_task.call_directory(self._peers, address, known={})
            except errors.SassafraswayError as error:
                self._log.info("cannot join through peer", peer=address, reason=error.message)
                continue
            self._directory.update(received)
            own = self._directory.region(self._me.region)
            if own is not None:
                return own
        return None

    async def _addresses(self) -> list[str]:
        addresses = set(self._seeds)
        addresses |= {each.rpc_address for each in self._directory.instances()}
        try:
            addresses |= {each.address for each in await self._instance_list.fetch()}
        except errors.SassafraswayError as error:
            self._log.info("instance list not read", reason=error.message)
        addresses.discard(self._me.rpc_address)
        return self._rng.sample(sorted(addresses), min(JOIN_ADDRESSES, len(addresses)))

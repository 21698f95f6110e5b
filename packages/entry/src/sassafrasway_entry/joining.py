"""Finds a region's coordinator through other instances during an outage of the table service."""

import random
from collections.abc import Sequence
from typing import Any

import structlog

from sassafrasway_core import errors, region
from sassafrasway_entry import coordinator_task, directory
from sassafrasway_platform import instances

# Maximum number of peers to ask per attempt.
MAX_JOIN_PEERS = 3


class Joiner:
    """Asks other instances for the directory of the region of this instance.

    Args:
        peers: ``peers.Peers``, or a fake, which calls other instances.
        directory: Receives the directories that peers return.
        seeds: RPC addresses of instances to join through.
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
        """Returns the region's directory from the first peer that has it, or None."""
        for address in await self._addresses():
            try:
                received = await coordinator_task.exchange_directories(
                    self._peers, address, known={}
                )
            except errors.SassafraswayError as error:
                self._log.info(
                    "could not fetch directories from peer", peer=address, reason=error.message
                )
                continue
            self._directory.update(received)
            own_region = self._directory.region(self._me.region)
            if own_region is not None:
                return own_region
        return None

    async def _addresses(self) -> list[str]:
        addresses = set(self._seeds)
        addresses |= {instance.rpc_address for instance in self._directory.instances()}
        try:
            addresses |= {listed.address for listed in await self._instance_list.fetch()}
        except errors.SassafraswayError as error:
            self._log.info("could not fetch the instance list", reason=error.message)
        addresses.discard(self._me.rpc_address)
        return self._rng.sample(sorted(addresses), min(MAX_JOIN_PEERS, len(addresses)))

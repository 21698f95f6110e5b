"""Announces to the region which versions of the store's tables this instance has."""

import asyncio
import time
from collections.abc import Callable, Mapping

from sassafrasway_gateway import fleet, follower, relay

CHECK_INTERVAL_S = 0.05


class VersionAnnouncer:
    """Decides when versions are announced, and to whom.

    Readers announce the tables that they read all the time, and at once when they lose one, so that
    others begin to read it. Another instance announces versions that it has learned elsewhere when
    the region's readers do not have them.

    Args:
        followers: Followed tables by name.
        role: Knows what the region's readers announce.
        send: Sends an announcement of versions by table to some instances.
    """

    def __init__(
        self,
        *,
        followers: Mapping[str, follower.TableFollower],
        role: relay.RelayRole,
        send: Callable[[list[fleet.Member], dict[str, int]], None],
    ):
        self._followers = followers
        self._role = role
        self._send = send
        self._announced = self.versions()
        self._read: dict[str, int] = {}
        self._sent_s = 0.0

    def versions(self) -> dict[str, int]:
        """Returns the newest version seen of each table."""
        return {name: entry.version for name, entry in self._followers.items()}

    async def run(self) -> None:
        """Announces until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.update()

    def update(self) -> None:
        """Announces what is due."""
        versions = self.versions()
        changed = versions != self._announced
        self._announced = versions
        read = {name: versions[name] for name, entry in self._followers.items() if entry.reading}
        lost = any(name not in read and self._followers[name].lost for name in self._read)
        self._read = read
        now_s = time.monotonic()
        due = now_s - self._sent_s >= relay.BEACON_INTERVAL_S
        if lost or (read and (changed or due)):
            self._send(self._role.audience(changed=changed), read)
            self._sent_s = now_s
        elif not read and changed and self._role.ahead(versions):
            self._send(self._role.audience(changed=False), versions)

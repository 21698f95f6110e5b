"""Announces the table versions of this instance to other instances."""

import asyncio
from collections.abc import Callable, Mapping

from sassafrasway_core import clock as clock_lib
from sassafrasway_gateway import fleet, follower, relay_role

CHECK_INTERVAL_S = 0.05


class VersionAnnouncer:
    """Decides when table versions are announced, and to which instances.

    An instance that reads the store announces the tables that it reads at regular intervals, and
    those that it tries to read without an answer. It also does so as soon as it has a new version,
    begins to try, or can no longer read a table and others must take over. Any other instance
    announces a new version once if the region's readers lack it.

    """

    def __init__(
        self,
        *,
        followers: Mapping[str, follower.TableFollower],
        role: relay_role.RelayRole,
        send: Callable[[list[fleet.Member], relay_role.Announcement], None],
    ):
        self._followers = followers
        self._role = role
        self._send = send
        self._last_versions = self.versions()
        # Versions of the tables that this instance read from the store at the last update.
        self._last_read_versions: dict[str, int] = {}
        self._last_unanswered: tuple[str, ...] = ()
        self._last_sent_s = 0.0

    def versions(self) -> dict[str, int]:
        """Returns the newest version of each table that this instance has."""
        return {name: table_follower.version for name, table_follower in self._followers.items()}

    async def run(self) -> None:
        """Announces until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.update()

    def update(self) -> None:
        """Sends an announcement if one is due."""
        versions = self.versions()
        changed = versions != self._last_versions
        self._last_versions = versions
        read_versions = {
            name: versions[name]
            for name, table_follower in self._followers.items()
            if table_follower.reading
        }
        # A follower that stopped reading without an interruption has not lost its table: it is
        # about to poll again, or receives the rows from other instances.
        lost = any(
            name not in read_versions and self._followers[name].interrupted
            for name in self._last_read_versions
        )
        self._last_read_versions = read_versions
        unanswered = tuple(
            name for name, table_follower in self._followers.items() if table_follower.unanswered
        )
        begins = bool(set(unanswered) - set(self._last_unanswered))
        self._last_unanswered = unanswered
        now_s = clock_lib.elapsed_s()
        due = now_s - self._last_sent_s >= relay_role.BEACON_INTERVAL_S
        if lost or begins or (read_versions and (changed or due)) or (unanswered and due):
            announcement = relay_role.Announcement(
                versions=read_versions,
                reads=True,
                unanswered=unanswered,
                call_age_s=self._call_age_s(now_s),
            )
            self._send(self._role.recipients(changed=changed), announcement)
            self._last_sent_s = now_s
        elif not read_versions and changed and self._role.is_ahead_of_readers(versions):
            announcement = relay_role.Announcement(versions=versions, reads=False)
            self._send(self._role.recipients(changed=False), announcement)

    def _call_age_s(self, now_s: float) -> float | None:
        """Returns the time since this instance began the last call that the store answered."""
        calls_s = [
            table_follower.last_answered_call_s
            for table_follower in self._followers.values()
            if table_follower.last_answered_call_s is not None
        ]
        return max(0.0, now_s - max(calls_s)) if calls_s else None

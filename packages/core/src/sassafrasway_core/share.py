"""Shares of a pool's slots that an instance may use.

A pool is granted in two parts. The main part expires unless heartbeats renew its grant, so that the
coordinator can grant it to another instance when the holder is silent. The other part, the offline
third of each server's slots, does not expire, so that the holder can go on running requests while
it cannot reach the coordinator. ``coordinator`` states when each part becomes free.
"""

import enum


class Share(enum.Enum):
    """Share of each server's slots that an instance may use.

    ``OFFLINE`` is a third of the slots, rounded down, and ``REDUCED`` is the rest.
    """

    NONE = "none"
    OFFLINE = "offline"
    REDUCED = "reduced"
    FULL = "full"

    def slots(self, total: int) -> int:
        """Returns the slots usable on a server that has ``total`` slots."""
        offline = total // 3
        return {
            Share.NONE: 0,
            Share.OFFLINE: offline,
            Share.REDUCED: total - offline,
            Share.FULL: total,
        }[self]

    @classmethod
    def of(cls, *, offline: bool, main: bool) -> "Share":
        """Returns the share with the offline third, the main part (all other slots) or both."""
        if main:
            return cls.FULL if offline else cls.REDUCED
        return cls.OFFLINE if offline else cls.NONE

    @property
    def has_offline(self) -> bool:
        """Whether the offline third is included."""
        return self in (Share.OFFLINE, Share.FULL)

    @property
    def has_main(self) -> bool:
        """Whether the main part is included."""
        return self in (Share.REDUCED, Share.FULL)

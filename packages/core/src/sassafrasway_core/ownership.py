"""Member side of pool ownership: the grants received and the epoch that the member follows.

``member`` keeps this state up to date, and the entry package reads from it what it may use now.
"""

import dataclasses
from collections.abc import Mapping

from sassafrasway_core import cap_grants, model, region, share
from sassafrasway_core import clock as clock_lib
from sassafrasway_core import invariants as invariants_lib


@dataclasses.dataclass(slots=True, kw_only=True)
class _HeldPool:
    """A granted pool; ``main_until_s`` is in the past when the main part is not granted."""

    grant: region.PoolGrant
    offline: bool
    main_until_s: float


class GrantState:
    """Pools and shares of caps that this instance may use, according to its own clock.

    The right to use the main part of a pool ends when its grant expires. The offline third is kept
    until a reply of the coordinator omits it, so it is kept while the coordinator is unreachable.

    Args:
        clock: Time source; grants expire by its monotonic time.
        invariants: Checks that the epoch never decreases; may raise ``errors.InvariantViolation``.
    """

    def __init__(self, *, clock: clock_lib.Clock, invariants: invariants_lib.Invariants):
        self._clock = clock
        self._invariants = invariants
        self._epoch = 0
        self._coordinator: region.Instance | None = None
        self._applied_seq = 0
        self._echo_s: float | None = None
        self._holders_recorded_until_s = float("-inf")
        self._held: dict[model.PoolKey, _HeldPool] = {}
        self._caps = cap_grants.HeldCaps(clock=clock)

    @property
    def epoch(self) -> int:
        """Highest epoch that this instance has followed."""
        return self._epoch

    @property
    def coordinator(self) -> region.Instance | None:
        """Coordinator of the epoch, or None before the first one."""
        return self._coordinator

    @property
    def applied_seq(self) -> int:
        """Number of the latest reply of the epoch that was applied, or 0."""
        return self._applied_seq

    @property
    def echo_s(self) -> float | None:
        """``stamp_s`` of the latest reply of the epoch that was applied, or None."""
        return self._echo_s

    @property
    def holders_recorded_until_s(self) -> float:
        """Time until which only recorded members hold grants of the epoch's coordinator."""
        return self._holders_recorded_until_s

    @property
    def caps(self) -> cap_grants.HeldCaps:
        """This instance's shares of caps."""
        return self._caps

    @property
    def pools(self) -> frozenset[model.PoolKey]:
        """Pools in the latest reply that was applied; empty after ``revoke``."""
        return frozenset(self._held)

    def share(self, pool: model.PoolKey) -> share.Share:
        """Returns the share of a pool that may be used now."""
        held = self._held.get(pool)
        if held is None:
            return share.Share.NONE
        main = self._clock.monotonic() < held.main_until_s
        return share.Share.of(offline=held.offline, main=main)

    def grants(self) -> list[region.PoolGrant]:
        """Returns the grants with a share that may be used now, sorted by pool."""
        return [
            dataclasses.replace(held.grant, share=self.share(pool), expires_s=held.main_until_s)
            for pool, held in sorted(self._held.items())
            if self.share(pool) is not share.Share.NONE
        ]

    def reports(
        self, details: Mapping[model.PoolKey, region.PoolReport]
    ) -> dict[model.PoolKey, region.PoolReport]:
        """Returns the pool reports of a heartbeat, with the shares now in force.

        ``details`` holds the reports of the pools with more to report than the share; the ``share``
        in these reports is ignored. Pools that are granted but missing there are reported, too.
        """
        empty = region.PoolReport(share=share.Share.NONE)
        reports = {}
        for pool in {*self._held, *details}:
            detail = details.get(pool, empty)
            reports[pool] = dataclasses.replace(detail, share=self.share(pool))
        return reports

    def follow(self, *, epoch: int, coordinator: region.Instance) -> bool:
        """Follows a coordinator unless its epoch is lower than the current one.

        Returns:
            Whether this instance follows that coordinator now.
        """
        if epoch < self._epoch:
            return False
        if epoch > self._epoch:
            self._set_epoch(epoch)
            self._coordinator = coordinator
        return self._coordinator is not None and self._coordinator.id == coordinator.id

    def apply(self, reply: region.HeartbeatReply, *, sent_s: float) -> bool:
        """Applies the reply to the heartbeat sent at ``sent_s``.

        Returns:
            False when the reply is stale or not accepted; the grants then stay as they are.
        """
        if not self.follow(epoch=reply.epoch, coordinator=reply.coordinator):
            return False
        if not reply.accepted or reply.seq <= self._applied_seq:
            return False
        self._applied_seq = reply.seq
        self._echo_s = reply.stamp_s
        self._holders_recorded_until_s = sent_s + reply.settled_s
        self._caps.apply(reply.cap_shares, sent_s=sent_s)
        self._held = {grant.pool: _to_held_pool(grant, sent_s) for grant in reply.grants}
        return True

    def revoke(self) -> None:
        """Drops all pools and shares of caps, because they may have been granted to others."""
        self._held = {}
        self._caps.revoke()

    def _set_epoch(self, epoch: int) -> None:
        self._invariants.check(
            invariants_lib.Rule.EPOCH_NEVER_DECREASES,
            epoch >= self._epoch,
            f"epoch {epoch} would replace the higher epoch {self._epoch}",
        )
        self._epoch = epoch
        self._applied_seq = 0
        self._echo_s = None
        self._holders_recorded_until_s = float("-inf")


def _to_held_pool(grant: region.PoolGrant, sent_s: float) -> _HeldPool:
    main_until_s = float("-inf")
    if grant.share.has_main:
        main_until_s = sent_s + region.GRANT_S - region.GRANT_MARGIN_S
    return _HeldPool(grant=grant, offline=grant.share.has_offline, main_until_s=main_until_s)

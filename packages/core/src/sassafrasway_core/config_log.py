"""The current policy and the recent changes that led to it.

Instances that are a few revisions behind fetch the changes instead of the whole policy. The ids of
recent changes show that a repeated request of an operator has been applied already.
"""

import collections
from collections.abc import Mapping

from sassafrasway_core import documents, invariants, model


class ConfigLog:
    """Keeps the current policy, whose revision never decreases, and the recent changes.

    Revision 0 stands for the empty policy before the first change.

    Args:
        invariants: Checks that the revision never decreases; may raise
            ``errors.InvariantViolation``.
        keep: Number of recent changes, and of change ids, that are kept.
    """

    def __init__(self, *, invariants: invariants.Invariants, keep: int = 256):
        self._invariants = invariants
        self._keep = keep
        self._policy: model.Policy | None = None
        self._changes: collections.deque[documents.Change] = collections.deque(maxlen=keep)
        # Revisions by change id, oldest first.
        self._revisions: dict[str, int] = {}

    @property
    def policy(self) -> model.Policy | None:
        """The current policy, or None before the first one."""
        return self._policy

    @property
    def revision(self) -> int:
        """Revision of the current policy, or 0 before the first one."""
        return self._policy.revision if self._policy else 0

    @property
    def change_ids(self) -> dict[str, int]:
        """Revisions by the ids of the recent changes that produced them, oldest first."""
        return dict(self._revisions)

    def install(self, policy: model.Policy, *, change_ids: Mapping[str, int] | None = None) -> bool:
        """Replaces the current policy; returns False when the given one is not newer.

        ``change_ids`` maps the ids of the changes that led to the policy, oldest first, to their
        revisions.
        """
        if not self._may_follow(policy.revision):
            return False
        if self._policy is not None and policy.revision == self.revision:
            return False
        self._policy = policy
        self._changes.clear()
        self._record_change_ids(change_ids or {})
        return True

    def append(self, change: documents.Change) -> bool:
        """Applies a change; returns False when its base is not the current revision.

        Raises:
            errors.ValidationError: The result would be invalid.
        """
        if change.base_revision != self.revision:
            return False
        policy = documents.apply_change(self._policy or documents.EMPTY_POLICY, change)
        if not self._may_follow(policy.revision):
            return False
        self._policy = policy
        self._changes.append(change)
        self._record_change_ids({change.change_id: change.revision})
        return True

    def since(self, revision: int) -> list[documents.Change] | None:
        """Returns the changes after a revision, or None when not all of them are kept."""
        if revision >= self.revision:
            return []
        changes = [change for change in self._changes if change.base_revision >= revision]
        is_complete = bool(changes) and changes[0].base_revision == revision
        return changes if is_complete else None

    def find(self, change_id: str) -> int | None:
        """Returns the revision that a recent change produced, or None."""
        return self._revisions.get(change_id)

    def _may_follow(self, revision: int) -> bool:
        holds = revision >= self.revision
        self._invariants.check(
            invariants.Rule.REVISION_NEVER_DECREASES,
            holds,
            f"revision {revision} would replace the newer revision {self.revision}",
        )
        return holds

    def _record_change_ids(self, change_ids: Mapping[str, int]) -> None:
        self._revisions.update(change_ids)
        for change_id in list(self._revisions)[: -self._keep]:
            del self._revisions[change_id]

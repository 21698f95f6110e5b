"""Parts of the state dump of an entry instance, as JSON-serializable data."""

import dataclasses
import enum
from typing import Any

from sassafrasway_entry import gatekeeper, outcomes, pools, steering


def to_jsonable(value: Any) -> Any:
    """Converts nested dataclasses, enums and collections to JSON-serializable data.

    Keys of mappings, and values of other types, are converted with ``str``.
    """
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: to_jsonable(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {str(key): to_jsonable(item) for key, item in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [to_jsonable(item) for item in value]
    if isinstance(value, (str, int, float, bool)) or value is None:
        return value
    return str(value)


def pools_dump(manager: pools.PoolManager) -> dict[str, Any]:
    """Returns the state of all owned pools."""
    return {
        str(key): {
            "grant": to_jsonable(owned.grant),
            "slots": to_jsonable(owned.slots.snapshot()),
            "requests": owned.requests,
            "waiting": len(owned.waiters),
        }
        for key, owned in manager.owned.items()
    }


def at_most_once_dump(
    keeper: gatekeeper.Gatekeeper, store: outcomes.OutcomeStore
) -> dict[str, int]:
    """Counts running requests, pending claim updates, and pending and dropped outcomes."""
    return {
        "running": keeper.running,
        "claim_updates": keeper.pending_updates,
        "outcomes_pending": store.pending,
        "outcomes_dropped": store.dropped,
    }


def policy_dump(steer: steering.Steering) -> dict[str, Any]:
    """Returns the revision of the policy, the sizes of sections and the names of shifts."""
    policy = steer.policy
    if policy is None:
        return {"revision": None}
    return {
        "revision": policy.revision,
        "regions": len(policy.regions),
        "services": len(policy.services),
        "servers": len(policy.servers),
        "blocks": len(policy.blocks),
        "shifts": sorted(policy.shifts),
    }

"""State dump of an entry instance as JSON-able data."""

import dataclasses
import enum
from typing import Any

from sassafrasway_entry import gatekeeper, outcomes, pools, steering


def to_json(value: Any) -> Any:
    """Returns plain data for nested data classes, enums and mappings with object keys."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: to_json(getattr(value, field.name)) for field in dataclasses.fields(value)
        }
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {str(key): to_json(each) for key, each in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [to_json(each) for each in value]
    if isinstance(value, (str, int, float, bool)) or value is None:
        return value
    return str(value)


def pools_dump(manager: pools.PoolManager) -> dict[str, Any]:
    """Returns the state of all owned pools."""
    return {
        str(key): {
            "grant": to_json(owned.grant),
            "slots": to_json(owned.slots.snapshot()),
            "requests": owned.requests,
            "waiting": len(owned.waiters),
        }
        for key, owned in manager.owned.items()
    }


def at_most_once_dump(
    keeper: gatekeeper.Gatekeeper, store: outcomes.OutcomeStore
) -> dict[str, int]:
    """Returns the counts of keys and of outcomes that are not stored yet."""
    return {
        "running": keeper.running,
        "claim_updates": keeper.pending_updates,
        "outcomes_pending": store.pending,
        "outcomes_dropped": store.dropped,
    }


def policy_dump(steer: steering.Steering) -> dict[str, Any]:
    """Returns the size and revision of the policy in force."""
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

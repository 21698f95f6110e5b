"""Files that operators write: full policy documents and changes."""

import dataclasses
from typing import Any

from sassafrasway_core import documents, errors, model
from sassafrasway_ctl import client, options

# Key of a full document that names the revision it was read from.
REVISION_KEY = "revision"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The change that a file asks for.

    Attributes:
        current: Policy in force when the plan was made; None when it was not needed.
        wanted: Policy after the change; None with ``current``.
        change: The change; its sections are empty when the policy is already as wanted.
    """

    current: model.Policy | None
    wanted: model.Policy | None
    change: documents.Change


def read_policy(operator: client.OperatorClient, revision: int | None = None) -> model.Policy:
    """Returns a revision of the policy of the system, the current one by default."""
    reply = operator.call("get_policy", revision=revision)
    data = documents.parse_json(reply.document_json)
    return documents.parse_policy(data, revision=reply.revision)


def plan(
    text: bytes,
    *,
    values: options.ChangeOptions,
    operator: client.OperatorClient,
    compare: bool,
) -> Plan:
    """Returns the change that a file asks for.

    A file with the key ``sections`` is a change; any other one is a full document.

    Args:
        text: Contents of the file.
        values: Change id and author where the file has none, and the expected base revision.
        operator: Client of the system.
        compare: Work out the policies before and after also for a change file.

    Raises:
        errors.ValidationError: The file is invalid.
        errors.ConflictError: The document was read from a revision that is no longer current.
    """
    data = documents.parse_json(text)
    if isinstance(data, dict) and "sections" in data:
        change = _read_change(data, values)
        if not compare:
            return Plan(current=None, wanted=None, change=change)
        current = read_policy(operator)
        return Plan(current=current, wanted=documents.apply_change(current, change), change=change)
    return _plan_document(data, values, operator)


def _read_change(data: dict[str, Any], values: options.ChangeOptions) -> documents.Change:
    defaults: dict[str, Any] = {"change_id": values.change_id, "author": values.author}
    if values.base_revision is not None:
        defaults["base_revision"] = values.base_revision
    change = documents.parse_change({**defaults, **data})
    if values.base_revision not in (None, change.base_revision):
        raise errors.ConflictError(
            f"the change is based on revision {change.base_revision}, not {values.base_revision}",
            step="ctl.apply",
        )
    return change


def _plan_document(
    data: Any, values: options.ChangeOptions, operator: client.OperatorClient
) -> Plan:
    base = values.base_revision
    if isinstance(data, dict) and REVISION_KEY in data:
        data = dict(data)
        base = _read_base(data.pop(REVISION_KEY), base)
    wanted = documents.parse_policy(data, revision=0)
    current = read_policy(operator)
    if base is not None and base != current.revision:
        raise errors.ConflictError(
            f"the document is based on revision {base}, but revision {current.revision} is current",
            step="ctl.apply",
        )
    change = documents.Change(
        base_revision=current.revision,
        change_id=values.change_id,
        author=values.author,
        sections=documents.difference(current, wanted),
    )
    return Plan(current=current, wanted=wanted, change=change)


def _read_base(value: Any, expected: int | None) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise errors.ValidationError(
            f"key {REVISION_KEY!r}: {value!r} is invalid; expected an integer of at least 0",
            step="ctl.apply",
        )
    if expected not in (None, value):
        raise errors.ConflictError(
            f"the document is based on revision {value}, not {expected}", step="ctl.apply"
        )
    return value

"""Reading of policy files: full policy documents and change files."""

import dataclasses
from typing import Any

from sassafrasway_core import documents, errors, model
from sassafrasway_ctl import client, options

# Key in a full document for the revision from which the document was read.
REVISION_KEY = "revision"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The change that applies a policy file.

    Attributes:
        current: Current policy when the plan was made; None when it was not needed.
        desired: Policy after the change; None if ``current`` is None.
        change: The change; its sections are empty when the policy already matches the file.
    """

    current: model.Policy | None
    desired: model.Policy | None
    change: documents.Change


def read_policy(operator: client.OperatorClient, revision: int | None = None) -> model.Policy:
    """Fetches a revision of the policy, by default the current one.

    Raises:
        errors.NotFoundError: The revision does not exist.
        errors.UnavailableError: No instance could return the policy.
    """
    reply = operator.call("get_policy", revision=revision)
    data = documents.parse_json(reply.document_json)
    return documents.parse_policy(data, revision=reply.revision)


def plan(
    text: bytes,
    *,
    change_options: options.ChangeOptions,
    operator: client.OperatorClient,
    compare: bool,
) -> Plan:
    """Returns the change that applies a policy file.

    A file with the key ``sections`` is a change; any other file is a full policy document.

    Args:
        text: Contents of the file.
        change_options: Change id and author for a file without them. A base revision other than
            None must be that of the file, or be current if the file has none.
        operator: Client that fetches the current policy.
        compare: Whether to determine the policies before and after a change file as well.

    Raises:
        errors.ValidationError: The file is invalid.
        errors.ConflictError: The file is not based on the expected or current revision. Without
            ``compare``, a change file is not checked against the current revision.
        errors.UnavailableError: The current policy is needed, but no instance could return it.
    """
    data = documents.parse_json(text)
    if isinstance(data, dict) and "sections" in data:
        change = _read_change(data, change_options)
        if not compare:
            return Plan(current=None, desired=None, change=change)
        current = read_policy(operator)
        return Plan(current=current, desired=documents.apply_change(current, change), change=change)
    return _plan_document(data, change_options, operator)


def _read_change(data: dict[str, Any], change_options: options.ChangeOptions) -> documents.Change:
    defaults: dict[str, Any] = {
        "change_id": change_options.change_id,
        "author": change_options.author,
    }
    if change_options.base_revision is not None:
        defaults["base_revision"] = change_options.base_revision
    change = documents.parse_change({**defaults, **data})
    if change_options.base_revision not in (None, change.base_revision):
        raise errors.ConflictError(
            f"the change is based on revision {change.base_revision},"
            f" not {change_options.base_revision}",
            step="ctl.apply",
        )
    return change


def _plan_document(
    data: Any, change_options: options.ChangeOptions, operator: client.OperatorClient
) -> Plan:
    base = change_options.base_revision
    if isinstance(data, dict) and REVISION_KEY in data:
        data = dict(data)
        base = _parse_base_revision(data.pop(REVISION_KEY), base)
    desired = documents.parse_policy(data, revision=0)
    current = read_policy(operator)
    if base is not None and base != current.revision:
        raise errors.ConflictError(
            f"the document is based on revision {base}, but revision {current.revision} is current",
            step="ctl.apply",
        )
    change = documents.Change(
        base_revision=current.revision,
        change_id=change_options.change_id,
        author=change_options.author,
        sections=documents.difference(current, desired),
    )
    return Plan(current=current, desired=desired, change=change)


def _parse_base_revision(value: Any, expected: int | None) -> int:
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

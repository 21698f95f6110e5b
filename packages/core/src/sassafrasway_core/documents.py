"""Parsing, serialisation and comparison of policy documents and policy changes.

A policy document is a JSON object of sections; each section maps names to objects. A change
adds, replaces or deletes whole objects. Invalid input raises one ``errors.ValidationError``, whose
message lists at most ``policy_checks.MAX_REPORTED_PROBLEMS`` problems.
"""

import dataclasses
import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import pydantic

from sassafrasway_core import errors, model, policy_checks, policy_schema

# Model objects by section and name; in a change, None stands for a deleted object.
Sections = Mapping[str, Mapping[str, Any]]

EMPTY_POLICY = model.Policy(revision=0, **{name: {} for name in policy_schema.SECTIONS})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change of a policy.

    Attributes:
        change_id: Chosen by the operator. A change with the id of a recent change is not applied
            again, so that an operator can repeat a request whose reply was lost.
        sections: New model objects by section and name; None deletes the object.
    """

    base_revision: int
    change_id: str
    author: str
    sections: Sections

    @property
    def revision(self) -> int:
        """Revision that the change produces."""
        return self.base_revision + 1


def parse_json(text: str | bytes) -> Any:
    """Parses a JSON text and rejects duplicate keys and the constants NaN and Infinity.

    A number that is too large for a float, such as 1e999, becomes infinite. The schema of policy
    documents rejects it.
    """
    try:
        return json.loads(
            text, object_pairs_hook=_reject_duplicate_keys, parse_constant=_reject_constant
        )
    except RecursionError:
        raise _malformed_json("malformed JSON: nested too deeply") from None
    except ValueError as error:
        raise _malformed_json(f"malformed JSON: {error}") from None


def parse_policy(data: Any, *, revision: int) -> model.Policy:
    """Validates a parsed policy document and returns the policy."""
    problems: list[policy_checks.Problem] = []
    sections = _parse_sections(data, problems, may_delete=False)
    complete = {name: sections.get(name, {}) for name in policy_schema.SECTIONS}
    # An invalid object counts as existing, so that references to it are not reported as well.
    raw = data if isinstance(data, Mapping) else {}
    existing = {name: _object_names(raw.get(name)) for name in policy_schema.SECTIONS}
    problems.extend(policy_checks.find_problems(complete, existing=existing))
    policy_checks.raise_problems(problems, step="documents.parse_policy")
    return model.Policy(revision=revision, **complete)


def dump_policy(policy: model.Policy) -> dict[str, dict[str, Any]]:
    """Returns the JSON document of a policy, with the objects of each section sorted by name."""
    return {
        section: {name: _dump(section, item) for name, item in sorted(objects.items())}
        for section, objects in sections_of(policy).items()
    }


def parse_change(data: Any) -> Change:
    """Validates a parsed change document and returns the change."""
    problems: list[policy_checks.Problem] = []
    header = None
    try:
        header = policy_schema.ChangeDocument.model_validate(data)
    except pydantic.ValidationError as error:
        problems.extend(policy_schema.problems_of(error, policy_schema.ChangeDocument))
    raw = data.get("sections") if isinstance(data, Mapping) else None
    sections = _parse_sections(raw, problems, may_delete=True) if raw is not None else {}
    policy_checks.raise_problems(problems, step="documents.parse_change")
    assert header is not None  # raise_problems() has raised otherwise
    return Change(
        base_revision=header.base_revision,
        change_id=header.change_id,
        author=header.author,
        sections=sections,
    )


def dump_change(change: Change) -> dict[str, Any]:
    """Returns the JSON document of a change."""
    return {
        "base_revision": change.base_revision,
        "change_id": change.change_id,
        "author": change.author,
        "sections": dump_sections(change.sections),
    }


def parse_sections(data: Any) -> Sections:
    """Validates the parsed sections of a change and returns their model objects."""
    problems: list[policy_checks.Problem] = []
    sections = _parse_sections(data, problems, may_delete=True)
    policy_checks.raise_problems(problems, step="documents.parse_sections")
    return sections


def dump_sections(sections: Sections) -> dict[str, dict[str, Any]]:
    """Returns the JSON document of the sections of a change."""
    return {
        section: {
            name: None if item is None else _dump(section, item) for name, item in objects.items()
        }
        for section, objects in sections.items()
    }


def apply_change(policy: model.Policy, change: Change) -> model.Policy:
    """Returns the policy after a change; reuses the sections that the change does not contain.

    Only what the change can make invalid is checked, because a full check takes seconds for a
    policy of the size that the system is designed for.

    Raises:
        errors.ConflictError: The change is based on another revision.
        errors.ValidationError: The result would be invalid.
    """
    step = "documents.apply_change"
    if change.base_revision != policy.revision:
        raise errors.ConflictError(
            f"the change is based on revision {change.base_revision}, but revision"
            f" {policy.revision} is current",
            step=step,
        )
    problems = list(_unknown_deletions(policy, change.sections))
    result = patch(policy, change.sections, revision=change.revision)
    sections = sections_of(result)
    changed = {section: list(objects) for section, objects in change.sections.items()}
    problems.extend(policy_checks.find_problems(sections, existing=sections, changed=changed))
    policy_checks.raise_problems(problems, step=step)
    return result


def patch(policy: model.Policy, sections: Sections, *, revision: int) -> model.Policy:
    """Returns a policy with objects added, replaced or deleted, without validation.

    Deleting an object that does not exist has no effect.
    """
    changed = {}
    for section, objects in sections.items():
        merged = dict(getattr(policy, section))
        for name, item in objects.items():
            if item is None:
                merged.pop(name, None)
            else:
                merged[name] = item
        changed[section] = merged
    return dataclasses.replace(policy, revision=revision, **changed)


def difference(old: model.Policy, new: model.Policy) -> Sections:
    """Returns the sections of the change that turns ``old`` into ``new``."""
    sections = {}
    for section, before in sections_of(old).items():
        after = getattr(new, section)
        if before is after:
            continue
        changed = {name: None for name in before if name not in after}
        changed.update((name, item) for name, item in after.items() if before.get(name) != item)
        if changed:
            sections[section] = changed
    return sections


def sections_of(policy: model.Policy) -> dict[str, Mapping[str, Any]]:
    """Returns the sections of a policy by name."""
    return {section: getattr(policy, section) for section in policy_schema.SECTIONS}


def _parse_sections(
    data: Any, problems: list[policy_checks.Problem], *, may_delete: bool
) -> dict[str, dict[str, Any]]:
    """Returns the valid model objects by section and name; appends to ``problems``."""
    if not isinstance(data, Mapping):
        problems.append(policy_checks.Problem(detail="expected a JSON object of sections"))
        return {}
    sections = {}
    for section, objects in data.items():
        parser = policy_schema.SECTIONS.get(section)
        if parser is None:
            detail = f"unknown section; expected one of {', '.join(policy_schema.SECTIONS)}"
            problems.append(policy_checks.Problem(section=str(section), detail=detail))
        elif not isinstance(objects, Mapping):
            detail = "expected a JSON object of objects by name"
            problems.append(policy_checks.Problem(section=section, detail=detail))
        else:
            sections[section] = _parse_objects(parser.parse, objects, problems, may_delete)
    return sections


def _parse_objects(
    parse: Callable[[str, Any, list[policy_checks.Problem]], Any],
    objects: Mapping[str, Any],
    problems: list[policy_checks.Problem],
    may_delete: bool,
) -> dict[str, Any]:
    """Returns the valid model objects of a section by name; appends to ``problems``."""
    parsed = {}
    for name, document in objects.items():
        if document is None and may_delete:
            parsed[name] = None
            continue
        item = parse(name, document, problems)
        if item is not None:
            parsed[name] = item
    return parsed


def _unknown_deletions(policy: model.Policy, sections: Sections) -> Iterable[policy_checks.Problem]:
    for section, objects in sections.items():
        existing = getattr(policy, section)
        for name, item in objects.items():
            if item is None and name not in existing:
                yield policy_checks.Problem(
                    section=section,
                    name=name,
                    detail="cannot be deleted because it does not exist",
                )


def _dump(section: str, item: Any) -> dict[str, Any]:
    return policy_schema.SECTIONS[section].dump(item)


def _object_names(objects: Any) -> Iterable[str]:
    return objects if isinstance(objects, Mapping) else ()


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        seen: set[str] = set()
        duplicates = [key for key, _ in pairs if key in seen or seen.add(key)]
        raise ValueError(f"key {', '.join(map(repr, sorted(set(duplicates))))} occurs twice")
    return result


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is not a JSON number")


def _malformed_json(message: str) -> errors.ValidationError:
    return errors.ValidationError(message, step="documents.parse_json")

"""Checks of the consistency between the objects of a policy."""

import collections
import dataclasses
import itertools
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Any

from sassafrasway_core import errors

# Bounds the length of an error: one missing region can be referenced by 250,000 blocks. Operators
# start with the first problems anyway.
MAX_REPORTED_PROBLEMS = 100
# The floating-point sum of decimal fractions that add up to 1 can exceed 1 by rounding.
FRACTION_TOLERANCE = 1e-9

# Fields that name an object of another section, as (field, section) pairs by section.
_REFERENCES = {
    "servers": (("service", "services"), ("region", "regions")),
    "blocks": (("region", "regions"),),
    "shifts": (("service", "services"), ("source", "regions"), ("target", "regions")),
    "links": (("source", "regions"), ("target", "regions")),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """A problem in a document; attributes that do not apply are empty.

    Attributes:
        key: Field of the object or of a change document.
        detail: What is wrong and what was expected.
    """

    section: str = ""
    name: str = ""
    key: str = ""
    detail: str

    def __str__(self) -> str:
        where = " ".join(
            f"{label} {value!r}"
            for label, value in (("section", self.section), ("name", self.name), ("key", self.key))
            if value
        )
        return f"{where}: {self.detail}" if where else self.detail


def raise_problems(problems: Iterable[Problem], *, step: str) -> None:
    """Raises one ``errors.ValidationError`` for all problems; does nothing when there are none.

    The message lists the first ``MAX_REPORTED_PROBLEMS`` problems and counts the others.
    """
    texts = [str(problem) for problem in problems]
    if not texts:
        return
    shown = texts[:MAX_REPORTED_PROBLEMS]
    if len(texts) > len(shown):
        shown.append(f"and {len(texts) - len(shown)} more problems")
    raise errors.ValidationError("\n".join(shown), step=step)


def find_problems(
    sections: Mapping[str, Mapping[str, Any]],
    *,
    existing: Mapping[str, Collection[str]],
    changed: Mapping[str, Collection[str]] | None = None,
) -> Iterator[Problem]:
    """Yields unknown references, duplicate server URLs and invalid shifts.

    Args:
        sections: Model objects by section and name.
        existing: Names that count as existing, by section.
        changed: Names of the objects that a change set or deleted, by section; None checks all
            objects. When a region or service was deleted, all objects that can refer to it are
            checked.
    """
    deleted = _has_deletion(sections, changed)
    for section, references in _REFERENCES.items():
        objects = sections[section]
        for name in objects if deleted else _names_to_check(section, objects, changed):
            yield from _unknown_references(section, name, objects[name], references, existing)
    if changed is None or changed.get("servers"):
        yield from _duplicate_urls(sections["servers"])
    if changed is None or changed.get("shifts"):
        yield from _shift_problems(sections["shifts"])


def _has_deletion(
    sections: Mapping[str, Mapping[str, Any]], changed: Mapping[str, Collection[str]] | None
) -> bool:
    if changed is None:
        return False
    return any(
        name not in sections[section]
        for section in ("regions", "services")
        for name in changed.get(section, ())
    )


def _names_to_check(
    section: str, objects: Mapping[str, Any], changed: Mapping[str, Collection[str]] | None
) -> Iterable[str]:
    if changed is None:
        return objects
    return [name for name in changed.get(section, ()) if name in objects]


def _unknown_references(
    section: str,
    name: str,
    item: Any,
    references: tuple[tuple[str, str], ...],
    existing: Mapping[str, Collection[str]],
) -> Iterator[Problem]:
    for key, target_section in references:
        value = getattr(item, key)
        if value not in existing[target_section]:
            yield Problem(
                section=section,
                name=name,
                # The regions of a link are in its name, not in fields of the document.
                key="" if section == "links" else key,
                detail=f"unknown {target_section[:-1]} {value!r};"
                f" expected a name in section {target_section!r}",
            )


def _duplicate_urls(servers: Mapping[str, Any]) -> Iterator[Problem]:
    by_url = collections.defaultdict(list)
    for name, server in servers.items():
        by_url[server.url].append(name)
    for url, names in by_url.items():
        for name in names[1:]:
            yield Problem(
                section="servers",
                name=name,
                key="url",
                detail=f"{url!r} is also the url of server {names[0]!r}; expected a unique url",
            )


def _shift_problems(shifts: Mapping[str, Any]) -> Iterator[Problem]:
    for name, shift in shifts.items():
        if shift.source == shift.target:
            yield Problem(
                section="shifts",
                name=name,
                key="target",
                detail=f"{shift.target!r} is also the source; expected another region",
            )
    sorted_shifts = sorted(shifts.items(), key=lambda item: (item[1].service, item[1].source))
    for _, group in itertools.groupby(
        sorted_shifts, key=lambda item: (item[1].service, item[1].source)
    ):
        same_source = list(group)
        total = sum(shift.fraction for _, shift in same_source)
        if total > 1 + FRACTION_TOLERANCE:
            name, shift = same_source[-1]
            yield Problem(
                section="shifts",
                name=name,
                key="fraction",
                detail=f"the shifts of service {shift.service!r} from {shift.source!r} add up to"
                f" {total:g}; expected at most 1 (share of requests)",
            )

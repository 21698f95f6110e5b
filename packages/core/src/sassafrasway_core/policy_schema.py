"""pydantic models of the objects in a policy document.

Error messages quote the description of a field as its expected value.
"""

import dataclasses
import enum
import ipaddress
import re
import urllib.parse
from collections.abc import Iterator, Mapping
from typing import Annotated, Any, Literal

import pydantic

from sassafrasway_core import errors, lookup, model, policy_checks

# Names are part of URL paths, table keys and metric labels.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_NAME_EXPECTED = "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"
_MAX_INT = 2**31 - 1  # instances exchange numbers of slots as 32-bit integers
_MAX_SHOWN_CHARACTERS = 60  # length to which error messages shorten an invalid value


def _canonical_url(url: str) -> str:
    """Returns the canonical form ``http://IP:port``, in which duplicate URLs compare equal.

    Raises ``ValueError`` for other URLs, which pydantic turns into a validation error.
    """
    parts = urllib.parse.urlsplit(url)
    unsupported_parts = (parts.path.strip("/"), parts.query, parts.fragment, parts.username)
    if parts.scheme != "http" or parts.port is None or any(unsupported_parts):
        raise ValueError("not http://IP:port")
    address = ipaddress.ip_address(parts.hostname or "")
    host = f"[{address}]" if address.version == 6 else str(address)
    return f"http://{host}:{parts.port}"


_NonEmptyName = Annotated[str, pydantic.Field(min_length=1, description="a name")]
_Rate = Annotated[float, pydantic.Field(ge=0, description="a number of at least 0, requests/s")]


class _Document(pydantic.BaseModel):
    """Base class of all documents; rejects unknown keys, wrong types and non-finite numbers."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)


class RegionDocument(_Document):
    """A region."""

    cap_rps: _Rate | None = pydantic.Field(
        default=None, description="a number of at least 0, requests/s, or null for no cap"
    )


class LinkDocument(_Document):
    """A link between two regions."""

    cap_mbit_s: float = pydantic.Field(
        ge=0, description="a number of at least 0, Mbit/s in each direction"
    )
    delay_ms: float = pydantic.Field(
        default=0.0, ge=0, description="a number of at least 0, milliseconds one way"
    )


class ServiceDocument(_Document):
    """A service."""

    idempotent: bool = pydantic.Field(description="true or false")
    may_wait: bool = pydantic.Field(default=False, description="true or false")
    at_most_once: Literal["ticket", "claim"] = pydantic.Field(
        default="ticket", description="'ticket' or 'claim'"
    )
    deadline_ms: int = pydantic.Field(
        default=2000, ge=1, le=600_000, description="an integer from 1 to 600000, milliseconds"
    )
    max_pool_slots: int = pydantic.Field(
        default=256, ge=1, le=_MAX_INT, description="an integer of at least 1, requests at a time"
    )


class ServerDocument(_Document):
    """A backend server."""

    service: _NonEmptyName
    region: _NonEmptyName
    failure_domain: _NonEmptyName
    url: Annotated[str, pydantic.AfterValidator(_canonical_url)] = pydantic.Field(
        description="http://IP:port"
    )
    slots: int = pydantic.Field(
        ge=1, le=_MAX_INT, description="an integer of at least 1, requests at a time"
    )
    connections: int = pydantic.Field(
        ge=1, le=_MAX_INT, description="an integer of at least 1, connections"
    )
    state: Literal["active", "leaving"] = pydantic.Field(
        default="active", description="'active' or 'leaving'"
    )


class BlockDocument(_Document):
    """A block of client addresses."""

    region: _NonEmptyName


class ShiftDocument(_Document):
    """A shift of traffic between two regions."""

    service: _NonEmptyName
    source: _NonEmptyName
    target: _NonEmptyName
    cap_rps: _Rate
    fraction: float = pydantic.Field(
        default=1.0, ge=0, le=1, description="a number from 0 to 1, share of requests"
    )
    pace_per_s: float = pydantic.Field(
        default=0.1, gt=0, description="a number above 0, growth of the fraction per second"
    )


class ChangeDocument(_Document):
    """A change of a policy; the objects in its sections are parsed separately."""

    base_revision: int = pydantic.Field(ge=0, description="an integer of at least 0, revision")
    change_id: str = pydantic.Field(
        pattern=r"^[!-~]{1,128}$", description="1 to 128 visible ASCII characters"
    )
    author: str = pydantic.Field(min_length=1, max_length=128, description="1 to 128 characters")
    sections: dict[str, Any] = pydantic.Field(description="a JSON object of sections")


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """Converts the objects of one section between JSON documents and model objects.

    Subclasses override how the name of an object is checked and which fields it sets.
    ``enum_types`` maps keys of fields to the enum of their values.
    """

    section_key: str
    document_type: type[_Document]
    model_type: type
    enum_types: Mapping[str, type[enum.Enum]] = dataclasses.field(default_factory=dict)

    def parse(self, name: str, data: Any, problems: list[policy_checks.Problem]) -> Any | None:
        """Returns the model object, or None after appending the problems that were found."""
        count_before = len(problems)
        problems.extend(self._name_problems(name))
        try:
            document = self.document_type.model_validate(data)
        except pydantic.ValidationError as error:
            problems.extend(
                problems_of(error, self.document_type, section=self.section_key, name=name)
            )
        if len(problems) > count_before:
            return None
        fields = vars(document)
        for key, enum_type in self.enum_types.items():
            fields[key] = enum_type(fields[key])
        return self.model_type(**self._name_fields(name), **fields)

    def dump(self, item: Any) -> dict[str, Any]:
        """Returns the JSON document of a model object."""
        result = {}
        for key in self.document_type.model_fields:
            value = getattr(item, key)
            result[key] = value.value if isinstance(value, enum.Enum) else value
        return result

    def _name_fields(self, name: str) -> dict[str, str]:
        """Returns the fields of the model object that its name sets."""
        return {"name": name}

    def _name_problems(self, name: str) -> Iterator[policy_checks.Problem]:
        if not _NAME.fullmatch(name):
            yield self._name_problem(name, f"invalid name; expected {_NAME_EXPECTED}")

    def _name_problem(self, name: str, detail: str) -> policy_checks.Problem:
        return policy_checks.Problem(section=self.section_key, name=name, detail=detail)


class _LinkSection(Section):
    """Links, whose name ``a/b`` consists of the regions at their ends."""

    def _name_fields(self, name: str) -> dict[str, str]:
        source, _, target = name.partition("/")
        return {"source": source, "target": target}

    def _name_problems(self, name: str) -> Iterator[policy_checks.Problem]:
        source, slash, target = name.partition("/")
        if not slash or not source < target:
            detail = "invalid name; expected 'a/b' with two regions in alphabetical order"
            yield self._name_problem(name, detail)


class _BlockSection(Section):
    """Client blocks, whose name is their CIDR."""

    def _name_fields(self, name: str) -> dict[str, str]:
        return {"cidr": name}

    def _name_problems(self, name: str) -> Iterator[policy_checks.Problem]:
        try:
            lookup.parse_network(name)
        except errors.ValidationError as error:
            detail = f"bad CIDR: {error.message}; expected a block such as 192.0.2.0/24"
            yield self._name_problem(name, detail)


# Sections of a policy document by their key.
SECTIONS: dict[str, Section] = {
    section.section_key: section
    for section in (
        Section("regions", RegionDocument, model.Region),
        _LinkSection("links", LinkDocument, model.Link),
        Section("services", ServiceDocument, model.Service, {"at_most_once": model.AtMostOnceMode}),
        Section("servers", ServerDocument, model.BackendServer, {"state": model.ServerState}),
        _BlockSection("blocks", BlockDocument, model.ClientBlock),
        Section("shifts", ShiftDocument, model.Shift),
    )
}


def problems_of(
    error: pydantic.ValidationError,
    document: type[pydantic.BaseModel],
    *,
    section: str = "",
    name: str = "",
) -> Iterator[policy_checks.Problem]:
    """Yields the validation errors of one document as problems, at most one for each key."""
    reported = set()
    for detail in error.errors(include_url=False, include_context=False):
        key = str(detail["loc"][0]) if detail["loc"] else ""
        # pydantic reports one error for each alternative of a nullable field; keep the first.
        if key not in reported:
            reported.add(key)
            text = _problem_text(document, key, detail)
            yield policy_checks.Problem(section=section, name=name, key=key, detail=text)


def _problem_text(document: type[pydantic.BaseModel], key: str, detail: Mapping[str, Any]) -> str:
    if detail["type"] == "extra_forbidden":
        return f"unknown key; expected one of {', '.join(document.model_fields)}"
    if key not in document.model_fields:
        return "expected a JSON object"
    expected = document.model_fields[key].description
    if detail["type"] == "missing":
        return f"missing; expected {expected}"
    shown = repr(detail["input"])
    if len(shown) > _MAX_SHOWN_CHARACTERS:
        shown = shown[:_MAX_SHOWN_CHARACTERS] + "..."
    return f"{shown} is invalid; expected {expected}"

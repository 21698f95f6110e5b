"""Human-readable and JSON output of the commands."""

import datetime
import json
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import click

from sassafrasway_core import documents, errors, model

EXIT_FAILURE = 1
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

# Error class, exit code and error code in the JSON output. The first class that matches applies, so
# the base class comes last.
_EXIT_CODES: tuple[tuple[type[errors.SassafraswayError], int, str], ...] = (
    (errors.ConflictError, EXIT_CONFLICT, "conflict"),
    (errors.UnavailableError, EXIT_UNAVAILABLE, "unavailable"),
    (errors.ValidationError, EXIT_FAILURE, "validation"),
    (errors.NotFoundError, EXIT_FAILURE, "not_found"),
    (errors.SassafraswayError, EXIT_FAILURE, "failure"),
)


class CommandError(click.ClickException):
    """Ends a command with the message and the exit code of a sassafrasway error."""

    def __init__(self, error: errors.SassafraswayError, *, as_json: bool):
        super().__init__(str(error))
        self._error = error
        self._as_json = as_json
        self.exit_code, self._code = next(
            (exit_code, code)
            for error_type, exit_code, code in _EXIT_CODES
            if isinstance(error, error_type)
        )

    def show(self, file: Any = None) -> None:
        """Prints the error to the standard error stream."""
        if not self._as_json:
            click.echo(f"Error: {self._error}", file=file, err=True)
            return
        fields = {
            "code": self._code,
            "message": self._error.message,
            "step": self._error.step,
            "peer": self._error.peer,
        }
        click.echo(json.dumps({"error": fields}), file=file, err=True)


def show_json(value: Any, *, compact: bool) -> None:
    """Prints a value as JSON, on one line or indented."""
    click.echo(json.dumps(value) if compact else json.dumps(value, indent=2))


def show_change(reply: Any, *, change_id: str, as_json: bool) -> None:
    """Prints the result of a change, a Thrift ``ChangeReply``."""
    if as_json:
        fields = {"revision": reply.revision, "already_applied": bool(reply.already_applied)}
        show_json({**fields, "change_id": change_id}, compact=True)
        return
    note = ", already applied before" if reply.already_applied else ""
    click.echo(f"Revision {reply.revision} (change {change_id}{note})")


def show_history(entries: Sequence[Any], *, as_json: bool) -> None:
    """Prints accepted changes, given as Thrift ``HistoryEntry`` structs."""
    if as_json:
        show_json([_history_fields(entry) for entry in entries], compact=True)
        return
    for entry in entries:
        time = datetime.datetime.fromtimestamp(entry.accepted_at_s, datetime.UTC)
        click.echo(
            f"{entry.revision:>8}  {time:%Y-%m-%d %H:%M:%S}Z  {entry.author}  {entry.change_id}"
        )
        for line in _change_summary(json.loads(entry.sections_json)):
            click.echo(f"          {line}")


def show_state(value: Any, *, as_json: bool) -> None:
    """Prints the state of an instance as one ``path: value`` line for each leaf value."""
    if as_json:
        show_json(value, compact=True)
        return
    for path, leaf in _leaves(value):
        click.echo(f"{path}: {json.dumps(leaf)}")


def show_difference(
    old: model.Policy, new: model.Policy, sections: documents.Sections, *, as_json: bool
) -> None:
    """Prints the difference between two policies.

    Args:
        old: Policy before the change.
        new: Policy after the change.
        sections: The changed objects of each section, as in a change.
        as_json: Whether to print only ``sections``, as JSON.
    """
    if as_json:
        show_json(documents.dump_sections(sections), compact=True)
        return
    before, after = documents.dump_policy(old), documents.dump_policy(new)
    for section, objects in sections.items():
        for name in sorted(objects):
            for line in _object_lines(before[section].get(name), after[section].get(name)):
                click.echo(line.format(place=f"{section} {name}"))
    if not sections:
        click.echo("No difference.")


def _object_lines(
    before: Mapping[str, Any] | None, after: Mapping[str, Any] | None
) -> Iterator[str]:
    """Yields format strings for the lines of one object; ``{place}`` is its section and name."""
    if before is None or after is None:
        sign, fields = ("+", after) if before is None else ("-", before)
        yield f"{sign} {{place}}"
        for key, value in (fields or {}).items():
            yield f"{sign}   {key}: {_escaped_json(value)}"
        return
    yield "~ {place}"
    for key, value in after.items():
        if value != before[key]:
            yield f"~   {key}: {_escaped_json(before[key])} -> {_escaped_json(value)}"


def _escaped_json(value: Any) -> str:
    """Returns a value as JSON, with braces escaped for ``str.format``."""
    return json.dumps(value).replace("{", "{{").replace("}", "}}")


def _change_summary(sections: Mapping[str, Mapping[str, Any]]) -> Iterator[str]:
    for section, objects in sections.items():
        deleted = [name for name, item in objects.items() if item is None]
        changed = [name for name, item in objects.items() if item is not None]
        for verb, names in (("set", changed), ("delete", deleted)):
            if names:
                yield f"{verb} {section}: {', '.join(names)}"


def _history_fields(entry: Any) -> dict[str, Any]:
    return {
        "revision": entry.revision,
        "change_id": entry.change_id,
        "author": entry.author,
        "accepted_at_s": entry.accepted_at_s,
        "accepted_by": entry.accepted_by,
        "sections": json.loads(entry.sections_json),
    }


def _leaves(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from _leaves(item, f"{path}.{key}" if path else key)
    else:
        yield path, value

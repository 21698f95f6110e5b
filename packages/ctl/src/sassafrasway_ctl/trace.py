"""Traces one request through the logs of several gateway instances."""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any, TextIO

import click

from sassafrasway_core import errors
from sassafrasway_ctl import options

DEFAULT_CONTEXT_S = 5.0
# Loggers of the gateway for events that change the state of an instance or its view of the policy,
# the store, the servers and its peers.
STATE_LOGGERS = frozenset({"policy", "store", "servers", "peers", "process"})
# Fields that render() prints at the start of a line or leaves out.
HEADER_FIELDS = frozenset({"time", "instance", "logger", "event", "level"})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One log line.

    Attributes:
        time_s: Unix time of the line, s.
        text: Event text of the line.
        fields: All fields of the line, including those of the other attributes.
    """

    time_s: float
    instance: str
    logger: str
    text: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """Id of the request that the line belongs to, or an empty string."""
        return str(self.fields.get("request", ""))

    def mentions(self, servers: Iterable[str]) -> bool:
        """Whether the line is about one of the servers."""
        return self.fields.get("server") in servers


def parse_events(lines: Iterable[str]) -> list[Event]:
    """Parses JSON log lines; skips other lines and any prefix before the first brace.

    Raises:
        TypeError: The field ``time`` of a line is neither a number nor a string.
        ValueError: The field ``time`` of a line is a string that is not a number.
    """
    parsed = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if not isinstance(fields, dict) or "event" not in fields or "time" not in fields:
            continue
        parsed.append(
            Event(
                time_s=float(fields["time"]),
                instance=str(fields.get("instance", "")),
                logger=str(fields.get("logger", "")),
                text=str(fields["event"]),
                fields=fields,
            )
        )
    return parsed


def select(events: Iterable[Event], request: str, *, context_s: float) -> list[Event]:
    """Returns the events of a request and the events that explain them, sorted by time.

    The latter are the state changes of the instances that handled the request and all events about
    the servers that it was sent to, from ``context_s`` seconds before the request to its end.

    Args:
        events: Events of all instances, in any order.
        request: Id of the request.
        context_s: Time before the first event of the request, s.

    Raises:
        errors.NotFoundError: No log line belongs to the request.
    """
    events = list(events)
    request_events = [event for event in events if event.request == request]
    if not request_events:
        raise errors.NotFoundError(f"no log line mentions request {request}", step="trace")
    instances = {event.instance for event in request_events}
    # The text of an attempt starts with the id of its server.
    servers = {
        attempt.split(" ", 1)[0]
        for event in request_events
        for attempt in event.fields.get("attempts", ())
    }
    servers |= {event.fields["server"] for event in request_events if "server" in event.fields}
    first_s = min(event.time_s for event in request_events) - context_s
    last_s = max(event.time_s for event in request_events)
    selected = []
    for event in events:
        in_window = first_s <= event.time_s <= last_s
        state_change = event.logger in STATE_LOGGERS and event.instance in instances
        about_servers = event.mentions(servers)
        if event.request == request or (in_window and (about_servers or state_change)):
            selected.append(event)
    return sorted(selected, key=lambda event: event.time_s)


def render(event: Event) -> str:
    """Returns an event as one human-readable line."""
    details = " ".join(
        f"{name}={value}" for name, value in event.fields.items() if name not in HEADER_FIELDS
    )
    return f"{event.time_s:.3f} {event.instance} {event.logger}: {event.text} {details}"


@click.command()
@options.shared
@click.argument("request")
@click.argument("logs", type=click.File("r"), nargs=-1, required=True)
@click.option(
    "--context",
    "context_s",
    type=click.FloatRange(min=0),
    default=DEFAULT_CONTEXT_S,
    show_default=True,
    help="Seconds before the request for which related events are shown.",
)
@click.pass_obj
def trace(
    settings: options.Options, request: str, logs: tuple[TextIO, ...], context_s: float
) -> None:
    """Traces REQUEST through the log files LOGS of several instances."""
    events = [event for log in logs for event in parse_events(log)]
    for event in select(events, request, context_s=context_s):
        click.echo(json.dumps(event.fields) if settings.as_json else render(event))

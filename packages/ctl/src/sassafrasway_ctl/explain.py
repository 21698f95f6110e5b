"""Shows which server a gateway instance would send a request to, and why."""

import http.client
import json
import urllib.parse
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import click

from sassafrasway_core import errors
from sassafrasway_ctl import options, output

ADMIN_VARIABLE = "SASSAFRASCTL_ADMIN_ADDRESS"
# Explanations list a bounded number of servers; a longer response is not an explanation.
MAX_ANSWER_BYTES = 256 * 1024
# Longest error text of an instance that is shown.
MAX_ERROR_LENGTH = 300
_STEP = "ctl.explain"
_HTTP_OK = 200
_ERRORS_BY_STATUS: Mapping[int, type[errors.SassafraswayError]] = {
    400: errors.ValidationError,
    404: errors.NotFoundError,
    503: errors.UnavailableError,
}
_COLUMNS = (
    "server",
    "region",
    "rank",
    "load",
    "slots",
    "report age",
    "slowdown",
    "warm",
    "cost",
    "share",
    "notes",
)


@click.command()
@options.shared_without_address
@click.option(
    "--admin",
    required=True,
    envvar=ADMIN_VARIABLE,
    metavar="HOST:PORT",
    help=f"Admin address of the gateway instance. [env: {ADMIN_VARIABLE}]",
)
@click.option("--host", required=True, help="Host header of the request.")
@click.option("--target", required=True, help="Path of the request, with or without a query.")
@click.option("--method", default="GET", show_default=True)
@click.option("--object", "object_key", help="Object that the request names in its cookie.")
@click.option("--organisation", help="Name of the caller's organisation, never its key.")
@click.option(
    "--time-left-ms",
    type=click.IntRange(min=0),
    help="Time that the caller waits, ms. [default: the route's]",
)
@click.pass_obj
def explain(
    settings: options.Options, admin: str, object_key: str | None, **values: str | int | None
) -> None:
    """Explains where a request would go now, without sending it.

    The instance answers from its own state, so another instance may decide otherwise.
    """
    host, port = options.parse_address(admin)
    parameters = {**values, "object": object_key}
    query = urllib.parse.urlencode(
        {name: value for name, value in parameters.items() if value is not None}
    )
    value = fetch(host, port, f"/explain?{query}", timeout_s=settings.timeout_s)
    if settings.as_json:
        output.show_json(value, compact=True)
        return
    for line in render(value):
        click.echo(line)


def fetch(host: str, port: int, target: str, *, timeout_s: float) -> dict[str, Any]:
    """Returns the JSON object that an instance answers.

    Raises:
        errors.UnavailableError: The instance did not answer, or has no policy yet.
        errors.SassafraswayError: It answered with another error, or not with an explanation.
    """
    peer = f"{host}:{port}"
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request("GET", target)
        # The response keeps the socket open until it is closed too.
        with connection.getresponse() as response:
            body = response.read(MAX_ANSWER_BYTES + 1)
    except (OSError, http.client.HTTPException) as error:
        reason = str(error) or type(error).__name__
        raise errors.UnavailableError(
            f"the instance did not answer: {reason}", step=_STEP, peer=peer
        ) from error
    finally:
        connection.close()
    if response.status != _HTTP_OK:
        text = body[:MAX_ERROR_LENGTH].decode(errors="replace").strip()
        error_type = _ERRORS_BY_STATUS.get(response.status, errors.SassafraswayError)
        raise error_type(
            f"the instance answered with status {response.status}: {text}", step=_STEP, peer=peer
        )
    return _parse(body, peer)


def render(value: Mapping[str, Any]) -> Iterator[str]:
    """Yields the lines of an explanation: the decision, its conditions and the servers."""
    width = max(len(name) for name, _ in _summary(value))
    for name, text in _summary(value):
        yield f"{name:<{width}}  {text}"
    yield ""
    yield from _table([_COLUMNS, *(_server_cells(server) for server in value["servers"])])
    excluded = ", ".join(f"{count} {reason}" for reason, count in value["excluded"].items())
    yield f"other servers: {excluded or 'none'}"


def _parse(body: bytes, peer: str) -> dict[str, Any]:
    try:
        value = json.loads(body) if len(body) <= MAX_ANSWER_BYTES else None
    except ValueError:
        value = None
    if not isinstance(value, dict) or "decision" not in value:
        raise errors.SassafraswayError("the answer is not an explanation", step=_STEP, peer=peer)
    return value


def _summary(value: Mapping[str, Any]) -> list[tuple[str, str]]:
    route, service = value["route"], value["service"]
    organisation, bound, quota = value["organisation"], value["admission"], value["rate_limit"]
    split = ", ".join(f"{part['service']} {part['weight']:g}" for part in service["split"])
    regions = value["allowed_regions"]
    behind = ", ".join(bound["behind"])
    return [
        ("decision", _decision_text(value["decision"])),
        ("instance", f"{value['instance']} in {value['region']}"),
        ("policy", str(value["policy_version"])),
        ("route", f"{route['name']} ({route['host']}{route['prefix']})"),
        ("service", service["name"] + (f" of the split {split}" if split else "")),
        ("organisation", organisation["name"] if organisation else f"- (key {value['key']})"),
        ("priority", str(value["priority"])),
        ("object", value["object"] or "-"),
        ("time left", f"{value['remaining_s']:g} s"),
        ("allowed regions", "all" if regions is None else ", ".join(regions) or "none"),
        (
            "admission",
            f"may queue to {bound['max_waiting_per_slot']:g} waiting per slot"
            + (", shedding" if bound["shedding"] else "")
            + (f", behind: {behind}" if behind else ""),
        ),
        ("rate limit", quota["outlook"] + _retry_text(quota["retry_after_s"])),
        ("memory", "short" if value["memory"]["short"] else "sufficient"),
    ]


def _decision_text(decision: Mapping[str, Any]) -> str:
    if decision["server"] is not None:
        drawn = ", drawn among those with a share" if decision["random"] else ""
        return f"server {decision['server']}{drawn}"
    retry = _retry_text(decision["retry_after_s"])
    return f"refused with {decision['status']}: {decision['reason']}{retry}"


def _retry_text(retry_after_s: float | None) -> str:
    return "" if retry_after_s is None else f", retry after {retry_after_s:.2f} s"


def _server_cells(server: Mapping[str, Any]) -> tuple[str, ...]:
    age_s = server["load_age_s"]
    notes = {
        "selected": server["selected"],
        "full": server["full"],
        "cold": server["cold_left_s"] > 0,
    }
    return (
        server["id"],
        server["region"],
        str(server["rank"]),
        f"{server['load']:.2f}",
        str(server["slots"]),
        "-" if age_s < 0 else f"{age_s:.2f} s",
        f"{server['slowdown']:.2f}",
        "yes" if server["warm"] else "no",
        f"{server['cost_s'] * 1000:.0f} ms",
        "-" if server["share"] is None else f"{server['share']:.0%}",
        ", ".join(name for name, applies in notes.items() if applies),
    )


def _table(rows: Sequence[Sequence[str]]) -> Iterator[str]:
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (f"{cell:<{width}}" for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()

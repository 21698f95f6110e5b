"""Parses and validates the HTTP requests of callers."""

import ipaddress

from aiohttp import web

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import model, quarantine, retry
from sassafrasway_entry import messages

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Sassafras-Deadline-Ms"
CLIENT_HEADER = "Sassafras-Client"
MAX_KEY_CHARS = 255
MAX_DEADLINE_MS = 600_000

# Headers that are addressed to the entry. Of these, only the idempotency key is passed on.
_ENTRY_HEADERS = frozenset(
    name.lower() for name in (KEY_HEADER, DEADLINE_HEADER, CLIENT_HEADER, "Host")
)


async def read(
    http_request: web.Request, service: model.Service, *, request_id: str, clock: clock_lib.Clock
) -> messages.Request | messages.Response:
    """Returns the request, or a refusal if it is invalid.

    Raises:
        web.HTTPRequestEntityTooLarge: The body is larger than the application allows.
    """
    key = http_request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARS:
        return messages.not_run(
            400,
            messages.Reason.BAD_REQUEST,
            f"{KEY_HEADER}: has {len(key)} characters, expected at most {MAX_KEY_CHARS}",
        )
    if not service.idempotent and not key:
        return messages.not_run(
            400, messages.Reason.KEY_REQUIRED, f"{service.name} requires {KEY_HEADER}"
        )
    deadline_ms = _deadline_ms(http_request, service)
    if deadline_ms is None:
        return messages.not_run(
            400,
            messages.Reason.BAD_REQUEST,
            f"{DEADLINE_HEADER}: expected whole milliseconds up to {MAX_DEADLINE_MS}",
        )
    client = http_request.headers.get(CLIENT_HEADER, "") or http_request.remote or ""
    if not is_ip(client):
        return messages.not_run(
            400, messages.Reason.BAD_REQUEST, f"{CLIENT_HEADER}: expected an IP address"
        )
    deadline = retry.Deadline(clock=clock, remaining_s=deadline_ms / 1000)
    body = await http_request.read()
    path = _backend_path(http_request, service.name)
    return messages.Request(
        request_id=request_id,
        service=service.name,
        method=http_request.method,
        path=path,
        headers=tuple(
            (name, value)
            for name, value in http_request.headers.items()
            if name.lower() not in _ENTRY_HEADERS or name.lower() == KEY_HEADER.lower()
        ),
        body=body,
        deadline=deadline,
        key=key if not service.idempotent else "",
        client=client,
        fingerprint=quarantine.fingerprint(
            service=service.name, method=http_request.method, path=path, body=body
        ),
    )


def _deadline_ms(http_request: web.Request, service: model.Service) -> int | None:
    """Returns the time until the deadline, or None if the caller sent an invalid one.

    The time is 0 or negative if the deadline has already passed.
    """
    text = http_request.headers.get(DEADLINE_HEADER)
    if text is None:
        return service.deadline_ms
    try:
        value = int(text)
    except ValueError:
        return None
    return value if value <= MAX_DEADLINE_MS else None


def _backend_path(http_request: web.Request, service: str) -> str:
    """Returns the path after the service name and the query, percent-encoded as received."""
    prefix = f"/v1/services/{service}"
    path = http_request.raw_path
    return (path[len(prefix) :] if path.startswith(prefix) else path) or "/"


def is_ip(text: str) -> bool:
    """Returns whether a string is an IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True

"""Requests and responses that the parts of an entry instance pass to each other."""

import dataclasses
import enum

from sassafrasway_core import retry


class Outcome(enum.Enum):
    """Whether a request ran, as reported to the caller."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"  # the request may have run


class Reason(enum.Enum):
    """Machine-readable reason of a response that does not come from a backend server."""

    NONE = ""
    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLIENT_BLOCK = "unknown_client_block"
    HEADER_TOO_LARGE = "header_too_large"
    BODY_TOO_LARGE = "body_too_large"
    KEY_REQUIRED = "key_required"
    NOT_READY = "not_ready"  # temporary, for example without a policy or after a handover
    NO_SLOT = "no_slot"
    REGION_CAP = "region_cap"
    LINK_CAP = "link_cap"
    SHIFT_CAP = "shift_cap"
    NO_SERVER = "no_server"
    NOT_OWNER = "not_owner"
    PEER_UNREACHABLE = "peer_unreachable"
    DEADLINE = "deadline"
    CONNECTION_LOST = "connection_lost"
    QUARANTINED = "quarantined"  # servers crashed on the same request
    TICKET_EXPIRED = "ticket_expired"
    TICKET_HOLDER_GONE = "ticket_holder_gone"  # it may have run the request
    CLAIM_HOLDER_GONE = "claim_holder_gone"  # it may have run the request
    STORE_UNAVAILABLE = "store_unavailable"  # the platform's table service
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request of a caller.

    Attributes:
        path: Path and query after the service name.
        headers: Headers as the caller sent them, except those that only the entry uses.
        key: Idempotency key; empty for idempotent services.
        client: IP address of the client on whose behalf the caller acts; empty when unknown.
        home_region: Region of the client's address block, or of the receiving instance if the
            client is in no block; empty until the request is routed.
        shift: Name of the shift that moved the request; empty when none did.
        fingerprint: Digest by which a request that crashed servers is recognised when it is sent
            again, see ``quarantine.fingerprint``.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: retry.Deadline
    key: str = ""
    client: str = ""
    home_region: str = ""
    shift: str = ""
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """The response to a request of a caller.

    Attributes:
        reason: Why no backend server responded; ``NONE`` for the response of a server.
        detail: Human-readable reason; empty for the response of a server.
        server: Name of the backend server that responded; empty when none did.
        owner: Owner of the pool, sent to an instance whose directory is outdated.
        retry_after_ms: Suggested delay before a retry; 0 for no suggestion.
    """

    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    reason: Reason = Reason.NONE
    detail: str = ""
    server: str = ""
    owner: str = ""
    retry_after_ms: int = 0


def not_run(
    status: int, reason: Reason, detail: str = "", *, retry_after_ms: int = 0, owner: str = ""
) -> Response:
    """Returns a response that says that the request did not run.

    An empty ``detail`` is replaced by the text of ``reason``.
    """
    return Response(
        outcome=Outcome.NOT_RUN,
        status=status,
        reason=reason,
        detail=detail or reason.value.replace("_", " "),
        retry_after_ms=retry_after_ms,
        owner=owner,
    )


def unknown(status: int, reason: Reason, detail: str = "") -> Response:
    """Returns a response that says that the request may have run.

    An empty ``detail`` is replaced by the text of ``reason``.
    """
    return Response(
        outcome=Outcome.UNKNOWN,
        status=status,
        reason=reason,
        detail=detail or reason.value.replace("_", " "),
    )

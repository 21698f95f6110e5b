"""Requests and responses as the gateway forwards them."""

import dataclasses

from sassafrasway_gateway import memory_budget

Headers = list[tuple[bytes, bytes]]

# Headers that are not forwarded: those that apply to a single connection, Content-Length, which the
# gateway sets itself, and Expect, which it answers itself.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Names of the headers and the cookie used by callers, the gateway and backend servers.

    Attributes:
        request_id: Header with the id of a request, which its response repeats.
        time_left_ms: Header with the time that is left to respond, ms.
        object_cookie: Cookie that names the object by which requests of a sticky route are assigned
            to servers.
        signature: Header that the response to a request that ran must have, with any value.
        expected_server: Header with the id of the server to which the gateway sends a request.
        server_load: Header with the load of the server that responds.
        not_run: Header that marks the response to a request that the server did not run.
        leaving: Header with the value ``1`` in the responses of a server that leaves.
        key: Header with the key of a caller's organisation.
        organisation: Header with the name of that organisation, which the gateway sets for servers.
    """

    request_id: bytes = b"sassafras-request-id"
    time_left_ms: bytes = b"sassafras-deadline-ms"
    object_cookie: str = "sassafras-object"
    signature: bytes = b"sassafras-signature"
    expected_server: bytes = b"sassafras-expected-server"
    server_load: bytes = b"sassafras-load"
    not_run: bytes = b"sassafras-not-run"
    leaving: bytes = b"sassafras-leaving"
    key: bytes = b"sassafras-key"
    organisation: bytes = b"sassafras-organisation"


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A complete request.

    Attributes:
        received_s: Monotonic time at which its first byte arrived, s.
        peer: Address of the sender as ``host:port``.
        reservation: Memory of the body, reserved as long as the request exists.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray = b""
    received_s: float = 0.0
    peer: str = ""
    reservation: memory_budget.Reservation | None = None

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; the name is in lower case."""
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """A complete response.

    Attributes:
        reusable: Whether its connection may carry another request.
        reservation: Memory of the body, reserved as long as the response exists.
    """

    status: int
    headers: Headers
    body: bytes | bytearray = b""
    reusable: bool = False
    reservation: memory_budget.Reservation | None = None

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; the name is in lower case."""
        return find_header(self.headers, name)


class ChunkLimit:
    """Limits the number of chunks in which a body arrives, in proportion to its size.

    Each chunk costs processor time, so a body in chunks of one byte would block the event loop.
    """

    FREE_CHUNKS = 4096
    MIN_MEAN_BYTES = 16

    def __init__(self):
        self._chunks = 0

    def add(self, body_bytes: int) -> bool:
        """Counts a chunk; returns False if a body of ``body_bytes`` came in too many chunks."""
        self._chunks += 1
        return self._chunks <= self.FREE_CHUNKS + body_bytes // self.MIN_MEAN_BYTES


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header; the name is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def cookie(headers: Headers, name: str) -> str | None:
    """Returns the value of a cookie, or None if it is not set."""
    for key, value in headers:
        if key.lower() != b"cookie":
            continue
        for pair in value.decode("latin-1").split(";"):
            cookie_name, _, cookie_value = pair.strip().partition("=")
            if cookie_name == name:
                return cookie_value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers to forward: all but those in ``HOP_BY_HOP`` or named by Connection."""
    connection_options = set()
    for key, value in headers:
        if key.lower() == b"connection":
            connection_options.update(token.strip().lower() for token in value.split(b","))
    return [
        (key, value)
        for key, value in headers
        if key.lower() not in HOP_BY_HOP and key.lower() not in connection_options
    ]

"""Requests and responses as the gateway forwards them."""

import dataclasses

Headers = list[tuple[bytes, bytes]]

# Headers that apply to a single connection, or whose value the gateway sets itself; they are not
# forwarded.
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
    """Names of the headers and the cookie used by callers, the gateway and backend servers."""

    request_id: bytes = b"sassafras-request-id"
    time_left_ms: bytes = b"sassafras-deadline-ms"
    object_cookie: str = "sassafras-object"
    signature: bytes = b"sassafras-signature"
    expected_server: bytes = b"sassafras-expected-server"
    server_load: bytes = b"sassafras-load"
    not_run: bytes = b"sassafras-not-run"


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A complete request.

    Attributes:
        received_s: Monotonic time at which its first byte arrived, s.
        peer: Address of the sender as ``host:port``.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    received_s: float = 0.0
    peer: str = ""

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; the name is in lower case."""
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """A complete response.

    Attributes:
        reusable: Whether the connection may carry another request.
    """

    status: int
    headers: Headers
    body: bytes = b""
    reusable: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; the name is in lower case."""
        return find_header(self.headers, name)


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
    """Returns the end-to-end headers, which are the ones to forward."""
    named = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [
        (key, value)
        for key, value in headers
        if key.lower() not in HOP_BY_HOP and key.lower() not in named
    ]

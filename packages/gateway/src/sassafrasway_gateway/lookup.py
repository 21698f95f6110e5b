"""Answers lookups, by which callers find the instances to use."""

import urllib.parse

import msgspec

from sassafrasway_gateway import fleet, messages, request_handler

MAX_ADDRESSES = 64
# With fewer instances in the caller's failure domain, all those of its region are returned, so that
# the caller has another instance if one fails.
MIN_LOCAL_INSTANCES = 2
# Time for which callers may cache a response, unless the settings require a shorter one.
LOOKUP_TTL_S = 1.5


class LookupFormat:
    """Format of lookup requests and responses.

    Attributes:
        path: URL path of lookups.
        region: Name of the query parameter with the caller's region.
        failure_domain: Name of the query parameter with the caller's failure domain.
        addresses: Name of the response field with the addresses.
        ttl: Name of the response field with the time for which the response may be cached, as a
            number of seconds with the suffix ``s``.
    """

    path = "/v1/instances"
    region = "region"
    failure_domain = "failure_domain"
    addresses = "addresses"
    ttl = "ttl"

    def encode(self, addresses: list[str], ttl_s: float) -> bytes:
        """Returns the body of a response with addresses as ``host:port``."""
        return msgspec.json.encode({self.addresses: addresses, self.ttl: f"{ttl_s}s"})


def choose_instances(
    members: list[fleet.Member], *, region: str, failure_domain: str
) -> list[fleet.Member]:
    """Returns the ready instances nearest to a caller, at most ``MAX_ADDRESSES``."""
    same_domain = [member for member in members if member.failure_domain == failure_domain]
    if len(same_domain) >= MIN_LOCAL_INSTANCES:
        return same_domain[:MAX_ADDRESSES]
    same_region = [member for member in members if member.region == region]
    return (same_region or members)[:MAX_ADDRESSES]


class LookupHandler(request_handler.Handler):
    """Answers lookups from the fleet view.

    ``ttl_s`` is the longest time for which a response may be cached.
    """

    def __init__(self, *, view: fleet.FleetView, lookup_format: LookupFormat, ttl_s: float):
        self._view = view
        self._format = lookup_format
        self._ttl_s = min(LOOKUP_TTL_S, ttl_s)

    async def handle(self, request: messages.Request) -> messages.Response:
        """See base class."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != self._format.path:
            return request_handler.text_response(404, "unknown path")
        if request.method != b"GET":
            return request_handler.text_response(405, "look-ups use GET")
        parameters = dict(urllib.parse.parse_qsl(query))
        members = choose_instances(
            self._view.ready_members(),
            region=parameters.get(self._format.region, ""),
            failure_domain=parameters.get(self._format.failure_domain, ""),
        )
        if not members:
            return request_handler.text_response(503, "no instance is ready", retry_after_s=0.5)
        body = self._format.encode([member.front for member in members], self._ttl_s)
        headers = [(b"Content-Type", b"application/json")]
        return messages.Response(status=200, headers=headers, body=body)

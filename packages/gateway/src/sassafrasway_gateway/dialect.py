"""Platform-specific names and formats of the gateway's external interfaces."""

import dataclasses

from sassafrasway_gateway import lookup, messages, state


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Platform-specific names and formats of the gateway's external interfaces.

    Attributes:
        headers: Names of HTTP headers.
        lookups: Format of lookup requests and responses.
        readiness_path: URL path of the platform's readiness probe.
        policy_table: Name of the table with the policy and the evacuated failure domains, whose
            servers get no request.
        server_table: Name of the table with the backend servers.
        member_table: Name of the table in which the instances register.
        decoder: Decodes the rows of these tables.
    """

    headers: messages.HeaderNames
    lookups: lookup.LookupFormat
    readiness_path: str
    policy_table: str
    server_table: str
    member_table: str
    decoder: state.RowDecoder

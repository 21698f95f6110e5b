"""Platform-specific names and formats of the gateway's external interfaces."""

import dataclasses

from sassafrasway_gateway import lookup, messages, state


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Platform-specific names and formats of the gateway's external interfaces.

    Attributes:
        readiness_path: URL path of the platform's readiness probe.
        policy_table: Table with the policy and the evacuated failure domains.
        server_table: Table with the backend servers.
        member_table: Table in which the instances register.
    """

    headers: messages.HeaderNames
    lookups: lookup.LookupFormat
    readiness_path: str
    policy_table: str
    server_table: str
    member_table: str
    decoder: state.RowDecoder

"""Messages that instances exchange in UDP datagrams.

They are encoded as MessagePack arrays, so the order of their fields is part of the format.
"""

import msgspec

from sassafrasway_gateway import fleet


class Hello(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """Describes the sender; used as ping, as reply to a ping, and to announce a new phase.

    The same encoding is the row of an instance in the table of members. The fields that are not
    listed here are those of ``fleet.Member``.

    Attributes:
        phase: Number of the phase, see ``fleet.Phase``.
        reply: Whether the receiver should reply.
        versions: Newest version of each followed table that the sender has.
        contact_ms: How long the sender has received the store's changes without an outage, ms; 0
            during an outage.
    """

    name: str
    incarnation: int
    phase: int
    front: str
    peer_host: str
    failure_domain: str
    region: str
    reply: bool
    versions: dict[str, int]
    contact_ms: int = 0


class Suspect(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """Asks the receiver to verify a member that the sender could not reach."""

    name: str
    incarnation: int


class Crashed(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """Reports that a server crashed while it ran a request.

    Attributes:
        fingerprint: Digest of the request.
        server: Id of the server and the Unix time of its start in ms, separated by a slash.
    """

    fingerprint: str
    server: str


class Beacon(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """Announces table versions that the sender can serve to other instances."""

    name: str
    peer_host: str
    region: str
    versions: dict[str, int]


Message = Beacon | Hello | Suspect | Crashed

_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message as a datagram."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a datagram.

    Raises:
        msgspec.DecodeError: The datagram is not a valid message.
    """
    return _DECODER.decode(data)


def hello(
    member: fleet.Member, *, reply: bool, versions: dict[str, int], contact_s: float = 0.0
) -> Hello:
    """Builds the hello message of the sending member; see `Hello` for the other arguments.

    ``contact_s`` is the value of ``contact_ms`` in seconds.
    """
    return Hello(
        member.name,
        member.incarnation,
        int(member.phase),
        member.front,
        member.peer_host,
        member.failure_domain,
        member.region,
        reply,
        versions,
        int(contact_s * 1000),
    )


def member_of(message: Hello) -> fleet.Member:
    """Returns the member that a hello message describes.

    Raises:
        ValueError: The phase is unknown.
    """
    return fleet.Member(
        name=message.name,
        incarnation=message.incarnation,
        phase=fleet.Phase(message.phase),
        front=message.front,
        peer_host=message.peer_host,
        failure_domain=message.failure_domain,
        region=message.region,
    )

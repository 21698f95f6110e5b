"""Messages that instances exchange in UDP datagrams.

They are encoded as MessagePack arrays, so the order of their fields is part of the format.
"""

import ipaddress
from typing import Annotated

import msgspec

from sassafrasway_core import errors
from sassafrasway_gateway import fleet

# More table versions than any instance follows; larger messages are invalid.
MAX_TABLES = 16
# Most members in one report; their names usually fit into one datagram.
MAX_REPORTED = 20

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Versions = Annotated[
    dict[_Name, Annotated[int, msgspec.Meta(ge=-1, le=2**53)]], msgspec.Meta(max_length=MAX_TABLES)
]


class Hello(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """Describes the sender; used as ping, as reply to a ping, and to announce a new phase.

    The same encoding is the row of an instance in the table of members. The fields that are not
    listed here are those of ``fleet.Member``.

    Attributes:
        reply: Whether the receiver should reply.
        versions: Newest version of each followed table that the sender has.
    """

    name: _Name
    incarnation: _Number
    phase: fleet.Phase
    front: _Name
    peer_host: _Name
    failure_domain: _Name
    region: _Name
    reply: bool
    versions: _Versions


class Unreachable(msgspec.Struct, array_like=True, tag="u", frozen=True):
    """Reports members that did not answer the pings of the sender.

    Attributes:
        members: Name and incarnation of each.
    """

    reporter: _Name
    members: Annotated[tuple[tuple[_Name, _Number], ...], msgspec.Meta(max_length=MAX_REPORTED)]


class Crashed(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """Reports that a server crashed while it ran a request.

    Attributes:
        fingerprint: Digest of the request.
        server: Id of the server and the Unix time of its start in ms, separated by a slash.
    """

    fingerprint: _Name
    server: Annotated[str, msgspec.Meta(min_length=1, max_length=300)]


class Beacon(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """Announces table versions that the sender can serve to other instances.

    Attributes:
        reads: Whether the sender reads these tables from the store.
        call_age_ms: Time since the sender began the last call that the store answered, ms; -1 if it
            never answered one.
        unanswered: Tables that the sender tries to read; the store has not answered it yet.
    """

    name: _Name
    peer_host: _Name
    region: _Name
    versions: _Versions
    reads: bool = True
    unanswered: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=MAX_TABLES)] = ()
    call_age_ms: Annotated[int, msgspec.Meta(ge=-1, le=2**53)] = -1


Message = Beacon | Hello | Unreachable | Crashed

_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message as a datagram."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes | None) -> Message:
    """Decodes a datagram, or a row of the table of members.

    Raises:
        errors.ValidationError: The data is missing or not a valid message.
    """
    try:
        message = _DECODER.decode(data)
        if isinstance(message, Beacon | Hello):
            # A datagram to anything but an address would close the socket.
            ipaddress.IPv4Address(message.peer_host)
    except (msgspec.DecodeError, ValueError, TypeError, RecursionError) as error:
        raise errors.ValidationError(str(error), step="peer.decode") from error
    return message


def hello(member: fleet.Member, *, reply: bool, versions: dict[str, int]) -> Hello:
    """Builds the hello message of the sending member; see `Hello` for the other arguments."""
    return Hello(
        member.name,
        member.incarnation,
        member.phase,
        member.front,
        member.peer_host,
        member.failure_domain,
        member.region,
        reply,
        versions,
    )


def member_of(message: Hello) -> fleet.Member:
    """Returns the member that a hello message describes."""
    return fleet.Member(
        name=message.name,
        incarnation=message.incarnation,
        phase=message.phase,
        front=message.front,
        peer_host=message.peer_host,
        failure_domain=message.failure_domain,
        region=message.region,
    )

"""Messages that instances exchange in UDP datagrams.

They are encoded as MessagePack arrays, so the order of their fields is part of the format.
"""

import enum
import ipaddress
from typing import Annotated

import msgspec

from sassafrasway_core import errors
from sassafrasway_gateway import fleet, load_sharing

# More table versions than any instance follows; larger messages are invalid.
MAX_TABLES = 16
# Most members in one report; their names usually fit into one datagram.
MAX_REPORTED = 20
# Largest number of tokens in one message, and largest index of a shard.
MAX_TOKENS = 1000
MAX_SHARD = 63
# Largest number of times that a shard request is passed on; instances whose views differ could
# otherwise pass it on without end.
MAX_SHARD_REQUEST_HOPS = 3
# Longest time stated in a grant.
MAX_TOKEN_WAIT_MS = 60_000

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
        loads: Load reports of servers; see ``load_sharing``.
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
    loads: Annotated[bytes, msgspec.Meta(max_length=load_sharing.MAX_BYTES)] = b""


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


_Shard = Annotated[int, msgspec.Meta(ge=0, le=MAX_SHARD)]
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
_Host = Annotated[str, msgspec.Meta(max_length=45)]


class TokenRequest(msgspec.Struct, array_like=True, tag="q", frozen=True):
    """Asks the quota owner of a shard for tokens of an organisation.

    Attributes:
        count: Tokens for requests that wait.
        spare: Tokens for later requests.
        request_id: Number that the grant repeats.
        reply_host: Address for the grant if another instance passed the request on; otherwise
            empty.
    """

    organisation: _Name
    shard: _Shard
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]
    spare: _Tokens
    request_id: _Number
    reply_host: _Host = ""


class GrantState(enum.IntEnum):
    """What a grant says of the limit."""

    # The tokens were granted; there may be fewer than requested.
    GRANTED = 0
    # The limit of the shard is reached.
    LIMITED = 1
    # The sender does not know, for example because it does not own the shard.
    UNKNOWN = 2


class TokenGrant(msgspec.Struct, array_like=True, tag="g", frozen=True):
    """Answers a token request.

    Attributes:
        wait_ms: Time until the granted tokens may be used or, without any, until the shard may
            have tokens again, ms.
        retry_ms: Time after which callers whose requests are rejected may retry, ms.
    """

    request_id: _Number
    state: GrantState
    count: _Tokens = 0
    wait_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKEN_WAIT_MS)] = 0
    retry_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKEN_WAIT_MS)] = 0


class TokenReturn(msgspec.Struct, array_like=True, tag="r", frozen=True):
    """Returns tokens that were not used.

    Attributes:
        request_id: Number of the token request by which they were granted.
    """

    organisation: _Name
    shard: _Shard
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]
    request_id: _Number


class ShardRequest(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """Asks the previous owner of a shard to stop granting, and for the tokens that it has left.

    Attributes:
        reply_host: Address for the answer if another instance passed the message on; otherwise
            empty.
        hops: Number of times that it was passed on.
    """

    organisation: _Name
    shard: _Shard
    reply_host: _Host = ""
    hops: Annotated[int, msgspec.Meta(ge=0, le=MAX_SHARD_REQUEST_HOPS)] = 0


class ShardHandover(msgspec.Struct, array_like=True, tag="v", frozen=True):
    """Answers a shard request.

    Attributes:
        level: Tokens left; None if the sender has not owned the shard.
    """

    organisation: _Name
    shard: _Shard
    level: Annotated[float, msgspec.Meta(ge=-1e6, le=1e6)] | None


QuotaMessage = TokenRequest | TokenGrant | TokenReturn | ShardRequest | ShardHandover
Message = Beacon | Hello | Unreachable | Crashed | QuotaMessage

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
        elif isinstance(message, TokenRequest | ShardRequest) and message.reply_host:
            ipaddress.IPv4Address(message.reply_host)
    except (msgspec.DecodeError, ValueError, TypeError, RecursionError) as error:
        raise errors.ValidationError(str(error), step="peer.decode") from error
    return message


def hello(
    member: fleet.Member, *, reply: bool, versions: dict[str, int], loads: bytes = b""
) -> Hello:
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
        loads,
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

"""Encoding and decoding of framed Thrift messages in the strict binary protocol."""

import dataclasses
from typing import Any, ClassVar

from thriftpy2 import thrift
from thriftpy2.protocol import cybin
from thriftpy2.transport import buffered, memory

from sassafrasway_core import errors

FRAME_HEADER_BYTES = 4
# Method that every server answers immediately; clients call it to probe a connection. No Thrift
# service declares it.
PING = "ping"
MAX_FRAME_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MessageHead:
    """Head of a message.

    Attributes:
        name: Name of the method.
        kind: Message type, a value of ``thrift.TMessageType``.
        sequence_id: Chosen by the client; the reply has the same one.
    """

    name: str
    kind: int
    sequence_id: int


def encode(*, head: MessageHead, payload: Any) -> bytes:
    """Returns a frame: the length of the message as a big-endian integer, then the message.

    Args:
        head: Head of the message.
        payload: Thrift struct.
    """
    buffer = memory.TCyMemoryBuffer()
    protocol = cybin.TCyBinaryProtocol(buffer, strict_write=True)
    protocol.write_message_begin(head.name, head.kind, head.sequence_id)
    protocol.write_struct(payload)
    protocol.write_message_end()
    body = buffer.getvalue()
    return len(body).to_bytes(FRAME_HEADER_BYTES, "big") + body


class Empty(thrift.TPayload):
    """Thrift struct without fields, for probes and their replies."""

    thrift_spec: ClassVar[dict] = {}
    default_spec: ClassVar[list] = []


class Decoder:
    """Reads one message from the body of a frame: first the head, then the payload.

    Args:
        body: Body of the frame.
        peer: Sender of the frame, for the errors that are raised.
    """

    def __init__(self, *, body: bytes, peer: str):
        self._peer = peer
        # A TCyMemoryBuffer trusts the lengths in a message and allocates up to 2 GiB for a short
        # malformed one; the buffered transport fails on a length beyond the end of the frame.
        transport = buffered.TCyBufferedTransport(memory.TMemoryBuffer(body))
        self._protocol = cybin.TCyBinaryProtocol(transport, strict_read=True)

    def read_head(self) -> MessageHead:
        """Returns the head of the message.

        Raises:
            errors.ValidationError: The frame is not a strict binary Thrift message.
        """
        try:
            name, kind, sequence_id = self._protocol.read_message_begin()
        except Exception as error:
            raise errors.ValidationError(
                f"malformed message head: {error}", step="rpc.decode", peer=self._peer
            ) from error
        return MessageHead(name=name, kind=kind, sequence_id=sequence_id)

    def read_struct(self, struct_type: type) -> Any:
        """Returns the payload as an object of ``struct_type``.

        Raises:
            errors.ValidationError: The payload does not match the schema.
        """
        payload = struct_type()
        try:
            self._protocol.read_struct(payload)
            self._protocol.read_message_end()
        except Exception as error:
            raise errors.ValidationError(
                f"malformed {struct_type.__name__}: {error}", step="rpc.decode", peer=self._peer
            ) from error
        return payload

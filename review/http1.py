"""Minimal HTTP/1.1 messages for the stand-ins: heads with headers, bodies with a length."""

import asyncio
import dataclasses

MAX_HEAD_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
        start: Words of the first line.
        headers: Headers by name in lower case.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])

    @property
    def body_length(self) -> int:
        """Length of the body as the headers state it."""
        return int(self.headers.get("content-length", "0"))


async def read(reader: asyncio.StreamReader, *, first: bytes = b"") -> Message | None:
    """Returns the next message, or None if the connection ends before its head is complete.

    ``first`` holds bytes that were read already.

    Raises:
        asyncio.IncompleteReadError: The connection ends within the body.
    """
    try:
        head = first + await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    message = parse_head(head)
    message.body = await reader.readexactly(message.body_length)
    return message


def parse_head(head: bytes) -> Message:
    """Returns a message without its body from its first line and its headers."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message; the length of its body is added."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

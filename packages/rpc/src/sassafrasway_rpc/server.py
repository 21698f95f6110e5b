"""RPC server for framed Thrift over TCP, with concurrent calls on each connection."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any

import structlog
from thriftpy2 import thrift

from sassafrasway_core import errors
from sassafrasway_rpc import codec, schema

# Wire codes by error class.
_ERROR_CODES: tuple[tuple[type[errors.SassafraswayError], str], ...] = (
    (errors.ValidationError, "validation"),
    (errors.ConflictError, "conflict"),
    (errors.NotFoundError, "not_found"),
    (errors.UnavailableError, "unavailable"),
)


def error_code(error: errors.SassafraswayError) -> str:
    """Returns the wire code of an error; ``internal`` when its class has none."""
    for error_type, code in _ERROR_CODES:
        if isinstance(error, error_type):
            return code
    return "internal"


def error_class(code: str) -> type[errors.SassafraswayError]:
    """Returns the error class of a wire code; the base class when the code is unknown."""
    for error_type, known_code in _ERROR_CODES:
        if known_code == code:
            return error_type
    return errors.SassafraswayError


class RpcServer:
    """Serves several Thrift services on one port.

    Methods are found by their name alone, so no two services may have a method of the same name.

    Args:
        handlers: Pairs of a Thrift service and an object with an async method for each of its
            methods.
        host: IP address to listen on.
        port: TCP port; 0 selects a free one.
    """

    def __init__(self, *, handlers: Sequence[tuple[Any, Any]], host: str, port: int):
        self._host = host
        self._port = port
        self._methods: dict[str, tuple[Any, Any]] = {}
        for service, handler in handlers:
            for method in service.thrift_services:
                self._methods[method] = (service, getattr(handler, method))
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._connection_tasks: set[asyncio.Task] = set()
        self._log = structlog.get_logger("rpc.server")

    @property
    def address(self) -> str:
        """The listening address as ``host:port``."""
        return f"{self._host}:{self._port}"

    @property
    def methods(self) -> Mapping[str, tuple[Any, Any]]:
        """Thrift service and handler method by method name."""
        return self._methods

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address is not available.
        """
        self._server = await asyncio.start_server(self._accept, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening, closes all connections and cancels their running calls."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection(methods=self._methods, reader=reader, writer=writer)
        self._connections.add(connection)
        task = asyncio.current_task()
        self._connection_tasks.add(task)
        try:
            await connection.run()
        except errors.ValidationError as error:
            self._log.warning(
                "connection closed after a protocol error", reason=error.message, peer=error.peer
            )
        finally:
            self._connections.discard(connection)
            self._connection_tasks.discard(task)
            connection.close()


class _Connection:
    """One accepted connection, whose calls run concurrently."""

    def __init__(
        self,
        *,
        methods: Mapping[str, tuple[Any, Any]],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self._methods = methods
        self._reader = reader
        self._writer = writer
        peer = writer.get_extra_info("peername")
        self._peer = f"{peer[0]}:{peer[1]}" if peer else ""
        self._calls: set[asyncio.Task] = set()
        self._log = structlog.get_logger("rpc.server").bind(peer=self._peer)

    def close(self) -> None:
        """Closes the connection and cancels its running calls."""
        for call in self._calls:
            call.cancel()
        self._writer.close()

    async def run(self) -> None:
        """Serves calls until the peer closes the connection."""
        while True:
            body = await read_frame(self._reader, peer=self._peer)
            if body is None:
                return
            decoder = codec.Decoder(body=body, peer=self._peer)
            head = decoder.read_head()
            if head.name == codec.PING:
                self._reply(head, thrift.TMessageType.REPLY, codec.Empty())
                continue
            task = asyncio.create_task(self._serve(head, decoder))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def _serve(self, head: codec.MessageHead, decoder: codec.Decoder) -> None:
        entry = self._methods.get(head.name)
        if entry is None:
            self._reply_exception(
                head, thrift.TApplicationException.UNKNOWN_METHOD, f"unknown method {head.name!r}"
            )
            return
        service, handler = entry
        try:
            arguments = decoder.read_struct(getattr(service, f"{head.name}_args"))
        except errors.ValidationError as error:
            self._reply_exception(head, thrift.TApplicationException.PROTOCOL_ERROR, error.message)
            return
        result = getattr(service, f"{head.name}_result")()
        try:
            value = await handler(**vars(arguments))
        except errors.SassafraswayError as error:
            self._reply_error(head, result, error)
            return
        except Exception as error:
            self._log.exception("RPC handler raised an unexpected error", method=head.name)
            self._reply_exception(
                head, thrift.TApplicationException.INTERNAL_ERROR, f"internal error: {error}"
            )
            return
        if head.kind == thrift.TMessageType.ONEWAY:
            return
        if hasattr(result, "success"):
            result.success = value
        self._reply(head, thrift.TMessageType.REPLY, result)

    def _reply_error(
        self, head: codec.MessageHead, result: Any, error: errors.SassafraswayError
    ) -> None:
        if head.kind == thrift.TMessageType.ONEWAY:
            return
        if not hasattr(result, "error"):
            self._reply_exception(head, thrift.TApplicationException.INTERNAL_ERROR, str(error))
            return
        result.error = schema.common.RpcError(
            code=error_code(error), message=error.message, step=error.step, peer=error.peer
        )
        self._reply(head, thrift.TMessageType.REPLY, result)

    def _reply_exception(self, head: codec.MessageHead, kind: int, message: str) -> None:
        if head.kind == thrift.TMessageType.ONEWAY:
            return
        payload = thrift.TApplicationException(kind, message)
        self._reply(head, thrift.TMessageType.EXCEPTION, payload)

    def _reply(self, head: codec.MessageHead, kind: int, payload: Any) -> None:
        reply_head = codec.MessageHead(name=head.name, kind=kind, sequence_id=head.sequence_id)
        if not self._writer.is_closing():
            self._writer.write(codec.encode(head=reply_head, payload=payload))


async def read_frame(reader: asyncio.StreamReader, *, peer: str) -> bytes | None:
    """Returns the body of the next frame, or None when the connection was closed or lost.

    Raises:
        errors.ValidationError: The frame is empty or larger than ``codec.MAX_FRAME_BYTES``.
    """
    try:
        header = await reader.readexactly(codec.FRAME_HEADER_BYTES)
        length = int.from_bytes(header, "big")
        if not 0 < length <= codec.MAX_FRAME_BYTES:
            raise errors.ValidationError(
                f"frame length in bytes is {length}, must be from 1 to {codec.MAX_FRAME_BYTES}",
                step="rpc.read",
                peer=peer,
            )
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None

"""RPC client: one connection to a peer, many calls at a time."""

import asyncio
import itertools
from typing import Any

from thriftpy2 import thrift

from sassafrasway_core import errors
from sassafrasway_rpc import codec, server

CONNECT_TIMEOUT_S = 1.0
# A connection with calls in progress is probed after this time without a frame, and given up after
# as much time again.
SILENCE_S = 0.3
WATCH_INTERVAL_S = 0.1
MAX_SEQUENCE_ID = 2**31 - 1


class CallNotSentError(errors.UnavailableError):
    """The call failed before any of its bytes left, so the peer has not seen it."""


class ConnectionRefusedByPeerError(CallNotSentError):
    """No process listens at the peer's address."""


class RpcClient:
    """Calls the methods of Thrift services at one peer.

    Reconnects on the next call after the connection was lost. Every call has its own timeout; a
    reply that arrives after it is dropped.

    Args:
        address: ``host:port`` of the peer.
        service: Thrift service whose methods are called.
        timeout_s: Default timeout of a call in seconds.
    """

    def __init__(self, *, address: str, service: Any, timeout_s: float = 2.0):
        self._address = address
        self._service = service
        self._timeout_s = timeout_s
        self._sequence = itertools.count(1)
        self._waiting: dict[int, asyncio.Future] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reader_task: asyncio.Task | None = None
        self._connecting = asyncio.Lock()
        self._last_frame_s = 0.0
        self._watch_task: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """The peer's ``host:port``."""
        return self._address

    async def call(self, method: str, *, timeout_s: float | None = None, **arguments: Any) -> Any:
        """Calls a method and returns its result; a oneway method returns None once it is sent.

        Raises:
            CallNotSentError: The peer was not reached; it has not seen the call.
            errors.UnavailableError: The peer did not answer; it may have seen the call.
            errors.SassafraswayError: The peer reported an error.
        """
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        payload = getattr(self._service, f"{method}_args")(**arguments)
        result_type = getattr(self._service, f"{method}_result")
        oneway = getattr(result_type, "oneway", False)
        writer = await self._connect(limit_s)
        sequence_id = next(self._sequence) % MAX_SEQUENCE_ID
        kind = thrift.TMessageType.ONEWAY if oneway else thrift.TMessageType.CALL
        head = codec.MessageHead(name=method, kind=kind, sequence_id=sequence_id)
        frame = codec.encode(head=head, payload=payload)
        if oneway:
            writer.write(frame)
            return None
        future = asyncio.get_running_loop().create_future()
        self._waiting[sequence_id] = future
        self._watch(writer)
        try:
            writer.write(frame)
            body = await asyncio.wait_for(future, limit_s)
        except TimeoutError:
            raise errors.UnavailableError(
                f"no answer within {limit_s:.3f} s", step=f"rpc.{method}", peer=self._address
            ) from None
        finally:
            self._waiting.pop(sequence_id, None)
        return self._result(method, result_type, body)

    async def close(self) -> None:
        """Closes the connection; calls that wait fail."""
        for task in (self._reader_task, self._watch_task):
            if task is not None:
                task.cancel()
        self._disconnect("connection closed")

    def _watch(self, writer: asyncio.StreamWriter) -> None:
        if self._watch_task is None or self._watch_task.done():
            self._last_frame_s = asyncio.get_running_loop().time()
            self._watch_task = asyncio.create_task(self._find_silence(writer))

    async def _find_silence(self, writer: asyncio.StreamWriter) -> None:
        """Probes the connection while calls wait, and drops it when nothing comes back.

        Something between the two ends may have lost track of the connection. Calls that wait on it
        would otherwise learn that only from their own timeouts.
        """
        loop = asyncio.get_running_loop()
        probed_s = None
        while self._waiting and self._writer is writer:
            await asyncio.sleep(WATCH_INTERVAL_S)
            now_s = loop.time()
            if now_s - self._last_frame_s < SILENCE_S:
                probed_s = None
            elif probed_s is None:
                probed_s = now_s
                head = codec.MessageHead(
                    name=codec.PING, kind=thrift.TMessageType.CALL, sequence_id=0
                )
                writer.write(codec.encode(head=head, payload=codec.Empty()))
            elif now_s - probed_s >= SILENCE_S and self._writer is writer:
                # Aborting drops what the kernel has not delivered, so that it cannot arrive late.
                writer.transport.abort()
                self._disconnect("connection is silent")

    async def _connect(self, limit_s: float) -> asyncio.StreamWriter:
        async with self._connecting:
            if self._writer is not None and not self._writer.is_closing():
                return self._writer
            host, _, port = self._address.rpartition(":")
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), min(limit_s, CONNECT_TIMEOUT_S)
                )
            except ConnectionRefusedError as error:
                raise ConnectionRefusedByPeerError(
                    "connection refused", step="rpc.connect", peer=self._address
                ) from error
            except (OSError, TimeoutError) as error:
                raise CallNotSentError(
                    f"cannot connect: {error or 'timeout'}", step="rpc.connect", peer=self._address
                ) from error
            self._writer = writer
            self._reader_task = asyncio.create_task(self._read(reader, writer))
            return writer

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        reason = "connection lost"
        try:
            while True:
                body = await server.read_frame(reader, peer=self._address)
                if body is None:
                    break
                self._dispatch(body)
        except errors.ValidationError as error:
            reason = error.message
        finally:
            writer.close()
            if self._writer is writer:
                self._disconnect(reason)

    def _dispatch(self, body: bytes) -> None:
        self._last_frame_s = asyncio.get_running_loop().time()
        head = codec.Decoder(body=body, peer=self._address).read_head()
        future = self._waiting.get(head.sequence_id)
        if future is not None and not future.done():
            future.set_result(body)

    def _disconnect(self, reason: str) -> None:
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(
                    errors.UnavailableError(reason, step="rpc.read", peer=self._address)
                )

    def _result(self, method: str, result_type: type, body: bytes) -> Any:
        decoder = codec.Decoder(body=body, peer=self._address)
        head = decoder.read_head()
        step = f"rpc.{method}"
        if head.kind == thrift.TMessageType.EXCEPTION:
            error = decoder.read_struct(thrift.TApplicationException)
            raise errors.SassafraswayError(str(error), step=step, peer=self._address)
        result = decoder.read_struct(result_type)
        error = getattr(result, "error", None)
        if error is not None:
            raise server.error_class(error.code)(
                error.message, step=error.step or step, peer=error.peer or self._address
            )
        return getattr(result, "success", None)

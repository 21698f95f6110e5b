"""RPC client that multiplexes concurrent calls over one connection to a peer."""

import asyncio
import itertools
from typing import Any

from thriftpy2 import thrift

from sassafrasway_core import errors
from sassafrasway_rpc import codec, server

CONNECT_TIMEOUT_S = 1.0
# A connection with pending calls is probed when no frame arrived for this time, and closed when
# none arrives for the same time after the probe.
SILENCE_TIMEOUT_S = 0.3
SILENCE_CHECK_INTERVAL_S = 0.1
MAX_SEQUENCE_ID = 2**31 - 1  # sequence ids are Thrift i32 values; probes have 0


class CallNotSentError(errors.UnavailableError):
    """The call failed before any of its bytes were sent, so the peer has not received it."""


class ConnectionRefusedByPeerError(CallNotSentError):
    """No process listens at the peer's address."""


class RpcClient:
    """Calls the methods of Thrift services at one peer.

    After a lost connection, the next call opens a new one. Each call has its own timeout; a reply
    that arrives later is dropped.

    Args:
        address: ``host:port`` of the peer.
        service: Thrift service whose methods are called, or another object with the structs
            ``<method>_args`` and ``<method>_result`` of each method.
        timeout_s: Default of ``timeout_s`` in ``call``.
    """

    def __init__(self, *, address: str, service: Any, timeout_s: float = 2.0):
        self._address = address
        self._service = service
        self._timeout_s = timeout_s
        self._sequence = itertools.count(1)
        self._pending_calls: dict[int, asyncio.Future] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reader_task: asyncio.Task | None = None
        self._connect_lock = asyncio.Lock()
        self._last_frame_s = 0.0
        self._probe_task: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """The peer's ``host:port``."""
        return self._address

    async def call(self, method: str, *, timeout_s: float | None = None, **arguments: Any) -> Any:
        """Calls a method and returns its result; a oneway call returns None once it is written.

        Args:
            method: Name of the method.
            timeout_s: Limit in seconds of the wait for the reply. It also limits the opening of a
                connection, if lower than ``CONNECT_TIMEOUT_S``. The wait for other calls that try
                to open a connection is not limited.
            **arguments: Arguments of the method.

        Raises:
            CallNotSentError: The peer was not reached; it has not received the call.
            errors.UnavailableError: The peer did not answer, or reported that it cannot serve the
                call; it may have received the call.
            errors.SassafraswayError: The peer reported an error, or its reply is malformed.
        """
        call_timeout_s = self._timeout_s if timeout_s is None else timeout_s
        payload = getattr(self._service, f"{method}_args")(**arguments)
        result_type = getattr(self._service, f"{method}_result")
        oneway = getattr(result_type, "oneway", False)
        writer = await self._connect(call_timeout_s)
        sequence_id = next(self._sequence) % MAX_SEQUENCE_ID
        kind = thrift.TMessageType.ONEWAY if oneway else thrift.TMessageType.CALL
        head = codec.MessageHead(name=method, kind=kind, sequence_id=sequence_id)
        frame = codec.encode(head=head, payload=payload)
        if oneway:
            writer.write(frame)
            return None
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[sequence_id] = future
        self._start_probing(writer)
        try:
            writer.write(frame)
            body = await asyncio.wait_for(future, call_timeout_s)
        except TimeoutError:
            raise errors.UnavailableError(
                f"no answer within {call_timeout_s:.3f} s", step=f"rpc.{method}", peer=self._address
            ) from None
        finally:
            self._pending_calls.pop(sequence_id, None)
        return self._decode_result(method, result_type, body)

    async def close(self) -> None:
        """Closes the connection; pending calls fail."""
        for task in (self._reader_task, self._probe_task):
            if task is not None:
                task.cancel()
        self._disconnect("client closed the connection")

    def _start_probing(self, writer: asyncio.StreamWriter) -> None:
        """Starts a probe task unless one runs.

        The task of a lost connection still runs for up to ``SILENCE_CHECK_INTERVAL_S``. The calls
        that start on a new connection in this time are not probed until a later call starts a task.
        """
        if self._probe_task is None or self._probe_task.done():
            self._last_frame_s = asyncio.get_running_loop().time()
            self._probe_task = asyncio.create_task(self._probe_connection(writer))

    async def _probe_connection(self, writer: asyncio.StreamWriter) -> None:
        """Probes the connection while calls are pending, and closes it when the probe fails.

        A device on the path may have lost the state of the connection without closing it. Without
        a probe, each pending call would wait for its own timeout.
        """
        loop = asyncio.get_running_loop()
        probed_s = None
        while self._pending_calls and self._writer is writer:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            now_s = loop.time()
            if now_s - self._last_frame_s < SILENCE_TIMEOUT_S:
                probed_s = None
            elif probed_s is None:
                probed_s = now_s
                head = codec.MessageHead(
                    name=codec.PING, kind=thrift.TMessageType.CALL, sequence_id=0
                )
                writer.write(codec.encode(head=head, payload=codec.Empty()))
            elif now_s - probed_s >= SILENCE_TIMEOUT_S and self._writer is writer:
                # The calls are reported as failed, so data that was not passed to the kernel yet
                # must not be sent later: aborting discards it. Data in the kernel's send buffer can
                # still reach the peer.
                writer.transport.abort()
                self._disconnect("connection is silent: no answer to a probe")

    async def _connect(self, timeout_s: float) -> asyncio.StreamWriter:
        async with self._connect_lock:
            if self._writer is not None and not self._writer.is_closing():
                return self._writer
            host, _, port = self._address.rpartition(":")
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), min(timeout_s, CONNECT_TIMEOUT_S)
                )
            except ConnectionRefusedError as error:
                raise ConnectionRefusedByPeerError(
                    "connection refused", step="rpc.connect", peer=self._address
                ) from error
            except (OSError, TimeoutError) as error:
                raise CallNotSentError(
                    f"cannot open a connection: {error or 'timeout'}",
                    step="rpc.connect",
                    peer=self._address,
                ) from error
            self._writer = writer
            self._reader_task = asyncio.create_task(self._read_replies(reader, writer))
            return writer

    async def _read_replies(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reason = "connection lost"
        try:
            while True:
                body = await server.read_frame(reader, peer=self._address)
                if body is None:
                    break
                self._complete_call(body)
        except errors.ValidationError as error:
            reason = error.message
        finally:
            writer.close()
            if self._writer is writer:
                self._disconnect(reason)

    def _complete_call(self, body: bytes) -> None:
        self._last_frame_s = asyncio.get_running_loop().time()
        head = codec.Decoder(body=body, peer=self._address).read_head()
        future = self._pending_calls.get(head.sequence_id)
        if future is not None and not future.done():
            future.set_result(body)

    def _disconnect(self, reason: str) -> None:
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for future in self._pending_calls.values():
            if not future.done():
                future.set_exception(
                    errors.UnavailableError(reason, step="rpc.read", peer=self._address)
                )

    def _decode_result(self, method: str, result_type: type, body: bytes) -> Any:
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

"""Tests of the RPC client and server over a local connection."""

import asyncio
import unittest

from thriftpy2 import thrift

from sassafrasway_core import errors
from sassafrasway_rpc import client, codec, schema, server


class _Handler:
    """Service that answers after ``deadline_ms``.

    It raises an RPC error for service ``missing`` and an unexpected exception for ``broken``.
    """

    def __init__(self):
        self.cancelled = []

    async def forward(self, request):
        if request.service_name == "missing":
            raise errors.NotFoundError("no such service", step="test", peer="p")
        if request.service_name == "broken":
            raise ValueError("bug")
        await asyncio.sleep(request.deadline_ms / 1000)
        return schema.forward.ForwardReply(
            outcome=schema.forward.Outcome.RAN, status=200, body=request.body
        )

    async def report_crash(self, service_name, fingerprint, server):
        pass

    async def cancel(self, request_id):
        self.cancelled.append(request_id)


def _request(**fields):
    return schema.forward.ForwardRequest(**{"deadline_ms": 0, "body": b"", **fields})


class RpcTest(unittest.IsolatedAsyncioTestCase):
    """Tests of one client and one server; some of them send raw frames."""

    async def asyncSetUp(self):
        self.handler = _Handler()
        self.server = server.RpcServer(
            handlers=[(schema.forward.Forward, self.handler)], host="127.0.0.1", port=0
        )
        await self.server.start()
        self.client = client.RpcClient(
            address=self.server.address, service=schema.forward.Forward, timeout_s=5
        )

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.stop()

    async def test_replies_out_of_order_reach_their_calls(self):
        """Guards against matching replies to calls by order: a fast call overtakes a slow one."""
        slow = asyncio.create_task(
            self.client.call("forward", request=_request(deadline_ms=50, body=b"slow"))
        )
        await asyncio.sleep(0)
        fast = await self.client.call("forward", request=_request(body=b"fast"))
        self.assertFalse(slow.done())
        self.assertEqual((fast.body, (await slow).body), (b"fast", b"slow"))

    async def test_error_keeps_class_step_and_peer(self):
        """Guards against losing the class, step or peer of an error that a handler raises."""
        with self.assertRaises(errors.NotFoundError) as caught:
            await self.client.call("forward", request=_request(service_name="missing"))
        self.assertEqual((caught.exception.step, caught.exception.peer), ("test", "p"))

    async def test_bug_in_handler_keeps_connection(self):
        """Guards against closing the connection when a handler raises an unexpected exception."""
        with self.assertRaises(errors.SassafraswayError):
            await self.client.call("forward", request=_request(service_name="broken"))
        reply = await self.client.call("forward", request=_request(body=b"x"))
        self.assertEqual(reply.body, b"x")

    async def test_late_reply_is_dropped(self):
        """Guards against taking the reply of a timed-out call for the reply of a later call."""
        with self.assertRaises(errors.UnavailableError):
            await self.client.call(
                "forward", request=_request(deadline_ms=30, body=b"old"), timeout_s=0.001
            )
        reply = await self.client.call("forward", request=_request(deadline_ms=60, body=b"new"))
        self.assertEqual(reply.body, b"new")

    async def test_refused_connection_has_its_own_error(self):
        """Guards against treating a call that was never sent as one the peer may have received."""
        await self.client.close()
        await self.server.stop()
        unreachable = client.RpcClient(address=self.server.address, service=schema.forward.Forward)
        with self.assertRaises(client.ConnectionRefusedByPeerError):
            await unreachable.call("forward", request=_request())

    async def test_malformed_frames_do_not_stop_the_server(self):
        """Guards against malformed frames that stop the server, also by using up its memory.

        The frames are not Thrift, announce a method name of 2 GiB, end within a field, or are too
        short for a message.
        """
        host, _, port = self.server.address.rpartition(":")
        huge_name = b"\x80\x01\x00\x01\x7f\xff\xff\xff" + b"a" * 30
        bad_struct = b"\x80\x01\x00\x01\x00\x00\x00\x07forward\x00\x00\x00\x01\x0b\x00\x01\x7f"
        for body in (b"garbage", huge_name, bad_struct, b"\x00"):
            with self.subTest(body=body):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(len(body).to_bytes(4, "big") + body)
                await writer.drain()
                writer.close()
                reply = await self.client.call("forward", request=_request(body=b"alive"))
                self.assertEqual(reply.body, b"alive")

    async def test_oversized_frame_closes_connection(self):
        """Guards against allocating memory for an announced frame length above the limit."""
        host, _, port = self.server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((codec.MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
        self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_silent_connection_is_replaced(self):
        """Guards against calls that wait for their full timeout on a silent connection.

        The first connection is accepted, but never answered, not even a probe. The next call must
        use a new one.
        """
        accepted = []

        async def accept(reader, writer):
            accepted.append(writer)
            if len(accepted) > 1:
                while (body := await server.read_frame(reader, peer="test")) is not None:
                    head = codec.Decoder(body=body, peer="test").read_head()
                    reply = schema.forward.Forward.forward_result(
                        success=schema.forward.ForwardReply(body=b"new")
                    )
                    reply_head = codec.MessageHead(
                        name=head.name, kind=thrift.TMessageType.REPLY, sequence_id=head.sequence_id
                    )
                    writer.write(codec.encode(head=reply_head, payload=reply))
            else:
                await reader.read()

        listener = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        caller = client.RpcClient(
            address=f"{host}:{port}", service=schema.forward.Forward, timeout_s=60
        )
        with self.assertRaises(errors.UnavailableError) as caught:
            await caller.call("forward", request=_request())
        self.assertIn("silent", caught.exception.message)
        reply = await caller.call("forward", request=_request())
        self.assertEqual((reply.body, len(accepted)), (b"new", 2))
        await caller.close()
        for writer in accepted:
            writer.close()
        listener.close()

    async def test_slow_call_is_not_taken_for_silence(self):
        """Guards against closing a connection whose peer answers probes while a call still runs."""
        reply = await self.client.call(
            "forward", request=_request(deadline_ms=1500, body=b"slow"), timeout_s=60
        )
        self.assertEqual(reply.body, b"slow")

    async def test_call_of_unknown_method_gets_an_exception(self):
        """Guards against leaving a call unanswered whose method only newer versions have."""
        host, _, port = self.server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = codec.MessageHead(name="absent", kind=thrift.TMessageType.CALL, sequence_id=9)
        payload = schema.forward.Forward.forward_args(request=_request())
        writer.write(codec.encode(head=head, payload=payload))
        body = await server.read_frame(reader, peer="test")
        reply = codec.Decoder(body=body, peer="test").read_head()
        self.assertEqual((reply.kind, reply.sequence_id), (thrift.TMessageType.EXCEPTION, 9))
        writer.close()


if __name__ == "__main__":
    unittest.main()

"""Tests of the relay between entry instances."""

import asyncio
import contextlib
import socket
import unittest

from sassafrasway_standins import link


def free_port(host):
    """Returns a TCP port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.sources = []
        self.received = asyncio.Queue()
        self.target = f"127.250.1.1:{free_port('127.250.1.1')}"
        self.listen = f"127.249.1.1:{free_port('127.249.1.1')}"
        pair = {
            "source": {"name": "a1", "region": "a", "failure_domain": "a-a"},
            "target": {"name": "b1", "region": "b", "failure_domain": "b-a"},
            "listen": self.listen,
            "connect": self.target,
        }
        data = {"delays": {"region_ms": 2.5}, "pairs": [pair]}
        self.relay = link.Relay(data=data)
        await self.relay.start()
        self.serving = set()
        self.addAsyncCleanup(self.stop_relay)

    async def stop_relay(self):
        """Stops the relay and waits until the target has handled the end of its connections."""
        await self.relay.stop()
        await asyncio.gather(*self.serving)

    async def start_target(self):
        host, _, port = self.target.rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        self.addCleanup(server.close)

    async def serve(self, reader, writer):
        """Echoes each line in upper case."""
        self.serving.add(asyncio.current_task())
        self.sources.append(writer.get_extra_info("peername")[0])
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                self.received.put_nowait(line)
                writer.write(line.upper())
        self.received.put_nowait(b"end")
        writer.close()

    async def connect(self):
        host, _, port = self.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def test_order_source_and_byte_count(self):
        """Guards against reordered data, a wrong source address and bytes that are not counted."""
        await self.start_target()
        reader, writer = await self.connect()
        lines = [b"line %d\n" % index for index in range(300)]
        for line in lines:
            writer.write(line)
            await asyncio.sleep(0)
        answers = [await reader.readline() for _ in lines]
        self.assertEqual(answers, [line.upper() for line in lines])
        self.assertEqual(self.sources, ["127.249.1.1"])
        counted = self.relay.counted_bytes()
        total = sum(map(len, lines))
        self.assertEqual(sum(count for _, count in counted["a>b"]), total)
        self.assertEqual(sum(count for _, count in counted["b>a"]), total)

    async def test_large_transfer_is_complete(self):
        """Guards against flow control that loses data or never resumes reading."""
        await self.start_target()
        reader, writer = await self.connect()
        line = b"x" * 60000 + b"\n"
        reading = asyncio.create_task(reader.readexactly(len(line) * 700))
        for _ in range(700):
            writer.write(line)
            await writer.drain()
        self.assertEqual(await reading, line.upper() * 700)

    async def test_cut_holds_data_until_healed(self):
        """Guards against a cut that lets data through, or loses data of old or new connections."""
        await self.start_target()
        reader, writer = await self.connect()
        writer.write(b"one\n")
        await reader.readline()
        self.relay.change(action="cut", source="a", target="b")
        writer.write(b"two\n")
        _, new_writer = await self.connect()
        new_writer.write(b"three\n")
        await new_writer.drain()
        self.assertEqual(self.received.qsize(), 1)
        self.relay.change(action="heal", source="a", target="b")
        self.assertEqual(await reader.readline(), b"TWO\n")
        lines = {await self.received.get() for _ in range(3)}
        self.assertEqual(lines, {b"one\n", b"two\n", b"three\n"})

    async def test_one_way_cut_keeps_other_direction(self):
        """Guards against a one-way cut that stops both directions."""
        await self.start_target()
        reader, writer = await self.connect()
        writer.write(b"one\n")
        await reader.readline()
        self.relay.change(action="cut_one_way", source="b1", target="a-a")
        answer = asyncio.create_task(reader.readline())
        writer.write(b"two\n")
        await self.received.get()
        self.assertEqual(await self.received.get(), b"two\n")
        self.assertFalse(answer.done())
        self.relay.change(action="heal", source="b1", target="a-a")
        self.assertEqual(await answer, b"TWO\n")

    async def test_silent_connection_stays_silent_and_new_ones_work(self):
        """Guards against silence that ends, closes the connection or affects new connections."""
        await self.start_target()
        reader, writer = await self.connect()
        writer.write(b"one\n")
        await reader.readline()
        self.relay.change(action="silent", source="a", target="b")
        self.relay.change(action="heal", source="a", target="b")
        silent = asyncio.create_task(reader.readline())
        writer.write(b"two\n")
        new_reader, new_writer = await self.connect()
        new_writer.write(b"three\n")
        self.assertEqual(await new_reader.readline(), b"THREE\n")
        self.assertFalse(silent.done())
        silent.cancel()

    async def test_refusal_of_dead_target_is_passed_on(self):
        """Guards against a relay that accepts connections for a target that refuses them."""
        refused = False
        while not refused:
            try:
                _, writer = await self.connect()
                writer.close()
                await asyncio.sleep(0.001)
            except ConnectionRefusedError:
                refused = True
            except ConnectionResetError:
                # The relay closed its listening socket while this connection was in the backlog.
                await asyncio.sleep(0.001)
        await self.start_target()
        answer = b""
        while not answer:
            try:
                reader, writer = await self.connect()
                writer.write(b"alive\n")
                answer = await reader.readline()
            except ConnectionError:
                await asyncio.sleep(0.001)
        self.assertEqual(answer, b"ALIVE\n")

    async def test_end_of_connection_is_passed_on(self):
        """Guards against connections to the target that stay open after the source has closed."""
        await self.start_target()
        _, writer = await self.connect()
        writer.write(b"last\n")
        writer.close()
        self.assertEqual([await self.received.get() for _ in range(2)], [b"last\n", b"end"])


if __name__ == "__main__":
    unittest.main()

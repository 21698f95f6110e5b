"""A loopback proxy between one gateway and the others, which can cut its link to some of them.

The one gateway uses other internal ports than the others. On its ports the proxy stands in for the
others, and on their ports for it, so that all traffic between them passes here.
"""

import asyncio
import socket

import standin2

OWN_PORTS = (17720, 17735)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self._on_datagram = on_datagram

    def datagram_received(self, data, addr):
        self._on_datagram(data, addr[0])


class _Pipe(standin2.Listener):
    """Copies connections to an address; data between machines that are cut off waits."""

    def __init__(self, link, target, *, own=None):
        super().__init__()
        self._link = link
        self._target = target
        self._own = own

    async def serve(self, reader, writer):
        """Connects to the target and copies both directions."""
        other = self._target[0] if self._own else writer.get_extra_info("peername")[0]
        local = (other if self._own is None else self._own, 0)
        target_reader, target_writer = await asyncio.open_connection(
            *self._target, local_addr=local
        )
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, other), self._copy(target_reader, writer, other)
            )
        finally:
            target_writer.transport.abort()

    async def _copy(self, reader, writer, other):
        while data := await reader.read(65536):
            while other in self._link.cut_off:
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
        writer.close()


class Link:
    """Link of ``gateway`` to ``others``; nothing passes to or from the hosts in ``cut_off``."""

    def __init__(self, gateway, others):
        self.cut_off = frozenset()
        self.lost = 0
        self._gateway = gateway
        self._others = others
        self._sockets = {}
        gateway.internal_ports = OWN_PORTS

    async def start(self):
        """Opens the sockets of the proxy."""
        loop = asyncio.get_running_loop()
        port, own_port = standin2.INTERNAL_PORTS[0], OWN_PORTS[0]
        for machine in (self._gateway, *self._others):
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sender.setblocking(False)
            sender.bind((machine.host, 0))
            self._sockets[machine.host] = sender
        for machine in self._others:
            await loop.create_datagram_endpoint(
                lambda machine=machine: _Datagrams(
                    lambda data, _: self._from_gateway(data, (machine.host, port))
                ),
                local_addr=(machine.host, own_port),
            )
            pipe = _Pipe(self, (machine.host, port + 1), own=self._gateway.host)
            await pipe.listen(machine.host, own_port + 1)
        await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._to_gateway), local_addr=(self._gateway.host, port)
        )
        pipe = _Pipe(self, (self._gateway.host, own_port + 1))
        await pipe.listen(self._gateway.host, port + 1)

    def _from_gateway(self, data, address):
        if address[0] in self.cut_off:
            self.lost += 1
            return
        self._sockets[self._gateway.host].sendto(data, address)

    def _to_gateway(self, data, host):
        if host in self.cut_off:
            self.lost += 1
            return
        self._sockets[host].sendto(data, (self._gateway.host, OWN_PORTS[0]))

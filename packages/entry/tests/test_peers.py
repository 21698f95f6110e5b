"""Tests of calls to peers over loopback connections."""

import unittest

from sassafrasway_core import region
from sassafrasway_entry import control_service, peers
from sassafrasway_rpc import client, schema, server


class _Member:
    """Fake of the member task with a fixed identity: instance, epoch and no coordinator."""

    def identity(self):
        me = region.Instance(name="p", incarnation="1", rpc_address="10.0.0.1:7000")
        return me, 3, None


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        service = control_service.ControlService(member=_Member())
        self.server = server.RpcServer(
            handlers=[(schema.control.Control, service)], host="127.0.0.1", port=0
        )
        await self.server.start()
        self.peers = peers.Peers(address_map={"10.0.0.1:7000": self.server.address})

    async def asyncTearDown(self):
        await self.peers.close()
        await self.server.stop()

    async def test_mapped_address_reaches_the_instance(self):
        """Guards against connecting to the advertised address when NAT requires another one."""
        identity = await self.peers.call("10.0.0.1:7000", "identify")
        self.assertEqual((identity.instance.name, identity.epoch), ("p", 3))
        self.assertIsNone(identity.coordinator)

    async def test_refusal_after_a_lost_connection(self):
        """Guards against treating an ended process as silent.

        The old connection is lost; only a refused new connection proves that the process has ended.
        """
        await self.peers.call("10.0.0.1:7000", "identify")
        await self.server.stop()
        with self.assertRaises(client.ConnectionRefusedByPeerError):
            await self.peers.call("10.0.0.1:7000", "identify")


if __name__ == "__main__":
    unittest.main()

"""Tests of what connections do while the server stops. No network is used."""

import asyncio
from unittest import mock

import connection_fixture
import gateway_fakes

from sassafrasway_gateway import server_connection

get = connection_fixture.get


class PlannedStopTest(connection_fixture.ConnectionFixture):
    """Guards against requests and responses that are cut off by a planned stop, or hold it up."""

    async def test_planned_stop_answers_all_that_was_read_and_closes_with_the_last(self):
        await self.receive(get("/1") + get("/2"))
        self.server.draining = True
        self.connection.close_when_idle()
        await self.open("/1")
        self.assertNotIn(b"connection: close", self.transport.written.lower())
        await self.open("/2")
        self.assertEqual(self.answered(), ["/1", "/2"])
        self.assertIn(b"connection: close", self.transport.written.lower())
        self.assertTrue(self.transport.ended)

    async def test_planned_stop_answers_a_request_that_was_partly_read(self):
        await self.receive(get("/1") + get("/2")[:10])
        self.server.draining = True
        await self.open("/1")
        self.assertFalse(self.transport.ended)
        await self.receive(get("/2")[10:])
        await self.open("/2")
        self.assertEqual(self.answered(), ["/1", "/2"])

    async def test_connection_with_unread_bytes_is_not_closed_as_idle(self):
        # The bytes of a request that was not read yet were lost in the reset of the connection.
        self.handler.gate("/1").set()
        await self.receive(get("/1"))
        self.transport.add_unread_byte()
        self.connection.close_when_idle()
        self.assertFalse(self.transport.ended)
        self.assertFalse(self.transport.aborted)

    async def test_new_connection_may_send_its_first_request_while_the_server_stops(self):
        self.connection.close_when_idle()
        self.assertTrue(self.connection.busy)
        self.server.draining = True
        await self.receive(get("/1"))
        await self.open("/1")
        self.assertEqual(self.answered(), ["/1"])
        self.assertTrue(self.transport.ended)

    async def test_new_connection_without_a_request_does_not_hold_up_the_stop(self):
        self.connection.close_when_idle()
        await asyncio.sleep(server_connection.FIRST_REQUEST_S + 0.1)
        self.assertFalse(self.connection.busy)
        # The shutdown closes idle connections again and again.
        self.connection.close_when_idle()
        self.assertFalse(self.connection.busy)

    async def test_closing_connection_is_aborted_in_time_although_it_is_closed_again(self):
        self.handler.gate("/1").set()
        with mock.patch.object(server_connection, "LINGER_S", 0.1):
            await self.receive(get("/1", b"Connection: close\r\n"))
            for _ in range(8):
                self.connection.close_when_idle()
                await asyncio.sleep(0.02)
        self.assertTrue(self.transport.aborted)

    async def test_connection_is_busy_until_the_system_has_its_response(self):
        # Review case 2: after SIGTERM, an instance exited while clients still read their responses,
        # and dropped the rest of them.
        self.handler.gate("/1").set()
        self.transport.unsent = 900
        await self.receive(get("/1"))
        self.assertTrue(self.connection.busy)
        self.connection.close_when_idle()
        self.assertFalse(self.transport.ended)
        self.transport.unsent = 0
        self.assertFalse(self.connection.busy)
        self.connection.close_when_idle()
        self.assertTrue(self.transport.ended)

    async def test_closing_connection_waits_for_a_client_that_reads_slowly(self):
        self.handler.gate("/1").set()
        self.transport.unsent = 2100
        with mock.patch.object(server_connection, "LINGER_S", 0.2):
            await self.receive(get("/1", b"Connection: close\r\n"))
            for _ in range(10):
                self.transport.unsent -= 200
                await asyncio.sleep(0.06)
                self.assertFalse(self.transport.aborted)
            # It reads no more.
            await gateway_fakes.until(lambda: self.transport.aborted)

    async def test_request_late_in_a_planned_stop_is_refused_as_not_run(self):
        # Other operators: requests that came late in the grace were taken, and cut at its end.
        await self.receive(get("/1"))
        self.server.draining = True
        self.server.refuses_new = True
        await self.receive(get("/once"))
        await self.open("/1", "/once")
        self.assertEqual(self.statuses(), [200, 503])
        self.assertEqual(self.handler.started, ["/1"])
        self.assertIn(b"Retry-After", self.transport.written)
        self.assertTrue(self.transport.ended)

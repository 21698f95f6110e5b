"""Tests of the client for backend servers against a real HTTP server in the same process."""

import asyncio
import dataclasses
import unittest

import entry_fakes as fakes
from aiohttp import web

from sassafrasway_entry import backend_client

_Result = backend_client.CallResult


class BackendClientTest(unittest.IsolatedAsyncioTestCase):
    """Calls a server that answers as ``self.behaviour`` says.

    "answer" echoes the request body, "drop" aborts the connection, "short" aborts it within the
    response body, "shed" refuses the request because of load, and "hang" sends no response.
    """

    async def asyncSetUp(self):
        self.requests = []
        self.behaviour = "answer"
        self.connections = set()
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self._handle)
        self.runner = web.AppRunner(app, handler_cancellation=True)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.server = dataclasses.replace(fakes.server(), url=f"http://127.0.0.1:{port}")
        self.client = backend_client.BackendClient(local_host="127.0.0.1")
        self.sessions = []
        self._new_session = self.client._new_session
        self.client._new_session = self._record_session
        self.cancelled = asyncio.Event()
        self.arrived = asyncio.Event()
        self.deadlines_ms = []

    async def asyncTearDown(self):
        await self.client.close()
        # The client closes replaced sessions only after a delay that outlasts the test.
        for session in self.sessions:
            await session.close()
        await self.runner.cleanup()

    def _record_session(self, server, *, reuse):
        session = self._new_session(server, reuse=reuse)
        self.sessions.append(session)
        return session

    async def _handle(self, http):
        self.requests.append(http.headers.get(backend_client.REQUEST_ID_HEADER))
        self.deadlines_ms.append(int(http.headers[backend_client.DEADLINE_HEADER]))
        self.connections.add(id(http.transport))
        self.arrived.set()
        if self.behaviour == "drop":
            http.transport.abort()
        elif self.behaviour == "shed":
            return web.Response(status=503, headers={"Sassafras-Shed": "1"})
        elif self.behaviour == "short":
            response = web.StreamResponse(headers={"Content-Length": "100"})
            await response.prepare(http)
            await response.write(b"part")
            http.transport.abort()
            return response
        elif self.behaviour == "hang":
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        return web.Response(body=await http.read(), headers={"Sassafras-Load": "2"})

    async def _call(self, *, idempotent=True, timeout_s=5.0, method="POST", body=b"data"):
        request = fakes.request(clock_source=fakes.system_clock(), body=body)
        request = dataclasses.replace(request, method=method)
        return await self.client.call(
            self.server, request, idempotent=idempotent, timeout_s=timeout_s
        )

    async def test_complete_response_has_body_and_load(self):
        """Guards against losing the body or the reported load of a complete response."""
        response = await self._call()
        self.assertEqual((response.result, response.body, response.load), (_Result.OK, b"data", 2))

    async def test_aiohttp_does_not_retry_on_a_broken_connection(self):
        """Guards against a retry by aiohttp itself, which resends a GET on a reused connection."""
        for idempotent in (True, False):
            await self._call(method="GET", body=b"", idempotent=idempotent)
            self.requests.clear()
            self.behaviour = "drop"
            response = await self._call(method="GET", body=b"", idempotent=idempotent)
            self.assertEqual((response.result, len(self.requests)), (_Result.LOST, 1))
            self.behaviour = "answer"

    async def test_truncated_response_is_lost(self):
        """Guards against returning a truncated response as complete."""
        self.behaviour = "short"
        response = await self._call()
        self.assertEqual((response.result, response.body), (_Result.LOST, b""))

    async def test_shed_request_is_not_reported_as_processed(self):
        """Guards against taking a shed request, which may be retried, for a processed one."""
        self.behaviour = "shed"
        response = await self._call()
        self.assertIs(response.result, _Result.SHED)

    async def test_request_on_a_refused_connection_is_not_sent(self):
        """Guards against "unknown" for a request that no server has received."""
        await self.runner.cleanup()
        response = await self._call()
        self.assertIs(response.result, _Result.NOT_SENT)

    async def test_deadline_cancels_the_call_at_the_server(self):
        """Guards against work that continues on the server after the deadline.

        The client closes the connection, which cancels the handler of the server.
        """
        self.behaviour = "hang"
        response = await self._call(timeout_s=0.1)
        self.assertIs(response.result, _Result.TIMEOUT)
        await asyncio.wait_for(self.cancelled.wait(), 5)

    async def test_deadline_header_is_the_timeout_of_the_attempt(self):
        """Guards against a server that continues an attempt after the client has timed out.

        An attempt at an idempotent request has a shorter timeout than the deadline of the request.
        """
        await self._call(timeout_s=20.0)
        await self._call(timeout_s=20.0, idempotent=False)
        self.assertLessEqual(self.deadlines_ms[0], backend_client.RESPONSE_TIMEOUT_S * 1000)
        self.assertGreater(self.deadlines_ms[1], 19_000)

    async def test_cancelled_call_is_cancelled_at_the_server(self):
        """Guards against work that continues on the server after the caller disconnected.

        The slot of the server would stay in use for a response that nobody reads.
        """
        self.behaviour = "hang"
        task = asyncio.create_task(self._call())
        await asyncio.wait_for(self.arrived.wait(), 5)
        task.cancel()
        await asyncio.wait_for(self.cancelled.wait(), 5)

    async def test_non_idempotent_requests_use_new_connections(self):
        """Guards against sending a non-idempotent request on a reused connection.

        A reused connection may have gone silent while it was idle, which would make the outcome
        unknown.
        """
        for _ in range(3):
            await self._call(idempotent=True)
        self.assertEqual(len(self.connections), 1)
        single_use = self.client._single_use
        for _ in range(3):
            await self._call(idempotent=False)
        connector = single_use[self.server.url].connector
        self.assertEqual(sum(len(idle) for idle in connector._conns.values()), 0)

    async def test_silent_connection_is_replaced(self):
        """Guards against reusing idle connections to a server after one of them went silent."""
        await self._call()
        before = self.client._keep_alive[self.server.url]
        self.behaviour = "hang"
        await self._call(timeout_s=0.1)
        self.behaviour = "answer"
        response = await self._call()
        self.assertIs(response.result, _Result.OK)
        self.assertIsNot(self.client._keep_alive[self.server.url], before)


if __name__ == "__main__":
    unittest.main()

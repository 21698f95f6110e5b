"""Behaviour of callers: cached lookups, tickets, attempts at several instances, answer checks."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import aiohttp

from sassafrasway_standins import arrivals, exchanges, history, network

# A ticket may start a run for 5 s after its issue; older ones than this would come too late for a
# request that waits in a queue for its whole deadline of 2 s.
TICKET_MAX_AGE_S = 2.5
TICKETS_AHEAD = 2
LOOKUP_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# Time after the deadline within which the instance's own 504 answer still arrives.
DEADLINE_GRACE_S = 0.25


class LookupFailedError(Exception):
    """No known entry instance answered a lookup."""


class Caller:
    """One client program in a region; many requests share its lookup cache and connections.

    Args:
        session: Connections of the process.
        region: Home region of the client.
        entries: Entry instances known from configuration.
        services: Services by name.
        client_ms: One-way delay between the client and its region, ms.
        region_ms: One-way delay between regions, ms.
        record: Takes each record of the history.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        region: str,
        entries: Sequence[exchanges.EntryPoint],
        services: Mapping[str, exchanges.CalledService],
        client_ms: float,
        region_ms: float,
        rng: random.Random,
        record: Callable[[history.Record], None],
    ):
        self._session = session
        self._region = region
        self._entries = list(entries)
        self._regions = {each.url: each.region for each in entries}
        self._services = services
        self._client_ms = client_ms
        self._region_ms = region_ms
        self._rng = rng
        self._record = record
        self._routes: dict[str, exchanges.Route] = {}
        self._tickets: dict[str, list[exchanges.Route]] = {name: [] for name in services}
        self._background: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancels lookups that run in the background."""
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)

    async def send(self, arrival: arrivals.Arrival, *, intended_s: float) -> history.Verdict:
        """Sends one request until it has a verdict; records every attempt and the verdict."""
        exchange = exchanges.Exchange(
            arrival=arrival, intended_s=intended_s, service=self._services[arrival.service]
        )
        self._record(exchange.intent())
        while exchange.wants_attempt:
            await self._attempt(exchange)
            if exchange.wants_attempt:
                await network.pause(self._rng.uniform(0, exchange.pause_ms), self._rng)
        verdict = exchange.verdict()
        self._record(verdict)
        return verdict

    async def _attempt(self, exchange: exchanges.Exchange) -> None:
        if exchange.needs_route:
            try:
                exchange.use(await self._route(exchange.arrival))
            except LookupFailedError as error:
                exchange.fail_lookup(str(error))
                return
        url = exchange.next_url()
        started_s = time.monotonic()
        answer = await self._exchange(url, exchange)
        self._record(exchange.add(answer, url=url, started_s=started_s))
        if answer.is_retryable:
            self._routes.pop(exchange.arrival.service, None)

    async def _exchange(self, url: str, exchange: exchanges.Exchange) -> exchanges.Answer:
        """Sends the request once, with the delay of the network in both directions."""
        delay_ms = self._delay_ms(url)
        await network.pause(delay_ms, self._rng)
        timeout = aiohttp.ClientTimeout(
            total=max(exchange.remaining_s, 0.0) + DEADLINE_GRACE_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.post(
                url + exchange.path,
                data=exchange.body,
                headers=exchange.headers(),
                timeout=timeout,
            ) as response:
                body = await response.read()
                answer = exchanges.read_answer(response, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return exchanges.Answer(outcome="", error=repr(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return exchanges.Answer(outcome=history.UNKNOWN, error=repr(error))
        await network.pause(delay_ms, self._rng)
        return answer

    async def _route(self, arrival: arrivals.Arrival) -> exchanges.Route:
        """Returns where to send a request: from the cache, or from a lookup."""
        if self._services[arrival.service].idempotent:
            route = self._routes.get(arrival.service)
            if route is None or route.expires_s <= time.monotonic():
                route = await self._lookup(arrival.service, arrival.client)
                self._routes[arrival.service] = route
            return route
        route = self._take_ticket(arrival.service)
        self._prefetch(arrival.service, arrival.client)
        return route or await self._lookup(arrival.service, arrival.client)

    def _take_ticket(self, service: str) -> exchanges.Route | None:
        """Removes the newest ticket that is fresh enough; older ones are of no use any more."""
        tickets = self._tickets[service]
        while tickets:
            route = tickets.pop()
            if route.fetched_s + TICKET_MAX_AGE_S > time.monotonic():
                return route
        return None

    def _prefetch(self, service: str, client: str) -> None:
        if len(self._tickets[service]) < TICKETS_AHEAD:
            task = asyncio.create_task(self._fetch_ticket(service, client))
            self._background.add(task)
            task.add_done_callback(self._background.discard)

    async def _fetch_ticket(self, service: str, client: str) -> None:
        with contextlib.suppress(LookupFailedError):
            route = await self._lookup(service, client)
            self._tickets[service].append(route)

    async def _lookup(self, service: str, client: str) -> exchanges.Route:
        """Asks random instances, those of the own region first.

        Raises:
            LookupFailedError: Three instances did not answer.
        """
        near = [each for each in self._entries if each.region == self._region]
        candidates = self._rng.sample(near, min(2, len(near)))
        candidates += self._rng.sample(self._entries, 1)
        failures = []
        for entry in candidates:
            try:
                return await self._lookup_at(entry, service, client)
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
                failures.append(f"{entry.name}: {error!r}")
        raise LookupFailedError("; ".join(failures))

    async def _lookup_at(
        self, entry: exchanges.EntryPoint, service: str, client: str
    ) -> exchanges.Route:
        delay_ms = self._delay_ms(entry.url)
        await network.pause(delay_ms, self._rng)
        sent_s = time.monotonic()
        async with self._session.get(
            f"{entry.url}/v1/lookup",
            params={"service": service, "client": client},
            timeout=aiohttp.ClientTimeout(total=LOOKUP_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S),
            raise_for_status=True,
        ) as response:
            data = await response.json()
        await network.pause(delay_ms, self._rng)
        return self._read_route(data, sent_s)

    def _read_route(self, data: Mapping[str, Any], sent_s: float) -> exchanges.Route:
        urls = tuple(str(each["url"]).rstrip("/") for each in data["instances"])
        if not urls:
            raise ValueError("the lookup answer names no instance")
        return exchanges.Route(
            urls=urls,
            ticket=data.get("ticket") or "",
            fetched_s=sent_s,
            expires_s=sent_s + float(data["ttl_s"]),
        )

    def _delay_ms(self, url: str) -> float:
        is_near = self._regions.get(url, self._region) == self._region
        return self._client_ms if is_near else self._client_ms + self._region_ms

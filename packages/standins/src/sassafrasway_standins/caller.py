"""Simulated caller: caches lookups, prefetches tickets and retries at other instances."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import aiohttp

from sassafrasway_standins import arrivals, exchanges, history, network

# A request must start within 5 s of the issue of its ticket, and may first wait in a queue for its
# whole deadline of 2 s. An older ticket could expire during that wait; the age leaves a margin of
# 0.5 s.
TICKET_MAX_AGE_S = 2.5
PREFETCHED_TICKETS = 2  # of each service
LOOKUP_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# Time after the deadline for the instance's own 504 response to arrive.
DEADLINE_GRACE_S = 0.25


class LookupFailedError(Exception):
    """None of the entry instances tried answered a lookup."""


class Caller:
    """One client program in a region; its requests share a lookup cache.

    Args:
        session: HTTP session; all callers of a process share it and its connections.
        entries: Entry instances in the configuration of the client.
        client_ms: One-way delay between the client and its region, ms.
        region_ms: One-way delay between regions, ms.
        record: Receives each record of the history.
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
        self._region_by_url = {entry.url: entry.region for entry in entries}
        self._services = services
        self._client_ms = client_ms
        self._region_ms = region_ms
        self._rng = rng
        self._record = record
        self._routes: dict[str, exchanges.Route] = {}
        self._tickets: dict[str, list[exchanges.Route]] = {name: [] for name in services}
        self._background: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancels lookups that are still running in the background."""
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)

    async def send(self, arrival: arrivals.Arrival, *, intended_s: float) -> history.Verdict:
        """Sends one request with retries; records its intent, every attempt and the verdict.

        ``intended_s`` is the monotonic time at which it was due; the deadline counts from that
        time.
        """
        pending = exchanges.PendingRequest(
            arrival=arrival, intended_s=intended_s, service=self._services[arrival.service]
        )
        self._record(pending.intent())
        while pending.should_attempt:
            await self._make_attempt(pending)
            if pending.should_attempt:
                await network.pause(self._rng.uniform(0, pending.max_backoff_ms), self._rng)
        verdict = pending.verdict()
        self._record(verdict)
        return verdict

    async def _make_attempt(self, pending: exchanges.PendingRequest) -> None:
        """Makes one attempt, after a lookup if the request needs one.

        A retryable failure removes the cached route of the service, which may be outdated.
        """
        if pending.needs_route:
            try:
                pending.use_route(await self._find_route(pending.arrival))
            except LookupFailedError as error:
                pending.add_failed_lookup(str(error))
                return
        url = pending.next_url()
        started_s = time.monotonic()
        result = await self._send_once(url, pending)
        self._record(pending.add_result(result, url=url, started_s=started_s))
        if result.is_retryable:
            self._routes.pop(pending.arrival.service, None)

    async def _send_once(
        self, url: str, pending: exchanges.PendingRequest
    ) -> exchanges.AttemptResult:
        """Sends the request once, with the simulated network delay in both directions.

        The outcome is empty if no connection was made; it is unknown after any other failure, as
        the instance may have received the request.
        """
        delay_ms = self._delay_ms(url)
        await network.pause(delay_ms, self._rng)
        timeout = aiohttp.ClientTimeout(
            total=max(pending.remaining_s, 0.0) + DEADLINE_GRACE_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.post(
                url + pending.path,
                data=pending.body,
                headers=pending.headers(),
                timeout=timeout,
            ) as response:
                body = await response.read()
                result = exchanges.read_response(response, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return exchanges.AttemptResult(outcome="", error=repr(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return exchanges.AttemptResult(outcome=history.UNKNOWN, error=repr(error))
        await network.pause(delay_ms, self._rng)
        return result

    async def _find_route(self, arrival: arrivals.Arrival) -> exchanges.Route:
        """Returns a cached route or a prefetched ticket, or else the result of a lookup."""
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
        """Removes and returns the newest ticket, discarding too old ones; None if none is left."""
        tickets = self._tickets[service]
        while tickets:
            route = tickets.pop()
            if route.fetched_s + TICKET_MAX_AGE_S > time.monotonic():
                return route
        return None

    def _prefetch(self, service: str, client: str) -> None:
        if len(self._tickets[service]) < PREFETCHED_TICKETS:
            task = asyncio.create_task(self._fetch_ticket(service, client))
            self._background.add(task)
            task.add_done_callback(self._background.discard)

    async def _fetch_ticket(self, service: str, client: str) -> None:
        with contextlib.suppress(LookupFailedError):
            route = await self._lookup(service, client)
            self._tickets[service].append(route)

    async def _lookup(self, service: str, client: str) -> exchanges.Route:
        """Asks up to two random instances of the caller's region, then one of any region."""
        local_entries = [entry for entry in self._entries if entry.region == self._region]
        candidates = self._rng.sample(local_entries, min(2, len(local_entries)))
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
        urls = tuple(str(instance["url"]).rstrip("/") for instance in data["instances"])
        if not urls:
            raise ValueError("the lookup response names no instance")
        return exchanges.Route(
            urls=urls,
            ticket=data.get("ticket") or "",
            fetched_s=sent_s,
            expires_s=sent_s + float(data["ttl_s"]),
        )

    def _delay_ms(self, url: str) -> float:
        """Returns the one-way delay to an instance, ms; unknown URLs count as the own region's."""
        is_local = self._region_by_url.get(url, self._region) == self._region
        return self._client_ms if is_local else self._client_ms + self._region_ms

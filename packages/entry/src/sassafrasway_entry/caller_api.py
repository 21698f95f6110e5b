"""HTTP API for callers: lookups and requests."""

import asyncio
import dataclasses
import itertools
import json
import random
import time

import structlog
from aiohttp import web

from sassafrasway_core import at_most_once, model, region
from sassafrasway_core import clock as clock_lib
from sassafrasway_entry import (
    caller_requests,
    dispatcher,
    gatekeeper,
    messages,
    recorder,
    settings,
    steering,
    telemetry,
)

OUTCOME_HEADER = "Sassafras-Outcome"
SERVED_BY_HEADER = "Sassafras-Served-By"
REASON_HEADER = "Sassafras-Reason"

CANDIDATES_TTL_S = 0.2
LOOKUP_ALTERNATES = 3  # instances in a lookup response besides the owner of the home pool
# aiohttp itself rejects a request with a longer header line, before a handler runs, and closes the
# connection. Its response 400 has no header ``OUTCOME_HEADER``.
AIOHTTP_HEADER_LIMIT_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Candidates:
    """Instances that a lookup response can name.

    Attributes:
        owners: Owners of the pools of the route, home pool first.
        same_region: Other live instances of the home region.
        other_regions: Other live instances of all other regions.
        expires_s: Monotonic time at which the lists have to be computed again.
    """

    owners: tuple
    same_region: tuple
    other_regions: tuple
    expires_s: float


class CallerApi:
    """Serves callers over HTTP.

    Args:
        rng: Random source for tickets and alternate instances.
        dispatcher: Runs idempotent requests.
        gatekeeper: Runs non-idempotent requests.
        names_owners: Whether lookup responses list the owners of pools first.
        ready: Returns whether this instance may serve requests.
    """

    def __init__(
        self,
        *,
        me: model.InstanceId,
        clock: clock_lib.Clock,
        rng: random.Random,
        limits: settings.LimitsSection,
        steering: steering.Steering,
        directory: dispatcher.Directory,
        dispatcher: dispatcher.Dispatcher,
        gatekeeper: gatekeeper.Gatekeeper,
        metrics: telemetry.Metrics,
        record: recorder.Recorder,
        names_owners: bool,
        ready,
    ):
        self._me = me
        self._clock = clock
        self._rng = rng
        self._limits = limits
        self._steering = steering
        self._directory = directory
        self._dispatcher = dispatcher
        self._gatekeeper = gatekeeper
        self._metrics = metrics
        self._record = record
        self._names_owners = names_owners
        self._ready = ready
        self._request_ids = itertools.count(1)
        self._in_flight = 0
        self._candidate_cache: dict[tuple[model.PoolKey, ...], _Candidates] = {}
        self._runner: web.AppRunner | None = None
        self._log = structlog.get_logger("caller_api")

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    def build(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(
            client_max_size=self._limits.max_body_bytes, middlewares=[self._error_middleware]
        )
        app.router.add_get("/v1/lookup", self._handle_lookup)
        app.router.add_route("*", "/v1/services/{service}", self._handle_request)
        app.router.add_route("*", "/v1/services/{service}/{path:.*}", self._handle_request)
        return app

    async def start(self, address: str) -> None:
        """Starts listening on ``host:port``.

        Raises:
            OSError: The address is in use or does not belong to this machine.
        """
        host, _, port = address.rpartition(":")
        self._runner = web.AppRunner(
            self.build(),
            access_log=None,
            handler_cancellation=True,
            max_line_size=AIOHTTP_HEADER_LIMIT_BYTES,
            max_field_size=AIOHTTP_HEADER_LIMIT_BYTES,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port), backlog=1024).start()

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _error_middleware(self, request: web.Request, handler) -> web.StreamResponse:
        """Refuses oversized headers, and adds an outcome to every error response of a handler."""
        try:
            size = sum(len(name) + len(value) for name, value in request.raw_headers)
            if size > self._limits.max_header_bytes:
                return self._to_http_response(
                    messages.not_run(
                        431,
                        messages.Reason.HEADER_TOO_LARGE,
                        f"headers have {size} bytes, expected at most"
                        f" {self._limits.max_header_bytes}",
                    )
                )
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            return self._to_http_response(
                messages.not_run(
                    413,
                    messages.Reason.BODY_TOO_LARGE,
                    f"body has more than {self._limits.max_body_bytes} bytes",
                )
            )
        except web.HTTPException as error:
            return self._to_http_response(
                messages.not_run(error.status, messages.Reason.BAD_REQUEST, error.reason)
            )
        except Exception:
            self._log.exception("request failed", path=request.path)
            return self._to_http_response(messages.unknown(500, messages.Reason.INTERNAL))

    async def _handle_lookup(self, request: web.Request) -> web.Response:
        service = request.query.get("service", "")
        client = request.query.get("client", "")
        refusal = self._check_lookup(service, client)
        if refusal is not None:
            self._metrics.lookups.add(1, {"status": refusal.status})
            return self._to_http_response(refusal)
        route = self._steering.route(service=service, client=client, hash_key=client)
        instances = self._select_instances(route)
        if not instances:
            return self._to_http_response(
                messages.not_run(503, messages.Reason.NOT_READY, retry_after_ms=500)
            )
        document = {
            "service": service,
            "region": route.pools[0].region if route.pools else route.home_region,
            "instances": [
                {"name": instance.name, "url": instance.caller_url} for instance in instances
            ],
            "ttl_s": self._limits.lookup_ttl_s,
        }
        if not self._steering.policy.services[service].idempotent:
            document["ticket"] = str(self._issue_ticket(instances[0]))
        self._metrics.lookups.add(1, {"status": 200})
        return web.Response(
            body=json.dumps(document).encode(),
            content_type="application/json",
            headers={"Cache-Control": f"max-age={int(self._limits.lookup_ttl_s)}"}
            if "ticket" not in document
            else {"Cache-Control": "no-store"},
        )

    def _check_lookup(self, service: str, client: str) -> messages.Response | None:
        if not self._ready() or self._steering.policy is None:
            return messages.not_run(503, messages.Reason.NOT_READY, retry_after_ms=500)
        if service not in self._steering.policy.services:
            return messages.not_run(
                404, messages.Reason.UNKNOWN_SERVICE, f"no service {service!r} in the policy"
            )
        if not caller_requests.is_ip(client):
            return messages.not_run(
                400, messages.Reason.BAD_REQUEST, "client: expected an IP address"
            )
        if self._steering.region_of(client) is None:
            return messages.not_run(
                404, messages.Reason.UNKNOWN_CLIENT_BLOCK, f"no client block contains {client}"
            )
        return None

    def _select_instances(self, route: steering.Route) -> list:
        """Returns the owner of the home pool first, then other owners, then random instances.

        Among the random ones, those of the home region come first.
        """
        candidates = self._candidates(route)
        missing = 1 + LOOKUP_ALTERNATES - len(candidates.owners)
        if missing <= 0:
            return list(candidates.owners[: 1 + LOOKUP_ALTERNATES])
        same_region = self._rng.sample(
            candidates.same_region, min(missing, len(candidates.same_region))
        )
        missing -= len(same_region)
        other_regions = self._rng.sample(
            candidates.other_regions, min(missing, len(candidates.other_regions))
        )
        return [*candidates.owners, *same_region, *other_regions]

    def _candidates(self, route: steering.Route) -> "_Candidates":
        """Returns the instances that a response can name, cached for ``CANDIDATES_TTL_S``.

        Iterating over all instances for each lookup would be too expensive in a large fleet.
        """
        now_s = self._clock.monotonic()
        cached = self._candidate_cache.get(route.pools)
        if cached is not None and cached.expires_s > now_s:
            return cached
        owners = {}
        for key in route.pools if self._names_owners else ():
            owner = self._directory.owner(key)
            if owner is not None:
                owners.setdefault(owner.name, owner)
        others = [
            instance
            for instance in self._directory.instances()
            if instance.state == region.LIVE
            and instance.name not in owners
            and not self._directory.is_gone(instance.name, instance.incarnation)
        ]
        candidates = _Candidates(
            owners=tuple(owners.values()),
            same_region=tuple(
                instance for instance in others if instance.region == route.home_region
            ),
            other_regions=tuple(
                instance for instance in others if instance.region != route.home_region
            ),
            expires_s=now_s + CANDIDATES_TTL_S,
        )
        self._candidate_cache[route.pools] = candidates
        return candidates

    def _issue_ticket(self, instance) -> at_most_once.Ticket:
        holder = model.InstanceId(name=instance.name, incarnation=instance.incarnation)
        return at_most_once.Ticket.mint(holder=holder, clock=self._clock, rng=self._rng)

    async def _handle_request(self, request: web.Request) -> web.Response:
        started_s = time.monotonic()
        service = request.match_info["service"]
        self._in_flight += 1
        try:
            response = await self._process(request, service)
        finally:
            self._in_flight -= 1
        is_known = self._steering.policy is not None and service in self._steering.policy.services
        attributes = {"service": service if is_known else "", "outcome": response.outcome.value}
        self._metrics.requests.add(1, attributes)
        self._metrics.latency.record(time.monotonic() - started_s, attributes)
        return self._to_http_response(response)

    async def _process(self, http_request: web.Request, service: str) -> messages.Response:
        policy = self._steering.policy
        if policy is None or not self._ready():
            return messages.not_run(503, messages.Reason.NOT_READY, retry_after_ms=500)
        if service not in policy.services:
            return messages.not_run(
                404, messages.Reason.UNKNOWN_SERVICE, f"no service {service!r} in the policy"
            )
        parsed = await caller_requests.read(
            http_request,
            policy.services[service],
            request_id=f"{self._me}/{next(self._request_ids)}",
            clock=self._clock,
        )
        if isinstance(parsed, messages.Response):
            return parsed
        if parsed.deadline.expired:
            return messages.not_run(504, messages.Reason.DEADLINE, "deadline passed on arrival")
        if policy.services[service].idempotent:
            response = await self._run_idempotent(parsed)
        else:
            # If the caller disconnects, the request goes on and its outcome is stored for a retry.
            response = await asyncio.shield(asyncio.ensure_future(self._gatekeeper.handle(parsed)))
        self._record.record(
            "answer",
            request_id=parsed.request_id,
            key=parsed.key,
            service=service,
            outcome=response.outcome.value,
            status=response.status,
            reason=response.reason.value,
        )
        return response

    async def _run_idempotent(self, request: messages.Request) -> messages.Response:
        try:
            # The dispatcher observes the deadline itself and normally responds before this limit.
            limit_s = request.deadline.remaining_s + 0.05
            return await asyncio.wait_for(self._dispatcher.run(request), limit_s)
        except TimeoutError:
            return messages.unknown(504, messages.Reason.DEADLINE)

    def _to_http_response(self, response: messages.Response) -> web.Response:
        headers = [(OUTCOME_HEADER, response.outcome.value), (SERVED_BY_HEADER, self._me.name)]
        if response.outcome is messages.Outcome.RAN:
            own_headers = {OUTCOME_HEADER.lower(), SERVED_BY_HEADER.lower()}
            headers += [pair for pair in response.headers if pair[0].lower() not in own_headers]
            return web.Response(status=response.status, headers=headers, body=response.body)
        headers.append((REASON_HEADER, response.reason.value))
        if response.retry_after_ms:
            headers.append(("Retry-After", str(max(1, -(-response.retry_after_ms // 1000)))))
        body = {
            "outcome": response.outcome.value,
            "reason": response.reason.value,
            "detail": response.detail,
            "retry_after_ms": response.retry_after_ms,
        }
        return web.Response(
            status=response.status,
            headers=headers,
            body=json.dumps(body).encode(),
            content_type="application/json",
        )

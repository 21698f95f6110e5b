"""Builds the tasks of an entry instance, runs them, and stops them gracefully."""

import asyncio
import random
import secrets
import signal
from collections.abc import Coroutine
from typing import Any

import aiohttp
import structlog

from sassafrasway_core import at_most_once, invariants, model, placement, region, retry
from sassafrasway_core import clock as clock_lib
from sassafrasway_entry import (
    admin_api,
    backend_client,
    caller_api,
    dispatcher,
    forward_service,
    gatekeeper,
    lifecycle,
    outcomes,
    peers,
    pools,
    recorder,
    settings,
    steering,
    telemetry,
)
from sassafrasway_platform import http as platform_http

INCARNATION_BYTES = 6
PROPAGATION_S = 3.0  # time after which other instances know that this one is leaving
READY_POLL_S = 0.05
DRAIN_POLL_S = 0.05
FLUSH_TRIES = 50
FLUSH_INTERVAL_S = 0.2


class EntryProcess:
    """One entry instance.

    Args:
        settings: Checked settings.
    """

    def __init__(self, *, settings: settings.Settings):
        self._settings = settings
        self._clock = clock_lib.SystemClock()
        self._rng = random.Random(secrets.randbits(64))
        self._state = lifecycle.Lifecycle()
        self._stop_requested = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._log = structlog.get_logger("process")
        self._placement = placement.PLACEMENTS[settings.behaviour.placement]
        section = settings.instance
        self._me = region.Instance(
            name=section.name,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
            rpc_address=settings.listen.rpc,
            caller_url=f"http://{settings.listen.caller}",
            region=section.region,
            failure_domain=section.failure_domain,
        )
        self._metrics = telemetry.Metrics(instance=section.name, section=settings.telemetry)
        self._invariants = invariants.Invariants(
            mode=invariants.Mode(settings.behaviour.invariants), on_violation=self._on_violation
        )
        self._record = recorder.Recorder(
            path=settings.behaviour.record_file, instance=str(self._me.id)
        )

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT has been handled."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        host = self._settings.listen.caller.rpartition(":")[0]
        connector = aiohttp.TCPConnector(local_addr=(host, 0))
        async with aiohttp.ClientSession(connector=connector) as session:
            self._build(session, host)
            await self._start()
            await self._stop_requested.wait()
            await self._leave()
            await self._shut_down()
        self._log.info("stopped")

    def _build(self, session: aiohttp.ClientSession, host: str) -> None:
        """Creates the parts of the process; each gets what it needs by keyword."""
        self._build_platform(session)
        self._build_membership()
        self._build_requests(host)
        self._build_servers()

    def _build_platform(self, session: aiohttp.ClientSession) -> None:
        section = self._settings.platform
        http = platform_http.HttpClient(
            base_url=section.url, session=session, timeout_s=section.timeout_ms / 1000
        )
        self._table = platform_http.HttpTableService(client=http)
        self._instance_list = platform_http.HttpInstanceList(client=http)
        network = self._settings.network
        self._peers = peers.Peers(address_map=network.address_map)

    def _build_requests(self, host: str) -> None:
        me = self._me.id
        self._client = backend_client.BackendClient(local_host=host)
        self._pools = pools.PoolManager(
            clock=self._clock,
            rng=self._rng,
            invariants=self._invariants,
            client=self._client,
            record=self._record,
            report_crash=self._report_crash,
            share_of=self._member.share,
            placement=self._placement,
            queue_limit=self._settings.limits.queue_limit,
        )
        self._steering = steering.Steering(region=self._me.region, clock=self._clock, rng=self._rng)
        self._dispatcher = dispatcher.Dispatcher(
            me=me,
            steering=self._steering,
            pools=self._pools,
            directory=self._directory,
            peers=self._peers,
            placement=self._placement,
            budget=retry.RetryBudget(clock=self._clock),
        )
        self._outcomes = outcomes.OutcomeStore(service=self._table)
        self._gatekeeper = gatekeeper.Gatekeeper(
            me=me,
            registry=at_most_once.KeyRegistry(
                me=me, clock=self._clock, invariants=self._invariants
            ),
            dispatcher=self._dispatcher,
            directory=self._directory,
            store=self._outcomes,
            claims=self._table,
        )

    def _build_servers(self) -> None:
        self._caller_api = caller_api.CallerApi(
            me=self._me.id,
            clock=self._clock,
            rng=self._rng,
            limits=self._settings.limits,
            steering=self._steering,
            directory=self._directory,
            dispatcher=self._dispatcher,
            gatekeeper=self._gatekeeper,
            metrics=self._metrics,
            record=self._record,
            ready=lambda: self._state.serving,
        )
        self._admin_api = admin_api.AdminApi(
            metrics=self._metrics, dump=self.dump, health=self._health
        )
        self._forward_service = forward_service.ForwardService(
            clock=self._clock,
            pools=self._pools,
            gatekeeper=self._gatekeeper,
            directory=self._directory,
        )

    def _on_violation(self, rule: invariants.Rule, detail: str) -> None:
        self._metrics.violations.add(1, {"rule": rule.value})
        self._log.error("invariant violated", rule=rule.value, detail=detail)
        self._record.record("violation", rule=rule.value, detail=detail)

    def _on_policy(self, policy: model.Policy) -> None:
        self._steering.set_policy(policy)
        self._pools.set_policy(policy)
        self._record.record("revision", revision=policy.revision)
        self._log.info("policy in force", revision=policy.revision)

    def _spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # A process without one of its tasks would serve from stale state.
            self._log.error("task failed", task=task.get_name(), exc_info=task.exception())
            self._stop_requested.set()

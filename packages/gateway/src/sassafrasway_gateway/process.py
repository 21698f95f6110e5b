"""The gateway process: creates and runs its components and shuts down gracefully."""

import asyncio
import dataclasses
import random
import signal
import time
from collections.abc import Callable, Coroutine

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors
from sassafrasway_gateway import (
    admin,
    admission,
    announcer,
    attempt,
    balancer,
    cold_limit,
    crashes,
    explain,
    fleet,
    follower,
    forwarder,
    http_client,
    http_server,
    learning,
    load_sharing,
    lookup,
    memory_budget,
    metrics,
    model,
    overflow,
    peer_task,
    rate_limits,
    registration,
    relay,
    relay_role,
    request_handler,
    response_gate,
    retry_budgets,
    servers,
    settings,
    state,
    table_cache,
)
from sassafrasway_gateway import dialect as dialect_lib
from sassafrasway_platform import feed

# Interval of the maintenance, which removes servers whose grace period has ended, closes idle
# connections that have expired, updates the shares of the overflow control, adapts the rate limits
# to the live instances, and logs changes of the admission control.
MAINTENANCE_INTERVAL_S = 0.5
READY_CHECK_INTERVAL_S = 0.05
# Time from the start of the shutdown until the instance stops accepting connections. Until then,
# callers may still use a lookup that lists this instance. The value is greater than the lifetime of
# a lookup (`lookup.LOOKUP_TTL_S`), because callers may keep one for longer.
STOP_LISTENING_AFTER_S = 2.4
# Time from the start of the shutdown until requests that have not been started are refused, because
# they might be cut off at the end of the grace period. Connections that were accepted last may be
# used until then.
REFUSE_NEW_AFTER_S = 3.0
# Time at the end of the stop grace period that is reserved for the exit of the process.
EXIT_MARGIN_S = 0.4
EXIT_CHECK_INTERVAL_S = 0.05
# Delay before a task that failed is started again.
TASK_RESTART_DELAY_S = 0.5


class GatewayProcess:
    """Owns all components and tasks of a gateway.

    Each reload calls ``load_settings``. If it raises ``OSError`` or ``errors.ValidationError``, the
    settings in force stay.
    """

    def __init__(
        self,
        *,
        config: settings.GatewaySettings,
        dialect: dialect_lib.Dialect,
        store: feed.FollowedStore,
        gateway_metrics: metrics.GatewayMetrics,
        load_settings: Callable[[], settings.GatewaySettings],
    ):
        self._config = config
        self._dialect = dialect
        self._store = store
        self._load_settings = load_settings
        self._metrics = gateway_metrics
        self._log = structlog.get_logger("process")
        self._rng = random.Random(f"{config.instance}{time.time_ns()}")
        clock = clock_lib.ElapsedClock()
        self._clock = clock
        self._view = fleet.FleetView(
            clock=clock,
            own=fleet.Member(
                name=config.instance,
                incarnation=int(time.time() * 1000),
                phase=fleet.Phase.STARTING,
                front=str(config.front),
                peer_host=config.peer.host,
                failure_domain=config.failure_domain,
                region=config.region,
            ),
            rng=self._rng,
        )
        self._registry = servers.ServerRegistry(clock=clock, region_of=config.region_of)
        self._registry.set_estimation_required(False)
        self._policy_state = state.PolicyState(
            clock=clock,
            decoder=dialect.decoder,
            registry=self._registry,
            on_policy=self._on_policy,
        )
        self._server_listener = state.ServerTableListener(
            clock=clock, decoder=dialect.decoder, registry=self._registry
        )
        self._relay_role = relay_role.RelayRole(view=self._view, rng=self._rng)
        self._memory = memory_budget.MemoryBudget.for_process(config.memory_bytes)
        self._relay_client = relay.RelayClient(port=config.relay.port, budget=self._memory)
        self._caches = {
            dialect.policy_table: table_cache.TableCache(),
            dialect.server_table: table_cache.TableCache(),
        }
        self._followers = {
            dialect.policy_table: self._make_follower(dialect.policy_table, self._policy_state),
            dialect.server_table: self._make_follower(dialect.server_table, self._server_listener),
        }
        self._cold_limit = cold_limit.ColdLimit(
            clock=clock,
            instance=config.instance,
            fleet=self._view,
            factor=config.bounds.cold_factor,
            slack=config.bounds.cold_slack,
        )
        self._overflow = overflow.OverflowControl(
            clock=clock, registry=self._registry, region=config.region
        )
        self._admission_control = admission.AdmissionControl(clock=clock)
        self._crashes = crashes.CrashRegister(clock=clock)
        self._rate_limiter = rate_limits.RateLimiter(
            clock=clock,
            view=self._view,
            bounds=config.bounds,
            send=lambda host, message: self._peers.send_quota(host, message),
            call_later=lambda delay_s, call: asyncio.get_running_loop().call_later(delay_s, call),
            rng=self._rng,
            metrics=gateway_metrics,
        )
        self._budgets = retry_budgets.RetryBudgets(
            clock=clock, view=self._view, bounds=config.bounds
        )
        self._registration = registration.Registration(
            store=store, table_name=dialect.member_table, view=self._view, rng=self._rng
        )
        self._gate = response_gate.ResponseGate(budget=self._memory)
        self._pool = http_client.ConnectionPool(budget=self._memory)
        self._announcer = announcer.VersionAnnouncer(
            followers=self._followers,
            role=self._relay_role,
            send=lambda recipients, announcement: self._peers.send_beacon(recipients, announcement),
        )
        self._load_sharing = load_sharing.LoadSharing(
            clock=clock, registry=self._registry, rng=self._rng
        )
        self._peers = peer_task.PeerTask(
            view=self._view,
            port=config.peer.port,
            versions=self._announcer.versions,
            on_versions=self._on_versions,
            on_crash=self._crashes.add,
            on_beacon=self._relay_role.on_beacon,
            on_answer_told=self._on_answer_told,
            on_quota=self._rate_limiter.on_message,
            on_heard=self._rate_limiter.on_heard,
            loads=self._load_sharing.encode,
            on_loads=self._load_sharing.apply,
        )
        service_times = balancer.ServiceTimeEstimate()
        chooser = balancer.Balancer(
            clock=clock,
            registry=self._registry,
            service_times=service_times,
            cold_limit=self._cold_limit,
            overflow=self._overflow,
        )
        self._forwarder = self._build_forwarder(chooser, service_times)
        self._front_server = self._make_server(config.front, self._forwarder)
        self._lookup_server = self._make_server(
            config.lookup,
            lookup.LookupHandler(
                view=self._view, lookup_format=dialect.lookups, ttl_s=config.bounds.lookup_ttl_s
            ),
        )
        self._readiness_server = self._make_server(
            config.readiness,
            admin.ReadinessHandler(path=dialect.readiness_path, ready=lambda: self.ready),
        )
        self._relay_server = self._make_server(
            config.relay,
            relay.RelayHandler(
                caches=self._caches, grace_left_s=lambda name: self._followers[name].grace_left_s
            ),
        )
        self._admin_server = None
        if config.metrics is not None:
            self._admin_server = self._make_server(
                config.metrics,
                admin.AdminHandler(
                    metrics=gateway_metrics,
                    dump=self.dump,
                    explainer=self._build_explainer(chooser),
                ),
            )
        # Newest era of the store; None before the first rows.
        self._store_era: int | None = None
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    @property
    def ready(self) -> bool:
        """Whether the instance serves callers."""
        return self._view.own.phase == fleet.Phase.READY

    def dump(self) -> dict:
        """Returns the state of the process as plain data that can be encoded as JSON."""
        now_s = self._clock.monotonic()
        policy = self._policy_state.policy
        return {
            "instance": self._config.instance,
            "phase": self._view.own.phase.name,
            "policy_version": policy.version if policy else None,
            "organisations": len(policy.organisations) if policy else 0,
            "rate_limits": self._rate_limiter.dump(),
            "table_versions": self._announcer.versions(),
            "store_eras": {
                name: self._store.era(version)
                for name, version in self._announcer.versions().items()
            },
            "interruptions": {
                name: {
                    **table_follower.judgement.fields(),
                    "age_s": round(now_s - table_follower.judgement.judged_s, 2),
                }
                for name, table_follower in self._followers.items()
                if table_follower.judgement is not None
            },
            "evacuated": sorted(self._registry.evacuated),
            "live_instances": sorted(self._view.live_names()),
            "response_memory": self._gate.state(),
            "kept_shares": self._overflow.kept_shares(),
            "shedding": self._admission_control.shedding(),
            "shared_reports": self._load_sharing.counts,
            "load_levels": self._registry.load_levels(),
            "servers": [
                {
                    "id": server_state.server.server_id,
                    "service": server_state.server.service,
                    "draining": server_state.server.draining,
                    "load": round(server_state.load(now_s), 2),
                    "outstanding": server_state.outstanding,
                    "load_age_s": round(server_state.known_load.report_age_s(now_s), 2),
                    "slowdown": round(server_state.slowdown(now_s), 2),
                    "cold_left_s": round(max(0.0, server_state.cold_until_s - now_s), 2),
                    "leaving": server_state.leaving,
                    "rest_left_s": round(max(0.0, server_state.rest_until_s - now_s), 2),
                    "ejected_left_s": round(max(0.0, server_state.ejected_until_s - now_s), 2),
                    "error_rate": round(server_state.error_rate, 3),
                    "latency_ratio": round(server_state.latency_ratio, 2),
                }
                for server_state in self._registry
            ],
        }

    def stop(self) -> None:
        """Starts the graceful shutdown."""
        self._stopping.set()

    async def run(self) -> None:
        """Runs until a stop is requested, then shuts down gracefully.

        SIGTERM, SIGINT and a call of `stop` request the stop. SIGHUP reloads the settings. A task
        that fails is logged and started again: each one continues from the state of its objects.

        Raises:
            OSError: An address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_loop_error)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        # The entry point blocks SIGHUP, which would kill the process before it has a handler.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        self._log.info("gateway starting", config=dataclasses.asdict(self._config.front))
        await self._start_servers()
        self._spawn("peers", self._peers.run)
        for name, table_follower in self._followers.items():
            self._spawn(f"follow {name}", table_follower.run)
        self._spawn("register", self._register)
        self._spawn("announce", self._announcer.run)
        self._spawn("maintain", self._run_maintenance)
        self._spawn("become ready", self._become_ready)
        await self._stopping.wait()
        await self._shut_down()

    def _build_forwarder(
        self, chooser: balancer.Balancer, service_times: balancer.ServiceTimeEstimate
    ) -> forwarder.Forwarder:
        return forwarder.Forwarder(
            policy_state=self._policy_state,
            registry=self._registry,
            chooser=chooser,
            runner=attempt.AttemptRunner(pool=self._pool, names=self._dialect.headers),
            learner=learning.OutcomeLearner(
                registry=self._registry, chooser=chooser, service_times=service_times
            ),
            cold_limit=self._cold_limit,
            admission_control=self._admission_control,
            crash_register=self._crashes,
            budget_of=self._budgets.budget_of,
            on_crash=self._peers.report_crash,
            names=self._dialect.headers,
            region=self._config.region,
            metrics=self._metrics,
            keys_expired=self._keys_expired,
            rate_limiter=self._rate_limiter,
            gate=self._gate,
        )

    def _build_explainer(self, chooser: balancer.Balancer) -> explain.Explainer:
        return explain.Explainer(
            clock=self._clock,
            instance=self._config.instance,
            region=self._config.region,
            policy_state=self._policy_state,
            registry=self._registry,
            chooser=chooser,
            admission_control=self._admission_control,
            keys_expired=self._keys_expired,
            rate_limiter=self._rate_limiter,
            gate=self._gate,
        )

    def _keys_expired(self) -> bool:
        bounds = self._config.bounds
        policy_follower = self._followers[self._dialect.policy_table]
        return bounds.strict_keys and policy_follower.interrupted_for_s > bounds.key_lifetime_s

    def _make_follower(
        self, table_name: str, listener: follower.Listener
    ) -> follower.TableFollower:
        return follower.TableFollower(
            store=self._store,
            table_name=table_name,
            listener=listener,
            cache=self._caches[table_name],
            role=self._relay_role,
            relay_client=self._relay_client,
            rng=self._rng,
            on_era=self._on_era,
        )

    def _make_server(
        self, address: settings.Address, handler: request_handler.Handler
    ) -> http_server.HttpServer:
        return http_server.HttpServer(
            host=address.host, port=address.port, handler=handler, budget=self._memory
        )

    def _spawn(self, name: str, run: Callable[[], Coroutine[None, None, None]]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(self._supervise(name, run)))

    async def _supervise(self, name: str, run: Callable[[], Coroutine[None, None, None]]) -> None:
        """Runs a task until it ends by itself, and again after each failure."""
        while True:
            try:
                await run()
                return
            except Exception as error:
                self._log.exception("task failed; starting it again", task=name, error=repr(error))
            await asyncio.sleep(TASK_RESTART_DELAY_S)

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Logs an exception that no caller received, such as one of a callback."""
        self._log.error(
            "unexpected error", reason=context.get("message"), error=repr(context.get("exception"))
        )

    async def _start_servers(self) -> None:
        await self._readiness_server.start()
        await self._peers.start(self._config.peer.host)
        await self._relay_server.start()
        await self._front_server.start()
        await self._lookup_server.start()
        if self._admin_server is not None:
            await self._admin_server.start()

    async def _register(self) -> None:
        await self._registration.register()
        self._peers.announce_phase()
        self._spawn("renew registration", self._registration.renew)
        if await self._registration.complete_list():
            self._peers.announce_phase()

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._server_listener.sweep()
            self._policy_state.sweep()
            self._overflow.update()
            self._rate_limiter.tick()
            self._admission_control.update()
            self._load_sharing.refresh()
            self._pool.close_expired()

    async def _become_ready(self) -> None:
        """Marks the instance as ready once the policy and the servers have been loaded."""
        server_follower = self._followers[self._dialect.server_table]
        while self._policy_state.policy is None or server_follower.version < 0:
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
        if self._stopping.is_set():
            return
        self._view.set_phase(fleet.Phase.READY)
        self._log.info("gateway ready", policy=self._policy_state.policy.version)
        self._peers.announce_phase()

    def _on_policy(self, policy: model.Policy) -> None:
        # A single organisation may send several times its usual rate, which loads some servers more
        # than others.
        self._registry.set_estimation_required(bool(policy.organisations))
        self._cold_limit.set_rates(
            {service.name: service.warmup_per_s for service in policy.services.values()}
        )
        self._rate_limiter.set_organisations(policy.organisations)
        self._admission_control.set_policy(policy)

    def _on_answer_told(self, name: str, age_s: float) -> None:
        called_s = self._clock.monotonic() - age_s
        for table_follower in self._followers.values():
            table_follower.on_answer_told(name, called_s)

    def _on_era(self, era: int) -> None:
        if self._store_era is not None and era > self._store_era:
            self._metrics.store_eras.add()
        self._store_era = max(era, self._store_era or 0)
        self._registration.on_era(era)
        for table_follower in self._followers.values():
            table_follower.on_era_told(era)

    def _on_versions(self, name: str, host: str, versions: dict[str, int]) -> None:
        self._relay_role.on_hint(name, host, versions)
        for table_name, version in versions.items():
            if table_name in self._followers:
                self._followers[table_name].on_reported_version(version)

    def _on_reload(self) -> None:
        """Applies new bounds and failure domains.

        All other settings and the bound ``lookup_ttl_s`` need a restart. The log line names the
        changed fields of ``GatewaySettings``, also those that need a restart; a change of
        ``lookup_ttl_s`` is logged as ``bounds``, and only by the reload that first reads it.
        """
        try:
            config = self._load_settings()
        except (OSError, errors.ValidationError) as error:
            self._log.error("settings reload failed; keeping the current ones", error=str(error))
            return
        changed = [
            field.name
            for field in dataclasses.fields(config)
            if getattr(config, field.name) != getattr(self._config, field.name)
        ]
        self._config = dataclasses.replace(
            self._config, bounds=config.bounds, region_of=config.region_of
        )
        self._registry.set_regions(config.region_of)
        self._budgets.set_bounds(config.bounds)
        self._rate_limiter.set_bounds(config.bounds)
        self._cold_limit.set_bounds(
            factor=config.bounds.cold_factor, slack=config.bounds.cold_slack
        )
        self._log.info("settings reloaded", changed=changed)

    async def _shut_down(self) -> None:
        """Removes the instance from lookups and completes its requests within the grace period."""
        started_s = clock_lib.elapsed_s()
        # Closing the event loop removes its signal handlers; SIGHUP would then kill the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        self._log.info("gateway stopping", busy=self._front_server.busy)
        self._view.set_phase(fleet.Phase.LEAVING)
        self._peers.announce_phase()
        self._front_server.drain()
        deregister = asyncio.get_running_loop().create_task(self._registration.deregister())
        await asyncio.sleep(STOP_LISTENING_AFTER_S)
        await self._front_server.accept_waiting()
        self._front_server.stop_listening()
        deadline_s = started_s + self._config.bounds.stop_grace_s - EXIT_MARGIN_S
        while (
            clock_lib.elapsed_s() < deadline_s and self._front_server.busy + self._forwarder.running
        ):
            if clock_lib.elapsed_s() - started_s >= REFUSE_NEW_AFTER_S:
                self._front_server.refuse_new()
            await asyncio.sleep(EXIT_CHECK_INTERVAL_S)
            self._front_server.close_idle()
        self._log.info(
            "gateway stopped", busy=self._front_server.busy, attempts=self._forwarder.running
        )
        deregister.cancel()
        for task in self._tasks:
            task.cancel()
        self._pool.close()

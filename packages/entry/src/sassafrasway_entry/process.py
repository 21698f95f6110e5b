"""Process of an entry instance: creates its components, runs them and stops them gracefully."""

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
    cap_limits,
    closing,
    config_service,
    config_task,
    control_service,
    dispatcher,
    dump,
    forward_service,
    gatekeeper,
    lifecycle,
    member_task,
    operator_service,
    outcomes,
    owner_messages,
    peers,
    pools,
    recorder,
    settings,
    steering,
    telemetry,
)
from sassafrasway_platform import http as platform_http
from sassafrasway_rpc import schema, server

INCARNATION_BYTES = 6
PROPAGATION_S = 3.0  # maximum time until all instances' directories show this one as leaving
READY_POLL_S = 0.05
# Maximum time to wait for shares of the links' caps before this instance reports itself as ready.
# Other instances free these shares within about 2 s. Without a coordinator no share arrives, and an
# instance without shares can still answer lookups and serve its own region.
LINK_SHARES_TIMEOUT_S = 4.0
DRAIN_POLL_S = 0.05


class EntryProcess:
    """One entry instance."""

    def __init__(self, *, settings: settings.Settings):
        self._settings = settings
        self._clock = clock_lib.SystemClock()
        self._rng = random.Random(secrets.randbits(64))
        self._lifecycle = lifecycle.Lifecycle()
        self._stop_requested = asyncio.Event()
        self._startup_complete = False
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
        self._recorder = recorder.Recorder(
            path=settings.behaviour.record_file, instance=str(self._me.id)
        )

    async def run(self) -> None:
        """Runs until SIGTERM, SIGINT or another request to stop, then stops gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        local_host = self._settings.listen.caller.rpartition(":")[0]
        connector = aiohttp.TCPConnector(local_addr=(local_host, 0))
        async with aiohttp.ClientSession(connector=connector) as session:
            self._build(session, local_host)
            await self._start()
            await self._stop_requested.wait()
            await self._leave()
            await self._shut_down()
        self._log.info("stopped")

    def _build(self, session: aiohttp.ClientSession, local_host: str) -> None:
        """Creates the components of the process.

        A component that needs another one that is created later gets it through a lambda.
        """
        self._build_platform(session)
        self._build_membership()
        self._build_request_handling(local_host)
        self._build_servers()
        self._build_rpc()

    def _build_platform(self, session: aiohttp.ClientSession) -> None:
        section = self._settings.platform
        http = platform_http.HttpClient(
            base_url=section.url, session=session, timeout_s=section.timeout_ms / 1000
        )
        self._table = platform_http.HttpTableService(client=http)
        self._instance_list = platform_http.HttpInstanceList(client=http)
        network = self._settings.network
        self._peers = peers.Peers(address_map=network.address_map)

    def _build_membership(self) -> None:
        me = self._me
        self._config = config_task.ConfigTask(
            me=me.id,
            clock=self._clock,
            invariants=self._invariants,
            table=self._table,
            push_targets=lambda: self._member.coordinator_addresses(),
            call_peer=self._peers.call,
            on_policy=self._on_policy,
            relay_targets=lambda: self._member.relay_addresses(),
            pull_sources=self._pull_sources,
            own_address=lambda: me.rpc_address,
            rng=self._rng,
        )
        self._member = member_task.MemberTask(
            me=me,
            clock=self._clock,
            invariants=self._invariants,
            table=self._table,
            instance_list=self._instance_list,
            peers=self._peers,
            policy_source=lambda: self._config.policy,
            on_grants=self._on_grants,
            pool_reports=lambda: self._pools.reports(),
            cap_demand=lambda: self._limits.demand(),
            revision_source=lambda: self._config.revision,
            seeds=self._settings.network.seeds,
            on_revision=lambda revision, address: self._config.observe_revision(
                revision, source=address
            ),
            on_declared_gone=self._request_stop,
            rng=self._rng,
        )
        self._directory = self._member.directory
        self._limits = cap_limits.CapLimits(
            region=me.region,
            clock=self._clock,
            amount=self._member.cap_amount,
            epoch=lambda: self._member.identity()[1],
        )

    def _pull_sources(self) -> list[str]:
        instances = [instance.rpc_address for instance in self._directory.instances()]
        return [*self._member.coordinator_addresses(), *instances, *self._settings.network.seeds]

    def _on_grants(self, grants: list[region.PoolGrant]) -> None:
        self._pools.set_grants(grants)
        names = sorted(instance.name for instance in self._directory.instances())
        if self._me.name in names:
            self._pools.set_position(index=names.index(self._me.name), count=len(names))

    def _build_request_handling(self, local_host: str) -> None:
        me = self._me.id
        self._client = backend_client.BackendClient(local_host=local_host)
        self._owner_messages = owner_messages.OwnerMessages(
            me=me,
            directory=self._directory,
            peers=self._peers,
            policy_source=lambda: self._steering.policy,
            spawn=self._spawn,
        )
        self._pools = pools.PoolManager(
            clock=self._clock,
            rng=self._rng,
            invariants=self._invariants,
            client=self._client,
            record=self._recorder,
            report_crash=self._owner_messages.report_crash,
            share_of=self._member.share,
            placement=self._placement,
            limits=self._limits,
            on_slot_released=self._owner_messages.on_slot_released,
            queue_limit=self._settings.limits.queue_limit,
        )
        self._steering = steering.Steering(region=self._me.region, clock=self._clock, rng=self._rng)
        self._dispatcher = dispatcher.Dispatcher(
            me=me,
            clock=self._clock,
            region=self._me.region,
            limits=self._limits,
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
            record=self._recorder,
            names_owners=self._placement.forwards,
            ready=lambda: self._lifecycle.serving,
        )
        self._admin_api = admin_api.AdminApi(
            metrics=self._metrics, dump=self.dump, health=self._health
        )
        self._forward_service = forward_service.ForwardService(
            me=self._me.id,
            region=self._me.region,
            clock=self._clock,
            limits=self._limits,
            pools=self._pools,
            gatekeeper=self._gatekeeper,
            directory=self._directory,
        )

    def _on_violation(self, rule: invariants.Rule, detail: str) -> None:
        self._metrics.violations.add(1, {"rule": rule.value})
        self._log.error("invariant violated", rule=rule.value, detail=detail)
        self._recorder.record("violation", rule=rule.value, detail=detail)

    def _build_rpc(self) -> None:
        host, _, port = self._settings.listen.rpc.rpartition(":")
        operators = operator_service.OperatorService(
            me=self._me.id,
            config=self._config,
            call_peer=self._peers.call,
            find_instance=self._find_instance,
            leave=self._request_stop,
            status_source=self.status,
            dump_source=self.dump,
        )
        config = config_service.ConfigService(
            me=self._me.id, config=self._config, leave=self._request_stop
        )
        control = control_service.ControlService(
            member=self._member, on_release=self._pools.release_inherited
        )
        self._rpc = server.RpcServer(
            handlers=[
                (schema.forward.Forward, self._forward_service),
                (schema.control.Control, control),
                (schema.config.Config, config),
                (schema.config.Operator, operators),
            ],
            host=host,
            port=int(port),
        )

    def _find_instance(self, name: str) -> str | None:
        instance = self._directory.instance(name)
        return instance.rpc_address if instance is not None else None

    def _on_policy(self, policy: model.Policy) -> None:
        self._steering.set_policy(policy, self._config.blocks)
        self._pools.set_policy(policy)
        self._limits.set_policy(policy)
        self._recorder.record("revision", revision=policy.revision)
        self._log.info("policy in force", revision=policy.revision)

    def _spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # Without one of its tasks, the process would keep serving with outdated state.
            self._log.error("task failed", task=task.get_name(), exc_info=task.exception())
            self._stop_requested.set()

    async def _start(self) -> None:
        """Starts the servers and the tasks; requests of callers are accepted once it is ready."""
        await self._rpc.start()
        await self._admin_api.start(self._settings.listen.admin)
        for name, coroutine in (
            ("config", self._config.run()),
            ("membership", self._member.run()),
            ("outcomes", self._outcomes.run()),
            ("probes", self._pools.probe_loop()),
            ("queue", self._pools.wake_loop()),
        ):
            self._spawn(coroutine, name)
        await self._caller_api.start(self._settings.listen.caller)
        self._spawn(self._become_ready(), "ready")

    async def _become_ready(self) -> None:
        while self._steering.policy is None or not self._member.in_contact:
            await asyncio.sleep(READY_POLL_S)
        self._lifecycle.become_ready()
        self._log.info("ready", instance=str(self._me.id))
        until_s = self._clock.monotonic() + LINK_SHARES_TIMEOUT_S
        while not self._limits.has_all_link_shares() and self._clock.monotonic() < until_s:
            await asyncio.sleep(READY_POLL_S)
        self._startup_complete = True

    def _request_stop(self) -> None:
        self._stop_requested.set()

    async def _leave(self) -> None:
        """Hands over the pools and serves until no other process depends on this instance."""
        self._lifecycle.leave()
        self._member.leave()
        started_s = self._clock.monotonic()
        # Other instances name this one in lookup responses until their directories show that it is
        # leaving. Callers may use such a response or its ticket until it expires. As the time of
        # issue in a ticket is rounded down to whole seconds, one more second is allowed for it.
        cached_s = max(self._settings.limits.lookup_ttl_s, at_most_once.TICKET_START_S + 1.0)
        until_s = started_s + PROPAGATION_S + cached_s
        while self._clock.monotonic() < until_s or self._busy or self._member.must_stay:
            await asyncio.sleep(DRAIN_POLL_S)
        self._log.info("drained", seconds=round(self._clock.monotonic() - started_s, 3))

    @property
    def _busy(self) -> bool:
        slots_in_use = any(owned.slots.in_use() for owned in self._pools.owned.values())
        return bool(
            self._caller_api.in_flight
            or self._forward_service.running
            or self._gatekeeper.running
            or slots_in_use
        )

    async def _shut_down(self) -> None:
        self._gatekeeper.close()
        await closing.write_last_outcomes(
            me=self._me.id, outcomes=self._outcomes, gatekeeper=self._gatekeeper
        )
        await self._caller_api.stop()
        await self._config.wait_for_pushes()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._lifecycle.stop()
        await self._rpc.stop()
        await self._admin_api.stop()
        await self._peers.close()
        await self._client.close()
        self._metrics.shutdown()
        self._recorder.close()

    def _health(self) -> tuple[str, bool]:
        # When instances are replaced one by one, the platform stops the next one as soon as this
        # one reports readiness. Readiness is therefore reported only after the whole startup, which
        # is later than callers are served.
        return (
            self._lifecycle.state,
            self._lifecycle.state == lifecycle.READY and self._startup_complete,
        )

    def status(self) -> dict[str, Any]:
        """Returns a summary of the state for operators."""
        return {
            "instance": str(self._me.id),
            "region": self._me.region,
            "failure_domain": self._me.failure_domain,
            "state": self._lifecycle.state,
            "policy": dump.policy_dump(self._steering),
            "pools": sorted(str(key) for key in self._pools.owned),
            "in_flight": self._caller_api.in_flight,
        }

    def dump(self) -> dict[str, Any]:
        """Returns the full state for diagnosis."""
        return {
            **self.status(),
            "config": self._config.state(),
            "member": self._member.dump(),
            "pools": dump.pools_dump(self._pools),
            "forwarded_in_flight": self._forward_service.running,
            "at_most_once": dump.at_most_once_dump(self._gatekeeper, self._outcomes),
            "quarantine": dump.to_jsonable(self._pools.quarantine.entries()),
            "invariants": {
                rule.value: count for rule, count in self._invariants.violations.items()
            },
        }

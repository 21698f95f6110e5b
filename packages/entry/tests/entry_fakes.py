"""Fakes and factories that the tests of the entry share."""

import asyncio
import dataclasses
import random

from sassafrasway_core import clock, invariants, model, placement, region, retry, share
from sassafrasway_entry import backend_client, cap_limits, messages, pools, recorder

ME = model.InstanceId(name="bkk-a-1", incarnation="0a")
POOL = model.PoolKey(service="crew-desk", region="bkk")


def instance(name, incarnation="0a", region_name="bkk", state="live"):
    """Returns the directory record of an instance."""
    return region.Instance(
        name=name,
        incarnation=incarnation,
        rpc_address=f"{name}:7000",
        caller_url=f"http://{name}",
        region=region_name,
        failure_domain=f"{region_name}-a",
        state=state,
    )


def server(name="s1", *, service="crew-desk", region_name="bkk", slots=3, state="active"):
    """Returns a backend server."""
    return model.BackendServer(
        name=name,
        service=service,
        region=region_name,
        failure_domain=f"{region_name}-a",
        url=f"http://{name}",
        slots=slots,
        connections=100,
        state=model.ServerState(state),
    )


def policy(*, servers=None, regions=("bkk", "cnx"), caps=None, shifts=(), revision=1):
    """Returns a policy with a non-idempotent, an idempotent and a queueing idempotent service."""
    servers = servers if servers is not None else [server()]
    services = {
        "crew-desk": model.Service(name="crew-desk", idempotent=False),
        "quote-archive": model.Service(name="quote-archive", idempotent=True),
        "katalog": model.Service(name="katalog", idempotent=True, may_wait=True),
    }
    return model.Policy(
        revision=revision,
        regions={name: model.Region(name=name, cap_rps=(caps or {}).get(name)) for name in regions},
        links={
            f"{one}/{other}": model.Link(source=one, target=other, cap_mbit_s=4000.0)
            for one in regions
            for other in regions
            if one < other
        },
        services=services,
        servers={backend.name: backend for backend in servers},
        blocks={
            f"10.{index}.0.0/16": model.ClientBlock(cidr=f"10.{index}.0.0/16", region=name)
            for index, name in enumerate(regions)
        },
        shifts={shift.name: shift for shift in shifts},
    )


def request(*, service="crew-desk", key="", clock_source, remaining_s=5.0, body=b"", number=1):
    """Returns a caller's request."""
    return messages.Request(
        request_id=f"r{number}",
        service=service,
        method="POST",
        path="/x",
        headers=(),
        body=body,
        deadline=retry.Deadline(clock=clock_source, remaining_s=remaining_s),
        key=key,
        client="10.0.0.1",
        home_region="bkk",
        fingerprint=f"f-{body!r}",
    )


class FakeBackend:
    """Backend client whose next calls have the results in ``script``, and later ones OK.

    ``gate`` is None or an event that delays calls until it is set.
    """

    def __init__(self):
        self.calls = []
        self.script = []
        self.gate = None

    async def call(self, server, request, *, idempotent, timeout_s):
        self.calls.append((server.name, request.request_id))
        result = self.script.pop(0) if self.script else backend_client.CallResult.OK
        if self.gate is not None:
            await self.gate.wait()
        return backend_client.BackendResponse(result=result, status=200, body=request.body)

    async def probe(self, server, *, timeout_s):
        return backend_client.Probe(healthy=True)


class FakeDirectory:
    """Directory with fixed contents."""

    def __init__(self, *, owners=None, known=()):
        self.owners = owners or {}
        self.known = {record.name: record for record in known}
        self.gone = set()

    def owner(self, key):
        return self.owners.get(key)

    def instance(self, name):
        return self.known.get(name)

    def instances(self, region=None):
        return [record for record in self.known.values() if region in (None, record.region)]

    def is_gone(self, name, incarnation):
        return (name, incarnation) in self.gone

    def note_refused(self, instance):
        self.gone.add((instance.name, instance.incarnation))


class FakePeers:
    """Peers whose replies come from the function ``response(address, method, arguments)``."""

    def __init__(self, response=None):
        self.calls = []
        self.response = response

    async def call(self, address, method, *, timeout_s, **arguments):
        self.calls.append((address, method, arguments))
        result = self.response(address, method, arguments)
        if asyncio.iscoroutine(result):
            return await result
        return result


def limits(clock_source, policy_, share_amount=1e9, region_name="bkk", epoch=lambda: 1):
    """Returns the limits of an instance whose share of every cap is ``share_amount``.

    The unit is that of the cap: requests/s for the cap of a region and Mbit/s for that of a link.
    """
    result = cap_limits.CapLimits(
        region=region_name,
        clock=clock_source,
        amount=lambda name: share_amount,
        epoch=epoch,
    )
    result.set_policy(policy_)
    return result


def pool_manager(
    *,
    backend,
    clock_source,
    crashes=None,
    share_value=share.Share.FULL,
    policy_=None,
    region_cap_rps=1e9,
    epoch=lambda: 1,
):
    """Returns a pool manager that owns the policy's pools in bkk.

    Args:
        backend: Client for backend servers.
        clock_source: Time source.
        crashes: List that receives the arguments of crash reports.
        share_value: Share of every pool.
        policy_: Policy; by default the one of ``policy()``.
        region_cap_rps: Share of the cap of the region.
        epoch: Returns the epoch of the coordinator.
    """

    async def report_crash(service, fingerprint, server_name):
        if crashes is not None:
            crashes.append((service, fingerprint, server_name))

    manager = pools.PoolManager(
        clock=clock_source,
        rng=random.Random(1),
        invariants=invariants.Invariants(mode=invariants.Mode.RAISE),
        client=backend,
        record=recorder.Recorder(path=None, instance="test"),
        report_crash=report_crash,
        share_of=lambda key: share_value,
        placement=placement.PLACEMENTS["pool_owner"],
        limits=limits(clock_source, policy_ or policy(), region_cap_rps, epoch=epoch),
        on_slot_released=lambda key, name: None,
        queue_limit=10,
    )
    current = policy_ or policy()
    manager.set_policy(current)
    manager.set_grants(
        region.PoolGrant(pool=key, share=share_value)
        for key in current.pools()
        if key.region == "bkk"
    )
    return manager


def manual_clock():
    """Returns a clock that advances only when a test advances it."""
    return clock.ManualClock()


def with_home_region(original, *, home_region):
    """Returns the request with another home region."""
    return dataclasses.replace(original, home_region=home_region)


def system_clock():
    """Returns the system clock, for code that sleeps in real time."""
    return clock.SystemClock()

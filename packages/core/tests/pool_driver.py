"""Runs random operations on a slot pool and compares it with a simple reference model."""

import dataclasses
import random

from sassafrasway_core import clock, invariants, model, pool

KEY = model.PoolKey(service="crew-desk", region="bkk")


def server(name, *, slots=3, state=model.ServerState.ACTIVE, url=None):
    """Returns a backend server of the pool ``KEY``."""
    return model.BackendServer(
        name=name,
        service=KEY.service,
        region=KEY.region,
        failure_domain="bkk-a",
        url=url or f"http://{name}",
        slots=slots,
        connections=660,
        state=state,
    )


def make_pool(servers, *, time, seed=1, **options):
    """Returns a pool that raises on every violated invariant."""
    checks = invariants.Invariants(mode=invariants.Mode.RAISE)
    return pool.SlotPool(
        key=KEY,
        servers=servers,
        clock=time,
        rng=random.Random(seed),
        invariants=checks,
        **options,
    )


class Driver:
    """Runs operations chosen by ``rng``; raises ``AssertionError`` if the pool breaks a rule."""

    def __init__(self, rng):
        self._rng = rng
        self._time = clock.ManualClock()
        self._servers = {f"s{i}": server(f"s{i}") for i in range(rng.randint(1, 6))}
        self._pool = make_pool(
            self._servers.values(),
            time=self._time,
            queue_limit=4,
            ramp_s=rng.choice([0.0, 2.0]),
            rank_by_reports=rng.random() < 0.3,
        )
        self._leases = []
        # Requests of the previous owner that are still running, as (server name, latest end time).
        self._inherited = []
        # Deadlines of the waiting requests by waiter id, in order of arrival.
        self._queue = {}
        self._next_waiter = 0
        self._reported_leaving = set()
        self.leased_to_waiting = 0

    def step(self):
        """Runs one operation and checks the rules that hold after every operation."""
        operations = [
            *[self._acquire, self._release] * 3,
            *[self._advance, self._enqueue] * 2,
            *[self._abandon, self._expire, self._inherit, self._release_inherited],
            *[self._set_share, self._set_servers, self._report, self._probe],
        ]
        self._rng.choice(operations)()
        if self._pool.queue_length() and self._pool.free_slots():
            self._check_waiter_leases(self._pool.lease_to_waiting())
            assert not (self._pool.queue_length() and self._pool.free_slots())
        assert self._pool.queue_length() <= 4
        active = [server for server in self._pool.snapshot().servers if not server.leaving]
        assert sum(server.ejected for server in active) * 3 <= len(active), (
            "too many servers ejected"
        )

    def _acquire(self):
        excluded = frozenset(self._rng.sample(sorted(self._servers), k=self._rng.randint(0, 1)))
        lease = self._pool.try_acquire(exclude=excluded)
        if lease is None:
            assert excluded or not self._pool.free_slots(), "no lease although a slot is free"
        else:
            assert lease.server.name not in excluded
            self._check_lease(lease)

    def _release(self):
        if not self._leases:
            return
        lease = self._leases.pop(self._rng.randrange(len(self._leases)))
        result = self._rng.choice(list(pool.ServerResult))
        if result is pool.ServerResult.LEAVING:
            self._reported_leaving.add(lease.server.name)
        self._check_waiter_leases(self._pool.release(lease, result))
        assert self._pool.release(lease, result) == [], "a lease was released twice"

    def _advance(self):
        self._time.advance(self._rng.choice([0.01, 0.3, 1.5, 5.0]))
        now_s = self._time.monotonic()
        self._inherited = [entry for entry in self._inherited if entry[1] > now_s]

    def _enqueue(self):
        self._next_waiter += 1
        expires_s = self._time.monotonic() + self._rng.choice([0.1, 1.0, 3.0])
        if self._pool.enqueue(self._next_waiter, expires_s=expires_s):
            self._queue[self._next_waiter] = expires_s

    def _abandon(self):
        if self._queue:
            waiter_id = self._rng.choice(sorted(self._queue))
            self._pool.abandon(waiter_id)
            del self._queue[waiter_id]

    def _expire(self):
        expired = self._pool.expire()
        now_s = self._time.monotonic()
        assert sorted(expired) == [
            waiter_id for waiter_id, expires_s in self._queue.items() if expires_s <= now_s
        ]
        self._queue = {
            waiter_id: expires_s
            for waiter_id, expires_s in self._queue.items()
            if expires_s > now_s
        }

    def _inherit(self):
        name = self._rng.choice(sorted(self._servers))
        expires_s = self._time.monotonic() + self._rng.choice([0.5, 2.0])
        count = self._rng.randint(1, 2)
        self._pool.inherit({name: count}, expires_s=expires_s)
        self._inherited += [(name, expires_s)] * count

    def _release_inherited(self):
        if self._inherited:
            ended = self._inherited.pop(self._rng.randrange(len(self._inherited)))
            self._check_waiter_leases(self._pool.release_inherited(ended[0], 1))

    def _set_share(self):
        self._pool.set_share(self._rng.choice([*pool.Share, pool.Share.FULL, pool.Share.FULL]))

    def _set_servers(self):
        name = f"s{self._rng.randrange(7)}"
        if name in self._servers and len(self._servers) > 1 and self._rng.random() < 0.3:
            del self._servers[name]
        else:
            state = self._rng.choice([model.ServerState.ACTIVE, *model.ServerState])
            old = self._servers.get(name)
            if old is None or old.state is not state:
                self._reported_leaving.discard(name)
            self._servers[name] = server(name, slots=self._rng.randint(1, 6), state=state)
        self._pool.set_servers(self._servers.values())

    def _report(self):
        name = self._rng.choice(sorted(self._servers))
        self._pool.report_load(name, self._rng.randint(0, 9))
        leaving = self._rng.random() < 0.3
        self._pool.set_leaving(name, leaving)
        (self._reported_leaving.add if leaving else self._reported_leaving.discard)(name)

    def _probe(self):
        for server in self._pool.servers_to_probe():
            leaving = self._rng.choice([None, True, False])
            succeeded = self._rng.random() < 0.7
            self._pool.record_probe(server.name, succeeded=succeeded, leaving=leaving)
            if leaving:
                self._reported_leaving.add(server.name)
            elif succeeded and leaving is False:
                self._reported_leaving.discard(server.name)

    def _check_waiter_leases(self, waiter_leases):
        for waiter_lease in waiter_leases:
            waiting = [
                waiter_id
                for waiter_id, expires_s in self._queue.items()
                if expires_s > self._time.monotonic()
            ]
            assert waiter_lease.waiter_id == waiting[0], (
                "the lease skipped a request that waited longer"
            )
            del self._queue[waiter_lease.waiter_id]
            self.leased_to_waiting += 1
            self._check_lease(waiter_lease.lease)

    def _check_lease(self, lease):
        name = lease.server.name
        configured = self._servers[name]
        assert configured.state is model.ServerState.ACTIVE, f"{name} is leaving but got a lease"
        assert name not in self._reported_leaving, (
            f"{name} reported that it is leaving but got a lease"
        )
        assert not self._pool.health.is_ejected(name), f"{name} is ejected but got a lease"
        self._leases.append(lease)
        used = sum(held_lease.server.name == name for held_lease in self._leases)
        used += sum(entry[0] == name for entry in self._inherited)
        usable = self._pool.share.slots(configured.slots)
        assert used <= usable, f"{name} has {used} requests but only {usable} usable slots"
        assert self._pool.in_use()[name] >= used


@dataclasses.dataclass
class RandomRun:
    """A run of the driver that its seed reproduces."""

    seed: int
    steps: int

    def run(self):
        """Runs all steps and returns the driver."""
        driver = Driver(random.Random(self.seed))
        for _ in range(self.steps):
            driver.step()
        return driver

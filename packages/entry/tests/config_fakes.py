"""Instances with a real configuration task, a shared in-memory table and a fake network."""

import random

from sassafrasway_core import clock, documents, errors, invariants, model
from sassafrasway_entry import config_service, config_task, operator_service

SERVER = {
    "service": "crew-desk",
    "region": "bkk",
    "failure_domain": "bkk-a",
    "url": "http://127.0.0.1:7001",
    "slots": 3,
    "connections": 660,
}
FIRST_SECTIONS = {
    "regions": {"bkk": {}, "hkt": {}},
    "services": {"crew-desk": {"idempotent": False}},
    "servers": {"crew-1": SERVER},
    "blocks": {"10.0.0.0/8": {"region": "bkk"}},
}


def change(base, change_id, **sections):
    """Returns a change of the given sections, based on revision ``base``."""
    return documents.parse_change(
        {"base_revision": base, "change_id": change_id, "author": "a", "sections": sections}
    )


class Instance:
    """An instance on a fake network; ``cut`` partitions it from its peers, not from the table."""

    def __init__(self, network, rows, name):
        self.name = name
        self.cut = False
        self.left = False
        self.policies = []
        self.table = rows.view()
        self._network = network
        network[name] = self
        me = model.InstanceId(name=name, incarnation="1")
        self.config = config_task.ConfigTask(
            me=me,
            clock=clock.ManualClock(),
            invariants=invariants.Invariants(mode=invariants.Mode.RAISE),
            table=self.table,
            push_targets=lambda: list(network),
            call_peer=self.call_peer,
            on_policy=self.policies.append,
            own_address=lambda: name,
            rng=random.Random(1),
        )
        self.peer_service = config_service.ConfigService(
            me=me, config=self.config, leave=self.leave
        )
        self.operator = operator_service.OperatorService(
            me=me,
            config=self.config,
            call_peer=self.call_peer,
            find_instance=lambda other: other if other in network else None,
            leave=self.leave,
            status_source=self.config.state,
            dump_source=self.config.state,
        )

    @property
    def revisions(self):
        return [policy.revision for policy in self.policies]

    def leave(self):
        self.left = True

    async def call_peer(self, address, method, *, timeout_s=2.0, **arguments):
        peer = self._network[address]
        if self.cut or peer.cut:
            raise errors.UnavailableError(
                "the network is partitioned", step="fake.call", peer=address
            )
        return await getattr(peer.peer_service, method)(**arguments)

"""Servers leave some requests unanswered for seconds; afterwards all must be served again."""

import asyncio
import collections
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standin2  # noqa: E402

MACHINES = 2
SERVERS = {"desk": 3, "archive": 3}
SLOTS = 3
WORK_S = 0.03
END_S = 60.0
# While the servers hang: begin, length, and share of the requests that they leave unanswered.
HANG_AT_S, HANG_FOR_S = 3.0, 5.0
HANG_SHARE = 0.4
BOOKINGS_PER_S, LOOKUPS_PER_S = 40.0, 80.0
# Callers wait so long for the answer, then close the connection.
BUDGET_MS = 3000
ZONES = {"a-1": "a", "b-1": "b"}
BOUNDS = {"Grace": "6s", "RetryBudgetRatio": 0.2, "BudgetWindow": "10s", "BudgetExtra": 112}
FIRST_ROUTES = [
    {
        "Name": "lookup",
        "Host": "h.example",
        "Prefix": "/lookup/",
        "Kind": "idempotent",
        "Service": "archive",
        "MaxAttempts": 2,
    }
]
ADDED_ROUTE = {
    "Name": "booking",
    "Host": "h.example",
    "Prefix": "/booking/",
    "Kind": "non_idempotent",
    "Service": "desk",
    "MaxAttempts": 1,
}
# Time from the ack of the config that adds the route until traffic starts.
CONFIG_S = 4.0
# Time without disturbance after which the deployment is in steady state.
STEADY_AFTER_S = 15.0
MIN_REQUESTS = 20


def policy(version, routes):
    """Returns a policy with some routes."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": service, "HealthPath": "/health", "MaxConns": 660} for service in SERVERS
        ],
    }


RNG = random.Random(5)


class HangingServer(standin2.Server):
    """Leaves a part of its requests unanswered while ``hanging`` is set."""

    hanging = False

    async def answer(self, request, writer):
        """See base class."""
        if self.hanging and RNG.random() < HANG_SHARE:
            self.note_run(request)
            self.record.write(f"no answer to id={request.header('attempt-id')}")
            await asyncio.Event().wait()
        await super().answer(request, writer)


async def send(record, gateway, kind, statuses):
    """Sends one request; the caller leaves at the end of its time budget."""
    request_id = standin2.new_id()
    headers = [
        ("Host", "h.example"),
        ("Attempt-Id", request_id),
        ("Time-Budget-Ms", str(BUDGET_MS)),
    ]
    method = "POST" if kind == "booking" else "GET"
    sent_s = time.monotonic()
    address = (gateway.host, standin2.FRONT_PORT)
    try:
        response = await standin2.exchange(
            address, method, f"/{kind}/{request_id}", headers, timeout_s=BUDGET_MS / 1000.0
        )
    except OSError:
        response = None
    status = None if response is None else response.status
    statuses[kind].append((sent_s, status))
    reason = "" if response is None or status == 200 else f" {response.body[:60]!r}"
    record.write(f"sent {kind} to {gateway.name} id={request_id}, answered {status}{reason}")


async def load(record, gateways, kind, per_s, began_s, statuses):
    """Sends requests of a kind at an even rate."""
    tasks = []
    next_s = began_s
    while time.monotonic() < began_s + END_S:
        gateway = gateways[len(tasks) % len(gateways)]
        tasks.append(asyncio.create_task(send(record, gateway, kind, statuses)))
        next_s += 1.0 / per_s
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
    await asyncio.gather(*tasks)


def share(statuses):
    """Returns the share of requests that were served."""
    return sum(status == 200 for _, status in statuses) / max(1, len(statuses))


async def main(record, folder, gateways):
    """Plays the case and returns its result."""
    network = standin2.free_network()
    store = standin2.Store()
    await store.listen(f"{network}.200")
    store.put_json("op", "config", policy("0000000c", FIRST_ROUTES))
    servers = []
    for service, count in SERVERS.items():
        for number in range(count):
            server = HangingServer(
                store=store,
                record=record,
                server_id=f"i-{service}-{number}",
                service=service,
                zone=list(ZONES)[number % len(ZONES)],
                slots=SLOTS,
                work_s=WORK_S,
            )
            await server.start(f"{network}.{100 + len(servers)}")
            servers.append(server)
    for number in range(MACHINES):
        zone = list(ZONES)[number]
        gateway = standin2.Gateway(
            folder=folder,
            name=f"front-{number + 1}",
            host=f"{network}.{number + 1}",
            zone=zone,
            region=ZONES[zone],
            zones=ZONES,
            store=store.address,
            bounds=BOUNDS,
        )
        gateways.append(gateway)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    store.put_json("op", "config", policy("0000000d", [*FIRST_ROUTES, ADDED_ROUTE]))
    record.write("the config that adds the route of the bookings is acknowledged")
    await asyncio.sleep(CONFIG_S)
    began_s = time.monotonic()
    statuses = collections.defaultdict(list)
    loads = [
        asyncio.create_task(load(record, gateways, kind, per_s, began_s, statuses))
        for kind, per_s in (("booking", BOOKINGS_PER_S), ("lookup", LOOKUPS_PER_S))
    ]
    if standin2.trouble():
        await asyncio.sleep(began_s + HANG_AT_S - time.monotonic())
        record.write("the servers of desk begin to leave requests unanswered")
        for server in servers[: SERVERS["desk"]]:
            server.hanging = True
        await asyncio.sleep(HANG_FOR_S)
        for server in servers[: SERVERS["desk"]]:
            server.hanging = False
        record.write("the servers of desk answer all requests again")
    await asyncio.gather(*loads)
    steady_s = began_s + HANG_AT_S + HANG_FOR_S + STEADY_AFTER_S
    steady = {
        kind: [entry for entry in entries if entry[0] > steady_s]
        for kind, entries in statuses.items()
    }
    everything = share([*statuses["booking"], *statuses["lookup"]])
    record.write(
        f"served in the whole run: booking {share(statuses['booking']):.3f}, lookup"
        f" {share(statuses['lookup']):.3f}, all {everything:.3f}"
    )
    added, first = share(steady["booking"]), share(steady["lookup"])
    record.write(
        f"served in steady state: {added:.3f} of {len(steady['booking'])} on the added route,"
        f" {first:.3f} of {len(steady['lookup'])} on the first one"
    )
    if first < 0.9 or len(steady["booking"]) < MIN_REQUESTS:
        return standin2.NOT_RUN
    return standin2.RULE_BROKEN if added < 0.25 * first else standin2.RULE_HELD


standin2.run_case(main, HERE)

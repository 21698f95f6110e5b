"""Three servers crash one after the other and come back; a common request must be served again."""

import asyncio
import collections
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standin2  # noqa: E402

MACHINES = 2
SERVERS = 8
END_S = 60.0
# Times of the crashes, and for how long each server is down.
CRASHES_S = (3.0, 6.0, 9.0)
DOWN_S = 2.5
BOARD_PER_S, ORDERS_PER_S = 25.0, 75.0
BOARD_WORK_S, ORDER_WORK_S = 0.3, 0.01
ZONES = {"a-1": "a", "b-1": "b"}
BOUNDS = {"Grace": "6s", "RetryBudgetRatio": 0.2, "BudgetWindow": "10s", "BudgetExtra": 112}
FIRST_ROUTES = [
    {
        "Name": "orders",
        "Host": "h.example",
        "Prefix": "/orders/",
        "Kind": "non_idempotent",
        "Service": "desk",
        "Timeout": "2s",
        "MaxAttempts": 1,
    }
]
ADDED_ROUTE = {
    "Name": "board",
    "Host": "h.example",
    "Prefix": "/board/",
    "Kind": "idempotent",
    "Service": "archive",
    "Timeout": "2s",
    "MaxAttempts": 2,
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
            {"Name": service, "HealthPath": "/health", "MaxConns": 660}
            for service in ("archive", "desk")
        ],
    }


async def send(record, gateway, kind, statuses):
    """Sends one request and records its status."""
    request_id = standin2.new_id()
    headers = [("Host", "h.example"), ("Attempt-Id", request_id), ("Time-Budget-Ms", "2000")]
    method, target = ("GET", "/board/today")
    if kind == "orders":
        method, target = "POST", f"/orders/{request_id}"
    address = (gateway.host, standin2.FRONT_PORT)
    try:
        response = await standin2.exchange(address, method, target, headers)
    except OSError:
        response = None
    status = None if response is None else response.status
    statuses[kind].append((time.monotonic(), status))
    reason = "" if response is None or status == 200 else f" {response.body[:60]!r}"
    record.write(f"sent {target} to {gateway.name} id={request_id}, answered {status}{reason}")


async def load(record, gateways, kind, per_s, until_s, statuses):
    """Sends requests of a kind at an even rate."""
    tasks = []
    next_s = time.monotonic()
    while time.monotonic() < until_s:
        gateway = gateways[len(tasks) % len(gateways)]
        tasks.append(asyncio.create_task(send(record, gateway, kind, statuses)))
        next_s += 1.0 / per_s
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
    await asyncio.gather(*tasks)


async def crash_one(record, servers, crashed):
    """Crashes a server that runs a request; it comes back under its id some seconds later."""
    while True:
        busy = [server for server in servers if server.running and server not in crashed]
        if busy:
            break
        await asyncio.sleep(0.005)
    server = busy[0]
    crashed.append(server)
    host, port = server.address
    record.write(f"server {server.server_id} crashes")
    server.crash()
    await asyncio.sleep(DOWN_S)
    await server.start(host, port)
    record.write(f"server {server.server_id} is back")


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
    for service, work_s in (("archive", BOARD_WORK_S), ("desk", ORDER_WORK_S)):
        for number in range(SERVERS):
            server = standin2.Server(
                store=store,
                record=record,
                server_id=f"i-{service}-{number}",
                service=service,
                zone=list(ZONES)[number % len(ZONES)],
                work_s=work_s,
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
    record.write("the config that adds the route of the board is acknowledged")
    await asyncio.sleep(CONFIG_S)
    began_s = time.monotonic()
    statuses = collections.defaultdict(list)
    loads = [
        asyncio.create_task(load(record, gateways, kind, per_s, began_s + END_S, statuses))
        for kind, per_s in (("board", BOARD_PER_S), ("orders", ORDERS_PER_S))
    ]
    crashes, crashed = [], []
    if standin2.trouble():
        for at_s in CRASHES_S:
            await asyncio.sleep(began_s + at_s - time.monotonic())
            crashes.append(asyncio.create_task(crash_one(record, servers[:SERVERS], crashed)))
    await asyncio.gather(*crashes, *loads)
    steady_s = began_s + CRASHES_S[-1] + DOWN_S + STEADY_AFTER_S
    steady = {
        kind: [entry for entry in entries if entry[0] > steady_s]
        for kind, entries in statuses.items()
    }
    everything = share([*statuses["board"], *statuses["orders"]])
    record.write(
        f"served in the whole run: board {share(statuses['board']):.3f}, orders"
        f" {share(statuses['orders']):.3f}, all {everything:.3f}"
    )
    added, first = share(steady["board"]), share(steady["orders"])
    record.write(
        f"served in steady state: {added:.3f} of {len(steady['board'])} on the added route,"
        f" {first:.3f} of {len(steady['orders'])} on the first one"
    )
    if first < 0.9 or len(steady["board"]) < MIN_REQUESTS:
        return standin2.NOT_RUN
    return standin2.RULE_BROKEN if added < 0.25 * first else standin2.RULE_HELD


standin2.run_case(main, HERE)

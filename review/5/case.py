"""After the loss of other machines, a sound one goes on routing by the config of before."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import client
import deployment
import machines

GATEWAYS = 20
# The machines that stay; all others are killed at once.
STAYING = ("front-4", "front-19")
UPSTREAMS = 3
CALM_S = 4.0
# ``ConfigApply`` of the settings.
CONFIG_APPLY_S = 2.5
WATCHED_S = 12.0
BOOKINGS_PER_S = 20
BUDGET_MS = 3000


async def case(deployed: deployment.Deployment) -> int:
    """Plays the case and judges it."""
    old_desk = deployed.add_upstreams("crew-desk", UPSTREAMS, work_s=0.1)
    deployed.add_upstreams("order-desk", UPSTREAMS, work_s=0.1)
    services = ["crew-desk", "order-desk"]
    route = {"Name": "b", "Prefix": "/booking/", "Kind": "non_idempotent"}
    before = machines.config(
        version=7, routes=[{**route, "Service": "crew-desk"}], services=services
    )
    after = machines.config(
        version=11, routes=[{**route, "Service": "order-desk"}], services=services
    )
    if not await deployed.start(before):
        return deployment.COULD_NOT_RUN
    staying = [gateway for gateway in deployed.gateways if gateway.name in STAYING]
    traffic = client.Traffic(gateways=staying, budget_ms=BUDGET_MS, record=deployed.record)
    bookings = asyncio.create_task(traffic.run(CALM_S + WATCHED_S, {"/booking/7": BOOKINGS_PER_S}))
    await asyncio.sleep(CALM_S)
    if deployed.trouble:
        for gateway in deployed.gateways:
            if gateway.name not in STAYING:
                gateway.send_signal(signal.SIGKILL)
        deployed.record.add("killed", gateways=GATEWAYS - len(STAYING))
    deployed.store.put("op", "config", after)
    acked_s = time.monotonic()
    deployed.record.add("config", version=after["Version"])
    await bookings
    await traffic.finish()
    ran_by_old = {run.attempt_id for upstream in old_desk for run in upstream.runs}
    stale = [
        one
        for one in traffic.sent
        if one.sent_s > acked_s + CONFIG_APPLY_S and one.attempt_id in ran_by_old
    ]
    last_s = max(one.sent_s for one in traffic.sent if one.attempt_id in ran_by_old) - acked_s
    deployed.record.say(
        f"{len(traffic.sent)} bookings at {len(STAYING)} machines; {len(stale)} that were sent"
        f" later than {CONFIG_APPLY_S} s after the new config was acknowledged were run by the old"
        f" service, the last one was sent after {last_s:.2f} s:"
        f" {'CONFIG broken' if stale else 'CONFIG held'}"
    )
    return deployment.BROKEN if stale else deployment.HELD


if __name__ == "__main__":
    deployment.run(__file__, gateways=GATEWAYS, case=case)

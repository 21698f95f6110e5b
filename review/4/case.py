"""After the loss of other machines, a sound one goes on using an upstream that has left."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import client
import deployment
import machines

GATEWAYS = 9
# The machines that stay; all others are killed at once.
STAYING = ("front-8", "front-4")
UPSTREAMS = 6
WORK_S = 0.3
CALM_S = 4.0
# The upstream leaves just after the kill. It serves for ``Drain`` and a little longer.
DRAIN_S = 2.5
SERVES_FOR_S = DRAIN_S + 1.0
WATCHED_S = 8.0
BOOKINGS_PER_S = 25
BUDGET_MS = 3000


async def case(deployed: deployment.Deployment) -> int:
    """Plays the case and judges it."""
    desk = deployed.add_upstreams("crew-desk", UPSTREAMS, work_s=WORK_S)
    routes = [
        {"Name": "b", "Prefix": "/booking/", "Kind": "non_idempotent", "Service": "crew-desk"}
    ]
    config = machines.config(version=7, routes=routes, services=["crew-desk"])
    if not await deployed.start(config):
        return deployment.COULD_NOT_RUN
    staying = [gateway for gateway in deployed.gateways if gateway.name in STAYING]
    traffic = client.Traffic(gateways=staying, budget_ms=BUDGET_MS, record=deployed.record)
    bookings = asyncio.create_task(traffic.run(CALM_S + WATCHED_S, {"/booking/7": BOOKINGS_PER_S}))
    await asyncio.sleep(CALM_S)
    leaving = max(desk, key=lambda upstream: len(upstream.runs))
    if deployed.trouble:
        for gateway in deployed.gateways:
            if gateway.name not in STAYING:
                gateway.send_signal(signal.SIGKILL)
        deployed.record.add("killed", gateways=GATEWAYS - len(STAYING))
    leaving.remove_entry()
    acked_s = time.monotonic()
    deployed.record.add("left", upstream=leaving.server_id)
    await asyncio.sleep(SERVES_FOR_S)
    cut = leaving.running_ids()
    await leaving.stop()
    deployed.record.add("exited", upstream=leaving.server_id, running=cut)
    await bookings
    await traffic.finish()
    late = [run for run in leaving.runs if run.started_s > acked_s + DRAIN_S]
    last_s = max(run.started_s for run in leaving.runs) - acked_s
    lost = [one for one in traffic.sent if one.attempt_id in cut and one.status != 200]
    answers = [one.status for one in lost]
    deployed.record.say(
        f"{len(traffic.sent)} bookings at {len(STAYING)} machines; {len(late)} reached the"
        f" upstream later than {DRAIN_S} s after it had left, the last one after {last_s:.2f} s;"
        f" its exit after {SERVES_FOR_S} s cut {len(lost)} of them, answered {answers}:"
        f" {'DRAIN broken' if late else 'DRAIN held'}"
    )
    return deployment.BROKEN if late else deployment.HELD


if __name__ == "__main__":
    deployment.run(__file__, gateways=GATEWAYS, case=case)

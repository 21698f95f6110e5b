"""Writes the outcomes of requests that are not stored yet when an instance stops."""

import asyncio

import structlog

from sassafrasway_core import errors, model
from sassafrasway_entry import gatekeeper, outcomes

MAX_FLUSHES = 50  # after these attempts, the instance stops without the closed marker
FLUSH_INTERVAL_S = 0.2


async def write_last_outcomes(
    *, me: model.InstanceId, outcomes: outcomes.OutcomeStore, gatekeeper: gatekeeper.Gatekeeper
) -> None:
    """Writes all outcomes, then the closed marker, which says that no more will follow.

    May be called only when all requests of the gatekeeper have ended. If the table service is
    unavailable, or outcomes were dropped, this is logged and the marker is not written.
    """
    log = structlog.get_logger("process")
    for _ in range(MAX_FLUSHES):
        if await outcomes.flush() and not gatekeeper.pending_updates:
            break
        await asyncio.sleep(FLUSH_INTERVAL_S)
    else:
        log.warning(
            "outcomes or claim updates not written; stopping without the closed marker",
            pending=outcomes.pending,
        )
        return
    if outcomes.dropped:
        # A missing outcome then does not prove that the request did not run.
        log.warning("outcomes were dropped; stopping without the closed marker")
        return
    try:
        await outcomes.close(me)
    except errors.UnavailableError as error:
        # Without the marker, requests with unused tickets of this incarnation get "unknown".
        log.warning("closed marker not written", error=str(error))

"""Writes the last outcomes of an instance that stops."""

import asyncio

import structlog

from sassafrasway_core import errors, model
from sassafrasway_entry import gatekeeper, outcomes

FLUSH_TRIES = 50
FLUSH_INTERVAL_S = 0.2


async def write_last_outcomes(
    *, me: model.InstanceId, outcomes: outcomes.OutcomeStore, gatekeeper: gatekeeper.Gatekeeper
) -> None:
    """Writes all outcomes, then the marker that no further ones follow.

    Args:
        me: Instance that stops.
        outcomes: Its outcomes.
        gatekeeper: Its requests, all of which have ended.
    """
    log = structlog.get_logger("process")
    for _ in range(FLUSH_TRIES):
        if await outcomes.flush() and not gatekeeper.pending_updates:
            break
        await asyncio.sleep(FLUSH_INTERVAL_S)
    else:
        log.warning("outcomes not written", pending=outcomes.pending)
        return
    try:
        await outcomes.close(me)
    except errors.UnavailableError as error:
        # Without the marker, callers of unused tickets get "unknown" in place of an answer.
        log.warning("closed marker not written", error=str(error))

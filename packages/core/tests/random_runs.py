"""Repeats a random scenario for the soak time; a seed reproduces each run."""

import os
import random
import time


def repeat(scenario):
    """Calls ``scenario(seed)`` with new seeds until the soak time is over.

    The time is ``SASSAFRASWAY_SOAK_SECONDS`` (default 10). ``SASSAFRASWAY_SOAK_SEED`` repeats one
    run instead.

    Returns:
        Sum of the results.

    Raises:
        AssertionError: A run failed; the message names its seed.
    """
    fixed = os.environ.get("SASSAFRASWAY_SOAK_SEED")
    end_s = time.monotonic() + float(os.environ.get("SASSAFRASWAY_SOAK_SECONDS", "10"))
    seed = int(fixed) if fixed else random.SystemRandom().getrandbits(32)
    total = 0
    while True:
        try:
            total += scenario(seed)
        except Exception as error:
            raise AssertionError(f"SASSAFRASWAY_SOAK_SEED={seed}: {error}") from error
        if fixed or time.monotonic() >= end_s:
            return total
        seed += 1

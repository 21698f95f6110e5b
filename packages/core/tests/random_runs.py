"""Repeats a random scenario for the duration of a soak test; a seed reproduces each run."""

import os
import random
import time


def repeat(scenario):
    """Calls ``scenario(seed)`` until the duration has passed; returns the sum of the results.

    The first seed is random, and each further run uses the next integer. The error of a failed run
    names its seed. ``SASSAFRASWAY_SOAK_SECONDS`` sets the duration in seconds (default 10). With
    ``SASSAFRASWAY_SOAK_SEED``, the scenario is called only once, with that seed.
    """
    fixed_seed = os.environ.get("SASSAFRASWAY_SOAK_SEED")
    end_s = time.monotonic() + float(os.environ.get("SASSAFRASWAY_SOAK_SECONDS", "10"))
    seed = int(fixed_seed) if fixed_seed else random.SystemRandom().getrandbits(32)
    total = 0
    while True:
        try:
            total += scenario(seed)
        except Exception as error:
            raise AssertionError(f"SASSAFRASWAY_SOAK_SEED={seed}: {error}") from error
        if fixed_seed or time.monotonic() >= end_s:
            return total
        seed += 1

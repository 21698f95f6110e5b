"""Refuses requests for large responses while the memory for buffered bodies is nearly used up.

Otherwise a response for which no memory is left is ended although its request has run. The size of
a response is known only when it arrives, so the memory for the requests under way is estimated from
the mean size of the responses of each route.
"""

import random

from sassafrasway_gateway import memory_budget, model

# Requests to routes whose mean response is smaller are always admitted.
LARGE_BYTES = 32 * 1024
# Share of the budget that expected and buffered bodies may use together. The rest is a margin for
# responses that are larger than the mean of their route.
USED_SHARE = 0.75
# Largest part of the budget that is reserved for one request, so that at least two requests for
# large responses can be admitted at the same time.
MAX_PROMISE_SHARE = USED_SHARE / 2
# Weight of a new sample in the moving average of the sizes of a route.
SIZE_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.5
# Time over which the retries of refused callers are spread.
RETURN_SPREAD_S = 0.5


class Promise:
    """Memory that the response to a request under way is expected to need."""

    __slots__ = ("_gate", "_size")

    def __init__(self, *, gate: "ResponseGate", size: float):
        self._gate = gate
        self._size = size

    def release(self) -> None:
        """Ends the promise; the body that has arrived is counted by the budget itself."""
        size, self._size = self._size, 0.0
        self._gate.on_released(size)


class ResponseGate:
    """Admits requests to routes with large responses as long as there is memory for these."""

    def __init__(self, *, budget: memory_budget.MemoryBudget, rng: random.Random | None = None):
        self._budget = budget
        self._rng = rng or random.Random()
        self._mean_bytes: dict[str, float] = {}
        self._promised = 0.0
        self._refused = 0

    @property
    def promised_bytes(self) -> int:
        """Bytes that the responses to the requests under way are expected to need."""
        return round(self._promised)

    @property
    def refused(self) -> int:
        """Number of requests that were refused."""
        return self._refused

    def expected_bytes(self, route: model.Route) -> float:
        """Returns the memory to promise for a response of a route; 0 if its responses are small."""
        mean_bytes = self._mean_bytes.get(route.name, float(route.expected_response_bytes))
        if mean_bytes < LARGE_BYTES:
            return 0.0
        return min(mean_bytes, self._budget.capacity * MAX_PROMISE_SHARE)

    def on_response(self, route: model.Route, size: int) -> None:
        """Updates the mean size of the responses of a route."""
        old = self._mean_bytes.get(route.name, float(route.expected_response_bytes or size))
        self._mean_bytes[route.name] = old + SIZE_WEIGHT * (size - old)

    def admit(self, route: model.Route) -> Promise | None:
        """Promises memory for the response to a request; returns None if there is too little.

        Callers that have stopped reading lose their connections before a request is refused.
        """
        size = self.expected_bytes(route)
        if size:
            free = self._free_bytes()
            if free < size:
                free += self._budget.end_stalled(size - free)
            if free < size:
                self._refused += 1
                return None
        self._promised += size
        return Promise(gate=self, size=size)

    def would_admit(self, route: model.Route) -> bool:
        """Whether ``admit`` would promise memory now; ends no connection."""
        size = self.expected_bytes(route)
        return not size or self._free_bytes() + self._budget.stalled >= size

    def retry_after_s(self) -> float:
        """Returns a time after which the caller of a refused request may retry."""
        return MIN_RETRY_AFTER_S + self._rng.uniform(0.0, RETURN_SPREAD_S)

    def on_released(self, size: float) -> None:
        """Ends a promise."""
        self._promised -= size

    def _free_bytes(self) -> float:
        return self._budget.capacity * USED_SHARE - self._budget.used - self._promised

    def state(self) -> dict:
        """Returns the row of the state dump."""
        return {
            "capacity": self._budget.capacity,
            "used": self._budget.used,
            "promised": self.promised_bytes,
            "refused": self._refused,
        }

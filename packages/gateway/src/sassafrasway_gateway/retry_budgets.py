"""Retry budgets by service: this instance's share of the retries that the fleet may make."""

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import retry
from sassafrasway_gateway import fleet, settings

# Share of the bound of the fleet that is used; the rest is a margin for restarts and for instances
# whose lists of live instances differ.
USED_SHARE = 0.6


class RetryBudgets:
    """Divides the additional retries of the fleet among its live instances.

    The retries permitted per request need no division: each instance counts its own requests.
    """

    def __init__(self, *, clock: clock_lib.Clock, view: fleet.FleetView, bounds: settings.Bounds):
        self._clock = clock
        self._view = view
        self._bounds = bounds
        self._budgets: dict[str, retry.RetryBudget] = {}

    def set_bounds(self, bounds: settings.Bounds) -> None:
        """Replaces the bounds; if they changed, all budgets are reset."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._budgets.clear()

    def budget_of(self, service: str) -> retry.RetryBudget:
        """Returns the budget of a service.

        The maximum number of tokens is adjusted to the current number of live instances. The
        minimum rate is not: it depends on their number when the budget was created. If the fleet
        grows afterwards, its instances together may exceed the bound.
        """
        bounds = self._bounds
        instances = max(1, len(self._view.live_names()))
        max_tokens = max(1.0, bounds.retry_extra * USED_SHARE / instances)
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry.RetryBudget(
                clock=self._clock,
                ratio=bounds.retry_ratio * USED_SHARE,
                # A full bucket and this rate allow 1.5 * max_tokens retries in one window: 0.9 of
                # this instance's share of retry_extra, unless max_tokens is raised to 1.
                minimum_per_s=max_tokens / bounds.retry_window_s / 2.0,
                max_tokens=max_tokens,
            )
            self._budgets[service] = budget
        budget.set_max_tokens(max_tokens)
        return budget

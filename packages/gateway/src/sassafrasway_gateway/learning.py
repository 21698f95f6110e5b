"""Updates the state of backend servers from their responses and timeouts."""

from sassafrasway_gateway import balancer, servers

STATUS_TIMEOUT = 504


class OutcomeLearner:
    """Updates the registry, the service time estimates and the balancer's record of recent runs."""

    def __init__(
        self,
        *,
        registry: servers.ServerRegistry,
        chooser: balancer.Balancer,
        service_times: balancer.ServiceTimeEstimate,
    ):
        self._registry = registry
        self._chooser = chooser
        self._service_times = service_times

    def on_response(
        self,
        choice: balancer.Choice,
        *,
        route: str,
        object_key: str,
        status: int,
        elapsed_s: float,
    ) -> None:
        """Processes a response of the server itself; ``elapsed_s`` is the attempt's duration."""
        chosen = choice.state
        self._registry.on_response(chosen)
        if status == STATUS_TIMEOUT and not choice.warm:
            # A cold run may exceed the deadline of the request on a healthy server too.
            return
        failed = status >= 500
        chosen.add_outcome(failed=failed)
        if failed:
            return
        service_s = elapsed_s / choice.queue_factor
        chosen.add_latency(service_s, self._expected_s(choice, route), warm=choice.warm)
        self._registry.add_service_time(chosen, service_s)
        self._service_times.add(route, service_s, warm=choice.warm)
        self._chooser.on_response(chosen.server.server_id, object_key)

    def on_timeout(self, choice: balancer.Choice, *, route: str, elapsed_s: float) -> None:
        """Processes an attempt that got no response in time.

        A healthy server responds with an error at the deadline, so a missing response is a failure.
        """
        self._registry.on_failure(choice.state, unreachable=False)
        service_s = elapsed_s / choice.queue_factor
        choice.state.add_latency(service_s, self._expected_s(choice, route), warm=choice.warm)

    def _expected_s(self, choice: balancer.Choice, route: str) -> float:
        """Returns the service time to be expected for the object at the server's present speed.

        A slowdown that the server reports is known to the selection already.
        """
        slowdown = self._registry.slowdown(choice.state)
        if choice.warm:
            return self._service_times.warm_s(route) * slowdown
        return self._service_times.cold_run_s(route) * slowdown

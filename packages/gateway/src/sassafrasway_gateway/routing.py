"""Selects the route of a request, and the service if the route is split among several."""

import random
from collections.abc import Sequence

from sassafrasway_gateway import model


def _without_port(host: str) -> str:
    """Returns a Host header without its port; an IPv6 address stays in its brackets."""
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host


class RouteTable:
    """Routes of one policy version, matched by host and longest path prefix."""

    def __init__(self, *, routes: Sequence[model.Route]):
        self._by_host: dict[str, list[model.Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host: str, target: str) -> model.Route | None:
        """Returns the route with the longest prefix of the path, or None.

        ``host`` may contain a port, and ``target`` a query.
        """
        path = target.partition("?")[0]
        for route in self._by_host.get(_without_port(host).lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


class SplitPicker:
    """Distributes the requests of a split route by smooth weighted round robin.

    Each request adds the weight of every service to that service's credit. The service with the
    highest credit gets the request, and the sum of the weights is deducted from its credit.

    On each instance the number of requests to each service stays within two of the number that its
    weight requires; a random choice would need many requests to get that close. The initial credits
    are random, and credits are kept when the policy changes. Otherwise the first requests of all
    instances, and all requests between policy changes in quick succession, would go to the service
    with the highest weight.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._credit: dict[tuple[str, str], float] = {}

    def pick(self, route: model.Route) -> str:
        """Returns the service for the next request of the route.

        If no weight is positive, the first service is returned.
        """
        services = route.services
        if len(services) == 1:
            return services[0].service
        total = sum(entry.weight for entry in services)
        best = None
        best_key = None
        for entry in services:
            if entry.weight <= 0:
                continue
            key = (route.name, entry.service)
            if key not in self._credit:
                self._credit[key] = self._rng.uniform(0.0, total)
            self._credit[key] += entry.weight
            if best is None or self._credit[key] > self._credit[best_key]:
                best = entry.service
                best_key = key
        if best is None:
            return services[0].service
        self._credit[best_key] -= total
        return best

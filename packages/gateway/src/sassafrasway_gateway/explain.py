"""Explains which server a request would get now and why, without sending it.

The explanation covers the first attempt of a request. It neither changes the state of the instance
nor contains the key of an organisation. What depends on earlier requests of the same caller (retry
budget, requests that crash servers) is not part of it.
"""

import dataclasses
import re
import urllib.parse
from collections.abc import Callable

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors
from sassafrasway_gateway import (
    admission,
    balancer,
    forwarder,
    jobs,
    model,
    quota_client,
    rate_limits,
    response_gate,
    servers,
    state,
)

# Largest number of entries in each list of an explanation.
MAX_LISTED = 20
MAX_PARAMETERS = 20
_PARAMETERS = frozenset(("host", "target", "method", "object", "organisation", "time_left_ms"))
_METHOD = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]{1,32}")
_TIME_LEFT_MS = re.compile(r"[0-9]{1,12}")
_STEP = "explain"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """The request to explain.

    Attributes:
        object_key: Object that the request names; empty for none.
        organisation: Name of the caller's organisation; empty for none.
        time_left_s: Time that the caller waits; None if it does not state one.
    """

    host: str
    target: str
    method: str = "GET"
    object_key: str = ""
    organisation: str = ""
    time_left_s: float | None = None


def parse_query(query: str) -> Query:
    """Parses the parameters of an HTTP request for an explanation.

    Raises:
        errors.ValidationError: A parameter is missing, unknown, repeated or malformed.
    """
    try:
        pairs = urllib.parse.parse_qsl(
            query, keep_blank_values=True, errors="strict", max_num_fields=MAX_PARAMETERS
        )
    except ValueError as error:
        raise _invalid(f"malformed parameters: {error}") from error
    values: dict[str, str] = {}
    for name, value in pairs:
        if name not in _PARAMETERS:
            raise _invalid(f"unknown parameter {name!r}")
        if name in values:
            raise _invalid(f"parameter {name!r} occurs twice")
        if not value or not value.isprintable():
            raise _invalid(f"parameter {name!r} is empty or has control characters")
        values[name] = value
    for name in ("host", "target"):
        if name not in values:
            raise _invalid(f"parameter {name!r} is missing")
        if not values[name].isascii() or " " in values[name]:
            raise _invalid(f"parameter {name!r} has characters that must be encoded")
    if not values["target"].startswith("/"):
        raise _invalid("parameter 'target' must start with '/'")
    method = values.get("method", "GET")
    if _METHOD.fullmatch(method) is None:
        raise _invalid("parameter 'method' is not a method")
    time_left_ms = values.get("time_left_ms")
    if time_left_ms is not None and _TIME_LEFT_MS.fullmatch(time_left_ms) is None:
        raise _invalid("parameter 'time_left_ms' is not a whole number of milliseconds")
    return Query(
        host=values["host"],
        target=values["target"],
        method=method,
        object_key=values.get("object", ""),
        organisation=values.get("organisation", ""),
        time_left_s=None if time_left_ms is None else int(time_left_ms) / 1000.0,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Refusal:
    """Response that a request gets instead of being sent to a server."""

    reason: str
    status: int
    retry_after_s: float | None = None


class Explainer:
    """Explains decisions from the current state of the instance.

    Args:
        instance: Name of this instance.
        region: Region of this instance.
        keys_expired: See ``forwarder.Forwarder``.
        rate_limiter: Rate limits of organisations; None for none.
        gate: See ``forwarder.Forwarder``.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        instance: str,
        region: str,
        policy_state: state.PolicyState,
        registry: servers.ServerRegistry,
        chooser: balancer.Balancer,
        admission_control: admission.AdmissionControl,
        keys_expired: Callable[[], bool] = lambda: False,
        rate_limiter: rate_limits.RateLimiter | None = None,
        gate: response_gate.ResponseGate | None = None,
    ):
        self._clock = clock
        self._instance = instance
        self._region = region
        self._policy_state = policy_state
        self._registry = registry
        self._chooser = chooser
        self._admission_control = admission_control
        self._keys_expired = keys_expired
        self._rate_limiter = rate_limiter
        self._gate = gate

    def explain(self, query: Query) -> dict:
        """Returns the explanation as plain data that can be encoded as JSON.

        Raises:
            errors.NotFoundError: No route matches, or the policy lacks the organisation.
            errors.UnavailableError: There is no policy yet.
        """
        policy = self._policy_state.policy
        if policy is None:
            raise errors.UnavailableError("no policy", step=_STEP)
        route = self._policy_state.routes.match(query.host, query.target)
        if route is None:
            raise errors.NotFoundError(f"no route for {query.host}{query.target}", step=_STEP)
        organisation = self._organisation(policy, query.organisation)
        needs_key = bool(policy.organisations) and not route.anonymous
        if not needs_key:
            organisation = None
        criteria = self._criteria(query, route, organisation)
        request_class = admission.RequestClass(
            service=criteria.service,
            route=route.name,
            priority=jobs.priority_of(route, organisation),
            organisation=None if organisation is None else organisation.name,
        )
        bound = self._admission_control.preview(request_class)
        criteria = dataclasses.replace(criteria, max_waiting_per_slot=bound.max_waiting_per_slot)
        quota = self._quota(organisation)
        preview = self._chooser.preview(criteria)
        lacks_key = needs_key and organisation is None
        refusal = (
            self._admission_refusal(criteria, lacks_key=lacks_key)
            or self._memory_refusal(route)
            or self._limit_refusal(criteria, quota)
            or self._selection_refusal(preview)
        )
        return {
            "instance": self._instance,
            "policy_version": policy.version,
            "request": dataclasses.asdict(query),
            "route": _route_fields(route),
            "service": _service_fields(route, criteria.service),
            "organisation": None if organisation is None else _organisation_fields(organisation),
            "key": _key_text(needs_key=needs_key, organisation=organisation),
            "priority": request_class.priority,
            "region": self._region,
            "allowed_regions": (
                None if criteria.allowed_regions is None else sorted(criteria.allowed_regions)
            ),
            "remaining_s": criteria.remaining_s,
            "object": criteria.object_key if criteria.names_object else None,
            "admission": {
                "max_waiting_per_slot": bound.max_waiting_per_slot,
                "shedding": bound.shedding,
                "behind": bound.behind[:MAX_LISTED],
            },
            "rate_limit": {"outlook": quota.outlook.value, "retry_after_s": quota.retry_after_s},
            "memory": self._memory_fields(route),
            "servers": self._server_fields(preview),
            "excluded": {reason.value: count for reason, count in preview.excluded.items()},
            "decision": {
                **_decision_fields(preview.choice, refusal),
                "random": not criteria.names_object and len(preview.compared) > 1,
            },
        }

    def _organisation(self, policy: model.Policy, name: str) -> model.Organisation | None:
        if not name:
            return None
        organisation = policy.organisations.get(name)
        if organisation is None:
            # The name is not repeated: an operator may have entered a key by mistake.
            raise errors.NotFoundError("unknown organisation", step=_STEP)
        return organisation

    def _criteria(
        self, query: Query, route: model.Route, organisation: model.Organisation | None
    ) -> balancer.SelectionCriteria:
        remaining_s = jobs.timeout_of(route)
        if query.time_left_s is not None:
            remaining_s = min(remaining_s, query.time_left_s)
        object_key = query.object_key if route.sticky else ""
        return balancer.SelectionCriteria(
            route=route,
            service=_explained_service(route),
            object_key=object_key,
            names_object=bool(object_key),
            region=self._region,
            remaining_s=remaining_s,
            allowed_regions=jobs.allowed_regions(route, organisation),
        )

    def _quota(self, organisation: model.Organisation | None) -> quota_client.Preview:
        if self._rate_limiter is None or organisation is None:
            return quota_client.Preview(outlook=quota_client.Outlook.UNLIMITED)
        return self._rate_limiter.preview(organisation.name)

    def _admission_refusal(
        self, criteria: balancer.SelectionCriteria, *, lacks_key: bool
    ) -> _Refusal | None:
        needs_key = bool(self._policy_state.policy.organisations) and not criteria.route.anonymous
        if needs_key and self._keys_expired():
            return _Refusal(
                reason="keys cannot be checked: no current policy",
                status=503,
                retry_after_s=jobs.KEYS_EXPIRED_RETRY_AFTER_S,
            )
        if lacks_key:
            return _Refusal(reason="no valid key", status=401)
        if criteria.remaining_s <= 0.0:
            return _Refusal(reason="time limit passed", status=408)
        return None

    def _memory_refusal(self, route: model.Route) -> _Refusal | None:
        if self._gate is None or self._gate.would_admit(route):
            return None
        return _Refusal(
            reason="no memory for the response",
            status=503,
            retry_after_s=response_gate.MIN_RETRY_AFTER_S,
        )

    def _limit_refusal(
        self, criteria: balancer.SelectionCriteria, quota: quota_client.Preview
    ) -> _Refusal | None:
        if criteria.remaining_s < forwarder.MIN_ATTEMPT_S:
            return _Refusal(
                reason=forwarder.REASON_NO_TIME,
                status=503,
                retry_after_s=balancer.MIN_RETRY_AFTER_S,
            )
        if quota.outlook is quota_client.Outlook.LIMITED:
            return _Refusal(
                reason="limit of the organisation reached",
                status=forwarder.STATUS_RATE_LIMITED,
                retry_after_s=quota.retry_after_s,
            )
        return None

    def _selection_refusal(self, preview: balancer.Preview) -> _Refusal | None:
        choice = preview.choice
        if choice.state is not None:
            return None
        return _Refusal(reason=choice.refusal.value, status=503, retry_after_s=choice.retry_after_s)

    def _memory_fields(self, route: model.Route) -> dict:
        if self._gate is None:
            return {"expected_bytes": 0, "short": False}
        return {
            "expected_bytes": round(self._gate.expected_bytes(route)),
            "short": not self._gate.would_admit(route),
        }

    def _server_fields(self, preview: balancer.Preview) -> list[dict]:
        now_s = self._clock.monotonic()
        total_weight = sum(compared.weight for compared in preview.compared)
        return [
            self._compared_fields(compared, preview.choice, total_weight, now_s)
            for compared in preview.compared[:MAX_LISTED]
        ]

    def _compared_fields(
        self,
        compared: balancer.ComparedServer,
        choice: balancer.Choice,
        total_weight: float,
        now_s: float,
    ) -> dict:
        server_state = compared.state
        return {
            "id": server_state.server.server_id,
            "region": self._registry.region_of(server_state),
            "rank": compared.rank,
            "slots": server_state.server.slots,
            "load": round(server_state.load(now_s), 2),
            "load_age_s": round(server_state.known_load.report_age_s(now_s), 3),
            "slowdown": round(server_state.slowdown(now_s), 2),
            "latency_ratio": round(server_state.latency_ratio, 2),
            "error_rate": round(server_state.error_rate, 3),
            "warm": compared.warm,
            "cold_left_s": round(max(0.0, server_state.cold_until_s - now_s), 2),
            "queue_per_slot": round(compared.queue_per_slot, 3),
            "full": compared.full,
            "cost_s": round(compared.cost_s, 4),
            "share": round(compared.weight / total_weight, 3) if total_weight else None,
            "selected": server_state is choice.state,
        }


def _explained_service(route: model.Route) -> str:
    """Returns the service with the highest weight; the first one of several."""
    return max(route.services, key=lambda entry: entry.weight).service


def _route_fields(route: model.Route) -> dict:
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "idempotent": route.idempotent,
        "sticky": route.sticky,
        "timeout_s": jobs.timeout_of(route),
    }


def _service_fields(route: model.Route, explained: str) -> dict:
    split = [
        {"service": entry.service, "weight": entry.weight} for entry in route.services[:MAX_LISTED]
    ]
    return {"name": explained, "split": split if len(split) > 1 else []}


def _organisation_fields(organisation: model.Organisation) -> dict:
    return {
        "name": organisation.name,
        "rate_per_s": organisation.rate_per_s,
        "burst": organisation.burst,
    }


def _key_text(*, needs_key: bool, organisation: model.Organisation | None) -> str:
    if not needs_key:
        return "not needed"
    return "missing" if organisation is None else "of the organisation"


def _decision_fields(choice: balancer.Choice, refusal: _Refusal | None) -> dict:
    if refusal is not None:
        return {
            "server": None,
            "reason": refusal.reason,
            "status": refusal.status,
            "retry_after_s": refusal.retry_after_s,
        }
    return {
        "server": choice.state.server.server_id,
        "reason": None,
        "status": None,
        "retry_after_s": None,
    }


def _invalid(message: str) -> errors.ValidationError:
    return errors.ValidationError(message, step=_STEP)

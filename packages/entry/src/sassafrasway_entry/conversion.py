"""Conversion between the requests and responses of the entry and their Thrift messages."""

import dataclasses

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import model, retry
from sassafrasway_entry import messages
from sassafrasway_rpc import schema

_OUTCOMES_TO_THRIFT = {
    messages.Outcome.RAN: schema.forward.Outcome.RAN,
    messages.Outcome.NOT_RUN: schema.forward.Outcome.NOT_RUN,
    messages.Outcome.UNKNOWN: schema.forward.Outcome.UNKNOWN,
}
_OUTCOMES_FROM_THRIFT = {value: key for key, value in _OUTCOMES_TO_THRIFT.items()}


def with_route(request: messages.Request, *, home_region: str, shift: str) -> messages.Request:
    """Returns the request with its home region and shift set."""
    return dataclasses.replace(request, home_region=home_region, shift=shift)


def to_forward(
    request: messages.Request,
    *,
    stage: int,
    pool_key: model.PoolKey | None,
    may_queue: bool,
    sender: str,
    attempt_id: str,
    receiver: str,
):
    """Returns the Thrift message that forwards a request to a peer.

    Args:
        request: The request.
        stage: Value of the Thrift enum ``Stage``.
        pool_key: Pool on which the peer runs the request, or None.
        may_queue: Whether the request may wait for a slot.
        sender: Name and incarnation of this instance.
        attempt_id: Id under which the peer runs the request only once.
        receiver: Name and incarnation of the peer.
    """
    return schema.forward.ForwardRequest(
        request_id=request.request_id,
        stage=stage,
        service_name=request.service,
        region=pool_key.region if pool_key else "",
        shard=pool_key.shard if pool_key else 0,
        method=request.method,
        path=request.path,
        headers=_to_headers(request.headers),
        body=request.body,
        deadline_ms=int(request.deadline.remaining_s * 1000),
        key=request.key,
        client=request.client,
        home_region=request.home_region,
        shift=request.shift,
        may_queue=may_queue,
        sender=sender,
        attempt_id=attempt_id,
        receiver=receiver,
        resent=False,
        fingerprint=request.fingerprint,
    )


def from_forward(message, *, clock: clock_lib.Clock) -> messages.Request:
    """Returns the request from a Thrift message."""
    return messages.Request(
        request_id=message.request_id,
        service=message.service_name,
        method=message.method,
        path=message.path,
        headers=_from_headers(message.headers),
        body=message.body or b"",
        deadline=retry.Deadline(clock=clock, remaining_s=message.deadline_ms / 1000),
        key=message.key or "",
        client=message.client or "",
        home_region=message.home_region or "",
        shift=message.shift or "",
        fingerprint=message.fingerprint or "",
    )


def to_reply(response: messages.Response):
    """Returns the Thrift message for a response."""
    return schema.forward.ForwardReply(
        outcome=_OUTCOMES_TO_THRIFT[response.outcome],
        status=response.status,
        headers=_to_headers(response.headers),
        body=response.body,
        reason=response.reason.value,
        detail=response.detail,
        owner=response.owner,
        server=response.server,
        retry_after_ms=response.retry_after_ms,
    )


def from_reply(reply) -> messages.Response:
    """Returns the response from a Thrift message.

    Raises:
        KeyError: The outcome is not a value of the Thrift enum ``Outcome``.
        ValueError: The reason is not a value of ``messages.Reason``.
    """
    return messages.Response(
        outcome=_OUTCOMES_FROM_THRIFT[reply.outcome],
        status=reply.status,
        headers=_from_headers(reply.headers),
        body=reply.body or b"",
        reason=messages.Reason(reply.reason or ""),
        detail=reply.detail or "",
        owner=reply.owner or "",
        server=reply.server or "",
        retry_after_ms=reply.retry_after_ms or 0,
    )


def _to_headers(pairs: tuple[tuple[str, str], ...]) -> list:
    return [schema.common.Header(name=name, value=value) for name, value in pairs]


def _from_headers(headers) -> tuple[tuple[str, str], ...]:
    return tuple((header.name, header.value) for header in headers or ())

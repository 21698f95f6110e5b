"""At-most-once execution of non-idempotent requests.

Every idempotency key has one holder, the incarnation that decides whether its request may start. A
ticket names its holder. The holder of any other key is the incarnation that created the claim row
of the key in the table.
"""

import asyncio
import dataclasses
import hashlib
import json

import structlog

from sassafrasway_core import at_most_once, errors, model
from sassafrasway_entry import dispatcher, messages, outcomes
from sassafrasway_platform import table
from sassafrasway_rpc import schema

CLAIM_RETRY_S = 0.1  # delay before another attempt to create or read a claim row
CLAIM_UPDATE_INTERVAL_S = 0.5  # delay before another attempt to store an outcome in a claim row
CLAIM_UPDATE_WAIT_S = 0.5  # maximum delay of a response until its outcome is stored


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Contents of a claim row.

    Attributes:
        holder: Incarnation that holds the key.
        attempt: Request id of the attempt that created the row; empty in a row with an outcome.
        response: Outcome of the request; None while it runs.
    """

    holder: str
    attempt: str
    response: messages.Response | None = None

    def encode(self) -> bytes:
        """Returns the value of the row."""
        document = outcomes.to_document(self.response) if self.response else None
        return json.dumps(
            {"holder": self.holder, "attempt": self.attempt, "answer": document}
        ).encode()

    @classmethod
    def decode(cls, value: bytes) -> "Claim":
        """Returns the claim that a row holds.

        Raises:
            ValueError: The value is not JSON, or its outcome cannot be decoded.
            KeyError: A field is missing.
        """
        data = json.loads(value)
        response = outcomes.from_document(data["answer"]) if data["answer"] else None
        return cls(holder=data["holder"], attempt=data["attempt"], response=response)


def claim_row_key(service: str, key: str) -> str:
    """Returns the row key of a claim.

    The idempotency key is hashed, because callers may send any text as key.
    """
    return f"claims/{service}/{hashlib.sha256(key.encode()).hexdigest()}"


class Gatekeeper:
    """Runs non-idempotent requests at most once.

    Args:
        registry: Keys whose requests this incarnation has handled.
        store: Stores the outcomes of tickets in the table.
        claims: Table service for claim rows.
    """

    def __init__(
        self,
        *,
        me: model.InstanceId,
        registry: at_most_once.KeyRegistry,
        dispatcher: dispatcher.Dispatcher,
        directory: dispatcher.Directory,
        store: outcomes.OutcomeStore,
        claims: table.TableService,
    ):
        self._me = me
        self._registry = registry
        self._dispatcher = dispatcher
        self._directory = directory
        self._store = store
        self._claims = claims
        self._running: dict[str, asyncio.Task] = {}
        self._claim_updates: set[asyncio.Task] = set()
        self._closed = False
        self._log = structlog.get_logger("gatekeeper")

    @property
    def running(self) -> int:
        """Number of keys whose requests are running."""
        return len(self._running)

    @property
    def pending_updates(self) -> int:
        """Number of claim rows whose outcome is not written yet."""
        return len(self._claim_updates)

    def close(self) -> None:
        """From now on, starts requests with new tickets only under a claim row.

        This must precede the closed marker (see ``outcomes``), which allows other instances to run
        such requests under a claim row.
        """
        self._closed = True

    async def handle(self, request: messages.Request) -> messages.Response:
        """Runs a request that a caller sent to this instance, here or at the holder of its key."""
        ticket = at_most_once.Ticket.parse(request.key)
        if ticket is None:
            return await self._handle_claim(request)
        if ticket.holder == self._me:
            return await self.run_held(request)
        peer = self._directory.instance(ticket.holder.name)
        if peer is not None and peer.incarnation == ticket.holder.incarnation:
            response = await self._dispatcher.forward(
                peer, request, stage=schema.forward.Stage.GATEKEEP
            )
            if response.reason is not messages.Reason.PEER_UNREACHABLE:
                return response
        return await self._stored_outcome(ticket, request)

    async def run_forwarded(self, request: messages.Request) -> messages.Response:
        """Runs a request that another instance sent because this incarnation holds its key."""
        ticket = at_most_once.Ticket.parse(request.key)
        if ticket is None and self._registry.record(request.key) is None:
            # The sender found a claim of this incarnation without an outcome. Its run may be about
            # to start, or may have ended and its record may have been removed.
            return messages.unknown(503, messages.Reason.CLAIM_HOLDER_GONE)
        if ticket is not None and ticket.holder != self._me:
            return await self._stored_outcome(ticket, request)
        return await self.run_held(request)

    async def run_held(self, request: messages.Request) -> messages.Response:
        """Runs a request whose key this incarnation holds, or waits for its earlier attempt.

        Raises:
            errors.ValidationError: The key is a ticket of another incarnation.
        """
        key = request.key
        if self._closed and self._registry.record(key) is None:
            # Other instances may run the request under a claim row once they find the closed
            # marker. Creating the row here as well ensures that only one instance runs it.
            ticket = at_most_once.Ticket.parse(key)
            if ticket is not None and not self._registry.may_start(ticket):
                return await self._stored_outcome(ticket, request)
            return await self._handle_claim(request)
        result = self._registry.begin(key)
        if result is at_most_once.BeginResult.EXPIRED:
            return messages.not_run(409, messages.Reason.TICKET_EXPIRED)
        if result is at_most_once.BeginResult.FUTURE:
            # "Not run" would be wrong: the clocks differ, and the ticket may start a run later.
            return messages.unknown(503, messages.Reason.TICKET_EXPIRED)
        if result is at_most_once.BeginResult.DONE:
            return self._registry.record(key).outcome
        if result is at_most_once.BeginResult.FORGOTTEN:
            return await self._stored_outcome(at_most_once.Ticket.parse(key), request)
        if result is at_most_once.BeginResult.START:
            self._start_run(request)
        return await self._wait_for_outcome(key, request)

    def _start_run(self, request: messages.Request) -> None:
        # The request runs in a separate task: if the caller disconnects, a dispatched request must
        # go on and its outcome must be recorded.
        task = asyncio.create_task(self._run_and_record(request))
        self._running[request.key] = task
        task.add_done_callback(lambda _: self._running.pop(request.key, None))

    async def _wait_for_outcome(self, key: str, request: messages.Request) -> messages.Response:
        """Returns the outcome of a key, or "unknown" if its run outlasts the request's deadline.

        The wait ends 0.05 s after the deadline, so that the response of a run with the same
        deadline normally comes first. The run is not cancelled; its deadline is that of the attempt
        that started it.
        """
        task = self._running.get(key)
        if task is None:
            return self._registry.record(key).outcome
        try:
            return await asyncio.wait_for(
                asyncio.shield(task), max(0.001, request.deadline.remaining_s + 0.05)
            )
        except TimeoutError:
            return messages.unknown(504, messages.Reason.DEADLINE)

    async def _run_and_record(self, request: messages.Request) -> messages.Response:
        key = request.key
        self._registry.mark_dispatched(key)
        try:
            response = await self._dispatcher.run(request)
        except Exception:
            self._log.exception("request failed", request=request.request_id)
            response = messages.unknown(502, messages.Reason.INTERNAL)
        not_run = response.outcome is messages.Outcome.NOT_RUN
        if not_run:
            self._registry.discard_dispatch(key)
        self._registry.finish(key, response, not_run=not_run)
        ticket = at_most_once.Ticket.parse(key)
        if ticket is not None:
            self._store.add(ticket, response)
        return response

    async def _stored_outcome(
        self, ticket: at_most_once.Ticket, request: messages.Request
    ) -> messages.Response:
        """Returns the stored outcome of a ticket.

        It is needed if the holder cannot be reached or may have deleted its record of the ticket.
        If the holder has a closed marker, a missing outcome proves that it did not run the request.
        The request may then run here under a claim, unless the ticket has expired.
        """
        try:
            stored = await asyncio.wait_for(
                self._store.find(ticket), max(0.001, request.deadline.remaining_s)
            )
        except (errors.UnavailableError, TimeoutError):
            return messages.unknown(503, messages.Reason.STORE_UNAVAILABLE)
        except (KeyError, ValueError) as error:
            self._log.error("stored outcome unreadable", key=request.key, error=repr(error))
            return messages.unknown(503, messages.Reason.STORE_UNAVAILABLE)
        if stored.response is not None:
            return stored.response
        if stored.closed and self._registry.may_start(ticket):
            return await self._handle_claim(request)
        if stored.closed:
            return await self._refuse_expired(request)
        return messages.unknown(503, messages.Reason.TICKET_HOLDER_GONE)

    async def _refuse_expired(self, request: messages.Request) -> messages.Response:
        """Refuses a request with an expired ticket, unless it runs under a claim or has done so.

        The refusal is written as the claim. An instance whose clock is behind, for which the ticket
        has not expired yet, can then no longer run the request.
        """
        row_key = claim_row_key(request.service, request.key)
        refusal = messages.not_run(409, messages.Reason.TICKET_EXPIRED)
        claim = Claim(holder=str(self._me), attempt="", response=refusal)
        try:
            await self._claims.put(row_key, claim.encode(), if_version=table.ABSENT)
        except table.PreconditionFailed:
            response = await self._handle_existing_claim(row_key, request)
            return response or messages.unknown(503, messages.Reason.CLAIM_HOLDER_GONE)
        except errors.UnavailableError:
            return messages.unknown(503, messages.Reason.STORE_UNAVAILABLE)
        return refusal

    async def _handle_claim(self, request: messages.Request) -> messages.Response:
        """Runs a request if it can create the claim row, or returns the outcome of its earlier run.

        While the table service is unavailable, the write is repeated until the deadline.
        """
        row_key = claim_row_key(request.service, request.key)
        own_claim = Claim(holder=str(self._me), attempt=request.request_id)
        row_exists = False
        while not request.deadline.expired:
            try:
                row = await self._claims.put(row_key, own_claim.encode(), if_version=table.ABSENT)
            except table.PreconditionFailed:
                row_exists = True
                response = await self._handle_existing_claim(row_key, request)
            except errors.UnavailableError:
                response = None
            else:
                return await self._run_claimed(row_key, row, request)
            if response is not None:
                return response
            await asyncio.sleep(min(CLAIM_RETRY_S, request.deadline.remaining_s))
        if row_exists and self._registry.record(request.key) is None:
            # Another instance may hold the claim and may have run the request.
            return messages.unknown(504, messages.Reason.STORE_UNAVAILABLE)
        return self._give_up_claim(request.key)

    def _give_up_claim(self, key: str) -> messages.Response:
        """Records a key as not run, unless it is known already, and returns its outcome.

        The claim row may exist although the response to the write was lost. Without the record, a
        later attempt at this instance could run the key after this response "not run".
        """
        response = messages.not_run(504, messages.Reason.STORE_UNAVAILABLE)
        if self._registry.begin_claimed(key):
            self._registry.finish(key, response, not_run=True)
            return response
        return self._registry.record(key).outcome or messages.unknown(504, messages.Reason.DEADLINE)

    async def _handle_existing_claim(
        self, row_key: str, request: messages.Request
    ) -> messages.Response | None:
        """Returns the response to a request whose claim row exists, or None to try again."""
        try:
            row = await self._claims.get(row_key)
        except errors.UnavailableError:
            return None
        if row is None:
            return None
        claim = Claim.decode(row.value)
        if claim.response is not None:
            return claim.response
        if claim.holder != str(self._me):
            return await self._forward_to_holder(claim, request)
        if self._registry.record(request.key) is not None:
            return await self._wait_for_outcome(request.key, request)
        if claim.attempt == request.request_id:
            # This attempt created the row, but the response to its write was lost.
            return await self._run_claimed(row_key, row, request)
        # An earlier attempt may have run, and its record may have been removed since.
        return messages.unknown(503, messages.Reason.CLAIM_HOLDER_GONE)

    async def _forward_to_holder(
        self, claim: Claim, request: messages.Request
    ) -> messages.Response:
        name, _, incarnation = claim.holder.partition("/")
        peer = self._directory.instance(name)
        if peer is None or peer.incarnation != incarnation:
            return messages.unknown(503, messages.Reason.CLAIM_HOLDER_GONE)
        response = await self._dispatcher.forward(
            peer, request, stage=schema.forward.Stage.GATEKEEP
        )
        if response.reason is messages.Reason.PEER_UNREACHABLE:
            # Even if this attempt was not sent, the holder may have run the request before.
            return messages.unknown(503, response.reason, response.detail)
        return response

    async def _run_claimed(
        self, row_key: str, row: table.Row, request: messages.Request
    ) -> messages.Response:
        """Runs a request whose claim row was created here, and stores the outcome in the row."""
        if self._registry.begin_claimed(request.key):
            self._start_run(request)
        run = self._running.get(request.key)
        response = await self._wait_for_outcome(request.key, request)
        task = asyncio.create_task(self._update_claim(row_key, row, response, run))
        self._claim_updates.add(task)
        task.add_done_callback(self._claim_updates.discard)
        await asyncio.wait({task}, timeout=CLAIM_UPDATE_WAIT_S)
        return response

    async def _update_claim(
        self,
        row_key: str,
        row: table.Row,
        response: messages.Response,
        run: asyncio.Task | None,
    ) -> None:
        """Stores the outcome in the claim row; retries until the table service is available.

        A run that outlasts the deadline of the request is waited for, as its outcome is not known
        before.
        """
        if run is not None:
            response = await run
        claim = Claim(holder=str(self._me), attempt="", response=response)
        while True:
            try:
                await self._claims.put(row_key, claim.encode(), if_version=row.version)
            except table.PreconditionFailed:
                return  # an earlier write succeeded, but its response was lost
            except errors.UnavailableError:
                await asyncio.sleep(CLAIM_UPDATE_INTERVAL_S)
            else:
                return

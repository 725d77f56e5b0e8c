"""Drives one forwarded request: gets workers decided, sends it to them and passes an answer on.

What may be sent, and what the caller may be told, is decided by
:class:`~orchidpath.forwarding.progress.ForwardProgress`; this shell asks it and does the rest.
"""

import asyncio

import msgspec

from orchidpath.circuit.classification import Observed
from orchidpath.forwarding.progress import FailureKind, FinalOutcome, ForwardProgress, ReturnTime
from orchidpath.placement.prefill_placement import MAX_DECODE_SIDE_PREFILL_TOKENS
from orchidpath.router.decision_maker import DecisionSubject
from orchidpath.router.proxy.protocol_mapping import (
    Order,
    PromptRead,
    RequestMetadata,
    ResponseMetadata,
)
from orchidpath.router.proxy.proxy_attempts import (
    Chosen,
    ForwardAttempts,
    ForwardEnvironment,
    RejectedDecisionError,
)
from orchidpath.router.proxy.proxy_messages import AnswerHead, ForwardedRequest
from orchidpath.router.proxy.proxy_server import CallerConnection, CallerDisconnectedError
from orchidpath.router.proxy.response_relay import AnswerRelay
from orchidpath.router.proxy.upstream import (
    BrokenAnswerError,
    NoConnectionError,
    UpstreamConnection,
    UpstreamError,
)
from orchidpath.routing.request.events import SendRefusal
from orchidpath.routing.ring import request_key
from orchidpath.wire.configuration import ForwardRoute, Repetition, ServiceKind
from orchidpath.wire.records import Stage

MAX_ROUNDS = 8
"""Decisions for one request, at most; connections that fail before a byte was sent are free."""

MAX_PROMPT_READ_BYTES = 65_536
"""A larger answer to a prompt read is malformed."""

RELEASE_TIMEOUT_SECONDS = 1.0
"""Bound on freeing a KV cache that nobody takes up; it lapses by itself otherwise."""

RETURN_TIME = ReturnTime()

NO_LEASE_RETURN_SECONDS = 1.0
"""A router that has lost its lease gets it back, or is taken out of use, within about this."""

UNANSWERABLE_GUARANTEES = frozenset({408, 421, 429, 503})
"""Statuses that promise "not run": they are never passed on from a worker that did not promise."""

_STATUS_BY_FINAL = {
    FinalOutcome.NOT_RUN: 503,
    FinalOutcome.BROKEN: 502,
    FinalOutcome.TIMED_OUT: 504,
}


class _PendingPrefill(msgspec.Struct, frozen=True):
    """A prompt that was read, and where its KV cache is.

    How the attempt ended for its worker is reported once the cache was taken up, or was not.
    """

    chosen: Chosen
    read: PromptRead


class ForwardRunner:
    """Serves one request.

    Parameters
    ----------
    environment
        What all runners share.
    request
        The request.
    facts
        What its headers say.
    route
        Its route.
    service
        Name of the service that answers it.
    caller
        Where its answer goes.
    """

    def __init__(
        self,
        environment: ForwardEnvironment,
        request: ForwardedRequest,
        request_metadata: RequestMetadata,
        route: ForwardRoute,
        service: str,
        caller: CallerConnection,
    ) -> None:
        self._environment = environment
        self._request = request
        self._request_metadata = request_metadata
        self._route = route
        self._service = service
        self._caller = caller
        self._clock = environment.clock
        seconds = route.timeout_seconds
        if request_metadata.deadline_seconds is not None:
            seconds = min(seconds, request_metadata.deadline_seconds)
        budget = environment.state.budget(service)
        budget.record_first_attempt(self._clock())
        self._progress = ForwardProgress(route, budget, request.received_at + seconds)
        self._is_model = environment.state.service_kind(service) is ServiceKind.MODEL
        self._model = environment.state.model_of(service, request_metadata.model)
        self._attempts = ForwardAttempts(environment, request_metadata, self._subject())
        self._prompt: _PendingPrefill | None = None
        # A short prompt is read by the decode worker itself, between the tokens of others.
        shortest = environment.state.configuration.admission.direct_prompt_tokens
        self._wants_pair = self._is_model and request_metadata.prompt_tokens > shortest
        self._is_prefill = self._wants_pair
        self._kv_transfer_was_lost = False
        self._answer = AnswerRelay(
            caller,
            may_be_resumed=route.streaming and route.repetition is Repetition.RESUMED,
        )

    async def run(self) -> None:
        """Serve the request to its end."""
        try:
            async with asyncio.timeout_at(self._progress.deadline):
                await self._run()
        except TimeoutError:
            self._progress.last_failure = FailureKind.TIMED_OUT
            self._give_up("the deadline has passed", 0.0)
        except RejectedDecisionError as given_up:
            self._give_up(str(given_up), given_up.retry_after_seconds)
        finally:
            self._release_handle()

    async def _run(self) -> None:
        for _ in range(MAX_ROUNDS):
            now = self._clock()
            reads = self._wants_prefill(now)
            if not reads and not self._may_leave_read_to_decode():
                raise RejectedDecisionError("the prompt can't be read now")
            chosen = await self._decide(reads)
            if chosen is None:
                continue
            prefill = chosen.get(Stage.PREFILL)
            if prefill is not None and not await self._start_prefill(prefill):
                continue
            stage = Stage.DECODE if self._is_model else Stage.PLAIN
            if await self._send(chosen[stage]):
                return
        raise RejectedDecisionError("no worker could be reached")

    # Decisions

    def _wants_prefill(self, now: float) -> bool:
        """Whether this round begins with reading the prompt on a worker of its own."""
        if not self._is_prefill or self._prompt is not None:
            return False
        state = self._environment.state
        if not state.selector.eligible(self._service, Stage.PREFILL, self._model):
            return False
        return self._progress.may_prefill(now)

    def _may_leave_read_to_decode(self) -> bool:
        """Whether a decode worker may read the prompt itself, if it still has to be read.

        Nothing else is taken up there meanwhile, so a long one is refused as long as prefill
        workers are there: the caller comes back.
        """
        if self._prompt is not None or not self._wants_pair or self._kv_transfer_was_lost:
            return True
        if self._answer.has_started:
            # The rest of a stream that broke off: it can't be refused any more.
            return True
        if self._request_metadata.prompt_tokens <= MAX_DECODE_SIDE_PREFILL_TOKENS:
            return True
        return not self._environment.state.selector.eligible(
            self._service, Stage.PREFILL, self._model
        )

    async def _decide(self, reads: bool) -> dict[Stage, Chosen] | None:
        """Have a worker chosen for each leg; None when the round is to be begun anew."""
        stages: tuple[Stage, ...] = (Stage.PLAIN,)
        if self._is_model:
            stages = (Stage.PREFILL, Stage.DECODE) if reads else (Stage.DECODE,)
        reader = self._prompt.chosen.worker.worker_id if self._prompt else ""
        try:
            return await self._attempts.decide(stages, reader)
        except RejectedDecisionError:
            if not reads:
                raise
            self._is_prefill = False
            return None

    def _subject(self) -> DecisionSubject:
        key = self._request_metadata.prefix_key
        if not self._route.prefix_affinity:
            key = request_key(self._request_metadata.request_id)
        return DecisionSubject(
            request_id=self._request_metadata.request_id,
            service=self._service,
            model=self._model,
            is_model=self._is_model,
            prefix_key=key,
            prompt=self._request_metadata.prompt if self._is_model else None,
        )

    # Prompt reads

    async def _start_prefill(self, chosen: Chosen) -> bool:
        """Have the prompt read; False when the round is to be begun anew."""
        seconds = self._progress.prompt_read_seconds(self._clock(), chosen.expected_read_seconds)
        try:
            async with asyncio.timeout(seconds):
                answer = await self._prompt_answer(chosen)
        except NoConnectionError:
            return self._prefill_failed(chosen, Observed.CONNECT_FAILED)
        except BrokenAnswerError:
            return self._prefill_failed(chosen, Observed.CONNECTION_RESET)
        except TimeoutError:
            return self._prefill_failed(chosen, Observed.TIMED_OUT)
        if answer is None:
            return False
        self._prompt = _PendingPrefill(chosen, answer)
        self._attempts.prompt_read(chosen)
        return True

    async def _prompt_answer(self, chosen: Chosen) -> PromptRead | None:
        order = self._order(chosen, is_prefill=True)
        address = chosen.address
        connection = await self._open(chosen, order)
        if connection is None:
            return None
        self._progress.prefill_dispatched()
        try:
            head, response_metadata = await self._own_answer(connection)
            body = await _full_body(connection)
        except BaseException:
            connection.close()
            raise
        self._environment.pool.release(address, connection)
        read = (
            self._environment.protocol_mapping.read_prompt_read(body)
            if head.status == 200
            else None
        )
        if read is None:
            self._prefill_failed(chosen, self._refusal_of(head, response_metadata), head.status)
        return read

    def _prefill_failed(
        self, chosen: Chosen, observed: Observed, status: int | None = None
    ) -> bool:
        if observed is not Observed.CONNECT_FAILED:
            self._progress.prefill_failed(self._clock())
        self._attempts.failed(chosen, observed, status)
        self._attempts.end_all(Observed.GATEWAY_FAULT)
        if not self._progress.has_workers_left():
            # A decode worker can read the prompt itself, without a further worker.
            self._is_prefill = False
        return False

    def _refusal_of(self, head: AnswerHead, response_metadata: ResponseMetadata) -> Observed:
        if response_metadata.guarantees_not_executed and head.status == 421:
            return Observed.GATEWAY_FAULT
        return Observed.HTTP_STATUS

    # Orders

    async def _send(self, chosen: Chosen) -> bool:
        """Send the request itself; False when another round is to be begun."""
        worker_id = chosen.worker.worker_id
        if not self._progress.may_send(worker_id, self._clock()):
            self._attempts.ended(chosen, Observed.GATEWAY_FAULT)
            raise RejectedDecisionError("no further attempt is allowed")
        try:
            connection = await self._open(chosen, self._order(chosen))
        except NoConnectionError:
            return self._order_failed(chosen, FailureKind.NOT_SENT, Observed.CONNECT_FAILED)
        if connection is None:
            return False
        self._progress.sent(worker_id)
        try:
            return await self._take_answer(chosen, connection)
        except BrokenAnswerError:
            connection.close()
            return self._order_failed(chosen, FailureKind.BROKEN, Observed.CONNECTION_RESET)
        except BaseException:
            connection.close()
            raise

    async def _take_answer(self, chosen: Chosen, connection: UpstreamConnection) -> bool:
        sent_at = self._clock()
        try:
            async with asyncio.timeout(self._progress.first_answer_seconds(sent_at)):
                head, response_metadata = await self._own_answer(connection)
                first = await connection.read_body()
        except TimeoutError:
            connection.close()
            return self._order_failed(chosen, FailureKind.TIMED_OUT, Observed.TIMED_OUT)
        delay_seconds = self._clock() - sent_at
        self._environment.decisions.observe_delay(
            chosen.worker.worker_id, self._request_metadata.request_id, delay_seconds
        )
        if response_metadata.guarantees_not_executed:
            await self._drop(chosen, connection, first)
            return self._refused(chosen, head, response_metadata)
        self._kv_transferred()
        if self._is_model:
            self._attempts.prompt_read(chosen)
        if not self._may_pass_on(head, response_metadata):
            connection.close()
            return self._order_failed(
                chosen, FailureKind.BROKEN, Observed.MALFORMED_PROTOCOL, head.status
            )
        await self._pass_on(chosen, connection, head, first, response_metadata.weights_version)
        return True

    def _may_pass_on(self, head: AnswerHead, response_metadata: ResponseMetadata) -> bool:
        """Whether an answer may reach the caller as it is."""
        if head.status in UNANSWERABLE_GUARANTEES or response_metadata.is_encoded:
            return False
        if self._answer.has_started:
            return head.status == 200 and response_metadata.is_signed
        if 200 <= head.status < 300:
            return response_metadata.is_signed
        may_repeat = self._route.repetition is not Repetition.NEVER
        return not (head.status >= 500 and may_repeat and self._progress.has_workers_left())

    async def _pass_on(
        self,
        chosen: Chosen,
        connection: UpstreamConnection,
        head: AnswerHead,
        first: bytes | None,
        weights_version: int | None,
    ) -> None:
        """Pass an answer on as it comes; from here on nothing else can be answered."""
        protocol_mapping = self._environment.protocol_mapping
        headers = protocol_mapping.answer_headers(head.headers, keep_signature=True)
        self._answer.begin(head.status, tuple(headers), weights_version)
        part = first
        while part is not None:
            self._answer.pass_on(part)
            part = await connection.read_body()
        self._answer.end()
        self._environment.pool.release(chosen.address, connection)
        if head.status >= 400:
            self._attempts.ended(chosen, Observed.HTTP_STATUS, head.status)
        else:
            self._attempts.ended(chosen, Observed.SUCCESS)
        self._environment.metrics.answered(self._route.name, str(head.status))

    def _refused(
        self, chosen: Chosen, head: AnswerHead, response_metadata: ResponseMetadata
    ) -> bool:
        """Take a worker's promise that it did not run the request."""
        is_full = response_metadata.load is not None and response_metadata.load.is_full
        had_source = chosen.stage is Stage.DECODE and self._prompt is not None
        if had_source and not is_full:
            # The KV cache could not be had. The worker itself can serve, and reads the prompt.
            self._kv_transfer_failed()
            self._kv_transfer_was_lost = True
            self._is_prefill = False
            return self._order_failed(
                chosen, FailureKind.REFUSED, Observed.KV_TRANSFER_UNDECIDED, is_retried=True
            )
        observed = Observed.GATEWAY_FAULT if head.status == 421 else Observed.HTTP_STATUS
        status = 429 if observed is Observed.HTTP_STATUS else None
        return self._order_failed(chosen, FailureKind.REFUSED, observed, status)

    def _order_failed(
        self,
        chosen: Chosen,
        kind: FailureKind,
        observed: Observed,
        status: int | None = None,
        *,
        is_retried: bool = False,
    ) -> bool:
        self._progress.failed(kind)
        if is_retried:
            self._attempts.ended(chosen, observed, status)
        else:
            self._attempts.failed(chosen, observed, status)
        if kind is not FailureKind.REFUSED and kind is not FailureKind.NOT_SENT:
            # Whatever was handed over is gone, or may be.
            self._kv_transferred()
            self._prompt = None
            self._is_prefill = self._wants_pair and self._progress.has_workers_left()
        if self._answer.has_started and not self._can_go_on():
            self._answer.close()
            raise CallerDisconnectedError("the answer was broken off")
        return False

    def _can_go_on(self) -> bool:
        """Whether another worker can go on with the answer that has begun."""
        return self._answer.broke_off() and self._progress.has_workers_left()

    def _order(self, chosen: Chosen, *, is_prefill: bool = False) -> Order:
        source = ""
        version = None
        if self._prompt is not None and not is_prefill:
            address = self._prompt.chosen.address
            source = self._environment.protocol_mapping.cache_source(
                address, self._prompt.read.handle
            )
            version = self._prompt.read.version
        if version is None and not is_prefill:
            version = self._answer.weights_version
        return Order(
            worker_id=chosen.worker.worker_id,
            deadline_seconds=self._progress.time_left(self._clock()),
            # Only prompt reads go by rank: at a decode worker the urgent preempt running streams.
            priority=self._route.priority if is_prefill else None,
            is_prefill=is_prefill,
            cache_source=source,
            expected_version=version,
            last_event_id="" if is_prefill else self._answer.last_event_id,
        )

    async def _open(self, chosen: Chosen, order: Order) -> UpstreamConnection | None:
        """Send an order on a connection; None if the last check before its first byte failed."""
        environment = self._environment
        worker = chosen.worker
        connection = await environment.pool.connection(
            chosen.address, environment.state.connection_limit(self._service)
        )
        refusal = environment.state.send_refusal(
            worker.worker_id, worker.incarnation, chosen.stage, self._clock()
        )
        if refusal is not None:
            environment.pool.release_unused(chosen.address, connection)
            self._send_refused(chosen, refusal)
            return None
        headers = environment.protocol_mapping.order_headers(self._request.headers, order)
        headers = [one for one in headers if one[0] != b"content-length"]
        if self._request.body:
            headers.append((b"content-length", b"%d" % len(self._request.body)))
        connection.send(self._request.method, self._request.target, headers, self._request.body)
        return connection

    def _send_refused(self, chosen: Chosen, refusal: SendRefusal) -> None:
        self._attempts.failed(chosen, Observed.GATEWAY_FAULT)
        if chosen.stage is Stage.PREFILL:
            self._attempts.end_all(Observed.GATEWAY_FAULT)
        if refusal is SendRefusal.NOT_FRESH:
            raise RejectedDecisionError(
                "this router holds no lease to serve", NO_LEASE_RETURN_SECONDS
            )

    async def _own_answer(
        self, connection: UpstreamConnection
    ) -> tuple[AnswerHead, ResponseMetadata]:
        """Return the head of the answer that belongs to this request, skipping foreign ones."""
        while True:
            head = await connection.read_head()
            response_metadata = self._environment.protocol_mapping.read_answer(
                head.status, head.headers
            )
            if response_metadata.request_id in {"", self._request_metadata.request_id}:
                return head, response_metadata
            while await connection.read_body() is not None:
                pass
            connection.skip_foreign_answer()

    async def _drop(
        self, chosen: Chosen, connection: UpstreamConnection, first: bytes | None
    ) -> None:
        """Read a refusal's body to its end, so that its connection can be used again."""
        try:
            part = first
            while part is not None:
                part = await connection.read_body()
        except UpstreamError:
            connection.close()
            return
        self._environment.pool.release(chosen.address, connection)

    # Ends

    def _give_up(self, reason: str, retry_after_seconds: float) -> None:
        if self._answer.has_started:
            self._answer.close()
            self._environment.metrics.answered(self._route.name, "broken_off")
            return
        final = self._progress.final_status()
        self._environment.metrics.answered(self._route.name, final.value)
        headers = [(b"content-type", b"text/plain")]
        if final is FinalOutcome.NOT_RUN:
            share = self._environment.random.random()
            seconds = RETURN_TIME.seconds(share, retry_after_seconds)
            headers.append((b"retry-after", b"%.2f" % seconds))
        self._caller.send_answer(_STATUS_BY_FINAL[final], headers, reason.encode())

    def _release_handle(self) -> None:
        """Report what still runs, and free a KV cache that nobody has taken up."""
        timed_out = self._progress.last_failure is FailureKind.TIMED_OUT
        self._attempts.end_all(Observed.TIMED_OUT if timed_out else Observed.CLIENT_CANCELLED)
        self._drop_prompt()

    def _kv_transferred(self) -> None:
        """Report that the KV cache of the prompt read was taken up."""
        if self._prompt is not None:
            self._attempts.ended(self._prompt.chosen, Observed.SUCCESS)

    def _kv_transfer_failed(self) -> None:
        """Charge the worker that has read the prompt: a decode worker with room could not fetch it.

        A link that fails is charged there too; when several decode workers fetch from it again,
        its first success clears what was counted.
        """
        if self._prompt is not None:
            self._attempts.ended(self._prompt.chosen, Observed.KV_TRANSFER_CHARGED)
        self._drop_prompt()

    def _drop_prompt(self) -> None:
        prompt, self._prompt = self._prompt, None
        if prompt is not None and not self._answer.has_started:
            self._environment.tasks.spawn(self._release(prompt))

    async def _release(self, prompt: _PendingPrefill) -> None:
        address = prompt.chosen.address
        target = self._environment.protocol_mapping.release_target(prompt.read.handle)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                connection = await self._environment.pool.connection(address, 0)
                connection.send(b"DELETE", target, [(b"host", address.encode())], b"")
                await connection.read_head()
                await _full_body(connection)
        except (UpstreamError, TimeoutError):
            return
        self._environment.pool.release(address, connection)


async def _full_body(connection: UpstreamConnection) -> bytes:
    body = bytearray()
    while (part := await connection.read_body()) is not None:
        body += part
        if len(body) > MAX_PROMPT_READ_BYTES:
            raise BrokenAnswerError("the answer is too large")
    return bytes(body)

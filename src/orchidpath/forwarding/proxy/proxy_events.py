"""Inputs of the state machine of a forwarded request: its initial properties and its events.

The state machine (:mod:`.proxy_machine`) makes the decisions; the router's shell sends, reads and
waits. The machine returns the effects of :mod:`.proxy_effects`.
"""

from collections.abc import Callable, Mapping
from random import Random

import msgspec

from orchidpath.routing.request.events import SendRefusal
from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.wire.configuration import ForwardRoute
from orchidpath.wire.records import Stage, WorkerRecord


class ProxyPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a request that the state machine needs before the first round.

    Attributes
    ----------
    request_id
        Id of the request, which is the prefix of its attempt ids.
    route
        Route of the request, which sets the retry rules.
    is_model
        Whether the service runs a model in a prefill and a decode stage.
    prompt_tokens
        Length of the prompt in tokens.
    wants_prefill_stage
        Whether the prompt is long enough for a prefill worker.
    max_decode_side_prefill_tokens
        Maximum length in tokens of a prompt that a decode worker prefills while prefill workers are
        available.
    deadline
        Monotonic time by which the caller must have a response, in seconds.
    """

    request_id: str
    route: ForwardRoute
    is_model: bool
    prompt_tokens: int
    wants_prefill_stage: bool
    max_decode_side_prefill_tokens: int
    deadline: float


class ProxyShared(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies of the state machine beyond the single request.

    ``has_prefill_workers`` returns whether the service of the request currently has an eligible
    prefill worker.
    """

    retry_budget: RetryBudget
    random: Random
    has_prefill_workers: Callable[[], bool]


class ChosenWorker(msgspec.Struct, frozen=True):
    """A worker that was selected for one stage of an attempt; times are in seconds."""

    attempt_id: str
    stage: Stage
    worker: WorkerRecord
    probe_generation: int | None
    chosen_at: float
    expected_prefill_seconds: float = 0.0

    @property
    def address(self) -> str:
        """``IP:port`` of the worker."""
        return self.worker.url.removeprefix("http://")


class RequestStarted(msgspec.Struct, frozen=True):
    """The request was read completely and may be served."""


class WorkersChosen(msgspec.Struct, frozen=True):
    """A worker was selected for each stage.

    The prefill stage is missing if the decode worker is to prefill the prompt.
    """

    workers: Mapping[Stage, ChosenWorker]


class ChosenWorkerRemoved(msgspec.Struct, frozen=True):
    """A selected worker is no longer registered at this router; the others were released."""


class DecisionPostponed(msgspec.Struct, frozen=True):
    """The leader postponed the decision; request it again after ``retry_after_seconds``."""

    retry_after_seconds: float


class DecisionRejected(msgspec.Struct, frozen=True):
    """No worker may be tried now; ``retry_after_seconds`` is 0 if the waiting time is unknown."""

    reason: str
    retry_after_seconds: float = 0.0


class WaitElapsed(msgspec.Struct, frozen=True):
    """The time of a :class:`~.proxy_effects.Wait` has passed."""


class ConnectFailed(msgspec.Struct, frozen=True):
    """No connection to the worker could be established, so no byte was sent."""


class SendRefused(msgspec.Struct, frozen=True):
    """The last check before the first byte failed, so no byte was sent."""

    refusal: SendRefusal


class Dispatched(msgspec.Struct, frozen=True):
    """The request, or its prefill, was sent to the worker."""


class PrefillSucceeded(msgspec.Struct, frozen=True):
    """The worker holds the KV cache of the prompt under a handle."""

    handle: str
    weights_version: int | None


class PrefillRejected(msgspec.Struct, frozen=True):
    """The worker responded to a prefill without a handle."""

    status: int
    guarantees_not_executed: bool


class HeadReceived(msgspec.Struct, frozen=True, kw_only=True):
    """The head of the worker's response and the first bytes of its body were received.

    ``is_full`` is true if the worker reported that it has no capacity for a further request.
    """

    status: int
    guarantees_not_executed: bool
    is_signed: bool
    is_encoded: bool
    is_full: bool
    weights_version: int | None


class RefusalDrained(msgspec.Struct, frozen=True):
    """The rest of a response that guarantees not-executed was read."""


class ExchangeBroken(msgspec.Struct, frozen=True):
    """The connection failed, or the response violates HTTP."""


class ExchangeTimedOut(msgspec.Struct, frozen=True):
    """The worker did not respond before its timeout."""


class ResponseCompleted(msgspec.Struct, frozen=True):
    """The complete response was relayed to the caller."""


class StreamBroken(msgspec.Struct, frozen=True):
    """The worker's response was interrupted after its head had been relayed."""

    is_resumable: bool
    last_event_id: str


class DeadlinePassed(msgspec.Struct, frozen=True):
    """The request's deadline has passed; the operation in progress was cancelled."""


class InternalErrorOccurred(msgspec.Struct, frozen=True):
    """An unexpected error ended the operation in progress, at an unknown point."""


class RequestClosed(msgspec.Struct, frozen=True):
    """The request is over: it was answered or abandoned, or its caller disconnected."""


ProxyEvent = (
    RequestStarted
    | WorkersChosen
    | ChosenWorkerRemoved
    | DecisionPostponed
    | DecisionRejected
    | WaitElapsed
    | ConnectFailed
    | SendRefused
    | Dispatched
    | PrefillSucceeded
    | PrefillRejected
    | HeadReceived
    | RefusalDrained
    | ExchangeBroken
    | ExchangeTimedOut
    | ResponseCompleted
    | StreamBroken
    | DeadlinePassed
    | InternalErrorOccurred
    | RequestClosed
)

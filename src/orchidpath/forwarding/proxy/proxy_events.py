"""What the machine of a forwarded request starts from, and the events that it takes.

All of them are plain values: the machine (:mod:`.proxy_machine`) decides, the router's shell
sends, reads and waits. Its answers are the effects in :mod:`.proxy_effects`.
"""

from collections.abc import Callable, Mapping
from random import Random

import msgspec

from orchidpath.routing.request.events import SendRefusal
from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.wire.configuration import ForwardRoute
from orchidpath.wire.records import Stage, WorkerRecord


class ProxyPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What the machine must know of a request before its first round.

    Attributes
    ----------
    request_id
        Id of the request; ids of attempts begin with it.
    route
        The route whose rules hold for it.
    is_model
        Whether its service runs a model, in a prefill and a decode stage.
    prompt_tokens
        Size of its prompt, in tokens.
    wants_prefill_stage
        Whether the prompt is long enough for a prefill worker.
    max_decode_side_prefill_tokens
        A longer prompt is not prefilled on a decode worker while prefill workers are there.
    deadline
        Monotonic time by which it must be answered, in seconds.
    """

    request_id: str
    route: ForwardRoute
    is_model: bool
    prompt_tokens: int
    wants_prefill_stage: bool
    max_decode_side_prefill_tokens: int
    deadline: float


class ProxyShared(msgspec.Struct, frozen=True, kw_only=True):
    """What the machines of one router share.

    ``has_prefill_workers`` tells whether the request's service has an eligible prefill worker now.
    """

    retry_budget: RetryBudget
    random: Random
    has_prefill_workers: Callable[[], bool]


class ChosenWorker(msgspec.Struct, frozen=True):
    """A worker that was chosen for one stage of an attempt; times are in seconds."""

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


# Events


class RequestStarted(msgspec.Struct, frozen=True):
    """The request was read whole, and may be served."""


class WorkersChosen(msgspec.Struct, frozen=True):
    """A worker was chosen for each stage; none for a prefill that is left to the decode worker."""

    workers: Mapping[Stage, ChosenWorker]


class ChosenWorkerRemoved(msgspec.Struct, frozen=True):
    """One of the chosen workers is not known here any more; the others were given back."""


class DecisionPostponed(msgspec.Struct, frozen=True):
    """The decision is to be asked for again after a time."""

    retry_after_seconds: float


class DecisionRejected(msgspec.Struct, frozen=True):
    """No worker may be tried now; ``retry_after_seconds`` is 0 when nothing is known of when."""

    reason: str
    retry_after_seconds: float = 0.0


class WaitElapsed(msgspec.Struct, frozen=True):
    """The time of a :class:`~.proxy_effects.Wait` has passed."""


class ConnectFailed(msgspec.Struct, frozen=True):
    """No connection to the worker could be had, so no byte was sent."""


class SendRefused(msgspec.Struct, frozen=True):
    """The last check before the first byte failed, so no byte was sent."""

    refusal: SendRefusal


class Dispatched(msgspec.Struct, frozen=True):
    """The request has left this router."""


class PrefillSucceeded(msgspec.Struct, frozen=True):
    """The worker holds the KV cache of the prompt under a handle."""

    handle: str
    weights_version: int | None


class PrefillRejected(msgspec.Struct, frozen=True):
    """The worker answered a prefill without a handle."""

    status: int
    guarantees_not_executed: bool


class HeadReceived(msgspec.Struct, frozen=True, kw_only=True):
    """The head of the worker's answer, and the first bytes of its body, are there.

    ``is_full`` says that the worker has no room for a further request, as far as it tells.
    """

    status: int
    guarantees_not_executed: bool
    is_signed: bool
    is_encoded: bool
    is_full: bool
    weights_version: int | None


class RefusalDrained(msgspec.Struct, frozen=True):
    """The rest of an answer that guarantees not-executed was read."""


class ExchangeBroken(msgspec.Struct, frozen=True):
    """The connection failed, or what came is not an answer that HTTP allows."""


class ExchangeTimedOut(msgspec.Struct, frozen=True):
    """The worker did not answer in the time that it was given."""


class ResponseCompleted(msgspec.Struct, frozen=True):
    """The whole answer was passed on to the caller."""


class StreamBroken(msgspec.Struct, frozen=True):
    """The worker broke off after the head of its answer was passed on."""

    is_resumable: bool
    last_event_id: str


class DeadlinePassed(msgspec.Struct, frozen=True):
    """The request's deadline has passed; what was under way was stopped."""


class RequestClosed(msgspec.Struct, frozen=True):
    """Nothing more is done for the request: it was answered, given up, or its caller left."""


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
    | RequestClosed
)

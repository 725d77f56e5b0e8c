"""Effects that the state machine of a forwarded request returns (:mod:`.proxy_machine`).

There are two kinds of effects. The router's shell executes an action at once; an operation takes
time and ends with one event. The machine never has more than one operation in progress.
"""

import msgspec

from orchidpath.circuit.classification import Observed
from orchidpath.forwarding.proxy.proxy_events import ChosenWorker
from orchidpath.routing.request.events import StageTried


class ChooseWorkers(msgspec.Struct, frozen=True, kw_only=True):
    """Request a worker for each stage; ``may_wait`` allows the leader to postpone the decision."""

    attempt_id: str
    per_stage: tuple[StageTried, ...]
    prefill_worker_id: str
    may_wait: bool


class Wait(msgspec.Struct, frozen=True):
    """Wait for ``seconds``, then emit :class:`~.proxy_events.WaitElapsed`."""

    seconds: float


class KvSource(msgspec.Struct, frozen=True):
    """Location of a KV cache: the address of the prefill worker that holds it, and its handle."""

    address: str
    handle: str


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Connect to a worker and send it the request, or only its prefill.

    Attributes
    ----------
    target
        The worker.
    deadline_seconds
        Time that the worker may spend on the request, in seconds.
    priority
        Priority among the requests of the worker; None to send no priority.
    is_prefill
        Whether only the prefill is requested.
    kv_source
        Where the worker fetches the KV cache of the prompt; None if the worker prefills itself.
    expected_version
        Weights version that must serve the request; None for any version.
    last_event_id
        Id of the event after which a stream is resumed; empty to use the value that the caller
        sent.
    timeout_at
        Monotonic time in seconds at which connecting times out; None for no separate timeout.
    """

    target: ChosenWorker
    deadline_seconds: float
    priority: int | None = None
    is_prefill: bool = False
    kv_source: KvSource | None = None
    expected_version: int | None = None
    last_event_id: str = ""
    timeout_at: float | None = None


class AwaitPrefill(msgspec.Struct, frozen=True):
    """Read the response to a prefill, until the monotonic time ``timeout_at`` in seconds."""

    timeout_at: float


class AwaitHead(msgspec.Struct, frozen=True):
    """Read the head of the response and the first bytes of its body."""

    timeout_seconds: float


class DrainRefusal(msgspec.Struct, frozen=True):
    """Read the rest of a refusal, so that its connection can be reused."""


class RelayResponse(msgspec.Struct, frozen=True):
    """Relay the response to the caller as it arrives."""


ProxyOperation = (
    ChooseWorkers | Wait | Dispatch | AwaitPrefill | AwaitHead | DrainRefusal | RelayResponse
)

OPERATIONS = (ChooseWorkers, Wait, Dispatch, AwaitPrefill, AwaitHead, DrainRefusal, RelayResponse)
"""The types of `ProxyOperation` as a tuple, because ``isinstance`` is slower with a union."""


class Report(msgspec.Struct, frozen=True):
    """Report the outcome of an attempt for one worker, unless it was already reported."""

    chosen: ChosenWorker
    observed: Observed
    status: int | None = None


class ReportRemaining(msgspec.Struct, frozen=True):
    """Report the same outcome for every worker whose outcome was not reported yet."""

    observed: Observed


class RecordPrefillDone(msgspec.Struct, frozen=True):
    """Notify the leader that a worker holds the KV cache of the prompt; its attempt continues."""

    chosen: ChosenWorker


class RecordDelay(msgspec.Struct, frozen=True):
    """Record the time in seconds from a dispatch to the first bytes of the worker's response."""

    worker_id: str
    seconds: float


class AbortConnection(msgspec.Struct, frozen=True):
    """Close the connection of the last dispatch, if it is open."""


class ReleaseHandle(msgspec.Struct, frozen=True):
    """Release a KV cache that no worker will fetch."""

    source: KvSource


class CountOutcome(msgspec.Struct, frozen=True):
    """Count the request in the metrics under its outcome."""

    outcome: str


class SendErrorResponse(msgspec.Struct, frozen=True):
    """Send the caller an error response from the router.

    The response has no Retry-After header if ``retry_after_seconds`` is None.
    """

    status: int
    reason: str
    retry_after_seconds: float | None


class AbortResponse(msgspec.Struct, frozen=True):
    """Close the caller's connection during the response, so that the caller detects the failure."""


class DisconnectCaller(msgspec.Struct, frozen=True):
    """Treat the caller as disconnected: no further request is read from its connection."""


ProxyAction = (
    Report
    | ReportRemaining
    | RecordPrefillDone
    | RecordDelay
    | AbortConnection
    | ReleaseHandle
    | CountOutcome
    | SendErrorResponse
    | AbortResponse
    | DisconnectCaller
)

ProxyEffect = ProxyAction | ProxyOperation

"""Effects out of the machine of a forwarded request (:mod:`.proxy_machine`).

Effects are of two kinds: actions, which the shell carries out at once, and operations, which take
time and end in one event. The machine never has more than one operation under way.
"""

import msgspec

from orchidpath.circuit.classification import Observed
from orchidpath.forwarding.proxy.proxy_events import ChosenWorker
from orchidpath.routing.request.events import StageTried

# Operations: each takes time and ends in one event


class ChooseWorkers(msgspec.Struct, frozen=True, kw_only=True):
    """Have a worker chosen for each stage; ``may_wait`` allows the leader to postpone it."""

    attempt_id: str
    per_stage: tuple[StageTried, ...]
    prefill_worker_id: str
    may_wait: bool


class Wait(msgspec.Struct, frozen=True):
    """Let a time pass."""

    seconds: float


class KvSource(msgspec.Struct, frozen=True):
    """The KV cache that a prefill worker keeps under a handle."""

    address: str
    handle: str


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Connect to a worker and send it the request, or its prefill.

    Attributes
    ----------
    target
        The worker.
    deadline_seconds
        How long the worker may work on it.
    priority
        Rank among a worker's requests; None to leave it out.
    is_prefill
        Whether only the prefill is asked for.
    kv_source
        Where the worker fetches the KV cache of the prompt; None when it prefills itself.
    expected_version
        Version of the weights that must answer; None for any.
    last_event_id
        Event after which a stream is resumed; empty to leave it to what the caller said.
    timeout_at
        Monotonic time at which the connection is given up; None for no bound of its own.
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
    """Read the answer to a prefill, until a monotonic time at the latest."""

    timeout_at: float


class AwaitHead(msgspec.Struct, frozen=True):
    """Read the head of the answer and the first bytes of its body."""

    timeout_seconds: float


class DrainRefusal(msgspec.Struct, frozen=True):
    """Read the rest of a refusal, so that its connection can be used again."""


class RelayResponse(msgspec.Struct, frozen=True):
    """Pass the answer on to the caller as it comes."""


ProxyOperation = (
    ChooseWorkers | Wait | Dispatch | AwaitPrefill | AwaitHead | DrainRefusal | RelayResponse
)

OPERATIONS = (ChooseWorkers, Wait, Dispatch, AwaitPrefill, AwaitHead, DrainRefusal, RelayResponse)
"""The same for ``isinstance``, which takes longer with a union."""


# Actions: each is carried out at once


class Report(msgspec.Struct, frozen=True):
    """Report how an attempt ended for one worker, unless that was reported before."""

    chosen: ChosenWorker
    observed: Observed
    status: int | None = None


class ReportRest(msgspec.Struct, frozen=True):
    """Report the same end for every worker whose end was not reported yet."""

    observed: Observed


class RecordPrefillDone(msgspec.Struct, frozen=True):
    """Tell the leader that a worker holds the KV cache of the prompt; its attempt goes on."""

    chosen: ChosenWorker


class RecordDelay(msgspec.Struct, frozen=True):
    """Note how long a worker took to the first bytes of its answer."""

    worker_id: str
    seconds: float


class AbortConnection(msgspec.Struct, frozen=True):
    """Close the connection that the last request was dispatched on, if there is one."""


class ReleaseHandle(msgspec.Struct, frozen=True):
    """Free a KV cache that no worker will fetch."""

    source: KvSource


class CountOutcome(msgspec.Struct, frozen=True):
    """Count the request in the metrics."""

    outcome: str


class SendErrorResponse(msgspec.Struct, frozen=True):
    """Answer the caller in place of a worker; without Retry-After when that is None."""

    status: int
    reason: str
    retry_after_seconds: float | None


class AbortResponse(msgspec.Struct, frozen=True):
    """Close the caller's connection in the middle of its answer, so that it looks broken."""


class DropCaller(msgspec.Struct, frozen=True):
    """Take the caller as disconnected: no further request is read from its connection."""


ProxyAction = (
    Report
    | ReportRest
    | RecordPrefillDone
    | RecordDelay
    | AbortConnection
    | ReleaseHandle
    | CountOutcome
    | SendErrorResponse
    | AbortResponse
    | DropCaller
)

ProxyEffect = ProxyAction | ProxyOperation

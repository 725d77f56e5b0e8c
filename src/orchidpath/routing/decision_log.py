"""Line formats of a router's decision log: decisions, the states they used, and their outcomes.

The module does no input or output. Each line is a JSON object whose ``type`` names its format.
``at_seconds`` is the router's monotonic clock: it orders the lines and is the virtual time of a
replay (:mod:`orchidpath.tools.decision_replay`). ``time`` is the wall clock, for human readers
only. No prompt, body or tenant is logged.

The log contains the decisions and reports of one router. It contains neither the reports of other
routers, nor the neutral reports about a leader's reply that arrived too late to be used.
"""

from enum import StrEnum

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import (
    AttemptEffect,
    CandidateState,
    Choice,
    Rejection,
    StageCandidates,
)
from orchidpath.wire.records import Stage

MAX_LINE_BYTES = 1024 * 1024
"""Upper bound of a line; a longer one is damaged, as the candidates of a decision are bounded."""


class DamagedLineError(OrchidpathError):
    """The line is not a valid line of a decision log."""


class DecidedBy(StrEnum):
    """The process whose state a decision was made on."""

    LEADER = "leader"
    """The state of the control leader."""
    ROUTER = "router"
    """The last state that the router has: the leader did not reply, or there was no candidate."""


class PolicyLine(msgspec.Struct, frozen=True, kw_only=True, tag="policy"):
    """The policy that applies to the lines below; written at each start, change and new file.

    Attributes
    ----------
    time
        Wall clock time in ISO 8601.
    at_seconds
        Monotonic clock of the router, in seconds.
    router_id
        Id of the router.
    incarnation
        Identifier of this start of the router process.
    configuration_version
        Version of the adopted configuration.
    circuit
        Circuit breaker policy of that configuration.
    load_bound_factor
        Factor of the load bound in that configuration.
    """

    time: str
    at_seconds: float
    router_id: str
    incarnation: str
    configuration_version: int
    circuit: CircuitPolicy
    load_bound_factor: float


class DecisionLine(msgspec.Struct, frozen=True, kw_only=True, tag="decision"):
    """A routing decision, with the states of the candidates that it was made on.

    Attributes
    ----------
    time, at_seconds
        As in :class:`PolicyLine`; the time at which the router had the decision.
    request_id, attempt_id, service
        The attempt that the decision is for.
    configuration_version
        Version of the configuration that the router applied.
    per_stage
        Candidates and tried workers of each stage; written as ``legs``.
    decided_by
        The process whose state ``states`` is.
    term
        Term of the leader that replied, or of the leader whose circuits the router last received.
    states
        States of the candidates; a candidate without a state was not eligible.
    choices
        The chosen workers; empty for a rejection.
    rejection
        Reason of a rejection; written as ``denial``.
    retry_after_seconds
        Time in seconds after which to retry a rejected request.
    """

    time: str
    at_seconds: float
    request_id: str
    attempt_id: str
    service: str
    configuration_version: int
    per_stage: tuple[StageCandidates, ...] = msgspec.field(name="legs")
    decided_by: DecidedBy
    term: int = 0
    states: tuple[CandidateState, ...] = ()
    choices: tuple[Choice, ...] = ()
    rejection: Rejection = msgspec.field(default=Rejection.NONE, name="denial")
    retry_after_seconds: float = 0.0


class ReportLine(msgspec.Struct, frozen=True, kw_only=True, tag="report"):
    """The outcome of an attempt for one worker.

    Attributes
    ----------
    time, at_seconds
        As in :class:`PolicyLine`; the time at which the router reported the outcome.
    request_id, attempt_id, worker_id, stage
        The attempt and the worker that the outcome belongs to.
    effect
        The effect that was reported to the leader.
    reason
        Description of the observation that the effect is based on.
    latency_seconds
        Time in seconds from the dispatch to its end; 0 if nothing was dispatched.
    probe_generation
        Generation of the worker's probe if the attempt was that probe, otherwise None.
    """

    time: str
    at_seconds: float
    request_id: str
    attempt_id: str
    worker_id: str
    stage: Stage
    effect: AttemptEffect
    reason: str = ""
    latency_seconds: float = 0.0
    probe_generation: int | None = None


class DroppedLine(msgspec.Struct, frozen=True, kw_only=True, tag="dropped"):
    """Lines that are missing here, because the disk was too slow or a write failed.

    Attributes
    ----------
    count
        Number of missing lines.
    """

    count: int


LogLine = PolicyLine | DecisionLine | ReportLine | DroppedLine
"""Any line of a decision log."""

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[LogLine] = msgspec.json.Decoder(LogLine)


def encode_line(line: LogLine) -> bytes:
    """Return a line encoded for the log.

    Parameters
    ----------
    line
        The line to encode.

    Returns
    -------
    bytes
        The JSON object and a newline.
    """
    return _encoder.encode(line) + b"\n"


def decode_line(content: bytes) -> LogLine:
    """Decode one line of the log.

    Parameters
    ----------
    content
        The bytes of the line, with or without its newline.

    Returns
    -------
    LogLine
        The decoded line.

    Raises
    ------
    DamagedLineError
        If the content is too long, is not valid JSON, or is not a line of a decision log.
    """
    if len(content) > MAX_LINE_BYTES:
        raise DamagedLineError(f"longer than the limit of {MAX_LINE_BYTES} bytes")
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError as error:
        raise DamagedLineError(" ".join(str(error).split())) from error
    except RecursionError as error:
        raise DamagedLineError("JSON is nested too deeply to decode") from error

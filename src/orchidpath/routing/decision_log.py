"""Lines of a router's decision log: what was decided on which state, and how it went; pure.

One JSON object a line, told apart by ``type``. ``at_seconds`` is the router's monotonic clock: it
orders the lines and is the virtual time of a replay (:mod:`orchidpath.tools.decision_replay`).
``time`` is the wall clock and only for people. No prompt, body or tenant is logged.

The log of one router holds its own decisions and reports. It does not hold other routers' reports,
nor the neutral reports about a leader's answer that came too late to be used.
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
"""A longer line is damage: a decision has a bounded number of candidates."""


class DamagedLineError(OrchidpathError):
    """The line is not one of a decision log."""


class DecidedBy(StrEnum):
    """Whose state a decision was made on."""

    LEADER = "leader"
    ROUTER = "router"
    """The router's last known state: the leader gave no answer, or there was nobody to choose."""


class PolicyLine(msgspec.Struct, frozen=True, kw_only=True, tag="policy"):
    """Policy applied from here on: at each start, change, and beginning of a file.

    Attributes
    ----------
    time
        Wall clock, ISO 8601.
    at_seconds
        Monotonic clock of the router.
    router_id
        The router.
    incarnation
        New for each start of the router's process.
    configuration_version
        Version of the adopted configuration.
    circuit
        Its figures of the circuits.
    load_bound_factor
        Its factor of the load bound.
    """

    time: str
    at_seconds: float
    router_id: str
    incarnation: str
    configuration_version: int
    circuit: CircuitPolicy
    load_bound_factor: float


class DecisionLine(msgspec.Struct, frozen=True, kw_only=True, tag="decision"):
    """One decision, with the candidates' states as they were read for it.

    Attributes
    ----------
    time, at_seconds
        As in :class:`PolicyLine`; when the router had the decision.
    request_id, attempt_id, service
        What was decided about.
    configuration_version
        Version of the configuration that the router applied.
    stages
        Candidates and tried workers of each stage.
    decided_by
        Whose state ``states`` is.
    term
        Term of the leader that answered, or whose circuits were last known.
    states
        The candidates as read; one that is missing here was not eligible.
    choices
        The chosen workers; empty for a rejection.
    rejection
        Why there is no choice.
    retry_after_seconds
        When to come back after a rejection.
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
    """How an attempt ended for one worker.

    Attributes
    ----------
    time, at_seconds
        As in :class:`PolicyLine`; when the router reported it.
    request_id, attempt_id, worker_id, stage
        What is reported on.
    effect
        What the leader was told.
    reason
        The observation behind it, in words.
    latency_seconds
        From the order to its end; 0 when no order was sent.
    probe_generation
        Set when the attempt was the worker's probe.
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
    """Lines are missing here, because the disk was slow or refused them.

    Attributes
    ----------
    count
        How many.
    """

    count: int


LogLine = PolicyLine | DecisionLine | ReportLine | DroppedLine
"""Any line of a decision log."""

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[LogLine] = msgspec.json.Decoder(LogLine)


def encode_line(line: LogLine) -> bytes:
    """Return a line with its end.

    Parameters
    ----------
    line
        The line.

    Returns
    -------
    bytes
        JSON and a newline.
    """
    return _encoder.encode(line) + b"\n"


def decode_line(content: bytes) -> LogLine:
    """Read one line.

    Parameters
    ----------
    content
        The bytes of the line, with or without its end.

    Returns
    -------
    LogLine
        The line.

    Raises
    ------
    DamagedLineError
        If it is anything else.
    """
    if len(content) > MAX_LINE_BYTES:
        raise DamagedLineError(f"longer than {MAX_LINE_BYTES} bytes")
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError as error:
        raise DamagedLineError(" ".join(str(error).split())) from error
    except RecursionError as error:
        raise DamagedLineError("nested too deeply") from error

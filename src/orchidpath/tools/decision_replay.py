"""Replays a decision log and shows where an outcome would differ under another policy; pure.

Two replays run side by side in the log's own time: the *reference* under the policy of the log,
and the *alternative* under the policy given.

What the log determines: the leader's decisions, since each line holds every candidate's state as
it was read. The reference must therefore choose what the leader chose; where it does not, the
decision is reported as unexplained.

What the log does not determine, and how it is treated:

- Other routers' reports and the transitions that they cause. Where a recorded status is not what
  the reference has come to, the recorded one is taken over; the alternative takes it over too
  while its circuit of that worker is the same as the reference's, and keeps its own otherwise.
- Attempts in flight, health, eligibility and capacity circuits: as recorded, in both replays.
  Throttle figures therefore make no difference here.
- Jitter of cooldowns: the middle of its range, until a recorded wait tells.
- What a worker would have answered that only the alternative chose: counted as neutral. Reports
  on a worker that the alternative did not choose are not counted there.
- A repeated answer to a repeated question, which carries no states: not compared.
- Decisions that the router made from its last known state: not compared; their reports count.
- A worker whose circuit and whose domain's capacity circuit are open at once: the log has one wait
  for both, and it is taken as the circuit's, so that the kind of a rejection may differ.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from enum import StrEnum

import msgspec

from orchidpath.routing.decision_log import (
    DamagedLineError,
    DecidedBy,
    DecisionLine,
    DroppedLine,
    LogLine,
    PolicyLine,
    ReportLine,
    decode_line,
)
from orchidpath.tools.replay_table import ReplayTable
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import (
    AttemptEffect,
    AttemptReport,
    CandidateState,
    Choice,
    DecisionReply,
)
from orchidpath.wire.records import CircuitStatus

TIMER_TOLERANCE_SECONDS = 0.001
"""Waits that differ by less are the same: they were read at slightly different times."""


MAX_REMEMBERED_ATTEMPTS = 65_536
"""Attempts whose choice is remembered until their reports come."""


class ReplayPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The figures that a replay runs under."""

    circuit: CircuitPolicy
    load_bound_factor: float


class DifferenceKind(StrEnum):
    """In what way an outcome differs."""

    OTHER_WORKER = "other_worker"
    DENIED = "denied"
    ALLOWED = "allowed"
    OTHER_DENIAL = "other_denial"
    CIRCUIT = "circuit"
    UNEXPLAINED = "unexplained"
    """The replay under the log's own policy did not come to the leader's decision."""


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """One outcome that differs: what the log says, and what the replay came to."""

    line: int
    time: str
    kind: DifferenceKind
    subject: str
    recorded: str
    replayed: str


class DamagedLine(msgspec.Struct, frozen=True, kw_only=True):
    """A line that could not be read."""

    line: int
    problem: str


class ReplayResult(msgspec.Struct, kw_only=True):
    """What a replay found."""

    lines: int = 0
    decisions: int = 0
    compared: int = 0
    decided_by_router: int = 0
    not_determined: int = 0
    reports: int = 0
    agreed: int = 0
    inherited: int = msgspec.field(default=0, name="taken_over")
    dropped_lines: int = 0
    damaged: list[DamagedLine] = []
    differences: list[Difference] = []


def replay_log(lines: Iterable[bytes], policy: ReplayPolicy | None = None) -> ReplayResult:
    """Replay a log.

    Parameters
    ----------
    lines
        Lines of the log, in order.
    policy
        Policy of the alternative; None replays under the policy of the log only.

    Returns
    -------
    ReplayResult
        Counts, damaged lines and every difference.
    """
    run = _Replay(policy)
    for number, content in enumerate(lines, start=1):
        if not content.strip():
            continue
        run.result.lines += 1
        try:
            line = decode_line(content)
        except DamagedLineError as error:
            run.result.damaged.append(DamagedLine(line=number, problem=str(error)))
            continue
        run.take(number, line)
    return run.result


class _Replay:
    """State of one run over a log."""

    def __init__(self, policy: ReplayPolicy | None) -> None:
        self.result = ReplayResult()
        self._policy = policy
        self._incarnation: str | None = None
        self._shown: dict[str, tuple[CircuitStatus, CircuitStatus]] = {}
        self._alternative_chose: OrderedDict[str, frozenset[str]] = OrderedDict()
        first = ReplayPolicy(circuit=CircuitPolicy(), load_bound_factor=1.25)
        self._start(first)

    def take(self, number: int, line: LogLine) -> None:
        """Take the next line."""
        match line:
            case PolicyLine():
                self._apply_policy(line)
            case DecisionLine():
                self._take_decision(number, line)
            case ReportLine():
                self._take_report(number, line)
            case DroppedLine():
                self.result.dropped_lines += line.count

    def _start(self, recorded: ReplayPolicy) -> None:
        alternative = self._policy or recorded
        self._reference = ReplayTable(recorded.circuit, recorded.load_bound_factor)
        self._alternative = ReplayTable(alternative.circuit, alternative.load_bound_factor)
        self._shown.clear()
        self._alternative_chose.clear()

    def _apply_policy(self, line: PolicyLine) -> None:
        if line.incarnation != self._incarnation:
            # Another process, whose clock has nothing to do with that of the one before.
            self._incarnation = line.incarnation
            self._start(
                ReplayPolicy(circuit=line.circuit, load_bound_factor=line.load_bound_factor)
            )
            return
        self._reference.set_policy(line.circuit, line.load_bound_factor)
        if self._policy is None:
            self._alternative.set_policy(line.circuit, line.load_bound_factor)

    def _take_decision(self, number: int, line: DecisionLine) -> None:
        self.result.decisions += 1
        if line.decided_by is DecidedBy.ROUTER:
            self.result.decided_by_router += 1
            return
        if not _is_determined(line):
            self.result.not_determined += 1
            return
        self.result.compared += 1
        for state in line.states:
            self._take_over(state, line)
        reference = self._reference.decide_line(line)
        if _outcome(reference) == _outcome(line):
            self.result.agreed += 1
        else:
            self._add(number, line, DifferenceKind.UNEXPLAINED, reference)
        if self._policy is None:
            return
        alternative = self._alternative.decide_line(line)
        self._record_choices(line, alternative)
        kind = _kind(line, alternative)
        if kind is not None:
            self._add(number, line, kind, alternative)
        self._compare_circuits(number, line, [state.worker_id for state in line.states])

    def _take_report(self, number: int, line: ReportLine) -> None:
        self.result.reports += 1
        report = AttemptReport(
            request_id=line.request_id,
            attempt_id=line.attempt_id,
            worker_id=line.worker_id,
            effect=line.effect,
            probe_generation=line.probe_generation,
        )
        self._count(self._reference, report, line.at_seconds)
        if self._policy is None:
            return
        chosen = self._alternative_chose.get(line.attempt_id)
        if chosen is None or line.worker_id in chosen:
            self._count(self._alternative, report, line.at_seconds)
        self._compare_circuits(number, line, [line.worker_id])

    def _count(self, table: ReplayTable, report: AttemptReport, now: float) -> None:
        """Count a report under the replay's own fencing number of the probe."""
        record = table.record(report.worker_id)
        is_probe = record.probe_owner == report.attempt_id
        generation = record.generation if is_probe else None
        fenced = msgspec.structs.replace(report, probe_generation=generation)
        table.report_all((fenced,), now)

    def _record_choices(self, line: DecisionLine, reply: DecisionReply) -> None:
        """Remember what the alternative chose; what the log has no answer of is neutral."""
        chosen = frozenset(choice.worker_id for choice in reply.choices)
        recorded = {choice.worker_id for choice in line.choices}
        self._alternative_chose[line.attempt_id] = chosen
        if len(self._alternative_chose) > MAX_REMEMBERED_ATTEMPTS:
            self._alternative_chose.popitem(last=False)
        for choice in reply.choices:
            if choice.worker_id in recorded:
                continue
            report = AttemptReport(
                request_id=line.request_id,
                attempt_id=line.attempt_id,
                worker_id=choice.worker_id,
                effect=AttemptEffect.GATEWAY,
            )
            self._count(self._alternative, report, line.at_seconds)

    def _take_over(self, state: CandidateState, line: DecisionLine) -> None:
        """Make the reference's circuit what was recorded, and the alternative's if it is alike."""
        now = line.at_seconds
        worker_id = state.worker_id
        status, wait_seconds = _recorded_circuit(state)
        if _is_probe_of_line(worker_id, line):
            # Read after its probe was granted: before that it was open, its cooldown over.
            status, wait_seconds = CircuitStatus.COOLDOWN, 0.0
        own_wait_seconds = self._reference.wait_seconds(worker_id, now)
        is_same_wait = abs(own_wait_seconds - wait_seconds) <= TIMER_TOLERANCE_SECONDS
        if _same_status(self._reference.status(worker_id, now), status) and is_same_wait:
            return
        self.result.inherited += 1
        is_alike = _is_alike(self._reference, self._alternative, worker_id, now)
        self._reference.force(worker_id, status, wait_seconds, now)
        if is_alike:
            self._alternative.force(worker_id, status, wait_seconds, now)

    def _compare_circuits(
        self, number: int, line: DecisionLine | ReportLine, worker_ids: Iterable[str]
    ) -> None:
        """Show a circuit that has come to differ, once until it changes again."""
        for worker_id in worker_ids:
            recorded = self._reference.status(worker_id, line.at_seconds)
            replayed = self._alternative.status(worker_id, line.at_seconds)
            if recorded is replayed:
                self._shown.pop(worker_id, None)
                continue
            if self._shown.get(worker_id) == (recorded, replayed):
                continue
            self._shown[worker_id] = (recorded, replayed)
            difference = Difference(
                line=number,
                time=line.time,
                kind=DifferenceKind.CIRCUIT,
                subject=f"worker {worker_id}",
                recorded=recorded.value,
                replayed=replayed.value,
            )
            self.result.differences.append(difference)

    def _add(
        self,
        number: int,
        line: DecisionLine,
        kind: DifferenceKind,
        replayed: DecisionReply,
    ) -> None:
        self.result.differences.append(
            Difference(
                line=number,
                time=line.time,
                kind=kind,
                subject=f"attempt {line.attempt_id}",
                recorded=_outcome(line),
                replayed=_outcome(replayed),
            )
        )


def _recorded_circuit(state: CandidateState) -> tuple[CircuitStatus, float]:
    """Return the circuit's part of a recorded state: its status and what is left of its timer."""
    status = _status_of(state.status)
    if status in {CircuitStatus.RATE_LIMITED, CircuitStatus.AVAILABLE}:
        return CircuitStatus.AVAILABLE, 0.0
    return status, state.retry_after_seconds


def _status_of(text: str) -> CircuitStatus:
    try:
        return CircuitStatus(text)
    except ValueError:
        # A status of a later version: nothing is known of its circuit.
        return CircuitStatus.AVAILABLE


def _same_status(own: CircuitStatus, recorded: CircuitStatus) -> bool:
    # A cooldown that is over reads as half-open, whoever asks.
    return own is recorded or {own, recorded} == {CircuitStatus.COOLDOWN, CircuitStatus.HALF_OPEN}


def _is_determined(line: DecisionLine) -> bool:
    """Return whether the line holds the states of what was chosen."""
    known = {state.worker_id for state in line.states}
    return all(choice.worker_id in known for choice in line.choices)


def _is_probe_of_line(worker_id: str, line: DecisionLine) -> bool:
    return any(
        choice.worker_id == worker_id and choice.probe_generation is not None
        for choice in line.choices
    )


def _is_alike(one: ReplayTable, other: ReplayTable, worker_id: str, now: float) -> bool:
    """Return whether a worker's circuit means the same in both replays."""
    if one.status(worker_id, now) is not other.status(worker_id, now):
        return False
    difference_seconds = one.wait_seconds(worker_id, now) - other.wait_seconds(worker_id, now)
    return abs(difference_seconds) <= TIMER_TOLERANCE_SECONDS


def _outcome(decided: DecisionLine | DecisionReply) -> str:
    if decided.choices:
        return " ".join(map(_choice_text, decided.choices))
    return f"denied: {decided.rejection.value}"


def _choice_text(choice: Choice) -> str:
    probe = " (probe)" if choice.probe_generation is not None else ""
    return f"{choice.stage.value}={choice.worker_id}{probe}"


def _workers(decided: DecisionLine | DecisionReply) -> Iterator[str]:
    return (f"{choice.stage.value}={choice.worker_id}" for choice in decided.choices)


def _kind(line: DecisionLine, replayed: DecisionReply) -> DifferenceKind | None:
    if line.choices and replayed.choices:
        is_same = list(_workers(line)) == list(_workers(replayed))
        return None if is_same else DifferenceKind.OTHER_WORKER
    if line.choices:
        return DifferenceKind.DENIED
    if replayed.choices:
        return DifferenceKind.ALLOWED
    return None if line.rejection is replayed.rejection else DifferenceKind.OTHER_DENIAL

"""Replays a decision log and reports the outcomes that would differ under another policy.

The module is pure. Two replays run in parallel on the timestamps of the log: the *reference*
under the recorded policy, and the *alternative* under the given policy.

The log determines the leader's decisions, because each line holds the state of every candidate as
the leader read it. The reference must therefore choose the workers that the leader chose; if it
does not, the decision is reported as unexplained.

The log does not determine the following, which the replay treats as described:

- Reports of other routers and the transitions that they cause. Where a recorded status differs
  from the reference's, the reference adopts the recorded status. The alternative adopts it too if
  its circuit of that worker is the same as the reference's; otherwise it keeps its own.
- Attempts in flight, health, eligibility and capacity circuits are as recorded, in both replays.
  The throttle settings of a policy therefore have no effect on a replay.
- The jitter of a cooldown is the middle of its range until a recorded wait gives the actual value.
- The answer of a worker that only the alternative chose counts as neutral. Reports on a worker
  that the alternative did not choose are not counted in the alternative.
- A repeated reply to a repeated request carries no states and is not compared.
- Decisions that the router made from its last known state are not compared; their reports count.
- If a worker's circuit and the capacity circuit of its failure domain are open at the same time,
  the log has one wait for both. The replay uses it as the wait of the worker's circuit, so the
  kind of a rejection may differ.
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
"""Waits that differ by at most this count as equal: they were read at slightly different times."""


MAX_RETAINED_ATTEMPTS = 65_536
"""Maximum number of attempts whose choices are retained until their reports are replayed."""


class ReplayPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The circuit policy and the load bound factor of a replay."""

    circuit: CircuitPolicy
    load_bound_factor: float


class DifferenceKind(StrEnum):
    """How a replayed outcome differs from the recorded one."""

    OTHER_WORKER = "other_worker"
    DENIED = "denied"
    ALLOWED = "allowed"
    OTHER_DENIAL = "other_denial"
    CIRCUIT = "circuit"
    UNEXPLAINED = "unexplained"
    """The replay under the log's own policy did not reproduce the leader's decision."""


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """An outcome that differs: the recorded value and the replayed value."""

    line: int
    time: str
    kind: DifferenceKind
    subject: str
    recorded: str
    replayed: str


class DamagedLine(msgspec.Struct, frozen=True, kw_only=True):
    """A line of the log that could not be decoded."""

    line: int
    problem: str


class ReplayResult(msgspec.Struct, kw_only=True):
    """Counts, damaged lines and differences of a replay."""

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
        run.apply_line(number, line)
    return run.result


class _Replay:
    """State of the replay of one log."""

    def __init__(self, policy: ReplayPolicy | None) -> None:
        self.result = ReplayResult()
        self._policy = policy
        self._incarnation: str | None = None
        self._reported_circuits: dict[str, tuple[CircuitStatus, CircuitStatus]] = {}
        self._alternative_choices: OrderedDict[str, frozenset[str]] = OrderedDict()
        initial = ReplayPolicy(circuit=CircuitPolicy(), load_bound_factor=1.25)
        self._reset_tables(initial)

    def apply_line(self, number: int, line: LogLine) -> None:
        """Apply the next line of the log to both replays."""
        match line:
            case PolicyLine():
                self._apply_policy(line)
            case DecisionLine():
                self._apply_decision(number, line)
            case ReportLine():
                self._apply_report(number, line)
            case DroppedLine():
                self.result.dropped_lines += line.count

    def _reset_tables(self, recorded: ReplayPolicy) -> None:
        alternative = self._policy or recorded
        self._reference = ReplayTable(recorded.circuit, recorded.load_bound_factor)
        self._alternative = ReplayTable(alternative.circuit, alternative.load_bound_factor)
        self._reported_circuits.clear()
        self._alternative_choices.clear()

    def _apply_policy(self, line: PolicyLine) -> None:
        if line.incarnation != self._incarnation:
            # The clocks of different router processes are unrelated, so the state so far is void.
            self._incarnation = line.incarnation
            self._reset_tables(
                ReplayPolicy(circuit=line.circuit, load_bound_factor=line.load_bound_factor)
            )
            return
        self._reference.set_policy(line.circuit, line.load_bound_factor)
        if self._policy is None:
            self._alternative.set_policy(line.circuit, line.load_bound_factor)

    def _apply_decision(self, number: int, line: DecisionLine) -> None:
        self.result.decisions += 1
        if line.decided_by is DecidedBy.ROUTER:
            self.result.decided_by_router += 1
            return
        if not _is_determined(line):
            self.result.not_determined += 1
            return
        self.result.compared += 1
        for state in line.states:
            self._adopt_recorded_circuit(state, line)
        reference = self._reference.decide_line(line)
        if _outcome(reference) == _outcome(line):
            self.result.agreed += 1
        else:
            self._add_difference(number, line, DifferenceKind.UNEXPLAINED, reference)
        if self._policy is None:
            return
        alternative = self._alternative.decide_line(line)
        self._record_choices(line, alternative)
        kind = _difference_kind(line, alternative)
        if kind is not None:
            self._add_difference(number, line, kind, alternative)
        self._compare_circuits(number, line, [state.worker_id for state in line.states])

    def _apply_report(self, number: int, line: ReportLine) -> None:
        self.result.reports += 1
        report = AttemptReport(
            request_id=line.request_id,
            attempt_id=line.attempt_id,
            worker_id=line.worker_id,
            effect=line.effect,
            probe_generation=line.probe_generation,
        )
        self._count_report(self._reference, report, line.at_seconds)
        if self._policy is None:
            return
        chosen = self._alternative_choices.get(line.attempt_id)
        if chosen is None or line.worker_id in chosen:
            self._count_report(self._alternative, report, line.at_seconds)
        self._compare_circuits(number, line, [line.worker_id])

    def _count_report(self, table: ReplayTable, report: AttemptReport, now: float) -> None:
        """Count a report, fenced by the probe generation of this replay, not the recorded one."""
        record = table.record(report.worker_id)
        is_probe = record.probe_owner == report.attempt_id
        generation = record.generation if is_probe else None
        fenced = msgspec.structs.replace(report, probe_generation=generation)
        table.report_all((fenced,), now)

    def _record_choices(self, line: DecisionLine, reply: DecisionReply) -> None:
        """Store the alternative's choices; count those without a recorded answer as neutral."""
        chosen = frozenset(choice.worker_id for choice in reply.choices)
        recorded = {choice.worker_id for choice in line.choices}
        self._alternative_choices[line.attempt_id] = chosen
        if len(self._alternative_choices) > MAX_RETAINED_ATTEMPTS:
            self._alternative_choices.popitem(last=False)
        for choice in reply.choices:
            if choice.worker_id in recorded:
                continue
            report = AttemptReport(
                request_id=line.request_id,
                attempt_id=line.attempt_id,
                worker_id=choice.worker_id,
                effect=AttemptEffect.GATEWAY,
            )
            self._count_report(self._alternative, report, line.at_seconds)

    def _adopt_recorded_circuit(self, state: CandidateState, line: DecisionLine) -> None:
        """Set the reference's circuit as recorded, and the alternative's if it is the same."""
        now = line.at_seconds
        worker_id = state.worker_id
        status, wait_seconds = _recorded_circuit(state)
        if _is_probe_of_line(worker_id, line):
            # The state was read after the probe was granted. Before that, the circuit was open
            # and its cooldown had elapsed.
            status, wait_seconds = CircuitStatus.COOLDOWN, 0.0
        own_wait_seconds = self._reference.wait_seconds(worker_id, now)
        is_same_wait = abs(own_wait_seconds - wait_seconds) <= TIMER_TOLERANCE_SECONDS
        if _same_status(self._reference.status(worker_id, now), status) and is_same_wait:
            return
        self.result.inherited += 1
        is_same_circuit = _is_same_circuit(self._reference, self._alternative, worker_id, now)
        self._reference.force_circuit(worker_id, status, wait_seconds, now)
        if is_same_circuit:
            self._alternative.force_circuit(worker_id, status, wait_seconds, now)

    def _compare_circuits(
        self, number: int, line: DecisionLine | ReportLine, worker_ids: Iterable[str]
    ) -> None:
        """Report a circuit whose status differs between the replays, once per pair of statuses."""
        for worker_id in worker_ids:
            recorded = self._reference.status(worker_id, line.at_seconds)
            replayed = self._alternative.status(worker_id, line.at_seconds)
            if recorded is replayed:
                self._reported_circuits.pop(worker_id, None)
                continue
            if self._reported_circuits.get(worker_id) == (recorded, replayed):
                continue
            self._reported_circuits[worker_id] = (recorded, replayed)
            difference = Difference(
                line=number,
                time=line.time,
                kind=DifferenceKind.CIRCUIT,
                subject=f"worker {worker_id}",
                recorded=recorded.value,
                replayed=replayed.value,
            )
            self.result.differences.append(difference)

    def _add_difference(
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
    """Return the circuit status of a recorded state and the remaining wait in seconds."""
    status = _status_of(state.status)
    if status in {CircuitStatus.RATE_LIMITED, CircuitStatus.AVAILABLE}:
        return CircuitStatus.AVAILABLE, 0.0
    return status, state.retry_after_seconds


def _status_of(text: str) -> CircuitStatus:
    try:
        return CircuitStatus(text)
    except ValueError:
        # The status was written by a later version, so the state of its circuit is unknown.
        return CircuitStatus.AVAILABLE


def _same_status(own: CircuitStatus, recorded: CircuitStatus) -> bool:
    # An elapsed cooldown is reported as half-open, so the two statuses are equivalent here.
    return own is recorded or {own, recorded} == {CircuitStatus.COOLDOWN, CircuitStatus.HALF_OPEN}


def _is_determined(line: DecisionLine) -> bool:
    """Return whether the line holds the state of every chosen worker."""
    known = {state.worker_id for state in line.states}
    return all(choice.worker_id in known for choice in line.choices)


def _is_probe_of_line(worker_id: str, line: DecisionLine) -> bool:
    return any(
        choice.worker_id == worker_id and choice.probe_generation is not None
        for choice in line.choices
    )


def _is_same_circuit(
    reference: ReplayTable, alternative: ReplayTable, worker_id: str, now: float
) -> bool:
    """Return whether a worker's circuit has the same status and wait in both replays."""
    if reference.status(worker_id, now) is not alternative.status(worker_id, now):
        return False
    difference_seconds = reference.wait_seconds(worker_id, now) - alternative.wait_seconds(
        worker_id, now
    )
    return abs(difference_seconds) <= TIMER_TOLERANCE_SECONDS


def _outcome(decision: DecisionLine | DecisionReply) -> str:
    if decision.choices:
        return " ".join(map(_choice_text, decision.choices))
    return f"denied: {decision.rejection.value}"


def _choice_text(choice: Choice) -> str:
    probe = " (probe)" if choice.probe_generation is not None else ""
    return f"{choice.stage.value}={choice.worker_id}{probe}"


def _chosen_workers(decision: DecisionLine | DecisionReply) -> Iterator[str]:
    return (f"{choice.stage.value}={choice.worker_id}" for choice in decision.choices)


def _difference_kind(line: DecisionLine, replayed: DecisionReply) -> DifferenceKind | None:
    if line.choices and replayed.choices:
        is_same = list(_chosen_workers(line)) == list(_chosen_workers(replayed))
        return None if is_same else DifferenceKind.OTHER_WORKER
    if line.choices:
        return DifferenceKind.DENIED
    if replayed.choices:
        return DifferenceKind.ALLOWED
    return None if line.rejection is replayed.rejection else DifferenceKind.OTHER_DENIAL

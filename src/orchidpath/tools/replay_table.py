"""A leader's circuits, replayed from a decision log under a given policy; pure.

The rules are those of :class:`~orchidpath.circuit.circuit_table.CircuitTable`. State that cannot
be derived from the log of a single router is used as recorded: attempts in flight, waits of
capacity circuits, and the eligibility of candidates.
"""

import random
from collections.abc import Mapping, Sequence

import msgspec

from orchidpath.circuit.circuit_table import CircuitTable, Decided
from orchidpath.circuit.counters import CircuitCounters
from orchidpath.circuit.selection import Candidate, StageCircuits
from orchidpath.circuit.transitions import (
    CircuitTransition,
    apply_circuit_transition,
    initial_circuit,
)
from orchidpath.routing.decision_log import DecisionLine
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import (
    AttemptReport,
    CandidateState,
    DecisionReply,
    DecisionRequest,
    StageCandidates,
)
from orchidpath.wire.records import CircuitRecord, CircuitStatus


class MiddleRandom(random.Random):
    """Returns the middle of every range, because the log does not hold the jitter."""

    def uniform(self, a: float, b: float) -> float:
        """Return the middle of the range from ``a`` to ``b``."""
        return (a + b) / 2


class RecordedCounters(CircuitCounters):
    """Counters that read attempts in flight and capacity waits as the log recorded them."""

    def __init__(self, policy: CircuitPolicy) -> None:
        super().__init__(policy)
        self.recorded: Mapping[str, CandidateState] = {}

    def read_stage_candidates(
        self, stage_candidates: StageCandidates, attempt_id: str, now: float
    ) -> StageCircuits:
        """Read the candidates of one stage; a candidate without recorded state is not eligible."""
        read = super().read_stage_candidates(stage_candidates, attempt_id, now)
        candidates = tuple(
            self._as_recorded(candidate)
            for candidate in read.candidates
            if candidate.worker_id in self.recorded
        )
        return StageCircuits(stage_candidates.stage, candidates)

    def _as_recorded(self, candidate: Candidate) -> Candidate:
        state = self.recorded[candidate.worker_id]
        is_limited = state.status == CircuitStatus.RATE_LIMITED
        return msgspec.structs.replace(
            candidate,
            in_flight=state.in_flight,
            capacity_wait_seconds=state.retry_after_seconds if is_limited else 0.0,
        )


class ReplayTable(CircuitTable):
    """Circuits of one replay, whose transitions are applied immediately, without a Raft commit.

    Parameters
    ----------
    policy
        Circuit policy of the replay.
    load_bound_factor
        Factor of the load bound.
    """

    def __init__(self, policy: CircuitPolicy, load_bound_factor: float) -> None:
        super().__init__(policy, MiddleRandom(), load_bound_factor=load_bound_factor)
        self._recorded = RecordedCounters(policy)
        self._counters = self._recorded

    def record(self, worker_id: str) -> CircuitRecord:
        """Return the current circuit record of a worker in this replay."""
        return self._counters.registry.circuit(worker_id).record

    def status(self, worker_id: str, now: float) -> CircuitStatus:
        """Return the circuit status of a worker, as shown to operators."""
        return self._counters.registry.circuit(worker_id).status(now)

    def wait_seconds(self, worker_id: str, now: float) -> float:
        """Return the seconds until the worker's circuit allows an attempt."""
        return self._counters.registry.circuit(worker_id).wait_seconds(now)

    def force_circuit(
        self,
        worker_id: str,
        status: CircuitStatus,
        duration_seconds: float,
        now: float,
    ) -> None:
        """Set a circuit to a recorded status that the reports in the log do not explain."""
        before = self.record(worker_id)
        record = msgspec.structs.replace(
            initial_circuit(worker_id),
            status=status,
            generation=before.generation + 1,
            reopenings=before.reopenings,
            duration_seconds=duration_seconds,
        )
        self.apply_circuit(record, now)

    def decide_line(self, line: DecisionLine) -> DecisionReply:
        """Decide a recorded attempt from the recorded states of its candidates.

        Parameters
        ----------
        line
            Recorded decision.

        Returns
        -------
        DecisionReply
            Decision of this replay.
        """
        self._recorded.recorded = {state.worker_id: state for state in line.states}
        request = DecisionRequest(
            correlation=0,
            request_id=line.request_id,
            attempt_id=line.attempt_id,
            service=line.service,
            per_stage=line.per_stage,
        )
        while True:
            decided = self.decide(request, line.at_seconds)
            if isinstance(decided, Decided):
                return decided.reply
            # Each transition grants or returns a probe, so the loop terminates.
            self._apply_transition(decided.transition, line.at_seconds)

    def report_all(self, reports: Sequence[AttemptReport], now: float) -> None:
        """Count reports and apply the transitions that they cause."""
        for transition in self.report(reports, now):
            self._apply_transition(transition, now)

    def _apply_transition(self, transition: CircuitTransition, now: float) -> None:
        record = apply_circuit_transition(self.record(transition.worker_id), transition)
        self.apply_circuit(record, now)

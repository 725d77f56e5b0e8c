"""Local decisions of a router while the control tier is slow or unavailable.

A router requests every decision from the leader and waits a bounded time. Without a reply, it
decides locally from the circuits of the last view and from its own observations: the attempts that
it started, the failures that it counted and the throttles that it derived. Local circuits open by
the same transition table as the agreed circuits. A newer agreed circuit replaces the local one.

One rule of the leader's decisions does not apply here. The leader grants the recovery probe of a
worker to only one request of the fleet. A router that cannot reach the leader grants a probe
itself; otherwise a recovered worker would remain unused for as long as the control tier is
unavailable. This exception is bounded: each router has at most one probe in flight on each worker,
and only after a local cooldown. The local cooldown lasts at least ``cooldown_seconds`` and is
stretched by a random share of up to ``PROBE_JITTER``, so that the probes of different routers do
not arrive together. A local probe has no fencing token, so its report can neither close nor reopen
a circuit at the leader.

The leader's reply may arrive after the router has decided locally. The router then reports each
worker of the late reply that it did not use, with the effect ``GATEWAY`` and the probe generation
of the reply. The report frees the in-flight mark and returns a granted probe.
"""

import random
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from orchidpath.circuit.base_circuits import BaseCircuits
from orchidpath.circuit.breaker import BreakerEvent
from orchidpath.circuit.in_flight import Registration
from orchidpath.circuit.own_probes import OwnProbes
from orchidpath.circuit.registry import TrackedWorker
from orchidpath.circuit.selection import (
    DEFAULT_LOAD_BOUND_FACTOR,
    Candidate,
    Selection,
    StageCircuits,
)
from orchidpath.circuit.transitions import apply_circuit_transition
from orchidpath.circuit.worker_circuit import Admission
from orchidpath.circuit.worker_health import HEALTH_LOWERING_EFFECTS
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import (
    AttemptEffect,
    AttemptReport,
    CapacityObserved,
    Choice,
    CircuitsView,
    CounterReport,
    DecisionReply,
    DecisionRequest,
    WorkerTally,
)
from orchidpath.wire.records import CircuitRecord, CircuitStatus

PROBE_JITTER = 1.0
"""Largest random share by which a router's local cooldown is stretched."""


class ViewVersion(NamedTuple):
    """Version of a leader's view, ordered by term and then by sequence within the term."""

    term: int
    sequence: int


NO_VIEW = ViewVersion(term=-1, sequence=-1)
"""Version that is older than every view."""


class StageSelection(NamedTuple):
    """Candidates of each stage at the time of the decision, and the selection from them."""

    per_stage: list[StageCircuits]
    selection: Selection


class FallbackCircuits(BaseCircuits):
    """Circuits from the last view of the leader, with a router's own observations.

    Parameters
    ----------
    policy
        Thresholds and durations of the circuits.
    generator
        Random source of the jitter.
    load_bound_factor
        Multiple of the average load that a worker may have; the load counts only the router's own
        attempts in flight.
    """

    def __init__(
        self,
        policy: CircuitPolicy,
        generator: random.Random,
        *,
        load_bound_factor: float = DEFAULT_LOAD_BOUND_FACTOR,
    ) -> None:
        super().__init__(policy, generator, load_bound_factor)
        self._newest_view = NO_VIEW
        self._agreed_generations: dict[str, int] = {}
        self._own_probes = OwnProbes(self._counters.attempt_table.in_flight)

    def accept_view(self, view: CircuitsView, now: float) -> bool:
        """Apply a view of the agreed circuits that the leader has pushed.

        Parameters
        ----------
        view
            The agreed circuits with their remaining durations.
        now
            Monotonic time in seconds.

        Returns
        -------
        bool
            False when this view or a newer one has already been applied; nothing changes then.
        """
        version = ViewVersion(view.term, view.sequence)
        if version <= self._newest_view:
            return False
        self._newest_view = version
        for record in view.circuits:
            self._apply_agreed_circuit(record, now)
        for capacity in view.capacities:
            self._counters.capacities.accept(capacity, now)
        return True

    def decide(self, request: DecisionRequest, now: float) -> DecisionReply:
        """Select the workers of one attempt without the leader and register the attempt in flight.

        Parameters
        ----------
        request
            The decision request that the leader did not answer in time.
        now
            Monotonic time in seconds.

        Returns
        -------
        DecisionReply
            Choices or a rejection; no choice contains a probe generation.
        """
        self._counters.attempt_table.advance(now)
        term = max(self._newest_view.term, 0)
        repeated = self._counters.repeated_reply(request, term)
        if repeated is not None:
            return _without_probes(repeated)
        per_stage, selection = self._select_with_probe_limit(request, now)
        if self._grant_probes(request.attempt_id, selection, now):
            per_stage, selection = self._select_with_probe_limit(request, now)
        reply = self._register(request, term, per_stage, selection, now)
        return _without_probes(reply)

    def register_leader_decision(
        self, request_id: str, attempt_id: str, choices: Sequence[Choice], now: float
    ) -> None:
        """Register an attempt in flight whose workers the leader selected.

        Parameters
        ----------
        request_id
            Request of the attempt.
        attempt_id
            The attempt.
        choices
            The leader's choices.
        now
            Monotonic time in seconds.
        """
        self._counters.attempt_table.advance(now)
        registrations = [
            Registration(
                worker_id=choice.worker_id,
                generation=self._counters.generation(choice.worker_id),
            )
            for choice in choices
        ]
        self._counters.attempt_table.in_flight.register(
            request_id, attempt_id, registrations, now, choices=tuple(choices)
        )
        for choice in choices:
            if choice.probe_generation is not None:
                self._own_probes.start(choice.worker_id, attempt_id, choice.probe_generation)

    def observe(self, reports: Sequence[AttemptReport], now: float) -> None:
        """Record how the router's own attempts ended.

        Attempts decided by the leader and attempts decided locally are both recorded.

        Parameters
        ----------
        reports
            The reports, which are also sent to the leader.
        now
            Monotonic time in seconds.
        """
        self._counters.attempt_table.advance(now)
        for report in reports:
            generation = self._own_probes.end(report.worker_id, report.attempt_id)
            if generation is None:
                generation = report.probe_generation
            event = self._counters.count(report, now, probe_generation=generation)
            if event is not None:
                self._apply_local_transition(report.worker_id, event, now)

    def observe_capacity(self, observed: CapacityObserved, now: float) -> None:
        """Apply a throttle that the router derived, before it is committed through the log.

        Parameters
        ----------
        observed
            The failure domain and the time in seconds after which it may be tried again.
        now
            Monotonic time in seconds.
        """
        longest = self._counters.policy.max_cooldown_seconds
        retry_after_seconds = min(observed.retry_after_seconds, longest)
        self._counters.capacities.extend_locally(observed.failure_domain, retry_after_seconds, now)

    def counter_report(
        self, term: int, now: float, unacknowledged: Sequence[AttemptReport] = ()
    ) -> CounterReport:
        """Return the router's own counters for a new leader.

        Parameters
        ----------
        term
            The leader's term.
        now
            Monotonic time in seconds.
        unacknowledged
            Reports that will still be sent. They are excluded, because they would count twice.

        Returns
        -------
        CounterReport
            The attempts in flight and a tally for each worker.
        """
        self._counters.attempt_table.advance(now)
        pending = Counter((report.worker_id, report.effect) for report in unacknowledged)
        return CounterReport(
            term=term,
            in_flight=self._counters.attempt_table.in_flight.marks(now),
            tallies=tuple(self._tally(worker, pending, now) for worker in self._counters.registry),
        )

    def _select_with_probe_limit(self, request: DecisionRequest, now: float) -> StageSelection:
        """Read the candidates, block workers with a probe of this router in flight, and select."""
        per_stage = [
            self._limit_probes(
                self._counters.read_stage_candidates(stage_candidates, request.attempt_id, now)
            )
            for stage_candidates in request.per_stage
        ]
        return StageSelection(per_stage, self._select(per_stage))

    def _limit_probes(self, stage_candidates: StageCircuits) -> StageCircuits:
        candidates = tuple(
            self._limit_probe(candidate) for candidate in stage_candidates.candidates
        )
        return StageCircuits(stage_candidates.stage, candidates)

    def _limit_probe(self, candidate: Candidate) -> Candidate:
        """Return the candidate, blocked if a probe of this router is still in flight on it."""
        is_ready = candidate.admission is Admission.PROBE_READY
        if not is_ready or not self._own_probes.is_in_flight(candidate.worker_id):
            return candidate
        return msgspec.structs.replace(
            candidate,
            admission=Admission.BLOCKED,
            circuit_wait_seconds=self._counters.policy.cooldown_seconds,
        )

    def _grant_probes(self, attempt_id: str, selection: Selection, now: float) -> bool:
        """Grant the probes that the selection needs, and return whether any was granted."""
        granted = False
        for choice in selection.choices:
            worker_id = choice.candidate.worker_id
            if choice.candidate.admission is not Admission.PROBE_READY:
                continue
            self._apply_local_transition(worker_id, BreakerEvent.PROBE_GRANTED, now, attempt_id)
            generation = self._counters.generation(worker_id)
            if generation is not None:
                self._own_probes.start(worker_id, attempt_id, generation)
            granted = True
        return granted

    def _apply_agreed_circuit(self, record: CircuitRecord, now: float) -> None:
        """Apply an agreed circuit, unless its generation is the one that was applied last.

        Local transitions made since then are therefore retained, and running timers continue.
        """
        if self._agreed_generations.get(record.worker_id) == record.generation:
            return
        self._agreed_generations[record.worker_id] = record.generation
        is_closed = record.status is CircuitStatus.AVAILABLE
        duration_seconds = (
            0.0 if is_closed else self._local_cooldown_seconds(record.duration_seconds)
        )
        stretched = msgspec.structs.replace(record, duration_seconds=duration_seconds)
        self._counters.registry.circuit(record.worker_id).replace(stretched, now)

    def _local_cooldown_seconds(self, duration_seconds: float) -> float:
        shortest = self._counters.policy.cooldown_seconds
        stretch = 1.0 + self._generator.uniform(0.0, PROBE_JITTER)
        return max(duration_seconds, shortest) * stretch

    def _apply_local_transition(
        self, worker_id: str, event: BreakerEvent, now: float, attempt_id: str = ""
    ) -> None:
        """Apply the transition that an event causes to the local circuit, without the log."""
        transition = self._propose(worker_id, event, attempt_id)
        if transition is None:
            return
        circuit = self._counters.registry.circuit(worker_id)
        record = apply_circuit_transition(circuit.record, transition)
        if record.status in {CircuitStatus.COOLDOWN, CircuitStatus.QUARANTINED}:
            duration_seconds = self._local_cooldown_seconds(record.duration_seconds)
            record = msgspec.structs.replace(record, duration_seconds=duration_seconds)
        circuit.accept(record, now)

    def _tally(
        self,
        worker: TrackedWorker,
        pending: Counter[tuple[str, AttemptEffect]],
        now: float,
    ) -> WorkerTally:
        worker_id = worker.circuit.record.worker_id
        counts = worker.health.counts(now)
        pending_failures = sum(pending[worker_id, effect] for effect in HEALTH_LOWERING_EFFECTS)
        pending_transients = pending[worker_id, AttemptEffect.TRANSIENT]
        return WorkerTally(
            worker_id=worker_id,
            successes=max(0, counts.successes - pending[worker_id, AttemptEffect.SUCCESS]),
            failures=max(0, counts.failures - pending_failures),
            consecutive_transients=max(0, worker.circuit.transient_failures - pending_transients),
        )


def _without_probes(reply: DecisionReply) -> DecisionReply:
    """Return the reply without fencing tokens, because only the leader issues valid tokens."""
    choices = tuple(
        msgspec.structs.replace(choice, probe_generation=None) for choice in reply.choices
    )
    return msgspec.structs.replace(reply, choices=choices)

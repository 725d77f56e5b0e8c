"""What only the leader does: leases, confirmation, liveness and decisions on circuits; pure.

One object per leadership. All of it is soft state: it ends with the leadership and a successor
rebuilds it from the replicated state, from heartbeats and from the routers' counter reports.
"""

import random as random_module
from collections.abc import Iterable

import msgspec

from orchidpath.circuit.circuit_table import CircuitTable, Decided, NeedsTransition
from orchidpath.control.leadership.confirmation import (
    ConfirmationGuard,
    ConfirmationTracker,
    RouterMembership,
)
from orchidpath.control.leadership.liveness import ROUTER_REMOVAL_SECONDS, LivenessTracker
from orchidpath.control.leadership.plan_driver import PlanDriver
from orchidpath.control.leadership.stage_balancer import StageBalancer
from orchidpath.control.replica.control_effects import ControlEffect, SendToNode
from orchidpath.placement.prefill_placement import PrefillPlacement
from orchidpath.state.commands import (
    CapacityChanged,
    CircuitChanged,
    Command,
    RegisterRouter,
    RemoveRouter,
    RevisionConfirmed,
    WorkerChanged,
    WorkerRemoved,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import CapacityResult, CircuitResult, Outcome
from orchidpath.wire.announcements import MAX_SEQUENCE
from orchidpath.wire.backend import WORKER_LEASE_SECONDS, Announcement
from orchidpath.wire.messages import (
    AttemptReports,
    AttemptReportsReply,
    CapacityObserved,
    CounterReport,
    DecisionReply,
    DecisionRequest,
    FleetUpdate,
    FleetUpdateRequest,
    Rejection,
    RouterHeartbeat,
    RouterHeartbeatReply,
)
from orchidpath.wire.records import WorkerRecord

TICK_PERIOD_SECONDS = 0.05
"""Time between two looks at what only time changes."""

PUSH_PERIOD_SECONDS = 0.05
"""Least time between two pushes of changes; the first change after a calm goes out at once."""

CIRCUITS_PUSH_SECONDS = 0.2
"""Changed circuits are pushed to the routers at most this often."""

CIRCUITS_REPEAT_SECONDS = 5.0
"""Circuits are pushed this often even when nothing changed, so that a lost push does not last."""

PENDING_DECISION_SECONDS = 1.0
"""A decision that waits for a transition this long is dropped; the router has gone on by then."""

MAX_CACHED_UPDATES = 16
"""Updates that are kept, each for the routers that have adopted one revision."""


class _PendingDecision(msgspec.Struct, frozen=True):
    router_id: str
    request: DecisionRequest
    since: float


class LeaderDuties:
    """Soft state and duties of one leadership.

    Parameters
    ----------
    term
        Term of this leadership.
    state
        The replicated state, complete up to this leadership's first entry.
    random
        Source of jitter.
    now
        Monotonic seconds.
    router_removal_seconds
        A router that is silent for this long leaves the roster.
    disabled_guards
        For tests only.
    worker_lease_seconds
        A worker that is silent for this long is gone.
    """

    def __init__(
        self,
        term: int,
        state: FleetState,
        random: random_module.Random,
        now: float,
        router_removal_seconds: float = ROUTER_REMOVAL_SECONDS,
        disabled_guards: frozenset[ConfirmationGuard] = frozenset(),
        worker_lease_seconds: float = WORKER_LEASE_SECONDS,
    ) -> None:
        self._term = term
        self._state = state
        self.outbox: list[ControlEffect] = []
        self.proposals: list[Command] = []
        self.confirmation = ConfirmationTracker(
            state.confirmed_revision, _router_memberships_of(state), now, disabled_guards
        )
        if state.revision > state.confirmed_revision:
            self.confirmation.revision_committed(state.revision, current_router_membership(state))
        self._liveness = LivenessTracker(router_removal_seconds, worker_lease_seconds)
        self.prompts = PrefillPlacement()
        self.circuits = CircuitTable(state.configuration.circuit, random, term=term)
        self._apply_policy()
        self.circuits.set_workers(state.workers())
        for circuit in state.circuits():
            self.circuits.apply_circuit(circuit, now)
        for capacity in state.capacities():
            self.circuits.apply_capacity(capacity, now)
        self.plan_driver = PlanDriver(term, state, self._in_flight)
        self.stage_balancer = StageBalancer(term, state, self._in_flight, now)
        self._adopted: dict[str, int] = {}
        self._updates: dict[int, FleetUpdate] = {}
        self._pushed: dict[str, int] = {}
        self._pending_decisions: list[_PendingDecision] = []
        self._circuits_sequence = 0
        self._circuits_dirty = True
        self._next_tick = now
        self._workers_changed = False
        self._pushed_revision = 0
        self._next_push = now
        self._next_circuits_push = now
        self._next_circuits_repeat = now + CIRCUITS_REPEAT_SECONDS

    def tick(self, now: float) -> None:
        """Propose what silence asks for, advance the confirmation and push changed circuits.

        A busy leader has thousands of turns a second; what looks at every worker and router is
        done once a ``TICK_PERIOD_SECONDS``.
        """
        if now < self._next_tick:
            return
        self._next_tick = now + TICK_PERIOD_SECONDS
        self._refresh_workers()
        workers = {worker.worker_id: worker.incarnation for worker in self._state.workers()}
        for worker_id, incarnation, sequence in self._liveness.silent_workers(workers, now):
            gone = WorkerRemoved(worker_id=worker_id, incarnation=incarnation, sequence=sequence)
            self.proposals.append(gone)
        self._liveness.forget_workers_except(workers)
        router_ids = [router.router_id for router in self._state.routers()]
        for router_id in self._liveness.silent_routers(router_ids, now):
            self.proposals.append(RemoveRouter(router_id=router_id))
        self._advance_confirmation(now)
        self.plan_driver.tick(self.confirmation.confirmed_revision, now)
        self.outbox.extend(self.plan_driver.take_commands())
        self.proposals.extend(self.plan_driver.take_proposals())
        self.stage_balancer.tick(self.confirmation.confirmed_revision, now)
        self.outbox.extend(self.stage_balancer.take_commands())
        self.proposals.extend(self.stage_balancer.take_proposals())
        self._push_circuits(now)
        self._pending_decisions = [
            pending
            for pending in self._pending_decisions
            if now - pending.since < PENDING_DECISION_SECONDS
        ]

    def receive_router_heartbeat(self, heartbeat: RouterHeartbeat, now: float) -> None:
        """Renew a router's lease and note what it has adopted.

        The caller has checked that this leader holds its own lease at ``now``.
        """
        router_id = heartbeat.record.router_id
        registered = self._state.find_router(router_id) == heartbeat.record
        if not registered and self._liveness.router_age_seconds(router_id, now) > 0.4:
            self.proposals.append(RegisterRouter(record=heartbeat.record))
        if router_id not in self._adopted:
            self._circuits_dirty = True
        self._liveness.router_heard(router_id, now)
        self._adopted[router_id] = heartbeat.adopted_revision
        self.confirmation.router_adopted(router_id, heartbeat.adopted_revision)
        reply = RouterHeartbeatReply(
            term=self._term,
            sequence=heartbeat.sequence,
            revision=self._state.revision,
            registered=registered,
        )
        self.outbox.append(SendToNode(router_id, reply))
        if not self.confirmation.is_anyone_lagging:
            self._advance_confirmation(now)

    def receive_update_request(self, router_id: str, request: FleetUpdateRequest) -> None:
        """Send a router all that lies above the revision it names."""
        update = self._update_since(request.adopted_revision)
        self.outbox.append(SendToNode(router_id, update))

    def receive_announcements(self, announcements: Iterable[Announcement], now: float) -> None:
        """Take workers' announcements and propose those that change something agreed."""
        for announcement in announcements:
            record = announcement.record
            if announcement.leaving:
                self._worker_leaves(record)
                continue
            if not self._liveness.worker_heard(
                record.worker_id, record.incarnation, announcement.sequence, now
            ):
                continue
            if self._differs(record):
                change = WorkerChanged(record=record, sequence=announcement.sequence)
                self.proposals.append(change)

    def receive_decision_request(
        self, router_id: str, request: DecisionRequest, now: float
    ) -> None:
        """Decide one attempt, after a committed transition if it would be a probe."""
        self._refresh_workers()
        router = self._state.find_router(router_id)
        router_zone = router.zone if router is not None else ""
        request = self.prompts.order(request, self.circuits.in_flight, now, router_zone)
        postponed_seconds = self.prompts.postponed_seconds(request, now)
        if postponed_seconds > 0:
            postponed = DecisionReply(
                correlation=request.correlation,
                term=self._term,
                rejection=Rejection.POSTPONED,
                retry_after_seconds=postponed_seconds,
            )
            self.outbox.append(SendToNode(router_id, postponed))
            return
        answer = self.circuits.decide(request, now)
        if isinstance(answer, Decided):
            reply = msgspec.structs.replace(
                answer.reply,
                correlation=request.correlation,
                term=self._term,
                expected_read_seconds=self.prompts.decided(request, answer.reply, now),
            )
            self.outbox.append(SendToNode(router_id, reply))
            return
        self._await_transition(router_id, request, answer, now)

    def receive_reports(self, router_id: str, reports: AttemptReports, now: float) -> None:
        """Count reports, propose the transitions they cause, and acknowledge them."""
        self._refresh_workers()
        self.prompts.reported(reports.reports, now)
        for transition in self.circuits.report(reports.reports, now):
            self.proposals.append(CircuitChanged(transition=transition))
        reply = AttemptReportsReply(sequence=reports.sequence, term=self._term)
        self.outbox.append(SendToNode(router_id, reply))

    def receive_counters(self, router_id: str, counters: CounterReport, now: float) -> None:
        """Rebuild the hot counters from a router's own part of them."""
        if counters.term == self._term:
            self._refresh_workers()
            self.circuits.rebuild(router_id, counters, now)

    def receive_capacity(self, observed: CapacityObserved, now: float) -> None:
        """Open a failure domain's capacity circuit on a router's derived throttle."""
        self._refresh_workers()
        transition = self.circuits.observe_capacity(observed, now)
        if transition is not None:
            self.proposals.append(CapacityChanged(transition=transition))

    def applied(self, outcome: Outcome, previous_revision: int, now: float) -> None:
        """Follow one command that the replicated state has applied."""
        if isinstance(outcome, CircuitResult | CapacityResult):
            self._refresh_workers()
        if isinstance(outcome, CircuitResult) and outcome.record is not None:
            self.circuits.apply_circuit(outcome.record, now)
            self._circuits_dirty = True
        if isinstance(outcome, CapacityResult) and outcome.record is not None:
            self.circuits.apply_capacity(outcome.record, now)
            self._circuits_dirty = True
        if isinstance(outcome, CircuitResult):
            self._decide_pending(now)
        if self._state.revision != previous_revision:
            self._revision_changed(now)

    def push_updates(self, now: float) -> None:
        """Push the newest revision to every router that was heard and not sent it yet.

        A router that is heard for the first time asks by itself when it lacks something. In a storm
        of changes, such as a fleet that forms, many revisions go out together.
        """
        revision = self._state.revision
        if revision == self._pushed_revision or now < self._next_push:
            return
        self._pushed_revision = revision
        self._next_push = now + PUSH_PERIOD_SECONDS
        for router_id, adopted in self._adopted.items():
            known = max(adopted, self._pushed.get(router_id, 0))
            if known >= revision:
                continue
            self._pushed[router_id] = revision
            self.outbox.append(SendToNode(router_id, self._update_since(known)))

    def _update_since(self, adopted_revision: int) -> FleetUpdate:
        """Return one and the same update for every router that has adopted the same revision.

        When a whole fleet restarts, all routers ask at once for the whole view.
        """
        update = self._updates.get(adopted_revision)
        if update is None or update.revision != self._state.revision:
            update = self._state.update_since(adopted_revision)
            if len(self._updates) >= MAX_CACHED_UPDATES:
                self._updates.clear()
            self._updates[adopted_revision] = update
        return update

    def _refresh_workers(self) -> None:
        """Bring the circuits up to date once for all revisions since they were last looked at."""
        if self._workers_changed:
            self._workers_changed = False
            workers = self._state.workers()
            self.circuits.set_workers(workers)
            self.prompts.set_workers(frozenset(worker.worker_id for worker in workers))
            self.prompts.set_zones({worker.worker_id: worker.zone for worker in workers})

    def _in_flight(self, now: float) -> dict[str, int]:
        return {view.worker_id: view.in_flight for view in self.circuits.view(now)}

    def _revision_changed(self, now: float) -> None:
        self.confirmation.revision_committed(
            self._state.revision, current_router_membership(self._state)
        )
        self._apply_policy()
        self._workers_changed = True

    def _apply_policy(self) -> None:
        configuration = self._state.configuration
        admission = configuration.admission
        self.circuits.set_policy(
            configuration.circuit, admission.load_bound_factor, admission.load_bound_minimum
        )
        capacities = [service.engine.kv_capacity_tokens for service in configuration.services]
        self.prompts.set_policy(configuration.placement)
        self.prompts.set_capacity(max(capacities, default=0))

    def _advance_confirmation(self, now: float) -> None:
        confirmed = self.confirmation.advance(now)
        # Recorded only when an older witness set is out of force: rare, and it keeps a successor
        # from asking for the majority of a set whose routers may be gone for good.
        if len(self._state.witness_sets_since(self._state.confirmed_revision)) > 1:
            known = self._state.witness_sets_since(confirmed)
            if len(known) == 1 and confirmed > self._state.confirmed_revision:
                self._propose_once(RevisionConfirmed(revision=confirmed))

    def _propose_once(self, command: Command) -> None:
        if command not in self.proposals:
            self.proposals.append(command)

    def _worker_leaves(self, record: WorkerRecord) -> None:
        entry = self._state.find_worker(record.worker_id)
        if entry is None or entry.record.incarnation != record.incarnation:
            return
        # With the highest sequence no announcement still on its way brings the worker back.
        gone = WorkerRemoved(
            worker_id=record.worker_id, incarnation=record.incarnation, sequence=MAX_SEQUENCE
        )
        self._propose_once(gone)

    def _differs(self, record: WorkerRecord) -> bool:
        entry = self._state.find_worker(record.worker_id)
        if entry is None:
            return True
        normalized = msgspec.structs.replace(
            record,
            cordoned=entry.record.cordoned,
            failure_domain=record.failure_domain or record.worker_id,
        )
        return normalized != entry.record

    def _await_transition(
        self, router_id: str, request: DecisionRequest, answer: NeedsTransition, now: float
    ) -> None:
        self._pending_decisions.append(_PendingDecision(router_id, request, now))
        self.proposals.append(CircuitChanged(transition=answer.transition))

    def _decide_pending(self, now: float) -> None:
        waiting = self._pending_decisions
        self._pending_decisions = []
        for pending in waiting:
            self.receive_decision_request(pending.router_id, pending.request, now)

    def _push_circuits(self, now: float) -> None:
        due = self._circuits_dirty and now >= self._next_circuits_push
        if not due and now < self._next_circuits_repeat:
            return
        self._circuits_dirty = False
        self._next_circuits_push = now + CIRCUITS_PUSH_SECONDS
        self._next_circuits_repeat = now + CIRCUITS_REPEAT_SECONDS
        self._circuits_sequence += 1
        view = self.circuits.circuits_view(now, term=self._term, sequence=self._circuits_sequence)
        for router_id in self._adopted:
            self.outbox.append(SendToNode(router_id, view))


def not_leader_reply(request: DecisionRequest, term: int) -> DecisionReply:
    """Answer a decision request that this process may not decide."""
    return DecisionReply(correlation=request.correlation, term=term, rejection=Rejection.NOT_LEADER)


def current_router_membership(state: FleetState) -> RouterMembership:
    """Return the roster in force at the state's newest revision."""
    return RouterMembership(
        revision=state.revision,
        routers=frozenset(router.router_id for router in state.routers()),
        witnesses=frozenset(state.witnesses),
    )


def _router_memberships_of(state: FleetState) -> list[RouterMembership]:
    """Return every witness set since the last revision recorded as confirmed, oldest first."""
    routers = frozenset(router.router_id for router in state.routers())
    return [
        RouterMembership(state.confirmed_revision, routers, frozenset(witnesses))
        for witnesses in state.witness_sets_since(state.confirmed_revision)
    ]

"""Composition of the fleet's replicated state, and read access to it.

:class:`orchidpath.state.fleet_state.FleetState` adds the commands that change the state.
"""

from orchidpath.state.changes import ChangeLog, Delta
from orchidpath.state.circuits import AgreedCircuits
from orchidpath.state.configuration_state import ConfigurationState
from orchidpath.state.control_members import ControlMemberTable
from orchidpath.state.fleet_progress import FleetProgress
from orchidpath.state.outcomes import UpdateRecord
from orchidpath.state.plan_state import PlanState
from orchidpath.state.plans import AbandonedWorker, PlanActionRecord, PlanRecord
from orchidpath.state.routers import RouterTable
from orchidpath.state.snapshot import ConfigurationEntry, SnapshotBody, encode_snapshot
from orchidpath.state.workers import WorkerEntry, WorkerTable
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.messages.fleet_update_messages import FleetUpdate
from orchidpath.wire.records import (
    CapacityRecord,
    CircuitRecord,
    ControlMember,
    FleetView,
    RouterRecord,
    WorkerRecord,
)


class FleetStateReader:
    """The parts of the replicated state, its revision and its newest changes.

    Parameters
    ----------
    body
        The initial state; by default, the state of a new fleet.

    Notes
    -----
    ``revision`` increases by one with every change that routers must apply, and
    ``circuits_sequence`` with every change of a circuit. Neither ever decreases.
    """

    def __init__(self, body: SnapshotBody | None = None) -> None:
        if body is None:
            body = SnapshotBody()
        self._applied_index = body.applied_index
        self._revision = body.revision
        self._progress = FleetProgress(body.leader_term, body.confirmed_revision)
        self._configuration = ConfigurationState(
            body.configuration_version,
            body.configuration,
            body.document,
            body.history,
            body.orders,
        )
        self._routers = RouterTable(body.routers, body.witness_sets)
        self._workers = WorkerTable(body.workers, body.dead_incarnations, body.cordoned_workers)
        self._circuits = AgreedCircuits(body.circuits, body.capacities, body.circuits_sequence)
        self._control_members = ControlMemberTable(body.control_members)
        self._plans = PlanState(body.plan, body.plan_orders, body.plan_abandoned)
        self._changes = ChangeLog()
        self._view: FleetView | None = None

    def snapshot(self) -> bytes:
        """Return the encoded state; the bytes are equal on all replicas at the same index."""
        return encode_snapshot(
            SnapshotBody(
                applied_index=self._applied_index,
                leader_term=self._progress.leader_term,
                revision=self._revision,
                confirmed_revision=self._progress.confirmed_revision,
                circuits_sequence=self._circuits.sequence,
                configuration_version=self._configuration.version,
                configuration=self._configuration.configuration,
                document=self._configuration.document,
                history=self._configuration.history(),
                orders=self._configuration.updates(),
                workers=self._workers.entries(),
                dead_incarnations=self._workers.dead_incarnations(),
                cordoned_workers=self._workers.cordoned(),
                routers=list(self.routers()),
                witness_sets=self._routers.witness_sets(),
                circuits=list(self.circuits()),
                capacities=list(self.capacities()),
                control_members=list(self.control_members()),
                plan=self._plans.record,
                plan_orders=self._plans.actions(),
                plan_abandoned=self._plans.abandoned(),
            )
        )

    @property
    def applied_index(self) -> int:
        """Index of the newest applied log entry."""
        return self._applied_index

    @property
    def leader_term(self) -> int:
        """Highest term whose leader has committed its first command."""
        return self._progress.leader_term

    @property
    def revision(self) -> int:
        """Revision of the newest change that routers must apply."""
        return self._revision

    @property
    def confirmed_revision(self) -> int:
        """Newest revision that every serving router is known to have applied."""
        return self._progress.confirmed_revision

    @property
    def circuits_sequence(self) -> int:
        """Number of circuit changes so far."""
        return self._circuits.sequence

    @property
    def configuration_version(self) -> int:
        """Version of the current configuration; 0 before the first accepted update."""
        return self._configuration.version

    @property
    def configuration(self) -> Configuration:
        """The current configuration."""
        return self._configuration.configuration

    @property
    def document(self) -> bytes:
        """The text from which an adapter made the configuration; empty if the update had none."""
        return self._configuration.document

    def history(self) -> tuple[ConfigurationEntry, ...]:
        """Return the newest accepted configurations, oldest first."""
        return tuple(self._configuration.history())

    def find_update(self, order_id: str) -> UpdateRecord | None:
        """Return the stored update with an id, and its first outcome; None if there is none."""
        return self._configuration.find_update(order_id)

    @property
    def worker_count(self) -> int:
        """Number of registered workers."""
        return len(self._workers)

    def find_worker(self, worker_id: str) -> WorkerEntry | None:
        """Return a worker in the view, with the sequence of its announcement."""
        return self._workers.find(worker_id)

    def newest_run(self, worker_id: str, incarnation: str) -> str:
        """Return the incarnation of the newest run that was announced with an incarnation."""
        return self._workers.newest_run(worker_id, incarnation)

    def ended_run_sequence(self, worker_id: str, incarnation: str) -> int | None:
        """Return the sequence up to which announcements no longer register an incarnation.

        None if the incarnation has not ended, or ended too long ago to be stored.
        """
        return self._workers.ended_sequence(worker_id, incarnation)

    def workers(self) -> tuple[WorkerRecord, ...]:
        """Return the registered workers, sorted by id."""
        return self.view().workers

    def routers(self) -> tuple[RouterRecord, ...]:
        """Return the registered routers, sorted by id."""
        return self._routers.records()

    def find_router(self, router_id: str) -> RouterRecord | None:
        """Return the record of a registered router; None if it is not registered."""
        return self._routers.find(router_id)

    def control_members(self) -> tuple[ControlMember, ...]:
        """Return the registered control replicas, sorted by id."""
        return self._control_members.records()

    def find_circuit(self, worker_id: str) -> CircuitRecord | None:
        """Return a worker's replicated circuit; None if it never left its initial state."""
        return self._circuits.find_circuit(worker_id)

    def circuits(self) -> tuple[CircuitRecord, ...]:
        """Return the replicated circuits of the workers, sorted by worker id."""
        return tuple(self._circuits.circuits())

    def find_capacity(self, failure_domain: str) -> CapacityRecord | None:
        """Return a domain's replicated capacity circuit; None if it is in its initial state."""
        return self._circuits.find_capacity(failure_domain)

    def capacities(self) -> tuple[CapacityRecord, ...]:
        """Return the replicated capacity circuits, sorted by failure domain."""
        return tuple(self._circuits.capacities())

    @property
    def plan(self) -> PlanRecord | None:
        """The newest plan that was started, whether active or ended; None if there is none."""
        return self._plans.record

    def abandoned_workers(self) -> list[AbandonedWorker]:
        """Return the workers whose steps were abandoned, oldest first."""
        return self._plans.abandoned()

    def find_plan_action(self, order_id: str) -> PlanActionRecord | None:
        """Return the stored plan action with an id and its first outcome; None if there is none."""
        return self._plans.find_action(order_id)

    @property
    def witnesses(self) -> tuple[str, ...]:
        """Ids of the current witness routers."""
        return self._routers.witnesses

    def is_witness(self, router_id: str) -> bool:
        """Return whether a router is in any witness set of the history."""
        return any(router_id in one.witnesses for one in self._routers.witness_sets())

    def witness_sets_since(self, revision: int) -> tuple[tuple[str, ...], ...]:
        """Return every distinct set that was effective at a revision or later, oldest first.

        Raises
        ------
        WitnessHistoryLostError
            A set that was effective at that revision has been removed from the history.
        """
        return self._routers.witness_sets_since(revision)

    def view(self) -> FleetView:
        """Return the complete view that routers apply, at the newest revision."""
        if self._view is None or self._view.revision != self._revision:
            self._view = FleetView(
                revision=self._revision,
                configuration_version=self._configuration.version,
                configuration=self._configuration.configuration,
                workers=tuple(entry.record for entry in self._workers.entries()),
                routers=self.routers(),
                witnesses=self.witnesses,
            )
        return self._view

    def update_since(self, adopted_revision: int) -> FleetUpdate:
        """Return the update from a router's adopted revision to the newest revision.

        The update is a delta if all changes since the adopted revision are stored, and a full view
        otherwise.
        """
        delta: Delta | None = Delta()
        if adopted_revision < self._revision:
            delta = self._changes.since(adopted_revision)
        # A router at revision 0 has not applied any view yet, so a delta would have no base.
        if delta is None or adopted_revision == 0:
            return FleetUpdate(
                revision=self._revision,
                configuration_version=self._configuration.version,
                view=self.view(),
            )
        return FleetUpdate(
            revision=self._revision,
            configuration_version=self._configuration.version,
            base_revision=adopted_revision,
            workers=delta.workers,
            routers=delta.routers,
            removed_routers=delta.removed_routers,
            witnesses=self.witnesses if delta.routers_changed else None,
            configuration=delta.configuration,
        )

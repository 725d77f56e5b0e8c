"""The composition of the fleet's replicated state and everything that can be read of it.

:class:`orchidpath.state.fleet_state.FleetState` adds the commands that change it.
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
    """The sub-states of the replicated state, its revision and its newest changes.

    Parameters
    ----------
    body
        The state to begin with; by default that of a new fleet.

    Notes
    -----
    ``revision`` increases by one with every change that routers must apply;
    ``circuits_sequence`` by one with every change of a circuit. Neither ever decreases.
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
        """Return the whole state as bytes, the same on every replica at the same index."""
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
                dead_incarnations=self._workers.dead(),
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
        """Position of the newest applied command in the log."""
        return self._applied_index

    @property
    def leader_term(self) -> int:
        """Highest term whose leader has committed its first command."""
        return self._progress.leader_term

    @property
    def revision(self) -> int:
        """Newest revision of what routers must apply."""
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
        """Version of the newest configuration; 0 before the first."""
        return self._configuration.version

    @property
    def configuration(self) -> Configuration:
        """The newest configuration."""
        return self._configuration.configuration

    @property
    def document(self) -> bytes:
        """The text from which the newest configuration was made; empty if none was given."""
        return self._configuration.document

    def history(self) -> tuple[ConfigurationEntry, ...]:
        """Return the newest accepted configurations, oldest first."""
        return tuple(self._configuration.history())

    def find_update(self, order_id: str) -> UpdateRecord | None:
        """Return the configuration update remembered under an id, with its first outcome."""
        return self._configuration.find_update(order_id)

    def find_worker(self, worker_id: str) -> WorkerEntry | None:
        """Return a worker in the view, with the sequence of its announcement."""
        return self._workers.find(worker_id)

    def workers(self) -> tuple[WorkerRecord, ...]:
        """Return the workers in the view, by id."""
        return self.view().workers

    def routers(self) -> tuple[RouterRecord, ...]:
        """Return the registered routers, by id."""
        return self._routers.records()

    def find_router(self, router_id: str) -> RouterRecord | None:
        """Return a registered router."""
        return self._routers.find(router_id)

    def control_members(self) -> tuple[ControlMember, ...]:
        """Return the registered control replicas, by id."""
        return self._control_members.records()

    def find_circuit(self, worker_id: str) -> CircuitRecord | None:
        """Return a worker's agreed circuit; None if it never left its first state."""
        return self._circuits.find_circuit(worker_id)

    def circuits(self) -> tuple[CircuitRecord, ...]:
        """Return the agreed circuits, by worker."""
        return tuple(self._circuits.circuits())

    def find_capacity(self, failure_domain: str) -> CapacityRecord | None:
        """Return a failure domain's agreed capacity circuit."""
        return self._circuits.find_capacity(failure_domain)

    def capacities(self) -> tuple[CapacityRecord, ...]:
        """Return the agreed capacity circuits, by failure domain."""
        return tuple(self._circuits.capacities())

    @property
    def plan(self) -> PlanRecord | None:
        """The newest plan that was started, active or finished."""
        return self._plans.record

    def abandoned_workers(self) -> list[AbandonedWorker]:
        """Return the workers that plans have abandoned, oldest first."""
        return self._plans.abandoned()

    def find_plan_action(self, order_id: str) -> PlanActionRecord | None:
        """Return the plan action remembered under an id, with its first outcome."""
        return self._plans.find_action(order_id)

    @property
    def witnesses(self) -> tuple[str, ...]:
        """Ids of the routers that are witnesses now."""
        return self._routers.witnesses

    def witness_sets_since(self, revision: int) -> tuple[tuple[str, ...], ...]:
        """Return every distinct witness set in force from a revision up to now, oldest first.

        Raises
        ------
        WitnessHistoryLostError
            Sets of that time have been forgotten.
        """
        return self._routers.witness_sets_since(revision)

    def view(self) -> FleetView:
        """Return everything that a router must apply, at the newest revision."""
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
        """Return the update from a router's adopted revision to the newest one.

        It is a delta as far back as changes are remembered, and a full view beyond that.
        """
        delta: Delta | None = Delta()
        if adopted_revision < self._revision:
            delta = self._changes.since(adopted_revision)
        # A router that has adopted nothing has no view that a delta could change.
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

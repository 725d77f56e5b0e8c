"""A simulated fleet with its request path: serving routers, back ends and callers."""

import msgspec

from orchidpath.simulation.control_node import ControlNode
from orchidpath.simulation.fleet_simulation import (
    DisabledGuards,
    FleetShape,
    FleetSimulation,
)
from orchidpath.simulation.operators import Operators
from orchidpath.simulation.requests.exchange_messages import (
    MODEL_KINDS,
    REPEATABLE_KINDS,
    RequestKind,
)
from orchidpath.simulation.requests.exchanges import Exchanges
from orchidpath.simulation.requests.path_checks import RequestHistory
from orchidpath.simulation.requests.serving_router import ServingRouter
from orchidpath.simulation.requests.simulated_backend import SimulatedBackend
from orchidpath.simulation.requests.simulated_caller import Callers
from orchidpath.simulation.router_node import RouterNode
from orchidpath.state.commands import SubmitConfiguration, configuration_digest
from orchidpath.wire.configuration import (
    AdmissionPolicy,
    CircuitPolicy,
    Configuration,
    RetryPolicy,
    Route,
    Service,
    ServiceKind,
)
from orchidpath.wire.records import FleetView, Stage, WorkerRecord

MODEL_SERVICE = "chat"
PLAIN_SERVICE = "plain"
CONVERGENCE_SECONDS = 3.0
"""Time for workers and the first configuration to reach every router."""

DEADLINE_SECONDS = 6.0
CIRCUIT = CircuitPolicy(cooldown_seconds=2.0, max_cooldown_seconds=8.0)
RETRY = RetryPolicy()
ADMISSION = AdmissionPolicy(max_requests_in_flight=10)

MODELS = tuple(kind.value for kind in RequestKind if kind in MODEL_KINDS)


def request_configuration() -> Configuration:
    """Return the configuration under which the simulated requests are served."""
    services = [
        Service(name=MODEL_SERVICE, kind=ServiceKind.MODEL, models=list(MODELS)),
        Service(name=PLAIN_SERVICE, kind=ServiceKind.PLAIN),
    ]
    return Configuration(
        services=services,
        routes=[_route(kind) for kind in RequestKind],
        circuit=CIRCUIT,
        retry=RETRY,
        admission=ADMISSION,
    )


def _route(kind: RequestKind) -> Route:
    is_model = kind in MODEL_KINDS
    return Route(
        name=kind.value,
        service=MODEL_SERVICE if is_model else PLAIN_SERVICE,
        model=kind.value if is_model else "",
        method="" if is_model else "POST",
        path="" if is_model else f"/{kind.value}",
        repeatable=kind in REPEATABLE_KINDS,
        repeat_prompt_read=kind is RequestKind.CHAT_PREFILL_REPEATED,
        deadline_seconds=DEADLINE_SECONDS,
        first_token_timeout_seconds=3.0,
        stall_timeout_seconds=1.5,
    )


class RequestOperators(Operators):
    """Operators whose configuration updates keep the services that the requests use."""

    def new_update(self, base_version: int) -> SubmitConfiguration:
        """Return a configuration update that adds unique content to the served configuration."""
        update = super().new_update(base_version)
        served = request_configuration()
        configuration = msgspec.structs.replace(
            served, services=[*served.services, *update.configuration.services]
        )
        return msgspec.structs.replace(
            update,
            configuration=configuration,
            digest=configuration_digest(base_version, configuration),
        )


class RequestFleet(FleetSimulation):
    """Simulated fleet whose callers send requests.

    Parameters
    ----------
    seed, shape, disabled
        As for :class:`~orchidpath.simulation.fleet_simulation.FleetSimulation`.
    """

    def __init__(self, seed: int, shape: FleetShape, disabled: DisabledGuards) -> None:
        super().__init__(seed, shape, disabled)
        self.operators = RequestOperators(self.environment, self.controls, self.history)
        self.callers = Callers(
            self.environment, self.exchanges, self.serving, self.requests, disabled.path
        )

    def prepare(self, disabled: DisabledGuards) -> None:
        """Create the objects that the processes share, before any process is created."""
        self.exchanges = Exchanges(self.environment)
        self.requests = RequestHistory(self.environment, RETRY)
        self.serving: list[ServingRouter] = []
        self._applied_revision = -1
        self._majority_revision = -1
        self._witnesses: tuple[str, ...] = ()

    def make_router(
        self, name: str, zone: str, seeds: list[str], disabled: DisabledGuards
    ) -> RouterNode:
        """Return a new router that serves requests."""
        router = ServingRouter(
            self.environment,
            name,
            zone,
            seeds,
            disabled.freshness,
            self.exchanges,
            self.requests,
            disabled.path,
            disabled.request,
        )
        router.on_adopted = self._view_adopted
        self.serving.append(router)
        return router

    def make_workers(self, shape: FleetShape) -> None:
        """Create the back ends, a third each for prefill, decode and plain calls."""
        stages = (Stage.PREFILL, Stage.DECODE, Stage.PLAIN)
        self.backends = [
            SimulatedBackend(
                self.environment,
                self.exchanges,
                self.requests,
                _record(f"w{number}", stages[number % len(stages)], f"z{number % shape.zones}"),
                self.routers,
            )
            for number in range(shape.workers)
        ]

    def start(self) -> None:
        """Start all processes, submit the first configuration and run for the convergence time."""
        super().start()
        for backend in self.backends:
            backend.start()
        self.operators.submit(self.operators.new_update(0))
        self.callers.start()
        self.environment.run_until(self.environment.time + CONVERGENCE_SECONDS)

    def heal(self) -> None:
        """End every fault and start the processes that are down."""
        super().heal()
        self.requests.partitioned_pairs.clear()
        for backend in self.backends:
            backend.start()
            backend.heal()

    def _after_control_turn(self, control: ControlNode) -> None:
        super()._after_control_turn(control)
        core = control.core
        if core is None or not core.has_authority(control.now):
            return
        view = core.state.view()
        if view.revision != self._applied_revision:
            self._record_applied_view(view)
            self._record_majority_adoption()

    def _view_adopted(self, view: FleetView) -> None:
        """Record a revision that a router has adopted before a control process showed it.

        A leader may commit and push a revision in the same turn in which its lease ends. In that
        case no control process has shown the revision to the checks when the first router adopts
        it.
        """
        if view.revision > self._applied_revision:
            self._record_applied_view(view)
        self._record_majority_adoption()

    def _record_applied_view(self, view: FleetView) -> None:
        self._applied_revision = view.revision
        self.requests.record_applied_view(view.revision, view.workers)
        self._witnesses = view.witnesses

    def _record_majority_adoption(self) -> None:
        """Record the newest revision that a majority of every witness set in use has adopted.

        A router uses the witnesses of its current view, so an older witness set counts as long as
        any router has a view with it (docs/design/freshness.md, condition 1).
        """
        revisions: dict[str, int] = {}
        sets = {self._witnesses}
        for router in self.routers:
            view = router.view
            revisions[router.address] = view.revision if view is not None else 0
            if view is not None:
                sets.add(view.witnesses)
        majority_revision = min(
            (_adopted_by_majority(witnesses, revisions) for witnesses in sets if witnesses),
            default=0,
        )
        if majority_revision > self._majority_revision:
            self._majority_revision = majority_revision
            self.requests.record_majority_adoption(majority_revision)


def _adopted_by_majority(witnesses: tuple[str, ...], revisions: dict[str, int]) -> int:
    """Return the newest revision that a majority of these witnesses has adopted."""
    adopted = sorted(revisions.get(witness, 0) for witness in witnesses)
    return adopted[(len(adopted) - 1) // 2]


def _record(worker_id: str, stage: Stage, zone: str) -> WorkerRecord:
    is_plain = stage is Stage.PLAIN
    return WorkerRecord(
        worker_id=worker_id,
        incarnation="",
        service=PLAIN_SERVICE if is_plain else MODEL_SERVICE,
        stage=stage,
        url=f"http://{worker_id}",
        models=() if is_plain else MODELS,
        zone=zone,
        failure_domain=worker_id,
    )

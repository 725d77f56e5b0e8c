"""A simulated fleet with its request path: routers that serve, back ends, callers."""

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
"""Time for workers and the first configuration to be known everywhere."""

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
    """Operators whose orders keep the services that requests need."""

    def new_order(self, base_version: int) -> SubmitConfiguration:
        """Make an order with content of its own, on top of what is served."""
        order = super().new_order(base_version)
        served = request_configuration()
        configuration = msgspec.structs.replace(
            served, services=[*served.services, *order.configuration.services]
        )
        return msgspec.structs.replace(
            order,
            configuration=configuration,
            digest=configuration_digest(base_version, configuration),
        )


class RequestFleet(FleetSimulation):
    """One fleet with requests.

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
        """Make what the processes of this fleet share, before any of them."""
        self.exchanges = Exchanges(self.environment)
        self.requests = RequestHistory(self.environment, RETRY)
        self.serving: list[ServingRouter] = []
        self._agreed_revision = -1
        self._in_force_revision = -1
        self._witnesses: tuple[str, ...] = ()

    def make_router(
        self, name: str, zone: str, seeds: list[str], disabled: DisabledGuards
    ) -> RouterNode:
        """Make a router that serves requests."""
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
        """Make back ends: a third each for prefills, decodes and plain calls."""
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
        """Start everything, then let the operators name what is served."""
        super().start()
        for backend in self.backends:
            backend.start()
        self.operators.submit(self.operators.new_order(0))
        self.callers.start()
        self.environment.run_until(self.environment.time + CONVERGENCE_SECONDS)

    def heal(self) -> None:
        """End every fault and start what is down."""
        super().heal()
        self.requests.partitioned_pairs.clear()
        for backend in self.backends:
            backend.start()
            backend.heal()

    def _control_turned(self, control: ControlNode) -> None:
        super()._control_turned(control)
        core = control.core
        if core is None or not core.has_authority(control.now):
            return
        view = core.state.view()
        if view.revision != self._agreed_revision:
            self._record_agreed(view)
            self._check_in_force()

    def _view_adopted(self, view: FleetView) -> None:
        """Learn what is agreed from a router too.

        A leader may commit and push a revision in the same turn in which its lease ends, and then
        no control process has shown it to the checks when the first router applies it.
        """
        if view.revision > self._agreed_revision:
            self._record_agreed(view)
        self._check_in_force()

    def _record_agreed(self, view: FleetView) -> None:
        self._agreed_revision = view.revision
        self.requests.record_applied_view(view.revision, view.workers)
        self._witnesses = view.witnesses

    def _check_in_force(self) -> None:
        """Tell the history of the newest revision that every set of witnesses applies by majority.

        A router goes by the witnesses of the view that it has, so an older set counts as long as
        any router has it (docs/design/freshness.md, condition 1).
        """
        revisions: dict[str, int] = {}
        sets = {self._witnesses}
        for router in self.routers:
            view = router.view
            revisions[router.address] = view.revision if view is not None else 0
            if view is not None:
                sets.add(view.witnesses)
        in_force = min((_adopted_by_majority(one, revisions) for one in sets if one), default=0)
        if in_force > self._in_force_revision:
            self._in_force_revision = in_force
            self.requests.record_majority_adoption(in_force)


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

"""State that one router derives from its adopted view of the fleet.

It consists of routes, candidates, retry budgets, circuits and admission. It is brought up to date
before the next decision whenever the revision of the view has changed, so every decision uses the
newest adopted view.
"""

from random import Random

from orchidpath.circuit.fallback import FallbackCircuits
from orchidpath.circuit.throttle import ThrottleDetector
from orchidpath.forwarding.forward_route_table import ForwardTable
from orchidpath.router.fleet_link.fleet_access import FleetAccess
from orchidpath.routing.admission import AdmissionController
from orchidpath.routing.kv_transfer_evidence import TransferEvidenceTable
from orchidpath.routing.pairing import PairSelector
from orchidpath.routing.request.events import SendRefusal
from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.routing.route_table import RouteTable
from orchidpath.wire.configuration import Configuration, Service
from orchidpath.wire.messages import CircuitsView
from orchidpath.wire.records import FleetView, Stage, WorkerRecord, WorkerStatus

CONNECTION_SHARE = 0.8
"""Share of a worker's connection limit that all routers together may use."""

RETAINED_BUDGETS = 256
"""Retry budgets retained for services that the configuration has ceased to list."""

LEAST_CONNECTIONS = 2
"""Connections that each router may open to a worker, even when its share would be smaller."""


class RoutingState:
    """Routing state shared by all requests of one router.

    Parameters
    ----------
    fleet
        Source of the adopted view and of the lease.
    random
        Source of randomness.
    zone
        Zone of the router; empty when unknown.
    """

    def __init__(self, fleet: FleetAccess, random: Random, zone: str = "") -> None:
        empty = Configuration()
        self._fleet = fleet
        self._revision: int | None = None
        self._configuration = empty
        self._configuration_version = 0
        self._workers: dict[str, WorkerRecord] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._router_count = 1
        self.random = random
        self.routes = RouteTable(empty)
        self.forward_routes = ForwardTable(empty)
        self._services: dict[str, Service] = {}
        self.admission = AdmissionController(empty.admission)
        self.kv_transfer_evidence = TransferEvidenceTable()
        self.selector = PairSelector(self.kv_transfer_evidence.avoidance, zone=zone)
        self.fallback = FallbackCircuits(empty.circuit, random)
        self.throttle = ThrottleDetector(empty.circuit, random)

    @property
    def configuration(self) -> Configuration:
        """The configuration of the adopted view."""
        return self._configuration

    @property
    def configuration_version(self) -> int:
        """The version of :attr:`configuration`; 0 before the first view."""
        return self._configuration_version

    def refresh(self) -> bool:
        """Apply the newest adopted view; return False while there is none."""
        view = self._fleet.view()
        if view is None:
            return False
        if view.revision != self._revision:
            self.adopt(view)
        return True

    def adopt(self, view: FleetView) -> None:
        """Replace the adopted view and update everything that is derived from it."""
        configuration = view.configuration
        if configuration != self._configuration:
            self._apply_configuration(configuration)
        self._revision = view.revision
        self._configuration_version = view.configuration_version
        self._workers = {worker.worker_id: worker for worker in view.workers}
        self._router_count = max(len(view.routers), 1)
        for budget in self._budgets.values():
            budget.set_router_count(self._router_count)
        self.selector.update_view(view)
        self.fallback.set_workers(view.workers)
        self.throttle.set_workers(view.workers)

    def apply_circuits(self, circuits: CircuitsView, now: float) -> None:
        """Store the circuits agreed by the control tier as the last known ones."""
        if not self.fallback.accept_view(circuits, now):
            return
        for capacity in circuits.capacities:
            self.throttle.record_open(capacity.failure_domain, capacity.duration_seconds, now)

    def worker(self, worker_id: str) -> WorkerRecord | None:
        """Return a worker of the adopted view, or None if the view does not list it."""
        return self._workers.get(worker_id)

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._configuration.retry, self._router_count)
            self._budgets[service] = budget
        return budget

    def service(self, name: str) -> Service:
        """Return a service that a route of the adopted configuration names.

        A request calls this once, when it is routed, and keeps the result: a later configuration
        may no longer list the service of a request in progress.
        """
        return self._services[name]

    def connection_limit(self, service: Service) -> int:
        """Return how many connections this router may open to a worker; 0 means no limit."""
        limit = service.max_connections
        if not limit:
            return 0
        return max(LEAST_CONNECTIONS, int(CONNECTION_SHARE * limit / self._router_count))

    def send_refusal(
        self, worker_id: str, incarnation: str, stage: Stage, now: float
    ) -> SendRefusal | None:
        """Return why a request may not be sent to a worker now.

        Called immediately before the first byte is written, since the lease or the worker's status
        may have changed while the connection was being established.

        Parameters
        ----------
        worker_id
            The worker.
        incarnation
            Its incarnation when the request was prepared.
        stage
            The stage that the worker must serve.
        now
            Monotonic seconds.

        Returns
        -------
        SendRefusal or None
            None when the request may be sent.
        """
        if not self._fleet.is_fresh(now):
            return SendRefusal.NOT_FRESH
        self.refresh()
        if not self._is_usable(worker_id, incarnation, stage):
            return SendRefusal.WORKER_UNAVAILABLE
        return None

    def is_draining(self, worker_id: str) -> bool:
        """Return whether the worker itself announced to this router that it is draining."""
        return self._fleet.has_announced_draining(worker_id)

    def _is_usable(self, worker_id: str, incarnation: str, stage: Stage) -> bool:
        worker = self._workers.get(worker_id)
        if worker is None or worker.status is not WorkerStatus.READY or worker.cordoned:
            return False
        if worker.stage is not stage or worker.incarnation != incarnation:
            return False
        return not self.is_draining(worker_id)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self.routes = RouteTable(configuration)
        self.forward_routes = ForwardTable(configuration)
        self._services = {service.name: service for service in configuration.services}
        self.admission.set_policy(configuration.admission)
        admission = configuration.admission
        self.fallback.set_policy(
            configuration.circuit, admission.load_bound_factor, admission.load_bound_minimum
        )
        self.throttle.set_policy(configuration.circuit)
        self._drop_oldest_budgets()
        for budget in self._budgets.values():
            budget.set_policy(configuration.retry)

    def _drop_oldest_budgets(self) -> None:
        """Drop the oldest budgets of services that are no longer listed, above the limit.

        The others are retained: a service may return within the window of its budget, and requests
        of a service that was removed may still be retried.
        """
        unlisted = [name for name in self._budgets if name not in self._services]
        for name in unlisted[:-RETAINED_BUDGETS]:
            del self._budgets[name]

"""A simulated router that serves requests with the production routing state and admission."""

from collections.abc import Callable, Sequence

from orchidpath.router.chat.http_errors import refusal
from orchidpath.router.chat.http_intake import admission_error
from orchidpath.router.decision_maker import DecisionMaker
from orchidpath.router.routing_state import RoutingState
from orchidpath.routing.admission import Rejected
from orchidpath.routing.freshness import FreshnessGuard
from orchidpath.routing.kv_transfer_evidence import (
    TransferEvidenceTable,
    TransferFailure,
    TransferVerdict,
)
from orchidpath.routing.pairing import PairSelector
from orchidpath.routing.request.events import SendRefusal
from orchidpath.routing.request.guards import Guard
from orchidpath.routing.route_table import RouteMatch
from orchidpath.simulation.environment import SimulatedEnvironment
from orchidpath.simulation.requests.exchange_messages import (
    MODEL_KINDS,
    CallerRequest,
    Refused,
)
from orchidpath.simulation.requests.exchanges import Exchange, Exchanges
from orchidpath.simulation.requests.path_checks import RequestHistory
from orchidpath.simulation.requests.path_guards import PathGuard
from orchidpath.simulation.requests.served_request import ServedRequest
from orchidpath.simulation.requests.simulated_fleet_access import (
    NOT_FRESH_RETRY_SECONDS,
    SimulatedFleetAccess,
)
from orchidpath.simulation.router_node import RouterNode
from orchidpath.wire.backend import Announcement, ErrorBody, ErrorCode
from orchidpath.wire.messages import (
    AttemptReportsReply,
    CircuitsView,
    DecisionReply,
    Message,
    RouterHeartbeatReply,
)
from orchidpath.wire.records import FleetView, Stage, WorkerRecord

DECISION_TIMEOUT_SECONDS = 0.25
"""The default of the routers' settings."""


class PrefillFaultEvidence(TransferEvidenceTable):
    """Charges the prefill worker with every failed KV transfer, without further evidence.

    Used when the guard ``path.pair_evidence`` is disabled.
    """

    def record_failure(self, failure: TransferFailure, now: float) -> TransferVerdict:
        """Return the verdict that the prefill worker caused the failure."""
        return TransferVerdict.PREFILL_SIDE


class ServingRouter(RouterNode):
    """Simulated router that admits, routes and answers requests.

    Parameters
    ----------
    environment, address, zone, seeds, guards
        As for :class:`~orchidpath.simulation.router_node.RouterNode`.
    exchanges
        Opens the connections to back ends.
    history
        Records and checks the dispatches and responses of the router.
    path_guards
        Guards of the request path that are disabled.
    request_guards
        Guards of the request machine that are disabled.
    """

    def __init__(
        self,
        environment: SimulatedEnvironment,
        address: str,
        zone: str,
        seeds: Sequence[str],
        guards: frozenset[FreshnessGuard],
        exchanges: Exchanges,
        history: RequestHistory,
        path_guards: frozenset[PathGuard],
        request_guards: frozenset[Guard],
    ) -> None:
        super().__init__(environment, address, zone, seeds, guards)
        self.exchanges = exchanges
        self.history = history
        self.path_guards = path_guards
        self.request_guards = request_guards
        self.last_frozen_at = float("-inf")
        self.on_adopted: Callable[[FleetView], None] = lambda _view: None
        self._term = 0

    def on_start(self) -> None:
        """Start the router without a fleet view and without requests."""
        super().on_start()
        assert self.core is not None
        self._term = 0
        self.access = SimulatedFleetAccess(self, self.core, self._try_leader, self.path_guards)
        self.state = RoutingState(self.access, self.environment.random)
        if PathGuard.PAIR_EVIDENCE in self.path_guards:
            self.state.kv_transfer_evidence = PrefillFaultEvidence()
            self.state.selector = PairSelector(self.state.kv_transfer_evidence.avoidance)
        self.decisions = DecisionMaker(
            self.access, self.state, DECISION_TIMEOUT_SECONDS, lambda: self.now
        )

    def on_kill(self) -> None:
        """Drop the router's state and close its connections."""
        super().on_kill()
        self.exchanges.process_killed(self.address)

    def freeze(self, duration_seconds: float) -> None:
        """Freeze the process and record when the freeze ends.

        Requests that arrived before the end of a freeze are exempt from the response time check.
        """
        super().freeze(duration_seconds)
        if self.frozen:
            self.last_frozen_at = self.environment.time + duration_seconds

    def announce(self, announcement: Announcement) -> None:
        """Record a worker's announcement and forward it, if it is newer than the last."""
        if not self.is_running or self.frozen:
            return
        if self.access.receive_announcement(announcement):
            self.history.record_announcement(self.address, self.epoch, announcement.record)
            super().announce(announcement)

    def on_view_adopted(self, view: FleetView) -> None:
        """Update the fleet access and the routing state with a newly adopted view."""
        self.access.view_adopted(view)
        self.state.adopt(view)
        self.on_adopted(view)

    def on_message(self, sender_id: str, message: Message) -> None:
        """Handle a message from the control plane as the control link does."""
        match message:
            case DecisionReply():
                self.access.decision_answered(message)
            case CircuitsView():
                self.state.apply_circuits(message, self.now)
            case AttemptReportsReply():
                self.access.reports.record_acknowledgement(message.sequence)
            case _:
                super().on_message(sender_id, message)
        if isinstance(message, RouterHeartbeatReply) and message.term > self._term:
            self._term = message.term
            unacknowledged = self.access.reports.unacknowledged()
            self._try_leader(
                self.state.fallback.counter_report(message.term, self.now, unacknowledged)
            )

    def router_count(self) -> int:
        """Return how many routers share the minimum of the retry budgets, by the adopted view."""
        view = self.view
        return max(len(view.routers), 1) if view is not None else 1

    def send_refusal(self, worker: WorkerRecord, stage: Stage) -> SendRefusal | None:
        """Return why a dispatch may not be sent to this worker now, or None when it may."""
        refused = self.state.send_refusal(worker.worker_id, worker.incarnation, stage, self.now)
        if refused is SendRefusal.WORKER_UNAVAILABLE:
            ignores = PathGuard.STATUS_BEFORE_SEND in self.path_guards
            return None if ignores else refused
        return refused

    def accept(self, exchange: Exchange, request: CallerRequest) -> None:
        """Admit a caller's request and serve it, or reject it immediately."""
        submission = self.history.record_submission(request)
        refused = self._refusal(request)
        match = self._match(request) if refused is None else None
        if refused is None and match is None:
            refused = refusal(ErrorCode.UNKNOWN_ROUTE, "no route", request.request_id)
        if refused is None:
            admitted = self.state.admission.admit(
                request.request_id, request.tenant, request.max_tokens + 100, self.now
            )
            if isinstance(admitted, Rejected):
                refused = admission_error(admitted, request.request_id)
        if refused is not None or match is None:
            assert refused is not None
            self.history.check_immediate_rejection(submission)
            self.history.record_error_reply(submission, refused)
            self.history.check_end(submission)
            exchange.answer(Refused(error=refused))
            return
        ServedRequest(self, exchange, submission, match).run()

    def _refusal(self, request: CallerRequest) -> ErrorBody | None:
        if self.access.is_fresh(self.now) and self.state.refresh():
            return None
        return refusal(
            ErrorCode.NOT_FRESH,
            self.access.freshness_reason(self.now),
            request.request_id,
            retry_after_seconds=NOT_FRESH_RETRY_SECONDS,
        )

    def _match(self, request: CallerRequest) -> RouteMatch | None:
        if request.kind in MODEL_KINDS:
            return self.state.routes.match_chat(request.kind.value)
        return self.state.routes.match_plain("POST", f"/{request.kind.value}")

    def _turn(self) -> None:
        super()._turn()
        for batch in self.access.reports.due(self.now):
            self._try_leader(batch)

    def _try_leader(self, message: Message) -> bool:
        self._send_to_leader(message)
        return bool(self._finder.leader_address)

"""A simulated router that serves requests: the real routing state, decision maker and admission."""

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
"""As in the routers' settings."""


class CredulousDispatchLog(TransferEvidenceTable):
    """Charges the prefill worker on the decode worker's word alone; for a guard left out."""

    def record_failure(self, failure: TransferFailure, now: float) -> TransferVerdict:
        """Take every failure for the prefill worker's."""
        return TransferVerdict.PREFILL_SIDE


class ServingRouter(RouterNode):
    """One router with its request path.

    Parameters
    ----------
    environment, address, zone, seeds, guards
        As for :class:`~orchidpath.simulation.router_node.RouterNode`.
    exchanges
        Makes its connections to back ends.
    history
        Told of what it sends and answers.
    path_guards
        Rules of the request path to leave out.
    request_guards
        Rules of the request machine to leave out.
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
        """Begin without any view and without any request."""
        super().on_start()
        assert self.core is not None
        self._term = 0
        self.access = SimulatedFleetAccess(self, self.core, self._try_leader, self.path_guards)
        self.state = RoutingState(self.access, self.environment.random)
        if PathGuard.PAIR_EVIDENCE in self.path_guards:
            self.state.kv_transfer_evidence = CredulousDispatchLog()
            self.state.selector = PairSelector(self.state.kv_transfer_evidence.avoidance)
        self.decisions = DecisionMaker(
            self.access, self.state, DECISION_TIMEOUT_SECONDS, lambda: self.now
        )

    def on_kill(self) -> None:
        """Lose everything, and every connection."""
        super().on_kill()
        self.exchanges.process_died(self.address)

    def freeze(self, duration_seconds: float) -> None:
        """Stop the process; what it was to do in time cannot be done in time."""
        super().freeze(duration_seconds)
        if self.frozen:
            self.last_frozen_at = self.environment.time + duration_seconds

    def announce(self, announcement: Announcement) -> None:
        """Take a worker's announcement, remember and forward it."""
        if not self.alive or self.frozen:
            return
        if self.access.receive_announcement(announcement):
            self.history.record_announcement(self.address, self.epoch, announcement.record)
            super().announce(announcement)

    def on_view_adopted(self, view: FleetView) -> None:
        """Apply a newly adopted view."""
        self.access.view_adopted(view)
        self.state.adopt(view)
        self.on_adopted(view)

    def on_message(self, sender_id: str, message: Message) -> None:
        """Take a message as the control link does."""
        match message:
            case DecisionReply():
                self.access.decision_answered(message)
            case CircuitsView():
                self.state.take_circuits(message, self.now)
            case AttemptReportsReply():
                self.access.reports.acknowledged(message.sequence)
            case _:
                super().on_message(sender_id, message)
        if isinstance(message, RouterHeartbeatReply) and message.term > self._term:
            self._term = message.term
            unacknowledged = self.access.reports.unacknowledged()
            self._try_leader(
                self.state.fallback.counter_report(message.term, self.now, unacknowledged)
            )

    def router_count(self) -> int:
        """Return how many routers share the retry budgets' minimum, as this one knows."""
        view = self.view
        return max(len(view.routers), 1) if view is not None else 1

    def send_refusal(self, worker: WorkerRecord, stage: Stage) -> SendRefusal | None:
        """Say why an order may not be sent at this very moment."""
        refused = self.state.send_refusal(worker.worker_id, worker.incarnation, stage, self.now)
        if refused is SendRefusal.WORKER_UNAVAILABLE:
            ignores = PathGuard.STATUS_BEFORE_SEND in self.path_guards
            return None if ignores else refused
        return refused

    def accept(self, exchange: Exchange, request: CallerRequest) -> None:
        """Take a caller's request in, or refuse it at once."""
        # Imported late: a served request needs its router's type.

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

"""A simulated router's access to the fleet: decisions, reports, lease and worker announcements.

Replaces the router's control link, with the same pure components and virtual timeouts.
:func:`drive` runs the coroutines of the router's decision maker.
"""

from collections.abc import Callable, Collection, Coroutine, Generator, Sequence
from typing import Any, TypeVar

import msgspec

from orchidpath.router.fleet_link.announced_workers import AnnouncedWorkers
from orchidpath.router.fleet_link.control_link import RETRY_TIER_SECONDS
from orchidpath.router.fleet_link.fleet_access import FleetAccess
from orchidpath.router.fleet_link.late_decisions import LateDecisions
from orchidpath.router.fleet_link.report_queue import ReportQueue
from orchidpath.routing.freshness import FreshnessCore
from orchidpath.simulation.environment import SimulatedProcess
from orchidpath.simulation.requests.path_guards import PathGuard
from orchidpath.wire.backend import Announcement, AnnouncementReply
from orchidpath.wire.messages import (
    AttemptReport,
    CapacityObserved,
    Choice,
    DecisionReply,
    DecisionRequest,
    Message,
    Rejection,
)
from orchidpath.wire.records import FleetView, Stage

NOT_FRESH_RETRY_SECONDS = 1.0

ResultT = TypeVar("ResultT")


class PendingDecision:
    """Awaitable that resumes its coroutine once, with a decision reply or with None."""

    def __init__(self) -> None:
        self._resume: Callable[[DecisionReply | None], None] | None = None

    def __await__(self) -> Generator["PendingDecision", DecisionReply | None, DecisionReply | None]:
        """Yield this object to :func:`drive` and return the value passed to :meth:`resume`."""
        return (yield self)

    def set_continuation(self, resume: Callable[[DecisionReply | None], None]) -> None:
        """Set the callback that continues the coroutine."""
        self._resume = resume

    def resume(self, reply: DecisionReply | None) -> None:
        """Continue the coroutine; later calls have no effect."""
        resume, self._resume = self._resume, None
        if resume is not None:
            resume(reply)


def drive(coroutine: Coroutine[Any, Any, ResultT], on_result: Callable[[ResultT], None]) -> None:
    """Run a coroutine that awaits nothing but :class:`PendingDecision`, without an event loop."""

    def step(value: DecisionReply | None) -> None:
        try:
            waiting = coroutine.send(value)
        except StopIteration as stop:
            on_result(stop.value)
            return
        assert isinstance(waiting, PendingDecision)
        waiting.set_continuation(step)

    step(None)


class SimulatedFleetAccess(FleetAccess):
    """Fleet access of one run of one simulated router.

    Parameters
    ----------
    process
        Router whose clock and timers are used.
    core
        Lease and adopted view of the router.
    send_to_leader
        Sends a message to the leader, and returns whether a leader is known.
    guards
        Guards of the request path that are disabled.
    """

    def __init__(
        self,
        process: SimulatedProcess,
        core: FreshnessCore,
        send_to_leader: Callable[[Message], bool],
        guards: frozenset[PathGuard],
    ) -> None:
        self.reports = ReportQueue()
        self._process = process
        self._core = core
        self._send_to_leader = send_to_leader
        self._guards = guards
        self._late_decisions = LateDecisions()
        self._announced = AnnouncedWorkers()
        self._decisions: dict[int, PendingDecision] = {}
        self._correlation = 0
        self._next_leader_request_at = float("-inf")
        self._keeps_probes = PathGuard.ONE_PROBE in guards
        self._retained_probes: dict[Stage, Choice] = {}

    def view(self) -> FleetView | None:
        """Return the newest adopted view, or None before the first."""
        return self._core.view

    def is_fresh(self, now: float) -> bool:
        """Return whether the router holds a lease that allows it to serve by its view."""
        return PathGuard.FRESH_TO_SERVE in self._guards or self._core.is_fresh(now)

    def freshness_reason(self, now: float) -> str:
        """Return why the router is not fresh; empty when it is."""
        return self._core.reason(now)

    def seconds_until_fresh_hint(self) -> float:
        """Return after how many seconds a rejected caller should retry."""
        return NOT_FRESH_RETRY_SECONDS

    async def decide(
        self, request: DecisionRequest, timeout_seconds: float
    ) -> DecisionReply | None:
        """Request a decision from the leader.

        Returns None when no leader is known, when the leader does not reply in time or is no
        longer the leader, and for a short time after a request has timed out.
        """
        if self._process.now < self._next_leader_request_at:
            return None
        self._correlation += 1
        request = msgspec.structs.replace(request, correlation=self._correlation)
        if not self._send_to_leader(request):
            return None
        waiting = self._decisions[request.correlation] = PendingDecision()
        self._process.after(timeout_seconds, lambda: self._decision_timed_out(request))
        reply = await waiting
        if reply is None or reply.rejection is Rejection.NOT_LEADER:
            return None
        return self._with_retained_probes(reply) if self._keeps_probes else reply

    def decision_answered(self, reply: DecisionReply) -> None:
        """Handle the leader's reply, which may arrive after the request has timed out."""
        self._next_leader_request_at = self._process.now
        waiting = self._decisions.pop(reply.correlation, None)
        if waiting is not None:
            waiting.resume(reply)
            return
        self.reports.add(self._late_decisions.release_unused(reply))

    def record_local_decision(self, attempt_id: str, worker_ids: Collection[str]) -> None:
        """Record which workers the router chose without the leader."""
        self._late_decisions.record_local_decision(attempt_id, worker_ids)

    def report(self, reports: Sequence[AttemptReport]) -> None:
        """Queue reports for the leader."""
        self.reports.add(reports)

    def observe_capacity(self, observed: CapacityObserved) -> None:
        """Send a capacity observation to the leader."""
        self._send_to_leader(observed)

    async def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Record a worker's announcement and return whether it was accepted."""
        return AnnouncementReply(accepted=self.receive_announcement(announcement))

    def receive_announcement(self, announcement: Announcement) -> bool:
        """Record a worker's announcement; return False when it is not newer than the last."""
        return self._announced.record_announcement(announcement)

    def has_announced_draining(self, worker_id: str) -> bool:
        """Return whether the worker has announced to this router that it is draining."""
        if PathGuard.DRAINING_HEARD in self._guards:
            return False
        return self._announced.is_draining(worker_id)

    def view_adopted(self, view: FleetView) -> None:
        """Remove the announcements of incarnations that the view no longer contains."""
        self._announced.view_adopted(view)

    def _with_retained_probes(self, reply: DecisionReply) -> DecisionReply:
        """Reuse a granted probe for later attempts, for the disabled guard ``path.one_probe``."""
        for choice in reply.choices:
            if choice.probe_generation is not None:
                self._retained_probes[choice.stage] = choice
        choices = tuple(self._retained_probes.get(choice.stage, choice) for choice in reply.choices)
        return msgspec.structs.replace(reply, choices=choices)

    def _decision_timed_out(self, request: DecisionRequest) -> None:
        waiting = self._decisions.pop(request.correlation, None)
        if waiting is None:
            return
        self._next_leader_request_at = self._process.now + RETRY_TIER_SECONDS
        self._late_decisions.record_abandoned(request)
        waiting.resume(None)

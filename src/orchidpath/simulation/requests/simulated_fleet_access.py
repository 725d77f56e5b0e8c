"""A simulated router's access to the fleet: decisions, reports, lease and what workers told it.

Plays the part of the router's control link with its pure parts; waiting is virtual. Coroutines of
the router's decision maker are driven by :func:`drive`.
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


class Waiting:
    """What a coroutine awaits: it is resumed once, with an answer or with None."""

    def __init__(self) -> None:
        self._resume: Callable[[DecisionReply | None], None] | None = None

    def __await__(self) -> Generator["Waiting", DecisionReply | None, DecisionReply | None]:
        """Hand this object to :func:`drive` and return what it is resumed with."""
        return (yield self)

    def wake_with(self, resume: Callable[[DecisionReply | None], None]) -> None:
        """Name what continues the coroutine."""
        self._resume = resume

    def resume(self, reply: DecisionReply | None) -> None:
        """Continue the coroutine, the first time only."""
        resume, self._resume = self._resume, None
        if resume is not None:
            resume(reply)


def drive(coroutine: Coroutine[Any, Any, ResultT], on_result: Callable[[ResultT], None]) -> None:
    """Run a coroutine that awaits nothing but :class:`Waiting`, without an event loop."""

    def step(value: DecisionReply | None) -> None:
        try:
            waiting = coroutine.send(value)
        except StopIteration as stop:
            on_result(stop.value)
            return
        assert isinstance(waiting, Waiting)
        waiting.wake_with(step)

    step(None)


class SimulatedFleetAccess(FleetAccess):
    """The fleet as one run of one simulated router sees it.

    Parameters
    ----------
    process
        The router; its clock and its timers are used.
    core
        Its lease and view.
    send_to_leader
        Sends to the leader, if one is known; tells whether one is.
    guards
        Rules to leave out.
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
        self._decisions: dict[int, Waiting] = {}
        self._correlation = 0
        self._tier_retry_at = float("-inf")
        self._keeps_probes = PathGuard.ONE_PROBE in guards
        self._retained_probes: dict[Stage, Choice] = {}

    def view(self) -> FleetView | None:
        """Return the newest adopted view, or None before the first."""
        return self._core.view

    def is_fresh(self, now: float) -> bool:
        """Return whether the router holds a lease to serve by its view."""
        return PathGuard.FRESH_TO_SERVE in self._guards or self._core.is_fresh(now)

    def freshness_reason(self, now: float) -> str:
        """Return why the router is not fresh; empty when it is."""
        return self._core.reason(now)

    def seconds_until_fresh_hint(self) -> float:
        """Return when a refused caller should come back."""
        return NOT_FRESH_RETRY_SECONDS

    async def decide(
        self, request: DecisionRequest, timeout_seconds: float
    ) -> DecisionReply | None:
        """Ask the leader; None when it is slow or lost."""
        if self._process.now < self._tier_retry_at:
            return None
        self._correlation += 1
        request = msgspec.structs.replace(request, correlation=self._correlation)
        if not self._send_to_leader(request):
            return None
        waiting = self._decisions[request.correlation] = Waiting()
        self._process.after(timeout_seconds, lambda: self._give_up(request))
        reply = await waiting
        if reply is None or reply.rejection is Rejection.NOT_LEADER:
            return None
        return self._with_retained_probes(reply) if self._keeps_probes else reply

    def decision_answered(self, reply: DecisionReply) -> None:
        """Take the leader's answer, in time or late."""
        self._tier_retry_at = self._process.now
        waiting = self._decisions.pop(reply.correlation, None)
        if waiting is not None:
            waiting.resume(reply)
            return
        self.reports.add(self._late_decisions.answered(reply))

    def decided_alone(self, attempt_id: str, worker_ids: Collection[str]) -> None:
        """Learn which workers the router chose by itself."""
        self._late_decisions.decided_alone(attempt_id, worker_ids)

    def report(self, reports: Sequence[AttemptReport]) -> None:
        """Queue reports for the leader."""
        self.reports.add(reports)

    def observe_capacity(self, observed: CapacityObserved) -> None:
        """Tell the leader of a derived throttle."""
        self._send_to_leader(observed)

    async def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Take a worker's announcement."""
        return AnnouncementReply(accepted=self.receive_announcement(announcement))

    def receive_announcement(self, announcement: Announcement) -> bool:
        """Remember what a worker says of itself; false for one that is not newer."""
        return self._announced.record_announcement(announcement)

    def locally_draining(self, worker_id: str) -> bool:
        """Return whether the worker itself told this router that it is draining."""
        if PathGuard.DRAINING_HEARD in self._guards:
            return False
        return self._announced.is_draining(worker_id)

    def view_adopted(self, view: FleetView) -> None:
        """Forget what incarnations have said that are no more."""
        self._announced.view_adopted(view)

    def _with_retained_probes(self, reply: DecisionReply) -> DecisionReply:
        """Use a granted probe for later attempts as well; for a guard left out."""
        for choice in reply.choices:
            if choice.probe_generation is not None:
                self._retained_probes[choice.stage] = choice
        choices = tuple(self._retained_probes.get(one.stage, one) for one in reply.choices)
        return msgspec.structs.replace(reply, choices=choices)

    def _give_up(self, request: DecisionRequest) -> None:
        waiting = self._decisions.pop(request.correlation, None)
        if waiting is None:
            return
        self._tier_retry_at = self._process.now + RETRY_TIER_SECONDS
        self._late_decisions.record_abandoned(request)
        waiting.resume(None)

"""The router's link to the rest of the fleet: lease, fleet view, decisions, reports, announcements.

:class:`~orchidpath.routing.freshness.FreshnessCore` makes the decisions about lease and view; this
module sends and receives its messages. Like every process, it also answers queries for the control
members.
"""

import asyncio
import random as random_module
from collections.abc import Collection, Sequence
from contextlib import suppress
from typing import Protocol

import msgspec

from orchidpath.common.clock import Clock
from orchidpath.common.logs import get_logger
from orchidpath.router.fleet_link.announced_workers import AnnouncedWorkers
from orchidpath.router.fleet_link.fleet_access import FleetAccess
from orchidpath.router.fleet_link.late_decisions import LateDecisions
from orchidpath.router.fleet_link.leader_finder import LeaderFinder
from orchidpath.router.fleet_link.report_queue import ReportQueue
from orchidpath.routing.freshness import (
    LEAVE_TIMEOUT_SECONDS,
    AcknowledgeSoon,
    FreshnessCore,
    FreshnessEffect,
    SendToLeader,
    SendToRouter,
    ViewAdopted,
)
from orchidpath.wire.backend import Announcement, AnnouncementReply
from orchidpath.wire.connection import Connection
from orchidpath.wire.link_faults import LinkFaults
from orchidpath.wire.listener import Listener
from orchidpath.wire.messages import (
    AttemptReport,
    AttemptReportsReply,
    CapacityObserved,
    CircuitsView,
    ControlMembers,
    CounterReport,
    DecisionReply,
    DecisionRequest,
    FleetUpdate,
    ForwardedAnnouncements,
    FreshnessQuery,
    FreshnessReply,
    Hello,
    Message,
    Rejection,
    RouterHeartbeatReply,
    WhoIsControl,
)
from orchidpath.wire.peer_links import PeerLinks
from orchidpath.wire.records import FleetView, RouterRecord

LOOP_PERIOD_SECONDS = 0.05
"""Period of the link's loop, which sends due heartbeats, batched reports and announcements."""

RETRY_TIER_SECONDS = 0.25
"""After a decision timed out, no other is requested for this time or until a reply arrives."""

MAX_ANNOUNCE_ADDRESSES = 4
"""Maximum number of addresses returned to a worker for its further announcements."""


class FleetListener(Protocol):
    """Receives updates from the link; all methods run in the event loop and must not block."""

    def view_adopted(self, view: FleetView) -> None:
        """Use this view for every later decision."""

    def circuits_received(self, circuits: CircuitsView) -> None:
        """Store the circuits agreed by the control tier as the last known ones."""

    def counter_report(self, term: int, unacknowledged: tuple[AttemptReport, ...]) -> CounterReport:
        """Return this router's own counters for a new leader, without the unacknowledged reports.

        Those reports will still be sent, so including them would count them twice.
        """


class ControlLink(FleetAccess):
    """Connects one router to control, to its witnesses and to the processes that query it.

    Parameters
    ----------
    record
        The record under which this router registers.
    hello
        Identity of this process, sent on every connection.
    seeds
        Wire addresses of three processes of the fleet.
    clock
        Monotonic clock.
    random
        Source of jitter.
    faults
        Injected link faults, for tests.
    """

    def __init__(
        self,
        record: RouterRecord,
        hello: Hello,
        seeds: Sequence[str],
        clock: Clock,
        random: random_module.Random,
        faults: LinkFaults | None = None,
    ) -> None:
        now = clock()
        self._record = record
        self._clock = clock
        self._logger = get_logger("control_link")
        self._core = FreshnessCore(record, hello.incarnation, now)
        self._finder = LeaderFinder(seeds, now)
        self._reports = ReportQueue()
        self._late_decisions = LateDecisions()
        self._announcements: dict[str, Announcement] = {}
        self._announced = AnnouncedWorkers()
        self._decisions: dict[int, asyncio.Future[DecisionReply]] = {}
        self._correlation = 0
        self._tier_retry_at = float("-inf")
        self._term = 0
        self._listener_object: FleetListener | None = None
        self._incoming: dict[str, Connection] = {}
        self._links = PeerLinks(
            hello, self._on_message, random, on_connect=self._on_link_up, faults=faults
        )
        self._listener = Listener(record.address, hello, on_message=self._on_message, faults=faults)
        self._loop_task: asyncio.Task[None] | None = None
        self._acknowledging: asyncio.TimerHandle | None = None

    def set_listener(self, listener: FleetListener) -> None:
        """Set the listener that receives updates; call before :meth:`start`."""
        self._listener_object = listener

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seeds of a running router."""
        self._finder.set_seeds(seeds)

    async def start(self) -> None:
        """Listen, connect and start requesting a lease."""
        await self._listener.start()
        self._loop_task = asyncio.create_task(self._run_loop())

    async def stop(self) -> None:
        """Send queued reports and announcements, tell the leader, and close all connections."""
        if self._loop_task is not None:
            self._loop_task.cancel()
        if self._acknowledging is not None:
            self._acknowledging.cancel()
        self._send_queued(self._clock())
        await self._leave()
        await self._links.close()
        await self._listener.close()

    def view(self) -> FleetView | None:
        """Return the newest adopted view, or None before the first."""
        return self._core.view

    def is_fresh(self, now: float) -> bool:
        """Return whether this router holds a lease to serve requests with its view."""
        return self._core.is_fresh(now)

    def freshness_reason(self, now: float) -> str:
        """Return why the router is not fresh; empty when it is."""
        return self._core.reason(now)

    def seconds_until_fresh_hint(self) -> float:
        """Return after how many seconds a rejected caller should retry."""
        return 1.0

    async def decide(
        self, request: DecisionRequest, timeout_seconds: float
    ) -> DecisionReply | None:
        """Request a decision from the leader, which registers the attempt; None without one."""
        now = self._clock()
        if now < self._tier_retry_at:
            return None
        self._correlation += 1
        request = msgspec.structs.replace(request, correlation=self._correlation)
        answer: asyncio.Future[DecisionReply] = asyncio.get_running_loop().create_future()
        self._decisions[request.correlation] = answer
        try:
            if not self._send_to_leader(request):
                return None
            async with asyncio.timeout(timeout_seconds):
                reply = await answer
        except TimeoutError:
            # Until the leader replies, at most one request per retry period waits for the timeout.
            self._tier_retry_at = self._clock() + RETRY_TIER_SECONDS
            self._late_decisions.record_abandoned(request)
            return None
        finally:
            del self._decisions[request.correlation]
        return None if reply.rejection is Rejection.NOT_LEADER else reply

    def record_local_decision(self, attempt_id: str, worker_ids: Collection[str]) -> None:
        """Record which workers the router chose without the leader."""
        self._late_decisions.record_local_decision(attempt_id, worker_ids)

    def report(self, reports: Sequence[AttemptReport]) -> None:
        """Queue reports for the leader."""
        self._reports.add(reports)

    def observe_capacity(self, observed: CapacityObserved) -> None:
        """Report an observed throttle to the leader.

        If the message is lost, the throttle is observed and reported again.
        """
        self._send_to_leader(observed)

    async def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Store a worker's announcement and forward it to the leader."""
        record = announcement.record
        was_draining = self._announced.is_draining(record.worker_id)
        if not self._announced.record_announcement(announcement):
            return self._announcement_reply()
        self._announcements[record.worker_id] = announcement
        if was_draining != self._announced.is_draining(record.worker_id):
            self._send_announcements()
        return self._announcement_reply()

    def has_announced_draining(self, worker_id: str) -> bool:
        """Return whether the worker itself announced to this router that it is draining."""
        return self._announced.is_draining(worker_id)

    async def _leave(self) -> None:
        """Tell the leader that this router leaves, until the leader has recorded it or time is up.

        Otherwise the confirmation of changes would await this router as a witness.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_SECONDS):
                while not self._core.has_left:
                    self._execute(self._core.leave())
                    await asyncio.sleep(LOOP_PERIOD_SECONDS)

    async def _run_loop(self) -> None:
        while True:
            now = self._clock()
            self._links.set_addresses(self._peer_addresses(now))
            self._execute(self._core.tick(now))
            if self._finder.should_query(now):
                self._query_all_peers(now)
            self._send_queued(now)
            await asyncio.sleep(LOOP_PERIOD_SECONDS)

    def _peer_addresses(self, now: float) -> set[str]:
        addresses = self._finder.addresses(now)
        view = self._core.view
        if view is not None and self._finder.is_leader_silent(now):
            known = {router.router_id: router.address for router in view.routers}
            addresses.update(known[witness] for witness in view.witnesses if witness in known)
        addresses.discard(self._record.address)
        return addresses

    def _query_all_peers(self, now: float) -> None:
        for connection in self._links.connections():
            connection.send(WhoIsControl())
            if self._core.view is None:
                connection.send(self._core.seed_query(now))

    def _send_queued(self, now: float) -> None:
        for batch in self._reports.due(now):
            self._send_to_leader(batch)
        self._send_announcements()

    def _send_announcements(self) -> None:
        if not self._announcements:
            return
        announcements = tuple(self._announcements.values())
        if self._send_to_leader(ForwardedAnnouncements(announcements=announcements)):
            self._announcements.clear()

    def _announcement_reply(self) -> AnnouncementReply:
        addresses = [
            member.http_address for member in self._finder.members.members if member.http_address
        ]
        return AnnouncementReply(
            accepted=True, announce_to=tuple(addresses[:MAX_ANNOUNCE_ADDRESSES])
        )

    def _send_to_leader(self, message: Message) -> bool:
        address = self._finder.leader_address
        return bool(address) and self._links.send(address, message)

    def _on_link_up(self, connection: Connection) -> None:
        connection.send(WhoIsControl())
        if connection.dialled_address == self._finder.leader_address:
            self._execute(self._core.heartbeat(self._clock()))

    def _update_members(self, members: ControlMembers, now: float) -> None:
        known_leader = self._finder.leader_address
        self._finder.update_members(members)
        if self._finder.leader_address not in {"", known_leader}:
            self._execute(self._core.heartbeat(now))

    def _on_message(self, connection: Connection, message: Message) -> None:
        now = self._clock()
        match message:
            case ControlMembers():
                self._update_members(message, now)
            case WhoIsControl():
                connection.send(self._finder.members)
            case FreshnessQuery():
                self._answer_query(connection, message, now)
            case FreshnessReply():
                self._execute(self._core.receive_reply(message, now))
            case _:
                self._on_leader_message(message, now)

    def _on_leader_message(self, message: Message, now: float) -> None:
        match message:
            case DecisionReply():
                self._decision_answered(message, now)
            case RouterHeartbeatReply():
                self._heartbeat_answered(message, now)
            case FleetUpdate():
                self._execute(self._core.receive_update(message, now))
            case CircuitsView() if self._listener_object is not None:
                self._listener_object.circuits_received(message)
            case AttemptReportsReply():
                self._reports.record_acknowledgement(message.sequence)
            case _:
                self._logger.debug("unused_message", kind=type(message).__name__)

    def _decision_answered(self, reply: DecisionReply, now: float) -> None:
        self._tier_retry_at = now
        waiting = self._decisions.get(reply.correlation)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)
            return
        self._reports.add(self._late_decisions.release_unused(reply))

    def _heartbeat_answered(self, reply: RouterHeartbeatReply, now: float) -> None:
        self._finder.record_leader_contact(now)
        self._execute(self._core.receive_heartbeat_reply(reply, now))
        if reply.term > self._term:
            self._term = reply.term
            if self._listener_object is not None:
                unacknowledged = self._reports.unacknowledged()
                counters = self._listener_object.counter_report(reply.term, unacknowledged)
                self._send_to_leader(counters)

    def _answer_query(self, connection: Connection, query: FreshnessQuery, now: float) -> None:
        for effect in self._core.receive_query(query, connection.remote.address, now):
            if isinstance(effect, SendToRouter):
                connection.send(effect.message)

    def _execute(self, effects: Sequence[FreshnessEffect]) -> None:
        for effect in effects:
            match effect:
                case SendToLeader():
                    self._send_to_leader(effect.message)
                case SendToRouter():
                    self._links.send(effect.address, effect.message)
                case ViewAdopted():
                    self._view_adopted(effect.view)
                case AcknowledgeSoon():
                    self._acknowledge_soon(effect.delay_seconds)

    def _acknowledge_soon(self, delay_seconds: float) -> None:
        if self._acknowledging is None:
            loop = asyncio.get_running_loop()
            self._acknowledging = loop.call_later(delay_seconds, self._acknowledge)

    def _acknowledge(self) -> None:
        self._acknowledging = None
        self._execute(self._core.heartbeat(self._clock()))

    def _view_adopted(self, view: FleetView) -> None:
        self._announced.view_adopted(view)
        self._logger.debug("view_adopted", revision=view.revision)
        if self._listener_object is not None:
            self._listener_object.view_adopted(view)

"""The router's link to the rest of the fleet: lease, fleet view, decisions, reports, announcements.

A thin shell around :class:`~orchidpath.routing.freshness.FreshnessCore`, which decides; this module
moves its messages. It also answers, as any process does, who the control members are.
"""

import asyncio
import random as random_module
from collections.abc import Collection, Sequence
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

TURN_SECONDS = 0.05
"""Period of the link's own turn: heartbeats when due, batched reports and announcements."""

RETRY_TIER_SECONDS = 0.25
"""After a decision was not answered in time, the leader is tried again this often at most."""

MAX_ANNOUNCE_ADDRESSES = 4
"""How many addresses a worker is told to announce itself to."""


class FleetListener(Protocol):
    """Is told what the link learns; everything is called in the event loop and must not block."""

    def view_adopted(self, view: FleetView) -> None:
        """Apply this view in every decision from now on."""

    def circuits_received(self, circuits: CircuitsView) -> None:
        """Take the agreed circuits as the last known ones."""

    def counter_report(self, term: int, unacknowledged: tuple[AttemptReport, ...]) -> CounterReport:
        """Return this router's own counters for a new leader, without what is still reported."""


class ControlLink(FleetAccess):
    """Connects one router to control, to its witnesses and to the processes that ask it.

    Parameters
    ----------
    record
        This router as it registers itself.
    hello
        What this process says of itself on every connection.
    seeds
        Wire addresses of three processes of the fleet.
    clock
        Monotonic clock.
    random
        Source of jitter.
    faults
        Injected faults, for tests.
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
        self._turns: asyncio.Task[None] | None = None
        self._acknowledging: asyncio.TimerHandle | None = None

    def set_listener(self, listener: FleetListener) -> None:
        """Name the one that is told what this link learns; before :meth:`start`."""
        self._listener_object = listener

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Take other seeds in a running router."""
        self._finder.set_seeds(seeds)

    async def start(self) -> None:
        """Listen, connect and begin to ask for a lease."""
        await self._listener.start()
        self._turns = asyncio.create_task(self._turn_forever())

    async def stop(self) -> None:
        """Send what is queued and close."""
        if self._turns is not None:
            self._turns.cancel()
        if self._acknowledging is not None:
            self._acknowledging.cancel()
        self._send_queued(self._clock())
        await asyncio.sleep(0)
        await self._links.close()
        await self._listener.close()

    def view(self) -> FleetView | None:
        """Return the newest adopted view, or None before the first."""
        return self._core.view

    def is_fresh(self, now: float) -> bool:
        """Return whether this router holds a lease to serve by its view."""
        return self._core.is_fresh(now)

    def freshness_reason(self, now: float) -> str:
        """Return why the router is not fresh; empty when it is."""
        return self._core.reason(now)

    def seconds_until_fresh_hint(self) -> float:
        """Return when a refused caller should come back."""
        return 1.0

    async def decide(
        self, request: DecisionRequest, timeout_seconds: float
    ) -> DecisionReply | None:
        """Ask the leader to choose workers and register the attempt; None if it is slow or lost."""
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
            # Until the leader answers again only one request in a while pays for the wait.
            self._tier_retry_at = self._clock() + RETRY_TIER_SECONDS
            self._late_decisions.record_abandoned(request)
            return None
        finally:
            del self._decisions[request.correlation]
        return None if reply.rejection is Rejection.NOT_LEADER else reply

    def decided_alone(self, attempt_id: str, worker_ids: Collection[str]) -> None:
        """Learn which workers the router chose by itself."""
        self._late_decisions.decided_alone(attempt_id, worker_ids)

    def report(self, reports: Sequence[AttemptReport]) -> None:
        """Queue reports for the leader."""
        self._reports.add(reports)

    def observe_capacity(self, observed: CapacityObserved) -> None:
        """Tell the leader of a derived throttle; if it is lost it will be observed again."""
        self._send_to_leader(observed)

    async def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Take a worker's announcement and forward it to the leader."""
        record = announcement.record
        was_draining = self._announced.is_draining(record.worker_id)
        if not self._announced.record_announcement(announcement):
            return self._announcement_reply()
        self._announcements[record.worker_id] = announcement
        if was_draining != self._announced.is_draining(record.worker_id):
            self._send_announcements()
        return self._announcement_reply()

    def locally_draining(self, worker_id: str) -> bool:
        """Return whether the worker itself told this router that it is draining."""
        return self._announced.is_draining(worker_id)

    async def _turn_forever(self) -> None:
        while True:
            now = self._clock()
            self._links.set_addresses(self._peer_addresses(now))
            self._execute(self._core.tick(now))
            if self._finder.should_query(now):
                self._query_everyone(now)
            self._send_queued(now)
            await asyncio.sleep(TURN_SECONDS)

    def _peer_addresses(self, now: float) -> set[str]:
        addresses = self._finder.addresses(now)
        view = self._core.view
        if view is not None and self._finder.is_leader_silent(now):
            known = {router.router_id: router.address for router in view.routers}
            addresses.update(known[one] for one in view.witnesses if one in known)
        addresses.discard(self._record.address)
        return addresses

    def _query_everyone(self, now: float) -> None:
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
        addresses = [one.http_address for one in self._finder.members.members if one.http_address]
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

    def _learn_members(self, members: ControlMembers, now: float) -> None:
        known_leader = self._finder.leader_address
        self._finder.update_members(members)
        if self._finder.leader_address not in {"", known_leader}:
            self._execute(self._core.heartbeat(now))

    def _on_message(self, connection: Connection, message: Message) -> None:
        now = self._clock()
        match message:
            case ControlMembers():
                self._learn_members(message, now)
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
                self._reports.acknowledged(message.sequence)
            case _:
                self._logger.debug("unused_message", kind=type(message).__name__)

    def _decision_answered(self, reply: DecisionReply, now: float) -> None:
        self._tier_retry_at = now
        waiting = self._decisions.get(reply.correlation)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)
            return
        self._reports.add(self._late_decisions.answered(reply))

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

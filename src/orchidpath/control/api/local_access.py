"""The operators' API on any control process: what this one cannot say itself, it asks the leader.

Forwarding keeps one rule: an order whose forwarding got no answer is ``unknown``, never
"not taken".
"""

import asyncio
from collections.abc import Callable
from typing import TypeVar

import msgspec

from orchidpath.circuit.circuit_table import WorkerCircuitView
from orchidpath.common.clock import Clock
from orchidpath.control.api.operator_api import ControlAccess, UnavailableError
from orchidpath.control.api.operator_bodies import Accepted, StatusBody, SubmitResult, SubmitStatus
from orchidpath.control.api.plan_api import PlanAccess
from orchidpath.control.api.plan_bodies import PlanActionResult
from orchidpath.control.replica.control_effects import (
    PlanActionAnswered,
    ReadFailed,
    ReadReady,
    UpdateAnswered,
)
from orchidpath.control.replica.control_replica import ControlReplica
from orchidpath.control.replica.pending_updates import CONFIRM_WAIT_SECONDS
from orchidpath.control.replica.replica_loop import ReplicaLoop
from orchidpath.state.commands import SubmitConfiguration
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.backend import Announcement, AnnouncementReply
from orchidpath.wire.messages import (
    ConfigurationUpdateReply,
    ConfigurationUpdateRequest,
    ForwardedAnnouncements,
    Message,
    PlanAction,
    PlanActionReply,
    PlanActionRequest,
    PlanActionStatus,
    ReadIndexReply,
    ReadIndexRequest,
    UpdateStatus,
    WorkerCircuitsReply,
    WorkerCircuitsRequest,
)
from orchidpath.wire.records import WorkerStatus

ORDER_TIMEOUT_SECONDS = CONFIRM_WAIT_SECONDS + 2.0
"""After this long without an outcome an order is answered as unknown."""

DEPARTURE_TIMEOUT_SECONDS = 0.8
"""Bound on the wait until the fleet has agreed that a worker drains or is gone."""

DEPARTURE_PERIOD_SECONDS = 0.05
"""Time between two looks whether it has."""

READ_TIMEOUT_SECONDS = 2.0
"""Bound on a linearizable read."""

_STATUS_BY_ANSWER = {
    UpdateStatus.CONFIRMED: SubmitStatus.CONFIRMED,
    UpdateStatus.ACCEPTED_NOT_CONFIRMED: SubmitStatus.ACCEPTED_NOT_CONFIRMED,
    UpdateStatus.CONFLICT: SubmitStatus.CONFLICT,
    UpdateStatus.ORDER_ID_REUSED: SubmitStatus.ORDER_ID_REUSED,
    UpdateStatus.REJECTED: SubmitStatus.UNAVAILABLE,
    UpdateStatus.UNKNOWN: SubmitStatus.UNAVAILABLE,
}

Answer = TypeVar("Answer")


class LocalControlAccess(ControlAccess, PlanAccess):
    """Answers operators from this process's core, or from the leader's.

    Parameters
    ----------
    runner
        Gives access to the core.
    clock
        Monotonic clock.
    send_to_leader
        Sends a message to the leader as far as it is known; False if it is surely lost.
    """

    def __init__(
        self, runner: ReplicaLoop, clock: Clock, send_to_leader: Callable[[Message], bool]
    ) -> None:
        self._runner = runner
        self._clock = clock
        self._send_to_leader = send_to_leader
        self._next_key = 0
        self._waiting: dict[int, asyncio.Future[object]] = {}
        self._announcements: dict[str, Announcement] = {}

    @property
    def _core(self) -> ControlReplica:
        return self._runner.core

    async def submit(self, order: SubmitConfiguration) -> SubmitResult:
        """Propose an order here, or forward it to the leader, and wait for its outcome."""
        key = self._new_key()
        if self._core.is_leader:
            self._runner.post(lambda now: self._core.submit(key, order, now))
        elif not self._send_to_leader(_order_request(key, order)):
            return SubmitResult(status=SubmitStatus.UNAVAILABLE, taken=Accepted.NO)
        try:
            answer = await self._wait(key, UpdateAnswered, ORDER_TIMEOUT_SECONDS)
        except TimeoutError:
            return SubmitResult(status=SubmitStatus.UNAVAILABLE, taken=Accepted.UNKNOWN)
        return _submit_result(answer)

    async def request_plan_action(
        self, order_id: str, action: PlanAction, plan_id: str
    ) -> PlanActionResult:
        """Take an order about a plan here, or forward it to the leader, and wait for it."""
        key = self._new_key()
        order = PlanActionRequest(
            correlation=key, order_id=order_id, action=action, plan_id=plan_id
        )
        if self._core.is_leader:
            self._runner.post(lambda now: self._core.request_plan_action(key, order, now))
        elif not self._send_to_leader(order):
            self._waiting.pop(key)
            reason = "no leader is known"
            return PlanActionResult(answer=PlanActionStatus.REJECTED, reason=reason)
        try:
            answer = await self._wait(key, PlanActionAnswered, ORDER_TIMEOUT_SECONDS)
        except TimeoutError:
            reason = "no outcome in time"
            return PlanActionResult(answer=PlanActionStatus.UNKNOWN, reason=reason)
        return PlanActionResult(answer=answer.answer, reason=answer.reason)

    async def read_state(self) -> FleetState:
        """Return this process's state once it holds everything confirmed before the call."""
        try:
            if not await self._read_as_leader():
                await self._read_as_follower()
        except TimeoutError as error:
            raise UnavailableError("no leader confirmed the read in time") from error
        return self._core.state

    async def circuits(self) -> tuple[WorkerCircuitView, ...]:
        """Return the workers' circuits as the leader has them now."""
        if self._core.has_authority(self._clock()):
            return self._core.worker_circuits(self._clock())
        key = self._new_key()
        if not self._send_to_leader(WorkerCircuitsRequest(correlation=key)):
            raise UnavailableError("no leader is known")
        try:
            reply = await self._wait(key, WorkerCircuitsReply, READ_TIMEOUT_SECONDS)
        except TimeoutError as error:
            raise UnavailableError("the leader did not answer in time") from error
        if not reply.available:
            raise UnavailableError("the leader could not answer")
        return msgspec.msgpack.decode(reply.payload, type=tuple[WorkerCircuitView, ...])

    def status(self) -> StatusBody:
        """Return what this process knows of itself."""
        core = self._core
        membership = core.raft.membership
        leader_id = core.raft.leader_id or ""
        reason = "" if leader_id else "no leader is known"
        if not core.is_member:
            reason = "not a member of the fleet yet"
        return StatusBody(
            node_id=core.member.node_id,
            role=core.raft.role,
            term=core.raft.term,
            leader_id=leader_id,
            ready=not reason,
            reason=reason,
            commit_index=core.raft.commit_index,
            applied_index=core.raft.applied_index,
            revision=core.state.revision,
            configuration_version=core.state.configuration_version,
            voters=membership.voters,
            learners=membership.learners,
        )

    async def forward_announcement(self, announcement: Announcement) -> AnnouncementReply:
        """Pass an announcement to the leader's duties, here or over the wire."""
        message = ForwardedAnnouncements(announcements=(announcement,))
        core = self._core
        accepted = True
        if core.is_leader:
            self._runner.post(lambda now: core.receive(core.member.node_id, message, now))
        else:
            accepted = self._send_to_leader(message)
        members = core.control_members().members
        addresses = tuple(member.http_address for member in members if member.http_address)
        return AnnouncementReply(accepted=accepted, announce_to=addresses)

    async def agree_on_departure(self, announcement: Announcement) -> bool:
        """Pass on that a worker drains or leaves, and wait until the fleet has agreed on it.

        Returns
        -------
        bool
            Whether the agreed state, read after the announcement was passed on, shows it.
        """
        record = announcement.record
        try:
            async with asyncio.timeout(DEPARTURE_TIMEOUT_SECONDS):
                while True:
                    reply = await self.forward_announcement(announcement)
                    if not reply.accepted:
                        return False
                    await asyncio.sleep(DEPARTURE_PERIOD_SECONDS)
                    entry = (await self.read_state()).find_worker(record.worker_id)
                    if entry is None or entry.record.incarnation != record.incarnation:
                        return True
                    if not announcement.leaving and entry.record.status is WorkerStatus.DRAINING:
                        return True
        except (TimeoutError, UnavailableError):
            return False

    def answered(self, key: int, answer: object) -> None:
        """Hand an answer of the core, or of the leader, to the call that waits for it."""
        waiting = self._waiting.get(key)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def take_message(self, message: Message) -> bool:
        """Take a leader's reply; False if the message is none."""
        match message:
            case ConfigurationUpdateReply():
                answer = UpdateAnswered(
                    message.correlation, message.answer, message.version, message.reason
                )
                self.answered(message.correlation, answer)
            case PlanActionReply():
                outcome = PlanActionAnswered(message.correlation, message.answer, message.reason)
                self.answered(message.correlation, outcome)
            case ReadIndexReply() | WorkerCircuitsReply():
                self.answered(message.correlation, message)
            case _:
                return False
        return True

    async def _read_as_leader(self) -> bool:
        key = self._new_key()
        self._runner.post(lambda now: self._core.read(key, now))
        waiting = self._waiting[key]
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                answer = await waiting
        finally:
            self._waiting.pop(key, None)
        assert isinstance(answer, ReadReady | ReadFailed)
        return isinstance(answer, ReadReady)

    async def _read_as_follower(self) -> None:
        key = self._new_key()
        if not self._send_to_leader(ReadIndexRequest(correlation=key)):
            raise UnavailableError("no leader is known")
        reply = await self._wait(key, ReadIndexReply, READ_TIMEOUT_SECONDS)
        if not reply.available:
            raise UnavailableError("the leader could not confirm the read")
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            await self._runner.wait_until_applied(reply.index)

    def _new_key(self) -> int:
        self._next_key += 1
        self._waiting[self._next_key] = asyncio.get_running_loop().create_future()
        return self._next_key

    async def _wait(self, key: int, kind: type[Answer], timeout_seconds: float) -> Answer:
        try:
            async with asyncio.timeout(timeout_seconds):
                answer = await self._waiting[key]
        finally:
            self._waiting.pop(key, None)
        assert isinstance(answer, kind)
        return answer


def _order_request(key: int, order: SubmitConfiguration) -> ConfigurationUpdateRequest:
    return ConfigurationUpdateRequest(
        correlation=key,
        order_id=order.order_id,
        base_version=order.base_version,
        configuration=order.configuration,
        digest=order.digest,
        document=order.document,
    )


def _submit_result(answer: UpdateAnswered) -> SubmitResult:
    status = _STATUS_BY_ANSWER[answer.answer]
    taken = Accepted.NO if answer.answer is UpdateStatus.REJECTED else Accepted.UNKNOWN
    refused = status in {SubmitStatus.CONFLICT, SubmitStatus.ORDER_ID_REUSED}
    return SubmitResult(
        status=status,
        version=0 if refused else answer.version,
        current_version=answer.version if refused else 0,
        taken=taken,
    )

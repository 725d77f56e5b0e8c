"""Serves the operators' API on any control process; a follower forwards requests to the leader.

If a forwarded update gets no reply, its outcome is reported as ``unknown``, never as ``no``: the
leader may have received it.
"""

import asyncio
from collections.abc import Callable
from typing import TypeVar

import msgspec

from orchidpath.circuit.circuit_table import WorkerCircuitView
from orchidpath.common.clock import Clock
from orchidpath.control.api.control_access import ControlAccess, PlanAccess, UnavailableError
from orchidpath.control.api.departures import shows_departure
from orchidpath.control.api.operator_bodies import Accepted, StatusBody, SubmitResult, SubmitStatus
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
from orchidpath.wire.announcements import MAX_WORKERS
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

UPDATE_TIMEOUT_SECONDS = CONFIRM_WAIT_SECONDS + 2.0
"""Bound on the wait for the outcome of an update or a plan action; then it is unknown."""

DEPARTURE_TIMEOUT_SECONDS = 0.8
"""Bound on the wait until a worker is draining or removed in the replicated state."""

DEPARTURE_PERIOD_SECONDS = 0.05
"""Time between two reads of the state during that wait."""

READ_TIMEOUT_SECONDS = 2.0
"""Bound on each wait of a linearizable read."""

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
    """Serves operators from the replica of this process, or through the leader.

    Parameters
    ----------
    replica_loop
        Runs the replica.
    clock
        Monotonic clock.
    send_to_leader
        Sends a message to the leader that this replica assumes; returns False if the message was
        not sent, so that the leader cannot have received it.
    worker_refused
        Called when an announcement is refused since too many workers are registered.
    """

    def __init__(
        self,
        replica_loop: ReplicaLoop,
        clock: Clock,
        send_to_leader: Callable[[Message], bool],
        worker_refused: Callable[[], None] = lambda: None,
    ) -> None:
        self._loop = replica_loop
        self._clock = clock
        self._send_to_leader = send_to_leader
        self._worker_refused = worker_refused
        self._next_key = 0
        self._pending: dict[int, asyncio.Future[object]] = {}

    @property
    def _replica(self) -> ControlReplica:
        return self._loop.replica

    async def submit(self, update: SubmitConfiguration) -> SubmitResult:
        """Propose an update here, or forward it to the leader, and wait for its outcome."""
        key = self._new_key()
        if self._replica.is_leader:
            self._loop.post(lambda now: self._replica.submit(key, update, now))
        elif not self._forward(key, _update_request(key, update)):
            return SubmitResult(status=SubmitStatus.UNAVAILABLE, accepted=Accepted.NO)
        try:
            answer = await self._wait(key, UpdateAnswered, UPDATE_TIMEOUT_SECONDS)
        except TimeoutError:
            return SubmitResult(status=SubmitStatus.UNAVAILABLE, accepted=Accepted.UNKNOWN)
        return _submit_result(answer)

    async def request_plan_action(
        self, order_id: str, action: PlanAction, plan_id: str
    ) -> PlanActionResult:
        """Propose an action on a plan, or forward it to the leader, and wait for its outcome."""
        key = self._new_key()
        request = PlanActionRequest(
            correlation=key, order_id=order_id, action=action, plan_id=plan_id
        )
        if self._replica.is_leader:
            self._loop.post(lambda now: self._replica.request_plan_action(key, request, now))
        elif not self._forward(key, request):
            reason = "no leader is known"
            return PlanActionResult(answer=PlanActionStatus.REJECTED, reason=reason)
        try:
            answer = await self._wait(key, PlanActionAnswered, UPDATE_TIMEOUT_SECONDS)
        except TimeoutError:
            reason = "no outcome in time"
            return PlanActionResult(answer=PlanActionStatus.UNKNOWN, reason=reason)
        return PlanActionResult(answer=answer.answer, reason=answer.reason)

    async def read_state(self) -> FleetState:
        """Return the local state once it contains every update confirmed before the call.

        Raises
        ------
        UnavailableError
            No leader confirmed the read in time.
        """
        try:
            if not await self._read_as_leader():
                await self._read_as_follower()
        except TimeoutError as error:
            raise UnavailableError("no leader confirmed the read in time") from error
        return self._replica.state

    @property
    def document_bytes(self) -> int:
        """Size of the operators' document in the local state."""
        return len(self._replica.state.document)

    async def circuits(self) -> tuple[WorkerCircuitView, ...]:
        """Return the workers' circuits as the leader has them now.

        Raises
        ------
        UnavailableError
            No leader is known, or it did not answer the request in time.
        """
        if self._replica.has_authority(self._clock()):
            return self._replica.worker_circuits(self._clock())
        key = self._new_key()
        if not self._forward(key, WorkerCircuitsRequest(correlation=key)):
            raise UnavailableError("no leader is known")
        try:
            reply = await self._wait(key, WorkerCircuitsReply, READ_TIMEOUT_SECONDS)
        except TimeoutError as error:
            raise UnavailableError("the leader did not answer in time") from error
        if not reply.available:
            raise UnavailableError("the leader could not answer")
        return msgspec.msgpack.decode(reply.payload, type=tuple[WorkerCircuitView, ...])

    def status(self) -> StatusBody:
        """Return the status of this process, without contacting any other."""
        replica = self._replica
        membership = replica.raft.membership
        leader_id = replica.raft.leader_id or ""
        reason = "" if leader_id else "no leader is known"
        if not replica.is_member:
            reason = "not a member of the fleet yet"
        return StatusBody(
            node_id=replica.member.node_id,
            role=replica.raft.role,
            term=replica.raft.term,
            leader_id=leader_id,
            ready=not reason,
            reason=reason,
            commit_index=replica.raft.commit_index,
            applied_index=replica.raft.applied_index,
            revision=replica.state.revision,
            configuration_version=replica.state.configuration_version,
            voters=membership.voters,
            learners=membership.learners,
        )

    async def forward_announcement(self, announcement: Announcement) -> AnnouncementReply:
        """Pass an announcement to the leader: to this replica, or over the wire protocol.

        A worker that the leader would refuse, since too many are registered, is refused here.
        """
        message = ForwardedAnnouncements(announcements=(announcement,))
        replica = self._replica
        accepted = True
        if not self._has_room(announcement):
            self._worker_refused()
            accepted = False
        elif replica.is_leader:
            self._loop.post(lambda now: replica.receive(replica.member.node_id, message, now))
        else:
            accepted = self._send_to_leader(message)
        members = replica.control_members().members
        addresses = tuple(member.http_address for member in members if member.http_address)
        return AnnouncementReply(accepted=accepted, announce_to=addresses)

    def _has_room(self, announcement: Announcement) -> bool:
        state = self._replica.state
        if announcement.leaving or state.worker_count < MAX_WORKERS:
            return True
        return state.find_worker(announcement.record.worker_id) is not None

    async def wait_for_departure(self, announcement: Announcement) -> bool:
        """Forward that a worker drains or leaves, and wait until the replicated state shows it.

        The announcement is forwarded again before each read of the state.

        Returns
        -------
        bool
            Whether a linearizable read, begun after the announcement was forwarded, shows it within
            `DEPARTURE_TIMEOUT_SECONDS`.
        """
        try:
            async with asyncio.timeout(DEPARTURE_TIMEOUT_SECONDS):
                while True:
                    reply = await self.forward_announcement(announcement)
                    if not reply.accepted:
                        return False
                    await asyncio.sleep(DEPARTURE_PERIOD_SECONDS)
                    if shows_departure(await self.read_state(), announcement):
                        return True
        except (TimeoutError, UnavailableError):
            return False

    def complete(self, key: int, answer: object) -> None:
        """Pass an answer of the replica, or of the leader, to the pending call of this key.

        An answer that arrives after its call has timed out is dropped.
        """
        pending = self._pending.get(key)
        if pending is not None and not pending.done():
            pending.set_result(answer)

    def receive_reply(self, message: Message) -> bool:
        """Handle a leader's reply; return False if the message is of another kind."""
        match message:
            case ConfigurationUpdateReply():
                answer = UpdateAnswered(
                    message.correlation, message.answer, message.version, message.reason
                )
                self.complete(message.correlation, answer)
            case PlanActionReply():
                outcome = PlanActionAnswered(message.correlation, message.answer, message.reason)
                self.complete(message.correlation, outcome)
            case ReadIndexReply() | WorkerCircuitsReply():
                self.complete(message.correlation, message)
            case _:
                return False
        return True

    async def _read_as_leader(self) -> bool:
        key = self._new_key()
        self._loop.post(lambda now: self._replica.read(key, now))
        answer = await self._wait_for_any(key, READ_TIMEOUT_SECONDS)
        assert isinstance(answer, ReadReady | ReadFailed)
        return isinstance(answer, ReadReady)

    async def _read_as_follower(self) -> None:
        key = self._new_key()
        if not self._forward(key, ReadIndexRequest(correlation=key)):
            raise UnavailableError("no leader is known")
        reply = await self._wait(key, ReadIndexReply, READ_TIMEOUT_SECONDS)
        if not reply.available:
            raise UnavailableError("the leader could not confirm the read")
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            await self._loop.wait_until_applied(reply.index)

    def _forward(self, key: int, message: Message) -> bool:
        """Send a request to the leader; if that fails, drop its pending call and return False."""
        if self._send_to_leader(message):
            return True
        self._pending.pop(key)
        return False

    def _new_key(self) -> int:
        self._next_key += 1
        self._pending[self._next_key] = asyncio.get_running_loop().create_future()
        return self._next_key

    async def _wait(self, key: int, kind: type[Answer], timeout_seconds: float) -> Answer:
        answer = await self._wait_for_any(key, timeout_seconds)
        assert isinstance(answer, kind)
        return answer

    async def _wait_for_any(self, key: int, timeout_seconds: float) -> object:
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._pending[key]
        finally:
            self._pending.pop(key, None)


def _update_request(key: int, update: SubmitConfiguration) -> ConfigurationUpdateRequest:
    return ConfigurationUpdateRequest(
        correlation=key,
        order_id=update.order_id,
        base_version=update.base_version,
        configuration=update.configuration,
        digest=update.digest,
        document=update.document,
    )


def _submit_result(answer: UpdateAnswered) -> SubmitResult:
    status = _STATUS_BY_ANSWER[answer.answer]
    accepted = Accepted.NO if answer.answer is UpdateStatus.REJECTED else Accepted.UNKNOWN
    rejected = status in {SubmitStatus.CONFLICT, SubmitStatus.ORDER_ID_REUSED}
    return SubmitResult(
        status=status,
        version=0 if rejected else answer.version,
        current_version=answer.version if rejected else 0,
        accepted=accepted,
    )

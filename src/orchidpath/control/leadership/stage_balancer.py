"""Balances prefill and decode workers of services without a fixed split; performs no I/O.

There is one :class:`StageBalancer` per leadership, called on the ticks of a leader that holds its
lease. To move a worker, the balancer cordons it, waits until every serving router has applied the
cordon (at most ``CORDON_SECONDS``), commands the worker to change its stage, and uncordons it when
it announces the new stage. The moves are soft state: a new leader first waits until no command of
its predecessor can be in transit, and then uncordons the workers that no move of its own concerns.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum

import msgspec

from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.placement.stage_allocation import StageMove, next_moves
from orchidpath.state.commands import CordonWorker
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.backend import WorkerCommand, WorkerCommandKind, WorkerCommandReply
from orchidpath.wire.configuration import Service
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

BALANCE_PERIOD_SECONDS = 0.25
"""Time between two evaluations of the split."""

TAKEOVER_SECONDS = 4.0
"""A new leader begins no move for this time: commands of two leaders must not interleave."""

QUIET_PERIOD_SECONDS = 1.5
"""The set of a service's workers must be unchanged for this time before a move begins."""

URGENT_QUIET_PERIOD_SECONDS = 0.5
"""The quiet period while a service has no ready decode worker and so serves no request."""

CORDON_SECONDS = 2.5
"""Longest wait for the confirmation of a cordon, measured from the start of the move.

After this time the worker is commanded without the confirmation, once the cordon is in the
replicated state.
"""

COMMAND_REPEAT_SECONDS = 1.0
"""A command that its worker has not accepted is sent again after this time."""

MOVE_SECONDS = 20.0
"""A move that takes longer than this is abandoned, and its worker is uncordoned."""


class _Phase(StrEnum):
    CORDONING = "cordoning"
    COMMANDING = "commanding"
    SWITCHING = "switching"


class _Move(msgspec.Struct):
    """The change of one worker's stage that this leadership has begun.

    ``cordon_revision`` is 0 until the cordon has been applied. ``since`` and ``commanded_at`` are
    in monotonic seconds.
    """

    worker: WorkerRecord
    stage: Stage
    since: float
    phase: _Phase = _Phase.CORDONING
    cordon_revision: int = 0
    commanded_at: float = float("-inf")


class StageBalancer:
    """Moves workers between the stages of services whose split the fleet balances.

    Parameters
    ----------
    term
        Term of this leadership. Every command is fenced by the term and an increasing sequence.
    state
        The replicated state.
    in_flight
        Returns the number of attempts in flight by worker id at a time in monotonic seconds.
    output
        Collects the commands and proposals.
    now
        Start of this leadership, in monotonic seconds.
    """

    def __init__(
        self,
        term: int,
        state: FleetState,
        in_flight: Callable[[float], Mapping[str, int]],
        output: ControlOutput,
        now: float,
    ) -> None:
        self._term = term
        self._state = state
        self._in_flight = in_flight
        self._output = output
        self._sequence = 0
        self._moves: dict[str, _Move] = {}
        self._may_command_at = now + TAKEOVER_SECONDS
        self._worker_ids: dict[str, frozenset[str]] = {}
        self._workers_unchanged_since: dict[str, float] = {}
        self._next_check_at = now

    def tick(self, confirmed_revision: int, now: float) -> None:
        """Continue the moves in progress and begin new ones, at most once per period.

        Nothing happens during ``TAKEOVER_SECONDS`` or while a plan is active.

        Parameters
        ----------
        confirmed_revision
            Newest revision that every serving router has applied.
        now
            Current time, in monotonic seconds.
        """
        if now < self._next_check_at:
            return
        self._next_check_at = now + BALANCE_PERIOD_SECONDS
        plan = self._state.plan
        if now < self._may_command_at or (plan is not None and plan.active):
            return
        workers = {worker.worker_id: worker for worker in self._state.workers()}
        for move in tuple(self._moves.values()):
            self._follow(move, workers.get(move.worker.worker_id), confirmed_revision, now)
        for service in self._state.configuration.services:
            if service.balanced_decode_share > 0:
                service_workers = [
                    worker for worker in workers.values() if worker.service == service.name
                ]
                self._balance(service, service_workers, now)

    def command_answered(self, command: WorkerCommand, reply: WorkerCommandReply) -> None:
        """Record that a worker has accepted the command of its move."""
        move = self._moves.get(command.worker_id)
        if move is not None and reply.accepted and command.term == self._term:
            move.phase = _Phase.SWITCHING

    def _balance(self, service: Service, workers: list[WorkerRecord], now: float) -> None:
        self._uncordon_abandoned(workers)
        worker_ids = frozenset(worker.worker_id for worker in workers)
        if self._worker_ids.get(service.name) != worker_ids:
            self._worker_ids[service.name] = worker_ids
            self._workers_unchanged_since[service.name] = now
        has_decode_worker = any(
            worker.stage is Stage.DECODE and worker.status is WorkerStatus.READY
            for worker in workers
        )
        quiet_period_seconds = (
            QUIET_PERIOD_SECONDS if has_decode_worker else URGENT_QUIET_PERIOD_SECONDS
        )
        if now - self._workers_unchanged_since[service.name] < quiet_period_seconds:
            return
        moving = {worker_id: move.stage for worker_id, move in self._moves.items()}
        for move in next_moves(service, workers, moving, self._in_flight(now)):
            self._begin(move, now)

    def _uncordon_abandoned(self, workers: list[WorkerRecord]) -> None:
        """Uncordon workers that are cordoned without a move, such as those of an earlier leader."""
        for worker in workers:
            if worker.cordoned and worker.worker_id not in self._moves:
                self._output.propose(CordonWorker(worker_id=worker.worker_id, cordoned=False))

    def _begin(self, move: StageMove, now: float) -> None:
        worker_id = move.worker.worker_id
        self._moves[worker_id] = _Move(move.worker, move.stage, now)
        self._output.propose(CordonWorker(worker_id=worker_id, cordoned=True))

    def _follow(
        self, move: _Move, worker: WorkerRecord | None, confirmed_revision: int, now: float
    ) -> None:
        """Perform the next step of a move, or end the move."""
        is_over = worker is None or worker.stage is move.stage
        if is_over or now - move.since > MOVE_SECONDS:
            self._end(move, worker)
            return
        assert worker is not None
        if move.phase is _Phase.CORDONING and worker.cordoned:
            move.cordon_revision = move.cordon_revision or self._state.revision
            is_confirmed = confirmed_revision >= move.cordon_revision
            if is_confirmed or now - move.since > CORDON_SECONDS:
                move.phase = _Phase.COMMANDING
        if move.phase is _Phase.COMMANDING and now - move.commanded_at >= COMMAND_REPEAT_SECONDS:
            move.commanded_at = now
            self._command(worker, move.stage)

    def _end(self, move: _Move, worker: WorkerRecord | None) -> None:
        del self._moves[move.worker.worker_id]
        if worker is not None:
            self._output.propose(CordonWorker(worker_id=worker.worker_id, cordoned=False))

    def _command(self, worker: WorkerRecord, stage: Stage) -> None:
        self._sequence += 1
        command = WorkerCommand(
            term=self._term,
            sequence=self._sequence,
            worker_id=worker.worker_id,
            incarnation=worker.incarnation,
            kind=WorkerCommandKind.SET_STAGE,
            stage=stage,
        )
        self._output.command_worker(worker.url, command)

"""Keeps the split of prefill and decode where operators leave it to the fleet; pure.

One object per leadership, asked on the ticks of a leader that holds its lease. A worker is first
cordoned; once every serving router obeys that, it is commanded to change its stage, and it is
uncordoned when it announces the new one. What is remembered here is soft state: a successor waits
until no command of its predecessor can be on its way, and uncordons whoever no move needs cordoned.
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
"""Time between two looks at the split."""

TAKEOVER_SECONDS = 4.0
"""A new leader sends no command for this long: commands of two leaders must not interleave."""

QUIET_PERIOD_SECONDS = 1.5
"""The set of workers must have been the same for this long before a move begins."""

URGENT_QUIET_PERIOD_SECONDS = 0.5
"""The same while no worker decodes, so that nothing is served."""

CORDON_SECONDS = 2.5
"""Bound on the wait until every serving router obeys a cordon."""

COMMAND_REPEAT_SECONDS = 1.0
"""A command without an answer is sent again after this long."""

MOVE_SECONDS = 20.0
"""A move that has not ended by then is given up and its worker uncordoned."""


class _Phase(StrEnum):
    CORDONING = "cordoning"
    COMMANDING = "commanding"
    SWITCHING = "switching"


class _Move(msgspec.Struct):
    """One worker's change as this leadership sees it."""

    worker: WorkerRecord
    stage: Stage
    since: float
    phase: _Phase = _Phase.CORDONING
    cordon_revision: int = 0
    commanded_at: float = float("-inf")


class StageBalancer:
    """Moves workers between the stages of services whose split the fleet keeps.

    Parameters
    ----------
    term
        Term of this leadership; it fences every command.
    state
        The replicated state.
    in_flight
        Returns the attempts in flight by worker at a time.
    output
        Where commands and proposals go.
    now
        Start of this leadership.
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
        self._known: dict[str, frozenset[str]] = {}
        self._known_since: dict[str, float] = {}
        self._next_check_at = now

    def tick(self, confirmed_revision: int, now: float) -> None:
        """Look at every service and do what is due.

        Parameters
        ----------
        confirmed_revision
            Newest revision in force at every serving router.
        now
            Monotonic seconds.
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
                own = [worker for worker in workers.values() if worker.service == service.name]
                self._balance(service, own, now)

    def command_answered(self, command: WorkerCommand, reply: WorkerCommandReply) -> None:
        """Note that a worker has accepted the command of its move."""
        move = self._moves.get(command.worker_id)
        if move is not None and reply.accepted and command.term == self._term:
            move.phase = _Phase.SWITCHING

    def _balance(self, service: Service, workers: list[WorkerRecord], now: float) -> None:
        self._uncordon_abandoned(workers)
        names = frozenset(worker.worker_id for worker in workers)
        if self._known.get(service.name) != names:
            self._known[service.name] = names
            self._known_since[service.name] = now
        decodes = any(
            worker.stage is Stage.DECODE and worker.status is WorkerStatus.READY
            for worker in workers
        )
        quiet_period_seconds = QUIET_PERIOD_SECONDS if decodes else URGENT_QUIET_PERIOD_SECONDS
        if now - self._known_since[service.name] < quiet_period_seconds:
            return
        moving = {worker_id: move.stage for worker_id, move in self._moves.items()}
        for move in next_moves(service, workers, moving, self._in_flight(now)):
            self._begin(move, now)

    def _uncordon_abandoned(self, workers: list[WorkerRecord]) -> None:
        """Uncordon workers that a former leader cordoned and did not come to uncordon."""
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
        """Take the next step of a move."""
        is_over = worker is None or worker.stage is move.stage
        if is_over or now - move.since > MOVE_SECONDS:
            self._end(move, worker)
            return
        assert worker is not None
        if move.phase is _Phase.CORDONING and worker.cordoned:
            move.cordon_revision = move.cordon_revision or self._state.revision
            is_known = confirmed_revision >= move.cordon_revision
            if is_known or now - move.since > CORDON_SECONDS:
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

"""Proposes operators' actions on plans on a leader and answers them; performs no I/O."""

from orchidpath.consensus.errors import NotLeaderError
from orchidpath.consensus.types import LogEntry
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.control.replica.pending_plan_actions import PendingPlanActions, plan_command
from orchidpath.control.replica.replicated_log import ReplicatedLog
from orchidpath.state.commands import CommandEncodeError
from orchidpath.state.outcomes import PlanResult
from orchidpath.wire.messages import PlanActionRequest


class PlanActions:
    """Proposes actions on plans and answers them once they are applied.

    Parameters
    ----------
    log
        The replicated log.
    output
        Collects the answers.
    """

    def __init__(self, log: ReplicatedLog, output: ControlOutput) -> None:
        self._log = log
        self._output = output
        self._pending = PendingPlanActions()

    def submit(self, key: int, request: PlanActionRequest, has_authority: bool, now: float) -> None:
        """Propose an action; its answer is emitted under ``key``, at once or later."""
        if not has_authority:
            self._output.emit(self._pending.rejection(key))
            return
        command = plan_command(request, self._log.state)
        try:
            proposal = self._log.append(command, now)
        except (NotLeaderError, CommandEncodeError):
            self._output.emit(self._pending.rejection(key))
            return
        self._pending.proposed(key, proposal.index, proposal.term)
        self._log.run(proposal.effects, now)

    def applied(self, entry: LogEntry, result: PlanResult) -> None:
        """Answer an action that the state has applied."""
        self._output.emit_all(self._pending.applied(entry, result))

    def leadership_lost(self) -> None:
        """Answer all pending actions, because a follower cannot determine their outcome."""
        self._output.emit_all(self._pending.leadership_lost())

"""Proposes operators' configuration updates on a leader and answers them; performs no I/O."""

from orchidpath.consensus.errors import NotLeaderError
from orchidpath.consensus.types import LogEntry
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.control.replica.pending_updates import PendingUpdates
from orchidpath.control.replica.replicated_log import ReplicatedLog
from orchidpath.state.commands import CommandEncodeError, SubmitConfiguration
from orchidpath.state.outcomes import UpdateResult

VOTER_CONTACT_SECONDS = 1.0
"""Before an update is confirmed, the leader waits for voters with a contact within this time."""

FORMATION_TIMEOUT_SECONDS = 30.0
"""A new fleet accepts its first update after this time even if voters are missing."""

_NOT_LEADER = "this process does not lead"
_FORMING = "the fleet is still forming"


class ConfigurationUpdates:
    """Proposes updates and answers them once they are confirmed.

    Parameters
    ----------
    node_id
        Node id of this replica.
    log
        The replicated log.
    output
        Collects the answers.
    formation_voters
        Number of voters that a new fleet needs before it accepts its first update.
    """

    def __init__(
        self, node_id: str, log: ReplicatedLog, output: ControlOutput, formation_voters: int
    ) -> None:
        self._node_id = node_id
        self._log = log
        self._output = output
        self._formation_voters = formation_voters
        self._leading_since = 0.0
        self._pending = PendingUpdates()

    def submit(
        self, key: int, update: SubmitConfiguration, has_authority: bool, now: float
    ) -> None:
        """Propose an update; its answer is emitted under ``key``, at once or later."""
        if not has_authority:
            self._reject(key, _NOT_LEADER)
            return
        if self._is_forming(now):
            self._reject(key, _FORMING)
            return
        try:
            proposal = self._log.append(update, now)
        except NotLeaderError:
            self._reject(key, _NOT_LEADER)
            return
        except CommandEncodeError as error:
            self._reject(key, str(error))
            return
        self._pending.proposed(key, proposal.index, proposal.term, now)
        self._log.run(proposal.effects, now)

    def applied(self, entry: LogEntry, result: UpdateResult, now: float) -> None:
        """Record the outcome of an applied update and answer it if it was rejected."""
        revision = self._log.state.revision
        self._output.emit_all(self._pending.applied(entry, result, revision, now))

    def confirm(self, confirmed_revision: int, now: float) -> None:
        """Answer the updates that are confirmed or whose waiting time is over."""
        answers = self._pending.confirm(confirmed_revision, self._durable_index(now), now)
        self._output.emit_all(answers)

    def leadership_started(self, now: float) -> None:
        """Record the start of this leadership, in monotonic seconds."""
        self._leading_since = now

    def leadership_lost(self) -> None:
        """Answer all pending updates, because a follower cannot determine their outcome."""
        self._output.emit_all(self._pending.leadership_lost())

    def _reject(self, key: int, reason: str) -> None:
        self._output.emit(self._pending.rejection(key, reason))

    def _is_forming(self, now: float) -> bool:
        """Whether a new fleet without a configuration still has fewer voters than it needs."""
        if self._log.state.configuration_version > 0:
            return False
        if now - self._leading_since >= FORMATION_TIMEOUT_SECONDS:
            return False
        return len(self._log.raft.membership.voters) < self._formation_voters

    def _durable_index(self, now: float) -> int:
        """Return the last log index that is durable on every voter with a recent contact."""
        raft = self._log.raft
        indexes = [
            raft.match_index(voter)
            for voter in raft.membership.voters
            if voter == self._node_id or now - raft.last_contact(voter) < VOTER_CONTACT_SECONDS
        ]
        return min(indexes, default=0)

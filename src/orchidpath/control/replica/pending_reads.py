"""Linearizable reads that wait for a confirmation of the leadership; performs no I/O."""

import msgspec

from orchidpath.consensus.errors import NotLeaderError
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.types import ReadTicket
from orchidpath.control.replica.control_effects import ReadFailed, ReadReady

READ_WAIT_SECONDS = 1.0
"""A linearizable read that is not ready after this time fails."""


class _PendingRead(msgspec.Struct, frozen=True):
    key: int
    ticket: ReadTicket


class PendingReads:
    """Linearizable reads that were requested at this replica and are not answered yet.

    Parameters
    ----------
    raft
        The replica's consensus core.
    """

    def __init__(self, raft: RaftCore) -> None:
        self._raft = raft
        self._waiting: list[_PendingRead] = []

    def request_read(
        self, key: int, has_authority: bool, now: float
    ) -> list[ReadReady | ReadFailed]:
        """Request a read and return its answer if it can be given at once.

        Otherwise the list is empty and a later `finish` returns the answer.
        """
        if has_authority:
            return [ReadReady(key)]
        try:
            self._waiting.append(_PendingRead(key, self._raft.read_barrier(now)))
        except NotLeaderError:
            return [ReadFailed(key)]
        return []

    def finish(self, is_leader: bool, now: float) -> list[ReadReady | ReadFailed]:
        """Return the answer of every read that is ready, has failed or has timed out."""
        answers: list[ReadReady | ReadFailed] = []
        waiting, self._waiting = self._waiting, []
        for pending in waiting:
            try:
                ready = self._raft.read_is_ready(pending.ticket, now) and is_leader
            except NotLeaderError:
                answers.append(ReadFailed(pending.key))
                continue
            if ready:
                answers.append(ReadReady(pending.key))
            elif now - pending.ticket.issued_at > READ_WAIT_SECONDS:
                answers.append(ReadFailed(pending.key))
            else:
                self._waiting.append(pending)
        return answers

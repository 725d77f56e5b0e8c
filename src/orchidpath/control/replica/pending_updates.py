"""Operators' updates on their way through the log until they are answered; pure.

An update is answered ``confirmed`` only when its revision is obeyed by every serving router, and
it is durable on every voter that the leader hears or a bounded wait for that is over
(docs/design/control-state.md).
"""

import msgspec

from orchidpath.consensus.types import LogEntry
from orchidpath.control.replica.control_effects import UpdateAnswered
from orchidpath.state.outcomes import UpdateAccepted, UpdateConflict, UpdateResult
from orchidpath.wire.messages import UpdateStatus

CONFIRM_WAIT_SECONDS = 5.0
"""After this long an accepted update is answered as accepted, not confirmed."""

DURABLE_WAIT_SECONDS = 0.5
"""How long a slow voter that is heard is waited for, beyond the majority that has the update."""


class _Proposed(msgspec.Struct, frozen=True):
    key: int
    index: int
    term: int
    since: float


class _Accepted(msgspec.Struct, frozen=True):
    key: int
    version: int
    revision: int
    index: int
    since: float


class PendingUpdates:
    """Updates that this replica has proposed and not answered yet."""

    def __init__(self) -> None:
        self._proposed: dict[int, _Proposed] = {}
        self._accepted: list[_Accepted] = []

    def rejected(self, key: int, reason: str) -> UpdateAnswered:
        """Answer an update that was never proposed."""
        return UpdateAnswered(key, UpdateStatus.REJECTED, reason=reason)

    def proposed(self, key: int, index: int, term: int, now: float) -> None:
        """Follow an update that was proposed at a log index."""
        self._proposed[index] = _Proposed(key, index, term, now)

    def applied(
        self, entry: LogEntry, result: UpdateResult, revision: int, now: float
    ) -> list[UpdateAnswered]:
        """Take the outcome of the update at a log entry."""
        proposed = self._proposed.pop(entry.index, None)
        if proposed is None:
            return []
        if proposed.term != entry.term:
            # Another leader's entry took this index, so the update never will be in the log.
            return [self.rejected(proposed.key, "another leader took over")]
        outcome = result.outcome
        if isinstance(outcome, UpdateAccepted):
            accepted = _Accepted(proposed.key, outcome.version, revision, entry.index, now)
            self._accepted.append(accepted)
            return []
        answer = UpdateStatus.ORDER_ID_REUSED
        if isinstance(outcome, UpdateConflict):
            answer = UpdateStatus.CONFLICT
        return [UpdateAnswered(proposed.key, answer, version=outcome.current_version)]

    def confirm(
        self, confirmed_revision: int, durable_index: int, now: float
    ) -> list[UpdateAnswered]:
        """Answer every update that is confirmed, or has waited long enough.

        Parameters
        ----------
        confirmed_revision
            Newest revision in force at every serving router.
        durable_index
            Last log index durable on every voter that is heard.
        now
            Monotonic seconds.
        """
        answers = []
        waiting = []
        for update in self._accepted:
            age_seconds = now - update.since
            is_durable = update.index <= durable_index or age_seconds > DURABLE_WAIT_SECONDS
            if update.revision <= confirmed_revision and is_durable:
                answers.append(UpdateAnswered(update.key, UpdateStatus.CONFIRMED, update.version))
            elif age_seconds > CONFIRM_WAIT_SECONDS:
                answers.append(
                    UpdateAnswered(update.key, UpdateStatus.ACCEPTED_NOT_CONFIRMED, update.version)
                )
            else:
                waiting.append(update)
        self._accepted = waiting
        return answers

    def leadership_lost(self) -> list[UpdateAnswered]:
        """Answer everything at once: a follower cannot tell what becomes of it."""
        answers = [
            UpdateAnswered(update.key, UpdateStatus.UNKNOWN, reason="leadership was lost")
            for update in self._proposed.values()
        ]
        answers.extend(
            UpdateAnswered(update.key, UpdateStatus.ACCEPTED_NOT_CONFIRMED, update.version)
            for update in self._accepted
        )
        self._proposed.clear()
        self._accepted.clear()
        return answers

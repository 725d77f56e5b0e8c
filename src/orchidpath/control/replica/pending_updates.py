"""Operators' configuration updates from their proposal until their answer; performs no I/O.

An update is answered ``confirmed`` only when every serving router has applied its revision and the
update is durable on every voter with a recent contact, or ``DURABLE_WAIT_SECONDS`` have passed
(docs/design/control-state.md).
"""

import msgspec

from orchidpath.consensus.types import LogEntry
from orchidpath.control.replica.control_effects import UpdateAnswered
from orchidpath.state.bounded_table import insert_newest
from orchidpath.state.outcomes import UpdateAccepted, UpdateConflict, UpdateResult
from orchidpath.wire.messages import UpdateStatus

CONFIRM_WAIT_SECONDS = 5.0
"""After this time an accepted update is answered as accepted, not confirmed."""

DURABLE_WAIT_SECONDS = 0.5
"""Longest wait for slow but reachable voters, after a majority has stored the update."""


FIRST_REVISION_LIMIT = 1024
"""Number of newest accepted versions whose first revisions are stored."""


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
    """Updates that this replica has proposed but not answered yet."""

    def __init__(self) -> None:
        self._proposed: dict[int, _Proposed] = {}
        self._accepted: list[_Accepted] = []
        self._first_revisions: dict[int, int] = {}

    def rejection(self, key: int, reason: str) -> UpdateAnswered:
        """Return the answer to an update that was not proposed or not committed."""
        return UpdateAnswered(key, UpdateStatus.REJECTED, reason=reason)

    def proposed(self, key: int, index: int, term: int, now: float) -> None:
        """Record that an update was proposed at a log index in a term."""
        self._proposed[index] = _Proposed(key, index, term, now)

    def applied(
        self, entry: LogEntry, result: UpdateResult, revision: int, now: float
    ) -> list[UpdateAnswered]:
        """Return the answer to the update that was proposed at the index of an applied entry.

        The answer to an accepted update is returned later, by `confirm` or `leadership_lost`. An
        update that is sent again waits for the revision of its first application: the revision of
        a later application is newer whenever the state has changed in between, so an operator who
        sends sooner than a revision is confirmed would never get an answer.

        Parameters
        ----------
        entry
            The applied entry.
        result
            The outcome of the update.
        revision
            Revision of the state after the entry.
        now
            Current time, in monotonic seconds.
        """
        if isinstance(result.outcome, UpdateAccepted):
            revision = self._first_revision(result.outcome.version, revision)
        proposed = self._proposed.pop(entry.index, None)
        if proposed is None:
            return []
        if proposed.term != entry.term:
            # The entry at this index is another leader's, so the update can never be committed.
            return [self.rejection(proposed.key, "another leader took over")]
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
        """Return the answer to every update that is confirmed or whose waiting time is over.

        Parameters
        ----------
        confirmed_revision
            Newest revision that every serving router has applied.
        durable_index
            Last log index that is durable on every voter with a recent contact.
        now
            Current time, in monotonic seconds.
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

    def _first_revision(self, version: int, revision: int) -> int:
        """Return the first revision of an accepted version that this replica knows of."""
        first = self._first_revisions.get(version)
        if first is None:
            first = revision
            insert_newest(self._first_revisions, version, first, FIRST_REVISION_LIMIT)
        return first

    def leadership_lost(self) -> list[UpdateAnswered]:
        """Return an answer to every pending update: a follower cannot determine its outcome."""
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

"""Operators' orders on their way through the log until they are answered; pure.

An order is answered ``confirmed`` only when its revision is obeyed by every router that serves,
and it is durable on every voter that the leader hears or a bounded wait for that is over
(docs/design/control-state.md).
"""

import msgspec

from orchidpath.consensus.types import LogEntry
from orchidpath.control.replica.control_effects import UpdateAnswered
from orchidpath.state.outcomes import UpdateAccepted, UpdateConflict, UpdateResult
from orchidpath.wire.messages import UpdateStatus

CONFIRM_WAIT_SECONDS = 5.0
"""After this long an order that was taken is answered as taken, not confirmed."""

DURABLE_WAIT_SECONDS = 0.5
"""How long a slow voter that is heard is waited for, beyond the majority that has the order."""


class _Proposed(msgspec.Struct, frozen=True):
    key: int
    index: int
    term: int
    since: float


class _Taken(msgspec.Struct, frozen=True):
    key: int
    version: int
    revision: int
    index: int
    since: float


class PendingUpdates:
    """Orders that this replica has proposed and not answered yet."""

    def __init__(self) -> None:
        self._proposed: dict[int, _Proposed] = {}
        self._taken: list[_Taken] = []

    def rejected(self, key: int, reason: str) -> UpdateAnswered:
        """Answer an order that was never proposed."""
        return UpdateAnswered(key, UpdateStatus.REJECTED, reason=reason)

    def proposed(self, key: int, index: int, term: int, now: float) -> None:
        """Follow an order that was proposed at a log index."""
        self._proposed[index] = _Proposed(key, index, term, now)

    def applied(
        self, entry: LogEntry, result: UpdateResult, revision: int, now: float
    ) -> list[UpdateAnswered]:
        """Take the outcome of the order at a log entry."""
        proposed = self._proposed.pop(entry.index, None)
        if proposed is None:
            return []
        if proposed.term != entry.term:
            # Another leader's entry took this index, so the order never will be in the log.
            return [self.rejected(proposed.key, "another leader took over")]
        outcome = result.outcome
        if isinstance(outcome, UpdateAccepted):
            taken = _Taken(proposed.key, outcome.version, revision, entry.index, now)
            self._taken.append(taken)
            return []
        answer = UpdateStatus.ORDER_ID_REUSED
        if isinstance(outcome, UpdateConflict):
            answer = UpdateStatus.CONFLICT
        return [UpdateAnswered(proposed.key, answer, version=outcome.current_version)]

    def confirm(
        self, confirmed_revision: int, durable_index: int, now: float
    ) -> list[UpdateAnswered]:
        """Answer every order that is confirmed, or has waited long enough.

        Parameters
        ----------
        confirmed_revision
            Newest revision in force at every router that serves.
        durable_index
            Last log index durable on every voter that is heard.
        now
            Monotonic seconds.
        """
        answers = []
        waiting = []
        for order in self._taken:
            age_seconds = now - order.since
            durable = order.index <= durable_index or age_seconds > DURABLE_WAIT_SECONDS
            if order.revision <= confirmed_revision and durable:
                answers.append(UpdateAnswered(order.key, UpdateStatus.CONFIRMED, order.version))
            elif age_seconds > CONFIRM_WAIT_SECONDS:
                answers.append(
                    UpdateAnswered(order.key, UpdateStatus.ACCEPTED_NOT_CONFIRMED, order.version)
                )
            else:
                waiting.append(order)
        self._taken = waiting
        return answers

    def leadership_lost(self) -> list[UpdateAnswered]:
        """Answer everything at once: a follower cannot tell what becomes of it."""
        answers = [
            UpdateAnswered(order.key, UpdateStatus.UNKNOWN, reason="leadership was lost")
            for order in self._proposed.values()
        ]
        answers.extend(
            UpdateAnswered(order.key, UpdateStatus.ACCEPTED_NOT_CONFIRMED, order.version)
            for order in self._taken
        )
        self._proposed.clear()
        self._taken.clear()
        return answers

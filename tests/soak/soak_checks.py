"""What a soak has seen, and which of it breaks a rule."""

from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

from soak_configurations import MODEL_ROUTES, Update
from soak_processes import Machine
from soak_workers import answer_of

CONFIGURATION_APPLIES_SECONDS = 2.0
"""Time from an acknowledgement until every router in touch serves by the configuration."""

LOSS_SLACK_SECONDS = 0.2
"""A connection that closes sooner than this after a request may cross it, if no worker got it."""

DEADLINE_SECONDS = 4.0
"""Deadline of every request and time-out of every route; a stream is broken off when it passes."""

CONTACT_SECONDS = 3.0
"""Time before and after a disturbance of a router in which its callers are not judged."""

PROMISE_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request did not run and never will."""

ALLOWED_STATUSES = frozenset({200, 404, 429, 503})
"""Statuses that the workers of a soak give cause for: they answer within the deadline."""

FAULT_EVENTS = (
    "request_failed",
    "replica_failed",
    "proposal_dropped",
    "message_not_sent",
    "background_task_failed",
    "submit_failed",
    "answer_broken_off",
)
"""Log events that no run of a soak gives cause for."""


class Outcome(NamedTuple):
    """What a client saw: a status, or None if the connection closed without a whole answer.

    ``sent_at`` is when the client had written the last byte of the request.
    """

    request_id: str
    route: str
    machine: int
    sent_at: float
    ended_at: float
    status: int | None
    body: bytes


class SentUpdate(NamedTuple):
    """An update, when it was sent first, and when it was acknowledged; infinity if it was not."""

    update: Update
    sent_at: float
    acknowledged_at: float


class Observations:
    """Everything that the checks need, filled while the soak runs."""

    def __init__(self, machines: Sequence[Machine]) -> None:
        self.machines = list(machines)
        self.runs: Counter[str] = Counter()
        self.outcomes: list[Outcome] = []
        self.updates: list[SentUpdate] = []
        self.problems: list[str] = []
        self.timeline: list[str] = []
        self.crowds = 0

    def check(self) -> list[str]:
        """Return every broken rule, with the request or process that broke it."""
        problems = list(self.problems)
        for outcome in self.outcomes:
            problems += self._check_outcome(outcome)
        for machine in self.machines:
            problems += [f"ended by itself: {end}" for end in machine.own_ends()]
            problems += [
                f"machine {machine.number} logged: {line[:400]}"
                for line in machine.log_lines()
                if any(f'"{event}"' in line for event in FAULT_EVENTS)
            ]
        return problems

    def _check_outcome(self, outcome: Outcome) -> list[str]:
        problems = []
        runs = self.runs[outcome.request_id]
        if runs > 1:
            problems.append(f"TWICE: ran {runs} times: {outcome}")
        if outcome.status in PROMISE_STATUSES and runs:
            problems.append(f"REFUSED: ran and was refused: {outcome}")
        is_model = outcome.route in MODEL_ROUTES
        if outcome.status == 200 and outcome.body != answer_of(
            outcome.request_id, is_model=is_model
        ):
            problems.append(f"MIXED: another answer: {outcome}")
        if not self._is_disturbed(outcome):
            problems += self._check_undisturbed(outcome, runs)
        return problems

    def _check_undisturbed(self, outcome: Outcome, runs: int) -> list[str]:
        if outcome.status is None:
            if outcome.ended_at - outcome.sent_at > DEADLINE_SECONDS - LOSS_SLACK_SECONDS:
                return []
            if runs or outcome.ended_at - outcome.sent_at > LOSS_SLACK_SECONDS:
                return [f"LOST: no whole answer, ran {runs} times: {outcome}"]
            return []
        if outcome.status not in ALLOWED_STATUSES:
            return [f"answered without cause: {outcome}"]
        in_force = self._updates_in_force(outcome)
        has_route = {outcome.route in update.routes for update in in_force}
        if outcome.status == 404 and has_route == {True}:
            return [f"CONFIG: no route, though every configuration has it: {outcome}"]
        if outcome.status == 200 and has_route == {False}:
            return [f"CONFIG: a dropped route was served: {outcome}"]
        return []

    def _updates_in_force(self, outcome: Outcome) -> list[Update]:
        """Return the updates by which a router may have routed a request."""
        applied = [
            position
            for position, sent in enumerate(self.updates)
            if sent.acknowledged_at + CONFIGURATION_APPLIES_SECONDS < outcome.sent_at
        ]
        first = max(applied, default=0)
        return [sent.update for sent in self.updates[first:] if sent.sent_at <= outcome.ended_at]

    def _is_disturbed(self, outcome: Outcome) -> bool:
        machine = self.machines[outcome.machine]
        if outcome.ended_at + LOSS_SLACK_SECONDS >= machine.is_gone_since:
            return True
        return any(
            outcome.sent_at - CONTACT_SECONDS <= at <= outcome.ended_at + LOSS_SLACK_SECONDS
            for at in machine.disturbed
        )


def summary(observations: Observations) -> dict[str, Any]:
    """Return the counts of a run, to show that it exercised what it is meant to."""
    statuses = Counter(str(outcome.status) for outcome in observations.outcomes)
    acknowledged = [sent for sent in observations.updates if sent.acknowledged_at < float("inf")]
    return {
        "requests": len(observations.outcomes),
        "statuses": dict(sorted(statuses.items())),
        "updates": len(observations.updates),
        "acknowledged": len(acknowledged),
        "crowds": observations.crowds,
        "newest_version_bits": max(
            (sent.update.version.bit_length() for sent in acknowledged), default=0
        ),
    }

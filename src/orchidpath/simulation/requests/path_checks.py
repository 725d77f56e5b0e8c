"""Invariants of the request path, checked on what callers receive and back ends execute.

The checks use what is observable from outside the routers: bytes that reached a caller, dispatches
that left a router, work that a back end started. No check relies on
a router's own assessment. :meth:`RequestHistory.check_report` reads the attempt reports of routers,
because these reports are what it verifies.
"""

import msgspec

from orchidpath.emulators.backend.attempts import Phase
from orchidpath.emulators.backend.backend_core import AttemptDispatch
from orchidpath.emulators.worker.kv_cache import HandleClaim
from orchidpath.routing.retry_budget import MAXIMUM_WINDOW_SECONDS
from orchidpath.simulation.environment import MAX_CLOCK_RATE_ERROR, SimulatedEnvironment
from orchidpath.simulation.fleet_checks import InvariantError
from orchidpath.simulation.requests.exchange_messages import (
    REPEATABLE_KINDS,
    CallerRequest,
    RequestKind,
)
from orchidpath.wire.backend import CacheHandle, DecodeFrame, ErrorBody, FrameKind, Ran
from orchidpath.wire.configuration import RetryPolicy
from orchidpath.wire.messages import AttemptEffect, AttemptReport, Choice
from orchidpath.wire.records import WorkerRecord, WorkerStatus

NO_DISPATCH_AFTER_SECONDS = 2.0
"""No worker receives a new dispatch this long after its draining or removal was applied."""

DEADLINE_SLACK_SECONDS = 0.05
"""Time that a router may take to act once a deadline has passed."""

BUDGET_SLACK_RETRIES = 1


class Submission(msgspec.Struct, kw_only=True):
    """One submission of a request by a caller to one router, with all that was observed of it."""

    request: CallerRequest
    arrived_at: float
    texts: list[str] = []
    has_content: bool = False
    is_ended: bool = False
    reported_not_executed: bool = False
    has_run: bool = False
    transients: list[str] = []


class RetryUsage(msgspec.Struct, kw_only=True):
    """Number of first attempts and retries of one service during one run of one router."""

    since: float
    firsts: int = 0
    retries: int = 0
    min_routers: int = 1
    most_routers: int = 1


class UnusableIncarnation(msgspec.Struct, kw_only=True):
    """Times from which an incarnation must not receive new dispatches.

    ``majority_adopted_at`` is the time at which a majority of the witnesses had adopted the
    revision. A leader that is partitioned from the witnesses may have applied the revision long
    before, and the fleet's rule counts from the adoption (docs/design/freshness.md).
    """

    applied_at: float
    revision: int
    majority_adopted_at: float | None = None


class RequestCounts(msgspec.Struct, kw_only=True):
    """Counters of one run; tests use them to ensure that the run exercised the checks."""

    submitted: int = 0
    completed: int = 0
    refused: int = 0
    broken: int = 0
    unknown: int = 0
    left: int = 0
    executions: int = 0
    orders: int = 0
    retries: int = 0
    kv_transfers_interrupted: int = 0
    probes: int = 0


class RequestHistory:
    """All observations on the request path so far; each is checked when it is recorded.

    Parameters
    ----------
    environment
        Source of the true virtual time.
    retry
        Retry policy that the routers apply.
    """

    def __init__(self, environment: SimulatedEnvironment, retry: RetryPolicy) -> None:
        self.counts = RequestCounts()
        self._environment = environment
        self._retry = retry
        self._submissions: dict[tuple[str, int], Submission] = {}
        self._submission_of_attempt: dict[str, Submission] = {}
        self._executed: dict[tuple[str, Phase], int] = {}
        self._issued: dict[str, CacheHandle] = {}
        self._granted: set[str] = set()
        self.witnesses_reachable = True
        self._unusable: dict[tuple[str, str], UnusableIncarnation] = {}
        self._applied_incarnations: dict[str, str] = {}
        self._announced_draining: set[tuple[str, int, str, str]] = set()
        self._retry_usage: dict[tuple[str, int, str], RetryUsage] = {}
        self._probe_choices: dict[tuple[str, str], int] = {}
        self._probes: dict[tuple[str, str, int], str] = {}
        self._partitioned_attempts: set[str] = set()
        self.partitioned_pairs: set[tuple[str, str]] = set()

    def record_submission(self, request: CallerRequest) -> Submission:
        """Record that a router has received a request, and return the new submission."""
        self.counts.submitted += 1
        submission = Submission(
            request=request, arrived_at=self._environment.time, texts=[], transients=[]
        )
        self._submissions[request.request_id, request.submission] = submission
        return submission

    def check_immediate_rejection(self, submission: Submission) -> None:
        """Check that a router which does not admit a request rejects it without delay."""
        waited = self._environment.time - submission.arrived_at
        self._check(waited < DEADLINE_SLACK_SECONDS, f"a rejection waited for {waited:.3f} s")

    def check_response_time(self, submission: Submission, was_frozen: bool) -> None:
        """Check that a response, or its first content, does not arrive after the deadline.

        Does nothing when the router was frozen or content has already been sent.
        """
        if was_frozen or submission.has_content:
            return
        allowed = submission.request.deadline_seconds * (1 + MAX_CLOCK_RATE_ERROR)
        waited = self._environment.time - submission.arrived_at
        self._check(
            waited <= allowed + DEADLINE_SLACK_SECONDS,
            f"{_name(submission)} was answered after {waited:.3f} s, its deadline is {allowed:.3f}",
        )

    def check_backoff(self, submission: Submission, seconds: float) -> None:
        """Check that a backoff before a retry ends before the deadline of the request."""
        left = submission.arrived_at + submission.request.deadline_seconds - self._environment.time
        allowed = max(left, 0.0) * (1 + 2 * MAX_CLOCK_RATE_ERROR) + DEADLINE_SLACK_SECONDS
        self._check(
            seconds <= allowed,
            f"{_name(submission)} waits {seconds:.3f} s with {left:.3f} s left",
        )

    def check_relayed_frames(self, submission: Submission, frames: tuple[DecodeFrame, ...]) -> None:
        """Check frames that a router relays to the caller, and record their text."""
        self._check(not submission.is_ended, f"{_name(submission)} got frames after its end")
        is_first = not submission.has_content
        if is_first:
            kinds = {frame.kind for frame in frames}
            self._check(
                bool(kinds & {FrameKind.CONTENT, FrameKind.DONE}),
                f"{_name(submission)} was committed without content",
            )
        submission.has_content = True
        submission.texts += [frame.text for frame in frames if frame.kind is FrameKind.CONTENT]

    def check_end(self, submission: Submission) -> None:
        """Check that a response ends only once."""
        self._check(not submission.is_ended, f"{_name(submission)} ended twice")
        submission.is_ended = True

    def record_error_reply(self, submission: Submission, error: ErrorBody) -> None:
        """Check that a request reported with ``ran=no`` has not run, and record that report."""
        if error.ran is not Ran.NO:
            return
        self._check(
            not submission.has_run,
            f"{_name(submission)} has run, but its caller received ran=no",
        )
        submission.reported_not_executed = True

    def record_first_attempt(
        self, router: str, epoch: int, service: str, router_count: int
    ) -> None:
        """Count a first attempt towards the retry budget of a service in one run of a router."""
        self._retry_usage_of(router, epoch, service, router_count).firsts += 1

    def check_retry(
        self, submission: Submission, router: str, epoch: int, service: str, router_count: int
    ) -> None:
        """Check a retry against the commit rule and against the retry budget of the service."""
        self.counts.retries += 1
        self._check(
            not submission.has_content,
            f"{_name(submission)} was tried again after content had reached its caller",
        )
        usage = self._retry_usage_of(router, epoch, service, router_count)
        usage.retries += 1
        allowed = self._allowed_retries(usage)
        self._check(
            usage.retries <= allowed,
            f"{router} made {usage.retries} retries of {service} after {usage.firsts} first "
            f"attempts; the budget allows {allowed:.1f}",
        )

    def record_decision(self, attempt_id: str, choices: tuple[Choice, ...]) -> None:
        """Record which workers the leader chose as circuit breaker probes for an attempt."""
        for choice in choices:
            if choice.probe_generation is not None:
                self._probe_choices[attempt_id, choice.worker_id] = choice.probe_generation

    def check_dispatch(
        self, submission: Submission, router: str, epoch: int, worker: WorkerRecord, attempt_id: str
    ) -> None:
        """Check a dispatch at the moment at which its first byte leaves a router.

        ``worker`` is the record of the process that receives the dispatch, which may be another
        incarnation than the router assumes.
        """
        self.counts.orders += 1
        self._submission_of_attempt[attempt_id] = submission
        self._check(
            not submission.has_content,
            f"{_name(submission)} was dispatched again after content had reached its caller",
        )
        key = (worker.worker_id, worker.incarnation)
        self._check_usable(router, key)
        self._check(
            (router, epoch, *key) not in self._announced_draining,
            f"{router} dispatched to {worker.incarnation}, which had announced that it is draining",
        )
        self._check_probe(worker, attempt_id)

    def record_announcement(self, router: str, epoch: int, record: WorkerRecord) -> None:
        """Record the status that a worker announced to a router."""
        key = (router, epoch, record.worker_id, record.incarnation)
        if record.status is WorkerStatus.READY:
            self._announced_draining.discard(key)
        else:
            self._announced_draining.add(key)

    def record_applied_view(self, revision: int, workers: tuple[WorkerRecord, ...]) -> None:
        """Record which workers may receive dispatches in a revision that has just been applied."""
        now = self._environment.time
        usable = {
            (worker.worker_id, worker.incarnation)
            for worker in workers
            if worker.status is WorkerStatus.READY and not worker.cordoned
        }
        present = {worker.worker_id: worker.incarnation for worker in workers}
        for worker_id, incarnation in [*self._applied_incarnations.items(), *present.items()]:
            key = (worker_id, incarnation)
            if key in usable:
                self._unusable.pop(key, None)
            else:
                self._unusable.setdefault(
                    key, UnusableIncarnation(applied_at=now, revision=revision)
                )
        self._applied_incarnations = present

    def record_majority_adoption(self, revision: int) -> None:
        """Record that a majority of the witnesses has adopted a revision and all before it."""
        for unusable in self._unusable.values():
            if unusable.majority_adopted_at is None and unusable.revision <= revision:
                unusable.majority_adopted_at = self._environment.time

    def check_report(self, submission: Submission, report: AttemptReport) -> None:
        """Check a failure that a router is about to report against a worker.

        A submission counts at most one transient failure against each worker, and none for a KV
        transfer that a partitioned link prevented.
        """
        if report.effect is not AttemptEffect.TRANSIENT:
            return
        self._check(
            report.worker_id not in submission.transients,
            f"{_name(submission)} counted two failures against {report.worker_id}",
        )
        submission.transients.append(report.worker_id)
        self._check(
            report.attempt_id not in self._partitioned_attempts,
            f"{report.worker_id} was charged for a KV transfer that a cut link prevented",
        )

    def check_execution(self, incarnation: str, dispatch: AttemptDispatch) -> None:
        """Check the start of a prefill or of an execution on a back end.

        Raises
        ------
        InvariantError
            When no router dispatched the attempt, when the caller has been informed that the
            request did not run, or when a phase that must run at most once runs again.
        """
        submission = self._submission_of_attempt.get(dispatch.attempt_id)
        if submission is None:
            raise InvariantError(f"{incarnation} runs an attempt that no router dispatched")
        if dispatch.phase is Phase.EXECUTION:
            self.counts.executions += 1
        submission.has_run = True
        self._check(
            not submission.reported_not_executed,
            f"{incarnation} runs {_name(submission)}, whose caller received ran=no",
        )
        key = (dispatch.request_id, dispatch.phase)
        self._executed[key] = self._executed.get(key, 0) + 1
        self._check(
            self._executed[key] == 1 or _may_execute_twice(submission.request.kind, dispatch.phase),
            f"{dispatch.request_id} ({submission.request.kind.value}) has its "
            f"{dispatch.phase.value} run a second time, on {incarnation}",
        )

    def handle_issued(self, handle: CacheHandle) -> None:
        """Record the request and attempt for which a prefill worker issued a handle."""
        self._issued[handle.handle_id] = handle

    def handle_presented(self, dispatch: AttemptDispatch, handle: CacheHandle) -> None:
        """Check a handle that a router sends with a decode request."""
        issued = self._issued.get(handle.handle_id)
        if issued is None:
            raise InvariantError(
                f"a handle that no worker issued was sent with {dispatch.attempt_id}"
            )
        bound_to = (issued.request_id, issued.attempt_id, issued.incarnation)
        used_by = (dispatch.request_id, dispatch.attempt_id, handle.incarnation)
        self._check(bound_to == used_by, f"the handle of {bound_to} was used by {used_by}")

    def handle_granted(self, claim: HandleClaim) -> None:
        """Check a claim for which a prefill worker transfers a KV cache."""
        issued = self._issued.get(claim.handle_id)
        bound_to = (issued.request_id, issued.attempt_id) if issued is not None else ("", "")
        accepted_by = (claim.request_id, claim.attempt_id)
        self._check(
            bound_to == accepted_by, f"the handle of {bound_to} was granted to {accepted_by}"
        )
        self._check(claim.handle_id not in self._granted, f"{claim.handle_id} was granted twice")
        self._granted.add(claim.handle_id)

    def kv_transfer_failed(self, attempt_id: str, prefill: str, decode: str) -> None:
        """Record a failed KV transfer between two workers whose link the scenario has cut."""
        if (prefill, decode) not in self.partitioned_pairs:
            return
        self.counts.kv_transfers_interrupted += 1
        self._partitioned_attempts.add(attempt_id)

    def _check_usable(self, router: str, key: tuple[str, str]) -> None:
        unusable = self._unusable.get(key)
        if unusable is None:
            return
        since = unusable.applied_at if self.witnesses_reachable else unusable.majority_adopted_at
        if since is None:
            return
        late = self._environment.time - since
        self._check(
            late <= NO_DISPATCH_AFTER_SECONDS * (1 + MAX_CLOCK_RATE_ERROR),
            f"{router} sent an order to {key[1]} {late:.3f} s after its draining or end was known",
        )

    def _check_probe(self, worker: WorkerRecord, attempt_id: str) -> None:
        generation = self._probe_choices.get((attempt_id, worker.worker_id))
        if generation is None:
            return
        self.counts.probes += 1
        key = (worker.worker_id, worker.incarnation, generation)
        owner = self._probes.setdefault(key, attempt_id)
        self._check(
            owner == attempt_id,
            f"{owner} and {attempt_id} both probe {worker.incarnation} in generation {generation}",
        )

    def _retry_usage_of(
        self, router: str, epoch: int, service: str, router_count: int
    ) -> RetryUsage:
        usage = self._retry_usage.setdefault(
            (router, epoch, service),
            RetryUsage(
                since=self._environment.time, min_routers=router_count, most_routers=router_count
            ),
        )
        usage.min_routers = min(usage.min_routers, router_count)
        usage.most_routers = max(usage.most_routers, router_count)
        return usage

    def _allowed_retries(self, usage: RetryUsage) -> float:
        """Return the documented bound on retries, summed over all budget windows of the run."""
        policy = self._retry
        minimum = policy.budget_minimum_per_second
        window = max(policy.budget_window_seconds, usage.most_routers / minimum)
        seconds = self._environment.time - usage.since + min(window, MAXIMUM_WINDOW_SECONDS)
        share = policy.budget_ratio * usage.firsts
        return share + minimum * seconds / usage.min_routers + BUDGET_SLACK_RETRIES

    def _check(self, holds: bool, message: str) -> None:
        if not holds:
            raise InvariantError(message)


def _may_execute_twice(kind: RequestKind, phase: Phase) -> bool:
    if kind in REPEATABLE_KINDS:
        return True
    return kind is RequestKind.CHAT_PREFILL_REPEATED and phase is Phase.PREFILL_DONE


def _name(submission: Submission) -> str:
    request = submission.request
    return f"{request.request_id} ({request.kind.value}, try {request.submission})"

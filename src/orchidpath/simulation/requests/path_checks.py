"""Invariants of the request path, read from what callers got and back ends did.

Each check speaks of what was observed at the fleet's rim: bytes that reached a caller, orders that
left a router, work that a back end began. Nothing asks the routers' own opinion, apart from the
reports that they send, which are what two of the checks are about.
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

NO_ORDER_AFTER_SECONDS = 2.0
"""No worker gets a new order this long after its draining or end was applied (brief)."""

DEADLINE_SLACK_SECONDS = 0.05
"""Time for a router's turn once a deadline has passed."""

BUDGET_SLACK_RETRIES = 1


class Submission(msgspec.Struct, kw_only=True):
    """One try of a caller at one router, and everything that came of it."""

    request: CallerRequest
    arrived_at: float
    texts: list[str] = []
    has_content: bool = False
    is_ended: bool = False
    reported_not_executed: bool = False
    has_run: bool = False
    transients: list[str] = []


class Spending(msgspec.Struct, kw_only=True):
    """First attempts and retries of one service on one run of one router."""

    since: float
    firsts: int = 0
    retries: int = 0
    min_routers: int = 1
    most_routers: int = 1


class Unusable(msgspec.Struct, kw_only=True):
    """Since when an incarnation is to get no new order.

    ``majority_adopted_at`` is when a majority of the witnesses had adopted that: a leader that is
    partitioned from them may have applied it long before, and the fleet's rule counts from here
    (docs/design/freshness.md).
    """

    applied_at: float
    revision: int
    majority_adopted_at: float | None = None


class RequestCounts(msgspec.Struct, kw_only=True):
    """How much a run has shown; a run that shows nothing proves nothing."""

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
    """Everything observed so far on the request path, checked as it is observed.

    Parameters
    ----------
    environment
        Gives the true time.
    retry
        The retry policy applied.
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
        self._unusable: dict[tuple[str, str], Unusable] = {}
        self._agreed: dict[str, str] = {}
        self._heard_draining: set[tuple[str, int, str, str]] = set()
        self._spending: dict[tuple[str, int, str], Spending] = {}
        self._probe_choices: dict[tuple[str, str], int] = {}
        self._probes: dict[tuple[str, str, int], str] = {}
        self._partitioned_attempts: set[str] = set()
        self.partitioned_pairs: set[tuple[str, str]] = set()

    # Callers and routers

    def record_submission(self, request: CallerRequest) -> Submission:
        """Record that a router has got a request."""
        self.counts.submitted += 1
        submission = Submission(
            request=request, arrived_at=self._environment.time, texts=[], transients=[]
        )
        self._submissions[request.request_id, request.submission] = submission
        return submission

    def check_immediate_rejection(self, submission: Submission) -> None:
        """Check that a router which takes a request not in says so without waiting."""
        waited = self._environment.time - submission.arrived_at
        self._check(waited < DEADLINE_SLACK_SECONDS, f"a refusal waited for {waited:.3f} s")

    def check_response_time(self, submission: Submission, was_frozen: bool) -> None:
        """Check that an answer, or its first content, does not come after the deadline."""
        if was_frozen or submission.has_content:
            return
        allowed = submission.request.deadline_seconds * (1 + MAX_CLOCK_RATE_ERROR)
        waited = self._environment.time - submission.arrived_at
        self._check(
            waited <= allowed + DEADLINE_SLACK_SECONDS,
            f"{_name(submission)} was answered after {waited:.3f} s, its deadline is {allowed:.3f}",
        )

    def check_backoff(self, submission: Submission, seconds: float) -> None:
        """Check that nobody waits for a retry which its deadline does not allow."""
        left = submission.arrived_at + submission.request.deadline_seconds - self._environment.time
        allowed = max(left, 0.0) * (1 + 2 * MAX_CLOCK_RATE_ERROR) + DEADLINE_SLACK_SECONDS
        self._check(
            seconds <= allowed,
            f"{_name(submission)} waits {seconds:.3f} s with {left:.3f} s left",
        )

    def check_relayed_frames(self, submission: Submission, frames: tuple[DecodeFrame, ...]) -> None:
        """Check frames as the caller gets them."""
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
        """Check that an answer ends once."""
        self._check(not submission.is_ended, f"{_name(submission)} ended twice")
        submission.is_ended = True

    def record_error_reply(self, submission: Submission, error: ErrorBody) -> None:
        """Check the guarantee that a caller is given together with an error."""
        if error.ran is not Ran.NO:
            return
        self._check(not submission.has_run, f"{_name(submission)} has run and was told ran=no")
        submission.reported_not_executed = True

    # Orders

    def record_first_attempt(
        self, router: str, epoch: int, service: str, router_count: int
    ) -> None:
        """Count a first attempt towards a service's budget on one run of a router."""
        self._spending_of(router, epoch, service, router_count).firsts += 1

    def check_retry(
        self, submission: Submission, router: str, epoch: int, service: str, router_count: int
    ) -> None:
        """Check a retry against the commit rule and the service's budget."""
        self.counts.retries += 1
        self._check(
            not submission.has_content,
            f"{_name(submission)} was tried again after content had reached its caller",
        )
        spending = self._spending_of(router, epoch, service, router_count)
        spending.retries += 1
        allowed = self._allowed_retries(spending)
        self._check(
            spending.retries <= allowed,
            f"{router} made {spending.retries} retries of {service} after {spending.firsts} first "
            f"attempts; the budget allows {allowed:.1f}",
        )

    def record_decision(self, attempt_id: str, choices: tuple[Choice, ...]) -> None:
        """Note which workers the leader granted as probes."""
        for choice in choices:
            if choice.probe_generation is not None:
                self._probe_choices[attempt_id, choice.worker_id] = choice.probe_generation

    def check_dispatch(
        self, submission: Submission, router: str, epoch: int, worker: WorkerRecord, attempt_id: str
    ) -> None:
        """Check an order at the moment at which its first byte leaves a router.

        ``worker`` is the process at the other end, whatever the router takes it for.
        """
        self.counts.orders += 1
        self._submission_of_attempt[attempt_id] = submission
        self._check(
            not submission.has_content,
            f"{_name(submission)} was ordered again after content had reached its caller",
        )
        key = (worker.worker_id, worker.incarnation)
        self._check_usable(router, key)
        self._check(
            (router, epoch, *key) not in self._heard_draining,
            f"{router} sent an order to {worker.incarnation}, which had told it of its draining",
        )
        self._check_probe(worker, attempt_id)

    def record_announcement(self, router: str, epoch: int, record: WorkerRecord) -> None:
        """Record what a worker told a router of itself."""
        key = (router, epoch, record.worker_id, record.incarnation)
        if record.status is WorkerStatus.READY:
            self._heard_draining.discard(key)
        else:
            self._heard_draining.add(key)

    def record_applied_view(self, revision: int, workers: tuple[WorkerRecord, ...]) -> None:
        """Note which workers may get orders, as the control tier has just applied it."""
        now = self._environment.time
        usable = {
            (one.worker_id, one.incarnation)
            for one in workers
            if one.status is WorkerStatus.READY and not one.cordoned
        }
        present = {one.worker_id: one.incarnation for one in workers}
        for worker_id, incarnation in [*self._agreed.items(), *present.items()]:
            key = (worker_id, incarnation)
            if key in usable:
                self._unusable.pop(key, None)
            else:
                self._unusable.setdefault(key, Unusable(applied_at=now, revision=revision))
        self._agreed = present

    def record_majority_adoption(self, revision: int) -> None:
        """Record that a majority of the witnesses has adopted a revision."""
        for unusable in self._unusable.values():
            if unusable.majority_adopted_at is None and unusable.revision <= revision:
                unusable.majority_adopted_at = self._environment.time

    def check_report(self, submission: Submission, report: AttemptReport) -> None:
        """Check what a router is about to count against a worker."""
        if report.effect is not AttemptEffect.TRANSIENT:
            return
        self._check(
            report.worker_id not in submission.transients,
            f"{_name(submission)} counted two failures against {report.worker_id}",
        )
        submission.transients.append(report.worker_id)
        self._check(
            report.attempt_id not in self._partitioned_attempts,
            f"{report.worker_id} was charged for a hand-over that a cut link prevented",
        )

    # Back ends

    def check_execution(self, incarnation: str, order: AttemptDispatch) -> None:
        """Check the start of a prefill or an execution on a back end."""
        submission = self._submission_of_attempt.get(order.attempt_id)
        if submission is None:
            raise InvariantError(f"{incarnation} runs an attempt that no router ordered")
        if order.phase is Phase.EXECUTION:
            self.counts.executions += 1
        submission.has_run = True
        self._check(
            not submission.reported_not_executed,
            f"{incarnation} runs {_name(submission)}, whose caller was told ran=no",
        )
        key = (order.request_id, order.phase)
        self._executed[key] = self._executed.get(key, 0) + 1
        self._check(
            self._executed[key] == 1 or _may_execute_twice(submission.request.kind, order.phase),
            f"{order.request_id} ({submission.request.kind.value}) has its {order.phase.value} "
            f"run a second time, on {incarnation}",
        )

    def handle_issued(self, handle: CacheHandle) -> None:
        """Note whom a handle was made for."""
        self._issued[handle.handle_id] = handle

    def handle_presented(self, order: AttemptDispatch, handle: CacheHandle) -> None:
        """Check a handle that a router sends along with an order."""
        issued = self._issued.get(handle.handle_id)
        if issued is None:
            raise InvariantError(f"a handle that nobody issued came with {order.attempt_id}")
        bound_to = (issued.request_id, issued.attempt_id, issued.incarnation)
        used_by = (order.request_id, order.attempt_id, handle.incarnation)
        self._check(bound_to == used_by, f"the handle of {bound_to} was used by {used_by}")

    def handle_granted(self, claim: HandleClaim) -> None:
        """Check a KV cache that a prefill worker hands over."""
        issued = self._issued.get(claim.handle_id)
        bound_to = (issued.request_id, issued.attempt_id) if issued is not None else ("", "")
        accepted_by = (claim.request_id, claim.attempt_id)
        self._check(
            bound_to == accepted_by, f"the handle of {bound_to} was granted to {accepted_by}"
        )
        self._check(claim.handle_id not in self._granted, f"{claim.handle_id} was granted twice")
        self._granted.add(claim.handle_id)

    def kv_transfer_failed(self, attempt_id: str, prefill: str, decode: str) -> None:
        """Record a KV transfer that failed while only the link of this pair was cut."""
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
            late <= NO_ORDER_AFTER_SECONDS * (1 + MAX_CLOCK_RATE_ERROR),
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

    def _spending_of(self, router: str, epoch: int, service: str, router_count: int) -> Spending:
        spending = self._spending.setdefault(
            (router, epoch, service),
            Spending(
                since=self._environment.time, min_routers=router_count, most_routers=router_count
            ),
        )
        spending.min_routers = min(spending.min_routers, router_count)
        spending.most_routers = max(spending.most_routers, router_count)
        return spending

    def _allowed_retries(self, spending: Spending) -> float:
        """Return the documented bound, summed over the windows of the run so far."""
        policy = self._retry
        minimum = policy.budget_minimum_per_second
        window = max(policy.budget_window_seconds, spending.most_routers / minimum)
        seconds = self._environment.time - spending.since + min(window, MAXIMUM_WINDOW_SECONDS)
        share = policy.budget_ratio * spending.firsts
        return share + minimum * seconds / spending.min_routers + BUDGET_SLACK_RETRIES

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

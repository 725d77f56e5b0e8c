"""The attempts of one forwarded request: workers chosen for them, and how they ended."""

import asyncio
from random import Random

import msgspec

from orchidpath.circuit.classification import AttemptObservation, Observed, classify
from orchidpath.common.clock import Clock
from orchidpath.common.errors import OrchidpathError
from orchidpath.router.background_tasks import BackgroundTasks
from orchidpath.router.chat.chat_api import TraceEntry
from orchidpath.router.decision_maker import DecisionMaker, DecisionSubject
from orchidpath.router.proxy.protocol_mapping import ProtocolMapping, RequestMetadata
from orchidpath.router.proxy.proxy_metrics import ForwardMetrics
from orchidpath.router.proxy.upstream import UpstreamPool
from orchidpath.router.routing_state import RoutingState
from orchidpath.routing.request.events import (
    DecisionMade,
    NoCandidates,
    RequestDecision,
    StageTried,
)
from orchidpath.wire.messages import AttemptEffect, AttemptReport, Rejection
from orchidpath.wire.records import Stage, WorkerRecord


class ForwardEnvironment(msgspec.Struct, frozen=True, kw_only=True):
    """What the runners of one router share."""

    state: RoutingState
    decisions: DecisionMaker
    pool: UpstreamPool
    protocol_mapping: ProtocolMapping
    tasks: BackgroundTasks
    metrics: ForwardMetrics
    random: Random
    clock: Clock


LONGEST_WAIT_SECONDS = 2.0
"""A request waits no longer for the read of its shared part by another one."""


class RejectedDecisionError(OrchidpathError):
    """No worker may be tried now; ``retry_after_seconds`` is 0 when nothing is known of when."""

    def __init__(self, reason: str, retry_after_seconds: float = 0.0) -> None:
        super().__init__(reason)
        self.retry_after_seconds = retry_after_seconds


class Chosen(msgspec.Struct, frozen=True):
    """A worker that was chosen for one leg of an attempt."""

    attempt_id: str
    stage: Stage
    worker: WorkerRecord
    probe_generation: int | None
    chosen_at: float
    expected_read_seconds: float = 0.0

    @property
    def address(self) -> str:
        """``IP:port`` of the worker."""
        return self.worker.url.removeprefix("http://")


class ForwardAttempts:
    """Gets workers decided for a request's attempts and reports once how each of them ended.

    Parameters
    ----------
    environment
        What all runners share.
    facts
        What the request's headers say.
    subject
        What its decisions are about.
    """

    def __init__(
        self,
        environment: ForwardEnvironment,
        request_metadata: RequestMetadata,
        subject: DecisionSubject,
    ) -> None:
        self._environment = environment
        self._request_metadata = request_metadata
        self._subject = subject
        self._count = 0
        self._running: dict[str, Chosen] = {}
        self.tried: dict[Stage, list[str]] = {stage: [] for stage in Stage}

    async def decide(
        self, stages: tuple[Stage, ...], prefill_worker_id: str
    ) -> dict[Stage, Chosen] | None:
        """Have a worker chosen for each stage; None if one of them has left meanwhile.

        The leader may choose none for a prompt read that it leaves to the decode worker.

        Parameters
        ----------
        stages
            Stages of the attempt.
        prefill_worker_id
            The worker that has read the prompt already; empty for none.

        Raises
        ------
        RejectedDecisionError
            No worker may be tried now.
        """
        per_stage = tuple(
            StageTried(stage=stage, tried=tuple(self.tried[stage]), excluded=()) for stage in stages
        )
        subject = msgspec.structs.replace(self._subject, prefill_worker_id=prefill_worker_id)
        waits_until = self._environment.clock() + LONGEST_WAIT_SECONDS
        while True:
            self._count += 1
            attempt_id = f"{self._request_metadata.request_id}.{self._count}"
            may_wait = self._environment.clock() < waits_until
            subject = msgspec.structs.replace(subject, may_wait=may_wait)
            made = await self._decide_once(subject, attempt_id, per_stage)
            if made.reply.rejection is not Rejection.POSTPONED:
                break
            await asyncio.sleep(made.reply.retry_after_seconds)
        if made.reply.rejection is not Rejection.NONE:
            raise RejectedDecisionError(made.reply.rejection.value, made.reply.retry_after_seconds)
        return self._take_choices(attempt_id, made)

    async def _decide_once(
        self, subject: DecisionSubject, attempt_id: str, per_stage: tuple[StageTried, ...]
    ) -> DecisionMade:
        deciding = self._environment.tasks.spawn(
            self._environment.decisions.decide(
                subject, RequestDecision(attempt_id=attempt_id, per_stage=per_stage)
            )
        )
        try:
            made = await asyncio.shield(deciding)
        except asyncio.CancelledError:
            # The decision may have been registered: its marks are freed once it is known.
            deciding.add_done_callback(lambda done: self._release_late(attempt_id, done))
            raise
        if not isinstance(made, DecisionMade):
            raise RejectedDecisionError(made.reason)
        return made

    def prompt_read(self, chosen: Chosen) -> None:
        """Tell the leader that a worker holds the prompt now; its attempt goes on."""
        self._environment.decisions.record_prefill_done(
            self._request_metadata.request_id, chosen.attempt_id, chosen.worker.worker_id
        )

    def failed(self, chosen: Chosen, observed: Observed, status: int | None = None) -> None:
        """Report a failure, and prefer other workers from now on."""
        self.tried[chosen.stage].append(chosen.worker.worker_id)
        self.ended(chosen, observed, status)

    def ended(self, chosen: Chosen, observed: Observed, status: int | None = None) -> None:
        """Report how an attempt ended for one worker, once.

        Parameters
        ----------
        chosen
            The worker.
        observed
            What was seen.
        status
            Status of the answer, where ``observed`` is one.
        """
        if self._running.pop(chosen.worker.worker_id, None) is None:
            return
        if observed is Observed.HTTP_STATUS and status == SHED_STATUS:
            status = THROTTLE_STATUS
        effect = classify(AttemptObservation(observed=observed, http_status=status))
        self._environment.metrics.attempts.labels(chosen.stage.value, effect.value).inc()
        latency_seconds = self._environment.clock() - chosen.chosen_at
        entry = TraceEntry(
            attempt_id=chosen.attempt_id,
            stage=chosen.stage,
            worker_id=chosen.worker.worker_id,
            effect=effect,
            reason=observed.value,
            latency_seconds=latency_seconds,
        )
        self._report(entry, chosen.probe_generation)

    def end_all(self, observed: Observed) -> None:
        """Report the end of every attempt that still runs."""
        for chosen in tuple(self._running.values()):
            self.ended(chosen, observed)

    def _take_choices(self, attempt_id: str, made: DecisionMade) -> dict[Stage, Chosen] | None:
        now = self._environment.clock()
        chosen: dict[Stage, Chosen] = {}
        is_complete = True
        for choice in made.reply.choices:
            worker = self._environment.state.worker(choice.worker_id)
            if worker is None:
                self._report(_unused(attempt_id, choice.worker_id), None)
                is_complete = False
                continue
            one = Chosen(
                attempt_id,
                choice.stage,
                worker,
                choice.probe_generation,
                now,
                made.reply.expected_read_seconds,
            )
            chosen[choice.stage] = one
            self._running[choice.worker_id] = one
        if is_complete:
            return chosen
        for one in chosen.values():
            self.ended(one, Observed.GATEWAY_FAULT)
        return None

    def _release_late(
        self, attempt_id: str, done: "asyncio.Task[DecisionMade | NoCandidates]"
    ) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        made = done.result()
        if isinstance(made, DecisionMade):
            for choice in made.reply.choices:
                self._report(_unused(attempt_id, choice.worker_id), choice.probe_generation)

    def _report(self, entry: TraceEntry, probe_generation: int | None) -> None:
        report = AttemptReport(
            request_id=self._request_metadata.request_id,
            attempt_id=entry.attempt_id,
            worker_id=entry.worker_id,
            effect=entry.effect,
            probe_generation=probe_generation,
        )
        self._environment.decisions.report(report, entry)


SHED_STATUS = 503
"""A worker that sheds a request answers with this."""

THROTTLE_STATUS = 429
"""What shedding counts as."""


def _unused(attempt_id: str, worker_id: str) -> TraceEntry:
    """Return the entry of a choice that was never used."""
    return TraceEntry(
        attempt_id=attempt_id,
        stage=Stage.PLAIN,
        worker_id=worker_id,
        effect=AttemptEffect.GATEWAY,
        reason="unused",
        latency_seconds=0.0,
    )

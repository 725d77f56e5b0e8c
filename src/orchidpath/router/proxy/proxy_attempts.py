"""The attempts of one forwarded request: workers chosen for them, reports of how they ended."""

import asyncio
from random import Random

import msgspec

from orchidpath.circuit.classification import AttemptObservation, Observed, classify
from orchidpath.common.clock import Clock
from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy import proxy_events as events
from orchidpath.forwarding.proxy.proxy_events import ChosenWorker, ProxyEvent
from orchidpath.router.background_tasks import BackgroundTasks
from orchidpath.router.chat.chat_api import TraceEntry
from orchidpath.router.decision_maker import DecisionMaker, DecisionSubject
from orchidpath.router.proxy.protocol_mapping import ProtocolMapping, RequestMetadata
from orchidpath.router.proxy.proxy_metrics import ProxyMetrics
from orchidpath.router.proxy.upstream import UpstreamPool
from orchidpath.router.routing_state import RoutingState
from orchidpath.routing.request.events import (
    DecisionMade,
    NoCandidates,
    RequestDecision,
)
from orchidpath.wire.messages import AttemptEffect, AttemptReport, Rejection
from orchidpath.wire.records import Stage


class ProxyEnvironment(msgspec.Struct, frozen=True, kw_only=True):
    """What the runners of one router share."""

    state: RoutingState
    decisions: DecisionMaker
    pool: UpstreamPool
    protocol_mapping: ProtocolMapping
    tasks: BackgroundTasks
    metrics: ProxyMetrics
    random: Random
    clock: Clock


class ProxyAttempts:
    """Has workers chosen for a request's attempts and reports once how each of them ended.

    Parameters
    ----------
    environment
        What all runners share.
    request_metadata
        What the request's headers say.
    subject
        What its decisions are about.
    """

    def __init__(
        self,
        environment: ProxyEnvironment,
        request_metadata: RequestMetadata,
        subject: DecisionSubject,
    ) -> None:
        self._environment = environment
        self._request_metadata = request_metadata
        self._subject = subject
        self._running: dict[str, ChosenWorker] = {}

    async def decide(self, choose: effects.ChooseWorkers) -> ProxyEvent:
        """Have a worker chosen for each stage.

        The leader may choose none for a prefill that it leaves to the decode worker.

        Parameters
        ----------
        choose
            The attempt, its stages and what was tried before.

        Returns
        -------
        ProxyEvent
            What came of it.
        """
        made = await self._request_decision(choose)
        if isinstance(made, NoCandidates):
            return events.DecisionRejected(made.reason)
        reply = made.reply
        if reply.rejection is Rejection.POSTPONED:
            return events.DecisionPostponed(reply.retry_after_seconds)
        if reply.rejection is not Rejection.NONE:
            return events.DecisionRejected(reply.rejection.value, reply.retry_after_seconds)
        return self._take_choices(choose.attempt_id, made)

    async def _request_decision(self, choose: effects.ChooseWorkers) -> DecisionMade | NoCandidates:
        subject = msgspec.structs.replace(
            self._subject, prefill_worker_id=choose.prefill_worker_id, may_wait=choose.may_wait
        )
        decision = RequestDecision(attempt_id=choose.attempt_id, per_stage=choose.per_stage)
        deciding = self._environment.tasks.spawn(
            self._environment.decisions.decide(subject, decision)
        )
        try:
            return await asyncio.shield(deciding)
        except asyncio.CancelledError:
            # The decision may have been registered: its marks are freed once it is known.
            deciding.add_done_callback(lambda done: self._release_late(choose.attempt_id, done))
            raise

    def prefill_done(self, chosen: ChosenWorker) -> None:
        """Tell the leader that a worker holds the prompt's KV cache; its attempt goes on."""
        self._environment.decisions.record_prefill_done(
            self._request_metadata.request_id, chosen.attempt_id, chosen.worker.worker_id
        )

    def ended(self, chosen: ChosenWorker, observed: Observed, status: int | None = None) -> None:
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

    def _take_choices(self, attempt_id: str, made: DecisionMade) -> ProxyEvent:
        now = self._environment.clock()
        chosen: dict[Stage, ChosenWorker] = {}
        is_complete = True
        for choice in made.reply.choices:
            worker = self._environment.state.worker(choice.worker_id)
            if worker is None:
                self._report(_unused(attempt_id, choice.worker_id), None)
                is_complete = False
                continue
            one = ChosenWorker(
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
            return events.WorkersChosen(chosen)
        for one in chosen.values():
            self.ended(one, Observed.GATEWAY_FAULT)
        return events.ChosenWorkerRemoved()

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

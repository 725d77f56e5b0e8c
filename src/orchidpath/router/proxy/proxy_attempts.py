"""Attempts of one forwarded request: requests worker choices and reports how attempts ended."""

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
    """Dependencies that all request runners of one router share."""

    state: RoutingState
    decisions: DecisionMaker
    pool: UpstreamPool
    protocol_mapping: ProtocolMapping
    tasks: BackgroundTasks
    metrics: ProxyMetrics
    random: Random
    clock: Clock


class ProxyAttempts:
    """Requests worker choices for the attempts of one request, and reports each end exactly once.

    Parameters
    ----------
    environment
        Dependencies that all runners share.
    request_metadata
        Metadata from the headers of the request.
    subject
        Subject of the routing decisions for the request.
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
        """Request the choice of a worker for each stage of an attempt.

        The leader may choose no prefill worker; the decode worker then prefills the prompt itself.

        Parameters
        ----------
        choose
            The attempt, its stages and the workers that earlier attempts tried.

        Returns
        -------
        ProxyEvent
            The chosen workers, or why there are none.
        """
        made = await self._request_decision(choose)
        if isinstance(made, NoCandidates):
            return events.DecisionRejected(made.reason)
        reply = made.reply
        if reply.rejection is Rejection.POSTPONED:
            return events.DecisionPostponed(reply.retry_after_seconds)
        if reply.rejection is not Rejection.NONE:
            return events.DecisionRejected(reply.rejection.value, reply.retry_after_seconds)
        return self._register_choices(choose.attempt_id, made)

    async def _request_decision(self, choose: effects.ChooseWorkers) -> DecisionMade | NoCandidates:
        subject = msgspec.structs.replace(
            self._subject, prefill_worker_id=choose.prefill_worker_id, may_wait=choose.may_wait
        )
        decision = RequestDecision(attempt_id=choose.attempt_id, per_stage=choose.per_stage)
        decision_task = self._environment.tasks.spawn(
            self._environment.decisions.decide(subject, decision)
        )
        try:
            return await asyncio.shield(decision_task)
        except asyncio.CancelledError:
            # The leader may have counted the decision already. Once the reply arrives, its choices
            # are reported as unused, so that they don't count as running attempts.
            decision_task.add_done_callback(
                lambda done: self._report_late_choices(choose.attempt_id, done)
            )
            raise

    def report_prefill_done(self, chosen: ChosenWorker) -> None:
        """Report that a worker has computed the KV cache of the prompt; its attempt continues."""
        self._environment.decisions.record_prefill_done(
            self._request_metadata.request_id, chosen.attempt_id, chosen.worker.worker_id
        )

    def report_end(
        self, chosen: ChosenWorker, observed: Observed, status: int | None = None
    ) -> None:
        """Report how an attempt ended for one worker; later calls for the worker do nothing.

        Parameters
        ----------
        chosen
            The worker, as it was chosen for the attempt.
        observed
            Result of the attempt, as the router observed it.
        status
            HTTP status of the response, if ``observed`` is ``HTTP_STATUS``.
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

    def report_all_ended(self, observed: Observed) -> None:
        """Report the end of every attempt that is still running."""
        for chosen in tuple(self._running.values()):
            self.report_end(chosen, observed)

    def _register_choices(self, attempt_id: str, made: DecisionMade) -> ProxyEvent:
        now = self._environment.clock()
        chosen: dict[Stage, ChosenWorker] = {}
        is_complete = True
        for choice in made.reply.choices:
            worker = self._environment.state.worker(choice.worker_id)
            if worker is None:
                self._report(_unused(attempt_id, choice.worker_id), None)
                is_complete = False
                continue
            chosen_worker = ChosenWorker(
                attempt_id,
                choice.stage,
                worker,
                choice.probe_generation,
                now,
                made.reply.expected_read_seconds,
            )
            chosen[choice.stage] = chosen_worker
            self._running[choice.worker_id] = chosen_worker
        if is_complete:
            return events.WorkersChosen(chosen)
        for chosen_worker in chosen.values():
            self.report_end(chosen_worker, Observed.GATEWAY_FAULT)
        return events.ChosenWorkerRemoved()

    def _report_late_choices(
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
"""HTTP status of a worker that sheds a request."""

THROTTLE_STATUS = 429
"""HTTP status that :data:`SHED_STATUS` is replaced by before an attempt is classified."""


def _unused(attempt_id: str, worker_id: str) -> TraceEntry:
    """Return the trace entry of a chosen worker that no request was sent to."""
    return TraceEntry(
        attempt_id=attempt_id,
        stage=Stage.PLAIN,
        worker_id=worker_id,
        effect=AttemptEffect.GATEWAY,
        reason="unused",
        latency_seconds=0.0,
    )

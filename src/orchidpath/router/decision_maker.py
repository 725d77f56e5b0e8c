"""Gets a decision for each attempt, from the leader or without it, and reports how it ended."""

from collections.abc import Sequence

import msgspec

from orchidpath.common.clock import Clock
from orchidpath.router.chat.chat_api import TraceEntry
from orchidpath.router.fleet_link.fleet_access import FleetAccess
from orchidpath.router.load_view import LoadView
from orchidpath.router.observability.decision_recorder import DecisionRecorder
from orchidpath.router.routing_state import RoutingState
from orchidpath.routing.decision_log import DecidedBy
from orchidpath.routing.pairing import ModelQuery, PlainQuery
from orchidpath.routing.request.events import (
    DecisionMade,
    NoCandidates,
    RequestDecision,
    StageTried,
)
from orchidpath.wire.messages import (
    PREFILL_DONE_SUFFIX,
    AttemptEffect,
    AttemptReport,
    CapacityObserved,
    DecisionReply,
    DecisionRequest,
    PromptShape,
    Rejection,
    StageCandidates,
)
from orchidpath.wire.records import Stage


class DecisionSubject(msgspec.Struct, frozen=True, kw_only=True):
    """What a request's decisions are about; ``prefix_key`` places its prompt on the ring.

    ``prefill_worker_id`` is the worker that has prefilled the prompt already, for a decode alone.
    """

    request_id: str
    service: str
    model: str
    is_model: bool
    prefix_key: int = 0
    prefill_worker_id: str = ""
    prompt: PromptShape | None = None
    may_wait: bool = False


_NOBODY = DecisionReply(correlation=0, term=0, rejection=Rejection.EXHAUSTED)
"""What is recorded when the adopted view has no worker to ask about."""


class DecisionMaker:
    """Asks for decisions, falls back to the last known state, and reports.

    Parameters
    ----------
    fleet
        Reaches the leader.
    state
        Candidates and last known circuits.
    timeout_seconds
        Bound on the wait for the leader.
    clock
        Monotonic clock.
    recorder
        Keeps the decision log; None keeps none.
    """

    def __init__(
        self,
        fleet: FleetAccess,
        state: RoutingState,
        timeout_seconds: float,
        clock: Clock,
        recorder: DecisionRecorder | None = None,
    ) -> None:
        self._fleet = fleet
        self._state = state
        self._timeout_seconds = timeout_seconds
        self._clock = clock
        self._recorder = recorder
        self._loads = LoadView()

    async def decide(
        self, subject: DecisionSubject, query: RequestDecision
    ) -> DecisionMade | NoCandidates:
        """List the candidates and have one chosen for every stage.

        Parameters
        ----------
        subject
            The request.
        ask
            The attempt, and what was tried before.

        Returns
        -------
        DecisionMade or NoCandidates
            NoCandidates when the adopted view has no worker for a stage.
        """
        self._state.refresh()
        per_stage = self._candidates_per_stage(subject, query.per_stage)
        request = DecisionRequest(
            correlation=0,
            request_id=subject.request_id,
            attempt_id=query.attempt_id,
            service=subject.service,
            per_stage=per_stage,
            prompt=subject.prompt,
            is_read=bool(subject.prefill_worker_id),
            may_wait=subject.may_wait,
        )
        missing = [
            stage_candidates.stage.value
            for stage_candidates in per_stage
            if not stage_candidates.candidates
        ]
        if missing:
            self._record(request, _NOBODY, DecidedBy.ROUTER)
            reason = f"no usable {' and no usable '.join(missing)} worker in {subject.service}"
            return NoCandidates(attempt_id=query.attempt_id, reason=reason)
        reply = await self._query_leader_or_fall_back(request)
        self._loads.begin([choice.worker_id for choice in reply.choices])
        return DecisionMade(attempt_id=query.attempt_id, reply=reply)

    def report(self, report: AttemptReport, entry: TraceEntry) -> None:
        """Report how an attempt ended for one worker, here and to the leader."""
        now = self._clock()
        if self._recorder is not None:
            self._recorder.report(report, entry)
        self._loads.end(report.worker_id)
        self._state.fallback.observe((report,), now)
        self._fleet.report((report,))
        if report.effect is AttemptEffect.THROTTLE:
            throttle = self._state.throttle
            self._obey(throttle.observe_refusal(report.worker_id, report.request_id, now))

    def record_prefill_done(self, request_id: str, attempt_id: str, worker_id: str) -> None:
        """Tell the leader that a prompt was prefilled; how the attempt ended is reported later."""
        report = AttemptReport(
            request_id=request_id,
            attempt_id=attempt_id + PREFILL_DONE_SUFFIX,
            worker_id=worker_id,
            effect=AttemptEffect.GATEWAY,
        )
        self._fleet.report((report,))

    def observe_delay(self, worker_id: str, request_id: str, delay_seconds: float) -> None:
        """Record how long a worker took to its answer, or to its first token."""
        now = self._clock()
        throttle = self._state.throttle
        self._obey(throttle.observe_delay(worker_id, request_id, delay_seconds, now))

    def _obey(self, observed: CapacityObserved | None) -> None:
        if observed is None:
            return
        self._state.fallback.observe_capacity(observed, self._clock())
        self._fleet.observe_capacity(observed)

    async def _query_leader_or_fall_back(self, request: DecisionRequest) -> DecisionReply:
        reply = await self._fleet.decide(request, self._timeout_seconds)
        now = self._clock()
        if reply is None or reply.rejection is Rejection.NOT_LEADER:
            alone = self._state.fallback.decide(request, now)
            chosen = [choice.worker_id for choice in alone.choices]
            self._fleet.decided_alone(request.attempt_id, chosen)
            self._record(request, alone, DecidedBy.ROUTER)
            return alone
        self._loads.update(reply.states, now)
        self._state.fallback.register_decided(
            request.request_id, request.attempt_id, reply.choices, now
        )
        self._record(request, reply, DecidedBy.LEADER)
        return reply

    def _record(
        self, request: DecisionRequest, reply: DecisionReply, decided_by: DecidedBy
    ) -> None:
        if self._recorder is None:
            return
        state = self._state
        self._recorder.configuration(state.configuration, state.configuration_version)
        self._recorder.decision(request, reply, decided_by)

    def _candidates_per_stage(
        self, subject: DecisionSubject, tried: Sequence[StageTried]
    ) -> tuple[StageCandidates, ...]:
        now = self._clock()
        loads = self._loads.in_flight(now)
        by_stage = {stage_candidates.stage: stage_candidates for stage_candidates in tried}
        selector = self._state.selector
        if subject.is_model:
            query = ModelQuery(
                service=subject.service,
                model=subject.model,
                request_id=subject.request_id,
                key=subject.prefix_key,
                tried_prefill=by_stage[Stage.PREFILL].tried if Stage.PREFILL in by_stage else (),
                tried_decode=by_stage[Stage.DECODE].tried,
            )
            if Stage.PREFILL in by_stage:
                per_stage = selector.model_candidates(query, loads, now)
            else:
                near = subject.prefill_worker_id
                per_stage = (selector.decode_candidates(query, near, loads, now),)
        else:
            plain = PlainQuery(
                service=subject.service,
                request_id=subject.request_id,
                tried=by_stage[Stage.PLAIN].tried,
            )
            per_stage = (selector.plain_candidates(plain, loads),)
        return tuple(
            self._without_unusable(stage_candidates, by_stage[stage_candidates.stage].excluded)
            for stage_candidates in per_stage
        )

    def _without_unusable(
        self, stage_candidates: StageCandidates, excluded: tuple[str, ...]
    ) -> StageCandidates:
        """Leave out what this request must not use, and who told this router of its draining."""
        candidates = tuple(
            worker_id
            for worker_id in stage_candidates.candidates
            if worker_id not in excluded and not self._state.is_draining(worker_id)
        )
        return msgspec.structs.replace(stage_candidates, candidates=candidates)

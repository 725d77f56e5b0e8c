"""Routing decisions of one router.

A decision chooses the workers of an attempt. The leader makes the decision. If the leader does not
reply in time, the router decides locally on the last state that it received. The outcome of each
attempt is reported to the leader.
"""

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
    """The properties of a request that its decisions depend on.

    ``prefix_key`` is the position of the prompt on the hash ring. ``prefill_worker_id`` is set
    when only a decode is to be placed: it is the worker that has already prefilled the prompt.
    """

    request_id: str
    service: str
    model: str
    is_model: bool
    prefix_key: int = 0
    prefill_worker_id: str = ""
    prompt: PromptShape | None = None
    may_wait: bool = False


_NO_CANDIDATES_REPLY = DecisionReply(correlation=0, term=0, rejection=Rejection.EXHAUSTED)
"""Recorded as the reply when the adopted view has no candidate and the leader is not queried."""


class DecisionMaker:
    """Requests decisions from the leader, falls back to the last known state, and reports attempts.

    Parameters
    ----------
    fleet
        Access to the leader.
    state
        Candidates of the adopted view, and last known circuits.
    timeout_seconds
        Bound on the wait for the leader's decision.
    clock
        Monotonic clock.
    recorder
        Writes the decision log; None when no decision log is written.
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
        """Get a decision that chooses one worker for every stage of an attempt.

        Parameters
        ----------
        subject
            The request.
        query
            The attempt, and for each stage the workers that were tried or are excluded.

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
            self._record(request, _NO_CANDIDATES_REPLY, DecidedBy.ROUTER)
            reason = f"no usable {' and no usable '.join(missing)} worker in {subject.service}"
            return NoCandidates(attempt_id=query.attempt_id, reason=reason)
        reply = await self._query_leader_or_fall_back(request)
        self._loads.begin([choice.worker_id for choice in reply.choices])
        return DecisionMade(attempt_id=query.attempt_id, reply=reply)

    def report(self, report: AttemptReport, entry: TraceEntry) -> None:
        """Record locally how an attempt ended for one worker, and report it to the leader."""
        now = self._clock()
        if self._recorder is not None:
            self._recorder.report(report, entry)
        self._loads.end(report.worker_id)
        self._state.fallback.observe((report,), now)
        self._fleet.report((report,))
        if report.effect is AttemptEffect.THROTTLE:
            throttle = self._state.throttle
            self._apply_capacity(throttle.observe_refusal(report.worker_id, report.request_id, now))

    def record_prefill_done(self, request_id: str, attempt_id: str, worker_id: str) -> None:
        """Report to the leader that a prompt was prefilled; the attempt's end is reported later."""
        report = AttemptReport(
            request_id=request_id,
            attempt_id=attempt_id + PREFILL_DONE_SUFFIX,
            worker_id=worker_id,
            effect=AttemptEffect.GATEWAY,
        )
        self._fleet.report((report,))

    def observe_delay(self, worker_id: str, request_id: str, delay_seconds: float) -> None:
        """Record the delay of a worker's reply or, for a decode, of its first frame."""
        now = self._clock()
        throttle = self._state.throttle
        self._apply_capacity(throttle.observe_delay(worker_id, request_id, delay_seconds, now))

    def _apply_capacity(self, observed: CapacityObserved | None) -> None:
        if observed is None:
            return
        self._state.fallback.observe_capacity(observed, self._clock())
        self._fleet.observe_capacity(observed)

    async def _query_leader_or_fall_back(self, request: DecisionRequest) -> DecisionReply:
        reply = await self._fleet.decide(request, self._timeout_seconds)
        now = self._clock()
        if reply is None or reply.rejection is Rejection.NOT_LEADER:
            fallback_reply = self._state.fallback.decide(request, now)
            chosen = [choice.worker_id for choice in fallback_reply.choices]
            self._fleet.record_local_decision(request.attempt_id, chosen)
            self._record(request, fallback_reply, DecidedBy.ROUTER)
            return fallback_reply
        self._loads.update(reply.states, now)
        self._state.fallback.register_leader_decision(
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
                prefill_worker_id = subject.prefill_worker_id
                per_stage = (selector.decode_candidates(query, prefill_worker_id, loads, now),)
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
        """Remove workers excluded for this request or known to this router to be draining."""
        candidates = tuple(
            worker_id
            for worker_id in stage_candidates.candidates
            if worker_id not in excluded and not self._state.is_draining(worker_id)
        )
        return msgspec.structs.replace(stage_candidates, candidates=candidates)

"""The state machine of one forwarded request: rounds, retries, KV transfer and the final response.

The machine does no input or output: it receives events and the current time, and returns effects.
``_TRANSITIONS`` at the end of the module lists the events that each phase handles; any other event
is ignored. Each round selects workers, dispatches a prefill of the prompt if that is worthwhile,
and dispatches the request. A round ends with a response or with the next round.

The rules are:

- The attempts so far determine whether the request may be dispatched again and whether the final
  response may guarantee not-executed (:mod:`orchidpath.forwarding.progress`).
- The attempt of a prefill worker ends only when its KV cache was transferred or the transfer has
  failed, so that a failed transfer is charged to the worker that holds the cache.
- Once the head of a response has reached the caller, only a stream whose route allows resumption
  continues on another worker. Any other response is aborted so that the caller detects it.
"""

from collections.abc import Callable
from typing import Any

from orchidpath.circuit.classification import Observed
from orchidpath.forwarding.progress import FailureKind
from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy import proxy_events as events
from orchidpath.forwarding.proxy.prefill_path import PendingTransfer
from orchidpath.forwarding.proxy.proxy_core import ProxyCore, ProxyPhase
from orchidpath.forwarding.proxy.proxy_effects import ProxyEffect
from orchidpath.routing.request.events import SendRefusal
from orchidpath.wire.records import Stage

NO_LEASE_RETRY_AFTER_SECONDS = 1.0
"""Retry-After of a router without a lease, in seconds.

Within about this time, the router has renewed its lease or receives no more requests.
"""

GUARANTEE_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that imply not-executed; never relayed from a worker that did not guarantee it."""

MISDIRECTED_STATUS = 421
"""Status of a worker that rejects a request because it was intended for another worker."""

THROTTLE_STATUS = 429
"""Status reported for a refusal by the intended worker, which can serve, whatever it sent."""


class ProxyMachine(ProxyCore):
    """State machine of one forwarded request; the module documentation describes its rules.

    Parameters
    ----------
    plan
        Properties of the request.
    shared
        Retry budget, random generator, and availability of prefill workers.
    """

    def handle(self, event: events.ProxyEvent, now: float) -> list[ProxyEffect]:
        """Process one event and return the effects to execute.

        Parameters
        ----------
        event
            The event; ignored if the current phase does not handle it.
        now
            Monotonic seconds.

        Returns
        -------
        list of ProxyEffect
            To be executed in this order. At most one of them is an operation, which comes last.
        """
        transition = _TRANSITIONS.get((self._phase, type(event)))
        return [] if transition is None else transition(self, event, now)

    def _start(self, _event: events.RequestStarted, now: float) -> list[ProxyEffect]:
        self._shared.retry_budget.record_first_attempt(now)
        return self._next_round(now)

    def _decision_postponed(
        self, event: events.DecisionPostponed, _now: float
    ) -> list[ProxyEffect]:
        return [effects.Wait(event.retry_after_seconds)]

    def _wait_elapsed(self, _event: events.WaitElapsed, now: float) -> list[ProxyEffect]:
        return [self._rounds.choose_again(now)]

    def _decision_rejected(self, event: events.DecisionRejected, now: float) -> list[ProxyEffect]:
        if not self._rounds.includes_prefill:
            return self._end_with_error(event.reason, event.retry_after_seconds)
        self._prefill.disable_prefill_stage()
        return self._next_round(now)

    def _chosen_worker_removed(
        self, _event: events.ChosenWorkerRemoved, now: float
    ) -> list[ProxyEffect]:
        return self._next_round(now)

    def _workers_chosen(self, event: events.WorkersChosen, now: float) -> list[ProxyEffect]:
        stage = Stage.DECODE if self._plan.is_model else Stage.PLAIN
        self._chosen_for_request = event.workers[stage]
        prefill = event.workers.get(Stage.PREFILL)
        if prefill is None:
            return self._dispatch_request(now)
        return self._dispatch_prefill(prefill, now)

    def _prefill_dispatched(self, _event: events.Dispatched, _now: float) -> list[ProxyEffect]:
        self._progress.record_prefill_dispatch()
        return [effects.AwaitPrefill(self._prefill_timeout_at)]

    def _prefill_send_refused(self, event: events.SendRefused, now: float) -> list[ProxyEffect]:
        return [
            self._report_failed(Observed.GATEWAY_FAULT),
            effects.ReportRemaining(Observed.GATEWAY_FAULT),
            *self._after_send_refused(event, now),
        ]

    def _prefill_connect_failed(
        self, _event: events.ConnectFailed, now: float
    ) -> list[ProxyEffect]:
        return self._prefill_failed(Observed.CONNECT_FAILED, None, now)

    def _prefill_exchange_broken(
        self, _event: events.ExchangeBroken, now: float
    ) -> list[ProxyEffect]:
        self._progress.record_prefill_failure(now)
        return self._prefill_failed(Observed.CONNECTION_RESET, None, now)

    def _prefill_timed_out(self, _event: events.ExchangeTimedOut, now: float) -> list[ProxyEffect]:
        self._progress.record_prefill_failure(now)
        return self._prefill_failed(Observed.TIMED_OUT, None, now)

    def _prefill_rejected(self, event: events.PrefillRejected, now: float) -> list[ProxyEffect]:
        self._progress.record_prefill_failure(now)
        is_misdirected = event.guarantees_not_executed and event.status == MISDIRECTED_STATUS
        observed = Observed.GATEWAY_FAULT if is_misdirected else Observed.HTTP_STATUS
        return self._prefill_failed(observed, event.status, now)

    def _prefill_succeeded(self, event: events.PrefillSucceeded, now: float) -> list[ProxyEffect]:
        chosen = self._current_target()
        self._prefill.pending = PendingTransfer(chosen, event.handle, event.weights_version)
        return [effects.RecordPrefillDone(chosen), *self._dispatch_request(now)]

    def _request_dispatched(self, _event: events.Dispatched, now: float) -> list[ProxyEffect]:
        self._progress.record_dispatch(self._current_target().worker.worker_id)
        self._dispatched_at = now
        return [effects.AwaitHead(self._progress.first_response_timeout_seconds(now))]

    def _send_refused(self, event: events.SendRefused, now: float) -> list[ProxyEffect]:
        report = self._report_failed(Observed.GATEWAY_FAULT)
        return [report, *self._after_send_refused(event, now)]

    def _after_send_refused(self, event: events.SendRefused, now: float) -> list[ProxyEffect]:
        if event.refusal is SendRefusal.NOT_FRESH:
            return self._end_with_error(
                "this router holds no lease to serve", NO_LEASE_RETRY_AFTER_SECONDS
            )
        return self._next_round(now)

    def _connect_failed(self, _event: events.ConnectFailed, now: float) -> list[ProxyEffect]:
        self._progress.record_dispatch_failure(FailureKind.NOT_SENT)
        return [self._report_failed(Observed.CONNECT_FAILED), *self._retry_or_abort(now)]

    def _exchange_timed_out(self, _event: events.ExchangeTimedOut, now: float) -> list[ProxyEffect]:
        return self._execution_in_doubt(FailureKind.TIMED_OUT, Observed.TIMED_OUT, None, now)

    def _exchange_broken(self, _event: events.ExchangeBroken, now: float) -> list[ProxyEffect]:
        return self._execution_in_doubt(FailureKind.BROKEN, Observed.CONNECTION_RESET, None, now)

    def _head_received(self, event: events.HeadReceived, now: float) -> list[ProxyEffect]:
        chosen = self._current_target()
        delay = effects.RecordDelay(chosen.worker.worker_id, now - self._dispatched_at)
        self._head = event
        if event.guarantees_not_executed:
            return [delay, effects.DrainRefusal()]
        records: list[ProxyEffect] = [delay, *self._report_transferred()]
        if self._plan.is_model:
            records.append(effects.RecordPrefillDone(chosen))
        if not self._may_relay(event):
            malformed = self._execution_in_doubt(
                FailureKind.BROKEN, Observed.MALFORMED_PROTOCOL, event.status, now
            )
            return [*records, effects.AbortConnection(), *malformed]
        self._phase = ProxyPhase.STREAMING
        if not self._response.has_started:
            # A resumed stream must continue on the weights version that began it.
            self._response.weights_version = event.weights_version
        self._response.has_started = True
        return [*records, effects.RelayResponse()]

    def _may_relay(self, head: events.HeadReceived) -> bool:
        """Return whether a response may be relayed to the caller unchanged."""
        if head.status in GUARANTEE_STATUSES or head.is_encoded:
            return False
        if self._response.has_started:
            return head.status == 200 and head.is_signed
        if 200 <= head.status < 300:
            return head.is_signed
        may_repeat = self._plan.route.may_repeat
        return not (head.status >= 500 and may_repeat and self._progress.has_workers_left())

    def _transfer_refused(self, event: events.RefusalDrained, now: float) -> list[ProxyEffect]:
        assert self._head is not None
        if self._head.is_full:
            return self._refusal_drained(event, now)
        # The decode worker could not fetch the KV cache. It can still serve the request, and
        # prefills the prompt itself.
        pending = self._prefill.pending
        assert pending is not None
        # A failed link is charged to the prefill worker too. If several decode workers fetch from
        # that worker again, its first success clears the failures counted against it.
        charged = effects.Report(pending.chosen, Observed.KV_TRANSFER_CHARGED)
        released = self._release_handle()
        self._prefill.record_transfer_failure()
        self._progress.record_dispatch_failure(FailureKind.REFUSED)
        neutral = effects.Report(self._current_target(), Observed.KV_TRANSFER_UNDECIDED)
        return [charged, *released, neutral, *self._retry_or_abort(now)]

    def _refusal_drained(self, _event: events.RefusalDrained, now: float) -> list[ProxyEffect]:
        assert self._head is not None
        self._progress.record_dispatch_failure(FailureKind.REFUSED)
        if self._head.status == MISDIRECTED_STATUS:
            report = self._report_failed(Observed.GATEWAY_FAULT)
        else:
            report = self._report_failed(Observed.HTTP_STATUS, THROTTLE_STATUS)
        return [report, *self._retry_or_abort(now)]

    def _response_completed(
        self, _event: events.ResponseCompleted, _now: float
    ) -> list[ProxyEffect]:
        assert self._head is not None
        status = self._head.status
        self._phase = ProxyPhase.DONE
        report = effects.Report(self._current_target(), Observed.SUCCESS)
        if status >= 400:
            report = effects.Report(self._current_target(), Observed.HTTP_STATUS, status)
        return [report, effects.CountOutcome(str(status))]

    def _stream_broken(self, event: events.StreamBroken, now: float) -> list[ProxyEffect]:
        self._response.is_resumable = event.is_resumable
        self._response.last_event_id = event.last_event_id
        return self._execution_in_doubt(FailureKind.BROKEN, Observed.CONNECTION_RESET, None, now)

    def _deadline_passed(self, _event: events.DeadlinePassed, _now: float) -> list[ProxyEffect]:
        self._progress.last_failure = FailureKind.TIMED_OUT
        return self._end_with_error("the deadline has passed")

    def _internal_error(
        self, _event: events.InternalErrorOccurred, _now: float
    ) -> list[ProxyEffect]:
        """End the request; guarantee not-executed only if it was certainly not sent."""
        if self._phase in _DISPATCHING_PHASES:
            self._progress.record_possible_dispatch()
        unused = effects.ReportRemaining(Observed.GATEWAY_FAULT)
        return [effects.AbortConnection(), unused, *self._end_with_error("the router failed")]

    def _request_closed(self, _event: events.RequestClosed, _now: float) -> list[ProxyEffect]:
        """Report the outcome of unfinished attempts, and release a KV cache not yet fetched."""
        self._phase = ProxyPhase.DONE
        timed_out = self._progress.last_failure is FailureKind.TIMED_OUT
        observed = Observed.TIMED_OUT if timed_out else Observed.CLIENT_CANCELLED
        return [effects.ReportRemaining(observed), *self._release_handle()]


_DISPATCHING_PHASES = frozenset({ProxyPhase.TRANSFERRING, ProxyPhase.AWAITING_HEAD})
"""Phases in which the request may have been sent although no event has confirmed it."""

_Transition = Callable[[ProxyMachine, Any, float], list[ProxyEffect]]

_CHOOSING: dict[type, _Transition] = {
    events.WorkersChosen: ProxyMachine._workers_chosen,
    events.ChosenWorkerRemoved: ProxyMachine._chosen_worker_removed,
    events.DecisionPostponed: ProxyMachine._decision_postponed,
    events.DecisionRejected: ProxyMachine._decision_rejected,
    events.WaitElapsed: ProxyMachine._wait_elapsed,
}

_AWAITING: dict[type, _Transition] = {
    events.ConnectFailed: ProxyMachine._connect_failed,
    events.SendRefused: ProxyMachine._send_refused,
    events.Dispatched: ProxyMachine._request_dispatched,
    events.HeadReceived: ProxyMachine._head_received,
    events.ExchangeBroken: ProxyMachine._exchange_broken,
    events.ExchangeTimedOut: ProxyMachine._exchange_timed_out,
}

_TRANSITIONS: dict[tuple[ProxyPhase, type], _Transition] = {
    (ProxyPhase.NEW, events.RequestStarted): ProxyMachine._start,
    **{(ProxyPhase.CHOOSING, event): step for event, step in _CHOOSING.items()},
    **{(ProxyPhase.RESUMING, event): step for event, step in _CHOOSING.items()},
    (ProxyPhase.PREFILLING, events.ConnectFailed): ProxyMachine._prefill_connect_failed,
    (ProxyPhase.PREFILLING, events.SendRefused): ProxyMachine._prefill_send_refused,
    (ProxyPhase.PREFILLING, events.Dispatched): ProxyMachine._prefill_dispatched,
    (ProxyPhase.PREFILLING, events.PrefillSucceeded): ProxyMachine._prefill_succeeded,
    (ProxyPhase.PREFILLING, events.PrefillRejected): ProxyMachine._prefill_rejected,
    (ProxyPhase.PREFILLING, events.ExchangeBroken): ProxyMachine._prefill_exchange_broken,
    (ProxyPhase.PREFILLING, events.ExchangeTimedOut): ProxyMachine._prefill_timed_out,
    **{(ProxyPhase.TRANSFERRING, event): step for event, step in _AWAITING.items()},
    (ProxyPhase.TRANSFERRING, events.RefusalDrained): ProxyMachine._transfer_refused,
    **{(ProxyPhase.AWAITING_HEAD, event): step for event, step in _AWAITING.items()},
    (ProxyPhase.AWAITING_HEAD, events.RefusalDrained): ProxyMachine._refusal_drained,
    (ProxyPhase.STREAMING, events.ResponseCompleted): ProxyMachine._response_completed,
    (ProxyPhase.STREAMING, events.StreamBroken): ProxyMachine._stream_broken,
    **{
        (phase, events.DeadlinePassed): ProxyMachine._deadline_passed
        for phase in ProxyPhase
        if phase is not ProxyPhase.DONE
    },
    **{
        (phase, events.InternalErrorOccurred): ProxyMachine._internal_error
        for phase in ProxyPhase
        if phase is not ProxyPhase.DONE
    },
    **{(phase, events.RequestClosed): ProxyMachine._request_closed for phase in ProxyPhase},
}

"""The state machine of one forwarded request: rounds, retries, KV transfer and the final answer.

Pure: events and the time come in, effects go out. ``_TRANSITIONS`` at the end lists what each phase
takes; an event that its phase does not take changes nothing. Each round chooses workers, has the
prompt prefilled where that pays, and sends the request; it ends with an answer or the next round.

What the rules rest on:

- what may be sent again, and whether the final answer may guarantee not-executed, follows from what
  the request has spent (:mod:`orchidpath.forwarding.progress`);
- a prefill worker's attempt ends when its KV cache was transferred or could not be, so that a
  failed transfer is charged to the worker that holds the cache;
- once the head of an answer has reached the caller, only a stream that its route lets be resumed
  goes on at another worker; any other is broken off visibly.
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
from orchidpath.wire.configuration import Repetition
from orchidpath.wire.records import Stage

NO_LEASE_RETRY_AFTER_SECONDS = 1.0
"""A router that has lost its lease gets it back, or is taken out of use, within about this."""

GUARANTEE_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee not-executed: never passed on from a worker that gave no guarantee."""

MISDIRECTED_STATUS = 421
"""A worker that is not the one that was meant answers with this."""

THROTTLE_STATUS = 429
"""What a refusal by a worker that can serve counts as."""


class ProxyMachine(ProxyCore):
    """Decides everything about one forwarded request; see the module's documentation.

    Parameters
    ----------
    plan
        The request.
    shared
        Retry budget of its service, randomness, and whether prefill workers are there.
    """

    def handle(self, event: events.ProxyEvent, now: float) -> list[ProxyEffect]:
        """Take one event.

        Parameters
        ----------
        event
            What happened.
        now
            Monotonic seconds.

        Returns
        -------
        list of ProxyEffect
            To be carried out in this order; at most one operation, as the last of them.
        """
        transition = _TRANSITIONS.get((self._phase, type(event)))
        return [] if transition is None else transition(self, event, now)

    # Rounds

    def _start(self, _event: events.RequestStarted, now: float) -> list[ProxyEffect]:
        self._shared.retry_budget.record_first_attempt(now)
        return self._next_round(now)

    def _postponed(self, event: events.DecisionPostponed, _now: float) -> list[ProxyEffect]:
        return [effects.Wait(event.retry_after_seconds)]

    def _waited(self, _event: events.WaitElapsed, now: float) -> list[ProxyEffect]:
        return [self._rounds.choose_again(now)]

    def _rejected(self, event: events.DecisionRejected, now: float) -> list[ProxyEffect]:
        if not self._rounds.includes_prefill:
            return self._give_up(event.reason, event.retry_after_seconds)
        self._prefill.leave_to_decode()
        return self._next_round(now)

    def _chosen_worker_removed(
        self, _event: events.ChosenWorkerRemoved, now: float
    ) -> list[ProxyEffect]:
        return self._next_round(now)

    def _chosen(self, event: events.WorkersChosen, now: float) -> list[ProxyEffect]:
        stage = Stage.DECODE if self._plan.is_model else Stage.PLAIN
        self._chosen_for_request = event.workers[stage]
        prefill = event.workers.get(Stage.PREFILL)
        if prefill is None:
            return self._dispatch_request(now)
        return self._dispatch_prefill(prefill, now)

    # Prefill

    def _prefill_dispatched(self, _event: events.Dispatched, _now: float) -> list[ProxyEffect]:
        self._progress.prefill_dispatched()
        return [effects.AwaitPrefill(self._prefill_timeout_at)]

    def _prefill_refused_here(self, event: events.SendRefused, now: float) -> list[ProxyEffect]:
        return [
            self._report_failed(Observed.GATEWAY_FAULT),
            effects.ReportRest(Observed.GATEWAY_FAULT),
            *self._after_send_refused(event, now),
        ]

    def _prefill_not_sent(self, _event: events.ConnectFailed, now: float) -> list[ProxyEffect]:
        return self._prefill_failed(Observed.CONNECT_FAILED, None, now)

    def _prefill_broken(self, _event: events.ExchangeBroken, now: float) -> list[ProxyEffect]:
        self._progress.prefill_failed(now)
        return self._prefill_failed(Observed.CONNECTION_RESET, None, now)

    def _prefill_timed_out(self, _event: events.ExchangeTimedOut, now: float) -> list[ProxyEffect]:
        self._progress.prefill_failed(now)
        return self._prefill_failed(Observed.TIMED_OUT, None, now)

    def _prefill_rejected(self, event: events.PrefillRejected, now: float) -> list[ProxyEffect]:
        self._progress.prefill_failed(now)
        is_misdirected = event.guarantees_not_executed and event.status == MISDIRECTED_STATUS
        observed = Observed.GATEWAY_FAULT if is_misdirected else Observed.HTTP_STATUS
        return self._prefill_failed(observed, event.status, now)

    def _prefilled(self, event: events.PrefillSucceeded, now: float) -> list[ProxyEffect]:
        chosen = self._current()
        self._prefill.pending = PendingTransfer(chosen, event.handle, event.weights_version)
        return [effects.RecordPrefillDone(chosen), *self._dispatch_request(now)]

    # The request itself

    def _dispatched(self, _event: events.Dispatched, now: float) -> list[ProxyEffect]:
        self._progress.dispatched(self._current().worker.worker_id)
        self._dispatched_at = now
        return [effects.AwaitHead(self._progress.first_response_timeout_seconds(now))]

    def _refused_here(self, event: events.SendRefused, now: float) -> list[ProxyEffect]:
        report = self._report_failed(Observed.GATEWAY_FAULT)
        return [report, *self._after_send_refused(event, now)]

    def _after_send_refused(self, event: events.SendRefused, now: float) -> list[ProxyEffect]:
        if event.refusal is SendRefusal.NOT_FRESH:
            return self._give_up(
                "this router holds no lease to serve", NO_LEASE_RETRY_AFTER_SECONDS
            )
        return self._next_round(now)

    def _not_sent(self, _event: events.ConnectFailed, now: float) -> list[ProxyEffect]:
        self._progress.dispatch_failed(FailureKind.NOT_SENT)
        return [self._report_failed(Observed.CONNECT_FAILED), *self._go_on(now)]

    def _timed_out(self, _event: events.ExchangeTimedOut, now: float) -> list[ProxyEffect]:
        return self._execution_in_doubt(FailureKind.TIMED_OUT, Observed.TIMED_OUT, None, now)

    def _broken(self, _event: events.ExchangeBroken, now: float) -> list[ProxyEffect]:
        return self._execution_in_doubt(FailureKind.BROKEN, Observed.CONNECTION_RESET, None, now)

    # Answers

    def _head_received(self, event: events.HeadReceived, now: float) -> list[ProxyEffect]:
        chosen = self._current()
        delay = effects.RecordDelay(chosen.worker.worker_id, now - self._dispatched_at)
        self._head = event
        if event.guarantees_not_executed:
            return [delay, effects.DrainRefusal()]
        records: list[ProxyEffect] = [delay, *self._transferred()]
        if self._plan.is_model:
            records.append(effects.RecordPrefillDone(chosen))
        if not self._may_pass_on(event):
            malformed = self._execution_in_doubt(
                FailureKind.BROKEN, Observed.MALFORMED_PROTOCOL, event.status, now
            )
            return [*records, effects.AbortConnection(), *malformed]
        self._phase = ProxyPhase.STREAMING
        if not self._response.has_started:
            # A stream that is resumed keeps to the weights that began it.
            self._response.weights_version = event.weights_version
        self._response.has_started = True
        return [*records, effects.RelayResponse()]

    def _may_pass_on(self, head: events.HeadReceived) -> bool:
        """Whether an answer may reach the caller as it is."""
        if head.status in GUARANTEE_STATUSES or head.is_encoded:
            return False
        if self._response.has_started:
            return head.status == 200 and head.is_signed
        if 200 <= head.status < 300:
            return head.is_signed
        may_repeat = self._plan.route.repetition is not Repetition.NEVER
        return not (head.status >= 500 and may_repeat and self._progress.has_workers_left())

    def _transfer_refused(self, event: events.RefusalDrained, now: float) -> list[ProxyEffect]:
        assert self._head is not None
        if self._head.is_full:
            return self._refused(event, now)
        # The KV cache could not be had. The worker itself can serve, and prefills.
        pending = self._prefill.pending
        assert pending is not None
        # A link that fails is charged there too; when several decode workers fetch from that
        # worker again, its first success clears what was counted.
        charged = effects.Report(pending.chosen, Observed.KV_TRANSFER_CHARGED)
        released = self._release_handle()
        self._prefill.transfer_failed()
        self._progress.dispatch_failed(FailureKind.REFUSED)
        neutral = effects.Report(self._current(), Observed.KV_TRANSFER_UNDECIDED)
        return [charged, *released, neutral, *self._go_on(now)]

    def _refused(self, _event: events.RefusalDrained, now: float) -> list[ProxyEffect]:
        assert self._head is not None
        self._progress.dispatch_failed(FailureKind.REFUSED)
        if self._head.status == MISDIRECTED_STATUS:
            report = self._report_failed(Observed.GATEWAY_FAULT)
        else:
            report = self._report_failed(Observed.HTTP_STATUS, THROTTLE_STATUS)
        return [report, *self._go_on(now)]

    def _completed(self, _event: events.ResponseCompleted, _now: float) -> list[ProxyEffect]:
        assert self._head is not None
        status = self._head.status
        self._phase = ProxyPhase.DONE
        report = effects.Report(self._current(), Observed.SUCCESS)
        if status >= 400:
            report = effects.Report(self._current(), Observed.HTTP_STATUS, status)
        return [report, effects.CountOutcome(str(status))]

    def _stream_broken(self, event: events.StreamBroken, now: float) -> list[ProxyEffect]:
        self._response.is_resumable = event.is_resumable
        self._response.last_event_id = event.last_event_id
        return self._execution_in_doubt(FailureKind.BROKEN, Observed.CONNECTION_RESET, None, now)

    # Ends

    def _deadline_passed(self, _event: events.DeadlinePassed, _now: float) -> list[ProxyEffect]:
        self._progress.last_failure = FailureKind.TIMED_OUT
        return self._give_up("the deadline has passed")

    def _close(self, _event: events.RequestClosed, _now: float) -> list[ProxyEffect]:
        """Report what still runs, and free a KV cache that no worker has fetched."""
        self._phase = ProxyPhase.DONE
        timed_out = self._progress.last_failure is FailureKind.TIMED_OUT
        observed = Observed.TIMED_OUT if timed_out else Observed.CLIENT_CANCELLED
        return [effects.ReportRest(observed), *self._release_handle()]


_Transition = Callable[[ProxyMachine, Any, float], list[ProxyEffect]]

_CHOOSING: dict[type, _Transition] = {
    events.WorkersChosen: ProxyMachine._chosen,
    events.ChosenWorkerRemoved: ProxyMachine._chosen_worker_removed,
    events.DecisionPostponed: ProxyMachine._postponed,
    events.DecisionRejected: ProxyMachine._rejected,
    events.WaitElapsed: ProxyMachine._waited,
}

_AWAITING: dict[type, _Transition] = {
    events.ConnectFailed: ProxyMachine._not_sent,
    events.SendRefused: ProxyMachine._refused_here,
    events.Dispatched: ProxyMachine._dispatched,
    events.HeadReceived: ProxyMachine._head_received,
    events.ExchangeBroken: ProxyMachine._broken,
    events.ExchangeTimedOut: ProxyMachine._timed_out,
}

_TRANSITIONS: dict[tuple[ProxyPhase, type], _Transition] = {
    (ProxyPhase.NEW, events.RequestStarted): ProxyMachine._start,
    **{(ProxyPhase.CHOOSING, event): step for event, step in _CHOOSING.items()},
    **{(ProxyPhase.RESUMING, event): step for event, step in _CHOOSING.items()},
    (ProxyPhase.PREFILLING, events.ConnectFailed): ProxyMachine._prefill_not_sent,
    (ProxyPhase.PREFILLING, events.SendRefused): ProxyMachine._prefill_refused_here,
    (ProxyPhase.PREFILLING, events.Dispatched): ProxyMachine._prefill_dispatched,
    (ProxyPhase.PREFILLING, events.PrefillSucceeded): ProxyMachine._prefilled,
    (ProxyPhase.PREFILLING, events.PrefillRejected): ProxyMachine._prefill_rejected,
    (ProxyPhase.PREFILLING, events.ExchangeBroken): ProxyMachine._prefill_broken,
    (ProxyPhase.PREFILLING, events.ExchangeTimedOut): ProxyMachine._prefill_timed_out,
    **{(ProxyPhase.TRANSFERRING, event): step for event, step in _AWAITING.items()},
    (ProxyPhase.TRANSFERRING, events.RefusalDrained): ProxyMachine._transfer_refused,
    **{(ProxyPhase.AWAITING_HEAD, event): step for event, step in _AWAITING.items()},
    (ProxyPhase.AWAITING_HEAD, events.RefusalDrained): ProxyMachine._refused,
    (ProxyPhase.STREAMING, events.ResponseCompleted): ProxyMachine._completed,
    (ProxyPhase.STREAMING, events.StreamBroken): ProxyMachine._stream_broken,
    **{
        (phase, events.DeadlinePassed): ProxyMachine._deadline_passed
        for phase in ProxyPhase
        if phase is not ProxyPhase.DONE
    },
    **{(phase, events.RequestClosed): ProxyMachine._close for phase in ProxyPhase},
}

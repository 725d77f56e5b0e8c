"""Seeded random walks through the proxy machine, which check its invariants after each event."""

from random import Random

import pytest
from proxy_machine_driver import MachineDriver, chosen, head

from orchidpath.circuit.classification import Observed
from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy import proxy_events as events
from orchidpath.routing.request.events import SendRefusal
from orchidpath.wire.configuration import Repetition
from orchidpath.wire.records import Stage

DEADLINE_PROBABILITY = 0.02
ERROR_PROBABILITY = 0.02


class Walk:
    """A random sequence of events until a request ends, with checks after each event."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.errors = Random(f"errors of {seed}")
        self.repetition = self.random.choice(tuple(Repetition))
        self.max_attempts = self.random.randrange(1, 4)
        self.driver = MachineDriver(
            is_model=self.random.random() < 0.7,
            repetition=self.repetition,
            max_attempts=self.max_attempts,
            prompt_tokens=self.random.choice((100, 9_000)),
            has_prefill_workers=self.random.random() < 0.8,
            seed=seed,
        )
        self.handles = 0
        self.retained_handles: set[str] = set()
        self.reached: set[str] = set()
        self.may_have_executed = 0
        self.final_responses = 0
        self.has_begun = False

    def run_until_closed(self) -> None:
        """Handle random events until the machine starts no operation, then close the request."""
        operation = self.take(events.RequestStarted())
        while operation is not None:
            event = self.random_result(operation)
            self.record_execution(operation, event)
            operation = self.take(event)
        self.take(events.RequestClosed())

    def take(self, event: events.ProxyEvent) -> effects.ProxyOperation | None:
        """Handle an event and check its effects; return the operation among them, if any."""
        operation: effects.ProxyOperation | None = None
        for effect in self.driver.take(event).effects:
            assert operation is None, "an operation is the last effect"
            if isinstance(effect, effects.ProxyOperation):
                operation = effect
            self.check(effect)
        return operation

    def record_execution(self, operation: effects.ProxyOperation, event: events.ProxyEvent) -> None:
        """Track from an event which worker has executed, or may have executed, the request."""
        match event:
            case events.PrefillSucceeded():
                self.retained_handles.add(event.handle)
            case events.RefusalDrained():
                self.may_have_executed -= 1
            case events.ResponseCompleted():
                self.final_responses += 1
            case events.InternalErrorOccurred() if isinstance(operation, effects.Dispatch):
                # The request may have been sent before the error.
                self.may_have_executed += not operation.is_prefill
            case events.Dispatched() if not _is_prefill(operation):
                assert isinstance(operation, effects.Dispatch)
                assert not self.may_have_executed or self.repetition is not Repetition.NEVER
                self.may_have_executed += 1
                self.reached.add(operation.target.worker.worker_id)

    def check(self, effect: effects.ProxyEffect) -> None:
        match effect:
            case effects.ReleaseHandle():
                self.retained_handles.remove(effect.source.handle)
            case effects.Report(observed=Observed.SUCCESS):
                self.retained_handles.clear()
            case effects.RelayResponse():
                self.has_begun = True
            case effects.AbortResponse():
                assert self.has_begun
                self.final_responses += 1
            case effects.SendErrorResponse():
                assert not self.has_begun
                assert (effect.status == 503) == (self.may_have_executed == 0)
                assert (effect.retry_after_seconds is None) == (effect.status != 503)
                self.final_responses += 1

    def random_result(self, operation: effects.ProxyOperation) -> events.ProxyEvent:
        """Return a random event that ends the operation, sometimes the deadline or an error."""
        if self.errors.random() < ERROR_PROBABILITY:
            return events.InternalErrorOccurred()
        if self.random.random() < DEADLINE_PROBABILITY:
            return events.DeadlinePassed()
        match operation:
            case effects.ChooseWorkers():
                return self.random_decision(operation)
            case effects.Wait():
                return events.WaitElapsed()
            case effects.Dispatch():
                rejection = events.SendRefused(self.random.choice(tuple(SendRefusal)))
                return self.usually(events.Dispatched(), events.ConnectFailed(), rejection)
            case effects.AwaitPrefill():
                return self.random_prefill_result()
            case effects.AwaitHead():
                return self.random_response()
            case effects.DrainRefusal():
                return events.RefusalDrained()
            case effects.RelayResponse():
                broken = events.StreamBroken(self.random.random() < 0.7, "3")
                return self.random.choice((events.ResponseCompleted(), broken))

    def usually(self, common: events.ProxyEvent, *rare: events.ProxyEvent) -> events.ProxyEvent:
        """Return the first event with probability 0.7, else a random one of the others."""
        return common if self.random.random() < 0.7 else self.random.choice(rare)

    def random_decision(self, request: effects.ChooseWorkers) -> events.ProxyEvent:
        stages = [candidates.stage for candidates in request.per_stage]
        if Stage.PREFILL in stages and self.random.random() < 0.1:
            stages.remove(Stage.PREFILL)
        number = self.random.randrange(1, 5)
        workers = {
            stage: chosen(stage, f"{stage.value}{number}", request.attempt_id) for stage in stages
        }
        return self.usually(
            events.WorkersChosen(workers),
            events.DecisionRejected("exhausted", 0.5),
            events.DecisionPostponed(0.3),
            events.ChosenWorkerRemoved(),
        )

    def random_prefill_result(self) -> events.ProxyEvent:
        self.handles += 1
        return self.usually(
            events.PrefillSucceeded(f"h{self.handles}", 4),
            events.ExchangeBroken(),
            events.ExchangeTimedOut(),
            events.PrefillRejected(503, self.random.random() < 0.5),
        )

    def random_response(self) -> events.ProxyEvent:
        rejected = head(
            self.random.choice((503, 429, 421)),
            guarantees_not_executed=True,
            is_full=self.random.random() < 0.5,
        )
        other = head(self.random.choice((200, 404, 500, 503)), is_signed=self.random.random() < 0.8)
        failures = (events.ExchangeBroken(), events.ExchangeTimedOut())
        return self.random.choice((rejected, rejected, other, other, *failures))


def _is_prefill(operation: effects.ProxyOperation) -> bool:
    return isinstance(operation, effects.Dispatch) and operation.is_prefill


@pytest.mark.parametrize("seed", range(400))
def test_no_walk_violates_the_invariants_of_a_request(seed: int) -> None:
    walk = Walk(seed)
    walk.run_until_closed()
    assert walk.final_responses == 1
    assert len(walk.reached) <= walk.max_attempts
    # Every KV cache is transferred or released, or it expires once a response has begun.
    assert not walk.retained_handles or walk.has_begun

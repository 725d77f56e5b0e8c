"""Seeded walks through the machine of a forwarded request: what it never does."""

from random import Random

import pytest
from proxy_machine_driver import Driven, chosen, head

from orchidpath.circuit.classification import Observed
from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy import proxy_events as events
from orchidpath.routing.request.events import SendRefusal
from orchidpath.wire.configuration import Repetition
from orchidpath.wire.records import Stage

DEADLINE_SHARE = 0.02


class Walk:
    """One walk of random events to the end of a request, checked at each step."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.repetition = self.random.choice(tuple(Repetition))
        self.max_attempts = self.random.randrange(1, 4)
        self.driven = Driven(
            is_model=self.random.random() < 0.7,
            repetition=self.repetition,
            max_attempts=self.max_attempts,
            prompt_tokens=self.random.choice((100, 9_000)),
            has_prefill_workers=self.random.random() < 0.8,
            seed=seed,
        )
        self.handles = 0
        self.held: set[str] = set()
        self.reached: set[str] = set()
        self.may_have_executed = 0
        self.final_answers = 0
        self.has_begun = False

    def to_its_end(self) -> None:
        """Take events until the machine asks for nothing more, then close it."""
        operation = self.take(events.RequestStarted())
        while operation is not None:
            event = self.ending_of(operation)
            self.note(operation, event)
            operation = self.take(event)
        self.take(events.RequestClosed())

    def take(self, event: events.ProxyEvent) -> effects.ProxyOperation | None:
        """Check what follows an event; returns the operation that comes next."""
        operation: effects.ProxyOperation | None = None
        for effect in self.driven.take(event).effects:
            assert operation is None, "nothing follows an operation"
            if isinstance(effect, effects.ProxyOperation):
                operation = effect
            self.check(effect)
        return operation

    def note(self, operation: effects.ProxyOperation, event: events.ProxyEvent) -> None:
        """Note what a worker has done or may have done."""
        match event:
            case events.PrefillSucceeded():
                self.held.add(event.handle)
            case events.RefusalDrained():
                self.may_have_executed -= 1
            case events.ResponseCompleted():
                self.final_answers += 1
            case events.Dispatched() if not _is_prefill(operation):
                assert isinstance(operation, effects.Dispatch)
                assert not self.may_have_executed or self.repetition is not Repetition.NEVER
                self.may_have_executed += 1
                self.reached.add(operation.target.worker.worker_id)

    def check(self, effect: effects.ProxyEffect) -> None:
        match effect:
            case effects.ReleaseHandle():
                self.held.remove(effect.source.handle)
            case effects.Report(observed=Observed.SUCCESS):
                self.held.clear()
            case effects.RelayResponse():
                self.has_begun = True
            case effects.AbortResponse():
                assert self.has_begun
                self.final_answers += 1
            case effects.SendErrorResponse():
                assert not self.has_begun
                assert (effect.status == 503) == (self.may_have_executed == 0)
                assert (effect.retry_after_seconds is None) == (effect.status != 503)
                self.final_answers += 1

    def ending_of(self, operation: effects.ProxyOperation) -> events.ProxyEvent:
        """Return an event in which an operation may end."""
        if self.random.random() < DEADLINE_SHARE:
            return events.DeadlinePassed()
        match operation:
            case effects.ChooseWorkers():
                return self.decision(operation)
            case effects.Wait():
                return events.WaitElapsed()
            case effects.Dispatch():
                refusal = events.SendRefused(self.random.choice(tuple(SendRefusal)))
                return self.any_of(events.Dispatched(), events.ConnectFailed(), refusal)
            case effects.AwaitPrefill():
                return self.prefill()
            case effects.AwaitHead():
                return self.answer()
            case effects.DrainRefusal():
                return events.RefusalDrained()
            case effects.RelayResponse():
                broken = events.StreamBroken(self.random.random() < 0.7, "3")
                return self.random.choice((events.ResponseCompleted(), broken))

    def any_of(self, well: events.ProxyEvent, *others: events.ProxyEvent) -> events.ProxyEvent:
        """Return the first event more often than one of the others."""
        return well if self.random.random() < 0.7 else self.random.choice(others)

    def decision(self, ask: effects.ChooseWorkers) -> events.ProxyEvent:
        stages = [one.stage for one in ask.per_stage]
        if Stage.PREFILL in stages and self.random.random() < 0.1:
            stages.remove(Stage.PREFILL)
        number = self.random.randrange(1, 5)
        workers = {one: chosen(one, f"{one.value}{number}", ask.attempt_id) for one in stages}
        return self.any_of(
            events.WorkersChosen(workers),
            events.DecisionRejected("exhausted", 0.5),
            events.DecisionPostponed(0.3),
            events.ChosenWorkerRemoved(),
        )

    def prefill(self) -> events.ProxyEvent:
        self.handles += 1
        return self.any_of(
            events.PrefillSucceeded(f"h{self.handles}", 4),
            events.ExchangeBroken(),
            events.ExchangeTimedOut(),
            events.PrefillRejected(503, self.random.random() < 0.5),
        )

    def answer(self) -> events.ProxyEvent:
        refused = head(
            self.random.choice((503, 429, 421)),
            guarantees_not_executed=True,
            is_full=self.random.random() < 0.5,
        )
        other = head(self.random.choice((200, 404, 500, 503)), is_signed=self.random.random() < 0.8)
        failures = (events.ExchangeBroken(), events.ExchangeTimedOut())
        return self.random.choice((refused, refused, other, other, *failures))


def _is_prefill(operation: effects.ProxyOperation) -> bool:
    return isinstance(operation, effects.Dispatch) and operation.is_prefill


@pytest.mark.parametrize("seed", range(400))
def test_no_walk_breaks_a_promise(seed: int) -> None:
    walk = Walk(seed)
    walk.to_its_end()
    assert walk.final_answers == 1
    assert len(walk.reached) <= walk.max_attempts
    # Every KV cache was transferred or released; after an answer has begun it expires by itself.
    assert not walk.held or walk.has_begun

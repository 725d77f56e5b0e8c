"""Driver of the proxy machine and builders of its events, shared by the machine's tests."""

from random import Random
from typing import TypeVar

from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy import proxy_events as events
from orchidpath.forwarding.proxy.proxy_machine import ProxyMachine
from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.wire.configuration import ForwardRoute, Repetition, RetryPolicy, WeightedService
from orchidpath.wire.records import Stage, WorkerRecord

EffectT = TypeVar("EffectT")

NOW = 100.0
SECONDS = 8.0
MAX_DECODE_SIDE_TOKENS = 6_000


def chosen(stage: Stage, worker_id: str, attempt_id: str = "r.1") -> events.ChosenWorker:
    worker = WorkerRecord(
        worker_id=worker_id, incarnation="i", service="s", stage=stage, url=f"http://{worker_id}:1"
    )
    return events.ChosenWorker(attempt_id, stage, worker, None, NOW)


def head(status: int = 200, **changes: bool) -> events.HeadReceived:
    flags = {
        "guarantees_not_executed": False,
        "is_signed": True,
        "is_encoded": False,
        "is_full": False,
    }
    return events.HeadReceived(status=status, weights_version=7, **{**flags, **changes})


class MachineDriver:
    """A proxy machine with fixed settings, and the effects of the last event it handled."""

    def __init__(
        self,
        *,
        is_model: bool = True,
        repetition: Repetition = Repetition.NEVER,
        max_attempts: int = 2,
        prompt_tokens: int = 1_000,
        wants_prefill_stage: bool = True,
        has_prefill_workers: bool = True,
        seed: int = 1,
    ) -> None:
        self.has_prefill_workers = has_prefill_workers
        route = ForwardRoute(
            name="r",
            host="h",
            path_prefix="/",
            services=[WeightedService(service="s")],
            streaming=True,
            repetition=repetition,
            max_attempts=max_attempts,
            priority=3,
        )
        plan = events.ProxyPlan(
            request_id="r",
            route=route,
            is_model=is_model,
            prompt_tokens=prompt_tokens,
            wants_prefill_stage=is_model and wants_prefill_stage,
            max_decode_side_prefill_tokens=MAX_DECODE_SIDE_TOKENS,
            deadline=NOW + SECONDS,
        )
        shared = events.ProxyShared(
            retry_budget=RetryBudget(RetryPolicy(budget_minimum_per_second=10.0)),
            random=Random(seed),
            has_prefill_workers=lambda: self.has_prefill_workers,
        )
        self.machine = ProxyMachine(plan, shared)
        self.now = NOW
        self.effects: list[effects.ProxyEffect] = []

    def take(self, *sequence: events.ProxyEvent) -> "MachineDriver":
        for event in sequence:
            self.effects = self.machine.handle(event, self.now)
        return self

    def single_effect(self, kind: type[EffectT]) -> EffectT:
        (effect,) = (effect for effect in self.effects if isinstance(effect, kind))
        return effect

    def has_effect(self, kind: type) -> bool:
        return any(isinstance(effect, kind) for effect in self.effects)


def pair(prefill: str = "p1", decode: str = "d1") -> events.WorkersChosen:
    workers = (chosen(Stage.PREFILL, prefill), chosen(Stage.DECODE, decode))
    return events.WorkersChosen({worker.stage: worker for worker in workers})


def single_worker(worker_id: str = "d1", stage: Stage = Stage.DECODE) -> events.WorkersChosen:
    return events.WorkersChosen({stage: chosen(stage, worker_id)})


def transferring(**settings: object) -> MachineDriver:
    """Return a machine whose prefill is complete and whose decode was dispatched."""
    driver = MachineDriver(**settings)  # type: ignore[arg-type]
    prefilled = events.PrefillSucceeded("h1", 4)
    return driver.take(
        events.RequestStarted(), pair(), events.Dispatched(), prefilled, events.Dispatched()
    )


def awaiting_head(**settings: object) -> MachineDriver:
    """Return a machine that has dispatched a plain request."""
    driver = MachineDriver(is_model=False, **settings)  # type: ignore[arg-type]
    return driver.take(
        events.RequestStarted(), single_worker("w1", Stage.PLAIN), events.Dispatched()
    )


REJECTED = (head(503, guarantees_not_executed=True), events.RefusalDrained())
REJECTED_FULL = (head(503, guarantees_not_executed=True, is_full=True), events.RefusalDrained())

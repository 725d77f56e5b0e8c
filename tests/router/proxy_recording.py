"""Seeded runs of one forwarded request against scripted fakes, with the router's actions in each.

The seed determines how the decisions, the workers and the caller behave; time is virtual. A run is
recorded as the list of its externally visible actions: decision requests, dispatches to workers,
reports, the response to the caller, and the release of KV handles and connections.

``python tests/router/proxy_recording.py`` rewrites :data:`RECORDING`. Run it only together with an
intended change of behaviour; ``test_proxy_recording`` compares every run with the file.
"""

import asyncio
import json
import selectors
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any, cast

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.router.background_tasks import BackgroundTasks
from orchidpath.router.chat.chat_api import TraceEntry
from orchidpath.router.decision_maker import DecisionSubject
from orchidpath.router.proxy.caller_connection import CallerDisconnectedError
from orchidpath.router.proxy.protocol_mapping import Header, ProtocolMapping
from orchidpath.router.proxy.proxy_attempts import ProxyEnvironment
from orchidpath.router.proxy.proxy_messages import ForwardedRequest, ResponseHead
from orchidpath.router.proxy.proxy_metrics import ProxyMetrics
from orchidpath.router.proxy.proxy_runner import ProxyRunner
from orchidpath.router.proxy.upstream import BrokenResponseError, NoConnectionError
from orchidpath.routing.request.events import (
    DecisionMade,
    NoCandidates,
    RequestDecision,
    SendRefusal,
)
from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.wire.configuration import (
    ForwardRoute,
    Repetition,
    RetryPolicy,
    Service,
    ServiceKind,
    WeightedService,
)
from orchidpath.wire.messages import AttemptReport, Choice, DecisionReply, Rejection
from orchidpath.wire.records import Stage, WorkerRecord

RECORDING = Path(__file__).with_name("proxy_recording.json")
"""Externally visible actions of each seed's run, as of the last intended behaviour change."""

SEEDS = range(1000)
REQUEST_ID = "r"
PREFILL_BODY = b'{"handle": "h%d", "version": %d}'
HANG_SECONDS = 1000.0
WORKERS = {
    Stage.PREFILL: ("p1", "p2", "p3"),
    Stage.DECODE: ("d1", "d2", "d3", "d4"),
    Stage.PLAIN: ("w1", "w2", "w3", "w4"),
}

FOCUSES: tuple[frozenset[str], ...] = (
    *(frozenset[str](),) * 6,
    frozenset({"refused"}),
    frozenset({"broken_midway"}),
    frozenset({"broken_midway"}),
    frozenset({"refused_full"}),
    frozenset({"refused_with_room"}),
)
"""Sets of faults, one per run, whose probability is multiplied by :data:`FOCUS_FACTOR`."""

FOCUS_FACTOR = 12.0


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that never waits; it advances the clock to the next timer of the loop instead."""

    now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise AssertionError("the run waits without a timer, so nothing can wake it")
        self.now += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only when every task waits."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


class Script:
    """Faults and delays selected at random from a seed, with a separate generator for each kind."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        setup = self.source("setup")
        self.fault_factor = setup.choice((0.15, 1.0, 1.0, 2.5))
        self.is_model = setup.random() < 0.75
        self.prompt_tokens = setup.choice((0, 100, 3_000, 9_000))
        self.direct_prompt_tokens = setup.choice((0, 0, 512))
        self.prefill_eligible = setup.choice(("always", "always", "always", "never", "varies"))
        self.header_deadline_ms = setup.choice((None, None, 400, 1_500, 4_000))
        self.budget = RetryPolicy(
            budget_ratio=0.2, budget_minimum_per_second=setup.choice((0.0, 0.2, 10.0, 10.0))
        )
        self.disconnect_after_seconds = setup.uniform(0.0, 2.5) if setup.random() < 0.1 else None
        self.disconnect_at_write = setup.randrange(6) if setup.random() < 0.08 else None
        self.has_body = setup.random() < 0.5
        self.focus = setup.choice(FOCUSES)
        self.caller_resumes = setup.random() < 0.1
        self.route = ForwardRoute(
            name="route",
            host="h",
            path_prefix="/",
            services=[WeightedService(service="s")],
            streaming=setup.random() < 0.7,
            repetition=setup.choice(
                (Repetition.NEVER, Repetition.WHOLE, Repetition.RESUMED, Repetition.RESUMED)
            ),
            max_attempts=setup.choice((1, 2, 2, 3, 4)),
            timeout_seconds=setup.choice((2.0, 5.0, 10.0)),
            target_latency_seconds=setup.choice((0.0, 0.8, 2.0)),
            priority=setup.randrange(3),
            prefix_affinity=setup.random() < 0.5,
        )
        if "broken_midway" in self.focus:
            self.route = msgspec.structs.replace(
                self.route, streaming=True, repetition=Repetition.RESUMED, max_attempts=3
            )

    def source(self, kind: str) -> Random:
        return Random(f"{self.seed}-{kind}")

    def select_fault(
        self, source: Random, faults: dict[str, float], no_fault: str = "no_fault"
    ) -> str:
        """Return a fault, selected by the probabilities of the faults, or ``no_fault``."""
        point = source.random()
        for fault, probability in faults.items():
            point -= probability * (FOCUS_FACTOR if fault in self.focus else self.fault_factor)
            if point < 0:
                return fault
        return no_fault


class ActionLog:
    """Externally visible actions of a run, each with its virtual time in milliseconds."""

    def __init__(self) -> None:
        self.actions: list[str] = []
        self.released: list[str] = []
        self.budget: list[str] = []
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    def add(self, *parts: object) -> None:
        self.actions.append(self._line(parts))

    def add_release(self, *parts: object) -> None:
        self.released.append(self._line(parts))

    def add_budget(self, *parts: object) -> None:
        self.budget.append(self._line(parts))

    def _line(self, parts: Sequence[object]) -> str:
        milliseconds = round((self._loop.time() - self._started_at) * 1000)
        return " ".join(str(part) for part in (milliseconds, *parts))


class LoggedBudget(RetryBudget):
    """A retry budget that records its calls."""

    def __init__(self, policy: RetryPolicy, log: ActionLog) -> None:
        super().__init__(policy)
        self._log = log

    def try_spend(self, now: float) -> bool:
        is_granted = super().try_spend(now)
        self._log.add_budget("granted" if is_granted else "denied")
        return is_granted

    def record_extra_attempt(self, now: float) -> None:
        super().record_extra_attempt(now)
        self._log.add_budget("extra")

    def record_first_attempt(self, now: float) -> None:
        super().record_first_attempt(now)
        self._log.add_budget("first")


class LoggedMetrics(ProxyMetrics):
    """Metrics that record each counted outcome."""

    def __init__(self, log: ActionLog) -> None:
        super().__init__()
        self._log = log

    def count_outcome(self, route: str, outcome: str) -> None:
        super().count_outcome(route, outcome)
        self._log.add("counted", route, outcome)


class _Admission(msgspec.Struct):
    direct_prompt_tokens: int


class _Configuration(msgspec.Struct):
    admission: _Admission


class FakeDecisions:
    """Chooses workers or rejects requests, as the script determines."""

    def __init__(self, script: Script, log: ActionLog) -> None:
        self._script = script
        self._log = log
        self._source = script.source("decisions")
        self.decision_count = 0

    async def decide(
        self, subject: DecisionSubject, decision: RequestDecision
    ) -> DecisionMade | NoCandidates:
        self.decision_count += 1
        stages = [
            f"{stage_tried.stage.value}({','.join(stage_tried.tried)})"
            for stage_tried in decision.per_stage
        ]
        subject_parts = (subject.prefill_worker_id, subject.may_wait, subject.prefix_key % 1000)
        self._log.add(
            "decide", decision.attempt_id, *stages, *subject_parts, subject.prompt is not None
        )
        faults = {
            "no_candidates": 0.03,
            "postponed": 0.1,
            "rejected": 0.05,
            "prefill_omitted": 0.08,
            "gone": 0.05,
        }
        fault = self._script.select_fault(self._source, faults)
        await asyncio.sleep(self._source.choice((0.0, 0.0, 0.002, 0.3)))
        if fault == "no_candidates":
            return NoCandidates(attempt_id=decision.attempt_id, reason="no usable worker")
        reply = DecisionReply(correlation=0, term=0)
        if fault in {"postponed", "rejected"}:
            rejections = (Rejection.CIRCUITS_OPEN, Rejection.EXHAUSTED, Rejection.SHARED_CAPACITY)
            rejection = self._source.choice(rejections)
            if fault == "postponed":
                rejection = Rejection.POSTPONED
            seconds = self._source.choice((0.0, 0.3, 1.5))
            reply = msgspec.structs.replace(reply, rejection=rejection, retry_after_seconds=seconds)
            return DecisionMade(attempt_id=decision.attempt_id, reply=reply)
        choices = tuple(
            self._choice(stage_tried.stage, stage_tried.tried, fault)
            for stage_tried in decision.per_stage
        )
        if fault == "prefill_omitted" and len(choices) > 1:
            choices = choices[1:]
        reply = msgspec.structs.replace(
            reply, choices=choices, expected_read_seconds=self._source.choice((0.0, 0.1, 0.5))
        )
        return DecisionMade(attempt_id=decision.attempt_id, reply=reply)

    def _choice(self, stage: Stage, tried: Sequence[str], fault: str) -> Choice:
        untried = [candidate for candidate in WORKERS[stage] if candidate not in tried] or list(
            WORKERS[stage]
        )
        worker_id = self._source.choice(untried)
        if fault == "gone" and self._source.random() < 0.6:
            worker_id = "gone"
        generation = self._source.choice((None, None, 3))
        return Choice(stage=stage, worker_id=worker_id, probe_generation=generation)

    def report(self, report: AttemptReport, entry: TraceEntry) -> None:
        latency = round(entry.latency_seconds * 1000)
        self._log.add(
            "report",
            report.attempt_id,
            report.worker_id,
            report.effect.value,
            report.probe_generation,
            entry.stage.value,
            entry.reason,
            latency,
        )

    def record_prefill_done(self, request_id: str, attempt_id: str, worker_id: str) -> None:
        self._log.add("prefill_done", request_id, attempt_id, worker_id)

    def observe_delay(self, worker_id: str, request_id: str, delay_seconds: float) -> None:
        self._log.add("delay", worker_id, request_id, round(delay_seconds * 1000))


class FakeState:
    """Routing state with fixed workers, a logged retry budget and scripted send checks."""

    def __init__(self, script: Script, log: ActionLog, decisions: FakeDecisions) -> None:
        self._script = script
        self._decisions = decisions
        self._checks = script.source("checks")
        self._budget = LoggedBudget(script.budget, log)
        self.configuration = _Configuration(_Admission(script.direct_prompt_tokens))
        self.selector = self

    def budget(self, _service: str) -> RetryBudget:
        return self._budget

    def eligible(self, _service: str, _stage: Stage, _model: str) -> tuple[str, ...]:
        if self._script.prefill_eligible == "varies":
            are_eligible = (
                self._script.source(f"eligible{self._decisions.decision_count}").random() < 0.6
            )
        else:
            are_eligible = self._script.prefill_eligible == "always"
        return WORKERS[Stage.PREFILL] if are_eligible else ()

    def worker(self, worker_id: str) -> WorkerRecord | None:
        for stage, workers in WORKERS.items():
            if worker_id in workers:
                return WorkerRecord(
                    worker_id=worker_id,
                    incarnation="i",
                    service="s",
                    stage=stage,
                    url=f"http://{worker_id}:1",
                )
        return None

    def connection_limit(self, _service: Service) -> int:
        return 7

    def send_refusal(
        self, _worker_id: str, _incarnation: str, _stage: Stage, _now: float
    ) -> SendRefusal | None:
        faults = {
            SendRefusal.WORKER_UNAVAILABLE.value: 0.04,
            SendRefusal.NOT_FRESH.value: 0.01,
        }
        fault = self._script.select_fault(self._checks, faults, "")
        return SendRefusal(fault) if fault else None


class FakeConnection:
    """A connection to a worker whose responses follow the script."""

    def __init__(self, pool: "FakePool", label: str, source: Random, *, is_release: bool) -> None:
        self._pool = pool
        self._label = label
        self._source = source
        self._is_release = is_release
        self._is_closed = False
        self._steps: list[Any] = []

    @property
    def _record(self) -> Any:
        return self._pool.log.add_release if self._is_release else self._pool.log.add

    def send(self, method: bytes, target: bytes, headers: Sequence[Header], body: bytes) -> None:
        script = self._pool.script
        header_texts = [f"{name.decode()}={value.decode()}" for name, value in headers]
        self._record(
            "send", self._label, method.decode(), target.decode(), *header_texts, len(body)
        )
        if script.select_fault(self._source, {"closed": 0.02}) == "closed":
            raise NoConnectionError(
                "the connection closed before the first byte of the request was sent"
            )
        values = dict(headers)
        if method == b"DELETE":
            self._steps = self._release_steps()
        elif values.get(b"x-orchidpath-stage") == b"prefill":
            self._steps = self._prefill_steps()
        else:
            self._steps = self._answer_steps(values.get(b"last-event-id", b""))

    async def read_head(self) -> ResponseHead:
        step = await self._next_step()
        assert isinstance(step, ResponseHead)
        return step

    async def read_body(self) -> bytes | None:
        step = await self._next_step()
        assert step is None or isinstance(step, bytes)
        return step

    def skip_foreign_response(self) -> None:
        self._record("skip", self._label)
        if self._steps and self._steps[0] == "unskippable":
            raise BrokenResponseError("the connection ended with the response to another request")

    def close(self) -> None:
        # Closing a connection a second time has no effect and is not recorded.
        if not self._is_closed:
            self._record("close", self._label)
        self._is_closed = True

    async def _next_step(self) -> Any:
        while True:
            step = self._steps.pop(0)
            if isinstance(step, float):
                await asyncio.sleep(step)
            elif isinstance(step, Exception):
                raise step
            else:
                return step

    def _head(self, status: int, *extra: Header, request_id: str = REQUEST_ID) -> ResponseHead:
        own = (b"x-request-id", request_id.encode())
        return ResponseHead(status=status, headers=(own, (b"keep-alive", b"timeout=5"), *extra))

    def _pause(self) -> list[Any]:
        return [self._source.choice((0.0, 0.001, 0.05, 0.4))] if self._source.random() < 0.7 else []

    def _release_steps(self) -> list[Any]:
        match self._pool.script.select_fault(self._source, {"hang": 0.1, "broken": 0.1}):
            case "hang":
                return [HANG_SECONDS]
            case "broken":
                return [BrokenResponseError("broken")]
        return [0.01, self._head(200), b"ok", None]

    def _prefill_steps(self) -> list[Any]:
        faults = {
            "refused": 0.05,
            "refused_421": 0.03,
            "not_guaranteed": 0.03,
            "failed": 0.04,
            "malformed": 0.04,
            "broken": 0.05,
            "broken_body": 0.03,
            "oversized": 0.02,
            "hang": 0.05,
            "slow": 0.05,
            "foreign": 0.04,
        }
        not_run = (b"x-orchidpath-not-run", b"1")
        body = PREFILL_BODY % (self._source.randrange(100), self._source.randrange(1, 4))
        success = [self._head(200), body[:7], body[7:], None]
        pause = self._pause()
        kinds: dict[str, list[Any]] = {
            "no_fault": [*pause, *success],
            "refused": [*pause, self._head(503, not_run), None],
            "refused_421": [*pause, self._head(421), b"no", None],
            "not_guaranteed": [*pause, self._head(503), None],
            "failed": [*pause, self._head(500), b"failed", None],
            "malformed": [*pause, self._head(200), b"nothing", None],
            "broken": [*pause, BrokenResponseError("broken")],
            "broken_body": [*pause, self._head(200), b"{", BrokenResponseError("broken")],
            "oversized": [*pause, self._head(200), bytes(70_000), None],
            "hang": [HANG_SECONDS],
            "slow": [1.3, *success],
            "foreign": [*pause, self._head(200, request_id="other"), b"stolen", None, *success],
        }
        return kinds[self._pool.script.select_fault(self._source, faults)]

    def _answer_steps(self, last_event_id: bytes) -> list[Any]:
        faults = {
            "refused_full": 0.05,
            "refused_with_room": 0.05,
            "refused": 0.03,
            "refused_body_broken": 0.02,
            "refused_body_hang": 0.01,
            "refused_421": 0.03,
            "not_guaranteed": 0.03,
            "failed": 0.03,
            "rejected": 0.02,
            "encoded": 0.02,
            "unsigned": 0.02,
            "foreign": 0.04,
            "unskippable": 0.02,
            "broken": 0.05,
            "broken_after_head": 0.03,
            "broken_midway": 0.12,
            "stream_hangs": 0.04,
            "stream_restarted": 0.04,
            "hang": 0.04,
            "slow": 0.04,
        }
        return [
            *self._pause(),
            *self._answer_of(self._pool.script.select_fault(self._source, faults), last_event_id),
        ]

    def _answer_of(self, fault: str, last_event_id: bytes) -> list[Any]:
        not_run = (b"x-orchidpath-not-run", b"1")
        signed = (b"x-orchidpath-signature", b"sig")
        success = self._stream(signed, last_event_id)
        foreign = self._head(200, signed, request_id="other")
        status = self._source.choice((503, 429, 408))
        cut = self._source.randrange(2, len(success)) if len(success) > 2 else 1
        kinds: dict[str, list[Any]] = {
            "no_fault": success,
            "refused_full": [
                self._head(503, not_run, (b"x-orchidpath-load", b"6,3,6")),
                b"full",
                None,
            ],
            "refused_with_room": [
                self._head(503, not_run, (b"x-orchidpath-load", b"1,0,6")),
                None,
            ],
            "refused": [self._head(429, not_run), b"no", b"no", None],
            "refused_body_broken": [
                self._head(503, not_run),
                b"no",
                BrokenResponseError("broken"),
            ],
            "refused_body_hang": [self._head(503, not_run), b"no", HANG_SECONDS],
            "refused_421": [self._head(421), None],
            "not_guaranteed": [self._head(status, signed), None],
            "failed": [self._head(500, signed), b"failed", None],
            "rejected": [self._head(404), b"nothing there", None],
            "encoded": [self._head(200, signed, (b"content-encoding", b"gzip")), b"x", None],
            "unsigned": [self._head(200), b"spoilt", None],
            "foreign": [foreign, b"stolen", None, 0.01, *success],
            "unskippable": [foreign, None, "unskippable"],
            "broken": [BrokenResponseError("broken")],
            "broken_after_head": [success[0], BrokenResponseError("broken")],
            "broken_midway": [*success[:cut], b"id: 7", BrokenResponseError("broken")],
            "stream_hangs": [*success[:2], HANG_SECONDS],
            "stream_restarted": self._stream(signed, b""),
            "hang": [HANG_SECONDS],
            "slow": [1.7, *success],
        }
        return kinds[fault]

    def _stream(self, signed: Header, last_event_id: bytes) -> list[Any]:
        source = self._source
        version = (b"x-orchidpath-weights-version", b"%d" % source.randrange(1, 4))
        if source.random() < 0.2:
            return [self._head(200, signed, version, (b"content-length", b"5")), b"stock", None]
        first = int(last_event_id) + 1 if last_event_id else 0
        with_ids = source.random() < 0.9
        steps: list[Any] = [self._head(200, signed, version)]
        for number in range(first, first + source.randrange(1, 5)):
            event = b"id: %d\ndata: word\n\n" % number if with_ids else b"data: word\n\n"
            cut = source.randrange(1, len(event))
            steps += [event[:cut], event[cut:]] if source.random() < 0.4 else [event]
            if source.random() < 0.3:
                steps.append(source.choice((0.01, 0.3)))
        return [*steps, None]


class FakePool:
    """Opens a new connection for each request; some attempts to connect fail."""

    def __init__(self, script: Script, log: ActionLog) -> None:
        self.script = script
        self.log = log
        self._source = script.source("pool")
        self._releases = script.source("releases")
        self._count = 0

    async def connection(
        self, address: str, limit: int, avoided: Sequence[object] = ()
    ) -> FakeConnection:
        is_release = limit == 0
        source = self._releases if is_release else self._source
        note = self.log.add_release if is_release else self.log.add
        note("connect", address, limit)
        match self.script.select_fault(source, {"refused": 0.05, "silent": 0.03, "slow": 0.05}):
            case "refused":
                raise NoConnectionError(f"no connection to {address}: refused")
            case "silent":
                await asyncio.sleep(0.5)
                raise NoConnectionError(f"no connection to {address}: timed out")
            case "slow":
                await asyncio.sleep(0.1)
        if is_release:
            return FakeConnection(self, address, source, is_release=True)
        self._count += 1
        own = self.script.source(f"connection{self._count}")
        return FakeConnection(self, f"{address}#{self._count}", own, is_release=False)

    def release(self, address: str, connection: FakeConnection) -> None:
        connection._record("kept", address)

    def release_unused(self, address: str, connection: FakeConnection) -> None:
        connection._record("kept_unused", address)


class FakeCaller:
    """The caller's connection, which closes at one of the writes if the script says so."""

    def __init__(self, script: Script, log: ActionLog) -> None:
        self._log = log
        self._writes_left = script.disconnect_at_write

    def send_head(self, head: ResponseHead) -> None:
        header_texts = [f"{name.decode()}={value.decode()}" for name, value in head.headers]
        self._write("head", head.status, *header_texts)

    def send_body(self, body: bytes) -> None:
        self._write("body", body)

    def send_end(self) -> None:
        self._write("end")

    def send_response(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        self._write("answer", status, list(headers), body)

    async def wait_until_writable(self) -> None:
        """Return at once: this caller reads everything."""

    def abort(self) -> None:
        self._log.add("caller", "broken_off")

    def _write(self, *parts: object) -> None:
        if self._writes_left is not None:
            if self._writes_left == 0:
                self._log.add("caller", "gone")
                raise CallerDisconnectedError("the caller has closed the connection")
            self._writes_left -= 1
        self._log.add("caller", *parts)


async def _run(script: Script) -> list[list[str]]:
    loop = asyncio.get_running_loop()
    log = ActionLog()
    decisions = FakeDecisions(script, log)
    tasks = BackgroundTasks()
    environment = ProxyEnvironment(
        state=cast("Any", FakeState(script, log, decisions)),
        decisions=cast("Any", decisions),
        pool=cast("Any", FakePool(script, log)),
        protocol_mapping=ProtocolMapping(),
        tasks=tasks,
        metrics=LoggedMetrics(log),
        random=script.source("shares"),
        clock=loop.time,
    )
    headers: list[Header] = [
        (b"x-request-id", REQUEST_ID.encode()),
        (b"x-orchidpath-tokens", b"%d" % script.prompt_tokens),
        (b"x-orchidpath-prompt-parts", b"system:50,own:%d" % script.prompt_tokens),
    ]
    if script.caller_resumes:
        headers.append((b"last-event-id", b"2"))
    if script.header_deadline_ms is not None:
        headers.append((b"x-orchidpath-deadline-ms", b"%d" % script.header_deadline_ms))
    request = ForwardedRequest(
        method=b"POST" if script.has_body else b"GET",
        target=b"/a/b?c=d",
        headers=tuple(headers),
        body=b"question" if script.has_body else b"",
        received_at=loop.time() - 0.01,
    )
    runner = ProxyRunner(
        environment,
        request,
        environment.protocol_mapping.read_request(headers),
        script.route,
        Service(
            name="s",
            kind=ServiceKind.MODEL if script.is_model else ServiceKind.PLAIN,
            models=["m"],
        ),
        cast("Any", FakeCaller(script, log)),
    )
    task = loop.create_task(runner.run())
    if script.disconnect_after_seconds is not None:
        loop.call_later(script.disconnect_after_seconds, task.cancel)
    try:
        await task
        log.add("returned")
    except asyncio.CancelledError:
        log.add("cancelled")
    except OrchidpathError as error:
        log.add("raised", type(error).__name__)
    await tasks.close(5.0)
    await asyncio.sleep(0)
    return [log.actions, log.released, log.budget]


def record(seed: int) -> list[list[str]]:
    """Return the run of a seed as three lists: actions, releases of KV handles, retry budget calls.

    The lists are separate because only the order within each of them is externally visible.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(_run(Script(seed)))
    finally:
        loop.close()


def write_recording() -> None:
    """Rewrite the recording with the runs of the current code."""
    runs = [record(seed) for seed in SEEDS]
    lines = ",\n".join(json.dumps(run, separators=(",", ":")) for run in runs)
    RECORDING.write_text(f"[\n{lines}\n]\n")


if __name__ == "__main__":
    write_recording()

"""Faults of back ends, links and load, for the scenarios with requests."""

from collections.abc import Callable

from orchidpath.emulators.backend.injected_faults import Fault, FaultKind
from orchidpath.simulation.requests.serving_fleet import RequestFleet
from orchidpath.simulation.requests.simulated_backend import SimulatedBackend
from orchidpath.wire.records import Stage

BACKEND_FAULT_PERIOD_SECONDS = 0.7
CRASH_PERIOD_SECONDS = 0.8
BURST_PERIOD_SECONDS = 4.0
BURST_REQUESTS = 150
REQUESTED_RETRY_AFTER_SECONDS = 30.0
SLOW_READ_FACTOR = 60.0
CONTROL_LOST_SECONDS = 12.0

SINGLE_FAULTS = (
    FaultKind.WRONG_ATTEMPT_ECHO,
    FaultKind.MISSING_TERMINAL,
    FaultKind.SEQUENCE_GAP,
    FaultKind.TRUNCATE,
    FaultKind.FAIL_NEXT,
    FaultKind.REFUSE_ALL,
)


class RequestFaultDriver:
    """Injects faults into the request path of a simulated fleet.

    Parameters
    ----------
    fleet
        Fleet to inject faults into.
    """

    def __init__(self, fleet: RequestFleet) -> None:
        self._fleet = fleet
        self._environment = fleet.environment
        self._random = fleet.environment.random
        self._active = True

    def stop(self) -> None:
        """Stop the injection of further faults."""
        self._active = False

    def crash_workers(self) -> None:
        """Crash back ends, some of which restart immediately, and inject faults into responses."""
        self._repeat(CRASH_PERIOD_SECONDS, self._crash)
        self._repeat(BACKEND_FAULT_PERIOD_SECONDS, self._inject_response_fault)
        self._repeat(6.0, self._keep_one_plain_worker_and_fail_it)

    def drain_workers(self) -> None:
        """Drain back ends during slow prefills, and partition and freeze routers."""
        self._repeat(0.8, self._drain)
        self._repeat(1.5, self._slow_down)
        self._repeat(3.0, self._freeze_router)
        self._repeat(4.5, self._partition_router)
        self._repeat(0.3, self._restart_drained)

    def expire_handles(self) -> None:
        """Expire all handles at a short interval, and return handles of other attempts."""
        self._repeat(0.02, self._expire_all)
        self._repeat(1.0, self._return_foreign_handle)

    def slow_links(self) -> None:
        """Partition one prefill worker from one decode worker, and slow other KV transfers."""
        prefill = self._pick(Stage.PREFILL).address
        decode = self._pick(Stage.DECODE).address
        self._fleet.requests.partitioned_pairs.add((prefill, decode))
        self._environment.cut(prefill, decode)
        self._repeat(1.0, self._slow_link)

    def overload(self) -> None:
        """Submit bursts of more requests than are admitted, while back ends reject some."""
        self._repeat(BURST_PERIOD_SECONDS, lambda: self._fleet.callers.burst(BURST_REQUESTS))
        self._repeat(1.0, self._go_dark)
        self._repeat(5.0, self._refuse_calls)

    def lose_control(self) -> None:
        """Kill all control processes under load, while back ends fail."""
        self._environment.schedule(2.0, self._lose_control_tier)
        self._repeat(BACKEND_FAULT_PERIOD_SECONDS, self._inject_response_fault)

    def replace_services(self) -> None:
        """Drain, stop and restart all back ends, one after the other."""
        for number, backend in enumerate(self._fleet.backends):
            at = 0.5 + 2.0 * number
            self._environment.schedule(at, backend.drain)
            self._environment.schedule(at + 1.2, backend.kill)
            self._environment.schedule(at + 1.5, backend.start)

    def inject_random_fault(self) -> None:
        """Inject back end faults that are selected at random, for the mixed scenario."""
        choices = (
            self._crash,
            self._inject_response_fault,
            self._drain,
            self._slow_down,
            self._expire_all,
            self._return_foreign_handle,
            self._slow_link,
            self._go_dark,
            self._freeze_backend,
            self._restart_drained,
        )

        def inject() -> None:
            self._random.choice(choices)()

        self._repeat(BACKEND_FAULT_PERIOD_SECONDS, inject)

    def _repeat(self, interval_seconds: float, inject: Callable[[], None]) -> None:
        def run() -> None:
            if self._active:
                inject()

        self._environment.repeat(interval_seconds, run)

    def _pick(self, stage: Stage | None = None) -> SimulatedBackend:
        backends = self._fleet.backends
        if stage is not None:
            backends = [backend for backend in backends if backend.record.stage is stage]
        return self._random.choice(backends)

    def _crash(self) -> None:
        backend = self._pick()
        backend.kill()
        # Half of the crashed back ends restart before any router detects the crash.
        seconds = 0.0 if self._random.random() < 0.5 else self._random.uniform(0.1, 3.0)
        self._environment.schedule(seconds, backend.start)

    def _keep_one_plain_worker_and_fail_it(self) -> None:
        """Keep one plain worker, which fails once the fleet has removed the others."""
        plain = [backend for backend in self._fleet.backends if backend.record.stage is Stage.PLAIN]
        last = self._random.choice(plain)
        for backend in plain:
            if backend is not last:
                backend.kill()
                self._environment.schedule(5.0, backend.start)
        fault = Fault(kind=FaultKind.FAIL_NEXT, seconds=2.0)
        self._environment.schedule(2.6, lambda: last.inject(fault))

    def _inject_response_fault(self) -> None:
        backend = self._pick()
        variant = self._random.randrange(10)
        if variant == 0:
            backend.foreign_guarantees = 3
        elif variant == 1:
            backend.inject(Fault(kind=FaultKind.ANSWER_LATE, count=3, delay_seconds=1.0))
        elif variant == 2:
            backend.inject(Fault(kind=FaultKind.STALL, count=2, seconds=2.5))
        elif variant == 3:
            self._go_dark()
        else:
            kind = self._random.choice(SINGLE_FAULTS)
            backend.inject(Fault(kind=kind, count=self._random.randint(1, 4), after_frames=1))

    def _drain(self) -> None:
        self._pick().drain()

    def _restart_drained(self) -> None:
        backend = self._pick()
        if backend.core.draining:
            backend.kill()
            self._environment.schedule(0.2, backend.start)

    def _slow_down(self) -> None:
        fault = Fault(kind=FaultKind.SLOW, seconds=3.0, factor=SLOW_READ_FACTOR)
        self._pick(Stage.PREFILL).inject(fault)

    def _freeze_router(self) -> None:
        self._random.choice(self._fleet.routers).freeze(self._random.uniform(0.5, 3.0))

    def _freeze_backend(self) -> None:
        self._pick().freeze(self._random.uniform(0.5, 6.0))

    def _partition_router(self) -> None:
        fleet = [*self._fleet.controls, *self._fleet.routers]
        for router in self._random.sample(self._fleet.routers, 2):
            for other in fleet:
                if other is not router:
                    self._environment.cut(router.address, other.address)
        self._environment.schedule(4.0, self._environment.partitioned_links.clear)

    def _expire_all(self) -> None:
        for backend in self._fleet.backends:
            backend.expire_handles()

    def _return_foreign_handle(self) -> None:
        self._pick(Stage.PREFILL).foreign_handles = 1

    def _slow_link(self) -> None:
        fault = Fault(kind=FaultKind.SLOW_LINK, seconds=2.0, factor=100.0)
        self._pick(Stage.PREFILL).inject(fault)

    def _go_dark(self) -> None:
        seconds = self._random.uniform(1.0, 4.0)
        self._pick().inject(Fault(kind=FaultKind.GO_DARK, seconds=seconds))

    def _refuse_calls(self) -> None:
        """Make every plain worker reject calls for 0.5 s with a long retry-after."""
        for backend in self._fleet.backends:
            if backend.record.stage is Stage.PLAIN:
                backend.retry_after_seconds = REQUESTED_RETRY_AFTER_SECONDS
                backend.inject(Fault(kind=FaultKind.REFUSE_ALL, seconds=0.5))

    def _lose_control_tier(self) -> None:
        for control in self._fleet.controls:
            control.kill()
            self._environment.schedule(CONTROL_LOST_SECONDS, control.start)

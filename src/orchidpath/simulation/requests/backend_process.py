"""The process of a simulated back end: its incarnations, announcements and faults."""

import msgspec

from orchidpath.emulators.backend.backend_core import BackendCore
from orchidpath.emulators.backend.injected_faults import Fault, FaultBoard, FaultKind
from orchidpath.emulators.worker.engine_model import WorkerTiming
from orchidpath.emulators.worker.kv_cache import HandleTable
from orchidpath.simulation.environment import SimulatedEnvironment
from orchidpath.simulation.requests.exchanges import Exchanges, ExchangeServer
from orchidpath.simulation.requests.path_checks import RequestHistory
from orchidpath.simulation.router_node import RouterNode
from orchidpath.wire.backend import ANNOUNCE_PERIOD_SECONDS, Announcement, CacheHandle
from orchidpath.wire.messages import Message
from orchidpath.wire.records import WorkerRecord, WorkerStatus

MAX_IN_FLIGHT = 8

TIMING = WorkerTiming(
    prefill_tokens_per_second=2_000.0,
    decode_tokens_per_second=60.0,
    handle_lifetime_seconds=5.0,
    transfer_timeout_seconds=3.0,
    tokens_per_frame=4,
)


class BackendProcess(ExchangeServer):
    """Process of one back end, without the execution of attempts.

    Parameters
    ----------
    environment
        Simulated environment of the run.
    exchanges
        Opens the connections to other processes.
    history
        Records and checks what the back end executes.
    record
        Template of the record that it announces, without incarnation; its ``worker_id`` is the
        address.
    routers
        Routers that receive its announcements, one selected at random each time.
    """

    def __init__(
        self,
        environment: SimulatedEnvironment,
        exchanges: Exchanges,
        history: RequestHistory,
        record: WorkerRecord,
        routers: list[RouterNode],
    ) -> None:
        super().__init__(environment, record.worker_id)
        self.faults = FaultBoard()
        self.foreign_handles = 0
        self.foreign_guarantees = 0
        self.retry_after_seconds: float | None = None
        self.exchanges = exchanges
        self.history = history
        self._record = record
        self._routers = routers
        self._sequence = 0
        self.streams = 0
        self.last_handle: CacheHandle | None = None
        self._begin_incarnation()

    @property
    def node_id(self) -> str:
        """Id of the worker, which is also its address."""
        return self.address

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.is_running

    @property
    def record(self) -> WorkerRecord:
        """Record that the current incarnation announces."""
        return self.core.record

    def crash(self) -> None:
        """Crash the process."""
        self.kill()

    def drain(self) -> None:
        """Accept no new attempts from now on, and announce the draining."""
        self.core.drain()
        self._announce()

    def inject(self, fault: Fault) -> None:
        """Activate a fault."""
        self.faults.add(fault, self.now)

    def expire_handles(self) -> None:
        """Expire every handle."""
        self.handles.expire_all()

    def heal(self) -> None:
        """End every fault and accept new attempts again."""
        self.faults.clear()
        self.foreign_handles = 0
        self.foreign_guarantees = 0
        self.retry_after_seconds = None
        self.core.resume()

    def on_start(self) -> None:
        """Start a new incarnation without the state of the previous one."""
        self._begin_incarnation()
        self._announce()
        self.every(ANNOUNCE_PERIOD_SECONDS, self._announce)

    def on_kill(self) -> None:
        """Close every connection of the process."""
        self.exchanges.process_killed(self.address)

    def on_message(self, sender_id: str, message: Message) -> None:
        """Ignore the message; back ends communicate over exchanges only."""

    def _begin_incarnation(self) -> None:
        record = msgspec.structs.replace(
            self._record, incarnation=f"{self.address}-{self.epoch}", status=WorkerStatus.READY
        )
        self.core = BackendCore(record, MAX_IN_FLIGHT)
        self.handles = HandleTable(record.incarnation, TIMING.handle_lifetime_seconds)
        self._sequence = 0
        self.streams = 0
        self.last_handle = None
        self.faults.clear()

    def _announce(self) -> None:
        if not self.is_running or self.frozen or self.is_dark():
            return
        self._sequence += 1
        announcement = Announcement(record=self.core.record, sequence=self._sequence)
        router = self.environment.random.choice(self._routers)
        delay_seconds = self.environment.random.uniform(
            0.0005, self.environment.network.delay_seconds
        )

        def arrive() -> None:
            if (self.address, router.address) not in self.environment.partitioned_links:
                router.announce(announcement)

        self.environment.schedule(delay_seconds, arrive)

    def is_dark(self) -> bool:
        """Return whether the fault GO_DARK is active, so that the back end sends no replies."""
        return self.faults.active(FaultKind.GO_DARK, self.now) is not None

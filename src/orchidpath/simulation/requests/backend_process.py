"""A simulated back end's process: its incarnations, its announcements and its faults."""

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
    """One back end without its work.

    Parameters
    ----------
    environment
        Where it runs.
    exchanges
        Makes its connections.
    history
        Told of what it runs.
    record
        How it announces itself; ``url`` is its address.
    routers
        Routers that it may announce itself to.
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
        """The worker's name."""
        return self.address

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.alive

    @property
    def record(self) -> WorkerRecord:
        """How it announces itself now."""
        return self.core.record

    def die(self) -> None:
        """Crash."""
        self.kill()

    def drain(self) -> None:
        """Take no new order from now on, and say so."""
        self.core.drain()
        self._announce()

    def inject(self, fault: Fault) -> None:
        """Let a fault begin."""
        self.faults.add(fault, self.now)

    def expire_handles(self) -> None:
        """Drop every handle."""
        self.handles.expire_all()

    def heal(self) -> None:
        """End every fault and take orders again."""
        self.faults.clear()
        self.foreign_handles = 0
        self.foreign_guarantees = 0
        self.retry_after_seconds = None
        self.core.resume()

    def on_start(self) -> None:
        """Begin as a new incarnation that remembers nothing."""
        self._begin_incarnation()
        self._announce()
        self.every(ANNOUNCE_PERIOD_SECONDS, self._announce)

    def on_kill(self) -> None:
        """Break every connection."""
        self.exchanges.process_died(self.address)

    def on_message(self, sender_id: str, message: Message) -> None:
        """Take nothing: back ends speak over exchanges only."""

    # Announcements

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
        if not self.alive or self.frozen or self.is_dark():
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
        """Tell whether it answers nothing at present."""
        return self.faults.active(FaultKind.GO_DARK, self.now) is not None

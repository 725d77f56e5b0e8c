"""A simulated worker that announces its start, drain and restart, and handles no requests."""

import msgspec

from orchidpath.simulation.environment import SimulatedEnvironment
from orchidpath.simulation.router_node import RouterNode
from orchidpath.wire.backend import ANNOUNCE_PERIOD_SECONDS, Announcement
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus


class WorkerNode:
    """One worker, which sends each announcement to a random router.

    Parameters
    ----------
    environment
        Source of virtual time and random numbers.
    worker_id
        Id of the worker.
    routers
        Routers that may receive an announcement.
    """

    def __init__(
        self, environment: SimulatedEnvironment, worker_id: str, routers: list[RouterNode]
    ) -> None:
        self._environment = environment
        self._routers = routers
        self._epoch = 0
        self._sequence = 0
        self.running = False
        self.record = WorkerRecord(
            worker_id=worker_id,
            incarnation="",
            service="wine",
            stage=Stage.DECODE,
            url=f"http://{worker_id}",
        )

    def start(self) -> None:
        """Start as a new incarnation and announce it once per announcement period."""
        self._epoch += 1
        self._sequence = 0
        self.running = True
        self.record = msgspec.structs.replace(
            self.record,
            incarnation=f"{self.record.worker_id}-{self._epoch}",
            status=WorkerStatus.READY,
        )
        epoch = self._epoch
        self._environment.schedule(0.0, lambda: self._announce_periodically(epoch))

    def drain(self) -> None:
        """Announce that the worker is draining and accepts no new requests."""
        self.record = msgspec.structs.replace(self.record, status=WorkerStatus.DRAINING)
        self._announce()

    def crash(self) -> None:
        """Crash: stop announcing, without notice to the routers."""
        self.running = False
        self._epoch += 1

    def _announce_periodically(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._announce()
        self._environment.schedule(
            ANNOUNCE_PERIOD_SECONDS, lambda: self._announce_periodically(epoch)
        )

    def _announce(self) -> None:
        self._sequence += 1
        router = self._environment.random.choice(self._routers)
        router.announce(Announcement(record=self.record, sequence=self._sequence))

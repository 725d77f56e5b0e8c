"""A simulated worker's announcements: it starts, drains, dies and restarts."""

import msgspec

from orchidpath.simulation.environment import SimulatedEnvironment
from orchidpath.simulation.router_node import RouterNode
from orchidpath.wire.backend import ANNOUNCE_PERIOD_SECONDS, Announcement
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus


class WorkerNode:
    """One worker, announced through random routers.

    Parameters
    ----------
    environment
        Virtual time and chance.
    worker_id
        Its name.
    routers
        Routers that it may announce itself to.
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
        """Start as a new incarnation."""
        self._epoch += 1
        self._sequence = 0
        self.running = True
        self.record = msgspec.structs.replace(
            self.record,
            incarnation=f"{self.record.worker_id}-{self._epoch}",
            status=WorkerStatus.READY,
        )
        epoch = self._epoch
        self._environment.schedule(0.0, lambda: self._announce_forever(epoch))

    def drain(self) -> None:
        """Announce that no new request is wanted."""
        self.record = msgspec.structs.replace(self.record, status=WorkerStatus.DRAINING)
        self._announce()

    def die(self) -> None:
        """Fall silent."""
        self.running = False
        self._epoch += 1

    def _announce_forever(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._announce()
        self._environment.schedule(ANNOUNCE_PERIOD_SECONDS, lambda: self._announce_forever(epoch))

    def _announce(self) -> None:
        self._sequence += 1
        router = self._environment.random.choice(self._routers)
        router.announce(Announcement(record=self.record, sequence=self._sequence))

"""Changes that operators and workers make while faults are injected."""

from orchidpath.simulation.fleet_simulation import FleetSimulation


class FaultPeriod:
    """Submits configuration updates and changes workers until it is stopped.

    Parameters
    ----------
    fleet
        The simulated fleet.
    """

    def __init__(self, fleet: FleetSimulation) -> None:
        self._fleet = fleet
        self._active = True

    def stop(self) -> None:
        """Make no further changes."""
        self._active = False

    def submit(self) -> None:
        """Let an operator submit a configuration update, unless four are pending."""
        if self._active and self._fleet.operators.pending < 4:
            self._fleet.operators.submit_new()

    def change_worker(self) -> None:
        """Start, drain or crash a random worker."""
        if not self._active:
            return
        worker = self._fleet.environment.random.choice(self._fleet.workers)
        if not worker.running:
            worker.start()
        elif self._fleet.environment.random.random() < 0.5:
            worker.drain()
        else:
            worker.crash()

"""What operators and workers do while faults strike."""

from orchidpath.simulation.fleet_simulation import FleetSimulation


class FaultPeriod:
    """Orders and workers' changes, until it is stopped.

    Parameters
    ----------
    fleet
        The fleet.
    """

    def __init__(self, fleet: FleetSimulation) -> None:
        self._fleet = fleet
        self._active = True

    def stop(self) -> None:
        """Do nothing more."""
        self._active = False

    def submit(self) -> None:
        """Let an operator send an order, with a bound on how many wait."""
        if self._active and self._fleet.operators.pending < 4:
            self._fleet.operators.submit_new()

    def change_worker(self) -> None:
        """Let a worker drain, die or come back."""
        if not self._active:
            return
        worker = self._fleet.environment.random.choice(self._fleet.workers)
        if not worker.running:
            worker.start()
        elif self._fleet.environment.random.random() < 0.5:
            worker.drain()
        else:
            worker.die()

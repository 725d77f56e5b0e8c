"""Probes run by a router's own attempts, whether the leader or the router granted them."""

import msgspec

from orchidpath.circuit.in_flight import InFlightRegister


class OwnProbe(msgspec.Struct, frozen=True):
    """Attempt of this router that runs a probe, and the circuit generation of the grant."""

    attempt_id: str
    generation: int


class OwnProbes:
    """Last probe of this router on each worker.

    There is at most one entry for each worker: a probe that was never reported is replaced by the
    next probe of the same worker.

    Parameters
    ----------
    in_flight
        The router's attempts in flight.
    """

    def __init__(self, in_flight: InFlightRegister) -> None:
        self._in_flight = in_flight
        self._probes: dict[str, OwnProbe] = {}

    def start(self, worker_id: str, attempt_id: str, generation: int) -> None:
        """Record that an attempt runs the probe of a worker's circuit.

        Parameters
        ----------
        worker_id
            The worker.
        attempt_id
            The attempt.
        generation
            Generation of the circuit that the grant created; it is the probe's fencing token.
        """
        self._probes[worker_id] = OwnProbe(attempt_id, generation)

    def end(self, worker_id: str, attempt_id: str) -> int | None:
        """Remove the probe of an attempt that has ended.

        Parameters
        ----------
        worker_id
            The worker.
        attempt_id
            The attempt that ended.

        Returns
        -------
        int | None
            The generation of the probe; None when the attempt ran no probe on the worker.
        """
        probe = self._probes.get(worker_id)
        if probe is None or probe.attempt_id != attempt_id:
            return None
        del self._probes[worker_id]
        return probe.generation

    def is_in_flight(self, worker_id: str) -> bool:
        """Return whether a probe of this router still occupies a worker.

        Parameters
        ----------
        worker_id
            The worker.

        Returns
        -------
        bool
            True until the probe is reported or its time to live has passed.
        """
        probe = self._probes.get(worker_id)
        return probe is not None and self._in_flight.occupies(probe.attempt_id, worker_id)

"""Probes that a router's own attempts run, whoever granted them."""

import msgspec

from orchidpath.circuit.in_flight import InFlightRegister


class OwnProbe(msgspec.Struct, frozen=True):
    """A probe that an attempt of this router runs, and the generation that it was granted."""

    attempt_id: str
    generation: int


class OwnProbes:
    """The last probe of this router on each worker.

    Bounded by the number of workers; a probe that was never reported is replaced by the next one.

    Parameters
    ----------
    in_flight
        The router's attempts in flight.
    """

    def __init__(self, in_flight: InFlightRegister) -> None:
        self._in_flight = in_flight
        self._probes: dict[str, OwnProbe] = {}

    def start(self, worker_id: str, attempt_id: str, generation: int) -> None:
        """Record that an attempt runs the probe of a worker.

        Parameters
        ----------
        worker_id
            The worker.
        attempt_id
            The attempt.
        generation
            Generation of the circuit that the probe was granted on.
        """
        self._probes[worker_id] = OwnProbe(attempt_id, generation)

    def end(self, worker_id: str, attempt_id: str) -> int | None:
        """Remove the probe that an attempt has run.

        Parameters
        ----------
        worker_id
            The worker.
        attempt_id
            The attempt that ended.

        Returns
        -------
        int | None
            The probe's generation; None when the attempt ran no probe on the worker.
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

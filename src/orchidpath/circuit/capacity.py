"""Capacity circuits shared by every worker of a failure domain.

Paper, "Circuit breakers and bounded retries": a throttle opens one capacity circuit for every
worker of the same declared failure domain, lowers no health and counts towards no worker's
circuit. A worker without a declared domain is a domain of its own.
"""

import math

import msgspec

from orchidpath.circuit.timed_record import TimedRecord
from orchidpath.circuit.transitions import CapacityTransition, initial_capacity
from orchidpath.wire.messages import CapacityObserved
from orchidpath.wire.records import CapacityRecord, WorkerRecord

UNDECLARED_DOMAIN_PREFIX = "worker/"
"""Prefix of the domain of a worker that declares none, apart from all declared names."""


def failure_domain_of(worker: WorkerRecord) -> str:
    """Return the failure domain that a worker shares capacity with.

    Parameters
    ----------
    worker
        The worker.

    Returns
    -------
    str
        Its declared domain, or one of its own.
    """
    return worker.failure_domain or undeclared_domain(worker.worker_id)


def undeclared_domain(worker_id: str) -> str:
    """Return the failure domain of a worker that declares none.

    Parameters
    ----------
    worker_id
        The worker.

    Returns
    -------
    str
        A domain of its own.
    """
    return UNDECLARED_DOMAIN_PREFIX + worker_id


class CapacityCircuits:
    """The capacity circuits as one process knows them.

    One entry for each failure domain that has ever been throttled. An entry that has run out
    stays: its generation is what the next transition is compared with.
    """

    def __init__(self) -> None:
        self._openings: dict[str, TimedRecord[CapacityRecord]] = {}

    def accept(self, record: CapacityRecord, now: float) -> bool:
        """Apply an agreed record; a repeated one changes nothing and restarts no timer.

        Parameters
        ----------
        record
            The record.
        now
            Monotonic time in seconds, from which its duration counts.

        Returns
        -------
        bool
            Whether it was new.
        """
        known = self._openings.get(record.failure_domain)
        if known is not None:
            return known.accept(record, now)
        opening = TimedRecord(record, now + record.duration_seconds)
        self._openings[record.failure_domain] = opening
        return True

    def extend_locally(self, failure_domain: str, retry_after_seconds: float, now: float) -> None:
        """Apply a throttle that only this process has observed, on top of what is agreed.

        Parameters
        ----------
        failure_domain
            The domain.
        retry_after_seconds
            How long no attempt may use it.
        now
            Monotonic time in seconds.
        """
        known = self._openings.get(failure_domain)
        if known is None:
            known = TimedRecord(initial_capacity(failure_domain), now)
            self._openings[failure_domain] = known
        known.expires_at = max(known.expires_at, now + retry_after_seconds)

    def wait_seconds(self, failure_domain: str, now: float) -> float:
        """Return the time until the domain may be tried.

        Parameters
        ----------
        failure_domain
            The domain.
        now
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds; 0 when it may be tried now.
        """
        opening = self._openings.get(failure_domain)
        if opening is None:
            return 0.0
        return opening.remaining_seconds(now)

    def propose(
        self, observed: CapacityObserved, max_duration_seconds: float, now: float
    ) -> CapacityTransition | None:
        """Propose to open a domain's circuit.

        Many routers observe the same throttle; while the circuit is open further observations
        are late and do not extend it.

        Parameters
        ----------
        observed
            What a router derived.
        max_duration_seconds
            The longest opening.
        now
            Monotonic time in seconds.

        Returns
        -------
        CapacityTransition | None
            None when it is open already or the observation's time isn't finite and positive.
        """
        retry_after_seconds = observed.retry_after_seconds
        is_usable = math.isfinite(retry_after_seconds) and retry_after_seconds > 0
        if not is_usable or self.wait_seconds(observed.failure_domain, now) > 0:
            return None
        known = self._openings.get(observed.failure_domain)
        generation = known.record.generation if known is not None else 0
        return CapacityTransition(
            failure_domain=observed.failure_domain,
            expected_generation=generation,
            duration_seconds=min(retry_after_seconds, max_duration_seconds),
        )

    def remaining(self, now: float) -> tuple[CapacityRecord, ...]:
        """Return every open circuit with the duration that is left of it.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        tuple[CapacityRecord, ...]
            The records to push to the routers.
        """
        return tuple(
            msgspec.structs.replace(opening.record, duration_seconds=opening.expires_at - now)
            for opening in self._openings.values()
            if opening.expires_at > now
        )

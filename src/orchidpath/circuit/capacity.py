"""Capacity circuits, each shared by all workers of a failure domain.

Paper, "Circuit breakers and bounded retries": a throttle opens one capacity circuit for all
workers of the same declared failure domain. It lowers no worker's health and does not count
towards any worker's circuit. A worker without a declared domain forms a domain of its own.
"""

import math

import msgspec

from orchidpath.circuit.timed_record import TimedRecord
from orchidpath.circuit.transitions import CapacityTransition, initial_capacity
from orchidpath.wire.messages import CapacityObserved
from orchidpath.wire.records import CapacityRecord, WorkerRecord

UNDECLARED_DOMAIN_PREFIX = "worker/"
"""Prefix that separates the domain of a worker that declares none from declared domain names."""


def failure_domain_of(worker: WorkerRecord) -> str:
    """Return the failure domain that a worker shares capacity with.

    Parameters
    ----------
    worker
        The worker.

    Returns
    -------
    str
        The declared domain, or a domain of the worker's own.
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
        A domain that contains only this worker.
    """
    return UNDECLARED_DOMAIN_PREFIX + worker_id


class CapacityCircuits:
    """Capacity circuits as tracked by one process, the leader or a router.

    There is one entry for each failure domain that has ever been throttled. An expired entry is
    retained, because the next transition is compared with its generation.
    """

    def __init__(self) -> None:
        self._openings: dict[str, TimedRecord[CapacityRecord]] = {}

    def accept(self, record: CapacityRecord, now: float) -> bool:
        """Apply an agreed record; a repeated record changes nothing and restarts no timer.

        Parameters
        ----------
        record
            The record.
        now
            Monotonic time in seconds at which the record's duration starts.

        Returns
        -------
        bool
            True when the record was new.
        """
        current = self._openings.get(record.failure_domain)
        if current is not None:
            return current.accept(record, now)
        opening = TimedRecord(record, now + record.duration_seconds)
        self._openings[record.failure_domain] = opening
        return True

    def extend_locally(self, failure_domain: str, retry_after_seconds: float, now: float) -> None:
        """Extend the opening of a domain by a throttle that only this process has observed.

        The agreed record remains unchanged, and an opening is never shortened.

        Parameters
        ----------
        failure_domain
            The failure domain.
        retry_after_seconds
            Time in seconds during which no attempt may use the domain.
        now
            Monotonic time in seconds.
        """
        current = self._openings.get(failure_domain)
        if current is None:
            current = TimedRecord(initial_capacity(failure_domain), now)
            self._openings[failure_domain] = current
        current.expires_at = max(current.expires_at, now + retry_after_seconds)

    def wait_seconds(self, failure_domain: str, now: float) -> float:
        """Return the time until the workers of a domain may be tried.

        Parameters
        ----------
        failure_domain
            The failure domain.
        now
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds; 0 when they may be tried now.
        """
        opening = self._openings.get(failure_domain)
        if opening is None:
            return 0.0
        return opening.remaining_seconds(now)

    def propose(
        self, observed: CapacityObserved, max_duration_seconds: float, now: float
    ) -> CapacityTransition | None:
        """Propose to open a domain's capacity circuit.

        Several routers observe the same throttle. While the circuit is open, further observations
        are late and do not extend the opening.

        Parameters
        ----------
        observed
            The throttle that a router derived.
        max_duration_seconds
            Longest duration of an opening, in seconds.
        now
            Monotonic time in seconds.

        Returns
        -------
        CapacityTransition | None
            The proposal; None when the circuit is already open or when the observed time is not
            finite and positive.
        """
        retry_after_seconds = observed.retry_after_seconds
        is_usable = math.isfinite(retry_after_seconds) and retry_after_seconds > 0
        if not is_usable or self.wait_seconds(observed.failure_domain, now) > 0:
            return None
        current = self._openings.get(observed.failure_domain)
        generation = current.record.generation if current is not None else 0
        return CapacityTransition(
            failure_domain=observed.failure_domain,
            expected_generation=generation,
            duration_seconds=min(retry_after_seconds, max_duration_seconds),
        )

    def remaining(self, now: float) -> tuple[CapacityRecord, ...]:
        """Return the record of every open circuit with its remaining duration.

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

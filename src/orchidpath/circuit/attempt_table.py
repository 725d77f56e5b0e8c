"""Attempts as the leader counts them: in flight, reported, and charged to a worker.

Every count is made at most once: a duplicated decision request registers nothing new, a repeated
report changes nothing, and a request is charged with one transient failure on a worker at most
(paper, "Circuit breakers and bounded retries").
"""

import msgspec

from orchidpath.circuit.expiring import ExpiringSet
from orchidpath.circuit.in_flight import InFlightRegister, Registration
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import AttemptReport, InFlightMark


class AttemptWorker(msgspec.Struct, frozen=True):
    """Key of an attempt on one worker."""

    attempt_id: str
    worker_id: str


class RequestWorker(msgspec.Struct, frozen=True):
    """Key of the one transient failure that a request may be charged with on a worker."""

    request_id: str
    worker_id: str


class AttemptTable:
    """Counts every attempt once.

    Parameters
    ----------
    policy
        Gives the time to live of an attempt in flight.
    """

    def __init__(self, policy: CircuitPolicy) -> None:
        self.in_flight = InFlightRegister(policy.in_flight_ttl_seconds)
        # Routers repeat unacknowledged reports for far less than this, so none counts twice.
        retention_seconds = max(policy.health_window_seconds, 2 * policy.in_flight_ttl_seconds)
        self._reported: ExpiringSet[AttemptWorker] = ExpiringSet(retention_seconds)
        self._ended: ExpiringSet[str] = ExpiringSet(retention_seconds)
        self._charged: ExpiringSet[RequestWorker] = ExpiringSet(retention_seconds)
        self._now = 0.0

    def advance(self, now: float) -> None:
        """Expire what has outlived its time.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        """
        self._now = max(self._now, now)
        self.in_flight.expire(self._now)

    def end(self, report: AttemptReport) -> bool:
        """Record the end of an attempt on a worker.

        Parameters
        ----------
        report
            The report.

        Returns
        -------
        bool
            False for a repeated report, which changes nothing.
        """
        self._ended.add(report.attempt_id, self._now)
        key = AttemptWorker(report.attempt_id, report.worker_id)
        return self._reported.add(key, self._now)

    def release(self, report: AttemptReport) -> Registration | None:
        """Free the in-flight mark of a reported attempt.

        Parameters
        ----------
        report
            The report.

        Returns
        -------
        Registration | None
            What was registered; None when there was nothing or it has expired.
        """
        return self.in_flight.release(report.attempt_id, report.worker_id, self._now)

    def has_ended(self, attempt_id: str) -> bool:
        """Return whether an attempt has been reported for any of its workers.

        Parameters
        ----------
        attempt_id
            The attempt.

        Returns
        -------
        bool
            True when it has.
        """
        return self._ended.contains(attempt_id, self._now)

    def is_charged(self, report: AttemptReport) -> bool:
        """Return whether the report's request has been charged on its worker already.

        Parameters
        ----------
        report
            The report.

        Returns
        -------
        bool
            True when it has.
        """
        key = RequestWorker(report.request_id, report.worker_id)
        return self._charged.contains(key, self._now)

    def charge(self, report: AttemptReport) -> None:
        """Record that the report's request has been charged on its worker.

        Parameters
        ----------
        report
            The report.
        """
        self._charged.add(RequestWorker(report.request_id, report.worker_id), self._now)

    def restore(self, mark: InFlightMark) -> None:
        """Register an attempt started under an earlier leader, unless it has been reported.

        Parameters
        ----------
        mark
            The mark that the router retained.
        """
        key = AttemptWorker(mark.attempt_id, mark.worker_id)
        if self._reported.contains(key, self._now):
            return
        self.in_flight.register(
            mark.request_id,
            mark.attempt_id,
            (Registration(worker_id=mark.worker_id),),
            self._now,
            age_seconds=mark.age_seconds,
        )

    def retire_worker(self, worker_id: str) -> None:
        """Drop the attempts on a process that has stopped; their ends charge no later process.

        Parameters
        ----------
        worker_id
            The worker.
        """
        for attempt_id in self.in_flight.remove_worker(worker_id):
            self._reported.add(AttemptWorker(attempt_id, worker_id), self._now)

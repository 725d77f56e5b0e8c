"""Attempts in flight, reported attempts, and transient failures counted against workers.

Every attempt is counted at most once: a duplicated decision request registers nothing new, a
repeated report changes nothing, and at most one transient failure of a request is counted on each
worker (paper, "Circuit breakers and bounded retries").
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
    """Key of a request on one worker, for counts that are made once for each such pair."""

    request_id: str
    worker_id: str


class AttemptTable:
    """Table that counts every attempt once.

    Parameters
    ----------
    policy
        Contains the time to live of an attempt in flight and the length of the health window.
    """

    def __init__(self, policy: CircuitPolicy) -> None:
        self.in_flight = InFlightRegister(policy.in_flight_ttl_seconds)
        # Routers repeat unacknowledged reports for a much shorter time, so no report counts twice.
        retention_seconds = max(policy.health_window_seconds, 2 * policy.in_flight_ttl_seconds)
        self._reported: ExpiringSet[AttemptWorker] = ExpiringSet(retention_seconds)
        self._ended: ExpiringSet[str] = ExpiringSet(retention_seconds)
        self._counted: ExpiringSet[RequestWorker] = ExpiringSet(retention_seconds)
        self._now = 0.0

    def advance(self, now: float) -> None:
        """Advance the clock of the table and remove expired attempts in flight.

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
            True when the report is new, False when it is a repeat.
        """
        self._ended.add(report.attempt_id, self._now)
        key = AttemptWorker(report.attempt_id, report.worker_id)
        return self._reported.add(key, self._now)

    def release(self, report: AttemptReport) -> Registration | None:
        """Remove the in-flight mark of a reported attempt.

        Parameters
        ----------
        report
            The report.

        Returns
        -------
        Registration | None
            The registration that was removed; None when there was none or it has expired.
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
            True when at least one report of the attempt has been recorded.
        """
        return self._ended.contains(attempt_id, self._now)

    def is_counted(self, report: AttemptReport) -> bool:
        """Return whether a failure of the report's request was already counted on its worker.

        Parameters
        ----------
        report
            The report.

        Returns
        -------
        bool
            True when a transient failure has been counted.
        """
        key = RequestWorker(report.request_id, report.worker_id)
        return self._counted.contains(key, self._now)

    def mark_counted(self, report: AttemptReport) -> None:
        """Record that a transient failure of the report's request was counted on its worker.

        Parameters
        ----------
        report
            The report.
        """
        self._counted.add(RequestWorker(report.request_id, report.worker_id), self._now)

    def restore(self, mark: InFlightMark) -> None:
        """Register an attempt that started under an earlier leader, unless it was reported.

        Parameters
        ----------
        mark
            The in-flight mark that the router retained.
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
        """Remove the attempts on a worker whose process has stopped.

        Later reports of these attempts are ignored, so that they do not count against the
        worker's next process.

        Parameters
        ----------
        worker_id
            The worker.
        """
        for attempt_id in self.in_flight.remove_worker(worker_id):
            self._reported.add(AttemptWorker(attempt_id, worker_id), self._now)

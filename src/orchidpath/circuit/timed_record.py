"""Record agreed through the log, with a local timer for its duration.

The log contains durations and no clock times: the duration of a record starts on each process when
that process applies the record. Worker circuits and capacity circuits both use this class.
"""

from typing import Generic, Protocol, TypeVar


class AgreedRecord(Protocol):
    """Record in the log: a generation, and the duration of its status in seconds."""

    @property
    def generation(self) -> int:
        """Number of transitions up to this record."""

    @property
    def duration_seconds(self) -> float:
        """Duration of the status in seconds, which starts when a process applies the record."""


Record = TypeVar("Record", bound=AgreedRecord)


class TimedRecord(Generic[Record]):
    """Agreed record with the time at which its status expires.

    Parameters
    ----------
    record
        The record.
    expires_at
        Monotonic time in seconds at which the status of the record expires.
    """

    __slots__ = ("expires_at", "record")

    def __init__(self, record: Record, expires_at: float) -> None:
        self.record = record
        self.expires_at = expires_at

    def accept(self, record: Record, now: float) -> bool:
        """Apply an agreed record; a repeated generation changes nothing and restarts no timer.

        Parameters
        ----------
        record
            The record.
        now
            Monotonic time in seconds at which the record's duration starts.

        Returns
        -------
        bool
            True when the generation was new.
        """
        if record.generation == self.record.generation:
            return False
        self.replace(record, now)
        return True

    def replace(self, record: Record, now: float) -> None:
        """Apply a record regardless of its generation, and start its timer.

        Parameters
        ----------
        record
            The record.
        now
            Monotonic time in seconds at which the record's duration starts.
        """
        self.record = record
        self.expires_at = now + record.duration_seconds

    def remaining_seconds(self, now: float) -> float:
        """Return the remaining duration of the status.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds; 0 when the status has expired.
        """
        return max(0.0, self.expires_at - now)

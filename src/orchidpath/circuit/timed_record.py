"""A record agreed through the log, with the timer that this process runs for it.

The log carries durations and no clock times: each process counts a record's duration from the
moment at which it applied the record. Shared by the workers' circuits and the capacity circuits.
"""

from typing import Generic, Protocol, TypeVar


class AgreedRecord(Protocol):
    """What the log agrees on: a generation, and how long its status lasts, in seconds."""

    @property
    def generation(self) -> int:
        """Number of transitions so far."""

    @property
    def duration_seconds(self) -> float:
        """Duration of the status, counted from when the record is applied."""


Record = TypeVar("Record", bound=AgreedRecord)


class TimedRecord(Generic[Record]):
    """An agreed record and the time at which it runs out.

    Parameters
    ----------
    record
        The record.
    expires_at
        Monotonic time in seconds at which its status ends.
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
            Monotonic time in seconds, from which its duration counts.

        Returns
        -------
        bool
            Whether the generation was new.
        """
        if record.generation == self.record.generation:
            return False
        self.replace(record, now)
        return True

    def replace(self, record: Record, now: float) -> None:
        """Apply a record whatever its generation is, and start its timer.

        Parameters
        ----------
        record
            The record.
        now
            Monotonic time in seconds, from which its duration counts.
        """
        self.record = record
        self.expires_at = now + record.duration_seconds

    def remaining_seconds(self, now: float) -> float:
        """Return how long the status still lasts.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds; 0 when it has run out.
        """
        return max(0.0, self.expires_at - now)

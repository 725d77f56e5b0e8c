"""Register of attempts in flight, keyed by attempt id, with a time to live.

Paper, "How each metric is measured": in-flight counts have a TTL, so that a crashed router does
not leak in-flight marks. Registration is idempotent by attempt id: a duplicated decision request
counts once and does not renew the time to live.

The deadlines are in a heap, because attempts may expire in another order than they were
registered: a new leader registers attempts of any age, and the time to live of the policy may
change. The keys of :class:`~orchidpath.circuit.expiring.ExpiringSet`, in contrast, expire in the
order in which they were added.
"""

import heapq
from collections.abc import Sequence

import msgspec

from orchidpath.wire.messages import Choice, InFlightMark


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """One worker of an attempt, with the generation of its circuit when the attempt started.

    ``generation`` is None when the generation is unknown because another process registered the
    start of the attempt.
    """

    worker_id: str
    generation: int | None = None


class _Attempt:
    """Attempt in flight: its start, its deadline, and the workers that it still occupies."""

    __slots__ = ("choices", "deadline", "registrations", "request_id", "started_at")

    def __init__(self, request_id: str, started_at: float, deadline: float) -> None:
        self.request_id = request_id
        self.started_at = started_at
        self.deadline = deadline
        self.choices: tuple[Choice, ...] = ()
        self.registrations: dict[str, Registration] = {}


class InFlightRegister:
    """Register that counts the attempts in flight on every worker.

    Parameters
    ----------
    ttl_seconds
        Time in seconds after which an attempt is dropped if it has not been reported.
    """

    def __init__(self, ttl_seconds: float) -> None:
        self.ttl_seconds = ttl_seconds
        self._attempts: dict[str, _Attempt] = {}
        self._counts: dict[str, int] = {}
        self._expiry_queue: list[tuple[float, str]] = []

    def register(
        self,
        request_id: str,
        attempt_id: str,
        registrations: Sequence[Registration],
        now: float,
        *,
        choices: tuple[Choice, ...] = (),
        age_seconds: float = 0.0,
    ) -> None:
        """Mark workers as occupied by an attempt; existing marks of the attempt are unchanged.

        Parameters
        ----------
        request_id
            Request of the attempt.
        attempt_id
            The attempt; it counts once on each worker.
        registrations
            The workers that the attempt occupies.
        now
            Monotonic time in seconds.
        choices
            The choices of the decision, retained so that a duplicated request receives the same
            reply.
        age_seconds
            Age of the attempt in seconds, by which its remaining time to live is shorter.
        """
        started_at = now - age_seconds
        deadline = started_at + self.ttl_seconds
        if deadline <= now:
            return
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            attempt = _Attempt(request_id, started_at, deadline)
            self._attempts[attempt_id] = attempt
            heapq.heappush(self._expiry_queue, (deadline, attempt_id))
        if choices:
            attempt.choices = choices
        for registration in registrations:
            self._mark(attempt, registration)

    def release(self, attempt_id: str, worker_id: str, now: float) -> Registration | None:
        """Remove the mark of an attempt on one worker.

        Parameters
        ----------
        attempt_id
            The attempt.
        worker_id
            The worker.
        now
            Monotonic time in seconds.

        Returns
        -------
        Registration | None
            The registration that was removed; None when there was none or it has expired.
        """
        self.expire(now)
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return None
        registration = attempt.registrations.pop(worker_id, None)
        if registration is not None:
            self._decrement(worker_id)
        if not attempt.registrations:
            del self._attempts[attempt_id]
        return registration

    def count(self, worker_id: str) -> int:
        """Return the number of attempts in flight on a worker, as of the last :meth:`expire`.

        Parameters
        ----------
        worker_id
            The worker.

        Returns
        -------
        int
            Number of attempts in flight.
        """
        return self._counts.get(worker_id, 0)

    def choices(self, attempt_id: str) -> tuple[Choice, ...]:
        """Return the decision for an attempt in flight.

        Parameters
        ----------
        attempt_id
            The attempt.

        Returns
        -------
        tuple[Choice, ...]
            The choices; empty when the attempt is not in flight or was registered without them.
        """
        attempt = self._attempts.get(attempt_id)
        return attempt.choices if attempt is not None else ()

    def occupies(self, attempt_id: str, worker_id: str) -> bool:
        """Return whether an attempt still occupies a worker, as of the last :meth:`expire`.

        Parameters
        ----------
        attempt_id
            The attempt.
        worker_id
            The worker.

        Returns
        -------
        bool
            True until the attempt is released from the worker or expires.
        """
        attempt = self._attempts.get(attempt_id)
        return attempt is not None and worker_id in attempt.registrations

    def remove_worker(self, worker_id: str) -> list[str]:
        """Remove the marks of all attempts on a worker whose process has stopped.

        Parameters
        ----------
        worker_id
            The worker.

        Returns
        -------
        list[str]
            Ids of the attempts that occupied the worker.
        """
        attempts = [
            attempt_id
            for attempt_id, attempt in self._attempts.items()
            if worker_id in attempt.registrations
        ]
        for attempt_id in attempts:
            attempt = self._attempts[attempt_id]
            del attempt.registrations[worker_id]
            if not attempt.registrations:
                del self._attempts[attempt_id]
        self._counts.pop(worker_id, None)
        return attempts

    def marks(self, now: float) -> tuple[InFlightMark, ...]:
        """Return all in-flight marks, from which a new leader rebuilds its counts.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        tuple[InFlightMark, ...]
            One mark for each attempt and worker.
        """
        self.expire(now)
        return tuple(
            InFlightMark(
                request_id=attempt.request_id,
                attempt_id=attempt_id,
                worker_id=worker_id,
                age_seconds=now - attempt.started_at,
            )
            for attempt_id, attempt in self._attempts.items()
            for worker_id in attempt.registrations
        )

    def expire(self, now: float) -> None:
        """Remove every attempt whose time to live has passed.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        """
        queue = self._expiry_queue
        while queue and queue[0][0] <= now:
            deadline, attempt_id = heapq.heappop(queue)
            attempt = self._attempts.get(attempt_id)
            # The attempt was released, or released and registered again. In the second case its
            # new deadline is in the queue, too.
            if attempt is None or attempt.deadline > deadline:
                continue
            del self._attempts[attempt_id]
            for worker_id in attempt.registrations:
                self._decrement(worker_id)

    def _mark(self, attempt: _Attempt, registration: Registration) -> None:
        worker_id = registration.worker_id
        if worker_id in attempt.registrations:
            return
        attempt.registrations[worker_id] = registration
        self._counts[worker_id] = self._counts.get(worker_id, 0) + 1

    def _decrement(self, worker_id: str) -> None:
        remaining = self._counts[worker_id] - 1
        if remaining == 0:
            del self._counts[worker_id]
        else:
            self._counts[worker_id] = remaining

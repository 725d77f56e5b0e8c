"""Detection of throttled failure domains from the observations of one router.

Workers send neither a throttle nor a retry-after, so routers derive both from the rejections and
the delays that they observe (paper, "Circuit breakers and bounded retries"; design page). The
criteria for evidence are in :mod:`orchidpath.circuit.throttle_evidence`.

Throttles do not flap. The evidence is cleared when a throttle is derived, and observations that
arrive before its retry time has passed are dropped, because they belong to the same throttle. A
new throttle requires complete evidence again. A throttle that follows soon after the last one
lasts twice as long; a quiet period resets the duration.

The retry time is ``throttle_cooldown_seconds`` times two to the power of the number of relapses,
capped by ``max_cooldown_seconds``. It is jittered so that the routers do not return together.
"""

import math
import random
from collections import deque
from collections.abc import Iterable

from orchidpath.circuit.capacity import failure_domain_of
from orchidpath.circuit.throttle_evidence import (
    DELAY_WEIGHT,
    DISTINCT_WORKERS_MINIMUM,
    EVIDENCE_LIMIT,
    EVIDENCE_WINDOW_SECONDS,
    REFUSAL_WEIGHT,
    DelayBaseline,
    Sample,
    is_throttled,
)
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import CapacityObserved
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

RELAPSE_FACTOR = 2.0
"""Period after a throttle in which the next one is a relapse, as a multiple of its retry time."""

RELAPSE_LIMIT = 4
"""Maximum number of times that the retry time is doubled."""

RETRY_JITTER = 0.25
"""Largest random share by which the retry time is stretched."""


class _Domain:
    """Baselines, samples and recent throttles of one failure domain.

    Samples are dropped until ``closed_until``, the end of the current throttle. A throttle before
    ``relapse_until`` is a relapse. Both are monotonic times in seconds.
    """

    __slots__ = ("baselines", "closed_until", "relapse_until", "relapses", "samples")

    def __init__(self) -> None:
        # Each stage has its own baseline, because the stages respond at different speeds, also
        # within one domain.
        self.baselines = {stage: DelayBaseline() for stage in Stage}
        self.samples: deque[Sample] = deque(maxlen=EVIDENCE_LIMIT)
        self.closed_until = -math.inf
        self.relapse_until = -math.inf
        self.relapses = 0


class ThrottleDetector:
    """Derives throttles for failure domains from one router's observations.

    Parameters
    ----------
    policy
        Contains the shortest and the longest retry time.
    generator
        Random source of the jitter.
    """

    def __init__(self, policy: CircuitPolicy, generator: random.Random) -> None:
        self._policy = policy
        self._generator = generator
        self._domains: dict[str, _Domain] = {}
        self._workers: dict[str, WorkerRecord] = {}
        self._domain_sizes: dict[str, int] = {}

    def set_policy(self, policy: CircuitPolicy) -> None:
        """Apply a new policy.

        Parameters
        ----------
        policy
            Thresholds and durations of the circuits.
        """
        self._policy = policy

    def set_workers(self, workers: Iterable[WorkerRecord]) -> None:
        """Replace the membership and remove failure domains that have no worker.

        Parameters
        ----------
        workers
            Every worker of the fleet.
        """
        present = [record for record in workers if record.status is not WorkerStatus.GONE]
        self._workers = {record.worker_id: record for record in present}
        self._domain_sizes = {}
        for record in self._workers.values():
            domain = failure_domain_of(record)
            self._domain_sizes[domain] = self._domain_sizes.get(domain, 0) + 1
        for domain in [name for name in self._domains if name not in self._domain_sizes]:
            del self._domains[domain]

    def record_open(self, failure_domain: str, remaining_seconds: float, now: float) -> None:
        """Record that a domain's capacity circuit is open; samples are dropped until it closes.

        Parameters
        ----------
        failure_domain
            The failure domain.
        remaining_seconds
            Seconds for which the capacity circuit remains open.
        now
            Monotonic time in seconds.
        """
        domain = self._domain(failure_domain)
        domain.samples.clear()
        domain.closed_until = max(domain.closed_until, now + remaining_seconds)

    def observe_refusal(
        self, worker_id: str, request_id: str, now: float
    ) -> CapacityObserved | None:
        """Record that a worker rejected a request because of overload.

        Parameters
        ----------
        worker_id
            The worker that rejected the request.
        request_id
            The rejected request.
        now
            Monotonic time in seconds.

        Returns
        -------
        CapacityObserved | None
            The throttle of the worker's failure domain when the evidence is complete; otherwise
            None.
        """
        worker = self._workers.get(worker_id)
        if worker is None:
            return None
        sample = Sample(now, worker_id, request_id, REFUSAL_WEIGHT)
        return self._add_sample(failure_domain_of(worker), sample)

    def observe_delay(
        self, worker_id: str, request_id: str, delay_seconds: float, now: float
    ) -> CapacityObserved | None:
        """Record the time until a worker accepted a request or returned its first token.

        Parameters
        ----------
        worker_id
            The worker.
        request_id
            The request.
        delay_seconds
            The delay in seconds. The caller must measure the same kind of delay for all requests
            of a stage.
        now
            Monotonic time in seconds.

        Returns
        -------
        CapacityObserved | None
            The throttle of the worker's failure domain when the evidence is complete; otherwise
            None.
        """
        worker = self._workers.get(worker_id)
        if worker is None:
            return None
        name = failure_domain_of(worker)
        baseline = self._domain(name).baselines[worker.stage]
        weight = DELAY_WEIGHT if baseline.is_slow(delay_seconds) else 0
        baseline.update(delay_seconds)
        return self._add_sample(name, Sample(now, worker_id, request_id, weight))

    def _domain(self, name: str) -> _Domain:
        return self._domains.setdefault(name, _Domain())

    def _add_sample(self, name: str, sample: Sample) -> CapacityObserved | None:
        now = sample.observed_at
        domain = self._domain(name)
        if now < domain.closed_until:
            return None
        domain.samples.append(sample)
        while domain.samples[0].observed_at <= now - EVIDENCE_WINDOW_SECONDS:
            domain.samples.popleft()
        workers_needed = min(DISTINCT_WORKERS_MINIMUM, self._domain_sizes[name])
        if sample.weight == 0 or not is_throttled(domain.samples, workers_needed):
            return None
        return self._derive(name, domain, now)

    def _derive(self, name: str, domain: _Domain, now: float) -> CapacityObserved:
        is_relapse = now < domain.relapse_until
        domain.relapses = min(domain.relapses + 1, RELAPSE_LIMIT) if is_relapse else 0
        scaled = self._policy.throttle_cooldown_seconds * 2.0**domain.relapses
        stretched = scaled * (1.0 + self._generator.uniform(0.0, RETRY_JITTER))
        retry_after_seconds = min(stretched, self._policy.max_cooldown_seconds)
        domain.samples.clear()
        domain.closed_until = now + retry_after_seconds
        domain.relapse_until = domain.closed_until + RELAPSE_FACTOR * retry_after_seconds
        return CapacityObserved(failure_domain=name, retry_after_seconds=retry_after_seconds)

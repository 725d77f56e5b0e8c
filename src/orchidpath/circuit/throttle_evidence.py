"""Evidence for a throttle: weighted samples of one failure domain; no I/O and no clock.

- *Rejections weigh more than delays.* An overloaded worker rejects a request explicitly. A
  rejection therefore has twice the weight of a slow response, which can have other causes, such
  as a long prompt.
- *Delays are compared with the domain's own baseline.* A delay is the time until a worker
  accepted a request or returned its first token. A delay is slow when it is several times above a
  high quantile of the delays of the same domain. The quantile moves by a small step with each
  sample, so it follows a changed mix of requests in the long run, but not a throttle within
  seconds. No delay is slow before the baseline has enough samples.
- *A throttle applies to a domain, not to a worker.* A throttle requires two distinct overloaded
  workers of the domain, or the only worker of a domain that has just one. A worker is overloaded
  when at least half of its requests in the window are evidence. One slow worker of several
  therefore never causes a throttle of its domain; its transient failures open its own circuit.
- *Evidence must come from distinct requests.* Evidence counts once for each request and worker,
  and several distinct requests are required, because the retries of one request prove nothing.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

from orchidpath.circuit.attempt_table import RequestWorker

EVIDENCE_WINDOW_SECONDS = 10.0
"""Length of the window in seconds; older samples are ignored."""

EVIDENCE_LIMIT = 512
"""Maximum number of samples retained for each domain."""

REFUSAL_WEIGHT = 2
"""Weight of a rejection because of overload."""

DELAY_WEIGHT = 1
"""Weight of a slow response."""

WORKER_WEIGHT_MINIMUM = 2
"""Minimum weight of the evidence on an overloaded worker: one rejection or two slow responses."""

WORKER_SHARE_MINIMUM = 0.5
"""Minimum share of an overloaded worker's observed requests that are evidence."""

DOMAIN_WEIGHT_MINIMUM = 6
"""Minimum total weight over all overloaded workers: three rejections or six slow responses."""

DISTINCT_REQUESTS_MINIMUM = 3
"""Minimum number of distinct requests that the evidence comes from."""

DISTINCT_WORKERS_MINIMUM = 2
"""Minimum number of overloaded workers, unless the domain has fewer workers."""

BASELINE_QUANTILE = 0.9
"""Quantile of a domain's delays that is its baseline."""

BASELINE_STEP = 0.02
"""Largest relative change of the baseline with each sample."""

BASELINE_SAMPLES_MINIMUM = 20
"""Number of samples that the baseline requires before a delay can be slow."""

SLOW_FACTOR = 3.0
"""Multiple of the baseline above which a delay is slow."""

SLOW_MINIMUM_SECONDS = 0.25
"""Delay in seconds up to which no delay is slow."""

SHORTEST_DELAY_SECONDS = 0.001
"""Lower bound in seconds for delays, since the baseline is on a logarithmic scale."""


class Sample(msgspec.Struct, frozen=True):
    """One observation of a worker; ``weight`` is 0 when it is no evidence for a throttle."""

    observed_at: float
    worker_id: str
    request_id: str
    weight: int


class DelayBaseline:
    """Slowly adapting estimate of a high quantile of the delays of one stage of a domain."""

    def __init__(self) -> None:
        self._initial_logarithms: list[float] = []
        self._logarithm = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the baseline has enough samples."""
        return len(self._initial_logarithms) >= BASELINE_SAMPLES_MINIMUM

    def is_slow(self, delay_seconds: float) -> bool:
        """Return whether a delay is far above the baseline.

        Parameters
        ----------
        delay_seconds
            The delay in seconds.

        Returns
        -------
        bool
            False for every delay before the baseline is ready.
        """
        if not self.is_ready:
            return False
        threshold = max(SLOW_MINIMUM_SECONDS, SLOW_FACTOR * math.exp(self._logarithm))
        return delay_seconds > threshold

    def update(self, delay_seconds: float) -> None:
        """Move the baseline towards a delay.

        Parameters
        ----------
        delay_seconds
            The delay in seconds.
        """
        logarithm = math.log(max(delay_seconds, SHORTEST_DELAY_SECONDS))
        if not self.is_ready:
            self._initial_logarithms.append(logarithm)
            position = math.ceil(BASELINE_QUANTILE * len(self._initial_logarithms)) - 1
            self._logarithm = sorted(self._initial_logarithms)[position]
        elif logarithm > self._logarithm:
            self._logarithm += BASELINE_STEP * BASELINE_QUANTILE
        else:
            self._logarithm -= BASELINE_STEP * (1.0 - BASELINE_QUANTILE)


class _WorkerEvidence:
    """Evidence on one worker within the window.

    ``observed`` is the number of its requests, ``requests`` the ids of those that are evidence, and
    ``weight`` their total weight.
    """

    __slots__ = ("observed", "requests", "weight")

    def __init__(self) -> None:
        self.observed = 0
        self.weight = 0
        self.requests: set[str] = set()

    @property
    def is_overloaded(self) -> bool:
        """Whether the evidence on the worker is sufficient."""
        is_heavy = self.weight >= WORKER_WEIGHT_MINIMUM
        return is_heavy and len(self.requests) >= WORKER_SHARE_MINIMUM * self.observed


def is_throttled(samples: Sequence[Sample], workers_needed: int) -> bool:
    """Return whether the samples of a domain are sufficient evidence for a throttle.

    Parameters
    ----------
    samples
        Samples of the domain within the window.
    workers_needed
        Number of distinct workers that must be overloaded.

    Returns
    -------
    bool
        True when the workers, the requests and the total weight all reach their minimum.
    """
    overloaded = [evidence for evidence in _evidence_by_worker(samples) if evidence.is_overloaded]
    if len(overloaded) < workers_needed:
        return False
    requests = set[str]().union(*(evidence.requests for evidence in overloaded))
    weight = sum(evidence.weight for evidence in overloaded)
    return weight >= DOMAIN_WEIGHT_MINIMUM and len(requests) >= DISTINCT_REQUESTS_MINIMUM


def _evidence_by_worker(samples: Sequence[Sample]) -> Iterable[_WorkerEvidence]:
    """Return the evidence on each worker.

    A request counts once on each worker, with the largest weight of its samples.
    """
    largest_weights: dict[RequestWorker, int] = {}
    for sample in samples:
        key = RequestWorker(sample.request_id, sample.worker_id)
        largest_weights[key] = max(largest_weights.get(key, 0), sample.weight)
    by_worker: dict[str, _WorkerEvidence] = {}
    for key, weight in largest_weights.items():
        evidence = by_worker.setdefault(key.worker_id, _WorkerEvidence())
        evidence.observed += 1
        evidence.weight += weight
        if weight > 0:
            evidence.requests.add(key.request_id)
    return by_worker.values()

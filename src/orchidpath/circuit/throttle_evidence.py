"""Evidence for a throttle: samples of one failure domain, weighed worker by worker; pure.

- *Refusal before delay.* A refusal by overload is a worker's own statement and weighs twice as
  much as a delay, which can have other causes such as a long prompt.
- *Delays against the domain's own baseline.* A delay is the time until a worker accepted or until
  its first token. It counts as slow when it is several times above a high quantile of the same
  domain's delays. The quantile moves by a small step with each sample, so it follows a changed
  mix of requests in the long run and not a throttle within seconds. It counts nothing before it
  has seen enough samples.
- *A domain, not a worker.* A throttle needs two distinct workers of the domain that are overloaded
  each by itself, or the only worker of a domain that has one. A worker is overloaded when at least
  half of what was observed of it in the window is evidence. One slow worker therefore never
  closes a domain: its transient failures open its own circuit.
- *Distinct requests.* Evidence counts once for each request and worker, and several distinct
  requests are needed: one request's retries prove nothing.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

from orchidpath.circuit.attempt_table import RequestWorker

EVIDENCE_WINDOW_SECONDS = 10.0
"""Only samples of this many seconds count."""

EVIDENCE_LIMIT = 512
"""Samples retained of one domain at most."""

REFUSAL_WEIGHT = 2
"""Weight of a refusal by overload."""

DELAY_WEIGHT = 1
"""Weight of a slow answer."""

WORKER_WEIGHT_MINIMUM = 2
"""An overloaded worker has at least this weight of evidence: one refusal or two delays."""

WORKER_SHARE_MINIMUM = 0.5
"""An overloaded worker has evidence in at least this share of what was observed of it."""

DOMAIN_WEIGHT_MINIMUM = 6
"""Overloaded workers together have at least this weight: three refusals or six delays."""

DISTINCT_REQUESTS_MINIMUM = 3
"""Evidence comes from at least this many requests."""

DISTINCT_WORKERS_MINIMUM = 2
"""Overloaded workers needed, unless the domain has fewer."""

BASELINE_QUANTILE = 0.9
"""Quantile of a domain's delays that a slow one is measured against."""

BASELINE_STEP = 0.02
"""The baseline moves by this share, at most, with each sample."""

BASELINE_SAMPLES_MINIMUM = 20
"""Delays count only after the baseline has seen this many."""

SLOW_FACTOR = 3.0
"""A slow delay is this many times above the baseline."""

SLOW_MINIMUM_SECONDS = 0.25
"""A delay below this is never slow."""

SHORTEST_DELAY_SECONDS = 0.001
"""Shorter delays count as this, since the baseline is on a logarithmic scale."""


class Sample(msgspec.Struct, frozen=True):
    """One observation of a worker; ``weight`` is 0 when it is evidence against a throttle."""

    observed_at: float
    worker_id: str
    request_id: str
    weight: int


class DelayBaseline:
    """A slow-moving estimate of a high quantile of one domain's delays."""

    def __init__(self) -> None:
        self._first: list[float] = []
        self._logarithm = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether it has seen enough samples."""
        return len(self._first) >= BASELINE_SAMPLES_MINIMUM

    def is_slow(self, delay_seconds: float) -> bool:
        """Return whether a delay is far above the baseline.

        Parameters
        ----------
        delay_seconds
            The delay.

        Returns
        -------
        bool
            Never true before the baseline is ready.
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
            The delay.
        """
        logarithm = math.log(max(delay_seconds, SHORTEST_DELAY_SECONDS))
        if not self.is_ready:
            self._first.append(logarithm)
            position = math.ceil(BASELINE_QUANTILE * len(self._first)) - 1
            self._logarithm = sorted(self._first)[position]
        elif logarithm > self._logarithm:
            self._logarithm += BASELINE_STEP * BASELINE_QUANTILE
        else:
            self._logarithm -= BASELINE_STEP * (1.0 - BASELINE_QUANTILE)


class _Evidence:
    """Evidence on one worker within the window."""

    __slots__ = ("observed", "requests", "weight")

    def __init__(self) -> None:
        self.observed = 0
        self.weight = 0
        self.requests: set[str] = set()

    @property
    def is_overloaded(self) -> bool:
        """Whether the worker's own evidence is enough."""
        is_heavy = self.weight >= WORKER_WEIGHT_MINIMUM
        return is_heavy and len(self.requests) >= WORKER_SHARE_MINIMUM * self.observed


def is_throttled(samples: Sequence[Sample], workers_needed: int) -> bool:
    """Return whether the samples of a domain are enough evidence for a throttle.

    Parameters
    ----------
    samples
        Samples of the domain within the window.
    workers_needed
        How many distinct workers must be overloaded.

    Returns
    -------
    bool
        True when enough workers, requests and weight speak for it.
    """
    overloaded = [evidence for evidence in _evidence_by_worker(samples) if evidence.is_overloaded]
    if len(overloaded) < workers_needed:
        return False
    requests = set[str]().union(*(evidence.requests for evidence in overloaded))
    weight = sum(evidence.weight for evidence in overloaded)
    return weight >= DOMAIN_WEIGHT_MINIMUM and len(requests) >= DISTINCT_REQUESTS_MINIMUM


def _evidence_by_worker(samples: Sequence[Sample]) -> Iterable[_Evidence]:
    """Gather the evidence of each worker; a request counts once on each, at its heaviest."""
    heaviest: dict[RequestWorker, int] = {}
    for sample in samples:
        key = RequestWorker(sample.request_id, sample.worker_id)
        heaviest[key] = max(heaviest.get(key, 0), sample.weight)
    by_worker: dict[str, _Evidence] = {}
    for key, weight in heaviest.items():
        evidence = by_worker.setdefault(key.worker_id, _Evidence())
        evidence.observed += 1
        evidence.weight += weight
        if weight > 0:
            evidence.requests.add(key.request_id)
    return by_worker.values()

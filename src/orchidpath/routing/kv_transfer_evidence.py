"""Attributes a failed KV transfer to the prefill worker, the decode worker or the link.

The decode worker fetches the KV cache from the prefill worker, so the cause of a failure may be
either worker or the network between them. A worker must not be charged for a fault of another one,
so a single report of a decode worker is not enough to charge any worker. The verdict is

- the prefill side, if the prefill worker itself denied the handle, if this router can't reach it
  either, or if several decode workers fail with it;
- the decode side, if the same decode worker fails with several prefill workers;
- the link, if only one pair fails or the evidence points at both workers. Neither worker is
  charged, and the pair is avoided for ``PAIR_AVOIDANCE_SECONDS``;
- neutral, if the handle expired or did not belong to the request.

Only failures since a worker last exchanged KV cache with any peer count against it: a worker that
succeeds with one peer and fails with another has a link problem. In a network partition, where
failures point at both workers of a pair, neither is charged.
"""

import math
from enum import StrEnum

import msgspec

from orchidpath.wire.messages import AttemptEffect

EVIDENCE_WINDOW_SECONDS = 30.0
"""How long a failed KV transfer counts as evidence."""

REACHABILITY_WINDOW_SECONDS = 5.0
"""How long this router's own failure to reach a prefill worker counts as evidence."""

PAIR_AVOIDANCE_SECONDS = 30.0
"""How long a pair whose link failed is ranked last."""

SEVERAL_PEERS = 2
"""Number of distinct peers with which a worker must fail before it is charged."""

MAXIMUM_WORKERS = 1024
"""Workers whose evidence is retained; the least recently updated one is evicted first."""

MAXIMUM_PEERS = 16
"""Peers of one worker whose evidence is retained; the least recently updated is evicted first."""

MAXIMUM_AVOIDED_PAIRS = 1024
"""Pairs that are avoided at once; the least recently added one is evicted first."""


class TransferEvidence(StrEnum):
    """Cause of a failed KV transfer, as the decode worker reported it."""

    UNREACHABLE = "unreachable"
    """The decode worker could not connect to the prefill worker."""
    TRANSFER_FAILED = "transfer_failed"
    """The transfer was cut off, stalled or malformed."""
    HANDLE_DENIED = "handle_denied"
    """The prefill worker replied that it has no KV cache for the handle."""
    HANDLE_EXPIRED = "handle_lapsed"
    """The handle was older than its time to live."""
    HANDLE_MISMATCH = "handle_mismatch"
    """The handle was issued for another request, attempt or incarnation of the worker."""


class TransferVerdict(StrEnum):
    """The cause that a failed KV transfer is attributed to."""

    PREFILL_SIDE = "prefill_side"
    DECODE_SIDE = "decode_side"
    LINK = "link"
    NEUTRAL = "neutral"


class TransferFailure(msgspec.Struct, frozen=True, kw_only=True):
    """A failed KV transfer; ``handle_expires_at`` is the handle's expiry in monotonic seconds."""

    prefill_worker_id: str
    decode_worker_id: str
    evidence: TransferEvidence
    handle_expires_at: float = math.inf


class TransferCharge(msgspec.Struct, frozen=True, kw_only=True):
    """The attempt effects to report for the two workers of a failed KV transfer."""

    prefill_effect: AttemptEffect
    decode_effect: AttemptEffect


_CHARGES = {
    TransferVerdict.PREFILL_SIDE: TransferCharge(
        prefill_effect=AttemptEffect.TRANSIENT, decode_effect=AttemptEffect.GATEWAY
    ),
    TransferVerdict.DECODE_SIDE: TransferCharge(
        prefill_effect=AttemptEffect.GATEWAY, decode_effect=AttemptEffect.TRANSIENT
    ),
    TransferVerdict.LINK: TransferCharge(
        prefill_effect=AttemptEffect.GATEWAY, decode_effect=AttemptEffect.GATEWAY
    ),
    TransferVerdict.NEUTRAL: TransferCharge(
        prefill_effect=AttemptEffect.GATEWAY, decode_effect=AttemptEffect.GATEWAY
    ),
}


def attempt_effects_of(verdict: TransferVerdict) -> TransferCharge:
    """Return the attempt effects to report for a verdict.

    Parameters
    ----------
    verdict : TransferVerdict
        Verdict of :class:`TransferEvidenceTable`.

    Returns
    -------
    TransferCharge
        ``TRANSIENT`` for the worker at fault; ``GATEWAY``, which charges no worker, otherwise.
    """
    return _CHARGES[verdict]


class PairAvoidance:
    """Pairs of a prefill and a decode worker that are ranked last until a given time."""

    def __init__(self) -> None:
        self._avoided_until: dict[tuple[str, str], float] = {}

    def __len__(self) -> int:
        return len(self._avoided_until)

    def avoid(self, prefill_worker_id: str, decode_worker_id: str, until: float) -> None:
        """Avoid a pair until the given time; replaces an earlier avoidance of the pair.

        Parameters
        ----------
        prefill_worker_id : str
            The prefill worker.
        decode_worker_id : str
            The decode worker.
        until : float
            Monotonic time in seconds.
        """
        pair = (prefill_worker_id, decode_worker_id)
        self._avoided_until.pop(pair, None)
        self._avoided_until[pair] = until
        if len(self._avoided_until) > MAXIMUM_AVOIDED_PAIRS:
            del self._avoided_until[next(iter(self._avoided_until))]

    def clear_pair(self, prefill_worker_id: str, decode_worker_id: str) -> None:
        """Stop avoiding a pair.

        Parameters
        ----------
        prefill_worker_id : str
            The prefill worker.
        decode_worker_id : str
            The decode worker.
        """
        self._avoided_until.pop((prefill_worker_id, decode_worker_id), None)

    def is_avoided(self, prefill_worker_id: str, decode_worker_id: str, now: float) -> bool:
        """Return whether a pair is avoided at the given time.

        Parameters
        ----------
        prefill_worker_id : str
            The prefill worker.
        decode_worker_id : str
            The decode worker.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True until the avoidance expires.
        """
        return now < self._avoided_until.get((prefill_worker_id, decode_worker_id), -math.inf)


class _PeerTimes:
    """Time of the latest event of each worker with each peer; the oldest entries are evicted."""

    def __init__(self) -> None:
        self._times: dict[str, dict[str, float]] = {}

    def record(self, worker_id: str, peer_id: str, now: float) -> None:
        """Record an event of a worker with a peer at ``now``."""
        peers = self._times.pop(worker_id, {})
        self._times[worker_id] = peers
        if len(self._times) > MAXIMUM_WORKERS:
            del self._times[next(iter(self._times))]
        peers.pop(peer_id, None)
        peers[peer_id] = now
        if len(peers) > MAXIMUM_PEERS:
            del peers[next(iter(peers))]

    def count_since(self, worker_id: str, start: float) -> int:
        """Return the number of distinct peers with an event after ``start``."""
        return sum(time > start for time in self._times.get(worker_id, {}).values())


class _LatestTimes:
    """Time of the latest event of each worker; the oldest entries are evicted."""

    def __init__(self) -> None:
        self._times: dict[str, float] = {}

    def record(self, worker_id: str, now: float) -> None:
        """Record an event of a worker at ``now``."""
        self._times.pop(worker_id, None)
        self._times[worker_id] = now
        if len(self._times) > MAXIMUM_WORKERS:
            del self._times[next(iter(self._times))]

    def discard(self, worker_id: str) -> None:
        """Remove the entry of a worker."""
        self._times.pop(worker_id, None)

    def latest(self, worker_id: str) -> float:
        """Return the time of the latest event, or minus infinity if there is none."""
        return self._times.get(worker_id, -math.inf)


class TransferEvidenceTable:
    """Collects evidence from recent KV transfers and returns a verdict on each failed one.

    Memory is bounded: at most ``MAXIMUM_WORKERS`` workers with ``MAXIMUM_PEERS`` peers each.

    Parameters
    ----------
    avoidance : PairAvoidance or None
        Receives the pairs whose link failed; a new, empty one if None.
    """

    def __init__(self, avoidance: PairAvoidance | None = None):
        self.avoidance = avoidance if avoidance is not None else PairAvoidance()
        self._prefill_failures = _PeerTimes()
        self._decode_failures = _PeerTimes()
        self._last_success = _LatestTimes()
        self._last_unreachable = _LatestTimes()

    def record_reached(self, prefill_worker_id: str) -> None:
        """Record that a prefill worker replied to this router.

        Parameters
        ----------
        prefill_worker_id : str
            The worker that replied.
        """
        self._last_unreachable.discard(prefill_worker_id)

    def record_unreachable(self, prefill_worker_id: str, now: float) -> None:
        """Record that this router itself could not reach a prefill worker.

        Parameters
        ----------
        prefill_worker_id : str
            The worker that this router could not reach.
        now : float
            Monotonic time in seconds.
        """
        self._last_unreachable.record(prefill_worker_id, now)

    def record_success(self, prefill_worker_id: str, decode_worker_id: str, now: float) -> None:
        """Record a successful KV transfer.

        The pair is no longer avoided, and earlier failures of both workers no longer count.

        Parameters
        ----------
        prefill_worker_id : str
            The prefill worker.
        decode_worker_id : str
            The decode worker.
        now : float
            Monotonic time in seconds.
        """
        self.avoidance.clear_pair(prefill_worker_id, decode_worker_id)
        self._last_success.record(prefill_worker_id, now)
        self._last_success.record(decode_worker_id, now)

    def record_failure(self, failure: TransferFailure, now: float) -> TransferVerdict:
        """Record a failed KV transfer and return the verdict on it.

        Parameters
        ----------
        failure : TransferFailure
            The two workers and the cause that the decode worker reported.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        TransferVerdict
            The cause of the failure. After ``LINK`` the pair is avoided.
        """
        if _is_neutral(failure, now):
            return TransferVerdict.NEUTRAL
        prefill, decode = failure.prefill_worker_id, failure.decode_worker_id
        if failure.evidence is TransferEvidence.HANDLE_DENIED or self._is_unreachable(prefill, now):
            # Certain evidence against the prefill worker must not count against the decode worker
            # later, so it is not recorded as a failure of the pair.
            return TransferVerdict.PREFILL_SIDE
        self._prefill_failures.record(prefill, decode, now)
        self._decode_failures.record(decode, prefill, now)
        verdict = self._verdict_from_failures(prefill, decode, now)
        if verdict is TransferVerdict.LINK:
            self.avoidance.avoid(prefill, decode, now + PAIR_AVOIDANCE_SECONDS)
        return verdict

    def _verdict_from_failures(self, prefill: str, decode: str, now: float) -> TransferVerdict:
        prefill_suspect = self._is_suspect(prefill, self._prefill_failures, now)
        decode_suspect = self._is_suspect(decode, self._decode_failures, now)
        if prefill_suspect and not decode_suspect:
            return TransferVerdict.PREFILL_SIDE
        if decode_suspect and not prefill_suspect:
            return TransferVerdict.DECODE_SIDE
        return TransferVerdict.LINK

    def _is_suspect(self, worker_id: str, failures: _PeerTimes, now: float) -> bool:
        """Return whether a worker failed with several peers since its last success with any."""
        start = max(now - EVIDENCE_WINDOW_SECONDS, self._last_success.latest(worker_id))
        return failures.count_since(worker_id, start) >= SEVERAL_PEERS

    def _is_unreachable(self, prefill_worker_id: str, now: float) -> bool:
        return now - self._last_unreachable.latest(prefill_worker_id) <= REACHABILITY_WINDOW_SECONDS


def _is_neutral(failure: TransferFailure, now: float) -> bool:
    if failure.evidence is TransferEvidence.HANDLE_DENIED:
        # A prefill worker removes an expired handle: to deny it after that is correct.
        return now >= failure.handle_expires_at
    return failure.evidence in (TransferEvidence.HANDLE_EXPIRED, TransferEvidence.HANDLE_MISMATCH)

"""Charges a failed KV transfer to the side that the evidence points at.

The decode worker fetches the KV cache from the prefill worker, so a failure may lie with either of
them or with the network between them. A worker must not be charged for another one's fault, so a
single word of the decode worker is not enough to charge anybody:

- the prefill worker itself denied the handle, or this router can't reach it either, or several
  decode workers can't: the prefill side;
- the same decode worker fails with several prefill workers: the decode side;
- only one pair fails, or the evidence points both ways: the link. Both workers stay uncharged and
  the pair is avoided for a while;
- the handle expired, or did not belong to the request: neutral.

Only failures since a worker last exchanged KV cache with any peer count against it: a worker that
works with one peer and not with another has a link problem. In a network split, where failures
point at both sides of a pair, nobody is charged.
"""

import math
from enum import StrEnum

import msgspec

from orchidpath.wire.messages import AttemptEffect

EVIDENCE_WINDOW_SECONDS = 30.0
"""Failures and successes of KV transfers count as evidence for this long."""

REACHABILITY_WINDOW_SECONDS = 5.0
"""This router's own view of whether it reaches a prefill worker counts for this long."""

PAIR_AVOIDANCE_SECONDS = 30.0
"""A pair whose link failed is put last for this long."""

SEVERAL_PEERS = 2
"""Distinct peers with which a worker must fail before it is charged for it."""

MAXIMUM_WORKERS = 1024
"""Workers whose evidence is kept; the one updated longest ago is dropped first."""

MAXIMUM_PEERS = 16
"""Peers of one worker whose evidence is kept; the oldest is dropped first."""

MAXIMUM_AVOIDED_PAIRS = 1024
"""Pairs avoided at once; the one avoided longest ago is dropped first."""


class TransferEvidence(StrEnum):
    """What the decode worker reported about a failed KV transfer."""

    UNREACHABLE = "unreachable"
    """It could not connect to the prefill worker."""
    TRANSFER_FAILED = "transfer_failed"
    """The transfer was cut, stalled or malformed."""
    HANDLE_DENIED = "handle_denied"
    """The prefill worker answered that it does not know the handle."""
    HANDLE_EXPIRED = "handle_lapsed"
    """The handle was older than its time to live."""
    HANDLE_MISMATCH = "handle_mismatch"
    """The handle was made for another request, attempt or incarnation."""


class TransferVerdict(StrEnum):
    """Who is charged for a failed KV transfer."""

    PREFILL_SIDE = "prefill_side"
    DECODE_SIDE = "decode_side"
    LINK = "link"
    NEUTRAL = "neutral"


class TransferFailure(msgspec.Struct, frozen=True, kw_only=True):
    """One failed KV transfer; ``handle_expires_at`` is when the handle was due to expire."""

    prefill_worker_id: str
    decode_worker_id: str
    evidence: TransferEvidence
    handle_expires_at: float = math.inf


class TransferCharge(msgspec.Struct, frozen=True, kw_only=True):
    """What each worker of the pair is reported with."""

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


def charge_of(verdict: TransferVerdict) -> TransferCharge:
    """Return the effects to report for a verdict.

    Parameters
    ----------
    verdict : TransferVerdict
        Verdict of the ledger.

    Returns
    -------
    TransferCharge
        ``TRANSIENT`` for the side at fault and the neutral ``GATEWAY`` for the other one.
    """
    return _CHARGES[verdict]


class PairAvoidance:
    """Pairs of workers that should not be tried together for a while."""

    def __init__(self) -> None:
        self._avoided_until: dict[tuple[str, str], float] = {}

    def __len__(self) -> int:
        return len(self._avoided_until)

    def avoid(self, prefill_worker_id: str, decode_worker_id: str, until: float) -> None:
        """Avoid a pair until a time.

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
        """Say whether a pair is avoided now.

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
            True until the avoidance has run out.
        """
        return now < self._avoided_until.get((prefill_worker_id, decode_worker_id), -math.inf)


class _PeerTimes:
    """When each worker last met each of its peers; the oldest entries go first."""

    def __init__(self) -> None:
        self._times: dict[str, dict[str, float]] = {}

    def record(self, worker_id: str, peer_id: str, now: float) -> None:
        """Note one meeting."""
        peers = self._times.pop(worker_id, {})
        self._times[worker_id] = peers
        if len(self._times) > MAXIMUM_WORKERS:
            del self._times[next(iter(self._times))]
        peers.pop(peer_id, None)
        peers[peer_id] = now
        if len(peers) > MAXIMUM_PEERS:
            del peers[next(iter(peers))]

    def count_since(self, worker_id: str, start: float) -> int:
        """Count the distinct peers met after a time."""
        return sum(time > start for time in self._times.get(worker_id, {}).values())


class _LatestTimes:
    """When something last happened to each worker; the oldest entries go first."""

    def __init__(self) -> None:
        self._times: dict[str, float] = {}

    def record(self, worker_id: str, now: float) -> None:
        """Record that it happened."""
        self._times.pop(worker_id, None)
        self._times[worker_id] = now
        if len(self._times) > MAXIMUM_WORKERS:
            del self._times[next(iter(self._times))]

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker."""
        self._times.pop(worker_id, None)

    def latest(self, worker_id: str) -> float:
        """Return when it last happened, or minus infinity."""
        return self._times.get(worker_id, -math.inf)


class TransferEvidenceTable:
    """Recent evidence about KV transfers; gives a verdict on each failed one.

    Memory is bounded: at most ``MAXIMUM_WORKERS`` workers with ``MAXIMUM_PEERS`` peers each.

    Parameters
    ----------
    avoidance : PairAvoidance or None
        Where pairs with a failed link are put; a new one by default.
    """

    def __init__(self, avoidance: PairAvoidance | None = None):
        self.avoidance = avoidance if avoidance is not None else PairAvoidance()
        self._prefill_failures = _PeerTimes()
        self._decode_failures = _PeerTimes()
        self._last_success = _LatestTimes()
        self._last_unreachable = _LatestTimes()

    def record_reached(self, prefill_worker_id: str) -> None:
        """Record that this router got an answer from a prefill worker.

        Parameters
        ----------
        prefill_worker_id : str
            The worker that answered.
        """
        self._last_unreachable.forget(prefill_worker_id)

    def record_unreachable(self, prefill_worker_id: str, now: float) -> None:
        """Record that this router itself could not reach a prefill worker.

        Parameters
        ----------
        prefill_worker_id : str
            The worker that did not answer.
        now : float
            Monotonic time in seconds.
        """
        self._last_unreachable.record(prefill_worker_id, now)

    def record_success(self, prefill_worker_id: str, decode_worker_id: str, now: float) -> None:
        """Record a KV transfer that worked: it clears the pair and speaks for both workers.

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
        """Judge one failed KV transfer.

        Parameters
        ----------
        failure : TransferFailure
            The pair and what the decode worker reported.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        TransferVerdict
            Whom to charge. ``LINK`` has also put the pair among the avoided ones.
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
        verdict = self._weigh(prefill, decode, now)
        if verdict is TransferVerdict.LINK:
            self.avoidance.avoid(prefill, decode, now + PAIR_AVOIDANCE_SECONDS)
        return verdict

    def _weigh(self, prefill: str, decode: str, now: float) -> TransferVerdict:
        prefill_suspect = self._is_suspect(prefill, self._prefill_failures, now)
        decode_suspect = self._is_suspect(decode, self._decode_failures, now)
        if prefill_suspect and not decode_suspect:
            return TransferVerdict.PREFILL_SIDE
        if decode_suspect and not prefill_suspect:
            return TransferVerdict.DECODE_SIDE
        return TransferVerdict.LINK

    def _is_suspect(self, worker_id: str, failures: _PeerTimes, now: float) -> bool:
        """Say whether a worker failed with several peers since it last worked with any."""
        start = max(now - EVIDENCE_WINDOW_SECONDS, self._last_success.latest(worker_id))
        return failures.count_since(worker_id, start) >= SEVERAL_PEERS

    def _is_unreachable(self, prefill_worker_id: str, now: float) -> bool:
        return now - self._last_unreachable.latest(prefill_worker_id) <= REACHABILITY_WINDOW_SECONDS


def _is_neutral(failure: TransferFailure, now: float) -> bool:
    if failure.evidence is TransferEvidence.HANDLE_DENIED:
        # A prefill worker forgets an expired handle; denying it then is no fault.
        return now >= failure.handle_expires_at
    return failure.evidence in (TransferEvidence.HANDLE_EXPIRED, TransferEvidence.HANDLE_MISMATCH)

"""Failed KV transfers: which worker is charged, from the evidence of several pairs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.routing import kv_transfer_evidence
from orchidpath.routing.kv_transfer_evidence import (
    EVIDENCE_WINDOW_SECONDS,
    PAIR_AVOIDANCE_SECONDS,
    REACHABILITY_WINDOW_SECONDS,
    PairAvoidance,
    TransferEvidence,
    TransferEvidenceTable,
    TransferFailure,
    TransferVerdict,
    attempt_effects_of,
)
from orchidpath.wire.messages import AttemptEffect

UNREACHABLE = TransferEvidence.UNREACHABLE
CUT = TransferEvidence.TRANSFER_FAILED
PREFILL, DECODE = TransferVerdict.PREFILL_SIDE, TransferVerdict.DECODE_SIDE
LINK, NEUTRAL = TransferVerdict.LINK, TransferVerdict.NEUTRAL


def fail(
    evidence_table: TransferEvidenceTable,
    pair: str,
    now: float,
    evidence: TransferEvidence = CUT,
    expires_at: float = 1e9,
) -> TransferVerdict:
    prefill, decode = pair.split()
    failure = TransferFailure(
        prefill_worker_id=prefill,
        decode_worker_id=decode,
        evidence=evidence,
        handle_expires_at=expires_at,
    )
    return evidence_table.record_failure(failure, now)


@pytest.mark.parametrize("evidence", [UNREACHABLE, CUT])
def test_a_single_failing_pair_is_attributed_to_the_link_and_avoided_for_a_while(
    evidence: TransferEvidence,
) -> None:
    evidence_table = TransferEvidenceTable()
    for now in range(5):
        assert fail(evidence_table, "p1 d1", float(now), evidence) is LINK
    expiry = 4.0 + PAIR_AVOIDANCE_SECONDS
    assert evidence_table.avoidance.is_avoided("p1", "d1", expiry - 0.1)
    assert not evidence_table.avoidance.is_avoided("p1", "d1", expiry)
    assert not evidence_table.avoidance.is_avoided("p1", "d2", 4.0)
    evidence_table.record_success("p1", "d1", 5.0)
    assert not evidence_table.avoidance.is_avoided("p1", "d1", 5.0)


def test_a_denied_handle_charges_the_prefill_side_unless_it_had_expired() -> None:
    evidence_table = TransferEvidenceTable()
    assert (
        fail(evidence_table, "p1 d1", 1.0, TransferEvidence.HANDLE_DENIED, expires_at=1.5)
        is PREFILL
    )
    assert (
        fail(evidence_table, "p1 d1", 1.5, TransferEvidence.HANDLE_DENIED, expires_at=1.5)
        is NEUTRAL
    )


@pytest.mark.parametrize(
    "evidence", [TransferEvidence.HANDLE_EXPIRED, TransferEvidence.HANDLE_MISMATCH]
)
def test_expired_and_foreign_handles_are_neutral_and_leave_no_evidence(
    evidence: TransferEvidence,
) -> None:
    evidence_table = TransferEvidenceTable()
    for pair in ("p1 d1", "p2 d1", "p3 d1", "p1 d2"):
        assert fail(evidence_table, pair, 1.0, evidence) is NEUTRAL
    assert fail(evidence_table, "p4 d1", 2.0) is LINK


def test_a_router_that_cannot_reach_the_prefill_worker_charges_the_prefill_side() -> None:
    evidence_table = TransferEvidenceTable()
    evidence_table.record_unreachable("p1", 0.0)
    assert fail(evidence_table, "p1 d1", REACHABILITY_WINDOW_SECONDS, UNREACHABLE) is PREFILL
    assert fail(evidence_table, "p1 d1", REACHABILITY_WINDOW_SECONDS + 0.1, UNREACHABLE) is LINK
    evidence_table.record_unreachable("p2", 10.0)
    evidence_table.record_reached("p2")
    assert fail(evidence_table, "p2 d2", 10.0, UNREACHABLE) is LINK


def test_failures_that_are_certainly_of_the_prefill_side_do_not_count_against_decode() -> None:
    evidence_table = TransferEvidenceTable()
    for prefill in ("p1", "p2", "p3"):
        evidence_table.record_unreachable(prefill, 1.0)
        assert fail(evidence_table, f"{prefill} d1", 1.0) is PREFILL
    assert fail(evidence_table, "p4 d1", 2.0) is LINK


def test_one_decode_worker_failing_with_several_prefill_workers_is_charged() -> None:
    evidence_table = TransferEvidenceTable()
    assert fail(evidence_table, "p1 d1", 1.0) is LINK
    assert fail(evidence_table, "p2 d1", 2.0, UNREACHABLE) is DECODE
    assert fail(evidence_table, "p3 d1", 3.0) is DECODE


def test_one_prefill_worker_failing_with_several_decode_workers_is_charged() -> None:
    evidence_table = TransferEvidenceTable()
    assert fail(evidence_table, "p1 d1", 1.0, UNREACHABLE) is LINK
    assert fail(evidence_table, "p1 d2", 2.0, UNREACHABLE) is PREFILL


def test_evidence_outside_the_window_does_not_count() -> None:
    evidence_table = TransferEvidenceTable()
    assert fail(evidence_table, "p1 d1", 0.0) is LINK
    assert fail(evidence_table, "p2 d1", EVIDENCE_WINDOW_SECONDS) is LINK


def test_a_worker_that_has_since_succeeded_with_a_peer_is_not_charged() -> None:
    evidence_table = TransferEvidenceTable()
    fail(evidence_table, "p1 d1", 1.0)
    evidence_table.record_success("p3", "d1", 2.0)
    assert fail(evidence_table, "p2 d1", 3.0) is LINK
    assert fail(evidence_table, "p1 d1", 4.0) is DECODE


def test_network_partition_with_evidence_on_both_sides_charges_no_worker() -> None:
    evidence_table = TransferEvidenceTable()
    assert fail(evidence_table, "p1 d1", 1.0) is LINK
    fail(evidence_table, "p2 d2", 1.0)
    fail(evidence_table, "p2 d1", 1.0)
    assert fail(evidence_table, "p1 d2", 1.0) is LINK


def test_each_verdict_charges_one_side_at_most() -> None:
    transient, neutral = AttemptEffect.TRANSIENT, AttemptEffect.GATEWAY
    expected = {
        PREFILL: (transient, neutral),
        DECODE: (neutral, transient),
        LINK: (neutral, neutral),
        NEUTRAL: (neutral, neutral),
    }
    for verdict in TransferVerdict:
        charge = attempt_effects_of(verdict)
        assert (charge.prefill_effect, charge.decode_effect) == expected[verdict]


steps = st.lists(
    st.tuples(
        st.integers(0, 3), st.integers(0, 3), st.floats(0, 20), st.sampled_from(TransferEvidence)
    ),
    max_size=40,
)


@settings(derandomize=True, deadline=None)
@given(steps)
def test_a_lone_pair_is_never_charged_without_certain_evidence(
    history: list[tuple[int, int, float, TransferEvidence]],
) -> None:
    evidence_table = TransferEvidenceTable()
    now = 0.0
    for prefill, _, pause, evidence in history:
        now += pause
        # Every prefill worker has its own decode worker, so no other peer adds evidence.
        verdict = fail(evidence_table, f"p{prefill} d{prefill}", now, evidence)
        assert verdict is not DECODE
        assert verdict is not PREFILL or evidence is TransferEvidence.HANDLE_DENIED


def test_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("MAXIMUM_WORKERS", "MAXIMUM_PEERS", "MAXIMUM_AVOIDED_PAIRS"):
        monkeypatch.setattr(kv_transfer_evidence, name, 4)
    evidence_table = TransferEvidenceTable()
    for number in range(50):
        fail(evidence_table, f"p{number} d{number}", float(number))
        fail(evidence_table, f"p{number} d0", float(number))
        evidence_table.record_unreachable(f"p{number}", float(number))
        evidence_table.record_success(f"p{number}", f"d{number}", float(number))
    assert len(evidence_table._prefill_failures._times) <= 4
    assert len(evidence_table._decode_failures._times["d0"]) <= 4
    assert len(evidence_table._last_unreachable._times) <= 4
    assert len(evidence_table._last_success._times) <= 4
    avoidance = PairAvoidance()
    for number in range(50):
        avoidance.avoid(f"p{number}", "d", 9.0)
    assert len(avoidance) == 4

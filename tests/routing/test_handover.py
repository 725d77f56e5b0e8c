"""The charging table of failed hand-overs (design page: which side a failed hand-over charges)."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.routing import handover
from orchidpath.routing.handover import (
    EVIDENCE_WINDOW_SECONDS,
    PAIR_AVOIDANCE_SECONDS,
    REACHABILITY_WINDOW_SECONDS,
    HandoverEvidence,
    HandoverFailure,
    HandoverLedger,
    HandoverVerdict,
    PairAvoidance,
    charge_of,
)
from orchidpath.wire.messages import AttemptEffect

UNREACHABLE = HandoverEvidence.UNREACHABLE
CUT = HandoverEvidence.TRANSFER_FAILED
PREFILL, DECODE = HandoverVerdict.PREFILL_SIDE, HandoverVerdict.DECODE_SIDE
LINK, NEUTRAL = HandoverVerdict.LINK, HandoverVerdict.NEUTRAL


def fail(
    ledger: HandoverLedger,
    pair: str,
    now: float,
    evidence: HandoverEvidence = CUT,
    expires_at: float = 1e9,
) -> HandoverVerdict:
    prefill, decode = pair.split()
    failure = HandoverFailure(
        prefill_worker_id=prefill,
        decode_worker_id=decode,
        evidence=evidence,
        handle_expires_at=expires_at,
    )
    return ledger.record_failure(failure, now)


@pytest.mark.parametrize("evidence", [UNREACHABLE, CUT])
def test_one_pair_only_is_the_link_and_is_avoided_for_a_while(evidence: HandoverEvidence) -> None:
    ledger = HandoverLedger()
    for now in range(5):
        assert fail(ledger, "p1 d1", float(now), evidence) is LINK
    lapse = 4.0 + PAIR_AVOIDANCE_SECONDS
    assert ledger.avoidance.is_avoided("p1", "d1", lapse - 0.1)
    assert not ledger.avoidance.is_avoided("p1", "d1", lapse)
    assert not ledger.avoidance.is_avoided("p1", "d2", 4.0)
    ledger.record_success("p1", "d1", 5.0)
    assert not ledger.avoidance.is_avoided("p1", "d1", 5.0)


def test_denied_handle_charges_the_prefill_side_unless_it_had_lapsed() -> None:
    ledger = HandoverLedger()
    assert fail(ledger, "p1 d1", 1.0, HandoverEvidence.HANDLE_DENIED, expires_at=1.5) is PREFILL
    assert fail(ledger, "p1 d1", 1.5, HandoverEvidence.HANDLE_DENIED, expires_at=1.5) is NEUTRAL


@pytest.mark.parametrize(
    "evidence", [HandoverEvidence.HANDLE_LAPSED, HandoverEvidence.HANDLE_MISMATCH]
)
def test_lapsed_and_foreign_handles_are_neutral_and_leave_no_evidence(
    evidence: HandoverEvidence,
) -> None:
    ledger = HandoverLedger()
    for pair in ("p1 d1", "p2 d1", "p3 d1", "p1 d2"):
        assert fail(ledger, pair, 1.0, evidence) is NEUTRAL
    assert fail(ledger, "p4 d1", 2.0) is LINK


def test_router_that_cannot_reach_the_prefill_worker_corroborates() -> None:
    ledger = HandoverLedger()
    ledger.record_unreachable("p1", 0.0)
    assert fail(ledger, "p1 d1", REACHABILITY_WINDOW_SECONDS, UNREACHABLE) is PREFILL
    assert fail(ledger, "p1 d1", REACHABILITY_WINDOW_SECONDS + 0.1, UNREACHABLE) is LINK
    ledger.record_unreachable("p2", 10.0)
    ledger.record_reached("p2")
    assert fail(ledger, "p2 d2", 10.0, UNREACHABLE) is LINK


def test_failures_that_are_certainly_the_prefill_sides_never_count_against_the_decode_side() -> (
    None
):
    ledger = HandoverLedger()
    for prefill in ("p1", "p2", "p3"):
        ledger.record_unreachable(prefill, 1.0)
        assert fail(ledger, f"{prefill} d1", 1.0) is PREFILL
    assert fail(ledger, "p4 d1", 2.0) is LINK


def test_same_decode_worker_with_several_prefill_workers_is_the_decode_side() -> None:
    ledger = HandoverLedger()
    assert fail(ledger, "p1 d1", 1.0) is LINK
    assert fail(ledger, "p2 d1", 2.0, UNREACHABLE) is DECODE
    assert fail(ledger, "p3 d1", 3.0) is DECODE


def test_same_prefill_worker_with_several_decode_workers_is_the_prefill_side() -> None:
    ledger = HandoverLedger()
    assert fail(ledger, "p1 d1", 1.0, UNREACHABLE) is LINK
    assert fail(ledger, "p1 d2", 2.0, UNREACHABLE) is PREFILL


def test_evidence_outside_the_window_does_not_count() -> None:
    ledger = HandoverLedger()
    assert fail(ledger, "p1 d1", 0.0) is LINK
    assert fail(ledger, "p2 d1", EVIDENCE_WINDOW_SECONDS) is LINK


def test_worker_that_has_since_worked_with_a_peer_is_not_charged() -> None:
    ledger = HandoverLedger()
    fail(ledger, "p1 d1", 1.0)
    ledger.record_success("p3", "d1", 2.0)
    assert fail(ledger, "p2 d1", 3.0) is LINK
    assert fail(ledger, "p1 d1", 4.0) is DECODE


def test_network_split_that_points_both_ways_charges_nobody() -> None:
    ledger = HandoverLedger()
    assert fail(ledger, "p1 d1", 1.0) is LINK
    fail(ledger, "p2 d2", 1.0)
    fail(ledger, "p2 d1", 1.0)
    assert fail(ledger, "p1 d2", 1.0) is LINK


def test_each_verdict_charges_one_side_at_most() -> None:
    transient, neutral = AttemptEffect.TRANSIENT, AttemptEffect.GATEWAY
    expected = {
        PREFILL: (transient, neutral),
        DECODE: (neutral, transient),
        LINK: (neutral, neutral),
        NEUTRAL: (neutral, neutral),
    }
    for verdict in HandoverVerdict:
        charge = charge_of(verdict)
        assert (charge.prefill_effect, charge.decode_effect) == expected[verdict]


steps = st.lists(
    st.tuples(
        st.integers(0, 3), st.integers(0, 3), st.floats(0, 20), st.sampled_from(HandoverEvidence)
    ),
    max_size=40,
)


@settings(derandomize=True, deadline=None)
@given(steps)
def test_a_lone_pair_is_never_charged_without_certain_evidence(
    history: list[tuple[int, int, float, HandoverEvidence]],
) -> None:
    ledger = HandoverLedger()
    now = 0.0
    for prefill, _, pause, evidence in history:
        now += pause
        # Every prefill worker has its own decode worker: no peer can corroborate.
        verdict = fail(ledger, f"p{prefill} d{prefill}", now, evidence)
        assert verdict is not DECODE
        assert verdict is not PREFILL or evidence is HandoverEvidence.HANDLE_DENIED


def test_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("MAXIMUM_WORKERS", "MAXIMUM_PEERS", "MAXIMUM_AVOIDED_PAIRS"):
        monkeypatch.setattr(handover, name, 4)
    ledger = HandoverLedger()
    for number in range(50):
        fail(ledger, f"p{number} d{number}", float(number))
        fail(ledger, f"p{number} d0", float(number))
        ledger.record_unreachable(f"p{number}", float(number))
        ledger.record_success(f"p{number}", f"d{number}", float(number))
    assert len(ledger._prefill_failures._times) <= 4
    assert len(ledger._decode_failures._times["d0"]) <= 4
    assert len(ledger._last_unreachable._times) <= 4
    assert len(ledger._last_success._times) <= 4
    avoidance = PairAvoidance()
    for number in range(50):
        avoidance.avoid(f"p{number}", "d", 9.0)
    assert len(avoidance) == 4

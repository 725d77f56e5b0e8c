"""Attempts in flight on each worker, as estimated by one router."""

from orchidpath.router.load_view import REPORTED_LOAD_TTL_SECONDS, LoadView
from orchidpath.wire.messages import CandidateState


def test_load_is_the_larger_of_reported_and_own_and_reports_expire() -> None:
    loads = LoadView()
    loads.begin(["w1", "w1", "w2"])
    state = CandidateState(worker_id="w2", status="available", health=0.5, in_flight=9)
    loads.update([state], now=0.0)
    assert loads.in_flight(1.0) == {"w1": 2, "w2": 9}
    loads.end("w1")
    assert loads.in_flight(REPORTED_LOAD_TTL_SECONDS + 1.0) == {"w1": 1, "w2": 1}

"""Faults injected into an emulated back end."""

from orchidpath.emulators.backend.injected_faults import Fault, FaultBoard, FaultKind


def test_faults_are_limited_by_count_by_time_and_by_peer() -> None:
    board = FaultBoard()
    board.add(Fault(kind=FaultKind.FAIL_NEXT, count=2), 0.0)
    active = [board.take(FaultKind.FAIL_NEXT, 0.0) is not None for _ in range(3)]
    assert active == [True, True, False]
    board.add(Fault(kind=FaultKind.GO_DARK, seconds=5.0), 0.0)
    assert board.active(FaultKind.GO_DARK, 4.9) is not None
    assert board.active(FaultKind.GO_DARK, 5.0) is None
    board.add(Fault(kind=FaultKind.SLOW_LINK, factor=3.0, worker_id="p1"), 0.0)
    assert board.factor(FaultKind.SLOW_LINK, 9.0, "p1") == 3.0
    assert board.factor(FaultKind.SLOW_LINK, 9.0, "p2") == 1.0
    board.clear()
    assert board.list_active(0.0) == ()

"""Register of attempts in flight (paper, "How each metric is measured")."""

from orchidpath.circuit.in_flight import InFlightRegister, Registration
from orchidpath.wire.messages import Choice
from orchidpath.wire.records import Stage

WORKER = Registration(worker_id="w", generation=0)


def test_in_flight_registration_is_idempotent_by_attempt() -> None:
    register = InFlightRegister(120.0)
    register.register("r", "a", [WORKER], 0.0)
    register.register("r", "a", [WORKER], 60.0)
    assert register.count("w") == 1
    # The duplicate does not renew the time to live.
    register.expire(120.0)
    assert register.count("w") == 0


def test_a_crashed_router_leaks_no_in_flight_mark() -> None:
    # Paper: "TTL'd so a crashed process can't leak a permanently busy deployment".
    register = InFlightRegister(120.0)
    register.register("r1", "a1", [WORKER], 0.0)
    register.register("r2", "a2", [WORKER], 50.0, age_seconds=40.0)
    register.expire(119.9)
    assert register.count("w") == 2
    register.expire(120.0)
    assert register.count("w") == 1
    register.expire(130.0)
    assert register.count("w") == 0
    assert register.release("a1", "w", 130.0) is None


def test_release_frees_each_worker_of_an_attempt_once() -> None:
    register = InFlightRegister(120.0)
    choices = (Choice(stage=Stage.PREFILL, worker_id="w"),)
    other = Registration(worker_id="v", generation=4)
    register.register("r", "a", [WORKER, other], 0.0, choices=choices)
    assert register.release("a", "w", 1.0) == WORKER
    assert register.release("a", "w", 1.0) is None
    assert (register.count("w"), register.count("v")) == (0, 1)
    assert register.choices("a") == choices
    assert [mark.worker_id for mark in register.marks(2.0)] == ["v"]
    assert register.release("a", "v", 2.0) == other
    assert register.choices("a") == ()


def test_an_id_registered_again_has_its_own_deadline() -> None:
    register = InFlightRegister(100.0)
    register.register("r", "a", [WORKER], 0.0)
    register.release("a", "w", 10.0)
    register.register("r", "a", [WORKER], 50.0)
    register.expire(100.0)
    assert register.count("w") == 1
    register.expire(150.0)
    assert register.count("w") == 0

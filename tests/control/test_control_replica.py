"""A control replica takes what the wire brings without ending its process."""

import random
from collections.abc import Sequence

from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.types import Membership, RaftSettings, RestoredState
from orchidpath.control.leadership.member_manager import MemberPolicy
from orchidpath.control.replica.control_effects import SendToConnected, SendToNode, UpdateAnswered
from orchidpath.control.replica.control_replica import ControlReplica
from orchidpath.state.commands import SubmitConfiguration, configuration_digest
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.messages import (
    ConsensusMessage,
    ControlMembers,
    DecisionReply,
    DecisionRequest,
    Rejection,
    UpdateStatus,
)
from orchidpath.wire.records import ControlMember

TICK = 0.05
NOW = 3.0
ALONE = Membership(("c",), (), {"c": "c:1"})


def core(formation_voters: int = 1) -> ControlReplica:
    generator = random.Random(1)
    raft = RaftCore("c", RaftSettings(), RestoredState(), ALONE, 0.0, generator)
    member = ControlMember(node_id="c", address="c:1")
    return ControlReplica(member, raft, MemberPolicy(), formation_voters, generator)


def led(formation_voters: int = 1) -> ControlReplica:
    """Return the only control process of a fleet, which leads it at ``NOW``."""
    one = core(formation_voters)
    for step in range(1, round(NOW / TICK) + 1):
        one.tick(step * TICK)
    assert one.has_authority(NOW)
    return one


def order(order_id: str, base_version: int) -> SubmitConfiguration:
    configuration = Configuration()
    digest = configuration_digest(base_version, configuration)
    return SubmitConfiguration(
        order_id=order_id, base_version=base_version, configuration=configuration, digest=digest
    )


def answers(effects: Sequence[object]) -> list[UpdateAnswered]:
    return [effect for effect in effects if isinstance(effect, UpdateAnswered)]


def test_a_new_leader_tells_every_connected_process() -> None:
    one = core()
    told = [
        effect.message
        for step in range(1, round(NOW / TICK) + 1)
        for effect in one.tick(step * TICK)
        if isinstance(effect, SendToConnected)
    ]
    [message] = told
    assert isinstance(message, ControlMembers)
    assert message.leader_id == "c"


def test_damaged_consensus_messages_are_like_lost_ones() -> None:
    one = led()
    for payload in (b"", b"junk", b"\x91" * 5000, b"\xc1"):
        assert one.receive("x", ConsensusMessage(payload=payload), NOW) == []


def test_a_follower_takes_no_order_and_decides_nothing() -> None:
    one = core()
    answer = answers(one.submit(1, order("a", 0), 0.1))[0]
    assert answer.answer is UpdateStatus.REJECTED
    request = DecisionRequest(
        correlation=3, request_id="q", attempt_id="a", service="wine", per_stage=()
    )
    effects = one.receive("r", request, 0.1)
    expected = DecisionReply(correlation=3, term=one.raft.term, rejection=Rejection.NOT_LEADER)
    assert SendToNode("r", expected) in effects


def test_a_forming_fleet_takes_no_order_before_it_has_its_voters() -> None:
    one = led(formation_voters=3)
    answer = answers(one.submit(1, order("a", 0), NOW))[0]
    assert answer.answer is UpdateStatus.REJECTED


def test_racing_and_repeated_orders() -> None:
    one = led()
    got: dict[int, UpdateAnswered] = {}
    for key, each in enumerate([order("a", 0), order("b", 0), order("a", 0)]):
        got.update({answer.key: answer for answer in answers(one.submit(key, each, NOW))})
    for step in range(1, 80):
        ticked = one.tick(NOW + step * TICK)
        got.update({answer.key: answer for answer in answers(ticked)})
    assert got[0].answer is UpdateStatus.CONFIRMED
    assert got[0].version == 1
    assert got[1].answer is UpdateStatus.CONFLICT
    assert got[1].version == 1
    assert got[2].answer is UpdateStatus.CONFIRMED
    assert got[2].version == 1

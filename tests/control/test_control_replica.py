"""A control replica: updates to a leader and to a follower, and undecodable messages."""

import random
from collections.abc import Sequence

import msgspec
from leadership_builders import router_heartbeat, worker_record
from update_builders import configuration_update

from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.types import Membership, RaftSettings, RestoredState
from orchidpath.control.leadership.member_manager import LEARNER_REMOVAL_SECONDS, MemberPolicy
from orchidpath.control.replica.control_effects import (
    LearnerRemoved,
    ProposalDropped,
    SendToConnected,
    SendToNode,
    UpdateAnswered,
)
from orchidpath.control.replica.control_replica import ControlReplica
from orchidpath.wire.backend import Announcement
from orchidpath.wire.messages import (
    ConsensusMessage,
    ControlMembers,
    DecisionReply,
    DecisionRequest,
    ForwardedAnnouncements,
    JoinRequest,
    Rejection,
    UpdateStatus,
)
from orchidpath.wire.records import ControlMember

TICK = 0.05
NOW = 3.0
ACKNOWLEDGEMENT_SECONDS = 4.0
"""While the core is stable, every change is acknowledged within this time."""

ALONE = Membership(("c",), (), {"c": "c:1"})


def new_replica(formation_voters: int = 1) -> ControlReplica:
    generator = random.Random(1)
    raft = RaftCore("c", RaftSettings(), RestoredState(), ALONE, 0.0, generator)
    member = ControlMember(node_id="c", address="c:1")
    return ControlReplica(member, raft, MemberPolicy(), formation_voters, generator)


def leading_replica(formation_voters: int = 1) -> ControlReplica:
    """Return the only control replica of a fleet, which holds its leader lease at ``NOW``."""
    replica = new_replica(formation_voters)
    for step in range(1, round(NOW / TICK) + 1):
        replica.tick(step * TICK)
    assert replica.has_authority(NOW)
    return replica


def update_answers(effects: Sequence[object]) -> list[UpdateAnswered]:
    return [effect for effect in effects if isinstance(effect, UpdateAnswered)]


def test_a_new_leader_announces_itself_to_every_connected_process() -> None:
    replica = new_replica()
    announced = [
        effect.message
        for step in range(1, round(NOW / TICK) + 1)
        for effect in replica.tick(step * TICK)
        if isinstance(effect, SendToConnected)
    ]
    [message] = announced
    assert isinstance(message, ControlMembers)
    assert message.leader_id == "c"


def test_undecodable_consensus_messages_are_dropped() -> None:
    replica = leading_replica()
    for payload in (b"", b"junk", b"\x91" * 5000, b"\xc1"):
        assert replica.receive("x", ConsensusMessage(payload=payload), NOW) == []


def test_a_follower_rejects_updates_and_decisions() -> None:
    replica = new_replica()
    answer = update_answers(replica.submit(1, configuration_update("a", 0), 0.1))[0]
    assert answer.answer is UpdateStatus.REJECTED
    request = DecisionRequest(
        correlation=3, request_id="q", attempt_id="a", service="wine", per_stage=()
    )
    effects = replica.receive("r", request, 0.1)
    expected = DecisionReply(correlation=3, term=replica.raft.term, rejection=Rejection.NOT_LEADER)
    assert SendToNode("r", expected) in effects


def test_a_forming_fleet_rejects_updates_before_it_has_its_voters() -> None:
    replica = leading_replica(formation_voters=3)
    answer = update_answers(replica.submit(1, configuration_update("a", 0), NOW))[0]
    assert answer.answer is UpdateStatus.REJECTED


def test_a_concurrent_update_conflicts_and_a_repeated_one_is_confirmed_again() -> None:
    replica = leading_replica()
    received: dict[int, UpdateAnswered] = {}
    for key, update in enumerate(
        [configuration_update("a", 0), configuration_update("b", 0), configuration_update("a", 0)]
    ):
        received.update(
            {answer.key: answer for answer in update_answers(replica.submit(key, update, NOW))}
        )
    for step in range(1, 80):
        ticked = replica.tick(NOW + step * TICK)
        received.update({answer.key: answer for answer in update_answers(ticked)})
    assert received[0].answer is UpdateStatus.CONFIRMED
    assert received[0].version == 1
    assert received[1].answer is UpdateStatus.CONFLICT
    assert received[1].version == 1
    assert received[2].answer is UpdateStatus.CONFIRMED
    assert received[2].version == 1


def test_an_update_that_the_log_cannot_hold_is_rejected_and_the_leader_goes_on() -> None:
    """Guards against a leader that ends for an operator's update."""
    replica = leading_replica()
    unencodable = msgspec.structs.replace(configuration_update("a", 0), base_version=2**64)
    [answer] = update_answers(replica.submit(1, unencodable, NOW))
    assert answer.answer is UpdateStatus.REJECTED
    assert "2**64" in answer.reason
    assert update_answers(replica.submit(2, configuration_update("b", 0), NOW)) == []
    assert replica.has_authority(NOW)


def test_a_proposal_that_the_log_cannot_hold_is_dropped_and_the_others_are_proposed() -> None:
    """Guards against a leader that ends for a worker's announcement, and its successor too."""
    replica = leading_replica()
    announcements = tuple(
        Announcement(record=worker_record(worker_id), sequence=sequence)
        for worker_id, sequence in (("w1", 2**64), ("w2", 1))
    )
    message = ForwardedAnnouncements(announcements=announcements)
    effects = [*replica.receive("r", message, NOW), *replica.tick(NOW + TICK)]
    [dropped] = [effect for effect in effects if isinstance(effect, ProposalDropped)]
    assert dropped.command_type == "WorkerChanged"
    assert [worker.worker_id for worker in replica.state.workers()] == ["w2"]


def test_a_removed_learner_is_reported() -> None:
    """Guards against a learner that joins and leaves again and again, without a trace."""
    replica = leading_replica()
    learner = ControlMember(node_id="d", address="d:1")
    replica.receive("d", JoinRequest(member=learner), NOW)
    removed: list[LearnerRemoved] = []
    steps = round((LEARNER_REMOVAL_SECONDS + 2.0) / TICK)
    for step in range(1, steps):
        effects = replica.tick(NOW + step * TICK)
        removed += [effect for effect in effects if isinstance(effect, LearnerRemoved)]
        if step * TICK < LEARNER_REMOVAL_SECONDS:
            assert removed == []
    assert removed == [LearnerRemoved("d")]
    assert replica.missing_voters(NOW) == MemberPolicy().target_voters - 1


def test_a_change_sent_again_each_second_is_confirmed_while_a_router_is_lost() -> None:
    """Guards against changes without an acknowledgement for as long as a lost router is registered.

    A caller waits for an answer for a second. Workers change the replicated state all the time, and
    without the lost router a revision is confirmed only when the leases on older ones have expired.
    """
    replica = leading_replica()
    for router_id in ("r1", "r2", "lost"):
        replica.receive(router_id, router_heartbeat(router_id), NOW)
    ticks_per_second = round(1.0 / TICK)
    answered_after: list[float] = []
    for step in range(round(ACKNOWLEDGEMENT_SECONDS / TICK)):
        now = NOW + (step + 1) * TICK
        if step % ticks_per_second == 0:
            last_key = step
            effects = replica.submit(last_key, configuration_update("a", 0), now)
        else:
            effects = []
        announcement = Announcement(record=worker_record(f"w{step}"), sequence=1)
        message = ForwardedAnnouncements(announcements=(announcement,))
        effects += replica.receive("r1", message, now)
        for router_id in ("r1", "r2"):
            heartbeat = router_heartbeat(router_id, replica.state.revision, step + 2)
            effects += replica.receive(router_id, heartbeat, now)
        effects += replica.tick(now)
        answered_after += [
            now - NOW
            for answer in update_answers(effects)
            if answer.key == last_key and answer.answer is UpdateStatus.CONFIRMED
        ]
    assert answered_after

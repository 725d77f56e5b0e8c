"""A control process without a leader answers operators at once and leaves no call pending."""

import random

import pytest
from update_builders import configuration_update

from orchidpath.common.clock import monotonic_seconds
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.storage import MemoryLogStorage
from orchidpath.consensus.types import Membership, RaftSettings, RestoredState
from orchidpath.control.api.control_access import UnavailableError
from orchidpath.control.api.local_access import LocalControlAccess
from orchidpath.control.api.operator_bodies import Accepted, SubmitStatus
from orchidpath.control.leadership.member_manager import MemberPolicy
from orchidpath.control.replica.control_replica import ControlReplica
from orchidpath.control.replica.replica_loop import ReplicaLoop
from orchidpath.wire.messages import PlanAction, PlanActionStatus
from orchidpath.wire.records import ControlMember


@pytest.fixture
def access() -> LocalControlAccess:
    """Return the API access of a follower that has no leader to forward requests to."""
    generator = random.Random(1)
    membership = Membership(("c", "d"), (), {"c": "c:1", "d": "d:1"})
    raft = RaftCore("c", RaftSettings(), RestoredState(), membership, 0.0, generator)
    member = ControlMember(node_id="c", address="c:1")
    replica = ControlReplica(member, raft, MemberPolicy(), 2, generator)
    loop = ReplicaLoop(
        replica, MemoryLogStorage(), monotonic_seconds, lambda _effect: None, lambda _seconds: None
    )
    return LocalControlAccess(loop, monotonic_seconds, lambda _message: False)


async def test_an_update_that_could_not_be_forwarded_was_not_accepted(
    access: LocalControlAccess,
) -> None:
    result = await access.submit(configuration_update())
    assert (result.status, result.accepted) == (SubmitStatus.UNAVAILABLE, Accepted.NO)
    assert not access._pending


async def test_a_plan_action_that_could_not_be_forwarded_is_rejected(
    access: LocalControlAccess,
) -> None:
    result = await access.request_plan_action("a", PlanAction.HALT, "p")
    assert result.answer is PlanActionStatus.REJECTED
    assert not access._pending


async def test_circuits_without_a_leader_are_unavailable(access: LocalControlAccess) -> None:
    with pytest.raises(UnavailableError, match="no leader is known"):
        await access.circuits()
    assert not access._pending

"""A leader renews router leases, registers new routers and removes unreachable routers."""

import pytest
from leadership_builders import (
    apply_command,
    router_heartbeat,
    router_record,
    sent_messages,
)

from orchidpath.control.leadership.liveness import ROUTER_REMOVAL_SECONDS, LivenessTracker
from orchidpath.control.leadership.router_leases import REGISTRATION_RETRY_SECONDS, RouterLeases
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import RegisterRouter, RemoveRouter
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import RouterHeartbeatReply, RouterLeaving

TERM = 3


class Leadership:
    """A replicated state and the router leases of one leadership."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.output = ControlOutput()
        self.leases = RouterLeases(TERM, self.state, LivenessTracker(), self.output)


@pytest.fixture
def leadership() -> Leadership:
    return Leadership()


def test_a_heartbeat_is_answered_with_the_revision_and_the_registration(
    leadership: Leadership,
) -> None:
    apply_command(leadership.state, RegisterRouter(record=router_record()))
    leadership.leases.renew(router_heartbeat(adopted_revision=1, sequence=7), 0.0)
    reply = RouterHeartbeatReply(
        term=TERM, sequence=7, revision=leadership.state.revision, registered=True
    )
    assert sent_messages(leadership.output) == [("r1", reply)]
    assert leadership.leases.adopted_revisions == {"r1": 1}
    assert leadership.output.take_proposals() == []


def test_a_router_that_is_not_registered_is_proposed_once_until_the_retry(
    leadership: Leadership,
) -> None:
    registration = RegisterRouter(record=router_record())
    leadership.leases.renew(router_heartbeat(), 0.0)
    assert leadership.output.take_proposals() == [registration]
    leadership.leases.renew(router_heartbeat(), REGISTRATION_RETRY_SECONDS)
    assert leadership.output.take_proposals() == []
    leadership.leases.renew(router_heartbeat(), 2 * REGISTRATION_RETRY_SECONDS + 0.01)
    assert leadership.output.take_proposals() == [registration]


def test_a_router_without_heartbeats_for_too_long_is_removed(leadership: Leadership) -> None:
    apply_command(leadership.state, RegisterRouter(record=router_record()))
    leadership.leases.renew(router_heartbeat(), 0.0)
    leadership.leases.propose_removals(ROUTER_REMOVAL_SECONDS)
    assert leadership.output.take_proposals() == []
    leadership.leases.propose_removals(ROUTER_REMOVAL_SECONDS + 0.1)
    assert leadership.output.take_proposals() == [RemoveRouter(router_id="r1")]


def apply_proposals(leadership: Leadership) -> None:
    for command in leadership.output.take_proposals():
        apply_command(leadership.state, command)


def test_a_router_that_leaves_is_removed_from_the_witnesses_before_it_is_answered(
    leadership: Leadership,
) -> None:
    """Guards against changes that are never confirmed once most witnesses have left for good."""
    for router_id in ("r1", "r2"):
        leadership.leases.renew(router_heartbeat(router_id), 0.0)
    apply_proposals(leadership)
    sent_messages(leadership.output)
    assert leadership.state.is_witness("r1")
    leaving = RouterLeaving(router_id="r1", incarnation="first")
    leadership.leases.leave(leaving)
    assert sent_messages(leadership.output) == []
    assert leadership.leases.take_departed() == []
    apply_proposals(leadership)
    assert not leadership.state.is_witness("r1")
    assert leadership.state.witnesses == ("r2",)
    assert leadership.leases.take_departed() == ["r1"]
    assert leadership.leases.take_departed() == []
    leadership.leases.leave(leaving)
    ((router_id, answer),) = sent_messages(leadership.output)
    assert router_id == "r1"
    assert isinstance(answer, RouterHeartbeatReply)
    assert not answer.registered
    leadership.leases.renew(router_heartbeat(sequence=2), 5.0)
    assert leadership.output.take_proposals() == []


def test_only_the_incarnation_that_the_leader_has_heard_last_can_leave(
    leadership: Leadership,
) -> None:
    """Guards against a late message that takes a restarted witness for one that is silent."""
    leaving = RouterLeaving(router_id="r1", incarnation="earlier")
    leadership.leases.leave(leaving)
    leadership.leases.renew(router_heartbeat(), 0.0)
    apply_proposals(leadership)
    leadership.leases.leave(leaving)
    apply_proposals(leadership)
    assert leadership.state.is_witness("r1")


def test_a_router_that_was_removed_for_its_silence_can_still_leave(
    leadership: Leadership,
) -> None:
    for router_id in ("r1", "r2"):
        leadership.leases.renew(router_heartbeat(router_id), 0.0)
    apply_proposals(leadership)
    apply_command(leadership.state, RemoveRouter(router_id="r1"))
    assert leadership.state.is_witness("r1")
    leadership.leases.leave(RouterLeaving(router_id="r1", incarnation="first"))
    apply_proposals(leadership)
    assert not leadership.state.is_witness("r1")

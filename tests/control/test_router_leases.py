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
from orchidpath.wire.messages import RouterHeartbeatReply

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

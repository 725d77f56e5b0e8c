"""Leader duties run in a fixed order within a tick, and each message reaches its duty."""

from random import Random

import pytest
from leadership_builders import (
    apply_command,
    router_heartbeat,
    router_record,
    sent_messages,
    worker_record,
)

from orchidpath.control.leadership.leader_duties import TICK_PERIOD_SECONDS, LeaderDuties
from orchidpath.control.leadership.liveness import ROUTER_REMOVAL_SECONDS
from orchidpath.state.commands import RegisterRouter, RemoveRouter, WorkerChanged, WorkerRemoved
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.backend import Announcement
from orchidpath.wire.messages import (
    CircuitsView,
    FleetUpdate,
    FleetUpdateRequest,
    ForwardedAnnouncements,
    RouterHeartbeatReply,
    WhoIsControl,
)


@pytest.fixture
def state() -> FleetState:
    """Return a state with one worker and one router."""
    state = FleetState()
    apply_command(state, WorkerChanged(record=worker_record(), sequence=1))
    apply_command(state, RegisterRouter(record=router_record()))
    return state


@pytest.fixture
def duties(state: FleetState) -> LeaderDuties:
    return LeaderDuties(1, state, Random(1), 0.0)


def test_a_tick_proposes_removals_of_workers_before_routers(duties: LeaderDuties) -> None:
    duties.tick(0.0)
    assert duties.output.take_proposals() == []
    duties.tick(ROUTER_REMOVAL_SECONDS + 1.0)
    assert duties.output.take_proposals()[:2] == [
        WorkerRemoved(worker_id="w1", incarnation="first", sequence=0),
        RemoveRouter(router_id="r1"),
    ]


def test_ticks_within_one_period_do_nothing(duties: LeaderDuties) -> None:
    duties.receive("r1", router_heartbeat(), 0.0)
    duties.tick(0.0)
    assert any(isinstance(message, CircuitsView) for _, message in sent_messages(duties.output))
    duties.receive("r2", router_heartbeat("r2"), 0.0)
    duties.output.take_effects()
    duties.tick(TICK_PERIOD_SECONDS / 2)
    assert duties.output.take_effects() == []


def test_a_heartbeat_of_a_new_router_brings_the_circuits_with_the_next_push(
    duties: LeaderDuties,
) -> None:
    duties.tick(0.0)
    duties.receive("r1", router_heartbeat(), 0.1)
    ((_, reply),) = sent_messages(duties.output)
    assert isinstance(reply, RouterHeartbeatReply)
    duties.tick(1.0)
    ((node_id, pushed),) = sent_messages(duties.output)
    assert node_id == "r1"
    assert isinstance(pushed, CircuitsView)


def test_messages_are_dispatched_to_their_duties(duties: LeaderDuties) -> None:
    duties.receive("r1", FleetUpdateRequest(adopted_revision=0), 0.0)
    ((_, update),) = sent_messages(duties.output)
    assert isinstance(update, FleetUpdate)
    restarted = worker_record(incarnation="second")
    announcement = Announcement(record=restarted, sequence=1)
    duties.receive("c", ForwardedAnnouncements(announcements=(announcement,)), 0.0)
    assert duties.output.take_proposals() == [WorkerChanged(record=restarted, sequence=1)]


def test_a_message_that_is_not_for_a_leader_is_ignored(duties: LeaderDuties) -> None:
    duties.receive("c", WhoIsControl(), 0.0)
    assert duties.output.take_effects() == []
    assert duties.output.take_proposals() == []

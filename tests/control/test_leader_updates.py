"""What a leader sends to routers that lack something of the view."""

from random import Random

from orchidpath.control.leadership.leader_duties import MAX_CACHED_UPDATES, LeaderDuties
from orchidpath.control.replica.control_effects import SendToNode
from orchidpath.state.commands import Command, RegisterRouter, encode_command
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import FleetUpdate, FleetUpdateRequest
from orchidpath.wire.records import RouterRecord


def apply(state: FleetState, command: Command) -> None:
    state.apply(state.applied_index + 1, encode_command(command))


def register(state: FleetState, number: int) -> None:
    record = RouterRecord(router_id=f"r{number}", address=f"10.0.0.{number}:1", http_address="h:1")
    apply(state, RegisterRouter(record=record))


def asked(duties: LeaderDuties, router_id: str, adopted_revision: int) -> FleetUpdate:
    duties.receive_update_request(router_id, FleetUpdateRequest(adopted_revision=adopted_revision))
    effect = duties.outbox.pop()
    assert isinstance(effect, SendToNode)
    assert isinstance(effect.message, FleetUpdate)
    return effect.message


def test_routers_that_lack_the_same_get_one_and_the_same_update() -> None:
    """After a restart of the whole fleet all ask at once: the view is made and encoded once."""
    state = FleetState()
    register(state, 1)
    duties = LeaderDuties(1, state, Random(1), 0.0)
    first = asked(duties, "r1", 0)
    assert all(asked(duties, f"r{number}", 0) is first for number in range(200))


def test_an_update_is_never_older_than_the_state() -> None:
    state = FleetState()
    duties = LeaderDuties(1, state, Random(1), 0.0)
    for number in range(1, 4 * MAX_CACHED_UPDATES):
        register(state, number)
        for adopted in range(number):
            update = asked(duties, "r1", adopted)
            assert update == state.update_since(adopted)
            assert update.revision == state.revision

"""Effects and proposals are taken from an output once, in the order in which they were added."""

from orchidpath.control.replica.control_effects import ReadFailed, ReadReady, SendToNode
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import RemoveRouter
from orchidpath.wire.messages import WhoIsControl

FIRST = RemoveRouter(router_id="r1")
SECOND = RemoveRouter(router_id="r2")


def test_effects_are_taken_once_in_their_order() -> None:
    output = ControlOutput()
    output.emit(ReadReady(1))
    output.send("n", WhoIsControl())
    output.emit_all([ReadFailed(2)])
    expected = [ReadReady(1), SendToNode("n", WhoIsControl()), ReadFailed(2)]
    assert output.take_effects() == expected
    assert output.take_effects() == []


def test_an_equal_pending_command_is_not_proposed_again() -> None:
    output = ControlOutput()
    output.propose(FIRST)
    output.propose_once(FIRST)
    output.propose_once(SECOND)
    assert output.take_proposals() == [FIRST, SECOND]
    output.propose_once(FIRST)
    assert output.take_proposals() == [FIRST]


def test_effects_of_another_output_are_appended() -> None:
    own, other = ControlOutput(), ControlOutput()
    other.emit(ReadReady(1))
    other.propose(FIRST)
    own.emit(ReadReady(2))
    own.propose(SECOND)
    own.move_from(other)
    assert own.take_effects() == [ReadReady(2), ReadReady(1)]
    assert own.take_proposals() == [SECOND, FIRST]
    assert other.take_effects() == []
    assert not other.has_proposals

"""A leader decides attempts, acknowledges reports and adopts committed workers."""

from random import Random

import pytest
from leadership_builders import apply_command, sent_messages, worker_record

from orchidpath.control.leadership.attempt_decisions import AttemptDecisions, not_leader_reply
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import WorkerChanged
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import (
    AttemptReports,
    AttemptReportsReply,
    DecisionReply,
    DecisionRequest,
    Rejection,
    StageCandidates,
)
from orchidpath.wire.records import Stage

TERM = 3


class Leadership:
    """A replicated state with one worker, and the decisions of one leadership."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.output = ControlOutput()
        self.announce("w1")
        self.decisions = AttemptDecisions(TERM, self.state, Random(1), self.output, 0.0)

    def announce(self, worker_id: str) -> None:
        apply_command(self.state, WorkerChanged(record=worker_record(worker_id), sequence=1))

    def decide(self, correlation: int, *candidates: str) -> DecisionReply:
        self.decisions.receive_request("r1", request(correlation, *candidates), 0.0)
        ((node_id, reply),) = sent_messages(self.output)
        assert node_id == "r1"
        assert isinstance(reply, DecisionReply)
        return reply


def request(correlation: int, *candidates: str) -> DecisionRequest:
    return DecisionRequest(
        correlation=correlation,
        request_id=f"q{correlation}",
        attempt_id=f"a{correlation}",
        service="chat",
        per_stage=(StageCandidates(stage=Stage.PREFILL, candidates=candidates),),
    )


@pytest.fixture
def leadership() -> Leadership:
    return Leadership()


def test_a_decision_has_the_term_and_the_correlation_of_its_request(
    leadership: Leadership,
) -> None:
    reply = leadership.decide(7, "w1")
    assert (reply.term, reply.correlation, reply.rejection) == (TERM, 7, Rejection.NONE)
    assert [choice.worker_id for choice in reply.choices] == ["w1"]
    assert leadership.decisions.in_flight(0.0) == {"w1": 1}


def test_a_new_worker_may_be_chosen_once_its_revision_is_committed(
    leadership: Leadership,
) -> None:
    leadership.announce("w2")
    assert leadership.decide(1, "w2").rejection is not Rejection.NONE
    leadership.decisions.revision_committed()
    assert [choice.worker_id for choice in leadership.decide(2, "w2").choices] == ["w2"]


def test_reports_are_acknowledged_by_their_sequence(leadership: Leadership) -> None:
    leadership.decisions.receive_reports("r1", AttemptReports(sequence=9, reports=()), 0.0)
    acknowledgement = AttemptReportsReply(sequence=9, term=TERM)
    assert sent_messages(leadership.output) == [("r1", acknowledgement)]
    assert leadership.output.take_proposals() == []


def test_a_process_that_does_not_lead_answers_not_leader() -> None:
    reply = not_leader_reply(request(4), TERM)
    assert reply == DecisionReply(correlation=4, term=TERM, rejection=Rejection.NOT_LEADER)

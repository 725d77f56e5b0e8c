"""Orders built on the operator's own numbers: races, repetitions and lost answers."""

import pytest

from orchidpath.common.errors import OrchidpathError
from orchidpath.control.api.conditional_updates import (
    ConditionalChange,
    ConditionalReplacement,
    ConditionalUpdateOutcome,
    ResolvedConfiguration,
    submit_labelled,
)
from orchidpath.control.api.control_access import UnavailableError
from orchidpath.control.api.operator_bodies import Accepted, SubmitResult, SubmitStatus
from orchidpath.state.commands import SubmitConfiguration, encode_command
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import UpdateAccepted, UpdateResult
from orchidpath.wire.configuration import Configuration


class OneReplica:
    """A control process whose state machine is all there is."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.is_readable = True
        self.loses_answers = False
        self.before_submit: list[ConditionalReplacement | ConditionalChange] = []

    async def read_state(self) -> FleetState:
        if not self.is_readable:
            raise UnavailableError("no leader")
        return self.state

    async def submit(self, order: SubmitConfiguration) -> SubmitResult:
        while self.before_submit:
            await submit_labelled(self, self.before_submit.pop())
        result = self.state.apply(self.state.applied_index + 1, encode_command(order)).outcome
        assert isinstance(result, UpdateResult)
        if self.loses_answers:
            return SubmitResult(status=SubmitStatus.UNAVAILABLE, accepted=Accepted.UNKNOWN)
        if isinstance(result.outcome, UpdateAccepted):
            return SubmitResult(status=SubmitStatus.CONFIRMED, version=result.outcome.version)
        return SubmitResult(status=SubmitStatus.CONFLICT, accepted=Accepted.NO)


def order(name: str, base: int, label: int) -> ConditionalReplacement:
    return ConditionalReplacement(
        order_id=name,
        base_label=base,
        configuration=Configuration(label=label),
        document=name.encode(),
    )


def change(name: str, base: int, label: int) -> ConditionalChange:
    """Return a change that adds its name to the document."""

    def resolve(document: bytes) -> ResolvedConfiguration:
        return ResolvedConfiguration(
            configuration=Configuration(label=label), document=document + name.encode()
        )

    return ConditionalChange(order_id=name, base_label=base, resolve=resolve)


async def test_labels_may_rise_in_uneven_steps() -> None:
    one = OneReplica()
    assert await submit_labelled(one, order("a", 0, 2)) is ConditionalUpdateOutcome.ACCEPTED
    assert await submit_labelled(one, order("b", 2, 9)) is ConditionalUpdateOutcome.ACCEPTED
    assert one.state.configuration.label == 9
    assert one.state.document == b"b"


async def test_one_of_two_on_the_same_base_wins() -> None:
    one = OneReplica()
    await submit_labelled(one, order("a", 0, 2))
    assert await submit_labelled(one, order("b", 2, 5)) is ConditionalUpdateOutcome.ACCEPTED
    assert await submit_labelled(one, order("c", 2, 5)) is ConditionalUpdateOutcome.CONFLICT
    assert one.state.document == b"b"


async def test_one_that_loses_between_its_read_and_its_order_is_told_so() -> None:
    one = OneReplica()
    await submit_labelled(one, order("a", 0, 2))
    one.before_submit = [order("b", 2, 5)]
    assert await submit_labelled(one, order("c", 2, 6)) is ConditionalUpdateOutcome.CONFLICT
    assert one.state.document == b"b"


async def test_an_order_that_was_taken_is_acknowledged_again() -> None:
    one = OneReplica()
    await submit_labelled(one, order("a", 0, 2))
    assert await submit_labelled(one, order("a", 0, 2)) is ConditionalUpdateOutcome.ACCEPTED
    await submit_labelled(one, order("b", 2, 3))
    assert await submit_labelled(one, order("a", 0, 2)) is ConditionalUpdateOutcome.ACCEPTED
    assert one.state.configuration_version == 2


async def test_a_copy_that_overtakes_its_first_one_is_never_refused() -> None:
    one = OneReplica()
    one.before_submit = [order("a", 0, 2)]
    outcome = await submit_labelled(one, order("a", 0, 2))
    assert outcome in {ConditionalUpdateOutcome.ACCEPTED, ConditionalUpdateOutcome.UNKNOWN}
    assert one.state.configuration_version == 1


async def test_a_lost_answer_is_unknown_and_then_acknowledged() -> None:
    one = OneReplica()
    one.loses_answers = True
    assert await submit_labelled(one, order("a", 0, 2)) is ConditionalUpdateOutcome.UNKNOWN
    one.loses_answers = False
    assert await submit_labelled(one, order("a", 0, 2)) is ConditionalUpdateOutcome.ACCEPTED
    assert one.state.configuration_version == 1


@pytest.mark.parametrize(
    ("base", "label", "outcome"),
    [
        (2, 2, ConditionalUpdateOutcome.INVALID),
        (2, 1, ConditionalUpdateOutcome.INVALID),
        (1, 3, ConditionalUpdateOutcome.CONFLICT),
        (3, 4, ConditionalUpdateOutcome.CONFLICT),
    ],
)
async def test_a_label_must_rise_from_the_current_one(
    base: int, label: int, outcome: ConditionalUpdateOutcome
) -> None:
    one = OneReplica()
    await submit_labelled(one, order("a", 0, 2))
    assert await submit_labelled(one, order("b", base, label)) is outcome
    assert one.state.document == b"a"


async def test_without_a_leader_nothing_is_promised() -> None:
    one = OneReplica()
    one.is_readable = False
    assert await submit_labelled(one, order("a", 0, 2)) is ConditionalUpdateOutcome.UNKNOWN


async def test_a_change_is_made_to_the_configuration_that_it_names() -> None:
    one = OneReplica()
    await submit_labelled(one, order("a", 0, 2))
    assert await submit_labelled(one, change("b", 2, 5)) is ConditionalUpdateOutcome.ACCEPTED
    assert await submit_labelled(one, change("c", 5, 6)) is ConditionalUpdateOutcome.ACCEPTED
    assert one.state.document == b"abc"
    assert one.state.configuration.label == 6


async def test_of_a_change_and_a_whole_configuration_on_one_base_one_wins() -> None:
    one = OneReplica()
    await submit_labelled(one, order("a", 0, 2))
    one.before_submit = [order("w", 2, 5)]
    assert await submit_labelled(one, change("b", 2, 5)) is ConditionalUpdateOutcome.CONFLICT
    one.before_submit = [change("d", 5, 7)]
    assert await submit_labelled(one, order("e", 5, 6)) is ConditionalUpdateOutcome.CONFLICT
    assert one.state.document == b"wd"


async def test_a_change_that_was_taken_is_acknowledged_again_and_made_once() -> None:
    one = OneReplica()
    await submit_labelled(one, order("a", 0, 2))
    one.loses_answers = True
    assert await submit_labelled(one, change("b", 2, 3)) is ConditionalUpdateOutcome.UNKNOWN
    one.loses_answers = False
    assert await submit_labelled(one, change("b", 2, 3)) is ConditionalUpdateOutcome.ACCEPTED
    assert one.state.document == b"ab"
    await submit_labelled(one, change("c", 3, 4))
    assert await submit_labelled(one, change("b", 2, 3)) is ConditionalUpdateOutcome.ACCEPTED
    assert one.state.document == b"abc"
    assert one.state.configuration.label == 4


async def test_a_copy_of_a_change_that_overtakes_its_first_one_is_never_refused() -> None:
    one = OneReplica()
    await submit_labelled(one, order("a", 0, 2))
    one.before_submit = [change("b", 2, 3)]
    outcome = await submit_labelled(one, change("b", 2, 3))
    assert outcome in {ConditionalUpdateOutcome.ACCEPTED, ConditionalUpdateOutcome.UNKNOWN}
    assert one.state.document == b"ab"


@pytest.mark.parametrize(
    ("base", "label", "outcome"),
    [(2, 2, ConditionalUpdateOutcome.INVALID), (1, 3, ConditionalUpdateOutcome.CONFLICT)],
)
async def test_a_change_on_another_base_or_with_an_older_label_has_no_effect(
    base: int, label: int, outcome: ConditionalUpdateOutcome
) -> None:
    one = OneReplica()
    await submit_labelled(one, order("a", 0, 2))
    assert await submit_labelled(one, change("b", base, label)) is outcome
    assert one.state.document == b"a"


async def test_a_change_that_cannot_be_made_submits_nothing() -> None:
    def resolve(document: bytes) -> ResolvedConfiguration:
        raise OrchidpathError("no such item")

    one = OneReplica()
    await submit_labelled(one, order("a", 0, 2))
    with pytest.raises(OrchidpathError, match="no such item"):
        await submit_labelled(one, ConditionalChange(order_id="b", base_label=2, resolve=resolve))
    assert one.state.configuration_version == 1

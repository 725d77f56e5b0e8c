"""Conditional updates (`If-Match` on a label): races, retries and lost replies."""

import pytest

from orchidpath.common.errors import OrchidpathError
from orchidpath.control.api.conditional_updates import (
    ConditionalChange,
    ConditionalReplacement,
    ResolvedConfiguration,
    submit_labelled,
)
from orchidpath.control.api.conditional_updates import ConditionalUpdateOutcome as Outcome
from orchidpath.control.api.control_access import UnavailableError
from orchidpath.control.api.operator_bodies import Accepted, SubmitResult, SubmitStatus
from orchidpath.state.commands import SubmitConfiguration, encode_command
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import UpdateAccepted, UpdateResult
from orchidpath.wire.configuration import Configuration


class SingleReplica:
    """A control process with its replicated state in memory and no other replica.

    ``before_submit`` holds updates that are submitted between the read of the state and the
    submission of the next update, as a concurrent operator would.
    """

    def __init__(self) -> None:
        self.state = FleetState()
        self.is_readable = True
        self.loses_replies = False
        self.before_submit: list[ConditionalReplacement | ConditionalChange] = []

    async def read_state(self) -> FleetState:
        if not self.is_readable:
            raise UnavailableError("no leader")
        return self.state

    async def submit(self, update: SubmitConfiguration) -> SubmitResult:
        while self.before_submit:
            await submit_labelled(self, self.before_submit.pop())
        result = self.state.apply(self.state.applied_index + 1, encode_command(update)).outcome
        assert isinstance(result, UpdateResult)
        if self.loses_replies:
            return SubmitResult(status=SubmitStatus.UNAVAILABLE, accepted=Accepted.UNKNOWN)
        if isinstance(result.outcome, UpdateAccepted):
            return SubmitResult(status=SubmitStatus.CONFIRMED, version=result.outcome.version)
        return SubmitResult(status=SubmitStatus.CONFLICT, accepted=Accepted.NO)


def replacement(name: str, base: int, label: int) -> ConditionalReplacement:
    """Return an update that replaces the configuration; its name becomes the document."""
    return ConditionalReplacement(
        order_id=name,
        base_label=base,
        configuration=Configuration(label=label),
        document=name.encode(),
    )


def change(name: str, base: int, label: int) -> ConditionalChange:
    """Return a change that appends its name to the document."""

    def resolve(document: bytes) -> ResolvedConfiguration:
        return ResolvedConfiguration(
            configuration=Configuration(label=label), document=document + name.encode()
        )

    return ConditionalChange(order_id=name, base_label=base, resolve=resolve)


@pytest.fixture
def replica() -> SingleReplica:
    return SingleReplica()


@pytest.fixture
async def labelled_replica(replica: SingleReplica) -> SingleReplica:
    """Return a replica whose configuration has label 2 and the document ``a``."""
    await submit_labelled(replica, replacement("a", 0, 2))
    return replica


async def test_labels_may_increase_in_uneven_steps(replica: SingleReplica) -> None:
    assert await submit_labelled(replica, replacement("a", 0, 2)) is Outcome.ACCEPTED
    assert await submit_labelled(replica, replacement("b", 2, 9)) is Outcome.ACCEPTED
    assert replica.state.configuration.label == 9
    assert replica.state.document == b"b"


async def test_of_two_updates_on_one_base_label_the_first_wins(
    labelled_replica: SingleReplica,
) -> None:
    assert await submit_labelled(labelled_replica, replacement("b", 2, 5)) is Outcome.ACCEPTED
    assert await submit_labelled(labelled_replica, replacement("c", 2, 5)) is Outcome.CONFLICT
    assert labelled_replica.state.document == b"b"


async def test_an_update_that_loses_between_its_read_and_its_submission_is_a_conflict(
    labelled_replica: SingleReplica,
) -> None:
    labelled_replica.before_submit = [replacement("b", 2, 5)]
    assert await submit_labelled(labelled_replica, replacement("c", 2, 6)) is Outcome.CONFLICT
    assert labelled_replica.state.document == b"b"


async def test_a_repeated_accepted_update_is_accepted_again(
    labelled_replica: SingleReplica,
) -> None:
    assert await submit_labelled(labelled_replica, replacement("a", 0, 2)) is Outcome.ACCEPTED
    await submit_labelled(labelled_replica, replacement("b", 2, 3))
    assert await submit_labelled(labelled_replica, replacement("a", 0, 2)) is Outcome.ACCEPTED
    assert labelled_replica.state.configuration_version == 2


async def test_a_duplicate_that_overtakes_the_original_is_never_rejected(
    replica: SingleReplica,
) -> None:
    replica.before_submit = [replacement("a", 0, 2)]
    outcome = await submit_labelled(replica, replacement("a", 0, 2))
    assert outcome in {Outcome.ACCEPTED, Outcome.UNKNOWN}
    assert replica.state.configuration_version == 1


async def test_a_lost_reply_is_unknown_and_the_retry_is_accepted(replica: SingleReplica) -> None:
    replica.loses_replies = True
    assert await submit_labelled(replica, replacement("a", 0, 2)) is Outcome.UNKNOWN
    replica.loses_replies = False
    assert await submit_labelled(replica, replacement("a", 0, 2)) is Outcome.ACCEPTED
    assert replica.state.configuration_version == 1


@pytest.mark.parametrize(
    ("base", "label", "outcome"),
    [
        (2, 2, Outcome.INVALID),
        (2, 1, Outcome.INVALID),
        (1, 3, Outcome.CONFLICT),
        (3, 4, Outcome.CONFLICT),
    ],
)
async def test_a_label_must_be_greater_than_the_current_one(
    labelled_replica: SingleReplica, base: int, label: int, outcome: Outcome
) -> None:
    assert await submit_labelled(labelled_replica, replacement("b", base, label)) is outcome
    assert labelled_replica.state.document == b"a"


async def test_without_a_leader_the_outcome_is_unknown(replica: SingleReplica) -> None:
    replica.is_readable = False
    assert await submit_labelled(replica, replacement("a", 0, 2)) is Outcome.UNKNOWN


async def test_a_change_applies_to_the_configuration_of_its_base_label(
    labelled_replica: SingleReplica,
) -> None:
    assert await submit_labelled(labelled_replica, change("b", 2, 5)) is Outcome.ACCEPTED
    assert await submit_labelled(labelled_replica, change("c", 5, 6)) is Outcome.ACCEPTED
    assert labelled_replica.state.document == b"abc"
    assert labelled_replica.state.configuration.label == 6


async def test_of_a_change_and_a_replacement_on_one_base_label_one_wins(
    labelled_replica: SingleReplica,
) -> None:
    labelled_replica.before_submit = [replacement("w", 2, 5)]
    assert await submit_labelled(labelled_replica, change("b", 2, 5)) is Outcome.CONFLICT
    labelled_replica.before_submit = [change("d", 5, 7)]
    assert await submit_labelled(labelled_replica, replacement("e", 5, 6)) is Outcome.CONFLICT
    assert labelled_replica.state.document == b"wd"


async def test_a_repeated_accepted_change_is_accepted_again_and_applied_once(
    labelled_replica: SingleReplica,
) -> None:
    labelled_replica.loses_replies = True
    assert await submit_labelled(labelled_replica, change("b", 2, 3)) is Outcome.UNKNOWN
    labelled_replica.loses_replies = False
    assert await submit_labelled(labelled_replica, change("b", 2, 3)) is Outcome.ACCEPTED
    assert labelled_replica.state.document == b"ab"
    await submit_labelled(labelled_replica, change("c", 3, 4))
    assert await submit_labelled(labelled_replica, change("b", 2, 3)) is Outcome.ACCEPTED
    assert labelled_replica.state.document == b"abc"
    assert labelled_replica.state.configuration.label == 4


async def test_a_duplicate_of_a_change_that_overtakes_the_original_is_never_rejected(
    labelled_replica: SingleReplica,
) -> None:
    labelled_replica.before_submit = [change("b", 2, 3)]
    outcome = await submit_labelled(labelled_replica, change("b", 2, 3))
    assert outcome in {Outcome.ACCEPTED, Outcome.UNKNOWN}
    assert labelled_replica.state.document == b"ab"


@pytest.mark.parametrize(
    ("base", "label", "outcome"),
    [(2, 2, Outcome.INVALID), (1, 3, Outcome.CONFLICT)],
)
async def test_a_change_on_another_base_or_with_an_older_label_has_no_effect(
    labelled_replica: SingleReplica, base: int, label: int, outcome: Outcome
) -> None:
    assert await submit_labelled(labelled_replica, change("b", base, label)) is outcome
    assert labelled_replica.state.document == b"a"


async def test_a_change_that_cannot_be_resolved_submits_nothing(
    labelled_replica: SingleReplica,
) -> None:
    def resolve(document: bytes) -> ResolvedConfiguration:
        raise OrchidpathError("no such item")

    with pytest.raises(OrchidpathError, match="no such item"):
        await submit_labelled(
            labelled_replica, ConditionalChange(order_id="b", base_label=2, resolve=resolve)
        )
    assert labelled_replica.state.configuration_version == 1

"""Updates that are built on the operator's own number for a configuration instead of its version.

Such an operator knows a configuration by its label, which rises with each change. The same update
sent again, to any control process, gets its first outcome; the compare and swap of the replicated
state decides between two updates that were built on the same label.

An update brings the whole configuration, or a change of the current one. A change is worked out
where it arrives, on the replicated state whose label it names; that the state has not moved on is
then checked by the same compare and swap, so both kinds are decided alike.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec

from orchidpath.control.api.control_access import UnavailableError
from orchidpath.control.api.operator_bodies import SubmitResult, SubmitStatus
from orchidpath.state.commands import SubmitConfiguration, configuration_digest
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import UpdateAccepted, UpdateRecord
from orchidpath.wire.configuration import Configuration


class ConditionalUpdateOutcome(StrEnum):
    """What became of an update."""

    ACCEPTED = "taken"
    """It is in force at every router that serves."""
    INVALID = "invalid"
    """Its label is not above the current one; it never takes effect."""
    CONFLICT = "conflict"
    """Another configuration is current; it never takes effect."""
    UNKNOWN = "unknown"
    """It may or may not take effect: the same update is to be sent again."""


class ConditionalReplacement(msgspec.Struct, frozen=True, kw_only=True):
    """A valid configuration that replaces the one labelled ``base_label``.

    ``order_id`` is the same exactly for the same content.
    """

    order_id: str
    base_label: int
    configuration: Configuration
    document: bytes = b""


class ResolvedConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A valid configuration and the text that it was made from."""

    configuration: Configuration
    document: bytes


class ConditionalChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the configuration labelled ``base_label``.

    ``order_id`` is the same exactly for the same content. ``resolve`` returns what the change makes
    of the current document, which is empty before the first one; it raises an error of its own if
    the change can't be made.
    """

    order_id: str
    base_label: int
    resolve: Callable[[bytes], ResolvedConfiguration]


class SubmitAccess(Protocol):
    """What is needed of a control process."""

    async def submit(self, update: SubmitConfiguration) -> SubmitResult:
        """Propose a valid update and wait until it is confirmed."""

    async def read_state(self) -> FleetState:
        """Return a state that holds everything confirmed before the call."""


async def submit_labelled(
    access: SubmitAccess, update: ConditionalReplacement | ConditionalChange
) -> ConditionalUpdateOutcome:
    """Submit an update and return what became of it.

    Parameters
    ----------
    access
        A control process.
    update
        The update. What the ``resolve`` of a change raises is passed on: nothing was submitted.
    """
    try:
        state = await access.read_state()
    except UnavailableError:
        return ConditionalUpdateOutcome.UNKNOWN
    accepted = state.find_update(update.order_id)
    if accepted is not None and isinstance(accepted.outcome, UpdateAccepted):
        return await _submit(access, update, _repetition(state, accepted, accepted.outcome))
    if update.base_label != state.configuration.label:
        return ConditionalUpdateOutcome.CONFLICT
    resolved = _resolve(state, update)
    if resolved.configuration.label <= state.configuration.label:
        return ConditionalUpdateOutcome.INVALID
    base_version = state.configuration_version
    command = SubmitConfiguration(
        order_id=update.order_id,
        base_version=base_version,
        configuration=resolved.configuration,
        digest=configuration_digest(base_version, resolved.configuration),
        document=resolved.document,
    )
    return await _submit(access, update, command)


def _resolve(
    state: FleetState, update: ConditionalReplacement | ConditionalChange
) -> ResolvedConfiguration:
    if isinstance(update, ConditionalChange):
        return update.resolve(state.document)
    return ResolvedConfiguration(configuration=update.configuration, document=update.document)


def _repetition(
    state: FleetState, accepted: UpdateRecord, outcome: UpdateAccepted
) -> SubmitConfiguration:
    """Return an accepted update once more: it changes nothing and is confirmed again.

    What a change once made of an older configuration can't be worked out any more, and need not:
    a replica that knows the update answers its first outcome.
    """
    return SubmitConfiguration(
        order_id=accepted.order_id,
        base_version=outcome.version - 1,
        configuration=state.configuration,
        digest=accepted.digest,
        document=state.document,
    )


async def _submit(
    access: SubmitAccess,
    update: ConditionalReplacement | ConditionalChange,
    command: SubmitConfiguration,
) -> ConditionalUpdateOutcome:
    result = await access.submit(command)
    match result.status:
        case SubmitStatus.CONFIRMED:
            return ConditionalUpdateOutcome.ACCEPTED
        case SubmitStatus.CONFLICT | SubmitStatus.ORDER_ID_REUSED:
            return await _outcome_of_conflict(access, update)
        case _:
            return ConditionalUpdateOutcome.UNKNOWN


async def _outcome_of_conflict(
    access: SubmitAccess, update: ConditionalReplacement | ConditionalChange
) -> ConditionalUpdateOutcome:
    """Tell a conflict from an earlier copy of this update that was accepted meanwhile."""
    try:
        state = await access.read_state()
    except UnavailableError:
        return ConditionalUpdateOutcome.UNKNOWN
    accepted = state.find_update(update.order_id)
    if accepted is not None and isinstance(accepted.outcome, UpdateAccepted):
        return ConditionalUpdateOutcome.UNKNOWN
    return ConditionalUpdateOutcome.CONFLICT

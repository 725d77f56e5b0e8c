"""Conditional updates of the configuration, keyed by the operator's label instead of the version.

A label is the number that an operator assigns to a configuration; it increases with each change.
An update names the label that it is built on. If the same update is sent again, to any control
process, it gets its first outcome. Of two updates that are built on the same label, the compare and
swap of the replicated state accepts one.

An update contains the complete configuration, or a change of the current one. The control process
that receives a change applies it to its copy of the replicated state, whose label must be the one
that the change names. The same compare and swap then checks that the state has not changed since,
so both kinds of update are decided in the same way.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec

from orchidpath.control.api.control_access import UnavailableError
from orchidpath.control.api.operator_bodies import SubmitResult, SubmitStatus
from orchidpath.state.commands import SubmitConfiguration, check_command, configuration_digest
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import UpdateAccepted, UpdateRecord
from orchidpath.wire.configuration import Configuration


class ConditionalUpdateOutcome(StrEnum):
    """Whether a conditional update was accepted, and why it was not."""

    ACCEPTED = "taken"
    """The update is effective at every serving router."""
    INVALID = "invalid"
    """The label is not greater than the current one; the update never takes effect."""
    CONFLICT = "conflict"
    """Another configuration is current; the update never takes effect."""
    UNKNOWN = "unknown"
    """The update may or may not take effect: the operator should send it again unchanged."""


class ConditionalReplacement(msgspec.Struct, frozen=True, kw_only=True):
    """A valid configuration that replaces the one labelled ``base_label``.

    Two updates have the same ``order_id`` if and only if they have the same content. ``document``
    is the operator's text, which is stored with the configuration.
    """

    order_id: str
    base_label: int
    configuration: Configuration
    document: bytes = b""


class ResolvedConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A valid configuration and the operator's document that it was parsed from."""

    configuration: Configuration
    document: bytes


class ConditionalChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the configuration labelled ``base_label``.

    Two changes have the same ``order_id`` if and only if they have the same content. ``resolve``
    applies the change to the current document, which is empty before the first update, and returns
    the result; it raises an error of its own if the change cannot be applied.
    """

    order_id: str
    base_label: int
    resolve: Callable[[bytes], ResolvedConfiguration]


class SubmitAccess(Protocol):
    """Operations of a control process that `submit_labelled` requires."""

    async def submit(self, update: SubmitConfiguration) -> SubmitResult:
        """Propose a valid update and wait until it is confirmed."""

    async def read_state(self) -> FleetState:
        """Return a state that contains every update confirmed before the call."""


async def submit_labelled(
    access: SubmitAccess, update: ConditionalReplacement | ConditionalChange
) -> ConditionalUpdateOutcome:
    """Submit a conditional update and return its outcome.

    Parameters
    ----------
    access
        A control process.
    update
        The update. An error that the ``resolve`` of a change raises is propagated; nothing was
        submitted then.

    Raises
    ------
    CommandEncodeError
        The update is too large for the log; nothing was submitted.
    """
    try:
        state = await access.read_state()
    except UnavailableError:
        return ConditionalUpdateOutcome.UNKNOWN
    accepted = state.find_update(update.order_id)
    if accepted is not None and isinstance(accepted.outcome, UpdateAccepted):
        return await _submit(access, update, _repeated_command(state, accepted, accepted.outcome))
    if update.base_label != state.configuration.label_number:
        return ConditionalUpdateOutcome.CONFLICT
    resolved = _resolve(state, update)
    if resolved.configuration.label_number <= state.configuration.label_number:
        return ConditionalUpdateOutcome.INVALID
    base_version = state.configuration_version
    command = SubmitConfiguration(
        order_id=update.order_id,
        base_version=base_version,
        configuration=resolved.configuration,
        digest=configuration_digest(base_version, resolved.configuration),
        document=resolved.document,
    )
    check_command(command)
    return await _submit(access, update, command)


def _resolve(
    state: FleetState, update: ConditionalReplacement | ConditionalChange
) -> ResolvedConfiguration:
    if isinstance(update, ConditionalChange):
        return update.resolve(state.document)
    return ResolvedConfiguration(configuration=update.configuration, document=update.document)


def _repeated_command(
    state: FleetState, accepted: UpdateRecord, outcome: UpdateAccepted
) -> SubmitConfiguration:
    """Return the command of an accepted update again; it changes nothing and is confirmed again.

    The configuration that a change once produced cannot be computed any more, because its base has
    been replaced. It is not needed: a replica that has recorded the update returns its first
    outcome whatever the configuration in the command.
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
    """Return ``CONFLICT``, or ``UNKNOWN`` if an earlier copy of this update was accepted.

    The copy may have been accepted between the first read of the state and the submission.
    """
    try:
        state = await access.read_state()
    except UnavailableError:
        return ConditionalUpdateOutcome.UNKNOWN
    accepted = state.find_update(update.order_id)
    if accepted is not None and isinstance(accepted.outcome, UpdateAccepted):
        return ConditionalUpdateOutcome.UNKNOWN
    return ConditionalUpdateOutcome.CONFLICT

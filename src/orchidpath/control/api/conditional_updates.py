"""Orders that are built on the operator's own number for a configuration instead of its version.

Such an operator knows a configuration by its label, which rises with each change. The same order
sent again, to any control process, gets its first outcome; the compare and swap of the replicated
state decides between two orders that were built on the same label.

An order brings the whole configuration, or a change of the current one. A change is worked out
where it arrives, on the agreed state whose label it names; that the state has not moved on is then
checked by the same compare and swap, so both kinds are decided alike.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec

from orchidpath.control.api.operator_api import UnavailableError
from orchidpath.control.api.operator_bodies import SubmitResult, SubmitStatus
from orchidpath.state.commands import SubmitConfiguration, configuration_digest
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import UpdateAccepted, UpdateRecord
from orchidpath.wire.configuration import Configuration


class ConditionalUpdateOutcome(StrEnum):
    """What became of an order."""

    TAKEN = "taken"
    """It is in force at every router that serves."""
    INVALID = "invalid"
    """Its label is not above the current one; it never takes effect."""
    CONFLICT = "conflict"
    """Another configuration is current; it never takes effect."""
    UNKNOWN = "unknown"
    """It may or may not take effect: the same order is to be sent again."""


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

    async def submit(self, order: SubmitConfiguration) -> SubmitResult:
        """Propose a valid order and wait until it is confirmed."""

    async def read_state(self) -> FleetState:
        """Return a state that holds everything confirmed before the call."""


async def submit_labelled(
    access: SubmitAccess, order: ConditionalReplacement | ConditionalChange
) -> ConditionalUpdateOutcome:
    """Submit an order and say what became of it.

    Parameters
    ----------
    access
        A control process.
    order
        The order. What the ``resolve`` of a change raises is passed on: nothing was submitted.
    """
    try:
        state = await access.read_state()
    except UnavailableError:
        return ConditionalUpdateOutcome.UNKNOWN
    taken = state.find_update(order.order_id)
    if taken is not None and isinstance(taken.outcome, UpdateAccepted):
        return await _submit(access, order, _repetition(state, taken, taken.outcome))
    if order.base_label != state.configuration.label:
        return ConditionalUpdateOutcome.CONFLICT
    resolved = _resolve(state, order)
    if resolved.configuration.label <= state.configuration.label:
        return ConditionalUpdateOutcome.INVALID
    base_version = state.configuration_version
    command = SubmitConfiguration(
        order_id=order.order_id,
        base_version=base_version,
        configuration=resolved.configuration,
        digest=configuration_digest(base_version, resolved.configuration),
        document=resolved.document,
    )
    return await _submit(access, order, command)


def _resolve(
    state: FleetState, order: ConditionalReplacement | ConditionalChange
) -> ResolvedConfiguration:
    if isinstance(order, ConditionalChange):
        return order.resolve(state.document)
    return ResolvedConfiguration(configuration=order.configuration, document=order.document)


def _repetition(
    state: FleetState, taken: UpdateRecord, outcome: UpdateAccepted
) -> SubmitConfiguration:
    """Return an order that was taken once more: it changes nothing and is confirmed again.

    What a change once made of an older configuration can't be worked out any more, and need not:
    a replica that knows the order answers its first outcome.
    """
    return SubmitConfiguration(
        order_id=taken.order_id,
        base_version=outcome.version - 1,
        configuration=state.configuration,
        digest=taken.digest,
        document=state.document,
    )


async def _submit(
    access: SubmitAccess,
    order: ConditionalReplacement | ConditionalChange,
    command: SubmitConfiguration,
) -> ConditionalUpdateOutcome:
    result = await access.submit(command)
    match result.status:
        case SubmitStatus.CONFIRMED:
            return ConditionalUpdateOutcome.TAKEN
        case SubmitStatus.CONFLICT | SubmitStatus.ORDER_ID_REUSED:
            return await _outcome_of_conflict(access, order)
        case _:
            return ConditionalUpdateOutcome.UNKNOWN


async def _outcome_of_conflict(
    access: SubmitAccess, order: ConditionalReplacement | ConditionalChange
) -> ConditionalUpdateOutcome:
    """Tell another order's victory from an earlier copy of this one that was taken meanwhile."""
    try:
        state = await access.read_state()
    except UnavailableError:
        return ConditionalUpdateOutcome.UNKNOWN
    taken = state.find_update(order.order_id)
    if taken is not None and isinstance(taken.outcome, UpdateAccepted):
        return ConditionalUpdateOutcome.UNKNOWN
    return ConditionalUpdateOutcome.CONFLICT

"""Routes answers of forwarded requests back to the control process they came from; no I/O."""

from typing import NamedTuple

from orchidpath.control.replica.control_effects import (
    ControlEffect,
    PlanActionAnswered,
    SendToNode,
    UpdateAnswered,
)
from orchidpath.wire.messages import ConfigurationUpdateReply, PlanActionReply


class _Origin(NamedTuple):
    """The node that forwarded a request, and the correlation id of its reply."""

    node_id: str
    correlation: int


class ForwardedRequests:
    """Assigns keys to forwarded requests and converts their outcomes into replies."""

    def __init__(self) -> None:
        self._origins: dict[int, _Origin] = {}
        # Negative, so that the keys differ from those of requests submitted to this process itself.
        self._next_key = -1

    def key_for(self, sender_id: str, correlation: int) -> int:
        """Return a new key for a request; its outcome is sent to the process that forwarded it."""
        key = self._next_key
        self._next_key -= 1
        self._origins[key] = _Origin(sender_id, correlation)
        return key

    def route(self, effect: ControlEffect) -> ControlEffect:
        """Return the reply to send if an effect is the outcome of a forwarded request.

        Every other effect is returned unchanged.
        """
        if not isinstance(effect, UpdateAnswered | PlanActionAnswered):
            return effect
        origin = self._origins.pop(effect.key, None)
        if origin is None:
            return effect
        if isinstance(effect, PlanActionAnswered):
            return SendToNode(origin.node_id, _plan_action_reply(origin, effect))
        return SendToNode(origin.node_id, _update_reply(origin, effect))


def _plan_action_reply(origin: _Origin, outcome: PlanActionAnswered) -> PlanActionReply:
    return PlanActionReply(
        correlation=origin.correlation, answer=outcome.answer, reason=outcome.reason
    )


def _update_reply(origin: _Origin, outcome: UpdateAnswered) -> ConfigurationUpdateReply:
    return ConfigurationUpdateReply(
        correlation=origin.correlation,
        answer=outcome.answer,
        version=outcome.version,
        reason=outcome.reason,
    )

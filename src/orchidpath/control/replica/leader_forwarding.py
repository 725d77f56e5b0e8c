"""Requests that another control process forwarded to this one, and their answers; pure."""

from typing import NamedTuple

from orchidpath.control.replica.control_effects import (
    ControlEffect,
    PlanActionAnswered,
    SendToNode,
    UpdateAnswered,
)
from orchidpath.wire.messages import ConfigurationUpdateReply, PlanActionReply


class _Origin(NamedTuple):
    """Who forwarded a request, and the correlation that its reply must bear."""

    node_id: str
    correlation: int


class ForwardedRequests:
    """Gives forwarded requests keys of their own and turns their outcomes into replies."""

    def __init__(self) -> None:
        self._origins: dict[int, _Origin] = {}
        # Below 0, so that they differ from the keys of requests that came to this process itself.
        self._next_key = -1

    def key_for(self, sender_id: str, correlation: int) -> int:
        """Return a key whose outcome goes back to the process that forwarded the request."""
        key = self._next_key
        self._next_key -= 1
        self._origins[key] = _Origin(sender_id, correlation)
        return key

    def routed(self, effect: ControlEffect) -> ControlEffect:
        """Return the reply to send in place of the outcome of a forwarded request."""
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

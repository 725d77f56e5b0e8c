"""Orders that another control process forwarded to this one, and where their answers go; pure."""

from orchidpath.control.replica.control_effects import (
    ControlEffect,
    PlanActionAnswered,
    SendToNode,
    UpdateAnswered,
)
from orchidpath.wire.messages import ConfigurationUpdateReply, PlanActionReply


class ForwardedOrders:
    """Gives forwarded orders keys of their own and turns their outcomes into replies."""

    def __init__(self) -> None:
        self._origin: dict[int, tuple[str, int]] = {}
        # Below 0, so that they never meet the keys of orders that came to this process itself.
        self._next_key = -1

    def key_for(self, sender_id: str, correlation: int) -> int:
        """Return a key whose outcome goes back to the process that forwarded the order."""
        key = self._next_key
        self._next_key -= 1
        self._origin[key] = (sender_id, correlation)
        return key

    def routed(self, effect: ControlEffect) -> ControlEffect:
        """Return the reply to send in place of the outcome of a forwarded order."""
        if not isinstance(effect, UpdateAnswered | PlanActionAnswered):
            return effect
        origin = self._origin.pop(effect.key, None)
        if origin is None:
            return effect
        node_id, correlation = origin
        if isinstance(effect, PlanActionAnswered):
            answer = PlanActionReply(
                correlation=correlation, answer=effect.answer, reason=effect.reason
            )
            return SendToNode(node_id, answer)
        reply = ConfigurationUpdateReply(
            correlation=correlation,
            answer=effect.answer,
            version=effect.version,
            reason=effect.reason,
        )
        return SendToNode(node_id, reply)

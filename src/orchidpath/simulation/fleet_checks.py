"""Invariants of a simulated fleet.

The checks compare recorded observations of a run with each other: updates and replies of operators,
views of routers, and confirmations of the leader. No check relies on the checked code to judge its
own correctness.
"""

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.messages import UpdateStatus


class InvariantError(OrchidpathError):
    """An invariant was violated."""


class OrderHistory(msgspec.Struct):
    """One configuration update: how often it was sent, and the replies to it."""

    order_id: str
    base_version: int
    sent: int = 0
    rejected: int = 0
    confirmed_version: int = 0
    accepted_version: int = 0
    conflict: bool = False


class FleetHistory:
    """History of a run; each observation is checked when it is recorded."""

    def __init__(self) -> None:
        self.orders: dict[str, OrderHistory] = {}
        self.order_of_version: dict[int, str] = {}
        self.confirmed_version = 0
        self.confirmed_revision = 0
        self.confirmed_updates = 0
        self.fresh_checks = 0
        self._router_revision: dict[tuple[str, int], int] = {}

    def record_sent(self, order_id: str, base_version: int) -> None:
        """Record that an operator sent a configuration update."""
        order = self.orders.setdefault(order_id, OrderHistory(order_id, base_version))
        order.sent += 1

    def record_reply(self, order_id: str, answer: UpdateStatus, version: int) -> None:
        """Record the reply to a configuration update, and check it against earlier replies.

        Raises
        ------
        InvariantError
            The reply contradicts an earlier one or the base version of the update.
        """
        order = self.orders[order_id]
        match answer:
            case UpdateStatus.CONFIRMED | UpdateStatus.ACCEPTED_NOT_CONFIRMED:
                self._record_accepted(order, version)
                if answer is UpdateStatus.CONFIRMED:
                    order.confirmed_version = version
                    self.confirmed_updates += 1
                    self.confirmed_version = max(self.confirmed_version, version)
            case UpdateStatus.CONFLICT:
                self._check(order.accepted_version == 0, f"{order_id} was accepted, then rejected")
                order.conflict = True
            case UpdateStatus.ORDER_ID_REUSED:
                raise InvariantError(
                    f"{order_id} was rejected as reused, but was sent again unchanged"
                )
            case UpdateStatus.REJECTED:
                order.rejected += 1
            case UpdateStatus.UNKNOWN:
                pass

    def router_observed(
        self, router: str, epoch: int, fresh: bool, revision: int, configuration_version: int
    ) -> None:
        """Check the view that the next routing decision of a router would use.

        The revision of a router never decreases within one epoch (one run of the process). A
        router with a fresh lease has at least the confirmed configuration version and revision.
        """
        before = self._router_revision.get((router, epoch), 0)
        self._check(revision >= before, f"{router} went back from revision {before} to {revision}")
        self._router_revision[router, epoch] = revision
        if not fresh:
            return
        self.fresh_checks += 1
        self._check(
            configuration_version >= self.confirmed_version,
            f"{router} serves by configuration {configuration_version} "
            f"after {self.confirmed_version} was confirmed",
        )
        self._check(
            revision >= self.confirmed_revision,
            f"{router} serves by revision {revision} "
            f"after {self.confirmed_revision} was confirmed at every router that serves",
        )

    def revision_confirmed(self, revision: int) -> None:
        """Record that the leader confirmed a revision as applied at every router that serves."""
        self.confirmed_revision = max(self.confirmed_revision, revision)

    def leaders_observed(self, leaders: list[str]) -> None:
        """Check that at most one control process has authority over the fleet."""
        self._check(len(leaders) <= 1, f"two leaders at once: {', '.join(leaders)}")

    def check_final_state(self, version: int, order_by_version: dict[int, str]) -> None:
        """Check the final state against all replies that operators received.

        Parameters
        ----------
        version
            Current configuration version, read after all faults ended.
        order_by_version
            Id of the configuration update that created each version, from the state's history.
        """
        self._check(
            version >= self.confirmed_version,
            f"configuration {version} read back after {self.confirmed_version} was confirmed",
        )
        for order in self.orders.values():
            effective = [
                created
                for created, order_id in order_by_version.items()
                if order_id == order.order_id
            ]
            if order.accepted_version:
                self._check(
                    effective == [order.accepted_version],
                    f"{order.order_id} accepted as {order.accepted_version}, state has {effective}",
                )
            certainly_rejected = order.conflict or order.rejected == order.sent
            if certainly_rejected and not order.accepted_version:
                self._check(not effective, f"{order.order_id} was rejected but took effect")

    def _record_accepted(self, order: OrderHistory, version: int) -> None:
        self._check(not order.conflict, f"{order.order_id} was rejected, then accepted")
        self._check(
            order.accepted_version in {0, version},
            f"{order.order_id} was accepted as {order.accepted_version} and as {version}",
        )
        self._check(
            version == order.base_version + 1,
            f"{order.order_id} on {order.base_version} became {version}",
        )
        winner = self.order_of_version.setdefault(version, order.order_id)
        self._check(
            winner == order.order_id, f"{winner} and {order.order_id} both became {version}"
        )
        order.accepted_version = version

    def _check(self, holds: bool, message: str) -> None:
        if not holds:
            raise InvariantError(message)

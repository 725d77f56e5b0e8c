"""Invariants of a simulated fleet, read from its history and never from the code's own opinion."""

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.messages import UpdateStatus


class InvariantError(OrchidpathError):
    """Something happened that must never happen."""


class OrderHistory(msgspec.Struct):
    """What one operator did with one order, and what it was told."""

    order_id: str
    base_version: int
    sent: int = 0
    rejected: int = 0
    confirmed_version: int = 0
    accepted_version: int = 0
    conflict: bool = False


class FleetHistory:
    """Everything observed so far, checked as it is observed."""

    def __init__(self) -> None:
        self.orders: dict[str, OrderHistory] = {}
        self.order_of_version: dict[int, str] = {}
        self.confirmed_version = 0
        self.confirmed_revision = 0
        self.confirmed_updates = 0
        self.fresh_checks = 0
        self._router_revision: dict[tuple[str, int], int] = {}

    def sent(self, order_id: str, base_version: int) -> None:
        """Record that an operator sent an order."""
        order = self.orders.setdefault(order_id, OrderHistory(order_id, base_version))
        order.sent += 1

    def answered(self, order_id: str, answer: UpdateStatus, version: int) -> None:
        """Check the outcome that an operator was told."""
        order = self.orders[order_id]
        match answer:
            case UpdateStatus.CONFIRMED | UpdateStatus.ACCEPTED_NOT_CONFIRMED:
                self._accepted(order, version)
                if answer is UpdateStatus.CONFIRMED:
                    order.confirmed_version = version
                    self.confirmed_updates += 1
                    self.confirmed_version = max(self.confirmed_version, version)
            case UpdateStatus.CONFLICT:
                self._check(order.accepted_version == 0, f"{order_id} was taken, then refused")
                order.conflict = True
            case UpdateStatus.ORDER_ID_REUSED:
                raise InvariantError(f"{order_id} was called reused; it was sent again unchanged")
            case UpdateStatus.REJECTED:
                order.rejected += 1
            case UpdateStatus.UNKNOWN:
                pass

    def router_observed(
        self, router: str, epoch: int, fresh: bool, revision: int, configuration_version: int
    ) -> None:
        """Check a router's view as its next decision would use it."""
        before = self._router_revision.get((router, epoch), 0)
        self._check(revision >= before, f"{router} slid back from {before} to {revision}")
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
            f"after {self.confirmed_revision} was in force everywhere",
        )

    def revision_confirmed(self, revision: int) -> None:
        """Record that the leader holds a revision to be applied at every router that serves."""
        self.confirmed_revision = max(self.confirmed_revision, revision)

    def leaders_observed(self, leaders: list[str]) -> None:
        """Check that at most one process speaks for the fleet."""
        self._check(len(leaders) <= 1, f"two leaders at once: {', '.join(leaders)}")

    def check_final_state(self, version: int, order_by_version: dict[int, str]) -> None:
        """Check the newest state against everything that was confirmed.

        Parameters
        ----------
        version
            Newest configuration version, read after all faults ended.
        order_by_version
            Which order made each version, as the state's history has it.
        """
        self._check(
            version >= self.confirmed_version,
            f"configuration {version} read back after {self.confirmed_version} was confirmed",
        )
        for order in self.orders.values():
            effective = [at for at, one in order_by_version.items() if one == order.order_id]
            if order.accepted_version:
                self._check(
                    effective == [order.accepted_version],
                    f"{order.order_id} accepted as {order.accepted_version}, state has {effective}",
                )
            surely_refused = order.conflict or order.rejected == order.sent
            if surely_refused and not order.accepted_version:
                self._check(not effective, f"{order.order_id} was refused and took effect")

    def _accepted(self, order: OrderHistory, version: int) -> None:
        self._check(not order.conflict, f"{order.order_id} was refused, then taken")
        self._check(
            order.accepted_version in {0, version},
            f"{order.order_id} was taken as {order.accepted_version} and as {version}",
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

"""What the HTTP interfaces of a control process ask of it; free of any HTTP library.

The process imports this module and the calls behind it when it starts; the interfaces themselves
are loaded later (``control/http_interface.py``).
"""

import abc

from orchidpath.circuit.table import WorkerCircuitView
from orchidpath.common.errors import OrchidpathError
from orchidpath.control.operator_bodies import StatusBody, SubmitResult
from orchidpath.control.plan_bodies import PlanOrderResult
from orchidpath.state.commands import SubmitConfiguration
from orchidpath.state.machine import FleetState
from orchidpath.wire.backend import Announcement, AnnouncementReply
from orchidpath.wire.messages import PlanAction


class UnavailableError(OrchidpathError):
    """The control tier cannot answer now.

    Parameters
    ----------
    message
        Why.
    retry_after_seconds
        When to come back.
    """

    def __init__(self, message: str, retry_after_seconds: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after_seconds = retry_after_seconds


class ControlAccess(abc.ABC):
    """What the API needs of its control process; requests may be forwarded to the leader."""

    @abc.abstractmethod
    async def submit(self, order: SubmitConfiguration) -> SubmitResult:
        """Propose a valid order and wait, for a bounded time, until it is confirmed.

        ``taken`` is NO in the result only if the order can never take effect any more.
        """

    @abc.abstractmethod
    async def read_state(self) -> FleetState:
        """Return a state that holds everything confirmed before the call (linearizable).

        Raises
        ------
        UnavailableError
            No leader confirmed the read in time.
        """

    @abc.abstractmethod
    async def circuits(self) -> tuple[WorkerCircuitView, ...]:
        """Return the workers' circuits as the leader has them now.

        Raises
        ------
        UnavailableError
            No leader answered in time.
        """

    @abc.abstractmethod
    def status(self) -> StatusBody:
        """Return what this process knows of itself, without asking any other."""

    @abc.abstractmethod
    async def forward_announcement(self, announcement: Announcement) -> AnnouncementReply:
        """Pass a worker's announcement on to the leader."""


class PlanAccess(abc.ABC):
    """What the API for plans needs of its control process."""

    @abc.abstractmethod
    async def order_plan(self, order_id: str, action: PlanAction, plan_id: str) -> PlanOrderResult:
        """Take an order about a plan and wait, for a bounded time, for its outcome.

        NOT_TAKEN only if the order can never take effect any more.
        """

    @abc.abstractmethod
    async def read_state(self) -> FleetState:
        """Return a state that holds everything confirmed before the call (linearizable).

        Raises
        ------
        UnavailableError
            No leader confirmed the read in time.
        """

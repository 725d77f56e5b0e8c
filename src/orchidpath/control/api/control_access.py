"""What the operators' API needs of its control process; requests may be forwarded to the leader."""

import abc

from orchidpath.circuit.circuit_table import WorkerCircuitView
from orchidpath.common.errors import OrchidpathError
from orchidpath.control.api.operator_bodies import StatusBody, SubmitResult
from orchidpath.control.api.plan_bodies import PlanActionResult
from orchidpath.state.commands import SubmitConfiguration
from orchidpath.state.fleet_state import FleetState
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


class StateAccess(abc.ABC):
    """Linearizable reads of the replicated state."""

    @abc.abstractmethod
    async def read_state(self) -> FleetState:
        """Return a state that holds everything confirmed before the call (linearizable).

        Raises
        ------
        UnavailableError
            No leader confirmed the read in time.
        """


class ControlAccess(StateAccess):
    """What the operators' API needs of its control process."""

    @abc.abstractmethod
    async def submit(self, update: SubmitConfiguration) -> SubmitResult:
        """Propose a valid update and wait, for a bounded time, until it is confirmed.

        ``accepted`` is NO in the result only if the update can never take effect any more.
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


class PlanAccess(StateAccess):
    """What the API for plans needs of its control process."""

    @abc.abstractmethod
    async def request_plan_action(
        self, order_id: str, action: PlanAction, plan_id: str
    ) -> PlanActionResult:
        """Take an action on a plan and wait, for a bounded time, for its outcome.

        REJECTED only if the action can never take effect any more.
        """

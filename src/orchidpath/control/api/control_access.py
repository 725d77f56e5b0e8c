"""Interface of a control process to the operators' API.

An implementation may forward requests to the leader.
"""

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
    """The control tier cannot serve a request at the moment.

    Parameters
    ----------
    message
        Why; it is part of the response to the operator.
    retry_after_seconds
        Delay after which the client should retry.
    """

    def __init__(self, message: str, retry_after_seconds: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after_seconds = retry_after_seconds


class StateAccess(abc.ABC):
    """Linearizable reads of the replicated state."""

    @abc.abstractmethod
    async def read_state(self) -> FleetState:
        """Return a state that contains every update confirmed before the call (linearizable).

        Raises
        ------
        UnavailableError
            No leader confirmed the read in time.
        """


class ControlAccess(StateAccess):
    """Operations of a control process that the operators' API requires."""

    @abc.abstractmethod
    async def submit(self, update: SubmitConfiguration) -> SubmitResult:
        """Propose a valid update and wait, for a bounded time, until it is confirmed.

        ``accepted`` is ``NO`` in the result only if the update can never take effect.
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
        """Return the status of this process, without contacting any other."""

    @abc.abstractmethod
    async def forward_announcement(self, announcement: Announcement) -> AnnouncementReply:
        """Forward a worker's announcement to the leader."""


class PlanAccess(StateAccess):
    """Operations of a control process that the API for plans requires."""

    @abc.abstractmethod
    async def request_plan_action(
        self, order_id: str, action: PlanAction, plan_id: str
    ) -> PlanActionResult:
        """Propose an action on a plan and wait, for a bounded time, for its outcome.

        The outcome is ``REJECTED`` only if the action can never take effect.
        """

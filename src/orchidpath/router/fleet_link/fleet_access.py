"""What the router's edge needs from the rest of the fleet, as one abstract class.

The control link implements it; tests use a fake. Nothing here does input or output itself.
"""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence

from orchidpath.wire.backend import Announcement, AnnouncementReply
from orchidpath.wire.messages import (
    AttemptReport,
    CapacityObserved,
    DecisionReply,
    DecisionRequest,
)
from orchidpath.wire.records import FleetView


class FleetAccess(ABC):
    """The fleet as one router sees it."""

    @abstractmethod
    def view(self) -> FleetView | None:
        """Return the newest adopted view, or None before the first."""

    @abstractmethod
    def is_fresh(self, now: float) -> bool:
        """Return whether this router holds a lease to serve by its view."""

    @abstractmethod
    def freshness_reason(self, now: float) -> str:
        """Return why the router is not fresh; empty when it is."""

    @abstractmethod
    def seconds_until_fresh_hint(self) -> float:
        """Return when a refused caller should come back."""

    @abstractmethod
    async def decide(
        self, request: DecisionRequest, timeout_seconds: float
    ) -> DecisionReply | None:
        """Ask the leader to choose workers and register the attempt.

        Parameters
        ----------
        request
            Candidates and tried workers of each stage.
        timeout_seconds
            Bound on the whole wait.

        Returns
        -------
        DecisionReply or None
            None when the control tier is slow or lost.
        """

    @abstractmethod
    def decided_alone(self, attempt_id: str, worker_ids: Collection[str]) -> None:
        """Learn which workers the router chose by itself, the leader's answer not being there."""

    @abstractmethod
    def report(self, reports: Sequence[AttemptReport]) -> None:
        """Queue reports for the leader; never waits."""

    @abstractmethod
    def observe_capacity(self, observed: CapacityObserved) -> None:
        """Queue an observed throttle of a failure domain for the leader; never waits."""

    @abstractmethod
    async def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Take a worker's announcement and forward it to the leader."""

    @abstractmethod
    def locally_draining(self, worker_id: str) -> bool:
        """Return whether this router itself heard the worker say that it is draining."""

"""Abstract interface through which the router's edge uses the rest of the fleet.

The control link implements it; tests use a fake. This module does no input or output itself.
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
    """Fleet view, lease, leader decisions and reports, as the edge of one router uses them."""

    @abstractmethod
    def view(self) -> FleetView | None:
        """Return the newest adopted view, or None before the first."""

    @abstractmethod
    def is_fresh(self, now: float) -> bool:
        """Return whether this router holds a lease to serve requests with its view."""

    @abstractmethod
    def freshness_reason(self, now: float) -> str:
        """Return why the router is not fresh; empty when it is."""

    @abstractmethod
    def seconds_until_fresh_hint(self) -> float:
        """Return after how many seconds a rejected caller should retry."""

    @abstractmethod
    async def decide(
        self, request: DecisionRequest, timeout_seconds: float
    ) -> DecisionReply | None:
        """Request a decision from the leader, which chooses workers and registers the attempt.

        Parameters
        ----------
        request
            Candidates and tried workers of each stage.
        timeout_seconds
            Bound on the wait for the reply.

        Returns
        -------
        DecisionReply or None
            None when the leader is unreachable, did not reply in time, or no longer leads.
        """

    @abstractmethod
    def record_local_decision(self, attempt_id: str, worker_ids: Collection[str]) -> None:
        """Record which workers the router chose itself because the leader did not reply."""

    @abstractmethod
    def report(self, reports: Sequence[AttemptReport]) -> None:
        """Queue reports for the leader; never waits."""

    @abstractmethod
    def observe_capacity(self, observed: CapacityObserved) -> None:
        """Queue an observed throttle of a failure domain for the leader; never waits."""

    @abstractmethod
    async def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Store a worker's announcement and forward it to the leader."""

    @abstractmethod
    def has_announced_draining(self, worker_id: str) -> bool:
        """Return whether the worker itself announced to this router that it is draining."""

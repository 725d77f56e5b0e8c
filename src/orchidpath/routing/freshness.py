"""A router's adopted fleet view and its lease to serve by it; pure, no input or output.

Holds the rule that a confirmed configuration is applied within about 2 s by every router that
serves and that no router slides back (docs/design/freshness.md). A lease always counts from the
moment that the question was *sent*, never from when its answer came: an answer that was held up on
the way cannot stretch a lease.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.configuration_delta import apply_configuration_delta
from orchidpath.wire.messages import (
    ROUTER_HEARTBEAT_SECONDS,
    ROUTER_LEASE_SECONDS,
    FleetUpdate,
    FleetUpdateRequest,
    FreshnessQuery,
    FreshnessReply,
    RouterHeartbeat,
    RouterHeartbeatReply,
)
from orchidpath.wire.records import FleetView, RouterRecord, WorkerRecord, WorkerStatus

LEADER_TIMEOUT_SECONDS = 0.7
"""Without a reply of the leader for this long, the witnesses are queried as well."""

ACKNOWLEDGE_SECONDS = 0.01
"""An adopted view is acknowledged within this time, if nothing was acknowledged lately."""

ACKNOWLEDGE_PERIOD_SECONDS = 0.2
"""Least time between two acknowledgements: in a burst of changes one for many is enough."""

FIRST_ACKNOWLEDGE_PERIOD_SECONDS = 0.05
"""The same for a router that holds no lease."""

WITNESS_QUERY_RETRY_SECONDS = 0.25
"""A router that lacks a revision requests it once in this time, and not while it gets others."""

REMEMBERED_SENDS = 16
"""How many sent heartbeats or queries are remembered; older ones are past their lease anyway."""


class FreshnessGuard(StrEnum):
    """Safety rules that a test may disable, to see that the checkers notice."""

    LEASE_FROM_SEND_TIME = "lease_from_send_time"
    ADOPT_BEFORE_LEASE = "adopt_before_lease"
    NEVER_BACK = "never_back"
    WITNESS_MAJORITY = "witness_majority"
    WITNESS_REMEMBERS = "witness_remembers"
    REGISTERED_ONLY = "registered_only"


class SendToLeader(msgspec.Struct, frozen=True):
    """Send a message to the control leader, if one is known."""

    message: RouterHeartbeat | FleetUpdateRequest


class SendToRouter(msgspec.Struct, frozen=True):
    """Send a message to another router at its wire address."""

    router_id: str
    address: str
    message: FreshnessQuery | FreshnessReply


class ViewAdopted(msgspec.Struct, frozen=True):
    """From now on every decision applies this view."""

    view: FleetView


class AcknowledgeSoon(msgspec.Struct, frozen=True):
    """Call `heartbeat` after ``delay_seconds``, once for all views adopted until then.

    The leader waits for this router's acknowledgement before it calls a revision confirmed; but
    while a fleet forms there are hundreds of revisions a second, and one for the newest is enough.
    """

    delay_seconds: float


FreshnessEffect = SendToLeader | SendToRouter | ViewAdopted | AcknowledgeSoon


class _WitnessAnswer(msgspec.Struct, frozen=True):
    sent_at: float
    revision: int


class _SendTimes:
    """When each of the last few sequences was sent."""

    def __init__(self) -> None:
        self._sent_at: dict[int, float] = {}
        self.sequence = 0

    def next(self, now: float) -> int:
        self.sequence += 1
        self._sent_at[self.sequence] = now
        self._sent_at.pop(self.sequence - REMEMBERED_SENDS, None)
        return self.sequence

    def get(self, sequence: int) -> float | None:
        return self._sent_at.get(sequence)


class FreshnessCore:
    """Adopts fleet views in order and answers whether this router may serve now.

    Parameters
    ----------
    record
        This router as it registers itself.
    incarnation
        New for each start of the process.
    now
        Monotonic seconds.
    disabled_guards
        For tests only: guards to leave out.
    """

    def __init__(
        self,
        record: RouterRecord,
        incarnation: str,
        now: float,
        disabled_guards: frozenset[FreshnessGuard] = frozenset(),
    ) -> None:
        self._record = record
        self._incarnation = incarnation
        self._disabled = disabled_guards
        self._view: FleetView | None = None
        self._known_revision = 0
        self._term = 0
        self._heartbeats = _SendTimes()
        self._queries = _SendTimes()
        self._leader_lease_from = float("-inf")
        self._leader_answered_at = float("-inf")
        self._witness_answers: dict[str, _WitnessAnswer] = {}
        self._next_heartbeat_at = now
        self._last_heartbeat_at = float("-inf")
        self._adopted_at = float("-inf")
        self._queried_at = float("-inf")
        self._was_fresh = False

    @property
    def view(self) -> FleetView | None:
        """The newest adopted view, or None before the first."""
        return self._view

    @property
    def revision(self) -> int:
        """Revision of the adopted view; 0 before the first."""
        return self._view.revision if self._view else 0

    def next_deadline(self) -> float:
        """Monotonic time of the next heartbeat."""
        return self._next_heartbeat_at

    def is_fresh(self, now: float) -> bool:
        """Whether this router holds a lease to serve by its view."""
        if self._view is None:
            return False
        fresh = self._has_leader_lease(now) or self._has_witness_lease(now)
        self._was_fresh = self._was_fresh or fresh
        return fresh

    def reason(self, now: float) -> str:
        """Why the router is not fresh; empty when it is."""
        if self.is_fresh(now):
            return ""
        if self._view is None:
            return "no configuration learned since the start"
        return "neither the control leader nor a majority of witnesses answered in time"

    def tick(self, now: float) -> list[FreshnessEffect]:
        """Send the next heartbeat when it is due.

        Parameters
        ----------
        now
            Monotonic seconds.

        Returns
        -------
        list of FreshnessEffect
        """
        if now < self._next_heartbeat_at:
            return []
        return self.heartbeat(now)

    def heartbeat(self, now: float) -> list[FreshnessEffect]:
        """Send a heartbeat at once, and query the witnesses if the leader does not reply."""
        self._next_heartbeat_at = now + ROUTER_HEARTBEAT_SECONDS
        self._last_heartbeat_at = now
        effects: list[FreshnessEffect] = [SendToLeader(self._heartbeat_message(now))]
        if now - self._leader_answered_at > LEADER_TIMEOUT_SECONDS:
            effects.extend(self._query_witnesses(now))
        return effects

    def receive_heartbeat_reply(
        self, reply: RouterHeartbeatReply, now: float
    ) -> list[FreshnessEffect]:
        """Take the leader's answer; renew the lease if its revision has been adopted."""
        sent_at = self._heartbeats.get(reply.sequence)
        if reply.term < self._term or sent_at is None:
            return []
        self._term = reply.term
        self._leader_answered_at = now
        self._known_revision = max(self._known_revision, reply.revision)
        if FreshnessGuard.LEASE_FROM_SEND_TIME in self._disabled:
            sent_at = now
        behind = reply.revision > self.revision
        if behind and FreshnessGuard.ADOPT_BEFORE_LEASE not in self._disabled:
            # Most likely the push is on its way; asking at once would double every change.
            is_getting_others = now - self._adopted_at < WITNESS_QUERY_RETRY_SECONDS
            return [] if is_getting_others else self._request_update(now)
        if reply.registered:
            self._leader_lease_from = max(self._leader_lease_from, sent_at)
        return []

    def receive_update(self, update: FleetUpdate, now: float) -> list[FreshnessEffect]:
        """Adopt a newer view; anything not above the adopted revision is ignored."""
        self._known_revision = max(self._known_revision, update.revision)
        moves_back = update.revision <= self.revision
        if moves_back and FreshnessGuard.NEVER_BACK not in self._disabled:
            return []
        view = self._apply(update)
        if view is None:
            return self._request_update(now)
        self._view = view
        self._adopted_at = now
        return [ViewAdopted(view), AcknowledgeSoon(self._acknowledge_delay_seconds(now))]

    def receive_query(
        self, query: FreshnessQuery, address: str, now: float
    ) -> list[FreshnessEffect]:
        """Answer another router as a witness, or as any process that knows a view.

        A router that has not been fresh since its start does not reply: before it restarted it may
        have known a newer revision than now, and a majority must not count its older one.
        """
        self.is_fresh(now)
        remembers = self._was_fresh or FreshnessGuard.WITNESS_REMEMBERS in self._disabled
        if self._view is None or not remembers:
            return []
        update = None
        if query.adopted_revision < self.revision:
            update = full_update(self._view)
        reply = FreshnessReply(
            witness_id=self._record.router_id,
            sequence=query.sequence,
            adopted_revision=self.revision,
            update=update,
        )
        return [SendToRouter(query.router_id, address, reply)]

    def receive_reply(self, reply: FreshnessReply, now: float) -> list[FreshnessEffect]:
        """Take a witness's answer; it counts from when its query was sent."""
        effects: list[FreshnessEffect] = []
        if reply.update is not None:
            effects = self.receive_update(reply.update, now)
        sent_at = self._queries.get(reply.sequence)
        if sent_at is None:
            return effects
        if FreshnessGuard.LEASE_FROM_SEND_TIME in self._disabled:
            sent_at = now
        known = self._witness_answers.get(reply.witness_id)
        if known is None or known.sent_at <= sent_at:
            answer = _WitnessAnswer(sent_at, reply.adopted_revision)
            self._witness_answers[reply.witness_id] = answer
        return effects

    def seed_query(self, now: float) -> FreshnessQuery:
        """Make a query for a seed router, used while no view, and so no witness, is known."""
        return self._query(now)

    def _acknowledge_delay_seconds(self, now: float) -> float:
        period_seconds = ACKNOWLEDGE_PERIOD_SECONDS
        if not self.is_fresh(now):
            # The acknowledgement brings the lease that this router serves by.
            period_seconds = FIRST_ACKNOWLEDGE_PERIOD_SECONDS
        earliest = self._last_heartbeat_at + period_seconds
        return max(ACKNOWLEDGE_SECONDS, earliest - now)

    def _request_update(self, now: float) -> list[FreshnessEffect]:
        if now - self._queried_at < WITNESS_QUERY_RETRY_SECONDS:
            return []
        self._queried_at = now
        return [SendToLeader(FleetUpdateRequest(adopted_revision=self.revision))]

    def _has_leader_lease(self, now: float) -> bool:
        return now - self._leader_lease_from < ROUTER_LEASE_SECONDS

    def _has_witness_lease(self, now: float) -> bool:
        if not self._is_registered() and FreshnessGuard.REGISTERED_ONLY not in self._disabled:
            # The leader waits for registered routers only before it calls a revision confirmed.
            return False
        assert self._view is not None
        witnesses = self._view.witnesses
        majority = len(witnesses) // 2 + 1
        if FreshnessGuard.WITNESS_MAJORITY in self._disabled:
            majority = 1
        answered = 0
        for witness_id in witnesses:
            if witness_id == self._record.router_id:
                answered += int(self._was_fresh)
                continue
            answer = self._witness_answers.get(witness_id)
            if answer is None or now - answer.sent_at >= ROUTER_LEASE_SECONDS:
                continue
            if answer.revision > self.revision:
                return False
            answered += 1
        return bool(witnesses) and answered >= majority

    def _is_registered(self) -> bool:
        view = self._view
        own_id = self._record.router_id
        return view is not None and any(router.router_id == own_id for router in view.routers)

    def _heartbeat_message(self, now: float) -> RouterHeartbeat:
        view = self._view
        return RouterHeartbeat(
            record=self._record,
            incarnation=self._incarnation,
            sequence=self._heartbeats.next(now),
            adopted_revision=self.revision,
            adopted_configuration_version=view.configuration_version if view else 0,
        )

    def _query(self, now: float) -> FreshnessQuery:
        return FreshnessQuery(
            router_id=self._record.router_id,
            sequence=self._queries.next(now),
            adopted_revision=self.revision,
        )

    def _query_witnesses(self, now: float) -> list[FreshnessEffect]:
        if self._view is None:
            return []
        query = self._query(now)
        addresses = {router.router_id: router.address for router in self._view.routers}
        return [
            SendToRouter(witness_id, addresses[witness_id], query)
            for witness_id in self._view.witnesses
            if witness_id != self._record.router_id and witness_id in addresses
        ]

    def _apply(self, update: FleetUpdate) -> FleetView | None:
        if update.view is not None:
            return update.view
        if self._view is None or self._view.revision != update.base_revision:
            return None
        return apply_delta(self._view, update)


def full_update(view: FleetView) -> FleetUpdate:
    """Make an update that carries the whole view."""
    return FleetUpdate(
        revision=view.revision, configuration_version=view.configuration_version, view=view
    )


def apply_delta(view: FleetView, update: FleetUpdate) -> FleetView:
    """Return ``view`` changed by a delta; GONE workers and removed routers are taken out."""
    routers = {router.router_id: router for router in view.routers}
    routers.update({router.router_id: router for router in update.routers})
    for router_id in update.removed_routers:
        routers.pop(router_id, None)
    configuration = view.configuration
    if update.configuration is not None:
        configuration = apply_configuration_delta(configuration, update.configuration)
    return FleetView(
        revision=update.revision,
        configuration_version=update.configuration_version,
        configuration=configuration,
        workers=_changed_workers(view, update),
        routers=tuple(routers[router_id] for router_id in sorted(routers)),
        witnesses=view.witnesses if update.witnesses is None else update.witnesses,
    )


def _changed_workers(view: FleetView, update: FleetUpdate) -> tuple[WorkerRecord, ...]:
    workers = {worker.worker_id: worker for worker in view.workers}
    for worker in update.workers:
        if worker.status is WorkerStatus.GONE:
            workers.pop(worker.worker_id, None)
        else:
            workers[worker.worker_id] = worker
    return tuple(workers[worker_id] for worker_id in sorted(workers))

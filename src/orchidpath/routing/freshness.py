"""The fleet view that a router has adopted, and its lease to serve requests by that view.

The module does no input or output. It implements two guarantees (docs/design/freshness.md): every
router that serves applies a confirmed configuration within about 2 s, and no router returns to an
older revision. A lease starts when the heartbeat or query was *sent*, never when the reply arrived,
so a reply that was delayed on the network cannot extend a lease.
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
    RouterLeaving,
)
from orchidpath.wire.records import FleetView, RouterRecord, WorkerRecord, WorkerStatus

LEADER_TIMEOUT_SECONDS = 0.7
"""The witnesses are queried as well once the leader has not replied for this long."""

ACKNOWLEDGE_SECONDS = 0.01
"""Delay before an adopted view is acknowledged, unless the period below requires a longer one."""

ACKNOWLEDGE_PERIOD_SECONDS = 0.2
"""Minimum time between two acknowledgements: one covers all revisions of a burst of changes."""

FIRST_ACKNOWLEDGE_PERIOD_SECONDS = 0.05
"""Minimum time between two acknowledgements of a router that holds no lease."""

UPDATE_REQUEST_RETRY_SECONDS = 0.25
"""Minimum time between two requests for a missing revision.

A newer revision that a heartbeat reply names is not requested either until this time has passed
since the last adoption.
"""

LEAVE_TIMEOUT_SECONDS = 0.5
"""Bound on the wait until the leader has recorded that a router leaves."""

RETAINED_SEND_TIMES = 16
"""Number of sent heartbeats, and of sent queries, whose send times are retained.

A lease that counted from an older one would have expired already.
"""


class FreshnessGuard(StrEnum):
    """Safety rules that a test may disable, to verify that the checkers detect the violation."""

    LEASE_FROM_SEND_TIME = "lease_from_send_time"
    """A lease starts when the heartbeat or query was sent, not when the reply arrived."""
    ADOPT_BEFORE_LEASE = "adopt_before_lease"
    """A reply of the leader renews the lease only if the leader's revision has been adopted."""
    NEVER_BACK = "never_back"
    """A router never adopts a revision that is not newer than its own."""
    WITNESS_MAJORITY = "witness_majority"
    """A lease from witnesses needs replies of a majority of them."""
    WITNESS_REMEMBERS = "witness_remembers"
    """A witness replies only if it has been fresh since its start."""
    REGISTERED_ONLY = "registered_only"
    """Only a registered router gets a lease from witnesses."""
    WITNESS_KNOWN_TO_LEADER = "witness_known_to_leader"
    """A witness replies only if the leader has renewed its lease since its start."""


class SendToLeader(msgspec.Struct, frozen=True):
    """Send a message to the control leader, if the router is connected to one."""

    message: RouterHeartbeat | FleetUpdateRequest | RouterLeaving


class SendToRouter(msgspec.Struct, frozen=True):
    """Send a message to another router at its wire address."""

    router_id: str
    address: str
    message: FreshnessQuery | FreshnessReply


class ViewAdopted(msgspec.Struct, frozen=True):
    """A view was adopted; every later decision must be made by it."""

    view: FleetView


class AcknowledgeSoon(msgspec.Struct, frozen=True):
    """Call :meth:`FreshnessCore.heartbeat` after ``delay_seconds``, once for all views until then.

    The leader confirms a revision only after this router has acknowledged it. While a fleet forms
    there are hundreds of revisions a second, and acknowledging the newest covers the older ones.
    """

    delay_seconds: float


FreshnessEffect = SendToLeader | SendToRouter | ViewAdopted | AcknowledgeSoon


class _WitnessReply(msgspec.Struct, frozen=True):
    """Latest reply of a witness: when its query was sent, and the revision that it named."""

    sent_at: float
    revision: int


class _SendTimes:
    """Send times of the last ``RETAINED_SEND_TIMES`` sequence numbers."""

    def __init__(self) -> None:
        self._sent_at: dict[int, float] = {}
        self.sequence = 0

    def next(self, now: float) -> int:
        self.sequence += 1
        self._sent_at[self.sequence] = now
        self._sent_at.pop(self.sequence - RETAINED_SEND_TIMES, None)
        return self.sequence

    def get(self, sequence: int) -> float | None:
        return self._sent_at.get(sequence)


class FreshnessCore:
    """Adopts fleet views in order of their revisions and decides whether this router may serve.

    Parameters
    ----------
    record
        The record that this router registers.
    incarnation
        Identifier of this start of the process.
    now
        Monotonic time in seconds.
    disabled_guards
        Guards that are not applied; for tests only.
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
        self._leader_replied_at = float("-inf")
        self._witness_replies: dict[str, _WitnessReply] = {}
        self._next_heartbeat_at = now
        self._last_heartbeat_at = float("-inf")
        self._adopted_at = float("-inf")
        self._update_requested_at = float("-inf")
        self._was_fresh = False
        self._leader_has_renewed = False
        self._is_leaving = False
        self.has_left = False

    @property
    def view(self) -> FleetView | None:
        """The newest adopted view; None until one has been adopted."""
        return self._view

    @property
    def revision(self) -> int:
        """Revision of the adopted view; 0 until one has been adopted."""
        return self._view.revision if self._view else 0

    def next_deadline(self) -> float:
        """Return the monotonic time in seconds at which the next heartbeat is due."""
        return self._next_heartbeat_at

    def is_fresh(self, now: float) -> bool:
        """Return whether this router has a view and holds a lease to serve by it."""
        if self._view is None or self._is_leaving:
            return False
        fresh = self._has_leader_lease(now) or self._has_witness_lease(now)
        self._was_fresh = self._was_fresh or fresh
        return fresh

    def reason(self, now: float) -> str:
        """Return why the router is not fresh; empty when it is."""
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
            Monotonic time in seconds.

        Returns
        -------
        list of FreshnessEffect
            What the caller must do; empty when no heartbeat is due.
        """
        if now < self._next_heartbeat_at:
            return []
        return self.heartbeat(now)

    def leave(self) -> list[FreshnessEffect]:
        """Stop serving and answering queries for good, and tell the leader.

        Call it again until `has_left`: the message or its answer may be lost.
        """
        self._is_leaving = True
        message = RouterLeaving(router_id=self._record.router_id, incarnation=self._incarnation)
        return [SendToLeader(message)]

    def heartbeat(self, now: float) -> list[FreshnessEffect]:
        """Send a heartbeat at once, and query the witnesses if the leader has stopped replying."""
        self._next_heartbeat_at = now + ROUTER_HEARTBEAT_SECONDS
        self._last_heartbeat_at = now
        effects: list[FreshnessEffect] = [SendToLeader(self._heartbeat_message(now))]
        if now - self._leader_replied_at > LEADER_TIMEOUT_SECONDS:
            effects.extend(self._query_witnesses(now))
        return effects

    def receive_heartbeat_reply(
        self, reply: RouterHeartbeatReply, now: float
    ) -> list[FreshnessEffect]:
        """Process the leader's reply; renew the lease if its revision has been adopted.

        A reply of an older term, or to a heartbeat whose send time is no longer retained, is
        ignored.
        """
        if self._is_leaving:
            self.has_left = self.has_left or not reply.registered
            return []
        sent_at = self._heartbeats.get(reply.sequence)
        if reply.term < self._term or sent_at is None:
            return []
        self._term = reply.term
        self._leader_replied_at = now
        self._known_revision = max(self._known_revision, reply.revision)
        if FreshnessGuard.LEASE_FROM_SEND_TIME in self._disabled:
            sent_at = now
        is_behind = reply.revision > self.revision
        if is_behind and FreshnessGuard.ADOPT_BEFORE_LEASE not in self._disabled:
            # The leader has most likely pushed the update already: a request at once would have
            # every change sent twice.
            updates_arrive = now - self._adopted_at < UPDATE_REQUEST_RETRY_SECONDS
            return [] if updates_arrive else self._request_update(now)
        if reply.registered:
            self._leader_lease_from = max(self._leader_lease_from, sent_at)
            self._leader_has_renewed = True
        return []

    def receive_update(self, update: FleetUpdate, now: float) -> list[FreshnessEffect]:
        """Adopt the updated view; an update that is not above the adopted revision is ignored.

        A delta whose base revision is not the adopted one can't be applied; the missing update is
        then requested from the leader.
        """
        self._known_revision = max(self._known_revision, update.revision)
        is_not_newer = update.revision <= self.revision
        if is_not_newer and FreshnessGuard.NEVER_BACK not in self._disabled:
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
        """Reply to another router's query, as one of its witnesses or as a seed.

        A router that has not been fresh since its start does not reply: it may have adopted a newer
        revision before it restarted, and a majority must not count its older one. One whose lease
        the leader has not renewed since its start replies with its view, but not as a witness: its
        former incarnation may have left, and the leader then counts on its silence. The reply
        carries the complete view if the other router's revision is older.
        """
        self.is_fresh(now)
        has_been_fresh = self._was_fresh or FreshnessGuard.WITNESS_REMEMBERS in self._disabled
        if self._view is None or not has_been_fresh or self._is_leaving:
            return []
        update = None
        if query.adopted_revision < self.revision:
            update = full_update(self._view)
        reply = FreshnessReply(
            witness_id=self._record.router_id if self._is_witness else "",
            sequence=query.sequence,
            adopted_revision=self.revision,
            update=update,
        )
        return [SendToRouter(query.router_id, address, reply)]

    def receive_reply(self, reply: FreshnessReply, now: float) -> list[FreshnessEffect]:
        """Record the reply of a witness; its lease counts from when the query was sent."""
        effects: list[FreshnessEffect] = []
        if reply.update is not None:
            effects = self.receive_update(reply.update, now)
        sent_at = self._queries.get(reply.sequence)
        if sent_at is None:
            return effects
        if FreshnessGuard.LEASE_FROM_SEND_TIME in self._disabled:
            sent_at = now
        previous = self._witness_replies.get(reply.witness_id)
        if previous is None or previous.sent_at <= sent_at:
            witness_reply = _WitnessReply(sent_at, reply.adopted_revision)
            self._witness_replies[reply.witness_id] = witness_reply
        return effects

    def seed_query(self, now: float) -> FreshnessQuery:
        """Return a query for a seed; used until a view, which names the witnesses, is adopted."""
        return self._query(now)

    def _acknowledge_delay_seconds(self, now: float) -> float:
        period_seconds = ACKNOWLEDGE_PERIOD_SECONDS
        if not self.is_fresh(now):
            # The heartbeat that acknowledges the view also obtains the lease, without which this
            # router can't serve.
            period_seconds = FIRST_ACKNOWLEDGE_PERIOD_SECONDS
        earliest = self._last_heartbeat_at + period_seconds
        return max(ACKNOWLEDGE_SECONDS, earliest - now)

    def _request_update(self, now: float) -> list[FreshnessEffect]:
        if now - self._update_requested_at < UPDATE_REQUEST_RETRY_SECONDS:
            return []
        self._update_requested_at = now
        return [SendToLeader(FleetUpdateRequest(adopted_revision=self.revision))]

    def _has_leader_lease(self, now: float) -> bool:
        return now - self._leader_lease_from < ROUTER_LEASE_SECONDS

    def _has_witness_lease(self, now: float) -> bool:
        if not self._is_registered() and FreshnessGuard.REGISTERED_ONLY not in self._disabled:
            # The leader confirms a revision without waiting for unregistered routers.
            return False
        assert self._view is not None
        witnesses = self._view.witnesses
        majority = len(witnesses) // 2 + 1
        if FreshnessGuard.WITNESS_MAJORITY in self._disabled:
            majority = 1
        answered = 0
        for witness_id in witnesses:
            if witness_id == self._record.router_id:
                answered += int(self._was_fresh and self._is_witness)
                continue
            witness_reply = self._witness_replies.get(witness_id)
            if witness_reply is None or now - witness_reply.sent_at >= ROUTER_LEASE_SECONDS:
                continue
            if witness_reply.revision > self.revision:
                return False
            answered += 1
        return bool(witnesses) and answered >= majority

    @property
    def _is_witness(self) -> bool:
        """Whether this router's replies, and its own revision, count as those of a witness."""
        guards = {FreshnessGuard.WITNESS_KNOWN_TO_LEADER, FreshnessGuard.WITNESS_REMEMBERS}
        return self._leader_has_renewed or bool(guards & self._disabled)

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
    """Return an update that carries the complete view."""
    return FleetUpdate(
        revision=view.revision, configuration_version=view.configuration_version, view=view
    )


def apply_delta(view: FleetView, update: FleetUpdate) -> FleetView:
    """Return ``view`` with a delta applied; GONE workers and removed routers are left out."""
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

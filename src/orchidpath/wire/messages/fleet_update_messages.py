"""Messages by which a router proves that its fleet view is current.

They carry router leases, fleet updates and freshness queries. A router may serve only while it
holds a lease of the leader or of a majority of the witness routers.
"""

import msgspec

from orchidpath.wire.configuration_delta import ConfigurationDelta
from orchidpath.wire.records import FleetView, RouterRecord, WorkerRecord

ROUTER_HEARTBEAT_SECONDS = 0.5
"""Longest time between two heartbeats of a router to the leader."""

ROUTER_LEASE_SECONDS = 1.5
"""Duration of a router's lease, counted from the time when the router sent the heartbeat."""

LEASE_DRIFT_SECONDS = 0.2
"""Added to a router's lease before the leader treats it as expired: clocks differ in speed."""


class RouterHeartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="router_heartbeat"):
    """Requests the renewal of a router's lease and reports the revision that it has adopted.

    Sent by: routers, to the leader, at least every ``ROUTER_HEARTBEAT_SECONDS``. If the message is
    lost, the next heartbeat renews the lease. If the message is late or duplicated, the lease is
    not extended: the reply returns ``sequence``, and the lease counts from the time when the router
    sent the heartbeat with that sequence.

    ``adopted_revision`` is the newest revision that the router has adopted; all its decisions from
    then on apply it.
    """

    record: RouterRecord
    incarnation: str
    sequence: int
    adopted_revision: int
    adopted_configuration_version: int


class RouterHeartbeatReply(msgspec.Struct, frozen=True, kw_only=True, tag="router_heartbeat_reply"):
    """The leader's reply to a heartbeat, sent only while it holds its own leader lease.

    If the message is lost, the router's lease is renewed by the reply to its next heartbeat. If
    the message is late or duplicated, the lease still counts from the time when the heartbeat was
    sent; the router ignores a reply of a lower term.

    ``revision`` is the newest committed revision; the lease is renewed only if the router has
    adopted that revision. ``registered`` is false until the router is registered in the
    replicated state.
    """

    term: int
    sequence: int
    revision: int
    registered: bool


class RouterLeaving(msgspec.Struct, frozen=True, kw_only=True, tag="router_leaving"):
    """States that this incarnation of a router serves no longer and answers no further query.

    Sent by: a router that stops, to the leader, again and again until the leader's reply says that
    the router is not registered. If the message is lost, the router is removed for its silence, but
    remains a member of the witness sets up to then. If the message is late or duplicated, it
    changes nothing: the leader ignores it unless the last heartbeat of the router was of this
    incarnation.
    """

    router_id: str
    incarnation: str


class FleetUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="fleet_update"):
    """A newer fleet state, as a full view or as a delta.

    Sent by: the leader, as a push or in reply to a :class:`FleetUpdateRequest`; a witness router
    sends it inside its :class:`FreshnessReply`. If the message is lost, the next heartbeat reply
    contains a revision that the router lacks, and the router requests the update. If the message
    is late or duplicated, the router ignores a revision that is not above the adopted one, so that
    a router never returns to an older revision.

    If ``view`` is set, the update is a full view. Otherwise it is a delta from ``base_revision`` to
    ``revision``: the changed workers (one with status ``GONE`` is removed), the changed and the
    removed routers, and the witnesses and the configuration unless they are None. A router that has
    not adopted ``base_revision`` can't apply the delta and requests an update.
    """

    revision: int
    configuration_version: int
    view: FleetView | None = None
    base_revision: int = 0
    workers: tuple[WorkerRecord, ...] = ()
    routers: tuple[RouterRecord, ...] = ()
    removed_routers: tuple[str, ...] = ()
    witnesses: tuple[str, ...] | None = None
    configuration: ConfigurationDelta | None = None


class FleetUpdateRequest(msgspec.Struct, frozen=True, kw_only=True, tag="fleet_update_request"):
    """Requests all changes above a router's ``adopted_revision``.

    Sent by: routers, to the leader. If the message is lost, the router sends it again after a later
    heartbeat reply. If the message is duplicated, the router ignores the second update.
    """

    adopted_revision: int


class FreshnessQuery(msgspec.Struct, frozen=True, kw_only=True, tag="freshness_query"):
    """Requests the newest adopted revision of a witness router.

    Sent by: a router that receives no replies from the leader, to every witness, with each of its
    heartbeats; a router that has no fleet view yet sends it to every process that it is connected
    to. If the message is lost, that witness does not count in this round.
    """

    router_id: str
    sequence: int
    adopted_revision: int


class FreshnessReply(msgspec.Struct, frozen=True, kw_only=True, tag="freshness_reply"):
    """The newest adopted revision of a witness, and the fleet state if the router's is older.

    Sent by: routers, in reply to a :class:`FreshnessQuery`. If the message is lost, this witness
    does not count in this round. If the message is late or duplicated, it still counts only from
    the time when the query was sent.
    """

    witness_id: str
    sequence: int
    adopted_revision: int
    update: FleetUpdate | None = None

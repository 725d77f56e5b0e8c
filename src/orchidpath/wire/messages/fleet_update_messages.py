"""Messages that keep the routers fresh: leases, fleet updates and freshness queries."""

import msgspec

from orchidpath.wire.configuration_delta import ConfigurationDelta
from orchidpath.wire.records import FleetView, RouterRecord, WorkerRecord

ROUTER_HEARTBEAT_SECONDS = 0.5
"""Time between two heartbeats of a router to the leader."""

ROUTER_LEASE_SECONDS = 1.5
"""A router may serve for this long after it sent the heartbeat that was last answered."""

LEASE_DRIFT_SECONDS = 0.2
"""Added by the leader before it treats a router's lease as expired: clocks differ in speed."""


class RouterHeartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="router_heartbeat"):
    """A router requests the renewal of its lease and reports what it has applied.

    Sent by: routers, every ``ROUTER_HEARTBEAT_SECONDS``, to the leader. ``adopted_revision`` is
    the newest revision that every decision of this router applies from now on. Lost: the next
    one renews the lease. Late or duplicated: harmless, ``sequence`` is echoed and the lease
    counts from the time when the router sent that sequence.
    """

    record: RouterRecord
    incarnation: str
    sequence: int
    adopted_revision: int
    adopted_configuration_version: int


class RouterHeartbeatReply(msgspec.Struct, frozen=True, kw_only=True, tag="router_heartbeat_reply"):
    """The leader's reply, sent only while it holds its own leader lease.

    ``revision`` is the newest committed revision; the router's lease is renewed only once it has
    adopted that revision. ``registered`` is false until the router is registered in the
    replicated state.
    """

    term: int
    sequence: int
    revision: int
    registered: bool


class FleetUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="fleet_update"):
    """A newer fleet state, pushed by the leader or answered by a peer.

    With ``view`` set it is a full update. Otherwise it is a delta from ``base_revision`` to
    ``revision``: the listed workers (a GONE one is removed) and routers, and the witnesses and the
    configuration where they are not None. Lost: the heartbeat reply names a revision that the
    router lacks, and the router requests it again. Late or duplicated: a revision not above the
    adopted one is ignored, so no router ever returns to an older one.
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
    """A router requests all changes above ``adopted_revision``. Lost: requested again."""

    adopted_revision: int


class FreshnessQuery(msgspec.Struct, frozen=True, kw_only=True, tag="freshness_query"):
    """A router that does not hear the leader queries a witness router for its newest revision.

    Sent by: routers, to every witness, each ``ROUTER_HEARTBEAT_SECONDS`` while the leader is
    silent. Lost: that witness does not count this round.
    """

    router_id: str
    sequence: int
    adopted_revision: int


class FreshnessReply(msgspec.Struct, frozen=True, kw_only=True, tag="freshness_reply"):
    """A witness's newest adopted revision, with the newer state if the querying router lacks it."""

    witness_id: str
    sequence: int
    adopted_revision: int
    update: FleetUpdate | None = None

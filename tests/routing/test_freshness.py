"""The adopted view and the lease of a router (docs/design/freshness.md)."""

from orchidpath.routing.freshness import (
    ACKNOWLEDGE_PERIOD_SECONDS,
    ACKNOWLEDGE_SECONDS,
    FIRST_ACKNOWLEDGE_PERIOD_SECONDS,
    UPDATE_REQUEST_RETRY_SECONDS,
    AcknowledgeSoon,
    FreshnessCore,
    FreshnessEffect,
    SendToLeader,
    SendToRouter,
    ViewAdopted,
    full_update,
)
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.messages import (
    ROUTER_LEASE_SECONDS,
    FleetUpdate,
    FleetUpdateRequest,
    FreshnessQuery,
    FreshnessReply,
    RouterHeartbeatReply,
    RouterLeaving,
)
from orchidpath.wire.records import FleetView, RouterRecord

ROUTERS = tuple(
    RouterRecord(router_id=name, address=f"{name}:1", http_address=f"{name}:2") for name in "abc"
)


def view(revision: int, routers: tuple[RouterRecord, ...] = ROUTERS) -> FleetView:
    return FleetView(
        revision=revision,
        configuration_version=revision,
        configuration=Configuration(),
        routers=routers,
        witnesses=("a", "b", "c"),
    )


def core(adopted: FleetView | None = None) -> FreshnessCore:
    freshness = FreshnessCore(ROUTERS[0], "first", 0.0)
    if adopted is not None:
        freshness.receive_update(full_update(adopted), 0.0)
    return freshness


def reply(sequence: int, revision: int, term: int = 1) -> RouterHeartbeatReply:
    return RouterHeartbeatReply(term=term, sequence=sequence, revision=revision, registered=True)


def update_requests(effects: list[FreshnessEffect]) -> int:
    sent = [effect.message for effect in effects if isinstance(effect, SendToLeader)]
    return sum(isinstance(message, FleetUpdateRequest) for message in sent)


def test_a_lease_starts_when_its_request_was_sent() -> None:
    freshness = core(view(1))
    freshness.heartbeat(10.0)
    freshness.receive_heartbeat_reply(reply(1, 1), 11.2)
    assert freshness.is_fresh(10.0 + ROUTER_LEASE_SECONDS - 0.01)
    assert not freshness.is_fresh(10.0 + ROUTER_LEASE_SECONDS)


def test_a_reply_with_a_newer_revision_renews_no_lease() -> None:
    freshness = core(view(1))
    freshness.heartbeat(10.0)
    effects = freshness.receive_heartbeat_reply(reply(1, 2), 10.1)
    assert update_requests(effects) == 1
    assert not freshness.is_fresh(10.1)


def test_an_older_term_and_an_older_revision_are_ignored() -> None:
    freshness = core(view(5))
    freshness.heartbeat(10.0)
    freshness.heartbeat(10.1)
    freshness.receive_heartbeat_reply(reply(1, 5, term=3), 10.1)
    freshness.receive_heartbeat_reply(reply(2, 5, term=2), 11.6)
    assert not freshness.is_fresh(11.6)
    assert freshness.receive_update(full_update(view(4)), 10.2) == []
    assert freshness.revision == 5


def test_witnesses_renew_the_lease_while_the_leader_is_unreachable() -> None:
    freshness = core(view(1))
    effects = freshness.heartbeat(10.0)
    queries = [effect for effect in effects if isinstance(effect, SendToRouter)]
    assert [effect.router_id for effect in queries] == ["b", "c"]
    query = queries[0].message
    assert isinstance(query, FreshnessQuery)
    for witness in ("b", "c"):
        answer = FreshnessReply(witness_id=witness, sequence=query.sequence, adopted_revision=1)
        freshness.receive_reply(answer, 10.1)
    assert freshness.is_fresh(10.2)
    assert not freshness.is_fresh(10.0 + ROUTER_LEASE_SECONDS)


def test_an_unregistered_router_gets_no_lease_from_witnesses() -> None:
    freshness = core(view(1, ROUTERS[1:]))
    freshness.heartbeat(10.0)
    for witness in ("b", "c"):
        answer = FreshnessReply(witness_id=witness, sequence=1, adopted_revision=1)
        freshness.receive_reply(answer, 10.1)
    assert not freshness.is_fresh(10.2)


def test_a_witness_that_was_never_fresh_does_not_reply() -> None:
    freshness = core(view(1))
    query = FreshnessQuery(router_id="b", sequence=1, adopted_revision=0)
    assert freshness.receive_query(query, "b:1", 10.0) == []
    freshness.heartbeat(10.0)
    freshness.receive_heartbeat_reply(reply(1, 1), 10.1)
    effects = freshness.receive_query(query, "b:1", 10.2)
    assert isinstance(effects[0], SendToRouter)


def test_a_missing_revision_is_requested_once_and_not_while_updates_arrive() -> None:
    freshness = core(view(1))
    gap = FleetUpdate(revision=9, configuration_version=9, base_revision=8)
    assert update_requests(freshness.receive_update(gap, 10.0)) == 1
    assert (
        update_requests(freshness.receive_update(gap, 10.0 + UPDATE_REQUEST_RETRY_SECONDS / 2)) == 0
    )
    assert update_requests(freshness.receive_update(gap, 10.0 + UPDATE_REQUEST_RETRY_SECONDS)) == 1
    freshness.receive_update(full_update(view(9)), 20.0)
    freshness.heartbeat(20.0)
    assert freshness.receive_heartbeat_reply(reply(1, 10), 20.1) == []
    freshness.heartbeat(20.0 + UPDATE_REQUEST_RETRY_SECONDS)
    assert (
        update_requests(
            freshness.receive_heartbeat_reply(reply(2, 10), 20.0 + UPDATE_REQUEST_RETRY_SECONDS)
        )
        == 1
    )


def acknowledge_delay_seconds(effects: list[FreshnessEffect]) -> float:
    [delay] = [effect.delay_seconds for effect in effects if isinstance(effect, AcknowledgeSoon)]
    return delay


def test_adopted_views_are_acknowledged_soon_and_together() -> None:
    freshness = core()
    first = freshness.receive_update(full_update(view(1)), 10.0)
    assert first == [ViewAdopted(view(1)), AcknowledgeSoon(ACKNOWLEDGE_SECONDS)]
    freshness.heartbeat(10.01)
    freshness.receive_heartbeat_reply(reply(1, 1), 10.01)
    second = freshness.receive_update(full_update(view(2)), 10.02)
    expected = ACKNOWLEDGE_PERIOD_SECONDS - 0.01
    assert abs(acknowledge_delay_seconds(second) - expected) < 1e-9


def test_a_router_without_a_lease_acknowledges_sooner() -> None:
    freshness = core()
    freshness.receive_update(full_update(view(1)), 10.0)
    freshness.heartbeat(10.01)
    second = freshness.receive_update(full_update(view(2)), 10.02)
    expected = FIRST_ACKNOWLEDGE_PERIOD_SECONDS - 0.01
    assert abs(acknowledge_delay_seconds(second) - expected) < 1e-9


def test_a_router_that_leaves_serves_no_longer_and_answers_no_query() -> None:
    """Guards against a witness that answers although the leader counts on its silence."""
    freshness = core(view(1))
    freshness.heartbeat(10.0)
    freshness.receive_heartbeat_reply(reply(1, 1), 10.1)
    query = FreshnessQuery(router_id="b", sequence=1, adopted_revision=0)
    assert freshness.receive_query(query, "b:1", 10.2)
    (sent,) = freshness.leave()
    assert isinstance(sent, SendToLeader)
    assert sent.message == RouterLeaving(router_id="a", incarnation="first")
    assert not freshness.is_fresh(10.2)
    assert freshness.receive_query(query, "b:1", 10.2) == []
    freshness.receive_heartbeat_reply(reply(1, 1), 10.3)
    assert not freshness.has_left
    recorded = RouterHeartbeatReply(term=1, sequence=0, revision=2, registered=False)
    freshness.receive_heartbeat_reply(recorded, 10.4)
    assert freshness.has_left


def test_a_router_replies_as_a_witness_only_once_the_leader_has_renewed_its_lease() -> None:
    """Guards against a restarted witness that vouches for a revision older than its departure."""
    freshness = core(view(1))
    freshness.heartbeat(10.0)
    for witness in ("b", "c"):
        freshness.receive_reply(
            FreshnessReply(witness_id=witness, sequence=1, adopted_revision=1), 10.1
        )
    assert freshness.is_fresh(10.1)
    query = FreshnessQuery(router_id="b", sequence=1, adopted_revision=0)
    (sent,) = freshness.receive_query(query, "b:1", 10.2)
    assert isinstance(sent, SendToRouter)
    assert isinstance(sent.message, FreshnessReply)
    assert sent.message.witness_id == ""
    assert sent.message.update is not None
    freshness.receive_heartbeat_reply(reply(1, 1), 10.3)
    (sent,) = freshness.receive_query(query, "b:1", 10.4)
    assert isinstance(sent, SendToRouter)
    assert isinstance(sent.message, FreshnessReply)
    assert sent.message.witness_id == "a"

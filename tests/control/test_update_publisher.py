"""A leader sends fleet updates to routers that have adopted an older revision."""

from leadership_builders import apply_command, router_record, sent_messages

from orchidpath.control.leadership.update_publisher import MAX_CACHED_UPDATES, UpdatePublisher
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import RegisterRouter
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import FleetUpdate, FleetUpdateRequest


class PublisherFixture:
    """A replicated state and the update publisher of one leadership."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.adopted: dict[str, int] = {}
        self.output = ControlOutput()
        self.publisher = UpdatePublisher(self.state, self.adopted, self.output, 0.0)

    def register(self, number: int) -> None:
        apply_command(self.state, RegisterRouter(record=router_record(f"r{number}")))

    def request(self, router_id: str, adopted_revision: int) -> FleetUpdate:
        self.publisher.receive_request(
            router_id, FleetUpdateRequest(adopted_revision=adopted_revision)
        )
        (sent,) = self.sent()
        return sent

    def sent(self) -> list[FleetUpdate]:
        updates = []
        for _, message in sent_messages(self.output):
            assert isinstance(message, FleetUpdate)
            updates.append(message)
        return updates


def test_routers_at_one_revision_get_the_same_update_object() -> None:
    """After a restart of the fleet all routers request the view at once; it is encoded once."""
    fixture = PublisherFixture()
    fixture.register(1)
    first = fixture.request("r1", 0)
    assert all(fixture.request(f"r{number}", 0) is first for number in range(200))


def test_an_update_is_never_older_than_the_state() -> None:
    fixture = PublisherFixture()
    for number in range(1, 4 * MAX_CACHED_UPDATES):
        fixture.register(number)
        for adopted in range(number):
            update = fixture.request("r1", adopted)
            assert update == fixture.state.update_since(adopted)
            assert update.revision == fixture.state.revision


def test_a_revision_is_pushed_once_to_every_router_that_lacks_it() -> None:
    fixture = PublisherFixture()
    fixture.register(1)
    fixture.adopted.update(r1=0, r2=fixture.state.revision)
    fixture.publisher.push(0.0)
    assert [update.revision for update in fixture.sent()] == [fixture.state.revision]
    fixture.publisher.push(1.0)
    assert fixture.sent() == []


def test_revisions_within_one_period_are_pushed_together() -> None:
    fixture = PublisherFixture()
    fixture.adopted["r1"] = 0
    fixture.register(1)
    fixture.publisher.push(0.0)
    first = fixture.state.revision
    assert [update.revision for update in fixture.sent()] == [first]
    fixture.register(2)
    fixture.register(3)
    fixture.publisher.push(0.01)
    assert fixture.sent() == []
    fixture.publisher.push(0.06)
    (update,) = fixture.sent()
    assert update == fixture.state.update_since(first)

"""Announcements that a router received itself, against views of the fleet that lag behind."""

import msgspec

from orchidpath.router.fleet_link.announced_workers import AnnouncedWorkers
from orchidpath.wire.announcements import MAX_WORKERS
from orchidpath.wire.backend import Announcement
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.records import FleetView, Stage, WorkerRecord, WorkerStatus


def worker(worker_id: str) -> WorkerRecord:
    return WorkerRecord(
        worker_id=worker_id, incarnation="first", service="s", stage=Stage.DECODE, url="http://w"
    )


def view(*incarnations: str) -> FleetView:
    workers = tuple(
        WorkerRecord(
            worker_id="w", incarnation=incarnation, service="s", stage=Stage.DECODE, url="http://w"
        )
        for incarnation in incarnations
    )
    return FleetView(
        revision=1, configuration_version=1, configuration=Configuration(), workers=workers
    )


def announcement(incarnation: str, sequence: int, status: WorkerStatus) -> Announcement:
    record = msgspec.structs.replace(view(incarnation).workers[0], status=status)
    return Announcement(record=record, sequence=sequence)


def test_a_view_older_than_an_announcement_does_not_undo_it() -> None:
    announced = AnnouncedWorkers()
    announced.view_adopted(view("first"))
    assert announced.record_announcement(announcement("second", 1, WorkerStatus.DRAINING))
    announced.view_adopted(view("first"))
    assert announced.is_draining("w")
    announced.view_adopted(view("second"))
    assert announced.is_draining("w")
    assert not announced.record_announcement(announcement("second", 1, WorkerStatus.READY))
    announced.view_adopted(view("third"))
    assert not announced.is_draining("w")


def test_an_announcement_outlasts_the_absence_of_its_worker_from_a_view() -> None:
    announced = AnnouncedWorkers()
    announced.view_adopted(view("first"))
    announced.record_announcement(announcement("first", 2, WorkerStatus.DRAINING))
    announced.view_adopted(view())
    announced.view_adopted(view("first"))
    assert announced.is_draining("w")


def test_the_announcements_that_are_remembered_are_bounded() -> None:
    """Guards against a router whose memory grows with every worker that ever announced itself."""
    announced = AnnouncedWorkers()
    for number in range(MAX_WORKERS + 10):
        announced.record_announcement(Announcement(record=worker(str(number)), sequence=1))
    assert announced.remembered_count == MAX_WORKERS


def test_a_worker_that_left_the_view_and_never_announced_itself_is_forgotten() -> None:
    announced = AnnouncedWorkers()
    for _ in range(3):
        announced.view_adopted(view("first"))
        announced.view_adopted(view())
        assert announced.remembered_count == 0

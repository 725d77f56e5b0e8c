"""Announcements of an emulated back end: addresses and due times."""

import pytest
from emulator_harness import make_record

from orchidpath.emulators.backend.announcing import Announcer
from orchidpath.wire.backend import AnnouncementReply
from orchidpath.wire.records import Stage


def test_announcements_continue_at_a_reachable_address_and_leave_an_unreachable_one() -> None:
    announcer = Announcer("w1", ["one", "two"])
    record = make_record("w1", Stage.DECODE)
    sent = []
    for reply in (None, None, AnnouncementReply(accepted=True, announce_to=("three",)), None):
        plan = announcer.next_plan(record, 0.0)
        assert plan is not None
        sent.append((plan.address, plan.announcement.sequence))
        announcer.on_reply(reply, 0.0)
    addresses = [address for address, _ in sent]
    assert sorted(addresses[:2]) == ["one", "two"]
    assert addresses[2] == addresses[3] == addresses[0]
    assert [sequence for _, sequence in sent] == [1, 2, 3, 4]
    assert announcer.addresses == ["one", "two", "three"]


def test_announcements_are_due_by_change_by_failure_and_by_period() -> None:
    announcer = Announcer("w1", ["one", "two"])
    record = make_record("w1", Stage.DECODE)
    assert announcer.due_in(record, 0.0) == 0.0
    announcer.next_plan(record, 0.0)
    assert announcer.due_in(record, 0.0) == 0.5
    assert announcer.due_in(make_record("w1", Stage.PREFILL), 0.0) == 0.0
    announcer.on_reply(None, 0.1)
    assert announcer.due_in(record, 0.1) == 0.0
    announcer.next_plan(record, 0.1)
    announcer.on_reply(None, 0.2)
    assert announcer.due_in(record, 0.2) == pytest.approx(0.4)

"""The memory that the requests of all callers take together."""

from random import Random

import pytest

from orchidpath.common.request_memory import (
    COMPLETE_LARGE_PART,
    SMALL_REQUEST_BYTES,
    RequestMemory,
    RequestShare,
)

LIMIT = 1_000_000


class Requests:
    """Requests that record in which order they were shed."""

    def __init__(self, limit_bytes: int = LIMIT) -> None:
        self.memory = RequestMemory(limit_bytes)
        self.shed: list[int] = []
        self.shares: list[RequestShare] = []

    def add(self, size_bytes: int, *, complete: bool = False) -> RequestShare:
        number = len(self.shares)
        share = self.memory.new_share(lambda: self.shed.append(number))
        self.shares.append(share)
        share.resize(size_bytes)
        if complete:
            assert share.try_complete()
        return share


def test_the_oldest_incomplete_requests_are_shed_first() -> None:
    """Guards against incomplete bodies that take all memory, or the place of a new request."""
    requests = Requests()
    for _ in range(12):
        requests.add(100_000)
    assert requests.shed == [0, 1]
    assert requests.memory.held_bytes == LIMIT
    assert requests.memory.shed_count == 2


def test_a_complete_request_is_never_shed_for_another() -> None:
    """Guards against a request that is refused although it is being executed."""
    requests = Requests()
    complete = requests.add(700_000, complete=True)
    for _ in range(10):
        requests.add(200_000)
    assert 0 not in requests.shed
    assert complete.size_bytes == 700_000


def test_a_complete_request_whose_caller_sends_on_is_shed_when_nothing_else_is_left() -> None:
    requests = Requests()
    requests.add(SMALL_REQUEST_BYTES, complete=True).resize(LIMIT + 1)
    assert requests.shed == [0]
    assert requests.memory.held_bytes == 0


def test_large_complete_requests_leave_room_for_small_ones() -> None:
    """Guards against large requests in progress that leave ordinary callers without an answer."""
    requests = Requests()
    while requests.memory.complete_bytes + 100_000 <= COMPLETE_LARGE_PART * LIMIT:
        requests.add(100_000, complete=True)
    assert not requests.add(100_000).try_complete()
    requests.shares[-1].release()
    assert requests.add(SMALL_REQUEST_BYTES).try_complete()


def test_the_limit_has_room_for_the_largest_request_that_is_permitted() -> None:
    """Guards against a single request inside the limits that is refused in calm."""
    requests = Requests(limit_bytes=1000)
    requests.memory.permit(50_000)
    share = requests.add(50_000)
    assert share.try_complete()
    assert requests.shed == []


def test_a_share_can_be_used_again_after_its_release() -> None:
    requests = Requests()
    share = requests.add(500_000, complete=True)
    share.release()
    share.release()
    assert (requests.memory.held_bytes, requests.memory.complete_bytes) == (0, 0)
    share.resize(LIMIT)
    assert not share.is_complete
    requests.add(1)
    assert requests.shed == [0]


@pytest.mark.parametrize("seed", range(30))
def test_the_sums_are_those_of_the_shares_whatever_happens(seed: int) -> None:
    random = Random(seed)
    requests = Requests()
    for _ in range(400):
        shares = requests.shares
        match random.choice(["add", "resize", "complete", "release"]):
            case "add":
                requests.add(random.randrange(300_000))
            case "resize" if shares:
                random.choice(shares).resize(random.randrange(300_000))
            case "complete" if shares:
                share = random.choice(shares)
                if not share.is_complete:
                    share.try_complete()
            case "release" if shares:
                random.choice(shares).release()
            case _:
                pass
        assert requests.memory.held_bytes == sum(share.size_bytes for share in shares)
        complete = [share.size_bytes for share in shares if share.is_complete]
        assert requests.memory.complete_bytes == sum(complete)
        assert requests.memory.held_bytes <= max(LIMIT, sum(complete))

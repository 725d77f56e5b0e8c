"""The bound on the response bodies that are held for callers."""

from orchidpath.common.response_memory import HeldResponse, ResponseMemory


class Responses:
    """Responses of one memory, and the names of those that were given up."""

    def __init__(self, limit_bytes: int) -> None:
        self.memory = ResponseMemory(limit_bytes)
        self.given_up: list[str] = []

    def hold(self, name: str, body: bytes) -> HeldResponse:
        return self.memory.hold(body, lambda: self.given_up.append(name))


def test_responses_that_send_the_same_bytes_count_once() -> None:
    responses = Responses(limit_bytes=150)
    body = bytes(100)
    held = [responses.hold(str(number), body) for number in range(10)]
    assert responses.memory.held_bytes == 100
    for response in held:
        responses.memory.release(response)
    assert responses.memory.held_bytes == 0
    assert responses.given_up == []


def test_the_oldest_responses_are_given_up_for_a_further_one() -> None:
    """Guards against a process that runs out of memory over responses nobody reads."""
    responses = Responses(limit_bytes=250)
    for number in range(4):
        responses.hold(str(number), bytes([number]) * 100)
    assert responses.given_up == ["0", "1"]
    assert responses.memory.held_bytes == 200
    assert responses.memory.given_up_count == 2


def test_all_responses_that_send_a_body_are_given_up_before_its_memory_is_free() -> None:
    responses = Responses(limit_bytes=150)
    body = bytes(100)
    responses.hold("a", body)
    responses.hold("b", body)
    responses.hold("c", b"x" * 100)
    assert responses.given_up == ["a", "b"]
    assert responses.memory.held_bytes == 100


def test_a_body_above_the_limit_is_sent_alone() -> None:
    responses = Responses(limit_bytes=50)
    responses.hold("a", bytes(20))
    responses.hold("large", bytes(100))
    assert responses.given_up == ["a"]
    assert responses.memory.held_bytes == 100


def test_a_response_that_was_given_up_can_be_released_again() -> None:
    responses = Responses(limit_bytes=150)
    first = responses.hold("a", bytes(100))
    second = responses.hold("b", b"x" * 100)
    responses.memory.release(first)
    assert responses.memory.held_bytes == 100
    responses.memory.release(second)
    assert responses.memory.held_bytes == 0

"""Verification of streams and bodies by a caller."""

import json

from hypothesis import given
from hypothesis import strategies as st

from orchidpath.emulators.backend.answers import answer_tokens, expected_call_body, expected_text
from orchidpath.emulators.client.caller_report import RequestResult
from orchidpath.emulators.client.return_policy import ReturnPolicy, may_return
from orchidpath.emulators.client.traffic_mix import TrafficKind
from orchidpath.emulators.client.verification import Outcome, StreamVerifier, judge_call

ERROR = b'event: error\ndata: {"error": {"code": "stream_broken", "ran": "yes"}}\n\n'
DONE = b"data: [DONE]\n\n"


def chunk(content: str | None, finish_reason: str | None = None) -> bytes:
    delta = {} if content is None else {"content": content}
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    body = {"id": "c", "object": "chat.completion.chunk", "choices": [choice]}
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def whole_stream(request_id: str, max_tokens: int) -> list[bytes]:
    tokens = [chunk(token) for token in answer_tokens(request_id, max_tokens)]
    return [*tokens, chunk(None, "stop"), DONE]


def judge(pieces: list[bytes], clean_end: bool = True, max_tokens: int = 4) -> Outcome:
    verifier = StreamVerifier("r", max_tokens)
    for piece in pieces:
        verifier.feed(piece)
    return verifier.judge(clean_end)


@given(st.integers(0, 12), st.integers(1, 200))
def test_a_complete_response_is_recognised_for_any_chunks(max_tokens: int, size: int) -> None:
    body = b"".join(whole_stream("r", max_tokens))
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    assert judge(pieces, max_tokens=max_tokens) is Outcome.ANSWERED


@given(st.integers(0, 5))
def test_any_lost_event_is_a_violation_if_the_end_is_clean(lost: int) -> None:
    stream = whole_stream("r", 4)
    del stream[lost]
    expected = Outcome.INCOMPLETE_BUT_CLEAN if lost >= 3 else Outcome.WRONG_CONTENT
    assert judge(stream) is expected


@given(st.integers(0, 5))
def test_an_aborted_response_is_no_violation(kept: int) -> None:
    stream = whole_stream("r", 4)[:kept]
    assert judge(stream, clean_end=False) is Outcome.BROKEN
    assert judge([*stream, ERROR]) is Outcome.BROKEN
    assert judge(stream, clean_end=True) is Outcome.INCOMPLETE_BUT_CLEAN


def test_content_of_another_request_is_a_violation_even_if_aborted() -> None:
    assert judge(whole_stream("other", 4)) is Outcome.WRONG_CONTENT
    assert judge(whole_stream("other", 4)[:1], clean_end=False) is Outcome.WRONG_CONTENT
    assert judge([*whole_stream("r", 4)[:-1], chunk("more "), DONE]) is Outcome.WRONG_CONTENT


def test_done_after_partial_content_is_incomplete_even_if_the_body_is_aborted() -> None:
    stream = [chunk(expected_text("r", 3)), chunk(None, "stop"), DONE]
    assert judge(stream, clean_end=False) is Outcome.INCOMPLETE_BUT_CLEAN


def test_plain_bodies() -> None:
    body = expected_call_body("r", "GET", "/stock/7")
    assert judge_call(body, "r", "GET", "/stock/7") is Outcome.ANSWERED
    reformatted = json.dumps(json.loads(body), indent=2).encode()
    assert judge_call(reformatted, "r", "GET", "/stock/7") is Outcome.ANSWERED
    assert judge_call(body, "other", "GET", "/stock/7") is Outcome.WRONG_CONTENT
    assert judge_call(b"", "r", "GET", "/stock/7") is Outcome.INCOMPLETE_BUT_CLEAN


def test_only_calls_that_were_not_executed_are_retried() -> None:
    def result(
        outcome: Outcome, ran: str = "", attempts: int = 1, retry_after_seconds: float | None = None
    ) -> RequestResult:
        return RequestResult(
            request_id="r",
            stream="s",
            kind=TrafficKind.PLAIN,
            outcome=outcome,
            ran=ran,
            status=503,
            attempts=attempts,
            retry_after_seconds=retry_after_seconds,
        )

    policy = ReturnPolicy(max_returns=2)
    assert may_return(result(Outcome.REFUSED, "no"), policy)
    assert may_return(result(Outcome.REFUSED, "", retry_after_seconds=1.0), policy)
    assert may_return(result(Outcome.UNREACHABLE), policy)
    assert not may_return(result(Outcome.REFUSED, "unknown", retry_after_seconds=1.0), policy)
    assert not may_return(result(Outcome.REFUSED, "yes", retry_after_seconds=1.0), policy)
    assert not may_return(result(Outcome.REFUSED), policy)
    assert not may_return(result(Outcome.BROKEN, "no"), policy)
    assert not may_return(result(Outcome.REFUSED, "no", attempts=3), policy)

"""HTTP forms of errors: the Retry-After header and the statuses."""

import pytest

from orchidpath.router.chat.http_errors import STATUS_BY_CODE, retry_after_header
from orchidpath.wire.backend import ErrorCode


@pytest.mark.parametrize(("seconds", "header"), [(0.0, "1"), (0.2, "1"), (1.0, "1"), (1.01, "2")])
def test_retry_after_is_rounded_up_and_at_least_one(seconds: float, header: str) -> None:
    assert retry_after_header(seconds) == header


def test_circuit_and_rate_limit_errors_have_their_specified_statuses() -> None:
    assert STATUS_BY_CODE[ErrorCode.ALL_CIRCUITS_OPEN] == 503
    assert STATUS_BY_CODE[ErrorCode.RATE_LIMITED] == 429

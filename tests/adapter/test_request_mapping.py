"""Headers and bodies of requests, dispatches and responses on the platform."""

import pytest

from orchidpath.router.proxy.protocol_mapping import (
    DispatchMetadata,
    MalformedRequestError,
    WorkerLoad,
)
from request_mapping import PlatformProtocolMapping

REQUEST = [
    (b"host", b"h"),
    (b"x-request-id", b"q1"),
    (b"x-model", b"m"),
    (b"x-token-usage", b"1460,80"),
    (b"x-prefix-hash", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"x-deadline-ms", b"8000"),
    (b"x-stage", b"prefill"),
    (b"connection", b"keep-alive"),
    (b"x-other", b"kept"),
]


def test_request_headers_are_decoded() -> None:
    request_metadata = PlatformProtocolMapping().read_request(REQUEST)
    assert request_metadata.request_id == "q1"
    assert request_metadata.deadline_seconds == 8.0
    assert request_metadata.prompt.shared_tokens == 1210
    assert request_metadata.prompt.own_tokens == 250
    other = [*REQUEST[:4], (b"x-prefix-hash", b"5c1e07a2:800,91bd3f06:410,0a0a0a0a:9")]
    assert PlatformProtocolMapping().read_request(other).prefix_key == request_metadata.prefix_key
    with pytest.raises(MalformedRequestError):
        PlatformProtocolMapping().read_request([(b"host", b"h")])


def test_a_dispatch_has_only_the_router_headers_that_the_router_set() -> None:
    dispatch = DispatchMetadata(
        worker_id="i-1", deadline_seconds=2.5, priority=1, cache_source="10.0.0.1:80/h"
    )
    headers = PlatformProtocolMapping().dispatch_headers(REQUEST, dispatch)
    values = dict(headers)
    assert values[b"x-target-instance"] == b"i-1"
    assert values[b"x-deadline-ms"] == b"2500"
    assert values[b"x-kv-source"] == b"10.0.0.1:80/h"
    assert values[b"x-other"] == b"kept"
    assert b"x-stage" not in values
    assert b"connection" not in values


def test_response_headers_are_decoded() -> None:
    protocol_mapping = PlatformProtocolMapping()
    response_metadata = protocol_mapping.read_response(
        503, [(b"x-not-executed", b"1"), (b"x-server-load", b"6,2,6")]
    )
    assert response_metadata.guarantees_not_executed
    assert response_metadata.load == WorkerLoad(6, 2, 6)
    assert response_metadata.load.is_full
    assert not response_metadata.is_signed
    assert protocol_mapping.read_response(421, []).guarantees_not_executed
    assert not protocol_mapping.read_response(
        503, [(b"x-server-load", b"many")]
    ).guarantees_not_executed
    assert protocol_mapping.read_response(200, [(b"content-encoding", b"gzip")]).is_encoded
    result = protocol_mapping.read_prefill_result(b'{"kv_handle":"h","tokens":1,"version":4}')
    assert result is not None
    assert (result.handle, result.version) == ("h", 4)
    assert protocol_mapping.read_prefill_result(b"{}") is None

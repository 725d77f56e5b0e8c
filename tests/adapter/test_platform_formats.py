"""Names and formats of the adapter: settings, documents, headers and orders."""

import json
from pathlib import Path

import pytest
from platform_world import PlatformWorld, document

from command_format import PlatformCommandFormat
from configuration_format import InvalidDocumentError, Policies, StagePolicy, read_document
from node_settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    UnreadableSettingsError,
    control_settings,
    load_node_settings,
    router_settings,
    settings_stamp,
)
from orchidpath.common.errors import OrchidpathError
from orchidpath.common.settings_file import load_settings
from orchidpath.router.proxy.protocol_mapping import (
    DispatchMetadata,
    MalformedRequestError,
    WorkerLoad,
)
from orchidpath.wire.backend import WorkerCommand, WorkerCommandKind
from orchidpath.wire.configuration import Repetition, ServiceKind
from orchidpath.wire.records import Stage
from request_mapping import PlatformProtocolMapping

ROOT = Path(__file__).parents[2]


def test_settings_are_read_and_unknown_fields_ignored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "node.json"
    path.write_bytes(PlatformWorld(tmp_path).settings_file(1))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    node = load_node_settings()
    control = control_settings(node)
    router = router_settings(node)
    assert control.formation_members == control.seeds
    assert control.target_voters == 3
    assert control.may_vote
    assert router.wire_address != control.wire_address
    assert router.seeds == control.seeds
    before = settings_stamp()
    path.write_bytes(PlatformWorld(tmp_path).settings_file(2) + b" ")
    assert settings_stamp() != before


@pytest.mark.parametrize("content", [b"", b"{", b"{}", b'{"node_name": 3}'])
def test_damaged_settings_are_named(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, content: bytes
) -> None:
    path = tmp_path / "node.json"
    path.write_bytes(content)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    with pytest.raises(UnreadableSettingsError, match=r"node\.json"):
        load_node_settings()
    monkeypatch.delenv(SETTINGS_VARIABLE)
    with pytest.raises(UnreadableSettingsError, match=SETTINGS_VARIABLE):
        load_node_settings()


def test_a_machine_without_a_disk_never_votes() -> None:
    node = NodeSettings(
        node_name="n",
        ip="10.0.0.1",
        listen={"control": "10.0.0.1:1"},
        internal_ports=[7, 9],
        seeds=["10.0.0.2:1"],
        bootstrap=False,
        data_dir=None,
    )
    settings = control_settings(node)
    assert not settings.may_vote
    assert settings.formation_members == []


def test_a_document_becomes_a_configuration() -> None:
    policies = Policies(stages=StagePolicy(decode_share=0.2, least_decode_workers=2))
    configuration = read_document(document(9), policies)
    assert configuration.label == 9
    stock, advice = configuration.forward_routes
    assert (stock.repetition, stock.streaming) == (Repetition.NEVER, False)
    assert advice.streaming
    assert advice.prefix_affinity
    assert advice.timeout_seconds == 4.0
    plain, model = configuration.services
    assert plain.kind is ServiceKind.PLAIN
    assert model.kind is ServiceKind.MODEL
    assert model.models == ["m"]
    assert model.balanced_decode_share == 0.2
    assert configuration.edge_limits.idle_timeout_seconds == 15.0


@pytest.mark.parametrize(
    ("kind", "resumable", "repetition"),
    [
        ("safe", False, Repetition.WHOLE),
        ("unsafe", False, Repetition.NEVER),
        ("streaming", True, Repetition.RESUMED),
        ("streaming", False, Repetition.NEVER),
        ("a kind of later days", False, Repetition.NEVER),
    ],
)
def test_what_may_be_repeated(kind: str, resumable: bool, repetition: Repetition) -> None:
    route = {
        "name": "r",
        "hostname": "h",
        "path_prefix": "/",
        "route_type": kind,
        "timeout_ms": 10,
        "service": "stock-api",
        "resumable": resumable,
    }
    configuration = read_document(document(3, routes=[route]), Policies())
    assert configuration.forward_routes[0].repetition is repetition


def test_all_problems_are_named_at_once() -> None:
    routes = json.loads(document(1))["routes"]
    broken = [{**routes[0], "timeout_ms": 0, "service": "nobody"}]
    with pytest.raises(InvalidDocumentError) as caught:
        read_document(document(3, routes=broken), Policies())
    assert "timeout_seconds" in str(caught.value)
    assert "nobody" in str(caught.value)


def test_the_deployed_policies_are_valid() -> None:
    policies = load_settings(ROOT / "deploy" / "policies.toml", Policies)
    assert read_document(document(3), policies).circuit == policies.circuit


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


def test_a_request_is_read() -> None:
    request_metadata = PlatformProtocolMapping().read_request(REQUEST)
    assert request_metadata.request_id == "q1"
    assert request_metadata.deadline_seconds == 8.0
    assert request_metadata.prompt.shared_tokens == 1210
    assert request_metadata.prompt.own_tokens == 250
    other = [*REQUEST[:4], (b"x-prefix-hash", b"5c1e07a2:800,91bd3f06:410,0a0a0a0a:9")]
    assert PlatformProtocolMapping().read_request(other).prefix_key == request_metadata.prefix_key
    with pytest.raises(MalformedRequestError):
        PlatformProtocolMapping().read_request([(b"host", b"h")])


def test_an_order_bears_what_the_router_sets_and_nothing_else_of_it() -> None:
    order = DispatchMetadata(
        worker_id="i-1", deadline_seconds=2.5, priority=1, cache_source="10.0.0.1:80/h"
    )
    headers = PlatformProtocolMapping().dispatch_headers(REQUEST, order)
    values = dict(headers)
    assert values[b"x-target-instance"] == b"i-1"
    assert values[b"x-deadline-ms"] == b"2500"
    assert values[b"x-kv-source"] == b"10.0.0.1:80/h"
    assert values[b"x-other"] == b"kept"
    assert b"x-stage" not in values
    assert b"connection" not in values


def test_an_answer_is_read() -> None:
    protocol_mapping = PlatformProtocolMapping()
    request_metadata = protocol_mapping.read_response(
        503, [(b"x-not-executed", b"1"), (b"x-server-load", b"6,2,6")]
    )
    assert request_metadata.guarantees_not_executed
    assert request_metadata.load == WorkerLoad(6, 2, 6)
    assert request_metadata.load.is_full
    assert not request_metadata.is_signed
    assert protocol_mapping.read_response(421, []).guarantees_not_executed
    assert not protocol_mapping.read_response(
        503, [(b"x-server-load", b"many")]
    ).guarantees_not_executed
    assert protocol_mapping.read_response(200, [(b"content-encoding", b"gzip")]).is_encoded
    read = protocol_mapping.read_prefill_result(b'{"kv_handle":"h","tokens":1,"version":4}')
    assert read is not None
    assert (read.handle, read.version) == ("h", 4)
    assert protocol_mapping.read_prefill_result(b"{}") is None


def test_orders_to_workers_bear_one_holder_and_its_fence() -> None:
    form = PlatformCommandFormat("front-z-1")
    order = WorkerCommand(
        term=41,
        sequence=3,
        worker_id="i-1",
        incarnation="i-1",
        kind=WorkerCommandKind.SET_STAGE,
        stage=Stage.PREFILL,
    )
    body = json.loads(form.body(order))
    assert body == {"op": "stage", "stage": "prefill", "holder": "front-z-1", "fence": 41}
    assert form.headers(order)["X-Target-Instance"] == "i-1"
    assert form.read_answer(order, 202, b"").accepted
    assert form.read_answer(order, 200, b"").accepted
    assert not form.read_answer(order, 409, b"").accepted
    assert not form.read_answer(order, 412, b"").accepted


def test_an_unknown_switch_is_refused_with_its_name(tmp_path: Path) -> None:
    path = tmp_path / "policies.toml"
    path.write_text("[placement]\npostponment = false\n")
    with pytest.raises(OrchidpathError, match="postponment"):
        load_settings(path, Policies)
    path.write_text("[placement]\npostponement = false\n")
    policies = load_settings(path, Policies)
    assert not read_document(document(9), policies).placement.postponement

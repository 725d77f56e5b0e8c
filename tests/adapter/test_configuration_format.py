"""Conversion of the platform's configuration documents, and the deployed policies."""

import json
from pathlib import Path

import pytest
from platform_environment import document

from configuration_format import InvalidDocumentError, Policies, StagePolicy, read_document
from orchidpath.common.errors import OrchidpathError
from orchidpath.common.settings_file import load_settings
from orchidpath.wire.configuration import Repetition, ServiceKind

ROOT = Path(__file__).parents[2]


def test_a_document_is_converted_to_a_configuration() -> None:
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
def test_the_repetition_of_a_route_follows_its_type(
    kind: str, resumable: bool, repetition: Repetition
) -> None:
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


def test_all_problems_are_reported_at_once() -> None:
    routes = json.loads(document(1))["routes"]
    broken = [{**routes[0], "timeout_ms": 0, "service": "missing"}]
    with pytest.raises(InvalidDocumentError) as caught:
        read_document(document(3, routes=broken), Policies())
    assert "timeout_seconds" in str(caught.value)
    assert "missing" in str(caught.value)


def test_the_deployed_policies_are_valid() -> None:
    policies = load_settings(ROOT / "deploy" / "policies.toml", Policies)
    assert read_document(document(3), policies).circuit == policies.circuit


def test_an_unknown_policy_field_is_rejected_with_its_name(tmp_path: Path) -> None:
    path = tmp_path / "policies.toml"
    path.write_text("[placement]\npostponment = false\n")
    with pytest.raises(OrchidpathError, match="postponment"):
        load_settings(path, Policies)
    path.write_text("[placement]\npostponement = false\n")
    policies = load_settings(path, Policies)
    assert not read_document(document(9), policies).placement.postponement

"""Conversion of the platform's configuration documents, and the deployed policies."""

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_environment import document

from configuration_format import InvalidDocumentError, Policies, StagePolicy, read_document
from orchidpath.common.errors import OrchidpathError
from orchidpath.common.settings_file import load_settings
from orchidpath.state.commands import (
    SubmitConfiguration,
    configuration_digest,
    decode_command,
    encode_command,
)
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
        ("safe", True, Repetition.WHOLE),
        ("unsafe", False, Repetition.NEVER),
        ("unsafe", True, Repetition.NEVER),
        ("streaming", True, Repetition.RESUMED),
        ("streaming", False, Repetition.NEVER),
        ("a kind of later days", False, Repetition.NEVER),
        ("a kind of later days", True, Repetition.NEVER),
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


EDGE_NUMBERS = (
    st.sampled_from(
        [
            sign * (2**bits + step)
            for bits in (31, 32, 53, 63, 64, 100)
            for step in (-1, 0, 1)
            for sign in (1, -1)
        ]
    )
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
)


def number_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of every number in a decoded JSON document."""
    if isinstance(value, dict):
        return [found for key in value for found in number_paths(value[key], (*path, key))]
    if isinstance(value, list):
        return [
            found
            for index, item in enumerate(value)
            for found in number_paths(item, (*path, index))
        ]
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return [path] if is_number else []


DOCUMENT = json.loads(document(3))
NUMBER_PATHS = number_paths(DOCUMENT)


@settings(deadline=None, derandomize=True, max_examples=500)
@given(path=st.sampled_from(NUMBER_PATHS), number=EDGE_NUMBERS)
def test_every_accepted_document_can_be_written_to_the_log(
    path: tuple[Any, ...], number: float
) -> None:
    """Guards against a number that passes the checks and ends the leader that appends it."""
    changed = json.loads(document(3))
    holder = changed
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = number
    try:
        configuration = read_document(json.dumps(changed).encode(), Policies())
    except InvalidDocumentError:
        return
    command = SubmitConfiguration(
        order_id="a",
        base_version=0,
        configuration=configuration,
        digest=configuration_digest(0, configuration),
    )
    assert decode_command(encode_command(command)) == command

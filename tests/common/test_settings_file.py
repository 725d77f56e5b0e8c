import json
import math
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidpath.common.settings import ControlSettings, RouterSettings
from orchidpath.common.settings_errors import SettingsError
from orchidpath.common.settings_file import (
    convert_settings,
    decode_table,
    load_settings,
    read_table,
)
from orchidpath.common.typed_walk import find_mismatches
from orchidpath.wire.configuration import Configuration

ROUTER: dict[str, Any] = {
    "node_id": "router-1",
    "fleet": "vinbrug",
    "zone": "north",
    "wire_address": "127.0.0.1:7001",
    "http_address": "127.0.0.1:8001",
    "seeds": ["127.0.0.1:7001", "127.0.0.1:7002", "[::1]:7003"],
}
CONTROL: dict[str, Any] = {**ROUTER, "data_folder": "data"}

TOML = """
node_id = "router-1"
fleet = "vinbrug"
wire_address = "127.0.0.1:7001"
http_address = "127.0.0.1:8001"
seeds = ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"]
drain_seconds = 3
"""


def problem_paths(table: dict[str, Any], expected: type[msgspec.Struct]) -> set[str]:
    with pytest.raises(SettingsError) as caught:
        convert_settings(table, "file", expected)
    return {problem.path for problem in caught.value.problems}


def test_toml_and_json_give_the_same_settings(tmp_path: Path) -> None:
    toml_file = tmp_path / "router.toml"
    toml_file.write_text(TOML)
    from_toml = load_settings(toml_file, RouterSettings)
    assert from_toml.drain_seconds == 3.0
    json_file = tmp_path / "router.json"
    json_file.write_bytes(msgspec.json.encode(from_toml))
    assert load_settings(json_file, RouterSettings) == from_toml


def test_every_type_problem_is_reported_at_once() -> None:
    table = {
        **CONTROL,
        "zone": 7,
        "seeds": ["127.0.0.1:7001", 7, "127.0.0.1:7003", False],
        "target_voters": "three",
        "drain_secconds": 1.0,
    }
    del table["node_id"]
    expected = {"zone", "seeds[1]", "seeds[3]", "target_voters", "drain_secconds", "node_id"}
    assert problem_paths(table, ControlSettings) == expected


def test_every_failed_check_is_reported_at_once() -> None:
    table = {
        **CONTROL,
        "node_id": "two words",
        "wire_address": "localhost:7001",
        "http_address": "0.0.0.0:0",
        "seeds": ["127.0.0.1:7001", "127.0.0.1:7001", "127.0.0.1:70000", "10.0.0.1"],
        "target_voters": 0,
        "drain_seconds": -1.0,
        "replace_voter_after_seconds": math.inf,
        "log_level": "loud",
        "data_folder": "",
    }
    assert problem_paths(table, ControlSettings) == {
        "node_id",
        "wire_address",
        "http_address",
        "seeds",
        "seeds[1]",
        "seeds[2]",
        "seeds[3]",
        "target_voters",
        "drain_seconds",
        "replace_voter_after_seconds",
        "log_level",
        "data_folder",
    }


def test_two_roles_at_one_address_are_rejected() -> None:
    table = {**ROUTER, "http_address": ROUTER["wire_address"]}
    assert problem_paths(table, RouterSettings) == {"http_address"}


def test_problem_is_one_line_with_file_path_and_expectation() -> None:
    with pytest.raises(SettingsError) as caught:
        convert_settings({**ROUTER, "drain_seconds": 0}, "router.toml", RouterSettings)
    (problem,) = caught.value.problems
    assert str(problem).startswith("router.toml: drain_seconds: expected seconds above 0")
    assert "\n" not in str(problem)


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("broken.toml", "node_id = "),
        ("broken.json", "{"),
        ("constant.json", '{"drain_seconds": NaN}'),
        ("list.json", "[]"),
        ("router.yaml", "node_id: a"),
        ("deep.json", "[" * 200_000),
    ],
)
def test_unreadable_files_are_one_problem(tmp_path: Path, name: str, text: str) -> None:
    path = tmp_path / name
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, RouterSettings)
    assert len(caught.value.problems) == 1
    assert caught.value.problems[0].file == str(path)


def test_missing_file_and_folder_are_problems(tmp_path: Path) -> None:
    for path in (tmp_path / "none.toml", tmp_path):
        with pytest.raises(SettingsError):
            read_table(path)


@given(noise=st.binary(max_size=300), suffix=st.sampled_from([".toml", ".json"]))
def test_random_bytes_are_rejected(noise: bytes, suffix: str) -> None:
    with pytest.raises(SettingsError):
        convert_settings(decode_table(Path(f"noise{suffix}"), noise), "noise", RouterSettings)


@given(noise=st.text(alphabet="[]{}=\"'.,:#\n ab01-_", max_size=200))
def test_random_toml_like_text_is_rejected(noise: str) -> None:
    with pytest.raises(SettingsError):
        table = decode_table(Path("noise.toml"), noise.encode())
        convert_settings(table, "noise", RouterSettings)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=6,
)


@given(field=st.sampled_from(sorted([*CONTROL, "target_voters", "log_level"])), value=JSON_VALUES)
def test_a_random_value_is_accepted_or_reported(field: str, value: object) -> None:
    table = {**CONTROL, field: value}
    try:
        settings = convert_settings(table, "file", ControlSettings)
    except SettingsError as error:
        paths = {problem.path for problem in error.problems}
        # The address of one role may also be reported as equal to the other's.
        assert all(path.split("[")[0] in (field, "http_address") for path in paths)
    else:
        assert json.loads(msgspec.json.encode(settings))[field] == value


@given(
    table=st.fixed_dictionaries(
        {},
        optional={"services": JSON_VALUES, "routes": JSON_VALUES, "retry": JSON_VALUES},
    )
)
def test_walk_agrees_with_conversion(table: dict[str, Any]) -> None:
    mismatches = find_mismatches(table, Configuration)
    try:
        msgspec.convert(table, Configuration)
    except msgspec.ValidationError:
        assert mismatches
    else:
        assert not mismatches

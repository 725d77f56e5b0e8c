"""Settings files as operators write them, and the values that are read from them."""

import tomllib
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

import msgspec
from http_samples import full_sample, plain_value, struct_info

from configuration_format import Policies
from control_program import POLICIES_FILE, load_policies
from node_settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    control_settings,
    load_node_settings,
    router_settings,
)
from orchidpath.common.settings import SEED_COUNT, ControlSettings, RouterSettings
from orchidpath.common.settings_file import load_settings

ROOT = Path(__file__).parents[2]

SHORT_ROUTER = """\
node_id = "r1"
fleet = "f"
wire_address = "127.0.0.1:7001"
http_address = "127.0.0.1:8001"
seeds = ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"]
"""
LONG_ROUTER = (
    SHORT_ROUTER
    + """\
zone = "z"
log_level = "debug"
drain_seconds = 3.5
forward_address = "127.0.0.1:9001"
decision_timeout_seconds = 0.5
decision_log = "/tmp/decisions"
fault_file = "/tmp/faults"
"""
)
SHORT_CONTROL = SHORT_ROUTER.replace("r1", "c1") + 'data_folder = "/tmp/data"\n'
SHORT_NODE = (
    b'{"node_name":"n1","ip":"10.0.0.1","internal_ports":[7660,7675],'
    b'"listen":{"front":"10.0.0.1:8144","ready":"10.0.0.1:8140","control":"10.0.0.1:8146"},'
    b'"seeds":["10.0.0.1:8146","10.0.0.2:8146","10.0.0.3:8146"]}'
)
LONG_NODE = SHORT_NODE[:-1] + (
    b',"zone":"z","bootstrap":true,"data_dir":"/data","heartbeat_ms":500,"unknown":1,'
    b'"bounds":{"grace_s":2.0,"retry_budget_ratio":0.25,"retry_window_s":5,"retry_slack":50},'
    b'"fault_tolerance":{"machines":2}}'
)


def settings_read() -> dict[str, Any]:
    """Return every settings file of the corpus with the values that the current code reads."""
    return {
        "variable of the platform's settings": SETTINGS_VARIABLE,
        "number of seeds": SEED_COUNT,
        "settings of a router": fields_of(RouterSettings),
        "settings of a control process": fields_of(ControlSettings),
        "settings of the platform": fields_of(NodeSettings),
        "files": [
            read_file("router", SHORT_ROUTER),
            read_file("router", LONG_ROUTER),
            read_file("control", SHORT_CONTROL),
        ],
        "platform": [read_node(SHORT_NODE.decode()), read_node(LONG_NODE.decode())],
        "policies": read_policies((ROOT / POLICIES_FILE).read_text()),
    }


def fields_of(settings: type[msgspec.Struct]) -> dict[str, Any]:
    """Return the default and a sample value of each setting, by the name of the setting."""
    form = full_sample(settings)
    return {
        field.encode_name: {
            "required": field.required,
            "default": default_of(field),
            "form": plain_value(form[field.encode_name]),
        }
        for field in struct_info(settings).fields
    }


def default_of(field: msgspec.inspect.Field) -> Any:
    """Return the default of a setting as plain JSON; None if it has no default."""
    if field.default is not msgspec.NODEFAULT:
        return plain_value(field.default)
    if field.default_factory is not msgspec.NODEFAULT:
        return plain_value(field.default_factory())
    return None


KINDS: dict[str, type[msgspec.Struct]] = {
    "router": RouterSettings,
    "control": ControlSettings,
    "policies": Policies,
}


def read_file(kind: str, text: str) -> dict[str, Any]:
    """Return a settings file and its values, which must be the same from TOML and from JSON."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        path.write_text(text)
        value = plain_value(load_settings(path, KINDS[kind]))
        path = path.with_suffix(".json")
        path.write_bytes(msgspec.json.encode(tomllib.loads(text)))
        assert plain_value(load_settings(path, KINDS[kind])) == value
    return {"kind": kind, "text": text, "value": value}


def read_node(text: str) -> dict[str, Any]:
    """Return a settings file of the platform and the settings that are derived from it."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        path.write_text(text)
        with patch.dict("os.environ", {SETTINGS_VARIABLE: str(path)}):
            node = load_node_settings()
    with patch("control_program.POLICIES_FILE", ROOT / POLICIES_FILE):
        policies = load_policies(node)
    return {
        "text": text,
        "router": plain_value(router_settings(node)),
        "control": plain_value(control_settings(node)),
        "retry policy": plain_value(policies.retry),
    }


def read_policies(text: str) -> dict[str, Any]:
    """Return the policies file of a deployment and the values that are read from it."""
    return read_file("policies", text)

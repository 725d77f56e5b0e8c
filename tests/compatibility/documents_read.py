"""Configurations in each form that operators send, and the values that the code reads from them."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec
from http_samples import full_sample, plain_value

from configuration_format import (
    Policies,
    StagePolicy,
    changed_document,
    read_change,
    read_document,
)
from orchidpath.fleet.file import convert_fleet
from orchidpath.state.commands import configuration_digest
from orchidpath.state.configuration_checks.validation import parse_configuration
from orchidpath.wire.configuration import Configuration

ROOT = Path(__file__).parents[2]
EXAMPLES = ("agency.toml", "vinbrug.toml")
POLICIES = Policies(stages=StagePolicy(decode_share=0.25, least_decode_workers=2))
BASE_VERSION = 3

SHORT_DOCUMENT = '{"version":1,"routes":[],"services":[]}'
LONG_DOCUMENT = (
    '{"version":9,"kept":{"as":[1,2.50]},"routes":['
    '{"name":"stock","hostname":"shop.example","path_prefix":"/stock/","route_type":"safe",'
    '"timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"stock-api",'
    '"max_attempts":2},'
    '{"name":"orders","hostname":"shop.example","path_prefix":"/orders/","route_type":"unsafe",'
    '"timeout_ms":2500.5,"service":"stock-api","max_attempts":0},'
    '{"name":"advice","hostname":"shop.example","path_prefix":"/advice/",'
    '"route_type":"streaming","timeout_ms":4000,"target_latency_ms":600,"target_gap_ms":300,'
    '"traffic_split":[{"service":"wine","weight":3},{"service":"wine-next","weight":1}],'
    '"sticky_sessions":true,"resumable":true}],'
    '"services":[{"name":"stock-api","max_connections":100,"protocol":"h1"},'
    '{"name":"wine","max_connections":390,"engine":{"slots":64,"kv_capacity_tokens":400000,'
    '"kv_token_bytes":18432,"handle_ttl_s":5.0,"stage_switch_s":2.25,"models":[{"name":"m"}]}},'
    '{"name":"wine-next","engine":{"models":[{"name":"m"}]}}],'
    '"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,'
    '"idle_timeout_ms":15000}}'
)
CHANGES = (
    '{"version":10}',
    '{"version":11,"upsert":{"routes":[{"name":"orders","hostname":"shop.example",'
    '"path_prefix":"/orders/new/","timeout_ms":1000,"service":"stock-api"}]},'
    '"remove":{"routes":["stock"]}}',
)


def documents() -> dict[str, Any]:
    """Return every document of the corpus with the value that the current code reads from it."""
    configurations = [
        "{}",
        msgspec.json.encode({"services": [{"name": "stock", "kind": "plain"}]}).decode(),
    ]
    return {
        "examples": {
            name: read_fleet_file((ROOT / "examples" / name).read_text()) for name in EXAMPLES
        },
        "configurations": [read_configuration(text) for text in configurations],
        "configuration with every field": read_unchecked(full_configuration()),
        "platform documents": [read_platform(text) for text in (SHORT_DOCUMENT, LONG_DOCUMENT)],
        "platform changes": [read_platform_change(LONG_DOCUMENT, change) for change in CHANGES],
    }


def full_configuration() -> str:
    """Return a configuration with every field set; its fields may contradict each other."""
    return msgspec.json.encode(full_sample(Configuration)).decode()


def read_fleet_file(text: str) -> dict[str, Any]:
    """Return the text of a fleet file and the values that are read from it."""
    fleet = convert_fleet(tomllib.loads(text), "fleet.toml")
    return {
        "text": text,
        "value": plain_value(fleet),
        "configuration": written(fleet.configuration),
    }


def read_configuration(text: str) -> dict[str, Any]:
    """Return the text of a valid configuration and the form in which the code writes it."""
    return {"text": text, "configuration": written(parse_configuration(text.encode()))}


def read_unchecked(text: str) -> dict[str, Any]:
    """Return the text of a configuration and its written form; checks only the types."""
    configuration = msgspec.json.decode(text, type=Configuration)
    return {"text": text, "configuration": written(configuration)}


def read_platform(text: str) -> dict[str, Any]:
    """Return the text of a platform document and the configuration that is read from it."""
    return {"text": text, "configuration": written(read_document(text.encode(), POLICIES))}


def read_platform_change(text: str, change: str) -> dict[str, Any]:
    """Return a document and a change, and the changed document and its configuration."""
    changed = changed_document(text.encode(), read_change(change.encode()), POLICIES)
    return {
        "text": text,
        "change": change,
        "document": changed.document.decode(),
        "configuration": written(changed.configuration),
    }


def written(configuration: Configuration) -> dict[str, str]:
    """Return the JSON text of a configuration and the digest of an update that contains it."""
    return {
        "encoded": msgspec.json.encode(configuration).decode(),
        "digest": configuration_digest(BASE_VERSION, configuration),
    }

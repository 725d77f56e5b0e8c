"""No source in `src/` uses the platform's names or imports the modules of `platform/`.

Everything that depends on the platform is in `platform/` and `deploy/`.
"""

import ast
from pathlib import Path

import msgspec
import pytest

from orchidpath.router.proxy.protocol_mapping import HeaderNames
from request_mapping import HEADER_NAMES

ROOT = Path(__file__).parents[2]
SOURCES = sorted((ROOT / "src").rglob("*.py"))
ADAPTER_MODULES = frozenset(path.stem for path in (ROOT / "platform").glob("*.py"))

OTHER_NAMES = (
    "kv_handle",
    "/kv-handle/",
    "X-Target-Instance",
    "heartbeat_ms",
    "heartbeat_addr",
    "cold_remaining_ms",
    "ORCHIDPATH_SETTINGS",
    "policies.toml",
)
"""Names of the platform and of its adapter, besides the headers."""


def platform_names() -> set[str]:
    """Return the platform's header names that are no defaults of orchidpath, and other names."""
    default_names = set(msgspec.structs.asdict(HeaderNames()).values())
    header_names = set(msgspec.structs.asdict(HEADER_NAMES).values()) - default_names
    return {name.decode() for name in header_names} | {name.lower() for name in OTHER_NAMES}


def imported_modules(source: str) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


def test_there_are_sources_and_adapter_modules_to_compare() -> None:
    assert len(SOURCES) > 100
    assert {"request_mapping", "control_calls", "node_settings"} <= ADAPTER_MODULES


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(ROOT)))
def test_the_product_does_not_depend_on_the_platform(path: Path) -> None:
    source = path.read_text()
    assert not imported_modules(source) & ADAPTER_MODULES
    lowered = source.lower()
    assert [name for name in platform_names() if name in lowered] == []

"""Site files derived from an existing site file, and the scripts of `deploy/` that write files."""

import importlib.util
import tomllib
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parents[2]
SITE = """name = "a-site"
servers = [{ slots = 64, llm = { batch = 64, prefill_tokens_per_ms = 62.4, kv_tokens = 481377 } }]
traffic = [{ per_s = 8.77 }, { per_s = 8.84 }]
"""


def tool(name: str) -> ModuleType:
    """Load a script from `deploy/`, which is not a package."""
    spec = importlib.util.spec_from_file_location(name, ROOT / "deploy" / f"{name}.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


SHAPES = tool("write_shapes")


def derived(**factors: float) -> dict[str, object]:
    return tomllib.loads(SHAPES.derived_text(SITE, "odd", factors))


def test_named_numbers_are_multiplied_wherever_they_occur() -> None:
    site = derived(per_s=2.0, kv_tokens=0.2, slots=0.001)
    assert site["name"] == "a-site-odd"
    assert site["traffic"] == [{"per_s": 17.54}, {"per_s": 17.68}]
    llm = {"batch": 64, "prefill_tokens_per_ms": 62.4, "kv_tokens": 96_275}
    assert site["servers"] == [{"slots": 1, "llm": llm}]


def test_a_number_absent_from_the_site_is_rejected_with_the_known_ones() -> None:
    with pytest.raises(
        SHAPES.UnknownNumberError, match=r"odd: unknown number 'slotz', expected one of .*slots"
    ):
        derived(slotz=2.0)


def test_every_shape_of_the_file_names_numbers_of_engines_or_traffic() -> None:
    shapes = tomllib.loads((ROOT / "deploy/shapes.toml").read_text())
    assert shapes
    known = {"prefill_tokens_per_ms", "kv_tokens", "slots", "batch", "per_s"}
    assert {field for factors in shapes.values() for field in factors} <= known


def test_days_are_written_by_the_interpreter_alone() -> None:
    """`python3 deploy/write_days.py` runs without the packages that this project depends on."""
    days = tool("write_days")
    variant = days.EventVariant("core_cut", False, {"count": 1, "how": "leader race"})
    day = tomllib.loads(days.day_text("a-day", 7, [variant]))
    assert [entry["at"] for entry in day["faults"]] == list(days.EVENT_TIMES_SECONDS)
    assert day["faults"][0]["how"] == "leader race"
    assert variant.name == "core_cut-leader-race"
    for name in ("write_days", "write_shapes"):
        assert "msgspec" not in (ROOT / "deploy" / f"{name}.py").read_text()

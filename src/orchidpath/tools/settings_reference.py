"""The settings reference, made from the typed settings and their docstrings; pure."""

import enum
import inspect
import types
from collections.abc import Iterator
from typing import Any, get_args, get_origin

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.common.settings import ControlSettings, RouterSettings
from orchidpath.wire.configuration import (
    AdmissionPolicy,
    CircuitPolicy,
    Configuration,
    EdgeLimits,
    EngineProfile,
    ForwardRoute,
    PlacementPolicy,
    RetryPolicy,
    Route,
    Service,
    WeightedService,
)

_SECTIONS: tuple[tuple[str, type[msgspec.Struct]], ...] = (
    ("Router settings", RouterSettings),
    ("Control settings", ControlSettings),
    ("Configuration", Configuration),
    ("Configuration: `services`, each", Service),
    ("Configuration: `engine` of a service", EngineProfile),
    ("Configuration: `routes`, each", Route),
    ("Configuration: `forward_routes`, each", ForwardRoute),
    ("Configuration: `services` of a forward route, each", WeightedService),
    ("Configuration: `edge_limits`", EdgeLimits),
    ("Configuration: `circuit`", CircuitPolicy),
    ("Configuration: `retry`", RetryPolicy),
    ("Configuration: `admission`", AdmissionPolicy),
    ("Configuration: `placement`", PlacementPolicy),
)

_HEAD = """\
# Settings reference

Made by `orchidpath check --reference` from the typed settings; a test compares the two. A setting
without a default must be given. Files are TOML or JSON; unknown settings are refused.
"""

_UNITS = (
    ("_per_second", "1/s"),
    ("_seconds", "s"),
    ("_bytes", "bytes"),
    ("_tokens_in_flight", "tokens"),
    ("_ratio", "share"),
    ("_share", "share"),
    ("_factor", "factor"),
    ("_address", "IP:port"),
)
"""What the end of a name says about the unit; longer ends come first."""

_ATTRIBUTES = ("Attributes", "----------")


class UndocumentedSettingError(OrchidpathError):
    """A setting has no meaning in its class's docstring, or a meaning has no setting."""


def settings_reference() -> str:
    """Return the whole page.

    Raises
    ------
    UndocumentedSettingError
        A docstring and its fields don't match.
    """
    parts = [_HEAD]
    for title, kind in _SECTIONS:
        parts.append("\n".join([f"## {title}", "", _summary(kind), "", *_table(kind)]) + "\n")
    return "\n".join(parts)


def documented_meanings(kind: type) -> dict[str, str]:
    """Return the meaning of each attribute in a numpydoc docstring.

    Parameters
    ----------
    kind
        The class.

    Returns
    -------
    dict of str to str
        Name and meaning, in one line each.
    """
    lines = inspect.cleandoc(kind.__doc__ or "").splitlines()
    meanings: dict[str, list[str]] = {}
    name = ""
    for line in _attribute_lines(lines):
        if line and not line.startswith(" "):
            name = line.strip()
            meanings[name] = []
        elif line.strip() and name:
            meanings[name].append(line.strip())
    return {name: " ".join(words) for name, words in meanings.items()}


def _attribute_lines(lines: list[str]) -> Iterator[str]:
    for index in range(len(lines) - 1):
        if (lines[index], lines[index + 1]) == _ATTRIBUTES:
            yield from lines[index + 2 :]
            return


def _summary(kind: type[msgspec.Struct]) -> str:
    return inspect.cleandoc(kind.__doc__ or "").splitlines()[0]


def _table(kind: type[msgspec.Struct]) -> Iterator[str]:
    meanings = documented_meanings(kind)
    fields = msgspec.structs.fields(kind)
    names = {field.name for field in fields}
    undocumented = sorted(names - {name for name, meaning in meanings.items() if meaning})
    unknown = sorted(meanings.keys() - names)
    if undocumented or unknown:
        problem = f"without a meaning {undocumented}, without a field {unknown}"
        raise UndocumentedSettingError(f"{kind.__name__}: {problem}")
    yield "| Name | Type | Default | Unit | Meaning |"
    yield "| --- | --- | --- | --- | --- |"
    for field in fields:
        cells = (
            f"`{field.name}`",
            _type_text(field.type),
            _default_text(field),
            _unit(field.name),
            _meaning_text(meanings[field.name]),
        )
        yield f"| {' | '.join(cells)} |"


def _type_text(kind: Any) -> str:
    names = {str: "text", int: "whole number", float: "number", bool: "true or false"}
    if kind in names:
        return names[kind]
    if get_origin(kind) is list:
        return f"list of {_type_text(get_args(kind)[0])}"
    if isinstance(kind, types.UnionType):
        return " or ".join(_type_text(each) for each in get_args(kind))
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return "one of " + ", ".join(f"`{member.value}`" for member in kind)
    return f"table `{kind.__name__}`"


def _default_text(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "-"
    value = field.default
    if field.default_factory is not msgspec.NODEFAULT:
        value = field.default_factory()
    if isinstance(value, msgspec.Struct):
        return "its defaults"
    return f"`{msgspec.json.encode(value).decode()}`"


def _unit(name: str) -> str:
    return next((unit for ending, unit in _UNITS if name.endswith(ending)), "")


def _meaning_text(meaning: str) -> str:
    return meaning.replace("``", "`").replace("|", "\\|").replace(":mod:`", "`")

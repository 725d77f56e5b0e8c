"""Checks that several groups of the corpus share: coverage of types, enums and fields."""

import importlib
import pkgutil
from collections.abc import Iterable, Sequence
from enum import Enum
from types import ModuleType

import msgspec
import pytest
from binary_corpus import (
    FORMAT_FIELD,
    GROUPS,
    LATER_FIELDS,
    Group,
    decoded_values,
    label_of,
    reachable_types,
    read_cases,
)

import orchidpath.wire

LATER_PREFIX = "later_"
"""Begins the names of the groups that were added after the first ones."""


def groups_named(prefix: str) -> list[Group]:
    """Return the groups whose files begin with a prefix."""
    return [group for group in GROUPS if group.name.startswith(prefix)]


def case_parameters(groups: Iterable[Group]) -> list[object]:
    """Return one parameter set, group and name, for each case."""
    return [
        pytest.param(group, name, id=f"{group.name}-{name}")
        for group in groups
        for name in read_cases(group.path)
    ]


def uncovered_labels(group: Group) -> set[str]:
    """Return the labels of types without a case, and the labels of cases without a type."""
    return set(group.labelled) ^ {label_of(name) for name in read_cases(group.path)}


def uncovered_forms(groups: Iterable[Group]) -> list[str]:
    """Return the forms of the groups' types that occur in no case.

    Each struct must occur in a case with all its optional fields at their defaults, each optional
    field must occur in a case with another value, and each enum value must occur in a case. Fields
    that are newer than the first groups (`LATER_FIELDS`) are required of the later groups alone.
    """
    groups = list(groups)
    is_first = not any(group.name.startswith(LATER_PREFIX) for group in groups)
    expected = reachable_types(root for group in groups for root in group.labelled.values())
    seen = list(decoded_values(groups))
    missing: list[str] = []
    for found in sorted(expected, key=lambda item: item.__name__):
        if issubclass(found, Enum):
            missing.extend(f"{value!r}" for value in found if value not in seen)
        elif issubclass(found, msgspec.Struct):
            instances = [value for value in seen if type(value) is found]
            later = frozenset(LATER_FIELDS.get(found, {})) if is_first else frozenset()
            missing.extend(_uncovered_fields(found, instances, later))
    return missing


def _uncovered_fields(
    struct: type[msgspec.Struct], instances: Sequence[object], later: frozenset[str]
) -> list[str]:
    optional = {
        field.name: _default(field)
        for field in msgspec.structs.fields(struct)
        if not field.required and field.name not in {FORMAT_FIELD, *later}
    }
    missing: list[str] = []
    if not any(
        all(getattr(instance, name) == default for name, default in optional.items())
        for instance in instances
    ):
        missing.append(f"{struct.__name__} with its defaults")
    for name, default in optional.items():
        if all(getattr(instance, name) == default for instance in instances):
            missing.append(f"{struct.__name__}.{name} set")
    return missing


def _default(field: msgspec.structs.FieldInfo) -> object:
    if field.default_factory is not msgspec.NODEFAULT:
        return field.default_factory()
    return field.default


def structs_in(module: ModuleType) -> set[type[msgspec.Struct]]:
    """Return the structs that a module defines."""
    return {
        value
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, msgspec.Struct)
        and value.__module__ == module.__name__
    }


def wire_modules() -> list[ModuleType]:
    """Return all modules of the wire package."""
    names = [info.name for info in pkgutil.iter_modules(orchidpath.wire.__path__)]
    return [importlib.import_module(f"orchidpath.wire.{name}") for name in names]


def covered_structs() -> set[type[msgspec.Struct]]:
    """Return every struct that the root types of any group contain, including the roots."""
    return {found for found in all_covered_types() if issubclass(found, msgspec.Struct)}


def all_covered_types() -> set[type]:
    """Return every type that the root types of any group contain, including the roots."""
    return reachable_types(root for group in GROUPS for root in group.labelled.values())

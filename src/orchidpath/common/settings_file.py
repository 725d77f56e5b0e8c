"""Loads TOML or JSON files into typed structs and reports all problems of a file together."""

import json
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import msgspec

from orchidpath.common.problems import Problem
from orchidpath.common.settings_checks import check_settings
from orchidpath.common.settings_errors import SettingProblem, SettingsError
from orchidpath.common.typed_walk import find_mismatches

MAX_FILE_BYTES = 64 * 1024 * 1024
"""Largest size of a file; a larger one is rejected without being read."""

StructT = TypeVar("StructT", bound=msgspec.Struct)


def load_settings(
    path: Path,
    expected: type[StructT],
    check: Callable[[StructT], list[Problem]] = check_settings,
) -> StructT:
    """Load and check a settings file.

    Parameters
    ----------
    path
        File to read; its suffix, ``.toml`` or ``.json``, determines the format.
    expected
        Struct type of the result.
    check
        Returns the problems that the types do not cover.

    Raises
    ------
    SettingsError
        The file is not valid. The error contains all type mismatches or, if there are none, all
        failed checks.
    """
    return convert_settings(read_table(path), str(path), expected, check)


def convert_settings(
    table: dict[str, Any],
    file: str,
    expected: type[StructT],
    check: Callable[[StructT], list[Problem]] = check_settings,
) -> StructT:
    """Convert and check the decoded content of a file; see :func:`load_settings`."""
    _raise_if_any(file, find_mismatches(table, expected))
    settings = msgspec.convert(table, expected)
    _raise_if_any(file, check(settings))
    return settings


def read_table(path: Path) -> dict[str, Any]:
    """Decode a TOML or JSON file whose top level is a table.

    Raises
    ------
    SettingsError
        The file can't be read, has another suffix or is not valid TOML or JSON.
    """
    return decode_table(path, _read_bytes(path))


def decode_table(path: Path, content: bytes) -> dict[str, Any]:
    """Decode the content of a file; see :func:`read_table`."""
    try:
        table = _parse(path, content.decode())
    except UnicodeDecodeError as error:
        _reject(path, f"not UTF-8 text: {error}")
    except (tomllib.TOMLDecodeError, json.JSONDecodeError) as error:
        _reject(path, f"not valid {_form_of(path)}: {error}")
    except (ValueError, RecursionError) as error:
        _reject(path, f"can't be decoded: {error}")
    if not isinstance(table, dict):
        _reject(path, "expected a table at the top level")
    return table


def _read_bytes(path: Path) -> bytes:
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            _reject(path, f"larger than {MAX_FILE_BYTES} bytes")
        return path.read_bytes()
    except (OSError, ValueError) as error:
        _reject(path, f"can't be read: {error}")


def _parse(path: Path, text: str) -> object:
    if path.suffix == ".toml":
        return tomllib.loads(text)
    if path.suffix == ".json":
        return json.loads(text, parse_constant=_reject_constant)
    return _reject(path, "expected a file name that ends in .toml or .json")


def _reject_constant(constant: str) -> NoReturn:
    raise ValueError(f"{constant} is not a JSON value")


def _form_of(path: Path) -> str:
    return path.suffix.removeprefix(".").upper()


def _reject(path: Path, message: str) -> NoReturn:
    raise SettingsError([SettingProblem(file=str(path), path="", message=message)])


def _raise_if_any(file: str, problems: list[Problem]) -> None:
    if problems:
        raise SettingsError(
            [
                SettingProblem(file=file, path=problem.path, message=problem.message)
                for problem in problems
            ]
        )

"""Reads configurations from TOML or JSON files."""

from pathlib import Path
from typing import Any

import msgspec

from orchidpath.common.settings_errors import SettingProblem, SettingsError
from orchidpath.common.settings_file import read_table
from orchidpath.state.configuration_checks.validation import parse_configuration
from orchidpath.state.configuration_checks.validation_problems import InvalidConfigurationError
from orchidpath.wire.configuration import Configuration


def load_configuration(path: Path) -> Configuration:
    """Load and check a configuration file.

    Raises
    ------
    SettingsError
        The file cannot be read or is invalid; the error holds every problem found.
    """
    return convert_configuration(read_table(path), str(path))


def convert_configuration(table: dict[str, Any], file: str) -> Configuration:
    """Convert and check a decoded configuration.

    Parameters
    ----------
    table
        Decoded content of the file.
    file
        Name of the file, reported with each problem.

    Raises
    ------
    SettingsError
        The configuration is invalid; the error holds every problem found.
    """
    try:
        return parse_configuration(msgspec.json.encode(table))
    except InvalidConfigurationError as error:
        raise SettingsError(
            [
                SettingProblem(file=file, path=problem.path, message=problem.message)
                for problem in error.problems
            ]
        ) from error

"""The ``--config`` option, which gives the settings file of a process."""

from pathlib import Path

import click

settings_file_option = click.option(
    "-c",
    "--config",
    "settings_file",
    type=click.Path(path_type=Path),
    required=True,
    help="Settings file, TOML or JSON.",
)

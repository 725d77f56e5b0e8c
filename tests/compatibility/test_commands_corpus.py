"""Tests that the commands have the names, options and exit codes of the corpus."""

from typing import Any

import click
import pytest
from commands_tree import command_tree, exit_codes, parameter
from http_corpus import read_json

RENAMED = {"orchidpath standin": "orchidpath emulator"}
"""Commands that got a second name after the corpus was written; both have the same parameters."""


ADDED_CHOICES = {
    "machine_replaced_late": "disk_lost_in_power_cut",
    "routers_leave": "late_answers",
    "freshness.witness_known_to_leader": "freshness.witness_majority",
}
"""Scenarios and guards that are newer than the corpus, each with the choice that it precedes."""


def test_commands_and_options_are_the_same() -> None:
    now = command_tree()
    before = read_json("commands_tree.json")
    for former, current in RENAMED.items():
        renamed = {name for name in before if name.startswith(former)}
        before |= {name.replace(former, current): before[name] for name in renamed}
    assert now.keys() == before.keys()
    for command, parameters in before.items():
        assert now[command] == with_added_choices(parameters)


def with_added_choices(parameters: Any) -> Any:
    """Return the parameters of a command with the added scenarios and guards among the choices."""
    if isinstance(parameters, dict):
        return {name: with_added_choices(value) for name, value in parameters.items()}
    if not isinstance(parameters, list):
        return parameters
    values = [with_added_choices(value) for value in parameters]
    for added, following in ADDED_CHOICES.items():
        if following in values:
            values.insert(values.index(following), added)
    return values


def test_exit_codes_are_the_same() -> None:
    assert exit_codes() == read_json("commands_exit_codes.json")


@pytest.mark.parametrize(
    "changed",
    [
        click.Option(["--kinds"], type=click.Choice(["a", "b"])),
        click.Option(["--kind"], type=click.Choice(["a", "c"])),
        click.Option(["--kind"], type=click.Choice(["a", "b"]), required=True),
        click.Option(["--kind"], type=click.Choice(["a", "b"]), multiple=True),
        click.Option(["--kind"], type=click.Choice(["a", "b"]), default="a"),
        click.Option(["--kind"], is_flag=True),
    ],
)
def test_a_changed_option_is_noticed(changed: click.Option) -> None:
    before = click.Option(["--kind", "kind_name"], type=click.Choice(["a", "b"]))
    renamed = click.Option(["--kind", "other_name"], type=click.Choice(["a", "b"]))
    assert parameter(renamed) == parameter(before)
    assert parameter(changed) != parameter(before)

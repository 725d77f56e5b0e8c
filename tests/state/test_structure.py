"""A configuration with an invalid structure is rejected with every problem and without a crash."""

import msgspec
import pytest

from orchidpath.state.configuration_checks.structure import read_structure
from orchidpath.state.configuration_checks.validation import (
    InvalidConfigurationError,
    Problem,
    parse_configuration,
)

FORWARD_ROUTE = {"name": "chat", "host": "h", "path_prefix": "/"}


def test_a_readable_configuration_is_decoded_unchanged() -> None:
    structure = read_structure({"label": 3})
    assert structure.configuration.label == 3
    assert (structure.problems, structure.unreadable_paths) == ([], frozenset())


def test_an_unreadable_value_gets_a_placeholder_and_its_path_is_recorded() -> None:
    structure = read_structure({"services": [{"name": 5, "kind": "plain"}]})
    assert structure.configuration.services[0].name == ""
    assert structure.unreadable_paths == {"services[0].name"}
    assert structure.problems == [
        Problem(path="services[0].name", message="must be a string, is 5")
    ]


@pytest.mark.parametrize(
    ("forward_route", "problem"),
    [
        (FORWARD_ROUTE, Problem(path="forward_routes[0].services", message="is required")),
        (7, Problem(path="forward_routes[0]", message="must be an object, is 7")),
    ],
)
def test_a_forward_route_without_its_list_of_services_is_reported(
    forward_route: object, problem: Problem
) -> None:
    raw = msgspec.json.encode({"forward_routes": [forward_route]})
    with pytest.raises(InvalidConfigurationError) as caught:
        parse_configuration(raw)
    assert problem in caught.value.problems


def test_a_label_may_be_a_large_number_or_its_digits() -> None:
    for label in (20261204093000123456, "20261204093000123456"):
        structure = read_structure({"label": label})
        assert structure.configuration.label_number == 20261204093000123456
        assert structure.problems == []


@pytest.mark.parametrize("label", ["7", "2" * 20 + "\n", True, 1.5, None, []])
def test_another_label_is_reported_with_its_path(label: object) -> None:
    structure = read_structure({"label": label})
    assert structure.unreadable_paths == {"label"}
    assert structure.configuration.label == 0

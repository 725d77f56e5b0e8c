"""Tests that each process has the metrics that the corpus lists."""

import pytest
from http_corpus import read_json
from metrics_list import made_by, metrics

from orchidpath.common.metrics import Metrics

ADDED = read_json("metrics_added.json")
"""Metrics that are newer than the corpus, by process."""


def test_metrics_are_the_same() -> None:
    now = metrics()
    before = read_json("metrics_list.json")
    assert now.keys() == before.keys()
    assert now.pop("content type") == before.pop("content type")
    for process, listed in before.items():
        assert listed
        added = [
            {part: metric[part] for part in ("name", "type", "samples")}
            for metric in now[process]
            if metric not in listed
        ]
        assert added == ADDED.get(process, [])
        assert [metric for metric in now[process] if metric in listed] == listed


def sample(name: str, label: str) -> None:
    Metrics().counter(name, "A sample.", (label,))


def test_the_list_shows_name_type_and_labels() -> None:
    (found,) = made_by(lambda: sample("things", "route"))
    assert (found["name"], found["type"]) == ("orchidpath_things", "counter")
    assert found["samples"] == [{"name": "orchidpath_things_total", "labels": {"route": "any"}}]


@pytest.mark.parametrize(("name", "label"), [("goods", "route"), ("things", "way")])
def test_a_renamed_metric_or_label_is_noticed(name: str, label: str) -> None:
    before = made_by(lambda: sample("things", "route"))
    assert made_by(lambda: sample(name, label)) != before


def test_another_type_of_metric_is_noticed() -> None:
    before = made_by(lambda: sample("things", "route"))
    assert made_by(lambda: Metrics().gauge("things", "A sample.", ("route",))) != before

"""Tests that a decision log from before the first rename is read and written unchanged."""

import json

import pytest
from binary_corpus import FOLDER, Group, case_difference, label_of, plain, read_cases
from corpus_checks import case_parameters, groups_named

from orchidpath.routing.decision_log import decode_line, encode_line

DECISION_LOG = FOLDER / "decision_log.jsonl"
DECISION_LOG_VALUES = FOLDER / "decision_log.json"


@pytest.mark.parametrize(("group", "name"), case_parameters(groups_named("decision_log_")))
def test_a_line_is_read_and_written_as_before(group: Group, name: str) -> None:
    case = read_cases(group.path)[name]
    label = label_of(name)
    assert not case_difference(case, lambda content: group.decode(label, content), group.encode)


def test_a_whole_log_is_read_and_written_as_before() -> None:
    content = DECISION_LOG.read_bytes()
    lines = [decode_line(line) for line in content.splitlines(keepends=True)]
    assert [plain(line) for line in lines] == json.loads(DECISION_LOG_VALUES.read_text())
    assert b"".join(encode_line(line) for line in lines) == content

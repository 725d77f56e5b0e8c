"""Changes to the named items of an operator's document."""

import json
from typing import Any

import msgspec
import pytest

from orchidpath.state.document_items import InvalidChangeError, ItemChange, change_items

DOCUMENT = json.dumps(
    {
        "version": 3,
        "routes": [{"name": "a", "x": 1}, {"name": "b", "x": 1.50}, {"name": "c"}],
        "limits": {"unread": [1]},
    }
).encode()


def change(**lists: Any) -> ItemChange:
    return msgspec.json.decode(json.dumps(lists), type=ItemChange)


def changed(document: bytes = DOCUMENT, version: int = 4, **lists: Any) -> Any:
    fields = {"version": msgspec.Raw(b"%d" % version)}
    return json.loads(change_items(document, change(**lists), fields))


def test_items_are_replaced_added_and_removed_by_name() -> None:
    result = changed(
        upsert={"routes": [{"name": "d"}, {"name": "b", "x": 2}]}, remove={"routes": ["a"]}
    )
    assert result == {
        "version": 4,
        "routes": [{"name": "b", "x": 2}, {"name": "c"}, {"name": "d"}],
        "limits": {"unread": [1]},
    }


def test_unnamed_items_keep_their_encoding() -> None:
    text = change_items(DOCUMENT, change(upsert={"routes": [{"name": "z"}]}), {})
    assert b'{"name": "b", "x": 1.5}' in text
    assert b'{"unread": [1]}' in text


def test_a_list_absent_from_the_document_is_created() -> None:
    assert changed(upsert={"services": [{"name": "s"}]})["services"] == [{"name": "s"}]


def test_an_empty_change_replaces_the_version_only() -> None:
    assert changed() == {**json.loads(DOCUMENT), "version": 4}


@pytest.mark.parametrize(
    ("lists", "problems"),
    [
        ({"remove": {"routes": ["a", "nowhere"], "pools": ["p"]}}, ["'nowhere'", "'p'"]),
        ({"upsert": {"routes": [{"name": "d"}, {"name": "d"}]}}, ["'d' is named twice"]),
        (
            {"upsert": {"routes": [{"name": "a"}]}, "remove": {"routes": ["a"]}},
            ["'a' is named twice"],
        ),
        ({"upsert": {"routes": [{"x": 1}, 7, {"name": 3}]}}, ["item 0", "item 1", "item 2"]),
        ({"upsert": {"limits": [{"name": "a"}]}}, ["not a list of named items"]),
    ],
)
def test_every_problem_is_reported(lists: dict[str, Any], problems: list[str]) -> None:
    with pytest.raises(InvalidChangeError) as raised:
        changed(**lists)
    assert len(raised.value.problems) == len(problems)
    for expected in problems:
        assert any(expected in problem for problem in raised.value.problems)


def test_a_truncated_document_is_rejected() -> None:
    with pytest.raises(InvalidChangeError, match="can't be read"):
        changed(document=DOCUMENT[:-3])

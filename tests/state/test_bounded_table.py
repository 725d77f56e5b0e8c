"""A bounded table: the oldest entries are evicted; a re-inserted entry becomes the newest."""

from orchidpath.state.bounded_table import insert_newest


def test_the_oldest_entries_are_evicted_above_the_limit() -> None:
    table = {"a": 1, "b": 2, "c": 3}
    assert insert_newest(table, "d", 4, limit=2) == ("a", "b")
    assert list(table.items()) == [("c", 3), ("d", 4)]


def test_an_entry_that_is_inserted_again_is_the_newest() -> None:
    table = {"a": 1, "b": 2}
    assert insert_newest(table, "a", 3, limit=2) == ()
    assert list(table.items()) == [("b", 2), ("a", 3)]

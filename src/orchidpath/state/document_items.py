"""Changes to the named items of a document's lists, as pure functions.

An operator's document is a JSON object whose lists contain items with a ``name``. A change adds,
replaces and removes items. Everything else in the document remains byte for byte as it was sent.
"""

from collections.abc import Mapping

import msgspec

from orchidpath.common.errors import OrchidpathError


class ItemChange(msgspec.Struct, frozen=True, kw_only=True):
    """The items that a change adds, replaces and removes, by the name of their list.

    Attributes
    ----------
    upsert
        Items to add, or with which to replace the items of the same name.
    remove
        Names of items to remove.
    """

    upsert: dict[str, list[msgspec.Raw]] = {}
    remove: dict[str, list[str]] = {}


class InvalidChangeError(OrchidpathError):
    """A change cannot be applied; ``problems`` lists every reason."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class _Named(msgspec.Struct):
    name: str


_name_decoder = msgspec.json.Decoder(_Named)
_items_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_document_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


def change_items(document: bytes, change: ItemChange, fields: Mapping[str, msgspec.Raw]) -> bytes:
    """Return a document with a change applied to it.

    Replaced items keep their position; new items are appended in the order of the change.

    Parameters
    ----------
    document
        A JSON object.
    change
        The items to add, replace and remove.
    fields
        Other members of the document to set, as JSON values.

    Raises
    ------
    InvalidChangeError
        The document or an item cannot be decoded, an item is named twice, or an item to be removed
        does not exist.
    """
    try:
        members = _document_decoder.decode(document)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise InvalidChangeError([f"the document can't be read: {error}"]) from error
    problems: list[str] = []
    changed = dict(members)
    for list_name in sorted(change.upsert.keys() | change.remove.keys()):
        items = _items_by_name(list_name, members.get(list_name), problems)
        _remove(list_name, items, change, problems)
        _upsert(list_name, items, change, problems)
        changed[list_name] = msgspec.Raw(msgspec.json.encode(list(items.values())))
    if problems:
        raise InvalidChangeError(problems)
    changed.update(fields)
    return msgspec.json.encode(changed)


def _items_by_name(
    list_name: str, raw: msgspec.Raw | None, problems: list[str]
) -> dict[str, msgspec.Raw]:
    """Return the items of a list of the document by name; empty if the document lacks the list."""
    if raw is None:
        return {}
    try:
        return {_name_decoder.decode(item).name: item for item in _items_decoder.decode(raw)}
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        problems.append(f"{list_name}: not a list of named items: {error}")
        return {}


def _remove(
    list_name: str, items: dict[str, msgspec.Raw], change: ItemChange, problems: list[str]
) -> None:
    names = change.remove.get(list_name, [])
    missing = [name for name in names if items.pop(name, None) is None]
    problems.extend(
        f"{list_name}: cannot remove {name!r}: no item has that name" for name in missing
    )


def _upsert(
    list_name: str, items: dict[str, msgspec.Raw], change: ItemChange, problems: list[str]
) -> None:
    used_names = set(change.remove.get(list_name, []))
    for position, item in enumerate(change.upsert.get(list_name, [])):
        try:
            name = _name_decoder.decode(item).name
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            problems.append(f"{list_name}: item {position} can't be read: {error}")
            continue
        if name in used_names:
            problems.append(f"{list_name}: {name!r} is named twice")
        used_names.add(name)
        items[name] = item

"""Changes to the named items of a document's lists; pure.

An operator's document is a JSON object whose lists hold items with a ``name``. A change replaces or
adds items and removes others; everything else stays as it was sent, byte for byte.
"""

from collections.abc import Mapping

import msgspec

from orchidpath.common.errors import OrchidpathError


class ItemChange(msgspec.Struct, frozen=True, kw_only=True):
    """Which items a change adds, replaces and removes, by the name of their list.

    Attributes
    ----------
    upsert
        Items to add, or to replace by their name.
    remove
        Names of items to remove.
    """

    upsert: dict[str, list[msgspec.Raw]] = {}
    remove: dict[str, list[str]] = {}


class InvalidChangeError(OrchidpathError):
    """A change can't be applied; ``problems`` lists every reason."""

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

    Replaced items keep their position; new ones are appended in the order of the change.

    Parameters
    ----------
    document
        A JSON object.
    change
        The change.
    fields
        Further members of the document to replace, as JSON values.

    Raises
    ------
    InvalidChangeError
        The document or an item can't be read, an item is named twice, or one that is to be removed
        is not there.
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
    """Return the items of a list that the document has, by name; none if it lacks the list."""
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
    problems.extend(f"{list_name}: {name!r} is to be removed and is not there" for name in missing)


def _upsert(
    list_name: str, items: dict[str, msgspec.Raw], change: ItemChange, problems: list[str]
) -> None:
    named = set(change.remove.get(list_name, []))
    for position, item in enumerate(change.upsert.get(list_name, [])):
        try:
            name = _name_decoder.decode(item).name
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            problems.append(f"{list_name}: item {position} can't be read: {error}")
            continue
        if name in named:
            problems.append(f"{list_name}: {name!r} is named twice")
        named.add(name)
        items[name] = item

"""Path patterns of plain routes: their syntax, and overlaps between patterns.

A segment in braces is a variable, which matches any value. No pattern takes precedence over
another, so two patterns of one method are ambiguous if they can match the same path.
"""

from collections.abc import Iterator

WILDCARD = "{}"
"""Represents every segment in braces; it is not a valid literal segment."""

_REJECTED_CHARACTERS = frozenset("?#%{}\\")
"""Characters that a decoded path segment cannot contain or that have more than one encoding."""


def pattern_problem(path: str) -> str:
    """Return the problem of a path pattern's syntax; empty if the pattern is well formed."""
    if not path.startswith("/"):
        return "must begin with /"
    segments = path[1:].split("/")
    for position, segment in enumerate(segments):
        last = position == len(segments) - 1
        if not segment and not last:
            return "must not contain an empty segment"
        inner = segment[1:-1] if _is_variable(segment) else segment
        if _is_variable(segment) and not inner:
            return "must have a variable name between braces"
        if not _REJECTED_CHARACTERS.isdisjoint(inner) or not _is_visible_ascii(inner):
            return f"must consist of literal segments and variables in braces, but has {segment!r}"
        if inner in {".", ".."}:
            return "must not contain a . or .. segment"
    return ""


def pattern_segments(path: str) -> tuple[str, ...]:
    """Return the segments of a pattern, with the wildcard in place of each segment in braces."""
    return tuple(WILDCARD if _is_variable(segment) else segment for segment in path[1:].split("/"))


class PatternIndex:
    """The patterns of one method in a prefix tree of segments, which finds overlaps quickly.

    The owner of a pattern is the position of its route.
    """

    def __init__(self) -> None:
        self._root = _Node()

    def overlapping(self, segments: tuple[str, ...]) -> int | None:
        """Return the lowest owner of all patterns that overlap this one; None if there is none."""
        return min(self._owners(self._root, segments), default=None)

    def add(self, segments: tuple[str, ...], owner: int) -> None:
        """Add a pattern; if an equal pattern was added before, its owner remains."""
        node = self._root
        for segment in segments:
            node = node.children.setdefault(segment, _Node())
        if node.owner is None:
            node.owner = owner

    def _owners(self, node: "_Node", segments: tuple[str, ...]) -> Iterator[int]:
        if not segments:
            if node.owner is not None:
                yield node.owner
            return
        if segments[0] == WILDCARD:
            # The empty last segment after a trailing slash has no value for a variable to match.
            following = [child for literal, child in node.children.items() if literal]
        else:
            names = [segments[0], WILDCARD] if segments[0] else [segments[0]]
            following = [node.children[name] for name in names if name in node.children]
        for child in following:
            yield from self._owners(child, segments[1:])


class _Node:
    """A node of the tree: its children by segment, and the owner of the pattern that ends here."""

    def __init__(self) -> None:
        self.children: dict[str, _Node] = {}
        self.owner: int | None = None


def _is_variable(segment: str) -> bool:
    return segment.startswith("{") and segment.endswith("}") and len(segment) > 1


def _is_visible_ascii(text: str) -> bool:
    return text.isascii() and all(
        character.isprintable() and character != " " for character in text
    )

"""Path patterns of plain routes: their form, and patterns that can match the same path.

A segment in braces matches any value, and no pattern takes precedence over another; so two
patterns of one method that can match the same path are ambiguous.
"""

from collections.abc import Iterator

WILDCARD = "{}"
"""Stands for any segment in braces; it is not a valid literal segment."""

_REJECTED_CHARACTERS = frozenset("?#%{}\\")
"""Never part of a decoded path segment, or written in more than one way."""


def pattern_problem(path: str) -> str:
    """Return what is wrong with the form of a path pattern; nothing if it is well formed."""
    if not path.startswith("/"):
        return "must begin with /"
    segments = path[1:].split("/")
    for position, segment in enumerate(segments):
        last = position == len(segments) - 1
        if not segment and not last:
            return "must not hold an empty segment"
        inner = segment[1:-1] if _is_variable(segment) else segment
        if _is_variable(segment) and not inner:
            return "must name the value between braces"
        if not _REJECTED_CHARACTERS.isdisjoint(inner) or not _is_visible_ascii(inner):
            return f"holds a segment that is neither plain nor in braces: {segment!r}"
        if inner in {".", ".."}:
            return "must not hold a . or .. segment"
    return ""


def pattern_segments(path: str) -> tuple[str, ...]:
    """Return the segments of a pattern, with every segment in braces as the wildcard."""
    return tuple(WILDCARD if _is_variable(segment) else segment for segment in path[1:].split("/"))


class PatternIndex:
    """Patterns of one method, in a tree by segments, so that overlaps are found quickly."""

    def __init__(self) -> None:
        self._root = _Node()

    def overlapping(self, segments: tuple[str, ...]) -> int | None:
        """Return the lowest owner of a pattern that overlaps this one; None if there is none."""
        return min(self._owners(self._root, segments), default=None)

    def add(self, segments: tuple[str, ...], owner: int) -> None:
        """Add a pattern; an equal pattern keeps its first owner."""
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
            # An empty last segment (a trailing slash) is no value, so a variable cannot match it.
            following = [child for literal, child in node.children.items() if literal]
        else:
            names = [segments[0], WILDCARD] if segments[0] else [segments[0]]
            following = [node.children[name] for name in names if name in node.children]
        for child in following:
            yield from self._owners(child, segments[1:])


class _Node:
    """One node of the tree: the children by segment, and the pattern that ends here."""

    def __init__(self) -> None:
        self.children: dict[str, _Node] = {}
        self.owner: int | None = None


def _is_variable(segment: str) -> bool:
    return segment.startswith("{") and segment.endswith("}") and len(segment) > 1


def _is_visible_ascii(text: str) -> bool:
    return text.isascii() and all(
        character.isprintable() and character != " " for character in text
    )

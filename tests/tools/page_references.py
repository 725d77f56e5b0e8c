"""Finds links, paths and code identifiers in the pages that refer to nothing.

The pages are Markdown. Every relative link in the text must resolve. In code (spans in backticks
and fenced blocks), every path of the repository must exist, and every span that looks like an
identifier of this project must be defined in the project's code.
"""

import ast
import builtins
import re
import signal
from collections import defaultdict
from collections.abc import Iterator, Mapping
from functools import cache
from http import HTTPMethod
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "src/orchidpath"
CODE_FOLDERS = ("src", "platform", "bench", "tests", "deploy")
PATH_FOLDERS = (*CODE_FOLDERS, "docs", "examples", "journal")
PATH_SUFFIXES = (".py", ".md", ".toml", ".sh", ".json", ".jsonl", ".lock", "/")
GLOSSARY = ROOT / "docs/glossary.md"

_FENCE = re.compile(r"^```[^\n]*\n(.*?)^```", re.DOTALL | re.MULTILINE)
_SPAN = re.compile(r"`([^`\n]+)`")
_LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
_HEADING = re.compile(r"^#+ +(.*)$", re.MULTILINE)
_PATH = re.compile(r"\.?[A-Za-z_][\w.*-]*(?:/[\w.*-]+)*/?")
_CLASS = r"_?[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)*"
_CONSTANT = r"_?[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+"
_ENUM_MEMBER = r"[A-Z][A-Z0-9]+(?:_[A-Z0-9]+)*"
_TEST_FUNCTION = r"test_\w+"
_PRIVATE = r"_[a-z]\w+"
_NAME = re.compile(f"{_CLASS}|{_CONSTANT}|{_ENUM_MEMBER}|{_TEST_FUNCTION}|{_PRIVATE}")
_MEMBER = re.compile(rf"({_CLASS})\.(\w+)")
_QUALIFIED = re.compile(rf"([a-z_]+)\.(\w+)(?:\.({_CLASS}))?")

FOREIGN_PATHS: Mapping[str, str] = {
    "target/days/": "written by deploy/write_days.py, not kept in the repository",
    "target/shapes/": "written by deploy/write_shapes.py, not kept in the repository",
    "sites/": "a folder of the users' bench",
    ".venv/": "made by `make setup`, not kept in the repository",
    "KNOWN-RED.txt": "exists only while a test is red for a known fault",
}
"""Prefixes of paths that a page may name although they are not in the repository, with reasons."""

FOREIGN_NAMES: Mapping[str, str] = {
    "Allow": "HTTP header",
    "Makefile": "file at the root of the repository",
    "_seconds": "suffix of names, not a name",
    "_bytes": "suffix of names, not a name",
}
"""Words that look like identifiers but are not identifiers of this project, with reasons."""

LANGUAGE_NAMES = frozenset(dir(builtins)) | frozenset(dir(signal)) | frozenset(HTTPMethod)
"""Built-in names, signals and HTTP methods."""


class UnresolvedReference(NamedTuple):
    """A reference on a page to something that does not exist."""

    page: str
    kind: str
    text: str


class CodeNames(NamedTuple):
    """Names that the project's code defines.

    Attributes
    ----------
    names
        Classes, functions, methods, enum members, fields and assigned names.
    members
        Names in the body of each class and of its bases; classes are identified by name only.
    """

    names: frozenset[str]
    members: Mapping[str, frozenset[str]]


def pages() -> list[Path]:
    """Return the paths of all pages of the project, in a stable order."""
    return [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").rglob("*.md"))]


@cache
def code_names() -> CodeNames:
    """Read the names that the project's Python files define."""
    names: set[str] = set()
    members: dict[str, set[str]] = defaultdict(set)
    bases: dict[str, set[str]] = defaultdict(set)
    for folder in CODE_FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                names.update(_defined_by(node))
                if isinstance(node, ast.ClassDef):
                    for statement in ast.walk(node):
                        members[node.name].update(_defined_by(statement))
                    bases[node.name].update(_base_name(base) for base in node.bases)
    return CodeNames(frozenset(names), _with_inherited(members, bases))


@cache
def python_file_names() -> frozenset[str]:
    """Return the base names of the project's Python files."""
    return frozenset(path.name for folder in CODE_FOLDERS for path in (ROOT / folder).rglob("*.py"))


@cache
def former_names() -> frozenset[str]:
    """Return the code spans in the first column of the glossary's table of former names."""
    table = GLOSSARY.read_text().partition("## Former names")[2]
    rows = (line.split("|") for line in table.splitlines() if line.startswith("|"))
    return frozenset(span for row in rows for span in _SPAN.findall(row[1]))


def unresolved(page: Path, text: str | None = None) -> list[UnresolvedReference]:
    """Return the references of a page to things that do not exist.

    Parameters
    ----------
    page
        Path of the page; links are relative to its folder.
    text
        Text of the page; read from ``page`` if not given.
    """
    text = page.read_text() if text is None else text
    name = str(page.relative_to(ROOT))
    prose = _FENCE.sub("", text)
    spans = code_spans(text)
    if page == GLOSSARY:
        spans -= former_names()
    words = {word for code in (*spans, *_FENCE.findall(text)) for word in code.split()}
    found = [
        *(("link", link) for link in _LINK.findall(prose) if not _link_resolves(page, link)),
        *(("path", word) for word in sorted(words) if not _path_exists(page, word)),
        *(("name", span) for span in sorted(spans) if not _name_exists(span)),
    ]
    return [UnresolvedReference(name, kind, reference) for kind, reference in found]


def code_spans(text: str) -> set[str]:
    """Return the spans in backticks of a page's text, excluding its fenced blocks."""
    return set(_SPAN.findall(_FENCE.sub("", text)))


def _defined_by(node: ast.AST) -> Iterator[str]:
    match node:
        case ast.ClassDef(name=name) | ast.FunctionDef(name=name):
            yield name
        case ast.AsyncFunctionDef(name=name):
            yield name
        case ast.Name(id=name, ctx=ast.Store()):
            yield name
        case ast.Attribute(attr=name, ctx=ast.Store()):
            yield name


def _base_name(base: ast.expr) -> str:
    if isinstance(base, ast.Subscript):
        return _base_name(base.value)
    if isinstance(base, ast.Attribute):
        return base.attr
    return base.id if isinstance(base, ast.Name) else ""


def _with_inherited(
    members: Mapping[str, set[str]], bases: Mapping[str, set[str]]
) -> Mapping[str, frozenset[str]]:
    complete: dict[str, frozenset[str]] = {}
    for class_name in members:
        pending, seen = [class_name], set[str]()
        while pending:
            current = pending.pop()
            if current not in seen:
                seen.add(current)
                pending.extend(bases.get(current, ()))
        complete[class_name] = frozenset(
            member for ancestor in seen for member in members.get(ancestor, ())
        )
    return complete


def _link_resolves(page: Path, link: str) -> bool:
    if re.match(r"[a-z]+:", link):
        return True
    target, _, anchor = link.partition("#")
    path = page.parent / target if target else page
    if not path.exists():
        return False
    return not anchor or anchor in {_anchor(heading) for heading in _headings(path)}


def _headings(path: Path) -> list[str]:
    return _HEADING.findall(_FENCE.sub("", path.read_text()))


def _anchor(heading: str) -> str:
    return re.sub(r"[^\w\- ]", "", heading.lower()).strip().replace(" ", "-")


def _path_exists(page: Path, word: str) -> bool:
    word = word.strip("'\",;:()")
    if not _PATH.fullmatch(word) or word.startswith(tuple(FOREIGN_PATHS)):
        return True
    if "/" not in word:
        return not word.endswith(".py") or word in python_file_names()
    first = word.partition("/")[0]
    if first not in PATH_FOLDERS and not word.endswith(PATH_SUFFIXES):
        return True
    folders = (ROOT, PACKAGE, page.parent)
    return any(next(folder.glob(word.rstrip("/")), None) for folder in folders)


def _name_exists(span: str) -> bool:
    if span in FOREIGN_NAMES or span in LANGUAGE_NAMES or span in text_constants():
        return True
    if span.endswith(PATH_SUFFIXES):
        return True
    code = code_names()
    if _NAME.fullmatch(span):
        return span in code.names
    if member := _MEMBER.fullmatch(span):
        return member[2] in code.members.get(member[1], ())
    if (qualified := _QUALIFIED.fullmatch(span)) and (PACKAGE / qualified[1]).is_dir():
        return _qualified_exists(*qualified.groups())
    return True


def _qualified_exists(package: str, second: str, class_name: str | None) -> bool:
    names = code_names().names
    if class_name is not None and class_name not in names:
        return False
    module = PACKAGE / package / second
    if module.is_dir() or module.with_suffix(".py").is_file() or second in guard_values():
        return True
    return re.fullmatch(_CLASS, second) is not None and second in names


@cache
def text_constants() -> frozenset[str]:
    """Return the strings of the code that look like a constant: environment variables, tags."""
    return frozenset(
        node.value
        for folder in CODE_FOLDERS
        if folder != "tests"
        for path in (ROOT / folder).rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str)
        and re.fullmatch(_CONSTANT, node.value)
    )


@cache
def guard_values() -> frozenset[str]:
    """Return the strings in the guard classes, which commands and pages use as names."""
    values: set[str] = set()
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef) and node.name.endswith("Guard"):
                values.update(
                    constant.value
                    for constant in ast.walk(node)
                    if isinstance(constant, ast.Constant) and isinstance(constant.value, str)
                )
    return frozenset(values)

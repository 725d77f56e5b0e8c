"""Derives the Debian packages that the build and the run lines of `deploy/` need."""

import re
import shlex
import tomllib
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[2]
SHELL_BUILTINS = frozenset({"set", "if", "then", "fi", "[", "!", "cd", "exec"})

ESSENTIAL_PROGRAMS = {
    "sh": "dash",
    "mkdir": "coreutils",
    "rm": "coreutils",
    "cp": "coreutils",
    "cmp": "diffutils",
}
"""Package of each program that every Debian system has (`Essential: yes`)."""

PROGRAM_PACKAGES = {"python3": ("python3",)}
"""Packages that each program needs which is not essential."""

PYTHON_MODULE_PACKAGES = {
    "pip": ("python3-pip", "ca-certificates"),
    "venv": ("python3-venv",),
    "compileall": ("python3",),
}
"""Packages that `python3 -m NAME` needs; pip downloads over TLS, so it needs certificates."""

KNOWN_PACKAGES = frozenset(
    package
    for packages in (*PROGRAM_PACKAGES.values(), *PYTHON_MODULE_PACKAGES.values())
    for package in packages
)


class UnknownProgramError(Exception):
    """A line calls a program that no known package provides."""


class UnknownPackageError(Exception):
    """The deploy file lists an unknown package."""


class DeployFile(NamedTuple):
    """The programs and packages of `deploy/system.toml`."""

    build: str
    run_lines: tuple[str, ...]
    packages: tuple[str, ...]


def read_deploy_file(path: Path = ROOT / "deploy/system.toml") -> DeployFile:
    """Return the programs and packages of a deploy file."""
    document = tomllib.loads(path.read_text())
    run_lines = tuple(role["run"] for role in document["roles"].values())
    return DeployFile(document["build"], run_lines, tuple(document["packages"]))


def shell_commands(script: str) -> list[list[str]]:
    """Return the words of every command in a plain shell script."""
    joined = re.sub(r"\\\n", " ", script)
    commands = []
    for line in joined.splitlines():
        lexer = shlex.shlex(line, posix=True, punctuation_chars=True)
        lexer.commenters = "#"
        lexer.wordchars += ":!"
        words: list[str] = []
        for token in [*lexer, ";"]:
            if token in {";", "&&", "||", "|"}:
                commands.append(words)
                words = []
            else:
                words.append(token)
    return [words for words in map(_without_builtins, commands) if words]


def _without_builtins(words: list[str]) -> list[str]:
    """Return a command without leading keywords; empty for a builtin, such as `[` or `set`."""
    while words and words[0] in {"if", "then", "!", "exec"}:
        words = words[1:]
    return [] if words and words[0] in SHELL_BUILTINS else words


def needed_packages(command: list[str]) -> tuple[str, ...]:
    """Return the packages beyond the essential ones that a command needs.

    Raises
    ------
    UnknownProgramError
        No known package provides the command's program or module.
    """
    program = command[0]
    if program in ESSENTIAL_PROGRAMS:
        return ()
    if program not in PROGRAM_PACKAGES:
        known = ", ".join(sorted({*ESSENTIAL_PROGRAMS, *PROGRAM_PACKAGES}))
        raise UnknownProgramError(
            f"{shlex.join(command)}: unknown program {program!r}, expected one of {known}"
        )
    packages = PROGRAM_PACKAGES[program]
    if command[1:2] != ["-m"]:
        return packages
    module = command[2]
    if module not in PYTHON_MODULE_PACKAGES:
        known = ", ".join(sorted(PYTHON_MODULE_PACKAGES))
        raise UnknownProgramError(
            f"{shlex.join(command)}: unknown module {module!r}, expected one of {known}"
        )
    return (*packages, *PYTHON_MODULE_PACKAGES[module])


def check_packages(deploy: DeployFile, build_script: str) -> set[str]:
    """Return the packages that are needed but not listed.

    Raises
    ------
    UnknownPackageError
        A listed package is not a known package.
    """
    for package in deploy.packages:
        if package not in KNOWN_PACKAGES:
            known = ", ".join(sorted(KNOWN_PACKAGES))
            raise UnknownPackageError(
                f"packages: unknown package {package!r}, expected one of {known}"
            )
    commands = [*shell_commands(deploy.build), *shell_commands(build_script)]
    commands += [shlex.split(line) for line in deploy.run_lines]
    needed = {package for command in commands for package in needed_packages(command)}
    return needed - set(deploy.packages)

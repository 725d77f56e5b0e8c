"""Every command: ``--help``, and invalid input, which gives one line on stderr and exit code 2."""

from collections.abc import Iterator
from pathlib import Path

import click
import pytest
from click.testing import CliRunner, Result

from orchidpath.cli.main import orchidpath


def all_commands(
    group: click.Group, path: tuple[str, ...] = ()
) -> Iterator[tuple[tuple[str, ...], click.Command]]:
    """Yield every command and group with the words that call it on the command line."""
    context = click.Context(group)
    for name in group.list_commands(context):
        command = group.get_command(context, name)
        assert command is not None
        yield (*path, name), command
        if isinstance(command, click.Group):
            yield from all_commands(command, (*path, name))


COMMANDS = list(all_commands(orchidpath))
LEAVES = [each for each in COMMANDS if not isinstance(each[1], click.Group)]


def run(*arguments: str | Path) -> Result:
    return CliRunner().invoke(orchidpath, [str(argument) for argument in arguments])


def assert_refused(result: Result, *mentioned: str) -> None:
    """Check for exit code 2 and one error line, apart from usage hints, with the given texts."""
    assert result.exit_code == 2, (result.exit_code, result.output, result.exception)
    assert result.exception is None or isinstance(result.exception, SystemExit)
    assert "Traceback" not in result.output
    hints = ("Usage:", "Try ")
    lines = [line for line in result.stderr.splitlines() if line and not line.startswith(hints)]
    assert len(lines) == 1, result.stderr
    for text in mentioned:
        assert text in lines[0]


def words_of(each: tuple[tuple[str, ...], click.Command]) -> str:
    return " ".join(each[0])


@pytest.mark.parametrize("each", COMMANDS, ids=words_of)
def test_help(each: tuple[tuple[str, ...], click.Command]) -> None:
    result = run(*each[0], "--help")
    assert result.exit_code == 0
    assert result.stdout.startswith("Usage: ")
    assert each[1].get_short_help_str()


@pytest.mark.parametrize("each", COMMANDS, ids=words_of)
def test_unknown_option(each: tuple[tuple[str, ...], click.Command]) -> None:
    assert_refused(run(*each[0], "--no-such-option"), "--no-such-option")


@pytest.mark.parametrize("each", LEAVES, ids=words_of)
def test_missing_required_arguments_are_reported(
    each: tuple[tuple[str, ...], click.Command], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("ORCHIDPATH_CONTROL", raising=False)
    required = [parameter for parameter in each[1].params if parameter.required]
    if required:
        assert_refused(run(*each[0]), "Missing")
    else:
        assert_refused(run(*each[0], "superfluous"), "superfluous")


@pytest.mark.parametrize(
    "group", ["", *[words_of(each) for each in COMMANDS if each not in LEAVES]]
)
def test_unknown_command(group: str) -> None:
    assert_refused(run(*group.split(), "no-such-command"), "no-such-command")


NUMBERS = [
    (words, option)
    for words, command in LEAVES
    for option in command.params
    if isinstance(option, click.Option)
    and isinstance(option.type, (click.types.IntParamType, click.types.FloatParamType))
]


@pytest.mark.parametrize(
    ("words", "option"), NUMBERS, ids=lambda each: each.name if hasattr(each, "name") else each[-1]
)
def test_an_invalid_number_is_reported(words: tuple[str, ...], option: click.Option) -> None:
    name = max(option.opts, key=len)
    assert_refused(run(*words, name, "many"), "'many'")


FILES = {
    ("router", "-c", "{}"): ".toml",
    ("control", "-c", "{}"): ".toml",
    ("check", "{}"): ".toml",
    ("check", "--kind", "configuration", "{}"): ".json",
    ("check", "--kind", "fleet", "{}"): ".toml",
    ("fleet", "run", "{}"): ".toml",
    ("config", "put", "{}", "--base", "0", "--control", "http://127.0.0.1:1"): ".json",
    ("standin", "caller", "--router", "http://127.0.0.1:1", "--for", "1", "--mix", "{}"): ".toml",
}
CONTENTS = {
    "missing": None,
    "empty line noise": b"\x00\xff\xfe{",
    "not a table": b"[1, 2",
    "deep": b"x = " + b"[" * 20_000,
    "invalid utf-8": b'node_id = "\xff"',
}


@pytest.mark.parametrize("content", CONTENTS.values(), ids=CONTENTS.keys())
@pytest.mark.parametrize("arguments", FILES, ids=" ".join)
def test_a_missing_file_is_reported(
    tmp_path: Path, arguments: tuple[str, ...], content: bytes | None
) -> None:
    path = tmp_path / f"file{FILES[arguments]}"
    if content is not None:
        path.write_bytes(content)
    filled = [str(path) if each == "{}" else each for each in arguments]
    assert_refused(run(*filled), path.name)


@pytest.mark.parametrize("arguments", FILES, ids=" ".join)
def test_a_folder_in_place_of_a_file(tmp_path: Path, arguments: tuple[str, ...]) -> None:
    path = tmp_path / f"folder{FILES[arguments]}"
    path.mkdir()
    assert_refused(run(*[str(path) if each == "{}" else each for each in arguments]), path.name)


def test_replay_rejects_a_missing_log_and_an_invalid_policy(tmp_path: Path) -> None:
    assert_refused(run("replay", tmp_path / "missing.log"), "missing.log")
    log = tmp_path / "decisions.log"
    log.write_bytes(b"")
    assert_refused(run("replay", log, "--policy", tmp_path / "missing.toml"), "missing.toml")
    policy = tmp_path / "policy.toml"
    policy.write_text("[circuit]\nallowed_fails = 0\n")
    assert_refused(run("replay", log, "--policy", policy), "allowed_fails")


@pytest.mark.parametrize("address", ["nonsense", "http://", "ftp://x", "http://127.0.0.1:none"])
@pytest.mark.parametrize("words", ["status", "config get", "config history", "plan show"])
def test_an_invalid_control_address_is_reported(words: str, address: str) -> None:
    assert_refused(run(*words.split(), "--control", address), address)


@pytest.mark.parametrize("seeds", ["x", "3..1", "-1", "..2", "1..2..3"])
def test_simulate_rejects_an_invalid_range(seeds: str) -> None:
    assert_refused(run("simulate", f"--seeds={seeds}"), seeds)

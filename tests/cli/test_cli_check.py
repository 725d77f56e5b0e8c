import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from orchidpath.cli.main import orchidpath

EXAMPLES = sorted((Path(__file__).parents[2] / "examples").glob("*.toml"))

ROUTER = """
node_id = "router-1"
fleet = "vinbrug"
wire_address = "127.0.0.1:7001"
http_address = "127.0.0.1:8001"
seeds = ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"]
"""


def run(*arguments: str | Path) -> Result:
    return CliRunner().invoke(orchidpath, [str(argument) for argument in arguments])


def write(path: Path, text: str) -> Path:
    path.write_text(text)
    return path


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_examples_are_valid_fleet_files(path: Path) -> None:
    result = run("check", path)
    assert result.exit_code == 0, result.output
    assert "valid fleet file" in result.output


def test_every_kind_is_recognised(tmp_path: Path) -> None:
    router = write(tmp_path / "a.toml", ROUTER)
    control = write(tmp_path / "b.toml", ROUTER + 'data_folder = "data"\n')
    configuration = write(tmp_path / "c.json", json.dumps({"services": [], "routes": []}))
    result = run("check", router, control, configuration)
    assert result.exit_code == 0, result.output
    assert [line.split()[-2] for line in result.stdout.splitlines()] == [
        "router",
        "control",
        "configuration",
    ]


def test_problems_of_all_files_are_printed_at_once(tmp_path: Path) -> None:
    router = write(tmp_path / "a.toml", ROUTER + 'zone = 3\nlog_levle = "info"\n')
    service = {"name": "wine", "kind": "model", "models": [], "deecode_workers": 2}
    configuration = write(tmp_path / "c.json", json.dumps({"services": [service]}))
    result = run("check", router, configuration)
    assert result.exit_code == 2
    assert f"{router}: zone:" in result.stderr
    assert f"{router}: log_levle:" in result.stderr
    assert "services[0].deecode_workers" in result.stderr
    assert "Traceback" not in result.output


@pytest.mark.parametrize(
    ("name", "text"), [("x.toml", "colour = 1"), ("x.json", "{"), ("x.yaml", "a: b")]
)
def test_unknown_files_are_rejected(tmp_path: Path, name: str, text: str) -> None:
    result = run("check", write(tmp_path / name, text))
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 1


def test_kind_may_be_given(tmp_path: Path) -> None:
    path = write(tmp_path / "c.toml", "")
    assert run("check", path).exit_code == 2
    assert run("check", "--kind", "configuration", path).exit_code == 0


@pytest.mark.parametrize("command", ["router", "control"])
def test_process_rejects_invalid_settings_before_it_starts(tmp_path: Path, command: str) -> None:
    path = write(tmp_path / "a.toml", 'node_id = "a"\n')
    result = run(command, "-c", path)
    assert result.exit_code == 2
    assert "seeds: missing" in result.stderr
    assert "Traceback" not in result.output


def test_missing_file_is_one_line() -> None:
    result = run("router", "-c", "/nonexistent/router.toml")
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 1

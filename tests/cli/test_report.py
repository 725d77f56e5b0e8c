"""``orchidpath report`` prints the history of measured figures from a journal."""

import json
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from orchidpath.cli.main import orchidpath
from orchidpath.common.daemon import ExitCode
from orchidpath.tools.journal import read_journal


def write_entry(folder: Path, name: str, **fields: Any) -> None:
    entry = {
        "id": name,
        "at": ["2026-12-02T08:00:00Z", "2026-12-02T08:01:00Z"],
        "cmd": "score",
        "argv": ["site.toml"],
        "why": "full score",
        "head": "0123456789abcdef",
        "dirty": False,
        "site": "orchid",
        "ok": True,
        "score": 0.5,
        "figures": {"gate": 1.0},
        "days": [{"G": 0.75, "name": "quiet-1", "score": 0.9, "rules": {}}],
        "unknown_field": 1,
    }
    (folder / f"{name}.json").write_text(json.dumps({**entry, **fields}))


def run_report(folder: Path, *options: str) -> tuple[int, str]:
    result = CliRunner().invoke(orchidpath, ["report", "--journal", str(folder), *options])
    return result.exit_code, result.output


def test_scores_and_hunts_are_printed_oldest_first(tmp_path: Path) -> None:
    write_entry(tmp_path, "b", at=["2026-12-03T08:00:00Z", ""], score=0.625)
    write_entry(tmp_path, "a")
    broken = {"G": 0.0, "name": "mix", "rules": {"TWICE": 1}}
    write_entry(tmp_path, "c", cmd="hunt", score=None, days=[broken, broken])
    exit_code, output = run_report(tmp_path)
    lines = output.splitlines()
    assert exit_code == ExitCode.OK
    assert "0.500" in lines[0]
    assert "0.625" in lines[1]
    assert "gate passed  0123456  worth of days: 0.75" in lines[0]
    assert "2 days, 2 with a rule broken" in lines[2]


def test_trials_are_omitted_unless_requested(tmp_path: Path) -> None:
    write_entry(tmp_path, "a", why="trial: another weight")
    write_entry(tmp_path, "b", dirty=True)
    assert run_report(tmp_path) == (ExitCode.OK, "")
    assert len(run_report(tmp_path, "--trials")[1].splitlines()) == 2


def test_a_failed_gate_and_other_sites(tmp_path: Path) -> None:
    write_entry(tmp_path, "a", figures={"gate": 0.0})
    write_entry(tmp_path, "b", site="other")
    output = run_report(tmp_path, "--site", "orchid")[1]
    assert "gate FAILED" in output
    assert "other" not in output


def test_a_damaged_entry_is_reported(tmp_path: Path) -> None:
    (tmp_path / "bad.json").write_text("{")
    exit_code, output = run_report(tmp_path)
    assert exit_code == ExitCode.FAILED
    assert "bad.json" in output


def test_without_the_extra_a_plot_is_rejected_with_a_hint(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(sys.modules, "matplotlib.figure", None)
    write_entry(tmp_path, "a")
    exit_code, output = run_report(tmp_path, "--plot", str(tmp_path / "plot.svg"))
    assert exit_code == ExitCode.FAILED
    assert "orchidpath[plot]" in output


def test_the_journal_of_this_repository_can_be_read() -> None:
    entries = read_journal(Path(__file__).parents[2] / "journal")
    assert any(entry.command == "score" for entry in entries)


def test_the_losses_of_a_run_are_a_table_with_the_largest_first(tmp_path: Path) -> None:
    day = {
        "G": 0.8,
        "name": "quiet-1",
        "parts": [["whole day", 0.75, 0.96], ["worst windows", 0.25, 0.5]],
        "prices": [["machines", 400.0, 0.03], ["orders", 2.0, 0.0001], ["unknown", None, None]],
        "by_class": [0.9, 0.99, None],
    }
    write_entry(tmp_path, "a", days=[day, {**day, "name": "scale-1", "G": 0.7}])
    exit_code, output = run_report(tmp_path, "--losses", "a")
    assert exit_code == ExitCode.OK
    names = [line[:43].strip() for line in output.splitlines()]
    assert names[2:] == [
        "worth",
        "worst windows",
        "whole day",
        "machines",
        "served, kind 1",
        "served, kind 2",
    ]
    assert output.splitlines()[3].split()[-2:] == ["0.1250", "0.1250"]


def test_an_unknown_run_is_reported(tmp_path: Path) -> None:
    write_entry(tmp_path, "a")
    exit_code, _ = run_report(tmp_path, "--losses", "b")
    assert exit_code != ExitCode.OK

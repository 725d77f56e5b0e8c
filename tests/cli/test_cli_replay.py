import io
import json
from pathlib import Path

from click.testing import CliRunner, Result

from orchidpath.cli.main import orchidpath
from orchidpath.cli.replay import read_lines
from orchidpath.routing.decision_log import (
    MAX_LINE_BYTES,
    DecidedBy,
    DecisionLine,
    LogLine,
    PolicyLine,
    ReportLine,
    encode_line,
)
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import AttemptEffect, CandidateState, Choice, StageCandidates
from orchidpath.wire.records import Stage

POLICY = PolicyLine(
    time="2030-01-01T00:00:00+00:00",
    at_seconds=0.0,
    router_id="router-1",
    incarnation="1",
    configuration_version=1,
    circuit=CircuitPolicy(),
    load_bound_factor=1.25,
)


def attempt(number: int) -> list[LogLine]:
    """Return the lines of a failed attempt on s1, the first of two candidates."""
    states = tuple(
        CandidateState(worker_id=name, status="available", health=0.5, in_flight=0)
        for name in ("s1", "s2")
    )
    decision = DecisionLine(
        time="2030-01-01T00:00:01+00:00",
        at_seconds=float(number),
        request_id=f"r{number}",
        attempt_id=f"a{number}",
        service="stock",
        configuration_version=1,
        per_stage=(StageCandidates(stage=Stage.PLAIN, candidates=("s1", "s2")),),
        decided_by=DecidedBy.LEADER,
        states=states,
        choices=(Choice(stage=Stage.PLAIN, worker_id="s1"),),
    )
    report = ReportLine(
        time="2030-01-01T00:00:02+00:00",
        at_seconds=number + 0.5,
        request_id=f"r{number}",
        attempt_id=f"a{number}",
        worker_id="s1",
        stage=Stage.PLAIN,
        effect=AttemptEffect.TRANSIENT,
    )
    return [decision, report]


def run(tmp_path: Path, extra: bytes, *options: str) -> Result:
    path = tmp_path / "decisions.log"
    lines = [POLICY, *attempt(1), *attempt(2)]
    path.write_bytes(b"".join(map(encode_line, lines)) + extra)
    return CliRunner().invoke(orchidpath, ["replay", str(path), *options])


def policy_file(tmp_path: Path) -> str:
    path = tmp_path / "policy.toml"
    path.write_text("[circuit]\nallowed_fails = 1\n")
    return str(path)


def test_a_log_agrees_with_its_own_policy(tmp_path: Path) -> None:
    result = run(tmp_path, b"")
    assert result.exit_code == 0, result.output
    assert "2 decisions: 2 compared, 2 as the log's policy explains" in result.stdout


def test_differences_are_printed_with_their_line(tmp_path: Path) -> None:
    result = run(tmp_path, b"", "--policy", policy_file(tmp_path))
    assert result.exit_code == 0
    assert "worker s1: circuit: log available, replay cooldown" in result.stdout
    lines = result.stdout.splitlines()
    assert any(line.startswith("line 4 ") and "replay plain=s2" in line for line in lines)


def test_json_output_is_complete(tmp_path: Path) -> None:
    result = run(tmp_path, b"", "--json", "--policy", policy_file(tmp_path))
    value = json.loads(result.stdout)
    assert (value["decisions"], value["agreed"]) == (2, 2)
    assert [each["kind"] for each in value["differences"]] == ["circuit", "other_worker"]


def test_damaged_lines_are_reported_and_exit_with_one(tmp_path: Path) -> None:
    result = run(tmp_path, b'{"type":"rep\n\xff\xfe\n' + b"[" * 50_000)
    assert result.exit_code == 1
    assert "Traceback" not in result.output
    assert [line.split(":")[0] for line in result.stderr.splitlines()] == [
        "line 6",
        "line 7",
        "line 8",
    ]
    assert "2 as the log's policy explains" in result.stdout


def test_a_file_of_random_bytes_is_all_damage(tmp_path: Path) -> None:
    path = tmp_path / "noise"
    path.write_bytes(bytes(range(1, 256)) * 50)
    result = CliRunner().invoke(orchidpath, ["replay", str(path)])
    assert result.exit_code == 1
    assert "0 decisions" in result.stdout


def test_a_line_that_is_too_long_is_one_line() -> None:
    content = io.BytesIO(b"x" * (3 * MAX_LINE_BYTES) + b"\nnext\n")
    lines = list(read_lines(content))
    assert [len(line) for line in lines] == [MAX_LINE_BYTES + 1, 5]

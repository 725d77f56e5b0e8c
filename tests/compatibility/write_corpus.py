"""Writes the corpus of encoded values; run manually, once, with the code whose formats it pins.

Usage: ``python tests/compatibility/write_corpus.py [--overwrite | --group NAME]``. The script
refuses to replace existing files: a corpus that changed code has written again would prove nothing.
"""

import argparse
import itertools
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from binary_corpus import FOLDER, GROUPS, Case, Group, cases_text, plain, read_cases
from corpus_values import ValueMaker, variant_count
from data_folder_history import (
    EXPECTED_STATE,
    write_expected_state,
    write_folder,
    write_later_folder,
)

from orchidpath.consensus.errors import ConsensusError
from orchidpath.routing.decision_log import LogLine, encode_line
from orchidpath.state.commands import SubmitConfiguration
from orchidpath.state.snapshot import SnapshotBody
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.messages import FleetUpdate
from orchidpath.wire.records import FleetView, RouterRecord

DECISION_LOG = FOLDER / "decision_log.jsonl"
DECISION_LOG_VALUES = FOLDER / "decision_log.json"


def large_command() -> SubmitConfiguration:
    """Return a command that is large enough to be compressed."""
    return SubmitConfiguration(
        order_id="large",
        base_version=3,
        configuration=Configuration(label=7),
        digest="digest",
        document=b"a line of a long document\n" * 1000,
    )


def large_message() -> FleetUpdate:
    """Return a message that is large enough to be compressed."""
    routers = tuple(
        RouterRecord(
            router_id=f"router-{number}",
            address=f"10.0.0.{number}:7000",
            http_address=f"http://10.0.0.{number}:8000",
        )
        for number in range(200)
    )
    view = FleetView(
        revision=5, configuration_version=2, configuration=Configuration(), routers=routers
    )
    return FleetUpdate(revision=5, configuration_version=2, view=view)


def group_values(group: Group) -> Iterator[tuple[str, Any]]:
    """Yield the cases of a group: defaults, fields set down to each depth, and large ones."""
    for label, expected in group.labelled.items():
        yield f"{label}/defaults", ValueMaker(set_depth=0).make(expected)
        complete = ValueMaker().make(expected)
        for depth in itertools.count(1):
            value = ValueMaker(set_depth=depth).make(expected)
            if value == complete:
                break
            yield f"{label}/set to depth {depth}", value
        for variant in range(variant_count(expected)):
            value = ValueMaker(variant=variant).make(expected)
            yield f"{label}/all set {variant}", value
    if group.name == "log_commands":
        yield "submit_configuration/large", large_command()
    if group.name == "wire_frames":
        yield "fleet_update/large", large_message()
    if group.name == "log_snapshots":
        yield "snapshot_body/large", SnapshotBody(document=large_command().document)


def group_cases(group: Group) -> dict[str, Case]:
    """Return the cases of a group, encoded by the production code."""
    return {
        name: Case(content=group.encode(value).hex(), value=plain(value))
        for name, value in group_values(group)
    }


def write_decision_log() -> None:
    """Write a complete decision log, and its lines as plain JSON."""
    [group] = [group for group in GROUPS if group.name == "decision_log_lines"]
    lines: list[LogLine] = [value for _, value in group_values(group)]
    DECISION_LOG.write_bytes(b"".join(encode_line(line) for line in lines))
    values = [plain(line) for line in lines]
    DECISION_LOG_VALUES.write_text(json.dumps(values, indent=1, ensure_ascii=False) + "\n")


def refuse_existing(paths: list[Path]) -> None:
    """Exit with an error if a file of the corpus already exists."""
    existing = [str(path.name) for path in paths if path.exists()]
    if existing:
        sys.exit(f"refused, these exist (--overwrite replaces them): {', '.join(existing)}")


def main(arguments: list[str]) -> None:
    """Write every file of the corpus."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--overwrite", action="store_true")
    parser.add_argument("--group", help="write the file of this group alone")
    options = parser.parse_args(arguments)
    if options.group:
        [group] = [group for group in GROUPS if group.name == options.group]
        refuse_existing([group.path])
        group.path.write_text(cases_text(group_cases(group)))
        return
    if not options.overwrite:
        folders = [FOLDER / "data_folder", FOLDER / "data_folder_later"]
        groups = [group.path for group in GROUPS]
        refuse_existing([*groups, DECISION_LOG, DECISION_LOG_VALUES, EXPECTED_STATE, *folders])
    for group in GROUPS:
        group.path.write_text(cases_text(group_cases(group)))
        assert read_cases(group.path)
    write_decision_log()
    write_folder(FOLDER / "data_folder")
    write_expected_state(FOLDER / "data_folder")
    write_later_folder(FOLDER / "data_folder_later")


if __name__ == "__main__":
    try:
        main(sys.argv[1:])
    except (ConsensusError, msgspec.MsgspecError) as error:
        sys.exit(f"not written: {error}")

"""Tests that each kind of incompatible change makes a comparison with the corpus fail."""

from enum import Enum, StrEnum
from pathlib import Path
from typing import Any

import msgspec
import pytest
import write_corpus
from binary_corpus import ARRAY_FIELDS, GROUPS, Case, case_difference, read_cases
from corpus_checks import groups_named, uncovered_forms, uncovered_labels

from orchidpath.consensus.raft_messages import AppendEntries
from orchidpath.consensus.types import LogEntry
from orchidpath.state.commands import LeaderStarted, WorkerRemoved
from orchidpath.wire.messages import DecisionRequest, PromptShape


def stored(group_name: str, case_name: str) -> Case:
    [group] = groups_named(group_name)
    return read_cases(group.path)[case_name]


APPEND = stored("wire_consensus_payloads", "raft_append_entries/all set 1")
DECISION = stored("wire_payloads", "decision_request/all set 0")


def difference(case: Case, altered: Any, array_fields: Any = ARRAY_FIELDS) -> str:
    decoder = msgspec.msgpack.Decoder(altered)
    return case_difference(case, decoder.decode, msgspec.msgpack.encode, array_fields)


def altered_copy(struct: type[msgspec.Struct], **types: Any) -> type[msgspec.Struct]:
    """Return a copy of a struct in which some fields have another type."""
    fields: list[Any] = []
    for field in msgspec.structs.fields(struct):
        options: dict[str, Any] = {"name": field.encode_name}
        if field.default is not msgspec.NODEFAULT:
            options["default"] = field.default
        if field.default_factory is not msgspec.NODEFAULT:
            options["default_factory"] = field.default_factory
        field_type = types.get(field.name, field.type)
        fields.append((field.name, field_type, msgspec.field(**options)))
    return msgspec.defstruct(
        struct.__name__, fields, tag=struct.__struct_config__.tag, kw_only=True
    )


def test_the_unchanged_types_agree() -> None:
    assert not difference(stored("log_commands", "leader_started/all set 0"), LeaderStarted)
    assert not difference(stored("log_commands", "worker_gone/all set 0"), WorkerRemoved)
    assert not difference(APPEND, altered_copy(AppendEntries))
    assert not difference(DECISION, altered_copy(DecisionRequest))


def test_a_renamed_required_field_is_noticed() -> None:
    altered = msgspec.defstruct("LeaderStarted", [("number", int)], tag="leader_started")
    case = stored("log_commands", "leader_started/all set 0")
    assert "missing required field `number`" in difference(case, altered)


@pytest.mark.parametrize("kind", ["defaults", "all set 0"])
def test_a_renamed_optional_field_is_noticed(kind: str) -> None:
    altered = msgspec.defstruct(
        "WorkerGone",
        [("worker_id", str), ("incarnation", str), ("number", int, 0)],
        tag="worker_gone",
    )
    case = stored("log_commands", f"worker_gone/{kind}")
    assert "reads as" in difference(case, altered)


def test_a_tag_taken_from_the_name_of_a_class_is_noticed() -> None:
    altered = msgspec.defstruct("LeaderStarted", [("term", int)], tag=True)
    case = stored("log_commands", "leader_started/all set 0")
    assert "Invalid value 'leader_started'" in difference(case, altered)


def test_a_changed_text_of_an_enum_is_noticed() -> None:
    class AlteredAction(StrEnum):
        CONFIRM = "start"
        HALT = "halt"
        RESUME = "resume"
        CANCEL = "cancel"

    altered = msgspec.defstruct(
        "PlanOrderRequest",
        [("correlation", int), ("order_id", str), ("action", AlteredAction), ("plan_id", str)],
        tag="plan_order_request",
    )
    cases = [stored("wire_payloads", f"plan_order_request/all set {index}") for index in range(4)]
    differences = [difference(case, altered) for case in cases]
    assert "Invalid enum value 'confirm'" in differences[0]
    assert not any(differences[1:])


def test_exchanged_numbers_of_an_enum_are_noticed() -> None:
    class AlteredKind(Enum):
        NOOP = 0
        MEMBERSHIP = 1
        OTHER = 3

    altered = msgspec.defstruct(
        "LogEntry",
        [("index", int), ("term", int), ("kind", AlteredKind), ("payload", bytes, b"")],
        array_like=True,
    )
    fields = {**ARRAY_FIELDS, altered: ARRAY_FIELDS[LogEntry]}
    message = altered_copy(AppendEntries, entries=list[altered])  # type: ignore[valid-type]
    assert "Invalid enum value 2" in difference(APPEND, message, fields)


def test_swapped_fields_of_an_array_like_struct_are_noticed() -> None:
    altered = msgspec.defstruct(
        "PromptShape",
        [("prefix_key", int), ("own_tokens", int), ("shared_tokens", int)],
        array_like=True,
    )
    fields = {**ARRAY_FIELDS, altered: ARRAY_FIELDS[PromptShape]}
    message = altered_copy(DecisionRequest, prompt=altered | None)
    assert "reads as" in difference(DECISION, message, fields)


def test_an_added_optional_field_is_noticed() -> None:
    altered = msgspec.defstruct(
        "LeaderStarted", [("term", int), ("added", int, 0)], tag="leader_started"
    )
    assert "reads as" in difference(stored("log_commands", "leader_started/all set 0"), altered)


def test_a_type_without_a_case_is_noticed() -> None:
    class Added(msgspec.Struct, tag="added"):
        number: int = 0

    [group] = groups_named("log_commands")
    wider = group._replace(labelled={**group.labelled, "added": Added})
    assert uncovered_labels(wider) == {"added"}
    assert not uncovered_forms([group])
    assert uncovered_forms([wider]) == ["Added with its defaults", "Added.number set"]


def test_no_name_of_a_class_stands_in_a_label() -> None:
    labels = {name for group in GROUPS for name in read_cases(group.path)}
    names = {struct.__name__ for group in GROUPS for struct in group.labelled.values()}
    assert not {label for label in labels for name in names if name in label}


def test_the_corpus_is_written_once() -> None:
    before = _contents()
    with pytest.raises(SystemExit, match="refused, these exist"):
        write_corpus.main([])
    assert _contents() == before


def _contents() -> dict[Path, bytes]:
    return {group.path: group.path.read_bytes() for group in GROUPS}

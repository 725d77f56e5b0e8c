"""The corpus of encoded values: its files, the codec of each group, and the comparison of cases.

A case is one value, as the bytes that the code before the first rename wrote and as plain JSON.
The files contain no class names: cases are labelled by tag or by a label of the corpus. Only this
module maps these labels to classes and attributes.
"""

import base64
import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from enum import Enum
from pathlib import Path
from types import UnionType
from typing import Any, NamedTuple, Union, get_args, get_origin

import msgspec

from orchidpath.circuit.decision_outcomes import WorkerCircuitView
from orchidpath.common.errors import OrchidpathError
from orchidpath.consensus.log import decode_membership, encode_membership
from orchidpath.consensus.log_records import Record, encode_record, read_records
from orchidpath.consensus.raft_messages import RaftMessage
from orchidpath.consensus.types import LogEntry, Membership
from orchidpath.control.replica.consensus_codec import decode_consensus, encode_consensus
from orchidpath.routing.decision_log import LogLine, decode_line, encode_line
from orchidpath.state.commands import Command, RemoveRouter, decode_command, encode_command
from orchidpath.state.snapshot import SnapshotBody, decode_snapshot, encode_snapshot
from orchidpath.wire.backend import (
    Announcement,
    AnnouncementReply,
    CallReply,
    CallRequest,
    CancelReply,
    DecodeFrame,
    DecodeRequest,
    ErrorEnvelope,
    PrefillReply,
    PrefillRequest,
    WorkerCommand,
    WorkerCommandReply,
)
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.framing import FrameDecoder, encode_frame
from orchidpath.wire.link_faults import LinkFaultFile
from orchidpath.wire.messages import (
    AttemptReport,
    ConsensusMessage,
    InFlightMark,
    Message,
    PromptShape,
    RouterLeaving,
    WorkerTally,
)

FOLDER = Path(__file__).parent

FORMAT_FIELD = "format"
"""Attribute with the version of a format; a value with another version can't be read."""

ArrayFields = Mapping[type, Mapping[str, str]]
"""For each array-like struct: the attribute for each name of the corpus, in encoded order."""

ARRAY_FIELDS: ArrayFields = {
    LogEntry: {"index": "index", "term": "term", "kind": "kind", "payload": "payload"},
    PromptShape: {
        "prefix_key": "prefix_key",
        "shared_tokens": "shared_tokens",
        "own_tokens": "own_tokens",
    },
    AttemptReport: {
        "request_id": "request_id",
        "attempt_id": "attempt_id",
        "worker_id": "worker_id",
        "effect": "effect",
        "probe_generation": "probe_generation",
    },
    InFlightMark: {
        "request_id": "request_id",
        "attempt_id": "attempt_id",
        "worker_id": "worker_id",
        "age_seconds": "age_seconds",
    },
    WorkerTally: {
        "worker_id": "worker_id",
        "successes": "successes",
        "failures": "failures",
        "consecutive_transients": "consecutive_transients",
    },
}
"""The fields of all array-like structs.

The bytes of these structs contain no field names, so that a swap of two fields can be detected only
by this table. The keys occur in the files and never change; a value changes if its attribute is
renamed.
"""

JSON_BODIES: dict[str, type[msgspec.Struct]] = {
    "error": ErrorEnvelope,
    "prefill_request": PrefillRequest,
    "prefill_reply": PrefillReply,
    "decode_request": DecodeRequest,
    "decode_frame": DecodeFrame,
    "call_request": CallRequest,
    "call_reply": CallReply,
    "cancel_reply": CancelReply,
    "announcement": Announcement,
    "announcement_reply": AnnouncementReply,
    "worker_order": WorkerCommand,
    "worker_order_reply": WorkerCommandReply,
    "configuration": Configuration,
    "link_fault_file": LinkFaultFile,
}
"""Structs of the wire package that are sent as JSON and have no tag."""


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """One encoded value, in hexadecimal digits, and the value as plain JSON."""

    content: str = msgspec.field(name="bytes")
    value: Any


class Group(NamedTuple):
    """Cases of one file, and the production code that reads and writes them.

    Attributes
    ----------
    name
        Name of the file without its suffix.
    labelled
        Root type of each label; the label of a member of a union is its tag.
    decode, encode
        The production code; ``decode`` also receives the label of the case.
    """

    name: str
    labelled: Mapping[str, type[msgspec.Struct]]
    decode: Callable[[str, bytes], object]
    encode: Callable[[Any], bytes]

    @property
    def path(self) -> Path:
        """Path of the group's file."""
        return FOLDER / f"{self.name}.json"


def by_tag(union: Any) -> dict[str, type[msgspec.Struct]]:
    """Return the members of a union by their tags."""
    return {str(member.__struct_config__.tag): member for member in get_args(union)}


def _decode_frame(_label: str, content: bytes) -> object:
    [message] = FrameDecoder().feed(content)
    return message


def _decode_consensus_frame(label: str, content: bytes) -> object:
    message = _decode_frame(label, content)
    assert isinstance(message, ConsensusMessage)
    return decode_consensus(message)


def _decode_record(_label: str, content: bytes) -> object:
    [found] = read_records(content)
    assert found.end == len(content)
    return found.record


_messages: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def _decode_circuit_view(_label: str, content: bytes) -> object:
    [view] = msgspec.msgpack.decode(content, type=tuple[WorkerCircuitView, ...])
    return view


LATER_MESSAGES = {"router_leaving": RouterLeaving}
"""Messages that are newer than the corpus of all others, in a group of their own."""

LATER_FIELDS: Mapping[type[msgspec.Struct], Mapping[str, object]] = {RemoveRouter: {"left": False}}
"""Optional fields that are newer than the corpus, with their defaults.

The cases that set them are in later groups.
"""

FIRST_MESSAGES = {
    label: message for label, message in by_tag(Message).items() if label not in LATER_MESSAGES
}

GROUPS: tuple[Group, ...] = (
    Group("wire_frames", FIRST_MESSAGES, _decode_frame, encode_frame),
    Group("later_wire_frames", LATER_MESSAGES, _decode_frame, encode_frame),
    Group(
        "wire_payloads",
        FIRST_MESSAGES,
        lambda _label, content: _messages.decode(content),
        msgspec.msgpack.encode,
    ),
    Group(
        "wire_consensus_payloads",
        by_tag(RaftMessage),
        lambda _label, content: decode_consensus(ConsensusMessage(payload=content)),
        lambda message: encode_consensus(message).payload,
    ),
    Group(
        "wire_consensus_frames",
        by_tag(RaftMessage),
        _decode_consensus_frame,
        lambda message: encode_frame(encode_consensus(message)),
    ),
    Group(
        "wire_circuit_views",
        {"worker_circuit_view": WorkerCircuitView},
        _decode_circuit_view,
        lambda view: msgspec.msgpack.encode((view,)),
    ),
    Group(
        "wire_json_bodies",
        JSON_BODIES,
        lambda label, content: msgspec.json.decode(content, type=JSON_BODIES[label]),
        msgspec.json.encode,
    ),
    Group(
        "log_commands",
        by_tag(Command),
        lambda _label, content: decode_command(content),
        encode_command,
    ),
    Group(
        "later_log_commands",
        {"remove_router": RemoveRouter},
        lambda _label, content: decode_command(content),
        encode_command,
    ),
    Group("log_records", by_tag(Record), _decode_record, encode_record),
    Group(
        "log_memberships",
        {"membership": Membership},
        lambda _label, content: decode_membership(content),
        encode_membership,
    ),
    Group(
        "log_snapshots",
        {"snapshot_body": SnapshotBody},
        lambda _label, content: decode_snapshot(content),
        encode_snapshot,
    ),
    Group(
        "decision_log_lines",
        by_tag(LogLine),
        lambda _label, content: decode_line(content),
        encode_line,
    ),
)

READ_ERRORS = (OrchidpathError, msgspec.MsgspecError, ValueError)
"""Errors that a decoder raises for bytes that it rejects."""


def label_of(case_name: str) -> str:
    """Return the label in a case's name, which has the form ``label/variant``."""
    return case_name.split("/", maxsplit=1)[0]


def read_cases(path: Path) -> dict[str, Case]:
    """Return the cases of a file by their names."""
    return msgspec.json.decode(path.read_bytes(), type=dict[str, Case])


def cases_text(cases: Mapping[str, Case]) -> str:
    """Return the text of a file of cases."""
    return json.dumps(msgspec.to_builtins(cases), indent=1, ensure_ascii=False) + "\n"


def plain(value: Any, array_fields: ArrayFields = ARRAY_FIELDS) -> Any:
    """Return a value as plain JSON, with the encoded names and tags.

    The result is that of ``msgspec.to_builtins``, except that an array-like struct becomes a
    dictionary: in a list, a swap of two fields of the same type could not be detected.
    """
    if isinstance(value, msgspec.Struct):
        return _plain_struct(value, array_fields)
    if isinstance(value, msgspec.Raw):
        return json.loads(bytes(value))
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, list | tuple):
        return [plain(item, array_fields) for item in value]
    if isinstance(value, dict):
        return {key: plain(item, array_fields) for key, item in value.items()}
    assert value is None or isinstance(value, bool | int | float | str), type(value)
    return value


def _plain_struct(value: msgspec.Struct, array_fields: ArrayFields) -> dict[str, Any]:
    config = value.__struct_config__
    if config.array_like:
        names = array_fields[type(value)]
    else:
        fields = msgspec.structs.fields(type(value))
        names = {field.encode_name: field.name for field in fields}
    content: dict[str, Any] = {}
    if config.tag is not None:
        content[str(config.tag_field)] = config.tag
    later = LATER_FIELDS.get(type(value), {})
    for name, attribute in names.items():
        if name in later and getattr(value, attribute) == later[name]:
            continue  # Older cases lack the field; it must read as its default.
        content[name] = plain(getattr(value, attribute), array_fields)
    return content


def case_difference(
    case: Case,
    decode: Callable[[bytes], object],
    encode: Callable[[Any], bytes],
    array_fields: ArrayFields = ARRAY_FIELDS,
) -> str:
    """Return how the result of the code differs from a case; empty if there is no difference."""
    content = bytes.fromhex(case.content)
    try:
        value = decode(content)
    except READ_ERRORS as error:
        return f"cannot be read: {error}"
    if plain(value, array_fields) != case.value:
        return f"reads as {plain(value, array_fields)}"
    if encode(value) != content:
        return f"is written as {encode(value).hex()}"
    return ""


def reachable_types(roots: Iterable[Any]) -> set[type]:
    """Return every struct and enum that some types contain, including the types themselves."""
    found: set[type] = set()
    waiting = list(roots)
    while waiting:
        expected = waiting.pop()
        if get_origin(expected) is not None or isinstance(expected, UnionType):
            waiting.extend(get_args(expected))
        elif isinstance(expected, type) and expected not in found:
            if issubclass(expected, msgspec.Struct):
                found.add(expected)
                waiting.extend(field.type for field in msgspec.structs.fields(expected))
            elif issubclass(expected, Enum):
                found.add(expected)
    return found


def walk_values(value: Any) -> Iterator[msgspec.Struct | Enum]:
    """Yield every struct and enum in a value, including the value itself."""
    if isinstance(value, msgspec.Struct):
        yield value
        for field in msgspec.structs.fields(type(value)):
            yield from walk_values(getattr(value, field.name))
    elif isinstance(value, Enum):
        yield value
    elif isinstance(value, list | tuple):
        for item in value:
            yield from walk_values(item)
    elif isinstance(value, dict):
        for item in value.values():
            yield from walk_values(item)


def decoded_values(groups: Iterable[Group]) -> Iterator[msgspec.Struct | Enum]:
    """Yield every struct and enum in all the cases of some groups."""
    for group in groups:
        for name, case in read_cases(group.path).items():
            yield from walk_values(group.decode(label_of(name), bytes.fromhex(case.content)))


def is_union(expected: Any) -> bool:
    """Return whether a type annotation is a union."""
    return isinstance(expected, UnionType) or get_origin(expected) is Union

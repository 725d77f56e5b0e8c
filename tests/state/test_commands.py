"""Commands of the log: digests of configurations, and compatibility with older and newer logs."""

import msgspec
import pytest

from orchidpath.state.commands import (
    MAX_NEW_COMMAND_BYTES,
    CommandEncodeError,
    LeaderStarted,
    SubmitConfiguration,
    WorkerRemoved,
    check_command,
    configuration_digest,
    decode_command,
    encode_command,
)
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.framing import FrameDecoder, encode_frame
from orchidpath.wire.messages import ConfigurationUpdateRequest


def test_the_digest_depends_on_content_and_base_version_and_not_on_formatting() -> None:
    explicit = msgspec.json.decode(b'{"routes": [], "services": []}', type=Configuration)
    assert configuration_digest(3, explicit) == configuration_digest(3, Configuration())
    assert configuration_digest(3, explicit) != configuration_digest(4, explicit)
    other = Configuration(services=[Service(name="x", kind=ServiceKind.PLAIN)])
    assert configuration_digest(3, explicit) != configuration_digest(3, other)


def test_commands_gain_fields_without_breaking_old_logs() -> None:
    newer = msgspec.msgpack.encode({"type": "leader_started", "term": 5, "added_later": 1})
    older = msgspec.msgpack.encode({"type": "worker_gone", "worker_id": "w", "incarnation": "a"})
    assert decode_command(newer) == LeaderStarted(term=5)
    assert decode_command(older) == WorkerRemoved(worker_id="w", incarnation="a")


def update(document: bytes) -> SubmitConfiguration:
    """Return an update to an empty configuration, with the operator's text."""
    return SubmitConfiguration(
        order_id="a",
        base_version=0,
        configuration=Configuration(),
        digest=configuration_digest(0, Configuration()),
        document=document,
    )


def test_a_command_that_no_replica_could_decode_is_not_encoded() -> None:
    """Guards against a log entry on which every replica stops, whenever it starts again.

    The text of many equal parts is small once it is compressed, and large again when it is read.
    """
    with pytest.raises(CommandEncodeError):
        encode_command(update(bytes(MAX_NEW_COMMAND_BYTES)))
    largest = update(bytes(MAX_NEW_COMMAND_BYTES - 5_000))
    assert decode_command(encode_command(largest)) == largest


def test_what_contains_the_largest_configuration_fits_into_a_frame() -> None:
    largest = update(bytes(MAX_NEW_COMMAND_BYTES - 5_000))
    check_command(largest)
    request = ConfigurationUpdateRequest(
        correlation=1,
        order_id=largest.order_id,
        base_version=largest.base_version,
        configuration=largest.configuration,
        digest=largest.digest,
        document=largest.document,
    )
    assert FrameDecoder().feed(encode_frame(request)) == [request]


@pytest.mark.parametrize("sequence", [-(2**63) - 1, 2**64])
def test_a_command_with_a_number_beyond_msgpack_is_not_encoded(sequence: int) -> None:
    removal = WorkerRemoved(worker_id="w", incarnation="a", sequence=sequence)
    with pytest.raises(CommandEncodeError):
        encode_command(removal)
    with pytest.raises(CommandEncodeError):
        check_command(removal)

"""Commands of the log: digests of configurations, and compatibility with older and newer logs."""

import msgspec

from orchidpath.state.commands import (
    LeaderStarted,
    WorkerRemoved,
    configuration_digest,
    decode_command,
)
from orchidpath.wire.configuration import Configuration, Service, ServiceKind


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

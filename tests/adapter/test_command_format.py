"""Commands to workers and their replies in the platform's format."""

import json

from command_format import PlatformCommandFormat
from orchidpath.wire.backend import WorkerCommand, WorkerCommandKind
from orchidpath.wire.records import Stage


def test_commands_carry_one_leader_and_its_fencing_token() -> None:
    command_format = PlatformCommandFormat("front-z-1")
    command = WorkerCommand(
        term=41,
        sequence=3,
        worker_id="i-1",
        incarnation="i-1",
        kind=WorkerCommandKind.SET_STAGE,
        stage=Stage.PREFILL,
    )
    body = json.loads(command_format.body(command))
    assert body == {"op": "stage", "stage": "prefill", "holder": "front-z-1", "fence": 41}
    assert command_format.headers(command)["X-Target-Instance"] == "i-1"
    assert command_format.read_reply(command, 202, b"").accepted
    assert command_format.read_reply(command, 200, b"").accepted
    assert not command_format.read_reply(command, 409, b"").accepted
    assert not command_format.read_reply(command, 412, b"").accepted

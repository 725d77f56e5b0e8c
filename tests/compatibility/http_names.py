"""Names and numbers of the HTTP interfaces that occur in no message body."""

from typing import Any

import msgspec

from command_format import PlatformCommandFormat
from control_calls import RETRY_SECONDS
from orchidpath.emulators.backend.http_exchange import DEFAULT_ERROR_STATUS
from orchidpath.emulators.backend.http_exchange import STATUS_BY_CODE as BACKEND_STATUS_BY_CODE
from orchidpath.router.chat.http_errors import REQUEST_ID_HEADER, STATUS_BY_CODE
from orchidpath.wire.backend import (
    ANNOUNCE_PERIOD_SECONDS,
    ATTEMPT_HEADER,
    WORKER_LEASE_SECONDS,
    ErrorCode,
    WorkerCommand,
    WorkerCommandKind,
)
from orchidpath.wire.records import Stage
from request_mapping import HEADER_NAMES, PlatformProtocolMapping


def http_names() -> dict[str, Any]:
    """Return the names and numbers of the current code."""
    command = WorkerCommand(
        term=4,
        sequence=2,
        worker_id="w1",
        incarnation="i1",
        kind=WorkerCommandKind.SET_STAGE,
        stage=Stage.DECODE,
    )
    command_format = PlatformCommandFormat("node-1")
    return {
        "header of the attempt": ATTEMPT_HEADER,
        "header of the request": REQUEST_ID_HEADER,
        "seconds between announcements": ANNOUNCE_PERIOD_SECONDS,
        "seconds of a worker's lease": WORKER_LEASE_SECONDS,
        "status of each error of a router": {
            code.value: STATUS_BY_CODE.get(code, 500) for code in ErrorCode
        },
        "status of each error of a back end": {
            code.value: BACKEND_STATUS_BY_CODE.get(code, DEFAULT_ERROR_STATUS) for code in ErrorCode
        },
        "platform, headers": [name.decode() for name in msgspec.structs.astuple(HEADER_NAMES)],
        "platform, ready path": PlatformProtocolMapping.ready_path,
        "platform, target that frees a handle": PlatformProtocolMapping()
        .release_target("h1")
        .decode(),
        "platform, seconds of Retry-After": RETRY_SECONDS,
        "platform, order": {
            "path": command_format.path,
            "headers": command_format.headers(command),
            "body": command_format.body(command).decode(),
        },
    }

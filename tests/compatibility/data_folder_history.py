"""Data folder of a control process: the commands written to it, and the state restored from it."""

import json
import random
import shutil
from pathlib import Path
from typing import Any

from binary_corpus import FOLDER, plain

from orchidpath.circuit.transitions import CapacityTransition, CircuitTransition
from orchidpath.consensus.files import RealFiles
from orchidpath.consensus.log import encode_membership
from orchidpath.consensus.log_records import (
    EntriesRecord,
    HeaderRecord,
    encode_record,
)
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.storage import IDENTITY_NAME, LOCK_NAME, LOG_NAME, FileLogStorage
from orchidpath.consensus.types import (
    EntryKind,
    HardState,
    LogEntry,
    Membership,
    RaftSettings,
    Snapshot,
)
from orchidpath.control.leadership.member_manager import MemberPolicy
from orchidpath.control.replica.control_replica import ControlReplica
from orchidpath.state.commands import (
    CancelPlan,
    CapacityChanged,
    CircuitChanged,
    Command,
    CordonWorker,
    HaltPlan,
    LeaderStarted,
    RegisterControlMember,
    RegisterRouter,
    ResumePlan,
    RevisionConfirmed,
    StartPlan,
    SubmitConfiguration,
    WorkerChanged,
    WorkerRemoved,
    configuration_digest,
    encode_command,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.plans import Plan, PlanStep, ServiceBounds, basis_digest
from orchidpath.wire.configuration import Configuration, Route, Service, ServiceKind
from orchidpath.wire.records import (
    CircuitStatus,
    ControlMember,
    RouterRecord,
    Stage,
    WorkerRecord,
)

IDENTITY = "0123456789abcdef0123456789abcdef"
NODE_ID = f"control-1.{IDENTITY[:12]}"
MEMBER = ControlMember(
    node_id=NODE_ID, address="10.0.0.1:7000", http_address="http://10.0.0.1:8000"
)
MEMBERSHIP = Membership((NODE_ID,), (), {NODE_ID: MEMBER.address})
TERM = 3
TORN_BYTES = 11
EXPECTED_STATE = FOLDER / "data_folder.json"
TICK_SECONDS = 0.05
LONGEST_ELECTION_TICKS = 200


def configuration(label: int) -> Configuration:
    """Return a configuration of two services."""
    model = Service(name="chat", kind=ServiceKind.MODEL, models=["m"], prefill_workers=1)
    plain_service = Service(name="search", kind=ServiceKind.PLAIN)
    routes = [
        Route(name="chat", service="chat", model="m"),
        Route(name="search", service="search", method="POST", path="/search/{index}"),
    ]
    return Configuration(services=[model, plain_service], routes=routes, label=label)


def submission(order_id: str, base_version: int, label: int) -> SubmitConfiguration:
    """Return an operator's configuration update."""
    content = configuration(label)
    return SubmitConfiguration(
        order_id=order_id,
        base_version=base_version,
        configuration=content,
        digest=configuration_digest(base_version, content),
        document=b"document %d" % label,
    )


def worker(worker_id: str, stage: Stage, incarnation: str = "life-1") -> WorkerRecord:
    """Return a worker of the model service."""
    return WorkerRecord(
        worker_id=worker_id,
        incarnation=incarnation,
        service="chat",
        stage=stage,
        url=f"http://{worker_id}:9000",
        models=("m",),
        zone="zone-1",
    )


def orders() -> list[SubmitConfiguration]:
    """Return the configuration updates: two that are accepted and one that conflicts."""
    return [submission("first", 0, 1), submission("second", 1, 2), submission("late", 0, 3)]


def early_plan_order() -> StartPlan:
    """Return a rejected plan action, whose outcome the snapshot contains."""
    return StartPlan(order_id="early", plan_id="plan-0")


def early_commands() -> list[Command]:
    """Return the commands that the snapshot covers."""
    return [
        LeaderStarted(term=2),
        RegisterControlMember(member=MEMBER),
        orders()[0],
        RegisterRouter(
            record=RouterRecord(
                router_id="router-1", address="10.0.0.2:7000", http_address="http://10.0.0.2:8000"
            )
        ),
        WorkerChanged(record=worker("prefill-1", Stage.PREFILL), sequence=1),
        WorkerChanged(record=worker("prefill-2", Stage.PREFILL), sequence=1),
        WorkerChanged(record=worker("decode-1", Stage.DECODE), sequence=4),
        WorkerChanged(record=worker("decode-2", Stage.DECODE), sequence=2),
        WorkerRemoved(worker_id="decode-2", incarnation="life-1", sequence=9),
        CircuitChanged(
            transition=CircuitTransition(
                worker_id="prefill-1",
                expected_generation=0,
                status=CircuitStatus.COOLDOWN,
                duration_seconds=1e9,
                incarnation="life-1",
            )
        ),
        RevisionConfirmed(revision=3),
        early_plan_order(),
    ]


def plan_for(state: FleetState) -> Plan:
    """Return a plan that switches the stage of one worker of the state."""
    version = state.configuration_version
    return Plan(
        plan_id="plan-1",
        configuration_version=version,
        revision=state.revision,
        basis=basis_digest(version, state.workers(), ["chat"]),
        steps=(
            PlanStep(
                worker_id="prefill-2",
                incarnation="life-1",
                service="chat",
                from_stage=Stage.PREFILL,
                to_stage=Stage.DECODE,
            ),
        ),
        bounds=(
            ServiceBounds(
                service="chat",
                max_cordoned=1,
                minimum_prefill=0,
                minimum_decode=1,
                drain_seconds=30.0,
            ),
        ),
    )


def plan_orders(state: FleetState) -> list[Command]:
    """Return a plan action of each kind, the last of which cancels the plan, and a rejected one."""
    return [
        StartPlan(order_id="start", plan_id="plan-1", plan=plan_for(state)),
        HaltPlan(order_id="halt", plan_id="plan-1"),
        ResumePlan(order_id="resume", plan_id="plan-1"),
        CancelPlan(order_id="cancel", plan_id="plan-1"),
        StartPlan(order_id="unknown", plan_id="plan-2"),
    ]


def late_commands() -> list[Command]:
    """Return the commands between the snapshot and the plan actions."""
    return [
        orders()[1],
        orders()[2],
        CordonWorker(worker_id="decode-1", cordoned=True),
        CapacityChanged(
            transition=CapacityTransition(
                failure_domain="rack-1", expected_generation=0, duration_seconds=1e9
            )
        ),
        CircuitChanged(
            transition=CircuitTransition(
                worker_id="decode-1",
                expected_generation=0,
                status=CircuitStatus.QUARANTINED,
                reopenings=2,
                duration_seconds=1e9,
                incarnation="life-1",
            )
        ),
    ]


class HistoryWriter:
    """Writes commands to a log storage and applies them to a replicated state."""

    def __init__(self, storage: FileLogStorage) -> None:
        self.state = FleetState()
        self._storage = storage
        self._last_index = 1
        storage.persist_hard_state(HardState(1, None))
        membership = encode_membership(MEMBERSHIP)
        storage.persist_entries(None, [LogEntry(1, 1, EntryKind.MEMBERSHIP, membership)])
        storage.persist_hard_state(HardState(TERM, NODE_ID))

    def write(self, command: Command) -> None:
        """Write and apply one command."""
        entry = self._next_entry(encode_command(command))
        self._storage.persist_entries(None, [entry])
        self._last_index = entry.index
        self.state.apply(entry.index, entry.payload)

    def write_replaced_entry(self) -> None:
        """Write an entry that a later leader replaces by a no-op."""
        command = CordonWorker(worker_id="prefill-1", cordoned=True)
        dropped = self._next_entry(encode_command(command))
        self._storage.persist_entries(None, [dropped])
        noop = LogEntry(dropped.index, TERM, EntryKind.NOOP, NODE_ID.encode())
        self._storage.persist_entries(dropped.index, [noop])
        self._last_index = noop.index

    def write_snapshot(self) -> None:
        """Replace all entries written so far by a snapshot."""
        data = self.state.snapshot()
        self._storage.persist_snapshot(Snapshot(self._last_index, TERM, MEMBERSHIP, data))

    def torn_record(self) -> bytes:
        """Return the first bytes of a record, as a crash during its write leaves them."""
        entry = self._next_entry(encode_command(CordonWorker(worker_id="prefill-1", cordoned=True)))
        return encode_record(EntriesRecord(None, [entry]))[:-TORN_BYTES]

    def _next_entry(self, payload: bytes) -> LogEntry:
        return LogEntry(self._last_index + 1, TERM, EntryKind.COMMAND, payload)


def write_folder(folder: Path) -> None:
    """Write a data folder with a snapshot, later log entries and a torn record at the end."""
    shutil.rmtree(folder, ignore_errors=True)
    storage = FileLogStorage(str(folder), RealFiles(), lambda: IDENTITY)
    storage.load()
    writer = HistoryWriter(storage)
    for command in early_commands():
        writer.write(command)
    writer.write_snapshot()
    for command in late_commands():
        writer.write(command)
    writer.write_replaced_entry()
    for command in plan_orders(writer.state):
        writer.write(command)
    storage.close()
    with (folder / LOG_NAME).open("ab") as log:
        log.write(writer.torn_record())
    (folder / LOCK_NAME).unlink()


def write_later_folder(folder: Path) -> None:
    """Write a data folder in the format of a later version, which this version can't read."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    (folder / LOG_NAME).write_bytes(encode_record(HeaderRecord(2, IDENTITY)))
    (folder / IDENTITY_NAME).write_text(IDENTITY)


def open_copy(source: Path, target: Path) -> FileLogStorage:
    """Copy a data folder and return the storage of the copy."""
    shutil.copytree(source, target)
    return FileLogStorage(str(target), RealFiles())


def start_core(storage: FileLogStorage) -> tuple[ControlReplica, float]:
    """Start a control replica from a storage; return it as the leader, and the current time."""
    restored = storage.load()
    generator = random.Random(1)
    raft = RaftCore(NODE_ID, RaftSettings(), restored, None, 0.0, generator)
    core = ControlReplica(MEMBER, raft, MemberPolicy(), 1, generator)
    for step in range(1, LONGEST_ELECTION_TICKS):
        now = step * TICK_SECONDS
        core.tick(now)
        if core.is_leader:
            return core, now
    raise AssertionError(f"the only voter did not lead within {LONGEST_ELECTION_TICKS} ticks")


def state_values(state: FleetState) -> dict[str, Any]:
    """Return the values that must be restored from a data folder, as plain JSON."""
    return {
        "configuration": plain(state.configuration),
        "configuration_version": state.configuration_version,
        "document": plain(state.document),
        "history": plain(state.history()),
        "revision": state.revision,
        "circuits_sequence": state.circuits_sequence,
        "workers": plain(state.workers()),
        "routers": plain(state.routers()),
        "witnesses": plain(state.witnesses),
        "circuits": plain(state.circuits()),
        "capacities": plain(state.capacities()),
        "control_members": plain(state.control_members()),
        "plan": plain(state.plan),
        "orders": {order.order_id: plain(state.find_update(order.order_id)) for order in orders()},
        "plan_orders": {
            order_id: plain(state.find_plan_action(order_id))
            for order_id in ("early", "start", "halt", "resume", "cancel", "unknown")
        },
    }


def repeated_outcomes(state: FleetState) -> list[Any]:
    """Return the outcomes of all updates and plan actions when sent again, as plain JSON."""
    repeated = [*orders(), early_plan_order(), *plan_orders(state)]
    first_index = state.applied_index + 1
    return [
        plain(state.apply(first_index + position, encode_command(command)).outcome)
        for position, command in enumerate(repeated)
    ]


def write_expected_state(folder: Path) -> None:
    """Write the values that a control replica restores from a data folder."""
    copy = folder.with_name("data_folder_copy")
    storage = open_copy(folder, copy)
    try:
        core, _ = start_core(storage)
        values = state_values(core.state)
        values["repeated_outcomes"] = repeated_outcomes(core.state)
    finally:
        storage.close()
        shutil.rmtree(copy)
    EXPECTED_STATE.write_text(json.dumps(values, indent=1, ensure_ascii=False) + "\n")

"""A control replica answers actions on plans, both its own and forwarded ones."""

import random

from update_builders import configuration_update

from orchidpath.consensus.effects import PersistEntries
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.types import Membership, RaftSettings, RestoredState, Role
from orchidpath.control.leadership.member_manager import MemberPolicy
from orchidpath.control.replica.control_effects import (
    ControlEffect,
    PlanActionAnswered,
    SendToNode,
    SendWorkerCommand,
)
from orchidpath.control.replica.control_replica import ControlReplica
from orchidpath.control.replica.pending_plan_actions import PendingPlanActions
from orchidpath.placement.planner import make_preview
from orchidpath.state.plans import PlanStatus
from orchidpath.wire.backend import (
    Announcement,
    WorkerCommand,
    WorkerCommandKind,
    WorkerCommandReply,
)
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.messages import (
    ForwardedAnnouncements,
    PlanAction,
    PlanActionReply,
    PlanActionRequest,
    PlanActionStatus,
)
from orchidpath.wire.records import ControlMember, Stage, WorkerRecord, WorkerStatus

STEP_SECONDS = 0.05


class SingleControlFleet:
    """A fleet with a single control replica, whose workers execute each command at once."""

    def __init__(self) -> None:
        self.now = 10.0
        generator = random.Random(1)
        raft = RaftCore(
            "c",
            RaftSettings(),
            RestoredState(),
            Membership(("c",), (), {"c": "c"}),
            self.now,
            generator,
        )
        member = ControlMember(node_id="c", address="c")
        self.replica = ControlReplica(member, raft, MemberPolicy(target_voters=1), 1, generator)
        self.workers: dict[str, WorkerRecord] = {}
        self.sequence = 0
        self.commands: list[WorkerCommand] = []

    def pass_time(self, seconds: float) -> list[ControlEffect]:
        effects: list[ControlEffect] = []
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self.announce()
            tick_effects = self.replica.tick(self.now)
            for effect in tick_effects:
                if isinstance(effect, SendWorkerCommand):
                    self.execute(effect.command)
            effects += tick_effects
        return effects

    def announce(self) -> None:
        self.sequence += 1
        announcements = tuple(
            Announcement(record=worker, sequence=self.sequence) for worker in self.workers.values()
        )
        self.replica.receive("c", ForwardedAnnouncements(announcements=announcements), self.now)

    def execute(self, command: WorkerCommand) -> None:
        worker = self.workers[command.worker_id]
        self.commands.append(command)
        status = (
            WorkerStatus.READY
            if command.kind is WorkerCommandKind.RESUME
            else WorkerStatus.DRAINING
        )
        self.workers[command.worker_id] = WorkerRecord(
            worker_id=worker.worker_id,
            incarnation=worker.incarnation,
            service=worker.service,
            stage=command.stage or worker.stage,
            url=worker.url,
            status=status,
        )
        reply = WorkerCommandReply(
            accepted=True, highest_term=command.term, highest_sequence=command.sequence
        )
        self.replica.worker_command_answered(command, reply, self.now)

    def form(self) -> None:
        self.pass_time(3.0)
        assert self.replica.is_leader
        for number in range(4):
            stage = Stage.PREFILL if number < 3 else Stage.DECODE
            self.workers[f"w{number}"] = WorkerRecord(
                worker_id=f"w{number}", incarnation="1", service="chat", stage=stage, url="http://w"
            )
        self.pass_time(0.2)
        service = Service(
            name="chat", kind=ServiceKind.MODEL, models=["m"], prefill_workers=1, decode_workers=3
        )
        update = configuration_update("c", 0, Configuration(services=[service]))
        self.replica.submit(1, update, self.now)
        self.pass_time(0.2)

    def plan_id(self) -> str:
        return make_preview(self.replica.state.view()).plan.plan_id


def request(plan_id: str, order_id: str = "one", correlation: int = 5) -> PlanActionRequest:
    return PlanActionRequest(
        correlation=correlation, order_id=order_id, action=PlanAction.CONFIRM, plan_id=plan_id
    )


def answers(effects: list[ControlEffect]) -> list[PlanActionAnswered]:
    return [effect for effect in effects if isinstance(effect, PlanActionAnswered)]


def replies(effects: list[ControlEffect]) -> list[tuple[str, PlanActionReply]]:
    return [
        (effect.node_id, effect.message)
        for effect in effects
        if isinstance(effect, SendToNode) and isinstance(effect.message, PlanActionReply)
    ]


def test_a_confirmed_plan_runs_from_the_leaders_ticks() -> None:
    fleet = SingleControlFleet()
    fleet.form()
    plan_id = fleet.plan_id()
    effects = fleet.replica.request_plan_action(7, request(plan_id), fleet.now)
    assert answers(effects) == [PlanActionAnswered(7, PlanActionStatus.ACCEPTED)]
    persisted = next(
        number for number, effect in enumerate(effects) if isinstance(effect, PersistEntries)
    )
    assert persisted < effects.index(answers(effects)[0]), "answered before the entry was persisted"
    fleet.pass_time(20.0)
    assert fleet.replica.state.plan is not None
    assert fleet.replica.state.plan.progress.status is PlanStatus.DONE
    stages = sorted(worker.stage for worker in fleet.replica.state.workers())
    assert stages == [Stage.DECODE, Stage.DECODE, Stage.DECODE, Stage.PREFILL]
    assert [command.kind for command in fleet.commands] == [
        WorkerCommandKind.DRAIN,
        WorkerCommandKind.SET_STAGE,
        WorkerCommandKind.RESUME,
    ] * 2
    assert {command.term for command in fleet.commands} == {fleet.replica.raft.term}


def test_a_forwarded_action_is_answered_to_the_process_that_forwarded_it() -> None:
    fleet = SingleControlFleet()
    fleet.form()
    plan_id = fleet.plan_id()
    stale = fleet.replica.receive("d", request("other", "early", 3), fleet.now)
    assert replies(stale) == [("d", PlanActionReply(correlation=3, answer=PlanActionStatus.STALE))]
    for _ in range(2):
        accepted = fleet.replica.receive("d", request(plan_id), fleet.now)
        assert replies(accepted) == [
            ("d", PlanActionReply(correlation=5, answer=PlanActionStatus.ACCEPTED))
        ]
    rejected = fleet.replica.receive("d", request(plan_id, "two", 6), fleet.now)
    assert replies(rejected)[0][1].answer is PlanActionStatus.REFUSED
    again = fleet.replica.receive("d", request("other", "early", 4), fleet.now)
    assert replies(again)[0][1].answer is PlanActionStatus.STALE


def test_a_process_that_does_not_lead_rejects_actions() -> None:
    fleet = SingleControlFleet()
    assert fleet.replica.raft.role is not Role.LEADER
    (answer,) = answers(fleet.replica.request_plan_action(7, request("any"), fleet.now))
    assert answer.answer is PlanActionStatus.REJECTED


def test_an_action_is_unknown_when_leadership_is_lost_before_it_was_applied() -> None:
    pending = PendingPlanActions()
    pending.proposed(7, index=3, term=1)
    (answer,) = pending.leadership_lost()
    assert (answer.key, answer.answer) == (7, PlanActionStatus.UNKNOWN)
    assert not pending.leadership_lost()

"""Actions on plans in a control replica: here and forwarded, accepted, rejected and lost."""

import random

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
from orchidpath.state.commands import SubmitConfiguration, configuration_digest
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


class OneControl:
    """A fleet with a single control replica, and workers that obey every order at once."""

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
        self.core = ControlReplica(member, raft, MemberPolicy(target_voters=1), 1, generator)
        self.workers: dict[str, WorkerRecord] = {}
        self.sequence = 0
        self.orders: list[WorkerCommand] = []

    def pass_time(self, seconds: float) -> list[ControlEffect]:
        effects: list[ControlEffect] = []
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self.announce()
            found = self.core.tick(self.now)
            for effect in found:
                if isinstance(effect, SendWorkerCommand):
                    self.obey(effect.command)
            effects += found
        return effects

    def announce(self) -> None:
        self.sequence += 1
        announcements = tuple(
            Announcement(record=worker, sequence=self.sequence) for worker in self.workers.values()
        )
        self.core.receive("c", ForwardedAnnouncements(announcements=announcements), self.now)

    def obey(self, order: WorkerCommand) -> None:
        worker = self.workers[order.worker_id]
        self.orders.append(order)
        status = (
            WorkerStatus.READY if order.kind is WorkerCommandKind.RESUME else WorkerStatus.DRAINING
        )
        self.workers[order.worker_id] = WorkerRecord(
            worker_id=worker.worker_id,
            incarnation=worker.incarnation,
            service=worker.service,
            stage=order.stage or worker.stage,
            url=worker.url,
            status=status,
        )
        reply = WorkerCommandReply(
            accepted=True, highest_term=order.term, highest_sequence=order.sequence
        )
        self.core.worker_command_answered(order, reply, self.now)

    def form(self) -> None:
        self.pass_time(3.0)
        assert self.core.is_leader
        for number in range(4):
            stage = Stage.PREFILL if number < 3 else Stage.DECODE
            self.workers[f"w{number}"] = WorkerRecord(
                worker_id=f"w{number}", incarnation="1", service="chat", stage=stage, url="http://w"
            )
        self.pass_time(0.2)
        service = Service(
            name="chat", kind=ServiceKind.MODEL, models=["m"], prefill_workers=1, decode_workers=3
        )
        configuration = Configuration(services=[service])
        digest = configuration_digest(0, configuration)
        order = SubmitConfiguration(
            order_id="c", base_version=0, configuration=configuration, digest=digest
        )
        self.core.submit(1, order, self.now)
        self.pass_time(0.2)

    def plan_id(self) -> str:
        return make_preview(self.core.state.view()).plan.plan_id


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
    one = OneControl()
    one.form()
    plan_id = one.plan_id()
    effects = one.core.request_plan_action(7, request(plan_id), one.now)
    assert answers(effects) == [PlanActionAnswered(7, PlanActionStatus.ACCEPTED)]
    persisted = next(
        number for number, effect in enumerate(effects) if isinstance(effect, PersistEntries)
    )
    assert persisted < effects.index(answers(effects)[0]), "answered before it was synced"
    one.pass_time(20.0)
    assert one.core.state.plan is not None
    assert one.core.state.plan.progress.status is PlanStatus.DONE
    stages = sorted(worker.stage for worker in one.core.state.workers())
    assert stages == [Stage.DECODE, Stage.DECODE, Stage.DECODE, Stage.PREFILL]
    assert [order.kind for order in one.orders] == [
        WorkerCommandKind.DRAIN,
        WorkerCommandKind.SET_STAGE,
        WorkerCommandKind.RESUME,
    ] * 2
    assert {order.term for order in one.orders} == {one.core.raft.term}


def test_a_forwarded_order_is_answered_to_the_process_that_forwarded_it() -> None:
    one = OneControl()
    one.form()
    plan_id = one.plan_id()
    stale = one.core.receive("d", request("other", "early", 3), one.now)
    assert replies(stale) == [("d", PlanActionReply(correlation=3, answer=PlanActionStatus.STALE))]
    for _ in range(2):
        taken = one.core.receive("d", request(plan_id), one.now)
        assert replies(taken) == [
            ("d", PlanActionReply(correlation=5, answer=PlanActionStatus.ACCEPTED))
        ]
    refused = one.core.receive("d", request(plan_id, "two", 6), one.now)
    assert replies(refused)[0][1].answer is PlanActionStatus.REFUSED
    again = one.core.receive("d", request("other", "early", 4), one.now)
    assert replies(again)[0][1].answer is PlanActionStatus.STALE


def test_a_process_that_does_not_lead_takes_no_order() -> None:
    one = OneControl()
    assert one.core.raft.role is not Role.LEADER
    (answer,) = answers(one.core.request_plan_action(7, request("any"), one.now))
    assert answer.answer is PlanActionStatus.REJECTED


def test_an_order_is_unknown_when_leadership_is_lost_before_it_was_applied() -> None:
    book = PendingPlanActions()
    book.proposed(7, index=3, term=1)
    (answer,) = book.leadership_lost()
    assert (answer.key, answer.answer) == (7, PlanActionStatus.UNKNOWN)
    assert not book.leadership_lost()

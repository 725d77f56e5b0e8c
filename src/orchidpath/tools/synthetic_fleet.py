"""Synthetic routers, workers and callers, which use the real control protocol to load control.

Hundreds of them run in one process. A synthetic router is the real
:class:`~orchidpath.router.fleet_link.control_link.ControlLink` without an HTTP edge. Synthetic
workers are announced through it as often as real ones. Synthetic callers request decisions and
report the outcomes of the attempts, open loop. Run against real control processes, they measure
the cost of control for fleets too large to run on one machine (docs/CAPACITY.md).
"""

import asyncio
import random as random_module
from collections.abc import Callable, Sequence

import msgspec

from orchidpath.common.clock import Clock, monotonic_seconds
from orchidpath.common.errors import OrchidpathError
from orchidpath.router.fleet_link.control_link import ControlLink, FleetListener
from orchidpath.wire.backend import ANNOUNCE_PERIOD_SECONDS, Announcement
from orchidpath.wire.messages import (
    AttemptEffect,
    AttemptReport,
    CircuitsView,
    CounterReport,
    DecisionReply,
    DecisionRequest,
    Hello,
    ProcessRole,
    Rejection,
    StageCandidates,
)
from orchidpath.wire.records import FleetView, RouterRecord, Stage, WorkerRecord

ANNOUNCE_TURN_SECONDS = 0.01
"""Interval at which the synthetic workers that are due are announced."""

CALLER_TURN_SECONDS = 0.005
"""Interval at which the decision requests that are due are sent."""

DECISION_TIMEOUT_SECONDS = 0.25
"""The default of the routers' ``decision_timeout_seconds``."""

READY_POLL_SECONDS = 0.1

ROUTER_GROUP = 20
"""Number of routers that are started together, unless all start at once."""

WORKER_GROUP = 20
"""Number of workers that are started together, unless all start at once."""

Condition = Callable[[], bool]
"""Condition that is polled until it holds."""

MODEL = "hollow"
SERVICE = "hollow"


class SyntheticFleetNotReadyError(OrchidpathError):
    """The synthetic fleet did not reach the required state in time."""


class SyntheticSize(msgspec.Struct, frozen=True, kw_only=True):
    """Largest size of a synthetic fleet.

    ``candidates`` is the number of candidate workers for each stage of a decision.
    ``attempt_seconds`` is the time between the decision on an attempt and the report of its end.
    With ``at_once`` all routers, and then all workers, start together; otherwise they start in
    groups, each after the previous group is in service.
    """

    routers: int
    workers: int = 0
    candidates: int = 8
    attempt_seconds: float = 1.0
    at_once: bool = False
    zones: int = 7
    prefill_share: float = 0.29


class Adoption(msgspec.Struct, frozen=True):
    """Time at which a router adopted a configuration version."""

    version: int
    at: float


class SyntheticListener(FleetListener):
    """Records when a link adopts configuration versions and reports counters to new leaders."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.adoptions: list[Adoption] = []
        self.leader_contact_at: dict[int, float] = {}

    def view_adopted(self, view: FleetView) -> None:
        """Record the first adoption of each configuration version."""
        if not self.adoptions or view.configuration_version > self.adoptions[-1].version:
            self.adoptions.append(Adoption(view.configuration_version, self._clock()))

    def circuits_received(self, circuits: CircuitsView) -> None:
        """Ignore the circuits, which a synthetic router does not use."""

    def counter_report(self, term: int, unacknowledged: tuple[AttemptReport, ...]) -> CounterReport:
        """Record the time of contact with the leader of this term; report no counters."""
        self.leader_contact_at[term] = self._clock()
        return CounterReport(term=term, in_flight=(), tallies=())

    def adopted_at(self, version: int) -> float | None:
        """Return when this version or the first later one was adopted; None if not yet."""
        for adoption in self.adoptions:
            if adoption.version >= version:
                return adoption.at
        return None


class SyntheticRouter:
    """Synthetic router: a control link without an HTTP edge.

    Parameters
    ----------
    number
        Number of the router in the fleet.
    fleet
        Name of the fleet.
    zone
        Zone of the router.
    address
        Wire address to listen on.
    seeds
        Wire addresses of the control processes.
    clock
        Monotonic clock.
    """

    def __init__(
        self, number: int, fleet: str, zone: str, address: str, seeds: Sequence[str], clock: Clock
    ) -> None:
        self.router_id = f"hollow-router-{number:03d}"
        record = RouterRecord(
            router_id=self.router_id, address=address, http_address=address, zone=zone
        )
        hello = Hello(
            node_id=self.router_id,
            incarnation="hollow",
            role=ProcessRole.ROUTER,
            address=address,
            fleet=fleet,
        )
        self.listener = SyntheticListener(clock)
        self.link = ControlLink(record, hello, seeds, clock, random_module.Random(number))
        self.link.set_listener(self.listener)


class DecisionCounts(msgspec.Struct):
    """Outcomes of the synthetic callers' decision requests, and the latency of each in seconds."""

    sent: int = 0
    chosen: int = 0
    denied: int = 0
    unanswered: int = 0
    seconds: list[float] = msgspec.field(default_factory=list)


class SyntheticFleet:
    """Synthetic routers, workers and callers in this process.

    Parameters
    ----------
    size
        Number and properties of the routers, workers and decisions.
    fleet
        Name of the fleet.
    addresses
        Wire address of each router.
    seeds
        Wire addresses of control processes.
    clock
        Monotonic clock.
    """

    def __init__(
        self,
        size: SyntheticSize,
        fleet: str,
        addresses: Sequence[str],
        seeds: Sequence[str],
        clock: Clock = monotonic_seconds,
    ) -> None:
        self._size = size
        self._clock = clock
        self._random = random_module.Random(1)
        self.routers = [
            SyntheticRouter(number, fleet, f"zone-{number % size.zones}", address, seeds, clock)
            for number, address in enumerate(addresses)
        ]
        self.workers = [worker_record(number, size) for number in range(size.workers)]
        self.decisions = DecisionCounts()
        self._announcements: asyncio.Task[None] | None = None
        self._caller: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._request_number = 0
        self._started = 0
        self._announcing = 0

    async def grow(self, routers: int, workers: int, timeout_seconds: float) -> None:
        """Start more routers, wait until each holds a lease, then start more workers.

        Parameters
        ----------
        routers, workers
            Total numbers to have running afterwards, at most those of the size.
        timeout_seconds
            Longest wait for each group.

        Raises
        ------
        SyntheticFleetNotReadyError
            A group did not enter service in time.
        """
        router_group = len(self.routers) if self._size.at_once else ROUTER_GROUP
        worker_group = len(self.workers) if self._size.at_once else WORKER_GROUP
        while self._started < routers:
            group = self.routers[self._started : min(routers, self._started + router_group)]
            await asyncio.gather(*(router.link.start() for router in group))
            self._started += len(group)
            await self.wait_until_fresh(timeout_seconds)
        if self._announcements is None:
            self._announcements = asyncio.create_task(self._announce_forever())
        while self._announcing < workers:
            await self._announce_first(min(workers, self._announcing + worker_group))
            await self._wait(
                self._all_workers_visible,
                timeout_seconds,
                "not every router's view holds all announced workers",
            )

    async def call(self, decisions_per_second: float) -> None:
        """Start to request decisions at this rate, open loop, in place of any previous rate."""
        if self._caller is not None:
            self._caller.cancel()
            await asyncio.wait([self._caller])
        self.decisions = DecisionCounts()
        self._caller = asyncio.create_task(self._call_forever(decisions_per_second))

    async def stop(self) -> None:
        """Stop the callers, the announcements and the routers."""
        tasks = [task for task in (self._announcements, self._caller) if task is not None]
        tasks += self._calls
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*(router.link.stop() for router in self.started()))

    def started(self) -> list[SyntheticRouter]:
        """Return the routers that have been started."""
        return self.routers[: self._started]

    async def wait_until_fresh(self, timeout_seconds: float) -> None:
        """Wait until every started router holds a lease.

        Raises
        ------
        SyntheticFleetNotReadyError
            A router did not get a lease in time.
        """
        await self._wait(self._all_fresh, timeout_seconds, "not every router holds a lease")

    async def wait_until_adopted(self, version: int, timeout_seconds: float) -> None:
        """Wait until every started router has adopted this configuration version or a later one.

        Raises
        ------
        SyntheticFleetNotReadyError
            A router did not adopt the version in time.
        """

        def adopted() -> bool:
            return all(router.listener.adopted_at(version) for router in self.started())

        await self._wait(
            adopted, timeout_seconds, f"not every router adopted configuration version {version}"
        )

    async def _wait(self, condition: Condition, timeout_seconds: float, failure: str) -> None:
        deadline = self._clock() + timeout_seconds
        while not condition():
            if self._clock() > deadline:
                raise SyntheticFleetNotReadyError(f"{failure} after {timeout_seconds:.0f} s")
            await asyncio.sleep(READY_POLL_SECONDS)

    def _all_fresh(self) -> bool:
        now = self._clock()
        return all(router.link.is_fresh(now) for router in self.started())

    def _all_workers_visible(self) -> bool:
        views = [router.link.view() for router in self.started()]
        return all(view and len(view.workers) >= self._announcing for view in views)

    async def _announce_first(self, end: int) -> None:
        for index in range(self._announcing, end):
            await self._announce(index, sequence=1)
        self._announcing = end

    async def _announce(self, index: int, sequence: int) -> None:
        announcement = Announcement(record=self.workers[index], sequence=sequence)
        await self.routers[index % self._started].link.announce(announcement)

    async def _announce_forever(self) -> None:
        """Announce each worker once per announcement period, spread evenly over the period."""
        started_at = self._clock()
        sent = 0
        while True:
            elapsed = self._clock() - started_at
            due = int(elapsed / ANNOUNCE_PERIOD_SECONDS * len(self.workers))
            # After a long stall of this process, each worker is announced at most once instead
            # of once for every period that was missed.
            sent = max(sent, due - len(self.workers))
            for turn in range(sent, due):
                sequence, index = divmod(turn, len(self.workers))
                if index < self._announcing:
                    await self._announce(index, sequence + 2)
            sent = due
            await asyncio.sleep(ANNOUNCE_TURN_SECONDS)

    async def _call_forever(self, decisions_per_second: float) -> None:
        """Send decision requests open loop: the rate does not depend on the answers' latency."""
        started_at = self._clock()
        sent = 0
        while True:
            due = int((self._clock() - started_at) * decisions_per_second)
            for _ in range(sent, due):
                call = asyncio.create_task(self._call_once())
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            sent = due
            await asyncio.sleep(CALLER_TURN_SECONDS)

    async def _call_once(self) -> None:
        self._request_number += 1
        request = self._make_request(f"hollow-{self._request_number}")
        link = self._random.choice(self.started()).link
        self.decisions.sent += 1
        sent_at = self._clock()
        reply = await link.decide(request, DECISION_TIMEOUT_SECONDS)
        if reply is None:
            self.decisions.unanswered += 1
            return
        self.decisions.seconds.append(self._clock() - sent_at)
        if reply.rejection is not Rejection.NONE:
            self.decisions.denied += 1
            return
        self.decisions.chosen += 1
        await asyncio.sleep(self._size.attempt_seconds)
        link.report(_reports(request, reply))

    def _make_request(self, request_id: str) -> DecisionRequest:
        candidates = self._size.candidates
        workers = self.workers[: self._announcing]
        per_stage = tuple(
            StageCandidates(
                stage=stage, candidates=_sample(self._random, workers, stage, candidates)
            )
            for stage in (Stage.PREFILL, Stage.DECODE)
        )
        return DecisionRequest(
            correlation=0,
            request_id=request_id,
            attempt_id=f"{request_id}-1",
            service=SERVICE,
            per_stage=per_stage,
        )


def _sample(
    random: random_module.Random, workers: Sequence[WorkerRecord], stage: Stage, count: int
) -> tuple[str, ...]:
    """Return ``count`` consecutive workers of a stage, from a random start, or all if fewer."""
    start = random.randrange(len(workers))
    found: list[str] = []
    for offset in range(len(workers)):
        worker = workers[(start + offset) % len(workers)]
        if worker.stage is stage:
            found.append(worker.worker_id)
        if len(found) == count:
            break
    return tuple(found)


def worker_record(number: int, size: SyntheticSize) -> WorkerRecord:
    """Return the record of a synthetic worker, with fields as long as those of a real worker."""
    return WorkerRecord(
        worker_id=f"hollow-worker-{number:03d}",
        incarnation=f"{number:016x}",
        service=SERVICE,
        stage=Stage.PREFILL if number % 100 < size.prefill_share * 100 else Stage.DECODE,
        url=f"http://127.0.0.1:{10_000 + number}",
        models=(MODEL,),
        zone=f"zone-{number % size.zones}",
        failure_domain=f"rack-{number // 8}",
    )


def _reports(request: DecisionRequest, reply: DecisionReply) -> list[AttemptReport]:
    return [
        AttemptReport(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            worker_id=choice.worker_id,
            effect=AttemptEffect.SUCCESS,
            probe_generation=choice.probe_generation,
        )
        for choice in reply.choices
    ]

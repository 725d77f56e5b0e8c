"""Virtual time, the network and processes that can be killed, frozen and partitioned.

Everything that happens in a run follows from its seed: one generator, one event queue ordered by
time and then by the order in which events were made.
"""

import heapq
import itertools
import random as random_module
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

import msgspec

from orchidpath.wire.messages import Message

MAX_CLOCK_RATE_ERROR = 0.01
"""Processes' clocks run this much faster or slower than true time at most."""

LATE_MESSAGE_SECONDS = 2.5
"""A late message is up to this old when it arrives."""


class NetworkFaults(msgspec.Struct):
    """How badly the network behaves at present."""

    loss: float = 0.0
    duplication: float = 0.0
    late: float = 0.0
    delay_seconds: float = 0.005


class SimulatedEnvironment:
    """Event queue, network and all processes.

    Parameters
    ----------
    seed
        Determines everything that happens.
    """

    def __init__(self, seed: int) -> None:
        self.time = 0.0
        self.random = random_module.Random(seed)
        self.network = NetworkFaults()
        self.partitioned_links: set[tuple[str, str]] = set()
        self.processes: dict[str, SimulatedProcess] = {}
        self.events_run = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def schedule(self, delay_seconds: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        heapq.heappush(self._events, (self.time + delay_seconds, next(self._sequence), action))

    def repeat(self, interval_seconds: float, action: Callable[[], None]) -> None:
        """Run an action for ever, about once an interval."""

        def run() -> None:
            action()
            self.schedule(self.random.uniform(0.5, 1.5) * interval_seconds, run)

        self.schedule(self.random.uniform(0.0, interval_seconds), run)

    def run_until(self, end: float) -> None:
        """Run every event up to ``end``."""
        while self._events and self._events[0][0] <= end:
            self.time, _, action = heapq.heappop(self._events)
            self.events_run += 1
            action()
        self.time = end

    def transmit(
        self, sender: "SimulatedProcess", receiver_address: str, message: Message, node_id: str = ""
    ) -> None:
        """Carry a message, or lose it, late, or twice.

        Parameters
        ----------
        sender
            The process that sends.
        receiver_address
            Address of the receiver.
        message
            The message.
        node_id
            When given, only a process that runs under this id takes it.
        """
        faults = self.network
        if receiver_address not in self.processes or self.random.random() < faults.loss:
            return
        sender_id = sender.node_id
        copies = 2 if self.random.random() < faults.duplication else 1
        for _ in range(copies):
            delay_seconds = self.random.uniform(0.0005, faults.delay_seconds)
            if self.random.random() < faults.late:
                delay_seconds = self.random.uniform(0.0, LATE_MESSAGE_SECONDS)

            def deliver() -> None:
                if (sender.address, receiver_address) in self.partitioned_links:
                    return
                receiver = self.processes[receiver_address]
                if not node_id or receiver.node_id == node_id:
                    receiver.deliver(sender_id, message)

            self.schedule(delay_seconds, deliver)

    def cut(self, one: str, other: str, both_ways: bool = True) -> None:
        """Lose every message from one address to another."""
        self.partitioned_links.add((one, other))
        if both_ways:
            self.partitioned_links.add((other, one))

    def split(self, side: set[str], both_ways: bool = True) -> None:
        """Cut every link between a side and the rest."""
        for address in self.processes:
            if address not in side:
                for member in sorted(side):
                    self.cut(member, address, both_ways)


class SimulatedProcess(ABC):
    """One process: its clock, whether it runs, and what waits for it while it is frozen.

    Parameters
    ----------
    environment
        Where it runs.
    address
        Its network address, the same over restarts.
    """

    def __init__(self, environment: SimulatedEnvironment, address: str) -> None:
        self.environment = environment
        self.address = address
        self.alive = False
        self.frozen = False
        self.epoch = 0
        self._waiting: deque[Callable[[], None]] = deque()
        self._clock_offset = environment.random.uniform(0.0, 10_000.0)
        self._clock_rate = 1.0 + environment.random.uniform(
            -MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR
        )
        environment.processes[address] = self

    @property
    @abstractmethod
    def node_id(self) -> str:
        """The id that this process sends under."""

    @property
    def now(self) -> float:
        """Monotonic clock of this process."""
        return self._clock_offset + self.environment.time * self._clock_rate

    @abstractmethod
    def on_start(self) -> None:
        """Begin from nothing but what is on disk."""

    @abstractmethod
    def on_kill(self) -> None:
        """Lose everything that was not synced."""

    @abstractmethod
    def on_message(self, sender_id: str, message: Message) -> None:
        """Take a message."""

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.alive:
            return
        self.alive = True
        self.frozen = False
        self.epoch += 1
        self._waiting.clear()
        self.on_start()

    def kill(self) -> None:
        """Kill the process."""
        if self.alive:
            self.alive = False
            self.epoch += 1
            self._waiting.clear()
            self.on_kill()

    def freeze(self, duration_seconds: float) -> None:
        """Stop the process; what comes in waits until it wakes."""
        if not self.alive or self.frozen:
            return
        self.frozen = True
        epoch = self.epoch
        self.environment.schedule(duration_seconds, lambda: self._wake(epoch))

    def after(self, delay_seconds: float, action: Callable[[], None]) -> None:
        """Run an action of this process later, unless it is killed first."""
        epoch = self.epoch
        self.environment.schedule(delay_seconds, lambda: self._run(epoch, action))

    def every(self, interval_seconds: float, action: Callable[[], None]) -> None:
        """Run an action of this process for ever, until it is killed."""

        def run() -> None:
            action()
            self.after(interval_seconds, run)

        self.after(self.environment.random.uniform(0.0, interval_seconds), run)

    def deliver(self, sender_id: str, message: Message) -> None:
        """Take a message from the network."""
        if self.alive:
            self._run(self.epoch, lambda: self.on_message(sender_id, message))

    def send(self, address: str, message: Message, node_id: str = "") -> None:
        """Send a message; loss is allowed."""
        self.environment.transmit(self, address, message, node_id)

    def _run(self, epoch: int, action: Callable[[], None]) -> None:
        if not self.alive or epoch != self.epoch:
            return
        if self.frozen:
            self._waiting.append(action)
            return
        action()

    def _wake(self, epoch: int) -> None:
        if not self.alive or epoch != self.epoch:
            return
        self.frozen = False
        while self._waiting and not self.frozen and epoch == self.epoch:
            self._waiting.popleft()()

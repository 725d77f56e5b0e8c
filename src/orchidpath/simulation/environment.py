"""Virtual time, the network and processes that can be killed, frozen and partitioned.

A run is determined by its seed. It uses a single random number generator and a single event queue,
which is ordered by time and then by the order in which the events were scheduled.
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
"""Largest deviation of the clock rate of a process from virtual time, in either direction."""

LATE_MESSAGE_SECONDS = 2.5
"""Upper bound of the delay of a late message."""


class NetworkFaults(msgspec.Struct):
    """Current faults of the network.

    ``loss``, ``duplication`` and ``late`` are probabilities of each message; ``delay_seconds`` is
    the upper bound of the delay of a message that is not late.
    """

    loss: float = 0.0
    duplication: float = 0.0
    late: float = 0.0
    delay_seconds: float = 0.005


class SimulatedEnvironment:
    """Event queue, network and processes of one simulation run.

    Parameters
    ----------
    seed
        Seed of the only random number generator; determines the whole run.
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
        """Schedule an action to run once, after a delay."""
        heapq.heappush(self._events, (self.time + delay_seconds, next(self._sequence), action))

    def repeat(self, interval_seconds: float, action: Callable[[], None]) -> None:
        """Run an action repeatedly, on average once per interval, until the end of the run."""

        def run() -> None:
            action()
            self.schedule(self.random.uniform(0.5, 1.5) * interval_seconds, run)

        self.schedule(self.random.uniform(0.0, interval_seconds), run)

    def run_until(self, end: float) -> None:
        """Run all events that are due up to the virtual time ``end``, in seconds."""
        while self._events and self._events[0][0] <= end:
            self.time, _, action = heapq.heappop(self._events)
            self.events_run += 1
            action()
        self.time = end

    def transmit(
        self, sender: "SimulatedProcess", receiver_address: str, message: Message, node_id: str = ""
    ) -> None:
        """Transmit a message; depending on the network faults it is lost, late or duplicated.

        Parameters
        ----------
        sender
            The sending process.
        receiver_address
            Address of the receiver.
        message
            The message.
        node_id
            If not empty, the message is delivered only to a process that has this node id.
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

    def cut(self, sender: str, receiver: str, both_ways: bool = True) -> None:
        """Drop all messages between two addresses, or only those from sender to receiver."""
        self.partitioned_links.add((sender, receiver))
        if both_ways:
            self.partitioned_links.add((receiver, sender))

    def split(self, side: set[str], both_ways: bool = True) -> None:
        """Partition the network: cut all links between ``side`` and all other processes."""
        for address in self.processes:
            if address not in side:
                for member in sorted(side):
                    self.cut(member, address, both_ways)


class SimulatedProcess(ABC):
    """One simulated process, which can be killed, restarted and frozen.

    Its clock has a random offset and runs slightly fast or slow. While the process is frozen, its
    actions and received messages are deferred; they run when it resumes.

    Parameters
    ----------
    environment
        The environment that the process runs in.
    address
        Network address of the process; it stays the same across restarts.
    """

    def __init__(self, environment: SimulatedEnvironment, address: str) -> None:
        self.environment = environment
        self.address = address
        self.is_running = False
        self.frozen = False
        self.epoch = 0
        self._deferred_actions: deque[Callable[[], None]] = deque()
        self._clock_offset = environment.random.uniform(0.0, 10_000.0)
        self._clock_rate = 1.0 + environment.random.uniform(
            -MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR
        )
        environment.processes[address] = self

    @property
    @abstractmethod
    def node_id(self) -> str:
        """Node id that this process uses as sender."""

    @property
    def now(self) -> float:
        """Reading of the monotonic clock of this process, in seconds."""
        return self._clock_offset + self.environment.time * self._clock_rate

    @abstractmethod
    def on_start(self) -> None:
        """Initialize the process from its disk; no other state survives a restart."""

    @abstractmethod
    def on_kill(self) -> None:
        """Discard all state that was not synced to disk."""

    @abstractmethod
    def on_message(self, sender_id: str, message: Message) -> None:
        """Process a received message."""

    def start(self) -> None:
        """Start the process if it is not running."""
        if self.is_running:
            return
        self.is_running = True
        self.frozen = False
        self.epoch += 1
        self._deferred_actions.clear()
        self.on_start()

    def kill(self) -> None:
        """Kill the process, if it is running, and discard its deferred actions."""
        if self.is_running:
            self.is_running = False
            self.epoch += 1
            self._deferred_actions.clear()
            self.on_kill()

    def freeze(self, duration_seconds: float) -> None:
        """Freeze the process; its actions and received messages are deferred until it resumes."""
        if not self.is_running or self.frozen:
            return
        self.frozen = True
        epoch = self.epoch
        self.environment.schedule(duration_seconds, lambda: self._resume(epoch))

    def after(self, delay_seconds: float, action: Callable[[], None]) -> None:
        """Run an action of this process after a delay, unless the process is killed before."""
        epoch = self.epoch
        self.environment.schedule(delay_seconds, lambda: self._run(epoch, action))

    def every(self, interval_seconds: float, action: Callable[[], None]) -> None:
        """Run an action of this process once per interval until the process is killed."""

        def run() -> None:
            action()
            self.after(interval_seconds, run)

        self.after(self.environment.random.uniform(0.0, interval_seconds), run)

    def deliver(self, sender_id: str, message: Message) -> None:
        """Receive a message from the network; it is dropped if the process is not running."""
        if self.is_running:
            self._run(self.epoch, lambda: self.on_message(sender_id, message))

    def send(self, address: str, message: Message, node_id: str = "") -> None:
        """Send a message; the network may lose it."""
        self.environment.transmit(self, address, message, node_id)

    def _run(self, epoch: int, action: Callable[[], None]) -> None:
        if not self.is_running or epoch != self.epoch:
            return
        if self.frozen:
            self._deferred_actions.append(action)
            return
        action()

    def _resume(self, epoch: int) -> None:
        if not self.is_running or epoch != self.epoch:
            return
        self.frozen = False
        while self._deferred_actions and not self.frozen and epoch == self.epoch:
            self._deferred_actions.popleft()()

"""Simulated operators: they build on what they read, race, lose answers and send orders again."""

import itertools

from orchidpath.simulation.control_node import ControlNode
from orchidpath.simulation.fleet_checks import FleetHistory
from orchidpath.simulation.world import World
from orchidpath.state.commands import SubmitConfiguration, configuration_digest
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.messages import UpdateStatus

ANSWER_TIMEOUT_SECONDS = 8.0
"""An operator who hears nothing for this long sends the same order again."""

LOST_ANSWER_SHARE = 0.15
"""Share of answers that never reach the operator while faults strike."""

FINAL_ANSWERS = {UpdateStatus.CONFIRMED, UpdateStatus.CONFLICT}


class Operators:
    """All operators of a run.

    Parameters
    ----------
    world
        Virtual time and chance.
    controls
        Control processes that they speak to, each picked at random.
    history
        Where they write down what they sent and were told.
    """

    def __init__(self, world: World, controls: list[ControlNode], history: FleetHistory) -> None:
        self.answers_get_lost = True
        self.pending = 0
        self._world = world
        self._controls = controls
        self._history = history
        self._numbers = itertools.count(1)

    def submit_new(self) -> None:
        """Read a version at any control process and send an order built on it."""
        base_version = self._read_version()
        rivals = 2 if self._world.random.random() < 0.3 else 1
        for _ in range(rivals):
            self.submit(self.new_order(base_version))

    def new_order(self, base_version: int) -> SubmitConfiguration:
        """Make an order with content of its own."""
        number = next(self._numbers)
        service = Service(name=f"service-{number}", kind=ServiceKind.PLAIN)
        configuration = Configuration(services=[service])
        return SubmitConfiguration(
            order_id=f"order-{number}",
            base_version=base_version,
            configuration=configuration,
            digest=configuration_digest(base_version, configuration),
        )

    def submit(self, order: SubmitConfiguration) -> None:
        """Send an order until its outcome is known."""
        self.pending += 1
        self._send(order)

    def _send(self, order: SubmitConfiguration) -> None:
        self._history.sent(order.order_id, order.base_version)
        answered = False

        def on_answer(answer: UpdateStatus, version: int) -> None:
            nonlocal answered
            lost = self.answers_get_lost and self._world.random.random() < LOST_ANSWER_SHARE
            if answered or lost:
                return
            answered = True
            self._history.answered(order.order_id, answer, version)
            if answer in FINAL_ANSWERS:
                self.pending -= 1
                return
            self._world.schedule(self._world.random.uniform(0.2, 1.0), lambda: self._send(order))

        def on_timeout() -> None:
            nonlocal answered
            if not answered:
                answered = True
                self._send(order)

        self._world.schedule(ANSWER_TIMEOUT_SECONDS, on_timeout)
        self._world.random.choice(self._controls).submit(order, on_answer)

    def _read_version(self) -> int:
        """Read at any process, also one that lags: an old version must only conflict."""
        running = [one.core for one in self._controls if one.core is not None]
        if not running:
            return 0
        return self._world.random.choice(running).state.configuration_version

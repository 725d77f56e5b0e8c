"""Simulated operators: they build on what they read, race, lose answers and send orders again."""

import itertools

from orchidpath.simulation.control_node import ControlNode
from orchidpath.simulation.environment import SimulatedEnvironment
from orchidpath.simulation.fleet_checks import FleetHistory
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
    environment
        Virtual time and chance.
    controls
        Control processes that they speak to, each picked at random.
    history
        Where they write down what they sent and were told.
    """

    def __init__(
        self, environment: SimulatedEnvironment, controls: list[ControlNode], history: FleetHistory
    ) -> None:
        self.answers_get_lost = True
        self.pending = 0
        self._environment = environment
        self._controls = controls
        self._history = history
        self._numbers = itertools.count(1)

    def submit_new(self) -> None:
        """Read a version at any control process and send an order built on it."""
        base_version = self._read_version()
        rivals = 2 if self._environment.random.random() < 0.3 else 1
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
            lost = self.answers_get_lost and self._environment.random.random() < LOST_ANSWER_SHARE
            if answered or lost:
                return
            answered = True
            self._history.answered(order.order_id, answer, version)
            if answer in FINAL_ANSWERS:
                self.pending -= 1
                return
            self._environment.schedule(
                self._environment.random.uniform(0.2, 1.0), lambda: self._send(order)
            )

        def on_timeout() -> None:
            nonlocal answered
            if not answered:
                answered = True
                self._send(order)

        self._environment.schedule(ANSWER_TIMEOUT_SECONDS, on_timeout)
        self._environment.random.choice(self._controls).submit(order, on_answer)

    def _read_version(self) -> int:
        """Read at any process, also one that lags: an old version must only conflict."""
        running = [one.core for one in self._controls if one.core is not None]
        if not running:
            return 0
        return self._environment.random.choice(running).state.configuration_version

"""Simulated operators, who submit configuration updates.

Operators base an update on the version that they read, submit concurrent updates on the same
version, lose replies, and send updates again.
"""

import itertools

from orchidpath.simulation.control_node import ControlNode
from orchidpath.simulation.environment import SimulatedEnvironment
from orchidpath.simulation.fleet_checks import FleetHistory
from orchidpath.state.commands import SubmitConfiguration, configuration_digest
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.messages import UpdateStatus

REPLY_TIMEOUT_SECONDS = 8.0
"""An operator who receives no reply within this time sends the same update again."""

LOST_REPLY_PROBABILITY = 0.15
"""Probability that a reply is lost while faults are injected."""

FINAL_ANSWERS = {UpdateStatus.CONFIRMED, UpdateStatus.CONFLICT}


class Operators:
    """All operators of one run.

    Parameters
    ----------
    environment
        Source of virtual time and random numbers.
    controls
        Control processes that operators connect to; each time one is selected at random.
    history
        Records the updates and their replies.
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
        """Read the version at a random control process and submit an update based on it.

        With a probability of 0.3, two updates compete for the same version.
        """
        base_version = self._read_version()
        competing_updates = 2 if self._environment.random.random() < 0.3 else 1
        for _ in range(competing_updates):
            self.submit(self.new_update(base_version))

    def new_update(self, base_version: int) -> SubmitConfiguration:
        """Return a new update whose content differs from all others of the run."""
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
        """Submit an update; it is sent again until it is confirmed or in conflict."""
        self.pending += 1
        self._send(order)

    def _send(self, order: SubmitConfiguration) -> None:
        self._history.record_sent(order.order_id, order.base_version)
        answered = False

        def on_answer(answer: UpdateStatus, version: int) -> None:
            nonlocal answered
            lost = (
                self.answers_get_lost and self._environment.random.random() < LOST_REPLY_PROBABILITY
            )
            if answered or lost:
                return
            answered = True
            self._history.record_reply(order.order_id, answer, version)
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

        self._environment.schedule(REPLY_TIMEOUT_SECONDS, on_timeout)
        self._environment.random.choice(self._controls).submit(order, on_answer)

    def _read_version(self) -> int:
        """Read the configuration version at any running process.

        The process may lag behind; an update that is based on an old version must be rejected as a
        conflict, and have no other effect.
        """
        running = [control.core for control in self._controls if control.core is not None]
        if not running:
            return 0
        return self._environment.random.choice(running).state.configuration_version

"""The newest configuration, its history, and the remembered outcomes of configuration updates."""

from collections import deque
from collections.abc import Iterable

import msgspec

from orchidpath.state.commands import SubmitConfiguration
from orchidpath.state.outcomes import (
    UpdateAccepted,
    UpdateConflict,
    UpdateIdReused,
    UpdateRecord,
    UpdateResult,
)
from orchidpath.state.snapshot import ConfigurationEntry
from orchidpath.state.update_outcomes import UpdateOutcomes
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.configuration_delta import ConfigurationDelta, configuration_delta

HISTORY_LIMIT = 1024
"""Number of the newest configurations that are listed in the history."""


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a submitted configuration; ``delta`` is set if it is the newest one now."""

    result: UpdateResult
    delta: ConfigurationDelta | None = None


class ConfigurationState:
    """The newest configuration and the outcomes of the updates that were submitted.

    Parameters
    ----------
    version
        Version of the newest configuration; 0 before the first.
    configuration
        The newest configuration.
    document
        Text from which an adapter made it; empty if none was given.
    history
        Accepted configurations, oldest first.
    updates
        Remembered updates, oldest first.
    """

    def __init__(
        self,
        version: int = 0,
        configuration: Configuration | None = None,
        document: bytes = b"",
        history: Iterable[ConfigurationEntry] = (),
        updates: Iterable[UpdateRecord] = (),
    ) -> None:
        self.version = version
        self.configuration = Configuration() if configuration is None else configuration
        self.document = document
        self._history = deque(history, maxlen=HISTORY_LIMIT)
        self._outcomes = UpdateOutcomes(updates)

    def history(self) -> list[ConfigurationEntry]:
        """Return the newest accepted configurations, oldest first."""
        return list(self._history)

    def updates(self) -> list[UpdateRecord]:
        """Return the remembered updates, oldest first."""
        return self._outcomes.records()

    def find_update(self, order_id: str) -> UpdateRecord | None:
        """Return the update remembered under an id, with its first outcome."""
        return self._outcomes.find(order_id)

    def submit(self, command: SubmitConfiguration) -> Submission:
        """Accept a configuration if it was built on the current version (compare and swap).

        An update that was submitted before gets its first outcome.
        """
        known = self._outcomes.find(command.order_id)
        if known is not None and known.digest != command.digest:
            reused = UpdateIdReused(current_version=self.version)
            return Submission(result=UpdateResult(outcome=reused))
        if known is not None:
            return Submission(result=UpdateResult(outcome=known.outcome, repeated=True))
        if command.base_version != self.version:
            conflict = UpdateConflict(current_version=self.version)
            self._outcomes.record(command.order_id, command.digest, conflict)
            return Submission(result=UpdateResult(outcome=conflict))
        delta = self._replace(command)
        accepted = UpdateAccepted(version=self.version)
        self._outcomes.record(command.order_id, command.digest, accepted)
        return Submission(result=UpdateResult(outcome=accepted), delta=delta)

    def _replace(self, command: SubmitConfiguration) -> ConfigurationDelta:
        delta = configuration_delta(self.configuration, command.configuration)
        self.version += 1
        self.configuration = command.configuration
        self.document = command.document
        self._history.append(
            ConfigurationEntry(
                version=self.version, order_id=command.order_id, digest=command.digest
            )
        )
        return delta

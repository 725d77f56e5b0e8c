"""The current configuration, the history of versions, and stored outcomes of updates."""

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
"""Number of newest configurations that the history lists."""


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a submitted configuration; ``delta`` is set only if this call accepted it."""

    result: UpdateResult
    delta: ConfigurationDelta | None = None


class ConfigurationState:
    """The current configuration and the outcomes of the updates that were submitted.

    Parameters
    ----------
    version
        Version of the current configuration; 0 before the first accepted update.
    configuration
        The current configuration; by default, an empty one.
    document
        Text from which an adapter made the configuration; empty if the update had none.
    history
        Accepted configurations, oldest first.
    updates
        Updates whose outcomes are stored, oldest first.
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
        """Return the updates whose outcomes are stored, oldest first."""
        return self._outcomes.records()

    def find_update(self, order_id: str) -> UpdateRecord | None:
        """Return the stored update with an id, and its first outcome; None if there is none."""
        return self._outcomes.find(order_id)

    def submit(self, command: SubmitConfiguration) -> Submission:
        """Accept a configuration if it was built on the current version (compare and swap).

        An update that was submitted before gets its first outcome again. An update whose id
        belongs to an update with another digest is rejected.
        """
        stored = self._outcomes.find(command.order_id)
        if stored is not None and stored.digest != command.digest:
            reused = UpdateIdReused(current_version=self.version)
            return Submission(result=UpdateResult(outcome=reused))
        if stored is not None:
            return Submission(result=UpdateResult(outcome=stored.outcome, repeated=True))
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

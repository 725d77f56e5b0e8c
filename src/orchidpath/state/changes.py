"""The newest changes of the state, from which a router that lags by a little gets a delta."""

from collections import deque

import msgspec

from orchidpath.wire.records import WorkerRecord

CHANGE_MEMORY = 1024
"""How many of the newest revisions are remembered as changes."""


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """What one revision changed: one worker, or with no worker more than that."""

    revision: int
    worker: WorkerRecord | None


class ChangeLog:
    """The changes of the newest revisions, without a gap up to the current one.

    It is an aid for sending less and no part of the replicated state: without it, everything is
    sent whole.
    """

    def __init__(self) -> None:
        self._changes: deque[Change] = deque(maxlen=CHANGE_MEMORY)

    def add(self, revision: int, worker: WorkerRecord | None) -> None:
        """Add the change that made a revision; with no worker, more than one worker changed."""
        self._changes.append(Change(revision=revision, worker=worker))

    def workers_since(self, revision: int) -> tuple[WorkerRecord, ...] | None:
        """Return the newest record of each worker changed above a revision, by id.

        Returns
        -------
        tuple of WorkerRecord or None
            None if more than workers changed, or the changes are not remembered that far back.
        """
        if not self._changes or self._changes[0].revision > revision + 1:
            return None
        newest: dict[str, WorkerRecord] = {}
        for change in self._changes:
            if change.revision <= revision:
                continue
            if change.worker is None:
                return None
            newest[change.worker.worker_id] = change.worker
        return tuple(newest[worker_id] for worker_id in sorted(newest))

"""The newest changes of the state, from which deltas for slightly outdated routers are made."""

from collections import deque

import msgspec

from orchidpath.wire.configuration_delta import (
    ConfigurationDelta,
    merge_configuration_deltas,
)
from orchidpath.wire.records import RouterRecord, WorkerRecord

CHANGE_LOG_LIMIT = 1024
"""Number of newest revisions whose changes are stored."""


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """The change that created a revision, either of a worker, of a router or of the configuration.

    ``router`` is the record of a registered or changed router, and ``removed_router`` the id of a
    removed router.
    """

    revision: int
    worker: WorkerRecord | None = None
    router: RouterRecord | None = None
    removed_router: str = ""
    configuration: ConfigurationDelta | None = None


class Delta(msgspec.Struct, frozen=True, kw_only=True):
    """All changes after a revision: the newest record of each worker and router, sorted by id."""

    workers: tuple[WorkerRecord, ...] = ()
    routers: tuple[RouterRecord, ...] = ()
    removed_routers: tuple[str, ...] = ()
    configuration: ConfigurationDelta | None = None

    @property
    def routers_changed(self) -> bool:
        """Whether registered routers changed, in which case the witnesses may have changed too."""
        return bool(self.routers or self.removed_routers)


class ChangeLog:
    """The changes of the newest revisions, without gaps up to the current revision.

    The change log is not part of the replicated state; it only reduces the size of updates.
    Without it, every update would be a full view.
    """

    def __init__(self) -> None:
        self._changes: deque[Change] = deque(maxlen=CHANGE_LOG_LIMIT)

    def add(self, change: Change) -> None:
        """Append the change that created the newest revision."""
        self._changes.append(change)

    def since(self, revision: int) -> Delta | None:
        """Return the changes after a revision.

        Returns
        -------
        Delta or None
            None if the changes directly after that revision are no longer stored.
        """
        if not self._changes or self._changes[0].revision > revision + 1:
            return None
        workers: dict[str, WorkerRecord] = {}
        routers: dict[str, RouterRecord | None] = {}
        configurations: list[ConfigurationDelta] = []
        for change in self._changes:
            if change.revision <= revision:
                continue
            if change.configuration is not None:
                configurations.append(change.configuration)
            if change.worker is not None:
                workers[change.worker.worker_id] = change.worker
            if change.router is not None:
                routers[change.router.router_id] = change.router
            if change.removed_router:
                routers[change.removed_router] = None
        registered = [record for _, record in sorted(routers.items()) if record is not None]
        removed = [router_id for router_id in sorted(routers) if routers[router_id] is None]
        return Delta(
            workers=tuple(workers[worker_id] for worker_id in sorted(workers)),
            routers=tuple(registered),
            removed_routers=tuple(removed),
            configuration=merge_configuration_deltas(configurations),
        )

"""The newest changes of the state, from which a router that lags a little gets a delta."""

from collections import deque

import msgspec

from orchidpath.wire.configuration_delta import (
    ConfigurationDelta,
    merge_configuration_deltas,
)
from orchidpath.wire.records import RouterRecord, WorkerRecord

CHANGE_MEMORY = 1024
"""Number of the newest revisions that are remembered as changes."""


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """What one revision changed: exactly one of a worker, a router or the configuration.

    ``router`` was registered or changed; ``removed_router`` is the id of a removed one.
    """

    revision: int
    worker: WorkerRecord | None = None
    router: RouterRecord | None = None
    removed_router: str = ""
    configuration: ConfigurationDelta | None = None


class Delta(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that changed above a revision: the newest record of each, by id."""

    workers: tuple[WorkerRecord, ...] = ()
    routers: tuple[RouterRecord, ...] = ()
    removed_routers: tuple[str, ...] = ()
    configuration: ConfigurationDelta | None = None

    @property
    def routers_changed(self) -> bool:
        """Whether the registered routers changed, and so perhaps the witnesses."""
        return bool(self.routers or self.removed_routers)


class ChangeLog:
    """The changes of the newest revisions, without a gap up to the current one.

    It only reduces what is sent and is no part of the replicated state: without it, every update
    is a full view.
    """

    def __init__(self) -> None:
        self._changes: deque[Change] = deque(maxlen=CHANGE_MEMORY)

    def add(self, change: Change) -> None:
        """Add the change that made a revision."""
        self._changes.append(change)

    def since(self, revision: int) -> Delta | None:
        """Return what changed above a revision.

        Returns
        -------
        Delta or None
            None if the changes are not remembered that far back.
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

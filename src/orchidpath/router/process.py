"""The router process: creates, starts and stops the HTTP edge and the control link."""

import asyncio
import random as random_module
import uuid
from pathlib import Path
from typing import TYPE_CHECKING

from orchidpath.common.clock import Clock, monotonic_seconds
from orchidpath.common.daemon import Daemon
from orchidpath.common.logs import configure_logs
from orchidpath.common.settings import RouterSettings
from orchidpath.router.fleet_link.control_link import ControlLink
from orchidpath.router.observability.decision_log_writer import DecisionLogWriter
from orchidpath.router.observability.decision_recorder import DecisionRecorder
from orchidpath.router.proxy.protocol_mapping import ProtocolMapping
from orchidpath.router.proxy.proxy_edge import ProxyEdge
from orchidpath.wire.link_faults import LinkFaults, watch_fault_file
from orchidpath.wire.messages import Hello, ProcessRole
from orchidpath.wire.records import RouterRecord

if TYPE_CHECKING:
    from orchidpath.router.chat.http_edge import EdgeServer

INCARNATION_CHARACTERS = 12
"""Length of the incarnation, a random identifier generated at each start."""


class RouterProcess(Daemon[RouterSettings]):
    """One router process.

    Parameters
    ----------
    settings
        Validated settings.
    clock
        Monotonic clock.
    protocol_mapping
        Protocol that callers of forward routes and workers use; by default the product's own.
    """

    def __init__(
        self,
        settings: RouterSettings,
        clock: Clock = monotonic_seconds,
        protocol_mapping: ProtocolMapping | None = None,
    ) -> None:
        super().__init__()
        self._protocol_mapping = protocol_mapping or ProtocolMapping()
        self._settings = settings
        self._clock = clock
        self._fault_watch: asyncio.Task[None] | None = None
        self._random = random_module.Random()
        self._decision_log: DecisionLogWriter | None = None

    @property
    def drain_seconds(self) -> float:
        """Return how many seconds running requests have to finish after SIGTERM."""
        return self._settings.drain_seconds

    async def start(self) -> None:
        """Listen for callers and other processes, and start requesting a lease."""
        settings = self._settings
        hello = Hello(
            node_id=settings.node_id,
            incarnation=uuid.uuid4().hex[:INCARNATION_CHARACTERS],
            role=ProcessRole.ROUTER,
            address=settings.wire_address,
            fleet=settings.fleet,
        )
        record = RouterRecord(
            router_id=settings.node_id,
            address=settings.wire_address,
            http_address=settings.http_address,
            zone=settings.zone,
        )
        faults = LinkFaults() if settings.fault_file else None
        if faults is not None:
            self._fault_watch = watch_fault_file(settings.fault_file, faults)
        self._link = ControlLink(record, hello, settings.seeds, self._clock, self._random, faults)
        self._edge = self._make_edge(hello.incarnation)
        self._link.set_listener(self._edge)
        await self._edge.start()
        await self._link.start()

    async def stop(self, drain_seconds: float) -> None:
        """Finish running requests within the drain time, send their reports, and close."""
        # The edge stops before the link, so that the reports of its last requests are still sent.
        await self._edge.stop(drain_seconds)
        await self._link.stop()
        if self._fault_watch is not None:
            self._fault_watch.cancel()
        if self._decision_log is not None:
            await asyncio.to_thread(self._decision_log.stop)

    async def reload(self, settings: RouterSettings) -> None:
        """Apply new settings; only seeds, log level and drain time change in a running router."""
        self._settings = settings
        self._link.set_seeds(settings.seeds)
        configure_logs(settings.log_level, node_id=settings.node_id, role="router")

    def _make_edge(self, incarnation: str) -> "EdgeServer | ProxyEdge":
        settings = self._settings
        if settings.forward_address:
            return ProxyEdge(
                settings, self._link, self._protocol_mapping, self._random, self._clock
            )
        # Imported here only: a forwarding router does not use this HTTP server, and importing it
        # would take a third of its start time.
        from orchidpath.router.chat.http_edge import EdgeServer

        recorder = self._make_recorder(incarnation)
        return EdgeServer(settings, self._link, self._random, self._clock, recorder)

    def _make_recorder(self, incarnation: str) -> DecisionRecorder | None:
        """Start the decision log if it is configured; otherwise return None."""
        settings = self._settings
        if not settings.decision_log:
            return None
        self._decision_log = DecisionLogWriter(Path(settings.decision_log))
        self._decision_log.start()
        return DecisionRecorder(
            self._decision_log.write, settings.node_id, incarnation, self._clock
        )

"""Creates the decision log lines for the routing decisions and attempt reports of a router."""

from collections.abc import Callable
from datetime import UTC, datetime

from orchidpath.common.clock import Clock
from orchidpath.router.chat.chat_api import TraceEntry
from orchidpath.routing.decision_log import (
    DecidedBy,
    DecisionLine,
    LogLine,
    PolicyLine,
    ReportLine,
)
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.messages import AttemptReport, DecisionReply, DecisionRequest

WriteLine = Callable[[LogLine], None]
"""Accepts one line of the decision log; never waits."""


def wall_clock_text() -> str:
    """Return the current UTC time in ISO 8601, to the millisecond."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")


class DecisionRecorder:
    """Records the decisions and attempt reports of one router in its decision log.

    Parameters
    ----------
    write
        Accepts the lines.
    router_id
        Id of the router.
    incarnation
        Identifies one run of the router's process; different after each start.
    clock
        Monotonic clock.
    wall_clock
        Returns the wall-clock time of a line as text, for human readers.
    """

    def __init__(
        self,
        write: WriteLine,
        router_id: str,
        incarnation: str,
        clock: Clock,
        wall_clock: Callable[[], str] = wall_clock_text,
    ) -> None:
        self._write = write
        self._router_id = router_id
        self._incarnation = incarnation
        self._clock = clock
        self._wall_clock = wall_clock
        self._configuration: Configuration | None = None
        self._configuration_version = 0

    def configuration(self, configuration: Configuration, version: int) -> None:
        """Record the current policy if the configuration has changed since the last call.

        Parameters
        ----------
        configuration
            The adopted configuration.
        version
            Version of the configuration.
        """
        if self._configuration is configuration and self._configuration_version == version:
            return
        self._configuration = configuration
        self._configuration_version = version
        line = PolicyLine(
            time=self._wall_clock(),
            at_seconds=self._clock(),
            router_id=self._router_id,
            incarnation=self._incarnation,
            configuration_version=version,
            circuit=configuration.circuit,
            load_bound_factor=configuration.admission.load_bound_factor,
        )
        self._write(line)

    def decision(
        self, request: DecisionRequest, reply: DecisionReply, decided_by: DecidedBy
    ) -> None:
        """Record one routing decision.

        Parameters
        ----------
        request
            The decision request.
        reply
            The reply, with the chosen workers or the rejection.
        decided_by
            Whether the state of the leader or of the router was used.
        """
        line = DecisionLine(
            time=self._wall_clock(),
            at_seconds=self._clock(),
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            service=request.service,
            configuration_version=self._configuration_version,
            per_stage=request.per_stage,
            decided_by=decided_by,
            term=reply.term,
            states=reply.states,
            choices=reply.choices,
            rejection=reply.rejection,
            retry_after_seconds=reply.retry_after_seconds,
        )
        self._write(line)

    def report(self, report: AttemptReport, entry: TraceEntry) -> None:
        """Record how an attempt ended for one worker.

        Parameters
        ----------
        report
            The report that the leader receives.
        entry
            The entry for the attempt in the trace of the request.
        """
        line = ReportLine(
            time=self._wall_clock(),
            at_seconds=self._clock(),
            request_id=report.request_id,
            attempt_id=report.attempt_id,
            worker_id=report.worker_id,
            stage=entry.stage,
            effect=report.effect,
            reason=entry.reason,
            latency_seconds=entry.latency_seconds,
            probe_generation=report.probe_generation,
        )
        self._write(line)

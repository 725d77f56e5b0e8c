"""Makes the lines of the decision log from what a router decides and reports."""

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
"""Takes a line; never waits."""


def wall_clock_text() -> str:
    """Return the wall clock as ISO 8601 in UTC."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")


class DecisionRecorder:
    """Records decisions and reports of one router.

    Parameters
    ----------
    write
        Takes the lines.
    router_id
        The router.
    incarnation
        New for each start of its process.
    clock
        Monotonic clock.
    wall_clock
        Returns the time for people.
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
        """Record the policy applied, if it is another one than before.

        Parameters
        ----------
        configuration
            The adopted configuration.
        version
            Its version.
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
        """Record one decision.

        Parameters
        ----------
        request
            What was asked.
        reply
            What was decided.
        decided_by
            Whose state it was decided on.
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
            What the leader is told.
        entry
            What the request's trace says of it.
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

"""Reports of how the attempts of one request ended, one report for each attempt and worker.

Each worker is charged with at most one transient failure per logical request (paper, "Circuit
breakers and bounded retries"). Further transient failures are reported as neutral, so that the
attempt is still removed from the worker's count of attempts in flight.
"""

from types import MappingProxyType

import msgspec

from orchidpath.routing.kv_transfer_evidence import TransferCharge, TransferEvidence
from orchidpath.routing.request.events import Report
from orchidpath.routing.request.guards import NO_GUARD_DISABLED, Guard
from orchidpath.wire.backend import ErrorBody, ErrorCode
from orchidpath.wire.messages import AttemptEffect, AttemptReport, Choice
from orchidpath.wire.records import Stage

_TRANSFER_EVIDENCE_BY_CODE = MappingProxyType(
    {
        ErrorCode.HANDLE_EXPIRED: TransferEvidence.HANDLE_EXPIRED,
        ErrorCode.HANDLE_MISMATCH: TransferEvidence.HANDLE_MISMATCH,
        ErrorCode.UPSTREAM_REFUSED: TransferEvidence.HANDLE_DENIED,
        ErrorCode.UPSTREAM_FAILED: TransferEvidence.TRANSFER_FAILED,
    }
)
"""Evidence about the KV transfer in each error code of a decode worker (backend protocol)."""


def transfer_evidence(error: ErrorBody | None) -> TransferEvidence | None:
    """Return the evidence about the KV transfer in a decode worker's error; None if none."""
    return _TRANSFER_EVIDENCE_BY_CODE.get(error.code) if error is not None else None


class AttemptRecord(msgspec.Struct, kw_only=True):
    """One attempt: the worker chosen for each stage, and the stages not reported yet."""

    attempt_id: str
    choices: dict[Stage, Choice]
    unreported: set[Stage]

    @classmethod
    def of(cls, attempt_id: str, choices: tuple[Choice, ...]) -> "AttemptRecord":
        """Return the record of an attempt for which these workers were chosen."""
        by_stage = {choice.stage: choice for choice in choices}
        return cls(attempt_id=attempt_id, choices=by_stage, unreported=set(by_stage))

    def worker(self, stage: Stage) -> str:
        """Return the id of the worker chosen for a stage."""
        return self.choices[stage].worker_id


class ReportBuffer:
    """Creates the reports of one request.

    Parameters
    ----------
    request_id
        Id of the request.
    disabled_guards
        Safety rules that are not enforced; for tests only.
    """

    def __init__(
        self, request_id: str, disabled_guards: frozenset[Guard] = NO_GUARD_DISABLED
    ) -> None:
        self._request_id = request_id
        self._disabled = disabled_guards
        self._failed_workers: set[str] = set()

    def report(
        self, attempt: AttemptRecord, stage: Stage, effect: AttemptEffect, reason: str
    ) -> list[Report]:
        """Report how an attempt ended for one of its workers.

        Parameters
        ----------
        attempt
            The attempt.
        stage
            Stage of the worker to report.
        effect
            Effect of the attempt on that worker.
        reason
            Readable reason, for the decision trace.

        Returns
        -------
        list of Report
            Empty if the worker was reported before or if the attempt has no worker of that stage.
        """
        if stage not in attempt.unreported:
            return []
        attempt.unreported.discard(stage)
        choice = attempt.choices[stage]
        report = AttemptReport(
            request_id=self._request_id,
            attempt_id=attempt.attempt_id,
            worker_id=choice.worker_id,
            effect=self._limit_transient_failures(choice.worker_id, effect),
            probe_generation=choice.probe_generation,
        )
        return [Report(report=report, stage=stage, reason=reason)]

    def report_rest(
        self, attempt: AttemptRecord, effect: AttemptEffect, reason: str
    ) -> list[Report]:
        """Report every worker of an attempt that has not been reported yet."""
        reports: list[Report] = []
        for stage in sorted(attempt.unreported):
            reports.extend(self.report(attempt, stage, effect, reason))
        return reports

    def report_kv_transfer(
        self, attempt: AttemptRecord, charge: TransferCharge, reason: str
    ) -> list[Report]:
        """Report both workers of a pair whose KV transfer failed."""
        return [
            *self.report(attempt, Stage.PREFILL, charge.prefill_effect, reason),
            *self.report(attempt, Stage.DECODE, charge.decode_effect, reason),
        ]

    def _limit_transient_failures(self, worker_id: str, effect: AttemptEffect) -> AttemptEffect:
        if effect is not AttemptEffect.TRANSIENT:
            return effect
        was_charged = worker_id in self._failed_workers
        if was_charged and Guard.ONE_FAILURE_A_WORKER not in self._disabled:
            return AttemptEffect.GATEWAY
        self._failed_workers.add(worker_id)
        return effect

"""Summarises one run of the local fleet and decides whether it succeeded."""

from collections.abc import Sequence

import msgspec

from orchidpath.emulators.client.caller_report import CallerSummary, Percentiles, RequestResult
from orchidpath.emulators.client.verification import Outcome
from orchidpath.fleet.executions import ExecutionKey
from orchidpath.wire.backend import ErrorCode, Ran

MAX_EXAMPLES = 10
"""Maximum number of request ids listed for each kind of failure."""

_CALLER_ERRORS = (ErrorCode.BAD_REQUEST, ErrorCode.UNKNOWN_ROUTE)


class ErrorCount(msgspec.Struct, frozen=True, kw_only=True):
    """Number of requests with the same outcome, error code and ``ran`` value."""

    outcome: Outcome
    code: str
    ran: str
    count: int


class FleetSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run of the local fleet; ``failures`` is empty if the run succeeded."""

    fleet: str
    seconds: float
    requests: int
    answered: int
    errors: tuple[ErrorCount, ...]
    executions: int
    executions_twice: int
    refused_but_ran: int
    broken_streams: int
    wrong_content: int
    incomplete_but_clean: int
    first_token: Percentiles
    between_tokens: Percentiles
    plain_call: Percentiles
    leader: str
    configuration_version: int
    failures: tuple[str, ...]
    log_folder: str


class RunEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """Observations of a run from which its summary is made."""

    fleet: str
    callers: CallerSummary
    results: Sequence[RequestResult]
    executions: int
    repeated: Sequence[ExecutionKey]
    refused_but_ran: Sequence[str]
    leader: str
    configuration_version: int
    unexpected_exits: Sequence[str]
    log_folder: str


def summarise(evidence: RunEvidence) -> FleetSummary:
    """Return the summary of a run, including its failures."""
    callers = evidence.callers
    errors = tuple(
        ErrorCount(outcome=entry.outcome, code=entry.code, ran=entry.ran, count=entry.count)
        for entry in callers.codes
        if entry.outcome is not Outcome.ANSWERED
    )
    return FleetSummary(
        fleet=evidence.fleet,
        seconds=callers.seconds,
        requests=callers.due,
        answered=callers.outcomes.answered,
        errors=errors,
        executions=evidence.executions,
        executions_twice=len(evidence.repeated),
        refused_but_ran=len(evidence.refused_but_ran),
        broken_streams=callers.outcomes.broken,
        wrong_content=callers.outcomes.wrong_content,
        incomplete_but_clean=callers.outcomes.incomplete_but_clean,
        first_token=callers.first_token,
        between_tokens=callers.between_tokens,
        plain_call=callers.plain_call,
        leader=evidence.leader,
        configuration_version=evidence.configuration_version,
        failures=tuple(_failures(evidence)),
        log_folder=evidence.log_folder,
    )


def _failures(evidence: RunEvidence) -> list[str]:
    outcomes = evidence.callers.outcomes
    counted = {
        "streams broken": outcomes.broken,
        "requests timed out": outcomes.timed_out,
        "requests reached no router": outcomes.unreachable,
        "responses with wrong content": outcomes.wrong_content,
        "incomplete responses without an error": outcomes.incomplete_but_clean,
        "requests not sent because the callers were too slow": evidence.callers.not_sent,
    }
    failures = [f"{count} {what}" for what, count in counted.items() if count]
    failures += _named("executions repeated", [key.request_id for key in evidence.repeated])
    failures += _named("requests executed although reported as not run", evidence.refused_but_ran)
    violations = [
        result.request_id for result in evidence.results if not _honoured_guarantee(result)
    ]
    failures += _named("refusals without ran=no and Retry-After", violations)
    failures += [f"process exited unexpectedly: {name}" for name in evidence.unexpected_exits]
    if evidence.callers.due == 0:
        failures.append("no request was due")
    return failures


def _named(what: str, request_ids: Sequence[str]) -> list[str]:
    if not request_ids:
        return []
    return [f"{len(request_ids)} {what}: {', '.join(request_ids[:MAX_EXAMPLES])}"]


def _honoured_guarantee(result: RequestResult) -> bool:
    """Return whether a refusal guarantees that the call did not run and says when to retry.

    The callers of the local fleet send only valid requests, so a refusal that blames the request
    violates the guarantee as well. Every other outcome returns True.
    """
    if result.outcome is not Outcome.REFUSED:
        return True
    if result.code in _CALLER_ERRORS:
        return False
    return result.ran == Ran.NO and (result.retry_after_seconds or 0.0) > 0.0

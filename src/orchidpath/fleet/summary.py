"""The verdict on one run of the local fleet."""

from collections.abc import Sequence

import msgspec

from orchidpath.emulators.client.caller_report import CallerSummary, Percentiles, RequestResult
from orchidpath.emulators.client.verification import Outcome
from orchidpath.fleet.executions import ExecutionKey
from orchidpath.wire.backend import ErrorCode, Ran

MAX_EXAMPLES = 10
"""Bound on the requests named for each kind of failure."""

_CALLERS_FAULTS = (ErrorCode.BAD_REQUEST, ErrorCode.UNKNOWN_ROUTE)


class ErrorCount(msgspec.Struct, frozen=True, kw_only=True):
    """How often an outcome came with a code and a word on whether the call ran."""

    outcome: Outcome
    code: str
    ran: str
    count: int


class FleetSummary(msgspec.Struct, frozen=True, kw_only=True):
    """What one run of the local fleet showed; ``failures`` is empty when all went as expected."""

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
    """Everything that the verdict is made of."""

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
    """Return the summary of a run, with its verdict."""
    callers = evidence.callers
    errors = tuple(
        ErrorCount(outcome=each.outcome, code=each.code, ran=each.ran, count=each.count)
        for each in callers.codes
        if each.outcome is not Outcome.ANSWERED
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
        "answers with wrong content": outcomes.wrong_content,
        "answers incomplete but clean": outcomes.incomplete_but_clean,
        "requests not sent, the callers were too slow": evidence.callers.not_sent,
    }
    failures = [f"{count} {what}" for what, count in counted.items() if count]
    failures += _named("executions repeated", [key.request_id for key in evidence.repeated])
    failures += _named("requests ran after a promise of not run", evidence.refused_but_ran)
    dishonest = [
        result.request_id for result in evidence.results if not _honoured_guarantee(result)
    ]
    failures += _named("refusals without ran=no and Retry-After", dishonest)
    failures += [f"process ended by itself: {name}" for name in evidence.unexpected_exits]
    if evidence.callers.due == 0:
        failures.append("no request was due")
    return failures


def _named(what: str, request_ids: Sequence[str]) -> list[str]:
    if not request_ids:
        return []
    return [f"{len(request_ids)} {what}: {', '.join(request_ids[:MAX_EXAMPLES])}"]


def _honoured_guarantee(result: RequestResult) -> bool:
    """Tell whether a refusal said honestly that the call did not run and when to come back.

    The local fleet's callers send only valid requests, so a refusal of the request itself counts
    as a broken guarantee as well.
    """
    if result.outcome is not Outcome.REFUSED:
        return True
    if result.code in _CALLERS_FAULTS:
        return False
    return result.ran == Ran.NO and (result.retry_after_seconds or 0.0) > 0.0

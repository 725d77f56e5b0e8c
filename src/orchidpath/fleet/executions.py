"""Finds calls that ran more often than their route allows, using the back ends' records."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import TypeVar

import msgspec

from orchidpath.emulators.backend.attempts import Phase
from orchidpath.emulators.backend.reports import ExecutionRecord
from orchidpath.emulators.client.caller_report import RequestResult
from orchidpath.emulators.client.verification import Outcome
from orchidpath.wire.backend import Ran
from orchidpath.wire.configuration import Configuration

StructT = TypeVar("StructT", bound=msgspec.Struct)


class ExecutionKey(msgspec.Struct, frozen=True):
    """Key of an execution that must happen at most once: one phase of one request."""

    request_id: str
    phase: Phase


class ExecutionPolicy:
    """Determines which phases of a request must run at most once for each service.

    Parameters
    ----------
    configuration
        The services and routes.
    service_by_worker
        Service of each worker by its name.
    """

    def __init__(self, configuration: Configuration, service_by_worker: dict[str, str]) -> None:
        self._service_by_worker = service_by_worker
        self._repeatable = {route.service for route in configuration.routes if route.repeatable}
        self._prefill_repeatable = self._repeatable | {
            route.service for route in configuration.routes if route.repeat_prompt_read
        }

    def must_run_once(self, record: ExecutionRecord) -> bool:
        """Return whether this execution must be the only one of its phase and request."""
        service = self._service_by_worker.get(record.worker_id, "")
        if record.phase is Phase.PREFILL_DONE:
            return service not in self._prefill_repeatable
        return service not in self._repeatable


def repeated_executions(
    records: Iterable[ExecutionRecord], policy: ExecutionPolicy
) -> list[ExecutionKey]:
    """Return each phase of a request that started more than once against the policy."""
    starts: Counter[ExecutionKey] = Counter()
    for record in records:
        if policy.must_run_once(record):
            starts[ExecutionKey(record.request_id, record.phase)] += 1
    return [key for key, count in starts.items() if count > 1]


def refused_but_ran(
    records: Iterable[ExecutionRecord],
    results: Sequence[RequestResult],
    policy: ExecutionPolicy,
) -> list[str]:
    """Return the ids of requests that ran although their last response guaranteed "not run"."""
    guaranteed = {
        result.request_id
        for result in results
        if result.outcome is Outcome.REFUSED and result.ran == Ran.NO
    }
    ran = {record.request_id for record in records if policy.must_run_once(record)}
    return sorted(guaranteed & ran)


def decode_lines(content: bytes, expected: type[StructT]) -> list[StructT]:
    """Decode JSON lines; an incomplete last line, as a killed process leaves it, is dropped."""
    lines = content.split(b"\n")
    return [msgspec.json.decode(line, type=expected) for line in lines[:-1] if line]

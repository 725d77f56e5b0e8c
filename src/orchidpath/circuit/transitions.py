"""Transitions of the agreed circuit state, proposed to and applied by the replicated log.

A transition contains the generation that it was proposed on. Applying a transition is a
compare-and-swap: it takes effect only on that generation and creates the next generation. Two
proposals on the same generation therefore never both take effect. Every replica computes the same
record, because the proposer applies any jitter and stores the result in ``duration_seconds``.
"""

import msgspec

from orchidpath.wire.records import CapacityRecord, CircuitRecord, CircuitStatus


class CircuitTransition(msgspec.Struct, frozen=True, kw_only=True, tag="circuit_transition"):
    """Proposal of the next record of one worker's circuit.

    ``incarnation`` identifies the worker's process that the evidence was observed on.
    """

    worker_id: str
    expected_generation: int
    status: CircuitStatus
    reopenings: int = 0
    duration_seconds: float = 0.0
    probe_owner: str = ""
    incarnation: str = ""


class CapacityTransition(msgspec.Struct, frozen=True, kw_only=True, tag="capacity_transition"):
    """Proposal to open the shared capacity circuit of one failure domain."""

    failure_domain: str
    expected_generation: int
    duration_seconds: float


def initial_circuit(worker_id: str, incarnation: str = "") -> CircuitRecord:
    """Return the circuit of a worker without any transition: closed, at generation 0.

    Parameters
    ----------
    worker_id
        The worker.
    incarnation
        The worker's process; empty when unknown.

    Returns
    -------
    CircuitRecord
        A closed circuit.
    """
    return CircuitRecord(
        worker_id=worker_id,
        status=CircuitStatus.AVAILABLE,
        generation=0,
        incarnation=incarnation,
    )


def initial_capacity(failure_domain: str) -> CapacityRecord:
    """Return the capacity circuit of a failure domain that was never throttled.

    The circuit is closed: generation 0 and no duration.

    Parameters
    ----------
    failure_domain
        The failure domain.

    Returns
    -------
    CapacityRecord
        A closed capacity circuit.
    """
    return CapacityRecord(failure_domain=failure_domain, generation=0, duration_seconds=0.0)


def apply_circuit_transition(
    current: CircuitRecord | None, transition: CircuitTransition
) -> CircuitRecord:
    """Apply a transition to the agreed circuit if it was proposed on the circuit's generation.

    Parameters
    ----------
    current
        The agreed record; None when the worker's circuit has had no transition.
    transition
        The committed proposal.

    Returns
    -------
    CircuitRecord
        The record of the next generation, or the current record when the proposal is outdated.
    """
    agreed = current if current is not None else initial_circuit(transition.worker_id)
    if transition.expected_generation != agreed.generation:
        return agreed
    return CircuitRecord(
        worker_id=transition.worker_id,
        status=transition.status,
        generation=agreed.generation + 1,
        reopenings=transition.reopenings,
        duration_seconds=transition.duration_seconds,
        probe_owner=transition.probe_owner,
        incarnation=transition.incarnation,
    )


def apply_capacity_transition(
    current: CapacityRecord | None, transition: CapacityTransition
) -> CapacityRecord:
    """Apply a transition to the agreed capacity circuit if it was proposed on its generation.

    Parameters
    ----------
    current
        The agreed record; None when the domain's circuit has never opened.
    transition
        The committed proposal.

    Returns
    -------
    CapacityRecord
        The record of the next generation, or the current record when the proposal is outdated.
    """
    agreed = current if current is not None else initial_capacity(transition.failure_domain)
    if transition.expected_generation != agreed.generation:
        return agreed
    return CapacityRecord(
        failure_domain=transition.failure_domain,
        generation=agreed.generation + 1,
        duration_seconds=transition.duration_seconds,
    )

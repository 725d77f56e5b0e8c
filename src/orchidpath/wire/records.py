"""Records of the fleet's shared state, as they are sent and stored.

All of them belong to the replicated state machine (:mod:`orchidpath.state`); routers have copies
as of the revision that they have adopted.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.configuration import Configuration


class Stage(StrEnum):
    """Stage of a request that a worker executes."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class WorkerStatus(StrEnum):
    """Agreed status of a worker."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class WorkerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One worker as agreed by the control tier.

    ``incarnation`` is new for every start of the worker's process. ``url`` is the worker's HTTP
    base address by IP number. ``cordoned`` is set by the control tier while a plan switches the
    worker's stage; a cordoned worker gets no new request.
    """

    worker_id: str
    incarnation: str
    service: str
    stage: Stage
    url: str
    models: tuple[str, ...] = ()
    zone: str = ""
    failure_domain: str = ""
    status: WorkerStatus = WorkerStatus.READY
    cordoned: bool = msgspec.field(default=False, name="held")


class RouterRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One registered router: its wire address, its HTTP address and its zone."""

    router_id: str
    address: str
    http_address: str
    zone: str = ""


class CircuitStatus(StrEnum):
    """Operators' view of a worker's circuit (paper, deployments view; quarantine is ours)."""

    AVAILABLE = "available"
    COOLDOWN = "cooldown"
    HALF_OPEN = "half_open"
    RATE_LIMITED = "rate_limited"
    QUARANTINED = "quarantined"


class CircuitRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The agreed part of a worker's circuit; it changes through the replicated log only.

    ``generation`` counts transitions, so a late report on an earlier generation changes nothing.
    ``duration_seconds`` counts from the moment a replica applied the record, on that replica's own
    monotonic clock: replicas apply within milliseconds of each other, and no wall clock is trusted.
    ``probe_owner`` is the attempt that owns the probe of a half-open circuit. ``incarnation`` is
    the worker's process that the circuit was opened for: a restarted worker starts afresh.
    """

    worker_id: str
    status: CircuitStatus
    generation: int
    reopenings: int = 0
    duration_seconds: float = 0.0
    probe_owner: str = ""
    incarnation: str = ""


class CapacityRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A capacity circuit shared by every worker of one failure domain."""

    failure_domain: str
    generation: int
    duration_seconds: float


class FleetView(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a router must apply, at one revision of the replicated state.

    ``revision`` increases with every change, ``configuration_version`` with every accepted
    configuration. Neither ever decreases.
    """

    revision: int
    configuration_version: int
    configuration: Configuration
    workers: tuple[WorkerRecord, ...] = ()
    routers: tuple[RouterRecord, ...] = ()
    witnesses: tuple[str, ...] = ()


class ControlMember(msgspec.Struct, frozen=True, kw_only=True):
    """One control replica; ``address`` is its wire address, ``http_address`` the operators' one.

    ``node_id`` is the replica's identity: the process's name and a random part that lives in its
    data folder, so a process whose folder was lost returns as another replica. One without a disk
    follows the log to serve operators and workers, and never votes: ``may_vote`` is false.
    """

    node_id: str
    address: str
    http_address: str = ""
    voter: bool = True
    may_vote: bool = True

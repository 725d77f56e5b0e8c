"""Records of the fleet's shared state, as they are sent and stored.

All of them belong to the replicated state machine (:mod:`orchidpath.state`); a router has copies
as of the revision that it has adopted.
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
    """Status of a worker's circuit, as shown to operators.

    The values are those of the paper's deployments view; ``quarantined`` is an addition of this
    project.
    """

    AVAILABLE = "available"
    COOLDOWN = "cooldown"
    HALF_OPEN = "half_open"
    RATE_LIMITED = "rate_limited"
    QUARANTINED = "quarantined"


class CircuitRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The replicated part of a worker's circuit; it changes only through the replicated log.

    ``generation`` counts transitions, so that a late report on an earlier generation changes
    nothing. ``duration_seconds`` counts from the moment when a replica applied the record, on that
    replica's own monotonic clock: replicas apply a record within milliseconds of each other, and
    wall clocks are not relied on. ``probe_owner`` is the attempt that owns the probe of a half-open
    circuit. ``incarnation`` identifies the worker process for which the circuit was opened: a
    restarted worker starts with a closed circuit.
    """

    worker_id: str
    status: CircuitStatus
    generation: int
    reopenings: int = 0
    duration_seconds: float = 0.0
    probe_owner: str = ""
    incarnation: str = ""


class CapacityRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An open capacity circuit, shared by every worker of one failure domain."""

    failure_domain: str
    generation: int
    duration_seconds: float


class FleetView(msgspec.Struct, frozen=True, kw_only=True):
    """The complete state that a router applies, at one revision of the replicated state.

    ``revision`` increases with every change, and ``configuration_version`` with every accepted
    configuration. Neither ever decreases.
    """

    revision: int
    configuration_version: int
    configuration: Configuration
    workers: tuple[WorkerRecord, ...] = ()
    routers: tuple[RouterRecord, ...] = ()
    witnesses: tuple[str, ...] = ()


class ControlMember(msgspec.Struct, frozen=True, kw_only=True):
    """One control replica.

    ``address`` is its wire address; ``http_address`` is the address for operators. ``node_id`` is
    the name of the process and a random part that is stored in its data folder, so that a process
    whose folder was lost returns as another replica. ``voter`` distinguishes voters from learners.
    ``may_vote`` is false for a replica without a disk, which never votes but follows the log to
    serve operators and workers.
    """

    node_id: str
    address: str
    http_address: str = ""
    voter: bool = True
    may_vote: bool = True

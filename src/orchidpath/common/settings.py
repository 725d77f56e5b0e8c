"""Typed settings of the deployed processes, read from a TOML or JSON file.

Every setting is documented here; the settings reference is generated from these structs. Files are
read and checked by :mod:`orchidpath.common.settings_file`.
"""

import msgspec

DEFAULT_HOST = "127.0.0.1"
"""Loopback: a process is reachable from other machines only if its settings say so."""

SEED_COUNT = 3
"""Number of seed addresses in a settings file; the process's own address may be one of them."""


class RouterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one router process.

    Attributes
    ----------
    node_id
        Name of this process, unique in the fleet.
    fleet
        Name of the fleet; processes of another fleet are rejected.
    zone
        Zone of this machine; workers of the same zone are preferred for decode.
    wire_address
        ``IP:port`` at which the fleet's own processes reach this one.
    http_address
        ``IP:port`` at which callers, probes and announcing workers reach this one.
    seeds
        Three wire addresses of any processes of the fleet, routers included.
    log_level
        ``debug``, ``info``, ``warning`` or ``error``.
    drain_seconds
        How long a graceful shutdown waits for requests in flight.
    forward_address
        ``IP:port`` at which callers of forward routes reach this one; ``http_address`` then serves
        health and metrics only. Empty for the fleet's own interface.
    decision_timeout_seconds
        Timeout of a decision of the leader, after which the router decides by its last known
        state.
    decision_log
        File to which every decision and its outcome is appended as a JSON line, for
        ``orchidpath replay``; empty for none, since a router needs no disk. Its folder must exist.
        At 64 MiB the file is renamed to ``FILE.1``; four such older files are retained. While the
        disk is slow or full, lines are dropped and counted in the log; no request waits for the
        disk. Read at start only.
    fault_file
        For tests only: JSON file of injected link faults (:mod:`orchidpath.wire.link_faults`),
        read again every 100 ms; empty for none.
    """

    node_id: str
    fleet: str
    zone: str = ""
    wire_address: str
    http_address: str
    seeds: list[str]
    log_level: str = "info"
    drain_seconds: float = 10.0
    forward_address: str = ""
    decision_timeout_seconds: float = 0.25
    decision_log: str = ""
    fault_file: str = ""


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one control process.

    Attributes
    ----------
    node_id
        Name of this process, unique in the fleet.
    fleet
        Name of the fleet; processes of another fleet are rejected.
    zone
        Zone of this machine.
    wire_address
        ``IP:port`` at which the fleet's own processes reach this one.
    http_address
        ``IP:port`` at which operators and announcing workers reach this one.
    seeds
        Three wire addresses of any processes of the fleet, routers included.
    data_folder
        Folder for all data that this process stores; created if missing.
    formation_members
        Wire addresses of the control processes of a new fleet. Only a process with an empty data
        folder forms a fleet: the first one listed that may vote does so if all the others reply
        that they belong to none. Every other process joins as a learner.
    target_voters
        Number of voters that the leader maintains among all control processes.
    replace_voter_after_seconds
        A voter without a heartbeat for this long is replaced by a learner that is caught up.
    may_vote
        Whether this process stores its data on a disk and may become a voter. A process without a
        disk also follows the log and serves operators and workers.
    worker_lease_seconds
        A worker without an announcement for this long is removed.
    log_level
        ``debug``, ``info``, ``warning`` or ``error``.
    drain_seconds
        Accepted for compatibility; a control process has nothing to drain and stops at once.
    sync_delay_warning_seconds
        A disk sync that takes longer than this is logged.
    fault_file
        For tests only: JSON file of injected link faults (:mod:`orchidpath.wire.link_faults`),
        read again every 100 ms; empty for none.
    """

    node_id: str
    fleet: str
    zone: str = ""
    wire_address: str
    http_address: str
    seeds: list[str]
    data_folder: str
    formation_members: list[str] = []
    target_voters: int = 3
    replace_voter_after_seconds: float = 8.0
    may_vote: bool = True
    worker_lease_seconds: float = 2.0
    log_level: str = "info"
    drain_seconds: float = 5.0
    sync_delay_warning_seconds: float = 0.2
    fault_file: str = ""

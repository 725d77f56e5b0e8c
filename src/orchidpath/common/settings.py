"""Typed settings of the deployed processes, read from a TOML or JSON file.

Every setting is documented here; the settings reference is made from these structs.
"""

import msgspec

DEFAULT_HOST = "127.0.0.1"
"""Loopback: a process is only reachable from elsewhere when its settings say so."""


class RouterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one router process.

    ``seeds`` are wire addresses (``IP:port``) of any processes of the fleet, routers included.
    """

    node_id: str
    fleet: str
    zone: str = ""
    wire_address: str
    http_address: str
    seeds: list[str]
    log_level: str = "info"
    drain_seconds: float = 10.0
    decision_timeout_seconds: float = 0.25


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one control process.

    ``formation_members`` are the wire addresses of the control processes of a new fleet. They are
    looked at only while the data folder is empty: the first one listed forms a new fleet if every
    other one answers that it belongs to none; every other process joins as a learner.
    ``target_voters`` is how many voters the leader keeps up out of all control processes.
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
    log_level: str = "info"
    sync_delay_warning_seconds: float = 0.2

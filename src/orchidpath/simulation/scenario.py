"""Names of the fault scenarios."""

from enum import StrEnum


class Scenario(StrEnum):
    """Name of a fault scenario, as given on the command line and printed in results."""

    FAULT_FREE = "calm"
    KILLS = "kills"
    FREEZES = "freezes"
    LONG_FREEZE = "long_freeze"
    PARTITIONS = "cuts"
    CONTROL_LOST = "control_lost"
    DISK_LOSS = "disk_loss"
    SECOND_LOSS = "second_loss"
    DISK_LOST_IN_POWER_FAILURE = "disk_lost_in_power_cut"
    TWO_DISKS_LOST_IN_POWER_FAILURE = "two_disks_lost_in_power_cut"
    CONTROL_HALVED = "control_halved"
    SLOW_DISKS = "slow_disks"
    RESTARTS = "restarts"
    BAD_NETWORK = "bad_network"
    WITNESSES_RESTARTED = "witnesses_restarted"
    LATE_ANSWERS = "late_answers"
    ROUTERS_UNHEARD = "routers_unheard"
    MIXED = "mixed"
    WORKERS_CRASH = "workers_crash"
    WORKERS_DRAIN = "workers_drain"
    HANDLES_EXPIRE = "handles_lapse"
    LINKS_SLOW = "links_slow"
    CROWD = "crowd"
    CONTROL_LOST_UNDER_LOAD = "control_lost_under_load"
    SERVICES_REPLACED = "services_replaced"
    MIXED_WITH_REQUESTS = "mixed_with_requests"

"""Messages about membership: connections, control members, joining, workers' announcements.

Consensus messages are defined in :mod:`orchidpath.consensus.raft_messages`; control processes send
them inside :class:`ConsensusMessage`, so that this package does not depend on that one.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import ControlMember


class ProcessRole(StrEnum):
    """Role of the process at the other end of a connection."""

    ROUTER = "router"
    CONTROL = "control"
    TOOL = "tool"


class Hello(msgspec.Struct, frozen=True, kw_only=True, tag="hello"):
    """First message in both directions of every connection.

    Sent by: both ends. If the message is lost, the other end closes the connection unused after
    ``HELLO_TIMEOUT_SECONDS`` (:mod:`orchidpath.wire.handshake`). A second Hello on the same
    connection is ignored.
    """

    node_id: str
    incarnation: str
    role: ProcessRole
    address: str
    fleet: str


class WhoIsControl(msgspec.Struct, frozen=True, kw_only=True, tag="who_is_control"):
    """Requests the control members from any process, so that three seed addresses are enough.

    Sent by: routers, on each new outgoing connection and periodically while the leader is silent;
    control processes that form or join a fleet. If the message is lost, the sender sends it again
    in its next round. If the message is duplicated, the receiver replies twice.
    """


class ControlMembers(msgspec.Struct, frozen=True, kw_only=True, tag="control_members"):
    """The control members and the leader, as the replying process currently has them.

    Sent by: routers and control processes, in reply to :class:`WhoIsControl`; a control process
    that is not the leader also sends it in reply to a router's heartbeat. If the message is lost,
    the requester requests it again. If the message is late, a router ignores it when its term is
    lower than that of the members that it already has. ``may_vote`` concerns the replying process:
    a process without a disk never forms a fleet.
    """

    term: int
    leader_id: str
    members: tuple[ControlMember, ...]
    may_vote: bool = True


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, tag="join_request"):
    """Requests that the leader add a control replica, which is not a member yet, as a learner.

    Sent by: the replica itself. If the message is lost, the replica sends it again after
    ``JOIN_PERIOD_SECONDS`` (0.5 s, :mod:`orchidpath.control.fleet_joiner`). If the message is
    duplicated, the second one changes nothing.
    """

    member: ControlMember


class ConsensusMessage(msgspec.Struct, frozen=True, kw_only=True, tag="consensus"):
    """One encoded consensus message (Raft) between control processes.

    The consensus core tolerates messages that are lost, late, duplicated or reordered.
    """

    payload: bytes


class ForwardedAnnouncements(
    msgspec.Struct, frozen=True, kw_only=True, tag="forwarded_announcements"
):
    """Workers' announcements, forwarded to the leader by the process that received them.

    Sent by: routers and control processes. If the message is lost, the worker's next announcement
    replaces it (``ANNOUNCE_PERIOD_SECONDS``). If the message is late or duplicated, the leader
    compares ``sequence``: an older announcement never overrides a newer one.
    """

    announcements: tuple[Announcement, ...]

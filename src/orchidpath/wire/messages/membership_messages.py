"""Messages about membership: connections, control members, joining, workers' announcements.

Consensus messages live in :mod:`orchidpath.consensus.raft_messages`; control processes carry them
inside :class:`ConsensusMessage` so that this package does not depend on that one.
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

    Sent by: both ends. Lost: the connection is not used and is closed after a timeout.
    """

    node_id: str
    incarnation: str
    role: ProcessRole
    address: str
    fleet: str


class WhoIsControl(msgspec.Struct, frozen=True, kw_only=True, tag="who_is_control"):
    """Queries any process for the control members, so that three seed addresses are enough.

    Lost: queried again on the next connection. Duplicated: answered twice, the same.
    """


class ControlMembers(msgspec.Struct, frozen=True, kw_only=True, tag="control_members"):
    """The control members and leader as the answering process knows them.

    Late: an answer with a lower term than one already known is ignored. ``may_vote`` is of the
    answering process: one without a disk never forms a fleet.
    """

    term: int
    leader_id: str
    members: tuple[ControlMember, ...]
    may_vote: bool = True


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, tag="join_request"):
    """A control replica that is no member requests to be added as a learner.

    Lost: requested again each second. Duplicated: adding twice changes nothing.
    """

    member: ControlMember


class ConsensusMessage(msgspec.Struct, frozen=True, kw_only=True, tag="consensus"):
    """One encoded message of the replicated log, between control processes.

    Lost, late, duplicated or reordered: the consensus core is built for each of them.
    """

    payload: bytes


class ForwardedAnnouncements(
    msgspec.Struct, frozen=True, kw_only=True, tag="forwarded_announcements"
):
    """Workers' announcements, forwarded to the leader by the process that received them.

    Lost: the worker announces again. Late: the announcement's sequence decides.
    """

    announcements: tuple[Announcement, ...]

"""Bootstrap of a new Raft group: the first log entry, which defines its membership."""

from orchidpath.consensus.errors import NotBootstrapVoterError
from orchidpath.consensus.log import encode_membership
from orchidpath.consensus.replica import Replica
from orchidpath.consensus.types import EntryKind, HardState, LogEntry, Membership, RestoredState

BOOTSTRAP_TERM = 1
"""Term of the first entry, below the term of any election."""


def needs_bootstrap(restored: RestoredState) -> bool:
    """Return whether nothing is stored, or a crash interrupted the bootstrap.

    Parameters
    ----------
    restored
        State that was read from disk.

    Returns
    -------
    bool
        True for a replica that has never taken part in a group.
    """
    started = restored.hard_state.term > BOOTSTRAP_TERM or restored.entries
    return not started and restored.snapshot is None


def bootstrap(replica: Replica, membership: Membership) -> None:
    """Append the first entry, which is the same on every voter of a new group.

    Its term is below the term of any election, so all logs match at this entry from the start.

    Parameters
    ----------
    replica
        A voter of the new group.
    membership
        Membership of the new group.

    Raises
    ------
    NotBootstrapVoterError
        The replica is not a voter of the membership.
    """
    if replica.node_id not in membership.voters:
        raise NotBootstrapVoterError(replica.node_id)
    replica.set_hard_state(HardState(term=BOOTSTRAP_TERM))
    payload = encode_membership(membership)
    replica.append_entries([LogEntry(1, BOOTSTRAP_TERM, EntryKind.MEMBERSHIP, payload)])

"""Which control replicas vote: keeps the wanted number of voters up; pure.

Asked by the leader on every tick; it names one change at a time, and the consensus core refuses a
change that would not be safe yet. Why the order is safe: a standby is promoted *before* the lost
voter is removed, so at every moment a majority of the voters holds every confirmed change
(docs/design/control-state.md, "Disk lost after an acknowledgement").
"""

from collections import Counter
from collections.abc import Callable

import msgspec

from orchidpath.consensus.types import Membership
from orchidpath.control.leadership.liveness import ROUTER_REMOVAL_SECONDS
from orchidpath.wire.backend import WORKER_LEASE_SECONDS

HEARD_SECONDS = 1.0
"""A learner heard within this long is up, and may be promoted."""

LEARNER_REMOVAL_SECONDS = 60.0
"""A learner that has not been heard for this long leaves the membership."""

SUPERSEDED_REMOVAL_SECONDS = 3.0
"""The same for a learner whose address another replica has taken."""


class MemberPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How many voters to keep, and how long a silent voter, router or worker stays."""

    target_voters: int = 3
    replace_after_seconds: float = 8.0
    router_removal_seconds: float = ROUTER_REMOVAL_SECONDS
    worker_lease_seconds: float = WORKER_LEASE_SECONDS


class MemberManager:
    """Names the next membership change.

    Parameters
    ----------
    policy
        Wanted voters and patience.
    now
        Start of this leadership: silence counts from here at the earliest.
    """

    def __init__(self, policy: MemberPolicy, now: float) -> None:
        self._policy = policy
        self._started_at = now
        self._joining: dict[str, str] = {}

    def join_requested(self, node_id: str, address: str) -> None:
        """Note a replica that wants to become a learner."""
        self._joining[node_id] = address

    def next_change(
        self,
        leader_id: str,
        membership: Membership,
        last_contact: Callable[[str], float],
        now: float,
        standbys: frozenset[str] = frozenset(),
    ) -> Membership | None:
        """Return the membership to propose next, or None when nothing is to be done.

        Parameters
        ----------
        leader_id
            This leader.
        membership
            The newest membership.
        last_contact
            Returns when a replica was heard last.
        now
            Monotonic seconds.
        standbys
            Replicas without a disk: they never vote.
        """
        joined = self._add_learner(membership)
        if joined is not None:
            return joined

        def unheard_seconds(node_id: str) -> float:
            if node_id == leader_id:
                return 0.0
            return now - max(last_contact(node_id), self._started_at)

        superseded = _superseded(membership, unheard_seconds)
        lost = [
            voter
            for voter in membership.voters
            if voter in superseded or unheard_seconds(voter) > self._policy.replace_after_seconds
        ]
        surplus = len(membership.voters) - self._policy.target_voters
        if lost and surplus > 0:
            return _remove(membership, max(lost, key=unheard_seconds))
        if surplus > 0:
            return _demote_newest(membership, leader_id)
        heard = [
            one
            for one in membership.learners
            if one not in standbys and unheard_seconds(one) < HEARD_SECONDS
        ]
        if heard and (surplus < 0 or lost):
            taken = {membership.addresses[voter] for voter in superseded}
            successors = [one for one in heard if membership.addresses[one] in taken]
            return _promote(membership, (successors or heard)[0])
        return self._remove_silent_learner(membership, unheard_seconds)

    def _add_learner(self, membership: Membership) -> Membership | None:
        for node_id, address in list(self._joining.items()):
            del self._joining[node_id]
            if membership.addresses.get(node_id) == address:
                continue
            addresses = {**membership.addresses, node_id: address}
            if node_id in membership.voters:
                return msgspec.structs.replace(membership, addresses=addresses)
            learners = tuple(sorted({*membership.learners, node_id}))
            return Membership(membership.voters, learners, addresses)
        return None

    def _remove_silent_learner(
        self, membership: Membership, unheard_seconds: Callable[[str], float]
    ) -> Membership | None:
        members = Counter(membership.addresses[one] for one in membership.members())
        for learner in membership.learners:
            is_shared = members[membership.addresses[learner]] > 1
            patience = SUPERSEDED_REMOVAL_SECONDS if is_shared else LEARNER_REMOVAL_SECONDS
            if unheard_seconds(learner) > patience:
                return _remove(membership, learner)
        return None


def _superseded(membership: Membership, unheard_seconds: Callable[[str], float]) -> set[str]:
    """Return the voters whose address another replica has taken and that are heard no more.

    The machine came back with an empty disk: its old replica never will, so there is nothing to
    wait for. A second loss may follow soon, and must find the new copy voting.
    """
    heard_last: dict[str, str] = {}
    for member in membership.members():
        address = membership.addresses[member]
        known = heard_last.setdefault(address, member)
        if unheard_seconds(member) < unheard_seconds(known):
            heard_last[address] = member
    return {
        voter for voter in membership.voters if heard_last[membership.addresses[voter]] != voter
    }


def _promote(membership: Membership, learner: str) -> Membership:
    return Membership(
        voters=(*membership.voters, learner),
        learners=tuple(one for one in membership.learners if one != learner),
        addresses=membership.addresses,
    )


def _demote_newest(membership: Membership, leader_id: str) -> Membership:
    """Make the newest voter a standby again: the one that it was to replace has come back."""
    newest = [voter for voter in membership.voters if voter != leader_id][-1]
    return Membership(
        voters=tuple(one for one in membership.voters if one != newest),
        learners=(*membership.learners, newest),
        addresses=membership.addresses,
    )


def _remove(membership: Membership, node_id: str) -> Membership:
    return Membership(
        voters=tuple(one for one in membership.voters if one != node_id),
        learners=tuple(one for one in membership.learners if one != node_id),
        addresses={one: at for one, at in membership.addresses.items() if one != node_id},
    )

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
"""A learner that has not been heard for this long is removed from the membership."""

SUPERSEDED_REMOVAL_SECONDS = 3.0
"""The same for a learner whose address another replica uses now."""


class MemberPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How many voters to keep, and how long a silent voter, router or worker stays."""

    target_voters: int = 3
    replace_after_seconds: float = 8.0
    router_removal_seconds: float = ROUTER_REMOVAL_SECONDS
    worker_lease_seconds: float = WORKER_LEASE_SECONDS


class _Silence:
    """How long each replica has been silent, as the leader sees it now."""

    def __init__(
        self,
        leader_id: str,
        started_at: float,
        last_contact: Callable[[str], float],
        now: float,
    ) -> None:
        self._leader_id = leader_id
        self._started_at = started_at
        self._last_contact = last_contact
        self._now = now

    def seconds(self, node_id: str) -> float:
        """Seconds since a replica was heard, from the start of the leadership at the earliest."""
        if node_id == self._leader_id:
            return 0.0
        return self._now - max(self._last_contact(node_id), self._started_at)


class MemberManager:
    """Names the next membership change.

    Parameters
    ----------
    policy
        Wanted voters and timeouts.
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

        The first answer holds. Replicas that ask to join come first, for only a learner can
        replace a voter. Surplus voters go before any learner is promoted, so a promotion takes the
        voters at most one above the target, and the lost voter is removed on a later call.

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
        silence = _Silence(leader_id, self._started_at, last_contact, now)
        return (
            self._add_learner(membership)
            or self._remove_surplus_voter(membership, leader_id, silence)
            or self._promote_learner(membership, standbys, silence)
            or self._remove_silent_learner(membership, silence)
        )

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

    def _remove_surplus_voter(
        self, membership: Membership, leader_id: str, silence: _Silence
    ) -> Membership | None:
        """Remove the lost voter that is silent the longest, or demote the newest if none is."""
        if len(membership.voters) <= self._policy.target_voters:
            return None
        lost = self._lost_voters(membership, silence)
        if lost:
            return _remove(membership, max(lost, key=silence.seconds))
        return _demote_newest(membership, leader_id)

    def _promote_learner(
        self, membership: Membership, standbys: frozenset[str], silence: _Silence
    ) -> Membership | None:
        """Promote a learner that is up if voters are missing or lost."""
        is_short = len(membership.voters) < self._policy.target_voters
        if not is_short and not self._lost_voters(membership, silence):
            return None
        candidates = [
            learner
            for learner in membership.learners
            if learner not in standbys and silence.seconds(learner) < HEARD_SECONDS
        ]
        if not candidates:
            return None
        successors = _successors(candidates, membership, silence)
        return _promote(membership, (successors or candidates)[0])

    def _lost_voters(self, membership: Membership, silence: _Silence) -> list[str]:
        """Return the voters that are superseded or have been silent for too long."""
        superseded = _superseded(membership, silence)
        return [
            voter
            for voter in membership.voters
            if voter in superseded or silence.seconds(voter) > self._policy.replace_after_seconds
        ]

    def _remove_silent_learner(
        self, membership: Membership, silence: _Silence
    ) -> Membership | None:
        """Remove a learner that has been silent for too long."""
        replicas_by_address = Counter(membership.addresses[one] for one in membership.members())
        for learner in membership.learners:
            is_shared = replicas_by_address[membership.addresses[learner]] > 1
            timeout_seconds = SUPERSEDED_REMOVAL_SECONDS if is_shared else LEARNER_REMOVAL_SECONDS
            if silence.seconds(learner) > timeout_seconds:
                return _remove(membership, learner)
        return None


def _superseded(membership: Membership, silence: _Silence) -> set[str]:
    """Return the voters whose address another replica uses now and that are heard no more.

    The machine came back with an empty disk: its old replica never will, so there is nothing to
    wait for. A second loss may follow soon, and must find the new copy voting.
    """
    heard_last: dict[str, str] = {}
    for member in membership.members():
        address = membership.addresses[member]
        known = heard_last.setdefault(address, member)
        if silence.seconds(member) < silence.seconds(known):
            heard_last[address] = member
    return {
        voter for voter in membership.voters if heard_last[membership.addresses[voter]] != voter
    }


def _successors(candidates: list[str], membership: Membership, silence: _Silence) -> list[str]:
    """Return the candidates that use the address of a superseded voter."""
    addresses = {membership.addresses[voter] for voter in _superseded(membership, silence)}
    return [one for one in candidates if membership.addresses[one] in addresses]


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

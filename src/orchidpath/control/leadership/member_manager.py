"""Chooses the control replicas that vote, and replaces lost voters; performs no I/O.

The leader calls it on every tick. It returns one membership change at a time, and the consensus
core rejects a change that is not safe yet. The order of the changes is safe because a standby is
promoted *before* the lost voter is removed, so at every moment a majority of the voters stores
every confirmed change (docs/design/control-state.md, "Disk lost after an acknowledgement").
"""

from collections import Counter
from collections.abc import Callable

import msgspec

from orchidpath.consensus.types import Membership
from orchidpath.control.leadership.liveness import ROUTER_REMOVAL_SECONDS
from orchidpath.wire.backend import WORKER_LEASE_SECONDS

PROMOTION_CONTACT_SECONDS = 1.0
"""A learner may be promoted if the leader had contact with it within this time."""

LEARNER_REMOVAL_SECONDS = 60.0
"""A learner without contact for longer than this is removed from the membership."""

SUPERSEDED_REMOVAL_SECONDS = 3.0
"""The removal time-out of a learner whose address is also that of another replica."""


class MemberPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The number of voters to keep, and the time-outs of voters, routers and workers.

    A voter without contact for ``replace_after_seconds`` is replaced, a router without heartbeats
    for ``router_removal_seconds`` and a worker without announcements for ``worker_lease_seconds``
    are removed.
    """

    target_voters: int = 3
    replace_after_seconds: float = 8.0
    router_removal_seconds: float = ROUTER_REMOVAL_SECONDS
    worker_lease_seconds: float = WORKER_LEASE_SECONDS


class _Silence:
    """The time since the leader's last contact with each replica, as of ``now``."""

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
        """Return the seconds since the last contact with a replica, or 0 for the leader itself.

        A contact before this leadership counts as one at its start.
        """
        if node_id == self._leader_id:
            return 0.0
        return self._now - max(self._last_contact(node_id), self._started_at)


class _LearnerTerm(msgspec.Struct, frozen=True):
    """Since when a replica has been a learner at an address, in monotonic seconds."""

    address: str
    since: float


class _LearnerTerms:
    """The learners of the membership, and since when each has been one at its address.

    Parameters
    ----------
    started_at
        Start of this leadership, which counts for learners of an earlier one.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._terms: dict[str, _LearnerTerm] | None = None

    def update(self, membership: Membership, now: float) -> None:
        """Record the learners of a membership; called with each membership in turn."""
        known = self._terms or {}
        since = self._started_at if self._terms is None else now
        self._terms = {}
        for learner in membership.learners:
            address = membership.addresses[learner]
            term = known.get(learner)
            if term is None or term.address != address:
                term = _LearnerTerm(address, since)
            self._terms[learner] = term

    def seconds(self, learner: str, now: float) -> float:
        """Return for how long a learner of the newest membership has been one."""
        assert self._terms is not None
        return now - self._terms[learner].since


class MemberManager:
    """Chooses the next membership change.

    Parameters
    ----------
    policy
        Number of voters to keep, and time-outs.
    now
        Start of this leadership, in monotonic seconds. No time-out starts earlier.
    """

    def __init__(self, policy: MemberPolicy, now: float) -> None:
        self._policy = policy
        self._started_at = now
        self._joining: dict[str, str] = {}
        self._learner_terms = _LearnerTerms(now)

    def join_requested(self, node_id: str, address: str) -> None:
        """Record that a replica requests to join as a learner."""
        self._joining[node_id] = address

    def next_change(
        self,
        leader_id: str,
        membership: Membership,
        last_contact: Callable[[str], float],
        now: float,
        standbys: frozenset[str] = frozenset(),
    ) -> Membership | None:
        """Return the membership to propose next, or None if no change is necessary.

        The first change that applies is returned. Replicas that request to join come first, because
        only a learner can replace a voter. Surplus voters are removed before any learner is
        promoted, so a promotion raises the number of voters to at most one above the target, and
        the lost voter is removed by a later call.

        Parameters
        ----------
        leader_id
            Node id of this leader.
        membership
            The newest membership.
        last_contact
            Returns the time of the last contact with a replica, in monotonic seconds.
        now
            Current time, in monotonic seconds.
        standbys
            Node ids of replicas without a disk, which never vote.
        """
        silence = _Silence(leader_id, self._started_at, last_contact, now)
        self._learner_terms.update(membership, now)
        return (
            self._add_learner(membership)
            or self._remove_surplus_voter(membership, leader_id, silence)
            or self._promote_learner(membership, standbys, silence)
            or self._remove_silent_learner(membership, silence, now)
        )

    def missing_voters(
        self,
        leader_id: str,
        membership: Membership,
        last_contact: Callable[[str], float],
        now: float,
    ) -> int:
        """Return how many voters the fleet lacks: those not in the membership, and lost ones.

        Parameters
        ----------
        leader_id, membership, last_contact, now
            As for `next_change`.
        """
        silence = _Silence(leader_id, self._started_at, last_contact, now)
        present = len(membership.voters) - len(self._lost_voters(membership, silence))
        return max(self._policy.target_voters - present, 0)

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
        """Remove the voter that has been lost for the longest time, or else demote the newest."""
        if len(membership.voters) <= self._policy.target_voters:
            return None
        lost = self._lost_voters(membership, silence)
        if lost:
            return _remove(membership, max(lost, key=silence.seconds))
        return _demote_newest(membership, leader_id)

    def _promote_learner(
        self, membership: Membership, standbys: frozenset[str], silence: _Silence
    ) -> Membership | None:
        """Promote a learner that is reachable if voters are missing or lost."""
        has_too_few_voters = len(membership.voters) < self._policy.target_voters
        if not has_too_few_voters and not self._lost_voters(membership, silence):
            return None
        candidates = [
            learner
            for learner in membership.learners
            if learner not in standbys and silence.seconds(learner) < PROMOTION_CONTACT_SECONDS
        ]
        if not candidates:
            return None
        successors = _successors(candidates, membership, silence)
        return _promote(membership, (successors or candidates)[0])

    def _lost_voters(self, membership: Membership, silence: _Silence) -> list[str]:
        """Return the voters that are superseded or without contact for too long."""
        superseded = _superseded(membership, silence)
        return [
            voter
            for voter in membership.voters
            if voter in superseded or silence.seconds(voter) > self._policy.replace_after_seconds
        ]

    def _remove_silent_learner(
        self, membership: Membership, silence: _Silence, now: float
    ) -> Membership | None:
        """Remove a learner without contact for too long.

        Its time-out starts when it becomes a learner. It can't answer earlier: the leader connects
        to the address of a replica only once the replica is in the membership.
        """
        replicas_by_address = Counter(
            membership.addresses[member] for member in membership.members()
        )
        for learner in membership.learners:
            is_shared = replicas_by_address[membership.addresses[learner]] > 1
            timeout_seconds = SUPERSEDED_REMOVAL_SECONDS if is_shared else LEARNER_REMOVAL_SECONDS
            silent_seconds = min(
                silence.seconds(learner), self._learner_terms.seconds(learner, now)
            )
            if silent_seconds > timeout_seconds:
                return _remove(membership, learner)
        return None


def _superseded(membership: Membership, silence: _Silence) -> set[str]:
    """Return the voters whose address is used by another replica with a more recent contact.

    The machine has restarted with an empty disk under a new node id, so the old replica never
    returns and no time-out is necessary. The new replica must vote soon, because another voter may
    be lost shortly afterwards.
    """
    latest_by_address: dict[str, str] = {}
    for member in membership.members():
        address = membership.addresses[member]
        latest = latest_by_address.setdefault(address, member)
        if silence.seconds(member) < silence.seconds(latest):
            latest_by_address[address] = member
    return {
        voter
        for voter in membership.voters
        if latest_by_address[membership.addresses[voter]] != voter
    }


def _successors(candidates: list[str], membership: Membership, silence: _Silence) -> list[str]:
    """Return the candidates that use the address of a superseded voter."""
    addresses = {membership.addresses[voter] for voter in _superseded(membership, silence)}
    return [candidate for candidate in candidates if membership.addresses[candidate] in addresses]


def _promote(membership: Membership, learner: str) -> Membership:
    return Membership(
        voters=(*membership.voters, learner),
        learners=tuple(member for member in membership.learners if member != learner),
        addresses=membership.addresses,
    )


def _demote_newest(membership: Membership, leader_id: str) -> Membership:
    """Make the newest voter a learner again, because the voter that it replaced has returned."""
    newest = [voter for voter in membership.voters if voter != leader_id][-1]
    return Membership(
        voters=tuple(voter for voter in membership.voters if voter != newest),
        learners=(*membership.learners, newest),
        addresses=membership.addresses,
    )


def _remove(membership: Membership, node_id: str) -> Membership:
    return Membership(
        voters=tuple(voter for voter in membership.voters if voter != node_id),
        learners=tuple(learner for learner in membership.learners if learner != node_id),
        addresses={
            member: address for member, address in membership.addresses.items() if member != node_id
        },
    )

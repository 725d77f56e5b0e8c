"""Counters of the replicated state that never decrease: leader term and confirmed revision."""

from orchidpath.state.outcomes import Effect


class FleetProgress:
    """The highest term whose leader has committed a command, and the newest confirmed revision.

    Parameters
    ----------
    leader_term
        Highest term whose leader has committed its first command.
    confirmed_revision
        Newest revision that every serving router is known to have applied.
    """

    def __init__(self, leader_term: int = 0, confirmed_revision: int = 0) -> None:
        self.leader_term = leader_term
        self.confirmed_revision = confirmed_revision

    def start_term(self, term: int) -> Effect:
        """Record the term of a leader that committed its first command, if it is the highest."""
        if term <= self.leader_term:
            return Effect.STALE
        self.leader_term = term
        return Effect.CHANGED

    def confirm(self, revision: int, newest_revision: int) -> Effect:
        """Record that every serving router has applied a revision.

        Parameters
        ----------
        revision
            The confirmed revision.
        newest_revision
            Newest revision of the state. A higher ``revision`` is invalid, because no router can
            have applied it.
        """
        if revision > newest_revision:
            return Effect.INVALID
        if revision <= self.confirmed_revision:
            return Effect.STALE
        self.confirmed_revision = revision
        return Effect.CHANGED

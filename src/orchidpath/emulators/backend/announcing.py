"""To which address a back end announces itself next, and when."""

import msgspec
import xxhash

from orchidpath.wire.backend import ANNOUNCE_PERIOD_SECONDS, Announcement, AnnouncementReply
from orchidpath.wire.records import WorkerRecord


class AnnouncementPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One announcement to send now."""

    address: str
    announcement: Announcement


class Announcer:
    """Chooses addresses: stays with one that answers, moves on from one that does not.

    Parameters
    ----------
    worker_id : str
        Spreads the workers over the addresses.
    configured : list[str]
        HTTP addresses from the settings; they stay in use for ever.
    """

    def __init__(self, worker_id: str, configured: list[str]) -> None:
        self._configured = list(configured)
        self._learned: tuple[str, ...] = ()
        self._position = xxhash.xxh3_64_intdigest(worker_id.encode())
        self._sequence = 0
        self._failures_in_a_row = 0
        self._last_sent: WorkerRecord | None = None
        self._due_at = 0.0

    @property
    def addresses(self) -> list[str]:
        """Every address in use."""
        new = [address for address in self._learned if address not in self._configured]
        return self._configured + new

    def due_in(self, record: WorkerRecord, now: float) -> float:
        """Return the seconds until the next announcement; none when something has changed."""
        if record != self._last_sent:
            return 0.0
        return max(0.0, self._due_at - now)

    def next_plan(self, record: WorkerRecord, now: float) -> AnnouncementPlan | None:
        """Return the announcement to send now.

        Parameters
        ----------
        record : WorkerRecord
            The back end as it is now.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        AnnouncementPlan or None
            None without any address.
        """
        addresses = self.addresses
        self._last_sent = record
        self._due_at = now + ANNOUNCE_PERIOD_SECONDS
        if not addresses:
            return None
        self._sequence += 1
        return AnnouncementPlan(
            address=addresses[self._position % len(addresses)],
            announcement=Announcement(record=record, sequence=self._sequence),
        )

    def on_reply(self, reply: AnnouncementReply | None, now: float) -> None:
        """Take the answer to the last announcement; None is a failure.

        A failure moves to the next address at once, until every address was tried once; then the
        ordinary period is kept, so that a lost fleet is not flooded.
        """
        if reply is not None and reply.accepted:
            self._keep_address(reply.announce_to)
            return
        if reply is not None:
            self._learned = reply.announce_to or self._learned
        self._position += 1
        self._failures_in_a_row += 1
        if self._failures_in_a_row % max(1, len(self.addresses)) != 0:
            self._due_at = now

    def _keep_address(self, announce_to: tuple[str, ...]) -> None:
        self._failures_in_a_row = 0
        if not announce_to:
            return
        addresses = self.addresses
        current = addresses[self._position % len(addresses)]
        self._learned = announce_to
        if current in self.addresses:
            self._position = self.addresses.index(current)

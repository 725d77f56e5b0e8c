"""Choice of the address and the time of a back end's next announcement."""

import msgspec
import xxhash

from orchidpath.wire.backend import ANNOUNCE_PERIOD_SECONDS, Announcement, AnnouncementReply
from orchidpath.wire.records import WorkerRecord


class AnnouncementPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One announcement that is due, with its address."""

    address: str
    announcement: Announcement


class Announcer:
    """Schedules the announcements of one back end.

    It keeps using an address that accepts its announcements and switches to the next address after
    a failure.

    Parameters
    ----------
    worker_id : str
        Id of the worker. Its hash selects the first address, which spreads the workers over the
        addresses.
    configured : list[str]
        HTTP addresses from the settings; they are never removed.
    """

    def __init__(self, worker_id: str, configured: list[str]) -> None:
        self._configured = list(configured)
        self._received_addresses: tuple[str, ...] = ()
        self._position = xxhash.xxh3_64_intdigest(worker_id.encode())
        self._sequence = 0
        self._failures_in_a_row = 0
        self._last_sent: WorkerRecord | None = None
        self._due_at = 0.0

    @property
    def addresses(self) -> list[str]:
        """The configured addresses, then those received in replies."""
        new = [address for address in self._received_addresses if address not in self._configured]
        return self._configured + new

    def due_in(self, record: WorkerRecord, now: float) -> float:
        """Return the seconds until the next announcement; 0 if the record has changed."""
        if record != self._last_sent:
            return 0.0
        return max(0.0, self._due_at - now)

    def next_plan(self, record: WorkerRecord, now: float) -> AnnouncementPlan | None:
        """Return the announcement to send now.

        Parameters
        ----------
        record : WorkerRecord
            The current record of the back end.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        AnnouncementPlan or None
            None if there is no address.
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
        """Process the reply to the last announcement; None means that there was no valid reply.

        After a failure or a rejection the next address is tried at once. When every address has
        failed once, the next announcement waits for the regular period, so that an unreachable
        fleet is not flooded.
        """
        if reply is not None and reply.accepted:
            self._keep_address(reply.announce_to)
            return
        if reply is not None:
            self._received_addresses = reply.announce_to or self._received_addresses
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
        self._received_addresses = announce_to
        if current in self.addresses:
            self._position = self.addresses.index(current)

"""Decodes and validates workers' announcements; used by every process that receives them."""

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import WorkerRecord, WorkerStatus

MAX_ID_CHARACTERS = 200
"""Largest length, in characters, of the identifier of an update, a worker or an incarnation."""

MAX_SEQUENCE = 2**53
"""Largest version or sequence: JSON readers that use doubles represent larger ones inexactly."""

FINAL_SEQUENCE = 2**63 - 1
"""Sequence above that of every announcement; msgpack represents it."""

_decoder = msgspec.json.Decoder(Announcement)


class InvalidAnnouncementError(OrchidpathError):
    """The bytes are not a valid announcement of a worker."""


def decode_announcement(raw: bytes) -> Announcement:
    """Return the announcement that a JSON body contains.

    Raises
    ------
    InvalidAnnouncementError
        The body does not have the documented form, or a value is out of its range.
    """
    try:
        announcement = _decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise InvalidAnnouncementError(str(error)) from error
    check_record(announcement.record)
    if announcement.record.status is WorkerStatus.GONE:
        raise InvalidAnnouncementError("record.status must be ready or draining")
    if not 0 <= announcement.sequence <= MAX_SEQUENCE:
        raise InvalidAnnouncementError(
            f"sequence must be 0 to {MAX_SEQUENCE}, got {announcement.sequence}"
        )
    return announcement


def check_record(record: WorkerRecord) -> None:
    """Check the names and the URL in the record of a worker.

    Raises
    ------
    InvalidAnnouncementError
        A name or the URL does not have the documented form.
    """
    for name in ("worker_id", "incarnation", "service"):
        if not is_identifier(getattr(record, name)):
            raise InvalidAnnouncementError(f"record.{name} must be {IDENTIFIER_FORM}")
    if not record.url.startswith("http://") or not record.url.isprintable():
        raise InvalidAnnouncementError(
            "record.url must be a printable URL that begins with http://"
        )


IDENTIFIER_FORM = f"1 to {MAX_ID_CHARACTERS} printable characters"
"""Expected form of an identifier, for error messages."""


def is_identifier(value: str) -> bool:
    """Return whether a text has the form of an identifier (:data:`IDENTIFIER_FORM`)."""
    return 0 < len(value) <= MAX_ID_CHARACTERS and value.isprintable()

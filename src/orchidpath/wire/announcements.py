"""Decodes and checks workers' announcements, alike on every process that receives them."""

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import WorkerStatus

MAX_ID_CHARACTERS = 200
"""Longest identifier of an update, a worker or an incarnation, in characters."""

MAX_SEQUENCE = 2**53
"""Largest version or sequence: beyond it, JSON readers that use doubles are inexact."""

_decoder = msgspec.json.Decoder(Announcement)


class InvalidAnnouncementError(OrchidpathError):
    """The bytes are no announcement that a worker may make."""


def decode_announcement(raw: bytes) -> Announcement:
    """Return a worker's announcement.

    Raises
    ------
    InvalidAnnouncementError
        The body does not have the documented form.
    """
    try:
        announcement = _decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise InvalidAnnouncementError(str(error)) from error
    record = announcement.record
    for name in ("worker_id", "incarnation", "service"):
        if not is_identifier(getattr(record, name)):
            raise InvalidAnnouncementError(f"record.{name} must be {IDENTIFIER_FORM}")
    if not record.url.startswith("http://") or not record.url.isprintable():
        raise InvalidAnnouncementError("record.url is not an http address")
    if record.status is WorkerStatus.GONE:
        raise InvalidAnnouncementError("record.status must be ready or draining")
    if not 0 <= announcement.sequence <= MAX_SEQUENCE:
        raise InvalidAnnouncementError("sequence is out of range")
    return announcement


IDENTIFIER_FORM = f"1 to {MAX_ID_CHARACTERS} printable characters"
"""Description of an identifier, for messages that reject one."""


def is_identifier(value: str) -> bool:
    """Return whether a text may be an identifier."""
    return 0 < len(value) <= MAX_ID_CHARACTERS and value.isprintable()
